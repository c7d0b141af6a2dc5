//! Reproductions of incident 75a3cb with real processes: see docs/incidents/2026-12-75a3cb.md.

mod common;

use common::json_lines::*;
use common::{config, temp_file, wait_until, Program};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use walnuthatch_standin::Host;

/// What stood and is over is told to its caller by then, with the pages' slack for sockets.
const TOLD_WITHIN: Duration = Duration::from_millis(8_050);
/// SIGKILL may come this long after SIGTERM: the longest deadline, 3 s at most, and 0.7 s more.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A request written this shortly before SIGKILL may have had no chance to be read.
const NO_CHANCE: Duration = Duration::from_millis(50);

/// A controller, a host that can vanish with one exchange on it, and a coordinator that is about to be lost.
struct Site {
    _program: Program,
    host: Host,
    exchange: JsonConnection,
    caller: JsonConnection,
    /// The coordinator's stream, and where it listens, while it is up.
    coordinator: Option<(CoordinatorStream, TcpListener)>,
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// One that goes on to tell of its group, as exchanges with calls do, until it is dropped.
fn talking(host: &Host) -> JsonConnection {
    let line = JsonConnection::new(host.accept(common::TEST_TIMEOUT).unwrap());
    report_periodically(&line);
    line
}

impl Site {
    fn start() -> Site {
        let (host, feed) = (Host::listen(loopback()).unwrap(), listener());
        let known =
            json!({"index": 3, "updates": [list_update(3, true, &[member("s-1", host.address(), 1, "up")])]});
        let coordinator = feed.local_addr().unwrap().to_string();
        let all = config(json!({"known": known, "coordinator": coordinator}));
        let program =
            Program::start(&[("--config", &temp_file("config.json", &all.to_string()))], &["--log", "debug"]);
        let exchange = talking(&host);
        let coordinator = CoordinatorStream::accept(&feed);
        let mut caller = JsonConnection::connect(program.listen_address("callers"));
        wait_until("the test passes", || {
            caller.send(json!({"msg": "probe", "sid": sid(1), "attrs": {}, "code": 0}));
            (caller.receive_for(&sid(1))["code"] == 1).then_some(())
        });
        Site { _program: program, host, exchange, caller, coordinator: Some((coordinator, feed)) }
    }

    fn call_stands(&mut self, name: &str) {
        self.caller.send(open_message(name, 1, 9000));
        self.exchange.receive_for(name);
        self.exchange.send(json!({"msg": "ready", "sid": name, "attrs": {}, "text": SESSION_DESCRIPTION}));
        assert_eq!(self.caller.receive_for(name)["msg"], "ready");
    }

    /// The host vanishes: open connections are silent, new ones never come up.
    fn vanish(&mut self) -> Instant {
        self.host.vanish().unwrap();
        self.exchange.reporting = Arc::new(());
        Instant::now()
    }
}

/// The caller is told of the end of a call that stood, in time.
fn told_in_time(caller: &mut JsonConnection, name: &str, since: Instant) {
    caller.stream.set_read_timeout(Some(TOLD_WITHIN + Duration::from_secs(1))).unwrap();
    let mut told = String::new();
    let heard = caller.reader.read_line(&mut told);
    assert!(heard.is_ok(), "nothing told {:?} after the end: {heard:?}", since.elapsed());
    let told: Value = serde_json::from_str(&told).unwrap();
    assert_eq!(told["sid"], name);
    assert_eq!((&told["msg"], &told["code"]), (&json!("close"), &json!(41)));
    assert!(since.elapsed() <= TOLD_WITHIN, "told {:?} after the end", since.elapsed());
}

#[test]
fn calls_at_an_exchange_that_vanished_while_the_coordinator_is_down_are_told_in_time() {
    let mut site = Site::start();
    site.call_stands(&sid(10));
    site.coordinator = None;
    let since = site.vanish();
    told_in_time(&mut site.caller, &sid(10), since);
}

#[test]
fn calls_are_told_in_time_when_another_process_comes_up_at_the_address_of_one_that_vanished() {
    let mut site = Site::start();
    site.call_stands(&sid(11));
    let since = site.vanish();
    // The coordinator is silent; the replacement knows nothing of the call.
    thread::sleep(Duration::from_millis(2_500));
    site.host.come_back().unwrap();
    let _replacement = talking(&site.host);
    told_in_time(&mut site.caller, &sid(11), since);
}

/// Sends a request every few milliseconds on an open connection, as clients do that go on to the end. Gives the
/// names of those that were sent early enough and have no answer.
fn clients_go_on(caller: JsonConnection, until: Instant) -> BTreeSet<String> {
    let open_requests = Arc::new(Mutex::new(BTreeSet::new()));
    let JsonConnection { mut stream, reader, .. } = caller;
    let answered = open_requests.clone();
    let listening = thread::spawn(move || {
        for line in reader.lines().map_while(Result::ok) {
            let message: Value = serde_json::from_str(&line).unwrap();
            let name = message["sid"].as_str().unwrap().to_owned();
            answered.lock().unwrap().remove(&name);
        }
    });
    let mut number = 1_000;
    while Instant::now() < until - NO_CHANCE {
        number += 1;
        open_requests.lock().unwrap().insert(sid(number));
        writeln!(stream, "{}", open_message(&sid(number), 1, 2_032)).unwrap();
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let left = open_requests.lock().unwrap().clone();
    drop(stream.shutdown(Shutdown::Both));
    drop(listening.join());
    left
}

#[test]
fn a_stop_ends_soon_with_nothing_left_though_clients_connect_again_and_again() {
    let l = listener();
    let (mut program, callers, _x) = start_program(&[&l], json!({}));
    let mut again: Vec<JsonConnection> = (0..5).map(|_| JsonConnection::connect(callers)).collect();
    program.signal("TERM");
    let asked = Instant::now();
    let ended = wait_until("the program ends", || {
        for line in &mut again {
            line.stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
            if line.closes_silently() {
                if let Ok(stream) = std::net::TcpStream::connect(callers) {
                    *line = JsonConnection::new(stream);
                }
            }
        }
        program.child.try_wait().unwrap()
    });
    assert!(ended.success());
    assert!(asked.elapsed() < Duration::from_secs(3), "{:?}", asked.elapsed());
}

#[test]
fn requests_that_come_up_to_the_kill_are_answered_while_the_exchange_hangs() {
    let l = listener();
    let (mut program, callers, mut x) = start_program(&[&l], json!({}));
    // A call that stands keeps its connection in use.
    let mut caller = JsonConnection::connect(callers);
    caller.send(open_message(&sid(50), 1, 9_000));
    x[0].receive_for(&sid(50));
    x[0].send(json!({"msg": "ready", "sid": sid(50), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(caller.receive_for(&sid(50))["msg"], "ready");
    program.signal("TERM");
    let kill = Instant::now() + KILL_AFTER;
    let left = clients_go_on(caller, kill);
    program.child.kill().unwrap();
    assert!(left.is_empty(), "{} requests had no answer at SIGKILL: {left:?}", left.len());
}
