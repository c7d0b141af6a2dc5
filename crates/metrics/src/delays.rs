//! Set-up times and attempt counts by exchange. Set-up times are kept in a pair of high dynamic range histograms that
//! rotate every 30 s, so quantiles cover the last 30 to 60 s.

use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Time covered by one histogram (µs).
const INTERVAL: Micros = 30 * SECOND;
/// The longest delay that is resolved (µs); longer ones are recorded as this.
const MAX_DELAY: u64 = 60_000_000;
/// Maximum number of exchanges tracked. Bounds memory, at about 20 KB each; a site has a few dozen.
pub const MAX_EXCHANGES: usize = 128;
/// Seconds of history kept for the sparkline.
pub const HISTORY_SECONDS: usize = 30;

/// Histograms of the current interval and of the previous one.
#[derive(Debug)]
pub struct RollingHistogram {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    interval: i64,
}

impl Default for RollingHistogram {
    fn default() -> Self {
        // Two significant digits: quantiles are exact to 1%. The bounds are constants and always valid.
        let empty = || {
            Histogram::new_with_bounds(1, MAX_DELAY, 2)
                .unwrap_or_else(|_| unreachable!("fixed, valid bounds"))
        };
        RollingHistogram { current: empty(), previous: empty(), interval: 0 }
    }
}

/// Number of delays and their quantiles (µs).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quantiles {
    /// Number of recorded delays.
    pub count: u64,
    /// Median.
    pub p50: Micros,
    /// 99th percentile.
    pub p99: Micros,
    /// 99.9th percentile.
    pub p999: Micros,
}

impl RollingHistogram {
    /// Advances to `now`, rotating the histograms at interval boundaries.
    pub fn advance(&mut self, now: Micros) {
        let interval = now.div_euclid(INTERVAL);
        if interval > self.interval {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            if interval > self.interval + 1 {
                self.previous.reset();
            }
            self.interval = interval;
        }
    }

    /// Records a delay.
    pub fn record(&mut self, now: Micros, delay: Micros) {
        self.advance(now);
        self.current.saturating_record(delay.clamp(1, MAX_DELAY as Micros) as u64);
    }

    /// Returns the quantiles over the current and the previous interval.
    pub fn quantiles(&self) -> Quantiles {
        let mut merged = self.previous.clone();
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = merged.add(&self.current);
        let at = |q| merged.value_at_quantile(q) as Micros;
        match merged.len() {
            0 => Quantiles::default(),
            count => Quantiles { count, p50: at(0.5), p99: at(0.99), p999: at(0.999) },
        }
    }
}

/// Metrics of one exchange.
#[derive(Debug, Default)]
pub struct ExchangeMetrics {
    /// Set-up times of established calls.
    pub setup_times: RollingHistogram,
    /// When the last load report arrived.
    pub last_report: Option<Micros>,
    /// Attempts that ended without an established call since the start, at the exchange or on the route to it.
    pub unsuccessful_attempts: u64,
    attempts: [u16; HISTORY_SECONDS],
    second: i64,
}

impl ExchangeMetrics {
    /// Records an attempt sent to the exchange.
    pub fn record_attempt(&mut self, now: Micros) {
        self.advance(now);
        let at = self.second.rem_euclid(HISTORY_SECONDS as i64) as usize;
        self.attempts[at] = self.attempts[at].saturating_add(1);
    }

    /// Advances to `now`, clearing the history of skipped seconds.
    pub fn advance(&mut self, now: Micros) {
        let second = now.div_euclid(SECOND);
        let first = self.second.max(second - HISTORY_SECONDS as i64);
        for s in first + 1..=second {
            self.attempts[s.rem_euclid(HISTORY_SECONDS as i64) as usize] = 0;
        }
        self.second = second.max(self.second);
        self.setup_times.advance(now);
    }

    /// Returns the attempts sent in each of the last [`HISTORY_SECONDS`] seconds, oldest first.
    pub fn history(&self) -> [u16; HISTORY_SECONDS] {
        std::array::from_fn(|i| {
            self.attempts[(self.second + 1 + i as i64).rem_euclid(HISTORY_SECONDS as i64) as usize]
        })
    }
}

/// Metrics of all tracked exchanges.
#[derive(Debug, Default)]
pub struct MetricsByExchange {
    all: BTreeMap<u16, ExchangeMetrics>,
    /// Lookups refused because [`MAX_EXCHANGES`] exchanges were already tracked.
    pub dropped: u64,
}

impl MetricsByExchange {
    /// Returns the metrics of an exchange, creating them if needed; `None` if too many exchanges are tracked.
    pub fn entry(&mut self, exchange: u16) -> Option<&mut ExchangeMetrics> {
        if self.all.len() >= MAX_EXCHANGES && !self.all.contains_key(&exchange) {
            self.dropped += 1;
            return None;
        }
        Some(self.all.entry(exchange).or_default())
    }

    /// Returns the metrics of an exchange, if it is tracked.
    pub fn get(&self, exchange: u16) -> Option<&ExchangeMetrics> {
        self.all.get(&exchange)
    }

    /// Advances all exchanges to `now`.
    pub fn advance(&mut self, now: Micros) {
        self.all.values_mut().for_each(|e| e.advance(now));
    }

    /// Removes the exchanges that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(u16) -> bool) {
        self.all.retain(|&e, _| is_listed(e));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_cover_at_most_the_last_minute() {
        let mut d = RollingHistogram::default();
        for i in 1..=1000 {
            d.record(SECOND, i * 1000);
        }
        let q = d.quantiles();
        assert_eq!(q.count, 1000);
        assert!((q.p50 - 500_000).abs() < 10_000 && (q.p99 - 990_000).abs() < 10_000, "{q:?}");
        d.record(INTERVAL + SECOND, 7);
        assert_eq!(d.quantiles().count, 1001);
        d.advance(2 * INTERVAL);
        assert_eq!(d.quantiles().count, 1);
        d.advance(9 * INTERVAL);
        assert_eq!(d.quantiles(), Quantiles::default());
    }

    #[test]
    fn history_counts_by_second_and_exchanges_are_bounded() {
        let mut e = ExchangeMetrics::default();
        for s in [1, 1, 3] {
            e.record_attempt(s * SECOND);
        }
        assert_eq!(e.history()[HISTORY_SECONDS - 3..], [2, 0, 1]);
        e.advance(1000 * SECOND);
        assert_eq!(e.history(), [0; HISTORY_SECONDS]);
        let mut all = MetricsByExchange::default();
        for n in 0..1000 {
            if let Some(e) = all.entry(n) {
                e.record_attempt(0);
            }
        }
        assert_eq!((all.all.len(), all.dropped), (MAX_EXCHANGES, 1000 - MAX_EXCHANGES as u64));
    }
}
