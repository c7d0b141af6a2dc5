//! The call agent, a state machine without I/O. The endpoints of the gateways originate calls that it offers to the
//! routing core, and receive calls that the core sets up through it.
//!
//! A call from an endpoint: NTFY reports off-hook and the dialled digits, CRCX gets the session description of the
//! endpoint, then the call is offered to the core. The final answer is an MDCX with the remote session description,
//! or a DLCX with a tone. A set-up towards an endpoint is a CRCX that rings it; the call is established when NTFY
//! reports off-hook, or with the response to CRCX if the gateway answers by itself. DLCX clears a call, and an
//! endpoint is free again only when its DLCX has been answered.

use super::super::run_id::RunId;
use super::super::upstream::lease::LEASE_DURATION;
use super::codes;
use super::message::{self, parse_events, Command, EndpointName, Message, Params, Response, Verb};
use super::transactions::{new_command, CommandTransactions, ResponseHistory, TimeoutAction};
use crate::routing::interface::{
    AttemptNumber, CallId, Cause, Ending, ExchangeId, ExchangeKind, ExchangeNumber, ListEntry, ListState,
    LoadReport, Micros, NewCall,
};
use crate::routing::ledger::{Answer, FrontendId, OfferedCall, SessionDescription};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The port number that marks an [`ExchangeId`] as a gateway; exchanges of the coordinator's list never have it.
const GATEWAY_PORT: u16 = 1;
/// Interval between audits of an endpoint that does not answer (µs).
const AUDIT_INTERVAL: Micros = 5_000_000;
/// Interval between checks of the gateway of an established call (µs). A gateway from which nothing came since the
/// last check is audited.
const LEASE_CHECK_INTERVAL: Micros = 2_000_000;
/// Maximum number of digits that are collected.
const MAX_DIGITS: usize = 32;

/// The event that establishes a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum AnsweredBy {
    /// The called endpoint goes off-hook.
    #[default]
    OffHook,
    /// The response to CRCX, for devices without a hook.
    Connection,
}

/// Configuration of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The domain part of its endpoint names, in lower case.
    pub name: String,
    /// The address of its MGCP socket.
    pub address: SocketAddr,
    /// The exchange number under which the core routes calls to it.
    pub exchange: ExchangeNumber,
    /// The prefix of the numbers that it serves; if empty, no numbers.
    pub prefix: String,
    /// The local parts of its endpoint names, in lower case.
    pub endpoints: Vec<String>,
    /// The event that establishes a call at its endpoints.
    pub answered_by: AnsweredBy,
}

/// Configuration of the call agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentConfig {
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Prefixes of numbers at other exchanges, with the exchange.
    pub routes: Vec<(String, ExchangeNumber)>,
    /// Number of digits after which dialling is complete.
    pub number_length: usize,
    /// Index of the class of calls from endpoints.
    pub class: usize,
    /// How long a call from an endpoint may wait for its final answer.
    pub client_timeout: Micros,
}

/// Identifies a timer of the agent. Endpoints are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentTimer {
    /// Retransmit the command of this transaction, or give it up.
    Transaction(u32),
    /// The client timeout of a caller whose connection is being created: endpoint and MGCP call identifier.
    CallerConnection(usize, u64),
    /// Audit this endpoint.
    Audit(usize),
    /// Check the gateway of an established call: endpoint and MGCP call identifier.
    Lease(usize, u64),
}

/// Actions for the transport and reports to the core.
#[derive(Debug, PartialEq)]
pub enum AgentOutput {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Call [`Agent::timer_expired`] at this time.
    SetTimer(Micros, AgentTimer),
    /// Offer this call to the core, then call [`Agent::call_offered`] with the index of the endpoint.
    OfferCall(usize, Box<OfferedCall>),
    /// The caller left before or after the call was established.
    CallerLeft(CallId),
    /// A set-up was answered, with the session description of the called endpoint.
    AttemptAnswered(CallId, AttemptNumber, Option<SessionDescription>),
    /// An attempt or an established call ended.
    AttemptEnded(CallId, AttemptNumber, (Ending, Cause)),
    /// The number of free endpoints of a gateway, and of all its endpoints.
    GroupReport(ExchangeId, LoadReport),
    /// The state of a gateway changed.
    ListUpdate(ListEntry),
}

/// Counters since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentCounts {
    /// Commands received, without repeated ones.
    pub commands_in: u64,
    /// Commands sent, without retransmissions.
    pub commands_out: u64,
    /// Messages that could not be parsed.
    pub unusable: u64,
    /// Commands for unknown endpoints.
    pub unknown_endpoint: u64,
    /// Connections created after the agent had given up their call; each was deleted.
    pub late_answers: u64,
    /// Commands that got no final response.
    pub unanswered: u64,
    /// Calls released because nothing came from their gateway any more.
    pub lease_expired: u64,
    /// Calls that were not offered to the core: the number was unknown, or the caller's connection was not created.
    pub not_offered: u64,
}

