//! Leases of the calls established at an exchange: how long they count as established without evidence that the
//! process that has them is still running.
//!
//! An established call exchanges no messages until it ends, and the end of the process that has it may never be
//! reported: a machine that vanishes sends nothing, the coordinator may be down, and another process may start at the
//! same address. Each call therefore has a lease, which is renewed only by messages from the process that has the
//! call. Without an interruption, all messages come from the same process; after an interruption, a process is
//! recognized only by a message about a call that it had before.

use crate::routing::interface::Micros;

/// Duration of a lease after the last message from the process (µs). The caller must be informed within 8 s of the end
/// of the process; the rest covers the transit time of that message, a late timer, and the release to a caller whose
/// own connection is dead. A network outage of 6 s still leaves time to hear from the process on the next connection.
pub const LEASE_DURATION: Micros = 6_800_000;
/// A gap up to this long between the messages before and after the loss of a connection is no interruption (µs). While
/// an exchange has calls, its connection is probed after at most 300 ms, and no process can be replaced at its address
/// within this time without refusing a connection first.
const MAX_SAME_PROCESS_GAP: Micros = 500_000;

/// Number of interruptions before a process was heard from; after each one it may be another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// The generations known to belong to one process, and when a message was last received from it.
#[derive(Clone, Copy, Debug)]
struct Process {
    first: Generation,
    last: Generation,
    last_received: Micros,
}

/// The leases of the calls established at one exchange.
#[derive(Clone, Debug)]
pub struct Leases {
    /// The process that currently sends messages.
    current: Process,
    /// The connection was lost, and nothing has been received on the next one yet.
    disconnected: bool,
    /// Processes from before an interruption that have not been recognized since, oldest first.
    earlier: Vec<Process>,
    /// Calls of earlier generations than this one may have ended without a report although their process still runs.
    unreported_before: Generation,
}

impl Leases {
    /// Creates the leases of an exchange without calls.
    pub fn new(now: Micros) -> Self {
        let first = Generation::default();
        let current = Process { first, last: first, last_received: now };
        Leases { current, disconnected: false, earlier: Vec::new(), unreported_before: first }
    }

    /// The generation of calls that become established now.
    pub fn current(&self) -> Generation {
        self.current.last
    }

    /// The connection was lost.
    pub fn connection_lost(&mut self) {
        self.disconnected = true;
    }

    /// A connection was lost shortly after it was established, or before anything was received on it. An exchange
    /// reports the calls that ended meanwhile once, on the next connection. What it reported on this one may be lost,
    /// so the leases of the present calls are not renewed any more.
    pub fn connection_lost_early(&mut self, now: Micros) {
        self.connection_lost();
        self.start_generation(now);
        self.unreported_before = self.current.first;
    }

    /// Starts a new generation: the messages from here on may come from another process.
    fn start_generation(&mut self, now: Micros) {
        self.earlier.push(self.current);
        // Limits memory while an exchange is unreachable for a long time.
        self.earlier.retain(|process| now - process.last_received < 2 * LEASE_DURATION);
        let next = Generation(self.current.last.0 + 1);
        self.current = Process { first: next, last: next, last_received: self.current.last_received };
    }

    /// A message was received on the current connection.
    pub fn received(&mut self, now: Micros) {
        if std::mem::take(&mut self.disconnected) && now - self.current.last_received > MAX_SAME_PROCESS_GAP {
            self.start_generation(now);
        }
        self.current.last_received = now;
    }

    /// The current process sent a message about a call of this generation, so it has been running since then.
    pub fn confirm(&mut self, generation: Generation) {
        let oldest = generation.max(self.unreported_before);
        if let Some(at) = self.earlier.iter().position(|process| process.last >= oldest) {
            self.current.first = self.earlier[at].first;
            self.earlier.truncate(at);
        }
    }

    /// Whether the leases of the calls of this generation have expired.
    pub fn expired(&self, now: Micros, generation: Generation) -> bool {
        now >= self.expires_at(generation)
    }

    /// When the leases of the calls of this generation expire unless they are renewed.
    pub fn expires_at(&self, generation: Generation) -> Micros {
        let has_generation = |process: &&Process| (process.first..=process.last).contains(&generation);
        let process = std::iter::once(&self.current).chain(&self.earlier).find(has_generation);
        // A process that was forgotten has sent nothing for longer than the duration of a lease.
        process.map_or(0, |process| process.last_received + LEASE_DURATION)
    }
}
