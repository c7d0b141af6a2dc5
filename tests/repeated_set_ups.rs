//! Set-ups that a caller sends again on a new connection, and set-ups of other clients with the same sid: the program as
//! a process, with stand-in callers and exchanges.

mod common;

use common::json_lines::*;
use serde_json::json;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::Duration;

/// How much later than at the caller the end of a connection is seen by the program.
const END_SEEN_LATE: Duration = Duration::from_millis(40);

fn ready_message(sid: &str) -> serde_json::Value {
    json!({"msg": "ready", "sid": sid, "attrs": {}, "text": SESSION_DESCRIPTION})
}

/// Sends a set-up that the exchange receives; returns its connection.
fn open_call(callers: SocketAddr, exchange: &mut JsonConnection, sid: &str) -> JsonConnection {
    let mut caller = JsonConnection::connect(callers);
    caller.send(open_message(sid, 1, 9000));
    assert_eq!(exchange.receive_for(sid)["msg"], "open");
    caller
}

/// Waits until the program has sent the answer on the first connection, without reading it.
fn wait_for_unread_answer(caller: &JsonConnection) {
    assert!(caller.stream.peek(&mut [0]).unwrap() > 0);
}

fn assert_answered(caller: &mut JsonConnection, sid: &str) {
    let answer = caller.receive_for(sid);
    assert_eq!((&answer["msg"], &answer["text"]), (&json!("ready"), &json!(SESSION_DESCRIPTION)));
}

