//! The MGCP call agent over loopback sockets: the program runs as a process, and the tests play the gateways.
//! Time limits are only checked as minimums, never as maximums, so that a slow machine does not fail a test.

mod common;

use common::json_lines::{list_update, listener, member, open_message, sid, JsonConnection};
use common::{config, temp_file, Program, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

const SDP_A: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nc=IN IP4 127.0.0.1\r\nm=audio 4000 RTP/AVP 0 8\r\n";
const SDP_B: &str =
    "v=0\r\no=- 2 2 IN IP4 127.0.0.1\r\nc=IN IP4 127.0.0.1\r\nm=audio 5002 RTP/AVP 8\r\na=x-odd: \t\"\\\r\n";

/// A command that the simulated gateway received.
#[derive(Clone, Debug, PartialEq)]
struct ReceivedCommand {
    verb: String,
    transaction: String,
    endpoint: String,
    text: String,
    received_at: Instant,
}

impl ReceivedCommand {
    fn param(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next().unwrap_or("");
        head.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")))
    }
    fn sdp(&self) -> Option<&str> {
        self.text.split_once("\r\n\r\n").map(|t| t.1)
    }
}

/// A simulated gateway with its own socket. It answers commands only when a test calls one of its methods.
struct Gateway {
    socket: UdpSocket,
    name: &'static str,
    agent: Option<SocketAddr>,
    next_transaction: u32,
    received: Vec<ReceivedCommand>,
}

impl Gateway {
    fn new(name: &'static str) -> Gateway {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        Gateway { socket, name, agent: None, next_transaction: 1000, received: Vec::new() }
    }

    fn send(&self, text: &str) {
        self.socket.send_to(text.as_bytes(), self.agent.unwrap()).unwrap();
    }

    /// The next datagram, if one arrives within the read timeout.
    fn poll(&mut self) -> Option<String> {
        let mut buffer = [0; 16_384];
        let (n, from) = self.socket.recv_from(&mut buffer).ok()?;
        self.agent = Some(from);
        Some(String::from_utf8(buffer[..n].to_vec()).unwrap())
    }

    /// The next command, if one arrives in time; retransmissions of earlier commands are ignored.
    fn try_command(&mut self, wait: Duration) -> Option<ReceivedCommand> {
        let deadline = Instant::now() + wait;
        while Instant::now() < deadline {
            let Some(text) = self.poll() else { continue };
            let mut words = text.lines().next().unwrap().split(' ').map(str::to_owned);
            let (verb, transaction) = (words.next().unwrap(), words.next().unwrap());
            if verb.parse::<u16>().is_ok() || self.received.iter().any(|c| c.transaction == transaction) {
                continue;
            }
            let endpoint = words.next().unwrap();
            let command = ReceivedCommand { verb, transaction, endpoint, text, received_at: Instant::now() };
            self.received.push(command.clone());
            return Some(command);
        }
        None
    }

    /// The next command with this verb; RQNT and DLCX before it are answered with success.
    fn command(&mut self, verb: &str) -> ReceivedCommand {
        loop {
            let command = self
                .try_command(TEST_TIMEOUT)
                .unwrap_or_else(|| panic!("no {verb}; received {:#?}", self.received));
            if command.verb == verb {
                return command;
            }
            assert!(matches!(command.verb.as_str(), "RQNT" | "DLCX"), "{command:?} instead of {verb}");
            self.respond_ok(&command);
        }
    }

    fn respond_ok(&self, command: &ReceivedCommand) {
        let code = if command.verb == "DLCX" { 250 } else { 200 };
        self.send(&format!("{code} {} OK\r\n", command.transaction));
    }

    fn respond_with_connection(&self, command: &ReceivedCommand, code: u16, connection: &str, sdp: &str) {
        self.send(&format!("{code} {} OK\r\nI: {connection}\r\n\r\n{sdp}", command.transaction));
    }

    /// Sends a command and returns its text and the text of the response. Commands that arrive before the response are
    /// answered with success.
    fn send_command(&mut self, verb: &str, endpoint: &str, params: &str) -> (String, String) {
        self.next_transaction += 1;
        let text = format!("{verb} {} {endpoint} MGCP 1.0\r\n{params}", self.next_transaction);
        let answer = self.send_until_answered(&text);
        (text, answer)
    }

    /// Sends a datagram, repeatedly, until a response arrives.
    fn send_until_answered(&mut self, text: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        self.send(text);
        let mut sent_at = Instant::now();
        while Instant::now() < deadline {
            if let Some(datagram) = self.poll() {
                if datagram.as_bytes()[0].is_ascii_digit() && !datagram.starts_with("000") {
                    return datagram;
                }
                let mut words = datagram.split(' ');
                let (verb, transaction) =
                    (words.next().unwrap().to_owned(), words.next().unwrap().to_owned());
                let endpoint = words.next().unwrap().to_owned();
                if !self.received.iter().any(|c| c.transaction == transaction) {
                    let command = ReceivedCommand {
                        verb,
                        transaction,
                        endpoint,
                        text: datagram.clone(),
                        received_at: Instant::now(),
                    };
                    self.respond_ok(&command);
                    self.received.push(command);
                }
            }
            if sent_at.elapsed() > Duration::from_secs(2) {
                self.send(text);
                sent_at = Instant::now();
            }
        }
        panic!("no response to {text}");
    }

    /// Answers the commands that the agent sends at its start, DLCX and then RQNT for each endpoint.
    fn complete_start(&mut self, endpoints: usize) {
        for _ in 0..endpoints {
            let command = self.command("DLCX");
            self.respond_ok(&command);
        }
        for _ in 0..endpoints {
            let command = self.command("RQNT");
            assert_eq!(command.param("R"), Some("L/hd(N)"));
            self.respond_ok(&command);
        }
    }

    /// Reports off-hook and digits, and answers the CRCX for the caller's connection; the call is then offered to the
    /// routing core.
    fn dial(&mut self, local: &str, number: &str) -> ReceivedCommand {
        let endpoint = format!("{local}@{}", self.name);
        let digits: String = number.chars().map(|c| format!(",D/{c}")).collect();
        let (_, answer) = self.send_command("NTFY", &endpoint, &format!("X: 0\r\nO: L/hd{digits}\r\n"));
        assert!(answer.starts_with("200 "), "{answer}");
        let crcx = self.command("CRCX");
        assert_eq!((crcx.endpoint.as_str(), crcx.param("M")), (endpoint.as_str(), Some("recvonly")));
        self.respond_with_connection(&crcx, 200, "aa1", SDP_A);
        crcx
    }

    /// Checks that no new command arrives for this long.
    fn expect_no_command(&mut self, duration: Duration) {
        if let Some(command) = self.try_command(duration) {
            panic!("unexpected {command:?}");
        }
    }
}

struct Running {
    _program: Program,
    agent: SocketAddr,
    callers: SocketAddr,
}

fn start(gateways: &[(&Gateway, u16, &str, usize, &str)], client_timeout_ms: u32) -> Running {
    start_with(json!({}), gateways, client_timeout_ms)
}

/// Like [`start`], with these top-level keys in the configuration.
fn start_with(
    overrides: Value,
    gateways: &[(&Gateway, u16, &str, usize, &str)],
    client_timeout_ms: u32,
) -> Running {
    let mut mgcp = format!(
        "enabled = true\nlisten = \"127.0.0.1:0\"\nclass = \"status-report\"\npatience_ms = {client_timeout_ms}\n"
    );
    for (gateway, exchange, prefix, endpoints, answered_by) in gateways {
        let names: Vec<String> = (1..=*endpoints).map(|e| format!("\"lamp/{e}\"")).collect();
        mgcp += &format!(
            "[[gateway]]\nname = \"{}\"\naddress = \"{}\"\nexchange = {exchange}\nprefix = \"{prefix}\"\n\
             endpoints = [{}]\nanswered_by = \"{answered_by}\"\n",
            gateway.name,
            gateway.socket.local_addr().unwrap(),
            names.join(",")
        );
    }
    mgcp += "[[route]]\nprefix = \"9\"\nexchange = 1\n";
    let config = temp_file("config.json", &config(overrides).to_string());
    let program = Program::start(&[("--config", &config), ("--mgcp", &temp_file("mgcp.toml", &mgcp))], &[]);
    let (callers, agent) = (program.listen_address("callers"), program.listen_address("gateways"));
    Running { _program: program, agent, callers }
}

/// Two gateways that have completed the start: one for callers (exchange 1) and one that is called (exchange 2,
/// numbers that begin with 2).
fn gateway_pair(endpoints: usize, answered_by: &str, client_timeout_ms: u32) -> (Running, Gateway, Gateway) {
    let (mut a, mut b) = (Gateway::new("cab-a"), Gateway::new("cab-b"));
    let program = start(
        &[(&a, 1, "1", endpoints, "off-hook"), (&b, 2, "2", endpoints, answered_by)],
        client_timeout_ms,
    );
    (a.agent, b.agent) = (Some(program.agent), Some(program.agent));
    a.complete_start(endpoints);
    b.complete_start(endpoints);
    (program, a, b)
}

#[test]
fn a_call_between_gateways_passes_descriptions_on_unchanged_and_is_cleared_on_both_sides() {
    let (_program, mut a, mut b) = gateway_pair(1, "off-hook", 15_000);
    let caller = a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    assert_eq!((crcx.param("S"), crcx.sdp()), (Some("L/rg"), Some(SDP_A)));
    b.respond_with_connection(&crcx, 200, "bb1", SDP_B);
    let request_id = crcx.param("X").unwrap().to_owned();
    let (_, response) = b.send_command("NTFY", "lamp/1@cab-b", &format!("X: {request_id}\r\nO: L/hd\r\n"));
    assert!(response.starts_with("200 "));
    let mdcx = a.command("MDCX");
    assert_eq!((mdcx.sdp(), mdcx.param("M")), (Some(SDP_B), Some("sendrecv")));
    assert_eq!((mdcx.param("C"), mdcx.param("I")), (caller.param("C"), Some("aa1")));
    a.respond_ok(&mdcx);
    // The caller hangs up.
    a.send_command("NTFY", "lamp/1@cab-a", "X: 0\r\nO: L/hu\r\n");
    let dlcx = b.command("DLCX");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), Some("bb1")));
    b.respond_ok(&dlcx);
    assert_eq!(b.command("RQNT").param("R"), Some("L/hd(N)"), "the endpoint is free again");
}

