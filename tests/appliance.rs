//! The appliance as a process: stand-in exchanges and callers round it, operators on its control socket, and all that
//! can go wrong while a drain is under way.

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
use walnuthatch_standin::{Callers, Exchange, Load, Table, Traits};

/// A site: exchanges, a folder, and the appliance's file for it.
struct Site {
    folder: PathBuf,
    exchanges: Vec<Exchange>,
    file: PathBuf,
}

static SITES: AtomicU32 = AtomicU32::new(0);

impl Site {
    fn new(exchanges: u16, hold: Duration, more: &str) -> Site {
        // Short, since the path of a socket may have no more than 100 bytes.
        let n = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("wha-{}-{n}", std::process::id()));
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).unwrap();
        let traits = |n| Traits { circuits: 400, delay: Duration::from_millis(5), hold, seed: n };
        let exchanges: Vec<Exchange> =
            (1..=exchanges).map(|n| Exchange::start(None, traits(n.into())).unwrap()).collect();
        let place = |name: &str| folder.join(name).display().to_string();
        let mut text = format!(
            "enabled = true\n[control]\nsocket = {:?}\n[state]\nfolder = {:?}\n[site]\nname = \"t\"\n\
             listen = \"127.0.0.1:0\"\nown_exchange = 0\n[[class]]\nname = \"status-report\"\naim_ms = 1200\n\
             give_up_ms = 9000\n",
            place("s"),
            place("state")
        );
        for (n, e) in (1..).zip(&exchanges) {
            text +=
                &format!("[[exchange]]\nname = \"x{n}\"\nexchange = {n}\naddress = \"{}\"\n", e.address());
        }
        let file = temp_file("appliance.toml", &(text + more));
        Site { folder, exchanges, file }
    }

    fn start(&self) -> Program {
        Program::start(&[("--appliance", &self.file)], &[])
    }

    /// Starts the program, and waits until each exchange was heard of.
    fn up(&self) -> (Program, SocketAddr) {
        let program = self.start();
        let callers = program.listen_address("callers");
        program.wait_for_log("control socket at ");
        let mut c = self.operator();
        wait_until("it serves", || (status(&mut c).state != "starting").then_some(()));
        wait_until("all lines are up", || {
            let Body::Exchanges { exchanges } = show(&mut c, Topic::Exchanges) else { panic!() };
            exchanges.iter().all(|e| e.connected && e.free.is_some()).then_some(())
        });
        (program, callers)
    }

    fn socket(&self) -> PathBuf {
        self.folder.join("s")
    }

    fn operator(&self) -> Connection {
        let c = Connection::open(&self.socket(), "awa").unwrap();
        c.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
        c
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
        span: Duration::from_secs(seconds),
        destinations: destinations.to_vec(),
        class: "status-report".into(),
        patience: Duration::from_secs(3),
        aim: Duration::from_millis(1200),
        connections: 4,
        seed: 5,
    }
}

fn show(c: &mut Connection, topic: Topic) -> Body {
    c.request("show", Operation::Show { topic, search: String::new() }).unwrap()
}

fn status(c: &mut Connection) -> Status {
    let Body::Status(s) = show(c, Topic::Status) else { panic!() };
    s
}

fn drains(c: &mut Connection) -> Vec<Drain> {
    let Body::Drains { drains, .. } = show(c, Topic::Drains) else { panic!() };
    drains
}

fn events(c: &mut Connection) -> Vec<Event> {
    let Body::Events { events } = show(c, Topic::Events) else { panic!() };
    events
}

fn state(c: &mut Connection, target: &str) -> String {
    drains(c).iter().find(|d| d.target == target).map_or("none".into(), |d| d.state.clone())
}

fn drain(target: &str) -> Operation {
    let target = target.to_owned();
    Operation::Drain { target, reason: "t".into(), limit_s: None, at_limit: AtLimit::Keep, force: false }
}

fn undrain(target: &str) -> Operation {
    Operation::Undrain { target: target.to_owned() }
}

