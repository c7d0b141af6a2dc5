//! TCP: the listener for callers and the task of each connection.

use super::outbox::Outbox;
use super::{ConnNews, Inbound, Side};
use crate::protocol::exchanges::Closing;
use crate::protocol::json_lines::{LineSplitter, Message};
use crate::protocol::ConnId;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bytes read or written at a time.
const CHUNK: usize = 16 * 1024;
/// Pause after an accept that failed, as when descriptors run short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A peer that acknowledges nothing for about this long is taken as gone.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// Takes in callers' connections for as long as the program runs.
pub async fn listen(
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    inbox: Sender<Inbound>,
) -> Result<(), async_channel::SendError<Inbound>> {
    let mut next = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (conn, outbox) = (ConnId(next), Outbox::default());
                next += 1;
                prepare(&stream);
                inbox.send(Inbound::Conn(Side::Callers, conn, ConnNews::Accepted(outbox.clone()))).await?;
                let inbox = inbox.clone();
                executor.spawn(serve(stream, Side::Callers, conn, outbox, inbox)).detach();
            }
            Err(_) => drop(Timer::after(ACCEPT_PAUSE).await),
        }
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
        Some(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Closing::Refused,
        Some(Err(_)) => Closing::NotMade,
        None => Closing::Ours,
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
    let closing = future::or(write(&stream, &outbox), async {
        future::or(read(&stream, side, conn, &inbox), async {
            outbox.until_cut().await;
            Closing::Ours
        })
        .await
    })
    .await;
    drop(stream);
    drop(inbox.send(Inbound::Conn(side, conn, ConnNews::Closed(closing))).await);
}

async fn write(mut stream: &Async<TcpStream>, outbox: &Outbox) -> Closing {
    while let Some(bytes) = outbox.take(CHUNK).await {
        if stream.write_all(&bytes).await.is_err() {
            return Closing::Broken;
        }
    }
    Closing::Ours
}

async fn read(mut stream: &Async<TcpStream>, side: Side, conn: ConnId, inbox: &Sender<Inbound>) -> Closing {
    let mut buffer = vec![0; CHUNK];
    let (mut lines, mut half) = (LineSplitter::default(), false);
    loop {
        let n = match stream.read(&mut buffer).await {
            Ok(0) => return Closing::Ended,
            Ok(n) => n,
            Err(_) => return Closing::Broken,
        };
        let (mut news, mut bad) = (Vec::new(), None);
        lines.push(&buffer[..n], |line| match line.and_then(Message::parse) {
            Ok(message) if bad.is_none() => news.push(ConnNews::Message(message)),
            Ok(_) => {}
            Err(e) => drop(bad.get_or_insert(e)),
        });
        // A half line is told when it begins, so that its time counts from then however slowly the rest comes.
        let was = std::mem::replace(&mut half, lines.half());
        if half != was || (half && !news.is_empty()) {
            news.push(ConnNews::Half(half));
        }
        let finished = bad.is_some();
        for n in news.into_iter().chain(bad.map(ConnNews::Bad)) {
            if inbox.send(Inbound::Conn(side, conn, n)).await.is_err() {
                return Closing::Ours;
            }
        }
        if finished {
            // What it still sends stays with the system, which stops the sender: the end of the connection is up
            // to whoever hears of the bad line.
            return future::pending().await;
        }
    }
}
