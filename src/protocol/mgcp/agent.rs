//! The call agent: gateways' endpoints as callers of the core and as places that it sets calls up at, as
//! states without input or output.
//!
//! A call from an endpoint: NTFY tells the hook and the digits, CRCX gets the endpoint's description, then the
//! call is offered; the final answer is an MDCX with the far description, or a DLCX with a tone. A set-up
//! towards an endpoint is a CRCX that rings; it stands when the hook is told, or at once where the gateway
//! answers by itself. DLCX clears, and an endpoint is free again only when its DLCX was answered.

use super::super::upstream::lease::LEASE_DURATION;
use super::codes;
use super::message::{self, events, Command, Endpoint, Packet, Params, Response, Verb};
use super::transactions::{command, Commands, History, Repeat};
use crate::routing::interface::{
    AttemptNumber, CallId, Cause, Ending, ExchangeId, ExchangeNumber, ListEntry, ListState, LoadReport,
    Micros, NewCall,
};
use crate::routing::ledger::{Answer, FrontendId, OfferedCall, SessionDescription};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The port number that marks an office as a gateway; listed exchanges have another.
const GATEWAY_MARK: u16 = 1;
/// An endpoint that does not answer is audited this often (µs).
const AUDIT: Micros = 5_000_000;
/// While a call stands at an endpoint, its gateway is looked at this often (µs), and audited if it said nothing since.
const LOOK: Micros = 2_000_000;
/// The most digits that a caller may dial.
const DIGITS_MOST: usize = 32;

/// What makes a set-up stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum AnsweredBy {
    /// The called side goes off hook.
    #[default]
    OffHook,
    /// The gateway's answer to CRCX: the device has no hook.
    Connection,
}

/// One gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The domain in its endpoints' names, in small letters.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The exchange that it counts as.
    pub exchange: ExchangeNumber,
    /// Numbers that begin with this are its; none if empty.
    pub prefix: String,
    /// Its endpoints' local names, in small letters.
    pub endpoints: Vec<String>,
    /// What makes a set-up stand.
    pub answered_by: AnsweredBy,
}

/// What the agent is told.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentConfig {
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Further numbers: prefix and exchange.
    pub routes: Vec<(String, ExchangeNumber)>,
    /// Digits of a number; dialling is over when they are complete.
    pub digits: usize,
    /// The class of calls from endpoints.
    pub class: usize,
    /// How long a caller at an endpoint waits.
    pub patience: Micros,
}

/// What a deadline of the agent is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentDue {
    /// Repeat the command of this transaction, or give it up.
    Transaction(u32),
    /// The caller at this port has waited for its own connection long enough.
    Prepare(usize, u64),
    /// Audit this port.
    Audit(usize),
    /// Look whether the gateway of this port is still there, while a call of this use stands at it.
    Lease(usize, u64),
}

