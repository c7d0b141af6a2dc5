//! The one task's state: it owns the ledger with the decision module in it, the fronts, the links and every
//! deadline. News comes in, [`Switchboard::turn`] settles it, and lines go to the connections' outboxes.

use super::appliance::Appliance;
use super::config::{Config, ConfigError};
use super::console;
use super::counters::{self, WireCounts};
use super::gossip::Gossip;
use super::log::{self, CALLS, CONNECTIONS};
use super::telemetry::ExportCounts;
use crate::protocol::client::{ClientConnections, ClientOutput, ClientRequest, ClientTimer};
use crate::protocol::json_lines::{Kind, Message, Sid};
use crate::protocol::membership::{MemberAddress, MemberIds};
use crate::protocol::mgcp::agent::{Agent, AgentDue, AgentOutput};
use crate::protocol::otlp::{CallSpan, MetricsSnapshot};
use crate::protocol::upstream::{UpstreamConnections, UpstreamOutput, UpstreamTimer};
use crate::protocol::ConnId;
use crate::routing::interface::{CallId, ListEntry, ListUpdate, LoadReport, Micros, PeerNumber};
use crate::routing::ledger::{AnswerReason, FrontendId, Ledger, LedgerTimer, Output};
use crate::routing::timer_queue::TimerQueue;
use crate::transport::outbox::Outbox;
use crate::transport::saver::Saving;
use crate::transport::{ConnNews, Inbound, Side};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use walnuthatch_drains::saved::Saved;
use walnuthatch_drains::target::Now;

mod exports;
mod gossip;
mod operators;
mod stop;

use stop::{ListenerState, Stop};

/// The platform's front.
pub const LINES: FrontendId = FrontendId(0);
/// The front towards gateways.
pub const GATEWAYS: FrontendId = FrontendId(1);
/// A test passes this long after the start even if an exchange has not been heard of (µs).
const SETTLE: Micros = 1_500_000;
/// After an event of the coordinator that can't be used, the whole list is asked for this long after (µs).
const LIST_AGAIN: Micros = 1_000_000;
/// Spans kept between two exports; more are dropped.
const SPANS: usize = 512;

/// Everything that can fall due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The ledger's.
    Ledger(LedgerTimer),
    /// The links'.
    Link(UpstreamTimer),
    /// The callers'.
    Caller(ClientTimer),
    /// The call agent's.
    Agent(AgentDue),
    /// Hand the figures to the exporter.
    Export,
    /// The appliance's.
    Appliance,
    /// Gossip's.
    Gossip,
    /// The next phase of a stop begins.
    Stop,
    /// The whole list is to be asked for.
    ListAgain,
}

/// What only the transport can do.
#[derive(Debug)]
pub enum Task {
    /// Open a connection to an exchange.
    Connect(ConnId, SocketAddr, Outbox),
    /// Send a datagram to peers.
    Peer(SocketAddr, Vec<u8>),
    /// Send a datagram to a gateway.
    Gateway(SocketAddr, Vec<u8>),
    /// Send a datagram to an instance that gossips.
    Gossip(SocketAddr, Vec<u8>),
    /// Hand these figures to the exporter.
    Export(MetricsSnapshot),
    /// Print the answer to a command.
    Print(String),
    /// Write the state that survives.
    Save(Saving),
    /// Ask the coordinator anew.
    Refetch,
    /// Follow the coordinator at this address from now on.
    Follow(Option<SocketAddr>),
    /// Listen for callers no more, and say so.
    StopListening,
}

/// The state of the task that owns routing.
#[derive(Debug)]
pub struct Switchboard {
    ledger: Ledger,
    callers: ClientConnections,
    links: UpstreamConnections,
    agent: Option<Agent>,
    appliance: Option<Appliance>,
    gossip: Option<Gossip>,
    member_ids: MemberIds,
    deadlines: TimerQueue<Due>,
    outboxes: HashMap<(Side, ConnId), Outbox>,
    tasks: Vec<Task>,
    counts: WireCounts,
    /// As read at the start, and anew since.
    config: Config,
    born: Micros,
    stopping: Option<Stop>,
    /// The operator wants no new calls.
    draining: bool,
    /// How far the wall's clock is ahead of the program's.
    wall_ahead: Micros,
    /// The aim of each class.
    aims: Vec<Micros>,
    spans: Vec<CallSpan>,
    exported: Rc<ExportCounts>,
    minted: u64,
}

