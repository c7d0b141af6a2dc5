//! A bounded map from sids to values that are kept for a fixed period: for set-ups abandoned or answered recently, which
//! a client that lost its connection may send again.

use crate::protocol::json_lines::Sid;
use crate::routing::interface::Micros;
use std::collections::{HashMap, VecDeque};

/// An entry and the time until which it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct RecentSid<V> {
    /// When the entry expires.
    pub until: Micros,
    /// Its value.
    pub value: V,
}

/// The entries recorded within the last period.
#[derive(Debug)]
pub struct RecentSids<V> {
    period: Micros,
    max_entries: usize,
    entries: HashMap<Sid, RecentSid<V>>,
    expiry_queue: VecDeque<(Micros, Sid)>,
}

impl<V> RecentSids<V> {
    /// Creates an empty map that keeps entries for `period` (µs). Beyond `max_entries` the oldest is forgotten, which
    /// limits memory.
    pub fn new(period: Micros, max_entries: usize) -> Self {
        RecentSids { period, max_entries, entries: HashMap::new(), expiry_queue: VecDeque::new() }
    }

    /// Records a value for a sid in place of an earlier one.
    pub fn record(&mut self, now: Micros, sid: Sid, value: V) {
        self.remove_expired(now);
        let until = now + self.period;
        self.entries.insert(sid, RecentSid { until, value });
        self.expiry_queue.push_back((until, sid));
    }

    /// The entry of a sid, unless it has expired.
    pub fn get(&mut self, now: Micros, sid: Sid) -> Option<&RecentSid<V>> {
        self.remove_expired(now);
        self.entries.get(&sid)
    }

    fn remove_expired(&mut self, now: Micros) {
        let expired = |o: &(Micros, Sid)| o.0 <= now;
        while self.expiry_queue.front().is_some_and(expired) || self.expiry_queue.len() >= self.max_entries {
            let Some((until, sid)) = self.expiry_queue.pop_front() else { return };
            // It may have been recorded once more since.
            if self.entries.get(&sid).is_some_and(|entry| entry.until == until) {
                self.entries.remove(&sid);
            }
        }
    }
}
