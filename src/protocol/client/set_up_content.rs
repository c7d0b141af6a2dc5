//! The content of a set-up, by which a set-up that its client sends again is told from another one with the same sid.

use crate::protocol::json_lines::Message;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};

/// Field that states how long the client still waits; it is shorter when the set-up is sent again.
const REMAINING_TIME_FIELD: &str = "left";

/// A hash of everything in a set-up except its remaining time. Much smaller than the set-up, which may have 16 KiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContentHash(u64);

/// Computes the hashes, with a key of its own, so that clients cannot construct two set-ups with the same hash.
#[derive(Debug, Default)]
pub struct ContentHasher(RandomState);

impl ContentHasher {
    /// The hash of a set-up.
    pub fn hash(&self, set_up: &Message) -> ContentHash {
        let mut hasher = self.0.build_hasher();
        for (name, value) in set_up.attrs.iter().filter(|(name, _)| *name != REMAINING_TIME_FIELD) {
            (name, value).hash(&mut hasher);
        }
        set_up.text.as_ref().map(|text| &*text.0).hash(&mut hasher);
        ContentHash(hasher.finish())
    }
}
