//! The platform's front and the links toward exchanges on real loopback sockets: the program as a process,
//! with stand-in callers, exchanges and a coordinator. Times are checked from one side only.

mod common;

use common::json_lines::*;
use common::{config, temp_file, wait_until, Program};
use serde_json::json;
use std::io::{BufRead, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn a_call_stands_with_everything_passed_on_unchanged_and_its_end_is_told() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(7), 1, 3000));
    let got = x[0].receive();
    assert_eq!(
        (&got["msg"], &got["sid"], &got["text"]),
        (&json!("open"), &json!(sid(7)), &json!(SESSION_DESCRIPTION))
    );
    assert_eq!(
        (&got["attrs"]["class"], &got["attrs"]["key"]),
        (&json!("status-report"), &json!("7f3a9c21e0b4d655"))
    );
    assert!(got["attrs"]["left"].as_str().unwrap().parse::<u32>().unwrap() <= 3000);
    x[0].send(json!({"msg": "trying", "sid": sid(7), "attrs": {}}));
    x[0].send(json!({"msg": "ready", "sid": sid(7), "attrs": {}, "text": SESSION_DESCRIPTION}));
    let ready = c.receive();
    assert_eq!((&ready["msg"], &ready["text"]), (&json!("ready"), &json!(SESSION_DESCRIPTION)));
    x[0].send(close_message(&sid(7), 16));
    assert_eq!(c.receive()["code"], 16);
    c.assert_silent_for(Duration::from_millis(300));
}

#[test]
fn lines_may_be_split_and_joined() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    // Two messages in one write, the second in two parts; the far end hears both.
    let two = format!("{}\n{}\n", open_message(&sid(1), 1, 3000), open_message(&sid(2), 1, 3000));
    let (a, b) = two.as_bytes().split_at(two.len() - 40);
    c.send_bytes(a);
    assert_eq!(x[0].receive()["sid"], sid(1));
    c.send_bytes(b);
    assert_eq!(x[0].receive()["sid"], sid(2));
}

#[test]
fn what_nothing_can_be_made_of_fails_at_once_and_its_connection_ends_if_it_goes_on() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let faults = [("class", "telex"), ("left", "-5"), ("left", "soon"), ("left", "99999999999999999999999")];
    let extras =
        ["x", "dest:nan", "dest:-3", "dest:1.5", "dest:1;width:0", "dest:1;width:400", "dest:1;via:70000"];
    for (key, value) in faults.into_iter().chain(extras.map(|e| ("extras", e))) {
        let mut c = JsonConnection::connect(callers);
        let mut odd = open_message(&sid(5), 1, 3000);
        odd["attrs"][key] = json!(value);
        for _ in 0..8 {
            // The same again the moment that it is turned away.
            c.send(odd.clone());
            let failed = c.receive();
            assert_eq!((&failed["msg"], &failed["sid"]), (&json!("close"), &json!(sid(5))), "{key} {value}");
            assert!(![34, 42, 102].contains(&failed["code"].as_u64().unwrap()), "trying again will not help");
        }
        assert!(c.closes_silently());
    }
    x[0].assert_silent_for(Duration::from_millis(100));
}

