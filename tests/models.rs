//! Property tests: reference models of connections and calls, against which random sequences of steps are checked. The
//! seeds are fixed.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use walnuthatch::protocol::client::{
    AcceptedSetUp, ClientConnections, ClientOutput, ClientRequest, ClientTimer,
    CloseReason as ClientCloseReason, ReceivedSetUp,
};
use walnuthatch::protocol::json_lines::{Kind, LineError, LineSplitter, Message, Sid, MAX_MESSAGE_BYTES};
use walnuthatch::protocol::membership::MemberAddress;
use walnuthatch::protocol::upstream::{CloseReason, UpstreamConnections, UpstreamOutput, UpstreamTimer};
use walnuthatch::protocol::ConnId;
use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, FrontendId, Ledger, LedgerTimer, OfferedCall, Output};
use walnuthatch::routing::timer_queue::TimerQueue;

const MS: Micros = 1_000;

/// Runs `test` on 400 random values of the strategy.
fn check_property<T: std::fmt::Debug>(strategy: impl Strategy<Value = T>, test: impl Fn(T)) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let run = TestRunner::new_with_rng(config, rng).run(&strategy, |t| {
        test(t);
        Ok(())
    });
    run.unwrap_or_else(|e| panic!("{e}"));
}

fn exchange_id(n: u16) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, n as u8], port: 0 }
}

fn entry(n: u16, state: ListState) -> ListEntry {
    let (kind, exchange_id) = (ExchangeKind::Exchange, exchange_id(n));
    ListEntry { exchange: ExchangeNumber(n), kind, zone: 0, state, exchange_id, last_start: None }
}

// ---- Lines ----

#[test]
fn lines_are_the_same_however_the_stream_is_split() {
    let lines = prop::collection::vec(0_usize..MAX_MESSAGE_BYTES + 200, 1..6);
    let chunk_sizes = prop::collection::vec(1_usize..9_000, 1..40);
    check_property((lines, chunk_sizes), |(lengths, chunk_sizes)| {
        let bytes: Vec<u8> = lengths.iter().flat_map(|&n| [vec![b'a'; n], vec![b'\n']].concat()).collect();
        // All lines up to the first that is too long, and nothing after it.
        let valid = lengths.iter().position(|&n| n > MAX_MESSAGE_BYTES).unwrap_or(lengths.len());
        let complete = lengths[..valid].iter().filter(|&&n| n > 0).map(|&n| Ok(n));
        let too_long = (valid < lengths.len()).then_some(Err(LineError::TooLong));
        let expected: Vec<Result<usize, LineError>> = complete.chain(too_long).collect();
        let (mut splitter, mut parsed, mut rest) = (LineSplitter::default(), Vec::new(), &bytes[..]);
        for size in chunk_sizes.iter().cycle() {
            let (head, tail) = rest.split_at((*size).min(rest.len()));
            splitter.push(head, |line| parsed.push(line.map(<[u8]>::len)));
            rest = tail;
            let sent = bytes.len() - rest.len();
            let within_line = sent > 0 && bytes[sent - 1] != b'\n';
            assert!(
                splitter.has_partial_line() == within_line
                    || parsed.contains(&Err(LineError::TooLong))
                    || sent == 0
            );
            if rest.is_empty() {
                break;
            }
        }
        assert_eq!(parsed, expected);
    });
}

// ---- The connection to one exchange ----

#[derive(Clone, Debug)]
enum UpstreamStep {
    SetUp,
    Clear(usize),
    Connected,
    Closed(CloseReason),
    Answered(usize),
    Released(usize, u16),
    ProtocolError,
    PartialMessage(bool),
    List(ListState),
    /// The machine vanishes; any later answers from its address come from another process.
    Vanish,
    Advance(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Waiting,
    Sent,
    Established,
    Cleared,
    Ended,
}

struct UpstreamModel {
    upstream: UpstreamConnections,
    now: Micros,
    timers: TimerQueue<UpstreamTimer>,
    /// The only connection, and whether it is established.
    conn: Option<(ConnId, bool)>,
    /// Since when a message has been incomplete on it.
    partial_since: Option<Micros>,
    /// When a message was last received, the connection was established, or a set-up was sent while no call was in
    /// progress.
    last_received: Micros,
    attempts: Vec<AttemptState>,
    state: ListState,
    /// The connection at the time the machine vanished: it stays open, but no message arrives on it.
    unresponsive: Option<ConnId>,
    /// For each call whose process has vanished, when it did.
    vanished_at: BTreeMap<usize, Micros>,
}

impl UpstreamModel {
    fn process_has(&self, attempt: usize) -> bool {
        !self.vanished_at.contains_key(&attempt)
    }

    fn list(&mut self, state: ListState) {
        self.state = state;
        let address = MemberAddress { member: "s-1".to_owned(), address: "127.0.0.1:9".parse().unwrap() };
        self.upstream.update_list(self.now, &[entry(1, state)], &[address], false);
    }

    fn settle(&mut self) {
        for output in self.upstream.take_outputs() {
            match output {
                UpstreamOutput::Connect(conn, _) => {
                    assert_eq!(self.conn, None, "at most one connection to an exchange");
                    (self.conn, self.partial_since) = (Some((conn, false)), None);
                }
                UpstreamOutput::Send { conn, message, set_up } => {
                    if !self
                        .attempts
                        .iter()
                        .any(|a| matches!(a, AttemptState::Sent | AttemptState::Established))
                    {
                        self.last_received = self.now;
                    }
                    assert_eq!(self.conn, Some((conn, true)), "sent on the established connection");
                    assert_eq!(set_up.is_some(), message.kind == Kind::Open);
                    if let Some(call) = set_up {
                        let attempt = &mut self.attempts[call.0 as usize];
                        assert_eq!(
                            *attempt,
                            AttemptState::Waiting,
                            "one set-up per call, and none after it was cancelled"
                        );
                        assert_eq!(self.state, ListState::Ready, "no waiting set-up is sent after a drain");
                        *attempt = AttemptState::Sent;
                    }
                }
                UpstreamOutput::WithdrawSetUp { call, .. } => {
                    assert_ne!(self.state, ListState::Ready);
                    assert_eq!(self.attempts[call.0 as usize], AttemptState::Sent);
                }
                UpstreamOutput::CancelSetUp { call, .. } => {
                    assert_eq!(self.attempts[call.0 as usize], AttemptState::Cleared)
                }
                UpstreamOutput::Disconnect(conn, _) => {
                    assert_eq!(self.conn.map(|c| c.0), Some(conn));
                    self.conn = None;
                }
                UpstreamOutput::SetTimer(at, timer) => self.timers.add(at, timer),
                UpstreamOutput::Answered(call, ..) => {
                    assert_eq!(self.attempts[call.0 as usize], AttemptState::Sent);
                    self.attempts[call.0 as usize] = AttemptState::Established;
                }
                UpstreamOutput::Ended(call, ..) => {
                    let attempt = &mut self.attempts[call.0 as usize];
                    assert!(
                        matches!(
                            *attempt,
                            AttemptState::Waiting | AttemptState::Sent | AttemptState::Established
                        ),
                        "one end per call: {attempt:?}"
                    );
                    *attempt = AttemptState::Ended;
                }
                UpstreamOutput::PreviousRunReleased(sid, _) => panic!("{sid} belongs to this run"),
                UpstreamOutput::GroupReport(..)
                | UpstreamOutput::ProbeFailed(_)
                | UpstreamOutput::ConnectionDropped(..)
                | UpstreamOutput::LeasesExpired(..) => {}
            }
        }
    }

