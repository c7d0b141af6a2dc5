//! A maintenance round: drains exchanges or groups one at a time. Each returns to service and must work again before
//! the next one is drained.
//!
//! ```text
//! draining --empty--> working --next, or pause passed--> settling --warm and healthy--> next target, or done
//!     |                  |                                   |
//!     +--- denied, expired, failed, ended by operator or guard, service degraded: halted (nothing more is drained)
//! ```
//!
//! A halted round leaves a drained target as it is, reports the reason and continues when an operator says so.

use crate::drain::{OrderNumber, State};
use crate::guard::MIN_ANSWERED;
use crate::target::{Health, Target};
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// Maximum number of targets in one round.
pub const MAX_TARGETS: usize = 64;
/// How long a restored target must work before the next one is drained (µs). The cold start of an exchange takes
/// 15 s.
pub const SETTLE_PERIOD: Micros = 20 * SECOND;
/// A round is halted if service has not recovered within this time after a target was restored (µs).
pub const SETTLE_TIMEOUT: Micros = 300 * SECOND;

/// The stage of a round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// The next target is about to be drained.
    Next,
    /// The current target is being drained, by this order.
    Draining(OrderNumber),
    /// The current target is empty, drained by this order, so that work on it can be done.
    Working(OrderNumber),
    /// The current target is back in service and is being observed.
    Settling,
    /// The round is halted, for this reason.
    Halted(String),
    /// All targets have been drained and restored.
    Done,
}

impl Stage {
    /// The name of the stage, as shown to operators.
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

/// The plan of a maintenance round and its progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The order that started the round.
    pub order: OrderNumber,
    /// The targets, in the order in which they are drained.
    pub targets: Vec<Target>,
    /// Index of the current target.
    pub target_index: usize,
    /// The current stage.
    pub stage: Stage,
    /// When the current stage was entered (monotonic clock).
    pub since: Micros,
    /// The operator who requested the round.
    pub requested_by: String,
    /// The reason given by the operator.
    pub reason: String,
    /// Delay after which an empty target returns to service automatically (µs); `None`: it waits for the operator.
    pub pause: Option<Micros>,
    /// Share of calls served within the objective before the round. The round continues only while the share is no
    /// more than `margin` below it.
    pub baseline: f64,
    /// Tolerated drop below `baseline`.
    pub margin: f64,
}

/// An action that a round requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Drain this target.
    Drain(Target),
    /// Return this target to service.
    Undrain(Target),
}

impl Plan {
    /// The current target; `None` once the round is done.
    pub fn target(&self) -> Option<Target> {
        (self.stage != Stage::Done).then(|| self.targets.get(self.target_index).copied()).flatten()
    }

    /// Whether the round is done, or halted until an operator continues it.
    pub fn is_stopped(&self) -> bool {
        matches!(self.stage, Stage::Halted(_) | Stage::Done)
    }

    /// Enters another stage.
    pub fn enter_stage(&mut self, now: Micros, stage: Stage) {
        (self.stage, self.since) = (stage, now);
    }

    /// Whether service is within the margin of the baseline. With too few calls to tell, it counts as healthy.
    fn is_healthy(&self, health: Health) -> bool {
        health.answered < MIN_ANSWERED || health.good_share >= self.baseline - self.margin
    }

    /// Advances the round if possible. `drain` is the state of the current target's drain, `None` if it has none.
    /// The caller reports the result of the returned action by [`Plan::drain_requested`] or [`Plan::enter_stage`].
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
                // Ending the drain by hand has the same effect as the command to continue.
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

    /// Records the result of [`Action::Drain`]: the number of the order, or why it was denied.
    pub fn drain_requested(&mut self, now: Micros, result: Result<OrderNumber, String>) {
        match result {
            Ok(order) => self.enter_stage(now, Stage::Draining(order)),
            Err(reason) => self.halt(now, reason),
        }
    }

    /// Halts the round for this reason.
    pub fn halt(&mut self, now: Micros, reason: String) {
        self.enter_stage(now, Stage::Halted(reason));
    }

    /// Continues the round at the operator's command: an empty target returns to service, a halted round tries again.
    pub fn advance(&mut self, now: Micros, drain: Option<State>) -> Option<Action> {
        match (&self.stage, drain) {
            (Stage::Working(_), _) => self.target().map(Action::Undrain),
            // A target that is still drained returns to service before the round continues.
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

    const HEALTHY: Health = Health { answered: 100, good_share: 0.99 };
    const DEGRADED: Health = Health { answered: 100, good_share: 0.7 };

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
    fn targets_are_drained_one_at_a_time_and_must_work_before_the_next() {
        let mut p = plan(Some(5 * SECOND));
        let mut now = 0;
        for n in 1..=2 {
            let target = Target::Exchange(Exchange(n));
            assert_eq!(p.evaluate(now, None, HEALTHY), Some(Action::Drain(target)));
            p.drain_requested(now, Ok(10));
            assert_eq!(p.evaluate(now, Some(State::Emptying), HEALTHY), None);
            p.evaluate(now, Some(State::Empty), HEALTHY);
            assert_eq!(p.stage, Stage::Working(10));
            assert_eq!(p.evaluate(now + 5 * SECOND - 1, Some(State::Empty), HEALTHY), None);
            now += 5 * SECOND;
            assert_eq!(p.evaluate(now, Some(State::Empty), HEALTHY), Some(Action::Undrain(target)));
            p.evaluate(now, None, HEALTHY);
            assert_eq!(p.stage, Stage::Settling);
            assert_eq!(p.evaluate(now + SETTLE_PERIOD - 1, None, HEALTHY), None);
            p.evaluate(now + SETTLE_PERIOD, None, DEGRADED);
            assert_eq!(p.stage, Stage::Settling, "not while service is degraded");
            now += SETTLE_PERIOD + SECOND;
            p.evaluate(now, None, HEALTHY);
        }
        assert_eq!((p.stage.clone(), p.evaluate(now, None, HEALTHY)), (Stage::Done, None));
    }

    #[test]
    fn any_failure_halts_the_round_until_the_operator_continues_it() {
        let halted = |p: &Plan| matches!(p.stage, Stage::Halted(_));
        for (drain, health) in [
            (Some(State::Expired), HEALTHY),
            (Some(State::Failed), HEALTHY),
            (None, HEALTHY),
            (Some(State::Restored), HEALTHY),
        ] {
            let mut p = plan(None);
            p.evaluate(0, None, HEALTHY);
            p.drain_requested(0, Ok(3));
            p.evaluate(0, drain, health);
            assert!(halted(&p), "{drain:?}");
            assert_eq!(
                p.evaluate(SETTLE_TIMEOUT * 9, None, HEALTHY),
                None,
                "a halted round waits for the operator"
            );
        }
        let mut p = plan(None);
        p.evaluate(0, None, DEGRADED);
        assert!(halted(&p));
        assert_eq!(p.advance(1, None), None);
        assert!(p.evaluate(1, None, HEALTHY).is_some());
        p.drain_requested(1, Err("too many".into()));
        assert_eq!(p.stage, Stage::Halted("too many".into()));
        p.enter_stage(2, Stage::Settling);
        p.evaluate(2 + SETTLE_TIMEOUT, None, DEGRADED);
        assert!(halted(&p));
    }
}