/// Each call has its one answer, in time.
fn all_answered(t: &Table) {
    assert!(t.unanswered == 0 && t.doubled == 0 && t.failed == 0, "{t}");
}

fn memory_kb(p: &Program) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/status", p.child.id())).unwrap();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_frozen_console_makes_no_call_late_and_takes_no_memory() {
    let site = Site::new(3, Duration::from_millis(500), "");
    let (program, at) = site.up();
    // Programs that ask for everything ten times a second, and read nothing.
    let frozen: Vec<Connection> = (0..4)
        .map(|n| {
            let mut c = site.operator();
            let watch = Operation::Watch { topics: TOPICS.to_vec(), every_ms: 100, search: String::new() };
            c.send(&format!("w{n}"), watch).unwrap();
            c
        })
        .collect();
    let callers = Callers::start(at, load(100.0, 10, &[1, 2, 3])).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    let before = memory_kb(&program);
    let table = callers.finish();
    all_answered(&table);
    assert!(table.late == 0 && table.stood == 1000, "{table}");
    let after = memory_kb(&program);
    assert!(after < before + 4096, "{before} KB, then {after} KB");
    drop(frozen);
}

#[test]
fn a_drain_outlives_the_session_that_asked_and_nothing_new_goes_there() {
    let site = Site::new(3, Duration::from_secs(2), "");
    let (_program, at) = site.up();
    let callers = Callers::start(at, load(60.0, 5, &[1, 2, 3])).unwrap();
    wait_until("calls stand at exchange 1", || (site.exchanges[0].busy() > 5).then_some(()));
    // The order, and a half of another one; then the session is gone.
    let mut raw = UnixStream::connect(site.socket()).unwrap();
    let order = json!({"v": 1, "id": "o1", "who": "awa", "do": "drain", "target": "exchange:1"});
    raw.write_all(format!("{order}\n{{\"v\":1,\"id\":\"o2\",\"do\":\"undr").as_bytes()).unwrap();
    let mut c = site.operator();
    wait_until("the drain is in force", || (state(&mut c, "exchange:1") != "none").then_some(()));
    drop(raw);
    let told = Instant::now();
    assert!(["asked", "shedding", "emptying"].contains(&state(&mut c, "exchange:1").as_str()));
    // The next session sees it through.
    wait_until("it is empty", || (state(&mut c, "exchange:1") == "empty").then_some(()));
    let last = site.exchanges[0].last_set_up().unwrap();
    assert!(last <= told + Duration::from_millis(250 + 50), "{:?} after the drain was in force", last - told);
    let before = site.exchanges[0].set_ups();
    let answer = c.request("u1", undrain("exchange:1")).unwrap();
    assert!(matches!(answer, Body::Done { order: 2, .. }), "{answer:?}");
    wait_until("it is used again", || (site.exchanges[0].set_ups() > before).then_some(()));
    let table = callers.finish();
    all_answered(&table);
    assert!(table.late == 0 && table.refused > 0, "{table}");
    let kinds: Vec<String> =
        events(&mut c).into_iter().filter(|e| e.kind == "drain").map(|e| e.text).collect();
    let steps = ["shedding", "emptying", "empty", "restored"];
    assert!(steps.iter().zip(&kinds).all(|(s, k)| k.contains(s)), "{kinds:?}");
}

