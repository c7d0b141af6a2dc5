//! State kept for each of the other exchanges.

use super::*;

/// How long a processor counts as overloaded after a bad report, unless a good one arrives (µs).
const OVERLOAD_TIME: Micros = 10_000_000;
/// Share of a group kept free on a tandem's first leg. An overflow call occupies two circuits, which pays only where
/// direct calls do not need them.
const HEADROOM_SHARE: f64 = 0.03;
/// Minimum number of circuits kept free there.
const HEADROOM_MIN: f64 = 2.0;
/// The circuit breaker of an unresponsive exchange trips only if its loss rate would leave all pending set-ups
/// unanswered with less than this probability. An exchange that loses some answers soon looks unresponsive where few
/// set-ups are sent, and calls that it would answer would be lost.
const MIN_LOSS_CHANCE: f64 = 0.01;

/// State of one other exchange. Times default to 0, the origin of the clock.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangeState {
    pub(super) exchange_id: ExchangeId,
    pub(super) exchange_number: ExchangeNumber,
    pub(super) kind: ExchangeKind,
    pub(super) state: ListState,
    /// Start of the processor; `None` if it was already warm when first listed.
    pub(super) started: Option<Micros>,
    /// Free circuits, less those of set-ups sent since the last report, and size of the group.
    pub(super) group: Option<(f64, f64)>,
    /// Until when the exchange is not used as a tandem.
    pub(super) overloaded_until: Micros,
    /// Pending set-ups: when they were sent, and their call.
    pub(super) pending: BTreeSet<(Micros, CallId)>,
    /// When the exchange last responded.
    pub(super) last_heard: Micros,
    /// When the latest set-up that established a call was sent.
    pub(super) last_established_sent: Micros,
    /// How long the last set-up that established a call or was cancelled had been pending.
    pub(super) last_setup_time: Micros,
    /// Smoothed share of its set-ups that ended in a signalling fault.
    pub(super) fault_rate: f64,
    /// Smoothed share of its set-ups that stayed unanswered while later ones established their calls.
    pub(super) loss_rate: f64,
    pub(super) concurrency: ConcurrencyLimit,
    /// During a cold start: since when credit for set-ups accrues, and the debt in set-ups at that time. The first
    /// debt is random so that senders do not synchronize.
    pub(super) cold_start_debt: (Micros, f64),
    /// One bit per exchange that it reports a group with; empty if it has not reported any.
    pub(super) group_bitmap: Vec<u8>,
}

impl ExchangeState {
    pub(super) fn new(entry: &ListEntry, now: Micros) -> Self {
        let listed = ExchangeState {
            exchange_id: entry.exchange_id,
            exchange_number: entry.exchange,
            kind: entry.kind,
            state: entry.state,
            ..ExchangeState::default()
        };
        ExchangeState {
            started: entry.last_start,
            last_heard: now,
            last_setup_time: Micros::MAX,
            concurrency: ConcurrencyLimit::INITIAL,
            cold_start_debt: (now, 1.0),
            ..listed
        }
    }

    /// Whether nothing was heard since the oldest pending set-up was sent, and more than `min_age` has passed since
    /// then and since this controller resumed.
    pub(super) fn unresponsive(&self, now: Micros, resumed_at: Micros, min_age: f64) -> bool {
        self.pending
            .first()
            .is_some_and(|p| (now - p.0.max(resumed_at)) as f64 > min_age && self.last_heard <= p.0)
    }

    /// Whether the loss rate of the exchange can explain that many unanswered set-ups.
    pub(super) fn explained_by_loss(&self, unanswered: usize) -> bool {
        self.loss_rate.powf(unanswered as f64) >= MIN_LOSS_CHANCE
    }

    /// Number of set-ups pending for at most `max_age`. Older ones are lost or hopeless, and a few lost ones would
    /// fill a limit for as long as their callers wait.
    pub(super) fn pending_within(&self, now: Micros, max_age: f64) -> usize {
        self.pending.iter().rev().take_while(|p| (now - p.0) as f64 <= max_age).count()
    }

    pub(super) fn free_circuits(&self) -> f64 {
        self.group.map_or(f64::INFINITY, |g| g.0)
    }

    /// Whether it may have a group with that exchange.
    pub(super) fn may_reach(&self, destination: ExchangeNumber) -> bool {
        self.group_bitmap
            .get(usize::from(destination.0 / 8))
            .is_none_or(|bits| bits & (1 << (destination.0 % 8)) != 0)
    }

    pub(super) fn headroom(&self) -> f64 {
        self.group.map_or(0.0, |g| (g.1 * HEADROOM_SHARE).max(HEADROOM_MIN))
    }

    /// Age of the oldest pending set-up. Answers alone do not show congestion, since the late ones have not arrived
    /// yet.
    pub(super) fn oldest_pending_age(&self, now: Micros) -> f64 {
        self.pending.first().map_or(0.0, |p| (now - p.0) as f64)
    }

    /// Records whether its processor appears overloaded. Reports may be several seconds apart, and a slow tandem
    /// would return to the rotation before the next one; an overload therefore lasts longer than a good report takes
    /// to arrive where there is traffic, and the first good report ends it.
    pub(super) fn note_overload(&mut self, now: Micros, overloaded: bool) {
        self.overloaded_until = if overloaded { now + OVERLOAD_TIME } else { now };
    }

    /// Trips the circuit breaker after a failure, for at least `min_open_time`, and marks the exchange as overloaded,
    /// which excludes it as a tandem for longer.
    pub(super) fn trip(&mut self, now: Micros, min_open_time: Micros) {
        self.concurrency.trip(now, min_open_time);
        self.note_overload(now, true);
    }
}
