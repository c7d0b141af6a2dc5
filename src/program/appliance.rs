//! The appliance: drains, figures, alarms and operators' programs, as one subsystem of the switchboard.
//!
//! It is told what happens ([`Appliance::observe`], [`Appliance::take`], [`Appliance::look`]) and says what is to be
//! done ([`Appliance::take_outputs`]). It decides nothing about a call: what is out of service reaches the decision
//! module through the ledger, as an event of its interface.

use super::alarms::{self, Marks};
use super::appliance_file::ApplianceConfig;
use super::gossip::Gossip;
use super::log::Log;
use super::views::{Loads, Scene, CALLS};
use crate::routing::interface::{Cause, Ending, ExchangeNumber, Micros, OutOfService};
use crate::routing::ledger::{Answer, LastAttempt, Ledger, Output as LedgerOutput};
use crate::transport::ControlNews;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use walnuthatch_control::frames::{self, Body, Operation, Topic};
use walnuthatch_control::sessions::{self, ClientId, PendingRequest, Sessions};
use walnuthatch_control::views::{self, Event};
use walnuthatch_drains::drain::{AtLimit, Drain, State};
use walnuthatch_drains::impact::Traffic;
use walnuthatch_drains::plan::{Plan, Stage};
use walnuthatch_drains::registry::{self, Command, DrainEvent, DrainRegistry, WaiterId};
use walnuthatch_drains::saved::Saved;
use walnuthatch_drains::target::{Exchange, Health, Now, Site, Target};
use walnuthatch_drains::SECOND;
use walnuthatch_metrics::alarms::{AlarmChange, Alarms};
use walnuthatch_metrics::delays::{MetricsByExchange, Quantiles, RollingHistogram};
use walnuthatch_metrics::service::{CallOutcome, ServiceWindows, OUTCOMES, WINDOWS};

/// Events kept for whoever asks later.
const EVENTS: usize = 512;
/// Bytes handed to one connection at a time.
const BATCH: usize = 64 * 1024;
/// Seconds of history in the view of the service.
const HISTORY: usize = 60;

/// What is to be done.
#[derive(Debug)]
pub enum Output {
    /// This is out of service from now on.
    Withdraw(OutOfService),
    /// Release the calls that stand there.
    Cut(Target),
    /// Bring groups back a little more.
    Reopen,
    /// Write the state.
    Save(u64, Box<Saved>),
    /// Stop the program.
    Stop,
    /// Come back then.
    Wake(Micros),
}

/// The appliance's state.
pub struct Appliance {
    book: DrainRegistry,
    traffic: Traffic,
    service: ServiceWindows,
    answers: RollingHistogram,
    exchanges: MetricsByExchange,
    alarms: Alarms,
    marks: Marks,
    links: BTreeSet<(ExchangeNumber, ExchangeNumber)>,
    sessions: Sessions,
    /// One message at a time may be on its way to each program.
    queues: HashMap<ClientId, Sender<Vec<u8>>>,
    waiters: BTreeMap<WaiterId, (ClientId, String)>,
    next_waiter: WaiterId,
    events: VecDeque<Event>,
    event_number: u64,
    log: Option<Rc<Log>>,
    log_lost: u64,
    keeps: bool,
    abandoned: u64,
    /// The second that was last looked at.
    second: Micros,
    /// When it is to be looked at next.
    next: Micros,
    out: Vec<Output>,
}

impl std::fmt::Debug for Appliance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Appliance").field("book", &self.book).finish_non_exhaustive()
    }
}

fn exchanges(of: &BTreeSet<Exchange>) -> BTreeSet<ExchangeNumber> {
    of.iter().map(|e| ExchangeNumber(e.0)).collect()
}

fn millis(span: Micros) -> f64 {
    span as f64 / 1000.0
}

fn seconds(span: Micros) -> u64 {
    u64::try_from(span / SECOND).unwrap_or(0)
}