#[test]
fn one_order_for_a_repeated_request_and_for_two_contrary_ones_both_are_told() {
    let site = Site::new(2, Duration::from_secs(1), "");
    let (_program, _) = site.up();
    let answers: Vec<Body> =
        (0..3).map(|_| site.operator().request("same", drain("exchange:1")).unwrap()).collect();
    assert!(answers.windows(2).all(|w| w[0] == w[1]), "{answers:?}");
    assert_eq!(drains(&mut site.operator()).len(), 1);
    // Two operators at the same instant, again and again; each is answered, and one order comes after the other.
    let mut last = 1;
    for round in 0..10 {
        let (a, b) = (site.operator(), site.operator());
        let give = |mut c: Connection, ask: Operation| {
            std::thread::spawn(move || c.request(&format!("r{round}-{ask:?}"), ask))
        };
        let (undone, done) = (give(a, undrain("exchange:1")), give(b, drain("exchange:1")));
        let answers = [undone.join().unwrap(), done.join().unwrap()];
        let mut orders: Vec<u64> = Vec::new();
        for answer in answers {
            match answer {
                Ok(Body::Done { order, .. }) => orders.push(order),
                Err(ClientError::Rejected(why)) => {
                    assert!(why.contains("drained") || why.contains("came after"), "{why}")
                }
                other => panic!("{other:?}"),
            }
        }
        orders.sort_unstable();
        assert!(
            !orders.is_empty() && orders[0] > last && orders.windows(2).all(|w| w[0] < w[1]),
            "{orders:?}"
        );
        last = orders[orders.len() - 1];
        // One of the two holds, whichever came last; for the next round it is drained.
        let mut c = site.operator();
        if state(&mut c, "exchange:1") == "none" {
            let Body::Done { order, .. } = c.request(&format!("again{round}"), drain("exchange:1")).unwrap()
            else {
                panic!()
            };
            last = order;
        }
    }
}

#[test]
fn a_kill_at_any_step_of_a_drain_leaves_it_as_it_was_answered() {
    let site = Site::new(2, Duration::from_millis(400), "");
    let kill = |mut p: Program| {
        p.child.kill().unwrap();
        p.child.wait().unwrap();
    };
    // Asked and answered; at once killed. The same request after the restart acts no more.
    let (p, _) = site.up();
    let first = site.operator().request("k1", drain("exchange:1")).unwrap();
    kill(p);
    let (p, _) = site.up();
    let mut c = site.operator();
    assert_eq!(drains(&mut c).len(), 1);
    assert_eq!(c.request("k1", drain("exchange:1")).unwrap(), first);
    assert!(site.exchanges[0].set_ups() == 0 && drains(&mut c).len() == 1);
    // While it empties, and when it is empty: the state comes with time, the drain is there at once.
    for want in ["shedding", "emptying", "empty"] {
        wait_until(want, || {
            let now = state(&mut c, "exchange:1");
            (now == want || now == "empty").then_some(())
        });
    }
    kill(p);
    let (p, _) = site.up();
    let mut c = site.operator();
    assert_eq!(drains(&mut c)[0].order, 1);
    // Restored, and answered: it stays so.
    c.request("k2", undrain("exchange:1")).unwrap();
    kill(p);
    let (p, _) = site.up();
    let mut c = site.operator();
    assert!(drains(&mut c).is_empty());
    // Killed before the answer: whatever was saved, what is shown and what is in force are one.
    c.send("k3", drain("exchange:2")).unwrap();
    kill(p);
    let (_p, at) = site.up();
    let mut c = site.operator();
    let there = state(&mut c, "exchange:2") != "none";
    c.request("k3", drain("exchange:2")).unwrap();
    assert_eq!(drains(&mut c).len(), 1, "there before the repeat: {there}");
    let table = Callers::start(at, load(50.0, 1, &[2])).unwrap().finish();
    all_answered(&table);
    assert!(table.refused > 0, "{table}");
}

#[test]
fn signals_during_a_drain_neither_end_it_nor_lose_a_call() {
    let site = Site::new(2, Duration::from_millis(500), "");
    let (mut program, at) = site.up();
    let callers = Callers::start(at, load(60.0, 3, &[1, 2])).unwrap();
    let mut c = site.operator();
    c.request("d", drain("exchange:1")).unwrap();
    // A reload with other rules keeps the drain, and one with a fault keeps the rules.
    let good = fs::read_to_string(&site.file).unwrap();
    fs::write(&site.file, format!("{good}[drains]\nreason_needed = true\n")).unwrap();
    program.signal("HUP");
    program.wait_for_log("configuration read anew");
    assert_ne!(state(&mut c, "exchange:1"), "none");
    let bare = Operation::Drain {
        target: "group:2".into(),
        reason: String::new(),
        limit_s: None,
        at_limit: AtLimit::Keep,
        force: true,
    };
    assert!(c.request("n", bare).unwrap_err().to_string().contains("reason: missing"));
    fs::write(&site.file, good.replace("aim_ms = 1200", "aim_ms = 0")).unwrap();
    program.signal("HUP");
    assert!(program.wait_for_log("warning: configuration kept: ").contains("fault"));
    wait_until("it is empty", || (state(&mut c, "exchange:1") == "empty").then_some(()));
    let table = callers.finish();
    all_answered(&table);
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    assert!(!site.socket().exists(), "the socket is gone with the program");
}

