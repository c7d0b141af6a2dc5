//! The checker finds a planted violation of each rule in a record that keeps all of them.

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

/// One controller, one exchange, one call from its request to its end, and an orderly stop.
fn good() -> Vec<Event> {
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

fn broken(events: Vec<Event>) -> Vec<Rule> {
    check(&record(events)).violations.into_iter().map(|v| v.rule).collect()
}

/// The good record with these events more, without those that `left_out` names.
fn planted(left_out: impl Fn(&EventKind) -> bool, more: Vec<(Micros, EventKind)>) -> Vec<Rule> {
    let mut events = good();
    events.retain(|e| !left_out(&e.kind));
    events.extend(more.into_iter().map(|(at, kind)| Event { at, kind }));
    broken(events)
}

fn nothing(_: &EventKind) -> bool {
    false
}

fn came(at: Micros, exchange: usize) -> (Micros, EventKind) {
    (at, EventKind::SetUpCame { sid: sid(), controller: 0, exchange, process: 0 })
}

#[test]
fn a_record_that_keeps_all_rules_has_no_violation() {
    let verdict = check(&record(good()));
    assert_eq!((verdict.judged, verdict.violations), (true, vec![]));
    assert_eq!((verdict.requests, verdict.established), (1, 1));
}

#[test]
fn requests_without_an_answer_with_two_or_with_one_that_nobody_made_are_found() {
    let answer = |w: &EventKind| matches!(w, EventKind::Answered { .. });
    assert_eq!(planted(answer, vec![(4 * S, EventKind::Unanswered { sid: sid() })]), [Rule::Lost]);
    let broken = EventKind::Broken { sid: sid(), after_us: 400_000 };
    assert_eq!(planted(answer, vec![(S + 400 * MS, broken)]), [Rule::Lost]);
    let again = EventKind::AnsweredTwice { sid: sid(), message: text() };
    assert_eq!(planted(nothing, vec![(2 * S, again)]), [Rule::SecondAnswer]);
    let made = |w: &EventKind| matches!(w, EventKind::SetUpAnswered { .. });
    let other = EventKind::SetUpAnswered { sid: sid(), exchange: 0, text: "another".to_owned() };
    assert_eq!(planted(made, vec![(S + 20 * MS, other)]), [Rule::Invented]);
    let line = EventKind::Unreadable { controller: 0, line: text() };
    assert_eq!(planted(nothing, vec![(2 * S, line)]), [Rule::Unreadable]);
}

#[test]
fn a_request_that_is_open_at_sigkill_is_lost_if_it_came_late_and_excused_if_it_came_early() {
    let end = |w: &EventKind| {
        matches!(w, EventKind::Signal { .. } | EventKind::Exited { .. } | EventKind::Answered { .. })
    };
    let stop = |term| {
        vec![
            (term, EventKind::Signal { controller: 0, signal: "TERM".to_owned() }),
            (term + 3_700 * MS, EventKind::Signal { controller: 0, signal: "KILL".to_owned() }),
            (term + 3_701 * MS, EventKind::Exited { controller: 0, code: None }),
            (term + 3_702 * MS, EventKind::Broken { sid: sid(), after_us: 0 }),
        ]
    };
    assert_eq!(planted(end, stop(S - 800 * MS)), [Rule::Lost]);
    assert_eq!(planted(end, stop(S - 600 * MS)), []);
}

#[test]
fn attempts_that_overlap_or_follow_too_soon_are_found() {
    let answered = |w: &EventKind| {
        matches!(
            w,
            EventKind::SetUpAnswered { .. }
                | EventKind::Answered { .. }
                | EventKind::CallEnded { .. }
                | EventKind::Told { .. }
        )
    };
    assert_eq!(planted(answered, vec![came(S + 300 * MS, 1)]), [Rule::TwoAttempts]);
    let given_up = |at| (at, EventKind::SetUpEnded { sid: sid(), exchange: 0, end: SetUpEnd::GivenUp });
    let early = vec![given_up(S + 100 * MS), came(S + 540 * MS, 1)];
    assert_eq!(planted(answered, early), [Rule::QuietPeriod]);
    assert_eq!(planted(answered, vec![given_up(S + 100 * MS), came(S + 600 * MS, 1)]), []);
    let refused = (S + 2 * MS, EventKind::SetUpEnded { sid: sid(), exchange: 0, end: SetUpEnd::Refused });
    assert_eq!(planted(answered, vec![refused, came(S + 3 * MS, 1)]), [], "it never ran");
}

#[test]
fn set_ups_after_the_limit_of_a_drain_and_too_many_to_a_cold_exchange_are_found() {
    let drains = |told: Micros| {
        let listed = EventKind::Listed {
            index: 2,
            member: "s-0".to_owned(),
            exchange: 0,
            phase: "draining".to_owned(),
        };
        vec![(told, listed), (told, EventKind::ListTold { controller: 0, index: 2 })]
    };
    assert_eq!(planted(nothing, drains(S - 400 * MS)), [Rule::Drain]);
    assert_eq!(planted(nothing, drains(S - 200 * MS)), []);
    // It counts as told 7 s later, whether it arrived or not.
    let told = |w: &EventKind| matches!(w, EventKind::ListTold { .. });
    let mut late = drains(S);
    late.retain(|e| !told(&e.1));
    late.extend([came(8_200 * MS, 0), came(8_400 * MS, 0)].map(|(at, kind)| match kind {
        EventKind::SetUpCame { controller, exchange, process, .. } => {
            (at, EventKind::SetUpCame { sid: format!("{at:016x}"), controller, exchange, process })
        }
        other => (at, other),
    }));
    assert_eq!(planted(nothing, late), [Rule::Drain], "the second of them");
    let up = EventKind::Listed { index: 2, member: "s-1".to_owned(), exchange: 1, phase: "up".to_owned() };
    let connected = EventKind::Connected { controller: 0, exchange: 1 };
    let mut flood = vec![(S - 10 * MS, EventKind::ExchangeStarted { exchange: 1, process: 1 })];
    flood.extend([(S - 9 * MS, up), (S - 5 * MS, connected)]);
    flood.extend((0..600).map(|n| {
        let sid = format!("{n:016x}");
        (S + n * MS, EventKind::SetUpCame { sid, controller: 0, exchange: 1, process: 1 })
    }));
    assert_eq!(planted(nothing, flood.clone()), [], "nobody had been told of its start");
    flood.push((S - 5 * MS, EventKind::ListTold { controller: 0, index: 2 }));
    assert_eq!(planted(nothing, flood), [Rule::ColdOverload]);
}

#[test]
fn ends_that_are_not_told_in_time_are_found() {
    let told = |w: &EventKind| matches!(w, EventKind::Told { .. });
    assert_eq!(planted(told, vec![]), [Rule::EndNotTold]);
    let at = |at| vec![(at, EventKind::Told { sid: sid(), code: 16 })];
    assert_eq!(planted(told, at(4_100 * MS)), [Rule::EndNotTold], "1 s after the release");
    assert_eq!(planted(told, at(4_000 * MS)), []);
    let ended = |w: &EventKind| matches!(w, EventKind::Told { .. } | EventKind::CallEnded { .. });
    let vanished = |told| {
        let end = EventKind::CallEnded { sid: sid(), exchange: 0, end: CallEnd::Vanished };
        vec![(3 * S, end), (told, EventKind::Told { sid: sid(), code: 41 })]
    };
    assert_eq!(planted(ended, vanished(11_100 * MS)), [Rule::EndNotTold]);
    assert_eq!(planted(ended, vanished(11_000 * MS)), []);
}

#[test]
fn news_that_is_not_followed_is_found_after_an_outage_too() {
    let added = |at| {
        let listed =
            EventKind::Listed { index: 2, member: "s-1".to_owned(), exchange: 1, phase: "up".to_owned() };
        (at, listed)
    };
    let connected = |at| (at, EventKind::Connected { controller: 0, exchange: 1 });
    let reach = |at, reachable| (at, EventKind::CoordinatorReachable { controller: 0, reachable });
    assert_eq!(planted(nothing, vec![added(2 * S)]), [Rule::NewsMissed]);
    assert_eq!(planted(nothing, vec![added(2 * S), connected(9 * S)]), []);
    let outage = |up| vec![reach(S, false), added(2 * S), reach(6 * S, true), connected(up)];
    assert_eq!(planted(nothing, outage(12 * S)), [], "6 s after it could be reached, and time to connect");
    assert_eq!(planted(nothing, outage(15 * S)), [Rule::NewsMissed]);
}

#[test]
fn processes_that_end_unasked_or_hold_too_much_and_what_is_left_over_are_found() {
    let exit = |w: &EventKind| matches!(w, EventKind::Exited { .. } | EventKind::Signal { .. });
    assert_eq!(
        planted(exit, vec![(9 * S, EventKind::Exited { controller: 0, code: Some(101) })]),
        [Rule::Crash]
    );
    let code = |w: &EventKind| matches!(w, EventKind::Exited { .. });
    assert_eq!(
        planted(code, vec![(22 * S, EventKind::Exited { controller: 0, code: Some(1) })]),
        [Rule::Crash]
    );
    let ready = |w: &EventKind| matches!(w, EventKind::Ready { .. });
    assert_eq!(planted(ready, vec![]), [Rule::NotReady]);
    let held = EventKind::Resources { controller: 0, rss_kb: 9_000, descriptors: 900, moment: text() };
    assert_eq!(planted(nothing, vec![(20 * S, held)]), [Rule::Resources]);
    let left = |w: &EventKind| matches!(w, EventKind::Left { .. });
    let busy = EventKind::Left { requests: 0, calls: 0, exchanges_busy: 2 };
    assert_eq!(planted(left, vec![(20 * S, busy)]), [Rule::LeftOver]);
}

#[test]
fn a_trial_on_which_the_machine_stood_still_is_not_judged() {
    let clock = |w: &EventKind| matches!(w, EventKind::Clock { .. });
    let mut events = good();
    events.retain(|e| !clock(&e.kind));
    events.insert(events.len() - 1, Event { at: 22 * S, kind: EventKind::Clock { late_us: 400_000 } });
    assert!(!check(&record(events)).judged);
}

#[test]
fn a_record_is_read_back_as_it_was_written_and_one_that_was_cut_short_is_named() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("record.jsonl");
    let written = record(good());
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
fn a_schedule_is_the_same_for_its_seed_each_time() {
    for seed in 1..40 {
        assert_eq!(schedule(seed), schedule(seed));
        assert_ne!(schedule(seed), schedule(seed + 1));
    }
}
