//! The guard against datagrams that are sent again by somebody else: for each sender a window of the numbers that came,
//! bound to its incarnation (as in RFC 4303, section 3.4.3).

use crate::wire::Incarnation;
use crate::{MemberId, Micros};
use std::collections::BTreeMap;

/// Numbers behind the highest that may still come, each once.
pub const WIDTH: u32 = 64;
/// Senders remembered. Only those whose seal was good get in, and a group has at most some thousand.
pub const SENDERS: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: Incarnation,
    highest: u32,
    bits: u64,
    at: Micros,
}

/// All senders' windows.
#[derive(Debug, Default)]
pub struct Windows {
    seen: BTreeMap<MemberId, Seen>,
}

impl Windows {
    /// Whether a datagram is new; it is noted if it is. One of an earlier life of its sender never is: lives have
    /// rising numbers.
    pub fn admit(&mut self, now: Micros, sender: MemberId, incarnation: Incarnation, sequence: u32) -> bool {
        let first = Seen { incarnation, highest: sequence, bits: 1, at: now };
        if !self.seen.contains_key(&sender) && self.seen.len() >= SENDERS {
            // Whoever was silent for longest gives up its place.
            let oldest = self.seen.iter().min_by_key(|s| s.1.at).map(|s| *s.0);
            oldest.map(|id| self.seen.remove(&id));
        }
        let seen = match self.seen.entry(sender) {
            std::collections::btree_map::Entry::Vacant(e) => {
                e.insert(first);
                return true;
            }
            std::collections::btree_map::Entry::Occupied(e) => e.into_mut(),
        };
        // A contradiction raises the incarnation within a life; its numbers go on.
        let (life, known) = (incarnation.0 >> 12, seen.incarnation.0 >> 12);
        if life < known {
            return false;
        }
        if life > known {
            *seen = first;
            return true;
        }
        seen.incarnation = seen.incarnation.max(incarnation);
        if sequence > seen.highest {
            let by = sequence - seen.highest;
            seen.bits = if by >= WIDTH { 1 } else { seen.bits << by | 1 };
            (seen.highest, seen.at) = (sequence, now);
            return true;
        }
        let back = seen.highest - sequence;
        let fresh = back < WIDTH && seen.bits & (1 << back) == 0;
        if fresh {
            seen.bits |= 1 << back;
            seen.at = now;
        }
        fresh
    }

    /// Forgets a sender that is gone for good. Its earlier datagrams would be taken again, but say nothing of weight:
    /// a member's states bear incarnations of their own.
    pub fn forget(&mut self, sender: MemberId) {
        self.seen.remove(&sender);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    const LIFE: Incarnation = Incarnation(7 << 12);

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]
        /// Against a plain set of all numbers that came.
        #[test]
        fn no_number_is_taken_twice_and_none_in_the_window_is_lost(numbers in prop::collection::vec(0u32..300, 1..400)) {
            let (mut w, mut taken, mut highest) = (Windows::default(), BTreeSet::new(), 0);
            for n in numbers {
                let fresh = w.admit(0, MemberId(1), LIFE, n);
                let old = !taken.is_empty() && highest >= WIDTH + n;
                prop_assert_eq!(fresh, !old && !taken.contains(&n));
                if fresh {
                    taken.insert(n);
                    highest = highest.max(n);
                }
            }
        }
    }

    #[test]
    fn what_was_recorded_before_a_restart_is_not_taken_after_it() {
        let mut w = Windows::default();
        assert!(w.admit(0, MemberId(1), LIFE, 500));
        let next = Incarnation(8 << 12);
        assert!(w.admit(1, MemberId(1), next, 1), "a new life begins its numbers anew");
        assert!(!w.admit(2, MemberId(1), LIFE, 501));
        assert!(w.admit(3, MemberId(1), next.next(), 2) && !w.admit(4, MemberId(1), next, 2));
        for n in 0..5_000 {
            w.admit(n, MemberId(n as u64 + 9), LIFE, 1);
        }
        assert_eq!(w.seen.len(), SENDERS);
    }
}
