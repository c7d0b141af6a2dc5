//! Every decision of walnuthatch. The types, events and actions are in `src/routing/interface.rs`.
//!
//! A call goes direct until the direct group is full, then through the next tandem in turn that accepts and
//! keeps headroom on its first leg, else it is refused: see [`Controller::route`].

use crate::routing::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Load (share of a full processor) below which a tandem accepts and a processor passes transit on: the
/// design page's phi.
const PHI: f64 = 0.9;
/// How long a processor counts as pressed after bad news of it, unless good news comes (µs).
const PRESSED: Micros = 10_000_000;
/// The longest that a gate stays shut at a time (the design page's mark; µs).
const MARK: Micros = 3_000_000;
/// How long a way (tandem, destination) that turned a call back is passed over (µs).
const WAY_BACK: Micros = 6_000_000;
/// Plain turns alone decide while this share of them goes through; 0.35 and 0.6 both scored lower.
const LUCK_LEAST: f64 = 0.5;
/// Weight of one turn, or one set-up out long, in such a share.
const LUCK_SMOOTH: f64 = 0.05;
/// A call that met a signalling fault goes again at once while the share of the office's set-ups that do lies
/// between these. Below, the fault is the call's own, and to ask again is work for nothing; above, the office
/// fails all.
const FAULTS_LEAST: f64 = 0.15;
const FAULTS_MOST: f64 = 0.97;
/// Weight of one set-up in that share.
const FAULTS_SMOOTH: f64 = 0.1;
/// From this share on an office is a tandem only where no other one serves.
const FAULTS_TANDEM: f64 = 0.25;
/// Set-ups that any later one overtook are called off while this share of those out long is lost, not slow.
const LOST_LEAST: f64 = 0.6;
/// For how long a way counts as open after the centre named it or a call stood over it (µs).
const WAY_OPEN: Micros = 10_000_000;
/// Wait at a processor that counts as load 1, as a share of the shortest aim: a tandem call crosses three
/// processors and must stay within its aim.
const FULL_WAIT: f64 = 0.4;
/// The same for the own wait, from which on transit is turned back: later than a tandem is passed over, since
/// what two processors did for the call is then lost.
const OWN_FULL: f64 = 0.8;
/// Share of a group kept free on a tandem's first leg: a spilled call takes two circuits, which only pays
/// where direct calls don't need them.
const HEADROOM_SHARE: f64 = 0.03;
/// Circuits kept free there at the least.
const HEADROOM_MIN: f64 = 2.0;
/// Set-ups to a cold office as a multiple of (what pushes over x cold share x own usual rate for an office):
/// about half of what all senders may send, since a warm processor can do some 2.5 times the usual rate.
const COLD_USE: f64 = 1.25;
/// Set-up delays kept to judge the own wait by.
const RECENT: usize = 12;
/// Set-up delays older than this tell nothing of the own wait (µs).
const DELAY_STALE: Micros = 3_000_000;
/// A blocked call waits for a circuit up to this share of its aim, less the set-up delay it would meet.
const HOLD_SHARE: f64 = 0.9;
/// The own processor is not what is silent if another office answered within this (µs).
const OWN_ALIVE: Micros = 1_000_000;
/// A gap between events that shows that this call server stood still: several housekeeping ticks (µs).
const STALL: Micros = 250_000;
/// Housekeeping: held calls, releases, list (µs).
const TICK: Micros = 20_000;
/// A held call is ended at the latest this long before its caller gives up (µs). Danger: it is looked at
/// once in a tick, so that with less than a tick its answer can come after its caller has given up.
const ANSWER_EARLY: Micros = 25_000;
/// An office is silent when its oldest set-up has been out for this share of the mean aim and it has
/// answered nothing since.
const SILENCE: f64 = 0.5;
/// A silent office is shut once chance alone leaves so many set-ups unanswered less often than this. Danger:
/// one that leaves some unanswered is soon silent on a thin link, and calls that it would answer are lost.
const SILENT_CHANCE: f64 = 0.01;
/// Weight of one set-up in the share that an office leaves unanswered.
const LOSSES_SMOOTH: f64 = 0.05;
/// A set-up out for this share of the mean aim, and overtaken by half of that, counts as lost.
const OVERTAKEN: f64 = 0.45;
/// First wait before a shut office is tried again; doubles up to `MARK` (µs).
const RETRY_FIRST: Micros = 500_000;
/// Set-ups that may be out through a fully open gate, where set-ups are few; see `Controller::widest`.
const GATE_WIDEST: f64 = 5.0;
/// The own window never narrows below this: one set-up out at a time leaves the processor idle while the
/// answer travels, and a single lost one stops every call.
const OWN_LEAST: f64 = 2.0;
/// A gate widens by this with each set-up that stood in good time.
const GATE_STEP: f64 = 0.5;
/// A gate narrows to this share when a set-up sent since the last cut was slow.
const GATE_CUT: f64 = 0.6;
/// Set-up delay above which a gate narrows, as a share of the mean aim; level at 0.15, lower at 0.25.
const TARGET: f64 = 0.2;
/// Span over which the usual rate of set-ups is measured (µs).
const USUAL_SPAN: Micros = 8_000_000;
/// A crowded number is left alone for this long after it was busy (µs).
const NUMBER_HOLD: Micros = 3_000_000;
/// Crowded numbers remembered.
const NUMBERS_CAP: usize = 64;
/// Peers are told of the own groups this often (µs): groups change seldom, and each message costs every
/// receiver about a tenth of a set-up.
const TELL_EVERY: Micros = 20_000_000;
/// First byte of a message that tells of groups.
const TELL_GROUPS: u8 = 1;
/// The list is asked for again this long after a failure (on request; µs).
const LIST_RETRY: Micros = 1_000_000;

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for a circuit, a gate or a release: not before, not after.
    Held { from: Micros, until: Micros },
    /// A set-up is out.
    Out { office: usize, since: Micros },
}