#[test]
fn an_on_hook_event_of_the_called_endpoint_releases_the_caller_once() {
    let (_program, mut a, mut b) = gateway_pair(1, "connection", 15_000);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    b.respond_with_connection(&crcx, 200, "bb1", SDP_B);
    let mdcx = a.command("MDCX");
    a.respond_ok(&mdcx);
    b.send_command("NTFY", "lamp/1@cab-b", "X: 0\r\nO: L/hu\r\n");
    let dlcx = a.command("DLCX");
    assert_eq!((dlcx.param("I"), dlcx.param("R")), (Some("aa1"), Some("L/hu(N)")));
    a.respond_ok(&dlcx);
    a.expect_no_command(Duration::from_millis(600));
}

#[test]
fn a_set_up_that_stays_ringing_is_cleared_and_the_caller_answered_once() {
    let (_program, mut a, mut b) = gateway_pair(1, "off-hook", 2_500);
    let before = Instant::now();
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    // The CRCX is answered, but off-hook is never reported.
    b.respond_with_connection(&crcx, 200, "bb1", SDP_B);
    let dlcx = b.command("DLCX");
    assert!(dlcx.received_at - before >= Duration::from_millis(2_400), "before the client timeout");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), Some("bb1")));
    let refusal = a.command("DLCX");
    assert!(matches!(refusal.param("S"), Some("L/ro" | "G/cg")), "{refusal:?}");
    assert!(refusal.param("X-Outcome").is_some());
    a.respond_ok(&refusal);
    a.expect_no_command(Duration::from_millis(900));
    // The unanswered DLCX is retransmitted only with its own transaction identifier.
    b.expect_no_command(Duration::from_millis(900));
}

