//! One end of a JSON-lines connection over a network with injected faults.

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

/// Size of the fragments in which messages are written when the network fragments them (bytes).
const FRAGMENT_BYTES: usize = 70;
/// Delay after each fragment.
const FRAGMENT_DELAY: Duration = Duration::from_millis(2);

/// How this end closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    Graceful,
    Reset,
}

/// Input from a connection.
pub enum Input<'a> {
    /// A line without its line terminator.
    Line(&'a str),
    /// The connection has ended.
    Closed,
}

/// Queued bytes and a callback that runs when the last of them is written.
struct Outgoing {
    bytes: Vec<u8>,
    on_written: Option<Box<dyn FnOnce()>>,
}

/// One end of a connection.
pub struct Connection {
    /// Identifies the connection within the trial.
    pub number: u64,
    stream: Async<TcpStream>,
    network: Rc<Network>,
    queue: RefCell<VecDeque<Outgoing>>,
    closing: Cell<Option<Closing>>,
    /// The host at this end is unreachable: nothing is read or written any more.
    pub silent: Cell<bool>,
    changed: Event,
}

impl Connection {
    /// Creates a connection over a stream.
    pub fn new(number: u64, stream: Async<TcpStream>, network: Rc<Network>) -> Rc<Connection> {
        // Failure is ignored: the option only lowers the latency.
        let _ = stream.get_ref().set_nodelay(true);
        let (queue, closing, silent, changed) = Default::default();
        Rc::new(Connection { number, stream, network, queue, closing, silent, changed })
    }

    /// Queues a message as one line.
    pub fn send(&self, message: &serde_json::Value) {
        self.send_raw(format!("{message}\n").into_bytes());
    }

    /// Queues bytes.
    pub fn send_raw(&self, bytes: Vec<u8>) {
        self.queue.borrow_mut().push_back(Outgoing { bytes, on_written: None });
        self.changed.notify(usize::MAX);
    }

    /// Queues bytes and a callback that runs when the last of them is written.
    pub fn send_with_callback(&self, bytes: Vec<u8>, on_written: impl FnOnce() + 'static) {
        self.queue.borrow_mut().push_back(Outgoing { bytes, on_written: Some(Box::new(on_written)) });
        self.changed.notify(usize::MAX);
    }

    /// Closes the connection when all queued bytes are written.
    pub fn close(&self) {
        self.begin_closing(Closing::Graceful);
    }

    /// Resets the connection without writing the queued bytes.
    pub fn reset(&self) {
        self.begin_closing(Closing::Reset);
    }

    fn begin_closing(&self, how: Closing) {
        self.closing.set(Some(how));
        self.changed.notify(usize::MAX);
    }

    /// Returns whether this end is closing or closed, or its host is unreachable.
    pub fn ended(&self) -> bool {
        self.closing.get().is_some() || self.silent.get()
    }

    /// Reads and writes until the connection ends, and passes all input to `on_input`.
    pub async fn serve(self: Rc<Self>, mut on_input: impl FnMut(&Rc<Connection>, Input<'_>)) {
        let read = async {
            let mut buffer = vec![0; 16 * 1024];
            let mut unparsed = Vec::new();
            while let Ok(n @ 1..) = (&self.stream).read(&mut buffer).await {
                self.network.wait_until_healed().await;
                self.wait_while_silent().await;
                unparsed.extend_from_slice(&buffer[..n]);
                while let Some(end) = unparsed.iter().position(|&b| b == b'\n') {
                    let line: Vec<u8> = unparsed.drain(..=end).collect();
                    on_input(&self, Input::Line(String::from_utf8_lossy(&line).trim_end()));
                }
            }
        };
        future::or(read, self.write()).await;
        if self.closing.get() == Some(Closing::Reset) {
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        }
        self.closing.set(self.closing.get().or(Some(Closing::Graceful)));
        on_input(&self, Input::Closed);
    }

    async fn write(&self) {
        loop {
            let listener = self.changed.listen();
            let (closing, next) = (self.closing.get(), self.queue.borrow_mut().pop_front());
            match (closing, next) {
                (Some(Closing::Reset), _) | (Some(Closing::Graceful), None) => return,
                (_, None) => listener.await,
                (_, Some(Outgoing { bytes, on_written })) => {
                    Timer::after(self.network.delay.get()).await;
                    self.network.wait_until_healed().await;
                    self.wait_while_silent().await;
                    let fragment_size =
                        if self.network.fragmented.get() { FRAGMENT_BYTES } else { bytes.len().max(1) };
                    for fragment in bytes.chunks(fragment_size) {
                        if (&self.stream).write_all(fragment).await.is_err() {
                            return;
                        }
                        if fragment_size < bytes.len() {
                            Timer::after(FRAGMENT_DELAY).await;
                        }
                    }
                    if let Some(on_written) = on_written {
                        on_written();
                    }
                }
            }
        }
    }

    async fn wait_while_silent(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.silent.get() || self.closing.get().is_some() {
                return;
            }
            listener.await;
        }
    }
}