impl Appliance {
    /// The appliance at the start, with the state of an earlier life.
    pub fn new(
        now: Now,
        config: &ApplianceConfig,
        own: Option<ExchangeNumber>,
        drain_grace: Micros,
        saved: Option<Saved>,
        log: Option<Rc<Log>>,
    ) -> Self {
        let policy = walnuthatch_drains::policy::Policy { grace: drain_grace, ..config.policy.clone() };
        let keeps = config.folder.is_some();
        let mut book = DrainRegistry::new(policy, config.windows.clone(), own.map(|o| Exchange(o.0)), keeps);
        if let Some(saved) = saved {
            book.resume(now, saved);
        }
        let mut appliance = Appliance {
            book,
            traffic: Traffic::default(),
            service: ServiceWindows::new(now.steady),
            answers: RollingHistogram::default(),
            exchanges: MetricsByExchange::default(),
            alarms: Alarms::default(),
            marks: config.alarms,
            links: config.links.clone(),
            sessions: Sessions::default(),
            queues: HashMap::new(),
            waiters: BTreeMap::new(),
            next_waiter: 0,
            events: VecDeque::new(),
            event_number: 0,
            log,
            log_lost: 0,
            keeps,
            abandoned: 0,
            second: now.steady,
            next: now.steady,
            out: vec![Output::Wake(now.steady)],
        };
        appliance.follow_book(now);
        appliance
    }

    /// Takes over what a running program can follow.
    pub fn reload(&mut self, config: &ApplianceConfig, drain_grace: Micros) {
        let policy = walnuthatch_drains::policy::Policy { grace: drain_grace, ..config.policy.clone() };
        self.book.reload(policy, config.windows.clone());
        self.marks = config.alarms;
        self.links.clone_from(&config.links);
        if let (Some(log), Some(filter)) = (&self.log, &config.log_filter) {
            // It was checked when the file was read.
            let _ = log.set(filter);
        }
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Whether this controller's tests fail by order.
    pub fn fails_tests(&self) -> bool {
        self.book.out_of_service().fail_health_checks
    }

    /// Counters of its own.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let c = self.sessions.counts();
        [
            ("control.accepted", c.accepted),
            ("control.turned_away", c.rejected),
            ("control.unusable", c.malformed),
            ("control.requests", c.requests),
            ("control.cut", c.aborted),
            ("log.lost", self.log.as_ref().map_or(0, |l| l.lost())),
            ("traffic.not_told_apart", self.traffic.untracked),
            ("alarms.lost", self.alarms.dropped),
        ]
        .map(|(name, n)| (name.to_owned(), n))
        .to_vec()
    }

    // ---- What happens ----

    /// Hears what the ledger does.
    pub fn observe(&mut self, now: Micros, output: &LedgerOutput, ledger: &Ledger, aims: &[Micros]) {
        match output {
            LedgerOutput::SetUp { call, exchange_id, .. } => {
                let leg = ledger.administrative_state().exchange_of(*exchange_id);
                let Some((leg, offer)) = leg.zip(ledger.offered_call(*call)) else { return };
                self.traffic.record_setup(now, Exchange(offer.new_call.destination.0), Exchange(leg.0));
                if let Some(e) = self.exchanges.entry(leg.0) {
                    e.record_attempt(now);
                }
            }
            LedgerOutput::AttemptEnded { exchange: Some(leg), .. } => {
                if let Some(e) = self.exchanges.entry(leg.0) {
                    e.unsuccessful_attempts += 1;
                }
            }
            LedgerOutput::Answer {
                call, answer, offered_at: taken, destination, last_attempt: last, ..
            } => {
                self.answers.record(now, now - taken);
                let outcome = match answer {
                    Answer::Failed => CallOutcome::Failed,
                    Answer::Refused { .. } => self.refusal(*destination, *last),
                    Answer::Established(_) => {
                        if let Some(LastAttempt { exchange: Some(leg), setup_time: took, .. }) = last {
                            self.traffic.record_established(now, Exchange(destination.0), Exchange(leg.0));
                            if let Some(e) = self.exchanges.entry(leg.0) {
                                e.setup_times.record(now, *took);
                            }
                        }
                        let class = ledger.offered_call(*call).map_or(0, |o| o.new_call.class);
                        let aim = aims.get(class).copied().unwrap_or(Micros::MAX);
                        if now - taken <= aim {
                            CallOutcome::WithinObjective
                        } else {
                            CallOutcome::Late
                        }
                    }
                };
                self.service.record(now, outcome);
            }
            _ => {}
        }
    }

