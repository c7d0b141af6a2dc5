//! The phases of a stop that was asked for.
//!
//! What holds in a phase holds for everything that comes in it: nothing is done once at a moment and left undone for
//! what comes after.

use super::interface::Micros;

/// Calls are taken as ever for this long (µs): a platform that asks for a stop goes on sending new calls for 0.6 s.
const ACCEPTING: Micros = 700_000;
/// The longest deadline counts as this at the most (µs).
const LONGEST_DEADLINE: Micros = 3_000_000;
/// Calls that are open this long after the longest deadline are failed (µs). Guards their answers: a platform ends
/// the program 0.7 s after that deadline.
const LAST_ANSWERS: Micros = 400_000;
/// Calls that stand are waited for this long (µs).
const STANDING: Micros = 8_000_000;
/// After that every connection has this long to end (µs).
const CLOSING: Micros = 1_500_000;

/// A phase of a stop. Each holds what the ones before it hold, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Tests fail, so that callers go elsewhere; calls are taken as ever.
    Accepting,
    /// New calls are refused, and a connection with nothing left on it is closed.
    Draining,
    /// Nothing is open any more: what was has been failed.
    OpenCallsFailed,
    /// Calls that stand are waited for no longer, and all connections are closed.
    Closing,
    /// The program ends whatever is left.
    Terminating,
}

/// A stop under way.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    asked: Micros,
    last_answers: Micros,
}

impl Shutdown {
    /// A stop that was asked for now, where callers wait for `longest_deadline` at the most.
    pub fn new(now: Micros, longest_deadline: Micros) -> Shutdown {
        let last_answers = longest_deadline.clamp(0, LONGEST_DEADLINE) + LAST_ANSWERS;
        Shutdown { asked: now, last_answers: now + last_answers.max(ACCEPTING) }
    }

    /// When each phase after the first begins.
    pub fn phase_starts(&self) -> [(Micros, Phase); 4] {
        let closing = self.asked + STANDING.max(self.last_answers - self.asked);
        [
            (self.asked + ACCEPTING, Phase::Draining),
            (self.last_answers, Phase::OpenCallsFailed),
            (closing, Phase::Closing),
            (closing + CLOSING, Phase::Terminating),
        ]
    }

    /// The phase at this time.
    pub fn phase_at(&self, now: Micros) -> Phase {
        let begun = self.phase_starts().into_iter().rev().find(|(at, _)| now >= *at);
        begun.map_or(Phase::Accepting, |(_, phase)| phase)
    }
}