    fn step(&mut self, step: UpstreamStep) {
        let pick = |i: usize, n: usize| (n > 0).then(|| i % n.max(1));
        let up = self.conn.filter(|c| c.1).map(|c| c.0).filter(|&c| Some(c) != self.unresponsive);
        match step {
            UpstreamStep::Vanish => {
                let here = (0..self.attempts.len()).filter(|&i| self.process_has(i)).collect::<Vec<_>>();
                let known = |a: AttemptState| matches!(a, AttemptState::Sent | AttemptState::Established);
                self.vanished_at
                    .extend(here.into_iter().filter(|&i| known(self.attempts[i])).map(|i| (i, self.now)));
                self.unresponsive = self.conn.map(|c| c.0);
            }
            UpstreamStep::SetUp if self.state == ListState::Ready => {
                let n = self.attempts.len();
                self.attempts.push(AttemptState::Waiting);
                let message = Message::new(Kind::Open, Some(Sid(n as u64)));
                self.upstream.set_up(self.now, (CallId(n as u32), AttemptNumber(0)), exchange_id(1), message);
            }
            UpstreamStep::Clear(i) => {
                if let Some(i) = pick(i, self.attempts.len()) {
                    if !matches!(self.attempts[i], AttemptState::Ended) {
                        self.attempts[i] = AttemptState::Cleared;
                    }
                    self.upstream.clear(self.now, CallId(i as u32), AttemptNumber(0));
                }
            }
            UpstreamStep::Connected => {
                if let Some((conn, false)) = self.conn {
                    (self.conn, self.last_received) = (Some((conn, true)), self.now);
                    self.upstream.connected(self.now, conn);
                }
            }
            UpstreamStep::Closed(reason) => {
                if let Some((conn, up)) = self.conn.take() {
                    let reason =
                        if up && reason == CloseReason::Refused { CloseReason::Broken } else { reason };
                    self.upstream.closed(self.now, conn, reason);
                }
            }
            UpstreamStep::Answered(i) => {
                if let (Some(conn), Some(i)) =
                    (up, pick(i, self.attempts.len()).filter(|&i| self.process_has(i)))
                {
                    let before = self.attempts[i];
                    self.last_received = self.now;
                    self.upstream.message(self.now, conn, Message::new(Kind::Ready, Some(Sid(i as u64))));
                    let released = self.upstream.counts().late_answers;
                    self.settle();
                    assert!(before != AttemptState::Sent || self.attempts[i] == AttemptState::Established);
                    assert!(!matches!(before, AttemptState::Cleared | AttemptState::Ended) || released > 0);
                }
            }
            UpstreamStep::Released(i, code) => {
                if let (Some(conn), Some(i)) =
                    (up, pick(i, self.attempts.len()).filter(|&i| self.process_has(i)))
                {
                    self.last_received = self.now;
                    self.upstream.message(self.now, conn, Message::close(Sid(i as u64), code));
                }
            }
            UpstreamStep::ProtocolError => {
                if let Some(conn) = up {
                    self.upstream.protocol_error(self.now, conn);
                    self.settle();
                    assert!(
                        !self.attempts.contains(&AttemptState::Sent),
                        "every set-up sent on it has ended"
                    );
                    assert!(self.conn.is_none_or(|c| c.0 != conn), "the connection is closed");
                }
            }
            UpstreamStep::PartialMessage(partial) => {
                if let Some(conn) = up {
                    self.partial_since = partial.then_some(self.now);
                    self.upstream.partial_message(self.now, conn, partial);
                }
            }
            UpstreamStep::List(state) => self.list(state),
            UpstreamStep::Advance(span) => self.advance(span),
            UpstreamStep::SetUp => {}
        }
        self.settle();
    }

    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.timers.next_expiry().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            while let Some(timer) = self.timers.pop_expired(self.now) {
                self.upstream.timer_expired(self.now, timer);
                self.settle();
            }
        }
        self.now = end;
        let stale = self.conn.is_some() && self.partial_since.is_some_and(|since| end - since > 300 * MS);
        assert!(!stale, "a message that stays incomplete closes the connection");
        let calls = self.attempts.iter().any(|a| matches!(a, AttemptState::Sent | AttemptState::Established));
        let up = self.conn.is_some_and(|c| c.1);
        assert!(
            !(up && calls && end - self.last_received > 2_800 * MS),
            "a connection that is open but dead is closed"
        );
        for (&attempt, &since) in &self.vanished_at {
            let established = self.attempts[attempt] == AttemptState::Established;
            assert!(
                !established || end - since <= 7_200 * MS,
                "the call of a vanished process is cut in time"
            );
        }
    }
}

impl UpstreamModel {
    fn new() -> UpstreamModel {
        let upstream = UpstreamConnections::new(0, 500 * MS, Some(ExchangeNumber(0)));
        let (timers, conn, partial_since, attempts) = Default::default();
        let mut m = UpstreamModel {
            upstream,
            now: 1_000 * MS,
            timers,
            conn,
            partial_since,
            last_received: 0,
            attempts,
            state: ListState::Ready,
            unresponsive: None,
            vanished_at: BTreeMap::new(),
        };
        m.list(ListState::Ready);
        m.settle();
        m
    }

    /// A model with two established calls.
    fn with_two_calls() -> UpstreamModel {
        let mut m = UpstreamModel::new();
        [
            UpstreamStep::SetUp,
            UpstreamStep::SetUp,
            UpstreamStep::Connected,
            UpstreamStep::Answered(0),
            UpstreamStep::Answered(1),
        ]
        .into_iter()
        .for_each(|s| m.step(s));
        m
    }

    /// The exchange process hangs for this long, while its operating system still accepts connections.
    fn hang(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.unresponsive = self.conn.map(|c| c.0);
            self.advance(20 * MS);
            self.step(UpstreamStep::Connected);
        }
        self.unresponsive = None;
    }

    /// Advances until the next connection is established.
    fn reconnect(&mut self) {
        while self.conn.is_none() || self.conn.map(|c| c.0) == self.unresponsive {
            self.advance(10 * MS);
        }
        self.step(UpstreamStep::Connected);
    }

    /// A status message arrives, unless the connection is unresponsive.
    fn receive_status(&mut self) {
        if let Some((conn, true)) = self.conn.filter(|c| Some(c.0) != self.unresponsive) {
            self.last_received = self.now;
            self.upstream.message(self.now, conn, Message::new(Kind::Status, None));
        }
    }
}

