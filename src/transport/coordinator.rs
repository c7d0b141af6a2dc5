//! The client of the coordinator's stream of list events (server-sent events over HTTP).

use super::Inbound;
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::protocol::server_events::{ChunkedDecoder, EventReader, ServerEvent, StreamError};
use crate::protocol::stream_requests::{RequestEvent, RequestId, RequestOutput, StreamRequests};
use crate::routing::interface::Micros;
use async_channel::{bounded, Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Capacity of the queue from the requests to the task that follows them; requests wait while it is full.
const PART_QUEUE_CAPACITY: usize = 16;

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
    #[error("closed by the coordinator")]
    Closed,
}

/// The program is shutting down: nobody takes events any more.
struct ShuttingDown;

/// A command to the task that follows the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamCommand {
    /// Fetch the whole list, from the first event on.
    FetchList,
    /// Follow the stream at this address; with `None`, follow no stream.
    Follow(Option<SocketAddr>),
}

/// What a request reports.
enum StreamPart {
    /// Data arrived after the response head, with these events; comments have none.
    Data(Vec<ServerEvent>),
    /// The request failed or its stream ended.
    Ended(StreamEnd),
}

/// What the task that follows the stream waits for.
enum Wakeup {
    Command(StreamCommand),
    Part(RequestId, StreamPart),
    Timeout,
}

/// Follows the stream for as long as the program runs. A new request continues after the last event received, also
/// at another address, since all addresses number the events alike; to fetch the whole list it starts at the first
/// event.
pub async fn follow(
    address: Option<SocketAddr>,
    last_event_id: u64,
    commands: Receiver<StreamCommand>,
    inbox: Sender<Inbound>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let (parts, part_queue) = bounded(PART_QUEUE_CAPACITY);
    let mut follower = Follower {
        address,
        last_event_id,
        started: Instant::now(),
        requests: StreamRequests::new(0),
        tasks: BTreeMap::new(),
        parts,
        inbox,
        executor,
    };
    loop {
        let wakeup = follower.wait(&commands, &part_queue).await;
        if follower.handle(wakeup).await.is_err() {
            return;
        }
    }
}

