//! TCP: the listener for callers and the task of each connection.

use super::outbox::Outbox;
use super::{ConnNews, Inbound, Side};
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::protocol::json_lines::{LineSplitter, Message};
use crate::protocol::upstream::CloseReason;
use crate::protocol::ConnId;
use async_channel::{Receiver, SendError, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Bytes read or written at a time.
const CHUNK: usize = 16 * 1024;
/// Bytes taken in at most from a caller whose connection ends.
const SEEN_OFF: usize = 16 * CHUNK;
/// A connection that this side ends stays this long after its last byte, so that the far end can take that in:
/// closed with bytes unread it would be reset, and its answers with it.
const LINGER: Duration = Duration::from_millis(200);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Pause after an accept that failed, as when descriptors run short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A peer that acknowledges nothing for about this long is taken as gone.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// Listens for callers. Guards them against hundreds that connect at once: with the standard library's short queue
/// the system would pass their connections over, to be tried again after a second.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Takes in callers' connections for as long as the program runs, `most` at a time: beyond that they wait with the
/// system until others have ended. Guards the descriptors, whose number is a hard limit, while the task that owns
/// routing chooses which of the connections go. Once `stop` is told of, it listens no more.
pub async fn listen(
    listener: Async<TcpListener>,
    most: usize,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
    stop: Receiver<()>,
) -> Result<(), SendError<Inbound>> {
    let mut acceptor = Acceptor { next: 0, executor, inbox };
    let places = Arc::new(Semaphore::new(most));
    let stopped = async {
        // Nobody can ask any more once the other end is gone.
        let _ = stop.recv().await;
        None
    };
    futures_lite::pin!(stopped);
    loop {
        let accepted = async {
            let place = places.acquire_arc().await;
            Some((listener.accept().await, place))
        };
        match future::or(&mut stopped, accepted).await {
            Some((Ok((stream, _)), place)) => acceptor.accept(stream, Some(place)).await?,
            Some((Err(_), _)) => drop(Timer::after(ACCEPT_PAUSE).await),
            None => break,
        }
    }
    // What came up before the listener's end is served still: its callers were told that it came up.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        acceptor.accept(stream, places.try_acquire_arc()).await?;
    }
    drop(listener);
    acceptor.inbox.send(Inbound::NotListening).await
}

/// Numbers callers' connections and starts their tasks.
struct Acceptor {
    next: u64,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
}

impl Acceptor {
    async fn accept(
        &mut self,
        stream: Async<TcpStream>,
        place: Option<SemaphoreGuardArc>,
    ) -> Result<(), SendError<Inbound>> {
        let (conn, outbox) = (ConnId(self.next), Outbox::default());
        self.next += 1;
        prepare(&stream);
        let accepted = ConnNews::Accepted(outbox.clone());
        self.inbox.send(Inbound::Conn(Side::Callers, conn, accepted)).await?;
        let served = serve(stream, Side::Callers, conn, outbox, self.inbox.clone());
        let until_its_end = async move {
            served.await;
            drop(place);
        };
        self.executor.spawn(until_its_end).detach();
        Ok(())
    }
}

/// Opens a connection and serves it; it ends at once when its outbox is cut, also while it is coming up.
pub async fn open(address: SocketAddr, conn: ConnId, outbox: Outbox, inbox: Sender<Inbound>) {
    let news = |n| Inbound::Conn(Side::Exchanges, conn, n);
    let connect = async { Some(Async::<TcpStream>::connect(address).await) };
    let cut = async {
        outbox.until_cut().await;
        None
    };
    let closing = match future::or(connect, cut).await {
        Some(Ok(stream)) => {
            prepare(&stream);
            if inbox.send(news(ConnNews::Connected)).await.is_ok() {
                serve(stream, Side::Exchanges, conn, outbox, inbox).await;
            }
            return;
        }
        Some(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => CloseReason::Refused,
        Some(Err(_)) => CloseReason::ConnectFailed,
        None => CloseReason::ClosedLocally,
    };
    // The program ends when its queue is gone; nobody is left to hear of this connection then.
    drop(inbox.send(news(ConnNews::Closed(closing))).await);
}

fn prepare(stream: &Async<TcpStream>) {
    let socket = socket2::SockRef::from(stream.get_ref());
    let keepalive =
        socket2::TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE).with_retries(3);
    // Both only sharpen what works without them.
    drop(socket.set_tcp_nodelay(true));
    drop(socket.set_tcp_keepalive(&keepalive));
}

