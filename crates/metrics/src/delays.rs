//! Delays by exchange, in histograms of high dynamic range that are changed every half minute: what is shown covers
//! the last half to whole minute.

use crate::{Micros, SECOND};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Span of one histogram (µs).
const SPAN: Micros = 30 * SECOND;
/// The longest delay that is told apart (µs).
const LONGEST: u64 = 60_000_000;
/// Exchanges kept apart. Guards memory, at some 20 KB each; a site has a few dozen.
pub const MOST: usize = 128;
/// Seconds of history shown as a line.
pub const HISTORY: usize = 30;

/// Two histograms, of the span that runs and of the one before.
#[derive(Debug)]
pub struct Delays {
    running: Histogram<u32>,
    before: Histogram<u32>,
    span: i64,
}

impl Default for Delays {
    fn default() -> Self {
        // Two digits: a delay is shown to a hundredth part of it. These bounds are always valid.
        let empty = || {
            Histogram::new_with_bounds(1, LONGEST, 2).unwrap_or_else(|_| unreachable!("fixed, valid bounds"))
        };
        Delays { running: empty(), before: empty(), span: 0 }
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

impl Delays {
    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) {
        let span = now.div_euclid(SPAN);
        if span > self.span {
            std::mem::swap(&mut self.running, &mut self.before);
            self.running.reset();
            if span > self.span + 1 {
                self.before.reset();
            }
            self.span = span;
        }
    }

    /// Counts a delay.
    pub fn count(&mut self, now: Micros, delay: Micros) {
        self.advance(now);
        self.running.saturating_record(delay.clamp(1, LONGEST as Micros) as u64);
    }

    /// What is shown.
    pub fn quantiles(&self) -> Quantiles {
        let mut both = self.before.clone();
        // The bounds are the same, so that nothing can be out of them.
        let _ = both.add(&self.running);
        let at = |q| both.value_at_quantile(q) as Micros;
        match both.len() {
            0 => Quantiles::default(),
            count => Quantiles { count, p50: at(0.5), p99: at(0.99), p999: at(0.999) },
        }
    }
}

/// What is kept of one exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    /// How long set-ups took that stood.
    pub set_ups: Delays,
    /// When figures of it last came.
    pub reported: Option<Micros>,
    /// Set-ups that it, or the way to it, turned away in the last second, and whole since the start.
    pub turned_away: u64,
    sent: [u16; HISTORY],
    second: i64,
}

impl Exchange {
    /// Counts a set-up that was sent.
    pub fn sent(&mut self, now: Micros) {
        self.pass(now);
        let at = self.second.rem_euclid(HISTORY as i64) as usize;
        self.sent[at] = self.sent[at].saturating_add(1);
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Micros) {
        let second = now.div_euclid(SECOND);
        let first = self.second.max(second - HISTORY as i64);
        for s in first + 1..=second {
            self.sent[s.rem_euclid(HISTORY as i64) as usize] = 0;
        }
        self.second = second.max(self.second);
        self.set_ups.advance(now);
    }

    /// Set-ups sent in each of the last seconds, oldest first.
    pub fn history(&self) -> [u16; HISTORY] {
        std::array::from_fn(|i| self.sent[(self.second + 1 + i as i64).rem_euclid(HISTORY as i64) as usize])
    }
}

/// All exchanges.
#[derive(Debug, Default)]
pub struct Exchanges {
    all: BTreeMap<u16, Exchange>,
    /// Figures that were not kept since there were too many exchanges.
    pub lost: u64,
}

impl Exchanges {
    /// What is kept of an exchange; `None` if there are too many.
    pub fn of(&mut self, exchange: u16) -> Option<&mut Exchange> {
        if self.all.len() >= MOST && !self.all.contains_key(&exchange) {
            self.lost += 1;
            return None;
        }
        Some(self.all.entry(exchange).or_default())
    }

    /// What is kept of an exchange, if anything.
    pub fn get(&self, exchange: u16) -> Option<&Exchange> {
        self.all.get(&exchange)
    }

    /// Lets time pass.
    pub fn pass(&mut self, now: Micros) {
        self.all.values_mut().for_each(|e| e.pass(now));
    }

    /// Forgets exchanges that are no longer there.
    pub fn retain(&mut self, there: impl Fn(u16) -> bool) {
        self.all.retain(|&e, _| there(e));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_cover_the_last_minute_and_no_more() {
        let mut d = Delays::default();
        for i in 1..=1000 {
            d.count(SECOND, i * 1000);
        }
        let q = d.quantiles();
        assert_eq!(q.count, 1000);
        assert!((q.p50 - 500_000).abs() < 10_000 && (q.p99 - 990_000).abs() < 10_000, "{q:?}");
        d.count(SPAN + SECOND, 7);
        assert_eq!(d.quantiles().count, 1001);
        d.advance(2 * SPAN);
        assert_eq!(d.quantiles().count, 1);
        d.advance(9 * SPAN);
        assert_eq!(d.quantiles(), Quantiles::default());
    }

    #[test]
    fn history_is_by_seconds_and_exchanges_are_bounded() {
        let mut e = Exchange::default();
        for s in [1, 1, 3] {
            e.sent(s * SECOND);
        }
        assert_eq!(e.history()[HISTORY - 3..], [2, 0, 1]);
        e.pass(1000 * SECOND);
        assert_eq!(e.history(), [0; HISTORY]);
        let mut all = Exchanges::default();
        for n in 0..1000 {
            if let Some(e) = all.of(n) {
                e.sent(0);
            }
        }
        assert_eq!((all.all.len(), all.lost), (MOST, 1000 - MOST as u64));
    }
}