    /// Why a call was refused, as far as its last attempt, or the lack of one, tells.
    fn refusal(&self, destination: ExchangeNumber, last: Option<LastAttempt>) -> CallOutcome {
        let w = self.book.out_of_service();
        match last.and_then(|l| l.failure) {
            _ if w.refuse_new_calls || w.exchanges.contains(&Exchange(destination.0)) => CallOutcome::Drained,
            Some((_, Cause::NoCircuit)) => CallOutcome::NoCircuit,
            Some((_, Cause::ProcessorFull(_) | Cause::FarProcessorFull)) => CallOutcome::ProcessorFull,
            Some((_, Cause::TurnedBack)) => CallOutcome::TurnedBack,
            Some((Ending::Fault, _) | (_, Cause::LinesBusy)) => CallOutcome::Fault,
            Some((Ending::Full, _)) => CallOutcome::TurnedBack,
            Some((Ending::NotSent, _)) => CallOutcome::NoCircuit,
            Some(_) => CallOutcome::Unanswered,
            None => CallOutcome::NoRoute,
        }
    }

    /// Takes news of the control socket or of the state folder.
    pub fn take(&mut self, now: Now, news: ControlNews, scene: &Scene<'_>) {
        match news {
            ControlNews::Opened(client, queue) => {
                self.queues.insert(client, queue);
                self.sessions.opened(now.steady, client);
            }
            ControlNews::Bytes(client, bytes) => {
                for asked in self.sessions.receive(now.steady, client, &bytes) {
                    self.request(now, asked, scene);
                }
            }
            ControlNews::Wrote(client) => self.feed(client),
            ControlNews::Closed(client) => {
                // The one place where a connection is given back. Orders that came on it go on.
                self.queues.remove(&client);
                self.sessions.closed(client);
                self.waiters.retain(|_, w| w.0 != client);
            }
            ControlNews::Saved(n, how) => {
                self.book.save_finished(now, n, how);
                self.follow_book(now);
            }
        }
        self.follow_sessions();
        self.plan(now);
    }

    /// Lets time pass.
    pub fn look(&mut self, now: Now, scene: &Scene<'_>) {
        // Deadlines that an earlier one has overtaken mean nothing.
        if now.steady < self.next {
            return;
        }
        let whole = now.steady - self.second >= SECOND;
        if whole || !self.quiet() {
            let links = std::mem::take(&mut self.links);
            let site = scene.loads().with(&links, self.health());
            self.book.evaluate(now, &self.traffic, &site);
            if whole {
                self.each_second(now, scene, &site);
            }
            drop(site);
            self.links = links;
            self.follow_book(now);
        }
        let mut sessions = std::mem::take(&mut self.sessions);
        sessions.send_due_views(now.steady, |topic, search| self.body(now, topic, search, scene));
        self.sessions = sessions;
        self.follow_sessions();
        self.plan(now);
    }

    fn each_second(&mut self, now: Now, scene: &Scene<'_>, site: &Loads<'_>) {
        let span = now.steady - self.second;
        self.second = now.steady;
        for (leg, to, calls) in site.standing() {
            self.traffic.record_held(now.steady, Exchange(to.0), Exchange(leg.0), calls, span);
        }
        let abandoned = scene.ledger.counts().abandoned;
        (self.abandoned..abandoned).for_each(|_| self.service.record(now.steady, CallOutcome::Abandoned));
        self.abandoned = abandoned;
        self.service.advance(now.steady);
        self.answers.advance(now.steady);
        self.exchanges.advance(now.steady);
        let list: BTreeSet<u16> = site.neighbours().iter().map(|n| n.exchange.0).collect();
        self.exchanges.retain(|e| list.contains(&e));
        let lost = self.log.as_ref().map_or(0, |l| l.lost());
        if lost > self.log_lost {
            tracing::warn!(lines = lost - self.log_lost, "log lines were lost: nobody read them in time");
            self.log_lost = lost;
        }
        let looks = alarms::looks(&self.marks, scene, &self.service, &self.book, now.wall);
        let keys: BTreeSet<_> = looks.iter().map(|l| l.key.clone()).collect();
        let mut changes = self.alarms.retain(now.steady, |k| keys.contains(k));
        for l in looks {
            changes.extend(self.alarms.evaluate(now.steady, l.key, l.value, l.rule, || l.text));
        }
        for change in changes {
            match change {
                AlarmChange::Raised(key, alarm) => {
                    self.event(now, "alarm", format!("raised: {key}: {}", alarm.text));
                }
                AlarmChange::Cleared(key, after) => {
                    self.event(now, "alarm", format!("cleared: {key}, after {} s", seconds(after)));
                }
            }
        }
        self.out.push(Output::Reopen);
    }

