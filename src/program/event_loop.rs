//! The state of the task that owns routing: the ledger with its decision module, the front ends, the connections to
//! exchanges and every timer.
//!
//! [`EventLoop::handle`] takes one event, carries out everything that follows from it, and leaves lines in the
//! connections' outboxes and commands for the transport. Nothing here does I/O or waits.

use super::appliance::Appliance;
use super::config::{Config, ConfigError};
use super::console;
use super::counters::{self, WireCounts};
use super::gossip::Gossip;
use super::log::{self, CONNECTIONS_TARGET};
use super::telemetry::ExportCounters;
use crate::protocol::client::{ClientConnections, ClientTimer};
use crate::protocol::json_lines::{Kind, Message, Sid};
use crate::protocol::membership::{MemberAddress, MemberIds};
use crate::protocol::mgcp::agent::{Agent, AgentOutput, AgentTimer};
use crate::protocol::otlp::{CallSpan, MetricsSnapshot};
use crate::protocol::run_id::RunId;
use crate::protocol::upstream::{UpstreamConnections, UpstreamOutput, UpstreamTimer};
use crate::protocol::ConnId;
use crate::routing::interface::{CallId, ListEntry, ListUpdate, LoadReport, Micros, PeerNumber};
use crate::routing::ledger::{FrontendId, Ledger, LedgerTimer, Output};
use crate::routing::timer_queue::TimerQueue;
use crate::transport::outbox::Outbox;
use crate::transport::saver::SaveRequest;
use crate::transport::{ConnEvent, Inbound, Side};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use walnuthatch_drains::saved::Saved;
use walnuthatch_drains::target::Now;

mod callers;
mod exports;
mod gossip;
mod operators;
mod stop;

use stop::{ListenerState, Stop};

/// Target of this module's log events; operators' log filters name it.
const LOG_TARGET: &str = "walnuthatch::program::switchboard";
/// The front end for the platform's JSON lines protocol.
pub const JSON_LINES_FRONTEND: FrontendId = FrontendId(0);
/// The front end for media gateways (MGCP).
pub const GATEWAY_FRONTEND: FrontendId = FrontendId(1);
/// Health probes pass this long after the start (µs) even if some exchange has neither reported nor proved
/// unreachable.
const STARTUP_GRACE: Micros = 1_500_000;
/// Delay before the complete list is fetched again after an invalid event from the coordinator (µs).
const LIST_REFETCH_DELAY: Micros = 1_000_000;
/// Maximum number of spans buffered between two exports; further spans are dropped.
const MAX_BUFFERED_SPANS: usize = 512;

/// Identifies a timer of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKey {
    /// A timer of the ledger.
    Ledger(LedgerTimer),
    /// A timer of the connections to exchanges.
    Upstream(UpstreamTimer),
    /// A timer of the callers' connections.
    Client(ClientTimer),
    /// A timer of the MGCP call agent.
    Agent(AgentTimer),
    /// Pass a snapshot of the metrics to the exporter.
    Export,
    /// The timer of the appliance.
    Appliance,
    /// The timer of the gossip subsystem.
    Gossip,
    /// The next phase of a shutdown starts.
    Stop,
    /// Fetch the complete exchange list again.
    RefetchList,
}

/// An action that the event loop requests from the transport.
#[derive(Debug)]
pub enum TransportCommand {
    /// Open a connection to an exchange.
    Connect(ConnId, SocketAddr, Outbox),
    /// Send a datagram to one peer or to the peers' common address.
    SendToPeers(SocketAddr, Vec<u8>),
    /// Send a datagram to a gateway.
    SendToGateway(SocketAddr, Vec<u8>),
    /// Send a gossip datagram to another instance.
    SendGossip(SocketAddr, Vec<u8>),
    /// Pass a snapshot of the metrics to the exporter.
    Export(MetricsSnapshot),
    /// Print the answer to a console command.
    Print(String),
    /// Write the persistent state to the state folder.
    Save(SaveRequest),
    /// Fetch the complete exchange list from the coordinator.
    RefetchList,
    /// Follow the coordinator at this address from now on; `None` follows none.
    FollowCoordinator(Option<SocketAddr>),
    /// Stop accepting callers' connections, then confirm with [`Inbound::ListenerClosed`].
    StopListening,
}

