//! What is passed on with other messages: what was sent least goes first, each item a bounded number of times.

use crate::wire::{Item, Update};
use crate::{Exchange, MemberId};
use std::collections::{BTreeMap, BTreeSet};

/// Items that may wait. Guards memory; a group of 1,000 that loses half its members has 500.
const MOST: usize = 2048;

/// What an item is about: of two about the same the newer one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum About {
    Member(MemberId),
    Exchange(Exchange),
    Links(Exchange),
}

fn about(item: &Item) -> About {
    match item {
        Item::Member(u) => About::Member(u.id),
        Item::Evidence(e, _) => About::Exchange(*e),
        Item::Links { from, .. } => About::Links(*from),
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    item: Item,
    sent: u32,
    most: u32,
    /// Newer ones first among those sent equally often.
    order: u64,
}

/// The shortest item (bytes).
const SHORTEST: usize = 13;
/// Items that are looked at for one datagram; what does not fit is passed over for what does.
const LOOKED_AT: usize = 64;

/// The queue. Beside the items lies their order, so that a datagram is filled without sorting them all.
#[derive(Debug, Default)]
pub struct Queue {
    all: BTreeMap<About, Waiting>,
    /// By how often they were sent, newer ones first.
    order: BTreeSet<(u32, u64, About)>,
    next: u64,
}

/// How often an item is passed on in a group of so many: often enough that it reaches all with near certainty
/// (SWIM, section 4.1: a multiple of the logarithm of the group's size).
pub fn times(members: usize) -> u32 {
    let log = (members.max(1) as f64 + 1.0).log2().ceil() as u32;
    3 * log.max(1)
}

impl Queue {
    /// Has an item passed on, at most so many times.
    pub fn add(&mut self, item: Item, most: u32) {
        self.next += 1;
        let key = about(&item);
        if self.all.len() >= MOST && !self.all.contains_key(&key) {
            if let Some(stalest) = self.order.last().map(|o| o.2) {
                self.remove(stalest);
            }
        }
        self.remove(key);
        self.order.insert((0, u64::MAX - self.next, key));
        self.all.insert(key, Waiting { item, sent: 0, most, order: self.next });
    }

    /// The one place where an item leaves the queue.
    fn remove(&mut self, key: About) {
        if let Some(w) = self.all.remove(&key) {
            self.order.remove(&(w.sent, u64::MAX - w.order, key));
        }
    }

    /// No longer passes on what is said of a member.
    pub fn drop_member(&mut self, id: MemberId) {
        self.remove(About::Member(id));
    }

    /// What is said of a member, if it is being passed on.
    pub fn of_member(&self, id: MemberId) -> Option<Update> {
        match self.all.get(&About::Member(id)).map(|w| w.item) {
            Some(Item::Member(u)) => Some(u),
            _ => None,
        }
    }

    /// Fills up to `room` bytes, and counts what was taken as sent once more.
    pub fn fill(&mut self, mut room: usize, items: &mut Vec<Item>) {
        let mut taken = Vec::new();
        for (_, _, key) in self.order.iter().take(LOOKED_AT) {
            if room < SHORTEST {
                break;
            }
            if let Some(w) = self.all.get(key).filter(|w| w.item.len() <= room) {
                room -= w.item.len();
                items.push(w.item);
                taken.push(*key);
            }
        }
        for key in taken {
            let Some(w) = self.all.get_mut(&key) else { continue };
            self.order.remove(&(w.sent, u64::MAX - w.order, key));
            w.sent += 1;
            if w.sent >= w.most {
                self.all.remove(&key);
            } else {
                self.order.insert((w.sent, u64::MAX - w.order, key));
            }
        }
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::evidence::Evidence;

    #[test]
    fn least_sent_goes_first_each_a_bounded_number_of_times_and_newer_takes_the_place_of_older() {
        let mut q = Queue::default();
        let item = |n: u16, version| Item::Evidence(Exchange(n), Evidence { version, ..Evidence::default() });
        (0..10).for_each(|n| q.add(item(n, 1), 3));
        let mut counts = BTreeMap::new();
        for _ in 0..100 {
            let mut items = Vec::new();
            q.fill(45, &mut items);
            assert!(items.len() <= 2);
            items.iter().for_each(|i| *counts.entry(about(i)).or_insert(0) += 1);
            let spread = counts.values().max().unwrap_or(&0)
                - if counts.len() < 10 { &0 } else { counts.values().min().unwrap_or(&0) };
            assert!(spread <= 1, "{counts:?}");
        }
        assert!(q.is_empty() && counts.values().all(|n| *n == 3));
        q.add(item(1, 1), 9);
        q.add(item(1, 2), 9);
        let mut items = Vec::new();
        q.fill(100, &mut items);
        assert_eq!(items, [item(1, 2)]);
        (0..10_000).for_each(|n| q.add(item(n, 1), 9));
        assert_eq!(q.len(), MOST);
    }
}
