//! Checks that the checker accepts a valid record and finds a violation of each rule that is added to it.

use std::path::PathBuf;
use walnuthatch_standin::faulty::record::{Answer, CallEnd, Event, EventKind, Micros, SetUpEnd};
use walnuthatch_trials::check::{check, Rule};
use walnuthatch_trials::record_file::{Record, RecordError};
use walnuthatch_trials::schedule::schedule;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const CALL: &str = "00000000000000c1";

fn sid() -> String {
    CALL.to_owned()
}

fn text() -> String {
    "a text".to_owned()
}

/// Events without violations: one controller, one exchange, one call from request to release, and a graceful stop.
fn valid_events() -> Vec<Event> {
    let at = |at, kind| Event { at, kind };
    let listed =
        EventKind::Listed { index: 1, member: "s-0".to_owned(), exchange: 0, phase: "up".to_owned() };
    vec![
        at(0, listed),
        at(0, EventKind::Started { controller: 0, pid: 1 }),
        at(5 * MS, EventKind::Connected { controller: 0, exchange: 0 }),
        at(30 * MS, EventKind::Ready { controller: 0 }),
        at(S, EventKind::RequestSent { sid: sid(), controller: 0, connection: 1, left_ms: 2_000 }),
        at(S + MS, EventKind::SetUpCame { sid: sid(), controller: 0, exchange: 0, process: 0 }),
        at(S + 20 * MS, EventKind::SetUpAnswered { sid: sid(), exchange: 0, text: text() }),
        at(S + 21 * MS, EventKind::Answered { sid: sid(), answer: Answer::Stands(text()) }),
        at(3 * S, EventKind::CallEnded { sid: sid(), exchange: 0, end: CallEnd::Told }),
        at(3 * S + MS, EventKind::Told { sid: sid(), code: 16 }),
        at(20 * S, EventKind::Left { requests: 0, calls: 0, exchanges_busy: 0 }),
        at(20 * S, EventKind::Resources { controller: 0, rss_kb: 9_000, descriptors: 20, moment: text() }),
        at(21 * S, EventKind::Signal { controller: 0, signal: "TERM".to_owned() }),
        at(22 * S, EventKind::Exited { controller: 0, code: Some(0) }),
        at(22 * S, EventKind::Clock { late_us: 2_000 }),
        at(22 * S, EventKind::End),
    ]
}

fn record(mut events: Vec<Event>) -> Record {
    events.sort_by_key(|e| e.at);
    let mut schedule = schedule(1);
    (schedule.controllers, schedule.exchanges) = (1, 2);
    Record { schedule, events }
}

fn violated_rules(events: Vec<Event>) -> Vec<Rule> {
    check(&record(events)).violations.into_iter().map(|v| v.rule).collect()
}

/// Returns the rules violated by the valid events without those that `removed` selects and with the events in `more`.
fn rules_violated_by(removed: impl Fn(&EventKind) -> bool, more: Vec<(Micros, EventKind)>) -> Vec<Rule> {
    let mut events = valid_events();
    events.retain(|e| !removed(&e.kind));
    events.extend(more.into_iter().map(|(at, kind)| Event { at, kind }));
    violated_rules(events)
}

fn keep_all(_: &EventKind) -> bool {
    false
}

fn set_up_received(at: Micros, exchange: usize) -> (Micros, EventKind) {
    (at, EventKind::SetUpCame { sid: sid(), controller: 0, exchange, process: 0 })
}

#[test]
fn a_valid_record_has_no_violation() {
    let verdict = check(&record(valid_events()));
    assert_eq!((verdict.judged, verdict.violations), (true, vec![]));
    assert_eq!((verdict.requests, verdict.established), (1, 1));
}

#[test]
fn missing_duplicate_invented_and_unreadable_answers_are_found() {
    let answer = |kind: &EventKind| matches!(kind, EventKind::Answered { .. });
    assert_eq!(rules_violated_by(answer, vec![(4 * S, EventKind::Unanswered { sid: sid() })]), [Rule::Lost]);
    let disconnected = EventKind::Broken { sid: sid(), after_us: 400_000 };
    assert_eq!(rules_violated_by(answer, vec![(S + 400 * MS, disconnected)]), [Rule::Lost]);
    let again = EventKind::AnsweredTwice { sid: sid(), message: text() };
    assert_eq!(rules_violated_by(keep_all, vec![(2 * S, again)]), [Rule::SecondAnswer]);
    let exchange_answer = |kind: &EventKind| matches!(kind, EventKind::SetUpAnswered { .. });
    let other = EventKind::SetUpAnswered { sid: sid(), exchange: 0, text: "another".to_owned() };
    assert_eq!(rules_violated_by(exchange_answer, vec![(S + 20 * MS, other)]), [Rule::Invented]);
    let line = EventKind::Unreadable { controller: 0, line: text() };
    assert_eq!(rules_violated_by(keep_all, vec![(2 * S, line)]), [Rule::Unreadable]);
}