/// What is to be done, or was learnt.
#[derive(Debug, PartialEq)]
pub enum AgentOutput {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Come back then.
    Wake(Micros, AgentDue),
    /// Offer this call to the core, and then [`Agent::taken`] with the port.
    Offer(usize, Box<OfferedCall>),
    /// The caller left.
    Left(CallId),
    /// A set-up was answered.
    Answered(CallId, AttemptNumber, Option<SessionDescription>),
    /// An attempt ended, or a call that stood is over.
    Ended(CallId, AttemptNumber, (Ending, Cause)),
    /// Free endpoints of a gateway, and how many there are.
    Group(ExchangeId, LoadReport),
    /// A gateway drains or serves again.
    List(ListEntry),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgentCounts {
    /// Commands in, repeats not counted.
    pub commands_in: u64,
    /// Commands out, repeats not counted.
    pub commands_out: u64,
    /// Messages that could not be used.
    pub unusable: u64,
    /// Commands about endpoints that are not known.
    pub unknown_endpoint: u64,
    /// Set-ups answered after they were given up; each was released.
    pub late_answers: u64,
    /// Commands that got no answer.
    pub unanswered: u64,
    /// Calls cut since their gateway said nothing any more.
    pub lease_expired: u64,
    /// Calls that never reached the core: no such number, or no connection at the caller's side.
    pub not_offered: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Nothing hangs on the answer.
    Request(usize),
    /// The connection of a caller, or of a called endpoint.
    Create(usize, u64),
    /// The caller's connection is joined to the far side.
    Join(usize, u64),
    /// A connection is deleted, and the port is free then.
    Delete(usize, u64),
    /// A connection that came late is deleted.
    DeleteLate(usize),
    Audit(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Idle,
    /// Off hook, with these digits so far.
    Dialling(String),
    /// The caller's connection is being made.
    Preparing {
        to: ExchangeNumber,
        number: String,
        until: Micros,
    },
    /// The call is with the core.
    Offered(Option<CallId>),
    /// The caller's call stands.
    Talking(CallId),
    /// It hears a tone, or nothing; its hook is waited for.
    Tone,
    /// A set-up of the core.
    Called {
        call: CallId,
        attempt: AttemptNumber,
        stage: Stage,
    },
    /// DLCX is out.
    Clearing,
    /// It did not answer; it is audited until it does.
    Silent,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Creating,
    Ringing(Option<SessionDescription>),
    Standing,
}

#[derive(Debug)]
struct Port {
    endpoint: Endpoint,
    gateway: usize,
    role: Role,
    /// The call identifier of the present use.
    use_id: u64,
    connection: Option<String>,
    /// The transaction of CRCX, while it is not answered.
    creating: Option<u32>,
    /// The request that notifications must name.
    request: u32,
    number: Option<String>,
}

/// The call agent.
#[derive(Debug)]
pub struct Agent {
    front: FrontendId,
    config: AgentConfig,
    ports: Vec<Port>,
    states: Vec<(ListState, Option<Micros>)>,
    told: Vec<Option<usize>>,
    /// When each gateway last said something.
    heard: Vec<Micros>,
    turns: Vec<usize>,
    calls: BTreeMap<CallId, usize>,
    legs: BTreeMap<CallId, usize>,
    commands: Commands<Purpose>,
    history: History,
    next_use: u64,
    next_request: u32,
    out: Vec<AgentOutput>,
    counts: AgentCounts,
}

impl Agent {
    /// An agent that has sent nothing yet.
    pub fn new(front: FrontendId, config: AgentConfig, seed: u64) -> Self {
        let mut ports = Vec::new();
        for (gateway, g) in config.gateways.iter().enumerate() {
            for local in &g.endpoints {
                let endpoint = Endpoint { local: local.clone(), domain: g.name.clone() };
                let (role, use_id, request) = (Role::Idle, 0, 0);
                ports.push(Port {
                    endpoint,
                    gateway,
                    role,
                    use_id,
                    connection: None,
                    creating: None,
                    request,
                    number: None,
                });
            }
        }
        let n = config.gateways.len();
        Agent {
            front,
            ports,
            states: vec![(ListState::Ready, None); n],
            told: vec![None; n],
            heard: vec![0; n],
            turns: vec![0; n],
            calls: BTreeMap::new(),
            legs: BTreeMap::new(),
            commands: Commands::new(seed),
            history: History::default(),
            // Not the identifiers of the life before: a gateway may still hold those.
            next_use: seed.rotate_left(17) | 1,
            next_request: (seed >> 40) as u32,
            out: Vec::new(),
            counts: AgentCounts::default(),
            config,
        }
    }

    /// Asks every endpoint for its hook, and tells of the gateways' groups. What is left of an earlier life at
    /// the endpoints is deleted first.
    pub fn start(&mut self, now: Micros) {
        (0..self.ports.len()).for_each(|p| self.delete(now, p, Params::default(), Role::Clearing));
        self.tell_groups();
    }

    /// The gateways as entries of the list.
    pub fn entries(&self) -> Vec<ListEntry> {
        (0..self.config.gateways.len()).map(|g| self.entry(g)).collect()
    }

    /// Whether this office is a gateway of the agent's.
    pub fn has(&self, office: ExchangeId) -> bool {
        self.gateway_of(office).is_some()
    }

    /// The number that the caller of this call dialled.
    pub fn number(&self, call: CallId) -> Option<&str> {
        self.calls.get(&call).and_then(|&p| self.ports[p].number.as_deref())
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<AgentOutput> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> AgentCounts {
        self.counts
    }

    /// Repeats: commands sent again, and commands answered again.
    pub fn repeats(&self) -> (u64, u64) {
        (self.commands.repeats, self.history.repeats)
    }

    /// The gateways, for the console: name, state, free endpoints, endpoints.
    pub fn views(&self) -> impl Iterator<Item = (&str, ListState, usize, usize)> + '_ {
        let named = self.config.gateways.iter().zip(&self.states).enumerate();
        named.map(|(i, (g, s))| (g.name.as_str(), s.0, self.free(i), g.endpoints.len()))
    }

    fn office(g: usize) -> ExchangeId {
        ExchangeId { addr: (g as u32).to_be_bytes(), port: GATEWAY_MARK }
    }

    fn gateway_of(&self, office: ExchangeId) -> Option<usize> {
        let g = u32::from_be_bytes(office.addr) as usize;
        (office.port == GATEWAY_MARK && g < self.config.gateways.len()).then_some(g)
    }

    fn entry(&self, g: usize) -> ListEntry {
        let (state, last_start) = self.states[g];
        let exchange = self.config.gateways[g].exchange;
        ListEntry { exchange, zone: 0, state, exchange_id: Self::office(g), last_start }
    }

    // ---- Datagrams ----

    /// A datagram from a gateway.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        for (gateway, heard) in self.config.gateways.iter().zip(&mut self.heard) {
            *heard = if gateway.address == from { now } else { *heard };
        }
        for packet in message::parse(body) {
            match packet {
                Ok(Packet::Command(c)) => self.command(now, from, &c),
                Ok(Packet::Response(r)) => self.response(now, from, r),
                Err(u) => {
                    self.counts.unusable += 1;
                    if let Some(id) = u.transaction {
                        self.reply(now, from, id, |_| Response::new(u.code, id));
                    }
                }
            }
        }
        self.tell_groups();
    }

