//! Model-based test of the call agent: random steps of a gateway and of the routing core are applied to it, and its
//! outputs are checked against a model.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnuthatch::protocol::mgcp::agent::{Agent, AgentConfig, AgentOutput, AgentTimer, AnsweredBy, Gateway};
use walnuthatch::protocol::mgcp::message::{parse, Message, Verb};
use walnuthatch::protocol::mgcp::transactions::MAX_TRANSMISSIONS;
use walnuthatch::protocol::run_id::RunId;
use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, FrontendId, SessionDescription};
use walnuthatch::routing::timer_queue::TimerQueue;

const MS: Micros = 1_000;

#[derive(Clone, Debug)]
enum Step {
    /// The gateway notifies the agent of events at an endpoint.
    Notify(usize, &'static str),
    /// The gateway repeats its last datagram.
    Repeat,
    /// The gateway answers one of the commands that it received.
    Respond(usize, u16),
    Restart(usize, &'static str),
    Delete(usize),
    Garbage(Vec<u8>),
    SetUp,
    Clear(usize),
    Answer(usize, bool),
    Release(usize),
    Wait(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Open,
    Established,
}

struct Model {
    agent: Agent,
    now: Micros,
    timers: TimerQueue<AgentTimer>,
    gateway: SocketAddr,
    exchange_id: ExchangeId,
    next_call_id: u32,
    /// Calls from endpoints.
    originating_calls: BTreeMap<CallId, CallState>,
    /// Calls that the core sets up at endpoints.
    terminating_calls: BTreeMap<CallId, CallState>,
    /// Verb and number of transmissions of each received command, by transaction.
    received_commands: BTreeMap<u32, (Verb, u32)>,
    /// MGCP call identifiers for which a DLCX was received.
    deleted_call_ids: BTreeSet<String>,
    /// The last datagram sent by the gateway.
    last_datagram: Option<Vec<u8>>,
    next_transaction: u32,
    /// The first response to each of the gateway's commands, by transaction.
    responses: BTreeMap<u32, Vec<u8>>,
}

impl Model {
    fn send(&mut self, text: String) {
        self.last_datagram = Some(text.into_bytes());
        self.repeat_last();
    }

    fn repeat_last(&mut self) {
        if let Some(bytes) = self.last_datagram.clone() {
            self.agent.datagram(self.now, self.gateway, &bytes);
        }
    }

    fn send_command(&mut self, verb: &str, endpoint: &str, params: &str) {
        self.next_transaction += 1;
        self.send(format!("{verb} {} {endpoint} MGCP 1.0\r\n{params}\r\n", self.next_transaction));
    }

    fn process_outputs(&mut self) {
        loop {
            let outputs = self.agent.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|o| self.process_output(o));
        }
    }

    fn process_output(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Datagram(to, bytes) => {
                assert_eq!(to, self.gateway);
                for message in parse(&bytes) {
                    match message.expect("the agent sends valid messages") {
                        Message::Command(command) => {
                            let call_id = command.params.get("C").unwrap_or("").to_owned();
                            if command.verb == Verb::Dlcx {
                                self.deleted_call_ids.insert(call_id);
                            } else if command.verb == Verb::Crcx {
                                assert!(
                                    !self.deleted_call_ids.contains(&call_id),
                                    "CRCX after the DLCX of its call"
                                );
                            }
                            let seen = self
                                .received_commands
                                .entry(command.transaction)
                                .or_insert((command.verb, 0));
                            seen.1 += 1;
                            assert!(seen.1 <= MAX_TRANSMISSIONS && seen.0 == command.verb);
                        }
                        Message::Response(response) if response.code > 0 => {
                            let first =
                                self.responses.entry(response.transaction).or_insert_with(|| bytes.clone());
                            assert_eq!(*first, bytes, "a repeated command gets the same response");
                        }
                        Message::Response(_) => {}
                    }
                }
            }
            AgentOutput::SetTimer(at, timer) => self.timers.add(at, timer),
            AgentOutput::OfferCall(endpoint, _) => {
                let call = CallId(self.next_call_id);
                self.next_call_id += 1;
                self.originating_calls.insert(call, CallState::Open);
                self.agent.call_offered(endpoint, call);
            }
            AgentOutput::CallerLeft(call) => {
                assert!(self.originating_calls.remove(&call).is_some(), "the caller leaves once")
            }
            AgentOutput::AttemptAnswered(call, ..) => {
                assert_eq!(
                    self.terminating_calls.insert(call, CallState::Established),
                    Some(CallState::Open)
                );
            }
            AgentOutput::AttemptEnded(call, ..) => {
                assert!(self.terminating_calls.remove(&call).is_some(), "an attempt ends once")
            }
            AgentOutput::GroupReport(exchange_id, load) => {
                assert_eq!((exchange_id, load.size), (self.exchange_id, Some(3.0)));
                assert!(load.free.is_some_and(|f| (0.0..=3.0).contains(&f)));
            }
            AgentOutput::ListUpdate(entry) => assert_eq!(entry.exchange_id, self.exchange_id),
        }
    }

    fn step(&mut self, step: Step) {
        let endpoint = |p: usize| format!("lamp/{}@cab", p % 3 + 1);
        let nth = |calls: &BTreeMap<CallId, CallState>, i: usize, state: Option<CallState>| {
            let matching: Vec<CallId> =
                calls.iter().filter(|c| state.is_none_or(|w| *c.1 == w)).map(|c| *c.0).collect();
            matching.get(i % matching.len().max(1)).copied()
        };
        let now = self.now;
        match step {
            Step::Notify(p, events) => {
                self.send_command("NTFY", &endpoint(p), &format!("X: 0\r\nO: {events}"))
            }
            Step::Repeat => self.repeat_last(),
            Step::Respond(i, code) => {
                let ids: Vec<u32> = self.received_commands.keys().copied().collect();
                // Prefer the newest commands, since they are the most likely to be unanswered.
                let Some(id) = ids.len().checked_sub(1 + i % ids.len().max(1)).map(|at| ids[at]) else {
                    return;
                };
                let text = format!("{code} {id} x\r\nI: c{id}\r\n\r\nv=0\r\n");
                self.agent.datagram(now, self.gateway, text.as_bytes());
            }
            Step::Restart(p, method) => {
                let name = if p == 3 { "*@cab".to_owned() } else { endpoint(p) };
                self.send_command("RSIP", &name, &format!("RM: {method}"));
            }
            Step::Delete(p) => self.send_command("DLCX", &endpoint(p), "E: 900"),
            Step::Garbage(bytes) => self.agent.datagram(now, self.gateway, &bytes),
            Step::SetUp => {
                let call = CallId(self.next_call_id);
                self.next_call_id += 1;
                self.terminating_calls.insert(call, CallState::Open);
                let description = SessionDescription("v=0\r\n".into());
                self.agent.set_up(now, (call, AttemptNumber(0)), self.exchange_id, Some(&description));
            }
            Step::Clear(i) => {
                if let Some(call) = nth(&self.terminating_calls, i, None) {
                    self.terminating_calls.remove(&call);
                    self.agent.clear(now, call, AttemptNumber(0));
                }
            }
            Step::Answer(i, accepted) => {
                if let Some(call) = nth(&self.originating_calls, i, Some(CallState::Open)) {
                    let answer = if accepted {
                        Answer::Established(None)
                    } else {
                        Answer::Refused { retry_after: 2_000 * MS }
                    };
                    if accepted {
                        self.originating_calls.insert(call, CallState::Established);
                    } else {
                        self.originating_calls.remove(&call);
                    }
                    self.agent.answer(now, call, &answer);
                }
            }
            Step::Release(i) => {
                if let Some(call) = nth(&self.originating_calls, i, Some(CallState::Established)) {
                    self.originating_calls.remove(&call);
                    self.agent.release(now, call);
                }
            }
            Step::Wait(duration) => {
                while let Some(at) = self.timers.next_expiry().filter(|&at| at <= now + duration) {
                    self.now = self.now.max(at);
                    while let Some(timer) = self.timers.pop_expired(self.now) {
                        self.agent.timer_expired(self.now, timer);
                        self.process_outputs();
                    }
                }
                self.now = now + duration;
            }
        }
        self.process_outputs();
    }
}

#[test]
fn the_call_agent_behaves_as_modelled_for_random_gateway_steps() {
    let events = prop::sample::select(vec!["L/hd", "L/hu", "L/hd,D/7,D/7", "D/7,D/#", "D/9,D/t", "L/of,X/y"]);
    let methods =
        prop::sample::select(vec!["restart", "graceful", "forced", "cancel-graceful", "disconnected", "x"]);
    let step = prop_oneof![
        8 => (0_usize..3, events).prop_map(|(p, e)| Step::Notify(p, e)),
        2 => Just(Step::Repeat),
        14 => (0_usize..6, prop::sample::select(vec![200, 250, 200, 100, 403, 500]))
            .prop_map(|(i, c)| Step::Respond(i, c)),
        1 => (0_usize..4, methods).prop_map(|(p, m)| Step::Restart(p, m)),
        1 => (0_usize..3).prop_map(Step::Delete),
        1 => prop::collection::vec(any::<u8>(), 0..60).prop_map(Step::Garbage),
        4 => Just(Step::SetUp),
        2 => (0_usize..9).prop_map(Step::Clear),
        3 => (0_usize..9, any::<bool>()).prop_map(|(i, s)| Step::Answer(i, s)),
        2 => (0_usize..9).prop_map(Step::Release),
        3 => (0..2_000 * MS).prop_map(Step::Wait),
    ];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let run = TestRunner::new_with_rng(config, rng).run(&prop::collection::vec(step, 1..150), |steps| {
        let gateway: SocketAddr = "127.0.0.1:2427".parse().unwrap();
        let gateway_config = Gateway {
            name: "cab".to_owned(),
            address: gateway,
            exchange: ExchangeNumber(7),
            prefix: "7".to_owned(),
            endpoints: (1..=3).map(|n| format!("lamp/{n}")).collect(),
            answered_by: AnsweredBy::OffHook,
        };
        let config = AgentConfig {
            gateways: vec![gateway_config],
            routes: Vec::new(),
            number_length: 2,
            class: 0,
            client_timeout: 3_000 * MS,
        };
        let mut agent = Agent::new(FrontendId(1), config, RunId(5));
        let exchange_id = agent.list_entries()[0].exchange_id;
        agent.start(0);
        let mut model = Model {
            agent,
            now: 0,
            timers: TimerQueue::default(),
            gateway,
            exchange_id,
            next_call_id: 0,
            originating_calls: BTreeMap::new(),
            terminating_calls: BTreeMap::new(),
            received_commands: BTreeMap::new(),
            deleted_call_ids: BTreeSet::new(),
            last_datagram: None,
            next_transaction: 0,
            responses: BTreeMap::new(),
        };
        model.process_outputs();
        steps.into_iter().for_each(|s| model.step(s));
        // The gateway stops sending: all commands are given up, and calls that were being set up end.
        model.step(Step::Wait(60_000 * MS));
        let ringing = model.terminating_calls.values().filter(|state| **state == CallState::Open).count();
        assert!(ringing <= 3, "at most the three endpoints are still ringing");
        let established = model
            .terminating_calls
            .values()
            .chain(model.originating_calls.values())
            .filter(|state| **state == CallState::Established)
            .count();
        assert_eq!(established, 0, "no established calls at a gateway that stopped sending");
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}
