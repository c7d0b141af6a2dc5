//! The coordinator's event stream when the coordinator responds slowly, hangs or sends an unreadable event.

mod common;

use common::json_lines::*;
use common::wait_until;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time from the moment the coordinator can be reached again until a change of its list takes effect.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);

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