#[test]
fn a_drained_exchange_that_dies_is_empty_and_the_drain_goes_on() {
    let mut site = Site::new(2, Duration::from_secs(30), "");
    let (_program, at) = site.up();
    let callers = Callers::start(at, load(40.0, 1, &[1])).unwrap();
    wait_until("calls stand there", || (callers.standing() > 20).then_some(()));
    let table = callers.so_far();
    assert_eq!(table.failed, 0);
    let mut c = site.operator();
    c.request("d", drain("exchange:1")).unwrap();
    wait_until("it empties", || (state(&mut c, "exchange:1") == "emptying").then_some(()));
    drop(site.exchanges.remove(0));
    wait_until("it is empty", || (state(&mut c, "exchange:1") == "empty").then_some(()));
}

#[test]
fn a_limit_cuts_what_is_left_and_the_controller_itself_can_be_drained() {
    let site = Site::new(2, Duration::from_secs(60), "[drains]\nown_grace_ms = 300\n");
    let (_program, at) = site.up();
    let callers = Callers::start(at, load(50.0, 1, &[1, 2])).unwrap();
    wait_until("calls stand", || (callers.standing() == 50).then_some(()));
    let mut c = site.operator();
    let cut = |target: &str| Operation::Drain {
        target: target.into(),
        reason: String::new(),
        limit_s: Some(1),
        at_limit: AtLimit::Cut,
        force: false,
    };
    c.request("a", cut("exchange:1")).unwrap();
    wait_until("it is empty", || (state(&mut c, "exchange:1") == "empty").then_some(()));
    wait_until("the callers heard it", || (callers.standing() == 25).then_some(()));
    c.request("b", cut("controller")).unwrap();
    wait_until("it is drained", || (status(&mut c).state == "drained").then_some(()));
    let refused = Callers::start(at, load(50.0, 1, &[2])).unwrap().finish();
    all_answered(&refused);
    assert_eq!(refused.refused, refused.offered);
    c.request("c", undrain("controller")).unwrap();
    assert_eq!(status(&mut c).state, "serving");
    all_answered(&callers.finish());
}

#[test]
fn what_leaves_no_way_or_is_too_much_is_turned_down_with_the_reason() {
    let more = "[[group]]\nfrom = 1\nto = 2\n[[group]]\nfrom = 2\nto = 3\n[drains]\nmost_at_once = 2\n";
    let site = Site::new(3, Duration::from_secs(1), more);
    let (_program, _) = site.up();
    let mut c = site.operator();
    // The group to 3 goes: from now on the only way to 3 is over 2.
    c.request("g", drain("group:3")).unwrap();
    let denied = c.request("x", drain("exchange:2")).unwrap_err().to_string();
    assert!(denied.contains("no way would be left to exchange:3"), "{denied}");
    let Body::Cost(cost) = c.request("c", Operation::Cost { target: "exchange:2".into() }).unwrap() else {
        panic!()
    };
    assert_eq!((cost.no_way.as_slice(), cost.denied.is_some()), (&[3][..], true));
    c.request("y", drain("exchange:1")).unwrap();
    let denied = c.request("z", drain("group:2")).unwrap_err().to_string();
    assert!(denied.contains("2 drained at once already") && denied.contains("force overrides"), "{denied}");
    for (ask, want) in [
        (drain("exchange:9"), "not on the list"),
        (drain("exchange:0"), "own exchange"),
        (drain("exchange:x"), "expected exchange:NUMBER"),
        (undrain("exchange:2"), "not drained"),
        (Operation::Seen { alarm: "nothing".into() }, "not raised"),
        (Operation::Log { filter: Some("a=b=c".into()) }, "expected one as info"),
    ] {
        let got = c.request(&format!("{ask:?}"), ask).unwrap_err().to_string();
        assert!(got.contains(want), "{want}: {got}");
    }
    let Body::Audit { audit } = c.request("a", Operation::Audit).unwrap() else { panic!() };
    assert!(audit.len() >= 6 && audit.iter().all(|a| a.who == "awa"), "{audit:?}");
}

