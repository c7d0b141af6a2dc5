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
use crate::routing::ledger::{Answer, Last, Ledger, Output as LedgerOutput};
use crate::transport::ControlNews;
use async_channel::Sender;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use walnuthatch_control::frames::{self, Ask, Body, Topic};
use walnuthatch_control::sessions::{self, Asked, Client, Sessions};
use walnuthatch_control::views::{self, Event};
use walnuthatch_drains::book::{self, Book, Command, News, Waiter};
use walnuthatch_drains::drain::{AtLimit, Drain, State};
use walnuthatch_drains::impact::Traffic;
use walnuthatch_drains::plan::{Plan, Stage};
use walnuthatch_drains::saved::Saved;
use walnuthatch_drains::target::{Exchange, Health, Now, Site, Target};
use walnuthatch_drains::SECOND;
use walnuthatch_figures::alarms::{Alarms, Change};
use walnuthatch_figures::delays::{Delays, Exchanges, Quantiles};
use walnuthatch_figures::service::{Fate, Service, FATES, WINDOWS};

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
    book: Book,
    traffic: Traffic,
    service: Service,
    answers: Delays,
    exchanges: Exchanges,
    alarms: Alarms,
    marks: Marks,
    links: BTreeSet<(ExchangeNumber, ExchangeNumber)>,
    sessions: Sessions,
    /// One message at a time may be on its way to each program.
    queues: HashMap<Client, Sender<Vec<u8>>>,
    waiters: BTreeMap<Waiter, (Client, String)>,
    next_waiter: Waiter,
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
        let mut book = Book::new(policy, config.windows.clone(), own.map(|o| Exchange(o.0)), keeps);
        if let Some(saved) = saved {
            book.resume(now, saved);
        }
        let mut appliance = Appliance {
            book,
            traffic: Traffic::default(),
            service: Service::new(now.steady),
            answers: Delays::default(),
            exchanges: Exchanges::default(),
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
        self.book.withdrawn().tests
    }

    /// Counters of its own.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let c = self.sessions.counts();
        [
            ("control.accepted", c.accepted),
            ("control.turned_away", c.turned_away),
            ("control.unusable", c.unusable),
            ("control.requests", c.requests),
            ("control.cut", c.cut),
            ("log.lost", self.log.as_ref().map_or(0, |l| l.lost())),
            ("traffic.not_told_apart", self.traffic.lost),
            ("alarms.lost", self.alarms.lost),
        ]
        .map(|(name, n)| (name.to_owned(), n))
        .to_vec()
    }

    // ---- What happens ----

    /// Hears what the ledger does.
    pub fn observe(&mut self, now: Micros, output: &LedgerOutput, ledger: &Ledger, aims: &[Micros]) {
        match output {
            LedgerOutput::SetUp { call, office, .. } => {
                let leg = ledger.withdrawals().exchange_of(*office);
                let Some((leg, offer)) = leg.zip(ledger.offer_of(*call)) else { return };
                self.traffic.sent(now, Exchange(offer.ask.destination.0), Exchange(leg.0));
                if let Some(e) = self.exchanges.of(leg.0) {
                    e.sent(now);
                }
            }
            LedgerOutput::AttemptEnded { leg: Some(leg), .. } => {
                if let Some(e) = self.exchanges.of(leg.0) {
                    e.turned_away += 1;
                }
            }
            LedgerOutput::Answer { call, answer, taken, destination, last, .. } => {
                self.answers.count(now, now - taken);
                let fate = match answer {
                    Answer::Failed => Fate::Failed,
                    Answer::Refused { .. } => self.refusal(*destination, *last),
                    Answer::Stands(_) => {
                        if let Some(Last { leg: Some(leg), took, .. }) = last {
                            self.traffic.stood(now, Exchange(destination.0), Exchange(leg.0));
                            if let Some(e) = self.exchanges.of(leg.0) {
                                e.set_ups.count(now, *took);
                            }
                        }
                        let class = ledger.offer_of(*call).map_or(0, |o| o.ask.class);
                        let aim = aims.get(class).copied().unwrap_or(Micros::MAX);
                        if now - taken <= aim {
                            Fate::InAim
                        } else {
                            Fate::Late
                        }
                    }
                };
                self.service.count(now, fate);
            }
            _ => {}
        }
    }

    /// Why a call was refused, as far as its last attempt, or the lack of one, tells.
    fn refusal(&self, destination: ExchangeNumber, last: Option<Last>) -> Fate {
        let w = self.book.withdrawn();
        match last.and_then(|l| l.how) {
            _ if w.all || w.exchanges.contains(&Exchange(destination.0)) => Fate::Drained,
            Some((_, Cause::NoCircuit)) => Fate::NoCircuit,
            Some((_, Cause::ProcessorFull(_) | Cause::FarProcessorFull)) => Fate::ProcessorFull,
            Some((_, Cause::TurnedBack)) => Fate::TurnedBack,
            Some((Ending::Fault, _) | (_, Cause::LinesBusy)) => Fate::Fault,
            Some((Ending::Full, _)) => Fate::TurnedBack,
            Some((Ending::NotSent, _)) => Fate::NoCircuit,
            Some(_) => Fate::Unanswered,
            None => Fate::NoWay,
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
                for asked in self.sessions.bytes(now.steady, client, &bytes) {
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
                self.book.saved(now, n, how);
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
            self.book.look(now, &self.traffic, &site);
            if whole {
                self.each_second(now, scene, &site);
            }
            drop(site);
            self.links = links;
            self.follow_book(now);
        }
        let mut sessions = std::mem::take(&mut self.sessions);
        sessions.views(now.steady, |topic, search| self.body(now, topic, search, scene));
        self.sessions = sessions;
        self.follow_sessions();
        self.plan(now);
    }

    fn each_second(&mut self, now: Now, scene: &Scene<'_>, site: &Loads<'_>) {
        let span = now.steady - self.second;
        self.second = now.steady;
        for (leg, to, calls) in site.standing() {
            self.traffic.held(now.steady, Exchange(to.0), Exchange(leg.0), calls, span);
        }
        let abandoned = scene.ledger.tally().abandoned;
        (self.abandoned..abandoned).for_each(|_| self.service.count(now.steady, Fate::Abandoned));
        self.abandoned = abandoned;
        self.service.advance(now.steady);
        self.answers.advance(now.steady);
        self.exchanges.pass(now.steady);
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
            changes.extend(self.alarms.look(now.steady, l.key, l.value, l.rule, || l.text));
        }
        for change in changes {
            match change {
                Change::Raised(key, alarm) => {
                    self.event(now, "alarm", format!("raised: {key}: {}", alarm.text));
                }
                Change::Cleared(key, after) => {
                    self.event(now, "alarm", format!("cleared: {key}, after {} s", seconds(after)));
                }
            }
        }
        self.out.push(Output::Reopen);
    }

    /// How calls fare that are not for what is drained.
    fn health(&self) -> Health {
        let short = self.service.windows()[0];
        let answered = short.answered() - short.of(Fate::Drained);
        let good = if answered > 0 { f64::from(short.of(Fate::InAim)) / f64::from(answered) } else { 0.0 };
        Health { answered, good }
    }

    // ---- What follows ----

    /// Nothing is drained, and no round is under way.
    fn quiet(&self) -> bool {
        self.book.drains().is_empty() && self.book.plan().is_none_or(Plan::rests)
    }

    fn plan(&mut self, now: Now) {
        let views = self.sessions.next_due().unwrap_or(Micros::MAX);
        let drains = if self.quiet() { Micros::MAX } else { self.book.next_look(now) };
        let want = views.min(drains).min(self.second + SECOND).max(now.steady + 1);
        if want < self.next || self.next <= now.steady {
            self.next = want;
            self.out.push(Output::Wake(want));
        }
    }

    fn follow_book(&mut self, now: Now) {
        for output in self.book.take_outputs() {
            match output {
                book::Output::Save(n, saved) => self.out.push(Output::Save(n, saved)),
                book::Output::Answer(waiter, answer) => {
                    let Some((client, id)) = self.waiters.remove(&waiter) else { continue };
                    let what = match answer.done {
                        true => Ok(Body::Done { order: answer.order.unwrap_or(0), text: answer.text }),
                        false => Err(answer.text),
                    };
                    self.sessions.reply(client, id, what);
                }
                book::Output::Apply(w) => self.out.push(Output::Withdraw(OutOfService {
                    exchanges: exchanges(&w.exchanges),
                    groups: exchanges(&w.groups),
                    controller: w.all,
                })),
                book::Output::Cut(target) => {
                    self.event(now, "drain", format!("{target}: the calls that are left are cut"));
                    self.out.push(Output::Cut(target));
                }
                book::Output::Tell(news) => {
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
                sessions::Output::End(client) => {
                    self.feed(client);
                    if let Some(queue) = self.queues.get(&client) {
                        queue.close();
                    }
                }
                sessions::Output::Cut(client) => {
                    if let Some(queue) = self.queues.get(&client) {
                        queue.close();
                    }
                }
            }
        }
    }

    /// Hands a connection what waits for it, if nothing is on its way there.
    fn feed(&mut self, client: Client) {
        let Some(queue) = self.queues.get(&client).filter(|q| q.is_empty()) else { return };
        let mut bytes = Vec::new();
        while let Some(frame) = (bytes.len() < BATCH).then(|| self.sessions.take(client)).flatten() {
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
        self.sessions.event(&event);
        self.events.push_back(event);
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    // ---- Requests ----

    fn request(&mut self, now: Now, asked: Asked, scene: &Scene<'_>) {
        let Asked { client, request } = asked;
        let who = if request.who.is_empty() { "unknown".to_owned() } else { request.who };
        let id = request.id;
        let target = |text: &str| text.parse::<Target>().map_err(|e| e.to_string());
        let what = match request.ask {
            Ask::Show { topic, search } => Ok(self.body(now, topic, &search, scene)),
            Ask::Audit => Ok(self.audit()),
            Ask::Config => Ok(Body::Text { text: scene.config.summary() }),
            Ask::Cost { target: text } => target(&text).map(|t| self.cost(now, t, scene)),
            Ask::Log { filter } => self.set_log(now, &who, filter),
            Ask::Seen { alarm } => match self.alarms.seen(&alarm, &who) {
                true => {
                    self.event(now, "alarm", format!("seen by {who}: {alarm}"));
                    Ok(Body::Text { text: format!("{alarm}: seen by {who}") })
                }
                false => Err(format!("alarm: {alarm:?} is not raised")),
            },
            Ask::Stop => {
                self.event(now, "program", format!("{who} stops the controller"));
                self.out.push(Output::Stop);
                Ok(Body::Text { text: "stopping".to_owned() })
            }
            Ask::Drain { target: text, reason, limit_s, at_limit, force } => match target(&text) {
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
            Ask::Undrain { target: text } => match target(&text) {
                Err(e) => Err(e),
                Ok(target) => return self.order(now, client, id, who, Command::Undrain { target }, scene),
            },
            Ask::Round { targets, reason, pause_s } => {
                match targets.iter().map(|t| target(t)).collect::<Result<Vec<_>, _>>() {
                    Err(e) => Err(e),
                    Ok(targets) => {
                        let pause = pause_s.map(|s| Micros::from(s) * SECOND);
                        let command = Command::Round { targets, reason, pause };
                        return self.order(now, client, id, who, command, scene);
                    }
                }
            }
            Ask::Next => return self.order(now, client, id, who, Command::Next, scene),
            Ask::Halt => return self.order(now, client, id, who, Command::Halt, scene),
            // Sessions answer these themselves.
            Ask::Watch { .. } | Ask::Unwatch => return,
        };
        self.sessions.reply(client, id, what);
    }

    fn order(
        &mut self,
        now: Now,
        client: Client,
        id: String,
        who: String,
        command: Command,
        scene: &Scene<'_>,
    ) {
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        self.waiters.insert(waiter, (client, id.clone()));
        let ask = book::Ask { request: id, who, command };
        let links = std::mem::take(&mut self.links);
        let site = scene.loads().with(&links, self.health());
        self.book.order(now, ask, Some(waiter), &self.traffic, &site);
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
                over: self.book.over().map(|d| drain_view(now, d)).collect(),
                windows: self.windows(now),
                round: self.book.plan().map(|p| round_view(now, p)),
            },
            Topic::Alarms => {
                let of =
                    |(key, a): (&walnuthatch_figures::alarms::Key, &walnuthatch_figures::alarms::Alarm)| {
                        views::Alarm {
                            alarm: key.to_string(),
                            severity: a.rule.severity.name().to_owned(),
                            for_s: seconds(now.steady - a.since),
                            text: a.text.clone(),
                            seen_by: a.seen_by.clone(),
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
                let Quantiles { count, p50, p99, .. } = f.set_ups.quantiles();
                (e.stood, e.p50_ms, e.p99_ms) = (count, millis(p50), millis(p99));
                e.turned_away = f.turned_away;
                e.history = f.history().to_vec();
            }
        }
        all
    }

    fn service_view(&self) -> views::Service {
        let spans = self.service.windows().iter().zip(WINDOWS).map(|(counts, seconds)| views::Span {
            seconds: seconds as u64,
            answered: counts.answered(),
            in_aim_share: counts.in_aim(),
            by_fate: FATES.iter().map(|f| (f.name().to_owned(), counts.of(*f))).collect(),
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
        let of = |a: &walnuthatch_drains::saved::Audit| views::Audit {
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
            over_s: seconds(c.over),
            lost_per_minute: c.lost_per_minute,
            direct_per_minute: c.direct_per_minute,
            tandem_per_minute: c.tandem_per_minute,
            out: c.load.out,
            standing: c.load.standing,
            displaced: c
                .displaced
                .into_iter()
                .map(|d| views::Displaced {
                    destination: d.destination.0,
                    per_minute: d.per_minute,
                    erlangs: d.erlangs,
                    ways: d.ways.into_iter().map(|w| w.0).collect(),
                })
                .collect(),
            groups: c
                .groups
                .into_iter()
                .map(|g| views::GroupRoom {
                    group: g.group.0,
                    size: g.size,
                    busy: g.busy,
                    extra: g.extra,
                    blocking_now: g.before,
                    blocking_then: g.after,
                })
                .collect(),
            no_way: c.no_way.into_iter().map(|e| e.0).collect(),
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
        who: d.who.clone(),
        asked_at_ms: d.asked_wall / 1000,
        limit_left_s: limit.map(|l| seconds(l - now.steady)),
        at_limit: format!("{:?}", d.at_limit).to_lowercase(),
        forced: d.forced,
        out: d.load.out,
        standing: d.load.standing,
        progress: d.progress(),
    }
}

fn round_view(now: Now, p: &Plan) -> views::Round {
    views::Round {
        order: p.order,
        targets: p.targets.iter().map(Target::to_string).collect(),
        done: p.at,
        stage: p.stage.name().to_owned(),
        halted: if let Stage::Halted(why) = &p.stage { why.clone() } else { String::new() },
        for_s: seconds(now.steady - p.since),
        who: p.who.clone(),
        reason: p.reason.clone(),
    }
}

/// Of which kind a piece of news is, and its words.
fn told(news: &News) -> (&'static str, String) {
    match news {
        News::Moved { order, target, state, load, who } => (
            "drain",
            format!(
                "{target}: {} ({} stand, {} out; order {order} of {who})",
                state.name(),
                load.standing,
                load.out
            ),
        ),
        News::Guarded { target, before, now } => (
            "drain",
            format!(
                "{target}: put back by its guard: {:.0}% of calls are well served, where it was {:.0}%",
                now * 100.0,
                before * 100.0
            ),
        ),
        News::Round { target, stage } => {
            let at = target.map_or(String::new(), |t| format!(" at {t}"));
            let why = if let Stage::Halted(why) = stage { format!(": {why}") } else { String::new() };
            ("round", format!("{}{at}{why}", stage.name()))
        }
        News::WindowDenied { window, why } => ("window", format!("{window} could not begin: {why}")),
        News::Unsaved(why) => ("state", format!("not saved: {why}")),
        News::SavedAgain => ("state", "saved again".to_owned()),
    }
}
