//! Orderly shutdown: carries out the phases and decides when the program ends.

use super::{EventLoop, TimerKey, TransportCommand};
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::Micros;
use crate::routing::shutdown::{Phase, Shutdown};

/// Target of this module's log events; operators' log filters name it.
const LOG_TARGET: &str = "walnuthatch::program::switchboard::stop";

/// A shutdown in progress.
#[derive(Debug)]
pub(super) struct Stop {
    shutdown: Shutdown,
    /// Whether callers' connections are still accepted.
    pub(super) listener: ListenerState,
}

/// State of the listener for callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    Listening,
    /// The transport was told to stop listening.
    Closing,
    /// No further connection will be accepted.
    Closed,
}

impl EventLoop {
    /// Whether a shutdown was requested and has completed: no call or connection is left, or the last phase has
    /// begun.
    pub fn finished(&self, now: Micros) -> bool {
        let Some(stop) = &self.stopping else { return false };
        let phase = stop.shutdown.phase_at(now);
        let closed = stop.listener == ListenerState::Closed && self.callers.connections() == 0;
        phase == Phase::Terminating || closed && self.calls_finished(phase)
    }

    /// Whether a shutdown in this phase has no calls left to wait for, only connections.
    pub(super) fn calls_finished(&self, phase: Phase) -> bool {
        let established_done = self.ledger.established_calls() == 0 && !self.callers.has_pending_releases();
        phase >= Phase::Draining
            && self.ledger.open_calls() == 0
            && (established_done || phase >= Phase::Closing)
    }

    /// Starts a shutdown: new calls are still accepted for a short time, and every accepted call is answered.
    pub fn stop(&mut self, now: Micros) {
        if self.stopping.is_none() {
            let longest_deadline =
                self.config.settings.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0);
            let shutdown = Shutdown::new(now, longest_deadline);
            self.stopping = Some(Stop { shutdown, listener: ListenerState::Listening });
            tracing::info!(target: LOG_TARGET, "shutdown requested: {} calls open", self.ledger.open_calls());
            if let Some(g) = &mut self.gossip {
                g.leave(now);
            }
            for (at, _) in shutdown.phase_starts() {
                self.timers.add(at, TimerKey::Stop);
            }
        }
    }

    /// Applies the rules of the current phase of the shutdown.
    pub(super) fn advance_stop(&mut self, now: Micros) {
        let Some(stop) = &self.stopping else { return };
        let phase = stop.shutdown.phase_at(now);
        let (open, established) = (self.ledger.open_calls(), self.ledger.established_calls());
        tracing::info!(target: LOG_TARGET, "shutdown: {phase:?}; {open} calls open, {established} established");
        if fault_injected(InjectedFault::RequestLeftAtStop) && phase < Phase::Terminating {
            return;
        }
        if phase >= Phase::Draining {
            self.ledger.refuse_new_calls(self.config.settings.max_retry_after);
            self.callers.drain(now);
        }
        if phase >= Phase::OpenCallsFailed {
            self.ledger.fail_open_calls(now);
        }
        if phase >= Phase::Closing {
            self.callers.close_all(now);
        }
    }

    /// Stops listening and closes the callers' connections once no calls are left; returns whether it did so now.
    /// Otherwise callers that reconnect whenever their connection is closed would delay the end of the program.
    pub(super) fn stop_listening_if_finished(&mut self, now: Micros) -> bool {
        let Some(phase) = self.stopping.as_ref().map(|s| s.shutdown.phase_at(now)) else { return false };
        let finished = phase >= Phase::Closing || self.calls_finished(phase);
        let Some(stop) =
            self.stopping.as_mut().filter(|s| finished && s.listener == ListenerState::Listening)
        else {
            return false;
        };
        stop.listener = ListenerState::Closing;
        self.commands.push(TransportCommand::StopListening);
        self.callers.close_all(now);
        true
    }
}
