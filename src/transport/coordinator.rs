//! The coordinator's stream of list events.

use super::Inbound;
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::protocol::server_events::{ChunkedDecoder, EventReader, StreamError};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::{pin, Pin};
use std::time::{Duration, Instant};

/// A stream that brings nothing, not even its comment each second, for this long is given up.
const SILENT: Duration = Duration::from_millis(2_500);
/// Time to connect and to get the whole head of the answer.
const OPENING: Duration = Duration::from_millis(3_900);
/// While an answer is waited for this long, the stream is asked for once more beside it: the coordinator may have been
/// out of reach when it was asked first, or it may be slow.
const ASK_AGAIN: Duration = Duration::from_millis(1_500);
/// Requests that wait for an answer at a time.
const MOST_ASKED: u32 = 3;
/// Pause before the stream is asked for again.
const AGAIN: Duration = Duration::from_millis(150);
/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;
/// The longest head of an answer.
const LONGEST_HEAD: usize = 16 * 1024;

#[derive(Debug, thiserror::Error)]
enum Lost {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("the answer is no stream: status {0:?}")]
    Status(Option<u16>),
    #[error("the head of the answer can't be read: {0}")]
    Head(#[from] httparse::Error),
    #[error("silent")]
    Silent,
    #[error("it ended")]
    Ended,
    #[error("something else is wished for")]
    Wish(Wish),
    #[error("the program ends")]
    Over,
}

/// What may be wished of the task that follows the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// The whole list, from the first event on.
    WholeList,
    /// The stream at this address; `None`: no stream.
    Follow(Option<SocketAddr>),
}

/// Follows the stream for as long as the program runs, each time from the event after the last one that came,
/// also at another address: the numbering is one. The whole list is asked for from the first event on.
pub async fn follow(
    mut address: Option<SocketAddr>,
    mut last: u64,
    wishes: Receiver<Wish>,
    inbox: Sender<Inbound>,
) {
    loop {
        let began = Instant::now();
        match once(address, &mut last, &wishes, &inbox).await {
            Lost::Over => return,
            Lost::Wish(Wish::WholeList) => last = 0,
            Lost::Wish(Wish::Follow(other)) => {
                address = other;
                if fault_injected(InjectedFault::NewsMissedAfterReload) {
                    last = u64::MAX / 2;
                }
                continue;
            }
            e => {
                if inbox.send(Inbound::Stream(Err(e.to_string()))).await.is_err() {
                    return;
                }
            }
        }
        if began.elapsed() < AGAIN {
            Timer::after(AGAIN).await;
        }
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T, Lost>>) -> Result<T, Lost> {
    let late = async {
        Timer::after(limit).await;
        Err(Lost::Silent)
    };
    future::or(work, late).await
}

async fn once(
    address: Option<SocketAddr>,
    last: &mut u64,
    wishes: &Receiver<Wish>,
    inbox: &Sender<Inbound>,
) -> Lost {
    let wished = async {
        match wishes.recv().await {
            Ok(wish) => Lost::Wish(wish),
            // Nobody can ask any more.
            Err(_) => future::pending().await,
        }
    };
    let stream = async {
        match address {
            Some(address) => read(address, last, inbox).await.err().unwrap_or(Lost::Ended),
            None => future::pending().await,
        }
    };
    future::or(wished, stream).await
}

/// A stream whose head has come.
struct Opened {
    stream: Async<TcpStream>,
    chunked: bool,
    /// What came after the head.
    body: Vec<u8>,
}

/// Asks for the stream from the event after `last` on, and once more beside that while no answer comes. The first
/// answer counts, and the other requests are dropped.
fn open_with_spare(
    address: SocketAddr,
    last: u64,
    most: u32,
) -> Pin<Box<dyn Future<Output = Result<Opened, Lost>>>> {
    Box::pin(async move {
        let mut first = pin!(within(OPENING, open(address, last)));
        if most <= 1 {
            return first.await;
        }
        let waited = async {
            Timer::after(ASK_AGAIN).await;
            None
        };
        if let Some(answer) = future::or(async { Some(first.as_mut().await) }, waited).await {
            return answer;
        }
        let mut spare = open_with_spare(address, last, most - 1);
        let either =
            future::or(async { (true, first.as_mut().await) }, async { (false, spare.as_mut().await) });
        match either.await {
            (_, Ok(opened)) => Ok(opened),
            (true, Err(_)) => spare.await,
            (false, Err(_)) => first.await,
        }
    })
}

async fn open(address: SocketAddr, last: u64) -> Result<Opened, Lost> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let request = format!(
        "GET /v2/stream HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
         Last-Event-ID: {last}\r\nCache-Control: no-cache\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    let mut buffer = vec![0; CHUNK];
    loop {
        let n = stream.read(&mut buffer).await?;
        head.extend_from_slice(&buffer[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(at) = response.parse(&head)? {
            if response.code != Some(200) {
                return Err(Lost::Status(response.code));
            }
            let coded = |h: &httparse::Header<'_>| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.to_ascii_lowercase().ends_with(b"chunked")
            };
            let chunked = response.headers.iter().any(coded);
            return Ok(Opened { stream, chunked, body: head[at..].to_vec() });
        }
        if n == 0 || head.len() > LONGEST_HEAD {
            return Err(Lost::Status(None));
        }
    }
}

async fn read(address: SocketAddr, last: &mut u64, inbox: &Sender<Inbound>) -> Result<(), Lost> {
    let Opened { mut stream, chunked, body } = open_with_spare(address, *last, MOST_ASKED).await?;
    inbox.send(Inbound::Stream(Ok(()))).await.map_err(|_| Lost::Over)?;
    let mut buffer = vec![0; CHUNK];
    let (mut chunks, mut reader) = (ChunkedDecoder::default(), EventReader::default());
    let mut bytes = body;
    loop {
        let mut events = Vec::new();
        let over = if chunked {
            chunks.push(&bytes, |c| reader.push(c, &mut |e| events.push(e)))?
        } else {
            reader.push(&bytes, &mut |e| events.push(e))?;
            false
        };
        for event in events {
            let id = event.id;
            // Guards against an event that is told twice: by then it may no longer be so.
            if id.is_some_and(|id| id <= *last) {
                continue;
            }
            inbox.send(Inbound::List(event)).await.map_err(|_| Lost::Over)?;
            *last = id.unwrap_or(*last);
        }
        if over {
            return Ok(());
        }
        let n = within(SILENT, async { Ok(stream.read(&mut buffer).await?) }).await?;
        if n == 0 {
            return Ok(());
        }
        bytes.clear();
        bytes.extend_from_slice(&buffer[..n]);
    }
}
