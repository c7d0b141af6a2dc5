//! The front towards gateways on real loopback sockets: the program as a process, and a small stand-in gateway.
//! Times are checked from one side only: what must not come too soon, never what must come quickly.

mod common;

use common::{config, temp_file, Program, TEST_TIMEOUT};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

const SDP_A: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nc=IN IP4 127.0.0.1\r\nm=audio 4000 RTP/AVP 0 8\r\n";
const SDP_B: &str =
    "v=0\r\no=- 2 2 IN IP4 127.0.0.1\r\nc=IN IP4 127.0.0.1\r\nm=audio 5002 RTP/AVP 8\r\na=x-odd: \t\"\\\r\n";

/// What the program sent, as the stand-in sees it.
#[derive(Clone, Debug, PartialEq)]
struct Got {
    verb: String,
    id: String,
    endpoint: String,
    text: String,
    at: Instant,
}

impl Got {
    fn param(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next().unwrap_or("");
        head.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")))
    }
    fn sdp(&self) -> Option<&str> {
        self.text.split_once("\r\n\r\n").map(|t| t.1)
    }
}

/// A gateway of its own socket. It answers nothing by itself but the DLCX, RQNT and AUEP of the start.
struct Gateway {
    socket: UdpSocket,
    name: &'static str,
    agent: Option<SocketAddr>,
    next: u32,
    seen: Vec<Got>,
}

impl Gateway {
    fn new(name: &'static str) -> Gateway {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        Gateway { socket, name, agent: None, next: 1000, seen: Vec::new() }
    }

    fn say(&self, text: &str) {
        self.socket.send_to(text.as_bytes(), self.agent.unwrap()).unwrap();
    }

    /// The next datagram, if one comes soon.
    fn poll(&mut self) -> Option<String> {
        let mut buffer = [0; 16_384];
        let (n, from) = self.socket.recv_from(&mut buffer).ok()?;
        self.agent = Some(from);
        Some(String::from_utf8(buffer[..n].to_vec()).unwrap())
    }

    /// The next command; repeats of earlier ones are passed over.
    fn command_or_none(&mut self, wait: Duration) -> Option<Got> {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            let Some(text) = self.poll() else { continue };
            let mut words = text.lines().next().unwrap().split(' ').map(str::to_owned);
            let (verb, id) = (words.next().unwrap(), words.next().unwrap());
            if verb.parse::<u16>().is_ok() || self.seen.iter().any(|s| s.id == id) {
                continue;
            }
            let endpoint = words.next().unwrap();
            let got = Got { verb, id, endpoint, text, at: Instant::now() };
            self.seen.push(got.clone());
            return Some(got);
        }
        None
    }

    /// The next command of that verb; RQNT and DLCX before it are answered as a gateway would.
    fn command(&mut self, verb: &str) -> Got {
        loop {
            let got = self
                .command_or_none(TEST_TIMEOUT)
                .unwrap_or_else(|| panic!("no {verb}; seen {:#?}", self.seen));
            if got.verb == verb {
                return got;
            }
            assert!(matches!(got.verb.as_str(), "RQNT" | "DLCX"), "{got:?} where {verb} was due");
            self.ok(&got);
        }
    }

    fn ok(&self, to: &Got) {
        let code = if to.verb == "DLCX" { 250 } else { 200 };
        self.say(&format!("{code} {} OK\r\n", to.id));
    }

    fn answer(&self, to: &Got, code: u16, connection: &str, sdp: &str) {
        self.say(&format!("{code} {} OK\r\nI: {connection}\r\n\r\n{sdp}", to.id));
    }

    /// Sends a command and gives the response's text; commands that come before it are answered and passed over.
    fn tell(&mut self, verb: &str, endpoint: &str, params: &str) -> (String, String) {
        self.next += 1;
        let text = format!("{verb} {} {endpoint} MGCP 1.0\r\n{params}", self.next);
        let answer = self.exchange(&text);
        (text, answer)
    }

    /// Sends a text until a response comes.
    fn exchange(&mut self, text: &str) -> String {
        let until = Instant::now() + TEST_TIMEOUT;
        self.say(text);
        let mut sent = Instant::now();
        while Instant::now() < until {
            if let Some(got) = self.poll() {
                if got.as_bytes()[0].is_ascii_digit() && !got.starts_with("000") {
                    return got;
                }
                let mut words = got.split(' ');
                let (verb, id) = (words.next().unwrap().to_owned(), words.next().unwrap().to_owned());
                let endpoint = words.next().unwrap().to_owned();
                if !self.seen.iter().any(|s| s.id == id) {
                    let got = Got { verb, id, endpoint, text: got.clone(), at: Instant::now() };
                    self.ok(&got);
                    self.seen.push(got);
                }
            }
            if sent.elapsed() > Duration::from_secs(2) {
                self.say(text);
                sent = Instant::now();
            }
        }
        panic!("no response to {text}");
    }

    /// Answers the start: DLCX and then RQNT for each endpoint.
    fn come_up(&mut self, endpoints: usize) {
        for _ in 0..endpoints {
            let got = self.command("DLCX");
            self.ok(&got);
        }
        for _ in 0..endpoints {
            let got = self.command("RQNT");
            assert_eq!(got.param("R"), Some("L/hd(N)"));
            self.ok(&got);
        }
    }

    /// Takes an endpoint off hook, dials, and answers the CRCX of its own side: the caller is with the core then.
    fn dial(&mut self, local: &str, number: &str) -> Got {
        let endpoint = format!("{local}@{}", self.name);
        let digits: String = number.chars().map(|c| format!(",D/{c}")).collect();
        let (_, answer) = self.tell("NTFY", &endpoint, &format!("X: 0\r\nO: L/hd{digits}\r\n"));
        assert!(answer.starts_with("200 "), "{answer}");
        let crcx = self.command("CRCX");
        assert_eq!((crcx.endpoint.as_str(), crcx.param("M")), (endpoint.as_str(), Some("recvonly")));
        self.answer(&crcx, 200, "aa1", SDP_A);
        crcx
    }

    /// Nothing new comes for a while.
    fn quiet(&mut self, span: Duration) {
        if let Some(got) = self.command_or_none(span) {
            panic!("{got:?} where nothing was due");
        }
    }
}