#[derive(Clone, Debug)]
struct Call {
    ask: NewCall,
    arrived: Micros,
    deadline: Micros,
    stage: Stage,
    /// Attempts made.
    tries: u32,
    /// Tandems that were tried.
    tried: Vec<usize>,
    /// An attempt may have run.
    ran: bool,
}

/// How many set-ups may be out, toward an office or from the own processor. Widens while set-ups stand
/// quickly, narrows when they are slow, and shuts for a while on a failure, to reopen by a trickle.
/// Danger: answers wait behind new set-ups, so a queue past the aim makes every call late; and marks that
/// expire all at once bring the full share back at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Gate {
    /// Nothing before then.
    shut: Micros,
    /// Set-ups that may be out.
    width: f64,
    /// The next shut lasts this long.
    wait: Micros,
    /// When it was last narrowed.
    cut: Micros,
}

impl Gate {
    const OPEN: Gate = Gate { shut: 0, width: GATE_WIDEST, wait: RETRY_FIRST, cut: 0 };

    fn shut(&mut self, now: Micros, at_least: Micros) {
        if now >= self.shut {
            self.shut = now + self.wait.max(at_least);
            self.wait = (self.wait * 2).min(MARK);
            self.width = 1.0;
        }
    }

    /// It was shut and nothing has stood since.
    fn suspect(&self) -> bool {
        self.wait > RETRY_FIRST
    }

    /// A set-up stood after `took`; `delay` is what it tells of this gate's processor.
    fn stood(&mut self, now: Micros, took: Micros, delay: f64, target: f64, (least, widest): (f64, f64)) {
        self.wait = RETRY_FIRST;
        if delay <= target {
            self.width = (self.width + GATE_STEP).min(widest);
        } else if now - took > self.cut {
            self.width = (self.width * GATE_CUT).max(least);
            self.cut = now;
        }
    }

    fn lets_in(&self, now: Micros, out: usize) -> bool {
        now >= self.shut && (out as f64) < self.width
    }
}

/// What this exchange knows of another. Moments start at 0, the beginning of the clock.
#[derive(Clone, Debug, Default)]
struct Office {
    id: OfficeId,
    exchange: ExchangeNo,
    state: ListState,
    /// Start of the processor, while that matters.
    started: Option<Micros>,
    /// Free circuits and size of the group, less own sends since the last figure.
    group: Option<(f64, f64)>,
    /// As a tandem not accepting until then.
    pressed: Micros,
    /// Set-ups out: when sent, call.
    out: BTreeSet<(Micros, CallId)>,
    /// Last sign of life.
    heard: Micros,
    /// When the latest set-up that stood was sent.
    stood_sent: Micros,
    /// How long the last set-up took that stood or was called off.
    last_took: Micros,
    /// Share of its set-ups that ended in a signalling fault, smoothed.
    faults: f64,
    /// Share of them that was never answered while later ones were, smoothed.
    losses: f64,
    gate: Gate,
    /// While it is cold: since when set-ups are earned, and how much of one was owed then: a random part at
    /// its start, so that senders do not come in step.
    cold_wait: (Micros, f64),
    /// One bit for each exchange that it said to have a group with; empty if it did not say.
    links: Vec<u8>,
}

impl Office {
    fn new(e: &ListEntry, now: Micros) -> Self {
        let (gate, earned) = (Gate::OPEN, (now, 1.0));
        let known = Office { id: e.office, exchange: e.exchange, state: e.state, ..Office::default() };
        Office { started: e.last_start, heard: now, last_took: Micros::MAX, gate, cold_wait: earned, ..known }
    }

    /// Nothing heard since the oldest set-up out was sent, `span` ago or more, nor since this one `woke`.
    fn silent(&self, now: Micros, woke: Micros, span: f64) -> bool {
        self.out.first().is_some_and(|o| (now - o.0.max(woke)) as f64 > span && self.heard <= o.0)
    }

    /// Whether it may well answer, though so many set-ups are unanswered.
    fn by_chance(&self, unanswered: usize) -> bool {
        self.losses.powf(unanswered as f64) >= SILENT_CHANCE
    }

    /// Set-ups out for less than `span`. Danger: older ones are lost or hopeless, and a few lost ones would
    /// fill a window for as long as their callers wait.
    fn waiting(&self, now: Micros, span: f64) -> usize {
        self.out.iter().rev().take_while(|o| (now - o.0) as f64 <= span).count()
    }

    fn free(&self) -> f64 {
        self.group.map_or(f64::INFINITY, |g| g.0)
    }

    /// Whether it may have a group with that exchange.
    fn leads_to(&self, to: ExchangeNo) -> bool {
        self.links.get(usize::from(to.0 / 8)).is_none_or(|bits| bits & (1 << (to.0 % 8)) != 0)
    }

    fn headroom(&self) -> f64 {
        self.group.map_or(0.0, |g| (g.1 * HEADROOM_SHARE).max(HEADROOM_MIN))
    }

    /// How long the oldest set-up has been out. Danger: answers alone are blind to a jam, since the late ones
    /// have not come yet.
    fn age(&self, now: Micros) -> f64 {
        self.out.first().map_or(0.0, |o| (now - o.0) as f64)
    }

    /// Notes whether its processor seems pressed. Danger: with news of it once in several seconds, a slow
    /// tandem would be back in turn before the next; so bad news lasts longer than good news takes to come
    /// where there is traffic, and the first good news ends it.
    fn note_pressed(&mut self, now: Micros, pressed: bool) {
        self.pressed = if pressed { now + PRESSED } else { now };
    }

