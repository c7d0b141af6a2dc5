//! The appliance: drains, metrics, alarms and operators' sessions, as one subsystem of the event loop.
//!
//! It receives events ([`Appliance::observe`], [`Appliance::handle_control_event`], [`Appliance::handle_timer`]) and
//! requests actions ([`Appliance::take_outputs`]). It makes no decision about a call: out-of-service state reaches
//! the decision module through the ledger, as an event of the module's interface.

use super::alarms::{self, Thresholds};
use super::appliance_file::ApplianceConfig;
use super::gossip::Gossip;
use super::log::Log;
use super::views::{SiteLoad, Snapshot, MAX_LISTED_CALLS};
use crate::routing::interface::{Cause, Ending, ExchangeNumber, Micros, OutOfService};
use crate::routing::ledger::{Answer, LastAttempt, Ledger, Output as LedgerOutput};
use crate::transport::ControlEvent;
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

/// Number of past events kept for operators that ask later.
const MAX_KEPT_EVENTS: usize = 512;
/// No further frame is added to a batch for a connection once the batch has this many bytes.
const BATCH_BYTES: usize = 64 * 1024;
/// Length of the history in the service view, in seconds.
const HISTORY_SECONDS: usize = 60;

/// An action that the appliance requests from the event loop.
#[derive(Debug)]
pub enum Output {
    /// Replace the set of exchanges and groups that are out of service.
    SetOutOfService(OutOfService),
    /// Cut the established calls at this target.
    CutCalls(Target),
    /// Advance the gradual return of restored groups by one step.
    RampRestoredGroups,
    /// Write the state with this number to the state folder.
    Save(u64, Box<Saved>),
    /// Shut the program down.
    Stop,
    /// Call [`Appliance::handle_timer`] at this time.
    SetTimer(Micros),
}

/// The state of the appliance.
pub struct Appliance {
    registry: DrainRegistry,
    traffic: Traffic,
    service: ServiceWindows,
    answer_times: RollingHistogram,
    exchange_metrics: MetricsByExchange,
    alarms: Alarms,
    thresholds: Thresholds,
    /// Configured trunk groups between other exchanges.
    trunk_groups: BTreeSet<(ExchangeNumber, ExchangeNumber)>,
    sessions: Sessions,
    /// The queue to each client's connection; it holds at most one batch of messages.
    write_queues: HashMap<ClientId, Sender<Vec<u8>>>,
    /// Clients that wait for the answer to an order, with the id of their request.
    waiters: BTreeMap<WaiterId, (ClientId, String)>,
    next_waiter: WaiterId,
    events: VecDeque<Event>,
    event_number: u64,
    log: Option<Rc<Log>>,
    log_lost: u64,
    has_state_folder: bool,
    /// The number of abandoned calls already counted in the service windows.
    abandoned: u64,
    /// When the work of each second was last done.
    last_second: Micros,
    /// The expiry time of the earliest timer that was requested.
    next_timer: Micros,
    outputs: Vec<Output>,
}

impl std::fmt::Debug for Appliance {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Appliance").field("registry", &self.registry).finish_non_exhaustive()
    }
}

fn exchange_numbers(exchanges: &BTreeSet<Exchange>) -> BTreeSet<ExchangeNumber> {
    exchanges.iter().map(|e| ExchangeNumber(e.0)).collect()
}

fn millis(span: Micros) -> f64 {
    span as f64 / 1000.0
}

fn seconds(span: Micros) -> u64 {
    u64::try_from(span / SECOND).unwrap_or(0)
}