struct Running {
    _program: Program,
    agent: SocketAddr,
    callers: SocketAddr,
}

fn start(gateways: &[(&Gateway, u16, &str, usize, &str)], patience: u32) -> Running {
    let mut mgcp = format!(
        "enabled = true\nlisten = \"127.0.0.1:0\"\nclass = \"status-report\"\npatience_ms = {patience}\n"
    );
    for (g, exchange, prefix, endpoints, by) in gateways {
        let names: Vec<String> = (1..=*endpoints).map(|e| format!("\"lamp/{e}\"")).collect();
        mgcp += &format!(
            "[[gateway]]\nname = \"{}\"\naddress = \"{}\"\nexchange = {exchange}\nprefix = \"{prefix}\"\n\
             endpoints = [{}]\nanswered_by = \"{by}\"\n",
            g.name,
            g.socket.local_addr().unwrap(),
            names.join(",")
        );
    }
    let config = temp_file("config.json", &config(serde_json::json!({})).to_string());
    let program = Program::start(&[("--config", &config), ("--mgcp", &temp_file("mgcp.toml", &mgcp))], &[]);
    let (callers, agent) = (program.listen_address("callers"), program.listen_address("gateways"));
    Running { _program: program, agent, callers }
}

/// Two gateways that are up: one of callers (exchange 1) and one that is called (exchange 2, numbers 2...).
fn pair(endpoints: usize, by: &str, patience: u32) -> (Running, Gateway, Gateway) {
    let (mut a, mut b) = (Gateway::new("cab-a"), Gateway::new("cab-b"));
    let p = start(&[(&a, 1, "1", endpoints, "off-hook"), (&b, 2, "2", endpoints, by)], patience);
    (a.agent, b.agent) = (Some(p.agent), Some(p.agent));
    a.come_up(endpoints);
    b.come_up(endpoints);
    (p, a, b)
}

#[test]
fn a_call_between_gateways_stands_with_descriptions_unchanged_and_is_cleared_on_both_sides() {
    let (_p, mut a, mut b) = pair(1, "off-hook", 15_000);
    let caller = a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    assert_eq!((crcx.param("S"), crcx.sdp()), (Some("L/rg"), Some(SDP_A)));
    b.answer(&crcx, 200, "bb1", SDP_B);
    let x = crcx.param("X").unwrap().to_owned();
    let (_, ok) = b.tell("NTFY", "lamp/1@cab-b", &format!("X: {x}\r\nO: L/hd\r\n"));
    assert!(ok.starts_with("200 "));
    let mdcx = a.command("MDCX");
    assert_eq!((mdcx.sdp(), mdcx.param("M")), (Some(SDP_B), Some("sendrecv")));
    assert_eq!((mdcx.param("C"), mdcx.param("I")), (caller.param("C"), Some("aa1")));
    a.ok(&mdcx);
    // The caller hangs up.
    a.tell("NTFY", "lamp/1@cab-a", "X: 0\r\nO: L/hu\r\n");
    let dlcx = b.command("DLCX");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), Some("bb1")));
    b.ok(&dlcx);
    assert_eq!(b.command("RQNT").param("R"), Some("L/hd(N)"), "free again");
}

