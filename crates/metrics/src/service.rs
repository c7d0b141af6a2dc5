//! How calls fared, over three windows that end now.
//!
//! OutcomeCounts lie in a ring of one bucket a second, for an hour. The sum of each window is kept beside it, and brought
//! up to date as seconds pass: to read a window costs nothing, and to pass a second costs three subtractions for
//! each kind, however many calls there were.

use crate::{Micros, SECOND};

/// How a call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// It stands, within the aim.
    WithinObjective,
    /// It stands, later.
    Late,
    /// Refused: its destination, or this controller, is drained.
    Drained,
    /// Refused: no circuit was free on any way.
    NoCircuit,
    /// Refused: the tandem turned it back.
    TurnedBack,
    /// Refused: a processor on the way was full.
    ProcessorFull,
    /// Refused: no answer came, or the connection broke.
    Unanswered,
    /// Refused: the exchange ended it with a fault, or the number was busy.
    Fault,
    /// Refused without a set-up: no way was open.
    NoRoute,
    /// Failed.
    Failed,
    /// The caller left before its answer.
    Abandoned,
}

/// All outcomes, in the order in which they are shown.
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
    /// Its name in views.
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

    /// Whether it is a refusal.
    pub fn refused(self) -> bool {
        !matches!(
            self,
            CallOutcome::WithinObjective | CallOutcome::Late | CallOutcome::Failed | CallOutcome::Abandoned
        )
    }
}

/// The lengths of the windows (s).
pub const WINDOWS: [usize; 3] = [10, 60, 3600];
const RING: usize = WINDOWS[2];

/// OutcomeCounts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts([u32; OUTCOMES.len()]);

impl OutcomeCounts {
    /// How many had this outcome.
    pub fn get(&self, outcome: CallOutcome) -> u32 {
        self.0[outcome as usize]
    }

    /// All calls that were answered.
    pub fn answered(&self) -> u32 {
        OUTCOMES.iter().filter(|f| **f != CallOutcome::Abandoned).map(|f| self.get(*f)).sum()
    }

    /// Refused ones.
    pub fn refused(&self) -> u32 {
        OUTCOMES.iter().filter(|f| f.refused()).map(|f| self.get(*f)).sum()
    }

    /// Share of the answered ones that stand within the aim; `None` if there were none.
    pub fn share_within_objective(&self) -> Option<f64> {
        let all = self.answered();
        (all > 0).then(|| f64::from(self.get(CallOutcome::WithinObjective)) / f64::from(all))
    }
}

/// The ring and its windows.
#[derive(Clone, Debug)]
pub struct ServiceWindows {
    ring: Box<[OutcomeCounts]>,
    sums: [OutcomeCounts; WINDOWS.len()],
    /// The second that is being counted.
    second: i64,
}

impl ServiceWindows {
    /// Nothing was counted before `now`.
    pub fn new(now: Micros) -> ServiceWindows {
        let ring = vec![OutcomeCounts::default(); RING].into();
        ServiceWindows { ring, sums: Default::default(), second: now.div_euclid(SECOND) }
    }

    fn at(second: i64) -> usize {
        second.rem_euclid(RING as i64) as usize
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        let second = now.div_euclid(SECOND);
        if second - self.second >= RING as i64 {
            *self = ServiceWindows::new(now);
        }
        while self.second < second {
            self.second += 1;
            for (sum, length) in self.sums.iter_mut().zip(WINDOWS) {
                let left = self.ring[Self::at(self.second - length as i64)];
                sum.0.iter_mut().zip(left.0).for_each(|(s, l)| *s -= l);
            }
            self.ring[Self::at(self.second)] = OutcomeCounts::default();
        }
    }

    /// OutcomeCounts a call.
    pub fn record(&mut self, now: Micros, outcome: CallOutcome) {
        self.advance(now);
        self.ring[Self::at(self.second)].0[outcome as usize] += 1;
        self.sums.iter_mut().for_each(|s| s.0[outcome as usize] += 1);
    }

    /// The windows as of the last [`ServiceWindows::advance`], in the order of [`WINDOWS`].
    pub fn windows(&self) -> &[OutcomeCounts; WINDOWS.len()] {
        &self.sums
    }

    /// Calls answered in each of the last seconds, oldest first.
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
        /// Against a plain list of all calls, counted anew for each window.
        #[test]
        fn each_window_has_what_a_plain_count_has(steps in prop::collection::vec((0i64..900_000_000, 0usize..11), 1..60)) {
            let (mut now, mut all) = (5 * SECOND, Vec::new());
            let mut service = ServiceWindows::new(now);
            for (pass, outcome) in steps {
                now += pass / (1 + outcome as i64 * outcome as i64);
                service.record(now, OUTCOMES[outcome]);
                all.push((now.div_euclid(SECOND), OUTCOMES[outcome]));
                for (sum, length) in service.windows().iter().zip(WINDOWS) {
                    let since = now.div_euclid(SECOND) - length as i64;
                    for f in OUTCOMES {
                        let plain = all.iter().filter(|c| c.0 > since && c.1 == f).count();
                        prop_assert_eq!(sum.get(f) as usize, plain);
                    }
                }
            }
        }
    }

    #[test]
    fn shares_are_of_what_was_answered() {
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
