//! What may be drained, and what is turned down unless it is forced.

use crate::drain::Drain;
use crate::impact::Impact;
use crate::target::{Exchange, Site, Target};
use crate::{Micros, SECOND};

/// The operator's rules for drains.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Exchanges and groups that may be drained at once.
    pub max_concurrent: usize,
    /// Limit of a drain that names none (µs); `None`: no limit.
    pub default_limit: Option<Micros>,
    /// The max_limit limit that may be asked for (µs).
    pub max_limit: Micros,
    /// A drain that would push calls onto groups that then block more than this share of them is turned down.
    pub max_blocking: f64,
    /// The guard of a drain acts when the share of calls that are well served falls by more than this; 1: never.
    pub guard_margin: f64,
    /// It watches for so long (µs).
    pub guard_period: Micros,
    /// A reason must be given.
    pub reason_required: bool,
    /// New calls may go to a drained exchange or group for this long after the drain came into force (µs); the
    /// site's rule on drains sets it.
    pub grace: Micros,
    /// The same for this controller: callers are turned away by its tests first, and need time to go (µs).
    pub controller_grace: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            max_concurrent: 1,
            default_limit: None,
            max_limit: 7 * 24 * 3600 * SECOND,
            max_blocking: 0.05,
            guard_margin: 0.1,
            guard_period: 60 * SECOND,
            reason_required: false,
            grace: 250_000,
            controller_grace: 3 * SECOND,
        }
    }
}

/// Why an order was turned down.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Denied {
    /// The target is drained already.
    #[error("{target} is drained already, by order {order} of {requested_by}")]
    AlreadyDrained {
        /// The target.
        target: Target,
        /// The order in force.
        order: u64,
        /// Whose it is.
        requested_by: String,
    },
    /// There is no such drain.
    #[error("{0} is not drained")]
    NotDrained(Target),
    /// The list has no such exchange.
    #[error("{0} is not on the list of exchanges (force overrides)")]
    NotListed(Target),
    /// The controller's own exchange: nothing is sent to it.
    #[error("{0} is the own exchange: drain the controller instead")]
    OwnExchange(Target),
    /// Too many at once.
    #[error("{now} drained at once already, and {most} may be: {which} (force overrides)")]
    TooMany {
        /// Those in force.
        now: usize,
        /// Those allowed.
        most: usize,
        /// Their targets.
        which: String,
    },
    /// Destinations would be left without a way.
    #[error("no way would be left to {} (force overrides)", list(.0))]
    Unreachable(Vec<Exchange>),
    /// The remaining groups have no room.
    #[error("group:{} would block {:.0}% of its calls, more than {:.0}% (force overrides)", .group.0, .blocking * 100.0, .most * 100.0)]
    BlockingTooHigh {
        /// The group that would be the fullest.
        group: Exchange,
        /// The share that it would block.
        blocking: f64,
        /// The share allowed.
        most: f64,
    },
    /// The limit is too long, or none.
    #[error("limit: {0} s is not from 1 to {1} s")]
    LimitOutOfRange(Micros, Micros),
    /// No reason was given.
    #[error("reason: missing, and the policy wants one")]
    NoReason,
    /// A text is too long.
    #[error("{0}: longer than {1} bytes")]
    TooLong(&'static str, usize),
    /// A request id came again with another command.
    #[error("request {0}: the same id was used for another command")]
    IdReused(String),
    /// There is a round already, or none.
    #[error("{0}")]
    Round(&'static str),
    /// Another order ended this one before it was saved.
    #[error("order {0} of {1} came after this one and ended it")]
    Superseded(u64, String),
}

fn list(of: &[Exchange]) -> String {
    let names: Vec<String> = of.iter().map(|e| format!("exchange:{}", e.0)).collect();
    names.join(", ")
}

impl Policy {
    /// Checks a drain that is asked for against those in force and what it would cost. `force` leaves only what
    /// makes no sense at all.
    ///
    /// # Errors
    /// The first reason to turn it down.
    pub fn check(
        &self,
        target: Target,
        force: bool,
        drains: &[Drain],
        impact: &Impact,
        site: &dyn Site,
        own_exchange: Option<Exchange>,
    ) -> Result<(), Denied> {
        if let Some(d) = drains.iter().find(|d| d.target == target) {
            return Err(Denied::AlreadyDrained {
                target,
                order: d.order,
                requested_by: d.requested_by.clone(),
            });
        }
        let (Target::Exchange(e) | Target::Group(e)) = target else { return Ok(()) };
        if Some(e) == own_exchange {
            return Err(Denied::OwnExchange(target));
        }
        if force {
            return Ok(());
        }
        if !site.neighbours().iter().any(|n| n.exchange == e) {
            return Err(Denied::NotListed(target));
        }
        let others: Vec<&Drain> = drains.iter().filter(|d| d.target != Target::Controller).collect();
        if others.len() >= self.max_concurrent {
            let which: Vec<String> = others.iter().map(|d| d.target.to_string()).collect();
            return Err(Denied::TooMany {
                now: others.len(),
                most: self.max_concurrent,
                which: which.join(", "),
            });
        }
        if !impact.unreachable.is_empty() {
            return Err(Denied::Unreachable(impact.unreachable.clone()));
        }
        let fullest = impact.groups.iter().max_by(|a, b| a.blocking_after.total_cmp(&b.blocking_after));
        match fullest.filter(|g| g.blocking_after > self.max_blocking && g.blocking_after > g.blocking_before)
        {
            Some(g) => Err(Denied::BlockingTooHigh {
                group: g.group,
                blocking: g.blocking_after,
                most: self.max_blocking,
            }),
            None => Ok(()),
        }
    }

    /// The limit of a drain that asks for `requested` (µs).
    ///
    /// # Errors
    /// If it is not from a second to the max_limit one allowed.
    pub fn limit(&self, requested: Option<Micros>) -> Result<Option<Micros>, Denied> {
        match requested {
            None => Ok(self.default_limit),
            Some(l) if (SECOND..=self.max_limit).contains(&l) => Ok(Some(l)),
            Some(l) => Err(Denied::LimitOutOfRange(l / SECOND, self.max_limit / SECOND)),
        }
    }
}
