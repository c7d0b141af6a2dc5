//! Calls at a gateway that speaks MGCP (RFC 3435): its controller is killed and comes back, or it drains while it was
//! silent.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;

const NAME: &str = "cabinet-1.dakar-plateau";
const ENDPOINTS: usize = 4;
/// The number under which calls reach the gateway.
const EXCHANGE: u16 = 101;

#[derive(Clone, Debug)]
struct Connection {
    call: String,
    id: String,
    created: u64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<String, Connection>,
    /// Connections that were deleted: endpoint, connection, when.
    deleted: Vec<(String, Connection, u64)>,
    /// Responses by transaction: a repeated command is not executed again.
    responses: BTreeMap<String, String>,
    /// When connections were created.
    created: Vec<u64>,
    /// When commands to create a connection arrived while the gateway was silent.
    unheard: Vec<u64>,
    /// When the controller's response to each command of the gateway arrived.
    answered: BTreeMap<String, u64>,
    agent: Option<SocketAddr>,
}

struct Gateway {
    socket: UdpSocket,
    record: Record,
    state: Mutex<State>,
    /// What arrives is neither handled nor answered.
    silent: AtomicBool,
    next: AtomicU32,
}

fn param(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next().unwrap_or("");
    head.lines().find_map(|l| l.strip_prefix(&format!("{name}: "))).map(|v| v.trim().to_owned())
}

impl Gateway {
    fn start(record: &Record) -> Arc<Gateway> {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&e.to_string()));
        let gateway = Arc::new(Gateway {
            socket,
            record: record.clone(),
            state: Mutex::default(),
            silent: AtomicBool::new(false),
            next: AtomicU32::new(1000),
        });
        let reader = gateway.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 16384];
            while let Ok((n, from)) = reader.socket.recv_from(&mut buffer) {
                for text in String::from_utf8_lossy(&buffer[..n]).split("\r\n.\r\n") {
                    reader.handle(text, from);
                }
            }
        });
        gateway
    }

    fn handle(&self, text: &str, from: SocketAddr) {
        let first = text.lines().next().unwrap_or("").to_owned();
        let words: Vec<&str> = first.split(' ').collect();
        let (Some(&verb), Some(&transaction)) = (words.first(), words.get(1)) else { return };
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        state.agent = Some(from);
        if verb.parse::<u16>().is_ok() {
            self.record.line(&format!("gateway: receives {first}"));
            state.answered.entry(transaction.to_owned()).or_insert(now);
            return;
        }
        let endpoint = words.get(2).copied().unwrap_or("").to_owned();
        let (call, id) = (param(text, "C"), param(text, "I"));
        if self.silent.load(Ordering::SeqCst) {
            self.record.line(&format!("gateway: is silent, {verb} {transaction} {endpoint} is not heard"));
            if verb == "CRCX" {
                state.unheard.push(now);
            }
            return;
        }
        if let Some(response) = state.responses.get(transaction) {
            drop(self.socket.send_to(response.as_bytes(), from));
            return;
        }
        let response = match verb {
            "CRCX" => {
                let id = format!("{transaction}a");
                let call = call.unwrap_or_default();
                state.connections.insert(endpoint.clone(), Connection { call, id: id.clone(), created: now });
                state.created.push(now);
                format!("200 {transaction} OK\r\nI: {id}\r\n\r\nv=0\r\no=- 1 1 IN IP4 127.0.0.1\r\n")
            }
            "DLCX" => {
                let matches = state.connections.get(&endpoint).is_some_and(|c| {
                    call.as_ref().is_none_or(|x| *x == c.call) && id.as_ref().is_none_or(|x| *x == c.id)
                });
                match matches.then(|| state.connections.remove(&endpoint)).flatten() {
                    Some(connection) => {
                        self.record.line(&format!(
                            "gateway: {endpoint}: its connection is deleted, the call is over"
                        ));
                        state.deleted.push((endpoint.clone(), connection, now));
                        format!("250 {transaction} OK\r\n")
                    }
                    None if id.is_some() => format!("515 {transaction} Incorrect connection-id\r\n"),
                    None => format!("250 {transaction} OK\r\n"),
                }
            }
            "AUEP" | "RQNT" | "MDCX" => format!("200 {transaction} OK\r\n"),
            _ => format!("504 {transaction} Unknown command\r\n"),
        };
        self.record.line(&format!(
            "gateway: {verb} {transaction} {endpoint}, answers {}",
            response.lines().next().unwrap_or("")
        ));
        drop(self.socket.send_to(response.as_bytes(), from));
        state.responses.insert(transaction.to_owned(), response);
    }

    /// Sends a command until it is answered, as RFC 3435 has it; returns when the answer arrived.
    fn command(&self, verb: &str, endpoint: &str, params: &str) -> u64 {
        let id = self.next.fetch_add(1, Ordering::SeqCst).to_string();
        let text = format!("{verb} {id} {endpoint}@{NAME} MGCP 1.0\r\n{params}");
        self.record.line(&format!("gateway: sends {verb} {id} {endpoint} {params}"));
        for _ in 0..20 {
            let agent = self.state.lock().unwrap().agent;
            if let Some(agent) = agent {
                drop(self.socket.send_to(text.as_bytes(), agent));
            }
            let answered = || self.state.lock().unwrap().answered.contains_key(&id);
            if wait_until(ms(200), answered) {
                return self.state.lock().unwrap().answered[&id];
            }
        }
        could_not_run("the controller does not answer the gateway")
    }

    fn ready(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.responses.len() >= 2 * ENDPOINTS
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record = Record::open();
    let site = Site::open(&record);
    let gateway = Gateway::start(&record);
    let exchange = Exchange::start("exchange 1", &record, ms(45_000));
    let listen = free_address();
    let agent = UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .unwrap_or_else(|e| could_not_run(&e.to_string()));
    let names: Vec<String> = (1..=ENDPOINTS).map(|n| format!("\"lamp/{n}\"")).collect();
    let mgcp = format!(
        "enabled = true\nlisten = \"{agent}\"\nclass = \"status-report\"\npatience_ms = 3000\ndigits = 4\n\
         [[gateway]]\nname = \"{NAME}\"\naddress = \"{}\"\nexchange = {EXCHANGE}\nprefix = \"1\"\n\
         endpoints = [{}]\nanswered_by = \"connection\"\n",
        gateway.socket.local_addr().unwrap(),
        names.join(",")
    );
    let mgcp = site.write("mgcp.toml", &mgcp);
    let file = site.write("config.json", &config(listen, &[member("s-1", exchange.address, 1, "up")]));
    let options = format!("--mgcp {}", mgcp.display());
    let mut controller = Controller::start(&site, &file, &options);
    controller.wait_ready(listen);
    if !wait_until(ms(5000), || gateway.ready()) {
        could_not_run("the gateway is not asked to report");
    }
    let caller = Caller::connect(listen, &record).unwrap_or_else(|| could_not_run("no connection"));
    match case.as_str() {
        "restart" => restart(&site, &record, &gateway, &file, &options, listen, controller, &caller),
        "drain" => drain(&record, &gateway, &caller),
        _ => could_not_run("no such case"),
    }
}

