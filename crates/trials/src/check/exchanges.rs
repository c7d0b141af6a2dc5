//! What is sent to exchanges follows the coordinator's list, and a cold exchange is spared.

use super::history::{Attempt, Change, History};
use super::{Rule, Violation, SLACK};
use walnuthatch_standin::faulty::record::Micros;

/// A change counts as told this long after the coordinator has it (µs).
const TOLD: Micros = 7_000_000;
/// The same, since a coordinator that could not be reached can be.
const TOLD_AFTER_OUTAGE: Micros = 6_000_000;
/// Set-ups to an exchange that drains must end within this (µs).
const DRAIN: Micros = 250_000;
/// A new exchange is connected to this long after it is told, at the latest (µs): connections are tried again at
/// growing waits of up to a second.
const CONNECTED: Micros = 2_500_000;
/// The settings of the trials: a cold exchange falls when pushed for this long (µs), by this multiple of its
/// capacity, which grows from this share to the whole in this time (µs).
const FALL: Micros = 2_000_000;
const OVERLOAD: f64 = 2.5;
const COLD_FROM: f64 = 0.35;
const COLD: Micros = 15_000_000;
/// A warm exchange takes this multiple of what it gets on average.
const CAPACITY: f64 = 1.5;

pub fn check(history: &History) -> Vec<Violation> {
    let mut found = drains(history);
    found.extend(cold(history));
    found.extend(news(history));
    found
}

/// When a change counts as told to a controller.
fn told(history: &History, controller: usize, change: &Change) -> Micros {
    let reach = history.reachable_from(change.at);
    let rule = if reach == change.at { change.at + TOLD } else { reach.saturating_add(TOLD_AFTER_OUTAGE) };
    let told = history.told.get(&(controller, change.index)).copied();
    told.map_or(rule, |t| t.min(rule))
}

fn drains(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (sid, attempt) in history.attempts.iter().flat_map(|(s, all)| all.iter().map(move |a| (s, a))) {
        let (controller, exchange) = (attempt.controller, attempt.exchange);
        let of = |c: &&Change| c.exchange == exchange && c.at <= attempt.came;
        // Whatever is up there now may be sent to.
        let Some(change) = history.changes.iter().rev().find(of).filter(|c| c.phase != "up") else {
            continue;
        };
        let first = history
            .changes
            .iter()
            .find(|c| c.member == change.member && c.phase != "up" && c.at > last_up(history, change));
        let Some(first) = first else { continue };
        let started = history.life(controller, attempt.came).map_or(0, |l| l.started);
        let told = told(history, controller, first).max(started);
        let limit = told.saturating_add(DRAIN + SLACK);
        if attempt.came > limit && history.open(controller, exchange, told, attempt.came) {
            let late = (attempt.came - told) / 1000;
            let description =
                format!("n{controller} sent to x{exchange} ({}) {late} ms after it was told", first.phase);
            found.push(Violation {
                rule: Rule::Drain,
                at: attempt.came,
                description,
                sid: Some(sid.clone()),
            });
        }
    }
    found
}

/// When the member of a change was last listed as up before it.
fn last_up(history: &History, change: &Change) -> Micros {
    let up = |c: &&Change| c.member == change.member && c.phase == "up" && c.at <= change.at;
    history.changes.iter().rev().find(up).map_or(0, |c| c.at)
}

/// A cold exchange falls when it gets too much; the rule is broken if over two thirds of it came from controllers that
/// had been told of its start.
fn cold(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for &(started, exchange) in &history.cold {
        let listed =
            history.changes.iter().find(|c| c.exchange == exchange && c.phase == "up" && c.at >= started);
        let knows = |a: &Attempt| listed.is_some_and(|c| a.came >= told(history, a.controller, c));
        let to = |a: &&Attempt| a.exchange == exchange && a.came >= started && a.came < started + COLD;
        let mut sent: Vec<(Micros, bool)> =
            history.attempts.values().flatten().filter(to).map(|a| (a.came, knows(a))).collect();
        sent.sort_unstable();
        for (first, &(from, _)) in sent.iter().enumerate() {
            let window: Vec<_> = sent[first..].iter().take_while(|s| s.0 < from + FALL).collect();
            let (all, known) = (window.len(), window.iter().filter(|s| s.1).count());
            let done = (from - started) as f64 / COLD as f64;
            let share = COLD_FROM + (1.0 - COLD_FROM) * done;
            let allowed = OVERLOAD * CAPACITY * history.mean_rate * share * (FALL as f64 / 1e6);
            let most = allowed + 2.0 * allowed.sqrt() + 2.0;
            if all as f64 > most && 3 * known > 2 * all {
                let description = format!("x{exchange} got {all} set-ups in 2 s, {most:.0} at most");
                found.push(Violation { rule: Rule::ColdOverload, at: from, description, sid: None });
                break;
            }
        }
    }
    found
}

/// Whether each controller connects to what comes up at the coordinator under a new name.
fn news(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (n, change) in history.changes.iter().enumerate().filter(|(_, c)| c.phase == "up") {
        if history.changes[..n].iter().any(|c| c.member == change.member) {
            continue;
        }
        for controller in 0..history.lives.len() {
            let due = told(history, controller, change).saturating_add(CONNECTED);
            let steady = due < history.end
                && history.one_life(controller, change.at, due)
                && history.open(controller, change.exchange, change.at, due);
            let gone = history.changes[n + 1..].iter().any(|c| c.exchange == change.exchange && c.at <= due);
            let times = history.connected.get(&(controller, change.exchange));
            let connected = times.into_iter().flatten().any(|&t| t + SLACK >= change.at && t <= due);
            if steady && !gone && !connected {
                let description =
                    format!("n{controller} did not follow {} at x{}", change.member, change.exchange);
                found.push(Violation { rule: Rule::NewsMissed, at: due, description, sid: None });
            }
        }
    }
    found
}
