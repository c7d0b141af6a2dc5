//! Checks that every request receives exactly one final answer in time, with a description that an exchange sent.

use super::history::{History, Request};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::Answer;

/// A request sent less than this long after SIGTERM may still be unanswered at SIGKILL (µs).
const STOP_GRACE: u64 = 700_000;

pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (sid, request) in &history.requests {
        let mut add = |rule, at, description| {
            violations.push(Violation { rule, at, description, sid: Some(sid.clone()) })
        };
        if let Some((at, cause)) = request.no_answer.filter(|_| !is_excused(history, request)) {
            let after = (at - request.sent) as f64 / 1e6;
            add(Rule::Lost, at, format!("n{}: {cause}, {after:.3} s after it was sent", request.controller));
        }
        for (at, message) in &request.extra_answers {
            add(Rule::SecondAnswer, *at, message.clone());
        }
        for (at, answer) in &request.answers {
            let Answer::Stands(text) = answer else { continue };
            let sent_by_exchanges = history.attempts.get(sid).into_iter().flatten();
            if !sent_by_exchanges.filter_map(|a| a.answered.as_ref()).any(|a| a.1 == *text) {
                add(Rule::Invented, *at, format!("answered with {text:?}"));
            }
        }
    }
    let unreadable = |(at, line): &(u64, String)| {
        let description = format!("a client got {line:?}");
        Violation { rule: Rule::Unreadable, at: *at, description, sid: None }
    };
    violations.extend(history.unreadable.iter().map(unreadable));
    violations
}

/// Returns whether an unanswered request is one that a terminated process need not have answered.
fn is_excused(history: &History, request: &Request) -> bool {
    let Some((noticed_at, _)) = request.no_answer else { return false };
    let sent = request.sent_again.unwrap_or(request.sent);
    let Some(run) = history.process_run(request.controller, sent) else { return true };
    let Some((exited, _)) = run.exited.filter(|e| e.0 <= noticed_at + SLACK) else { return false };
    let killed_at = run.kill.filter(|k| *k <= exited);
    match (run.term, killed_at) {
        // A request written after the process had ended was never accepted.
        _ if sent >= exited => true,
        (None, Some(_)) => true,
        (Some(term), Some(kill)) => sent < term + STOP_GRACE || sent + SLACK >= kill,
        (_, None) => false,
    }
}
