//! The one sorted structure that holds every deadline of the program.

use super::interface::Micros;
use std::collections::BTreeMap;

/// Deadlines in the order in which they fall due. What is no longer wanted is not taken out: whoever set it
/// passes over a deadline that has lost its meaning.
#[derive(Debug)]
pub struct Deadlines<K> {
    by_time: BTreeMap<(Micros, u64), K>,
    next: u64,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { by_time: BTreeMap::new(), next: 0 }
    }
}

impl<K> Deadlines<K> {
    /// Adds a deadline.
    pub fn add(&mut self, at: Micros, what: K) {
        self.by_time.insert((at, self.next), what);
        self.next += 1;
    }

    /// The earliest deadline.
    pub fn first(&self) -> Option<Micros> {
        self.by_time.keys().next().map(|k| k.0)
    }

    /// Takes the earliest deadline that is due, if any.
    pub fn take_due(&mut self, now: Micros) -> Option<K> {
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
        let mut d = Deadlines::default();
        for (at, what) in [(30, 'c'), (10, 'a'), (10, 'b'), (40, 'd')] {
            d.add(at, what);
        }
        assert_eq!(d.first(), Some(10));
        let due: Vec<char> = std::iter::from_fn(|| d.take_due(30)).collect();
        assert_eq!((due, d.len()), (vec!['a', 'b', 'c'], 1));
    }
}
