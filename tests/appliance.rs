//! The appliance as a process, with stand-in exchanges and callers and operators on its control socket: drains under
//! load, kills, signals, unusable state folders and clients that misbehave.

mod common;

use common::{temp_file, wait_until, Program};
use serde_json::json;
use std::fs;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use walnuthatch_control::client::{ClientError, Connection};
use walnuthatch_control::frames::{AtLimit, Body, Operation, Topic, TOPICS};
use walnuthatch_control::views::{Drain, Event, Status};
use walnuthatch_standin::{Callers, Exchange, ExchangeConfig, Load, LoadReport};

/// The stand-in exchanges of a site, its folder for socket and state, and the appliance's configuration file.
struct Site {
    folder: PathBuf,
    exchanges: Vec<Exchange>,
    config_file: PathBuf,
}

static SITE_COUNT: AtomicU32 = AtomicU32::new(0);

impl Site {
    /// Starts the exchanges, whose calls last `hold` on average; `extra` is appended to the configuration file.
    fn new(exchanges: u16, hold: Duration, extra: &str) -> Site {
        // A short path, since the path of a socket may have no more than 100 bytes.
        let number = SITE_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("wha-{}-{number}", std::process::id()));
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).unwrap();
        let exchange_config =
            |seed| ExchangeConfig { circuits: 400, delay: Duration::from_millis(5), hold, seed };
        let exchanges: Vec<Exchange> =
            (1..=exchanges).map(|n| Exchange::start(None, exchange_config(n.into())).unwrap()).collect();
        let path = |name: &str| folder.join(name).display().to_string();
        let mut text = format!(
            "enabled = true\n[control]\nsocket = {:?}\n[state]\nfolder = {:?}\n[site]\nname = \"t\"\n\
             listen = \"127.0.0.1:0\"\nown_exchange = 0\n[[class]]\nname = \"status-report\"\naim_ms = 1200\n\
             give_up_ms = 9000\n",
            path("s"),
            path("state")
        );
        for (n, exchange) in (1..).zip(&exchanges) {
            text += &format!(
                "[[exchange]]\nname = \"x{n}\"\nexchange = {n}\naddress = \"{}\"\n",
                exchange.address()
            );
        }
        let config_file = temp_file("appliance.toml", &(text + extra));
        Site { folder, exchanges, config_file }
    }

    fn start(&self) -> Program {
        Program::start(&[("--appliance", &self.config_file)], &[])
    }

    /// Starts the program and waits until every exchange is connected and has reported. Returns the program and its
    /// address for callers.
    fn start_and_wait(&self) -> (Program, SocketAddr) {
        self.wait_until_started(self.start())
    }

    fn wait_until_started(&self, program: Program) -> (Program, SocketAddr) {
        let callers = program.listen_address("callers");
        program.wait_for_log("control socket at ");
        let mut operator = self.operator();
        wait_until("the program has started", || (status(&mut operator).state != "starting").then_some(()));
        wait_until("all exchanges are connected and have reported", || {
            let Body::Exchanges { exchanges } = show(&mut operator, Topic::Exchanges) else { panic!() };
            exchanges.iter().all(|e| e.connected && e.free.is_some()).then_some(())
        });
        (program, callers)
    }

    fn socket(&self) -> PathBuf {
        self.folder.join("s")
    }

    fn operator(&self) -> Connection {
        let operator = Connection::open(&self.socket(), "awa").unwrap();
        operator.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
        operator
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn load(rate: f64, seconds: u64, destinations: &[u16]) -> Load {
    Load {
        rate,
        duration: Duration::from_secs(seconds),
        destinations: destinations.to_vec(),
        class: "status-report".into(),
        client_timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(1200),
        connections: 4,
        seed: 5,
    }
}

fn show(operator: &mut Connection, topic: Topic) -> Body {
    operator.request("show", Operation::Show { topic, search: String::new() }).unwrap()
}

fn status(operator: &mut Connection) -> Status {
    let Body::Status(s) = show(operator, Topic::Status) else { panic!() };
    s
}

fn drains(operator: &mut Connection) -> Vec<Drain> {
    let Body::Drains { drains, .. } = show(operator, Topic::Drains) else { panic!() };
    drains
}

fn events(operator: &mut Connection) -> Vec<Event> {
    let Body::Events { events } = show(operator, Topic::Events) else { panic!() };
    events
}

fn drain_state(operator: &mut Connection, target: &str) -> String {
    drains(operator).iter().find(|d| d.target == target).map_or("none".into(), |d| d.state.clone())
}

fn drain(target: &str) -> Operation {
    let target = target.to_owned();
    Operation::Drain { target, reason: "t".into(), limit_s: None, at_limit: AtLimit::Keep, force: false }
}

fn undrain(target: &str) -> Operation {
    Operation::Undrain { target: target.to_owned() }
}

/// Asserts that every call got exactly one answer before its client timed out, and that none failed.
fn assert_all_answered(report: &LoadReport) {
    assert!(report.unanswered == 0 && report.duplicate_answers == 0 && report.failed == 0, "{report}");
}

/// Resident memory (KiB).
fn resident_memory_kib(program: &Program) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A console that stops reading must not block the program nor make it queue updates without limit.
#[test]
fn clients_that_read_no_updates_delay_no_call_and_use_no_memory() {
    let site = Site::new(3, Duration::from_millis(500), "");
    let (program, callers_address) = site.start_and_wait();
    // Clients that watch every topic ten times a second and read nothing.
    let watchers: Vec<Connection> = (0..4)
        .map(|n| {
            let mut operator = site.operator();
            let watch = Operation::Watch { topics: TOPICS.to_vec(), every_ms: 100, search: String::new() };
            operator.send(&format!("w{n}"), watch).unwrap();
            operator
        })
        .collect();
    let callers = Callers::start(callers_address, load(100.0, 10, &[1, 2, 3])).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    let before = resident_memory_kib(&program);
    let report = callers.finish();
    assert_all_answered(&report);
    assert!(report.late == 0 && report.established == 1000, "{report}");
    let after = resident_memory_kib(&program);
    assert!(after < before + 4096, "{before} KiB, then {after} KiB");
    drop(watchers);
}

/// The connection that ordered the drain breaks. The drain must continue, send the exchange no set-up once it is in
/// force, report each stage and end when another operator restores the exchange.
#[test]
fn a_drain_outlives_its_operators_connection_and_stops_new_set_ups() {
    let site = Site::new(3, Duration::from_secs(2), "");
    let (_program, callers_address) = site.start_and_wait();
    let callers = Callers::start(callers_address, load(60.0, 5, &[1, 2, 3])).unwrap();
    wait_until("exchange 1 has calls", || (site.exchanges[0].busy() > 5).then_some(()));
    // The drain, then an incomplete request; then the connection closes.
    let mut first_operator = UnixStream::connect(site.socket()).unwrap();
    let order = json!({"v": 1, "id": "o1", "who": "awa", "do": "drain", "target": "exchange:1"});
    first_operator.write_all(format!("{order}\n{{\"v\":1,\"id\":\"o2\",\"do\":\"undr").as_bytes()).unwrap();
    let mut operator = site.operator();
    wait_until("the drain is in force", || {
        (drain_state(&mut operator, "exchange:1") != "none").then_some(())
    });
    drop(first_operator);
    let in_force_at = Instant::now();
    assert!(["asked", "shedding", "emptying"].contains(&drain_state(&mut operator, "exchange:1").as_str()));
    // Another connection follows the drain until the exchange is empty.
    wait_until("the exchange is empty", || {
        (drain_state(&mut operator, "exchange:1") == "empty").then_some(())
    });
    let last = site.exchanges[0].last_set_up().unwrap();
    assert!(
        last <= in_force_at + Duration::from_millis(250 + 50),
        "a set-up {:?} after the drain was in force",
        last - in_force_at
    );
    let before = site.exchanges[0].set_ups();
    let answer = operator.request("u1", undrain("exchange:1")).unwrap();
    assert!(matches!(answer, Body::Done { order: 2, .. }), "{answer:?}");
    wait_until("the exchange gets set-ups again", || (site.exchanges[0].set_ups() > before).then_some(()));
    let report = callers.finish();
    assert_all_answered(&report);
    assert!(report.late == 0 && report.refused > 0, "{report}");
    let texts: Vec<String> =
        events(&mut operator).into_iter().filter(|e| e.kind == "drain").map(|e| e.text).collect();
    let steps = ["shedding", "emptying", "empty", "restored"];
    assert!(steps.iter().zip(&texts).all(|(step, text)| text.contains(step)), "{texts:?}");
}

/// An operator that repeats a request after a lost answer must not change the drain twice. A drain and an undrain at
/// the same time must be put in one order, and each operator must get an answer.
#[test]
fn a_repeated_request_acts_once_and_conflicting_requests_are_both_answered() {
    let site = Site::new(2, Duration::from_secs(1), "");
    let (_program, _) = site.start_and_wait();
    let answers: Vec<Body> =
        (0..3).map(|_| site.operator().request("same", drain("exchange:1")).unwrap()).collect();
    assert!(answers.windows(2).all(|w| w[0] == w[1]), "{answers:?}");
    assert_eq!(drains(&mut site.operator()).len(), 1);
    // Two operators send conflicting requests at the same time, ten times over.
    let mut last_order = 1;
    for round in 0..10 {
        let (a, b) = (site.operator(), site.operator());
        let send = |mut operator: Connection, operation: Operation| {
            std::thread::spawn(move || operator.request(&format!("r{round}-{operation:?}"), operation))
        };
        let (undrained, drained) = (send(a, undrain("exchange:1")), send(b, drain("exchange:1")));
        let answers = [undrained.join().unwrap(), drained.join().unwrap()];
        let mut orders: Vec<u64> = Vec::new();
        for answer in answers {
            match answer {
                Ok(Body::Done { order, .. }) => orders.push(order),
                Err(ClientError::Rejected(reason)) => {
                    assert!(reason.contains("drained") || reason.contains("came after"), "{reason}")
                }
                other => panic!("{other:?}"),
            }
        }
        orders.sort_unstable();
        assert!(
            !orders.is_empty() && orders[0] > last_order && orders.windows(2).all(|w| w[0] < w[1]),
            "{orders:?}"
        );
        last_order = orders[orders.len() - 1];
        // Drain the exchange again for the next round if the undrain came last.
        let mut operator = site.operator();
        if drain_state(&mut operator, "exchange:1") == "none" {
            let Body::Done { order, .. } =
                operator.request(&format!("again{round}"), drain("exchange:1")).unwrap()
            else {
                panic!()
            };
            last_order = order;
        }
    }
}

/// Killed and restarted, the program must have every drain and undrain that it answered, and must not act again on a
/// request whose identifier it has already answered.
#[test]
fn a_kill_at_any_stage_of_a_drain_loses_no_answered_request() {
    let site = Site::new(2, Duration::from_millis(400), "");
    let kill = |mut program: Program| {
        program.child.kill().unwrap();
        program.child.wait().unwrap();
    };
    // Killed right after the answer; the same request after the restart must have no further effect.
    let (program, _) = site.start_and_wait();
    let first = site.operator().request("k1", drain("exchange:1")).unwrap();
    kill(program);
    let (program, _) = site.start_and_wait();
    let mut operator = site.operator();
    assert_eq!(drains(&mut operator).len(), 1);
    assert_eq!(operator.request("k1", drain("exchange:1")).unwrap(), first);
    assert!(site.exchanges[0].set_ups() == 0 && drains(&mut operator).len() == 1);
    // Killed when the exchange is empty. After the restart the drain must be there at once, although its state is
    // determined anew over time.
    for stage in ["shedding", "emptying", "empty"] {
        wait_until(stage, || {
            let current = drain_state(&mut operator, "exchange:1");
            (current == stage || current == "empty").then_some(())
        });
    }
    kill(program);
    let (program, _) = site.start_and_wait();
    let mut operator = site.operator();
    assert_eq!(drains(&mut operator)[0].order, 1);
    // Killed right after an answered undrain; the exchange must stay restored.
    operator.request("k2", undrain("exchange:1")).unwrap();
    kill(program);
    let (program, _) = site.start_and_wait();
    let mut operator = site.operator();
    assert!(drains(&mut operator).is_empty());
    // Killed before the answer: whether or not the drain was saved, the drain that is shown must be the one in force,
    // and repeating the request must leave exactly one.
    operator.send("k3", drain("exchange:2")).unwrap();
    kill(program);
    let (_program, callers_address) = site.start_and_wait();
    let mut operator = site.operator();
    let saved = drain_state(&mut operator, "exchange:2") != "none";
    operator.request("k3", drain("exchange:2")).unwrap();
    assert_eq!(drains(&mut operator).len(), 1, "drained before the repeated request: {saved}");
    let report = Callers::start(callers_address, load(50.0, 1, &[2])).unwrap().finish();
    assert_all_answered(&report);
    assert!(report.refused > 0, "{report}");
}

/// A reload, with valid or faulty rules, must not end a drain; a stop must not lose calls or leave the socket behind.
#[test]
fn signals_during_a_drain_neither_end_it_nor_lose_a_call() {
    let site = Site::new(2, Duration::from_millis(500), "");
    let (mut program, callers_address) = site.start_and_wait();
    let callers = Callers::start(callers_address, load(60.0, 3, &[1, 2])).unwrap();
    let mut operator = site.operator();
    operator.request("d", drain("exchange:1")).unwrap();
    // A reload with new rules keeps the drain; a reload with a fault keeps the rules too.
    let valid = fs::read_to_string(&site.config_file).unwrap();
    fs::write(&site.config_file, format!("{valid}[drains]\nreason_needed = true\n")).unwrap();
    program.signal("HUP");
    program.wait_for_log("configuration read anew");
    assert_ne!(drain_state(&mut operator, "exchange:1"), "none");
    let without_reason = Operation::Drain {
        target: "group:2".into(),
        reason: String::new(),
        limit_s: None,
        at_limit: AtLimit::Keep,
        force: true,
    };
    assert!(operator.request("n", without_reason).unwrap_err().to_string().contains("reason: missing"));
    fs::write(&site.config_file, valid.replace("aim_ms = 1200", "aim_ms = 0")).unwrap();
    program.signal("HUP");
    assert!(program.wait_for_log("warning: configuration kept: ").contains("fault"));
    wait_until("the exchange is empty", || {
        (drain_state(&mut operator, "exchange:1") == "empty").then_some(())
    });
    let report = callers.finish();
    assert_all_answered(&report);
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    assert!(!site.socket().exists(), "the socket is removed at exit");
}

/// The calls of an exchange that dies are cut. A drain that waits for their release would never complete.
#[test]
fn a_draining_exchange_that_dies_counts_as_empty() {
    let mut site = Site::new(2, Duration::from_secs(30), "");
    let (_program, callers_address) = site.start_and_wait();
    let callers = Callers::start(callers_address, load(40.0, 1, &[1])).unwrap();
    wait_until("calls are established at the exchange", || (callers.established_calls() > 20).then_some(()));
    let report = callers.report();
    assert_eq!(report.failed, 0);
    let mut operator = site.operator();
    operator.request("d", drain("exchange:1")).unwrap();
    wait_until("the exchange is emptying", || {
        (drain_state(&mut operator, "exchange:1") == "emptying").then_some(())
    });
    drop(site.exchanges.remove(0));
    wait_until("the exchange is empty", || {
        (drain_state(&mut operator, "exchange:1") == "empty").then_some(())
    });
}

/// Long calls must not keep a drain from completing when the operator has set a limit. The cut must reach the callers,
/// and a drained controller must refuse calls until it is restored.
#[test]
fn a_drain_cuts_the_remaining_calls_at_its_limit_for_an_exchange_and_the_controller() {
    let site = Site::new(2, Duration::from_secs(60), "[drains]\nown_grace_ms = 300\n");
    let (_program, callers_address) = site.start_and_wait();
    let callers = Callers::start(callers_address, load(50.0, 1, &[1, 2])).unwrap();
    wait_until("all calls are established", || (callers.established_calls() == 50).then_some(()));
    let mut operator = site.operator();
    let cut = |target: &str| Operation::Drain {
        target: target.into(),
        reason: String::new(),
        limit_s: Some(1),
        at_limit: AtLimit::Cut,
        force: false,
    };
    operator.request("a", cut("exchange:1")).unwrap();
    wait_until("the exchange is empty", || {
        (drain_state(&mut operator, "exchange:1") == "empty").then_some(())
    });
    wait_until("the callers have received the releases", || {
        (callers.established_calls() == 25).then_some(())
    });
    operator.request("b", cut("controller")).unwrap();
    wait_until("the controller is drained", || (status(&mut operator).state == "drained").then_some(()));
    let refused = Callers::start(callers_address, load(50.0, 1, &[2])).unwrap().finish();
    assert_all_answered(&refused);
    assert_eq!(refused.refused, refused.offered);
    operator.request("c", undrain("controller")).unwrap();
    assert_eq!(status(&mut operator).state, "serving");
    assert_all_answered(&callers.finish());
}

/// A drain that leaves an exchange without a route or exceeds the rules must be denied unless forced, and an invalid
/// request must be rejected; both with a reason for the operator and an entry in the audit log.
#[test]
fn invalid_or_harmful_requests_are_denied_with_the_reason() {
    let extra = "[[group]]\nfrom = 1\nto = 2\n[[group]]\nfrom = 2\nto = 3\n[drains]\nmost_at_once = 2\n";
    let site = Site::new(3, Duration::from_secs(1), extra);
    let (_program, _) = site.start_and_wait();
    let mut operator = site.operator();
    // With the group to exchange 3 drained, the only route to it is through exchange 2.
    operator.request("g", drain("group:3")).unwrap();
    let denied = operator.request("x", drain("exchange:2")).unwrap_err().to_string();
    assert!(denied.contains("no way would be left to exchange:3"), "{denied}");
    let Body::Cost(cost) = operator.request("c", Operation::Cost { target: "exchange:2".into() }).unwrap()
    else {
        panic!()
    };
    assert_eq!((cost.no_way.as_slice(), cost.denied.is_some()), (&[3][..], true));
    operator.request("y", drain("exchange:1")).unwrap();
    let denied = operator.request("z", drain("group:2")).unwrap_err().to_string();
    assert!(denied.contains("2 drained at once already") && denied.contains("force overrides"), "{denied}");
    for (operation, expected) in [
        (drain("exchange:9"), "not on the list"),
        (drain("exchange:0"), "own exchange"),
        (drain("exchange:x"), "expected exchange:NUMBER"),
        (undrain("exchange:2"), "not drained"),
        (Operation::Seen { alarm: "nothing".into() }, "not raised"),
        (Operation::Log { filter: Some("a=b=c".into()) }, "expected a filter, for example info"),
    ] {
        let denied = operator.request(&format!("{operation:?}"), operation).unwrap_err().to_string();
        assert!(denied.contains(expected), "{expected}: {denied}");
    }
    let Body::Audit { audit } = operator.request("a", Operation::Audit).unwrap() else { panic!() };
    assert!(audit.len() >= 6 && audit.iter().all(|entry| entry.who == "awa"), "{audit:?}");
}

/// Asserts that the program serves calls and drains although its state folder is unusable, and that it reports the
/// fault as `expected`.
fn assert_serves_without_state(site: &Site, expected: &str) {
    let (program, callers_address) = site.start_and_wait();
    let mut operator = site.operator();
    let Body::Done { text, .. } = operator.request("d", drain("exchange:1")).unwrap() else { panic!() };
    assert!(text.contains("not saved"), "{text}");
    wait_until("the drain is in force", || {
        (drain_state(&mut operator, "exchange:1") == "empty").then_some(())
    });
    assert_eq!(status(&mut operator).state_folder, "unsaved");
    assert!(
        events(&mut operator).iter().any(|e| e.kind == "state" && e.text.contains(expected)),
        "{:?}",
        events(&mut operator)
    );
    wait_until("the alarm is raised", || {
        status(&mut operator).worst.contains("would not survive").then_some(())
    });
    let report = Callers::start(callers_address, load(50.0, 1, &[2])).unwrap().finish();
    assert_all_answered(&report);
    assert_eq!(report.established, report.offered, "{report}");
    drop(program);
}

/// The disk is full, the folder cannot be created, or a newer program wrote the state. The program must serve calls,
/// tell the operators that drains are not saved, and not overwrite the newer state.
#[test]
fn an_unusable_state_folder_is_reported_and_the_program_serves() {
    let full = Site::new(2, Duration::from_millis(300), "");
    fs::create_dir_all(full.folder.join("state")).unwrap();
    std::os::unix::fs::symlink("/dev/full", full.folder.join("state/drains.new")).unwrap();
    assert_serves_without_state(&full, "No space left");
    let not_a_folder = Site::new(2, Duration::from_millis(300), "");
    fs::write(not_a_folder.folder.join("state"), "a file").unwrap();
    assert_serves_without_state(&not_a_folder, "state");
    let newer = Site::new(2, Duration::from_millis(300), "");
    fs::create_dir_all(newer.folder.join("state")).unwrap();
    let text = "walnuthatch-drains 99 generation=1 length=0 blake3=x\n";
    fs::write(newer.folder.join("state/drains.state"), text).unwrap();
    assert_serves_without_state(&newer, "newer program");
    assert_eq!(fs::read_to_string(newer.folder.join("state/drains.state")).unwrap(), text);
}

/// Reads until the program closes the connection.
fn read_to_close(stream: &mut UnixStream) -> String {
    let mut received = String::new();
    drop(stream.read_to_string(&mut received));
    received
}

/// Idle connections, garbage, a line without end and a flood of requests must delay no call and not lock out an
/// operator.
#[test]
fn misbehaving_control_clients_affect_neither_calls_nor_operators() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, callers_address) = site.start_and_wait();
    let callers = Callers::start(callers_address, load(100.0, 3, &[1, 2])).unwrap();
    let connect = || UnixStream::connect(site.socket()).unwrap();
    let idle: Vec<UnixStream> = (0..30).map(|_| connect()).collect();
    let mut garbage = connect();
    garbage.write_all(b"\x00\xff{]\n").unwrap();
    garbage.write_all(&b"what\n".repeat(20)).unwrap();
    assert!(read_to_close(&mut garbage).contains("not a JSON object"));
    let mut overlong_line = connect();
    let line_flood = std::thread::spawn(move || {
        let chunk = [b'x'; 65536];
        while overlong_line.write_all(&chunk).is_ok() {}
        read_to_close(&mut overlong_line)
    });
    let mut flooding = connect();
    let request = json!({"v": 1, "id": "b", "do": "show", "topic": "counters"}).to_string() + "\n";
    let request_flood = std::thread::spawn(move || {
        // Thousands of requests whose answers are never read.
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end && flooding.write_all(request.repeat(50).as_bytes()).is_ok() {}
    });
    let mut operator = wait_until("an operator's request is answered", || {
        let mut operator = Connection::open(&site.socket(), "awa").ok()?;
        operator.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        operator
            .request("s", Operation::Show { topic: Topic::Status, search: String::new() })
            .is_ok()
            .then_some(operator)
    });
    operator.request("d", drain("exchange:1")).unwrap();
    let report = callers.finish();
    assert_all_answered(&report);
    assert_eq!(report.late, 0, "{report}");
    drop(idle);
    line_flood.join().unwrap();
    request_flood.join().unwrap();
}

