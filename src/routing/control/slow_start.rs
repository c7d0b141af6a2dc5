//! Rate of set-ups to an exchange during its cold start.

use super::*;

/// Set-ups to an exchange in its cold start, as a multiple of (overload factor x share of capacity x own usual rate
/// per exchange). This is about half of what all senders together may send, since a warm processor handles some 2.5
/// times the usual rate.
const COLD_START_USE: f64 = 1.25;

impl Controller {
    /// Set-ups that may be sent by now to an exchange in its cold start, less one: none while negative. `None` once
    /// the exchange is warm.
    ///
    /// A processor that has just started fails when it gets too many set-ups. Each sender therefore accrues credit at
    /// the share of its usual rate that the processor can certainly handle; one set-up at once from every sender
    /// would already be too many in a large network.
    pub(super) fn cold_start_credit(&self, now: Micros, exchange: &ExchangeState) -> Option<f64> {
        let (since, debt) = exchange.cold_start_debt;
        let share = self.cold_start_share(now, exchange)? * self.settings.overload_factor * COLD_START_USE;
        Some((now - since) as f64 * self.setup_rate(now) * share - debt)
    }

    /// Share of its capacity that a starting processor has at least; `None` once it is warm.
    pub(super) fn cold_start_share(&self, now: Micros, exchange: &ExchangeState) -> Option<f64> {
        let age = now - exchange.started?;
        let progress = age as f64 / self.settings.cold_start_period.max(1) as f64;
        let initial = self.settings.cold_start_capacity;
        (progress < 1.0).then_some(initial + (1.0 - initial) * progress)
    }
}
