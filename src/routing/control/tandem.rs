//! State of the paths from tandems to destinations.

use super::*;

/// How long a path that turned a call back is not used (µs).
const TURNED_BACK_TIME: Micros = 6_000_000;

/// State of the path from a tandem to a destination, as far as the tandem's own groups determine it. Where many pairs
/// of exchanges have no group or a small one, plain rotation mostly reaches tandems without a route to the
/// destination, and each call turned back costs the work of two processors.
#[derive(Clone, Copy, Debug)]
pub(super) struct TandemPath {
    /// Not used until then, since it turned a call back.
    pub(super) blocked_until: Micros,
    /// When a new call last suggested the tandem, or a call was last established over the path.
    pub(super) last_open: Micros,
}

impl Controller {
    /// Records whether a call was established over a path or turned back by the tandem.
    pub(super) fn record_tandem_result(
        &mut self,
        now: Micros,
        destination: ExchangeNumber,
        tandem: usize,
        established: bool,
    ) {
        let path = (destination, tandem);
        if self.tandem_paths.get(&path).is_none_or(|p| now - p.last_open >= PATH_OPEN_TIME) {
            self.untested_success_rate +=
                RATE_SMOOTHING * (f64::from(u8::from(established)) - self.untested_success_rate);
        }
        if established {
            self.record_open_path(now, destination, tandem);
        } else {
            let blocked =
                TandemPath { blocked_until: now + TURNED_BACK_TIME, last_open: now - PATH_OPEN_TIME };
            self.tandem_paths.insert(path, blocked);
        }
    }

    /// Records that a path is open.
    pub(super) fn record_open_path(&mut self, now: Micros, destination: ExchangeNumber, tandem: usize) {
        self.tandem_paths
            .entry((destination, tandem))
            .or_insert(TandemPath { blocked_until: 0, last_open: now })
            .last_open = now;
    }
}
