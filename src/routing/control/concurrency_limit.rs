//! How many set-ups may be out at a time, toward an exchange or from the own processor.

use super::*;

/// First wait before a shut office is tried again; doubles up to `MARK` (µs).
const RETRY_FIRST: Micros = 500_000;
/// A gate widens by this with each set-up that stood in good time.
const GATE_STEP: f64 = 0.5;
/// A gate narrows to this share when a set-up sent since the last cut was slow.
const GATE_CUT: f64 = 0.6;

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
        ConcurrencyLimit { shut: 0, width: GATE_WIDEST, wait: RETRY_FIRST, cut: 0 };

    pub(super) fn shut(&mut self, now: Micros, at_least: Micros) {
        if now >= self.shut {
            self.shut = now + self.wait.max(at_least);
            self.wait = (self.wait * 2).min(MARK);
            self.width = 1.0;
        }
    }

    /// It was shut and nothing has stood since.
    pub(super) fn suspect(&self) -> bool {
        self.wait > RETRY_FIRST
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
        self.wait = RETRY_FIRST;
        if delay <= target {
            self.width = (self.width + GATE_STEP).min(widest);
        } else if now - took > self.cut {
            self.width = (self.width * GATE_CUT).max(least);
            self.cut = now;
        }
    }

    pub(super) fn lets_in(&self, now: Micros, out: usize) -> bool {
        now >= self.shut && (out as f64) < self.width
    }
}
