//! One drain: its states and what moves it from one to the next.
//!
//! ```text
//!            saved                grace over            nothing left
//!   asked ----------> shedding ----------> emptying <---------------> empty
//!     |                  |                    |  limit passed, keep      |
//!     |                  |                    +---------> expired -------+
//!     |                  |                    |  limit passed, cut, and calls still there
//!     |                  |                    +---------> failed
//!     +------------------+--------------------+------------- undrain, or limit passed, restore --> restored
//! ```
//!
//! In every state but asked and restored the target is out of service: a drain that went wrong stays on the safe
//! side until somebody ends it.

use crate::guard::Guard;
use crate::target::{Health, Load, Target};
use crate::{Micros, SECOND};
use serde::{Deserialize, Serialize};

/// A target counts as empty once nothing has been there for so long: after an unclear end circuits may stay taken
/// for the quiet period of 500 ms, in which a late answer can still bring a call back (µs).
pub const EMPTY_CONFIRMATION: Micros = 600_000;
/// After a cut the releases have this long to be carried out before the drain counts as failed: a release is passed
/// on within 1 s, and given up after 8 s (µs).
pub const CUT_TIMEOUT: Micros = 8 * SECOND;

/// Where a drain is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Taken from the operator, and not yet in force: it is being saved.
    Asked,
    /// In force; set-ups may still go there until the grace is over.
    Shedding,
    /// Nothing new goes there; what is there ends by itself.
    Emptying,
    /// Nothing is there.
    Empty,
    /// Over: the target is back in service.
    Restored,
    /// The limit has passed with calls still there, and the target is kept out of service.
    Expired,
    /// What was there was cut at the limit, and is there still.
    Failed,
}

impl State {
    /// Whether the target is out of service.
    pub fn in_force(self) -> bool {
        !matches!(self, State::Asked | State::Restored)
    }

    /// Its name.
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
    /// It goes back into service.
    Restore,
    /// The calls that are still there are cut, and it stays out of service.
    Cut,
}

/// The number of a drain or of an order; orders are carried out in this order.
pub type OrderNumber = u64;

/// A drain.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The order that began it.
    pub order: OrderNumber,
    /// What it takes out of service.
    pub target: Target,
    /// Where it is.
    pub state: State,
    /// Since when (program's clock).
    pub since: Micros,
    /// Why it was asked for.
    pub reason: String,
    /// Who asked.
    pub requested_by: String,
    /// When, by the wall's clock.
    pub requested_wall: Micros,
    /// When it must be over, by the program's clock, whatever is done to the wall's.
    pub limit: Option<Micros>,
    /// What happens then.
    pub at_limit: AtLimit,
    /// The limit has passed and was acted on.
    pub limit_done: bool,
    /// The policy was overridden.
    pub forced: bool,
    /// The maintenance window that began it, and when that occurrence started (wall).
    pub window: Option<(String, Micros)>,
    /// What ends it if service falls as it takes hold.
    pub guard: Option<Guard>,
    /// The most that was there since it came into force.
    pub peak: Load,
    /// What was there at the last look.
    pub load: Load,
    /// Since when nothing is there (program's clock).
    pub(crate) idle_since: Option<Micros>,
    /// When what was left was cut (program's clock).
    pub(crate) cut_at: Option<Micros>,
}

/// What a drain asks for when it moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It went on to this state.
    StateChanged(State),
    /// Release the calls that stand at the target.
    Cut,
    /// Service fell from the first share to the second, and the guard ended the drain.
    GuardTripped(f64, f64),
}

impl Drain {
    /// A drain as it was asked for.
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

    /// It has been saved, or can't be: it comes into force.
    pub fn activate(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.state == State::Asked {
            self.set_state(now, State::Shedding, effects);
        }
    }

    /// It is ended by order.
    pub fn restore(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.set_state(now, State::Restored, effects);
    }

    /// When it must be looked at again whatever happens, if ever.
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

    /// Looks at what is at the target. `grace`: how long new calls may go there after it came into force.
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
            // A late answer, or a call of the program's earlier life that was found again.
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

    /// How much of what was there at most has gone, from 0 to 1.
    pub fn progress(&self) -> f64 {
        let (peak, left) = (
            self.peak.pending_setups + self.peak.established,
            self.load.pending_setups + self.load.established,
        );
        match self.state {
            State::Asked => 0.0,
            State::Empty | State::Restored => 1.0,
            _ if peak == 0 => 0.0,
            _ => 1.0 - f64::from(left) / f64::from(peak),
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

    /// Looks at each of these times and gives the states gone through.
    fn run(d: &mut Drain, looks: &[(Micros, Load)]) -> Vec<Effect> {
        let mut effects = Vec::new();
        d.activate(0, &mut effects);
        looks.iter().for_each(|&(now, load)| d.evaluate(now, load, Health::default(), GRACE, &mut effects));
        effects
    }

    #[test]
    fn it_sheds_empties_and_takes_back_what_comes_late() {
        let mut d = drain(AtLimit::Keep, None);
        let looks = [
            (GRACE - 1, load(1, 4)),
            (GRACE, load(0, 5)),
            (SECOND, load(0, 0)),
            (SECOND + EMPTY_CONFIRMATION - 1, load(0, 0)),
            (SECOND + EMPTY_CONFIRMATION, load(0, 0)),
            (3 * SECOND, load(0, 1)),
        ];
        let states =
            [State::Shedding, State::Emptying, State::Empty, State::Emptying].map(Effect::StateChanged);
        assert_eq!(run(&mut d, &looks), states);
        assert_eq!(d.peak, load(1, 5));
    }

    #[test]
    fn a_limit_keeps_restores_or_cuts_once() {
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
