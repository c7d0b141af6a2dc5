//! The ordered timer queue that holds the pending timers of the event loop.

use super::interface::Micros;
use std::collections::BTreeMap;

/// Number of timers below which obsolete ones are not looked for.
const MIN_TIMERS_TO_CHECK: usize = 4_096;

/// Timers ordered by expiry time; timers with equal expiry times keep their insertion order. Timers cannot be
/// cancelled: the handler ignores one that is no longer relevant, and [`TimerQueue::remove_obsolete`] limits how many of
/// them are kept.
#[derive(Debug)]
pub struct TimerQueue<K> {
    by_time: BTreeMap<(Micros, u64), K>,
    next_sequence: u64,
    /// The number of timers at which obsolete ones are removed.
    check_at: usize,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue { by_time: BTreeMap::new(), next_sequence: 0, check_at: MIN_TIMERS_TO_CHECK }
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

    /// Removes the obsolete timers, whenever the number of timers has doubled since the last time. There are thus never
    /// much more than twice as many timers as are needed, at a constant mean cost for each.
    pub fn remove_obsolete(&mut self, is_obsolete: impl Fn(&K) -> bool) {
        if self.len() < self.check_at {
            return;
        }
        self.by_time.retain(|_, key| !is_obsolete(key));
        self.check_at = (2 * self.len()).max(MIN_TIMERS_TO_CHECK);
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

    #[test]
    fn obsolete_timers_are_removed_once_there_are_many() {
        let mut timers = TimerQueue::default();
        for at in 0..100_000 {
            timers.add(at, at);
            timers.remove_obsolete(|&key| key % 1_000 > 0);
            assert!(timers.len() <= MIN_TIMERS_TO_CHECK);
        }
        let kept: Vec<Micros> = std::iter::from_fn(|| timers.pop_expired(100_000)).collect();
        assert!((0..100_000).step_by(1_000).all(|key| kept.contains(&key)));
    }
}
