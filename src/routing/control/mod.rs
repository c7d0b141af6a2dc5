//! Every decision of walnuthatch. The types, events and actions are in `src/routing/interface.rs`.
//!
//! A call goes direct until the direct group is full, then through the next tandem in turn that accepts and
//! keeps headroom on its first leg, else it is refused: see [`Controller::route`].

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

/// Load (share of a full processor) below which a tandem accepts and a processor passes transit on: the
/// design page's phi.
const ACCEPT_LOAD: f64 = 0.9;
/// The longest that a gate stays shut at a time (the design page's mark; µs).
const MAX_OPEN_TIME: Micros = 3_000_000;
/// Weight of one turn, or one set-up out long, in such a share.
const RATE_SMOOTHING: f64 = 0.05;
/// A call that met a signalling fault goes again at once while the share of the office's set-ups that do lies
/// between these. Below, the fault is the call's own, and to ask again is work for nothing; above, the office
/// fails all.
const RETRY_FAULT_RATE_MIN: f64 = 0.15;
const RETRY_FAULT_RATE_MAX: f64 = 0.97;
/// For how long a way counts as open after the centre named it or a call stood over it (µs).
const PATH_OPEN_TIME: Micros = 10_000_000;
/// Wait at a processor that counts as load 1, as a share of the shortest aim: a tandem call crosses three
/// processors and must stay within its aim.
const FULL_LOAD_WAIT: f64 = 0.4;
/// Set-up delays kept to judge the own wait by.
const RECENT_SETUP_TIMES: usize = 12;
/// A blocked call waits for a circuit up to this share of its aim, less the set-up delay it would meet.
const QUEUE_TIME_SHARE: f64 = 0.9;
/// A gap between events that shows that this call server stood still: several housekeeping ticks (µs).
const MIN_STALL: Micros = 250_000;
/// Housekeeping: held calls, releases, list (µs).
const TICK_INTERVAL: Micros = 20_000;
/// A held call is ended at the latest this long before its caller gives up (µs). Danger: it is looked at
/// once in a tick, so that with less than a tick its answer can come after its caller has given up.
const ANSWER_MARGIN: Micros = 25_000;
/// An office is silent when its oldest set-up has been out for this share of the mean aim and it has
/// answered nothing since.
const UNRESPONSIVE_SHARE: f64 = 0.5;
/// A set-up out for this share of the mean aim, and overtaken by half of that, counts as lost.
const OVERTAKEN_SHARE: f64 = 0.45;
/// Set-ups that may be out through a fully open gate, where set-ups are few; see `Controller::widest`.
const BASE_LIMIT: f64 = 5.0;
/// Set-up delay above which a gate narrows, as a share of the mean aim; level at 0.15, lower at 0.25.
const TARGET_DELAY_SHARE: f64 = 0.2;
/// Span over which the usual rate of set-ups is measured (µs).
const RATE_WINDOW: Micros = 8_000_000;
/// Peers are told of the own groups this often (µs): groups change seldom, and each message costs every
/// receiver about a tenth of a set-up.
const GROUP_MESSAGE_INTERVAL: Micros = 20_000_000;