#[test]
fn a_set_up_without_a_final_response_after_a_provisional_one_is_cleared() {
    let (_program, mut a, mut b) = gateway_pair(1, "connection", 2_500);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    b.send(&format!("100 {} PENDING\r\n", crcx.transaction));
    let dlcx = b.command("DLCX");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), None));
    let refusal = a.command("DLCX");
    a.respond_ok(&refusal);
    // When the final response comes late, its connection is deleted and the caller is not affected.
    b.respond_with_connection(&crcx, 200, "bb9", SDP_B);
    let late = b.command("DLCX");
    assert_eq!((late.param("C"), late.param("I")), (crcx.param("C"), Some("bb9")));
    a.expect_no_command(Duration::from_millis(500));
}

#[test]
fn a_command_repeated_after_the_final_answer_gets_the_same_response_and_has_no_effect() {
    let (_program, mut a, mut b) = gateway_pair(1, "connection", 15_000);
    let (text, first) = a.send_command("NTFY", "lamp/1@cab-a", "X: 0\r\nO: L/hd,D/2,D/0,D/0,D/1\r\n");
    let own = a.command("CRCX");
    a.respond_with_connection(&own, 200, "aa1", SDP_A);
    let crcx = b.command("CRCX");
    b.respond_with_connection(&crcx, 403, "none", "");
    let refusal = a.command("DLCX");
    assert_eq!((refusal.param("S"), refusal.param("X-Outcome")), (Some("G/cg"), Some("403")));
    assert!(refusal.param("X-Pause").is_some(), "the time to wait before the next attempt");
    a.respond_ok(&refusal);
    for _ in 0..3 {
        assert_eq!(a.send_until_answered(&text), first);
    }
    a.expect_no_command(Duration::from_millis(600));
    assert!(b.try_command(Duration::from_millis(300)).is_none_or(|command| command.verb == "RQNT"));
}

