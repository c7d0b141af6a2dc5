//! The clock of the program. It is monotonic, unaffected by changes of the system clock, and starts at the Unix time
//! of the program's start, because the coordinator identifies the starts of exchanges by Unix time.

use crate::routing::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix time of its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Micros,
}

impl Clock {
    /// Starts a clock at the current time of the system clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), start_unix: micros(unix) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.start_unix + micros(self.start.elapsed())
    }

    /// Offset of the system clock from this clock; the two are equal at the start.
    pub fn wall_clock_offset(&self) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        micros(unix) - self.now()
    }

    /// Converts a time of this clock to an instant for a timer.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.start_unix).max(0) as u64)
    }

    /// Time since the start of the program.
    pub fn uptime(&self) -> Micros {
        micros(self.start.elapsed())
    }
}

fn micros(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}
