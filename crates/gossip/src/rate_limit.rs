//! Token buckets: hard ceilings of traffic, in datagrams and in bytes.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// A limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Bytes a second.
    pub bytes: u32,
    /// Datagrams a second.
    pub datagrams: u32,
}

/// A bucket that holds what one second may have: no second has more than twice that, and on the long run none has
/// more than the limit.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    bytes: f64,
    datagrams: f64,
    updated: Micros,
}

impl TokenBucket {
    /// A full one. Half a second's worth is the burst that it allows, so that any second stays under one and a half.
    pub fn new(now: Micros, limit: RateLimit) -> TokenBucket {
        let mut b = TokenBucket { limit, bytes: 0.0, datagrams: 0.0, updated: now };
        (b.bytes, b.datagrams) = b.burst();
        b
    }

    fn burst(&self) -> (f64, f64) {
        // One datagram of any length must fit.
        ((f64::from(self.limit.bytes) / 2.0).max(256.0), (f64::from(self.limit.datagrams) / 2.0).max(1.0))
    }

    /// Changes the limit; what is in the bucket stays, up to the new most.
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

    /// Takes out a datagram of that many bytes, if there is room. `reserve`: a share of the bucket that must be left,
    /// for what is more urgent.
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

/// SourceLimiter told apart; the one that was quiet for longest gives up its place.
const MAX_SOURCES: usize = 1024;

/// A limit for each source, before anything of its datagrams is looked at.
#[derive(Debug)]
pub struct SourceLimiter {
    limit: RateLimit,
    all: BTreeMap<IpAddr, TokenBucket>,
}

impl SourceLimiter {
    /// Nobody was heard yet.
    pub fn new(limit: RateLimit) -> SourceLimiter {
        SourceLimiter { limit, all: BTreeMap::new() }
    }

    /// Whether a source may be heard.
    pub fn admit(&mut self, now: Micros, from: IpAddr, bytes: usize) -> bool {
        if !self.all.contains_key(&from) && self.all.len() >= MAX_SOURCES {
            let quiet = self.all.iter().min_by_key(|s| s.1.updated).map(|s| *s.0);
            quiet.map(|s| self.all.remove(&s));
        }
        let limit = self.limit;
        self.all.entry(from).or_insert_with(|| TokenBucket::new(now, limit)).take(now, bytes, 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_second_has_more_than_one_and_a_half_of_the_ceiling_and_a_long_run_no_more_than_it() {
        let limit = RateLimit { bytes: 10_000, datagrams: 50 };
        let mut b = TokenBucket::new(0, limit);
        let taken: Vec<Micros> = (0..20_000).map(|ms| ms * 1000).filter(|&t| b.take(t, 200, 0.0)).collect();
        let worst =
            taken.iter().map(|&t| taken.iter().filter(|&&u| (t..t + SECOND).contains(&u)).count()).max();
        assert!(worst.is_some_and(|n| n <= 76), "{worst:?}");
        assert!(taken.len() <= 20 * 50 + 26 && taken.len() > 900, "{}", taken.len());
        // Bytes bind where datagrams are long; a clock that goes back gives nothing.
        let mut b = TokenBucket::new(0, RateLimit { bytes: 1000, datagrams: 1000 });
        assert_eq!((0..100).filter(|_| b.take(0, 250, 0.0)).count(), 2);
        assert!(!b.take(-9 * SECOND, 250, 0.0) && !b.take(0, 250, 0.0));
    }

    #[test]
    fn a_share_is_kept_for_what_is_urgent_and_sources_are_bounded() {
        let mut b = TokenBucket::new(0, RateLimit { bytes: 100_000, datagrams: 20 });
        assert_eq!((0..20).filter(|_| b.take(0, 10, 0.5)).count(), 5);
        assert_eq!((0..20).filter(|_| b.take(0, 10, 0.0)).count(), 5);
        let mut s = SourceLimiter::new(RateLimit { bytes: 1000, datagrams: 2 });
        for n in 0..10_000u32 {
            s.admit(n.into(), std::net::Ipv4Addr::from(n).into(), 100);
        }
        assert_eq!(s.all.len(), MAX_SOURCES);
        let one = std::net::Ipv4Addr::LOCALHOST.into();
        assert_eq!((0..1000).filter(|_| s.admit(10_000, one, 100)).count(), 1);
    }
}
