//! Gossip between instances: group membership, and measurements of the exchanges.
//!
//! [`swim`] keeps the members and their states, [`dissemination`] the items to piggyback, [`evidence`] the measurements
//! of all instances, and [`exchange_suspicion`] the suspicions derived from them. [`wire`] is the datagram format,
//! [`auth`] the authentication, [`replay`] the replay protection, and [`rate_limit`] the traffic limit. [`node`]
//! combines them: datagrams and time go in, datagrams and suspicions of exchanges come out. [`simulation`] runs many
//! nodes on a simulated network.
//!
//! The crate has no clock, does no input or output and makes no routing decisions: suspicions reach the decision module
//! as events, and that module limits the calls to suspected exchanges.
#![forbid(unsafe_code)]

pub mod auth;
pub mod dissemination;
pub mod evidence;
pub mod exchange_suspicion;
pub mod node;
pub mod rate_limit;
pub mod replay;
pub mod simulation;
pub mod swim;
pub mod wire;

use std::fmt;

/// Point in time or duration in microseconds, of a monotonic clock.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Id of an instance: the first 64 bits of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id for a name.
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

/// Number of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Exchange(pub u16);