/// The state of the task that owns routing.
#[derive(Debug)]
pub struct EventLoop {
    ledger: Ledger,
    callers: ClientConnections,
    upstream: UpstreamConnections,
    agent: Option<Agent>,
    appliance: Option<Appliance>,
    gossip: Option<Gossip>,
    member_ids: MemberIds,
    timers: TimerQueue<TimerKey>,
    outboxes: HashMap<(Side, ConnId), Outbox>,
    commands: Vec<TransportCommand>,
    counts: WireCounts,
    /// The configuration in force, with the changes of later reloads.
    config: Config,
    started_at: Micros,
    stopping: Option<Stop>,
    /// Health probes fail because the console command `drain` was given.
    draining: bool,
    /// Wall-clock time minus program time.
    wall_clock_offset: Micros,
    /// The latency objective of each class.
    latency_objectives: Vec<Micros>,
    spans: Vec<CallSpan>,
    export_counts: Rc<ExportCounters>,
    /// State of the generator of call names for calls that did not come over the JSON lines protocol.
    sid_generator: u64,
}

impl EventLoop {
    /// Creates the event loop with the last known exchange list and the state that an earlier run saved.
    pub fn resume(
        config: &Config,
        run_id: RunId,
        now: Micros,
        saved: Option<Saved>,
        log: Option<Rc<log::Log>>,
    ) -> Self {
        let s = &config.settings;
        let appliance = config
            .appliance
            .as_ref()
            .map(|a| Appliance::new(Now::new(now, now), a, s.own_exchange, s.drain_grace, saved, log));
        let mut event_loop = EventLoop {
            ledger: Ledger::new(config.settings.clone(), config.seed),
            callers: ClientConnections::new(
                now,
                JSON_LINES_FRONTEND,
                config.classes.clone(),
                config.soft_caller_limit(),
            )
            .with_quiet_period(s.quiet_period + s.min_batch_interval),
            upstream: UpstreamConnections::new(now, config.connect_timeout, config.settings.own_exchange),
            agent: config.mgcp.as_ref().map(|m| Agent::new(GATEWAY_FRONTEND, m.agent.clone(), run_id)),
            appliance,
            gossip: config.gossip.as_ref().map(|g| Gossip::new(now, g, config.seed)),
            member_ids: MemberIds::new(config.failure_domains.clone()),
            timers: TimerQueue::default(),
            outboxes: HashMap::new(),
            commands: Vec::new(),
            counts: WireCounts::default(),
            config: config.clone(),
            started_at: now,
            stopping: None,
            draining: false,
            wall_clock_offset: 0,
            latency_objectives: config.settings.classes.iter().map(|c| c.latency_objective).collect(),
            spans: Vec::new(),
            export_counts: Rc::default(),
            sid_generator: run_id.0,
        };
        if let Some(t) = &event_loop.config.telemetry {
            event_loop.timers.add(now + t.interval, TimerKey::Export);
        }
        let gateways = event_loop.gateway_entries();
        if !gateways.is_empty() {
            event_loop.ledger.list_update(now, ListUpdate::Cached(gateways.into()));
        }
        if let Some(agent) = &mut event_loop.agent {
            tracing::info!(
                target: LOG_TARGET,
                "gateways: transaction identifiers start at {}",
                agent.next_transaction()
            );
            agent.start(now);
        }
        for update in &config.initial_list_updates {
            event_loop.handle_list_event(now, update, true);
        }
        event_loop.process_outputs(now);
        event_loop
    }