/// A folder that can't be used: the program serves, and says so.
fn serves_with(site: &Site, said: &str) {
    let (program, at) = site.up();
    let mut c = site.operator();
    let Body::Done { text, .. } = c.request("d", drain("exchange:1")).unwrap() else { panic!() };
    assert!(text.contains("not saved"), "{text}");
    wait_until("the drain is in force", || (state(&mut c, "exchange:1") == "empty").then_some(()));
    assert_eq!(status(&mut c).state_folder, "unsaved");
    assert!(
        events(&mut c).iter().any(|e| e.kind == "state" && e.text.contains(said)),
        "{:?}",
        events(&mut c)
    );
    wait_until("the alarm is raised", || status(&mut c).worst.contains("would not survive").then_some(()));
    let table = Callers::start(at, load(50.0, 1, &[2])).unwrap().finish();
    all_answered(&table);
    assert_eq!(table.stood, table.offered, "{table}");
    drop(program);
}

#[test]
fn a_full_missing_or_newer_state_folder_is_said_and_the_program_serves() {
    let full = Site::new(2, Duration::from_millis(300), "");
    fs::create_dir_all(full.folder.join("state")).unwrap();
    std::os::unix::fs::symlink("/dev/full", full.folder.join("state/drains.new")).unwrap();
    serves_with(&full, "No space left");
    let in_the_way = Site::new(2, Duration::from_millis(300), "");
    fs::write(in_the_way.folder.join("state"), "a file").unwrap();
    serves_with(&in_the_way, "state");
    let newer = Site::new(2, Duration::from_millis(300), "");
    fs::create_dir_all(newer.folder.join("state")).unwrap();
    let text = "walnuthatch-drains 99 generation=1 length=0 blake3=x\n";
    fs::write(newer.folder.join("state/drains.state"), text).unwrap();
    serves_with(&newer, "newer program");
    assert_eq!(fs::read_to_string(newer.folder.join("state/drains.state")).unwrap(), text);
}

fn rest(stream: &mut UnixStream) -> String {
    let mut all = String::new();
    drop(stream.read_to_string(&mut all));
    all
}

#[test]
fn garbage_floods_and_silence_on_the_control_socket_harm_nobody() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, at) = site.up();
    let callers = Callers::start(at, load(100.0, 3, &[1, 2])).unwrap();
    let connect = || UnixStream::connect(site.socket()).unwrap();
    let silent: Vec<UnixStream> = (0..30).map(|_| connect()).collect();
    let mut garbage = connect();
    garbage.write_all(b"\x00\xff{]\n").unwrap();
    garbage.write_all(&b"what\n".repeat(20)).unwrap();
    assert!(rest(&mut garbage).contains("not a JSON object"));
    let mut endless = connect();
    let flood = std::thread::spawn(move || {
        let chunk = [b'x'; 65536];
        while endless.write_all(&chunk).is_ok() {}
        rest(&mut endless)
    });
    let mut busy = connect();
    let asks = json!({"v": 1, "id": "b", "do": "show", "topic": "counters"}).to_string() + "\n";
    let hurry = std::thread::spawn(move || {
        // Thousands of requests, and no answer is read.
        let end = Instant::now() + Duration::from_secs(2);
        while Instant::now() < end && busy.write_all(asks.repeat(50).as_bytes()).is_ok() {}
    });
    let mut c = wait_until("an operator gets in", || {
        let mut c = Connection::open(&site.socket(), "awa").ok()?;
        c.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        c.request("s", Operation::Show { topic: Topic::Status, search: String::new() }).is_ok().then_some(c)
    });
    c.request("d", drain("exchange:1")).unwrap();
    let table = callers.finish();
    all_answered(&table);
    assert_eq!(table.late, 0, "{table}");
    drop(silent);
    flood.join().unwrap();
    hurry.join().unwrap();
}