impl Appliance {
    /// Creates the appliance, with the state that an earlier run saved.
    pub fn new(
        now: Now,
        config: &ApplianceConfig,
        own_exchange: Option<ExchangeNumber>,
        drain_grace: Micros,
        saved: Option<Saved>,
        log: Option<Rc<Log>>,
    ) -> Self {
        let policy = walnuthatch_drains::policy::Policy { grace: drain_grace, ..config.policy.clone() };
        let has_state_folder = config.state_folder.is_some();
        let mut registry = DrainRegistry::new(
            policy,
            config.windows.clone(),
            own_exchange.map(|e| Exchange(e.0)),
            has_state_folder,
        );
        if let Some(saved) = saved {
            registry.resume(now, saved);
        }
        let mut appliance = Appliance {
            registry,
            traffic: Traffic::default(),
            service: ServiceWindows::new(now.steady),
            answer_times: RollingHistogram::default(),
            exchange_metrics: MetricsByExchange::default(),
            alarms: Alarms::default(),
            thresholds: config.alarms,
            trunk_groups: config.trunk_groups.clone(),
            sessions: Sessions::default(),
            write_queues: HashMap::new(),
            waiters: BTreeMap::new(),
            next_waiter: 0,
            events: VecDeque::new(),
            event_number: 0,
            log,
            log_lost: 0,
            has_state_folder,
            abandoned: 0,
            last_second: now.steady,
            next_timer: now.steady,
            outputs: vec![Output::SetTimer(now.steady)],
        };
        appliance.process_registry_outputs(now);
        appliance
    }

    /// Applies the settings of a reloaded configuration that can change at run time.
    pub fn reload(&mut self, config: &ApplianceConfig, drain_grace: Micros) {
        let policy = walnuthatch_drains::policy::Policy { grace: drain_grace, ..config.policy.clone() };
        self.registry.reload(policy, config.windows.clone());
        self.thresholds = config.alarms;
        self.trunk_groups.clone_from(&config.trunk_groups);
        if let (Some(log), Some(filter)) = (&self.log, &config.log_filter) {
            // The filter was validated when the file was read.
            let _ = log.set_filter(filter);
        }
    }

    /// Takes the requested actions, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Whether health probes fail because this controller is drained.
    pub fn fails_health_checks(&self) -> bool {
        self.registry.out_of_service().fail_health_checks
    }

