//! The own processor: how long set-ups wait there, and how many are out.

use super::*;

/// Set-up delays older than this tell nothing of the own wait (µs).
const MAX_SETUP_TIME_AGE: Micros = 3_000_000;
/// The own processor is not what is silent if another office answered within this (µs).
const RECENT_ANSWER_TIME: Micros = 1_000_000;

impl Controller {
    /// Own wait, seen as the lower quartile of the last set-up delays, since own slowness is part of each; or
    /// the time that set-ups have been out with no answer at all, since a jam has no answers to tell of it.
    pub fn own_delay(&self, now: Micros) -> f64 {
        let mut delays = [0; RECENT_SETUP_TIMES];
        let fresh = self.recent_setup_times.iter().filter(|r| now - r.0 < MAX_SETUP_TIME_AGE);
        let n = delays.iter_mut().zip(fresh).map(|(d, r)| *d = r.1).count();
        delays[..n].sort_unstable();
        let usual = delays[n / 4];
        let oldest = self
            .pending_exchanges
            .iter()
            .filter_map(|&i| self.exchanges[i].pending.first())
            .map(|o| o.0)
            .min();
        usual.max(oldest.map_or(0, |sent| now - sent.max(self.last_heard).max(self.resumed_at))) as f64
    }

    /// Set-ups out that the own processor may be holding up: not those toward an office that is silent while
    /// others answer. Danger: a hung office or a cut zone fills the own window and stops every call.
    pub(super) fn own_pending(&self, now: Micros) -> usize {
        let alive = now - self.last_heard < RECENT_ANSWER_TIME;
        let silent = |o: &ExchangeState| {
            o.concurrency.on_probation()
                || o.unresponsive(now, self.resumed_at, UNRESPONSIVE_SHARE * self.mean_objective)
        };
        let counted =
            self.pending_exchanges.iter().map(|&i| &self.exchanges[i]).filter(|o| !alive || !silent(o));
        counted.map(|o| o.pending_since(now, self.mean_objective)).sum()
    }
}
