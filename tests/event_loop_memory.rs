//! The memory of the event loop under many short calls. One test only, since it measures the memory of its process.

mod common;

use async_lock::Semaphore;
use common::config;
use common::json_lines::{close_message, list_update, member, open_message, sid, STATUS_MESSAGE};
use serde_json::{json, Value};
use std::sync::Arc;
use walnuthatch::program::config::parse;
use walnuthatch::program::event_loop::EventLoop;
use walnuthatch::protocol::json_lines::Message;
use walnuthatch::protocol::run_id::RunId;
use walnuthatch::protocol::ConnId;
use walnuthatch::routing::interface::Micros;
use walnuthatch::transport::outbox::Outbox;
use walnuthatch::transport::{ConnEvent, Inbound, Side};

/// Set-ups before the memory is measured, until everything of a limited size is full.
const WARM_UP: u32 = 30_000;
/// Set-ups between the two measurements.
const MEASURED: u32 = 60_000;
/// Allowed growth of resident memory, as in `tests/memory.rs` (KiB).
const MAX_GROWTH_KIB: u64 = 1_024;
/// Time between two set-ups, as of a client at full speed (µs).
const SET_UP_INTERVAL: Micros = 10;
/// Start of the set-ups, after the time in which calls of a previous run are expected (µs).
const START: Micros = 100_000_000;
/// How long the client states that it waits, the longest time that is accepted (ms).
const REMAINING_MS: u32 = 600_000;

const CONN: ConnId = ConnId(0);

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

fn receive(event_loop: &mut EventLoop, now: Micros, side: Side, message: &Value) {
    let message = Message::parse(message.to_string().as_bytes()).unwrap();
    let permit = Arc::new(Semaphore::new(1)).try_acquire_arc().unwrap();
    event_loop.handle(now, Inbound::Conn(side, CONN, ConnEvent::Message(message, permit)));
    event_loop.expire_timers(now);
    event_loop.take_commands();
}

/// Guards against memory that grows with each cancelled set-up: its timers were kept until its client would have
/// stopped waiting, for up to ten minutes.
#[test]
fn memory_does_not_grow_with_cancelled_set_ups_of_long_remaining_time() {
    let exchange = member("s-1", "127.0.0.1:9".parse().unwrap(), 1, "up");
    let known = json!({"index": 3, "updates": [list_update(3, true, &[exchange])]});
    let config = parse(&config(json!({"known": known}))).unwrap();
    let mut event_loop = EventLoop::resume(&config, RunId(1), 0, None, None);
    event_loop.handle(START, Inbound::Conn(Side::Exchanges, CONN, ConnEvent::Connected));
    receive(&mut event_loop, START, Side::Exchanges, &STATUS_MESSAGE.parse().unwrap());
    event_loop.handle(START, Inbound::Conn(Side::Callers, CONN, ConnEvent::Accepted(Outbox::default())));
    // A call is established first: a client without one is soon disconnected.
    receive(&mut event_loop, START, Side::Callers, &open_message(&sid(0), 1, 9_000));
    receive(&mut event_loop, START, Side::Exchanges, &json!({"msg": "ready", "sid": sid(0), "attrs": {}}));
    let mut now = START;
    let mut cancel_set_ups = |from: u32, count: u32| {
        for n in from..from + count {
            now += SET_UP_INTERVAL;
            receive(&mut event_loop, now, Side::Callers, &open_message(&sid(n), 1, REMAINING_MS));
            receive(&mut event_loop, now, Side::Callers, &close_message(&sid(n), 16));
        }
        resident_kib()
    };
    let before = cancel_set_ups(1, WARM_UP);
    let after = cancel_set_ups(1 + WARM_UP, MEASURED);
    println!("resident memory: {before} KiB, {after} KiB after {MEASURED} more set-ups");
    assert!(after <= before + MAX_GROWTH_KIB);
    let offered = event_loop.counters().into_iter().find(|(name, _)| name == "calls.offered").unwrap();
    assert_eq!(offered.1, u64::from(1 + WARM_UP + MEASURED), "each set-up became a call");
}
