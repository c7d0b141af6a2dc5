//! Every request gets one final answer, in time, and one that an exchange made.

use super::history::{History, Request};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::Answer;

/// A request that came this shortly after SIGTERM may be found open by SIGKILL (µs).
const EXCUSED_AFTER_TERM: u64 = 700_000;

pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (sid, request) in &history.requests {
        let mut add =
            |rule, at, description| found.push(Violation { rule, at, description, sid: Some(sid.clone()) });
        if let Some((at, why)) = request.no_answer.filter(|_| !excused(history, request)) {
            let after = (at - request.sent) as f64 / 1e6;
            add(Rule::Lost, at, format!("n{}: {why}, {after:.3} s after it was sent", request.controller));
        }
        for (at, message) in &request.repeated {
            add(Rule::SecondAnswer, *at, message.clone());
        }
        for (at, answer) in &request.answers {
            let Answer::Stands(text) = answer else { continue };
            let made = history.attempts.get(sid).into_iter().flatten();
            if !made.filter_map(|a| a.answered.as_ref()).any(|a| a.1 == *text) {
                add(Rule::Invented, *at, format!("answered with {text:?}"));
            }
        }
    }
    let unreadable = |(at, line): &(u64, String)| {
        let description = format!("a client got {line:?}");
        Violation { rule: Rule::Unreadable, at: *at, description, sid: None }
    };
    found.extend(history.unreadable.iter().map(unreadable));
    found
}

/// Whether a request without an answer is one that a killed process need not have answered.
fn excused(history: &History, request: &Request) -> bool {
    let Some((noticed, _)) = request.no_answer else { return false };
    let sent = request.sent_again.unwrap_or(request.sent);
    let Some(life) = history.life(request.controller, sent) else { return true };
    let Some((exited, _)) = life.exited.filter(|e| e.0 <= noticed + SLACK) else { return false };
    // What was written to a process that had gone was never taken.
    let killed = life.kill.filter(|k| *k <= exited);
    match (life.term, killed) {
        _ if sent >= exited => true,
        (None, Some(_)) => true,
        (Some(term), Some(kill)) => sent < term + EXCUSED_AFTER_TERM || sent + SLACK >= kill,
        (_, None) => false,
    }
}
