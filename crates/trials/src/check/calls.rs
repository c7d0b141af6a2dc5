//! Checks that the attempts of a request do not overlap or follow too early, and that clients receive the release of a
//! call that ended at its exchange.

use super::history::{Attempt, History, Request};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::{CallEnd, Micros, SetUpEnd};

/// Minimum time between the end of an attempt with an unknown outcome and the next attempt (µs).
const QUIET_PERIOD: Micros = 500_000;
/// Messages held up by a closed path may arrive for this long after it opens (µs).
const DELIVERY_AFTER_REOPENING: Micros = 2_000_000;
/// Limit from the exchange's release of a call to its receipt by the client (µs).
const RELEASE_LIMIT: Micros = 1_000_000;
/// Limit from the end of a call to the release at the client if the exchange could not deliver a release (µs).
const LOSS_DETECTION_LIMIT: Micros = 8_000_000;

pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (sid, attempts) in &history.attempts {
        for pair in attempts.windows(2) {
            if let Some((rule, description)) = check_pair(history, &pair[0], &pair[1]) {
                violations.push(Violation {
                    rule,
                    at: pair[1].received_at,
                    description,
                    sid: Some(sid.clone()),
                });
            }
        }
        let Some(request) = history.requests.get(sid) else { continue };
        let established = request.established.is_some() && request.released.is_none();
        for attempt in attempts.iter().filter(|_| established) {
            violations.extend(check_release(history, request, attempt).map(|(at, description)| Violation {
                rule: Rule::EndNotTold,
                at,
                description,
                sid: Some(sid.clone()),
            }));
        }
    }
    violations
}

/// Checks whether an attempt overlaps the previous one or follows it too early.
fn check_pair(history: &History, first: &Attempt, second: &Attempt) -> Option<(Rule, String)> {
    // A cancellation does not reach the exchange over a closed path, and messages sent over it arrive late.
    let from = first.received_at.saturating_sub(DELIVERY_AFTER_REOPENING);
    if !history.path_open(first.controller, first.exchange, from, second.received_at) {
        return None;
    }
    // A restarted controller has no record of earlier attempts.
    if !history.same_process(first.controller, first.received_at, second.received_at) {
        return None;
    }
    let pending_until = first.answered.as_ref().map(|a| a.0).or(first.ended.map(|e| e.0));
    let describe =
        |description: &str| format!("{description}: x{} then x{}", first.exchange, second.exchange);
    if pending_until.is_none_or(|end| end > second.received_at + SLACK) {
        return Some((Rule::TwoAttempts, describe("two attempts out")));
    }
    let (at, end) = first.ended?;
    let unknown_outcome =
        matches!(end, SetUpEnd::GivenUp | SetUpEnd::Disconnected | SetUpEnd::Reset | SetUpEnd::Gone);
    let gap = second.received_at.saturating_sub(at);
    let early = unknown_outcome && gap + SLACK < QUIET_PERIOD;
    early.then(|| (Rule::QuietPeriod, describe(&format!("{} ms after {end:?}", gap / 1000))))
}

/// Checks whether the client received the release of a call in time. Returns the time limit if it did not.
fn check_release(history: &History, request: &Request, attempt: &Attempt) -> Option<(Micros, String)> {
    let (ended, end) = attempt.call_ended?;
    let (controller, exchange) = (attempt.controller, attempt.exchange);
    let limit = match end {
        CallEnd::Released => return None,
        CallEnd::Told if history.path_open(controller, exchange, ended, ended + RELEASE_LIMIT) => {
            RELEASE_LIMIT
        }
        CallEnd::Told | CallEnd::Untold | CallEnd::Died | CallEnd::Vanished => LOSS_DETECTION_LIMIT,
    };
    // A partitioned client receives the release only after the answer.
    let due = ended.max(request.established?) + limit + SLACK;
    // A restarted controller has no record of the call, and a stopping one can't send the release.
    let alive = history.same_process(controller, attempt.received_at, due);
    let stopping =
        history.process_run(controller, ended).is_some_and(|run| run.term.is_some_and(|t| t < due));
    if !alive || stopping || due > history.end || request.release_received.is_some_and(|t| t <= due) {
        return None;
    }
    let received = request
        .release_received
        .map_or("never".to_owned(), |t| format!("{:.3} s after", (t - ended) as f64 / 1e6));
    Some((due, format!("n{controller}: call at x{exchange} ended ({end:?}), told {received}")))
}