#[test]
fn a_connection_that_stops_responding_is_detected_soon_and_one_that_answers_its_probe_is_kept() {
    let mut m = UpstreamModel::new();
    [UpstreamStep::SetUp, UpstreamStep::Connected, UpstreamStep::Answered(0)]
        .into_iter()
        .for_each(|s| m.step(s));
    for _ in 0..200 {
        m.advance(5 * MS);
        m.receive_status();
    }
    for _ in 0..20 {
        m.advance(110 * MS);
        m.receive_status();
    }
    assert_eq!(m.upstream.counts().unresponsive, 0);
    for _ in 0..200 {
        m.advance(5 * MS);
        m.receive_status();
    }
    m.step(UpstreamStep::SetUp);
    assert_eq!(m.attempts[1], AttemptState::Sent);
    m.advance(200 * MS);
    assert_eq!((m.attempts[1], m.upstream.counts().unresponsive), (AttemptState::Ended, 1));
}

#[test]
fn calls_are_cut_when_their_process_is_silent_even_if_another_process_answers_at_its_address() {
    let mut m = UpstreamModel::with_two_calls();
    m.step(UpstreamStep::Vanish);
    m.advance(2_500 * MS);
    m.reconnect();
    // Another process answers at the address, and accepts calls of its own.
    m.step(UpstreamStep::SetUp);
    for _ in 0..60 {
        m.receive_status();
        m.step(UpstreamStep::Answered(2));
        m.advance(100 * MS);
    }
    assert_eq!(m.attempts, [AttemptState::Ended, AttemptState::Ended, AttemptState::Established]);
    assert_eq!(m.upstream.counts().lease_expired, 2);
}

#[test]
fn calls_stay_established_after_an_interruption_when_their_process_reports_one_of_them() {
    let mut m = UpstreamModel::with_two_calls();
    // The network fails for six seconds, while the exchange keeps running.
    m.unresponsive = m.conn.map(|c| c.0);
    m.advance(6_000 * MS);
    m.reconnect();
    m.receive_status();
    m.step(UpstreamStep::Released(0, 16));
    for _ in 0..80 {
        m.receive_status();
        m.advance(100 * MS);
    }
    assert_eq!(m.attempts, [AttemptState::Ended, AttemptState::Established]);
}

#[test]
fn calls_are_cut_when_the_connection_that_may_have_carried_their_releases_was_closed() {
    let mut m = UpstreamModel::with_two_calls();
    // The exchange hangs while its operating system accepts connections. It then sends the releases of its calls on a
    // connection that has been closed here.
    m.hang(4_000 * MS);
    m.reconnect();
    m.receive_status();
    m.step(UpstreamStep::Released(0, 16));
    for _ in 0..40 {
        m.receive_status();
        m.advance(100 * MS);
    }
    assert_eq!(m.attempts, [AttemptState::Ended, AttemptState::Ended]);
}

#[test]
fn a_lease_that_was_renewed_after_one_interruption_expires_after_the_next() {
    let mut m = UpstreamModel::with_two_calls();
    m.unresponsive = m.conn.map(|c| c.0);
    m.advance(1_700 * MS);
    m.reconnect();
    m.receive_status();
    m.step(UpstreamStep::Released(0, 16));
    // The exchange hangs, and may have sent the release of the other call on a connection that was closed.
    m.hang(4_000 * MS);
    m.reconnect();
    for _ in 0..40 {
        m.receive_status();
        m.advance(100 * MS);
    }
    assert_eq!(m.attempts, [AttemptState::Ended, AttemptState::Ended]);
}

#[test]
fn an_exchange_has_one_connection_and_each_set_up_ends_once() {
    use UpstreamStep::*;
    let reason = prop::sample::select(vec![
        CloseReason::Refused,
        CloseReason::ConnectFailed,
        CloseReason::ClosedByPeer,
        CloseReason::Broken,
        CloseReason::ClosedLocally,
    ]);
    let state = prop::sample::select(vec![ListState::Ready, ListState::Draining, ListState::Gone]);
    let step = prop_oneof![
        4 => Just(SetUp),
        2 => (0_usize..50).prop_map(Clear),
        3 => Just(Connected),
        1 => reason.prop_map(Closed),
        3 => (0_usize..50).prop_map(Answered),
        2 => (0_usize..50, prop::sample::select(vec![16, 34, 41, 102])).prop_map(|(i, c)| Released(i, c)),
        1 => Just(ProtocolError),
        1 => any::<bool>().prop_map(PartialMessage),
        1 => state.prop_map(List),
        1 => Just(Vanish),
        2 => (0..700 * MS).prop_map(Advance),
    ];
    check_property(prop::collection::vec(step, 1..80), |steps| {
        let mut m = UpstreamModel::new();
        steps.into_iter().for_each(|s| m.step(s));
        // After the exchange is removed and its grace period has passed, nothing is left of it.
        m.list(ListState::Gone);
        m.settle();
        m.advance(5_000 * MS);
        let left =
            m.attempts.iter().filter(|a| !matches!(a, AttemptState::Ended | AttemptState::Cleared)).count();
        assert_eq!((left, m.conn, m.upstream.contains(exchange_id(1))), (0, None, false));
    });
}

// ---- Connections from clients ----

#[derive(Clone, Debug)]
enum ClientStep {
    Connect,
    PeerClosed(usize),
    Disconnect(usize),
    SetUp(usize, u64, &'static str),
    /// A set-up with the sid of a present call.
    Repeat(usize, usize),
    Clear(usize, u64),
    Answered(usize, bool),
    Released(usize),
    ConfirmRelease(usize),
    ProtocolError(usize),
    PartialMessage(usize, bool),
    Advance(Micros),
}

/// The expected state of a client's connection.
#[derive(Debug, Default)]
struct ConnectionModel {
    closing: bool,
    closed: bool,
    /// The client has closed it, and messages may follow that it had sent before.
    peer_closed: bool,
    /// When the last message was received, or the last call of the connection existed.
    last_activity: Micros,
    partial_since: Option<Micros>,
    ever_established: bool,
}

impl ConnectionModel {
    fn is_in_service(&self) -> bool {
        !self.closing && !self.peer_closed
    }
}

/// The expected state of a client's call.
#[derive(Clone, Copy, Debug)]
struct ClientCallModel {
    sid: Sid,
    conn: ConnId,
    /// When it was established.
    established_at: Option<Micros>,
}

impl ClientCallModel {
    fn is_established(&self) -> bool {
        self.established_at.is_some()
    }
}

/// A set-up that is held until its sid is free or the connection of the call that has the sid has ended.
#[derive(Clone, Copy, Debug)]
struct HeldSetUp {
    conn: ConnId,
    since: Micros,
}

#[derive(Debug)]
struct ClientModel {
    clients: ClientConnections,
    now: Micros,
    timers: TimerQueue<ClientTimer>,
    conns: BTreeMap<ConnId, ConnectionModel>,
    next_id: u64,
    calls: BTreeMap<CallId, ClientCallModel>,
    /// Unconfirmed releases: when they were first sent, and the connections on which they were sent.
    pending_releases: BTreeMap<Sid, (Micros, Vec<ConnId>)>,
    /// Set-ups held because their sid is in use on another connection.
    held: BTreeMap<Sid, HeldSetUp>,
    max_connections: usize,
}

/// How long a set-up is held at most before it is offered or its connection is closed.
const MAX_HOLD_TIME: Micros = 500 * MS;
/// The remaining time that clients state in their set-ups (ms).
const REMAINING_MS: u32 = 900;

impl ClientModel {
    fn new(max_connections: usize) -> Self {
        let clients =
            ClientConnections::new(-100_000 * MS, FrontendId(0), vec!["a".to_owned()], max_connections);
        let (timers, conns, calls, pending_releases, held) = Default::default();
        ClientModel {
            clients,
            now: 0,
            timers,
            conns,
            next_id: 0,
            calls,
            pending_releases,
            held,
            max_connections,
        }
    }