    /// The counters of the appliance.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let c = self.sessions.counts();
        [
            ("control.accepted", c.accepted),
            ("control.turned_away", c.rejected),
            ("control.unusable", c.malformed),
            ("control.requests", c.requests),
            ("control.cut", c.aborted),
            ("log.lost", self.log.as_ref().map_or(0, |l| l.lost_lines())),
            ("traffic.not_told_apart", self.traffic.untracked),
            ("alarms.lost", self.alarms.dropped),
        ]
        .map(|(name, n)| (name.to_owned(), n))
        .to_vec()
    }

    // ---- Events ----

    /// Records an output of the ledger in the metrics.
    pub fn observe(
        &mut self,
        now: Micros,
        output: &LedgerOutput,
        ledger: &Ledger,
        latency_objectives: &[Micros],
    ) {
        match output {
            LedgerOutput::SetUp { call, exchange_id, .. } => {
                let first_hop = ledger.administrative_state().exchange_of(*exchange_id);
                let Some((first_hop, offer)) = first_hop.zip(ledger.offered_call(*call)) else { return };
                self.traffic.record_setup(now, Exchange(offer.new_call.destination.0), Exchange(first_hop.0));
                if let Some(e) = self.exchange_metrics.entry(first_hop.0) {
                    e.record_attempt(now);
                }
            }
            LedgerOutput::AttemptEnded { exchange: Some(first_hop), .. } => {
                if let Some(e) = self.exchange_metrics.entry(first_hop.0) {
                    e.unsuccessful_attempts += 1;
                }
            }
            LedgerOutput::Answer { call, answer, offered_at, destination, last_attempt, .. } => {
                self.answer_times.record(now, now - offered_at);
                let outcome = match answer {
                    Answer::Failed => CallOutcome::Failed,
                    Answer::Refused { .. } => self.refusal_outcome(*destination, *last_attempt),
                    Answer::Established(_) => {
                        if let Some(LastAttempt { exchange: Some(first_hop), setup_time, .. }) = last_attempt
                        {
                            self.traffic.record_established(
                                now,
                                Exchange(destination.0),
                                Exchange(first_hop.0),
                            );
                            if let Some(e) = self.exchange_metrics.entry(first_hop.0) {
                                e.setup_times.record(now, *setup_time);
                            }
                        }
                        let class = ledger.offered_call(*call).map_or(0, |o| o.new_call.class);
                        let latency_objective = latency_objectives.get(class).copied().unwrap_or(Micros::MAX);
                        if now - offered_at <= latency_objective {
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

    /// The outcome of a refused call, derived from its last attempt, or from the lack of one.
    fn refusal_outcome(&self, destination: ExchangeNumber, last_attempt: Option<LastAttempt>) -> CallOutcome {
        let out_of_service = self.registry.out_of_service();
        match last_attempt.and_then(|a| a.failure) {
            _ if out_of_service.refuse_new_calls
                || out_of_service.exchanges.contains(&Exchange(destination.0)) =>
            {
                CallOutcome::Drained
            }
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

    /// Handles an event of the control socket or of the state folder.
    pub fn handle_control_event(&mut self, now: Now, event: ControlEvent, snapshot: &Snapshot<'_>) {
        match event {
            ControlEvent::Connected(client, queue) => {
                self.write_queues.insert(client, queue);
                self.sessions.opened(now.steady, client);
            }
            ControlEvent::Received(client, bytes) => {
                for request in self.sessions.receive(now.steady, client, &bytes) {
                    self.handle_request(now, request, snapshot);
                }
            }
            ControlEvent::Written(client) => self.send_pending(client),
            ControlEvent::Disconnected(client) => {
                // The only place that removes a connection. Orders that came on it continue.
                self.write_queues.remove(&client);
                self.sessions.closed(client);
                self.waiters.retain(|_, w| w.0 != client);
            }
            ControlEvent::StateSaved(number, result) => {
                self.registry.save_finished(now, number, result);
                self.process_registry_outputs(now);
            }
        }
        self.process_session_outputs();
        self.schedule(now);
    }

    /// Evaluates drains, alarms and due views, as far as their time has come.
    pub fn handle_timer(&mut self, now: Now, snapshot: &Snapshot<'_>) {
        // A timer that was superseded is ignored.
        if now.steady < self.next_timer {
            return;
        }
        let second_elapsed = now.steady - self.last_second >= SECOND;
        if second_elapsed || !self.is_idle() {
            let trunk_groups = std::mem::take(&mut self.trunk_groups);
            let site = snapshot.site_load().with_trunk_groups_and_health(&trunk_groups, self.health());
            self.registry.evaluate(now, &self.traffic, &site);
            if second_elapsed {
                self.run_each_second(now, snapshot, &site);
            }
            drop(site);
            self.trunk_groups = trunk_groups;
            self.process_registry_outputs(now);
        }
        let mut sessions = std::mem::take(&mut self.sessions);
        sessions.send_due_views(now.steady, |topic, search| self.topic_body(now, topic, search, snapshot));
        self.sessions = sessions;
        self.process_session_outputs();
        self.schedule(now);
    }

    /// Does the work of each second: advances the metrics, evaluates the alarms, and continues the return of restored
    /// groups.
    fn run_each_second(&mut self, now: Now, snapshot: &Snapshot<'_>, site: &SiteLoad<'_>) {
        let elapsed = now.steady - self.last_second;
        self.last_second = now.steady;
        for (first_hop, destination, calls) in site.established() {
            self.traffic.record_held(
                now.steady,
                Exchange(destination.0),
                Exchange(first_hop.0),
                calls,
                elapsed,
            );
        }
        let abandoned = snapshot.ledger.counts().abandoned;
        (self.abandoned..abandoned).for_each(|_| self.service.record(now.steady, CallOutcome::Abandoned));
        self.abandoned = abandoned;
        self.service.advance(now.steady);
        self.answer_times.advance(now.steady);
        self.exchange_metrics.advance(now.steady);
        let listed: BTreeSet<u16> = site.neighbours().iter().map(|n| n.exchange.0).collect();
        self.exchange_metrics.retain(|e| listed.contains(&e));
        let lost = self.log.as_ref().map_or(0, |l| l.lost_lines());
        if lost > self.log_lost {
            tracing::warn!(
                lines = lost - self.log_lost,
                "log lines were lost: they were not written fast enough"
            );
            self.log_lost = lost;
        }
        let observations =
            alarms::evaluate(&self.thresholds, snapshot, &self.service, &self.registry, now.wall);
        let keys: BTreeSet<_> = observations.iter().map(|o| o.key.clone()).collect();
        let mut changes = self.alarms.retain(now.steady, |k| keys.contains(k));
        for o in observations {
            changes.extend(self.alarms.evaluate(now.steady, o.key, o.value, o.rule, || o.text));
        }
        for change in changes {
            match change {
                AlarmChange::Raised(key, alarm) => {
                    self.publish_event(now, "alarm", format!("raised: {key}: {}", alarm.text));
                }
                AlarmChange::Cleared(key, duration) => {
                    self.publish_event(
                        now,
                        "alarm",
                        format!("cleared: {key}, after {} s", seconds(duration)),
                    );
                }
            }
        }
        self.outputs.push(Output::RampRestoredGroups);
    }

    /// The health of the calls that are not refused because of a drain.
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

    // ---- Outputs ----

    /// Whether no drain and no round is in progress.
    fn is_idle(&self) -> bool {
        self.registry.drains().is_empty() && self.registry.plan().is_none_or(Plan::is_stopped)
    }

    /// Requests a timer for the next time at which there is work, unless an earlier one is set.
    fn schedule(&mut self, now: Now) {
        let views = self.sessions.next_view_due().unwrap_or(Micros::MAX);
        let drains = if self.is_idle() { Micros::MAX } else { self.registry.next_evaluation(now) };
        let next = views.min(drains).min(self.last_second + SECOND).max(now.steady + 1);
        if next < self.next_timer || self.next_timer <= now.steady {
            self.next_timer = next;
            self.outputs.push(Output::SetTimer(next));
        }
    }

    fn process_registry_outputs(&mut self, now: Now) {
        for output in self.registry.take_outputs() {
            match output {
                registry::Output::Save(number, saved) => self.outputs.push(Output::Save(number, saved)),
                registry::Output::Answer(waiter, answer) => {
                    let Some((client, id)) = self.waiters.remove(&waiter) else { continue };
                    let result = match answer.done {
                        true => Ok(Body::Done { order: answer.order.unwrap_or(0), text: answer.text }),
                        false => Err(answer.text),
                    };
                    self.sessions.reply(client, id, result);
                }
                registry::Output::SetOutOfService(state) => {
                    self.outputs.push(Output::SetOutOfService(OutOfService {
                        exchanges: exchange_numbers(&state.exchanges),
                        groups: exchange_numbers(&state.groups),
                        controller: state.refuse_new_calls,
                    }))
                }
                registry::Output::Cut(target) => {
                    self.publish_event(now, "drain", format!("{target}: the calls that are left are cut"));
                    self.outputs.push(Output::CutCalls(target));
                }
                registry::Output::Event(event) => {
                    let (kind, text) = event_text(&event);
                    self.publish_event(now, kind, text);
                }
            }
        }
        self.process_session_outputs();
    }

    fn process_session_outputs(&mut self) {
        for output in self.sessions.take_outputs() {
            match output {
                sessions::Output::Ready(client) => self.send_pending(client),
                // Sends what is pending; the connection closes once its queue is drained.
                sessions::Output::Close(client) => {
                    self.send_pending(client);
                    if let Some(queue) = self.write_queues.get(&client) {
                        queue.close();
                    }
                }
                sessions::Output::Abort(client) => {
                    if let Some(queue) = self.write_queues.get(&client) {
                        queue.close();
                    }
                }
            }
        }
    }

    /// Passes a batch of the pending messages of a client to its connection, if that has taken the previous batch.
    fn send_pending(&mut self, client: ClientId) {
        let Some(queue) = self.write_queues.get(&client).filter(|q| q.is_empty()) else { return };
        let mut bytes = Vec::new();
        while let Some(frame) =
            (bytes.len() < BATCH_BYTES).then(|| self.sessions.next_message(client)).flatten()
        {
            bytes.extend(frame);
        }
        if !bytes.is_empty() {
            // The queue has room: this is its only sender, and it was empty.
            let _ = queue.try_send(bytes);
        }
    }

    /// Records an event of another subsystem.
    pub fn record_event(&mut self, now: Micros, wall: Micros, kind: &str, text: String) {
        self.publish_event(Now::new(now, wall), kind, text);
        self.process_session_outputs();
    }

    /// Writes an event to the log.
    pub fn log_event(kind: &str, text: &str) {
        tracing::info!(target: "walnuthatch::events", kind, "{text}");
    }

    fn publish_event(&mut self, now: Now, kind: &str, text: String) {
        Appliance::log_event(kind, &text);
        self.event_number += 1;
        let event = Event { at_ms: now.wall / 1000, number: self.event_number, kind: kind.to_owned(), text };
        self.sessions.publish(&event);
        self.events.push_back(event);
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    // ---- Requests ----

    fn handle_request(&mut self, now: Now, pending: PendingRequest, snapshot: &Snapshot<'_>) {
        let PendingRequest { client, request } = pending;
        let operator = if request.who.is_empty() { "unknown".to_owned() } else { request.who };
        let id = request.id;
        let target = |text: &str| text.parse::<Target>().map_err(|e| e.to_string());
        let result = match request.operation {
            Operation::Show { topic, search } => Ok(self.topic_body(now, topic, &search, snapshot)),
            Operation::Audit => Ok(self.audit()),
            Operation::Config => Ok(Body::Text { text: snapshot.config.summary() }),
            Operation::Cost { target: text } => target(&text).map(|t| self.cost(now, t, snapshot)),
            Operation::Log { filter } => self.set_log(now, &operator, filter),
            Operation::Seen { alarm } => match self.alarms.acknowledge(&alarm, &operator) {
                true => {
                    self.publish_event(now, "alarm", format!("seen by {operator}: {alarm}"));
                    Ok(Body::Text { text: format!("{alarm}: seen by {operator}") })
                }
                false => Err(format!("alarm: {alarm:?} is not raised")),
            },
            Operation::Stop => {
                self.publish_event(now, "program", format!("{operator} stops the controller"));
                self.outputs.push(Output::Stop);
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
                    return self.submit_order(now, client, id, operator, command, snapshot);
                }
            },
            Operation::Undrain { target: text } => match target(&text) {
                Err(e) => Err(e),
                Ok(target) => {
                    return self.submit_order(
                        now,
                        client,
                        id,
                        operator,
                        Command::Undrain { target },
                        snapshot,
                    )
                }
            },
            Operation::Round { targets, reason, pause_s } => {
                match targets.iter().map(|t| target(t)).collect::<Result<Vec<_>, _>>() {
                    Err(e) => Err(e),
                    Ok(targets) => {
                        let pause = pause_s.map(|s| Micros::from(s) * SECOND);
                        let command = Command::Round { targets, reason, pause };
                        return self.submit_order(now, client, id, operator, command, snapshot);
                    }
                }
            }
            Operation::Next => return self.submit_order(now, client, id, operator, Command::Next, snapshot),
            Operation::Halt => return self.submit_order(now, client, id, operator, Command::Halt, snapshot),
            // The sessions answer these themselves.
            Operation::Watch { .. } | Operation::Unwatch => return,
        };
        self.sessions.reply(client, id, result);
    }

    fn submit_order(
        &mut self,
        now: Now,
        client: ClientId,
        id: String,
        operator: String,
        command: Command,
        snapshot: &Snapshot<'_>,
    ) {
        self.next_waiter += 1;
        let waiter = self.next_waiter;
        self.waiters.insert(waiter, (client, id.clone()));
        let request = registry::OrderRequest { request_id: id, requested_by: operator, command };
        let trunk_groups = std::mem::take(&mut self.trunk_groups);
        let site = snapshot.site_load().with_trunk_groups_and_health(&trunk_groups, self.health());
        self.registry.submit(now, request, Some(waiter), &self.traffic, &site);
        drop(site);
        self.trunk_groups = trunk_groups;
        self.process_registry_outputs(now);
    }

    fn set_log(&mut self, now: Now, operator: &str, filter: Option<String>) -> Result<Body, String> {
        let log = self.log.clone().ok_or("log: none is kept here")?;
        if let Some(filter) = filter {
            log.set_filter(&filter).map_err(|e| e.to_string())?;
            self.publish_event(now, "program", format!("{operator} sets the log to {filter}"));
        }
        Ok(Body::Text { text: log.filter() })
    }

    // ---- Views ----

    fn topic_body(&self, now: Now, topic: Topic, search: &str, snapshot: &Snapshot<'_>) -> Body {
        match topic {
            Topic::Status => Body::Status(self.status(snapshot)),
            Topic::Exchanges => Body::Exchanges { exchanges: self.exchange_views(snapshot) },
            Topic::Calls => {
                let (calls, total) = snapshot.calls(search, MAX_LISTED_CALLS);
                Body::Calls { calls, total }
            }
            Topic::Service => Body::Service(self.service_view()),
            Topic::Drains => Body::Drains {
                drains: self.registry.drains().iter().map(|d| drain_view(now, d)).collect(),
                over: self.registry.finished().map(|d| drain_view(now, d)).collect(),
                windows: self.windows(now),
                round: self.registry.plan().map(|p| round_view(now, p)),
            },
            Topic::Alarms => {
                let view = |(key, a): (
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
                Body::Alarms { alarms: self.alarms.raised().into_iter().map(view).collect() }
            }
            Topic::Counters => {
                // The snapshot's counters lack those of the appliance while the appliance makes a view.
                let counters = (snapshot.counters)().into_iter().chain(self.counters());
                Body::Counters { counters: counters.collect() }
            }
            Topic::Peers => Body::Peers { peers: snapshot.gossip.map_or_else(Vec::new, Gossip::peers) },
            Topic::Suspicions => {
                let suspicions = snapshot.gossip.map_or_else(Vec::new, |g| g.suspicions(now.steady));
                Body::Suspicions { suspicions }
            }
            Topic::Events => Body::Events { events: self.events.iter().cloned().collect() },
        }
    }

    fn status(&self, snapshot: &Snapshot<'_>) -> views::Status {
        let raised = self.alarms.raised();
        let mut s = snapshot.status();
        let own_drain = self.registry.drains().iter().find(|d| d.target == Target::Controller);
        if !snapshot.stopping {
            if let Some(d) = own_drain.filter(|d| d.state.in_force()) {
                s.state = if d.state == State::Empty { "drained" } else { "draining" }.to_owned();
            }
        }
        s.alarms = raised.len();
        s.worst = raised.first().map_or(String::new(), |(key, a)| format!("{key}: {}", a.text));
        s.drains = self.registry.drains().len();
        s.state_folder = match (self.has_state_folder, self.registry.unsaved()) {
            (false, _) => "off",
            (true, true) => "unsaved",
            (true, false) => "saved",
        }
        .to_owned();
        s.log_lost = self.log_lost;
        s.clients = self.sessions.len();
        s
    }

    fn exchange_views(&self, snapshot: &Snapshot<'_>) -> Vec<views::Exchange> {
        let mut all = snapshot.exchanges();
        for e in &mut all {
            let targets = [Target::Exchange(Exchange(e.exchange)), Target::Group(Exchange(e.exchange))];
            let drain = self.registry.drains().iter().find(|d| targets.contains(&d.target));
            e.drain = drain.map_or(String::new(), |d| {
                let group = if matches!(d.target, Target::Group(_)) { "group " } else { "" };
                format!("{group}{}", d.state.name())
            });
            if let Some(metrics) = self.exchange_metrics.get(e.exchange) {
                let Quantiles { count, p50, p99, .. } = metrics.setup_times.quantiles();
                (e.stood, e.p50_ms, e.p99_ms) = (count, millis(p50), millis(p99));
                e.turned_away = metrics.unsuccessful_attempts;
                e.history = metrics.history().to_vec();
            }
        }
        all
    }

    fn service_view(&self) -> views::Service {
        let spans = self.service.windows().iter().zip(WINDOWS).map(|(counts, seconds)| views::Span {
            seconds: seconds as u64,
            answered: counts.answered(),
            in_aim_share: counts.share_within_objective(),
            by_fate: OUTCOMES.iter().map(|o| (o.name().to_owned(), counts.get(*o))).collect(),
        });
        let q = self.answer_times.quantiles();
        views::Service {
            spans: spans.collect(),
            answers: q.count,
            p50_ms: millis(q.p50),
            p99_ms: millis(q.p99),
            p999_ms: millis(q.p999),
            history: self.service.history::<HISTORY_SECONDS>().to_vec(),
        }
    }

    fn windows(&self, now: Now) -> Vec<views::Window> {
        let view = |w: &walnuthatch_drains::windows::Window| views::Window {
            name: w.name.clone(),
            target: w.target.to_string(),
            open: w.open_at(now.wall).is_some(),
            next_at_ms: w.next_after(now.wall).map(|t| t / 1000),
            length_s: seconds(w.length),
        };
        self.registry.windows().iter().map(view).collect()
    }

    fn audit(&self) -> Body {
        let view = |a: &walnuthatch_drains::saved::AuditEntry| views::Audit {
            at_ms: a.wall / 1000,
            who: a.who.clone(),
            what: a.what.clone(),
            answer: a.answer.clone(),
        };
        Body::Audit { audit: self.registry.audit().map(view).collect() }
    }

    fn cost(&self, now: Now, target: Target, snapshot: &Snapshot<'_>) -> Body {
        let site = snapshot.site_load().with_trunk_groups_and_health(&self.trunk_groups, self.health());
        let c = self.registry.cost(now, target, &self.traffic, &site);
        let denied = self.registry.dry_run(now, target, false, &self.traffic, &site).err();
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
        halted: if let Stage::Halted(reason) = &p.stage { reason.clone() } else { String::new() },
        for_s: seconds(now.steady - p.since),
        who: p.requested_by.clone(),
        reason: p.reason.clone(),
    }
}

/// The kind and the text of an event.
fn event_text(event: &DrainEvent) -> (&'static str, String) {
    match event {
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
            let reason =
                if let Stage::Halted(reason) = stage { format!(": {reason}") } else { String::new() };
            ("round", format!("{}{at}{reason}", stage.name()))
        }
        DrainEvent::WindowDenied { window, reason } => {
            ("window", format!("{window} could not begin: {reason}"))
        }
        DrainEvent::SaveFailed(reason) => ("state", format!("not saved: {reason}")),
        DrainEvent::SaveRecovered => ("state", "saved again".to_owned()),
    }
}
