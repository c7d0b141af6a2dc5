//! Load of the own processor: the delay of set-ups there and the number of pending ones.

use super::*;

/// Set-up times older than this do not count in the own delay (µs).
const MAX_SETUP_TIME_AGE: Micros = 3_000_000;
/// If another exchange responded within this time, a lack of answers is not due to the own processor (µs).
const RECENT_ANSWER_TIME: Micros = 1_000_000;

impl Controller {
    /// Estimated delay of the own processor: the lower quartile of recent set-up times, since the own delay is part
    /// of each of them; or, if larger, the time that set-ups have been pending without any answer, since during
    /// congestion no answers arrive that would show it.
    pub fn own_delay(&self, now: Micros) -> f64 {
        let mut setup_times = [0; RECENT_SETUP_TIMES];
        let recent = self.recent_setup_times.iter().filter(|r| now - r.0 < MAX_SETUP_TIME_AGE);
        let n = setup_times.iter_mut().zip(recent).map(|(t, r)| *t = r.1).count();
        setup_times[..n].sort_unstable();
        let lower_quartile = setup_times[n / 4];
        let oldest = self
            .pending_exchanges
            .iter()
            .filter_map(|&i| self.exchanges[i].pending.first())
            .map(|p| p.0)
            .min();
        lower_quartile.max(oldest.map_or(0, |sent| now - sent.max(self.last_heard).max(self.resumed_at)))
            as f64
    }

    /// Pending set-ups that the own processor may be delaying. Excludes those to an exchange that is unresponsive
    /// while others answer: a hung exchange or an unreachable zone would otherwise fill the own limit and block
    /// every call.
    pub(super) fn own_pending(&self, now: Micros) -> usize {
        let any_answers = now - self.last_heard < RECENT_ANSWER_TIME;
        let failed = |e: &ExchangeState| {
            e.concurrency.on_probation()
                || e.unresponsive(now, self.resumed_at, UNRESPONSIVE_SHARE * self.mean_objective)
        };
        let counted =
            self.pending_exchanges.iter().map(|&i| &self.exchanges[i]).filter(|e| !any_answers || !failed(e));
        counted.map(|e| e.pending_within(now, self.mean_objective)).sum()
    }
}