    fn command(&mut self, now: Micros, from: SocketAddr, c: &Command) {
        if let Some(list) = c.params.get("K") {
            self.history.acknowledge(from, list);
        }
        self.reply(now, from, c.transaction, |agent| {
            agent.counts.commands_in += 1;
            let code = agent.run(now, from, c);
            Response::new(code, c.transaction)
        });
    }

    /// Answers a command: from the history if it came before, so that it is run once and only once.
    fn reply(&mut self, now: Micros, from: SocketAddr, id: u32, run: impl FnOnce(&mut Self) -> Response) {
        // The response goes before the commands that follow from it.
        let place = self.out.len();
        let text = match self.history.answered(now, from, id) {
            Some(text) => text,
            None => {
                let text = run(self).text();
                self.history.keep(now, from, id, text.clone());
                text
            }
        };
        self.out.insert(place, AgentOutput::Datagram(from, text.into_bytes()));
    }

    /// Runs a gateway's command and gives its return code.
    fn run(&mut self, now: Micros, from: SocketAddr, c: &Command) -> u16 {
        let known = |g: &Gateway| g.name == c.endpoint.domain && g.address.ip() == from.ip();
        let Some(g) = self.config.gateways.iter().position(known) else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        let matches = |local: &str| match c.endpoint.local.strip_suffix('*') {
            Some(head) => local.starts_with(head),
            None => local == c.endpoint.local,
        };
        let ports: Vec<usize> = (0..self.ports.len())
            .filter(|&p| self.ports[p].gateway == g && matches(&self.ports[p].endpoint.local))
            .collect();
        let Some(&first) = ports.first() else {
            self.counts.unknown_endpoint += 1;
            return 500;
        };
        match c.verb {
            Verb::Ntfy => {
                let x = c.params.get("X").unwrap_or("0");
                // A notification for an earlier request tells of what is past; it is acknowledged only.
                let current = x == "0" || x.eq_ignore_ascii_case(&request_name(self.ports[first].request));
                let Some(observed) = c.params.get("O") else { return 510 };
                if current {
                    self.notified(now, first, &events(observed));
                }
                200
            }
            Verb::Rsip => self.restarting(now, g, &ports, c),
            Verb::Dlcx => {
                let port = &self.ports[first];
                let wrong = |mine: Option<&str>, told: Option<&str>| {
                    told.is_some_and(|t| mine.is_none_or(|m| !m.eq_ignore_ascii_case(t)))
                };
                if wrong(Some(&use_name(port.use_id)), c.params.get("C")) {
                    return 516;
                }
                if wrong(port.connection.as_deref(), c.params.get("I")) {
                    return 515;
                }
                self.lost(first);
                self.idle(now, first);
                250
            }
            Verb::Rqnt | Verb::Crcx | Verb::Mdcx | Verb::Auep => message::unusable::VERB,
        }
    }

