//! RollingHistogram by exchange, in histograms of high dynamic range that are changed every half minute: what is shown covers
//! the last half to whole minute.

use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Span of one histogram (µs).
const INTERVAL: Micros = 30 * SECOND;
/// The longest delay that is told apart (µs).
const MAX_DELAY: u64 = 60_000_000;
/// MetricsByExchange kept apart. Guards memory, at some 20 KB each; a site has a few dozen.
pub const MAX_EXCHANGES: usize = 128;
/// Seconds of history shown as a line.
pub const HISTORY_SECONDS: usize = 30;

/// Two histograms, of the span that runs and of the one previous.
#[derive(Debug)]
pub struct RollingHistogram {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    interval: i64,
}

impl Default for RollingHistogram {
    fn default() -> Self {
        // Two digits: a delay is shown to a hundredth part of it. These bounds are always valid.
        let empty = || {
            Histogram::new_with_bounds(1, MAX_DELAY, 2)
                .unwrap_or_else(|_| unreachable!("fixed, valid bounds"))
        };
        RollingHistogram { current: empty(), previous: empty(), interval: 0 }
    }
}

/// What is shown of delays (µs).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quantiles {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub p50: Micros,
    /// 99 of 100 were shorter.
    pub p99: Micros,
    /// 999 of 1,000 were shorter.
    pub p999: Micros,
}

impl RollingHistogram {
    /// Lets time pass.
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

    /// Counts a delay.
    pub fn record(&mut self, now: Micros, delay: Micros) {
        self.advance(now);
        self.current.saturating_record(delay.clamp(1, MAX_DELAY as Micros) as u64);
    }

    /// What is shown.
    pub fn quantiles(&self) -> Quantiles {
        let mut merged = self.previous.clone();
        // The bounds are the same, so that nothing can be out of them.
        let _ = merged.add(&self.current);
        let at = |q| merged.value_at_quantile(q) as Micros;
        match merged.len() {
            0 => Quantiles::default(),
            count => Quantiles { count, p50: at(0.5), p99: at(0.99), p999: at(0.999) },
        }
    }
}

/// What is kept of one exchange.
#[derive(Debug, Default)]
pub struct ExchangeMetrics {
    /// How long set-ups took that stood.
    pub setup_times: RollingHistogram,
    /// When figures of it last came.
    pub last_report: Option<Micros>,
    /// Set-ups that it, or the way to it, turned away in the last second, and whole since the start.
    pub unsuccessful_attempts: u64,
    attempts: [u16; HISTORY_SECONDS],
    second: i64,
}

impl ExchangeMetrics {
    /// Counts a set-up that was sent.
    pub fn record_attempt(&mut self, now: Micros) {
        self.advance(now);
        let at = self.second.rem_euclid(HISTORY_SECONDS as i64) as usize;
        self.attempts[at] = self.attempts[at].saturating_add(1);
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        let second = now.div_euclid(SECOND);
        let first = self.second.max(second - HISTORY_SECONDS as i64);
        for s in first + 1..=second {
            self.attempts[s.rem_euclid(HISTORY_SECONDS as i64) as usize] = 0;
        }
        self.second = second.max(self.second);
        self.setup_times.advance(now);
    }

    /// Set-ups sent in each of the last seconds, oldest first.
    pub fn history(&self) -> [u16; HISTORY_SECONDS] {
        std::array::from_fn(|i| {
            self.attempts[(self.second + 1 + i as i64).rem_euclid(HISTORY_SECONDS as i64) as usize]
        })
    }
}

/// All exchanges.
#[derive(Debug, Default)]
pub struct MetricsByExchange {
    all: BTreeMap<u16, ExchangeMetrics>,
    /// Figures that were not kept since there were too many exchanges.
    pub dropped: u64,
}

impl MetricsByExchange {
    /// What is kept of an exchange; `None` if there are too many.
    pub fn entry(&mut self, exchange: u16) -> Option<&mut ExchangeMetrics> {
        if self.all.len() >= MAX_EXCHANGES && !self.all.contains_key(&exchange) {
            self.dropped += 1;
            return None;
        }
        Some(self.all.entry(exchange).or_default())
    }

    /// What is kept of an exchange, if anything.
    pub fn get(&self, exchange: u16) -> Option<&ExchangeMetrics> {
        self.all.get(&exchange)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        self.all.values_mut().for_each(|e| e.advance(now));
    }

    /// Forgets exchanges that are no longer there.
    pub fn retain(&mut self, is_listed: impl Fn(u16) -> bool) {
        self.all.retain(|&e, _| is_listed(e));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_cover_the_last_minute_and_no_more() {
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
    fn history_is_by_seconds_and_exchanges_are_bounded() {
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
