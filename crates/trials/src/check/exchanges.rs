//! Checks that controllers follow the coordinator's list and do not overload cold exchanges.

use super::history::{Attempt, Change, History};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::Micros;

/// A change counts as delivered at the latest this long after the coordinator lists it (µs).
const DELIVERY_LIMIT: Micros = 7_000_000;
/// The same limit for a change during an outage, from the time at which the coordinator is reachable again (µs).
const DELIVERY_LIMIT_AFTER_OUTAGE: Micros = 6_000_000;
/// Time within which a controller must stop sending set-ups to a draining or removed exchange (µs).
const DRAIN_LIMIT: Micros = 250_000;
/// Time within which a controller must connect to a new member (µs). Connection attempts are retried with delays that
/// grow to one second.
const CONNECT_LIMIT: Micros = 2_500_000;
/// Settings of the trials: a cold exchange is overloaded by `OVERLOAD_FACTOR` times its capacity for the duration of
/// `OVERLOAD_WINDOW` (µs). Its capacity grows from the share `COLD_START_CAPACITY` to its full value during
/// `COLD_START_PERIOD` (µs).
const OVERLOAD_WINDOW: Micros = 2_000_000;
const OVERLOAD_FACTOR: f64 = 2.5;
const COLD_START_CAPACITY: f64 = 0.35;
const COLD_START_PERIOD: Micros = 15_000_000;
/// Capacity of a warm exchange as a multiple of its mean load.
const WARM_CAPACITY: f64 = 1.5;

pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = check_drains(history);
    violations.extend(check_cold_starts(history));
    violations.extend(check_new_members(history));
    violations
}

/// Returns the time at which a change counts as delivered to a controller.
fn delivery_time(history: &History, controller: usize, change: &Change) -> Micros {
    let reachable = history.reachable_since(change.at);
    let limit = if reachable == change.at {
        change.at + DELIVERY_LIMIT
    } else {
        reachable.saturating_add(DELIVERY_LIMIT_AFTER_OUTAGE)
    };
    let delivered = history.delivered.get(&(controller, change.index)).copied();
    delivered.map_or(limit, |t| t.min(limit))
}

fn check_drains(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (sid, attempt) in history.attempts.iter().flat_map(|(s, all)| all.iter().map(move |a| (s, a))) {
        let (controller, exchange) = (attempt.controller, attempt.exchange);
        let before_attempt = |c: &&Change| c.exchange == exchange && c.at <= attempt.received_at;
        // Set-ups to an exchange whose latest listed member is up are permitted.
        let Some(change) = history.changes.iter().rev().find(before_attempt).filter(|c| c.phase != "up")
        else {
            continue;
        };
        let first = history
            .changes
            .iter()
            .find(|c| c.member == change.member && c.phase != "up" && c.at > last_listed_up(history, change));
        let Some(first) = first else { continue };
        let started = history.process_run(controller, attempt.received_at).map_or(0, |run| run.started);
        let notified = delivery_time(history, controller, first).max(started);
        let limit = notified.saturating_add(DRAIN_LIMIT + SLACK);
        if attempt.received_at > limit
            && history.path_open(controller, exchange, notified, attempt.received_at)
        {
            let delay_ms = (attempt.received_at - notified) / 1000;
            let description = format!(
                "n{controller} sent to x{exchange} ({}) {delay_ms} ms after it was told",
                first.phase
            );
            violations.push(Violation {
                rule: Rule::Drain,
                at: attempt.received_at,
                description,
                sid: Some(sid.clone()),
            });
        }
    }
    violations
}

/// Returns the time at which the member of a change was last listed as up before the change.
fn last_listed_up(history: &History, change: &Change) -> Micros {
    let up = |c: &&Change| c.member == change.member && c.phase == "up" && c.at <= change.at;
    history.changes.iter().rev().find(up).map_or(0, |c| c.at)
}

/// Checks the load on cold exchanges. An overload is a violation if more than two thirds of its set-ups came from
/// controllers that had been notified of the start.
fn check_cold_starts(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for &(started, exchange) in &history.cold_starts {
        let listed =
            history.changes.iter().find(|c| c.exchange == exchange && c.phase == "up" && c.at >= started);
        let notified =
            |a: &Attempt| listed.is_some_and(|c| a.received_at >= delivery_time(history, a.controller, c));
        let in_cold_start = |a: &&Attempt| {
            a.exchange == exchange && a.received_at >= started && a.received_at < started + COLD_START_PERIOD
        };
        let mut sent: Vec<(Micros, bool)> = history
            .attempts
            .values()
            .flatten()
            .filter(in_cold_start)
            .map(|a| (a.received_at, notified(a)))
            .collect();
        sent.sort_unstable();
        for (first, &(from, _)) in sent.iter().enumerate() {
            let window: Vec<_> = sent[first..].iter().take_while(|s| s.0 < from + OVERLOAD_WINDOW).collect();
            let (total, from_notified) = (window.len(), window.iter().filter(|s| s.1).count());
            let progress = (from - started) as f64 / COLD_START_PERIOD as f64;
            let capacity_share = COLD_START_CAPACITY + (1.0 - COLD_START_CAPACITY) * progress;
            let allowed = OVERLOAD_FACTOR
                * WARM_CAPACITY
                * history.mean_rate
                * capacity_share
                * (OVERLOAD_WINDOW as f64 / 1e6);
            let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
            if total as f64 > limit && 3 * from_notified > 2 * total {
                let description = format!("x{exchange} got {total} set-ups in 2 s, {limit:.0} at most");
                violations.push(Violation { rule: Rule::ColdOverload, at: from, description, sid: None });
                break;
            }
        }
    }
    violations
}

/// Checks that each controller connects to each member that is listed as up for the first time.
fn check_new_members(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (n, change) in history.changes.iter().enumerate().filter(|(_, c)| c.phase == "up") {
        if history.changes[..n].iter().any(|c| c.member == change.member) {
            continue;
        }
        for controller in 0..history.process_runs.len() {
            let due = delivery_time(history, controller, change).saturating_add(CONNECT_LIMIT);
            let applicable = due < history.end
                && history.same_process(controller, change.at, due)
                && history.path_open(controller, change.exchange, change.at, due);
            let superseded =
                history.changes[n + 1..].iter().any(|c| c.exchange == change.exchange && c.at <= due);
            let times = history.connected.get(&(controller, change.exchange));
            let connected = times.into_iter().flatten().any(|&t| t + SLACK >= change.at && t <= due);
            if applicable && !superseded && !connected {
                let description =
                    format!("n{controller} did not follow {} at x{}", change.member, change.exchange);
                violations.push(Violation { rule: Rule::NewsMissed, at: due, description, sid: None });
            }
        }
    }
    violations
}
