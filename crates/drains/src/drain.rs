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
pub const EMPTY_AFTER: Micros = 600_000;
/// After a cut the releases have this long to be carried out before the drain counts as failed: a release is passed
/// on within 1 s, and given up after 8 s (µs).
pub const CUT_WAIT: Micros = 8 * SECOND;

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
pub type Order = u64;

/// A drain.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The order that began it.
    pub order: Order,
    /// What it takes out of service.
    pub target: Target,
    /// Where it is.
    pub state: State,
    /// Since when (program's clock).
    pub since: Micros,
    /// Why it was asked for.
    pub reason: String,
    /// Who asked.
    pub who: String,
    /// When, by the wall's clock.
    pub asked_wall: Micros,
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
    pub(crate) idle: Option<Micros>,
    /// When what was left was cut (program's clock).
    pub(crate) cut: Option<Micros>,
}

/// What a drain asks for when it moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// It went on to this state.
    To(State),
    /// Release the calls that stand at the target.
    Cut,
    /// Service fell from the first share to the second, and the guard ended the drain.
    Guarded(f64, f64),
}

impl Drain {
    /// A drain as it was asked for.
    pub fn asked(order: Order, target: Target, now: Micros) -> Drain {
        Drain {
            order,
            target,
            state: State::Asked,
            since: now,
            reason: String::new(),
            who: String::new(),
            asked_wall: 0,
            limit: None,
            at_limit: AtLimit::Keep,
            limit_done: false,
            forced: false,
            window: None,
            guard: None,
            peak: Load::default(),
            load: Load::default(),
            idle: None,
            cut: None,
        }
    }

    fn go(&mut self, now: Micros, state: State, steps: &mut Vec<Step>) {
        if self.state != state {
            (self.state, self.since) = (state, now);
            steps.push(Step::To(state));
        }
    }

    /// It has been saved, or can't be: it comes into force.
    pub fn begin(&mut self, now: Micros, steps: &mut Vec<Step>) {
        if self.state == State::Asked {
            self.go(now, State::Shedding, steps);
        }
    }

    /// It is ended by order.
    pub fn restore(&mut self, now: Micros, steps: &mut Vec<Step>) {
        self.go(now, State::Restored, steps);
    }

    /// When it must be looked at again whatever happens, if ever.
    pub fn next_due(&self, grace: Micros) -> Option<Micros> {
        let limit = self.limit.filter(|_| !self.limit_done);
        let own = match self.state {
            State::Asked | State::Restored | State::Failed => None,
            State::Shedding => Some(self.since + grace),
            State::Emptying | State::Expired => {
                self.idle.map(|t| t + EMPTY_AFTER).into_iter().chain(self.cut.map(|t| t + CUT_WAIT)).min()
            }
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
        steps: &mut Vec<Step>,
    ) {
        if !self.state.in_force() {
            return;
        }
        self.load = load;
        self.peak.out = self.peak.out.max(load.out);
        self.peak.standing = self.peak.standing.max(load.standing);
        self.idle = if load.is_zero() { self.idle.or(Some(now)) } else { None };
        let empty = self.idle.is_some_and(|t| now - t >= EMPTY_AFTER);
        if matches!(self.state, State::Shedding | State::Emptying) && !empty {
            let tripped = self.guard.as_mut().and_then(|g| g.trips(now, health).then_some(g.before));
            if let Some(before) = tripped {
                steps.push(Step::Guarded(before, health.good));
                return self.go(now, State::Restored, steps);
            }
        }
        match self.state {
            State::Shedding if now - self.since >= grace => self.go(now, State::Emptying, steps),
            State::Emptying | State::Expired | State::Failed if empty => self.go(now, State::Empty, steps),
            // A late answer, or a call of the program's earlier life that was found again.
            State::Empty if !load.is_zero() => self.go(now, State::Emptying, steps),
            State::Emptying if self.cut.is_some_and(|t| now - t >= CUT_WAIT) => {
                self.go(now, State::Failed, steps);
            }
            _ => {}
        }
        if self.limit.is_some_and(|limit| now >= limit) && !self.limit_done {
            self.limit_done = true;
            match self.at_limit {
                AtLimit::Restore => self.go(now, State::Restored, steps),
                AtLimit::Keep if self.state != State::Empty => self.go(now, State::Expired, steps),
                AtLimit::Cut if self.state != State::Empty => {
                    self.cut = Some(now);
                    self.go(now, State::Emptying, steps);
                    steps.push(Step::Cut);
                }
                AtLimit::Keep | AtLimit::Cut => {}
            }
        }
    }

    /// How much of what was there at most has gone, from 0 to 1.
    pub fn progress(&self) -> f64 {
        let (peak, left) = (self.peak.out + self.peak.standing, self.load.out + self.load.standing);
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

    fn load(out: u32, standing: u32) -> Load {
        Load { out, standing }
    }

    fn drain(at_limit: AtLimit, limit: Option<Micros>) -> Drain {
        Drain { at_limit, limit, ..Drain::asked(1, Target::Exchange(Exchange(3)), 0) }
    }

    /// Looks at each of these times and gives the states gone through.
    fn run(d: &mut Drain, looks: &[(Micros, Load)]) -> Vec<Step> {
        let mut steps = Vec::new();
        d.begin(0, &mut steps);
        looks.iter().for_each(|&(now, load)| d.evaluate(now, load, Health::default(), GRACE, &mut steps));
        steps
    }

    #[test]
    fn it_sheds_empties_and_takes_back_what_comes_late() {
        let mut d = drain(AtLimit::Keep, None);
        let looks = [
            (GRACE - 1, load(1, 4)),
            (GRACE, load(0, 5)),
            (SECOND, load(0, 0)),
            (SECOND + EMPTY_AFTER - 1, load(0, 0)),
            (SECOND + EMPTY_AFTER, load(0, 0)),
            (3 * SECOND, load(0, 1)),
        ];
        let states = [State::Shedding, State::Emptying, State::Empty, State::Emptying].map(Step::To);
        assert_eq!(run(&mut d, &looks), states);
        assert_eq!(d.peak, load(1, 5));
    }

    #[test]
    fn a_limit_keeps_restores_or_cuts_once() {
        let busy = [(GRACE, load(0, 2)), (5 * SECOND, load(0, 2)), (6 * SECOND, load(0, 2))];
        let last = |at| run(&mut drain(at, Some(5 * SECOND)), &busy).split_off(2);
        assert_eq!(last(AtLimit::Keep), [Step::To(State::Expired)]);
        assert_eq!(last(AtLimit::Restore), [Step::To(State::Restored)]);
        assert_eq!(last(AtLimit::Cut), [Step::Cut]);
        let mut d = drain(AtLimit::Cut, Some(5 * SECOND));
        run(&mut d, &busy);
        let mut steps = Vec::new();
        d.evaluate(5 * SECOND + CUT_WAIT, load(0, 1), Health::default(), GRACE, &mut steps);
        assert_eq!((steps.as_slice(), d.state.in_force()), (&[Step::To(State::Failed)][..], true));
    }
}
