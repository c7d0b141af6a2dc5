//! SIGTERM and SIGINT, which ask for a stop, SIGHUP, which asks for the configuration to be read anew, and
//! SIGUSR1, which asks for the counters.

use super::Inbound;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// The signals, caught from here on. Guards against one that comes while the program is still starting: until
/// this has returned, the system's own answer to SIGHUP is the program's end.
pub fn catch() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Passes on what each signal asks for.
pub async fn watch(mut signals: Signals, inbox: Sender<Inbound>) {
    while let Some(signal) = signals.next().await {
        let news = match signal {
            Ok(Signal::Usr1) => Inbound::LogCounters,
            Ok(Signal::Hup) => Inbound::Reload,
            _ => Inbound::Stop,
        };
        if inbox.send(news).await.is_err() {
            break;
        }
    }
}
