//! What can be drained, and what the outside tells of it.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The number of an exchange, as calls name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Exchange(pub u16);

/// What a drain takes out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    /// Everything toward an exchange, whichever machine serves it: as a destination and as a tandem.
    Exchange(Exchange),
    /// The trunk group between the own exchange and that one. Calls for it may go over a tandem.
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

/// A text that names no target.
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

/// What is still at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Set-ups that are out.
    pub pending_setups: u32,
    /// Calls that stand.
    pub established: u32,
}

impl Load {
    /// Nothing is there.
    pub fn is_zero(self) -> bool {
        self.pending_setups == 0 && self.established == 0
    }
}

/// An exchange as the list and the own group toward it show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Neighbour {
    /// Its number.
    pub exchange: Exchange,
    /// The list has it in service, whatever drains are there.
    pub ready: bool,
    /// Free circuits and size of the own group toward it, if that is known.
    pub group: Option<(f64, f64)>,
}

/// How calls fare: those of the last seconds, but for those that were for what is drained.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Calls answered.
    pub answered: u32,
    /// Share of them that stand within the aim; 0 if there were none.
    pub good_share: f64,
}

/// The site as it stands now; whoever runs a [`crate::registry::DrainRegistry`] shows it to it.
pub trait Site {
    /// What is at a target.
    fn load(&self, target: Target) -> Load;
    /// The exchanges on the list, the own one left out.
    fn neighbours(&self) -> Vec<Neighbour>;
    /// How calls fare.
    fn health(&self) -> Health;
    /// Whether a tandem is known to have a group with a destination; `None` where nothing is known.
    fn linked(&self, tandem: Exchange, destination: Exchange) -> Option<bool>;
}

/// Two clocks read at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The program's, which goes on evenly.
    pub steady: Micros,
    /// The wall's.
    pub wall: Micros,
}

impl Now {
    /// Both clocks, read now.
    pub fn new(steady: Micros, wall: Micros) -> Now {
        Now { steady, wall }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn targets_are_read_as_they_are_written_and_faults_named() {
        for t in [Target::Exchange(Exchange(7)), Target::Group(Exchange(0)), Target::Controller] {
            assert_eq!(t.to_string().parse(), Ok(t));
        }
        assert_eq!("exchange 4".parse(), Ok(Target::Exchange(Exchange(4))));
        for odd in ["", "exchange", "exchange:x", "exchange:70000", "gruop:1", "controller:1"] {
            assert!(odd.parse::<Target>().unwrap_err().to_string().contains("expected exchange:NUMBER"));
        }
    }
}