    /// Set-ups of a connection without an answer.
    fn open_set_ups_on(&self, conn: ConnId) -> usize {
        let open_calls = self.calls.values().filter(|c| c.conn == conn && !c.is_established()).count();
        open_calls + self.held.values().filter(|h| h.conn == conn).count()
    }

    /// Whether a connection has a call or a held set-up.
    fn is_needed(&self, conn: ConnId) -> bool {
        self.calls.values().any(|c| c.conn == conn) || self.held.values().any(|h| h.conn == conn)
    }

    fn call_with(&self, sid: Sid) -> Option<&ClientCallModel> {
        self.calls.values().find(|c| c.sid == sid)
    }

    /// Whether a valid set-up with this sid on this connection is held: a call on an older connection has the sid, which
    /// is unanswered or was answered recently. An invalid one is not held: its content differs from that of any call.
    fn holds(&self, conn: ConnId, sid: Sid) -> bool {
        let recent = |established_at| self.now - established_at <= MAX_HOLD_TIME;
        let call = self.call_with(sid).filter(|c| c.conn < conn);
        call.is_some_and(|c| c.established_at.is_none_or(recent)) && !self.held.contains_key(&sid)
    }

    fn add_call(&mut self, set_up: ReceivedSetUp) {
        let call = CallId(self.next_id as u32);
        self.next_id += 1;
        let (sid, conn) = (set_up.sid, set_up.conn);
        self.clients.call_offered(set_up, call);
        self.calls.insert(call, ClientCallModel { sid, conn, established_at: None });
    }

    /// The answer of an established call was sent again, on the connection of the set-up that is held for it.
    fn answer_resent(&mut self, conn: ConnId, sid: Sid) {
        let held = self.held.remove(&sid).expect("an answer is sent again only for a held set-up");
        let call = self.calls.values_mut().find(|c| c.sid == sid).unwrap();
        assert!(call.is_established() && held.conn == conn);
        let first = std::mem::replace(&mut call.conn, conn);
        let first_has_ended = self.conns.get(&first).is_none_or(|c| c.peer_closed);
        assert!(first_has_ended, "the first answer may have been read");
        self.conns.get_mut(&conn).unwrap().ever_established = true;
    }

    fn settle(&mut self) {
        loop {
            let outputs = self.clients.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.handle_output(output));
        }
    }

    fn handle_output(&mut self, output: ClientOutput) {
        match output {
            ClientOutput::Send(conn, message) => self.handle_message(conn, &message),
            ClientOutput::Fail(call) => {
                let conn = self.calls[&call].conn;
                self.conns.get_mut(&conn).unwrap().closing = true;
                self.clients.answer(self.now, call, Answer::Failed);
                let removed = self.calls.remove(&call).unwrap();
                assert!(!removed.is_established(), "an established call is not failed");
            }
            ClientOutput::OfferRepeated(sid) => {
                assert!(self.call_with(sid).is_none(), "the sid is free");
                let held = self.held.remove(&sid);
                let offered = self.clients.take_repeated(self.now, sid);
                let expected = held.map(|h| h.conn);
                let offered_on = offered.as_ref().map(|o| o.set_up.conn);
                assert_eq!(offered_on, expected, "a held set-up becomes a call");
                let Some((AcceptedSetUp { set_up, offer }, held)) = offered.zip(held) else { return };
                let remaining_time = Micros::from(REMAINING_MS) * MS - (self.now - held.since);
                assert_eq!(offer.new_call.remaining_time, remaining_time);
                self.add_call(set_up);
            }
            ClientOutput::StopReading(conn) => self.clients.reading_stopped(conn),
            ClientOutput::Closing(conn, reason) => {
                let c = self.conns.get_mut(&conn).unwrap();
                assert!(!c.closing && !c.closed, "reported once, before the close");
                c.closing = true;
                if reason == ClientCloseReason::DuplicateSid {
                    // A held set-up is a duplicate once its time has passed.
                    let now = self.now;
                    self.held.retain(|_, h| h.conn != conn || now - h.since < MAX_HOLD_TIME);
                }
            }
            ClientOutput::Close(conn) => {
                assert_eq!(self.open_set_ups_on(conn), 0, "every set-up is answered first");
                let c = self.conns.get_mut(&conn).unwrap();
                (c.closing, c.closed) = (true, true);
            }
            ClientOutput::Abort(conn) => {
                assert!(self.conns[&conn].closed);
                self.disconnect(conn);
            }
            ClientOutput::SetTimer(at, timer) => self.timers.add(at, timer),
        }
    }

    fn handle_message(&mut self, conn: ConnId, message: &Message) {
        let c = &self.conns[&conn];
        assert!(!c.closed, "nothing is sent on a closed connection");
        let Some(sid) = message.sid else { return };
        if message.kind == Kind::Ready {
            return self.answer_resent(conn, sid);
        }
        let held_here = self.held.get(&sid).is_some_and(|h| h.conn == conn);
        if held_here && c.closing {
            assert_eq!(message.code, Some(41), "a held set-up is failed by the end of its connection");
            self.held.remove(&sid);
            return;
        }
        let release = self.pending_releases.get_mut(&sid);
        assert!(!held_here || release.is_some(), "a held set-up gets no other answer");
        let Some(release) = release else { return };
        assert!(
            c.is_in_service() && !release.1.contains(&conn),
            "a release is sent once per connection in service"
        );
        release.1.push(conn);
        if held_here {
            // The first connection has ended, and the release is the answer.
            self.held.remove(&sid);
        }
    }

    fn disconnect(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        self.client_leaves(conn, ClientConnections::closed);
    }

    /// A client has left a connection, which `leave` reports.
    fn client_leaves(
        &mut self,
        conn: ConnId,
        leave: fn(&mut ClientConnections, Micros, ConnId) -> Vec<CallId>,
    ) {
        self.held.retain(|_, h| h.conn != conn);
        let open = self.calls.iter().filter(|(_, c)| c.conn == conn && !c.is_established());
        let expected: Vec<CallId> = open.map(|(&id, _)| id).collect();
        assert_eq!(leave(&mut self.clients, self.now, conn), expected);
        self.calls.retain(|_, c| c.conn != conn || c.is_established());
        self.settle();
        let unanswered =
            |sid: &Sid| self.call_with(*sid).is_some_and(|c| c.conn == conn && c.is_established());
        assert!(!self.held.keys().any(unanswered), "a set-up repeated from here has the answer");
    }

