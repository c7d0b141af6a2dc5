//! What is known of one exchange.

use super::*;

/// How long a processor counts as pressed after bad news of it, unless good news comes (µs).
const OVERLOAD_TIME: Micros = 10_000_000;
/// Share of a group kept free on a tandem's first leg: a spilled call takes two circuits, which only pays
/// where direct calls don't need them.
const HEADROOM_SHARE: f64 = 0.03;
/// Circuits kept free there at the least.
const HEADROOM_MIN: f64 = 2.0;
/// A silent office is shut once chance alone leaves so many set-ups unanswered less often than this. Danger:
/// one that leaves some unanswered is soon silent on a thin link, and calls that it would answer are lost.
const MIN_LOSS_CHANCE: f64 = 0.01;

/// What this exchange knows of another. Moments start at 0, the beginning of the clock.
#[derive(Clone, Debug, Default)]
pub(super) struct ExchangeState {
    pub(super) exchange_id: ExchangeId,
    pub(super) exchange: ExchangeNumber,
    pub(super) state: ListState,
    /// Start of the processor, while that matters.
    pub(super) started: Option<Micros>,
    /// Free circuits and size of the group, less own sends since the last figure.
    pub(super) group: Option<(f64, f64)>,
    /// As a tandem not accepting until then.
    pub(super) overloaded_until: Micros,
    /// Set-ups out: when sent, call.
    pub(super) pending: BTreeSet<(Micros, CallId)>,
    /// Last sign of life.
    pub(super) last_heard: Micros,
    /// When the latest set-up that stood was sent.
    pub(super) last_established_sent: Micros,
    /// How long the last set-up took that stood or was called off.
    pub(super) last_setup_time: Micros,
    /// Share of its set-ups that ended in a signalling fault, smoothed.
    pub(super) fault_rate: f64,
    /// Share of them that was never answered while later ones were, smoothed.
    pub(super) loss_rate: f64,
    pub(super) concurrency: ConcurrencyLimit,
    /// While it is cold: since when set-ups are earned, and how much of one was owed then: a random part at
    /// its start, so that senders do not come in step.
    pub(super) cold_start_debt: (Micros, f64),
    /// One bit for each exchange that it said to have a group with; empty if it did not say.
    pub(super) group_bitmap: Vec<u8>,
}

impl ExchangeState {
    pub(super) fn new(e: &ListEntry, now: Micros) -> Self {
        let (gate, earned) = (ConcurrencyLimit::INITIAL, (now, 1.0));
        let known = ExchangeState {
            exchange_id: e.exchange_id,
            exchange: e.exchange,
            state: e.state,
            ..ExchangeState::default()
        };
        ExchangeState {
            started: e.last_start,
            last_heard: now,
            last_setup_time: Micros::MAX,
            concurrency: gate,
            cold_start_debt: earned,
            ..known
        }
    }

    /// Nothing heard since the oldest set-up out was sent, `span` ago or more, nor since this one `woke`.
    pub(super) fn unresponsive(&self, now: Micros, woke: Micros, span: f64) -> bool {
        self.pending.first().is_some_and(|o| (now - o.0.max(woke)) as f64 > span && self.last_heard <= o.0)
    }

    /// Whether it may well answer, though so many set-ups are unanswered.
    pub(super) fn explained_by_loss(&self, unanswered: usize) -> bool {
        self.loss_rate.powf(unanswered as f64) >= MIN_LOSS_CHANCE
    }

    /// Set-ups out for less than `span`. Danger: older ones are lost or hopeless, and a few lost ones would
    /// fill a window for as long as their callers wait.
    pub(super) fn pending_since(&self, now: Micros, span: f64) -> usize {
        self.pending.iter().rev().take_while(|o| (now - o.0) as f64 <= span).count()
    }

    pub(super) fn free_circuits(&self) -> f64 {
        self.group.map_or(f64::INFINITY, |g| g.0)
    }

    /// Whether it may have a group with that exchange.
    pub(super) fn may_reach(&self, to: ExchangeNumber) -> bool {
        self.group_bitmap.get(usize::from(to.0 / 8)).is_none_or(|bits| bits & (1 << (to.0 % 8)) != 0)
    }

    pub(super) fn headroom(&self) -> f64 {
        self.group.map_or(0.0, |g| (g.1 * HEADROOM_SHARE).max(HEADROOM_MIN))
    }

    /// How long the oldest set-up has been out. Danger: answers alone are blind to a jam, since the late ones
    /// have not come yet.
    pub(super) fn oldest_pending_age(&self, now: Micros) -> f64 {
        self.pending.first().map_or(0.0, |o| (now - o.0) as f64)
    }

    /// Notes whether its processor seems pressed. Danger: with news of it once in several seconds, a slow
    /// tandem would be back in turn before the next; so bad news lasts longer than good news takes to come
    /// where there is traffic, and the first good news ends it.
    pub(super) fn note_overload(&mut self, now: Micros, pressed: bool) {
        self.overloaded_until = if pressed { now + OVERLOAD_TIME } else { now };
    }

    /// It failed: nothing for a while, and no tandem for longer.
    pub(super) fn trip(&mut self, now: Micros, at_least: Micros) {
        self.concurrency.trip(now, at_least);
        self.note_overload(now, true);
    }
}
