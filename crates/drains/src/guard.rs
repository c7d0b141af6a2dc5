//! The guard of a drain: ends the drain automatically if service degrades after it comes into force.
//!
//! The impact of a drain is only an estimate. For a limited time the guard compares the share of calls served within
//! the objective with the share before the drain, and returns the target to service if it stays clearly lower for
//! some seconds. The guard never acts on an empty target, because it may already have been switched off and calls
//! must not be sent there.

use crate::target::Health;
use crate::{Micros, SECOND};

/// How long service must stay degraded before the guard trips (µs), so that a fluctuating value does not end a drain.
pub const TRIP_DELAY: Micros = 5 * SECOND;
/// Minimum number of calls for the share to be meaningful.
pub const MIN_ANSWERED: u32 = 20;

/// The guard of one drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// Share of calls served within the objective before the drain.
    pub baseline: f64,
    /// Drop below `baseline` beyond which service counts as degraded.
    pub margin: f64,
    /// When the guard stops watching (monotonic clock).
    pub until: Micros,
    /// Since when service has been degraded (monotonic clock).
    worse_since: Option<Micros>,
}

impl Guard {
    /// Creates a guard with the current health as its baseline; `None` if there are too few calls, or if the margin
    /// is so large that the guard could never trip.
    pub fn new(health: Health, margin: f64, until: Micros) -> Option<Guard> {
        let enough_data = health.answered >= MIN_ANSWERED && health.good_share > margin;
        enough_data.then_some(Guard { baseline: health.good_share, margin, until, worse_since: None })
    }

    /// Checks the current health; returns `true` if the drain must end.
    pub fn trips(&mut self, now: Micros, health: Health) -> bool {
        if now > self.until {
            return false;
        }
        if health.answered < MIN_ANSWERED || health.good_share >= self.baseline - self.margin {
            self.worse_since = None;
            return false;
        }
        now - *self.worse_since.get_or_insert(now) >= TRIP_DELAY
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn health(good_share: f64) -> Health {
        Health { answered: 100, good_share }
    }

    #[test]
    fn the_guard_trips_only_on_a_lasting_degradation() {
        let guard = || Guard::new(health(0.98), 0.05, 60 * SECOND).unwrap();
        let run = |good: fn(Micros) -> f64| {
            let mut g = guard();
            (0..120).find(|s| g.trips(s * SECOND, health(good(*s))))
        };
        assert_eq!(run(|_| 0.94), None, "within the margin");
        assert_eq!(run(|s| if s < 10 { 0.98 } else { 0.8 }), Some(15));
        assert_eq!(run(|s| if s % 4 == 0 { 0.98 } else { 0.5 }), None, "the share fluctuates");
        assert_eq!(
            run(|s| if s < 58 { 0.98 } else { 0.1 }),
            None,
            "too late to attribute the drop to the drain"
        );
        assert!(!guard().trips(9 * SECOND, Health { answered: 3, good_share: 0.0 }));
        assert!(Guard::new(Health { answered: 3, good_share: 1.0 }, 0.05, 1).is_none());
    }
}