/// What a pending command is for. Endpoints are given by their index, calls by their MGCP call identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// RQNT.
    RequestNotification(usize),
    /// CRCX for a caller or a called endpoint.
    CreateConnection(usize, u64),
    /// MDCX that connects the caller to the far end.
    ConnectCaller(usize, u64),
    /// DLCX after which the endpoint is free.
    DeleteConnection(usize, u64),
    /// DLCX for a connection that was created after the agent had given it up.
    DeleteLateConnection(usize),
    /// AUEP.
    Audit(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum EndpointState {
    /// On-hook and free.
    Idle,
    /// Off-hook, with the digits dialled so far.
    Dialling(String),
    /// CRCX for a caller has been sent.
    CreatingConnection { destination: ExchangeNumber, number: String, deadline: Micros },
    /// The call has been offered to the core, which may not have assigned its identifier yet.
    Offered(Option<CallId>),
    /// The call from this endpoint is established.
    Established(CallId),
    /// The call has ended; the caller hears a tone or silence until it goes on-hook.
    AwaitingOnHook,
    /// The core is setting up, or has established, a call to this endpoint.
    Called { call: CallId, attempt: AttemptNumber, stage: SetUpStage },
    /// DLCX has been sent.
    Deleting,
    /// A command was not answered; the endpoint is audited until it answers.
    Unresponsive,
}

#[derive(Clone, Debug, PartialEq)]
enum SetUpStage {
    CreatingConnection,
    /// Holds the session description of the called endpoint.
    Ringing(Option<SessionDescription>),
    Established,
}

#[derive(Debug)]
struct Endpoint {
    name: EndpointName,
    /// Index of the gateway.
    gateway: usize,
    state: EndpointState,
    /// The MGCP call identifier (parameter C) of the current call; 0 stands for any call.
    mgcp_call_id: u64,
    /// The connection identifier that the gateway assigned.
    connection: Option<String>,
    /// The transaction of a CRCX that has not been answered.
    create_transaction: Option<u32>,
    /// The request identifier (parameter X) that notifications must carry.
    request_id: u32,
    dialled_number: Option<String>,
}

/// The call agent.
#[derive(Debug)]
pub struct Agent {
    frontend: FrontendId,
    config: AgentConfig,
    endpoints: Vec<Endpoint>,
    /// State and last restart of each gateway.
    gateway_states: Vec<(ListState, Option<Micros>)>,
    /// The number of free endpoints last reported for each gateway.
    reported_free: Vec<Option<usize>>,
    /// When a datagram last came from each gateway.
    last_heard: Vec<Micros>,
    /// Where the search for a free endpoint of each gateway starts.
    next_endpoint: Vec<usize>,
    /// Calls from endpoints, with the index of the endpoint.
    originating_calls: BTreeMap<CallId, usize>,
    /// Calls set up at endpoints, with the index of the endpoint.
    terminating_calls: BTreeMap<CallId, usize>,
    transactions: CommandTransactions<Purpose>,
    history: ResponseHistory,
    next_mgcp_call_id: u64,
    next_request_id: u32,
    outputs: Vec<AgentOutput>,
    counts: AgentCounts,
}

impl Agent {
    /// Creates an agent; [`Agent::start`] sends the first commands.
    pub fn new(frontend: FrontendId, config: AgentConfig, run_id: RunId) -> Self {
        let mut endpoints = Vec::new();
        for (index, gateway) in config.gateways.iter().enumerate() {
            for local in &gateway.endpoints {
                let name = EndpointName { local: local.clone(), domain: gateway.name.clone() };
                endpoints.push(Endpoint {
                    name,
                    gateway: index,
                    state: EndpointState::Idle,
                    mgcp_call_id: 0,
                    connection: None,
                    create_transaction: None,
                    request_id: 0,
                    dialled_number: None,
                });
            }
        }
        let n = config.gateways.len();
        Agent {
            frontend,
            endpoints,
            gateway_states: vec![(ListState::Ready, None); n],
            reported_free: vec![None; n],
            last_heard: vec![0; n],
            next_endpoint: vec![0; n],
            originating_calls: BTreeMap::new(),
            terminating_calls: BTreeMap::new(),
            transactions: CommandTransactions::new(run_id),
            history: ResponseHistory::default(),
            // A gateway may hold connections of the previous run and send its notifications late.
            next_mgcp_call_id: run_id.0.rotate_left(17) | 1,
            next_request_id: (run_id.0 >> 32) as u32,
            outputs: Vec::new(),
            counts: AgentCounts::default(),
            config,
        }
    }

    /// Deletes the connections that a previous run left at the endpoints, and reports the free endpoints of each
    /// gateway. When its DLCX is answered, an endpoint is asked to report off-hook.
    pub fn start(&mut self, now: Micros) {
        (0..self.endpoints.len())
            .for_each(|index| self.delete_connection(now, index, Params::default(), EndpointState::Deleting));
        self.report_free_endpoints();
    }

    /// The gateways as entries of the list of exchanges.
    pub fn list_entries(&self) -> Vec<ListEntry> {
        (0..self.config.gateways.len()).map(|gateway| self.list_entry(gateway)).collect()
    }

    /// Whether the exchange is one of the agent's gateways.
    pub fn serves(&self, exchange_id: ExchangeId) -> bool {
        self.gateway_of(exchange_id).is_some()
    }

    /// The number dialled by the caller, if the call comes from an endpoint.
    pub fn dialled_number(&self, call: CallId) -> Option<&str> {
        self.originating_calls.get(&call).and_then(|&index| self.endpoints[index].dialled_number.as_deref())
    }

    /// Removes and returns the pending outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<AgentOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Counters since the start of the program.
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// The identifier of the next command's transaction.
    pub fn next_transaction(&self) -> u32 {
        self.transactions.next_id()
    }

    /// Number of retransmitted commands, and of repeated commands that were answered again.
    pub fn repeats(&self) -> (u64, u64) {
        (self.transactions.retransmissions, self.history.repeated_commands)
    }

    /// Name, state, number of free endpoints and number of endpoints of each gateway.
    pub fn gateway_summaries(&self) -> impl Iterator<Item = (&str, ListState, usize, usize)> + '_ {
        let gateways = self.config.gateways.iter().zip(&self.gateway_states).enumerate();
        gateways.map(|(i, (gateway, state))| {
            (gateway.name.as_str(), state.0, self.free_endpoints(i), gateway.endpoints.len())
        })
    }

    fn exchange_id_of(gateway: usize) -> ExchangeId {
        ExchangeId { addr: (gateway as u32).to_be_bytes(), port: GATEWAY_PORT }
    }

    fn gateway_of(&self, exchange_id: ExchangeId) -> Option<usize> {
        let gateway = u32::from_be_bytes(exchange_id.addr) as usize;
        (exchange_id.port == GATEWAY_PORT && gateway < self.config.gateways.len()).then_some(gateway)
    }

    fn list_entry(&self, gateway: usize) -> ListEntry {
        let (state, last_start) = self.gateway_states[gateway];
        let exchange = self.config.gateways[gateway].exchange;
        let (kind, exchange_id) = (ExchangeKind::Gateway, Self::exchange_id_of(gateway));
        ListEntry { exchange, kind, zone: 0, state, exchange_id, last_start }
    }

    // ---- Datagrams ----

    /// Handles a datagram from a gateway.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        for (gateway, last_heard) in self.config.gateways.iter().zip(&mut self.last_heard) {
            *last_heard = if gateway.address == from { now } else { *last_heard };
        }
        for message in message::parse(body) {
            match message {
                Ok(Message::Command(command)) => self.handle_command(now, from, &command),
                Ok(Message::Response(response)) => self.handle_response(now, from, response),
                Err(invalid) => {
                    self.counts.unusable += 1;
                    if let Some(id) = invalid.transaction {
                        self.reply(now, from, id, |_| Response::new(invalid.code, id));
                    }
                }
            }
        }
        self.report_free_endpoints();
    }

    fn handle_command(&mut self, now: Micros, from: SocketAddr, command: &Command) {
        if let Some(list) = command.params.get("K") {
            self.history.acknowledge(from, list);
        }
        self.reply(now, from, command.transaction, |agent| {
            agent.counts.commands_in += 1;
            let code = agent.execute(now, from, command);
            Response::new(code, command.transaction)
        });
    }

    /// Answers a command. A repeated command gets its response from the history, so that it is executed only once.
    fn reply(&mut self, now: Micros, from: SocketAddr, id: u32, execute: impl FnOnce(&mut Self) -> Response) {
        // The response is sent before the commands that result from executing the command.
        let position = self.outputs.len();
        let text = match self.history.lookup(now, from, id) {
            Some(text) => text,
            None => {
                let text = execute(self).encode();
                self.history.insert(now, from, id, text.clone());
                text
            }
        };
        self.outputs.insert(position, AgentOutput::Datagram(from, text.into_bytes()));
    }

    /// Executes a gateway's command and returns the return code.
    fn execute(&mut self, now: Micros, from: SocketAddr, command: &Command) -> u16 {
        let sent_by =
            |gateway: &Gateway| gateway.name == command.endpoint.domain && gateway.address.ip() == from.ip();
        let Some(gateway) = self.config.gateways.iter().position(sent_by) else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        let matches = |local: &str| match command.endpoint.local.strip_suffix('*') {
            Some(prefix) => local.starts_with(prefix),
            None => local == command.endpoint.local,
        };
        let indices: Vec<usize> = (0..self.endpoints.len())
            .filter(|&index| {
                self.endpoints[index].gateway == gateway && matches(&self.endpoints[index].name.local)
            })
            .collect();
        let Some(&first) = indices.first() else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        match command.verb {
            Verb::Ntfy => {
                let request_id = command.params.get("X").unwrap_or("0");
                // A notification for an earlier request is outdated: it is answered, but not handled.
                let current = request_id == "0"
                    || request_id.eq_ignore_ascii_case(&format_request_id(self.endpoints[first].request_id));
                let Some(observed) = command.params.get("O") else { return 510 };
                if current {
                    self.handle_events(now, first, &parse_events(observed));
                }
                200
            }
            Verb::Rsip => self.handle_restart(now, gateway, &indices, command),
            Verb::Dlcx => {
                let endpoint = &self.endpoints[first];
                let differs = |expected: Option<&str>, received: Option<&str>| {
                    received.is_some_and(|r| expected.is_none_or(|e| !e.eq_ignore_ascii_case(r)))
                };
                if differs(Some(&format_call_id(endpoint.mgcp_call_id)), command.params.get("C")) {
                    return 516;
                }
                if differs(endpoint.connection.as_deref(), command.params.get("I")) {
                    return 515;
                }
                self.report_call_ended(first);
                self.make_idle(now, first);
                250
            }
            Verb::Rqnt | Verb::Crcx | Verb::Mdcx | Verb::Auep => message::parse_error::VERB,
        }
    }

    fn handle_restart(&mut self, now: Micros, gateway: usize, indices: &[usize], command: &Command) -> u16 {
        let whole_gateway = indices.len() == self.config.gateways[gateway].endpoints.len();
        let method = command.params.get("RM").unwrap_or("restart").to_ascii_lowercase();
        let state = match method.as_str() {
            "graceful" => (ListState::Draining, self.gateway_states[gateway].1),
            "forced" => (ListState::Draining, self.gateway_states[gateway].1),
            "restart" => (ListState::Ready, Some(now)),
            "cancel-graceful" => (ListState::Ready, self.gateway_states[gateway].1),
            "disconnected" => {
                indices.iter().for_each(|&index| self.audit(now, index));
                return 200;
            }
            _ => return 510,
        };
        // The list update comes first: the core must know of the drain before it decides on the calls that end.
        if whole_gateway && self.gateway_states[gateway] != state {
            self.gateway_states[gateway] = state;
            self.outputs.push(AgentOutput::ListUpdate(self.list_entry(gateway)));
        }
        for &index in indices {
            match method.as_str() {
                "restart" => {
                    self.report_call_ended(index);
                    self.make_idle(now, index);
                }
                "forced" => {
                    self.report_call_ended(index);
                    self.mark_unresponsive(now, index);
                }
                _ => {}
            }
        }
        200
    }

    /// Handles the events that an endpoint observed.
    fn handle_events(&mut self, now: Micros, index: usize, observed: &[(String, String)]) {
        for (package, event) in observed {
            match (package.as_str(), event.as_str()) {
                ("l", "hd") => self.off_hook(now, index),
                ("l", "hu") => self.on_hook(now, index),
                ("d", digit) => {
                    if let EndpointState::Dialling(digits) = &mut self.endpoints[index].state {
                        let complete = matches!(digit, "t" | "#");
                        if !complete && digits.len() < MAX_DIGITS {
                            digits.push_str(digit);
                        }
                        if complete || digits.len() >= self.config.number_length {
                            let number = std::mem::take(digits);
                            self.handle_number(now, index, number);
                        }
                    }
                }
                _ => {}
            }
        }
        if matches!(&self.endpoints[index].state, EndpointState::Dialling(_)) {
            let params =
                Params::default().with("R", "L/hu(N), D/[0-9*#T](D)").with("D", "(x.T)").with("S", "L/dl");
            self.request_notification(now, index, params);
        }
    }

    fn off_hook(&mut self, now: Micros, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Idle => self.endpoints[index].state = EndpointState::Dialling(String::new()),
            EndpointState::Called { call, attempt, stage: SetUpStage::Ringing(description) } => {
                self.endpoints[index].state =
                    EndpointState::Called { call, attempt, stage: SetUpStage::Established };
                self.request_notification(now, index, Params::default().with("R", "L/hu(N)"));
                self.schedule_lease_check(now, index);
                self.outputs.push(AgentOutput::AttemptAnswered(call, attempt, description));
            }
            _ => {}
        }
    }

    fn on_hook(&mut self, now: Micros, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Dialling(_) => self.make_idle(now, index),
            // The DLCX that started the tone may have been lost, so the connection is deleted again.
            EndpointState::AwaitingOnHook | EndpointState::CreatingConnection { .. } => {
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting)
            }
            EndpointState::Offered(_) | EndpointState::Established(_) => {
                self.report_call_ended(index);
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
            }
            EndpointState::Called { call, attempt, stage: SetUpStage::Established } => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, (Ending::Completed, Cause::None)));
                self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
            }
            EndpointState::Idle
            | EndpointState::Called { .. }
            | EndpointState::Deleting
            | EndpointState::Unresponsive => {}
        }
    }

    fn handle_number(&mut self, now: Micros, index: usize, number: String) {
        let own_prefixes = self.config.gateways.iter().map(|gateway| (&gateway.prefix, gateway.exchange));
        let prefixes =
            own_prefixes.chain(self.config.routes.iter().map(|(prefix, exchange)| (prefix, *exchange)));
        let matching = prefixes.filter(|r| !r.0.is_empty() && number.starts_with(r.0.as_str()));
        let Some((_, destination)) = matching.max_by_key(|r| r.0.len()) else {
            self.counts.not_offered += 1;
            self.endpoints[index].state = EndpointState::AwaitingOnHook;
            return self.request_notification(
                now,
                index,
                Params::default().with("R", "L/hu(N)").with("S", "L/ro"),
            );
        };
        let deadline = now + self.config.client_timeout;
        self.reset_endpoint(now, index, EndpointState::CreatingConnection { destination, number, deadline });
        let params = Params::default().with("M", "recvonly").with("R", "L/hu(N)");
        let mgcp_call_id = self.endpoints[index].mgcp_call_id;
        self.create_connection(now, index, params, None);
        self.outputs.push(AgentOutput::SetTimer(deadline, AgentTimer::CallerConnection(index, mgcp_call_id)));
    }

    // ---- Responses ----

    fn handle_response(&mut self, now: Micros, from: SocketAddr, response: Response) {
        let outcome = self.transactions.handle_response(now, from, &response);
        if let Some(at) = outcome.deadline {
            self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(response.transaction)));
        }
        if let Some(text) = outcome.acknowledgement {
            self.outputs.push(AgentOutput::Datagram(from, text.into_bytes()));
        }
        let succeeded = (200..300).contains(&response.code);
        match outcome.purpose {
            Some(Purpose::CreateConnection(index, mgcp_call_id)) => {
                self.handle_create_response(now, index, mgcp_call_id, response)
            }
            Some(Purpose::ConnectCaller(index, mgcp_call_id))
                if !succeeded && self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                // The caller cannot be connected, so the call ends on both sides.
                self.report_call_ended(index);
                self.delete_connection(
                    now,
                    index,
                    Params::default().with("S", "L/ro").with("R", "L/hu(N)"),
                    EndpointState::AwaitingOnHook,
                );
            }
            Some(Purpose::DeleteConnection(index, mgcp_call_id))
                if self.endpoints[index].mgcp_call_id == mgcp_call_id
                    && self.endpoints[index].state == EndpointState::Deleting =>
            {
                self.make_idle(now, index);
            }
            Some(Purpose::Audit(index)) if self.endpoints[index].state == EndpointState::Unresponsive => {
                if succeeded {
                    // The endpoint may still hold the connections it had when it stopped answering.
                    self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                } else {
                    self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
                }
            }
            _ => {}
        }
    }

    /// Handles the final response to CRCX.
    fn handle_create_response(&mut self, now: Micros, index: usize, mgcp_call_id: u64, response: Response) {
        let succeeded = (200..300).contains(&response.code);
        let connection = response.params.get("I").map(str::to_owned);
        let description = response.sdp.map(|s| SessionDescription(s.into()));
        if self.endpoints[index].mgcp_call_id != mgcp_call_id || !self.endpoints[index].awaits_connection() {
            if succeeded {
                // The call was given up before the response came, so nothing else would delete the connection.
                self.counts.late_answers += 1;
                let mut command = new_command(Verb::Dlcx, self.endpoints[index].name.clone());
                command.params = Params::default().with("C", format_call_id(mgcp_call_id));
                if let Some(connection) = connection {
                    command.params = command.params.with("I", connection);
                }
                self.send(now, index, command, Purpose::DeleteLateConnection(index));
            }
            return;
        }
        self.endpoints[index].create_transaction = None;
        let answers_by_connection =
            self.config.gateways[self.endpoints[index].gateway].answered_by == AnsweredBy::Connection;
        match (self.endpoints[index].state.clone(), succeeded) {
            (EndpointState::CreatingConnection { destination, number, deadline }, true) => {
                self.endpoints[index].connection = connection;
                self.endpoints[index].dialled_number = Some(number.clone());
                self.endpoints[index].state = EndpointState::Offered(None);
                let new_call = NewCall {
                    number: number.parse().ok(),
                    class: self.config.class,
                    ..NewCall::to(destination, (deadline - now).max(0))
                };
                let offer = OfferedCall { frontend: self.frontend, new_call, description };
                self.outputs.push(AgentOutput::OfferCall(index, Box::new(offer)));
            }
            (EndpointState::CreatingConnection { .. }, false) => {
                self.counts.not_offered += 1;
                self.endpoints[index].state = EndpointState::AwaitingOnHook;
                self.request_notification(
                    now,
                    index,
                    Params::default().with("R", "L/hu(N)").with("S", "L/ro"),
                );
            }
            (EndpointState::Called { call, attempt, .. }, true) => {
                self.endpoints[index].connection = connection;
                if answers_by_connection {
                    self.endpoints[index].state =
                        EndpointState::Called { call, attempt, stage: SetUpStage::Established };
                    self.schedule_lease_check(now, index);
                    self.outputs.push(AgentOutput::AttemptAnswered(call, attempt, description));
                } else {
                    self.endpoints[index].state =
                        EndpointState::Called { call, attempt, stage: SetUpStage::Ringing(description) };
                }
            }
            (EndpointState::Called { call, attempt, .. }, false) => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(response.code)));
                self.make_idle(now, index);
            }
            _ => {}
        }
    }

    /// Handles an expired timer.
    pub fn timer_expired(&mut self, now: Micros, timer: AgentTimer) {
        match timer {
            AgentTimer::Transaction(id) => match self.transactions.timer_expired(now, id) {
                TimeoutAction::Ignore => {}
                TimeoutAction::Retransmit(to, text, at) => {
                    self.outputs.push(AgentOutput::Datagram(to, text.into_bytes()));
                    self.outputs.push(AgentOutput::SetTimer(at, timer));
                }
                TimeoutAction::GiveUp(purpose) => self.handle_unanswered(now, purpose),
            },
            AgentTimer::CallerConnection(index, mgcp_call_id) => {
                if self.endpoints[index].mgcp_call_id == mgcp_call_id
                    && matches!(self.endpoints[index].state, EndpointState::CreatingConnection { .. })
                {
                    self.counts.not_offered += 1;
                    self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                }
            }
            AgentTimer::Audit(index) => self.audit(now, index),
            AgentTimer::Lease(index, mgcp_call_id) if self.endpoints[index].mgcp_call_id == mgcp_call_id => {
                self.check_lease(now, index)
            }
            AgentTimer::Lease(..) => {}
        }
        self.report_free_endpoints();
    }

    fn handle_unanswered(&mut self, now: Micros, purpose: Purpose) {
        self.counts.unanswered += 1;
        match purpose {
            Purpose::CreateConnection(index, mgcp_call_id)
                if self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                match self.endpoints[index].state.clone() {
                    EndpointState::Called { call, attempt, stage: SetUpStage::CreatingConnection } => {
                        // The gateway may have executed the CRCX, so the attempt has timed out and is cleared.
                        self.terminating_calls.remove(&call);
                        self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(406)));
                        self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
                    }
                    EndpointState::CreatingConnection { .. } => self.mark_unresponsive(now, index),
                    _ => {}
                }
            }
            Purpose::ConnectCaller(index, mgcp_call_id) | Purpose::DeleteConnection(index, mgcp_call_id)
                if self.endpoints[index].mgcp_call_id == mgcp_call_id =>
            {
                self.report_call_ended(index);
                self.mark_unresponsive(now, index);
            }
            Purpose::Audit(index) if self.endpoints[index].state == EndpointState::Unresponsive => {
                self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
            }
            Purpose::RequestNotification(index) if self.endpoints[index].state == EndpointState::Idle => {
                self.mark_unresponsive(now, index)
            }
            _ => {}
        }
    }

    // ---- Requests of the core ----

    /// Tells the agent which identifier the core assigned to the call offered by this endpoint.
    pub fn call_offered(&mut self, index: usize, call: CallId) {
        self.endpoints[index].state = EndpointState::Offered(Some(call));
        self.originating_calls.insert(call, index);
    }

    /// Handles the final answer to a call from an endpoint.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: &Answer) {
        let Some(&index) = self.originating_calls.get(&call) else { return };
        let (code, tone) = codes::answer_code_and_tone(answer);
        match (answer, tone) {
            (Answer::Established(description), _) => {
                self.endpoints[index].state = EndpointState::Established(call);
                self.schedule_lease_check(now, index);
                let mut command = new_command(Verb::Mdcx, self.endpoints[index].name.clone());
                command.params = self.connection_params(index).with("M", "sendrecv");
                command.sdp = description.as_ref().map(|d| d.0.to_string());
                let purpose = Purpose::ConnectCaller(index, self.endpoints[index].mgcp_call_id);
                self.send(now, index, command, purpose);
            }
            (refused, tone) => {
                self.originating_calls.remove(&call);
                let mut params = Params::default().with("R", "L/hu(N)").with("S", tone.unwrap_or("L/ro"));
                // For gateways that redial automatically: the return code and the time to wait, in milliseconds.
                params = params.with("X-Outcome", code);
                if let Answer::Refused { retry_after } = refused {
                    params = params.with("X-Pause", (retry_after + 999) / 1000);
                }
                self.delete_connection(now, index, params, EndpointState::AwaitingOnHook);
            }
        }
        self.report_free_endpoints();
    }

    /// Releases an established call from an endpoint.
    pub fn release(&mut self, now: Micros, call: CallId) {
        if let Some(index) = self.originating_calls.remove(&call) {
            self.delete_connection(
                now,
                index,
                Params::default().with("R", "L/hu(N)"),
                EndpointState::AwaitingOnHook,
            );
        }
    }

    /// Sets up a call at a gateway. `description` is the session description of the caller, passed on unchanged.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNumber),
        exchange_id: ExchangeId,
        description: Option<&SessionDescription>,
    ) {
        let Some(gateway) = self.gateway_of(exchange_id) else { return };
        let indices: Vec<usize> =
            (0..self.endpoints.len()).filter(|&index| self.endpoints[index].gateway == gateway).collect();
        // Round robin, so that an endpoint is not called again right after a call.
        let start = self.next_endpoint[gateway] % indices.len().max(1);
        let found = indices[start..]
            .iter()
            .chain(&indices[..start])
            .find(|&&index| self.endpoints[index].state == EndpointState::Idle);
        let Some(&index) = found else {
            return self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(410)));
        };
        self.next_endpoint[gateway] = indices.iter().position(|&i| i == index).unwrap_or(0) + 1;
        self.reset_endpoint(
            now,
            index,
            EndpointState::Called { call, attempt, stage: SetUpStage::CreatingConnection },
        );
        self.terminating_calls.insert(call, index);
        let mut params = Params::default().with("M", "sendrecv");
        if self.config.gateways[gateway].answered_by == AnsweredBy::OffHook {
            params = params.with("R", "L/hd(N)").with("S", "L/rg");
        } else {
            params = params.with("R", "L/hu(N)");
        }
        self.create_connection(now, index, params, description.map(|d| d.0.to_string()));
        self.report_free_endpoints();
    }

    /// Cancels a set-up, or releases an established call to an endpoint.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNumber) {
        let Some(&index) = self.terminating_calls.get(&call) else { return };
        let EndpointState::Called { attempt: current, .. } = &self.endpoints[index].state else { return };
        if *current != attempt {
            return;
        }
        self.terminating_calls.remove(&call);
        self.delete_connection(now, index, Params::default(), EndpointState::Deleting);
        self.report_free_endpoints();
    }

    // ---- Internals ----

    /// Puts an endpoint into a new state with a new MGCP call identifier.
    fn reset_endpoint(&mut self, now: Micros, index: usize, state: EndpointState) {
        self.stop_create(now, index);
        self.next_mgcp_call_id = self.next_mgcp_call_id.wrapping_add(1);
        let endpoint = &mut self.endpoints[index];
        (endpoint.mgcp_call_id, endpoint.state) = (self.next_mgcp_call_id, state);
        (endpoint.connection, endpoint.dialled_number) = (None, None);
    }

    /// Stops retransmitting a pending CRCX, because a retransmission after the DLCX would create the connection
    /// again. If a late response arrives, the connection is deleted.
    fn stop_create(&mut self, now: Micros, index: usize) {
        let Some(transaction) = self.endpoints[index].create_transaction.take() else { return };
        if let Some(at) = self.transactions.stop_retransmitting(now, transaction) {
            self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(transaction)));
        }
    }

    /// Frees an endpoint and asks it to report off-hook. This is the only place that frees endpoints.
    fn make_idle(&mut self, now: Micros, index: usize) {
        self.reset_endpoint(now, index, EndpointState::Idle);
        self.request_notification(now, index, Params::default().with("R", "L/hd(N)"));
    }

    fn mark_unresponsive(&mut self, now: Micros, index: usize) {
        self.reset_endpoint(now, index, EndpointState::Unresponsive);
        self.outputs.push(AgentOutput::SetTimer(now + AUDIT_INTERVAL, AgentTimer::Audit(index)));
    }

    /// Reports to the core that the endpoint's side of its call has ended.
    fn report_call_ended(&mut self, index: usize) {
        match self.endpoints[index].state.clone() {
            EndpointState::Offered(Some(call)) | EndpointState::Established(call) => {
                self.originating_calls.remove(&call);
                self.outputs.push(AgentOutput::CallerLeft(call));
            }
            EndpointState::Called { call, attempt, .. } => {
                self.terminating_calls.remove(&call);
                self.outputs.push(AgentOutput::AttemptEnded(call, attempt, codes::outcome(407)));
            }
            _ => {}
        }
    }

    /// Schedules the next check of the gateway of an established call.
    fn schedule_lease_check(&mut self, now: Micros, index: usize) {
        self.outputs.push(AgentOutput::SetTimer(
            now + LEASE_CHECK_INTERVAL,
            AgentTimer::Lease(index, self.endpoints[index].mgcp_call_id),
        ));
    }

    /// Ends an established call if nothing came from its gateway and the lease would expire before the next check. A
    /// gateway that disappears does not report the end of its calls, so the far end would otherwise keep the call.
    fn check_lease(&mut self, now: Micros, index: usize) {
        let established = matches!(
            self.endpoints[index].state,
            EndpointState::Established(_) | EndpointState::Called { stage: SetUpStage::Established, .. }
        );
        if !established {
            return;
        }
        let silence = now - self.last_heard[self.endpoints[index].gateway];
        if silence + LEASE_CHECK_INTERVAL > LEASE_DURATION {
            self.counts.lease_expired += 1;
            self.report_call_ended(index);
            return self.mark_unresponsive(now, index);
        }
        if silence >= LEASE_CHECK_INTERVAL {
            self.audit(now, index);
        }
        self.schedule_lease_check(now, index);
    }

    fn audit(&mut self, now: Micros, index: usize) {
        let command = new_command(Verb::Auep, self.endpoints[index].name.clone());
        self.send(now, index, command, Purpose::Audit(index));
    }

    fn connection_params(&self, index: usize) -> Params {
        let endpoint = &self.endpoints[index];
        let mut params = Params::default();
        // Without a call identifier, the command applies to all connections of the endpoint.
        if endpoint.mgcp_call_id != 0 {
            params = params.with("C", format_call_id(endpoint.mgcp_call_id));
        }
        if let Some(connection) = &endpoint.connection {
            params = params.with("I", connection);
        }
        params
    }

    fn delete_connection(&mut self, now: Micros, index: usize, extra: Params, next_state: EndpointState) {
        self.stop_create(now, index);
        // An endpoint that did not answer may hold connections of any call, as may one that has not been used yet, whose
        // call identifier is still 0.
        if matches!(self.endpoints[index].state, EndpointState::Unresponsive) {
            self.endpoints[index].mgcp_call_id = 0;
        }
        let mut command = new_command(Verb::Dlcx, self.endpoints[index].name.clone());
        command.params = self.connection_params(index);
        if !extra.0.is_empty() {
            command.params = command.params.with("X", self.new_request_id(index));
            command.params.0.extend(extra.0);
        }
        self.endpoints[index].state = next_state;
        let purpose = Purpose::DeleteConnection(index, self.endpoints[index].mgcp_call_id);
        self.send(now, index, command, purpose);
    }

    fn create_connection(&mut self, now: Micros, index: usize, params: Params, sdp: Option<String>) {
        let mut command = new_command(Verb::Crcx, self.endpoints[index].name.clone());
        command.params = self.connection_params(index).with("X", self.new_request_id(index));
        command.params.0.extend(params.0);
        command.sdp = sdp;
        let purpose = Purpose::CreateConnection(index, self.endpoints[index].mgcp_call_id);
        self.endpoints[index].create_transaction = Some(self.send(now, index, command, purpose));
    }

    fn request_notification(&mut self, now: Micros, index: usize, params: Params) {
        let mut command = new_command(Verb::Rqnt, self.endpoints[index].name.clone());
        command.params = Params::default().with("X", self.new_request_id(index));
        command.params.0.extend(params.0);
        self.send(now, index, command, Purpose::RequestNotification(index));
    }

    fn new_request_id(&mut self, index: usize) -> String {
        self.next_request_id = self.next_request_id.wrapping_add(1).max(1);
        self.endpoints[index].request_id = self.next_request_id;
        format_request_id(self.next_request_id)
    }

    fn send(&mut self, now: Micros, index: usize, command: Command, purpose: Purpose) -> u32 {
        let to = self.config.gateways[self.endpoints[index].gateway].address;
        self.counts.commands_out += 1;
        let (transaction, text, at) = self.transactions.send(now, to, command, purpose);
        self.outputs.push(AgentOutput::Datagram(to, text.into_bytes()));
        self.outputs.push(AgentOutput::SetTimer(at, AgentTimer::Transaction(transaction)));
        transaction
    }

    fn free_endpoints(&self, gateway: usize) -> usize {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.gateway == gateway && endpoint.state == EndpointState::Idle)
            .count()
    }

    fn report_free_endpoints(&mut self) {
        for gateway in 0..self.config.gateways.len() {
            let free = self.free_endpoints(gateway);
            if self.reported_free[gateway] != Some(free) {
                self.reported_free[gateway] = Some(free);
                let size = self.config.gateways[gateway].endpoints.len() as f64;
                let report =
                    LoadReport { free: Some(free as f64), size: Some(size), ..LoadReport::default() };
                self.outputs.push(AgentOutput::GroupReport(Self::exchange_id_of(gateway), report));
            }
        }
    }
}

impl Endpoint {
    fn awaits_connection(&self) -> bool {
        matches!(
            self.state,
            EndpointState::CreatingConnection { .. }
                | EndpointState::Called { stage: SetUpStage::CreatingConnection, .. }
        )
    }
}

fn format_call_id(id: u64) -> String {
    format!("{id:x}")
}

fn format_request_id(id: u32) -> String {
    format!("{id:x}")
}
