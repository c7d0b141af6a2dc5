//! The ordered timer queue that holds the pending timers of the event loop.

use super::interface::Micros;
use std::collections::BTreeMap;

/// Timers ordered by expiry time; timers with equal expiry times keep their insertion order. Timers cannot be
/// cancelled: the handler ignores one that is no longer relevant.
#[derive(Debug)]
pub struct TimerQueue<K> {
    by_time: BTreeMap<(Micros, u64), K>,
    next_sequence: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue { by_time: BTreeMap::new(), next_sequence: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Adds a timer that expires at `at`.
    pub fn add(&mut self, at: Micros, key: K) {
        self.by_time.insert((at, self.next_sequence), key);
        self.next_sequence += 1;
    }

    /// The earliest expiry time.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.by_time.keys().next().map(|k| k.0)
    }

    /// Removes and returns the earliest timer if it has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<K> {
        let entry = self.by_time.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// The number of pending timers.
    pub fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_expire_in_order_and_equal_ones_in_insertion_order() {
        let mut timers = TimerQueue::default();
        for (at, key) in [(30, 'c'), (10, 'a'), (10, 'b'), (40, 'd')] {
            timers.add(at, key);
        }
        assert_eq!(timers.next_expiry(), Some(10));
        let expired: Vec<char> = std::iter::from_fn(|| timers.pop_expired(30)).collect();
        assert_eq!((expired, timers.len()), (vec!['a', 'b', 'c'], 1));
    }
}
