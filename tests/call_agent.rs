//! A model of what a call agent may do, against which random steps of a gateway and of the core are checked.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnuthatch::protocol::mgcp::agent::{Agent, AgentConfig, AgentOutput, AgentTimer, AnsweredBy, Gateway};
use walnuthatch::protocol::mgcp::message::{parse, Message, Verb};
use walnuthatch::protocol::mgcp::transactions::MAX_TRANSMISSIONS;
use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, FrontendId, SessionDescription};
use walnuthatch::routing::timer_queue::TimerQueue;

const MS: Micros = 1_000;

#[derive(Clone, Debug)]
enum Step {
    /// The gateway tells of events at an endpoint.
    Notify(usize, &'static str),
    /// It sends its last command again.
    Repeat,
    /// It answers one of the commands that it has got.
    Respond(usize, u16),
    Restart(usize, &'static str),
    Delete(usize),
    Garbage(Vec<u8>),
    SetUp,
    Clear(usize),
    Answer(usize, bool),
    Release(usize),
    Pass(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Open,
    Standing,
}

struct Model {
    agent: Agent,
    now: Micros,
    due: TimerQueue<AgentTimer>,
    gateway: SocketAddr,
    office: ExchangeId,
    next_call: u32,
    /// Calls of endpoints.
    calls: BTreeMap<CallId, Call>,
    /// Set-ups of the core.
    legs: BTreeMap<CallId, Call>,
    /// Every command that came, by transaction: its verb, and how often it came.
    got: BTreeMap<u32, (Verb, u32)>,
    /// Call identifiers that a DLCX has named.
    deleted: BTreeSet<String>,
    /// The last command sent, and every response that came, by transaction.
    last: Option<Vec<u8>>,
    next_transaction: u32,
    responses: BTreeMap<u32, Vec<u8>>,
}

impl Model {
    fn send(&mut self, text: String) {
        self.last = Some(text.into_bytes());
        self.again();
    }

    fn again(&mut self) {
        if let Some(bytes) = self.last.clone() {
            self.agent.datagram(self.now, self.gateway, &bytes);
        }
    }

    fn tell(&mut self, verb: &str, endpoint: &str, params: &str) {
        self.next_transaction += 1;
        self.send(format!("{verb} {} {endpoint} MGCP 1.0\r\n{params}\r\n", self.next_transaction));
    }

    fn settle(&mut self) {
        loop {
            let outputs = self.agent.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|o| self.output(o));
        }
    }

    fn output(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Datagram(to, bytes) => {
                assert_eq!(to, self.gateway);
                for packet in parse(&bytes) {
                    match packet.expect("the agent writes what can be read") {
                        Message::Command(c) => {
                            let call = c.params.get("C").unwrap_or("").to_owned();
                            if c.verb == Verb::Dlcx {
                                self.deleted.insert(call);
                            } else if c.verb == Verb::Crcx {
                                assert!(!self.deleted.contains(&call), "no CRCX behind its own DLCX");
                            }
                            let seen = self.got.entry(c.transaction).or_insert((c.verb, 0));
                            seen.1 += 1;
                            assert!(seen.1 <= MAX_TRANSMISSIONS && seen.0 == c.verb);
                        }
                        Message::Response(r) if r.code > 0 => {
                            let first = self.responses.entry(r.transaction).or_insert_with(|| bytes.clone());
                            assert_eq!(*first, bytes, "a repeat gets the same response");
                        }
                        Message::Response(_) => {}
                    }
                }
            }
            AgentOutput::SetTimer(at, due) => self.due.add(at, due),
            AgentOutput::OfferCall(port, _) => {
                let call = CallId(self.next_call);
                self.next_call += 1;
                self.calls.insert(call, Call::Open);
                self.agent.call_offered(port, call);
            }
            AgentOutput::CallerLeft(call) => assert!(self.calls.remove(&call).is_some(), "leaves once"),
            AgentOutput::AttemptAnswered(call, ..) => {
                assert_eq!(self.legs.insert(call, Call::Standing), Some(Call::Open));
            }
            AgentOutput::AttemptEnded(call, ..) => assert!(self.legs.remove(&call).is_some(), "ends once"),
            AgentOutput::GroupReport(office, load) => {
                assert_eq!((office, load.size), (self.office, Some(3.0)));
                assert!(load.free.is_some_and(|f| (0.0..=3.0).contains(&f)));
            }
            AgentOutput::ListUpdate(entry) => assert_eq!(entry.exchange_id, self.office),
        }
    }

    fn step(&mut self, step: Step) {
        let endpoint = |p: usize| format!("lamp/{}@cab", p % 3 + 1);
        let nth = |calls: &BTreeMap<CallId, Call>, i: usize, which: Option<Call>| {
            let fit: Vec<CallId> =
                calls.iter().filter(|c| which.is_none_or(|w| *c.1 == w)).map(|c| *c.0).collect();
            fit.get(i % fit.len().max(1)).copied()
        };
        let now = self.now;
        match step {
            Step::Notify(p, events) => self.tell("NTFY", &endpoint(p), &format!("X: 0\r\nO: {events}")),
            Step::Repeat => self.again(),
            Step::Respond(i, code) => {
                let ids: Vec<u32> = self.got.keys().copied().collect();
                // The newest are the likeliest to wait.
                let Some(id) = ids.len().checked_sub(1 + i % ids.len().max(1)).map(|at| ids[at]) else {
                    return;
                };
                let text = format!("{code} {id} x\r\nI: c{id}\r\n\r\nv=0\r\n");
                self.agent.datagram(now, self.gateway, text.as_bytes());
            }
            Step::Restart(p, method) => {
                let name = if p == 3 { "*@cab".to_owned() } else { endpoint(p) };
                self.tell("RSIP", &name, &format!("RM: {method}"));
            }
            Step::Delete(p) => self.tell("DLCX", &endpoint(p), "E: 900"),
            Step::Garbage(bytes) => self.agent.datagram(now, self.gateway, &bytes),
            Step::SetUp => {
                let call = CallId(self.next_call);
                self.next_call += 1;
                self.legs.insert(call, Call::Open);
                let text = SessionDescription("v=0\r\n".into());
                self.agent.set_up(now, (call, AttemptNumber(0)), self.office, Some(&text));
            }
            Step::Clear(i) => {
                if let Some(call) = nth(&self.legs, i, None) {
                    self.legs.remove(&call);
                    self.agent.clear(now, call, AttemptNumber(0));
                }
            }
            Step::Answer(i, stands) => {
                if let Some(call) = nth(&self.calls, i, Some(Call::Open)) {
                    let answer = if stands {
                        Answer::Established(None)
                    } else {
                        Answer::Refused { retry_after: 2_000 * MS }
                    };
                    if stands {
                        self.calls.insert(call, Call::Standing);
                    } else {
                        self.calls.remove(&call);
                    }
                    self.agent.answer(now, call, &answer);
                }
            }
            Step::Release(i) => {
                if let Some(call) = nth(&self.calls, i, Some(Call::Standing)) {
                    self.calls.remove(&call);
                    self.agent.release(now, call);
                }
            }
            Step::Pass(span) => {
                while let Some(at) = self.due.next_expiry().filter(|&at| at <= now + span) {
                    self.now = self.now.max(at);
                    while let Some(due) = self.due.pop_expired(self.now) {
                        self.agent.timer_expired(self.now, due);
                        self.settle();
                    }
                }
                self.now = now + span;
            }
        }
        self.settle();
    }
}

#[test]
fn the_call_agent_keeps_its_promises_whatever_a_gateway_does() {
    let events = prop::sample::select(vec!["L/hd", "L/hu", "L/hd,D/7,D/7", "D/7,D/#", "D/9,D/t", "L/of,X/y"]);
    let methods =
        prop::sample::select(vec!["restart", "graceful", "forced", "cancel-graceful", "disconnected", "x"]);
    let step = prop_oneof![ 8 => (0_usize..3, events).prop_map(|(p, e)| Step::Notify(p, e)), 2 => Just(Step::Repeat), 14 => (0_usize..6, prop::sample::select(vec![200, 250, 200, 100, 403, 500])) .prop_map(|(i, c)| Step::Respond(i, c)), 1 => (0_usize..4, methods).prop_map(|(p, m)| Step::Restart(p, m)), 1 => (0_usize..3).prop_map(Step::Delete), 1 => prop::collection::vec(any::<u8>(), 0..60).prop_map(Step::Garbage), 4 => Just(Step::SetUp), 2 => (0_usize..9).prop_map(Step::Clear), 3 => (0_usize..9, any::<bool>()).prop_map(|(i, s)| Step::Answer(i, s)), 2 => (0_usize..9).prop_map(Step::Release), 3 => (0..2_000 * MS).prop_map(Step::Pass), ];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let run = TestRunner::new_with_rng(config, rng).run(&prop::collection::vec(step, 1..150), |steps| {
        let gateway: SocketAddr = "127.0.0.1:2427".parse().unwrap();
        let cab = Gateway {
            name: "cab".to_owned(),
            address: gateway,
            exchange: ExchangeNumber(7),
            prefix: "7".to_owned(),
            endpoints: (1..=3).map(|n| format!("lamp/{n}")).collect(),
            answered_by: AnsweredBy::OffHook,
        };
        let config = AgentConfig {
            gateways: vec![cab],
            routes: Vec::new(),
            number_length: 2,
            class: 0,
            client_timeout: 3_000 * MS,
        };
        let mut agent = Agent::new(FrontendId(1), config, 5);
        let office = agent.list_entries()[0].exchange_id;
        agent.start(0);
        let mut m = Model {
            agent,
            now: 0,
            due: TimerQueue::default(),
            gateway,
            office,
            next_call: 0,
            calls: BTreeMap::new(),
            legs: BTreeMap::new(),
            got: BTreeMap::new(),
            deleted: BTreeSet::new(),
            last: None,
            next_transaction: 0,
            responses: BTreeMap::new(),
        };
        m.settle();
        steps.into_iter().for_each(|s| m.step(s));
        // A gateway that says nothing more: every command is given up, and what was being set up has ended.
        m.step(Step::Pass(60_000 * MS));
        let ringing = m.legs.values().filter(|l| **l == Call::Open).count();
        assert!(ringing <= 3, "at most what rings at its three endpoints");
        let standing = m.legs.values().chain(m.calls.values()).filter(|c| **c == Call::Standing).count();
        assert_eq!(standing, 0, "nothing stands at a gateway that is gone");
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}
