//! How many set-ups may be out at a time, toward an exchange or from the own processor.

use super::*;

/// First wait before a shut office is tried again; doubles up to `MAX_OPEN_TIME` (µs).
const MIN_OPEN_TIME: Micros = 500_000;
/// A gate widens by this with each set-up that stood in good time.
const LIMIT_INCREASE: f64 = 0.5;
/// A gate narrows to this share when a set-up sent since the last cut was slow.
const LIMIT_DECREASE_FACTOR: f64 = 0.6;

/// How many set-ups may be out, toward an office or from the own processor. Widens while set-ups stand
/// quickly, narrows when they are slow, and shuts for a while on a failure, to reopen by a trickle.
/// Danger: answers wait behind new set-ups, so a queue past the aim makes every call late; and marks that
/// expire all at once bring the full share back at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ConcurrencyLimit {
    /// Nothing before then.
    pub(super) open_until: Micros,
    /// Set-ups that may be out.
    pub(super) limit: f64,
    /// The next shut lasts this long.
    pub(super) next_open_time: Micros,
    /// When it was last narrowed.
    pub(super) reduced_at: Micros,
}

impl ConcurrencyLimit {
    pub(super) const INITIAL: ConcurrencyLimit =
        ConcurrencyLimit { open_until: 0, limit: BASE_LIMIT, next_open_time: MIN_OPEN_TIME, reduced_at: 0 };

    pub(super) fn trip(&mut self, now: Micros, at_least: Micros) {
        if now >= self.open_until {
            self.open_until = now + self.next_open_time.max(at_least);
            self.next_open_time = (self.next_open_time * 2).min(MAX_OPEN_TIME);
            self.limit = 1.0;
        }
    }

    /// It was shut and nothing has stood since.
    pub(super) fn on_probation(&self) -> bool {
        self.next_open_time > MIN_OPEN_TIME
    }

    /// A set-up stood after `took`; `delay` is what it tells of this gate's processor.
    pub(super) fn on_established(
        &mut self,
        now: Micros,
        took: Micros,
        delay: f64,
        target: f64,
        (least, widest): (f64, f64),
    ) {
        self.next_open_time = MIN_OPEN_TIME;
        if delay <= target {
            self.limit = (self.limit + LIMIT_INCREASE).min(widest);
        } else if now - took > self.reduced_at {
            self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(least);
            self.reduced_at = now;
        }
    }

    pub(super) fn admits(&self, now: Micros, out: usize) -> bool {
        now >= self.open_until && (out as f64) < self.limit
    }
}