#[test]
fn a_request_unanswered_at_sigkill_is_excused_only_if_sent_less_than_700_ms_after_sigterm() {
    let end = |kind: &EventKind| {
        matches!(kind, EventKind::Signal { .. } | EventKind::Exited { .. } | EventKind::Answered { .. })
    };
    let stop = |term| {
        vec![
            (term, EventKind::Signal { controller: 0, signal: "TERM".to_owned() }),
            (term + 3_700 * MS, EventKind::Signal { controller: 0, signal: "KILL".to_owned() }),
            (term + 3_701 * MS, EventKind::Exited { controller: 0, code: None }),
            (term + 3_702 * MS, EventKind::Broken { sid: sid(), after_us: 0 }),
        ]
    };
    assert_eq!(rules_violated_by(end, stop(S - 800 * MS)), [Rule::Lost]);
    assert_eq!(rules_violated_by(end, stop(S - 600 * MS)), []);
}

#[test]
fn overlapping_attempts_and_attempts_in_the_quiet_period_are_found() {
    let answered = |kind: &EventKind| {
        matches!(
            kind,
            EventKind::SetUpAnswered { .. }
                | EventKind::Answered { .. }
                | EventKind::CallEnded { .. }
                | EventKind::Told { .. }
        )
    };
    assert_eq!(rules_violated_by(answered, vec![set_up_received(S + 300 * MS, 1)]), [Rule::TwoAttempts]);
    let given_up = |at| (at, EventKind::SetUpEnded { sid: sid(), exchange: 0, end: SetUpEnd::GivenUp });
    let early = vec![given_up(S + 100 * MS), set_up_received(S + 540 * MS, 1)];
    assert_eq!(rules_violated_by(answered, early), [Rule::QuietPeriod]);
    assert_eq!(
        rules_violated_by(answered, vec![given_up(S + 100 * MS), set_up_received(S + 600 * MS, 1)]),
        []
    );
    let refused = (S + 2 * MS, EventKind::SetUpEnded { sid: sid(), exchange: 0, end: SetUpEnd::Refused });
    assert_eq!(
        rules_violated_by(answered, vec![refused, set_up_received(S + 3 * MS, 1)]),
        [],
        "a refused set-up was never started"
    );
}

#[test]
fn set_ups_to_a_draining_exchange_and_overload_of_a_cold_exchange_are_found() {
    let drains = |listed_at: Micros| {
        let listed = EventKind::Listed {
            index: 2,
            member: "s-0".to_owned(),
            exchange: 0,
            phase: "draining".to_owned(),
        };
        vec![(listed_at, listed), (listed_at, EventKind::ListTold { controller: 0, index: 2 })]
    };
    assert_eq!(rules_violated_by(keep_all, drains(S - 400 * MS)), [Rule::Drain]);
    assert_eq!(rules_violated_by(keep_all, drains(S - 200 * MS)), []);
    // A change counts as delivered 7 s after it is listed, even if its event was not.
    let delivered = |kind: &EventKind| matches!(kind, EventKind::ListTold { .. });
    let mut late = drains(S);
    late.retain(|e| !delivered(&e.1));
    late.extend([set_up_received(8_200 * MS, 0), set_up_received(8_400 * MS, 0)].map(
        |(at, kind)| match kind {
            EventKind::SetUpCame { controller, exchange, process, .. } => {
                (at, EventKind::SetUpCame { sid: format!("{at:016x}"), controller, exchange, process })
            }
            other => (at, other),
        },
    ));
    assert_eq!(rules_violated_by(keep_all, late), [Rule::Drain], "only the second is late");
    let up = EventKind::Listed { index: 2, member: "s-1".to_owned(), exchange: 1, phase: "up".to_owned() };
    let connected = EventKind::Connected { controller: 0, exchange: 1 };
    let mut overload = vec![(S - 10 * MS, EventKind::ExchangeStarted { exchange: 1, process: 1 })];
    overload.extend([(S - 9 * MS, up), (S - 5 * MS, connected)]);
    overload.extend((0..600).map(|n| {
        let sid = format!("{n:016x}");
        (S + n * MS, EventKind::SetUpCame { sid, controller: 0, exchange: 1, process: 1 })
    }));
    assert_eq!(rules_violated_by(keep_all, overload.clone()), [], "no controller was notified of the start");
    overload.push((S - 5 * MS, EventKind::ListTold { controller: 0, index: 2 }));
    assert_eq!(rules_violated_by(keep_all, overload), [Rule::ColdOverload]);
}

