//! The phases of a stop, and what the ledger does with calls that come in them.

use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, AnswerReason, FrontId, Ledger, Offer, Output};
use walnuthatch::routing::shutdown::{Phase, Shutdown};

const MS: Micros = 1_000;
/// SIGKILL comes this long after the longest deadline.
const KILL: Micros = 700 * MS;

fn offer(patience: Micros) -> Offer {
    let ask = NewCall {
        call: CallId(0),
        destination: ExchangeNumber(1),
        transit: false,
        redialled: false,
        cut_before: false,
        number: None,
        circuits: 1,
        remaining_time: patience,
        class: 0,
        via: None,
        earliest_attempt: 0,
    };
    Offer { front: FrontId(0), ask, description: None }
}

#[test]
fn every_open_call_is_answered_well_before_the_kill_whatever_the_longest_deadline() {
    for deadline in [0, 100 * MS, 600 * MS, 3_000 * MS, 9_000 * MS] {
        let stop = Shutdown::new(10_000 * MS, deadline);
        let kill = 10_000 * MS + deadline.min(3_000 * MS) + KILL;
        let [draining, answered, ..] = stop.begins();
        assert_eq!((draining.1, answered.1), (Phase::Draining, Phase::Answered));
        assert!(draining.0 <= answered.0, "nothing new comes after the last answers");
        assert!(
            answered.0 <= (kill - 200 * MS).max(10_700 * MS),
            "{deadline}: {answered:?}, killed at {kill}"
        );
        assert!(draining.0 - 10_000 * MS >= 600 * MS, "the platform goes on sending for 0.6 s");
    }
}

#[test]
fn the_phase_at_a_time_does_not_depend_on_when_it_was_looked_at_last() {
    let stop = Shutdown::new(0, 3_000 * MS);
    for (at, phase) in stop.begins() {
        assert_eq!(stop.phase(at), phase);
        assert!(stop.phase(at - 1) < phase);
    }
    assert_eq!(stop.phase(0), Phase::Accepting);
    assert_eq!(stop.phase(Micros::MAX), Phase::Over);
}

#[test]
fn a_closed_ledger_refuses_each_new_call_at_once_and_keeps_the_open_ones() {
    let mut ledger = Ledger::new(Settings::default(), 7);
    let entry = ListEntry {
        exchange: ExchangeNumber(1),
        zone: 0,
        state: ListState::Ready,
        exchange_id: ExchangeId::default(),
        last_start: None,
    };
    ledger.list(0, ListUpdate::Cached([entry].into()));
    let first = ledger.offer(10 * MS, offer(3_000 * MS));
    ledger.close(2_000 * MS);
    ledger.take_outputs();
    for n in 0..50 {
        let call = ledger.offer(20 * MS + n, offer(3_000 * MS));
        let refused = |o: &Output| {
            matches!(o, Output::Answer { call: c, answer: Answer::Refused { pause }, reason: AnswerReason::Shutdown, .. }
                if *c == call && *pause == 2_000 * MS)
        };
        let outputs = ledger.take_outputs();
        assert_eq!(outputs.iter().filter(|o| refused(o)).count(), 1);
        assert!(!outputs.iter().any(|o| matches!(o, Output::SetUp { .. })));
    }
    assert!(ledger.offer_of(first).is_some());
    assert_eq!(ledger.open_calls(), 1);
}
