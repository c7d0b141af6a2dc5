//! Memory and descriptor usage must not grow with the number of connections and calls served.

mod common;

use common::json_lines::*;
use common::standins::start_with_exchanges;
use common::{memory_kib, Program};
use serde_json::json;
use std::fs;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// Number of rounds, and connections per round: in total about the load of one fault trial.
const ROUNDS: u32 = 20;
const CONNECTIONS_PER_ROUND: u32 = 200;
/// Allowed growth of resident memory between the fifth round and the last (KiB).
const MAX_GROWTH_KIB: u64 = 1_024;
/// Time after which all calls of a round have ended and its connections are closed.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Resident memory (KiB) and number of open descriptors.
fn resource_usage(program: &Program) -> (u64, usize) {
    let id = program.child.id().to_string();
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
    (memory_kib(&id, "VmRSS"), descriptors)
}

#[test]
fn memory_and_descriptors_do_not_grow_over_twenty_rounds_of_calls() {
    let (program, callers, _exchanges) = start_with_exchanges(1);
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        let mut lines: Vec<JsonConnection> =
            (0..CONNECTIONS_PER_ROUND).map(|_| JsonConnection::connect(callers)).collect();
        let name = |n: usize| sid(1 + round * CONNECTIONS_PER_ROUND + n as u32);
        lines.iter_mut().enumerate().for_each(|(n, line)| line.send(open_message(&name(n), 1, 5_000)));
        for (n, line) in lines.iter_mut().enumerate() {
            // Either the call ended, or it was refused while the program had not yet learnt how fast the
            // exchange answers.
            while line.receive_for(&name(n))["msg"] != "close" {}
            line.send(json!({"msg": "closed", "sid": name(n), "attrs": {}}));
        }
        drop(lines);
        thread::sleep(SETTLING_TIME);
        rounds.push(resource_usage(&program));
    }
    // Written to the real stderr, which the test harness does not capture, so that the figures are always shown.
    writeln!(std::io::stderr(), "memory (KiB) and descriptors after each round: {rounds:?}").unwrap();
    let (early, late) = (rounds[4], rounds[rounds.len() - 1]);
    assert_eq!(late.1, early.1, "descriptors");
    assert!(late.0 <= early.0 + MAX_GROWTH_KIB, "{} KiB after {} KiB", late.0, early.0);
}