    /// How calls fare that are not for what is drained.
    fn health(&self) -> Health {
        let short = self.service.windows()[0];
        let answered = short.answered() - short.get(CallOutcome::Drained);
        let good_share = if answered > 0 {
            f64::from(short.get(CallOutcome::WithinObjective)) / f64::from(answered)
        } else {
            0.0
        };
        Health { answered, good_share }
    }

    // ---- What follows ----

    /// Nothing is drained, and no round is under way.
    fn quiet(&self) -> bool {
        self.book.drains().is_empty() && self.book.plan().is_none_or(Plan::is_stopped)
    }

    fn plan(&mut self, now: Now) {
        let views = self.sessions.next_view_due().unwrap_or(Micros::MAX);
        let drains = if self.quiet() { Micros::MAX } else { self.book.next_evaluation(now) };
        let want = views.min(drains).min(self.second + SECOND).max(now.steady + 1);
        if want < self.next || self.next <= now.steady {
            self.next = want;
            self.out.push(Output::Wake(want));
        }
    }

    fn follow_book(&mut self, now: Now) {
        for output in self.book.take_outputs() {
            match output {
                registry::Output::Save(n, saved) => self.out.push(Output::Save(n, saved)),
                registry::Output::Answer(waiter, answer) => {
                    let Some((client, id)) = self.waiters.remove(&waiter) else { continue };
                    let what = match answer.done {
                        true => Ok(Body::Done { order: answer.order.unwrap_or(0), text: answer.text }),
                        false => Err(answer.text),
                    };
                    self.sessions.reply(client, id, what);
                }
                registry::Output::SetOutOfService(w) => self.out.push(Output::Withdraw(OutOfService {
                    exchanges: exchanges(&w.exchanges),
                    groups: exchanges(&w.groups),
                    controller: w.refuse_new_calls,
                })),
                registry::Output::Cut(target) => {
                    self.event(now, "drain", format!("{target}: the calls that are left are cut"));
                    self.out.push(Output::Cut(target));
                }
                registry::Output::Event(news) => {
                    let (kind, text) = told(&news);
                    self.event(now, kind, text);
                }
            }
        }
        self.follow_sessions();
    }

    fn follow_sessions(&mut self) {
        for output in self.sessions.take_outputs() {
            match output {
                sessions::Output::Ready(client) => self.feed(client),
                // What waits is sent, and then the queue has no more to give.
                sessions::Output::Close(client) => {
                    self.feed(client);
                    if let Some(queue) = self.queues.get(&client) {
                        queue.close();
                    }
                }
                sessions::Output::Abort(client) => {
                    if let Some(queue) = self.queues.get(&client) {
                        queue.close();
                    }
                }
            }
        }
    }

    /// Hands a connection what waits for it, if nothing is on its way there.
    fn feed(&mut self, client: ClientId) {
        let Some(queue) = self.queues.get(&client).filter(|q| q.is_empty()) else { return };
        let mut bytes = Vec::new();
        while let Some(frame) = (bytes.len() < BATCH).then(|| self.sessions.next_message(client)).flatten() {
            bytes.extend(frame);
        }
        if !bytes.is_empty() {
            // There is room: this is the only one who puts in.
            let _ = queue.try_send(bytes);
        }
    }

    /// Something happened in another subsystem.
    pub fn tell(&mut self, now: Micros, wall: Micros, kind: &str, text: String) {
        self.event(Now::new(now, wall), kind, text);
        self.follow_sessions();
    }

    /// Writes an event to the log.
    pub fn log(kind: &str, text: &str) {
        tracing::info!(target: "walnuthatch::events", kind, "{text}");
    }

