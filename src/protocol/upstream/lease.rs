//! How long calls that stand at an exchange are taken to stand while nothing shows that the process which has them
//! is still there.
//!
//! Calls that stand are quiet for as long as they last, so that the end of the process which has them may be told by
//! nobody: a machine that vanishes says nothing, the coordinator may be down, and another process may come up at the
//! same address. Each call therefore stands on a lease. The lease is renewed by whatever comes from the process that
//! has the call, and by nothing else. A process is known by what it says without a break; after a break, only by what
//! it says of a call that it had before.

use crate::routing::interface::Micros;

/// A lease lasts this long after the last proof of the process (µs). The caller must hear of the end within 8 s of
/// it; what is left is for the proof's way here, a late timer and the release's way to a caller whose own connection
/// is dead. A network that is cut for 6 s leaves time for the next connection to show that the process is there.
pub const LEASE_DURATION: Micros = 6_800_000;
/// Silence up to this long is no break (µs). With calls at an exchange its connection is tested after 300 ms at the
/// most, and no process is back under its address within this without having refused a connection.
const UNBROKEN: Micros = 500_000;

/// A process at the far end, numbered by the breaks before it: after each it may be another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// Generations that one process was shown to have lived through, and when it was last heard of.
#[derive(Clone, Copy, Debug)]
struct Process {
    first: Generation,
    last: Generation,
    proven: Micros,
}

/// The leases of the calls that stand at one exchange.
#[derive(Clone, Debug)]
pub struct Leases {
    /// The process that speaks now.
    current: Process,
    /// The connection was lost since, and nothing has come on the next one.
    disconnected: bool,
    /// Processes from before a break that have not been heard of since, oldest first.
    earlier: Vec<Process>,
    /// Calls of earlier generations than this one may be over without a word, though their process is still there.
    untold_before: Generation,
}

impl Leases {
    /// No calls yet.
    pub fn new(now: Micros) -> Self {
        let first = Generation::default();
        let current = Process { first, last: first, proven: now };
        Leases { current, disconnected: false, earlier: Vec::new(), untold_before: first }
    }

    /// The process that has the calls which come to stand now.
    pub fn current(&self) -> Generation {
        self.current.last
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
        self.untold_before = self.current.first;
    }

    /// What speaks from here on may be another process.
    fn break_off(&mut self, now: Micros) {
        self.earlier.push(self.current);
        // Guards memory against an exchange that is out of reach for ever.
        self.earlier.retain(|process| now - process.proven < 2 * LEASE_DURATION);
        let next = Generation(self.current.last.0 + 1);
        self.current = Process { first: next, last: next, proven: self.current.proven };
    }

    /// Something came on the present connection.
    pub fn heard(&mut self, now: Micros) {
        if std::mem::take(&mut self.disconnected) && now - self.current.proven > UNBROKEN {
            self.break_off(now);
        }
        self.current.proven = now;
    }

    /// The process that speaks now said something of a call of that generation: it has been there since then.
    pub fn confirm(&mut self, generation: Generation) {
        let oldest = generation.max(self.untold_before);
        if let Some(at) = self.earlier.iter().position(|process| process.last >= oldest) {
            self.current.first = self.earlier[at].first;
            self.earlier.truncate(at);
        }
    }

    /// Whether the calls of this generation have lost their lease.
    pub fn expired(&self, now: Micros, generation: Generation) -> bool {
        now >= self.expires(generation)
    }

    /// When the calls of this generation lose their lease unless something renews it.
    pub fn expires(&self, generation: Generation) -> Micros {
        let of = |process: &&Process| (process.first..=process.last).contains(&generation);
        let process = std::iter::once(&self.current).chain(&self.earlier).find(of);
        // One that is no longer known has not been heard of for longer than a lease.
        process.map_or(0, |process| process.proven + LEASE_DURATION)
    }
}