    fn step(&mut self, step: ClientStep) {
        use ClientStep::*;
        let needed: Vec<ConnId> = self.conns.keys().copied().filter(|&conn| self.is_needed(conn)).collect();
        for conn in needed {
            self.conns.get_mut(&conn).unwrap().last_activity = self.now;
        }
        let conn = |i: usize| self.conns.keys().nth(i % self.conns.len().max(1)).copied();
        match step {
            Connect => {
                let conn = ConnId(self.next_id);
                self.next_id += 1;
                self.conns
                    .insert(conn, ConnectionModel { last_activity: self.now, ..ConnectionModel::default() });
                self.clients.opened(self.now, conn);
                self.settle();
                let serving = self.conns.values().filter(|c| !c.closing).count();
                assert!(serving <= self.max_connections, "the connection limit holds");
            }
            PeerClosed(i) => {
                if let Some(conn) = conn(i) {
                    self.conns.get_mut(&conn).unwrap().peer_closed = true;
                    self.client_leaves(conn, ClientConnections::peer_closed);
                }
            }
            Disconnect(i) => {
                if let Some(conn) = conn(i) {
                    self.disconnect(conn);
                }
            }
            SetUp(i, s, extras) => {
                let Some(conn) = conn(i) else { return };
                let sid = Sid(s);
                let valid = extras == "dest:2";
                let (known, holds) = (self.call_with(sid).is_some(), valid && self.holds(conn, sid));
                let superseded = valid && self.call_with(sid).is_some_and(|c| c.conn > conn);
                let c = self.conns.get_mut(&conn).unwrap();
                let ignored = superseded || c.peer_closed;
                let holds = holds && !ignored;
                if self.pending_releases.contains_key(&sid) {
                    // Clients do not reuse sids.
                    return;
                }
                c.last_activity = if c.closing { c.last_activity } else { self.now };
                let was_closing = c.closing;
                let message =
                    Message::new(Kind::Open, Some(sid)).with("class", "a").with("left", REMAINING_MS);
                let request = self.clients.message(self.now, conn, message.with("extras", extras));
                let expected = !known && !was_closing && valid && !ignored;
                assert_eq!(matches!(request, ClientRequest::Offer(..)), expected, "{request:?}");
                if let ClientRequest::Offer(accepted) = request {
                    self.add_call(accepted.set_up);
                }
                if holds && !was_closing {
                    self.held.insert(sid, HeldSetUp { conn, since: self.now });
                }
                self.settle();
                assert!(
                    !known || holds || ignored || self.conns.get(&conn).is_none_or(|c| c.closing),
                    "a duplicate sid closes the connection"
                );
            }
            Repeat(i, call) => {
                let sids: Vec<Sid> = self.calls.values().map(|c| c.sid).collect();
                if let Some(&Sid(s)) = sids.get(call % sids.len().max(1)) {
                    self.step(SetUp(i, s, "dest:2"));
                }
            }
            Clear(i, s) => {
                let Some(conn) = conn(i) else { return };
                let c = self.conns.get_mut(&conn).unwrap();
                c.last_activity = if c.closing { c.last_activity } else { self.now };
                let may_clear =
                    |c: &ClientCallModel| c.sid == Sid(s) && (c.is_established() || c.conn == conn);
                let known = self.calls.iter().find(|(_, c)| may_clear(c)).map(|(&id, _)| id);
                let request = self.clients.message(self.now, conn, Message::close(Sid(s), 16));
                assert_eq!(request, known.map_or(ClientRequest::None, ClientRequest::Clear));
                if self.held.get(&Sid(s)).is_some_and(|h| h.conn == conn) && known.is_none() {
                    self.held.remove(&Sid(s));
                }
                known.and_then(|id| self.calls.remove(&id));
            }
            Answered(i, established) => {
                let open: Vec<CallId> =
                    self.calls.iter().filter(|c| !c.1.is_established()).map(|c| *c.0).collect();
                let Some(&id) = open.get(i % open.len().max(1)) else { return };
                let ClientCallModel { sid, conn, .. } = self.calls[&id];
                let retry_after = 2_000 * MS;
                let answer =
                    if established { Answer::Established(None) } else { Answer::Refused { retry_after } };
                self.clients.answer(self.now, id, answer);
                let expected = if established { Kind::Ready } else { Kind::Close };
                let outputs = self.clients.take_outputs();
                let is_answer = |o: &ClientOutput| {
                    matches!(o, ClientOutput::Send(c, m)
                    if *c == conn && m.sid == Some(sid) && m.kind == expected)
                };
                assert_eq!(
                    outputs.iter().filter(|o| is_answer(o)).count(),
                    1,
                    "one answer, on the connection of the set-up"
                );
                if established {
                    self.calls.get_mut(&id).unwrap().established_at = Some(self.now);
                    self.conns.get_mut(&conn).unwrap().ever_established = true;
                } else {
                    self.calls.remove(&id);
                    let closes = outputs.contains(&ClientOutput::Close(conn));
                    assert!(
                        !closes || !self.conns[&conn].ever_established,
                        "a refusal closes no connection that had established calls"
                    );
                }
                let others = outputs.into_iter().filter(|o| !(established && is_answer(o)));
                others.for_each(|output| self.handle_output(output));
            }
            Released(i) => {
                let up: Vec<CallId> =
                    self.calls.iter().filter(|c| c.1.is_established()).map(|c| *c.0).collect();
                let Some(&id) = up.get(i % up.len().max(1)) else { return };
                let ClientCallModel { sid, conn, .. } = self.calls.remove(&id).unwrap();
                self.pending_releases.insert(sid, (self.now, Vec::new()));
                self.clients.release(self.now, id, false);
                self.settle();
                let own = self.conns.get(&conn).is_some_and(ConnectionModel::is_in_service);
                let any = self.conns.values().any(ConnectionModel::is_in_service);
                let sent = &self.pending_releases[&sid].1;
                assert_eq!(sent.first().copied(), if own { Some(conn) } else { sent.first().copied() });
                assert_eq!(sent.len(), usize::from(any), "sent at once if a connection is in service");
            }
            ConfirmRelease(i) => {
                let Some((&sid, (_, sent))) =
                    self.pending_releases.iter().nth(i % self.pending_releases.len().max(1))
                else {
                    return;
                };
                let Some(&conn) = sent.last().filter(|c| self.conns.get(c).is_some_and(|c| !c.closing))
                else {
                    return;
                };
                self.conns.get_mut(&conn).unwrap().last_activity = self.now;
                self.clients.message(self.now, conn, Message::new(Kind::Closed, Some(sid)));
                self.pending_releases.remove(&sid);
            }
            ProtocolError(i) => {
                let Some(conn) = conn(i) else { return };
                self.clients.protocol_error(self.now, conn);
                self.settle();
                assert!(self.conns[&conn].closed, "an unreadable line closes the connection");
            }
            PartialMessage(i, partial) => {
                let Some(conn) = conn(i) else { return };
                self.conns.get_mut(&conn).unwrap().partial_since = partial.then_some(self.now);
                self.clients.partial_message(self.now, conn, partial);
            }
            Advance(span) => {
                let end = self.now + span;
                let sent = |m: &Self| {
                    m.pending_releases.iter().map(|(&s, o)| (s, o.1.len())).collect::<BTreeMap<_, _>>()
                };
                let (before, present) = (sent(self), self.conns.keys().copied().collect::<Vec<_>>());
                while let Some(at) = self.timers.next_expiry().filter(|&at| at <= end) {
                    self.now = self.now.max(at);
                    while let Some(timer) = self.timers.pop_expired(self.now) {
                        self.clients.timer_expired(self.now, timer);
                        self.settle();
                    }
                }
                self.now = end;
                for (id, c) in self.conns.iter().filter(|(_, c)| !c.closed) {
                    assert!(
                        c.partial_since.is_none_or(|since| end - since <= 1_000 * MS),
                        "an incomplete message closes the connection"
                    );
                    let needed = self.is_needed(*id);
                    // The idle check runs once per timeout.
                    let limit = if c.ever_established { 10_000 * MS } else { 2_000 * MS };
                    assert!(needed || end - c.last_activity <= limit, "an idle connection is closed");
                }
                assert!(
                    self.held.values().all(|h| end - h.since < MAX_HOLD_TIME),
                    "a set-up is held for a limited time: {:?}",
                    self.held
                );
                for (sid, (since, sent)) in self.pending_releases.iter().filter(|o| end - o.1 .0 < 8_000 * MS)
                {
                    let usable =
                        |id| self.conns.get(id).is_some_and(|c| c.is_in_service() && !sent.contains(id));
                    let untried = span >= 300 * MS && present.iter().any(usable);
                    assert!(
                        !untried || sent.len() > before[sid],
                        "pending since {since}, resent until confirmed"
                    );
                }
                self.pending_releases.retain(|_, o| end - o.0 <= 8_300 * MS);
            }
        }
        self.settle();
    }
}

