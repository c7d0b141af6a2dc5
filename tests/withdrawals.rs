//! What operators take out of service, through the ledger and the decision module: nothing new after the grace,
//! calls for it are refused at once, and what comes back does so little by little.

use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::*;

const T0: Micros = 100_000_000;
const MS: Micros = 1000;

fn office(n: u8) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, n], port: 5060 }
}

fn circuits(free: f64) -> LoadReport {
    LoadReport { free: Some(free), size: Some(20.0), wait: Some(10_000), ..LoadReport::default() }
}

/// Exchanges 1 to 3, each with a group of 20 circuits, and the own one, 0.
fn ledger() -> Ledger {
    let class = Class {
        latency_objective: 1_200_000,
        client_timeout: 9_000_000,
        late_value: 0.25,
        value: 1.0,
        retry_policy: RetryPolicy::Retryable,
        mean_hold_time: 10_000_000,
        allowed_pools: Vec::new(),
    };
    let settings = Settings {
        classes: vec![class],
        own_exchange: Some(ExchangeNumber(0)),
        quiet_period: 500_000,
        drain_grace: 250_000,
        cold_start_period: 15_000_000,
        cold_start_capacity: 0.35,
        overload_factor: 2.5,
        overload_window: 2_000_000,
        max_retry_after: 2_000_000,
        max_attempts: 4,
        ..Settings::default()
    };
    let mut l = Ledger::new(settings, 7);
    let entry = |n| ListEntry {
        exchange: ExchangeNumber(n),
        zone: 0,
        state: ListState::Ready,
        exchange_id: office(n as u8),
        last_start: None,
    };
    l.list(T0, ListUpdate::Complete((1..=3).map(entry).collect()));
    (1..=3).for_each(|n| l.group(T0, office(n), circuits(20.0)));
    l.take_outputs();
    l
}

fn offer(l: &mut Ledger, now: Micros, to: u16) -> (CallId, Vec<Output>) {
    let ask = NewCall {
        call: CallId(0),
        destination: ExchangeNumber(to),
        transit: false,
        redialled: false,
        cut_before: false,
        number: None,
        circuits: 1,
        remaining_time: 3_000_000,
        class: 0,
        via: None,
        earliest_attempt: 0,
    };
    let call = l.offer(now, Offer { front: FrontId(0), ask, description: None });
    (call, l.take_outputs())
}

fn sent(outputs: &[Output]) -> Option<ExchangeId> {
    outputs.iter().find_map(|o| match o {
        Output::SetUp { office, .. } => Some(*office),
        _ => None,
    })
}

/// The pause of a refusal.
fn refused(outputs: &[Output]) -> Option<Micros> {
    outputs.iter().find_map(|o| match o {
        Output::Answer { answer: Answer::Refused { pause }, .. } => Some(*pause),
        _ => None,
    })
}

fn out(exchanges: &[u16], groups: &[u16], all: bool) -> OutOfService {
    let set = |l: &[u16]| l.iter().map(|&n| ExchangeNumber(n)).collect();
    OutOfService { exchanges: set(exchanges), groups: set(groups), controller: all }
}

#[test]
fn calls_for_a_withdrawn_exchange_are_refused_at_once_and_the_others_pass_it_by() {
    let mut l = ledger();
    l.withdraw(T0, out(&[1], &[], false));
    l.take_outputs();
    let (_, outputs) = offer(&mut l, T0 + MS, 1);
    assert_eq!((sent(&outputs), refused(&outputs)), (None, Some(2_000_000)), "with when to come back");
    // The direct group to 2 is full: of the tandems only 3 is left.
    l.group(T0 + 300 * MS, office(2), circuits(0.0));
    for n in 0..8 {
        let (_, outputs) = offer(&mut l, T0 + (300 + n) * MS, 2);
        assert_ne!(sent(&outputs), Some(office(1)));
    }
}

#[test]
fn a_withdrawn_group_takes_nothing_new_and_its_calls_go_over_a_tandem() {
    let mut l = ledger();
    l.withdraw(T0, out(&[], &[1], false));
    l.take_outputs();
    let (_, outputs) = offer(&mut l, T0 + MS, 1);
    assert!(sent(&outputs).is_some_and(|o| o != office(1)), "{outputs:?}");
    // News of free circuits does not open it.
    l.group(T0 + 2 * MS, office(1), circuits(20.0));
    let (_, outputs) = offer(&mut l, T0 + 3 * MS, 1);
    assert_ne!(sent(&outputs), Some(office(1)));
    // It comes back by a part of its circuits at a time.
    l.withdraw(T0 + 1000 * MS, out(&[], &[], false));
    l.take_outputs();
    let direct = |l: &mut Ledger, now| {
        let answers = (0..20).map(|_| sent(&offer(l, now, 1).1));
        answers.filter(|o| *o == Some(office(1))).count()
    };
    assert_eq!(direct(&mut l, T0 + 1001 * MS), 0);
    l.reopen(T0 + 1000 * MS + 3_000_000);
    let some = direct(&mut l, T0 + 1001 * MS + 3_000_000);
    assert!((1..=4).contains(&some), "a fifth of the time, at most a fifth of the circuits: {some}");
}

#[test]
fn an_exchange_that_comes_back_is_taken_for_a_cold_one() {
    let direct = |withdrawn: bool| {
        let mut l = ledger();
        let back = T0 + 10_000_000;
        if withdrawn {
            l.withdraw(T0, out(&[1], &[], false));
            l.withdraw(back, out(&[], &[], false));
        }
        l.take_outputs();
        // A burst: a cold exchange gets what it has earned, a warm one its share.
        (0..10).filter(|n| sent(&offer(&mut l, back + n * MS, 1).1) == Some(office(1))).count()
    };
    let (cold, warm) = (direct(true), direct(false));
    assert!(cold <= 1 && warm >= 4, "{cold} {warm}");
}

#[test]
fn the_controller_itself_refuses_all_and_what_stands_is_cut_only_by_order() {
    let mut l = ledger();
    let (call, outputs) = offer(&mut l, T0, 1);
    assert_eq!(sent(&outputs), Some(office(1)));
    l.answered(T0 + MS, call, AttemptNumber(0), None);
    l.withdraw(T0 + 2 * MS, out(&[], &[], true));
    l.take_outputs();
    for to in 1..=3 {
        assert!(refused(&offer(&mut l, T0 + 3 * MS, to).1).is_some());
    }
    assert_eq!((l.standing_calls(), l.loads()[&(ExchangeNumber(1), ExchangeNumber(1))]), (1, (0, 1)));
    l.cut(T0 + 4 * MS, |leg, _| leg == Some(ExchangeNumber(1)));
    let outputs = l.take_outputs();
    assert!(outputs.iter().any(|o| matches!(o, Output::Release { cut: true, .. })), "{outputs:?}");
    assert!(outputs.iter().any(|o| matches!(o, Output::Clear { .. })));
    assert_eq!(l.standing_calls(), 0);
}
