//! The state machine of a single drain.
//!
//! ```text
//!            saved               grace passed           no load left
//!   asked ----------> shedding ----------> emptying <---------------> empty
//!     |                  |                    |  limit passed, keep      |
//!     |                  |                    +---------> expired -------+
//!     |                  |                    |  limit passed, cut, and calls still there
//!     |                  |                    +---------> failed
//!     +------------------+--------------------+------------- undrain, guard, or limit passed, restore --> restored
//! ```
//!
//! The target is out of service in every state except asked and restored. A drain that expires or fails keeps its
//! target out of service until an operator ends it, which is the safe side.

use crate::guard::Guard;
use crate::target::{Health, Load, Target};
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// How long a target must be without load before it counts as empty (µs). After an attempt of unknown outcome its
/// circuits may stay reserved for the quiet period of 500 ms, during which a late answer can still establish the call.
pub const EMPTY_CONFIRMATION: Micros = 600_000;
/// How long after a cut the drain may take to empty before it counts as failed (µs). A release is passed on within
/// 1 s and abandoned after 8 s.
pub const CUT_TIMEOUT: Micros = 8 * SECOND;

/// The state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepted but not yet in force: the order is being saved.
    Asked,
    /// In force; set-ups may still be sent to the target until the grace period ends.
    Shedding,
    /// No new calls are sent to the target; existing calls end normally.
    Emptying,
    /// No set-ups or calls remain at the target.
    Empty,
    /// Finished: the target is back in service.
    Restored,
    /// The limit passed while calls remained; the target stays out of service.
    Expired,
    /// The remaining calls were cut at the limit, but calls still remain.
    Failed,
}

impl State {
    /// Whether a drain in this state keeps its target out of service.
    pub fn in_force(self) -> bool {
        !matches!(self, State::Asked | State::Restored)
    }

    /// The name of the state, as shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            State::Asked => "asked",
            State::Shedding => "shedding",
            State::Emptying => "emptying",
            State::Empty => "empty",
            State::Restored => "restored",
            State::Expired => "expired",
            State::Failed => "failed",
        }
    }
}

/// What happens when a drain's limit passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AtLimit {
    /// The target stays out of service.
    #[default]
    Keep,
    /// The target returns to service.
    Restore,
    /// The remaining calls are cut, and the target stays out of service.
    Cut,
}

/// The number of an order, and of the drain that it starts. Orders are executed in number order.
pub type OrderNumber = u64;

/// A drain of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The order that started the drain.
    pub order: OrderNumber,
    /// The target that is taken out of service.
    pub target: Target,
    /// The current state.
    pub state: State,
    /// When the current state was entered (monotonic clock).
    pub since: Micros,
    /// The reason given by the operator.
    pub reason: String,
    /// The operator or maintenance window that requested the drain; for a drain of a round, the operator of the round.
    pub requested_by: String,
    /// When the drain was requested (wall clock).
    pub requested_wall: Micros,
    /// When the limit passes (monotonic clock, so that changes of the wall clock do not move it).
    pub limit: Option<Micros>,
    /// What to do when the limit passes.
    pub at_limit: AtLimit,
    /// Whether the limit has passed and been acted on.
    pub limit_done: bool,
    /// Whether the policy was overridden.
    pub forced: bool,
    /// The maintenance window that started the drain, and the start of that occurrence (wall clock).
    pub window: Option<(String, Micros)>,
    /// Ends the drain if service degrades after it comes into force.
    pub guard: Option<Guard>,
    /// The highest load seen since the drain came into force.
    pub peak: Load,
    /// The load at the last evaluation.
    pub load: Load,
    /// Since when the target has had no load (monotonic clock).
    pub(crate) idle_since: Option<Micros>,
    /// When the remaining calls were cut (monotonic clock).
    pub(crate) cut_at: Option<Micros>,
}

/// A consequence of evaluating a drain, for the registry to act on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The drain entered this state.
    StateChanged(State),
    /// The established calls at the target must be released.
    Cut,
    /// The guard ended the drain because the share of calls served within the objective fell from the first value
    /// to the second.
    GuardTripped(f64, f64),
}

impl Drain {
    /// Creates a drain in state [`State::Asked`], without a limit.
    pub fn new(order: OrderNumber, target: Target, now: Micros) -> Drain {
        Drain {
            order,
            target,
            state: State::Asked,
            since: now,
            reason: String::new(),
            requested_by: String::new(),
            requested_wall: 0,
            limit: None,
            at_limit: AtLimit::Keep,
            limit_done: false,
            forced: false,
            window: None,
            guard: None,
            peak: Load::default(),
            load: Load::default(),
            idle_since: None,
            cut_at: None,
        }
    }

    fn set_state(&mut self, now: Micros, state: State, effects: &mut Vec<Effect>) {
        if self.state != state {
            (self.state, self.since) = (state, now);
            effects.push(Effect::StateChanged(state));
        }
    }

    /// Puts the drain into force, once it has been saved or saving has failed.
    pub fn activate(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.state == State::Asked {
            self.set_state(now, State::Shedding, effects);
        }
    }

    /// Ends the drain and returns the target to service.
    pub fn restore(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.set_state(now, State::Restored, effects);
    }

    /// The next time at which the drain changes state without a change in load, if there is one.
    pub fn next_deadline(&self, grace: Micros) -> Option<Micros> {
        let limit = self.limit.filter(|_| !self.limit_done);
        let own = match self.state {
            State::Asked | State::Restored | State::Failed => None,
            State::Shedding => Some(self.since + grace),
            State::Emptying | State::Expired => self
                .idle_since
                .map(|t| t + EMPTY_CONFIRMATION)
                .into_iter()
                .chain(self.cut_at.map(|t| t + CUT_TIMEOUT))
                .min(),
            State::Empty => None,
        };
        own.into_iter().chain(limit.filter(|_| self.state.in_force())).min()
    }

