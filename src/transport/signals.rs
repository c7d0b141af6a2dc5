//! SIGTERM and SIGINT.

use super::Inbound;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Passes on each request to stop.
pub async fn watch(inbox: Sender<Inbound>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    while signals.next().await.is_some() {
        if inbox.send(Inbound::Stop).await.is_err() {
            break;
        }
    }
    Ok(())
}
