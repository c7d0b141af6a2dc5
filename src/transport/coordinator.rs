//! The client of the coordinator's stream of list events (server-sent events over HTTP).

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

/// A stream that delivers no data for this long is closed; a live stream sends a comment each second.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for connecting and reading the response head.
const OPEN_TIMEOUT: Duration = Duration::from_millis(3_900);
/// If there is no response after this time, another request is sent in parallel: the coordinator may have been
/// unreachable when the first one was sent, or it may be slow.
const PARALLEL_REQUEST_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of parallel requests.
const MAX_PARALLEL_REQUESTS: u32 = 3;
/// Delay before opening the stream again if the last attempt ended sooner than this.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

#[derive(Debug, thiserror::Error)]
enum StreamEnd {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
    #[error("the response is not an event stream: status {0:?}")]
    Status(Option<u16>),
    #[error("invalid response head: {0}")]
    Head(#[from] httparse::Error),
    #[error("timed out")]
    TimedOut,
    #[error("closed by the coordinator")]
    Closed,
    #[error("interrupted by a command")]
    Command(StreamCommand),
    #[error("the program is shutting down")]
    ShuttingDown,
}

/// A command to the task that follows the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCommand {
    /// Fetch the whole list, from the first event on.
    FetchList,
    /// Follow the stream at this address; with `None`, follow no stream.
    Follow(Option<SocketAddr>),
}

/// Follows the stream for as long as the program runs. A new connection continues after the last event received, also
/// at another address, since all addresses number the events alike; to fetch the whole list it starts at the first
/// event.
pub async fn follow(
    mut address: Option<SocketAddr>,
    mut last_event_id: u64,
    commands: Receiver<StreamCommand>,
    inbox: Sender<Inbound>,
) {
    loop {
        let started = Instant::now();
        match follow_once(address, &mut last_event_id, &commands, &inbox).await {
            StreamEnd::ShuttingDown => return,
            StreamEnd::Command(StreamCommand::FetchList) => last_event_id = 0,
            StreamEnd::Command(StreamCommand::Follow(new_address)) => {
                address = new_address;
                if fault_injected(InjectedFault::NewsMissedAfterReload) {
                    last_event_id = u64::MAX / 2;
                }
                continue;
            }
            end => {
                if inbox.send(Inbound::CoordinatorStream(Err(end.to_string()))).await.is_err() {
                    return;
                }
            }
        }
        if started.elapsed() < RECONNECT_DELAY {
            Timer::after(RECONNECT_DELAY).await;
        }
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, StreamEnd>>,
) -> Result<T, StreamEnd> {
    let timeout = async {
        Timer::after(limit).await;
        Err(StreamEnd::TimedOut)
    };
    future::or(work, timeout).await
}

async fn follow_once(
    address: Option<SocketAddr>,
    last_event_id: &mut u64,
    commands: &Receiver<StreamCommand>,
    inbox: &Sender<Inbound>,
) -> StreamEnd {
    let command = async {
        match commands.recv().await {
            Ok(command) => StreamEnd::Command(command),
            // The sender is gone, so no command can follow.
            Err(_) => future::pending().await,
        }
    };
    let stream = async {
        match address {
            Some(address) => {
                read_events(address, last_event_id, inbox).await.err().unwrap_or(StreamEnd::Closed)
            }
            None => future::pending().await,
        }
    };
    future::or(command, stream).await
}

/// A stream whose response head has been read.
struct OpenStream {
    stream: Async<TcpStream>,
    chunked: bool,
    /// Data received after the head.
    body: Vec<u8>,
}

/// Requests the stream from the event after `last_event_id` on, and sends further requests in parallel while there is
/// no response. The first stream that opens is used, and the other requests are dropped.
fn open_with_parallel_requests(
    address: SocketAddr,
    last_event_id: u64,
    max_requests: u32,
) -> Pin<Box<dyn Future<Output = Result<OpenStream, StreamEnd>>>> {
    Box::pin(async move {
        let mut first = pin!(with_timeout(OPEN_TIMEOUT, open(address, last_event_id)));
        if max_requests <= 1 {
            return first.await;
        }
        let delay = async {
            Timer::after(PARALLEL_REQUEST_DELAY).await;
            None
        };
        if let Some(result) = future::or(async { Some(first.as_mut().await) }, delay).await {
            return result;
        }
        let mut second = open_with_parallel_requests(address, last_event_id, max_requests - 1);
        let either =
            future::or(async { (true, first.as_mut().await) }, async { (false, second.as_mut().await) });
        match either.await {
            (_, Ok(stream)) => Ok(stream),
            (true, Err(_)) => second.await,
            (false, Err(_)) => first.await,
        }
    })
}

async fn open(address: SocketAddr, last_event_id: u64) -> Result<OpenStream, StreamEnd> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let request = format!(
        "GET /v2/stream HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\n\
         Last-Event-ID: {last_event_id}\r\nCache-Control: no-cache\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut head = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer).await?;
        head.extend_from_slice(&buffer[..length]);
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        if let httparse::Status::Complete(head_length) = response.parse(&head)? {
            if response.code != Some(200) {
                return Err(StreamEnd::Status(response.code));
            }
            let is_chunked = |h: &httparse::Header<'_>| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.to_ascii_lowercase().ends_with(b"chunked")
            };
            let chunked = response.headers.iter().any(is_chunked);
            return Ok(OpenStream { stream, chunked, body: head[head_length..].to_vec() });
        }
        if length == 0 || head.len() > MAX_HEAD_BYTES {
            return Err(StreamEnd::Status(None));
        }
    }
}

async fn read_events(
    address: SocketAddr,
    last_event_id: &mut u64,
    inbox: &Sender<Inbound>,
) -> Result<(), StreamEnd> {
    let OpenStream { mut stream, chunked, body } =
        open_with_parallel_requests(address, *last_event_id, MAX_PARALLEL_REQUESTS).await?;
    inbox.send(Inbound::CoordinatorStream(Ok(()))).await.map_err(|_| StreamEnd::ShuttingDown)?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let (mut chunks, mut reader) = (ChunkedDecoder::default(), EventReader::default());
    let mut bytes = body;
    loop {
        let mut events = Vec::new();
        let finished = if chunked {
            chunks.push(&bytes, |data| reader.push(data, &mut |event| events.push(event)))?
        } else {
            reader.push(&bytes, &mut |event| events.push(event))?;
            false
        };
        for event in events {
            let id = event.id;
            // Skip repeated events: their content may be outdated by now.
            if id.is_some_and(|id| id <= *last_event_id) {
                continue;
            }
            inbox.send(Inbound::CoordinatorEvent(event)).await.map_err(|_| StreamEnd::ShuttingDown)?;
            *last_event_id = id.unwrap_or(*last_event_id);
        }
        if finished {
            return Ok(());
        }
        let length = with_timeout(IDLE_TIMEOUT, async { Ok(stream.read(&mut buffer).await?) }).await?;
        if length == 0 {
            return Ok(());
        }
        bytes.clear();
        bytes.extend_from_slice(&buffer[..length]);
    }
}