/// The requests for the stream and the task of each.
struct Follower {
    address: Option<SocketAddr>,
    last_event_id: u64,
    /// Start of the clock of `requests`.
    started: Instant,
    requests: StreamRequests,
    /// Dropping a task closes its connection.
    tasks: BTreeMap<RequestId, Task<()>>,
    parts: Sender<(RequestId, StreamPart)>,
    inbox: Sender<Inbound>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Follower {
    fn now(&self) -> Micros {
        Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    async fn wait(
        &self,
        commands: &Receiver<StreamCommand>,
        parts: &Receiver<(RequestId, StreamPart)>,
    ) -> Wakeup {
        let command = async {
            match commands.recv().await {
                Ok(command) => Wakeup::Command(command),
                // The sender is gone, so no command can follow.
                Err(_) => future::pending().await,
            }
        };
        let part = async {
            match parts.recv().await {
                Ok((id, part)) => Wakeup::Part(id, part),
                Err(_) => future::pending().await,
            }
        };
        let timeout = async {
            if self.address.is_none() {
                return future::pending().await;
            }
            let after = u64::try_from(self.requests.next_timeout()).unwrap_or(0);
            Timer::at(self.started + Duration::from_micros(after)).await;
            Wakeup::Timeout
        };
        future::or(command, future::or(part, timeout)).await
    }

    async fn handle(&mut self, wakeup: Wakeup) -> Result<(), ShuttingDown> {
        let now = self.now();
        match wakeup {
            Wakeup::Command(command) => self.handle_command(now, command),
            Wakeup::Timeout => self.requests.on_timeout(now),
            Wakeup::Part(id, StreamPart::Data(events)) => {
                if self.requests.handle(now, id, RequestEvent::Delivered) {
                    self.carry_out_requests().await?;
                    self.pass_on(events).await?;
                }
            }
            Wakeup::Part(id, StreamPart::Ended(reason)) => {
                self.tasks.remove(&id);
                if self.requests.handle(now, id, RequestEvent::Ended) {
                    self.report(Err(reason.to_string())).await?;
                }
            }
        }
        self.carry_out_requests().await
    }

    fn handle_command(&mut self, now: Micros, command: StreamCommand) {
        match command {
            // The open requests are already for the whole list, and a coordinator may need its time to answer them.
            StreamCommand::FetchList if self.last_event_id == 0 && !self.requests.is_following() => {}
            StreamCommand::FetchList => {
                self.last_event_id = 0;
                self.requests.restart(now);
            }
            StreamCommand::Follow(address) => {
                self.address = address;
                self.requests.restart(now);
                if fault_injected(InjectedFault::NewsMissedAfterReload) {
                    self.last_event_id = u64::MAX / 2;
                }
            }
        }
    }

    async fn carry_out_requests(&mut self) -> Result<(), ShuttingDown> {
        for output in self.requests.take_outputs() {
            match output {
                RequestOutput::Send(id) => self.send_request(id),
                RequestOutput::Abandon(id) => {
                    tracing::debug!("coordinator: request {id:?} abandoned");
                    self.tasks.remove(&id);
                }
                RequestOutput::Follow(_) => self.report(Ok(())).await?,
                RequestOutput::Silent(_) => self.report(Err("the stream is silent".to_owned())).await?,
            }
        }
        Ok(())
    }

    fn send_request(&mut self, id: RequestId) {
        let Some(address) = self.address else { return };
        let (last_event_id, parts) = (self.last_event_id, self.parts.clone());
        tracing::debug!("coordinator: request {id:?} for the events after {last_event_id}");
        let request = async move {
            let end = read_stream(address, last_event_id, id, &parts).await;
            // The queue is closed only when the program ends.
            let _ = parts.send((id, StreamPart::Ended(end))).await;
        };
        self.tasks.insert(id, self.executor.spawn(request));
    }

    async fn pass_on(&mut self, events: Vec<ServerEvent>) -> Result<(), ShuttingDown> {
        for event in events {
            let id = event.id;
            // Skip repeated events: their content may be outdated by now.
            if id.is_some_and(|id| id <= self.last_event_id) {
                continue;
            }
            self.inbox.send(Inbound::CoordinatorEvent(event)).await.map_err(|_| ShuttingDown)?;
            self.last_event_id = id.unwrap_or(self.last_event_id);
        }
        Ok(())
    }

    async fn report(&self, state: Result<(), String>) -> Result<(), ShuttingDown> {
        self.inbox.send(Inbound::CoordinatorStream(state)).await.map_err(|_| ShuttingDown)
    }
}

/// A stream whose response head has been read.
struct OpenStream {
    stream: Async<TcpStream>,
    chunked: bool,
    /// Data received after the head.
    body: Vec<u8>,
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

/// Requests the stream and reports its data until it ends; returns why it ended.
async fn read_stream(
    address: SocketAddr,
    last_event_id: u64,
    id: RequestId,
    parts: &Sender<(RequestId, StreamPart)>,
) -> StreamEnd {
    let opened = match open(address, last_event_id).await {
        Ok(opened) => opened,
        Err(end) => return end,
    };
    match read_events(opened, id, parts).await {
        Ok(()) => StreamEnd::Closed,
        Err(end) => end,
    }
}

async fn read_events(
    opened: OpenStream,
    id: RequestId,
    parts: &Sender<(RequestId, StreamPart)>,
) -> Result<(), StreamEnd> {
    let OpenStream { mut stream, chunked, body: mut bytes } = opened;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let (mut chunks, mut reader) = (ChunkedDecoder::default(), EventReader::default());
    loop {
        let mut events = Vec::new();
        let finished = if chunked {
            chunks.push(&bytes, |data| reader.push(data, &mut |event| events.push(event)))?
        } else {
            reader.push(&bytes, &mut |event| events.push(event))?;
            false
        };
        let queue_closed = !bytes.is_empty() && parts.send((id, StreamPart::Data(events))).await.is_err();
        if finished || queue_closed {
            return Ok(());
        }
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        bytes.clear();
        bytes.extend_from_slice(&buffer[..length]);
    }
}
