//! The memory of the event loop under many short calls. One test only, since it measures the memory of its process.

mod common;

use common::event_loop::EventLoopWithCaller;
use common::json_lines::{close_message, open_message, sid, STATUS_MESSAGE};
use common::memory_kib;
use walnuthatch::routing::interface::Micros;
use walnuthatch::transport::Side;

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

/// Guards against memory that grows with each cancelled set-up: its timers were kept until its client would have
/// stopped waiting, for up to ten minutes.
#[test]
fn memory_does_not_grow_with_cancelled_set_ups_of_long_remaining_time() {
    let mut event_loop = EventLoopWithCaller::start(START, STATUS_MESSAGE);
    let mut now = START;
    let mut cancel_set_ups = |from: u32, count: u32| {
        for n in from..from + count {
            now += SET_UP_INTERVAL;
            event_loop.receive(now, Side::Callers, &open_message(&sid(n), 1, REMAINING_MS));
            event_loop.receive(now, Side::Callers, &close_message(&sid(n), 16));
        }
        memory_kib("self", "VmRSS")
    };
    let before = cancel_set_ups(1, WARM_UP);
    let after = cancel_set_ups(1 + WARM_UP, MEASURED);
    println!("resident memory: {before} KiB, {after} KiB after {MEASURED} more set-ups");
    assert!(after <= before + MAX_GROWTH_KIB);
    let set_ups = u64::from(1 + WARM_UP + MEASURED);
    assert_eq!(event_loop.counter("calls.offered"), set_ups, "each set-up became a call");
}