impl Switchboard {
    /// The state at the start, with the list as it was last known.
    pub fn new(config: &Config, now: Micros) -> Self {
        Switchboard::resume(config, now, None, None)
    }

    /// The state at the start, with what an earlier life of the program saved.
    pub fn resume(config: &Config, now: Micros, saved: Option<Saved>, log: Option<Rc<log::Log>>) -> Self {
        let s = &config.settings;
        let appliance = config
            .appliance
            .as_ref()
            .map(|a| Appliance::new(Now::new(now, now), a, s.own_exchange, s.drain_grace, saved, log));
        let mut board = Switchboard {
            ledger: Ledger::new(config.settings.clone(), config.seed),
            callers: ClientConnections::new(now, LINES, config.classes.clone(), config.usual_callers())
                .with_quiet_period(s.quiet_period + s.min_batch_interval),
            links: UpstreamConnections::new(now, config.connect_timeout, config.settings.own_exchange),
            agent: config.mgcp.as_ref().map(|m| Agent::new(GATEWAYS, m.agent.clone(), config.seed)),
            appliance,
            gossip: config.gossip.as_ref().map(|g| Gossip::new(now, g, config.seed)),
            member_ids: MemberIds::new(config.zones.clone()),
            deadlines: TimerQueue::default(),
            outboxes: HashMap::new(),
            tasks: Vec::new(),
            counts: WireCounts::default(),
            config: config.clone(),
            born: now,
            stopping: None,
            draining: false,
            wall_ahead: 0,
            aims: config.settings.classes.iter().map(|c| c.latency_objective).collect(),
            spans: Vec::new(),
            exported: Rc::default(),
            minted: config.seed,
        };
        if let Some(t) = &board.config.telemetry {
            board.deadlines.add(now + t.interval, Due::Export);
        }
        let gateways = board.gateway_entries();
        if !gateways.is_empty() {
            board.ledger.list_update(now, ListUpdate::Cached(gateways.into()));
        }
        if let Some(agent) = &mut board.agent {
            agent.start(now);
        }
        for update in &config.known {
            board.list(now, update, true);
        }
        board.settle(now);
        board
    }

    /// Takes one piece of news and does all that follows from it.
    pub fn take(&mut self, now: Micros, news: Inbound) {
        match news {
            Inbound::Conn(side, conn, news) => self.conn(now, side, conn, news),
            Inbound::List(event) => self.list(now, &event.data, false),
            Inbound::Stream(Ok(())) => tracing::debug!("coordinator: stream up"),
            Inbound::Stream(Err(why)) => {
                self.counts.stream_losses += 1;
                tracing::info!("coordinator: {why}");
            }
            Inbound::Peer { from, body } => {
                if let Some(at) = self.config.peers.iter().position(|p| *p == from) {
                    self.counts.peers_in += 1;
                    self.ledger.peer_message(now, PeerNumber(at as u32), body);
                }
            }
            Inbound::Gateway { from, body } => {
                self.counts.gateways_in += 1;
                if let Some(agent) = &mut self.agent {
                    agent.datagram(now, from, &body);
                }
            }
            Inbound::Command(line) => {
                let (text, act) = console::run(&self.scene(now), &line);
                self.tasks.push(Task::Print(text));
                match act {
                    Some(console::Act::Drain(on)) => self.draining = on,
                    Some(console::Act::Stop) => self.stop(now),
                    None => {}
                }
            }
            Inbound::Report => {
                tracing::info!("{}", counters::line(&self.counters()));
            }
            Inbound::Gossip { from, body } => {
                if let Some(g) = &mut self.gossip {
                    g.datagram(now, from, &body);
                }
            }
            Inbound::Control(news) => {
                self.with_appliance(now, |a, clocks, scene| a.take(clocks, news, scene));
            }
            Inbound::Stop => self.stop(now),
            Inbound::NotListening => {
                if let Some(stop) = &mut self.stopping {
                    stop.listener = ListenerState::Closed;
                }
            }
            // Whoever runs the switchboard reads the files: see `Switchboard::reload`.
            Inbound::Reload => {}
        }
        self.settle(now);
    }

