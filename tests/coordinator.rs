//! The coordinator's event stream when the coordinator responds slowly, hangs or sends an unreadable event.

mod common;

use common::json_lines::*;
use common::{wait_until, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::BufRead;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time from the moment the coordinator can be reached again until a change of its list takes effect.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);

/// Maximum time after which a change counts as known, whether it has arrived or not.
const MAX_KNOWN_DELAY: Duration = Duration::from_secs(7);

/// Configuration overrides that name this coordinator.
fn with_coordinator(listener: &TcpListener) -> Value {
    json!({"coordinator": listener.local_addr().unwrap().to_string()})
}

/// Adds exchange 2 at this listener to the list.
fn added_exchange(index: u64, listener: &TcpListener) -> Value {
    list_update(index, false, &[member("s-2", listener.local_addr().unwrap(), 2, "up")])
}

/// Waits until the program connects to a new exchange.
fn wait_for_connection(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    wait_until("the program connects to the new exchange", || listener.accept().ok());
}

/// A request timeout that is too short would reconnect to a slow coordinator again and again and never get an event.
#[test]
fn a_coordinator_that_responds_after_three_seconds_is_followed() {
    let (exchange_listener, coordinator_listener, added) = (listener(), listener(), listener());
    let (_program, _, _exchanges) =
        start_program(&[&exchange_listener], with_coordinator(&coordinator_listener));
    let mut stream = CoordinatorStream::accept_unanswered(&coordinator_listener);
    thread::sleep(Duration::from_secs(3));
    stream.send_response_head();
    stream.send_event(&added_exchange(4, &added));
    wait_for_connection(&added);
}

/// Answers every request for the stream this long after it came, with the event in the answer. Sends the time of each
/// request.
fn answer_slowly(listener: TcpListener, delay: Duration, event: Value) -> mpsc::Receiver<Instant> {
    let (requested, requests) = mpsc::channel();
    thread::spawn(move || loop {
        let mut stream = CoordinatorStream::accept_unanswered(&listener);
        // The test may have ended.
        let _ = requested.send(Instant::now());
        let event = event.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            // The program may have given the request up, so writing may fail.
            let _ = stream.try_send_response(&event);
            thread::sleep(TEST_TIMEOUT);
        });
    });
    requests
}

/// Guards against review case 3: each request was given up after 3.9 s, so that no slower answer was ever read and no
/// drain heard. A change counts as known 7 s after the coordinator has it.
#[test]
fn an_answer_is_waited_for_as_long_as_a_change_may_take_to_be_known() {
    let runs = [Duration::from_millis(4_500), Duration::from_millis(6_000)].map(|delay| {
        thread::spawn(move || {
            let (exchange_listener, coordinator_listener, added) = (listener(), listener(), listener());
            let overrides = with_coordinator(&coordinator_listener);
            let event = added_exchange(4, &added);
            let requests = answer_slowly(coordinator_listener, delay, event);
            let (_program, _, _exchanges) = start_program(&[&exchange_listener], overrides);
            wait_for_connection(&added);
            let since_first_request = requests.recv().unwrap().elapsed();
            assert!(since_first_request < MAX_KNOWN_DELAY, "{delay:?}: {since_first_request:?}");
        })
    });
    runs.into_iter().for_each(|run| run.join().unwrap());
}

/// Guards against review case 3 on an open stream: a stream that paused for longer than 2.5 s was closed, although a slow
/// coordinator still sent on it, and each new one was given up in the same way.
#[test]
fn a_stream_that_pauses_is_still_read_while_new_requests_get_no_answer() {
    let (exchange_listener, coordinator_listener, added) = (listener(), listener(), listener());
    let (_program, _, _exchanges) =
        start_program(&[&exchange_listener], with_coordinator(&coordinator_listener));
    let mut stream = CoordinatorStream::accept(&coordinator_listener);
    thread::sleep(Duration::from_millis(4_500));
    stream.send_event(&added_exchange(4, &added));
    wait_for_connection(&added);
}