#[test]
fn clients_get_one_answer_and_every_release_and_faults_affect_only_their_sender() {
    use ClientStep::*;
    let extras = prop::sample::select(vec!["dest:2", "dest:2", "dest:2", "dest:2", "dest:nan", "x", ""]);
    let step = prop_oneof![
        3 => Just(Connect),
        1 => (0_usize..9).prop_map(PeerClosed),
        2 => (0_usize..9).prop_map(Disconnect),
        6 => (0_usize..9, 0_u64..40, extras).prop_map(|(c, s, e)| SetUp(c, s, e)),
        3 => (0_usize..9, 0_usize..50).prop_map(|(c, i)| Repeat(c, i)),
        2 => (0_usize..9, 0_u64..40).prop_map(|(c, s)| Clear(c, s)),
        4 => (0_usize..50, any::<bool>()).prop_map(|(i, s)| Answered(i, s)),
        3 => (0_usize..50).prop_map(Released),
        3 => (0_usize..50).prop_map(ConfirmRelease),
        1 => (0_usize..9).prop_map(ProtocolError),
        1 => (0_usize..9, any::<bool>()).prop_map(|(i, h)| PartialMessage(i, h)),
        2 => (0..1_500 * MS).prop_map(Advance),
    ];
    check_property(prop::collection::vec(step, 1..120), |steps| {
        let mut m = ClientModel::new(6);
        steps.into_iter().for_each(|s| m.step(s));
        // In the end only established calls are left.
        while let Some(&conn) = m.conns.keys().next() {
            m.step(Disconnect(0));
            assert!(!m.conns.contains_key(&conn));
        }
        m.step(Advance(20_000 * MS));
        assert!(m.timers.is_empty(), "{:?}", m.timers);
    });
}

fn clients_with_connection() -> (ClientConnections, ConnId) {
    let mut clients = ClientConnections::new(0, FrontendId(0), vec!["a".to_owned()], 6);
    clients.opened(0, ConnId(0));
    (clients, ConnId(0))
}

fn set_up(clients: &mut ClientConnections, now: Micros, conn: ConnId, sid: u64) -> ClientRequest {
    let message = Message::new(Kind::Open, Some(Sid(sid))).with("class", "a").with("left", 900);
    clients.message(now, conn, message.with("extras", "dest:2"))
}

/// Sends a set-up that is accepted, as a call with this id.
fn offer(
    clients: &mut ClientConnections,
    now: Micros,
    conn: ConnId,
    sid: u64,
    call: CallId,
) -> AcceptedSetUp {
    let request = set_up(clients, now, conn, sid);
    let ClientRequest::Offer(accepted) = request else { panic!("not accepted: {request:?}") };
    clients.call_offered(accepted.set_up.clone(), call);
    *accepted
}

#[test]
fn a_set_up_that_arrives_while_its_connection_is_being_closed_is_answered_first() {
    let (mut clients, conn) = clients_with_connection();
    clients.timer_expired(1_000 * MS, ClientTimer::Idle(conn));
    assert!(clients.take_outputs().contains(&ClientOutput::StopReading(conn)));
    // The set-up was read before reading stopped.
    assert_eq!(set_up(&mut clients, 1_000 * MS, conn, 7), ClientRequest::None);
    let refusal = ClientOutput::Send(conn, Message::close(Sid(7), 42).with("wait", "1000"));
    assert_eq!(clients.take_outputs(), [refusal]);
    clients.reading_stopped(conn);
    assert_eq!(clients.take_outputs(), [ClientOutput::Close(conn)]);
}

#[test]
fn a_connection_beyond_the_limit_has_its_first_set_up_answered() {
    let mut clients = ClientConnections::new(0, FrontendId(0), vec!["a".to_owned()], 1);
    clients.opened(0, ConnId(0));
    offer(&mut clients, 0, ConnId(0), 6, CallId(1));
    // The existing connection is needed, so the new one is closed.
    clients.opened(10 * MS, ConnId(1));
    assert!(!clients.take_outputs().contains(&ClientOutput::StopReading(ConnId(1))));
    assert_eq!(set_up(&mut clients, 12 * MS, ConnId(1), 7), ClientRequest::None);
    let refusal = ClientOutput::Send(ConnId(1), Message::close(Sid(7), 42).with("wait", "1000"));
    assert!(clients.take_outputs().contains(&refusal));
    clients.timer_expired(110 * MS, ClientTimer::StopReading(ConnId(1)));
    assert_eq!(clients.take_outputs(), [ClientOutput::StopReading(ConnId(1))]);
}

#[test]
fn an_exchange_that_closes_each_connection_at_once_is_retried_with_growing_delays() {
    let mut m = UpstreamModel::new();
    let mut connections = 0;
    let end = m.now + 10_000 * MS;
    while m.now < end {
        m.reconnect();
        m.receive_status();
        m.step(UpstreamStep::Closed(CloseReason::ClosedByPeer));
        connections += 1;
    }
    assert!(connections < 25, "{connections} connections in 10 s");
}

#[test]
fn a_release_on_a_connection_that_is_being_closed_takes_effect() {
    let (mut clients, conn) = clients_with_connection();
    offer(&mut clients, 0, conn, 7, CallId(1));
    clients.answer(10 * MS, CallId(1), Answer::Established(None));
    clients.close_all(20 * MS);
    assert_eq!(clients.message(20 * MS, conn, Message::close(Sid(7), 16)), ClientRequest::Clear(CallId(1)));
}

