//! Load control: whether an exchange accepts a set-up, and how many may be pending.

use super::*;

impl Controller {
    /// Whether any set-up may be sent to the exchange: it is in service, its concurrency limit admits one and it has
    /// credit left if it is in its cold start.
    pub(super) fn accepts_setups(&self, now: Micros, index: usize) -> bool {
        let exchange = &self.exchanges[index];
        // A suspicion may be wrong, and only an answer disproves it: one set-up at a time is still sent.
        let max_pending = if self.suspected.contains(&exchange.exchange_number) { 0 } else { usize::MAX };
        let pending = exchange.pending_within(now, self.mean_objective);
        exchange.state == ListState::Ready
            && pending <= max_pending
            && exchange.concurrency.admits(now, pending)
            && self.cold_start_credit(now, exchange).is_none_or(|credit| credit >= 0.0)
    }

    /// Next pseudo-random number in the range from 0 to 1.
    pub(super) fn random(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Recent rate of own set-ups, per µs and exchange in service.
    pub(super) fn setup_rate(&self, now: Micros) -> f64 {
        let window = (now - self.first_event.unwrap_or(now)).clamp(1_000_000, RATE_WINDOW);
        self.recent_setups.len() as f64 / window as f64 / self.ready_exchanges.max(1) as f64
    }

    /// Maximum of a concurrency limit: the number of set-ups sent within the target delay, at least `BASE_LIMIT`. A
    /// fixed maximum would cap the rate at that number per set-up time, and a site with many quick set-ups would
    /// refuse calls that its processors and circuits can take.
    pub(super) fn max_limit(&self, now: Micros) -> f64 {
        let total_rate = self.setup_rate(now) * self.ready_exchanges.max(1) as f64;
        BASE_LIMIT.max(total_rate * TARGET_DELAY_SHARE * self.mean_objective)
    }

    /// Whether an exchange accepts calls as a tandem ("accepting" in the design notes): neither its last load report
    /// nor the age of its oldest pending set-up shows an overload.
    pub(super) fn accepts_as_tandem(&self, now: Micros, exchange: &ExchangeState) -> bool {
        now >= exchange.overloaded_until
            && exchange.oldest_pending_age(now)
                <= ACCEPT_LOAD * FULL_LOAD_WAIT * self.shortest_objective as f64
    }
}
