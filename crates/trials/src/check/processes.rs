//! Controllers start in time, end only when they are asked to, and hold nothing in the end.

use super::history::{History, Life};
use super::{Rule, Violation};
use walnuthatch_standin::faulty::record::Micros;

/// A controller is ready this long after its start (µs).
const READY: Micros = 10_000_000;
/// What a controller may hold at the end of a trial: memory (KiB), and descriptors.
const HOLDS: (u64, u64) = (32 * 1024, 64);

pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut add = |rule, at, description| found.push(Violation { rule, at, description, sid: None });
    for (controller, lives) in history.lives.iter().enumerate() {
        for life in lives {
            if let Some((at, why)) = crashed(life) {
                add(Rule::Crash, at, format!("n{controller}: {why}"));
            }
            let ended = life.term.or(life.kill).or(life.exited.map(|e| e.0));
            let due = life.started + READY;
            let had_time = ended.is_none_or(|e| e > due) && due < history.end;
            if had_time && life.ready.is_none_or(|r| r > due) {
                add(Rule::NotReady, due, format!("n{controller} is not ready after 10 s"));
            }
        }
    }
    for &(at, controller, memory, descriptors) in &history.resources {
        if memory > HOLDS.0 || descriptors > HOLDS.1 {
            let description = format!("n{controller} holds {memory} KiB and {descriptors} descriptors");
            add(Rule::Resources, at, description);
        }
    }
    // Calls at clients whose controller was started anew may be known to nobody: their ends are judged one by one.
    if let Some((at, (requests, _, busy))) = history.left.filter(|l| (l.1 .0, l.1 .2) != (0, 0)) {
        let description = format!("{requests} requests at clients, {busy} calls at exchanges");
        add(Rule::LeftOver, at, description);
    }
    found
}

fn crashed(life: &Life) -> Option<(Micros, String)> {
    let (at, code) = life.exited?;
    match (life.term, life.kill, code) {
        (_, Some(_), None) | (Some(_), _, Some(0)) => None,
        (None, _, code) => Some((at, format!("ended unasked ({code:?})"))),
        (_, _, code) => Some((at, format!("ended with {code:?}"))),
    }
}
