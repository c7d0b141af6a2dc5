//! The event loop under more set-ups than an exchange reads.

mod common;

use common::event_loop::EventLoopWithCaller;
use common::json_lines::{open_message, sid, MANY_CIRCUITS_STATUS_MESSAGE};
use serde_json::json;
use walnuthatch::routing::interface::Micros;
use walnuthatch::transport::outbox::CAPACITY_BYTES;
use walnuthatch::transport::Side;

/// Time between two set-ups (µs).
const SET_UP_INTERVAL: Micros = 100;
/// Size of a description in a set-up (bytes).
const DESCRIPTION_BYTES: usize = 15_000;

/// Guards against one client whose large set-ups overflow the queue to an exchange, so that its connection is given up
/// with the set-ups of all other clients.
#[test]
fn set_ups_that_an_exchange_does_not_read_do_not_cost_its_connection() {
    let mut now = 100_000_000;
    let mut event_loop = EventLoopWithCaller::start(now, MANY_CIRCUITS_STATUS_MESSAGE);
    let set_ups = 4 * CAPACITY_BYTES / DESCRIPTION_BYTES;
    for n in 1..=set_ups as u32 {
        now += SET_UP_INTERVAL;
        let mut set_up = open_message(&sid(n), 1, 9_000);
        set_up["text"] = json!("x".repeat(DESCRIPTION_BYTES));
        event_loop.receive(now, Side::Callers, &set_up);
        // The exchange answers the first set-ups, so that its limit does not hold the others back.
        event_loop.receive(now, Side::Exchanges, &json!({"msg": "ready", "sid": sid(n), "attrs": {}}));
    }
    assert_eq!(event_loop.counter("wire.overflows"), 0);
    assert!(event_loop.to_exchange.queued_bytes() > 0, "the connection was not aborted");
    assert!(event_loop.counter("wire.set_ups_not_sent") > 0);
    let answered = event_loop.counter("calls.stood") + event_loop.counter("calls.refused");
    assert_eq!(answered, 1 + set_ups as u64, "each set-up is answered");
}
