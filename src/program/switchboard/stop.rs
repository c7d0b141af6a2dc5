//! A stop that was asked for: its phases carried out, and the program's end.

use super::{Due, Switchboard, Task};
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::Micros;
use crate::routing::shutdown::{Phase, Shutdown};

/// A stop under way.
#[derive(Debug)]
pub(super) struct Stop {
    shutdown: Shutdown,
    /// Whether callers' connections still come up.
    pub(super) listener: ListenerState,
}

/// Whether callers' connections still come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerState {
    Listening,
    /// Asked to listen no more.
    Closing,
    /// No connection comes up any more.
    Closed,
}

impl Switchboard {
    /// Whether the program was asked to stop and has answered all that it took.
    pub fn finished(&self, now: Micros) -> bool {
        let Some(stop) = &self.stopping else { return false };
        let phase = stop.shutdown.phase_at(now);
        let closed = stop.listener == ListenerState::Closed && self.callers.connections() == 0;
        phase == Phase::Terminating || closed && self.served(phase)
    }

    /// Whether a stop in this phase has nothing to wait for but connections.
    pub(super) fn served(&self, phase: Phase) -> bool {
        let stood = self.ledger.established_calls() == 0 && !self.callers.has_pending_releases();
        phase >= Phase::Draining && self.ledger.open_calls() == 0 && (stood || phase >= Phase::Closing)
    }

    /// Asks for a stop: calls are taken for a while yet, and all that was taken is answered.
    pub fn stop(&mut self, now: Micros) {
        if self.stopping.is_none() {
            let longest = self.config.settings.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0);
            let shutdown = Shutdown::new(now, longest);
            self.stopping = Some(Stop { shutdown, listener: ListenerState::Listening });
            tracing::info!("stop asked for: {} calls open", self.ledger.open_calls());
            if let Some(g) = &mut self.gossip {
                g.leave(now);
            }
            for (at, _) in shutdown.phase_starts() {
                self.deadlines.add(at, Due::Stop);
            }
        }
    }

    /// Does what the present phase of a stop asks for.
    pub(super) fn advance_stop(&mut self, now: Micros) {
        let Some(stop) = &self.stopping else { return };
        let phase = stop.shutdown.phase_at(now);
        let (open, standing) = (self.ledger.open_calls(), self.ledger.established_calls());
        tracing::info!("stop: {phase:?}; {open} calls open, {standing} stand");
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

    /// Once nothing is left to serve, no caller's connection need come up or stay any more. Whether that is so since
    /// now. Guards the end of the program against callers that connect again whenever their connection is closed.
    pub(super) fn stop_listening_if_served(&mut self, now: Micros) -> bool {
        let Some(phase) = self.stopping.as_ref().map(|s| s.shutdown.phase_at(now)) else { return false };
        let done = phase >= Phase::Closing || self.served(phase);
        let Some(stop) = self.stopping.as_mut().filter(|s| done && s.listener == ListenerState::Listening)
        else {
            return false;
        };
        stop.listener = ListenerState::Closing;
        self.tasks.push(Task::StopListening);
        self.callers.close_all(now);
        true
    }
}