#[test]
fn a_fault_of_a_caller_ends_its_own_connection_only_and_what_it_had_open_is_answered_first() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut good = JsonConnection::connect(callers);
    good.send(open_message(&sid(6), 1, 9000));
    x[0].receive_for(&sid(6));
    let no_name = open_message("", 1, 3000).to_string();
    let endless = "A".repeat(3_000_000);
    for (n, fault) in (10..).zip(["nonsense", "7", &no_name, "{\"msg\":7}", &endless]) {
        let mut bad = JsonConnection::connect(callers);
        bad.send(open_message(&sid(n), 1, 9000));
        x[0].receive_for(&sid(n));
        // It reads what it is sent while it goes on sending, and may find the connection gone.
        drop(writeln!(bad.stream, "{fault}"));
        let failed = bad.receive_for(&sid(n));
        assert_eq!((&failed["msg"], &failed["code"]), (&json!("close"), &json!(41)));
        assert_eq!(x[0].receive_for(&sid(n))["code"], 16, "it is given up at the exchange too");
        bad.closes_silently();
    }
    // The name of a set-up that is open elsewhere: nothing is said about it, nor can it be given up from there.
    let mut thief = JsonConnection::connect(callers);
    thief.send(close_message(&sid(6), 16));
    thief.send(open_message(&sid(6), 1, 3000));
    assert!(thief.closes_silently());
    x[0].send(json!({"msg": "ready", "sid": sid(6), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(good.receive()["msg"], "ready");
    // Two under one name on one connection: one answer, and the end.
    let mut twice = JsonConnection::connect(callers);
    let pair = format!("{}\n{}\n", open_message(&sid(8), 1, 3000), open_message(&sid(8), 1, 3000));
    twice.send_bytes(pair.as_bytes());
    assert_eq!(twice.receive()["code"], 41);
    assert!(twice.closes_silently());
}

#[test]
fn callers_who_say_nothing_or_stop_half_way_are_ended_and_hundreds_of_them_leave_room_for_others() {
    let l = listener();
    let (p, callers, mut x) = start_program(&[&l], json!({"limits": {"sockets": 64}}));
    let mut silent: Vec<JsonConnection> = (0..300).map(|_| JsonConnection::connect(callers)).collect();
    // It may have had to make room already.
    drop(silent[299].stream.write_all(b"{\"msg\":\"open\","));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(9), 1, 9000));
    x[0].receive_for(&sid(9));
    x[0].send(json!({"msg": "ready", "sid": sid(9), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive()["msg"], "ready");
    let held = std::fs::read_dir(format!("/proc/{}/fd", p.child.id())).unwrap().count();
    assert!(held <= 64, "{held} descriptors");
    assert!(silent.iter_mut().all(JsonConnection::closes_silently));
}

#[test]
fn a_refused_call_is_answered_at_once_with_when_to_come_back() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(8), 1, 9000));
    x[0].receive_for(&sid(8));
    let refusal = json!({"msg": "close", "sid": sid(8), "attrs": {"note": "queue_long", "load": "x0:3;x1:20"}, "code": 34});
    let before = Instant::now();
    x[0].send(refusal);
    let answer = c.receive();
    assert_eq!((&answer["code"], &answer["attrs"]["wait"]), (&json!(34), &json!("2000")));
    assert!(before.elapsed() < Duration::from_secs(8), "not held until its caller would give up");
}

#[test]
fn an_answer_that_comes_after_the_set_up_was_given_up_is_released() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(9), 1, 9000));
    x[0].receive_for(&sid(9));
    c.send(close_message(&sid(9), 16));
    assert_eq!(x[0].receive_for(&sid(9))["code"], 16);
    x[0].send(json!({"msg": "ready", "sid": sid(9), "attrs": {}, "text": SESSION_DESCRIPTION}));
    let release = x[0].receive_for(&sid(9));
    assert_eq!((&release["msg"], &release["code"]), (&json!("close"), &json!(16)));
    c.assert_silent_for(Duration::from_millis(200));
}

#[test]
fn what_can_not_be_read_ends_its_connection_and_what_was_out_on_it_goes_again_after_the_quiet_period() {
    let half = b"{\"msg\":\"ready\",\"sid\":".to_vec();
    let spoilt = [b"\x89=0\x9c:AA\r\n".to_vec(), vec![b'A'; 40_000], half, b"{\"msg\":\"ready\"}\n".to_vec()];
    for (n, bytes) in (100..).step_by(10).zip(spoilt) {
        let l = listener();
        let (_p, callers, mut x) = start_program_with(accept_reporting_once, &[&l], json!({}));
        let mut c = JsonConnection::connect(callers);
        for n in [n, n + 1] {
            c.send(open_message(&sid(n), 1, 9000));
            x[0].receive_for(&sid(n));
        }
        let before = Instant::now();
        x[0].send_bytes(&bytes);
        // Its connection stays open on that side; the other call on it has had its answer lost as well.
        let mut y = accept_reporting(&l);
        for n in [n, n + 1] {
            // What may stand there is released first, well before it is set up anew.
            let got = y.receive_for(&sid(n));
            assert_eq!((&got["msg"], &got["code"]), (&json!("close"), &json!(16)));
        }
        for n in [n, n + 1] {
            assert_eq!(y.receive_for(&sid(n))["msg"], "open");
            assert!(before.elapsed() >= Duration::from_millis(500), "not within the quiet period");
            y.send(json!({"msg": "ready", "sid": sid(n), "attrs": {}, "text": SESSION_DESCRIPTION}));
            assert_eq!(c.receive_for(&sid(n))["msg"], "ready");
        }
    }
}