    fn restarting(&mut self, now: Micros, g: usize, ports: &[usize], c: &Command) -> u16 {
        let whole = ports.len() == self.config.gateways[g].endpoints.len();
        let method = c.params.get("RM").unwrap_or("restart").to_ascii_lowercase();
        let state = match method.as_str() {
            "graceful" => (ListState::Draining, self.states[g].1),
            "forced" => (ListState::Draining, self.states[g].1),
            "restart" => (ListState::Ready, Some(now)),
            "cancel-graceful" => (ListState::Ready, self.states[g].1),
            "disconnected" => {
                ports.iter().for_each(|&p| self.audit(now, p));
                return 200;
            }
            _ => return 510,
        };
        // The list first: the core must know of the drain before it decides on what ended.
        if whole && self.states[g] != state {
            self.states[g] = state;
            self.out.push(AgentOutput::List(self.entry(g)));
        }
        for &p in ports {
            match method.as_str() {
                "restart" => {
                    self.lost(p);
                    self.idle(now, p);
                }
                "forced" => {
                    self.lost(p);
                    self.silent(now, p);
                }
                _ => {}
            }
        }
        200
    }

    /// What a port's endpoint has seen.
    fn notified(&mut self, now: Micros, p: usize, seen: &[(String, String)]) {
        for (package, event) in seen {
            match (package.as_str(), event.as_str()) {
                ("l", "hd") => self.off_hook(now, p),
                ("l", "hu") => self.on_hook(now, p),
                ("d", digit) => {
                    if let Role::Dialling(digits) = &mut self.ports[p].role {
                        let ended = matches!(digit, "t" | "#");
                        if !ended && digits.len() < DIGITS_MOST {
                            digits.push_str(digit);
                        }
                        if ended || digits.len() >= self.config.digits {
                            let number = std::mem::take(digits);
                            self.dialled(now, p, number);
                        }
                    }
                }
                _ => {}
            }
        }
        if matches!(&self.ports[p].role, Role::Dialling(_)) {
            let ask =
                Params::default().with("R", "L/hu(N), D/[0-9*#T](D)").with("D", "(x.T)").with("S", "L/dl");
            self.request(now, p, ask);
        }
    }

    fn off_hook(&mut self, now: Micros, p: usize) {
        match self.ports[p].role.clone() {
            Role::Idle => self.ports[p].role = Role::Dialling(String::new()),
            Role::Called { call, attempt, stage: Stage::Ringing(text) } => {
                self.ports[p].role = Role::Called { call, attempt, stage: Stage::Standing };
                self.request(now, p, Params::default().with("R", "L/hu(N)"));
                self.watch_lease(now, p);
                self.out.push(AgentOutput::Answered(call, attempt, text));
            }
            _ => {}
        }
    }

    fn on_hook(&mut self, now: Micros, p: usize) {
        match self.ports[p].role.clone() {
            Role::Dialling(_) => self.idle(now, p),
            // The DLCX that brought the tone may have been lost: what it was for is asked for again.
            Role::Tone | Role::Preparing { .. } => self.delete(now, p, Params::default(), Role::Clearing),
            Role::Offered(_) | Role::Talking(_) => {
                self.lost(p);
                self.delete(now, p, Params::default(), Role::Clearing);
            }
            Role::Called { call, attempt, stage: Stage::Standing } => {
                self.legs.remove(&call);
                self.out.push(AgentOutput::Ended(call, attempt, (Ending::Completed, Cause::None)));
                self.delete(now, p, Params::default(), Role::Clearing);
            }
            Role::Idle | Role::Called { .. } | Role::Clearing | Role::Silent => {}
        }
    }