    fn event(&mut self, now: Now, kind: &str, text: String) {
        Appliance::log(kind, &text);
        self.event_number += 1;
        let event = Event { at_ms: now.wall / 1000, number: self.event_number, kind: kind.to_owned(), text };
        self.sessions.publish(&event);
        self.events.push_back(event);
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    // ---- Requests ----

    fn request(&mut self, now: Now, asked: PendingRequest, scene: &Scene<'_>) {
        let PendingRequest { client, request } = asked;
        let who = if request.who.is_empty() { "unknown".to_owned() } else { request.who };
        let id = request.id;
        let target = |text: &str| text.parse::<Target>().map_err(|e| e.to_string());
        let what = match request.operation {
            Operation::Show { topic, search } => Ok(self.body(now, topic, &search, scene)),
            Operation::Audit => Ok(self.audit()),
            Operation::Config => Ok(Body::Text { text: scene.config.summary() }),
            Operation::Cost { target: text } => target(&text).map(|t| self.cost(now, t, scene)),
            Operation::Log { filter } => self.set_log(now, &who, filter),
            Operation::Seen { alarm } => match self.alarms.acknowledge(&alarm, &who) {
                true => {
                    self.event(now, "alarm", format!("seen by {who}: {alarm}"));
                    Ok(Body::Text { text: format!("{alarm}: seen by {who}") })
                }
                false => Err(format!("alarm: {alarm:?} is not raised")),
            },
            Operation::Stop => {
                self.event(now, "program", format!("{who} stops the controller"));
                self.out.push(Output::Stop);
                Ok(Body::Text { text: "stopping".to_owned() })
            }
            Operation::Drain { target: text, reason, limit_s, at_limit, force } => match target(&text) {
                Err(e) => Err(e),
                Ok(target) => {
                    let limit = limit_s.map(|s| Micros::from(s) * SECOND);
                    let at_limit = match at_limit {
                        frames::AtLimit::Keep => AtLimit::Keep,
                        frames::AtLimit::Restore => AtLimit::Restore,
                        frames::AtLimit::Cut => AtLimit::Cut,
                    };
                    let command = Command::Drain { target, reason, limit, at_limit, force };
                    return self.order(now, client, id, who, command, scene);
                }
            },
            Operation::Undrain { target: text } => match target(&text) {
                Err(e) => Err(e),
                Ok(target) => return self.order(now, client, id, who, Command::Undrain { target }, scene),
            },
            Operation::Round { targets, reason, pause_s } => {
                match targets.iter().map(|t| target(t)).collect::<Result<Vec<_>, _>>() {
                    Err(e) => Err(e),
                    Ok(targets) => {
                        let pause = pause_s.map(|s| Micros::from(s) * SECOND);
                        let command = Command::Round { targets, reason, pause };
                        return self.order(now, client, id, who, command, scene);
                    }
                }
            }
            Operation::Next => return self.order(now, client, id, who, Command::Next, scene),
            Operation::Halt => return self.order(now, client, id, who, Command::Halt, scene),
            // Sessions answer these themselves.
            Operation::Watch { .. } | Operation::Unwatch => return,
        };
        self.sessions.reply(client, id, what);
    }

    fn order(
        &mut self,
        now: Now,
        client: ClientId,
        id: String,
        who: String,
        command: Command,
        scene: &Scene<'_>,
    ) {
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        self.waiters.insert(waiter, (client, id.clone()));
        let ask = registry::OrderRequest { request_id: id, requested_by: who, command };
        let links = std::mem::take(&mut self.links);
        let site = scene.loads().with(&links, self.health());
        self.book.submit(now, ask, Some(waiter), &self.traffic, &site);
        drop(site);
        self.links = links;
        self.follow_book(now);
    }

    fn set_log(&mut self, now: Now, who: &str, filter: Option<String>) -> Result<Body, String> {
        let log = self.log.clone().ok_or("log: none is kept here")?;
        if let Some(filter) = filter {
            log.set(&filter).map_err(|e| e.to_string())?;
            self.event(now, "program", format!("{who} sets the log to {filter}"));
        }
        Ok(Body::Text { text: log.filter() })
    }

    // ---- Views ----

    fn body(&self, now: Now, topic: Topic, search: &str, scene: &Scene<'_>) -> Body {
        match topic {
            Topic::Status => Body::Status(self.status(scene)),
            Topic::Exchanges => Body::Exchanges { exchanges: self.exchange_views(scene) },
            Topic::Calls => {
                let (calls, total) = scene.calls(search, CALLS);
                Body::Calls { calls, total }
            }
            Topic::Service => Body::Service(self.service_view()),
            Topic::Drains => Body::Drains {
                drains: self.book.drains().iter().map(|d| drain_view(now, d)).collect(),
                over: self.book.finished().map(|d| drain_view(now, d)).collect(),
                windows: self.windows(now),
                round: self.book.plan().map(|p| round_view(now, p)),
            },
            Topic::Alarms => {
                let of = |(key, a): (
                    &walnuthatch_metrics::alarms::AlarmKey,
                    &walnuthatch_metrics::alarms::Alarm,
                )| {
                    views::Alarm {
                        alarm: key.to_string(),
                        severity: a.rule.severity.name().to_owned(),
                        for_s: seconds(now.steady - a.since),
                        text: a.text.clone(),
                        seen_by: a.acknowledged_by.clone(),
                    }
                };
                Body::Alarms { alarms: self.alarms.raised().into_iter().map(of).collect() }
            }
            Topic::Counters => {
                // The scene has no appliance while this one makes the view.
                let all = (scene.counters)().into_iter().chain(self.counters());
                Body::Counters { counters: all.collect() }
            }
            Topic::Peers => Body::Peers { peers: scene.gossip.map_or_else(Vec::new, Gossip::peers) },
            Topic::Suspicions => {
                let suspicions = scene.gossip.map_or_else(Vec::new, |g| g.suspicions(now.steady));
                Body::Suspicions { suspicions }
            }
            Topic::Events => Body::Events { events: self.events.iter().cloned().collect() },
        }
    }

    fn status(&self, scene: &Scene<'_>) -> views::Status {
        let raised = self.alarms.raised();
        let mut s = scene.status();
        let own = self.book.drains().iter().find(|d| d.target == Target::Controller);
        if !scene.stopping {
            if let Some(d) = own.filter(|d| d.state.in_force()) {
                s.state = if d.state == State::Empty { "drained" } else { "draining" }.to_owned();
            }
        }
        s.alarms = raised.len();
        s.worst = raised.first().map_or(String::new(), |(key, a)| format!("{key}: {}", a.text));
        s.drains = self.book.drains().len();
        s.state_folder = match (self.keeps, self.book.unsaved()) {
            (false, _) => "off",
            (true, true) => "unsaved",
            (true, false) => "saved",
        }
        .to_owned();
        s.log_lost = self.log_lost;
        s.clients = self.sessions.len();
        s
    }

    fn exchange_views(&self, scene: &Scene<'_>) -> Vec<views::Exchange> {
        let mut all = scene.exchanges();
        for e in &mut all {
            let here = [Target::Exchange(Exchange(e.exchange)), Target::Group(Exchange(e.exchange))];
            let drain = self.book.drains().iter().find(|d| here.contains(&d.target));
            e.drain = drain.map_or(String::new(), |d| {
                let group = if matches!(d.target, Target::Group(_)) { "group " } else { "" };
                format!("{group}{}", d.state.name())
            });
            if let Some(f) = self.exchanges.get(e.exchange) {
                let Quantiles { count, p50, p99, .. } = f.setup_times.quantiles();
                (e.stood, e.p50_ms, e.p99_ms) = (count, millis(p50), millis(p99));
                e.turned_away = f.unsuccessful_attempts;
                e.history = f.history().to_vec();
            }
        }
        all
    }

    fn service_view(&self) -> views::Service {
        let spans = self.service.windows().iter().zip(WINDOWS).map(|(counts, seconds)| views::Span {
            seconds: seconds as u64,
            answered: counts.answered(),
            in_aim_share: counts.share_within_objective(),
            by_fate: OUTCOMES.iter().map(|f| (f.name().to_owned(), counts.get(*f))).collect(),
        });
        let q = self.answers.quantiles();
        views::Service {
            spans: spans.collect(),
            answers: q.count,
            p50_ms: millis(q.p50),
            p99_ms: millis(q.p99),
            p999_ms: millis(q.p999),
            history: self.service.history::<HISTORY>().to_vec(),
        }
    }

    fn windows(&self, now: Now) -> Vec<views::Window> {
        let of = |w: &walnuthatch_drains::windows::Window| views::Window {
            name: w.name.clone(),
            target: w.target.to_string(),
            open: w.open_at(now.wall).is_some(),
            next_at_ms: w.next_after(now.wall).map(|t| t / 1000),
            length_s: seconds(w.length),
        };
        self.book.windows().iter().map(of).collect()
    }

    fn audit(&self) -> Body {
        let of = |a: &walnuthatch_drains::saved::AuditEntry| views::Audit {
            at_ms: a.wall / 1000,
            who: a.who.clone(),
            what: a.what.clone(),
            answer: a.answer.clone(),
        };
        Body::Audit { audit: self.book.audit().map(of).collect() }
    }

    fn cost(&self, now: Now, target: Target, scene: &Scene<'_>) -> Body {
        let site = scene.loads().with(&self.links, self.health());
        let c = self.book.cost(now, target, &self.traffic, &site);
        let denied = self.book.dry_run(now, target, false, &self.traffic, &site).err();
        Body::Cost(views::Cost {
            target: target.to_string(),
            denied: denied.map(|d| d.to_string()),
            over_s: seconds(c.observed_time),
            lost_per_minute: c.lost_per_minute,
            direct_per_minute: c.direct_per_minute,
            tandem_per_minute: c.tandem_per_minute,
            out: c.load.pending_setups,
            standing: c.load.established,
            displaced: c
                .displaced
                .into_iter()
                .map(|d| views::Displaced {
                    destination: d.destination.0,
                    per_minute: d.per_minute,
                    erlangs: d.erlangs,
                    ways: d.alternatives.into_iter().map(|w| w.0).collect(),
                })
                .collect(),
            groups: c
                .groups
                .into_iter()
                .map(|g| views::GroupRoom {
                    group: g.group.0,
                    size: g.size,
                    busy: g.busy,
                    extra: g.displaced,
                    blocking_now: g.blocking_before,
                    blocking_then: g.blocking_after,
                })
                .collect(),
            no_way: c.unreachable.into_iter().map(|e| e.0).collect(),
        })
    }
}

fn drain_view(now: Now, d: &Drain) -> views::Drain {
    let limit = d.limit.filter(|_| !d.limit_done && d.state != State::Restored);
    views::Drain {
        order: d.order,
        target: d.target.to_string(),
        state: d.state.name().to_owned(),
        for_s: seconds(now.steady - d.since),
        reason: d.reason.clone(),
        who: d.requested_by.clone(),
        asked_at_ms: d.requested_wall / 1000,
        limit_left_s: limit.map(|l| seconds(l - now.steady)),
        at_limit: format!("{:?}", d.at_limit).to_lowercase(),
        forced: d.forced,
        out: d.load.pending_setups,
        standing: d.load.established,
        progress: d.progress(),
    }
}

fn round_view(now: Now, p: &Plan) -> views::Round {
    views::Round {
        order: p.order,
        targets: p.targets.iter().map(Target::to_string).collect(),
        done: p.target_index,
        stage: p.stage.name().to_owned(),
        halted: if let Stage::Halted(why) = &p.stage { why.clone() } else { String::new() },
        for_s: seconds(now.steady - p.since),
        who: p.requested_by.clone(),
        reason: p.reason.clone(),
    }
}

/// Of which kind a piece of news is, and its words.
fn told(news: &DrainEvent) -> (&'static str, String) {
    match news {
        DrainEvent::StateChanged { order, target, state, load, requested_by } => (
            "drain",
            format!(
                "{target}: {} ({} stand, {} out; order {order} of {requested_by})",
                state.name(),
                load.established,
                load.pending_setups
            ),
        ),
        DrainEvent::GuardTripped { target, before, now } => (
            "drain",
            format!(
                "{target}: put back by its guard: {:.0}% of calls are well served, where it was {:.0}%",
                now * 100.0,
                before * 100.0
            ),
        ),
        DrainEvent::RoundAdvanced { target, stage } => {
            let at = target.map_or(String::new(), |t| format!(" at {t}"));
            let why = if let Stage::Halted(why) = stage { format!(": {why}") } else { String::new() };
            ("round", format!("{}{at}{why}", stage.name()))
        }
        DrainEvent::WindowDenied { window, reason } => {
            ("window", format!("{window} could not begin: {reason}"))
        }
        DrainEvent::SaveFailed(why) => ("state", format!("not saved: {why}")),
        DrainEvent::SaveRecovered => ("state", "saved again".to_owned()),
    }
}
