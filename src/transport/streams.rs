//! TCP: the listener for callers, connections to exchanges, and the task that serves each connection.

use super::outbox::Outbox;
use super::{ConnEvent, Inbound, Side};
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::protocol::json_lines::{LineSplitter, Message};
use crate::protocol::upstream::CloseReason;
use crate::protocol::ConnId;
use async_channel::{Receiver, SendError, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Size of the read buffer, and of a batch of lines that is written.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of messages of one caller in the event queue. A caller that sends faster than they are handled waits,
/// and does not delay the messages of others by more than the handling of these.
const MAX_QUEUED_OF_CALLER: usize = 16;
/// The same for an exchange, which serves many callers.
const MAX_QUEUED_OF_EXCHANGE: usize = 128;
/// The byte that ends each line.
const LINE_END: u8 = b'\n';
/// Maximum number of bytes read and discarded from a caller while its connection is being closed.
const MAX_DISCARDED_BYTES: usize = 16 * CHUNK_BYTES;
/// How long a caller's connection that this side closes stays open after its last byte was sent, so that the remote
/// end can read it. Closing a socket with unread data resets the connection, and the remote end would lose answers that
/// it has not read.
const LINGER: Duration = Duration::from_millis(200);
/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;
/// Delay before retrying a failed accept, for example when no descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle time before the first TCP keepalive probe, and interval between probes. The system drops a connection whose
/// remote end answers none of three probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Listens for callers. Uses a longer backlog than the standard library: when hundreds of callers connect at once, the
/// system would drop connections from a short queue, and those callers would retry only after a second.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Accepts callers' connections until `stop` is signalled, at most `max_connections` at a time; further ones wait in
/// the system's backlog until others have ended. The limit keeps descriptors free, whose number is a hard limit, while
/// the event loop chooses which connections to close.
pub async fn listen(
    listener: Async<TcpListener>,
    max_connections: usize,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
    stop: Receiver<()>,
) -> Result<(), SendError<Inbound>> {
    let mut acceptor = Acceptor { next_id: 0, executor, inbox };
    let permits = Arc::new(Semaphore::new(max_connections));
    let stopped = async {
        // A closed channel also counts as a request to stop.
        let _ = stop.recv().await;
        None
    };
    futures_lite::pin!(stopped);
    loop {
        let accepted = async {
            let permit = permits.acquire_arc().await;
            Some((listener.accept().await, permit))
        };
        match future::or(&mut stopped, accepted).await {
            Some((Ok((stream, _)), permit)) => acceptor.accept(stream, Some(permit)).await?,
            Some((Err(_), _)) => drop(Timer::after(ACCEPT_RETRY_DELAY).await),
            None => break,
        }
    }
    // Connections that the system has already accepted are still served, since for their callers they are established.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        acceptor.accept(stream, permits.try_acquire_arc()).await?;
    }
    drop(listener);
    acceptor.inbox.send(Inbound::ListenerClosed).await
}

/// Assigns identifiers to callers' connections and starts their tasks.
struct Acceptor {
    next_id: u64,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
}

impl Acceptor {
    async fn accept(
        &mut self,
        stream: Async<TcpStream>,
        permit: Option<SemaphoreGuardArc>,
    ) -> Result<(), SendError<Inbound>> {
        let (conn, outbox) = (ConnId(self.next_id), Outbox::default());
        self.next_id += 1;
        set_socket_options(&stream);
        let accepted = ConnEvent::Accepted(outbox.clone());
        self.inbox.send(Inbound::Conn(Side::Callers, conn, accepted)).await?;
        let served = serve(stream, Side::Callers, conn, outbox, self.inbox.clone());
        let task = async move {
            served.await;
            drop(permit);
        };
        self.executor.spawn(task).detach();
        Ok(())
    }
}