/// The decision module of one call server.
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    calls: BTreeMap<CallId, Call>,
    /// Calls held, in the order of `held_key`.
    queue: BTreeSet<(i64, Micros, CallId)>,
    exchanges: Vec<ExchangeState>,
    index_by_id: BTreeMap<ExchangeId, usize>,
    index_by_number: BTreeMap<ExchangeNumber, usize>,
    random_state: u64,
    /// Next tandem in turn.
    next_tandem: usize,
    /// Share of plain turns that went through, smoothed.
    untested_success_rate: f64,
    /// Share of the set-ups out long that were lost rather than slow, smoothed.
    overdue_loss_rate: f64,
    /// Ways to each destination, by tandem.
    tandem_paths: BTreeMap<(ExchangeNumber, usize), TandemPath>,
    congested_numbers: BTreeMap<u64, Micros>,
    /// Own set-ups of the last while.
    recent_setups: VecDeque<Micros>,
    first_event: Option<Micros>,
    list_received: bool,
    /// Offices in service.
    ready_exchanges: usize,
    subscribe_at: Option<Micros>,
    next_group_message: Option<Micros>,
    shortest_objective: Micros,
    mean_objective: f64,
    own_concurrency: ConcurrencyLimit,
    /// The last set-ups that stood: when, and after how long.
    recent_setup_times: VecDeque<(Micros, Micros)>,
    /// Last sign of life of any office.
    last_heard: Micros,
    /// When the latest set-up that stood was sent.
    last_established_sent: Micros,
    /// Longest patience of a first try, by class.
    max_remaining_time: BTreeMap<usize, Micros>,
    /// The last event; the last waking after standing still, and for how long that was.
    last_event: Micros,
    resumed_at: Micros,
    stall: Micros,
    /// Offices with set-ups out.
    pending_exchanges: BTreeSet<usize>,
    /// What operators took out of service.
    out_of_service: OutOfService,
    /// What others' evidence speaks against.
    suspected: BTreeSet<ExchangeNumber>,
    /// The exchange that each peer speaks for.
    peer_exchanges: BTreeMap<PeerNumber, ExchangeNumber>,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.latency_objective);
        Controller {
            shortest_objective: aims.clone().min().unwrap_or(1_000_000).max(1),
            mean_objective: aims.sum::<Micros>() as f64 / settings.classes.len().max(1) as f64,
            own_concurrency: ConcurrencyLimit::INITIAL,
            next_tandem: (seed >> 32) as usize,
            untested_success_rate: 1.0,
            overdue_loss_rate: 0.5,
            settings,
            random_state: seed,
            ..Controller::default()
        }
    }

    /// Takes one event and adds what is to be done about it to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.first_event.is_none() {
            self.first_event = Some(now);
            self.subscribe_at = (self.settings.membership_mode == MembershipMode::OnRequest).then_some(now);
            let first =
                now + TICK_INTERVAL + (self.random_state % (GROUP_MESSAGE_INTERVAL / 20) as u64) as Micros;
            self.next_group_message = self.settings.may_message_peers.then_some(first);
            out.push(Action::SetTimer { after: TICK_INTERVAL, token: 0 });
        }
        // Danger: a call server that stood still takes its own silence for that of the offices, and what
        // waited for it for slow.
        if now - self.last_event > MIN_STALL {
            (self.resumed_at, self.stall) = (now, now - self.last_event);
        }
        self.last_event = now;
        // Danger: what is tried again on every event costs more the more offices there are. Held calls wait
        // for a circuit (the group changes) or a place of the own window; the rest shows on a tick.
        let full = !self.own_concurrency.admits(now, self.own_pending(now));
        let freed = full && matches!(event, Event::Established { .. } | Event::Ended(_));
        match event {
            Event::List(news) => self.on_list(now, news),
            Event::Call(ask) => self.on_call(now, ask, out),
            Event::Established { call, exchange_id: office, setup_time: took, .. } => {
                self.on_established(now, call, office, took)
            }
            Event::Ended(o) => self.on_ended(now, o, out),
            Event::GroupReport { exchange_id: office, report } => {
                if let Some(&i) = self.index_by_id.get(&office) {
                    self.record_report(now, i, report);
                    self.retry_queued(now, Some(i), !full, out);
                }
            }
            Event::PeerMessage { from, body } => self.on_peer(from, &body),
            Event::ProbeFailed(_) => {}
            Event::Suspected(s) => self.suspected = s,
            Event::OutOfService(w) => {
                self.out_of_service = w;
                self.retry_queued(now, None, true, out);
            }
            Event::CallAbandoned(call) => drop(self.remove_call(call)),
            Event::Timer(_) => self.on_tick(now, out),
        }
        self.retry_queued(now, None, freed, out);
    }
}
