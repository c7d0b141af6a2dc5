//! Time within the program: it goes on evenly whatever is done to the system's clock, and begins at the Unix
//! time of the start, since the coordinator names starts of exchanges by that.

use crate::routing::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the program.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), unix: micros(unix) }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.unix + micros(self.start.elapsed())
    }

    /// How far the system's clock is ahead of this one, which it was level with at the start.
    pub fn wall_clock_offset(&self) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        micros(unix) - self.now()
    }

    /// When that time is, for a timer.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).max(0) as u64)
    }

    /// How long the program has run.
    pub fn uptime(&self) -> Micros {
        micros(self.start.elapsed())
    }
}

fn micros(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}