    /// Goes over to a configuration that was read anew, as far as a running program can; calls are untouched. A
    /// faulty one is logged by its key, and the running one kept.
    pub fn reload(&mut self, read: Result<Config, ConfigError>) {
        let new = match read {
            Ok(new) => new,
            Err(e) => {
                self.counts.bad_reloads += 1;
                return tracing::warn!("configuration kept: {e}");
            }
        };
        self.counts.reloads += 1;
        for key in self.config.needs_restart(&new) {
            tracing::info!(key, "configuration: {key}: takes effect at the next start");
        }
        if self.config.coordinator != new.coordinator {
            self.tasks.push(Task::Follow(new.coordinator));
        }
        self.config.follow(new);
        if let (Some(a), Some(config)) = (&mut self.appliance, &self.config.appliance) {
            a.reload(config, self.config.settings.drain_grace);
        }
        if let (Some(g), Some(config)) = (&mut self.gossip, &self.config.gossip) {
            g.reload(config);
        }
        tracing::info!("configuration read anew");
    }

    /// Sweeps the deadlines.
    pub fn sweep(&mut self, now: Micros) {
        while let Some(due) = self.deadlines.pop_expired(now) {
            match due {
                Due::Ledger(due) => self.ledger.timer_expired(now, due),
                Due::Link(due) => self.links.timer_expired(now, due),
                Due::Caller(due) => self.callers.timer_expired(now, due),
                Due::Agent(due) => {
                    if let Some(agent) = &mut self.agent {
                        agent.due(now, due);
                    }
                }
                Due::Export => self.export(now),
                Due::Gossip => self.gossip_due(now),
                Due::Appliance => self.with_appliance(now, Appliance::look),
                Due::Stop => self.advance_stop(now),
                Due::ListAgain => self.tasks.push(Task::Refetch),
            }
            self.settle(now);
        }
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.next_expiry()
    }

    /// What the transport is to do.
    pub fn take_tasks(&mut self) -> Vec<Task> {
        std::mem::take(&mut self.tasks)
    }

    /// Ends every connection once what waits on it has been sent.
    pub fn close_all(&self) {
        self.outboxes.values().for_each(Outbox::close);
    }

    /// Connections that have not ended.
    pub fn connections(&self) -> usize {
        self.outboxes.len()
    }

