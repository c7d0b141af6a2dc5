//! Maintenance windows: drains that begin and end by the wall's clock.
//!
//! The wall's clock may jump. An occurrence begins once, however often the clock passes its start; and it never
//! lasts longer than its length by the program's own clock.

use crate::drain::AtLimit;
use crate::target::Target;
use crate::{Micros, SECOND};

/// A day (µs).
pub const DAY: Micros = 24 * 3600 * SECOND;

/// When a window is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Once, from this moment on (wall).
    Once(Micros),
    /// On some days of the week, from the same time of day.
    Weekly {
        /// Monday first.
        days: [bool; 7],
        /// From midnight UTC (µs).
        from: Micros,
    },
}

/// A maintenance window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its name; no two have the same.
    pub name: String,
    /// What is drained.
    pub target: Target,
    /// When it is open.
    pub schedule: Schedule,
    /// For how long (µs).
    pub length: Micros,
    /// What happens at its end to calls that are still there; the target goes back into service unless this says
    /// otherwise.
    pub at_end: AtLimit,
    /// The policy is overridden.
    pub force: bool,
}

/// Day of the week of a moment, Monday 0. 1970 began on a Thursday.
fn weekday(wall: Micros) -> usize {
    (wall.div_euclid(DAY) + 3).rem_euclid(7) as usize
}

impl Window {
    /// The start of the occurrence that is open at `wall`, if one is.
    pub fn open_at(&self, wall: Micros) -> Option<Micros> {
        match &self.schedule {
            Schedule::Once(start) => (*start..start + self.length).contains(&wall).then_some(*start),
            Schedule::Weekly { days, from } => {
                // One that began on an earlier day may still be open.
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
    fn a_weekly_window_is_open_on_its_days_also_past_midnight() {
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