    /// It failed: nothing for a while, and no tandem for longer.
    fn shut(&mut self, now: Micros, at_least: Micros) {
        self.gate.shut(now, at_least);
        self.note_pressed(now, true);
    }
}

/// What is known of a way: from a tandem on to a destination, by which only the tandem's own groups matter.
/// Danger: where many pairs have no group or a thin one, plain turns meet mostly tandems that have no way on,
/// and each turned-back call is work for two processors.
#[derive(Clone, Copy, Debug)]
struct Way {
    /// Passed over until then, since it turned a call back.
    back: Micros,
    /// When the centre last named it, or a call last stood over it.
    open: Micros,
}

/// Where a call goes now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Route {
    Via(usize),
    /// No way on at present, perhaps soon.
    Blocked,
    /// No way on.
    Closed,
}

/// The decision module of one call server.
#[derive(Debug, Default)]
pub struct Controller {
    settings: Settings,
    calls: BTreeMap<CallId, Call>,
    /// Calls held, in the order of `held_key`.
    held: BTreeSet<(i64, Micros, CallId)>,
    offices: Vec<Office>,
    by_id: BTreeMap<OfficeId, usize>,
    by_exchange: BTreeMap<ExchangeNo, usize>,
    seed: u64,
    /// Next tandem in turn.
    rotor: usize,
    /// Share of plain turns that went through, smoothed.
    luck: f64,
    /// Share of the set-ups out long that were lost rather than slow, smoothed.
    lost: f64,
    /// Ways to each destination, by tandem.
    ways: BTreeMap<(ExchangeNo, usize), Way>,
    numbers: BTreeMap<u64, Micros>,
    /// Own set-ups of the last while.
    sent: VecDeque<Micros>,
    born: Option<Micros>,
    listed: bool,
    /// Offices in service.
    ready: usize,
    list_due: Option<Micros>,
    tell_due: Option<Micros>,
    shortest_aim: Micros,
    mean_aim: f64,
    own_gate: Gate,
    /// The last set-ups that stood: when, and after how long.
    recent: VecDeque<(Micros, Micros)>,
    /// Last sign of life of any office.
    heard: Micros,
    /// When the latest set-up that stood was sent.
    stood_sent: Micros,
    /// Longest patience of a first try, by class.
    patience: BTreeMap<usize, Micros>,
    /// The last event; the last waking after standing still, and for how long that was.
    last: Micros,
    woke: Micros,
    stood_still: Micros,
    /// Offices with set-ups out.
    busy: BTreeSet<usize>,
    /// What operators took out of service.
    withdrawn: Withdrawn,
    /// What others' evidence speaks against.
    suspected: BTreeSet<ExchangeNo>,
    /// The exchange that each peer speaks for.
    voices: BTreeMap<PeerNo, ExchangeNo>,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.aim);
        Controller {
            shortest_aim: aims.clone().min().unwrap_or(1_000_000).max(1),
            mean_aim: aims.sum::<Micros>() as f64 / settings.classes.len().max(1) as f64,
            own_gate: Gate::OPEN,
            rotor: (seed >> 32) as usize,
            luck: 1.0,
            lost: 0.5,
            settings,
            seed,
            ..Controller::default()
        }
    }

    /// Takes one event and adds what is to be done about it to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.born.is_none() {
            self.born = Some(now);
            self.list_due = (self.settings.membership == Membership::OnRequest).then_some(now);
            let first = now + TICK + (self.seed % (TELL_EVERY / 20) as u64) as Micros;
            self.tell_due = self.settings.may_tell.then_some(first);
            out.push(Action::SetTimer { after: TICK, token: 0 });
        }
        // Danger: a call server that stood still takes its own silence for that of the offices, and what
        // waited for it for slow.
        if now - self.last > STALL {
            (self.woke, self.stood_still) = (now, now - self.last);
        }
        self.last = now;
        // Danger: what is tried again on every event costs more the more offices there are. Held calls wait
        // for a circuit (the group changes) or a place of the own window; the rest shows on a tick.
        let full = !self.own_gate.lets_in(now, self.own_out(now));
        let freed = full && matches!(event, Event::Stands { .. } | Event::Ended(_));
        match event {
            Event::List(news) => self.on_list(now, news),
            Event::Call(ask) => self.on_call(now, ask, out),
            Event::Stands { call, office, took, .. } => self.on_stands(now, call, office, took),
            Event::Ended(o) => self.on_ended(now, o, out),
            Event::Group { office, report } => {
                if let Some(&i) = self.by_id.get(&office) {
                    self.note_report(now, i, report);
                    self.serve_held(now, Some(i), !full, out);
                }
            }
            Event::Peer { from, body } => self.on_peer(from, &body),
            Event::ProbeFailed(_) => {}
            Event::Suspected(s) => self.suspected = s,
            Event::Withdrawn(w) => {
                self.withdrawn = w;
                self.serve_held(now, None, true, out);
            }
            Event::CallerGone(call) => drop(self.forget(call)),
            Event::Timer(_) => self.on_tick(now, out),
        }
        self.serve_held(now, None, freed, out);
    }

    // ---- Own processor ----

    /// Own wait, seen as the lower quartile of the last set-up delays, since own slowness is part of each; or
    /// the time that set-ups have been out with no answer at all, since a jam has no answers to tell of it.
    pub fn own_delay(&self, now: Micros) -> f64 {
        let mut delays = [0; RECENT];
        let fresh = self.recent.iter().filter(|r| now - r.0 < DELAY_STALE);
        let n = delays.iter_mut().zip(fresh).map(|(d, r)| *d = r.1).count();
        delays[..n].sort_unstable();
        let usual = delays[n / 4];
        let oldest = self.busy.iter().filter_map(|&i| self.offices[i].out.first()).map(|o| o.0).min();
        usual.max(oldest.map_or(0, |sent| now - sent.max(self.heard).max(self.woke))) as f64
    }

    /// Set-ups out that the own processor may be holding up: not those toward an office that is silent while
    /// others answer. Danger: a hung office or a cut zone fills the own window and stops every call.
    fn own_out(&self, now: Micros) -> usize {
        let alive = now - self.heard < OWN_ALIVE;
        let silent = |o: &Office| o.gate.suspect() || o.silent(now, self.woke, SILENCE * self.mean_aim);
        let counted = self.busy.iter().map(|&i| &self.offices[i]).filter(|o| !alive || !silent(o));
        counted.map(|o| o.waiting(now, self.mean_aim)).sum()
    }

    // ---- Guards on the office view ----

    /// Whether the office may be sent anything at all: on the list, its gate open, its cold budget unspent.
    fn takes_setups(&self, now: Micros, i: usize) -> bool {
        let o = &self.offices[i];
        // Danger: a suspicion may be wrong, and only an answer shows it: one set-up at a time goes on.
        let most = if self.suspected.contains(&o.exchange) { 0 } else { usize::MAX };
        let waiting = o.waiting(now, self.mean_aim);
        o.state == ListState::Ready
            && waiting <= most
            && o.gate.lets_in(now, waiting)
            && self.cold_credit(now, o).is_none_or(|c| c >= 0.0)
    }

    /// Set-ups that a cold office may be sent by now, less one: below 0 none; `None` once it is warm.
    /// Danger: a processor fresh from start falls over. Each sender earns them by the share of its usual rate
    /// that the processor can surely do: one at once from each would be too many where senders are many.
    fn cold_credit(&self, now: Micros, o: &Office) -> Option<f64> {
        let (since, owed) = o.cold_wait;
        let share = self.cold_share(now, o)? * self.settings.overload_factor * COLD_USE;
        Some((now - since) as f64 * self.usual_rate(now) * share - owed)
    }

    /// The next random number, from 0 to 1.
    fn chance(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Share of its capacity that a starting processor surely has; `None` once it is warm.
    fn cold_share(&self, now: Micros, o: &Office) -> Option<f64> {
        let age = now - o.started?;
        let done = age as f64 / self.settings.cold.max(1) as f64;
        (done < 1.0).then_some(self.settings.cold_from + (1.0 - self.settings.cold_from) * done)
    }

    /// Own set-ups per µs and office, as of late.
    fn usual_rate(&self, now: Micros) -> f64 {
        let span = (now - self.born.unwrap_or(now)).clamp(1_000_000, USUAL_SPAN);
        self.sent.len() as f64 / span as f64 / self.ready.max(1) as f64
    }

    /// Set-ups that may be out through a fully open gate: as many as are sent within the target delay, at
    /// the least `GATE_WIDEST`. Danger: a fixed window caps the rate at its width over the set-up delay, and
    /// a site with many quick set-ups turns calls away that its processors and circuits could take.
    fn widest(&self, now: Micros) -> f64 {
        let own = self.usual_rate(now) * self.ready.max(1) as f64;
        GATE_WIDEST.max(own * TARGET * self.mean_aim)
    }

    /// The design's "accepting": not pressed by the last news of its processor, nor by a set-up out long.
    fn accepting(&self, now: Micros, o: &Office) -> bool {
        now >= o.pressed && o.age(now) <= PHI * FULL_WAIT * self.shortest_aim as f64
    }

    // ---- The design: choice of the route ----

    /// Direct while the group has room; then the next tandem in turn that accepts, keeps headroom on its
    /// first leg and did not just turn such a call back; else none. In transit: on, or back.
    fn route(&mut self, now: Micros, call: &Call) -> Route {
        let ask = &call.ask;
        let width = f64::from(ask.width);
        let Some(&direct) = self.by_exchange.get(&ask.destination) else { return Route::Closed };
        // Danger: a call for what will not come back soon would wait, and be refused at its end.
        if self.withdrawn.all || self.withdrawn.exchanges.contains(&ask.destination) {
            return Route::Closed;
        }
        // Danger: while another call server restarts, calls of its subscribers come here, some of them for
        // this exchange. Nothing may be sent to the own one, but a tandem has a group back to it.
        let own = Some(ask.destination) == self.settings.own;
        if own && (ask.transit || ask.redialled) || !self.skilled(ask, ask.destination) {
            return Route::Closed;
        }
        let open = !own && self.takes_setups(now, direct);
        let d = &self.offices[direct];
        if ask.transit {
            let room = d.group.is_none_or(|g| g.0 >= width && 1.0 - g.0 / g.1.max(1.0) <= PHI);
            let pressed = self.own_delay(now) > PHI * OWN_FULL * self.shortest_aim as f64;
            return if open && room && !pressed { Route::Via(direct) } else { Route::Closed };
        }
        // Danger: redials, past their aim, fill the window before first tries.
        let spare = usize::from(ask.redialled);
        if !self.own_gate.lets_in(now, self.own_out(now) + spare) {
            return Route::Blocked;
        }
        let room = open && d.free() >= width + if ask.redialled { d.headroom() } else { 0.0 };
        // Danger: where most set-ups meet a fault, a call has too few tries. The last one goes over a tandem,
        // whose call server asks as often again.
        let last = call.tries + 1 == self.settings.try_limit && d.faults >= FAULTS_LEAST && !ask.redialled;
        if room && !last {
            return Route::Via(direct);
        }
        if self.settings.shape == Shape::Mesh && (!open && !own || ask.redialled) {
            return Route::Blocked;
        }
        let turn = self.rotor % self.offices.len();
        let mut plain = (turn..self.offices.len()).chain(0..turn);
        let found = if self.luck >= LUCK_LEAST {
            let trusted = |o: &Office| o.faults < FAULTS_TANDEM && !self.suspected.contains(&o.exchange);
            let sound = |&i: &usize| trusted(&self.offices[i]) && self.serves(now, i, call);
            let any = plain.clone();
            plain.find(sound).or_else(|| any.into_iter().find(|&i| !last && self.serves(now, i, call)))
        } else {
            // Danger: where few plain turns go through, each is work for two processors. Then the turn is
            // over the ways known to be open, and plain only for a first try while none is known.
            let to = ask.destination;
            let (on, before) =
                (self.ways.range((to, turn)..=(to, usize::MAX)), self.ways.range((to, 0)..(to, turn)));
            let mut known = on.chain(before).filter(|w| now - w.1.open < WAY_OPEN).map(|w| w.0 .1).peekable();
            if known.peek().is_none() && call.tried.is_empty() {
                plain.find(|&i| self.serves(now, i, call))
            } else {
                known.find(|&i| self.serves(now, i, call))
            }
        };
        match found {
            Some(i) => {
                self.rotor = i + 1;
                Route::Via(i)
            }
            None if room => Route::Via(direct),
            None => Route::Blocked,
        }
    }

    /// Whether the call may take that tandem (or pool of second choice) now.
    fn serves(&self, now: Micros, i: usize, call: &Call) -> bool {
        let (ask, t) = (&call.ask, &self.offices[i]);
        t.exchange != ask.destination
            && Some(t.exchange) != self.settings.own
            && self.skilled(ask, t.exchange)
            && t.group.is_some_and(|g| g.0 >= self.least_free(ask, g.1) + t.headroom())
            && !call.tried.contains(&i)
            && t.leads_to(ask.destination)
            && self.ways.get(&(ask.destination, i)).is_none_or(|w| now >= w.back)
            && self.accepting(now, t)
            && self.takes_setups(now, i)
    }

    /// Free circuits that a call needs of a tandem's group of that size, beside the headroom. Back to the own
    /// exchange it takes as many again, and the tandem turns it back when the group is busier than it may be.
    fn least_free(&self, ask: &NewCall, size: f64) -> f64 {
        let width = f64::from(ask.width);
        let back = Some(ask.destination) == self.settings.own;
        width + if back { width + (1.0 - PHI) * size } else { 0.0 }
    }

    /// Notes how a call to there over that tandem went, as far as the tandem's own groups decided it.
    fn note_turn(&mut self, now: Micros, to: ExchangeNo, tandem: usize, stood: bool) {
        if self.ways.get(&(to, tandem)).is_none_or(|w| now - w.open >= WAY_OPEN) {
            self.luck += LUCK_SMOOTH * (f64::from(u8::from(stood)) - self.luck);
        }
        if stood {
            self.note_open(now, to, tandem);
        } else {
            self.ways.insert((to, tandem), Way { back: now + WAY_BACK, open: now - WAY_OPEN });
        }
    }

    /// Notes that the way over that tandem is open.
    fn note_open(&mut self, now: Micros, to: ExchangeNo, tandem: usize) {
        self.ways.entry((to, tandem)).or_insert(Way { back: 0, open: now }).open = now;
    }

    /// Whether the class may go to that pool (always, between exchanges).
    fn skilled(&self, ask: &NewCall, exchange: ExchangeNo) -> bool {
        let pools = self.settings.classes.get(ask.class).map_or(&[][..], |c| &c.pools);
        self.settings.shape == Shape::Mesh || pools.is_empty() || pools.contains(&exchange)
    }

    // ---- Calls ----

    fn aim(&self, ask: &NewCall) -> Micros {
        self.settings.classes.get(ask.class).map_or(self.shortest_aim, |c| c.aim)
    }

    fn on_call(&mut self, now: Micros, mut ask: NewCall, out: &mut Vec<Action>) {
        let id = ask.call;
        let cap = self.settings.open_cap as usize;
        // Danger: a flood to one number with few lines takes circuits and work from all other calls.
        let crowded = ask.number.and_then(|n| self.numbers.get(&n)).is_some_and(|&until| now < until);
        if crowded || (cap > 0 && self.calls.len() + 1 >= cap) {
            return out.push(Action::Refuse { call: id, pause: 0 });
        }
        let mut arrived = now;
        if !ask.transit && !ask.redialled {
            // Danger: on waking, calls that waited past their aim drown the new ones. The patience that is
            // left tells for how long; past its aim a call earns no more than a redial.
            let fullest = self.patience.entry(ask.class).or_insert(0);
            *fullest = ask.patience.max(*fullest);
            if now == self.woke {
                arrived = now - (*fullest - ask.patience).min(self.stood_still);
                ask.redialled = now - arrived > self.aim(&ask);
            }
        }
        let deadline = now.saturating_add(ask.patience.max(0));
        let until = (arrived + (HOLD_SHARE * self.aim(&ask) as f64) as Micros).min(deadline - ANSWER_EARLY);
        let stage = Stage::Held { from: now, until };
        if let Some(&i) = ask.via.filter(|_| !ask.transit).and_then(|t| self.by_exchange.get(&t)) {
            self.note_open(now, ask.destination, i);
        }
        let call = Call { ask, arrived, deadline, stage, tries: 0, tried: Vec::new(), ran: false };
        self.calls.insert(id, call);
        self.try_call(now, id, out);
    }

    /// Sends a held call on if there is a route; else leaves it held, or ends it.
    fn try_call(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).cloned() else { return };
        let Stage::Held { from, until } = call.stage else { return };
        let spent = self.settings.try_limit > 0 && call.tries >= self.settings.try_limit;
        let route = if now < from {
            Route::Blocked
        } else if spent || (call.ran && self.guarded(&call)) || now >= call.deadline - self.settings.tick {
            Route::Closed
        } else {
            self.route(now, &call)
        };
        match route {
            Route::Via(office) => self.send(now, id, office, out),
            // Danger: a call that waits for its release has one chance, at its end; the nearer that is
            // the less time seems left.
            Route::Blocked
                if now < from && self.own_delay(now) <= TARGET * self.mean_aim
                    || now + (self.own_delay(now) as Micros) < until && !call.ask.transit =>
            {
                self.held.insert(self.held_key(&call));
            }
            Route::Blocked | Route::Closed => self.refuse(now, id, out),
        }
    }

    fn guarded(&self, call: &Call) -> bool {
        self.settings.classes.get(call.ask.class).is_some_and(|c| c.effect == Effect::Guarded)
    }

    /// Dearest first by what the call can still earn, then oldest. Danger: redials, past the aim of their
    /// first try, take each freed circuit before first tries, which then come late too.
    fn held_key(&self, call: &Call) -> (i64, Micros, CallId) {
        let earns = |c: &Class| if call.ask.redialled { c.worth * c.late_worth } else { c.worth };
        let worth = self.settings.classes.get(call.ask.class).map_or(1.0, earns);
        (-((worth * 1000.0) as i64), call.arrived, call.ask.call)
    }

    fn send(&mut self, now: Micros, id: CallId, office: usize, out: &mut Vec<Action>) {
        let Some(key) = self.calls.get(&id).map(|c| self.held_key(c)) else { return };
        self.held.remove(&key);
        // What was earned beyond this one is kept, up to one more.
        let spare = self.cold_credit(now, &self.offices[office]).unwrap_or(0.0).clamp(0.0, 1.0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let o = &mut self.offices[office];
        // Danger: a set-up lost to a dead office keeps the one place that a narrow gate has.
        let timeout = o.gate.suspect().then_some(self.shortest_aim);
        if o.exchange != call.ask.destination {
            call.tried.push(office);
        }
        call.tries += 1;
        call.stage = Stage::Out { office, since: now };
        if let Some(g) = &mut o.group {
            g.0 -= f64::from(call.ask.width);
        }
        o.out.insert((now, id));
        self.busy.insert(office);
        o.cold_wait = (now, 1.0 - spare);
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|&t| now - t >= USUAL_SPAN) {
            self.sent.pop_front();
        }
        out.push(Action::SetUp { call: id, office: o.id, timeout });
    }

    /// Ends a call that this controller still owes an answer.
    fn refuse(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.forget(id) else { return };
        let late = now >= call.deadline - self.settings.tick;
        let fail = late || (call.ran && self.guarded(&call));
        out.push(if fail {
            Action::Fail(id)
        } else {
            Action::Refuse { call: id, pause: self.settings.max_pause }
        });
    }

    /// Drops all that is kept of a call.
    fn forget(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.held.remove(&self.held_key(&call));
        if let Stage::Out { office, since } = call.stage {
            self.back_in(office, since, id);
        }
        Some(call)
    }

    /// A set-up is out no more.
    fn back_in(&mut self, office: usize, since: Micros, id: CallId) {
        let out = &mut self.offices[office].out;
        out.remove(&(since, id));
        if out.is_empty() {
            self.busy.remove(&office);
        }
    }

    // ---- Outcomes ----

    fn on_stands(&mut self, now: Micros, id: CallId, office: OfficeId, took: Micros) {
        let (target, widest) = (TARGET * self.mean_aim, self.widest(now));
        let took = if now == self.woke { (took - self.stood_still).max(0) } else { took };
        let quick = took as f64 <= PHI * FULL_WAIT * self.shortest_aim as f64;
        if let Some(&i) = self.by_id.get(&office) {
            let o = &mut self.offices[i];
            o.heard = now;
            self.heard = now;
            self.recent.push_back((now, took));
            self.recent.drain(..self.recent.len().saturating_sub(RECENT));
            o.stood_sent = o.stood_sent.max(now - took);
            o.last_took = took;
            o.faults -= FAULTS_SMOOTH * o.faults;
            o.losses -= LOSSES_SMOOTH * o.losses;
            self.stood_sent = self.stood_sent.max(now - took);
            // One that stands at once when sent again was lost before; one that stands late was slow.
            let late = took as f64 > OVERTAKEN * self.mean_aim;
            if late || self.calls.get(&id).is_some_and(|c| c.ran) {
                self.lost += LUCK_SMOOTH * (f64::from(u8::from(!late)) - self.lost);
            }
            o.gate.stood(now, took, took as f64, target, (1.0, widest));
            self.own_gate.stood(now, took, self.own_delay(now), target, (OWN_LEAST, widest));
            let to = self.calls.get(&id).map(|c| c.ask.destination);
            let beyond = to.filter(|&to| to != self.offices[i].exchange);
            if quick || beyond.is_none() {
                self.offices[i].note_pressed(now, !quick);
            }
            if let Some(to) = beyond {
                self.note_turn(now, to, i, true);
            }
        }
        self.forget(id);
    }

    fn on_ended(&mut self, now: Micros, o: Outcome, out: &mut Vec<Action>) {
        if let Some(&i) = self.by_id.get(&o.office) {
            self.note_report(now, i, o.report);
        }
        let last = self.calls.get(&o.call).filter(|c| c.tries == u32::from(o.attempt.0) + 1);
        let Some(Stage::Out { office, since }) = last.map(|c| c.stage) else { return };
        self.back_in(office, since, o.call);
        self.judge(now, office, &o);
        if o.over {
            return drop(self.forget(o.call));
        }
        let unclear = matches!(o.ending, Ending::TimedOut | Ending::Reset | Ending::CalledOff);
        let release = if unclear { self.settings.release + self.settings.tick } else { 0 };
        let aim = self.calls.get(&o.call).map_or(self.shortest_aim, |c| self.aim(&c.ask));
        let Some(call) = self.calls.get_mut(&o.call) else { return };
        call.ran |= !matches!(o.ending, Ending::Full | Ending::Unreachable | Ending::NotSent);
        let direct = self.offices[office].exchange == call.ask.destination;
        let faults = self.offices[office].faults;
        if o.ending == Ending::Fault {
            // It tells nothing of the way: the same tandem may be asked again.
            call.tried.retain(|&t| t != office);
        }
        let again = match (o.ending, o.cause) {
            (Ending::Full, Cause::FarProcessorFull) | (_, Cause::LinesBusy) => false,
            (Ending::NotSent, Cause::NoCircuit) => true,
            (Ending::Full, _) => !direct || self.settings.shape == Shape::Pools,
            // Danger: an exchange that fails part of its set-ups at once would have each of them refused, and
            // its caller dial again only after a wait.
            (Ending::Fault, _) => (FAULTS_LEAST..FAULTS_MOST).contains(&faults),
            _ => unclear,
        };
        let hold = call.arrived + (HOLD_SHARE * aim as f64) as Micros;
        let until = hold.max(now + release + 1).min(call.deadline - ANSWER_EARLY);
        if again && now + release < until.max(now + 1) && !(call.ask.transit && release > 0) {
            call.stage = Stage::Held { from: now + release, until };
            if o.ending == Ending::NotSent {
                if let Some(g) = &mut self.offices[office].group {
                    g.0 = g.0.min(0.0);
                }
            }
            self.try_call(now, o.call, out);
        } else {
            self.refuse(now, o.call, out);
        }
    }

    /// What an outcome tells of the office it came from.
    fn judge(&mut self, now: Micros, i: usize, o: &Outcome) {
        let destination = self.calls.get(&o.call).map(|c| c.ask.destination);
        let office = &mut self.offices[i];
        if !matches!(o.ending, Ending::TimedOut | Ending::Unreachable | Ending::NotSent | Ending::CalledOff) {
            office.heard = now;
            self.heard = now;
        }
        // Danger: callers who wait for less than a set-up takes would have each office shut in turn.
        let waited = o.took as f64 > SILENCE * self.mean_aim;
        if o.ending == Ending::TimedOut && waited {
            self.lost += LUCK_SMOOTH * (1.0 - self.lost);
        }
        let overtaken = office.stood_sent > now - o.took;
        if overtaken && (o.ending == Ending::CalledOff || o.ending == Ending::TimedOut && waited) {
            office.losses += LOSSES_SMOOTH * (1.0 - office.losses);
        }
        match (o.ending, o.cause) {
            (Ending::Full, Cause::TurnedBack) => {
                // One turned back for its destination's faults tells nothing of the way.
                let faults =
                    |d: &ExchangeNo| self.by_exchange.get(d).map_or(0.0, |&f| self.offices[f].faults);
                if let Some(d) = destination.filter(|d| faults(d) < FAULTS_LEAST) {
                    self.note_turn(now, d, i, false);
                }
            }
            (Ending::Full, Cause::FarProcessorFull) => {
                if let Some(&f) = destination.and_then(|d| self.by_exchange.get(&d)) {
                    self.offices[f].shut(now, 0);
                }
            }
            (Ending::Full, Cause::ProcessorFull(wait)) => {
                office.shut(now, wait.unwrap_or(0).min(MARK));
            }
            (Ending::CalledOff, _) => office.last_took = o.took,
            // Danger: an answer was lost, but the office works: it answered what was sent later.
            (Ending::TimedOut, _) if !waited || overtaken || office.by_chance(office.out.len() + 1) => {}
            (Ending::Unreachable | Ending::TimedOut, _) => office.shut(now, 0),
            (Ending::Fault, Cause::None) => office.faults += FAULTS_SMOOTH * (1.0 - office.faults),
            (_, Cause::LinesBusy) => {
                let number = self.calls.get(&o.call).and_then(|c| c.ask.number);
                if let Some(n) = number.filter(|_| self.numbers.len() < NUMBERS_CAP) {
                    self.numbers.insert(n, now + NUMBER_HOLD);
                }
            }
            _ => {}
        }
    }

    fn note_report(&mut self, now: Micros, i: usize, r: LoadReport) {
        let full = FULL_WAIT * self.shortest_aim as f64;
        let o = &mut self.offices[i];
        if let (Some(free), Some(size)) = (r.free, r.size) {
            o.group = Some((free, size));
        }
        if r.wait.is_some() || r.busy.is_some() || r.cut_by.is_some() {
            let load = r.wait.map_or(0.0, |w| w as f64 / full).max(r.busy.unwrap_or(0.0));
            o.note_pressed(now, load >= PHI || r.cut_by.is_some_and(|c| c > 0.0));
        }
    }

    /// Tries held calls again, those toward one office or all, where what they wait for has changed.
    fn serve_held(&mut self, now: Micros, toward: Option<usize>, changed: bool, out: &mut Vec<Action>) {
        if !changed {
            return;
        }
        let to = toward.map(|i| self.offices[i].exchange);
        let wanted = |c: &Call| to.is_none_or(|to| c.ask.destination == to);
        let waiting = self.held.iter().map(|h| h.2).filter(|id| self.calls.get(id).is_some_and(wanted));
        for id in waiting.collect::<Vec<_>>() {
            self.try_call(now, id, out);
        }
    }

    // ---- Peers ----

    /// Tells the peers which exchanges this one has groups with, where some have none. Danger: a call by a
    /// tandem without a group onward is turned back, and nothing but trying shows it. Nothing rests on the
    /// message: without it tandems are tried in turn.
    fn tell_groups(&self, out: &mut Vec<Action>) {
        let Some(own) = self.settings.own else { return };
        let mut body = vec![TELL_GROUPS];
        body.extend(own.0.to_be_bytes());
        let mut lacking = false;
        for o in self.offices.iter().filter(|o| o.state != ListState::Gone && o.exchange != own) {
            let at = 3 + usize::from(o.exchange.0 / 8);
            body.resize(body.len().max(at + 1), 0);
            let linked = o.group.is_some_and(|g| g.1 >= 1.0);
            body[at] |= u8::from(linked) << (o.exchange.0 % 8);
            lacking |= !linked;
        }
        if lacking && body.len() <= 256 {
            out.push(Action::Tell { to: None, body });
        }
    }

    fn on_peer(&mut self, from: PeerNo, body: &[u8]) {
        if let [TELL_GROUPS, high, low, links @ ..] = body {
            let named = ExchangeNo(u16::from_be_bytes([*high, *low]));
            // Danger: one peer could speak for another's exchange.
            let bound = *self.voices.entry(from).or_insert(named) == named
                && !self.voices.iter().any(|(p, e)| *p != from && *e == named);
            if let Some(&i) = self.by_exchange.get(&named).filter(|_| bound) {
                self.offices[i].links = links.to_vec();
            }
        }
    }

    // ---- The list and the clock ----

    fn on_list(&mut self, now: Micros, news: ListNews) {
        let (entries, complete) = match news {
            ListNews::Failed => {
                self.list_due = Some(now + LIST_RETRY);
                return;
            }
            ListNews::Changes(e) => (e, false),
            ListNews::Complete(e) | ListNews::Cached(e) => (e, true),
        };
        for e in entries.iter() {
            self.on_entry(now, e);
        }
        if complete {
            let named: BTreeSet<OfficeId> = entries.iter().map(|e| e.office).collect();
            for o in &mut self.offices {
                if !named.contains(&o.id) {
                    o.state = ListState::Gone;
                }
            }
        }
        self.listed = true;
        self.ready = self.offices.iter().filter(|o| o.state == ListState::Ready).count();
        self.by_exchange.clear();
        for (i, o) in self.offices.iter().enumerate() {
            let better = |&j: &usize| self.offices[j].state == ListState::Ready;
            if !self.by_exchange.get(&o.exchange).is_some_and(better) {
                self.by_exchange.insert(o.exchange, i);
            }
        }
    }

    fn on_entry(&mut self, now: Micros, e: &ListEntry) {
        let part = self.chance();
        let known = self.by_id.get(&e.office).copied();
        let i = known.unwrap_or_else(|| {
            // Danger: replaced machines would fill the table for good; one that is gone gives up its place.
            let gone = self.offices.iter().position(|o| o.state == ListState::Gone && o.out.is_empty());
            let i = gone.unwrap_or(self.offices.len());
            let mut office = Office::new(e, now);
            // One that was not there before may be fresh from start.
            office.started = e.last_start.or(self.listed.then_some(now));
            office.cold_wait.1 = part;
            if gone.is_some() {
                self.by_id.remove(&self.offices[i].id);
                self.ways.retain(|way, _| way.1 != i);
                self.offices[i] = office;
            } else {
                self.offices.push(office);
            }
            self.by_id.insert(e.office, i);
            i
        });
        let o = &mut self.offices[i];
        o.state = e.state;
        o.exchange = e.exchange;
        if e.last_start.is_some() && e.last_start != o.started {
            // Restarted: what was known of the old processor is void.
            o.started = e.last_start;
            o.cold_wait = (now, part);
            o.gate = Gate { width: 1.0, ..Gate::OPEN };
            o.pressed = now;
        }
    }

    /// Danger: a set-up whose answer was lost keeps its call waiting to the end. One that later ones have
    /// long overtaken is called off, and goes again after the release: later ones to the same office, or to
    /// any if the last one here was quick, and of late those out so long were lost rather than slow.
    fn call_off_lost(&self, now: Micros, out: &mut Vec<Action>) {
        let patience = (OVERTAKEN * self.mean_aim) as Micros;
        let busy = self.busy.iter().map(|&i| &self.offices[i]);
        for o in busy.filter(|_| self.settings.may_call_off && now - self.woke > patience) {
            let any = o.last_took < patience / 2 && self.lost >= LOST_LEAST;
            let newest = if any { self.stood_sent } else { o.stood_sent };
            let lost = |s: &&(Micros, CallId)| now - s.0 > patience && newest - s.0 > patience / 2;
            for call in o.out.iter().take_while(lost).filter_map(|s| self.calls.get(&s.1)) {
                if !call.ask.transit && !self.guarded(call) {
                    let attempt = AttemptNo((call.tries - 1) as u8);
                    out.push(Action::CallOff { call: call.ask.call, attempt });
                }
            }
        }
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK, token: 0 });
        if self.list_due.is_some_and(|due| now >= due) {
            self.list_due = None;
            out.push(Action::Subscribe);
        }
        if self.tell_due.is_some_and(|due| now >= due) {
            self.tell_due = Some(now + TELL_EVERY);
            self.tell_groups(out);
        }
        let silence = SILENCE * self.mean_aim;
        let hangs = |o: &Office| o.silent(now, self.woke, silence) && !o.by_chance(o.out.len());
        for o in self.offices.iter_mut().filter(|o| hangs(o)) {
            o.shut(now, 0);
        }
        self.call_off_lost(now, out);
        self.ways.retain(|_, w| w.back > now || now - w.open < WAY_OPEN);
        self.numbers.retain(|_, until| *until > now);
        self.serve_held(now, None, true, out);
    }
}