/// A coordinator that hangs may recover while an old request stays open. A program that waits on that request only
/// would learn of changes too late.
#[test]
fn a_hanging_request_is_replaced_in_time_for_a_recovered_coordinator() {
    let (exchange_listener, coordinator_listener, added) = (listener(), listener(), listener());
    let (_program, _, _exchanges) =
        start_program(&[&exchange_listener], with_coordinator(&coordinator_listener));
    let _hanging = CoordinatorStream::accept_unanswered(&coordinator_listener);
    let recovered_at = Instant::now();
    let mut stream = CoordinatorStream::accept(&coordinator_listener);
    stream.send_event(&added_exchange(4, &added));
    wait_for_connection(&added);
    assert!(recovered_at.elapsed() < MAX_UPDATE_DELAY);
}

/// Skipping an unreadable event would lose its changes for good, so the stream is requested again from the first event.
#[test]
fn an_unreadable_event_requests_the_complete_list_again() {
    let (exchange_listener, coordinator_listener, added) = (listener(), listener(), listener());
    let (_program, _, _exchanges) =
        start_program(&[&exchange_listener], with_coordinator(&coordinator_listener));
    let mut stream = CoordinatorStream::accept(&coordinator_listener);
    assert_eq!(stream.last_event_id, "3");
    stream.send_raw_event(4, "{\"index\":4,\"endpoints\":{\"members\":[{\"id\":7");
    let mut second = CoordinatorStream::accept(&coordinator_listener);
    assert_eq!(second.last_event_id, "0", "requests the events from the first");
    let members = [
        member("s-1", exchange_listener.local_addr().unwrap(), 1, "up"),
        member("s-2", added.local_addr().unwrap(), 2, "up"),
    ];
    second.send_event(&list_update(4, true, &members));
    wait_for_connection(&added);
}

/// Time after an event within which set-ups that it forbids may still be sent (`stopSendingWithin` of the settings), with
/// some more for the event itself.
const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// How long a set-up that must not come is waited for.
const SET_UP_WAIT: Duration = Duration::from_secs(3);

/// Asserts that the connection ends, or stays silent, without a set-up.
fn assert_no_set_up(exchange: &mut JsonConnection) {
    exchange.stream.set_read_timeout(Some(SET_UP_WAIT)).unwrap();
    let mut line = String::new();
    while exchange.reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        assert!(!line.contains("\"open\""), "{line}");
        line.clear();
    }
}

/// Guards against work for an exchange that has gone being sent to another one, which is listed at its address before the
/// old one is listed as removed.
#[test]
fn a_new_exchange_at_the_address_of_another_is_not_taken_for_it() {
    let (exchange_listener, coordinator_listener) = (listener(), listener());
    let (_program, callers, mut exchanges) =
        start_program(&[&exchange_listener], with_coordinator(&coordinator_listener));
    let mut stream = CoordinatorStream::accept(&coordinator_listener);
    // The old process ends, and the program connects to whatever listens at its address.
    exchanges.clear();
    let mut old_connection = accept_reporting(&exchange_listener);
    let address = exchange_listener.local_addr().unwrap();
    stream.send_event(&list_update(4, false, &[member("s-2", address, 2, "up")]));
    let _new_connection = accept_reporting(&exchange_listener);
    thread::sleep(DRAIN_GRACE);
    let mut caller = JsonConnection::connect(callers);
    caller.send(open_message(&sid(1), 1, 3_000));
    assert_no_set_up(&mut old_connection);
}

/// Guards against work that goes to the old address of an exchange that is listed at another one, where another process
/// may have come up.
#[test]
fn set_ups_for_an_exchange_that_is_listed_at_another_address_do_not_go_to_the_old_one() {
    let (old_listener, new_listener, coordinator_listener) = (listener(), listener(), listener());
    let (_program, callers, mut exchanges) =
        start_program(&[&old_listener], with_coordinator(&coordinator_listener));
    let mut stream = CoordinatorStream::accept(&coordinator_listener);
    let address = new_listener.local_addr().unwrap();
    stream.send_event(&list_update(4, false, &[member("s-1", address, 1, "up")]));
    thread::sleep(DRAIN_GRACE);
    let mut caller = JsonConnection::connect(callers);
    caller.send(open_message(&sid(1), 1, 3_000));
    assert_no_set_up(&mut exchanges[0]);
    wait_for_connection(&new_listener);
}