#[test]
fn after_a_gateway_restart_the_call_is_retried_only_when_the_quiet_period_has_passed() {
    let (_program, mut a, mut b) = gateway_pair(2, "off-hook", 15_000);
    a.dial("lamp/1", "2001");
    let first = b.command("CRCX");
    b.respond_with_connection(&first, 200, "bb1", SDP_B);
    let before = Instant::now();
    b.send_command("RSIP", &first.endpoint, "RM: restart\r\n");
    let second = b.command("CRCX");
    assert!(second.received_at - before >= Duration::from_millis(500), "{:?}", second.received_at - before);
    assert_ne!(second.param("C"), first.param("C"));
    assert_eq!(second.sdp(), Some(SDP_A));
}

#[test]
fn no_call_is_set_up_at_a_draining_gateway() {
    let (_program, mut a, mut b) = gateway_pair(2, "connection", 15_000);
    b.send_command("RSIP", "*@cab-b", "RM: graceful\r\nRD: 30\r\n");
    std::thread::sleep(Duration::from_millis(300));
    a.dial("lamp/1", "2001");
    let refusal = a.command("DLCX");
    assert!(refusal.param("S").is_some());
    b.expect_no_command(Duration::from_millis(300));
    // After the drain is cancelled, calls are set up there again.
    b.send_command("RSIP", "*@cab-b", "RM: cancel-graceful\r\n");
    a.dial("lamp/2", "2001");
    b.command("CRCX");
}

#[test]
fn a_lost_command_is_retransmitted_unchanged_and_a_requested_acknowledgement_is_sent() {
    let (_program, mut a, mut b) = gateway_pair(1, "connection", 15_000);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    // The command counts as lost, and an identical one follows.
    let deadline = Instant::now() + TEST_TIMEOUT;
    let retransmitted = std::iter::from_fn(|| (Instant::now() < deadline).then(|| b.poll())).flatten().next();
    assert_eq!(retransmitted.as_deref(), Some(crcx.text.as_str()));
    let text = format!("200 {} OK\r\nK:\r\nI: bb1\r\n\r\n{SDP_B}", crcx.transaction);
    for _ in 0..2 {
        b.send(&text);
        let ack = std::iter::from_fn(|| (Instant::now() < deadline).then(|| b.poll())).flatten();
        let ack = ack.into_iter().find(|t| t.starts_with("000 "));
        assert!(ack.is_some_and(|t| t.starts_with(&format!("000 {}", crcx.transaction))));
    }
    // The repeated response has no effect: there is only one MDCX.
    let mdcx = a.command("MDCX");
    a.respond_ok(&mdcx);
    a.expect_no_command(Duration::from_millis(500));
}

