//! Checks that controllers become ready in time, exit only on a signal, stay within resource limits and leave no
//! requests or calls behind.

use super::history::{History, ProcessRun};
use super::{Rule, Violation};
use walnuthatch_standin::faulty::record::Micros;

/// Time within which a controller must become ready after its start (µs).
const READY_LIMIT: Micros = 10_000_000;
/// Limits for a controller at the end of a trial: memory (KiB) and number of descriptors.
const RESOURCE_LIMITS: (u64, u64) = (32 * 1024, 64);

pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |rule, at, description| violations.push(Violation { rule, at, description, sid: None });
    for (controller, process_runs) in history.process_runs.iter().enumerate() {
        for run in process_runs {
            if let Some((at, description)) = check_exit(run) {
                add(Rule::Crash, at, format!("n{controller}: {description}"));
            }
            let ended = run.term.or(run.kill).or(run.exited.map(|e| e.0));
            let due = run.started + READY_LIMIT;
            let applicable = ended.is_none_or(|e| e > due) && due < history.end;
            if applicable && run.ready.is_none_or(|r| r > due) {
                add(Rule::NotReady, due, format!("n{controller} is not ready after 10 s"));
            }
        }
    }
    for &(at, controller, memory, descriptors) in &history.resources {
        if memory > RESOURCE_LIMITS.0 || descriptors > RESOURCE_LIMITS.1 {
            let description = format!("n{controller} holds {memory} KiB and {descriptors} descriptors");
            add(Rule::Resources, at, description);
        }
    }
    // Calls left at clients are not counted here: no process may know them after a restart of their controller.
    // `calls` checks the release of each of them.
    if let Some((at, (requests, _, busy))) = history.leftovers.filter(|l| (l.1 .0, l.1 .2) != (0, 0)) {
        let description = format!("{requests} requests at clients, {busy} calls at exchanges");
        add(Rule::LeftOver, at, description);
    }
    violations
}

fn check_exit(run: &ProcessRun) -> Option<(Micros, String)> {
    let (at, code) = run.exited?;
    match (run.term, run.kill, code) {
        (_, Some(_), None) | (Some(_), _, Some(0)) => None,
        (None, _, code) => Some((at, format!("ended unasked ({code:?})"))),
        (_, _, code) => Some((at, format!("ended with {code:?}"))),
    }
}