/// Opens a connection to an exchange and serves it. It ends at once when its outbox is aborted, also while it is being
/// established.
pub async fn open(address: SocketAddr, conn: ConnId, outbox: Outbox, inbox: Sender<Inbound>) {
    let to_inbound = |event| Inbound::Conn(Side::Exchanges, conn, event);
    let connect = async { Some(Async::<TcpStream>::connect(address).await) };
    let aborted = async {
        outbox.wait_for_abort().await;
        None
    };
    let reason = match future::or(connect, aborted).await {
        Some(Ok(stream)) => {
            set_socket_options(&stream);
            if inbox.send(to_inbound(ConnEvent::Connected)).await.is_ok() {
                serve(stream, Side::Exchanges, conn, outbox, inbox).await;
            }
            return;
        }
        Some(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => CloseReason::Refused,
        Some(Err(_)) => CloseReason::ConnectFailed,
        None => CloseReason::ClosedLocally,
    };
    // Sending fails only when the event loop has ended, and the event is not needed then.
    drop(inbox.send(to_inbound(ConnEvent::Closed(reason))).await);
}

fn set_socket_options(stream: &Async<TcpStream>) {
    let socket = socket2::SockRef::from(stream.get_ref());
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(3);
    // Errors are ignored: without these options answers are slower and a dead remote end is noticed later.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
}

/// Serves a connection until it ends. The descriptor is closed when this returns.
async fn serve(stream: Async<TcpStream>, side: Side, conn: ConnId, outbox: Outbox, inbox: Sender<Inbound>) {
    let invalid_line = Cell::new(false);
    let reason = future::or(write(&stream, &outbox), async {
        future::or(read(&stream, side, conn, &inbox, &outbox, &invalid_line), async {
            outbox.wait_for_abort().await;
            CloseReason::ClosedLocally
        })
        .await
    })
    .await;
    if side == Side::Callers && reason == CloseReason::ClosedLocally {
        future::or(outbox.wait_for_abort(), close_gracefully(&stream, invalid_line.get())).await;
    }
    if fault_injected(InjectedFault::LeakedConnection) {
        std::mem::forget(stream.get_ref().try_clone());
    }
    drop(stream);
    drop(inbox.send(Inbound::Conn(side, conn, ConnEvent::Closed(reason))).await);
}

/// Closes the connection of a caller that may still be sending. Closing a socket with unread data would reset the
/// connection, and answers that the caller has not read yet would be lost. After an invalid line, received data is
/// discarded; otherwise nothing more is read, since every message that is read must be answered. An abort of the outbox
/// ends this early.
async fn close_gracefully(mut stream: &Async<TcpStream>, invalid_line: bool) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    if !invalid_line {
        Timer::after(LINGER).await;
        return;
    }
    let mut buffer = vec![0; CHUNK_BYTES];
    for _ in 0..MAX_DISCARDED_BYTES / CHUNK_BYTES {
        if !matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    }
}

/// Whether the remote end has closed the connection, although data that it sent before may still be unread.
fn has_peer_closed(stream: &Async<TcpStream>) -> bool {
    let mut polled = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    let now = Timespec::default();
    // An error means that nothing is known.
    poll(&mut polled, Some(&now)).is_ok() && !polled[0].revents().is_empty()
}

async fn write(mut stream: &Async<TcpStream>, outbox: &Outbox) -> CloseReason {
    while let Some(bytes) = outbox.next_batch(CHUNK_BYTES).await {
        if stream.write_all(&bytes).await.is_err() {
            return CloseReason::Broken;
        }
    }
    CloseReason::ClosedLocally
}

/// Passes the events of one connection on to the event loop.
struct EventSender<'a> {
    stream: &'a Async<TcpStream>,
    side: Side,
    conn: ConnId,
    inbox: &'a Sender<Inbound>,
    /// Limits the messages of the connection in the event queue.
    permits: Arc<Semaphore>,
    /// Whether the end of a caller's connection has been reported.
    peer_closed: bool,
}

