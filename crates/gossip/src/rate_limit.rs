//! Token buckets that limit traffic in datagrams and in bytes.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Bytes per second.
    pub bytes: u32,
    /// Datagrams per second.
    pub datagrams: u32,
}

/// Token bucket with a burst of half a second's worth: any one second carries at most one and a half times the limit,
/// and the long-term rate does not exceed it.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    bytes: f64,
    datagrams: f64,
    updated: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, limit: RateLimit) -> TokenBucket {
        let mut b = TokenBucket { limit, bytes: 0.0, datagrams: 0.0, updated: now };
        (b.bytes, b.datagrams) = b.burst();
        b
    }

    fn burst(&self) -> (f64, f64) {
        // The burst must allow at least one datagram of any length.
        ((f64::from(self.limit.bytes) / 2.0).max(256.0), (f64::from(self.limit.datagrams) / 2.0).max(1.0))
    }

    /// Changes the limit; the tokens are kept up to the new burst size.
    pub fn set(&mut self, limit: RateLimit) {
        self.limit = limit;
        let (bytes, datagrams) = self.burst();
        self.bytes = self.bytes.min(bytes);
        self.datagrams = self.datagrams.min(datagrams);
    }

    fn refill(&mut self, now: Micros) {
        let span = (now - self.updated).max(0) as f64 / SECOND as f64;
        self.updated = self.updated.max(now);
        let (bytes, datagrams) = self.burst();
        self.bytes = (self.bytes + span * f64::from(self.limit.bytes)).min(bytes);
        self.datagrams = (self.datagrams + span * f64::from(self.limit.datagrams)).min(datagrams);
    }

    /// Takes the tokens for a datagram of `bytes` bytes, if available. `reserve` is the share of the burst that must
    /// remain for more urgent datagrams.
    pub fn take(&mut self, now: Micros, bytes: usize, reserve: f64) -> bool {
        self.refill(now);
        let (burst_bytes, burst_datagrams) = self.burst();
        let fits = self.bytes - bytes as f64 >= burst_bytes * reserve
            && self.datagrams - 1.0 >= (burst_datagrams * reserve).floor();
        if fits {
            self.bytes -= bytes as f64;
            self.datagrams -= 1.0;
        }
        fits
    }
}

/// Maximum number of sources; the one that has been quiet for longest is evicted.
const MAX_SOURCES: usize = 1024;

/// Rate limit for each source address, applied before a datagram is parsed.
#[derive(Debug)]
pub struct SourceLimiter {
    limit: RateLimit,
    buckets: BTreeMap<IpAddr, TokenBucket>,
}

impl SourceLimiter {
    /// Creates the limiter without any known source.
    pub fn new(limit: RateLimit) -> SourceLimiter {
        SourceLimiter { limit, buckets: BTreeMap::new() }
    }

    /// Whether a datagram from this source is within its limit.
    pub fn admit(&mut self, now: Micros, from: IpAddr, bytes: usize) -> bool {
        if !self.buckets.contains_key(&from) && self.buckets.len() >= MAX_SOURCES {
            let quietest = self.buckets.iter().min_by_key(|s| s.1.updated).map(|s| *s.0);
            quietest.map(|s| self.buckets.remove(&s));
        }
        let limit = self.limit;
        self.buckets.entry(from).or_insert_with(|| TokenBucket::new(now, limit)).take(now, bytes, 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn short_term_and_long_term_rates_stay_within_the_limit() {
        let limit = RateLimit { bytes: 10_000, datagrams: 50 };
        let mut b = TokenBucket::new(0, limit);
        let taken: Vec<Micros> = (0..20_000).map(|ms| ms * 1000).filter(|&t| b.take(t, 200, 0.0)).collect();
        let worst =
            taken.iter().map(|&t| taken.iter().filter(|&&u| (t..t + SECOND).contains(&u)).count()).max();
        assert!(worst.is_some_and(|n| n <= 76), "{worst:?}");
        assert!(taken.len() <= 20 * 50 + 26 && taken.len() > 900, "{}", taken.len());
        // The byte limit applies to long datagrams, and a clock that goes back adds no tokens.
        let mut b = TokenBucket::new(0, RateLimit { bytes: 1000, datagrams: 1000 });
        assert_eq!((0..100).filter(|_| b.take(0, 250, 0.0)).count(), 2);
        assert!(!b.take(-9 * SECOND, 250, 0.0) && !b.take(0, 250, 0.0));
    }

    #[test]
    fn a_reserve_is_kept_for_urgent_datagrams_and_sources_are_bounded() {
        let mut b = TokenBucket::new(0, RateLimit { bytes: 100_000, datagrams: 20 });
        assert_eq!((0..20).filter(|_| b.take(0, 10, 0.5)).count(), 5);
        assert_eq!((0..20).filter(|_| b.take(0, 10, 0.0)).count(), 5);
        let mut s = SourceLimiter::new(RateLimit { bytes: 1000, datagrams: 2 });
        for n in 0..10_000u32 {
            s.admit(n.into(), std::net::Ipv4Addr::from(n).into(), 100);
        }
        assert_eq!(s.buckets.len(), MAX_SOURCES);
        let one = std::net::Ipv4Addr::LOCALHOST.into();
        assert_eq!((0..1000).filter(|_| s.admit(10_000, one, 100)).count(), 1);
    }
}