#[test]
fn a_connection_that_stays_open_and_dead_is_given_up_and_what_was_over_meanwhile_is_told() {
    let l = listener();
    let (_p, callers, mut x) = start_program_with(accept_reporting_once, &[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    for n in [90, 91] {
        c.send(open_message(&sid(n), 1, 9000));
        x[0].receive_for(&sid(n));
    }
    x[0].send(json!({"msg": "ready", "sid": sid(90), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive_for(&sid(90))["msg"], "ready");
    // A test on it that is answered keeps it.
    let test = std::iter::repeat_with(|| x[0].receive()).find(|m| m["msg"] == "probe").unwrap();
    x[0].send(json!({"msg": "probed", "sid": test["sid"], "attrs": {"load": "x0:18;x1:20"}, "code": 1}));
    // From here on nothing: the next connection brings the release that was lost, and the set-up again.
    let mut y = accept_reporting(&l);
    y.send(close_message(&sid(90), 16));
    assert_eq!(c.receive_for(&sid(90))["code"], 16);
    let again = std::iter::repeat_with(|| y.receive_for(&sid(91))).find(|m| m["msg"] == "open").unwrap();
    y.send(json!({"msg": "ready", "sid": again["sid"], "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive_for(&sid(91))["msg"], "ready");
}

#[test]
fn a_request_that_comes_again_on_a_new_connection_keeps_the_quiet_period() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(95), 1, 9000));
    assert_eq!(x[0].receive_for(&sid(95))["msg"], "open");
    // Its connection is lost under it, and it is sent again at once.
    drop(c);
    let mut d = JsonConnection::connect(callers);
    d.send(open_message(&sid(95), 1, 9000));
    assert_eq!(x[0].receive_for(&sid(95))["code"], 16);
    let before = Instant::now();
    assert_eq!(x[0].receive_for(&sid(95))["msg"], "open");
    assert!(before.elapsed() >= Duration::from_millis(490), "{:?}", before.elapsed());
    x[0].send(json!({"msg": "ready", "sid": sid(95), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(d.receive_for(&sid(95))["msg"], "ready");
}

#[test]
fn no_connection_owns_a_call_that_stands() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    for n in [10, 11, 12] {
        c.send(open_message(&sid(n), 1, 9000));
        x[0].receive_for(&sid(n));
        x[0].send(json!({"msg": "ready", "sid": sid(n), "attrs": {}, "text": SESSION_DESCRIPTION}));
        c.receive_for(&sid(n));
    }
    drop(c);
    // With no connection at all the release waits for the next; with another one it takes that.
    x[0].send(close_message(&sid(10), 16));
    std::thread::sleep(Duration::from_millis(100));
    let mut d = JsonConnection::connect(callers);
    assert_eq!(d.receive_for(&sid(10))["code"], 16);
    x[0].send(close_message(&sid(11), 41));
    assert_eq!(d.receive_for(&sid(11))["code"], 41);
    // The caller's own release may come on any connection.
    d.send(close_message(&sid(12), 16));
    assert_eq!(x[0].receive_for(&sid(12))["code"], 16);
}

#[test]
fn a_dead_exchange_cuts_its_calls_and_a_new_one_may_have_its_address() {
    let (l, feed) = (listener(), listener());
    let at = l.local_addr().unwrap();
    let (_p, callers, mut x) =
        start_program(&[&l], json!({"coordinator": feed.local_addr().unwrap().to_string()}));
    let mut c = JsonConnection::connect(callers);
    for n in [20, 21] {
        c.send(open_message(&sid(n), 1, 9000));
        x[0].receive_for(&sid(n));
    }
    x[0].send(json!({"msg": "ready", "sid": sid(20), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive()["msg"], "ready");
    // The process dies: nobody listens, and its connections are reset (unread bytes make a close a reset).
    c.send(open_message(&sid(22), 1, 9000));
    wait_until("the last set-up has come", || {
        let mut seen = [0; 4096];
        let n = x[0].stream.peek(&mut seen).unwrap();
        String::from_utf8_lossy(&seen[..n]).contains(&sid(22)).then_some(())
    });
    drop(l);
    x.clear();
    let mut codes: Vec<(String, u64)> = Vec::new();
    while !codes.iter().any(|k| k.0 == sid(20)) {
        let got = c.receive();
        codes.push((got["sid"].as_str().unwrap().to_owned(), got["code"].as_u64().unwrap()));
    }
    assert!(codes.contains(&(sid(20), 41)), "the call that stood is cut: {codes:?}");
    // Another exchange comes up at the old address, and is told of by the coordinator.
    let l2 = TcpListener::bind(at).unwrap();
    let mut stream = CoordinatorStream::accept(&feed);
    assert_eq!(stream.last_event_id, "3", "from the last event known");
    stream.send_event(&list_update(
        4,
        false,
        &[member("s-1", at, 1, "removed"), member("s-new", at, 1, "up")],
    ));
    let mut y = wait_until("the new exchange answers a call", || {
        let mut y = accept_reporting(&l2);
        y.stream.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
        c.send(open_message(&sid(30), 1, 9000));
        let mut line = String::new();
        y.reader.read_line(&mut line).is_ok_and(|_| line.contains("open")).then_some(y)
    });
    y.send(json!({"msg": "ready", "sid": sid(30), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive_for(&sid(30))["msg"], "ready");
    // The stream ends, and is taken up again after the last event that came.
    drop(stream);
    assert_eq!(CoordinatorStream::accept(&feed).last_event_id, "4");
}

#[test]
fn nothing_new_is_sent_to_an_exchange_that_drains() {
    let (l, feed) = (listener(), listener());
    let (_p, callers, mut x) =
        start_program(&[&l], json!({"coordinator": feed.local_addr().unwrap().to_string()}));
    let mut stream = CoordinatorStream::accept(&feed);
    stream.send_event(&list_update(4, false, &[member("s-1", l.local_addr().unwrap(), 1, "draining")]));
    std::thread::sleep(Duration::from_millis(300));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(40), 1, 1500));
    assert_eq!(c.receive_for(&sid(40))["msg"], "close");
    x[0].assert_silent_for(Duration::from_millis(300));
}

#[test]
fn sighup_moves_to_the_new_coordinator_and_keeps_the_running_configuration_if_the_file_is_faulty() {
    let (l, l2, l3, old, new) = (listener(), listener(), listener(), listener(), listener());
    let at = |feed: &TcpListener| feed.local_addr().unwrap().to_string();
    let member = |phase| member("s-1", l.local_addr().unwrap(), 1, phase);
    let told = |feed: &str| {
        let known = json!({"index": 3, "updates": [list_update(3, true, &[member("up")])]});
        config(json!({"coordinator": feed, "known": known})).to_string()
    };
    let path = temp_file("config.json", &told(&at(&old)));
    let p = Program::start(&[("--config", &path)], &[]);
    let (callers, mut x) = (p.listen_address("callers"), accept_reporting(&l));
    let mut first = CoordinatorStream::accept(&old);
    assert_eq!(first.last_event_id, "3");
    first.send_event(&list_update(4, false, &[member("up")]));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(80), 1, 9000));
    x.receive_for(&sid(80));
    // A faulty file is named by its key, and nothing changes.
    std::fs::write(&path, told("nowhere")).unwrap();
    p.signal("HUP");
    assert!(p.wait_for_log("warning: configuration kept: ").starts_with("coordinator"));
    first.send_event(&list_update(5, false, &[self::member("s-2", l2.local_addr().unwrap(), 2, "up")]));
    accept_reporting(&l2);
    std::fs::write(&path, told(&at(&new))).unwrap();
    p.signal("HUP");
    p.wait_for_log("configuration read anew");
    // The numbering goes on at the new address; what is told twice is taken once.
    let mut second = CoordinatorStream::accept(&new);
    assert_eq!(second.last_event_id, "5");
    second.send_event(&list_update(5, false, &[member("draining")]));
    second.send_event(&list_update(6, false, &[self::member("s-3", l3.local_addr().unwrap(), 3, "up")]));
    accept_reporting(&l3);
    std::thread::sleep(Duration::from_millis(300));
    c.send(open_message(&sid(81), 1, 9000));
    assert_eq!(x.receive_for(&sid(81))["msg"], "open", "the second copy of an event is passed over");
    // The call that was open is untouched.
    x.send(json!({"msg": "ready", "sid": sid(80), "attrs": {}, "text": SESSION_DESCRIPTION}));
    assert_eq!(c.receive_for(&sid(80))["msg"], "ready");
}

#[test]
fn after_sigterm_it_goes_on_accepting_for_a_while_and_answers_all_that_it_took() {
    let l = listener();
    let (mut p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(50), 1, 9000));
    x[0].receive_for(&sid(50));
    p.signal("TERM");
    std::thread::sleep(Duration::from_millis(100));
    let mut d = JsonConnection::connect(callers);
    d.send(open_message(&sid(51), 1, 9000));
    x[0].receive_for(&sid(51));
    std::thread::sleep(Duration::from_millis(1_300));
    assert!(p.child.try_wait().unwrap().is_none(), "two calls are open");
    for (n, line) in [(50, &mut c), (51, &mut d)] {
        x[0].send(json!({"msg": "close", "sid": sid(n), "attrs": {"note": "end_queue_long"}, "code": 34}));
        assert_eq!(line.receive_for(&sid(n))["code"], 34);
    }
    assert!(p.wait_for_exit().success());
    assert!(p.wait_for_log("t: ").contains("calls.offered=2"), "counters at exit");
    assert!(c.closes_silently());
}

#[test]
fn after_sigterm_what_is_open_past_the_longest_deadline_is_answered_and_not_left_to_be_killed() {
    let l = listener();
    let mut settings = common::settings();
    settings["classes"][0]["giveUp"] = json!(600.0);
    let (mut p, callers, mut x) = start_program(&[&l], json!({"settings": settings}));
    let mut c = JsonConnection::connect(callers);
    c.send(open_message(&sid(52), 1, 30_000));
    x[0].receive_for(&sid(52));
    let before = Instant::now();
    p.signal("TERM");
    assert_eq!(c.receive_for(&sid(52))["code"], 41);
    assert!(before.elapsed() < Duration::from_secs(10), "long before its caller gives up");
    assert!(p.wait_for_exit().success());
}

#[test]
fn a_bad_configuration_is_named_by_its_key_before_anything_listens() {
    for (more, key) in [
        (json!({"listen": "nowhere"}), "listen"),
        (json!({"coordinator": "x"}), "coordinator"),
        (json!({"peers": ["127.0.0.1"]}), "peers"),
        (json!({"limits": {"sockets": 3}}), "limits.sockets"),
        (json!({"settings": {"classes": [{"name": "a"}]}}), "settings.classes.0.giveUp"),
    ] {
        let mut p = Program::start(&[("--config", &temp_file("bad.json", &config(more).to_string()))], &[]);
        assert_eq!(p.wait_for_exit().code(), Some(1));
        assert!(p.wait_for_log("configuration: ").starts_with(key), "{key}");
    }
}

#[test]
fn a_call_that_stood_through_a_restart_is_released_on_both_sides_by_name() {
    let l = listener();
    let (_p, callers, mut x) = start_program(&[&l], json!({}));
    let mut c = JsonConnection::connect(callers);
    // Neither name was ever met in this life.
    x[0].send(close_message(&sid(70), 16));
    assert_eq!(c.receive_for(&sid(70))["code"], 16);
    c.send(close_message(&sid(71), 16));
    assert_eq!(x[0].receive_for(&sid(71))["msg"], "close");
    // A call of this life that was refused is not released as well when its exchange says more.
    c.send(open_message(&sid(72), 1, 9000));
    x[0].receive_for(&sid(72));
    let refusal = json!({"msg": "close", "sid": sid(72), "attrs": {"note": "end_queue_long"}, "code": 34});
    x[0].send(refusal.clone());
    assert_eq!(c.receive_for(&sid(72))["code"], 34);
    x[0].send(refusal);
    c.assert_silent_for(Duration::from_millis(200));
}
