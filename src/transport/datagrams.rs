//! UDP: peers' messages and gateways' commands.

use super::Inbound;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future;
use std::net::{SocketAddr, UdpSocket};

/// A datagram to send.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// Serves a UDP socket for as long as the program runs: what comes is made news by `news`, what is queued goes
/// out. What can't be sent is lost, as any datagram may be. A datagram longer than `longest` is passed over.
pub async fn serve(
    socket: Async<UdpSocket>,
    longest: usize,
    queue: Receiver<Outgoing>,
    inbox: Sender<Inbound>,
    news: fn(SocketAddr, Vec<u8>) -> Inbound,
) {
    let receive = async {
        let mut buffer = vec![0; longest + 1];
        loop {
            if let Ok((n, from)) = socket.recv_from(&mut buffer).await {
                if n <= longest && inbox.send(news(from, buffer[..n].to_vec())).await.is_err() {
                    return;
                }
            }
        }
    };
    let send = async {
        while let Ok((to, body)) = queue.recv().await {
            drop(socket.send_to(&body, to).await);
        }
    };
    future::zip(receive, send).await;
}
