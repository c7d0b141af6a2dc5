//! Requests that their clients gave up of late, by name: one that comes again, as a client may send it that lost its
//! connection, must not be attempted anew before the quiet period after its earlier attempt has passed.

use crate::protocol::json_lines::Sid;
use crate::routing::interface::Micros;
use std::collections::{HashMap, VecDeque};

/// Names remembered at most; beyond that the oldest is forgotten. Guards memory against clients that give up
/// thousands of requests within a quiet period.
const MOST: usize = 20_000;

/// The requests that were given up within the last quiet period.
#[derive(Debug, Default)]
pub struct GivenUp {
    quiet: Micros,
    until: HashMap<Sid, Micros>,
    order: VecDeque<(Micros, Sid)>,
}

impl GivenUp {
    /// None yet; no attempt may follow within `quiet` µs.
    pub fn new(quiet: Micros) -> Self {
        GivenUp { quiet, ..GivenUp::default() }
    }

    /// A request was given up.
    pub fn note(&mut self, now: Micros, sid: Sid) {
        self.forget(now);
        self.until.insert(sid, now + self.quiet);
        self.order.push_back((now + self.quiet, sid));
    }

    /// When a request may be attempted that comes now: in the past for one that was not given up of late.
    pub fn not_before(&mut self, now: Micros, sid: Sid) -> Micros {
        self.forget(now);
        self.until.get(&sid).copied().unwrap_or(0)
    }

    fn forget(&mut self, now: Micros) {
        let over = |o: &(Micros, Sid)| o.0 <= now;
        while self.order.front().is_some_and(over) || self.order.len() >= MOST {
            let Some((until, sid)) = self.order.pop_front() else { return };
            // It may have been given up again since.
            if self.until.get(&sid) == Some(&until) {
                self.until.remove(&sid);
            }
        }
    }
}
