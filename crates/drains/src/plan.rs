//! A round of maintenance: exchanges or groups drained one after the other, each put back and seen to work before the
//! next one goes.
//!
//! ```text
//! draining --empty--> working --next, or its pause--> settling --warm and well--> the next one, or done
//!     |                  |                                |
//!     +--- turned down, expired, failed, ended by others, service worse than before: halted (nothing more is drained)
//! ```
//!
//! A round that is halted leaves what is drained as it is, says why, and goes on when somebody says so.

use crate::drain::{OrderNumber, State};
use crate::guard::MIN_ANSWERED;
use crate::target::{Health, Target};
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// The most targets of one round.
pub const MAX_TARGETS: usize = 64;
/// A target that came back must work for so long before the next one goes: a cold exchange is warm after 15 s (µs).
pub const SETTLE_PERIOD: Micros = 20 * SECOND;
/// A round that can't tell whether service is well again after so long is halted (µs).
pub const SETTLE_TIMEOUT: Micros = 300 * SECOND;

/// Where a round is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// The next target is about to be drained.
    Next,
    /// It is being drained, by this order.
    Draining(OrderNumber),
    /// It is empty, by this order: the work on it can be done.
    Working(OrderNumber),
    /// It is back, and is watched.
    Settling,
    /// Nothing more is done, for this reason.
    Halted(String),
    /// All targets were drained and came back.
    Done,
}

impl Stage {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            Stage::Next => "next",
            Stage::Draining(_) => "draining",
            Stage::Working(_) => "working",
            Stage::Settling => "settling",
            Stage::Halted(_) => "halted",
            Stage::Done => "done",
        }
    }
}

/// A round.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The order that began it.
    pub order: OrderNumber,
    /// What is drained, one after the other.
    pub targets: Vec<Target>,
    /// Which of them is at hand.
    pub target_index: usize,
    /// Where it is.
    pub stage: Stage,
    /// Since when (program's clock).
    pub since: Micros,
    /// Who asked.
    pub requested_by: String,
    /// Why.
    pub reason: String,
    /// An empty target is put back by itself after so long; `None`: when somebody says so.
    pub pause: Option<Micros>,
    /// Share of calls that were well served before; a round never goes on with less, but for the margin.
    pub baseline: f64,
    /// That margin.
    pub margin: f64,
}

/// What a round asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drain this.
    Drain(Target),
    /// Put this back.
    Undrain(Target),
}

impl Plan {
    /// The target at hand, while there is one.
    pub fn target(&self) -> Option<Target> {
        (self.stage != Stage::Done).then(|| self.targets.get(self.target_index).copied()).flatten()
    }

    /// Whether it is over or waits for somebody.
    pub fn is_stopped(&self) -> bool {
        matches!(self.stage, Stage::Halted(_) | Stage::Done)
    }