/// Guards against review case 6: the exchange answers before the end of the caller's first connection is seen, and the
/// connection on which the set-up came again was closed without an answer.
#[test]
fn a_set_up_answered_on_a_connection_that_had_ended_is_answered_again_on_the_new_one() {
    let exchange_listener = listener();
    let (_program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    for n in 1..=3 {
        let caller = open_call(callers, exchange, &sid(n));
        let mut second_caller = JsonConnection::connect(callers);
        second_caller.send(open_message(&sid(n), 1, 8990));
        sleep(Duration::from_millis(12));
        exchange.send(ready_message(&sid(n)));
        wait_for_unread_answer(&caller);
        sleep(END_SEEN_LATE);
        drop(caller);
        assert_answered(&mut second_caller, &sid(n));
        exchange.send(close_message(&sid(n), 16));
        assert_eq!(second_caller.receive_for(&sid(n))["code"], 16, "the call belongs to the new connection");
        second_caller.send(json!({"msg": "closed", "sid": sid(n), "attrs": {}}));
    }
    exchange.assert_silent_for(Duration::from_millis(700));
}

/// Guards against the same fault when the set-up comes again after its answer was sent, before or after the end of the
/// first connection is seen.
#[test]
fn a_set_up_that_comes_again_after_its_answer_was_sent_is_answered_again() {
    let exchange_listener = listener();
    let (_program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    for (n, end_seen_first) in [(1, false), (2, true)] {
        let caller = open_call(callers, exchange, &sid(n));
        exchange.send(ready_message(&sid(n)));
        wait_for_unread_answer(&caller);
        let mut second_caller = JsonConnection::connect(callers);
        if end_seen_first {
            drop(caller);
            sleep(END_SEEN_LATE);
            second_caller.send(open_message(&sid(n), 1, 8990));
        } else {
            second_caller.send(open_message(&sid(n), 1, 8990));
            sleep(END_SEEN_LATE);
            drop(caller);
        }
        assert_answered(&mut second_caller, &sid(n));
        second_caller.send(close_message(&sid(n), 16));
        assert_eq!(exchange.receive_for(&sid(n))["code"], 16, "the exchange had one set-up, and its release");
    }
    exchange.assert_silent_for(Duration::from_millis(700));
}

/// Guards against the same fault when the call is over before the end of the first connection is seen: the set-up must
/// not run a second time.
#[test]
fn a_set_up_whose_call_is_over_before_the_first_connection_ends_is_answered_with_the_release() {
    let exchange_listener = listener();
    let (_program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    let caller = open_call(callers, exchange, &sid(1));
    let mut second_caller = JsonConnection::connect(callers);
    second_caller.send(open_message(&sid(1), 1, 8990));
    exchange.send(ready_message(&sid(1)));
    exchange.send(close_message(&sid(1), 41));
    wait_for_unread_answer(&caller);
    sleep(END_SEEN_LATE);
    drop(caller);
    let answer = second_caller.receive_for(&sid(1));
    assert_eq!((&answer["msg"], &answer["code"]), (&json!("close"), &json!(41)));
    exchange.assert_silent_for(Duration::from_millis(700));
}

/// A set-up with the sid of another client's call and a different description.
fn foreign_open_message(sid: &str) -> serde_json::Value {
    let mut message = open_message(sid, 1, 9000);
    message["text"] = json!("v=0\r\nc=IN IP4 10.9.9.9\r\n");
    message
}

/// Guards against review case 7: a client that used the sid of another client's open set-up, with a different
/// description, was answered that its call stands once the open set-up had ended.
#[test]
fn a_different_set_up_with_the_sid_of_an_open_one_is_never_taken_for_it() {
    let exchange_listener = listener();
    let (_program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    type EndCall = fn(JsonConnection, &mut JsonConnection, &str);
    let endings: [(u32, EndCall); 3] = [
        (1, |mut caller, exchange, sid| {
            caller.send(close_message(sid, 16));
            assert_eq!(exchange.receive_for(sid)["code"], 16);
        }),
        (2, |caller, exchange, sid| {
            drop(caller);
            assert_eq!(exchange.receive_for(sid)["code"], 16);
        }),
        (3, |mut caller, exchange, sid| {
            exchange.send(close_message(sid, 47));
            assert_eq!(caller.receive_for(sid)["msg"], "close");
        }),
    ];
    for (n, end) in endings {
        let caller = open_call(callers, exchange, &sid(n));
        let mut faulty_client = JsonConnection::connect(callers);
        faulty_client.send(foreign_open_message(&sid(n)));
        sleep(END_SEEN_LATE);
        end(caller, exchange, &sid(n));
        exchange.assert_silent_for(Duration::from_millis(700));
        assert!(faulty_client.closes_silently());
    }
}

/// Guards against the same fault just after the open set-up was abandoned, and against a faulty client that takes the
/// sid from a caller that is about to send its set-up again.
#[test]
fn a_different_set_up_with_the_sid_of_an_abandoned_one_does_not_take_its_place() {
    let exchange_listener = listener();
    let (_program, callers, mut exchanges) = start_program(&[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    drop(open_call(callers, exchange, &sid(1)));
    assert_eq!(exchange.receive_for(&sid(1))["code"], 16);
    let mut faulty_client = JsonConnection::connect(callers);
    faulty_client.send(foreign_open_message(&sid(1)));
    assert!(faulty_client.closes_silently());
    let mut second_caller = JsonConnection::connect(callers);
    second_caller.send(open_message(&sid(1), 1, 8990));
    let set_up = exchange.receive_for(&sid(1));
    assert_eq!((&set_up["msg"], &set_up["text"]), (&json!("open"), &json!(SESSION_DESCRIPTION)));
    exchange.send(ready_message(&sid(1)));
    assert_answered(&mut second_caller, &sid(1));
}

/// Accepts a connection as an exchange with many free circuits.
fn accept_with_many_circuits(listener: &TcpListener) -> JsonConnection {
    let mut connection = JsonConnection::new(listener.accept().unwrap().0);
    connection.send_bytes(MANY_CIRCUITS_STATUS_MESSAGE.as_bytes());
    connection
}

/// Guards against set-ups that are sent on although their client had left before they were read, one of which ran a second
/// time when the client came again. What the client released before it left takes effect.
#[test]
fn set_ups_that_are_unread_when_their_client_leaves_are_not_sent_on() {
    let exchange_listener = listener();
    let (program, callers, mut exchanges) =
        start_program_with(accept_with_many_circuits, &[&exchange_listener], json!({}));
    let exchange = &mut exchanges[0];
    let mut caller = open_call(callers, exchange, &sid(1));
    exchange.send(ready_message(&sid(1)));
    assert_answered(&mut caller, &sid(1));
    // Nothing is read while the program is stopped.
    program.signal("STOP");
    let unread: String = (100..250).map(|n| format!("{}\n", open_message(&sid(n), 1, 9000))).collect();
    caller.send_bytes(unread.as_bytes());
    caller.send(close_message(&sid(1), 16));
    drop(caller);
    let mut second_caller = JsonConnection::connect(callers);
    second_caller.send(open_message(&sid(105), 1, 9000));
    sleep(END_SEEN_LATE);
    program.signal("CONT");
    let received: Vec<_> = (0..2).map(|_| exchange.receive()).collect();
    let released = received.iter().any(|m| m["msg"] == "close" && m["sid"] == sid(1));
    let opened: Vec<_> = received.iter().filter(|m| m["msg"] == "open").map(|m| &m["sid"]).collect();
    assert!(released && opened == [&json!(sid(105))], "{received:?}");
    exchange.send(ready_message(&sid(105)));
    assert_answered(&mut second_caller, &sid(105));
    exchange.stream.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
    let mut line = String::new();
    while exchange.reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        assert!(!line.contains("open"), "{line}");
        line.clear();
    }
}
