//! The guard of a drain: it ends a drain by itself when service falls while it takes hold.
//!
//! The cost of a drain is an estimate. For a while after it came into force the guard compares how calls fare with how
//! they fared before, and has the target put back into service when they fare clearly worse for some seconds. It
//! never acts on a target that is empty: by then somebody may have switched it off, and calls must not be sent there.

use crate::target::Health;
use crate::{Micros, SECOND};

/// Service must be worse for so long: a value that swings must end no drain (µs).
pub const TRIP_DELAY: Micros = 5 * SECOND;
/// With fewer calls than this in its window a share says nothing.
pub const MIN_ANSWERED: u32 = 20;

/// A guard at work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guard {
    /// Share of calls that were well served before the drain.
    pub baseline: f64,
    /// By how much less the guard acts.
    pub margin: f64,
    /// It watches until then (program's clock).
    pub until: Micros,
    /// Since when service is worse_since.
    worse_since: Option<Micros>,
}

impl Guard {
    /// A guard that compares with this; `None` where too little is known, or the margin leaves nothing to guard.
    pub fn new(health: Health, margin: f64, until: Micros) -> Option<Guard> {
        let enough_data = health.answered >= MIN_ANSWERED && health.good_share > margin;
        enough_data.then_some(Guard { baseline: health.good_share, margin, until, worse_since: None })
    }

    /// Looks at service; `true`: the drain must end.
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
    fn it_trips_on_a_lasting_fall_and_on_nothing_else() {
        let guard = || Guard::new(health(0.98), 0.05, 60 * SECOND).unwrap();
        let run = |good: fn(Micros) -> f64| {
            let mut g = guard();
            (0..120).find(|s| g.trips(s * SECOND, health(good(*s))))
        };
        assert_eq!(run(|_| 0.94), None, "within the margin");
        assert_eq!(run(|s| if s < 10 { 0.98 } else { 0.8 }), Some(15));
        assert_eq!(run(|s| if s % 4 == 0 { 0.98 } else { 0.5 }), None, "it swings");
        assert_eq!(run(|s| if s < 58 { 0.98 } else { 0.1 }), None, "too late to tell cause from chance");
        assert!(!guard().trips(9 * SECOND, Health { answered: 3, good_share: 0.0 }));
        assert!(Guard::new(Health { answered: 3, good_share: 1.0 }, 0.05, 1).is_none());
    }
}