/// Two controllers on one socket would split the operators between them without their notice.
#[test]
fn a_second_controller_on_the_same_socket_does_not_start() {
    let site = Site::new(1, Duration::from_millis(300), "");
    let (_program, _) = site.start_and_wait();
    let mut second = site.start();
    assert!(!second.wait_for_exit().success());
    assert!(second.wait_for_log("control.socket: ").contains("another controller serves this socket"));
    assert!(Path::new(&site.socket()).exists());
}

/// Scripts depend on both: every view as JSON must be valid by the printed schema, and each outcome must have its own
/// exit status.
#[test]
fn the_command_line_prints_json_that_matches_its_schema_and_exits_with_the_documented_status() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, _) = site.start_and_wait();
    let socket = site.socket().display().to_string();
    let ctl_at = |socket: &str, arguments: &[&str]| {
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_walnuthatch"))
            .arg("ctl")
            .args(["--socket", socket])
            .args(arguments)
            .output()
            .unwrap();
        (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
    };
    let ctl = |arguments: &[&str]| ctl_at(&socket, arguments);
    let (_, text) = ctl(&["schema"]);
    let schema: serde_json::Value = serde_json::from_str(&text).unwrap();
    let frames = jsonschema::validator_for(&schema["frame"]).unwrap();
    for view in [
        "status",
        "exchanges",
        "calls",
        "service",
        "counters",
        "drains",
        "alarms",
        "audit",
        "events",
        "config",
        "peers",
        "suspicions",
    ] {
        let (code, text) = ctl(&["--json", view]);
        let mut body: serde_json::Value = serde_json::from_str(&text).unwrap();
        body["v"] = json!(1);
        body["reply"] = json!("x");
        body["ok"] = json!(true);
        assert!(code == 0 && frames.is_valid(&body), "{view}: {text}");
        assert_eq!(ctl(&[view]).0, 0, "{view}");
    }
    assert_eq!(ctl(&["drain", "exchange:1", "--wait"]).0, 0);
    assert_eq!(ctl(&["drain", "exchange:2"]).0, 4);
    assert_eq!(ctl(&["drain", "exchange:2", "--dry-run"]).0, 4);
    assert_eq!(ctl(&["drain", "nothing"]).0, 2);
    assert_eq!(ctl_at("/nowhere", &["status"]).0, 3);
    assert_eq!(ctl(&["undrain", "exchange:1"]).0, 0);
}

