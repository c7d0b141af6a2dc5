//! Set-ups that their clients abandoned recently, by sid. A client that lost its connection may send the same set-up
//! again, which must not be attempted before the quiet period after its earlier attempt has passed.

use crate::protocol::json_lines::Sid;
use crate::routing::interface::Micros;
use std::collections::{HashMap, VecDeque};

/// Largest number of sids remembered; beyond that the oldest is forgotten. Limits memory when clients abandon
/// thousands of set-ups within a quiet period.
const MAX_REMEMBERED: usize = 20_000;

/// The set-ups that were abandoned within the last quiet period.
#[derive(Debug, Default)]
pub struct AbandonedCalls {
    quiet_period: Micros,
    quiet_until: HashMap<Sid, Micros>,
    expiry_queue: VecDeque<(Micros, Sid)>,
}

impl AbandonedCalls {
    /// Creates an empty set; `quiet_period` is the time before a new attempt (µs).
    pub fn new(quiet_period: Micros) -> Self {
        AbandonedCalls { quiet_period, ..AbandonedCalls::default() }
    }

    /// Records an abandoned set-up.
    pub fn record(&mut self, now: Micros, sid: Sid) {
        self.remove_expired(now);
        self.quiet_until.insert(sid, now + self.quiet_period);
        self.expiry_queue.push_back((now + self.quiet_period, sid));
    }

    /// The earliest time at which a set-up that arrives now may be attempted; 0 for one that was not abandoned recently.
    pub fn earliest_attempt(&mut self, now: Micros, sid: Sid) -> Micros {
        self.remove_expired(now);
        self.quiet_until.get(&sid).copied().unwrap_or(0)
    }

    fn remove_expired(&mut self, now: Micros) {
        let expired = |o: &(Micros, Sid)| o.0 <= now;
        while self.expiry_queue.front().is_some_and(expired) || self.expiry_queue.len() >= MAX_REMEMBERED {
            let Some((until, sid)) = self.expiry_queue.pop_front() else { return };
            // It may have been abandoned once more since.
            if self.quiet_until.get(&sid) == Some(&until) {
                self.quiet_until.remove(&sid);
            }
        }
    }
}