#[test]
fn invalid_commands_get_a_return_code_and_do_not_affect_other_calls() {
    let (_program, mut a, mut b) = gateway_pair(1, "connection", 15_000);
    let code = |a: &mut Gateway, text: &str| a.send_until_answered(text)[..3].to_owned();
    assert_eq!(code(&mut a, "NTFY 1 lamp1 MGCP 1.0\r\nO: L/hd\r\n"), "510");
    assert_eq!(code(&mut a, "NTFY 2 lamp/1@cab-a MGCP 1.0\r\nno colon\r\n"), "510");
    assert_eq!(code(&mut a, "NTFY 3 lamp/9@cab-a MGCP 1.0\r\nO: L/hd\r\n"), "500");
    assert_eq!(code(&mut a, "NTFY 4 lamp/1@nowhere MGCP 1.0\r\nO: L/hd\r\n"), "500");
    assert_eq!(code(&mut a, "CRCX 5 lamp/1@cab-a MGCP 1.0\r\nM: sendrecv\r\n"), "504");
    assert_eq!(code(&mut a, "NTFY 6 lamp/1@cab-a MGCP 2.0\r\nO: L/hd\r\n"), "528");
    assert_eq!(code(&mut a, "DLCX 7 lamp/1@cab-a MGCP 1.0\r\nC: ffff\r\n"), "516");
    assert_eq!(
        code(&mut a, "NTFY 1 lamp1 MGCP 1.0\r\nO: L/hd\r\n"),
        "510",
        "a repeated command gets the same response"
    );
    a.send("garbage");
    a.dial("lamp/1", "2001");
    b.command("CRCX");
}

#[test]
fn a_caller_on_a_tcp_connection_reaches_a_gateway() {
    let (program, _a, mut b) = gateway_pair(1, "connection", 15_000);
    let mut stream = TcpStream::connect(program.callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let sid = "9b1f03aa5c7e2d41";
    let open = serde_json::json!({
        "msg": "open",
        "sid": sid,
        "text": SDP_A,
        "attrs": {
            "class": "status-report",
            "left": "9000",
            "key": "7f3a9c21e0b4d655",
            "extras": "dest:2;width:1;via:-1",
        },
    });
    writeln!(stream, "{open}").unwrap();
    let crcx = b.command("CRCX");
    assert_eq!(crcx.sdp(), Some(SDP_A));
    b.respond_with_connection(&crcx, 200, "bb1", SDP_B);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let ready: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!((ready["msg"].as_str(), ready["sid"].as_str()), (Some("ready"), Some(sid)));
    assert_eq!(ready["text"].as_str(), Some(SDP_B));
    let close = serde_json::json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16});
    writeln!(stream, "{close}").unwrap();
    let dlcx = b.command("DLCX");
    assert_eq!(dlcx.param("I"), Some("bb1"));
    // No message follows for a call that the caller has closed.
    stream.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    assert!(reader.read(&mut [0; 1]).is_err());
}

/// A gateway with these endpoints as exchange 101, beside exchange 1 whose group has this many free circuits of 20.
/// Returns the exchange's end of its connection.
fn gateway_beside_exchange(endpoints: usize, free: u32) -> (Running, Gateway, JsonConnection) {
    let mut gateway = Gateway::new("cab-a");
    let exchange_listener = listener();
    let program = start_with(
        known_exchange(&exchange_listener),
        &[(&gateway, 101, "1", endpoints, "connection")],
        15_000,
    );
    gateway.agent = Some(program.agent);
    gateway.complete_start(endpoints);
    let connection = accept_with_free_circuits(&exchange_listener, free);
    (program, gateway, connection)
}

/// Configuration overrides that list exchange 1 at this listener.
fn known_exchange(listener: &TcpListener) -> Value {
    let mut exchange = member("s-1", listener.local_addr().unwrap(), 1, "up");
    // The exchange started long ago, so that the limit of a cold start does not apply to it.
    exchange["up_since_ms"] = json!(1);
    json!({"known": {"index": 1, "updates": [list_update(1, true, &[exchange])]}})
}

/// Accepts a connection as an exchange whose group has this many free circuits of 20.
fn accept_with_free_circuits(listener: &TcpListener, free: u32) -> JsonConnection {
    let mut connection = JsonConnection::new(listener.accept().unwrap().0);
    let load = format!("x0:{free};x1:20;latency_ms:-1;qps:-1");
    connection.send(json!({"msg": "status", "sid": "", "attrs": {"load": load}}));
    connection
}