    /// All counters.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let (callers, links) = (self.callers.counts(), self.links.counts());
        let mut table = counters::table(&self.counts, self.ledger.counts(), &callers, &links);
        if self.config.telemetry.is_some() {
            table.extend(self.exported.table());
        }
        if let Some(a) = &self.appliance {
            table.extend(a.counters());
        }
        if let Some(g) = &self.gossip {
            table.extend(g.counters());
        }
        if let Some(agent) = &self.agent {
            table.extend(counters::agent_table(&agent.counts(), agent.repeats()));
        }
        table
    }

    // ---- News ----

    fn conn(&mut self, now: Micros, side: Side, conn: ConnId, news: ConnNews) {
        match (side, news) {
            (Side::Callers, ConnNews::Accepted(outbox)) => self.accepted(now, conn, outbox),
            (Side::Exchanges, ConnNews::Connected) => {
                tracing::debug!(target: CONNECTIONS, conn = conn.0, "up");
                self.links.connected(now, conn);
            }
            (_, ConnNews::Message(message)) => {
                self.counts.messages_in += 1;
                match side {
                    Side::Callers => self.caller(now, conn, message),
                    Side::Exchanges => self.links.message(now, conn, message),
                }
            }
            (side, ConnNews::Bad(why)) => {
                tracing::debug!(target: CONNECTIONS, ?side, conn = conn.0, "unreadable: {why}");
                self.counts.malformed += 1;
                match side {
                    Side::Callers => self.callers.protocol_error(now, conn),
                    Side::Exchanges => self.links.protocol_error(now, conn),
                }
            }
            (side, ConnNews::ReadingStopped) => {
                if side == Side::Callers {
                    self.callers.reading_stopped(conn);
                }
            }
            (Side::Exchanges, ConnNews::Half(half)) => self.links.partial_message(now, conn, half),
            (Side::Callers, ConnNews::Half(half)) => self.callers.partial_message(now, conn, half),
            (side, ConnNews::Closed(how)) => {
                tracing::debug!(target: CONNECTIONS, ?side, conn = conn.0, "closed: {how:?}");
                // The one place where an outbox is given back.
                self.outboxes.remove(&(side, conn));
                match side {
                    Side::Callers => {
                        let lost = self.callers.closed(now, conn);
                        lost.into_iter().for_each(|call| self.ledger.caller_left(now, call));
                    }
                    Side::Exchanges => self.links.closed(now, conn, how),
                }
            }
            (Side::Callers, ConnNews::Connected) | (Side::Exchanges, ConnNews::Accepted(_)) => {}
        }
    }

    fn accepted(&mut self, now: Micros, conn: ConnId, outbox: Outbox) {
        self.counts.accepted += 1;
        tracing::debug!(target: CONNECTIONS, conn = conn.0, "caller's connection up");
        self.outboxes.insert((Side::Callers, conn), outbox);
        self.callers.opened(now, conn);
    }

    fn caller(&mut self, now: Micros, conn: ConnId, message: Message) {
        match self.callers.message(now, conn, message) {
            ClientRequest::Offer(sid, key, offer) => {
                let (class, left) = (offer.new_call.class, offer.new_call.remaining_time);
                tracing::debug!(target: CALLS, %sid, conn = conn.0, class, left, "taken");
                let call = self.ledger.offer(now, *offer);
                self.callers.call_offered(conn, sid, key, call);
            }
            ClientRequest::Clear(call) => {
                tracing::debug!(target: CALLS, call = call.0, conn = conn.0, "given up or released by its caller");
                self.ledger.caller_left(now, call);
            }
            ClientRequest::ReleasePreviousRun(sid) => self.links.release_previous_run(sid),
            ClientRequest::Probe(sid) => {
                let ready = self.links.all_contacted() || now - self.born >= SETTLE;
                let draining = self.draining || self.appliance.as_ref().is_some_and(Appliance::fails_tests);
                let code = u16::from(ready && self.stopping.is_none() && !draining);
                let message = Message { code: Some(code), ..Message::new(Kind::Probed, sid) };
                self.send(Side::Callers, conn, None, &message);
            }
            ClientRequest::None => {}
        }
    }

    fn list(&mut self, now: Micros, json: &str, cached: bool) {
        self.counts.list_events += 1;
        let update = match self.member_ids.parse_event(json, cached) {
            Ok(update) => update,
            Err(e) => {
                self.counts.bad_list_events += 1;
                if !cached {
                    // What it was to tell is told once more with the whole list.
                    self.deadlines.add(now + LIST_AGAIN, Due::ListAgain);
                }
                return tracing::warn!("coordinator: {e}");
            }
        };
        let (entries, complete) = match &update.list_update {
            ListUpdate::Failed => return,
            ListUpdate::Changes(e) => (e.clone(), false),
            ListUpdate::Complete(e) | ListUpdate::Cached(e) => (e.clone(), true),
        };
        // The coordinator knows nothing of gateways: a whole list of its own must not remove them.
        let whole = || entries.iter().cloned().chain(self.gateway_entries()).collect();
        let news = match update.list_update {
            ListUpdate::Complete(_) => ListUpdate::Complete(whole()),
            ListUpdate::Cached(_) => ListUpdate::Cached(whole()),
            other => other,
        };
        for (entry, place) in entries.iter().zip(&update.addresses) {
            let (member, state) = (&place.member, entry.state);
            tracing::debug!(target: "walnuthatch::list", index = update.index, %member, "{state:?}");
        }
        // The ledger first: the guard on drains must know before anything else is done.
        self.ledger.list_update(now, news);
        self.links.update_list(now, &entries, &update.addresses, complete);
    }

    fn gateway_entries(&self) -> Vec<ListEntry> {
        self.agent.as_ref().map_or_else(Vec::new, Agent::entries)
    }

    // ---- What follows ----

    /// Carries out what the ledger, the links and the call agent ask for, until none asks for more.
    fn settle(&mut self, now: Micros) {
        loop {
            let (ledger, links) = (self.ledger.take_outputs(), self.links.take_outputs());
            let agent = self.agent.as_mut().map_or_else(Vec::new, Agent::take_outputs);
            let callers = self.callers.take_outputs();
            let gossiped = self.follow_gossip(now);
            let orders = self.appliance.as_mut().map_or_else(Vec::new, Appliance::take_outputs);
            if ledger.is_empty()
                && links.is_empty()
                && agent.is_empty()
                && callers.is_empty()
                && orders.is_empty()
                && !gossiped
            {
                if self.stop_listening_if_served(now) {
                    continue;
                }
                return;
            }
            for output in orders {
                self.appliance_output(now, output);
            }
            for output in ledger {
                self.ledger_output(now, output);
            }
            for output in links {
                self.link_output(now, output);
            }
            for output in agent {
                self.agent_output(now, output);
            }
            for output in callers {
                self.caller_output(now, output);
            }
        }
    }

    fn ledger_output(&mut self, now: Micros, output: Output) {
        self.observe(now, &output);
        match output {
            Output::SetUp { call, attempt, exchange_id, timeout: wait } => match &mut self.agent {
                Some(agent) if agent.has(exchange_id) => {
                    let description = self.ledger.offered_call(call).and_then(|o| o.description.as_ref());
                    agent.set_up(now, (call, attempt), exchange_id, description);
                }
                _ => {
                    if let Some(message) = self.set_up_message(call, wait) {
                        self.links.set_up(now, (call, attempt), exchange_id, message);
                    }
                }
            },
            Output::Clear { call, attempt, exchange_id } => match &mut self.agent {
                Some(agent) if agent.has(exchange_id) => agent.clear(now, call, attempt),
                _ => self.links.clear(now, call, attempt),
            },
            Output::Answer { frontend, call, answer, offered_at: taken, destination, .. } => {
                self.span(call, &answer, (taken, now), destination);
                match &mut self.agent {
                    Some(agent) if frontend == GATEWAYS => agent.answer(now, call, &answer),
                    _ => self.callers.answer(now, call, answer),
                }
            }
            Output::Release { frontend, call, cut } => match &mut self.agent {
                Some(agent) if frontend == GATEWAYS => agent.release(now, call),
                _ => self.callers.release(now, call, cut),
            },
            Output::AttemptEnded { .. } => {}
            Output::Probe(office) => self.links.probe(now, office),
            // With gossip the own groups are told on its signed path.
            Output::SendToPeer { .. } if self.gossip.is_some() => {}
            Output::SendToPeer { to, body } => self.tell_peers(to, body),
            Output::FetchList => self.tasks.push(Task::Refetch),
            Output::Log(line) => tracing::info!("{line}"),
            Output::SetTimer(at, due) => self.deadlines.add(at, Due::Ledger(due)),
        }
    }

    fn link_output(&mut self, now: Micros, output: UpstreamOutput) {
        match output {
            UpstreamOutput::Connect(conn, MemberAddress { address, member }) => {
                tracing::debug!(target: CONNECTIONS, conn = conn.0, %member, %address, "connecting");
                let outbox = Outbox::default();
                self.outboxes.insert((Side::Exchanges, conn), outbox.clone());
                self.tasks.push(Task::Connect(conn, address, outbox));
            }
            UpstreamOutput::Send { conn, message, set_up } => {
                self.send(Side::Exchanges, conn, set_up, &message);
            }
            UpstreamOutput::CancelSetUp { conn, call, message } => {
                let outbox = self.outboxes.get(&(Side::Exchanges, conn));
                if !outbox.is_some_and(|o| o.take_back(call)) {
                    self.send(Side::Exchanges, conn, None, &message);
                }
            }
            UpstreamOutput::WithdrawSetUp { conn, call, attempt } => {
                let outbox = self.outboxes.get(&(Side::Exchanges, conn));
                if outbox.is_some_and(|o| o.take_back(call)) {
                    self.links.set_up_withdrawn(call, attempt);
                }
            }
            UpstreamOutput::Disconnect(conn, why) => {
                tracing::debug!(target: CONNECTIONS, conn = conn.0, "exchange's connection ended: {why}");
                if let Some(outbox) = self.outboxes.get(&(Side::Exchanges, conn)) {
                    outbox.cut();
                }
            }
            UpstreamOutput::SetTimer(at, due) => self.deadlines.add(at, Due::Link(due)),
            UpstreamOutput::Answered(call, attempt, text) => {
                if !self.ledger.attempt_answered(now, call, attempt, text) {
                    self.links.clear(now, call, attempt);
                }
            }
            UpstreamOutput::Ended(call, attempt, how, load) => {
                self.ledger.attempt_ended(now, call, attempt, how, load);
            }
            UpstreamOutput::GroupReport(office, load) => self.ledger.group_report(now, office, load),
            UpstreamOutput::ProbeFailed(office) => self.ledger.probe_failed(now, office),
            UpstreamOutput::ConnectionDropped(member, why) => {
                tracing::info!(%member, "exchange {member}: connection given up: {why}");
            }
            UpstreamOutput::LeasesExpired(member, calls) => {
                tracing::info!(%member, calls, "exchange {member}: nothing heard for too long, {calls} calls cut");
            }
            UpstreamOutput::PreviousRunReleased(sid, code) => {
                self.callers.release_previous_run(now, sid, code)
            }
        }
    }

    fn caller_output(&mut self, now: Micros, output: ClientOutput) {
        let outbox = |conn| self.outboxes.get(&(Side::Callers, conn));
        match output {
            ClientOutput::Send(conn, message) => self.send(Side::Callers, conn, None, &message),
            ClientOutput::Fail(call) => self.ledger.fail_call(now, call, AnswerReason::ConnectionEnding),
            ClientOutput::Closing(conn, why) => {
                tracing::debug!(target: CONNECTIONS, conn = conn.0, "caller's connection ends: {why:?}");
            }
            ClientOutput::StopReading(conn) => drop(outbox(conn).map(Outbox::stop_reading)),
            ClientOutput::Close(conn) => drop(outbox(conn).map(Outbox::close)),
            ClientOutput::Abort(conn) => drop(outbox(conn).map(Outbox::cut)),
            ClientOutput::SetTimer(at, due) => self.deadlines.add(at, Due::Caller(due)),
        }
    }

    fn agent_output(&mut self, now: Micros, output: AgentOutput) {
        match output {
            AgentOutput::Datagram(to, body) => {
                self.counts.gateways_out += 1;
                self.tasks.push(Task::Gateway(to, body));
            }
            AgentOutput::Wake(at, due) => self.deadlines.add(at, Due::Agent(due)),
            AgentOutput::Offer(port, offer) => {
                let call = self.ledger.offer(now, *offer);
                if let Some(agent) = &mut self.agent {
                    agent.taken(port, call);
                }
            }
            AgentOutput::Left(call) => self.ledger.caller_left(now, call),
            AgentOutput::Answered(call, attempt, text) => {
                if !self.ledger.attempt_answered(now, call, attempt, text) {
                    if let Some(agent) = &mut self.agent {
                        agent.clear(now, call, attempt);
                    }
                }
            }
            AgentOutput::Ended(call, attempt, how) => {
                self.ledger.attempt_ended(now, call, attempt, how, LoadReport::default());
            }
            AgentOutput::Group(office, load) => self.ledger.group_report(now, office, load),
            AgentOutput::List(entry) => self.ledger.list_update(now, ListUpdate::Changes([entry].into())),
        }
    }

    fn set_up_message(&mut self, call: CallId, wait: Micros) -> Option<Message> {
        let offer = self.ledger.offered_call(call)?;
        let class = self.config.classes.get(offer.new_call.class)?.clone();
        let (sid, key) = match self.callers.sid_and_number(call) {
            Some(known) => known,
            None => {
                // A call of another front has no name on this wire yet.
                self.minted = self.minted.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let number = self.agent.as_ref().and_then(|a| a.number(call));
                (Sid(self.minted), number.map(Value::from))
            }
        };
        let mut message =
            Message::new(Kind::Open, Some(sid)).with("class", class).with("left", (wait / 1000).to_string());
        if let Some(key) = key {
            message.attrs.insert("key".to_owned(), key);
        }
        message.text = offer.description.clone();
        Some(message)
    }

    fn send(&mut self, side: Side, conn: ConnId, set_up: Option<CallId>, message: &Message) {
        let Some(outbox) = self.outboxes.get(&(side, conn)) else { return };
        self.counts.messages_out += 1;
        if !outbox.push(set_up, message.to_line()) {
            // Guards this task and its memory against a peer that does not read.
            self.counts.overflows += 1;
            outbox.cut();
        }
    }

    fn tell_peers(&mut self, to: Option<PeerNumber>, body: Vec<u8>) {
        let address = match to {
            Some(peer) => self.config.peers.get(peer.0 as usize).copied(),
            None => self.config.peers_all,
        };
        if let Some(address) = address.filter(|_| body.len() <= 256) {
            self.counts.peers_out += 1;
            self.tasks.push(Task::Peer(address, body));
        }
    }
}
