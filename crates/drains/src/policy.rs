//! The rules that decide whether a drain is accepted. Most of them can be overridden by force.

use crate::drain::Drain;
use crate::impact::Impact;
use crate::target::{Exchange, Site, Target};
use crate::{Micros, SECOND};

/// The operator's rules for drains.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Maximum number of exchanges and groups that are drained at the same time.
    pub max_concurrent: usize,
    /// Limit of a drain that was requested without one (µs); `None`: no limit.
    pub default_limit: Option<Micros>,
    /// Maximum limit that may be requested (µs).
    pub max_limit: Micros,
    /// Maximum estimated blocking of the groups that take displaced calls; a drain that would exceed it is denied.
    pub max_blocking: f64,
    /// The guard ends a drain if the share of calls served within the objective falls by more than this; 1: never.
    pub guard_margin: f64,
    /// How long the guard watches service after a drain was accepted (µs).
    pub guard_period: Micros,
    /// Whether a reason must be given.
    pub reason_required: bool,
    /// How long new calls may be sent to a drained exchange or group after the drain came into force (µs). The
    /// site's rules set it.
    pub grace: Micros,
    /// The same for this controller (µs): it first fails the callers' health checks, and callers need time to leave.
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

/// The reason why an order was denied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Denied {
    /// The target is already drained.
    #[error("{target} is drained already, by order {order} of {requested_by}")]
    AlreadyDrained {
        /// The target that is drained.
        target: Target,
        /// The order in force.
        order: u64,
        /// The operator or maintenance window that requested it.
        requested_by: String,
    },
    /// The target is not drained.
    #[error("{0} is not drained")]
    NotDrained(Target),
    /// The exchange is not on the list of exchanges.
    #[error("{0} is not on the list of exchanges (force overrides)")]
    NotListed(Target),
    /// The target is the controller's own exchange, to which no calls are sent.
    #[error("{0} is the own exchange: drain the controller instead")]
    OwnExchange(Target),
    /// The maximum number of concurrent drains is reached.
    #[error("{active} drained at once already, and {max} may be: {targets} (force overrides)")]
    TooMany {
        /// Number of current drains.
        active: usize,
        /// Maximum number of drains.
        max: usize,
        /// Targets of the current drains.
        targets: String,
    },
    /// Destinations would become unreachable.
    #[error("no way would be left to {} (force overrides)", join_exchanges(.0))]
    Unreachable(Vec<Exchange>),
    /// The remaining groups would block too many calls.
    #[error("group:{} would block {:.0}% of its calls, more than {:.0}% (force overrides)", .group.0, .blocking * 100.0, .max * 100.0)]
    BlockingTooHigh {
        /// The group with the highest blocking.
        group: Exchange,
        /// Share of calls that it would block.
        blocking: f64,
        /// Maximum share of blocked calls.
        max: f64,
    },
    /// The requested limit (s) is shorter than a second or longer than the maximum (s).
    #[error("limit: {0} s is not from 1 to {1} s")]
    LimitOutOfRange(Micros, Micros),
    /// The policy requires a reason, and none was given.
    #[error("reason: missing, and the policy wants one")]
    NoReason,
    /// The named text is longer than the maximum (bytes).
    #[error("{0}: longer than {1} bytes")]
    TooLong(&'static str, usize),
    /// A request id was reused for another command.
    #[error("request {0}: the same id was used for another command")]
    IdReused(String),
    /// The round command does not fit the state of the round, or its targets are invalid.
    #[error("{0}")]
    Round(&'static str),
    /// A later order ended this one before it was saved.
    #[error("order {0} of {1} came after this one and ended it")]
    Superseded(u64, String),
}

fn join_exchanges(exchanges: &[Exchange]) -> String {
    let names: Vec<String> = exchanges.iter().map(|e| format!("exchange:{}", e.0)).collect();
    names.join(", ")
}

impl Policy {
    /// Checks a requested drain against the current drains and its estimated impact. With `force`, only drains that
    /// make no sense at all are denied.
    ///
    /// # Errors
    /// The first rule that denies the drain.
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
        let (Target::Exchange(exchange) | Target::Group(exchange)) = target else { return Ok(()) };
        if Some(exchange) == own_exchange {
            return Err(Denied::OwnExchange(target));
        }
        if force {
            return Ok(());
        }
        if !site.neighbours().iter().any(|n| n.exchange == exchange) {
            return Err(Denied::NotListed(target));
        }
        let others: Vec<&Drain> = drains.iter().filter(|d| d.target != Target::Controller).collect();
        if others.len() >= self.max_concurrent {
            let targets: Vec<String> = others.iter().map(|d| d.target.to_string()).collect();
            return Err(Denied::TooMany {
                active: others.len(),
                max: self.max_concurrent,
                targets: targets.join(", "),
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
                max: self.max_blocking,
            }),
            None => Ok(()),
        }
    }

    /// Returns the limit for a drain whose operator requested `requested` (µs), or the default limit for none.
    ///
    /// # Errors
    /// Denied if the limit is shorter than a second or longer than the maximum.
    pub fn limit(&self, requested: Option<Micros>) -> Result<Option<Micros>, Denied> {
        match requested {
            None => Ok(self.default_limit),
            Some(l) if (SECOND..=self.max_limit).contains(&l) => Ok(Some(l)),
            Some(l) => Err(Denied::LimitOutOfRange(l / SECOND, self.max_limit / SECOND)),
        }
    }
}
