//! Reproduces incident 75a3cb with real processes; see docs/incidents/2026-12-75a3cb.md.

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

/// Time within which a caller must receive the release of a call that ended, including the tolerance for sockets.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);
/// Earliest SIGKILL after SIGTERM: the longest deadline, which counts as 3 s at most, plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// A request written less than this long before SIGKILL may not have been read.
const READ_GRACE: Duration = Duration::from_millis(50);

/// A controller with one exchange, whose host can become unreachable, one caller and a coordinator that can be stopped.
struct Site {
    _program: Program,
    host: Host,
    exchange: JsonConnection,
    caller: JsonConnection,
    /// The coordinator's stream and its listener while it is up.
    coordinator: Option<(CoordinatorStream, TcpListener)>,
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Accepts a connection at an exchange that reports its trunk group until the connection is dropped.
fn accept_reporting(host: &Host) -> JsonConnection {
    let line = JsonConnection::new(host.accept(common::TEST_TIMEOUT).unwrap());
    report_periodically(&line);
    line
}

impl Site {
    fn start() -> Site {
        let (host, coordinator_listener) = (Host::listen(loopback()).unwrap(), listener());
        let known =
            json!({"index": 3, "updates": [list_update(3, true, &[member("s-1", host.address(), 1, "up")])]});
        let coordinator = coordinator_listener.local_addr().unwrap().to_string();
        let config_json = config(json!({"known": known, "coordinator": coordinator}));
        let program = Program::start(
            &[("--config", &temp_file("config.json", &config_json.to_string()))],
            &["--log", "debug"],
        );
        let exchange = accept_reporting(&host);
        let coordinator = CoordinatorStream::accept(&coordinator_listener);
        let mut caller = JsonConnection::connect(program.listen_address("callers"));
        wait_until("the controller is ready", || {
            caller.send(json!({"msg": "probe", "sid": sid(1), "attrs": {}, "code": 0}));
            (caller.receive_for(&sid(1))["code"] == 1).then_some(())
        });
        Site {
            _program: program,
            host,
            exchange,
            caller,
            coordinator: Some((coordinator, coordinator_listener)),
        }
    }

    fn establish_call(&mut self, name: &str) {
        self.caller.send(open_message(name, 1, 9000));
        self.exchange.receive_for(name);
        self.exchange.send(json!({"msg": "ready", "sid": name, "attrs": {}, "text": SESSION_DESCRIPTION}));
        assert_eq!(self.caller.receive_for(name)["msg"], "ready");
    }

    /// Makes the host unreachable: open connections fall silent and new ones are never established.
    fn vanish(&mut self) -> Instant {
        self.host.vanish().unwrap();
        self.exchange.reporting = Arc::new(());
        Instant::now()
    }
}

/// Asserts that the caller receives the release of an established call in time.
fn assert_released_in_time(caller: &mut JsonConnection, name: &str, ended_at: Instant) {
    caller.stream.set_read_timeout(Some(RELEASE_LIMIT + Duration::from_secs(1))).unwrap();
    let mut release = String::new();
    let result = caller.reader.read_line(&mut release);
    assert!(result.is_ok(), "no release {:?} after the end: {result:?}", ended_at.elapsed());
    let release: Value = serde_json::from_str(&release).unwrap();
    assert_eq!(release["sid"], name);
    assert_eq!((&release["msg"], &release["code"]), (&json!("close"), &json!(41)));
    assert!(ended_at.elapsed() <= RELEASE_LIMIT, "released {:?} after the end", ended_at.elapsed());
}

#[test]
fn calls_at_an_unreachable_exchange_are_released_in_time_while_the_coordinator_is_down() {
    let mut site = Site::start();
    site.establish_call(&sid(10));
    site.coordinator = None;
    let ended_at = site.vanish();
    assert_released_in_time(&mut site.caller, &sid(10), ended_at);
}

#[test]
fn calls_are_released_in_time_when_a_new_process_takes_over_the_address_of_an_unreachable_exchange() {
    let mut site = Site::start();
    site.establish_call(&sid(11));
    let ended_at = site.vanish();
    // The coordinator reports no change, and the new process has no record of the call.
    thread::sleep(Duration::from_millis(2_500));
    site.host.restore().unwrap();
    let _replacement = accept_reporting(&site.host);
    assert_released_in_time(&mut site.caller, &sid(11), ended_at);
}

/// Sends a request every 4 ms on an open connection until shortly before `until`. Returns the identifiers of the
/// requests that are unanswered at `until`.
fn send_requests_until(caller: JsonConnection, until: Instant) -> BTreeSet<String> {
    let open_requests = Arc::new(Mutex::new(BTreeSet::new()));
    let JsonConnection { mut stream, reader, .. } = caller;
    let requests_of_reader = open_requests.clone();
    let reader_thread = thread::spawn(move || {
        for line in reader.lines().map_while(Result::ok) {
            let message: Value = serde_json::from_str(&line).unwrap();
            let name = message["sid"].as_str().unwrap().to_owned();
            requests_of_reader.lock().unwrap().remove(&name);
        }
    });
    let mut number = 1_000;
    while Instant::now() < until - READ_GRACE {
        number += 1;
        open_requests.lock().unwrap().insert(sid(number));
        writeln!(stream, "{}", open_message(&sid(number), 1, 2_032)).unwrap();
        thread::sleep(Duration::from_millis(4));
    }
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let unanswered = open_requests.lock().unwrap().clone();
    drop(stream.shutdown(Shutdown::Both));
    drop(reader_thread.join());
    unanswered
}

#[test]
fn a_stop_without_open_calls_completes_although_clients_keep_reconnecting() {
    let exchange_listener = listener();
    let (mut program, callers, _exchanges) = start_program(&[&exchange_listener], json!({}));
    let mut connections: Vec<JsonConnection> = (0..5).map(|_| JsonConnection::connect(callers)).collect();
    program.signal("TERM");
    let signalled_at = Instant::now();
    let status = wait_until("the program ends", || {
        for line in &mut connections {
            line.stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
            if line.closes_silently() {
                if let Ok(stream) = std::net::TcpStream::connect(callers) {
                    *line = JsonConnection::new(stream);
                }
            }
        }
        program.child.try_wait().unwrap()
    });
    assert!(status.success());
    assert!(signalled_at.elapsed() < Duration::from_secs(3), "{:?}", signalled_at.elapsed());
}

#[test]
fn requests_sent_until_sigkill_are_answered_while_the_exchange_hangs() {
    let exchange_listener = listener();
    let (mut program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    // An established call keeps the connection in use.
    let mut caller = JsonConnection::connect(callers);
    caller.send(open_message(&sid(50), 1, 9_000));
    exchanges[0].receive_for(&sid(50));
    exchanges[0].send(json!({"msg": "ready", "sid": sid(50), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(caller.receive_for(&sid(50))["msg"], "ready");
    program.signal("TERM");
    let kill = Instant::now() + KILL_DELAY;
    let unanswered = send_requests_until(caller, kill);
    program.child.kill().unwrap();
    assert!(unanswered.is_empty(), "{} requests had no answer at SIGKILL: {unanswered:?}", unanswered.len());
}
