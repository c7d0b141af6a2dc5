//! Call outcomes over three sliding windows that end now.
//!
//! Counts are kept in a ring of one-second buckets covering an hour, with a running sum for each window. Reading a
//! window is a lookup, and advancing by a second costs three subtractions per outcome, whatever the call rate.

use crate::{Micros, SECOND};

/// How a call set-up ended, as seen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// Established within the latency objective.
    WithinObjective,
    /// Established, but later than the latency objective.
    Late,
    /// Refused: the destination or this controller is drained.
    Drained,
    /// Refused: no circuit was free on any route.
    NoCircuit,
    /// Refused: the tandem turned it back.
    TurnedBack,
    /// Refused: a processor on the route was full.
    ProcessorFull,
    /// Refused: no answer arrived, or the connection was lost.
    Unanswered,
    /// Refused: the exchange ended the set-up with a fault, or the number was busy.
    Fault,
    /// Refused without an attempt: no route was available.
    NoRoute,
    /// Failed: neither established nor refused.
    Failed,
    /// The caller left before the answer.
    Abandoned,
}

/// All outcomes, in display order.
pub const OUTCOMES: [CallOutcome; 11] = [
    CallOutcome::WithinObjective,
    CallOutcome::Late,
    CallOutcome::Drained,
    CallOutcome::NoCircuit,
    CallOutcome::TurnedBack,
    CallOutcome::ProcessorFull,
    CallOutcome::Unanswered,
    CallOutcome::Fault,
    CallOutcome::NoRoute,
    CallOutcome::Failed,
    CallOutcome::Abandoned,
];

impl CallOutcome {
    /// Returns the name used in views.
    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::WithinObjective => "in_aim",
            CallOutcome::Late => "late",
            CallOutcome::Drained => "drained",
            CallOutcome::NoCircuit => "no_circuit",
            CallOutcome::TurnedBack => "turned_back",
            CallOutcome::ProcessorFull => "processor_full",
            CallOutcome::Unanswered => "unanswered",
            CallOutcome::Fault => "fault",
            CallOutcome::NoRoute => "no_way",
            CallOutcome::Failed => "failed",
            CallOutcome::Abandoned => "abandoned",
        }
    }

    /// Whether the outcome is a refusal.
    pub fn refused(self) -> bool {
        !matches!(
            self,
            CallOutcome::WithinObjective | CallOutcome::Late | CallOutcome::Failed | CallOutcome::Abandoned
        )
    }
}

/// Lengths of the windows (s).
pub const WINDOWS: [usize; 3] = [10, 60, 3600];
const RING: usize = WINDOWS[2];

/// Number of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts([u32; OUTCOMES.len()]);

impl OutcomeCounts {
    /// Returns the number of calls with this outcome.
    pub fn get(&self, outcome: CallOutcome) -> u32 {
        self.0[outcome as usize]
    }

    /// Returns the number of calls that were answered: all but the abandoned ones.
    pub fn answered(&self) -> u32 {
        OUTCOMES.iter().filter(|f| **f != CallOutcome::Abandoned).map(|f| self.get(*f)).sum()
    }

    /// Returns the number of refused calls.
    pub fn refused(&self) -> u32 {
        OUTCOMES.iter().filter(|f| f.refused()).map(|f| self.get(*f)).sum()
    }

    /// Returns the share of answered calls that were established within the latency objective, or `None` if no call
    /// was answered.
    pub fn share_within_objective(&self) -> Option<f64> {
        let all = self.answered();
        (all > 0).then(|| f64::from(self.get(CallOutcome::WithinObjective)) / f64::from(all))
    }
}

/// Ring of one-second counts with the running sums of the windows.
#[derive(Clone, Debug)]
pub struct ServiceWindows {
    ring: Box<[OutcomeCounts]>,
    sums: [OutcomeCounts; WINDOWS.len()],
    /// The current second.
    second: i64,
}

impl ServiceWindows {
    /// Creates empty windows that start at `now`.
    pub fn new(now: Micros) -> ServiceWindows {
        let ring = vec![OutcomeCounts::default(); RING].into();
        ServiceWindows { ring, sums: Default::default(), second: now.div_euclid(SECOND) }
    }

    fn at(second: i64) -> usize {
        second.rem_euclid(RING as i64) as usize
    }

    /// Advances the windows to `now`.
    pub fn advance(&mut self, now: Micros) {
        let second = now.div_euclid(SECOND);
        if second - self.second >= RING as i64 {
            *self = ServiceWindows::new(now);
        }
        while self.second < second {
            self.second += 1;
            for (sum, length) in self.sums.iter_mut().zip(WINDOWS) {
                let expired = self.ring[Self::at(self.second - length as i64)];
                sum.0.iter_mut().zip(expired.0).for_each(|(sum, expired)| *sum -= expired);
            }
            self.ring[Self::at(self.second)] = OutcomeCounts::default();
        }
    }

    /// Records the outcome of a call.
    pub fn record(&mut self, now: Micros, outcome: CallOutcome) {
        self.advance(now);
        self.ring[Self::at(self.second)].0[outcome as usize] += 1;
        self.sums.iter_mut().for_each(|s| s.0[outcome as usize] += 1);
    }

    /// Returns the windows as of the last [`ServiceWindows::advance`], in the order of [`WINDOWS`].
    pub fn windows(&self) -> &[OutcomeCounts; WINDOWS.len()] {
        &self.sums
    }

    /// Returns the number of calls answered in each of the last `N` seconds, oldest first.
    pub fn history<const N: usize>(&self) -> [u32; N] {
        std::array::from_fn(|i| self.ring[Self::at(self.second - (N - 1 - i) as i64)].answered())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]
        /// Compares each window with a recount of the full list of calls.
        #[test]
        fn each_window_matches_a_recount(steps in prop::collection::vec((0i64..900_000_000, 0usize..11), 1..60)) {
            let (mut now, mut all) = (5 * SECOND, Vec::new());
            let mut service = ServiceWindows::new(now);
            for (pass, outcome) in steps {
                now += pass / (1 + outcome as i64 * outcome as i64);
                service.record(now, OUTCOMES[outcome]);
                all.push((now.div_euclid(SECOND), OUTCOMES[outcome]));
                for (sum, length) in service.windows().iter().zip(WINDOWS) {
                    let since = now.div_euclid(SECOND) - length as i64;
                    for f in OUTCOMES {
                        let expected = all.iter().filter(|c| c.0 > since && c.1 == f).count();
                        prop_assert_eq!(sum.get(f) as usize, expected);
                    }
                }
            }
        }
    }

    #[test]
    fn shares_are_of_answered_calls() {
        let mut s = ServiceWindows::new(0);
        assert_eq!(s.windows()[0].share_within_objective(), None);
        for f in [
            CallOutcome::WithinObjective,
            CallOutcome::WithinObjective,
            CallOutcome::NoCircuit,
            CallOutcome::Failed,
            CallOutcome::Abandoned,
        ] {
            s.record(SECOND, f);
        }
        let w = s.windows()[0];
        assert_eq!((w.share_within_objective(), w.refused(), w.answered()), (Some(0.5), 1, 4));
        assert_eq!(s.history::<2>(), [0, 4]);
        s.advance(12 * SECOND);
        assert_eq!((s.windows()[0].answered(), s.windows()[1].answered()), (0, 4));
    }
}
