//! What the program holds after many connections and calls is what it held after a few.

mod common;

use common::lines::*;
use common::{config, file, Program};
use serde_json::json;
use std::fs;
use std::io::Write;
use std::thread;
use std::time::Duration;
use walnuthatch_standin::{Exchange, ExchangeConfig};

/// Rounds, and connections of a round: about what a controller gets in a fault trial.
const ROUNDS: u32 = 20;
const CONNECTIONS: u32 = 200;
/// Memory (KiB) that a round may leave more than the one before the last few.
const GROWTH: u64 = 1_024;
/// Everything of a round is over and closed after this.
const SETTLED: Duration = Duration::from_millis(600);

fn held(program: &Program) -> (u64, usize) {
    let id = program.child.id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    let memory = memory.trim().trim_end_matches("kB").trim().parse().unwrap();
    (memory, fs::read_dir(format!("/proc/{id}/fd")).unwrap().count())
}

#[test]
fn twenty_rounds_of_connections_and_calls_leave_neither_memory_nor_descriptors() {
    let (delay, hold) = (Duration::from_millis(1), Duration::from_millis(100));
    let exchange = Exchange::start(None, ExchangeConfig { circuits: 2_000, delay, hold, seed: 7 }).unwrap();
    let member = member("s-1", exchange.address(), 1, "up");
    let all = config(json!({"known": {"index": 3, "updates": [update(3, true, &[member])]}}));
    let program = Program::start(&[("--config", &file("config.json", &all.to_string()))], &[]);
    let callers = program.at("callers");
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        let mut lines: Vec<Line> = (0..CONNECTIONS).map(|_| Line::to(callers)).collect();
        let name = |n: usize| sid(1 + round * CONNECTIONS + n as u32);
        lines.iter_mut().enumerate().for_each(|(n, line)| line.say(open(&name(n), 1, 5_000)));
        for (n, line) in lines.iter_mut().enumerate() {
            // The end of its call, or its refusal while the program has not learnt how fast the exchange is.
            while line.about(&name(n))["msg"] != "close" {}
            line.say(json!({"msg": "closed", "sid": name(n), "attrs": {}}));
        }
        drop(lines);
        thread::sleep(SETTLED);
        rounds.push(held(&program));
    }
    // Past the capture of the test's output, so that it is read.
    writeln!(std::io::stderr(), "memory (KiB) and descriptors after each round: {rounds:?}").unwrap();
    let (early, late) = (rounds[4], rounds[rounds.len() - 1]);
    assert_eq!(late.1, early.1, "descriptors");
    assert!(late.0 <= early.0 + GROWTH, "{} KiB after {} KiB", late.0, early.0);
}
