//! Whether an exchange may be sent a set-up, and how many.

use super::*;

impl Controller {
    /// Whether the office may be sent anything at all: on the list, its gate open, its cold budget unspent.
    pub(super) fn accepts_setups(&self, now: Micros, i: usize) -> bool {
        let o = &self.exchanges[i];
        // Danger: a suspicion may be wrong, and only an answer shows it: one set-up at a time goes on.
        let most = if self.suspected.contains(&o.exchange) { 0 } else { usize::MAX };
        let waiting = o.pending_since(now, self.mean_objective);
        o.state == ListState::Ready
            && waiting <= most
            && o.concurrency.admits(now, waiting)
            && self.cold_start_credit(now, o).is_none_or(|c| c >= 0.0)
    }

    /// The next random number, from 0 to 1.
    pub(super) fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Own set-ups per µs and office, as of late.
    pub(super) fn setup_rate(&self, now: Micros) -> f64 {
        let span = (now - self.first_event.unwrap_or(now)).clamp(1_000_000, RATE_WINDOW);
        self.recent_setups.len() as f64 / span as f64 / self.ready_exchanges.max(1) as f64
    }

    /// Set-ups that may be out through a fully open gate: as many as are sent within the target delay, at
    /// the least `BASE_LIMIT`. Danger: a fixed window caps the rate at its width over the set-up delay, and
    /// a site with many quick set-ups turns calls away that its processors and circuits could take.
    pub(super) fn max_limit(&self, now: Micros) -> f64 {
        let own = self.setup_rate(now) * self.ready_exchanges.max(1) as f64;
        BASE_LIMIT.max(own * TARGET_DELAY_SHARE * self.mean_objective)
    }

    /// The design's "accepting": not pressed by the last news of its processor, nor by a set-up out long.
    pub(super) fn accepts_as_tandem(&self, now: Micros, o: &ExchangeState) -> bool {
        now >= o.overloaded_until
            && o.oldest_pending_age(now) <= ACCEPT_LOAD * FULL_LOAD_WAIT * self.shortest_objective as f64
    }
}
