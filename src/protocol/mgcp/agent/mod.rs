//! The call agent, a state machine without I/O. The endpoints of the gateways originate calls that it offers to the
//! routing core, and receive calls that the core sets up through it.
//!
//! A call from an endpoint: NTFY reports off-hook and the dialled digits, CRCX gets the session description of the
//! endpoint, then the call is offered to the core. The final answer is an MDCX with the remote session description,
//! or a DLCX with a tone. A set-up towards an endpoint is a CRCX that rings it; the call is established when NTFY
//! reports off-hook, or with the response to CRCX if the gateway answers by itself. DLCX clears a call, and an
//! endpoint is free again only when its DLCX has been answered.

mod core_requests;
mod endpoints;
mod gateway_commands;
mod responses;

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
}