#[test]
fn the_called_side_hanging_up_releases_the_caller_once() {
    let (_p, mut a, mut b) = pair(1, "connection", 15_000);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    b.answer(&crcx, 200, "bb1", SDP_B);
    let mdcx = a.command("MDCX");
    a.ok(&mdcx);
    b.tell("NTFY", "lamp/1@cab-b", "X: 0\r\nO: L/hu\r\n");
    let dlcx = a.command("DLCX");
    assert_eq!((dlcx.param("I"), dlcx.param("R")), (Some("aa1"), Some("L/hu(N)")));
    a.ok(&dlcx);
    a.quiet(Duration::from_millis(600));
}

#[test]
fn a_gateway_that_acknowledges_and_falls_silent_is_cleared_and_the_caller_answered_once() {
    let (_p, mut a, mut b) = pair(1, "off-hook", 2_500);
    let before = Instant::now();
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    // Acknowledged, and nothing more: no hook is ever told.
    b.answer(&crcx, 200, "bb1", SDP_B);
    let dlcx = b.command("DLCX");
    assert!(dlcx.at - before >= Duration::from_millis(2_400), "not before its deadline");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), Some("bb1")));
    let refusal = a.command("DLCX");
    assert!(matches!(refusal.param("S"), Some("L/ro" | "G/cg")), "{refusal:?}");
    assert!(refusal.param("X-Outcome").is_some());
    a.ok(&refusal);
    a.quiet(Duration::from_millis(900));
    // The DLCX itself stays unanswered, and is repeated with its own transaction only.
    b.quiet(Duration::from_millis(900));
}

#[test]
fn a_provisional_answer_and_then_silence_is_cleared_too() {
    let (_p, mut a, mut b) = pair(1, "connection", 2_500);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    b.say(&format!("100 {} PENDING\r\n", crcx.id));
    let dlcx = b.command("DLCX");
    assert_eq!((dlcx.param("C"), dlcx.param("I")), (crcx.param("C"), None));
    let refusal = a.command("DLCX");
    a.ok(&refusal);
    // The answer comes after all: what it made is deleted, and the caller hears nothing of it.
    b.answer(&crcx, 200, "bb9", SDP_B);
    let late = b.command("DLCX");
    assert_eq!((late.param("C"), late.param("I")), (crcx.param("C"), Some("bb9")));
    a.quiet(Duration::from_millis(500));
}

#[test]
fn a_repeat_after_the_final_answer_gets_the_same_response_and_nothing_else() {
    let (_p, mut a, mut b) = pair(1, "connection", 15_000);
    let (text, first) = a.tell("NTFY", "lamp/1@cab-a", "X: 0\r\nO: L/hd,D/2,D/0,D/0,D/1\r\n");
    let own = a.command("CRCX");
    a.answer(&own, 200, "aa1", SDP_A);
    let crcx = b.command("CRCX");
    b.answer(&crcx, 403, "none", "");
    let refusal = a.command("DLCX");
    assert_eq!((refusal.param("S"), refusal.param("X-Outcome")), (Some("G/cg"), Some("403")));
    assert!(refusal.param("X-Pause").is_some(), "it says when to come back");
    a.ok(&refusal);
    for _ in 0..3 {
        assert_eq!(a.exchange(&text), first);
    }
    a.quiet(Duration::from_millis(600));
    assert!(b.command_or_none(Duration::from_millis(300)).is_none_or(|g| g.verb == "RQNT"));
}

#[test]
fn after_a_reset_the_call_goes_again_only_when_the_quiet_period_has_passed() {
    let (_p, mut a, mut b) = pair(2, "off-hook", 15_000);
    a.dial("lamp/1", "2001");
    let first = b.command("CRCX");
    b.answer(&first, 200, "bb1", SDP_B);
    let before = Instant::now();
    b.tell("RSIP", &first.endpoint, "RM: restart\r\n");
    let second = b.command("CRCX");
    assert!(second.at - before >= Duration::from_millis(500), "{:?}", second.at - before);
    assert_ne!(second.param("C"), first.param("C"));
    assert_eq!(second.sdp(), Some(SDP_A));
}

