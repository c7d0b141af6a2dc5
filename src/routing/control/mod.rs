//! The decision module: chooses the route of each call and limits the load on exchanges. Its settings, events and
//! actions are defined in `src/routing/interface.rs`.
//!
//! A call takes the direct route while the direct group has a free circuit, then the next tandem in rotation that
//! accepts set-ups and has headroom on its first leg; otherwise it is refused. See `Controller::route`.

mod call;
mod call_queue;
mod concurrency_limit;
mod exchange_state;
mod load;
mod membership;
mod outcome;
mod own_state;
mod peers;
mod retry;
mod route;
mod slow_start;
mod tandem;
mod tick;

use crate::routing::interface::*;
use call::{Call, Stage};
use concurrency_limit::ConcurrencyLimit;
use exchange_state::ExchangeState;
use route::Route;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tandem::TandemPath;

/// Load (1 is a full processor) below which a tandem accepts set-ups and a processor passes on calls in transit;
/// phi in the design notes.
const ACCEPT_LOAD: f64 = 0.9;
/// Longest time that a circuit breaker stays open at once (µs); the mark in the design notes.
const MAX_OPEN_TIME: Micros = 3_000_000;
/// Smoothing weight of one observation in `untested_success_rate` and `overdue_loss_rate`.
const RATE_SMOOTHING: f64 = 0.05;
/// A call whose set-up met a signalling fault is retried at once while the exchange's fault rate lies between these
/// bounds. Below the lower bound the fault lies with the call itself and a retry is wasted work; above the upper one
/// the exchange fails every set-up.
const RETRY_FAULT_RATE_MIN: f64 = 0.15;
const RETRY_FAULT_RATE_MAX: f64 = 0.97;
/// How long a path counts as open after a call was established over it or a new call suggested its tandem (µs).
const PATH_OPEN_TIME: Micros = 10_000_000;
/// Processor delay that counts as load 1, as a share of the shortest latency objective. A tandem call crosses three
/// processors and must stay within its objective.
const FULL_LOAD_WAIT: f64 = 0.4;
/// Number of recent set-up times from which the delay of the own processor is estimated.
const RECENT_SETUP_TIMES: usize = 12;
/// A blocked call is queued for up to this share of its latency objective, less the set-up time it would meet.
const QUEUE_TIME_SHARE: f64 = 0.9;
/// A gap between events longer than this, several ticks, shows that this session controller was stalled (µs).
const MIN_STALL: Micros = 250_000;
/// Interval of periodic work: queued calls, cancellations, list requests (µs).
const TICK_INTERVAL: Micros = 20_000;
/// A queued call is answered at least this long before its caller abandons it (µs). The queue is checked once per
/// tick, so with a margin below `TICK_INTERVAL` the answer could come too late.
const ANSWER_MARGIN: Micros = 25_000;
/// An exchange is unresponsive when its oldest pending set-up is older than this share of the mean latency objective
/// and the exchange has answered nothing since it was sent.
const UNRESPONSIVE_SHARE: f64 = 0.5;
/// A set-up counts as lost when it has been pending for this share of the mean latency objective and another one,
/// sent at least half of that time later, has established its call.
const OVERTAKEN_SHARE: f64 = 0.45;
/// Maximum of a concurrency limit when few set-ups are sent; see [`Controller::max_limit`].
const BASE_LIMIT: f64 = 5.0;
/// Set-up time above which a concurrency limit is reduced, as a share of the mean latency objective.
const TARGET_DELAY_SHARE: f64 = 0.2;
/// Window over which the rate of set-ups is measured (µs).
const RATE_WINDOW: Micros = 8_000_000;
/// Interval of the messages to peers about the own groups (µs). Groups change seldom, and each message costs every
/// receiver about a tenth of a set-up.
const GROUP_MESSAGE_INTERVAL: Micros = 20_000_000;

