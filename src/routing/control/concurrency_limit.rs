//! Adaptive limit on concurrent set-ups, with a circuit breaker.

use super::*;

/// Time that the circuit breaker stays open after a first failure; doubles up to `MAX_OPEN_TIME` (µs).
const MIN_OPEN_TIME: Micros = 500_000;
/// Increase of the limit for each call established in good time.
const LIMIT_INCREASE: f64 = 0.5;
/// Factor applied to the limit when a set-up sent since the last reduction was slow.
const LIMIT_DECREASE_FACTOR: f64 = 0.6;

/// Limit on pending set-ups, toward one exchange or from the own processor. It rises while calls are established
/// quickly and falls when they are slow. A failure of the exchange opens its circuit breaker for a while, after which
/// the limit restarts at 1.
///
/// Answers wait behind new set-ups, so a queue longer than the latency objective makes every call late. A breaker
/// that restored the previous limit when it closes would bring back the full load at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ConcurrencyLimit {
    /// The circuit breaker is open, and no set-up is admitted, until then.
    pub(super) open_until: Micros,
    /// Maximum number of pending set-ups.
    pub(super) limit: f64,
    /// How long the circuit breaker stays open when it next trips.
    pub(super) next_open_time: Micros,
    /// When the limit was last reduced.
    pub(super) reduced_at: Micros,
}

impl ConcurrencyLimit {
    pub(super) const INITIAL: ConcurrencyLimit =
        ConcurrencyLimit { open_until: 0, limit: BASE_LIMIT, next_open_time: MIN_OPEN_TIME, reduced_at: 0 };

    /// Opens the circuit breaker for at least `min_open_time`, unless it is open already.
    pub(super) fn trip(&mut self, now: Micros, min_open_time: Micros) {
        if now >= self.open_until {
            self.open_until = now + self.next_open_time.max(min_open_time);
            self.next_open_time = (self.next_open_time * 2).min(MAX_OPEN_TIME);
            self.limit = 1.0;
        }
    }

    /// Whether the circuit breaker has tripped and no call has been established since.
    pub(super) fn on_probation(&self) -> bool {
        self.next_open_time > MIN_OPEN_TIME
    }

    /// Adapts the limit to a call established after `setup_time`; `delay` is the resulting estimate of the delay at
    /// the limited processor.
    pub(super) fn on_established(
        &mut self,
        now: Micros,
        setup_time: Micros,
        delay: f64,
        target: f64,
        (min_limit, max_limit): (f64, f64),
    ) {
        self.next_open_time = MIN_OPEN_TIME;
        if delay <= target {
            self.limit = (self.limit + LIMIT_INCREASE).min(max_limit);
        } else if now - setup_time > self.reduced_at {
            self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(min_limit);
            self.reduced_at = now;
        }
    }

    pub(super) fn admits(&self, now: Micros, pending: usize) -> bool {
        now >= self.open_until && (pending as f64) < self.limit
    }
}