    fn dialled(&mut self, now: Micros, p: usize, number: String) {
        let own = self.config.gateways.iter().map(|g| (&g.prefix, g.exchange));
        let all = own.chain(self.config.routes.iter().map(|r| (&r.0, r.1)));
        let fits = all.filter(|r| !r.0.is_empty() && number.starts_with(r.0.as_str()));
        let Some((_, to)) = fits.max_by_key(|r| r.0.len()) else {
            self.counts.not_offered += 1;
            self.ports[p].role = Role::Tone;
            return self.request(now, p, Params::default().with("R", "L/hu(N)").with("S", "L/ro"));
        };
        let until = now + self.config.patience;
        self.begin(now, p, Role::Preparing { to, number, until });
        let params = Params::default().with("M", "recvonly").with("R", "L/hu(N)");
        let id = self.ports[p].use_id;
        self.create(now, p, params, None);
        self.out.push(AgentOutput::Wake(until, AgentDue::Prepare(p, id)));
    }

    // ---- Responses ----

    fn response(&mut self, now: Micros, from: SocketAddr, r: Response) {
        let answered = self.commands.response(now, from, &r);
        if let Some(at) = answered.wake {
            self.out.push(AgentOutput::Wake(at, AgentDue::Transaction(r.transaction)));
        }
        if let Some(text) = answered.acknowledge {
            self.out.push(AgentOutput::Datagram(from, text.into_bytes()));
        }
        let good = (200..300).contains(&r.code);
        match answered.key {
            Some(Purpose::Create(p, id)) => self.created(now, p, id, r),
            Some(Purpose::Join(p, id)) if !good && self.ports[p].use_id == id => {
                // The caller can't be joined to its call: the call is over on both sides.
                self.lost(p);
                self.delete(now, p, Params::default().with("S", "L/ro").with("R", "L/hu(N)"), Role::Tone);
            }
            Some(Purpose::Delete(p, id))
                if self.ports[p].use_id == id && self.ports[p].role == Role::Clearing =>
            {
                self.idle(now, p);
            }
            Some(Purpose::Audit(p)) if self.ports[p].role == Role::Silent => {
                if good {
                    // It is back, and may still hold what it held when it fell silent.
                    self.delete(now, p, Params::default(), Role::Clearing);
                } else {
                    self.out.push(AgentOutput::Wake(now + AUDIT, AgentDue::Audit(p)));
                }
            }
            _ => {}
        }
    }

    /// The answer to CRCX.
    fn created(&mut self, now: Micros, p: usize, id: u64, r: Response) {
        let good = (200..300).contains(&r.code);
        let connection = r.params.get("I").map(str::to_owned);
        let text = r.sdp.map(|s| SessionDescription(s.into()));
        if self.ports[p].use_id != id || !self.ports[p].awaits_connection() {
            if good {
                // Guards against a connection that nobody owns: it was given up while its answer was on the way.
                self.counts.late_answers += 1;
                let mut c = command(Verb::Dlcx, self.ports[p].endpoint.clone());
                c.params = Params::default().with("C", use_name(id));
                if let Some(i) = connection {
                    c.params = c.params.with("I", i);
                }
                self.send(now, p, c, Purpose::DeleteLate(p));
            }
            return;
        }
        self.ports[p].creating = None;
        let automatic = self.config.gateways[self.ports[p].gateway].answered_by == AnsweredBy::Connection;
        match (self.ports[p].role.clone(), good) {
            (Role::Preparing { to, number, until }, true) => {
                self.ports[p].connection = connection;
                self.ports[p].number = Some(number.clone());
                self.ports[p].role = Role::Offered(None);
                let ask = NewCall {
                    call: CallId(0),
                    destination: to,
                    transit: false,
                    redialled: false,
                    cut_before: false,
                    number: number.parse().ok(),
                    circuits: 1,
                    remaining_time: (until - now).max(0),
                    class: self.config.class,
                    via: None,
                    earliest_attempt: 0,
                };
                let offer = OfferedCall { frontend: self.front, new_call: ask, description: text };
                self.out.push(AgentOutput::Offer(p, Box::new(offer)));
            }
            (Role::Preparing { .. }, false) => {
                self.counts.not_offered += 1;
                self.ports[p].role = Role::Tone;
                self.request(now, p, Params::default().with("R", "L/hu(N)").with("S", "L/ro"));
            }
            (Role::Called { call, attempt, .. }, true) => {
                self.ports[p].connection = connection;
                if automatic {
                    self.ports[p].role = Role::Called { call, attempt, stage: Stage::Standing };
                    self.watch_lease(now, p);
                    self.out.push(AgentOutput::Answered(call, attempt, text));
                } else {
                    self.ports[p].role = Role::Called { call, attempt, stage: Stage::Ringing(text) };
                }
            }
            (Role::Called { call, attempt, .. }, false) => {
                self.legs.remove(&call);
                self.out.push(AgentOutput::Ended(call, attempt, codes::outcome(r.code)));
                self.idle(now, p);
            }
            _ => {}
        }
    }

