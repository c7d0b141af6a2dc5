//! Maintenance windows: drains that start and end by the wall clock.
//!
//! The wall clock may jump. Each occurrence of a window starts only once, even if the clock passes its start again,
//! and never lasts longer than its length by the monotonic clock.

use crate::drain::AtLimit;
use crate::target::Target;
use crate::{Micros, SECOND};

/// A day (µs).
pub const DAY: Micros = 24 * 3600 * SECOND;

/// The times at which a window opens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Once, at this time (wall clock).
    Once(Micros),
    /// On some days of the week, at the same time of day.
    Weekly {
        /// The days on which the window opens, Monday first.
        days: [bool; 7],
        /// Time of day, from midnight UTC (µs).
        from: Micros,
    },
}

/// A maintenance window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// The unique name of the window.
    pub name: String,
    /// The target that is drained.
    pub target: Target,
    /// When the window opens.
    pub schedule: Schedule,
    /// How long the window stays open (µs).
    pub length: Micros,
    /// What to do at the end of the window if calls remain. With [`AtLimit::Restore`] the target returns to service.
    pub at_end: AtLimit,
    /// Whether the drain overrides the policy.
    pub force: bool,
}

/// The day of the week of a time, with Monday as 0. 1970-01-01 was a Thursday.
fn weekday(wall: Micros) -> usize {
    (wall.div_euclid(DAY) + 3).rem_euclid(7) as usize
}

impl Window {
    /// The start of the occurrence that is open at `wall`, if there is one.
    pub fn open_at(&self, wall: Micros) -> Option<Micros> {
        match &self.schedule {
            Schedule::Once(start) => (*start..start + self.length).contains(&wall).then_some(*start),
            Schedule::Weekly { days, from } => {
                // An occurrence that started on an earlier day may still be open.
                let today = wall.div_euclid(DAY) * DAY + from;
                let starts = (0..=self.length / DAY + 1).map(|back| today - back * DAY);
                starts.into_iter().find(|&s| days[weekday(s)] && (s..s + self.length).contains(&wall))
            }
        }
    }

    /// The next start after `wall`, if there is one.
    pub fn next_after(&self, wall: Micros) -> Option<Micros> {
        match &self.schedule {
            Schedule::Once(start) => (*start > wall).then_some(*start),
            Schedule::Weekly { days, from } => {
                let today = wall.div_euclid(DAY) * DAY + from;
                (0..=7).map(|on| today + on * DAY).find(|&s| s > wall && days[weekday(s)])
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::target::Exchange;

    fn window(schedule: Schedule, hours: i64) -> Window {
        Window {
            name: "w".into(),
            target: Target::Exchange(Exchange(1)),
            schedule,
            length: hours * 3600 * SECOND,
            at_end: AtLimit::Restore,
            force: false,
        }
    }

    #[test]
    fn a_weekly_window_opens_on_its_days_and_may_last_past_midnight() {
        // 2026-12-01 00:00 UTC, a Tuesday.
        let tuesday = 1_796_083_200 * SECOND;
        assert_eq!(weekday(tuesday), 1);
        let hour = 3600 * SECOND;
        let w = window(
            Schedule::Weekly { days: [false, true, false, false, false, false, false], from: 23 * hour },
            3,
        );
        assert_eq!(w.open_at(tuesday + 23 * hour - 1), None);
        let start = Some(tuesday + 23 * hour);
        assert_eq!(w.open_at(tuesday + 23 * hour), start);
        assert_eq!(w.open_at(tuesday + 26 * hour - 1), start, "Wednesday, before 02:00");
        assert_eq!(w.open_at(tuesday + 26 * hour), None);
        assert_eq!(w.next_after(tuesday + 23 * hour), Some(tuesday + 7 * DAY + 23 * hour));
        let once = window(Schedule::Once(5 * hour), 1);
        assert_eq!((once.open_at(5 * hour), once.next_after(5 * hour)), (Some(5 * hour), None));
    }
}