/// The controller is killed while a call stands at the gateway, and comes back after 2 s.
#[allow(clippy::too_many_arguments)]
fn restart(
    site: &Site,
    record: &Record,
    gateway: &Gateway,
    file: &std::path::Path,
    options: &str,
    listen: SocketAddr,
    mut controller: Controller,
    caller: &Caller,
) -> i32 {
    // A second controller, so that the one that is killed is half of them.
    let other_exchange = Exchange::start("exchange 2", record, ms(45_000));
    let other_listen = free_address();
    let other_file =
        site.write("other.json", &config(other_listen, &[member("s-2", other_exchange.address, 2, "up")]));
    let mut other = Controller::start(site, &other_file, "");
    other.wait_ready(other_listen);
    let sids = [sid(1), sid(2)];
    for s in &sids {
        caller.open(s, EXCHANGE, 3000);
        sleep(ms(100));
    }
    if !wait_until(ms(3000), || sids.iter().all(|s| caller.of(s).ready.len() == 1)) {
        could_not_run("not all calls stand");
    }
    sleep(ms(1000));
    if trouble() {
        controller.signal("KILL");
        controller.wait_exit(ms(5000));
        sleep(ms(2000));
        controller = Controller::start(site, file, options);
        controller.wait_ready(listen);
    }
    // The callers' connections ended with the process; they connect to the one that passes its test, and go on to call.
    let again = Caller::connect_with(listen, record, caller.seen.clone())
        .unwrap_or_else(|| could_not_run("no connection"));
    for n in 0..2 {
        again.open(&sid(100 + n), EXCHANGE, 3000);
        sleep(ms(500));
    }
    sleep(ms(12_000));
    let state = gateway.state.lock().unwrap();
    let mut broken = Vec::new();
    for (s, index) in sids.iter().zip(0..) {
        let seen = caller.of(s);
        // The calls were set up one after the other; the gateway's connections have the same order.
        let mut all: Vec<(u64, Option<u64>)> =
            state.connections.values().map(|c| (c.created, None)).collect();
        all.extend(state.deleted.iter().map(|(_, c, at)| (c.created, Some(*at))));
        all.sort_unstable();
        let over = all.get(index).and_then(|c| c.1);
        match over {
            Some(at) if !seen.closes.iter().any(|c| c.0 <= at + 8050) => broken.push(format!(
                "{s}: the controller ends it at the gateway at {at} ms, and its caller is not told within 8 s"
            )),
            _ => {}
        }
    }
    let answered = caller.seen.lock().unwrap().values().filter(|s| !s.ready.is_empty()).count();
    let summary = format!(
        "{answered} calls stood, 2 of them at the gateway; {} of its connections were deleted",
        state.deleted.len()
    );
    drop(state);
    record.verdict(&broken, &summary)
}

/// The gateway is silent for some time, in which a call to it arrives, and drains.
fn drain(record: &Record, gateway: &Gateway, caller: &Caller) -> i32 {
    let mut told = None;
    if trouble() {
        record.line("gateway: falls silent");
        gateway.silent.store(true, Ordering::SeqCst);
    }
    caller.open(&sid(1), EXCHANGE, 3000);
    sleep(ms(50));
    if trouble() {
        told = Some(gateway.command("RSIP", "*", "RM: graceful\r\nRD: 30\r\n"));
        sleep(ms(400));
        record.line("gateway: hears again");
        gateway.silent.store(false, Ordering::SeqCst);
    }
    sleep(ms(2000));
    if trouble() {
        // The gateway has announced its end; it goes out of service now, and what is left on it is cut.
        gateway.command("RSIP", "*", "RM: forced\r\n");
    }
    sleep(ms(2000));
    let state = gateway.state.lock().unwrap();
    let mut broken = Vec::new();
    for at in &state.created {
        if let Some(told) = told.filter(|t| *at > t + 300) {
            broken.push(format!(
                "the controller acknowledges the drain at {told} ms, and new work reaches the gateway at {at} ms, {} ms later",
                at - told
            ));
        }
    }
    let seen = caller.of(&sid(1));
    let summary =
        format!("the call: {seen:?}; connections created at {:?}; drain told at {told:?}", state.created);
    record.verdict(&broken, &summary)
}
