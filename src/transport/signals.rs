//! SIGTERM and SIGINT, which ask for a stop, and SIGUSR1, which asks for the counters.

use super::Inbound;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Passes on what each signal asks for.
pub async fn watch(inbox: Sender<Inbound>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1])?;
    while let Some(signal) = signals.next().await {
        let news = if matches!(signal, Ok(Signal::Usr1)) { Inbound::Report } else { Inbound::Stop };
        if inbox.send(news).await.is_err() {
            break;
        }
    }
    Ok(())
}