/// Owns one connection from here to its end; the descriptor is given back when this returns.
async fn serve(stream: Async<TcpStream>, side: Side, conn: ConnId, outbox: Outbox, inbox: Sender<Inbound>) {
    let spent = Cell::new(false);
    let closing = future::or(write(&stream, &outbox), async {
        future::or(read(&stream, side, conn, &inbox, &outbox, &spent), async {
            outbox.until_cut().await;
            CloseReason::ClosedLocally
        })
        .await
    })
    .await;
    if side == Side::Callers && closing == CloseReason::ClosedLocally {
        future::or(outbox.until_cut(), see_off(&stream, spent.get())).await;
    }
    if fault_injected(InjectedFault::LeakedConnection) {
        std::mem::forget(stream.get_ref().try_clone());
    }
    drop(stream);
    drop(inbox.send(Inbound::Conn(side, conn, ConnNews::Closed(closing))).await);
}

/// Ends a connection whose caller may still be sending. Guards the answers on their way to it: a close with bytes
/// unread is a reset, which takes back what the far end has not read yet. What can't be read any more is passed over;
/// else nothing more is read, since what has been read must be answered. It ends with the outbox's cut at the latest.
async fn see_off(mut stream: &Async<TcpStream>, spent: bool) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    if !spent {
        Timer::after(LINGER).await;
        return;
    }
    let mut buffer = vec![0; CHUNK];
    for _ in 0..SEEN_OFF / CHUNK {
        if !matches!(stream.read(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    }
}

async fn write(mut stream: &Async<TcpStream>, outbox: &Outbox) -> CloseReason {
    while let Some(bytes) = outbox.take(CHUNK).await {
        if stream.write_all(&bytes).await.is_err() {
            return CloseReason::Broken;
        }
    }
    CloseReason::ClosedLocally
}

async fn read(
    mut stream: &Async<TcpStream>,
    side: Side,
    conn: ConnId,
    inbox: &Sender<Inbound>,
    outbox: &Outbox,
    spent: &Cell<bool>,
) -> CloseReason {
    let mut buffer = vec![0; CHUNK];
    let (mut lines, mut half) = (LineSplitter::default(), false);
    loop {
        let stopped = async {
            // What has begun is read to its end.
            if half {
                future::pending::<()>().await;
            }
            outbox.until_stop_reading().await;
            None
        };
        let n = match future::or(stopped, async { Some(stream.read(&mut buffer).await) }).await {
            Some(Ok(0)) => return CloseReason::ClosedByPeer,
            Some(Ok(n)) => n,
            Some(Err(_)) => return CloseReason::Broken,
            None if inbox.send(Inbound::Conn(side, conn, ConnNews::ReadingStopped)).await.is_err() => {
                return CloseReason::ClosedLocally;
            }
            None => return future::pending().await,
        };
        let (mut news, mut bad) = (Vec::new(), None);
        lines.push(&buffer[..n], |line| match line.and_then(Message::parse) {
            Ok(message) if bad.is_none() => news.push(ConnNews::Message(message)),
            Ok(_) => {}
            Err(e) => drop(bad.get_or_insert(e)),
        });
        // A half line is told when it begins, so that its time counts from then however slowly the rest comes.
        let was = std::mem::replace(&mut half, lines.has_partial_line());
        if half != was || (half && !news.is_empty()) {
            news.push(ConnNews::Half(half));
        }
        spent.set(bad.is_some());
        for n in news.into_iter().chain(bad.map(ConnNews::Bad)) {
            if inbox.send(Inbound::Conn(side, conn, n)).await.is_err() {
                return CloseReason::ClosedLocally;
            }
        }
        if spent.get() {
            // What it still sends stays with the system, which stops the sender: the end of the connection is up
            // to whoever hears of the bad line.
            return future::pending().await;
        }
    }
}
