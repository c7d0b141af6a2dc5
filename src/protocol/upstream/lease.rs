//! How long calls that stand at an exchange are taken to stand while nothing shows that the process which has them
//! is still there.
//!
//! Calls that stand are quiet for as long as they last, so that the end of the process which has them may be told by
//! nobody: a machine that vanishes says nothing, the coordinator may be down, and another process may come up at the
//! same address. Each call therefore stands on a lease. The lease is renewed by whatever comes from the process that
//! has the call, and by nothing else. A process is known by what it says without a break; after a break, only by what
//! it says of a call that it had before.

use crate::routing::interface::Micros;
use std::collections::BTreeMap;

/// A lease lasts this long after the last proof of the process (µs). The caller must hear of the end within 8 s of
/// it; what is left is for the proof's way here, a late timer and the release's way to a caller whose own connection
/// is dead. A network that is cut for 6 s leaves time for the next connection to show that the process is there.
pub const LEASE: Micros = 6_800_000;
/// Silence up to this long is no break (µs). With calls at an exchange its connection is tested after 300 ms at the
/// most, and no process is back under its address within this without having refused a connection.
const UNBROKEN: Micros = 500_000;

/// A process at the far end, numbered by the breaks before it: after each it may be another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// The leases of the calls that stand at one exchange.
#[derive(Clone, Debug)]
pub struct Leases {
    /// The process that speaks now, and when it last did.
    current: Generation,
    proven: Micros,
    /// The connection was lost since, and nothing has come on the next one.
    disconnected: bool,
    /// Processes from before a break that have not been heard of since, and when they last were.
    unproven: BTreeMap<Generation, Micros>,
    /// Calls of earlier processes than this one may be over without a word, though their process is still there.
    untold_before: Generation,
}

impl Leases {
    /// No calls yet.
    pub fn new(now: Micros) -> Self {
        Leases {
            current: Generation::default(),
            proven: now,
            disconnected: false,
            unproven: BTreeMap::new(),
            untold_before: Generation::default(),
        }
    }

    /// The process that has the calls which come to stand now.
    pub fn current(&self) -> Generation {
        self.current
    }

    /// The connection is no more.
    pub fn lost(&mut self) {
        self.disconnected = true;
    }

    /// A connection is no more that had only just come up, or on which nothing has come. An exchange tells the ends of
    /// calls that it could not tell before on the next connection, once: what it told on this one is lost, so that
    /// none of the calls so far can be taken to stand for longer than its lease.
    pub fn lost_early(&mut self, now: Micros) {
        self.lost();
        self.break_off(now);
        self.untold_before = self.current;
    }

    fn break_off(&mut self, now: Micros) {
        // Guards memory against an exchange that is out of reach for ever.
        self.unproven.retain(|_, proven| now - *proven < 2 * LEASE);
        self.unproven.insert(self.current, self.proven);
        self.current = Generation(self.current.0 + 1);
    }

    /// Something came on the present connection.
    pub fn heard(&mut self, now: Micros) {
        if std::mem::take(&mut self.disconnected) && now - self.proven > UNBROKEN {
            self.break_off(now);
        }
        self.proven = now;
    }

    /// The process that speaks now said something of a call of that generation: it has been there since then.
    pub fn confirm(&mut self, generation: Generation) {
        let untold_before = self.untold_before;
        self.unproven.retain(|&unproven, _| unproven < generation.max(untold_before));
    }

    /// Whether the calls of this generation have lost their lease.
    pub fn expired(&self, now: Micros, generation: Generation) -> bool {
        now - self.proof(generation) >= LEASE
    }

    /// When the calls of this generation lose their lease unless something renews it.
    pub fn expires(&self, generation: Generation) -> Micros {
        self.proof(generation) + LEASE
    }

    /// Forgets the processes whose calls have all lost their lease.
    pub fn forget_expired(&mut self, now: Micros) {
        self.unproven.retain(|_, proven| now - *proven < LEASE);
    }

    fn proof(&self, generation: Generation) -> Micros {
        self.unproven.get(&generation).copied().unwrap_or(self.proven)
    }
}