#[test]
fn a_second_program_on_the_same_socket_does_not_start() {
    let site = Site::new(1, Duration::from_millis(300), "");
    let (_program, _) = site.up();
    let mut second = site.start();
    assert!(!second.wait_for_exit().success());
    assert!(second.wait_for_log("control.socket: ").contains("another controller serves this socket"));
    assert!(Path::new(&site.socket()).exists());
}

#[test]
fn the_command_line_shows_json_by_its_schema_and_ends_with_the_stated_status() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, _) = site.up();
    let socket = site.socket().display().to_string();
    let at = |socket: &str, words: &[&str]| {
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_walnuthatch"))
            .arg("ctl")
            .args(["--socket", socket])
            .args(words)
            .output()
            .unwrap();
        (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
    };
    let ctl = |words: &[&str]| at(&socket, words);
    let (_, text) = ctl(&["schema"]);
    let schema: serde_json::Value = serde_json::from_str(&text).unwrap();
    let frames = jsonschema::validator_for(&schema["frame"]).unwrap();
    for what in [
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
        let (code, text) = ctl(&["--json", what]);
        let mut body: serde_json::Value = serde_json::from_str(&text).unwrap();
        body["v"] = json!(1);
        body["reply"] = json!("x");
        body["ok"] = json!(true);
        assert!(code == 0 && frames.is_valid(&body), "{what}: {text}");
        assert_eq!(ctl(&[what]).0, 0, "{what}");
    }
    assert_eq!(ctl(&["drain", "exchange:1", "--wait"]).0, 0);
    assert_eq!(ctl(&["drain", "exchange:2"]).0, 4);
    assert_eq!(ctl(&["drain", "exchange:2", "--dry-run"]).0, 4);
    assert_eq!(ctl(&["drain", "nothing"]).0, 2);
    assert_eq!(at("/nowhere", &["status"]).0, 3);
    assert_eq!(ctl(&["undrain", "exchange:1"]).0, 0);
}

#[test]
fn the_demonstration_ends_with_its_table() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_walnuthatch"))
        .args(["demo", "--headless", "--seconds", "2", "--rate", "50"])
        .output()
        .unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{text}");
    for word in ["offered", "stood", "refused", "failed", "late", "p99"] {
        assert!(text.contains(word), "{text}");
    }
    let offered = text.lines().nth(1).and_then(|l| l.split_whitespace().next()).unwrap();
    assert_eq!(offered, "100");
}

#[test]
fn a_round_drains_one_after_the_other_at_the_operators_word() {
    let site = Site::new(2, Duration::from_millis(300), "");
    let (_program, _) = site.up();
    let mut c = site.operator();
    let targets = vec!["exchange:1".to_owned(), "exchange:2".to_owned()];
    let round = Operation::Round { targets, reason: "update".into(), pause_s: None };
    c.request("r", round.clone()).unwrap();
    let stage = |c: &mut Connection| {
        let Body::Drains { round, .. } = show(c, Topic::Drains) else { panic!() };
        round.unwrap().stage
    };
    wait_until("the first one is empty", || (stage(&mut c) == "working").then_some(()));
    assert!(c.request("r2", round).unwrap_err().to_string().contains("under way"));
    c.request("n", Operation::Next).unwrap();
    assert_eq!((stage(&mut c).as_str(), drains(&mut c).len()), ("settling", 0));
    c.request("h", Operation::Halt).unwrap();
    assert_eq!(stage(&mut c), "halted");
}