fn is_passed_on(clients: &mut ClientConnections, now: Micros, conn: ConnId, sid: u64) -> bool {
    let request = clients.message(now, conn, Message::close(Sid(sid), 16));
    request == ClientRequest::ReleasePreviousRun(Sid(sid))
}

/// Guards against a client that releases calls under ever new sids after a restart: each release goes to every exchange,
/// and their connections were given up under the load.
#[test]
fn releases_of_unknown_calls_are_passed_on_at_a_limited_rate_for_each_connection() {
    let (mut clients, conn) = clients_with_connection();
    clients.opened(0, ConnId(1));
    let passed_on =
        (0..10_000).filter(|&n| is_passed_on(&mut clients, Micros::try_from(n * 100).unwrap(), conn, n));
    // The burst, and one second.
    let passed_on = passed_on.count();
    assert!((500..=601).contains(&passed_on), "{passed_on} releases within a second");
    assert!(is_passed_on(&mut clients, 1_000 * MS, ConnId(1), 20_000), "others are not affected");
}

/// Guards against a client that uses ever new sids after a restart: when the memory for sids of this run was used up, no
/// release of a call of the previous run was passed on any more.
#[test]
fn releases_of_the_previous_run_are_passed_on_whatever_sids_one_client_uses() {
    let (mut clients, conn) = clients_with_connection();
    clients.opened(0, ConnId(1));
    offer(&mut clients, 0, conn, 1, CallId(1));
    clients.answer(0, CallId(1), Answer::Established(None));
    for n in 2..300_000 {
        set_up(&mut clients, MS, conn, n);
    }
    assert!(is_passed_on(&mut clients, 2 * MS, ConnId(1), 1_000_000));
}

/// Guards against one client that takes all memory with open set-ups, which may have 16 KiB each.
#[test]
fn a_connection_has_a_limited_number_of_open_set_ups() {
    let (mut clients, conn) = clients_with_connection();
    offer(&mut clients, 0, conn, 0, CallId(0));
    clients.answer(0, CallId(0), Answer::Established(None));
    (1..=1_000).for_each(|n| drop(offer(&mut clients, 0, conn, n, CallId(n as u32))));
    clients.take_outputs();
    assert_eq!(set_up(&mut clients, 0, conn, 1_001), ClientRequest::None);
    let refusal = ClientOutput::Send(conn, Message::close(Sid(1_001), 42).with("wait", "1000"));
    assert_eq!(clients.take_outputs(), [refusal]);
    clients.answer(0, CallId(1), Answer::Refused { retry_after: 0 });
    offer(&mut clients, 0, conn, 1_002, CallId(1_002));
}

#[test]
fn a_draining_connection_stays_open_until_the_releases_of_its_calls_are_confirmed() {
    let (mut clients, conn) = clients_with_connection();
    offer(&mut clients, 0, conn, 7, CallId(1));
    clients.drain(10 * MS);
    clients.answer(20 * MS, CallId(1), Answer::Established(None));
    clients.release(500 * MS, CallId(1), false);
    let closes = |o: &ClientOutput| matches!(o, ClientOutput::Closing(..));
    assert!(!clients.take_outputs().iter().any(closes), "the release is not confirmed");
    clients.message(510 * MS, conn, Message::new(Kind::Closed, Some(Sid(7))));
    assert!(clients.take_outputs().iter().any(closes));
}

// ---- The ledger's rules ----

#[derive(Clone, Debug)]
enum Step {
    Offer(u16, Micros),
    CallerLeft(usize),
    Answered(usize),
    Ended(usize, Ending, Cause),
    List(u16, ListState),
    Advance(Micros),
}

#[derive(Debug)]
struct CallModel {
    deadline: Micros,
    attempt: Option<AttemptNumber>,
    established: bool,
    quiet_until: Micros,
}

/// A call to the given exchange with the given remaining time.
fn new_call(to: u16, remaining_time: Micros) -> NewCall {
    NewCall::to(ExchangeNumber(to), remaining_time)
}

struct LedgerModel {
    ledger: Ledger,
    now: Micros,
    timers: TimerQueue<LedgerTimer>,
    calls: BTreeMap<CallId, CallModel>,
    draining_since: BTreeMap<u16, Micros>,
}

impl LedgerModel {
    fn settle(&mut self) {
        for output in self.ledger.take_outputs() {
            match output {
                Output::SetUp { call, attempt, exchange_id, timeout } => {
                    let call_model = self.calls.get_mut(&call).expect("a call without a final answer");
                    assert!(
                        call_model.attempt.is_none() && !call_model.established,
                        "one attempt in progress"
                    );
                    assert!(self.now >= call_model.quiet_until, "the quiet period has passed");
                    assert!(self.now + timeout <= call_model.deadline);
                    let draining_since = self.draining_since.get(&u16::from(exchange_id.addr[3]));
                    assert!(
                        draining_since.is_none_or(|&t| self.now - t <= 250 * MS),
                        "the drain grace has not passed"
                    );
                    call_model.attempt = Some(attempt);
                }
                Output::Clear { call, attempt, .. } => {
                    if let Some(call_model) = self.calls.get_mut(&call) {
                        assert_eq!(call_model.attempt.take(), Some(attempt));
                        call_model.quiet_until = self.now + 500 * MS;
                    }
                }
                Output::Answer { call, answer, .. } => {
                    let call_model = self.calls.get_mut(&call).expect("one final answer");
                    assert!(!call_model.established && self.now <= call_model.deadline);
                    if matches!(answer, Answer::Established(_)) {
                        (call_model.established, call_model.attempt) = (true, None);
                    } else {
                        assert!(call_model.attempt.is_none(), "no attempt is left in progress");
                        self.calls.remove(&call);
                    }
                }
                Output::Release { call, .. } => {
                    assert!(self.calls.remove(&call).expect("released once").established);
                }
                Output::SetTimer(at, timer) => self.timers.add(at, timer),
                _ => {}
            }
        }
    }

