//! One end of a JSON-lines connection, through a network that can fail.

use super::path::Network;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a piece where messages go in pieces, and the pause between two of them.
const PIECE: (usize, Duration) = (70, Duration::from_millis(2));

/// How this end closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    Orderly,
    Reset,
}

/// What comes from a connection.
pub enum Input<'a> {
    /// A line, without its end.
    Line(&'a str),
    /// The connection is no more.
    Down,
}

/// Bytes to send, and what is done once the last of them is written.
struct Outgoing {
    bytes: Vec<u8>,
    written: Option<Box<dyn FnOnce()>>,
}

/// A connection.
pub struct Connection {
    /// Its number in the trial.
    pub number: u64,
    stream: Async<TcpStream>,
    network: Rc<Network>,
    queue: RefCell<VecDeque<Outgoing>>,
    closing: Cell<Option<Closing>>,
    /// The machine at this end is gone: nothing is read or written any more.
    pub silent: Cell<bool>,
    news: Event,
}

impl Connection {
    /// A connection over this stream.
    pub fn new(number: u64, stream: Async<TcpStream>, network: Rc<Network>) -> Rc<Connection> {
        // Only sharpens what works without it.
        let _ = stream.get_ref().set_nodelay(true);
        let (queue, closing, silent, news) = Default::default();
        Rc::new(Connection { number, stream, network, queue, closing, silent, news })
    }

    /// Sends a line, once the network lets it.
    pub fn send(&self, message: &serde_json::Value) {
        self.send_raw(format!("{message}\n").into_bytes());
    }

    /// Sends bytes.
    pub fn send_raw(&self, bytes: Vec<u8>) {
        self.queue.borrow_mut().push_back(Outgoing { bytes, written: None });
        self.news.notify(usize::MAX);
    }

    /// Sends bytes, and does this once the last of them is written.
    pub fn send_then(&self, bytes: Vec<u8>, written: impl FnOnce() + 'static) {
        self.queue.borrow_mut().push_back(Outgoing { bytes, written: Some(Box::new(written)) });
        self.news.notify(usize::MAX);
    }

    /// Closes it once what waits has gone out.
    pub fn close(&self) {
        self.end(Closing::Orderly);
    }

    /// Resets it at once.
    pub fn reset(&self) {
        self.end(Closing::Reset);
    }

    fn end(&self, how: Closing) {
        self.closing.set(Some(how));
        self.news.notify(usize::MAX);
    }

    /// Whether this end is being closed, or its machine is gone.
    pub fn ended(&self) -> bool {
        self.closing.get().is_some() || self.silent.get()
    }

    /// Serves it to its end: what comes goes to `take`.
    pub async fn serve(self: Rc<Self>, mut take: impl FnMut(&Rc<Connection>, Input<'_>)) {
        let read = async {
            let mut buffer = vec![0; 16 * 1024];
            let mut rest = Vec::new();
            while let Ok(n @ 1..) = (&self.stream).read(&mut buffer).await {
                self.network.until_open().await;
                self.until_there().await;
                rest.extend_from_slice(&buffer[..n]);
                while let Some(end) = rest.iter().position(|&b| b == b'\n') {
                    let line: Vec<u8> = rest.drain(..=end).collect();
                    take(&self, Input::Line(String::from_utf8_lossy(&line).trim_end()));
                }
            }
        };
        future::or(read, self.write()).await;
        if self.closing.get() == Some(Closing::Reset) {
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
        self.closing.set(self.closing.get().or(Some(Closing::Orderly)));
        take(&self, Input::Down);
    }

    async fn write(&self) {
        loop {
            let listener = self.news.listen();
            let (closing, next) = (self.closing.get(), self.queue.borrow_mut().pop_front());
            match (closing, next) {
                (Some(Closing::Reset), _) | (Some(Closing::Orderly), None) => return,
                (_, None) => listener.await,
                (_, Some(Outgoing { bytes, written })) => {
                    Timer::after(self.network.delay.get()).await;
                    self.network.until_open().await;
                    self.until_there().await;
                    let piece = if self.network.pieces.get() { PIECE.0 } else { bytes.len().max(1) };
                    for part in bytes.chunks(piece) {
                        if (&self.stream).write_all(part).await.is_err() {
                            return;
                        }
                        if piece < bytes.len() {
                            Timer::after(PIECE.1).await;
                        }
                    }
                    if let Some(written) = written {
                        written();
                    }
                }
            }
        }
    }

    async fn until_there(&self) {
        loop {
            let listener = self.news.listen();
            if !self.silent.get() || self.closing.get().is_some() {
                return;
            }
            listener.await;
        }
    }
}
