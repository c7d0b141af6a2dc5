//! How many set-ups an exchange fresh from its start is sent.

use super::*;

/// Set-ups to a cold office as a multiple of (what pushes over x cold share x own usual rate for an office):
/// about half of what all senders may send, since a warm processor can do some 2.5 times the usual rate.
const COLD_START_USE: f64 = 1.25;

impl Controller {
    /// Set-ups that a cold office may be sent by now, less one: below 0 none; `None` once it is warm.
    /// Danger: a processor fresh from start falls over. Each sender earns them by the share of its usual rate
    /// that the processor can surely do: one at once from each would be too many where senders are many.
    pub(super) fn cold_start_credit(&self, now: Micros, o: &ExchangeState) -> Option<f64> {
        let (since, owed) = o.cold_start_debt;
        let share = self.cold_start_share(now, o)? * self.settings.overload_factor * COLD_START_USE;
        Some((now - since) as f64 * self.setup_rate(now) * share - owed)
    }

    /// Share of its capacity that a starting processor surely has; `None` once it is warm.
    pub(super) fn cold_start_share(&self, now: Micros, o: &ExchangeState) -> Option<f64> {
        let age = now - o.started?;
        let done = age as f64 / self.settings.cold_start_period.max(1) as f64;
        (done < 1.0)
            .then_some(self.settings.cold_start_capacity + (1.0 - self.settings.cold_start_capacity) * done)
    }
}
