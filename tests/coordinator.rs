//! The coordinator's stream when the coordinator is slow, hangs or tells what can't be read.

mod common;

use common::json_lines::*;
use common::wait_until;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told this long after a coordinator that could not be followed can be reached.
const TOLD: Duration = Duration::from_secs(6);

fn followed_by(feed: &TcpListener) -> Value {
    json!({"coordinator": feed.local_addr().unwrap().to_string()})
}

fn another_exchange(index: u64, at: &TcpListener) -> Value {
    list_update(index, false, &[member("s-2", at.local_addr().unwrap(), 2, "up")])
}

fn comes_up(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    wait_until("the new exchange is connected to", || listener.accept().ok());
}

#[test]
fn a_coordinator_that_takes_three_seconds_to_answer_is_followed() {
    let (l, feed, added) = (listener(), listener(), listener());
    let (_program, _, _x) = start_program(&[&l], followed_by(&feed));
    let mut stream = CoordinatorStream::accept_unanswered(&feed);
    thread::sleep(Duration::from_secs(3));
    stream.send_response_head();
    stream.send_event(&another_exchange(4, &added));
    comes_up(&added);
}

#[test]
fn a_request_that_hangs_does_not_keep_a_coordinator_that_is_back_from_telling_in_time() {
    let (l, feed, added) = (listener(), listener(), listener());
    let (_program, _, _x) = start_program(&[&l], followed_by(&feed));
    let _hangs = CoordinatorStream::accept_unanswered(&feed);
    let back = Instant::now();
    let mut stream = CoordinatorStream::accept(&feed);
    stream.send_event(&another_exchange(4, &added));
    comes_up(&added);
    assert!(back.elapsed() < TOLD);
}

#[test]
fn an_event_that_can_not_be_read_has_the_whole_list_told_again() {
    let (l, feed, added) = (listener(), listener(), listener());
    let (_program, _, _x) = start_program(&[&l], followed_by(&feed));
    let mut stream = CoordinatorStream::accept(&feed);
    assert_eq!(stream.last_event_id, "3");
    stream.send_raw_event(4, "{\"index\":4,\"endpoints\":{\"members\":[{\"id\":7");
    let mut again = CoordinatorStream::accept(&feed);
    assert_eq!(again.last_event_id, "0", "from the first event on");
    let whole = [
        member("s-1", l.local_addr().unwrap(), 1, "up"),
        member("s-2", added.local_addr().unwrap(), 2, "up"),
    ];
    again.send_event(&list_update(4, true, &whole));
    comes_up(&added);
}
