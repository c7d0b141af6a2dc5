//! Attempts of a request follow one another, and the end of a call is told.

use super::history::{Attempt, History, Request};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::{CallEnd, Micros, SetUpEnd};

/// No attempt so soon after an unclear end (µs).
const QUIET: Micros = 500_000;
/// What waited while a way was closed may come for this long after (µs).
const BACKLOG: Micros = 2_000_000;
/// The end of a call is told within this after its release (µs).
const TOLD_AFTER_RELEASE: Micros = 1_000_000;
/// The same where no release could be sent (µs).
const TOLD_AFTER_END: Micros = 8_000_000;

pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (sid, attempts) in &history.attempts {
        for pair in attempts.windows(2) {
            if let Some((rule, description)) = pair_rule(history, &pair[0], &pair[1]) {
                found.push(Violation { rule, at: pair[1].came, description, sid: Some(sid.clone()) });
            }
        }
        let Some(request) = history.requests.get(sid) else { continue };
        let stood = request.stood.is_some() && request.released.is_none();
        for attempt in attempts.iter().filter(|_| stood) {
            found.extend(end_told(history, request, attempt).map(|(at, description)| Violation {
                rule: Rule::EndNotTold,
                at,
                description,
                sid: Some(sid.clone()),
            }));
        }
    }
    found
}

/// Whether the second attempt came too early after the first.
fn pair_rule(history: &History, first: &Attempt, second: &Attempt) -> Option<(Rule, String)> {
    // What is given up over a closed way is not heard at the exchange, and what was sent over it comes late.
    let from = first.came.saturating_sub(BACKLOG);
    if !history.open(first.controller, first.exchange, from, second.came) {
        return None;
    }
    // A restarted controller knows nothing of earlier attempts.
    if !history.one_life(first.controller, first.came, second.came) {
        return None;
    }
    let out_until = first.answered.as_ref().map(|a| a.0).or(first.ended.map(|e| e.0));
    let text = |description: &str| format!("{description}: x{} then x{}", first.exchange, second.exchange);
    if out_until.is_none_or(|end| end > second.came + SLACK) {
        return Some((Rule::TwoAttempts, text("two attempts out")));
    }
    let (at, end) = first.ended?;
    let unclear =
        matches!(end, SetUpEnd::GivenUp | SetUpEnd::Disconnected | SetUpEnd::Reset | SetUpEnd::Gone);
    let gap = second.came.saturating_sub(at);
    let early = unclear && gap + SLACK < QUIET;
    early.then(|| (Rule::QuietPeriod, text(&format!("{} ms after {end:?}", gap / 1000))))
}

/// When a call's end ought to have been told, if it was not.
fn end_told(history: &History, request: &Request, attempt: &Attempt) -> Option<(Micros, String)> {
    let (ended, end) = attempt.call_ended?;
    let (controller, exchange) = (attempt.controller, attempt.exchange);
    let limit = match end {
        CallEnd::Released => return None,
        CallEnd::Told if history.open(controller, exchange, ended, ended + TOLD_AFTER_RELEASE) => {
            TOLD_AFTER_RELEASE
        }
        CallEnd::Told | CallEnd::Untold | CallEnd::Died | CallEnd::Vanished => TOLD_AFTER_END,
    };
    // A client whose way was cut hears of the end after it heard that the call stands.
    let due = ended.max(request.stood?) + limit + SLACK;
    // Nothing is known of it after a restart, and nothing can be told by one that stops.
    let alive = history.one_life(controller, attempt.came, due);
    let stopping = history.life(controller, ended).is_some_and(|l| l.term.is_some_and(|t| t < due));
    if !alive || stopping || due > history.end || request.told.is_some_and(|t| t <= due) {
        return None;
    }
    let told =
        request.told.map_or("never".to_owned(), |t| format!("{:.3} s after", (t - ended) as f64 / 1e6));
    Some((due, format!("n{controller}: call at x{exchange} ended ({end:?}), told {told}")))
}
