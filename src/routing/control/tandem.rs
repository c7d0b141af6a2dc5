//! What is known of the ways from tandems on to destinations.

use super::*;

/// How long a way (tandem, destination) that turned a call back is passed over (µs).
const TURNED_BACK_TIME: Micros = 6_000_000;

/// What is known of a way: from a tandem on to a destination, by which only the tandem's own groups matter.
/// Danger: where many pairs have no group or a thin one, plain turns meet mostly tandems that have no way on,
/// and each turned-back call is work for two processors.
#[derive(Clone, Copy, Debug)]
pub(super) struct TandemPath {
    /// Passed over until then, since it turned a call back.
    pub(super) blocked_until: Micros,
    /// When the centre last named it, or a call last stood over it.
    pub(super) last_open: Micros,
}

impl Controller {
    /// Notes how a call to there over that tandem went, as far as the tandem's own groups decided it.
    pub(super) fn record_tandem_result(
        &mut self,
        now: Micros,
        to: ExchangeNumber,
        tandem: usize,
        stood: bool,
    ) {
        if self.tandem_paths.get(&(to, tandem)).is_none_or(|w| now - w.last_open >= PATH_OPEN_TIME) {
            self.untested_success_rate +=
                RATE_SMOOTHING * (f64::from(u8::from(stood)) - self.untested_success_rate);
        }
        if stood {
            self.record_open_path(now, to, tandem);
        } else {
            self.tandem_paths.insert(
                (to, tandem),
                TandemPath { blocked_until: now + TURNED_BACK_TIME, last_open: now - PATH_OPEN_TIME },
            );
        }
    }

    /// Notes that the way over that tandem is open.
    pub(super) fn record_open_path(&mut self, now: Micros, to: ExchangeNumber, tandem: usize) {
        self.tandem_paths
            .entry((to, tandem))
            .or_insert(TandemPath { blocked_until: 0, last_open: now })
            .last_open = now;
    }
}
