//! The one sorted structure that holds every deadline of the program.

use super::interface::Micros;
use std::collections::BTreeMap;

/// Deadlines in the order in which they fall due. What is no longer wanted is not taken out: whoever set it
/// passes over a deadline that has lost its meaning.
#[derive(Debug)]
pub struct TimerQueue<K> {
    by_time: BTreeMap<(Micros, u64), K>,
    next: u64,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue { by_time: BTreeMap::new(), next: 0 }
    }
}

impl<K> TimerQueue<K> {
    /// Adds a deadline.
    pub fn add(&mut self, at: Micros, key: K) {
        self.by_time.insert((at, self.next), key);
        self.next += 1;
    }

    /// The earliest deadline.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.by_time.keys().next().map(|k| k.0)
    }

    /// Takes the earliest deadline that is due, if any.
    pub fn pop_expired(&mut self, now: Micros) -> Option<K> {
        let entry = self.by_time.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_time.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_time.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_come_in_order_and_equal_ones_in_the_order_of_their_adding() {
        let mut timers = TimerQueue::default();
        for (at, key) in [(30, 'c'), (10, 'a'), (10, 'b'), (40, 'd')] {
            timers.add(at, key);
        }
        assert_eq!(timers.next_expiry(), Some(10));
        let due: Vec<char> = std::iter::from_fn(|| timers.pop_expired(30)).collect();
        assert_eq!((due, timers.len()), (vec!['a', 'b', 'c'], 1));
    }
}