    /// A deadline has come.
    pub fn due(&mut self, now: Micros, due: AgentDue) {
        match due {
            AgentDue::Transaction(id) => match self.commands.due(now, id) {
                Repeat::Nothing => {}
                Repeat::Again(to, text, at) => {
                    self.out.push(AgentOutput::Datagram(to, text.into_bytes()));
                    self.out.push(AgentOutput::Wake(at, due));
                }
                Repeat::GaveUp(purpose) => self.unanswered(now, purpose),
            },
            AgentDue::Prepare(p, id) => {
                if self.ports[p].use_id == id && matches!(self.ports[p].role, Role::Preparing { .. }) {
                    self.counts.not_offered += 1;
                    self.delete(now, p, Params::default(), Role::Clearing);
                }
            }
            AgentDue::Audit(p) => self.audit(now, p),
            AgentDue::Lease(p, id) if self.ports[p].use_id == id => self.look_at_lease(now, p),
            AgentDue::Lease(..) => {}
        }
        self.tell_groups();
    }

    fn unanswered(&mut self, now: Micros, purpose: Purpose) {
        self.counts.unanswered += 1;
        match purpose {
            Purpose::Create(p, id) if self.ports[p].use_id == id => match self.ports[p].role.clone() {
                Role::Called { call, attempt, stage: Stage::Creating } => {
                    // Nothing proves that it did not run: it counts as timed out, and is cleared.
                    self.legs.remove(&call);
                    self.out.push(AgentOutput::Ended(call, attempt, codes::outcome(406)));
                    self.delete(now, p, Params::default(), Role::Clearing);
                }
                Role::Preparing { .. } => self.silent(now, p),
                _ => {}
            },
            Purpose::Join(p, id) | Purpose::Delete(p, id) if self.ports[p].use_id == id => {
                self.lost(p);
                self.silent(now, p);
            }
            Purpose::Audit(p) if self.ports[p].role == Role::Silent => {
                self.out.push(AgentOutput::Wake(now + AUDIT, AgentDue::Audit(p)));
            }
            Purpose::Request(p) if self.ports[p].role == Role::Idle => self.silent(now, p),
            _ => {}
        }
    }

    // ---- What the core asks for ----

    /// The core has taken the call that this port offered.
    pub fn taken(&mut self, p: usize, call: CallId) {
        self.ports[p].role = Role::Offered(Some(call));
        self.calls.insert(call, p);
    }

