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
    pub(super) shut: Micros,
    /// Set-ups that may be out.
    pub(super) width: f64,
    /// The next shut lasts this long.
    pub(super) wait: Micros,
    /// When it was last narrowed.
    pub(super) cut: Micros,
}

impl ConcurrencyLimit {
    pub(super) const OPEN: ConcurrencyLimit =
        ConcurrencyLimit { shut: 0, width: BASE_LIMIT, wait: MIN_OPEN_TIME, cut: 0 };

    pub(super) fn shut(&mut self, now: Micros, at_least: Micros) {
        if now >= self.shut {
            self.shut = now + self.wait.max(at_least);
            self.wait = (self.wait * 2).min(MAX_OPEN_TIME);
            self.width = 1.0;
        }
    }

    /// It was shut and nothing has stood since.
    pub(super) fn suspect(&self) -> bool {
        self.wait > MIN_OPEN_TIME
    }

    /// A set-up stood after `took`; `delay` is what it tells of this gate's processor.
    pub(super) fn stood(
        &mut self,
        now: Micros,
        took: Micros,
        delay: f64,
        target: f64,
        (least, widest): (f64, f64),
    ) {
        self.wait = MIN_OPEN_TIME;
        if delay <= target {
            self.width = (self.width + LIMIT_INCREASE).min(widest);
        } else if now - took > self.cut {
            self.width = (self.width * LIMIT_DECREASE_FACTOR).max(least);
            self.cut = now;
        }
    }

    pub(super) fn lets_in(&self, now: Micros, out: usize) -> bool {
        now >= self.shut && (out as f64) < self.width
    }
}