    /// Goes to another stage.
    pub fn enter_stage(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.since) = (stage, now);
    }

    fn is_healthy(&self, health: Health) -> bool {
        health.answered < MIN_ANSWERED || health.good_share >= self.baseline - self.margin
    }

    /// Looks whether it can go on. `drain`: the state of the drain at hand; `None` if there is none any more.
    /// Whatever it asks for must be told back by [`Plan::drain_requested`] or [`Plan::enter_stage`].
    pub fn evaluate(&mut self, now: Micros, drain: Option<State>, health: Health) -> Option<Action> {
        let target = self.target()?;
        match self.stage {
            Stage::Next if !self.is_healthy(health) => {
                self.halt(
                    now,
                    format!(
                        "calls fare worse than before the round: {:.0}% well served",
                        health.good_share * 100.0
                    ),
                );
                None
            }
            Stage::Next => Some(Action::Drain(target)),
            Stage::Draining(order) => {
                match drain {
                    Some(State::Empty) => self.enter_stage(now, Stage::Working(order)),
                    Some(State::Expired | State::Failed) => self.halt(now, format!("{target} did not empty")),
                    None | Some(State::Restored) => {
                        self.halt(now, format!("the drain of {target} was ended"))
                    }
                    Some(_) => {}
                }
                None
            }
            Stage::Working(_) => match drain {
                // Somebody ended the drain by hand: that is as good as to say next.
                None | Some(State::Restored) => {
                    self.enter_stage(now, Stage::Settling);
                    None
                }
                Some(_) if self.pause.is_some_and(|p| now - self.since >= p) => Some(Action::Undrain(target)),
                Some(_) => None,
            },
            Stage::Settling => {
                let (settled, timed_out) =
                    (now - self.since >= SETTLE_PERIOD, now - self.since >= SETTLE_TIMEOUT);
                if settled && self.is_healthy(health) {
                    self.target_index += 1;
                    let last = self.target_index >= self.targets.len();
                    self.enter_stage(now, if last { Stage::Done } else { Stage::Next });
                } else if timed_out {
                    self.halt(now, format!("calls did not fare well again after {target} came back"));
                }
                None
            }
            Stage::Halted(_) | Stage::Done => None,
        }
    }

    /// What became of the drain that was asked for.
    pub fn drain_requested(&mut self, now: Micros, how: Result<OrderNumber, String>) {
        match how {
            Ok(order) => self.enter_stage(now, Stage::Draining(order)),
            Err(why) => self.halt(now, why),
        }
    }

    /// Nothing more is done.
    pub fn halt(&mut self, now: Micros, why: String) {
        self.enter_stage(now, Stage::Halted(why));
    }

    /// Somebody says to go on: an empty target is put back, a round that was halted tries again.
    pub fn advance(&mut self, now: Micros, drain: Option<State>) -> Option<Action> {
        match (&self.stage, drain) {
            (Stage::Working(_), _) => self.target().map(Action::Undrain),
            // What is drained still is looked at again, or put back if it is empty and had been worked on.
            (Stage::Halted(_), Some(state)) if state != State::Restored => self.target().map(Action::Undrain),
            (Stage::Halted(_), _) => {
                self.enter_stage(now, Stage::Next);
                None
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::target::Exchange;

    const WELL: Health = Health { answered: 100, good_share: 0.99 };
    const ILL: Health = Health { answered: 100, good_share: 0.7 };

    fn plan(pause: Option<Micros>) -> Plan {
        Plan {
            order: 1,
            targets: [1, 2].map(|n| Target::Exchange(Exchange(n))).to_vec(),
            target_index: 0,
            stage: Stage::Next,
            since: 0,
            requested_by: "t".into(),
            reason: String::new(),
            pause,
            baseline: 0.99,
            margin: 0.05,
        }
    }

    #[test]
    fn one_after_the_other_each_seen_to_work_before_the_next() {
        let mut p = plan(Some(5 * SECOND));
        let mut now = 0;
        for n in 1..=2 {
            let target = Target::Exchange(Exchange(n));
            assert_eq!(p.evaluate(now, None, WELL), Some(Action::Drain(target)));
            p.drain_requested(now, Ok(10));
            assert_eq!(p.evaluate(now, Some(State::Emptying), WELL), None);
            p.evaluate(now, Some(State::Empty), WELL);
            assert_eq!(p.stage, Stage::Working(10));
            assert_eq!(p.evaluate(now + 5 * SECOND - 1, Some(State::Empty), WELL), None);
            now += 5 * SECOND;
            assert_eq!(p.evaluate(now, Some(State::Empty), WELL), Some(Action::Undrain(target)));
            p.evaluate(now, None, WELL);
            assert_eq!(p.stage, Stage::Settling);
            assert_eq!(p.evaluate(now + SETTLE_PERIOD - 1, None, WELL), None);
            p.evaluate(now + SETTLE_PERIOD, None, ILL);
            assert_eq!(p.stage, Stage::Settling, "not while calls fare badly");
            now += SETTLE_PERIOD + SECOND;
            p.evaluate(now, None, WELL);
        }
        assert_eq!((p.stage.clone(), p.evaluate(now, None, WELL)), (Stage::Done, None));
    }

    #[test]
    fn whatever_goes_wrong_halts_it_and_it_goes_on_when_told() {
        let halted = |p: &Plan| matches!(p.stage, Stage::Halted(_));
        for (drain, health) in [
            (Some(State::Expired), WELL),
            (Some(State::Failed), WELL),
            (None, WELL),
            (Some(State::Restored), WELL),
        ] {
            let mut p = plan(None);
            p.evaluate(0, None, WELL);
            p.drain_requested(0, Ok(3));
            p.evaluate(0, drain, health);
            assert!(halted(&p), "{drain:?}");
            assert_eq!(p.evaluate(SETTLE_TIMEOUT * 9, None, WELL), None, "it waits for somebody");
        }
        let mut p = plan(None);
        p.evaluate(0, None, ILL);
        assert!(halted(&p));
        assert_eq!(p.advance(1, None), None);
        assert!(p.evaluate(1, None, WELL).is_some());
        p.drain_requested(1, Err("too many".into()));
        assert_eq!(p.stage, Stage::Halted("too many".into()));
        p.enter_stage(2, Stage::Settling);
        p.evaluate(2 + SETTLE_TIMEOUT, None, ILL);
        assert!(halted(&p));
    }
}
