//! The phases of an orderly shutdown.
//!
//! The rules of a phase apply to every call and connection that arrives while the phase lasts, not only to those
//! present at its start.

use super::interface::Micros;

/// New calls are accepted for this long after the request (µs): the platform that requests a stop keeps sending new
/// calls for 0.6 s.
const ACCEPTING_PERIOD: Micros = 700_000;
/// Upper bound on the longest client deadline that a shutdown waits for (µs).
const MAX_CLIENT_DEADLINE: Micros = 3_000_000;
/// Calls still open this long after the longest client deadline are failed (µs). The platform kills the program
/// 0.7 s after that deadline, so the answers must be sent before then.
const OPEN_CALL_GRACE: Micros = 400_000;
/// Established calls may continue for this long after the request (µs).
const ESTABLISHED_CALL_LIMIT: Micros = 8_000_000;
/// Time for connections to close after that (µs).
const CLOSING_PERIOD: Micros = 1_500_000;

/// A phase of a shutdown. Each phase adds to the restrictions of the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Health probes are answered negatively, so that callers move to another instance; new calls are still accepted.
    Accepting,
    /// New calls are refused, and connections with no work left are closed.
    Draining,
    /// Calls that are still unanswered are failed.
    OpenCallsFailed,
    /// All connections are closed, including those with established calls.
    Closing,
    /// The program exits whatever is still open.
    Terminating,
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    requested_at: Micros,
    fail_open_calls_at: Micros,
}

impl Shutdown {
    /// Starts a shutdown now. `longest_deadline` is the longest time that any client waits for an answer.
    pub fn new(now: Micros, longest_deadline: Micros) -> Shutdown {
        let open_call_limit = longest_deadline.clamp(0, MAX_CLIENT_DEADLINE) + OPEN_CALL_GRACE;
        Shutdown { requested_at: now, fail_open_calls_at: now + open_call_limit.max(ACCEPTING_PERIOD) }
    }

    /// The start time of each phase after the first.
    pub fn phase_starts(&self) -> [(Micros, Phase); 4] {
        let closing =
            self.requested_at + ESTABLISHED_CALL_LIMIT.max(self.fail_open_calls_at - self.requested_at);
        [
            (self.requested_at + ACCEPTING_PERIOD, Phase::Draining),
            (self.fail_open_calls_at, Phase::OpenCallsFailed),
            (closing, Phase::Closing),
            (closing + CLOSING_PERIOD, Phase::Terminating),
        ]
    }

    /// The phase in force at this time.
    pub fn phase_at(&self, now: Micros) -> Phase {
        let started = self.phase_starts().into_iter().rev().find(|(at, _)| now >= *at);
        started.map_or(Phase::Accepting, |(_, phase)| phase)
    }
}