    /// Handles one event and carries out everything that follows from it.
    pub fn handle(&mut self, now: Micros, event: Inbound) {
        match event {
            Inbound::Conn(side, conn, event) => self.handle_connection_event(now, side, conn, event),
            Inbound::CoordinatorEvent(event) => self.handle_list_event(now, &event.data, false),
            Inbound::CoordinatorStream(Ok(())) => {
                tracing::debug!(target: LOG_TARGET, "coordinator: event stream connected")
            }
            Inbound::CoordinatorStream(Err(reason)) => {
                self.counts.stream_losses += 1;
                tracing::info!(target: LOG_TARGET, "coordinator: {reason}");
            }
            Inbound::PeerDatagram { from, body } => {
                if let Some(index) = self.config.peers.iter().position(|p| *p == from) {
                    self.counts.peers_in += 1;
                    self.ledger.peer_message(now, PeerNumber(index as u32), body);
                }
            }
            Inbound::GatewayDatagram { from, body } => {
                self.counts.gateways_in += 1;
                if let Some(agent) = &mut self.agent {
                    agent.datagram(now, from, &body);
                }
            }
            Inbound::ConsoleLine(line) => {
                let (text, action) = console::execute(&self.snapshot(now), &line);
                self.commands.push(TransportCommand::Print(text));
                match action {
                    Some(console::Action::Drain(on)) => self.draining = on,
                    Some(console::Action::Stop) => self.stop(now),
                    None => {}
                }
            }
            Inbound::LogCounters => {
                tracing::info!(target: LOG_TARGET, "{}", counters::line(&self.counters()));
            }
            Inbound::GossipDatagram { from, body } => {
                if let Some(g) = &mut self.gossip {
                    g.datagram(now, from, &body);
                }
            }
            Inbound::Control(event) => {
                self.with_appliance(now, |a, times, snapshot| a.handle_control_event(times, event, snapshot));
            }
            Inbound::Stop => self.stop(now),
            Inbound::ListenerClosed => {
                if let Some(stop) = &mut self.stopping {
                    stop.listener = ListenerState::Closed;
                }
            }
            // The caller of this function reads the files and calls `EventLoop::reload`.
            Inbound::Reload => {}
        }
        self.process_outputs(now);
    }

    /// Applies the settings of a reloaded configuration that can change at run time; calls are not affected. If the
    /// new configuration is invalid, the error is logged with its key and the running configuration is kept.
    pub fn reload(&mut self, loaded: Result<Config, ConfigError>) {
        let new = match loaded {
            Ok(new) => new,
            Err(e) => {
                self.counts.bad_reloads += 1;
                return tracing::warn!(target: LOG_TARGET, "configuration kept: {e}");
            }
        };
        self.counts.reloads += 1;
        for key in self.config.keys_needing_restart(&new) {
            tracing::info!(
                target: LOG_TARGET,
                key,
                "configuration: {key}: the change takes effect at the next start"
            );
        }
        if self.config.coordinator != new.coordinator {
            self.commands.push(TransportCommand::FollowCoordinator(new.coordinator));
        }
        self.config.apply_reload(new);
        if let (Some(a), Some(config)) = (&mut self.appliance, &self.config.appliance) {
            a.reload(config, self.config.settings.drain_grace);
        }
        if let (Some(g), Some(config)) = (&mut self.gossip, &self.config.gossip) {
            g.reload(config);
        }
        tracing::info!(target: LOG_TARGET, "configuration read anew");
    }

