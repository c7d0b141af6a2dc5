//! The phases of a shutdown, and how the ledger handles calls during them.

use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, AnswerReason, FrontendId, Ledger, OfferedCall, Output};
use walnuthatch::routing::shutdown::{Phase, Shutdown};

const MS: Micros = 1_000;
/// The platform sends SIGKILL this long after the longest client deadline.
const KILL_DELAY: Micros = 700 * MS;

fn offer(remaining_time: Micros) -> OfferedCall {
    let new_call = NewCall::to(ExchangeNumber(1), remaining_time);
    OfferedCall { frontend: FrontendId(0), new_call, description: None }
}

#[test]
fn every_open_call_is_answered_well_before_the_kill_whatever_the_longest_deadline() {
    for deadline in [0, 100 * MS, 600 * MS, 3_000 * MS, 9_000 * MS] {
        let shutdown = Shutdown::new(10_000 * MS, deadline);
        let kill = 10_000 * MS + deadline.min(3_000 * MS) + KILL_DELAY;
        let [draining, open_calls_failed, ..] = shutdown.phase_starts();
        assert_eq!((draining.1, open_calls_failed.1), (Phase::Draining, Phase::OpenCallsFailed));
        assert!(draining.0 <= open_calls_failed.0, "no new call is accepted once open calls are failed");
        assert!(
            open_calls_failed.0 <= (kill - 200 * MS).max(10_700 * MS),
            "{deadline}: {open_calls_failed:?}, killed at {kill}"
        );
        assert!(draining.0 - 10_000 * MS >= 600 * MS, "the platform keeps sending calls for 0.6 s");
    }
}

#[test]
fn the_phase_depends_only_on_the_time() {
    let shutdown = Shutdown::new(0, 3_000 * MS);
    for (at, phase) in shutdown.phase_starts() {
        assert_eq!(shutdown.phase_at(at), phase);
        assert!(shutdown.phase_at(at - 1) < phase);
    }
    assert_eq!(shutdown.phase_at(0), Phase::Accepting);
    assert_eq!(shutdown.phase_at(Micros::MAX), Phase::Terminating);
}

#[test]
fn a_closed_ledger_refuses_each_new_call_at_once_and_keeps_the_open_ones() {
    let mut ledger = Ledger::new(Settings::default(), 7);
    let entry = ListEntry {
        exchange: ExchangeNumber(1),
        kind: ExchangeKind::Exchange,
        zone: 0,
        state: ListState::Ready,
        exchange_id: ExchangeId::default(),
        last_start: None,
    };
    ledger.list_update(0, ListUpdate::Cached([entry].into()));
    let first = ledger.offer(10 * MS, offer(3_000 * MS));
    ledger.refuse_new_calls(2_000 * MS);
    ledger.take_outputs();
    for n in 0..50 {
        let call = ledger.offer(20 * MS + n, offer(3_000 * MS));
        let refused = |o: &Output| {
            matches!(
                o,
                Output::Answer {
                    call: c,
                    answer: Answer::Refused { retry_after },
                    reason: AnswerReason::Shutdown,
                    ..
                } if *c == call && *retry_after == 2_000 * MS
            )
        };
        let outputs = ledger.take_outputs();
        assert_eq!(outputs.iter().filter(|o| refused(o)).count(), 1);
        assert!(!outputs.iter().any(|o| matches!(o, Output::SetUp { .. })));
    }
    assert!(ledger.offered_call(first).is_some());
    assert_eq!(ledger.open_calls(), 1);
}