    fn nth(&self, i: usize, which: impl Fn(&CallModel) -> bool) -> Option<CallId> {
        let matching: Vec<CallId> = self.calls.iter().filter(|c| which(c.1)).map(|c| *c.0).collect();
        matching.get(i % matching.len().max(1)).copied()
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Offer(to, remaining_time) => {
                let new_call = new_call(to, remaining_time);
                let call = self
                    .ledger
                    .offer(now, OfferedCall { frontend: FrontendId(0), new_call, description: None });
                let (deadline, attempt, established, quiet_until) = (now + remaining_time, None, false, 0);
                self.calls.insert(call, CallModel { deadline, attempt, established, quiet_until });
            }
            Step::CallerLeft(i) => {
                if let Some(call) = self.nth(i, |_| true) {
                    self.calls.remove(&call);
                    self.ledger.caller_left(now, call);
                }
            }
            Step::Answered(i) => {
                if let Some(call) = self.nth(i, |c| c.attempt.is_some()) {
                    let attempt = self.calls[&call].attempt.unwrap();
                    assert!(self.ledger.attempt_answered(now, call, attempt, None));
                    assert!(
                        !self.ledger.attempt_answered(now, call, attempt, None),
                        "an attempt is answered once"
                    );
                }
            }
            Step::Ended(i, ending, cause) => {
                if let Some(call) = self.nth(i, |c| c.attempt.is_some() || c.established) {
                    let call_model = self.calls.get_mut(&call).unwrap();
                    let attempt = call_model.attempt.take().unwrap_or(AttemptNumber(0));
                    let unknown_result = matches!(ending, Ending::Reset | Ending::TimedOut);
                    call_model.quiet_until =
                        if unknown_result { now + 500 * MS } else { call_model.quiet_until };
                    self.ledger.attempt_ended(now, call, attempt, (ending, cause), LoadReport::default());
                }
            }
            Step::List(n, state) => {
                match state {
                    ListState::Ready => drop(self.draining_since.remove(&n)),
                    _ => drop(self.draining_since.entry(n).or_insert(now)),
                }
                self.ledger.list_update(now, ListUpdate::Changes([entry(n, state)].into()));
            }
            Step::Advance(span) => {
                while let Some(at) = self.timers.next_expiry().filter(|&at| at <= now + span) {
                    self.now = self.now.max(at);
                    while let Some(timer) = self.timers.pop_expired(self.now) {
                        self.ledger.timer_expired(self.now, timer);
                        self.settle();
                    }
                }
                self.now = now + span;
                let late = |c: &CallModel| !c.established && c.deadline <= self.now;
                assert!(!self.calls.values().any(late), "answered before the client deadline");
            }
        }
        self.settle();
    }
}

/// The ledger of a controller in exchange 0, which knows exchanges 1 to 4 with twenty free circuits to each.
fn ledger_model() -> LedgerModel {
    let class = Class {
        latency_objective: 1_200 * MS,
        client_timeout: 9_000 * MS,
        late_value: 0.25,
        value: 1.0,
        retry_policy: RetryPolicy::Retryable,
        mean_hold_time: 10_000 * MS,
        allowed_pools: Vec::new(),
    };
    let settings = Settings {
        classes: vec![class],
        own_exchange: Some(ExchangeNumber(0)),
        quiet_period: 500 * MS,
        may_cancel: true,
        max_attempts: 4,
        drain_grace: 250 * MS,
        overload_factor: 2.5,
        cold_start_period: 15_000 * MS,
        cold_start_capacity: 0.35,
        max_retry_after: 2_000 * MS,
        ..Settings::default()
    };
    let ledger = Ledger::new(settings, 7);
    let (calls, draining_since) = (BTreeMap::new(), BTreeMap::new());
    let mut model =
        LedgerModel { ledger, now: 1_000_000 * MS, timers: TimerQueue::default(), calls, draining_since };
    let all: Vec<ListEntry> = (0..5).map(|n| entry(n, ListState::Ready)).collect();
    model.ledger.list_update(model.now, ListUpdate::Cached(all.into()));
    for n in 1..5 {
        let report = LoadReport { free: Some(20.0), size: Some(20.0), ..LoadReport::default() };
        model.ledger.group_report(model.now, exchange_id(n), report);
    }
    model.settle();
    model
}

#[test]
fn an_attempt_may_take_nearly_all_of_a_short_remaining_time() {
    let mut model = ledger_model();
    let settled = |model: &mut LedgerModel, span| {
        model.step(Step::Advance(span));
        (model.ledger.counts().established, model.ledger.counts().failed + model.ledger.counts().refused)
    };
    [Step::Offer(1, 80 * MS), Step::Offer(2, 80 * MS)].into_iter().for_each(|s| model.step(s));
    assert_eq!(settled(&mut model, 65 * MS), (0, 0));
    model.step(Step::Answered(0));
    assert_eq!(settled(&mut model, 12 * MS), (1, 1), "answered before the client deadline");
}

#[test]
fn a_resent_set_up_is_not_attempted_before_its_quiet_period_has_passed() {
    let mut clients =
        ClientConnections::new(0, FrontendId(0), vec!["a".to_owned()], 6).with_quiet_period(505 * MS);
    let earliest_attempt = |request: ClientRequest| match request {
        ClientRequest::Offer(accepted) => accepted.offer.new_call.earliest_attempt,
        other => panic!("{other:?}"),
    };
    clients.opened(0, ConnId(0));
    let accepted = offer(&mut clients, 0, ConnId(0), 7, CallId(1));
    assert_eq!(accepted.offer.new_call.earliest_attempt, 0);
    assert_eq!(clients.closed(10 * MS, ConnId(0)), [CallId(1)]);
    clients.opened(11 * MS, ConnId(1));
    assert_eq!(earliest_attempt(set_up(&mut clients, 12 * MS, ConnId(1), 7)), 515 * MS);
    assert_eq!(earliest_attempt(set_up(&mut clients, 12 * MS, ConnId(1), 8)), 0);
    // The decision module queues the call; otherwise the ledger would block its set-up.
    let mut model = ledger_model();
    let start = model.now;
    let new_call = NewCall { earliest_attempt: start + 400 * MS, ..new_call(1, 3_000 * MS) };
    let call =
        model.ledger.offer(start, OfferedCall { frontend: FrontendId(0), new_call, description: None });
    model.calls.insert(
        call,
        CallModel {
            deadline: start + 3_000 * MS,
            attempt: None,
            established: false,
            quiet_until: start + 400 * MS,
        },
    );
    model.settle();
    model.step(Step::Advance(390 * MS));
    assert_eq!(model.ledger.counts().attempts, 0);
    model.step(Step::Advance(60 * MS));
    assert_eq!((model.ledger.counts().attempts, model.ledger.counts().blocked.len()), (1, 0));
}

#[test]
fn the_ledger_enforces_its_rules_for_any_sequence_of_events() {
    let endings = prop::sample::select(vec![
        (Ending::Full, Cause::TurnedBack),
        (Ending::Full, Cause::ProcessorFull(None)),
        (Ending::NotSent, Cause::NoCircuit),
        (Ending::Reset, Cause::None),
        (Ending::TimedOut, Cause::None),
        (Ending::Unreachable, Cause::None),
        (Ending::Fault, Cause::LinesBusy),
        (Ending::Completed, Cause::None),
    ]);
    let state = prop::sample::select(vec![ListState::Ready, ListState::Draining, ListState::Gone]);
    let step = prop_oneof![
        6 => (0_u16..5, 50 * MS..5_000 * MS).prop_map(|(to, p)| Step::Offer(to, p)),
        1 => (0_usize..50).prop_map(Step::CallerLeft),
        3 => (0_usize..50).prop_map(Step::Answered),
        4 => (0_usize..50, endings).prop_map(|(i, (e, c))| Step::Ended(i, e, c)),
        1 => (1_u16..5, state).prop_map(|(n, s)| Step::List(n, s)),
        4 => (0..800 * MS).prop_map(Step::Advance),
    ];
    check_property(prop::collection::vec(step, 1..120), |steps| {
        let mut model = ledger_model();
        steps.into_iter().for_each(|s| model.step(s));
        model.step(Step::Advance(6_000 * MS));
        assert_eq!(model.ledger.open_calls(), 0);
        assert_eq!(model.ledger.established_calls(), model.calls.len());
    });
}