/// The decision module of one session controller.
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    calls: BTreeMap<CallId, Call>,
    /// Queued calls, ordered by `priority_key`.
    queue: BTreeSet<(i64, Micros, CallId)>,
    exchanges: Vec<ExchangeState>,
    index_by_id: BTreeMap<ExchangeId, usize>,
    index_by_number: BTreeMap<ExchangeNumber, usize>,
    /// State of the pseudo-random generator.
    random_state: u64,
    /// Index at which the rotation over tandems continues.
    next_tandem: usize,
    /// Smoothed share of calls sent over a path not known to be open that were not turned back.
    untested_success_rate: f64,
    /// Smoothed share of overdue set-ups that were lost rather than slow.
    overdue_loss_rate: f64,
    /// Paths by destination and index of the tandem.
    tandem_paths: BTreeMap<(ExchangeNumber, usize), TandemPath>,
    /// Called numbers whose lines are all busy, and until when calls to them are refused.
    congested_numbers: BTreeMap<u64, Micros>,
    /// When each set-up of the last `RATE_WINDOW` was sent.
    recent_setups: VecDeque<Micros>,
    first_event: Option<Micros>,
    list_received: bool,
    /// Number of exchanges in service.
    ready_exchanges: usize,
    /// When to request the list.
    subscribe_at: Option<Micros>,
    next_group_message: Option<Micros>,
    shortest_objective: Micros,
    mean_objective: f64,
    own_concurrency: ConcurrencyLimit,
    /// The last established calls: when they were established, and their set-up time.
    recent_setup_times: VecDeque<(Micros, Micros)>,
    /// When any exchange last responded.
    last_heard: Micros,
    /// When the latest set-up that established a call was sent.
    last_established_sent: Micros,
    /// Longest remaining time seen on a first try, by class.
    max_remaining_time: BTreeMap<usize, Micros>,
    last_event: Micros,
    /// When this controller last resumed after a stall.
    resumed_at: Micros,
    /// Duration of that stall.
    stall: Micros,
    /// Indexes of exchanges with pending set-ups.
    pending_exchanges: BTreeSet<usize>,
    /// What operators took out of service.
    out_of_service: OutOfService,
    /// Exchanges suspected on the evidence of other instances.
    suspected: BTreeSet<ExchangeNumber>,
    /// The exchange that each peer speaks for.
    peer_exchanges: BTreeMap<PeerNumber, ExchangeNumber>,
}

impl Controller {
    /// Creates a controller that has no list yet; `seed` starts its pseudo-random generator.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let objectives = settings.classes.iter().map(|c| c.latency_objective);
        Controller {
            shortest_objective: objectives.clone().min().unwrap_or(1_000_000).max(1),
            mean_objective: objectives.sum::<Micros>() as f64 / settings.classes.len().max(1) as f64,
            own_concurrency: ConcurrencyLimit::INITIAL,
            next_tandem: (seed >> 32) as usize,
            untested_success_rate: 1.0,
            overdue_loss_rate: 0.5,
            settings,
            random_state: seed,
            ..Controller::default()
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.subscribe_at = (self.settings.membership_mode == MembershipMode::OnRequest).then_some(now);
            let first_message =
                now + TICK_INTERVAL + (self.random_state % (GROUP_MESSAGE_INTERVAL / 20) as u64) as Micros;
            self.next_group_message = self.settings.may_message_peers.then_some(first_message);
            out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
        }
        // After a stall, exchanges must not be taken for unresponsive, nor answers that waited for this controller
        // for slow ones.
        if now - self.last_event > MIN_STALL {
            (self.resumed_at, self.stall) = (now, now - self.last_event);
        }
        self.last_event = now;
        // Retrying all queued calls on every event would cost more with every exchange. They wait for a circuit
        // (the group changes) or for the own concurrency limit; every other change is picked up on a tick.
        let at_own_limit = !self.own_concurrency.admits(now, self.own_pending(now));
        let own_limit_freed = at_own_limit && matches!(event, Event::Established { .. } | Event::Ended(_));
        match event {
            Event::List(update) => self.on_list(now, update),
            Event::Call(request) => self.on_call(now, request, out),
            Event::Established { call, exchange_id, setup_time, .. } => {
                self.on_established(now, call, exchange_id, setup_time)
            }
            Event::Ended(outcome) => self.on_ended(now, outcome, out),
            Event::GroupReport { exchange_id, report } => {
                if let Some(&index) = self.index_by_id.get(&exchange_id) {
                    self.record_report(now, index, report);
                    self.retry_queued(now, Some(index), !at_own_limit, out);
                }
            }
            Event::PeerMessage { from, body } => self.on_peer(from, &body),
            Event::ProbeFailed(_) => {}
            Event::Suspected(exchanges) => self.suspected = exchanges,
            Event::OutOfService(out_of_service) => {
                self.out_of_service = out_of_service;
                self.retry_queued(now, None, true, out);
            }
            Event::CallAbandoned(call) => drop(self.remove_call(call)),
            Event::Timer(_) => self.on_tick(now, out),
        }
        self.retry_queued(now, None, own_limit_freed, out);
    }
}