impl<'a> EventSender<'a> {
    fn new(stream: &'a Async<TcpStream>, side: Side, conn: ConnId, inbox: &'a Sender<Inbound>) -> Self {
        let max_queued = match side {
            Side::Callers => MAX_QUEUED_OF_CALLER,
            Side::Exchanges => MAX_QUEUED_OF_EXCHANGE,
        };
        let permits = Arc::new(Semaphore::new(max_queued));
        EventSender { stream, side, conn, inbox, permits, peer_closed: false }
    }

    async fn send(&self, event: ConnEvent) -> Result<(), SendError<Inbound>> {
        self.inbox.send(Inbound::Conn(self.side, self.conn, event)).await
    }

    /// Sends a message once the event queue may take another one of this connection.
    async fn send_message(&mut self, message: Message) -> Result<(), SendError<Inbound>> {
        let permit = match self.permits.try_acquire_arc() {
            Some(permit) => permit,
            None => {
                let permit = self.permits.acquire_arc().await;
                self.report_closed_peer().await?;
                permit
            }
        };
        self.send(ConnEvent::Message(message, permit)).await
    }

    /// Reports, once, that a caller has closed its connection. The messages that are still unread follow.
    async fn report_closed_peer(&mut self) -> Result<(), SendError<Inbound>> {
        if self.side != Side::Callers || self.peer_closed || !has_peer_closed(self.stream) {
            return Ok(());
        }
        self.peer_closed = true;
        self.send(ConnEvent::PeerClosed).await
    }
}

/// Reads a connection until it ends, and passes its messages on.
async fn read(
    stream: &Async<TcpStream>,
    side: Side,
    conn: ConnId,
    inbox: &Sender<Inbound>,
    outbox: &Outbox,
    invalid_line: &Cell<bool>,
) -> CloseReason {
    let events = EventSender::new(stream, side, conn, inbox);
    // Sending fails only when the event loop has ended.
    read_messages(stream, events, outbox, invalid_line).await.unwrap_or(CloseReason::ClosedLocally)
}

async fn read_messages(
    mut stream: &Async<TcpStream>,
    mut events: EventSender<'_>,
    outbox: &Outbox,
    invalid_line: &Cell<bool>,
) -> Result<CloseReason, SendError<Inbound>> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let (mut lines, mut partial) = (LineSplitter::default(), false);
    loop {
        let stopped = async {
            // An incomplete line is read to its end first.
            if partial {
                future::pending::<()>().await;
            }
            outbox.wait_for_stop_reading().await;
            None
        };
        // What has arrived before the request to stop is read first: the remote end counts it as taken.
        let length = match future::or(async { Some(stream.read(&mut buffer).await) }, stopped).await {
            Some(Ok(0)) => return Ok(CloseReason::ClosedByPeer),
            Some(Ok(length)) => length,
            Some(Err(_)) => return Ok(CloseReason::Broken),
            None => {
                events.send(ConnEvent::ReadingStopped).await?;
                return future::pending().await;
            }
        };
        events.report_closed_peer().await?;
        // Each line is parsed just before it is sent on: parsed, messages take many times the memory of their text.
        let mut sent_message = false;
        for part in buffer[..length].split_inclusive(|&byte| byte == LINE_END) {
            let mut received = None;
            lines.push(part, |line| received = Some(line.and_then(Message::parse)));
            match received {
                None => continue,
                Some(Ok(message)) => events.send_message(message).await?,
                Some(Err(error)) => {
                    invalid_line.set(true);
                    if partial {
                        events.send(ConnEvent::PartialLine(false)).await?;
                    }
                    events.send(ConnEvent::InvalidLine(error)).await?;
                    // Nothing more is read, so TCP flow control stops the sender. The event loop closes the connection
                    // when it handles the invalid line.
                    return future::pending().await;
                }
            }
            sent_message = true;
        }
        // An incomplete line is reported when it begins, so that its timeout runs from then on, however slowly the rest
        // arrives.
        let was_partial = std::mem::replace(&mut partial, lines.has_partial_line());
        if partial != was_partial || (partial && sent_message) {
            events.send(ConnEvent::PartialLine(partial)).await?;
        }
    }
}