    /// Advances the drain for the current load of its target. `grace` is how long new calls may still be sent to the
    /// target after the drain came into force.
    pub fn evaluate(
        &mut self,
        now: Micros,
        load: Load,
        health: Health,
        grace: Micros,
        effects: &mut Vec<Effect>,
    ) {
        if !self.state.in_force() {
            return;
        }
        self.load = load;
        self.peak.pending_setups = self.peak.pending_setups.max(load.pending_setups);
        self.peak.established = self.peak.established.max(load.established);
        self.idle_since = if load.is_zero() { self.idle_since.or(Some(now)) } else { None };
        let empty = self.idle_since.is_some_and(|t| now - t >= EMPTY_CONFIRMATION);
        if matches!(self.state, State::Shedding | State::Emptying) && !empty {
            let tripped = self.guard.as_mut().and_then(|g| g.trips(now, health).then_some(g.baseline));
            if let Some(before) = tripped {
                effects.push(Effect::GuardTripped(before, health.good_share));
                return self.set_state(now, State::Restored, effects);
            }
        }
        match self.state {
            State::Shedding if now - self.since >= grace => self.set_state(now, State::Emptying, effects),
            State::Emptying | State::Expired | State::Failed if empty => {
                self.set_state(now, State::Empty, effects)
            }
            // Caused by a late answer, or by a call of an earlier run of the program that was found again.
            State::Empty if !load.is_zero() => self.set_state(now, State::Emptying, effects),
            State::Emptying if self.cut_at.is_some_and(|t| now - t >= CUT_TIMEOUT) => {
                self.set_state(now, State::Failed, effects);
            }
            _ => {}
        }
        if self.limit.is_some_and(|limit| now >= limit) && !self.limit_done {
            self.limit_done = true;
            match self.at_limit {
                AtLimit::Restore => self.set_state(now, State::Restored, effects),
                AtLimit::Keep if self.state != State::Empty => self.set_state(now, State::Expired, effects),
                AtLimit::Cut if self.state != State::Empty => {
                    self.cut_at = Some(now);
                    self.set_state(now, State::Emptying, effects);
                    effects.push(Effect::Cut);
                }
                AtLimit::Keep | AtLimit::Cut => {}
            }
        }
    }

    /// The fraction of the peak load that has left the target, from 0 to 1.
    pub fn progress(&self) -> f64 {
        let (peak, remaining) = (
            self.peak.pending_setups + self.peak.established,
            self.load.pending_setups + self.load.established,
        );
        match self.state {
            State::Asked => 0.0,
            State::Empty | State::Restored => 1.0,
            _ if peak == 0 => 0.0,
            _ => 1.0 - f64::from(remaining) / f64::from(peak),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::target::Exchange;

    const GRACE: Micros = 250_000;

    fn load(pending_setups: u32, established: u32) -> Load {
        Load { pending_setups, established }
    }

    fn drain(at_limit: AtLimit, limit: Option<Micros>) -> Drain {
        Drain { at_limit, limit, ..Drain::new(1, Target::Exchange(Exchange(3)), 0) }
    }

    /// Evaluates a drain at each of these times and returns the effects.
    fn run(d: &mut Drain, evaluations: &[(Micros, Load)]) -> Vec<Effect> {
        let mut effects = Vec::new();
        d.activate(0, &mut effects);
        evaluations
            .iter()
            .for_each(|&(now, load)| d.evaluate(now, load, Health::default(), GRACE, &mut effects));
        effects
    }

    #[test]
    fn a_drain_sheds_empties_and_reopens_for_a_late_call() {
        let mut d = drain(AtLimit::Keep, None);
        let evaluations = [
            (GRACE - 1, load(1, 4)),
            (GRACE, load(0, 5)),
            (SECOND, load(0, 0)),
            (SECOND + EMPTY_CONFIRMATION - 1, load(0, 0)),
            (SECOND + EMPTY_CONFIRMATION, load(0, 0)),
            (3 * SECOND, load(0, 1)),
        ];
        let states =
            [State::Shedding, State::Emptying, State::Empty, State::Emptying].map(Effect::StateChanged);
        assert_eq!(run(&mut d, &evaluations), states);
        assert_eq!(d.peak, load(1, 5));
    }

    #[test]
    fn the_limit_action_is_taken_once() {
        let busy = [(GRACE, load(0, 2)), (5 * SECOND, load(0, 2)), (6 * SECOND, load(0, 2))];
        let last = |at| run(&mut drain(at, Some(5 * SECOND)), &busy).split_off(2);
        assert_eq!(last(AtLimit::Keep), [Effect::StateChanged(State::Expired)]);
        assert_eq!(last(AtLimit::Restore), [Effect::StateChanged(State::Restored)]);
        assert_eq!(last(AtLimit::Cut), [Effect::Cut]);
        let mut d = drain(AtLimit::Cut, Some(5 * SECOND));
        run(&mut d, &busy);
        let mut effects = Vec::new();
        d.evaluate(5 * SECOND + CUT_TIMEOUT, load(0, 1), Health::default(), GRACE, &mut effects);
        assert_eq!(
            (effects.as_slice(), d.state.in_force()),
            (&[Effect::StateChanged(State::Failed)][..], true)
        );
    }
}