#[test]
fn late_and_missing_releases_at_the_client_are_found() {
    let release_received = |kind: &EventKind| matches!(kind, EventKind::Told { .. });
    assert_eq!(rules_violated_by(release_received, vec![]), [Rule::EndNotTold]);
    let at = |at| vec![(at, EventKind::Told { sid: sid(), code: 16 })];
    assert_eq!(
        rules_violated_by(release_received, at(4_100 * MS)),
        [Rule::EndNotTold],
        "more than 1 s after the release"
    );
    assert_eq!(rules_violated_by(release_received, at(4_000 * MS)), []);
    let ended = |kind: &EventKind| matches!(kind, EventKind::Told { .. } | EventKind::CallEnded { .. });
    let vanished = |released_at| {
        let end = EventKind::CallEnded { sid: sid(), exchange: 0, end: CallEnd::Vanished };
        vec![(3 * S, end), (released_at, EventKind::Told { sid: sid(), code: 41 })]
    };
    assert_eq!(rules_violated_by(ended, vanished(11_100 * MS)), [Rule::EndNotTold]);
    assert_eq!(rules_violated_by(ended, vanished(11_000 * MS)), []);
}

#[test]
fn a_new_member_that_is_not_connected_to_is_found_also_after_an_outage() {
    let added = |at| {
        let listed =
            EventKind::Listed { index: 2, member: "s-1".to_owned(), exchange: 1, phase: "up".to_owned() };
        (at, listed)
    };
    let connected = |at| (at, EventKind::Connected { controller: 0, exchange: 1 });
    let reach = |at, reachable| (at, EventKind::CoordinatorReachable { controller: 0, reachable });
    assert_eq!(rules_violated_by(keep_all, vec![added(2 * S)]), [Rule::NewsMissed]);
    assert_eq!(rules_violated_by(keep_all, vec![added(2 * S), connected(9 * S)]), []);
    let outage = |up| vec![reach(S, false), added(2 * S), reach(6 * S, true), connected(up)];
    assert_eq!(
        rules_violated_by(keep_all, outage(12 * S)),
        [],
        "6 s after the end of the outage plus the time to connect"
    );
    assert_eq!(rules_violated_by(keep_all, outage(15 * S)), [Rule::NewsMissed]);
}

#[test]
fn crashes_late_starts_excess_resources_and_leftovers_are_found() {
    let exit = |kind: &EventKind| matches!(kind, EventKind::Exited { .. } | EventKind::Signal { .. });
    assert_eq!(
        rules_violated_by(exit, vec![(9 * S, EventKind::Exited { controller: 0, code: Some(101) })]),
        [Rule::Crash]
    );
    let code = |kind: &EventKind| matches!(kind, EventKind::Exited { .. });
    assert_eq!(
        rules_violated_by(code, vec![(22 * S, EventKind::Exited { controller: 0, code: Some(1) })]),
        [Rule::Crash]
    );
    let ready = |kind: &EventKind| matches!(kind, EventKind::Ready { .. });
    assert_eq!(rules_violated_by(ready, vec![]), [Rule::NotReady]);
    let held = EventKind::Resources { controller: 0, rss_kb: 9_000, descriptors: 900, moment: text() };
    assert_eq!(rules_violated_by(keep_all, vec![(20 * S, held)]), [Rule::Resources]);
    let left = |kind: &EventKind| matches!(kind, EventKind::Left { .. });
    let busy = EventKind::Left { requests: 0, calls: 0, exchanges_busy: 2 };
    assert_eq!(rules_violated_by(left, vec![(20 * S, busy)]), [Rule::LeftOver]);
}

#[test]
fn a_trial_during_which_the_machine_stalled_is_not_judged() {
    let clock = |kind: &EventKind| matches!(kind, EventKind::Clock { .. });
    let mut events = valid_events();
    events.retain(|e| !clock(&e.kind));
    events.insert(events.len() - 1, Event { at: 22 * S, kind: EventKind::Clock { late_us: 400_000 } });
    assert!(!check(&record(events)).judged);
}

#[test]
fn a_record_round_trips_through_its_file_and_a_truncated_file_is_rejected() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    let written = record(valid_events());
    written.write(&file).unwrap();
    let read = Record::read(&file).unwrap();
    assert_eq!((read.schedule, read.events), (written.schedule.clone(), written.events.clone()));
    let text = std::fs::read_to_string(&file).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    std::fs::write(&file, lines[..lines.len() - 3].join("\n")).unwrap();
    let error = Record::read(&file).unwrap_err();
    assert!(matches!(error, RecordError::Truncated { .. }), "{error}");
    std::fs::write(&file, &text[..text.len() - 30]).unwrap();
    let error = Record::read(&file).unwrap_err().to_string();
    assert!(error.contains("record.jsonl"), "{error}");
}

#[test]
fn a_schedule_depends_only_on_its_seed() {
    for seed in 1..40 {
        assert_eq!(schedule(seed), schedule(seed));
        assert_ne!(schedule(seed), schedule(seed + 1));
    }
}
