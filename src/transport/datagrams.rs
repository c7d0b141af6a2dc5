//! UDP sockets for peers, gateways and gossip.

use super::Inbound;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::future;
use std::net::{SocketAddr, UdpSocket};

/// A datagram to send.
pub type Outgoing = (SocketAddr, Vec<u8>);

/// Serves a UDP socket for as long as the program runs: received datagrams are converted by `to_event`, queued ones
/// are sent. A datagram that cannot be sent is dropped, and one longer than `max_bytes` is ignored.
pub async fn serve(
    socket: Async<UdpSocket>,
    max_bytes: usize,
    queue: Receiver<Outgoing>,
    inbox: Sender<Inbound>,
    to_event: fn(SocketAddr, Vec<u8>) -> Inbound,
) {
    let receive = async {
        let mut buffer = vec![0; max_bytes + 1];
        loop {
            if let Ok((n, from)) = socket.recv_from(&mut buffer).await {
                if n <= max_bytes && inbox.send(to_event(from, buffer[..n].to_vec())).await.is_err() {
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
