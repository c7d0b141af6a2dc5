//! Signal handling: SIGTERM and SIGINT shut the program down, SIGHUP reloads the configuration, and SIGUSR1 writes
//! the counters to the log.

use super::Inbound;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Starts catching the signals. Until this returns, a SIGHUP during the start would terminate the program, which is
/// its default action.
pub fn catch() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Forwards the signals to the event loop.
pub async fn watch(mut signals: Signals, inbox: Sender<Inbound>) {
    while let Some(signal) = signals.next().await {
        let event = match signal {
            Ok(Signal::Usr1) => Inbound::LogCounters,
            Ok(Signal::Hup) => Inbound::Reload,
            _ => Inbound::Stop,
        };
        if inbox.send(event).await.is_err() {
            break;
        }
    }
}
