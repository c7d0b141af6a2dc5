//! Gossip between instances: who is alive, and what each has measured of the exchanges.
//!
//! [`swim`] has the members and their states, [`spread`] what is passed on and how often, [`evidence`] what instances
//! measured, and [`exchange_suspicion`] what this instance makes of its own evidence and of others'. [`wire`] is the form of the
//! datagrams, [`auth`] their authentication, [`window`] the guard against repeats, and [`rate_limit`] the ceiling of
//! traffic. [`node`] puts them together: datagrams and time go in, datagrams and statements about exchanges come out.
//! [`simulation`] runs many nodes on a simulated network.
//!
//! Nothing here has a clock or does input or output, and nothing is decided about a call: what is believed of an
//! exchange reaches the decision module as an event, and the module narrows what it sends there.
#![forbid(unsafe_code)]

pub mod exchange_suspicion;
pub mod rate_limit;
pub mod evidence;
pub mod simulation;
pub mod node;
pub mod auth;
pub mod dissemination;
pub mod swim;
pub mod replay;
pub mod wire;

use std::fmt;

/// A moment or a span, in microseconds, of a clock that goes on evenly.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
/// A millisecond.
pub const MILLI: Micros = 1_000;

/// An instance: the first 64 bits of its name's hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name.
    pub fn of(name: &str) -> MemberId {
        let hash = blake3::hash(name.as_bytes());
        MemberId(hash.as_bytes()[..8].iter().fold(0, |id, b| id << 8 | u64::from(*b)))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The number of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Exchange(pub u16);