    /// The final answer to a call from an endpoint.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: &Answer) {
        let Some(&p) = self.calls.get(&call) else { return };
        let (code, tone) = codes::answer(answer);
        match (answer, tone) {
            (Answer::Established(text), _) => {
                self.ports[p].role = Role::Talking(call);
                self.watch_lease(now, p);
                let mut c = command(Verb::Mdcx, self.ports[p].endpoint.clone());
                c.params = self.connection_params(p).with("M", "sendrecv");
                c.sdp = text.as_ref().map(|t| t.0.to_string());
                let purpose = Purpose::Join(p, self.ports[p].use_id);
                self.send(now, p, c, purpose);
            }
            (refused, tone) => {
                self.calls.remove(&call);
                let mut params = Params::default().with("R", "L/hu(N)").with("S", tone.unwrap_or("L/ro"));
                // For gateways that dial again by themselves: the code, and how long to keep away.
                params = params.with("X-Outcome", code);
                if let Answer::Refused { retry_after: pause } = refused {
                    params = params.with("X-Pause", (pause + 999) / 1000);
                }
                self.delete(now, p, params, Role::Tone);
            }
        }
        self.tell_groups();
    }

    /// A call from an endpoint that stood is over.
    pub fn release(&mut self, now: Micros, call: CallId) {
        if let Some(p) = self.calls.remove(&call) {
            self.delete(now, p, Params::default().with("R", "L/hu(N)"), Role::Tone);
        }
    }

    /// Sets a call up at a gateway. `description` is the caller's, and passes on unchanged.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNumber),
        office: ExchangeId,
        description: Option<&SessionDescription>,
    ) {
        let Some(g) = self.gateway_of(office) else { return };
        let ports: Vec<usize> = (0..self.ports.len()).filter(|&p| self.ports[p].gateway == g).collect();
        // In turn, so that an endpoint rests after a call.
        let turn = self.turns[g] % ports.len().max(1);
        let found = ports[turn..].iter().chain(&ports[..turn]).find(|&&p| self.ports[p].role == Role::Idle);
        let Some(&p) = found else {
            return self.out.push(AgentOutput::Ended(call, attempt, codes::outcome(410)));
        };
        self.turns[g] = ports.iter().position(|&q| q == p).unwrap_or(0) + 1;
        self.begin(now, p, Role::Called { call, attempt, stage: Stage::Creating });
        self.legs.insert(call, p);
        let mut params = Params::default().with("M", "sendrecv");
        if self.config.gateways[g].answered_by == AnsweredBy::OffHook {
            params = params.with("R", "L/hd(N)").with("S", "L/rg");
        } else {
            params = params.with("R", "L/hu(N)");
        }
        self.create(now, p, params, description.map(|d| d.0.to_string()));
        self.tell_groups();
    }

    /// Gives a set-up up, or releases a call that stands.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNumber) {
        let Some(&p) = self.legs.get(&call) else { return };
        let Role::Called { attempt: mine, .. } = &self.ports[p].role else { return };
        if *mine != attempt {
            return;
        }
        self.legs.remove(&call);
        self.delete(now, p, Params::default(), Role::Clearing);
        self.tell_groups();
    }

    // ---- Within ----

    /// A new use of a port begins.
    fn begin(&mut self, now: Micros, p: usize, role: Role) {
        self.stop_creating(now, p);
        self.next_use = self.next_use.wrapping_add(1);
        let port = &mut self.ports[p];
        (port.use_id, port.connection, port.number, port.role) = (self.next_use, None, None, role);
    }

    /// Guards against a repeat of CRCX behind its own DLCX, which would make the connection anew. A late answer
    /// is still heard, and what it made is deleted.
    fn stop_creating(&mut self, now: Micros, p: usize) {
        let Some(transaction) = self.ports[p].creating.take() else { return };
        if let Some(at) = self.commands.stop_repeating(now, transaction) {
            self.out.push(AgentOutput::Wake(at, AgentDue::Transaction(transaction)));
        }
    }

    /// The one place where a port is given back: it is asked for its hook anew.
    fn idle(&mut self, now: Micros, p: usize) {
        self.begin(now, p, Role::Idle);
        self.request(now, p, Params::default().with("R", "L/hd(N)"));
    }

    fn silent(&mut self, now: Micros, p: usize) {
        self.begin(now, p, Role::Silent);
        self.out.push(AgentOutput::Wake(now + AUDIT, AgentDue::Audit(p)));
    }

    /// What the port held is over, on its own side.
    fn lost(&mut self, p: usize) {
        match self.ports[p].role.clone() {
            Role::Offered(Some(call)) | Role::Talking(call) => {
                self.calls.remove(&call);
                self.out.push(AgentOutput::Left(call));
            }
            Role::Called { call, attempt, .. } => {
                self.legs.remove(&call);
                self.out.push(AgentOutput::Ended(call, attempt, codes::outcome(407)));
            }
            _ => {}
        }
    }

    /// Has the gateway of a port at which a call has come to stand looked at for as long as it stands.
    fn watch_lease(&mut self, now: Micros, p: usize) {
        self.out.push(AgentOutput::Wake(now + LOOK, AgentDue::Lease(p, self.ports[p].use_id)));
    }

    /// Guards the far side of a call against a gateway that is gone without a word: nobody would tell of its end.
    fn look_at_lease(&mut self, now: Micros, p: usize) {
        let standing =
            matches!(self.ports[p].role, Role::Talking(_) | Role::Called { stage: Stage::Standing, .. });
        if !standing {
            return;
        }
        let silent = now - self.heard[self.ports[p].gateway];
        if silent + LOOK > LEASE_DURATION {
            self.counts.lease_expired += 1;
            self.lost(p);
            return self.silent(now, p);
        }
        if silent >= LOOK {
            self.audit(now, p);
        }
        self.watch_lease(now, p);
    }

    fn audit(&mut self, now: Micros, p: usize) {
        let c = command(Verb::Auep, self.ports[p].endpoint.clone());
        self.send(now, p, c, Purpose::Audit(p));
    }

    fn connection_params(&self, p: usize) -> Params {
        let port = &self.ports[p];
        let mut params = Params::default();
        // Without a call, all connections of the endpoint are meant.
        if port.use_id != 0 {
            params = params.with("C", use_name(port.use_id));
        }
        if let Some(i) = &port.connection {
            params = params.with("I", i);
        }
        params
    }

    fn delete(&mut self, now: Micros, p: usize, more: Params, then: Role) {
        self.stop_creating(now, p);
        // What was silent or not yet in use may hold connections of any call.
        if matches!(self.ports[p].role, Role::Silent) {
            self.ports[p].use_id = 0;
        }
        let mut c = command(Verb::Dlcx, self.ports[p].endpoint.clone());
        c.params = self.connection_params(p);
        if !more.0.is_empty() {
            c.params = c.params.with("X", self.new_request(p));
            c.params.0.extend(more.0);
        }
        self.ports[p].role = then;
        let purpose = Purpose::Delete(p, self.ports[p].use_id);
        self.send(now, p, c, purpose);
    }

    fn create(&mut self, now: Micros, p: usize, params: Params, sdp: Option<String>) {
        let mut c = command(Verb::Crcx, self.ports[p].endpoint.clone());
        c.params = self.connection_params(p).with("X", self.new_request(p));
        c.params.0.extend(params.0);
        c.sdp = sdp;
        let purpose = Purpose::Create(p, self.ports[p].use_id);
        self.ports[p].creating = Some(self.send(now, p, c, purpose));
    }

    fn request(&mut self, now: Micros, p: usize, params: Params) {
        let mut c = command(Verb::Rqnt, self.ports[p].endpoint.clone());
        c.params = Params::default().with("X", self.new_request(p));
        c.params.0.extend(params.0);
        self.send(now, p, c, Purpose::Request(p));
    }

    fn new_request(&mut self, p: usize) -> String {
        self.next_request = self.next_request.wrapping_add(1).max(1);
        self.ports[p].request = self.next_request;
        request_name(self.next_request)
    }

    fn send(&mut self, now: Micros, p: usize, c: Command, purpose: Purpose) -> u32 {
        let to = self.config.gateways[self.ports[p].gateway].address;
        self.counts.commands_out += 1;
        let (transaction, text, at) = self.commands.send(now, to, c, purpose);
        self.out.push(AgentOutput::Datagram(to, text.into_bytes()));
        self.out.push(AgentOutput::Wake(at, AgentDue::Transaction(transaction)));
        transaction
    }

    fn free(&self, g: usize) -> usize {
        self.ports.iter().filter(|p| p.gateway == g && p.role == Role::Idle).count()
    }

    fn tell_groups(&mut self) {
        for g in 0..self.config.gateways.len() {
            let free = self.free(g);
            if self.told[g] != Some(free) {
                self.told[g] = Some(free);
                let size = self.config.gateways[g].endpoints.len() as f64;
                let report =
                    LoadReport { free: Some(free as f64), size: Some(size), ..LoadReport::default() };
                self.out.push(AgentOutput::Group(Self::office(g), report));
            }
        }
    }
}

impl Port {
    fn awaits_connection(&self) -> bool {
        matches!(self.role, Role::Preparing { .. } | Role::Called { stage: Stage::Creating, .. })
    }
}

fn use_name(id: u64) -> String {
    format!("{id:x}")
}

fn request_name(id: u32) -> String {
    format!("{id:x}")
}
