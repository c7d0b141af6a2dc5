//! The targets of drains, and the view of the site that drains need.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The number of an exchange, as used in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exchange(pub u16);

/// The target of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    /// All traffic to an exchange, as a destination and as a tandem, whichever machine serves it.
    Exchange(Exchange),
    /// The trunk group between the controller's own exchange and this one. Calls to this exchange may still take a
    /// tandem.
    Group(Exchange),
    /// This controller.
    Controller,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Exchange(e) => write!(f, "exchange:{}", e.0),
            Target::Group(e) => write!(f, "group:{}", e.0),
            Target::Controller => f.write_str("controller"),
        }
    }
}

/// The error for a text that does not name a target.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no target: expected exchange:NUMBER, group:NUMBER or controller")]
pub struct ParseTargetError(pub String);

impl FromStr for Target {
    type Err = ParseTargetError;
    fn from_str(text: &str) -> Result<Self, ParseTargetError> {
        let number = |n: &str| n.trim().parse().map(Exchange).map_err(|_| ParseTargetError(text.to_owned()));
        match text.trim().split_once([':', ' ']) {
            None if text.trim() == "controller" => Ok(Target::Controller),
            Some(("exchange", n)) => number(n).map(Target::Exchange),
            Some(("group", n)) => number(n).map(Target::Group),
            _ => Err(ParseTargetError(text.to_owned())),
        }
    }
}

impl TryFrom<String> for Target {
    type Error = ParseTargetError;
    fn try_from(text: String) -> Result<Self, ParseTargetError> {
        text.parse()
    }
}

impl From<Target> for String {
    fn from(t: Target) -> String {
        t.to_string()
    }
}

/// The set-ups and calls that remain at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Set-ups that were sent and have not been answered.
    pub pending_setups: u32,
    /// Established calls.
    pub established: u32,
}

impl Load {
    /// Whether no set-ups or calls remain.
    pub fn is_zero(self) -> bool {
        self.pending_setups == 0 && self.established == 0
    }
}

/// An exchange on the list, with the state of the group to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Neighbour {
    /// The number of the exchange.
    pub exchange: Exchange,
    /// Whether the list has the exchange in service, regardless of drains.
    pub ready: bool,
    /// Free and total circuits of the group to it, if known.
    pub group: Option<(f64, f64)>,
}

/// The service level of the calls of the last seconds, without calls to drained targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Number of calls answered.
    pub answered: u32,
    /// Share of these calls that were established within the latency objective; 0 if there were no calls.
    pub good_share: f64,
}

/// The current state of the site, provided by the owner of a [`crate::registry::DrainRegistry`].
pub trait Site {
    /// The load of a target.
    fn load(&self, target: Target) -> Load;
    /// The exchanges on the list, without the controller's own.
    fn neighbours(&self) -> Vec<Neighbour>;
    /// The current service level.
    fn health(&self) -> Health;
    /// Whether a tandem has a group to a destination; `None` if unknown.
    fn linked(&self, tandem: Exchange, destination: Exchange) -> Option<bool>;
}

/// The monotonic and the wall clock, read at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The program's monotonic clock (µs).
    pub steady: Micros,
    /// The wall clock (µs since 1970 UTC).
    pub wall: Micros,
}

impl Now {
    /// Combines readings of the two clocks.
    pub fn new(steady: Micros, wall: Micros) -> Now {
        Now { steady, wall }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn targets_round_trip_as_text_and_errors_name_the_expected_form() {
        for t in [Target::Exchange(Exchange(7)), Target::Group(Exchange(0)), Target::Controller] {
            assert_eq!(t.to_string().parse(), Ok(t));
        }
        assert_eq!("exchange 4".parse(), Ok(Target::Exchange(Exchange(4))));
        for invalid in ["", "exchange", "exchange:x", "exchange:70000", "gruop:1", "controller:1"] {
            assert!(invalid.parse::<Target>().unwrap_err().to_string().contains("expected exchange:NUMBER"));
        }
    }
}