#[test]
fn nothing_new_goes_to_a_gateway_that_drains() {
    let (_p, mut a, mut b) = pair(2, "connection", 15_000);
    b.tell("RSIP", "*@cab-b", "RM: graceful\r\nRD: 30\r\n");
    std::thread::sleep(Duration::from_millis(300));
    a.dial("lamp/1", "2001");
    let refusal = a.command("DLCX");
    assert!(refusal.param("S").is_some());
    b.quiet(Duration::from_millis(300));
    // It serves again, and is sent to again.
    b.tell("RSIP", "*@cab-b", "RM: cancel-graceful\r\n");
    a.dial("lamp/2", "2001");
    b.command("CRCX");
}

#[test]
fn a_lost_command_is_repeated_with_its_transaction_and_a_demanded_acknowledgement_is_given() {
    let (_p, mut a, mut b) = pair(1, "connection", 15_000);
    a.dial("lamp/1", "2001");
    let crcx = b.command("CRCX");
    // Lost: the same comes again, to the letter.
    let until = Instant::now() + TEST_TIMEOUT;
    let again = std::iter::from_fn(|| (Instant::now() < until).then(|| b.poll())).flatten().next();
    assert_eq!(again.as_deref(), Some(crcx.text.as_str()));
    let text = format!("200 {} OK\r\nK:\r\nI: bb1\r\n\r\n{SDP_B}", crcx.id);
    for _ in 0..2 {
        b.say(&text);
        let ack = std::iter::from_fn(|| (Instant::now() < until).then(|| b.poll())).flatten();
        let ack = ack.into_iter().find(|t| t.starts_with("000 "));
        assert!(ack.is_some_and(|t| t.starts_with(&format!("000 {}", crcx.id))));
    }
    // The repeated answer has changed nothing: one MDCX.
    let mdcx = a.command("MDCX");
    a.ok(&mdcx);
    a.quiet(Duration::from_millis(500));
}

#[test]
fn what_is_wrong_gets_its_return_code_and_costs_nobody_else() {
    let (_p, mut a, mut b) = pair(1, "connection", 15_000);
    let code = |a: &mut Gateway, text: &str| a.exchange(text)[..3].to_owned();
    assert_eq!(code(&mut a, "NTFY 1 lamp1 MGCP 1.0\r\nO: L/hd\r\n"), "510");
    assert_eq!(code(&mut a, "NTFY 2 lamp/1@cab-a MGCP 1.0\r\nno colon\r\n"), "510");
    assert_eq!(code(&mut a, "NTFY 3 lamp/9@cab-a MGCP 1.0\r\nO: L/hd\r\n"), "500");
    assert_eq!(code(&mut a, "NTFY 4 lamp/1@nowhere MGCP 1.0\r\nO: L/hd\r\n"), "500");
    assert_eq!(code(&mut a, "CRCX 5 lamp/1@cab-a MGCP 1.0\r\nM: sendrecv\r\n"), "504");
    assert_eq!(code(&mut a, "NTFY 6 lamp/1@cab-a MGCP 2.0\r\nO: L/hd\r\n"), "528");
    assert_eq!(code(&mut a, "DLCX 7 lamp/1@cab-a MGCP 1.0\r\nC: ffff\r\n"), "516");
    assert_eq!(code(&mut a, "NTFY 1 lamp1 MGCP 1.0\r\nO: L/hd\r\n"), "510", "a repeat gets the same");
    a.say("garbage");
    a.dial("lamp/1", "2001");
    b.command("CRCX");
}

#[test]
fn a_caller_on_the_platforms_lines_reaches_a_gateway_through_the_same_core() {
    let (p, _a, mut b) = pair(1, "connection", 15_000);
    let mut stream = TcpStream::connect(p.callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let sid = "9b1f03aa5c7e2d41";
    let open = serde_json::json!({"msg": "open", "sid": sid, "text": SDP_A, "attrs":
        {"class": "status-report", "left": "9000", "key": "7f3a9c21e0b4d655", "extras": "dest:2;width:1;via:-1"}});
    writeln!(stream, "{open}").unwrap();
    let crcx = b.command("CRCX");
    assert_eq!(crcx.sdp(), Some(SDP_A));
    b.answer(&crcx, 200, "bb1", SDP_B);
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
    // Nothing more is said of a call that the caller has ended.
    stream.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    assert!(reader.read(&mut [0; 1]).is_err());
}