    /// Handles all timers that have expired.
    pub fn expire_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                TimerKey::Ledger(timer) => self.ledger.timer_expired(now, timer),
                TimerKey::Upstream(timer) => self.upstream.timer_expired(now, timer),
                TimerKey::Client(timer) => self.callers.timer_expired(now, timer),
                TimerKey::Agent(timer) => {
                    if let Some(agent) = &mut self.agent {
                        agent.timer_expired(now, timer);
                    }
                }
                TimerKey::Export => self.export(now),
                TimerKey::Gossip => self.handle_gossip_timer(now),
                TimerKey::Appliance => self.with_appliance(now, Appliance::handle_timer),
                TimerKey::Stop => self.advance_stop(now),
                TimerKey::RefetchList => self.commands.push(TransportCommand::RefetchList),
            }
            self.process_outputs(now);
        }
        let ledger = &self.ledger;
        self.timers.remove_obsolete(|timer| matches!(timer, TimerKey::Ledger(t) if ledger.is_obsolete(t)));
    }

    /// The expiry time of the earliest timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_expiry()
    }

    /// Takes the commands for the transport, in the order in which they were requested.
    pub fn take_commands(&mut self) -> Vec<TransportCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Closes every connection once its outbox has been sent.
    pub fn close_all(&self) {
        self.outboxes.values().for_each(Outbox::close);
    }

    /// The number of connections that are not closed yet.
    pub fn connections(&self) -> usize {
        self.outboxes.len()
    }

    /// All counters.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let (callers, upstream) = (self.callers.counts(), self.upstream.counts());
        let mut table = counters::table(&self.counts, self.ledger.counts(), &callers, &upstream);
        if self.config.telemetry.is_some() {
            table.extend(self.export_counts.values());
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

    // ---- Events ----

    fn handle_connection_event(&mut self, now: Micros, side: Side, conn: ConnId, event: ConnEvent) {
        match (side, event) {
            (Side::Callers, ConnEvent::Accepted(outbox)) => self.accept_connection(now, conn, outbox),
            (Side::Exchanges, ConnEvent::Connected) => {
                tracing::debug!(target: CONNECTIONS_TARGET, conn = conn.0, "connected to the exchange");
                self.upstream.connected(now, conn);
            }
            (_, ConnEvent::Message(message, _permit)) => {
                self.counts.messages_in += 1;
                match side {
                    Side::Callers => self.handle_caller_message(now, conn, message),
                    Side::Exchanges => self.upstream.message(now, conn, message),
                }
            }
            (side, ConnEvent::InvalidLine(reason)) => {
                tracing::debug!(target: CONNECTIONS_TARGET, ?side, conn = conn.0, "unreadable input: {reason}");
                self.counts.malformed += 1;
                match side {
                    Side::Callers => self.callers.protocol_error(now, conn),
                    Side::Exchanges => self.upstream.protocol_error(now, conn),
                }
            }
            (Side::Callers, ConnEvent::PeerClosed) => {
                let abandoned = self.callers.peer_closed(now, conn);
                self.callers_left(now, abandoned);
            }
            (side, ConnEvent::ReadingStopped) => {
                if side == Side::Callers {
                    self.callers.reading_stopped(conn);
                }
            }
            (Side::Exchanges, ConnEvent::PartialLine(partial)) => {
                self.upstream.partial_message(now, conn, partial)
            }
            (Side::Callers, ConnEvent::PartialLine(partial)) => {
                self.callers.partial_message(now, conn, partial)
            }
            (side, ConnEvent::Closed(reason)) => {
                tracing::debug!(target: CONNECTIONS_TARGET, ?side, conn = conn.0, "closed: {reason:?}");
                // The only place that removes an outbox.
                self.outboxes.remove(&(side, conn));
                match side {
                    Side::Callers => {
                        let abandoned = self.callers.closed(now, conn);
                        self.callers_left(now, abandoned);
                    }
                    Side::Exchanges => self.upstream.closed(now, conn, reason),
                }
            }
            (Side::Callers, ConnEvent::Connected)
            | (Side::Exchanges, ConnEvent::Accepted(_) | ConnEvent::PeerClosed) => {}
        }
    }

    fn callers_left(&mut self, now: Micros, abandoned: Vec<CallId>) {
        abandoned.into_iter().for_each(|call| self.ledger.caller_left(now, call));
    }

    fn accept_connection(&mut self, now: Micros, conn: ConnId, outbox: Outbox) {
        self.counts.accepted += 1;
        tracing::debug!(target: CONNECTIONS_TARGET, conn = conn.0, "caller's connection accepted");
        self.outboxes.insert((Side::Callers, conn), outbox);
        self.callers.opened(now, conn);
    }

    fn handle_list_event(&mut self, now: Micros, json: &str, cached: bool) {
        self.counts.list_events += 1;
        let update = match self.member_ids.parse_event(json, cached) {
            Ok(update) => update,
            Err(e) => {
                self.counts.bad_list_events += 1;
                if !cached {
                    // The complete list contains the changes that this event announced.
                    self.timers.add(now + LIST_REFETCH_DELAY, TimerKey::RefetchList);
                }
                return tracing::warn!(target: LOG_TARGET, "coordinator: {e}");
            }
        };
        let (entries, complete) = match &update.list_update {
            ListUpdate::Failed => return,
            ListUpdate::Changes(e) => (e.clone(), false),
            ListUpdate::Complete(e) | ListUpdate::Cached(e) => (e.clone(), true),
        };
        // The coordinator does not know the gateways: its complete list must not remove them.
        let with_gateways = || entries.iter().cloned().chain(self.gateway_entries()).collect();
        let list_update = match update.list_update {
            ListUpdate::Complete(_) => ListUpdate::Complete(with_gateways()),
            ListUpdate::Cached(_) => ListUpdate::Cached(with_gateways()),
            other => other,
        };
        for (entry, address) in entries.iter().zip(&update.addresses) {
            let (member, state) = (&address.member, entry.state);
            tracing::debug!(target: "walnuthatch::list", index = update.index, %member, "{state:?}");
        }
        // The ledger first: its drain check must know the new states before anything else is done.
        self.ledger.list_update(now, list_update);
        self.upstream.update_list(now, &entries, &update.addresses, complete);
    }

    fn gateway_entries(&self) -> Vec<ListEntry> {
        self.agent.as_ref().map_or_else(Vec::new, Agent::list_entries)
    }

    // ---- Outputs of the subsystems ----

    /// Carries out the outputs of all subsystems until none of them has any left.
    fn process_outputs(&mut self, now: Micros) {
        loop {
            let (ledger, upstream) = (self.ledger.take_outputs(), self.upstream.take_outputs());
            let agent = self.agent.as_mut().map_or_else(Vec::new, Agent::take_outputs);
            let callers = self.callers.take_outputs();
            let had_gossip = self.process_gossip_outputs(now);
            let appliance = self.appliance.as_mut().map_or_else(Vec::new, Appliance::take_outputs);
            if ledger.is_empty()
                && upstream.is_empty()
                && agent.is_empty()
                && callers.is_empty()
                && appliance.is_empty()
                && !had_gossip
            {
                if self.stop_listening_if_finished(now) {
                    continue;
                }
                return;
            }
            for output in appliance {
                self.handle_appliance_output(now, output);
            }
            for output in ledger {
                self.handle_ledger_output(now, output);
            }
            for output in upstream {
                self.handle_upstream_output(now, output);
            }
            for output in agent {
                self.handle_agent_output(now, output);
            }
            for output in callers {
                self.handle_caller_output(now, output);
            }
        }
    }

    fn handle_ledger_output(&mut self, now: Micros, output: Output) {
        self.observe(now, &output);
        match output {
            Output::SetUp { call, attempt, exchange_id, timeout } => match &mut self.agent {
                Some(agent) if agent.serves(exchange_id) => {
                    let description = self.ledger.offered_call(call).and_then(|o| o.description.as_ref());
                    agent.set_up(now, (call, attempt), exchange_id, description);
                }
                _ => {
                    if let Some(message) = self.set_up_message(call, timeout) {
                        self.upstream.set_up(now, (call, attempt), exchange_id, message);
                    }
                }
            },
            Output::Clear { call, attempt, exchange_id } => match &mut self.agent {
                Some(agent) if agent.serves(exchange_id) => agent.clear(now, call, attempt),
                _ => self.upstream.clear(now, call, attempt),
            },
            Output::Answer { frontend, call, answer, offered_at, destination, .. } => {
                self.record_span(call, &answer, (offered_at, now), destination);
                match &mut self.agent {
                    Some(agent) if frontend == GATEWAY_FRONTEND => agent.answer(now, call, &answer),
                    _ => self.callers.answer(now, call, answer),
                }
            }
            Output::Release { frontend, call, cut } => match &mut self.agent {
                Some(agent) if frontend == GATEWAY_FRONTEND => agent.release(now, call),
                _ => self.callers.release(now, call, cut),
            },
            Output::AttemptEnded { .. } => {}
            Output::Probe(exchange_id) => self.upstream.probe(now, exchange_id),
            // With gossip enabled, this instance's groups are announced in its signed datagrams instead.
            Output::SendToPeer { .. } if self.gossip.is_some() => {}
            Output::SendToPeer { to, body } => self.send_to_peers(to, body),
            Output::FetchList => self.commands.push(TransportCommand::RefetchList),
            Output::Log(line) => tracing::info!(target: LOG_TARGET, "{line}"),
            Output::SetTimer(at, timer) => self.timers.add(at, TimerKey::Ledger(timer)),
        }
    }

    fn handle_upstream_output(&mut self, now: Micros, output: UpstreamOutput) {
        match output {
            UpstreamOutput::Connect(conn, MemberAddress { address, member }) => {
                tracing::debug!(target: CONNECTIONS_TARGET, conn = conn.0, %member, %address, "connecting");
                let outbox = Outbox::default();
                self.outboxes.insert((Side::Exchanges, conn), outbox.clone());
                self.commands.push(TransportCommand::Connect(conn, address, outbox));
            }
            UpstreamOutput::Send { conn, message: _, set_up: Some(call) }
                if !self.has_room_for_set_up(conn) =>
            {
                self.counts.set_ups_not_sent += 1;
                self.upstream.set_up_not_sent(call);
            }
            UpstreamOutput::Send { conn, message, set_up } => {
                self.send(Side::Exchanges, conn, set_up, &message);
            }
            UpstreamOutput::CancelSetUp { conn, call, message } => {
                let outbox = self.outboxes.get(&(Side::Exchanges, conn));
                if !outbox.is_some_and(|o| o.remove_unsent(call)) {
                    self.send(Side::Exchanges, conn, None, &message);
                }
            }
            UpstreamOutput::WithdrawSetUp { conn, call, attempt } => {
                let outbox = self.outboxes.get(&(Side::Exchanges, conn));
                if outbox.is_some_and(|o| o.remove_unsent(call)) {
                    self.upstream.set_up_withdrawn(call, attempt);
                }
            }
            UpstreamOutput::Disconnect(conn, reason) => {
                tracing::debug!(target: CONNECTIONS_TARGET, conn = conn.0, "connection to the exchange closed: {reason}");
                if let Some(outbox) = self.outboxes.get(&(Side::Exchanges, conn)) {
                    outbox.abort();
                }
            }
            UpstreamOutput::SetTimer(at, timer) => self.timers.add(at, TimerKey::Upstream(timer)),
            UpstreamOutput::Answered(call, attempt, description) => {
                if !self.ledger.attempt_answered(now, call, attempt, description) {
                    self.upstream.clear(now, call, attempt);
                }
            }
            UpstreamOutput::Ended(call, attempt, ending, load) => {
                self.ledger.attempt_ended(now, call, attempt, ending, load);
            }
            UpstreamOutput::GroupReport(exchange_id, load) => {
                self.ledger.group_report(now, exchange_id, load)
            }
            UpstreamOutput::ProbeFailed(exchange_id) => self.ledger.probe_failed(now, exchange_id),
            UpstreamOutput::ConnectionDropped(member, reason) => {
                tracing::info!(target: LOG_TARGET, %member, "exchange {member}: connection closed: {reason}");
            }
            UpstreamOutput::LeasesExpired(member, calls) => {
                tracing::info!(
                    target: LOG_TARGET,
                    %member,
                    calls,
                    "exchange {member}: lease expired, {calls} calls cut"
                );
            }
            UpstreamOutput::PreviousRunReleased(sid, code) => {
                self.callers.release_previous_run(now, sid, code)
            }
        }
    }

    fn handle_agent_output(&mut self, now: Micros, output: AgentOutput) {
        match output {
            AgentOutput::Datagram(to, body) => {
                self.counts.gateways_out += 1;
                self.commands.push(TransportCommand::SendToGateway(to, body));
            }
            AgentOutput::SetTimer(at, timer) => self.timers.add(at, TimerKey::Agent(timer)),
            AgentOutput::OfferCall(port, offer) => {
                let call = self.ledger.offer(now, *offer);
                if let Some(agent) = &mut self.agent {
                    agent.call_offered(port, call);
                }
            }
            AgentOutput::CallerLeft(call) => self.ledger.caller_left(now, call),
            AgentOutput::AttemptAnswered(call, attempt, description) => {
                if !self.ledger.attempt_answered(now, call, attempt, description) {
                    if let Some(agent) = &mut self.agent {
                        agent.clear(now, call, attempt);
                    }
                }
            }
            AgentOutput::AttemptEnded(call, attempt, ending) => {
                self.ledger.attempt_ended(now, call, attempt, ending, LoadReport::default());
            }
            AgentOutput::GroupReport(exchange_id, load) => self.ledger.group_report(now, exchange_id, load),
            AgentOutput::ListUpdate(entry) => {
                self.ledger.list_update(now, ListUpdate::Changes([entry].into()))
            }
        }
    }

    fn set_up_message(&mut self, call: CallId, timeout: Micros) -> Option<Message> {
        let offer = self.ledger.offered_call(call)?;
        let class = self.config.classes.get(offer.new_call.class)?.clone();
        let (sid, key) = match self.callers.sid_and_number(call) {
            Some(particulars) => particulars,
            None => {
                // A call from another front end has no name in this protocol yet.
                self.sid_generator =
                    self.sid_generator.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let number = self.agent.as_ref().and_then(|a| a.dialled_number(call));
                (Sid(self.sid_generator), number.map(Value::from))
            }
        };
        let mut message = Message::new(Kind::Open, Some(sid))
            .with("class", class)
            .with("left", (timeout / 1000).to_string());
        if let Some(key) = key {
            message.attrs.insert("key".to_owned(), key);
        }
        message.text = offer.description.clone();
        Some(message)
    }

    /// Whether the connection to an exchange takes another set-up. True for one that is ending, with which its set-ups
    /// end as well.
    fn has_room_for_set_up(&self, conn: ConnId) -> bool {
        self.outboxes.get(&(Side::Exchanges, conn)).is_none_or(Outbox::has_room_for_set_up)
    }

    fn send(&mut self, side: Side, conn: ConnId, set_up: Option<CallId>, message: &Message) {
        let Some(outbox) = self.outboxes.get(&(side, conn)) else { return };
        self.counts.messages_out += 1;
        if !outbox.push(set_up, message.to_line()) {
            // Protects this task and its memory from a peer that does not read.
            self.counts.overflows += 1;
            outbox.abort();
        }
    }

    fn send_to_peers(&mut self, to: Option<PeerNumber>, body: Vec<u8>) {
        let address = match to {
            Some(peer) => self.config.peers.get(peer.0 as usize).copied(),
            None => self.config.peers_all,
        };
        if let Some(address) = address.filter(|_| body.len() <= 256) {
            self.counts.peers_out += 1;
            self.commands.push(TransportCommand::SendToPeers(address, body));
        }
    }
}