/// The demonstration must run to its end without a terminal and count every call that it offered.
#[test]
fn the_demonstration_prints_its_result_table() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_walnuthatch"))
        .args(["demo", "--headless", "--seconds", "2", "--rate", "50"])
        .output()
        .unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{text}");
    for column in ["offered", "stood", "refused", "failed", "late", "p99"] {
        assert!(text.contains(column), "{text}");
    }
    let offered = text.lines().nth(1).and_then(|l| l.split_whitespace().next()).unwrap();
    assert_eq!(offered, "100");
}

/// A round that moves on by itself, or a second one beside it, could take several exchanges out of service at once.
#[test]
fn a_round_drains_one_target_at_a_time_on_the_operators_command() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, _) = site.start_and_wait();
    let mut operator = site.operator();
    let targets = vec!["exchange:1".to_owned(), "exchange:2".to_owned()];
    let round = Operation::Round { targets, reason: "update".into(), pause_s: None };
    operator.request("r", round.clone()).unwrap();
    let stage = |operator: &mut Connection| {
        let Body::Drains { round, .. } = show(operator, Topic::Drains) else { panic!() };
        round.unwrap().stage
    };
    wait_until("the first exchange is empty", || (stage(&mut operator) == "working").then_some(()));
    assert!(operator.request("r2", round).unwrap_err().to_string().contains("under way"));
    operator.request("n", Operation::Next).unwrap();
    assert_eq!((stage(&mut operator).as_str(), drains(&mut operator).len()), ("settling", 0));
    operator.request("h", Operation::Halt).unwrap();
    assert_eq!(stage(&mut operator), "halted");
}

/// Guards against review case 1 in the cost of a drain: a gateway is no tandem, so a drained group has no other route.
#[test]
fn the_cost_of_a_drain_does_not_count_a_gateway_as_another_route() {
    let site = Site::new(1, Duration::from_millis(300), "");
    let gateway = temp_file(
        "mgcp.toml",
        "enabled = true\nlisten = \"127.0.0.1:0\"\nclass = \"status-report\"\n[[gateway]]\nname = \"cab\"\n\
         address = \"127.0.0.1:9\"\nexchange = 101\nendpoints = [\"lamp/1\", \"lamp/2\"]\n",
    );
    let program = Program::start(&[("--appliance", &site.config_file), ("--mgcp", &gateway)], &[]);
    let (_program, _) = site.wait_until_started(program);
    let mut operator = site.operator();
    let cost = Operation::Cost { target: "group:1".to_owned() };
    let Body::Cost(cost) = operator.request("c", cost).unwrap() else { panic!() };
    assert_eq!(cost.no_way, [1]);
}