/// Guards against review case 1: calls for a full exchange were connected to endpoints of a gateway that nobody called.
#[test]
fn a_call_for_a_full_exchange_is_refused_and_not_set_up_at_a_gateway() {
    let (program, mut gateway, _exchange) = gateway_beside_exchange(6, 0);
    let mut caller = JsonConnection::connect(program.callers);
    // The report that the group is full may arrive after the first set-up, which the exchange then does not answer.
    std::thread::sleep(Duration::from_millis(300));
    caller.send(open_message(&sid(7), 1, 3_000));
    if let Some(command) = gateway.try_command(Duration::from_millis(1_500)) {
        panic!("a call for exchange 1 was set up at the gateway: {command:?}");
    }
    let answer = caller.receive_for(&sid(7));
    assert_eq!((answer["msg"].as_str(), answer["code"].as_u64()), (Some("close"), Some(34)), "{answer}");
}

/// Guards against the reverse of review case 1: no other exchange has a group to a gateway, so none can pass a call on.
#[test]
fn a_call_for_a_busy_gateway_is_not_sent_through_an_exchange() {
    let (program, mut gateway, exchange) = gateway_beside_exchange(1, 20);
    let mut caller = JsonConnection::connect(program.callers);
    caller.send(open_message(&sid(7), 101, 3_000));
    let crcx = gateway.command("CRCX");
    gateway.respond_with_connection(&crcx, 200, "aa1", SDP_B);
    assert_eq!(caller.receive_for(&sid(7))["msg"], "ready");
    caller.send(open_message(&sid(8), 101, 3_000));
    let answer = caller.receive_for(&sid(8));
    assert_eq!((answer["msg"].as_str(), answer["code"].as_u64()), (Some("close"), Some(34)), "{answer}");
    // Only probes of the silent connection may arrive.
    exchange.stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let messages: Vec<String> = exchange.reader.lines().map_while(Result::ok).collect();
    assert!(!messages.iter().any(|m| m.contains("\"open\"")), "{messages:?}");
}

/// Identifiers that the program has used towards a gateway and an exchange.
#[derive(Debug, Default)]
struct UsedIdentifiers {
    /// Transaction, request (X) and call (C) identifiers at the gateway.
    gateway: BTreeSet<(&'static str, String)>,
    /// Names of the calls at the exchange.
    sids: BTreeSet<String>,
}

/// Starts the program with this seed, has an endpoint call exchange 1, and returns the identifiers that were used.
fn identifiers_of_one_run(seed: &Value, gateway: &mut Gateway, exchange: &TcpListener) -> UsedIdentifiers {
    const ENDPOINTS: usize = 20;
    let mut overrides = known_exchange(exchange);
    overrides["seed"] = seed.clone();
    let program = start_with(overrides, &[(&*gateway, 101, "1", ENDPOINTS, "off-hook")], 15_000);
    gateway.agent = Some(program.agent);
    gateway.received.clear();
    gateway.complete_start(ENDPOINTS);
    let mut connection = accept_with_free_circuits(exchange, 20);
    gateway.dial("lamp/1", "9001");
    let open = std::iter::from_fn(|| Some(connection.receive())).find(|m| m["msg"] == "open").unwrap();
    let mut used = UsedIdentifiers::default();
    used.sids.insert(open["sid"].as_str().unwrap().to_owned());
    for command in &gateway.received {
        used.gateway.insert(("transaction", command.transaction.clone()));
        for name in ["X", "C"] {
            used.gateway.extend(command.param(name).map(|value| (name, value.to_owned())));
        }
    }
    used
}

/// Guards against review case 2: a restarted program repeated its transaction identifiers, so that the gateway repeated
/// old responses and callers were connected to calls of the previous run.
#[test]
fn a_restarted_program_uses_no_identifier_of_the_previous_run() {
    for seed in [json!("8c1f30d27a5be964"), Value::Null] {
        let (mut gateway, exchange) = (Gateway::new("cab-a"), listener());
        let first = identifiers_of_one_run(&seed, &mut gateway, &exchange);
        let second = identifiers_of_one_run(&seed, &mut gateway, &exchange);
        let repeated: Vec<_> = first.gateway.intersection(&second.gateway).collect();
        assert!(repeated.is_empty(), "seed {seed}: {repeated:?}");
        assert!(first.sids.is_disjoint(&second.sids), "seed {seed}: {first:?} {second:?}");
    }
}
