//! Taking exchanges, trunk groups and the controller out of service, tested through the ledger and the decision
//! module: no new set-ups after the drain grace, calls to the exchange are refused at once, and capacity returns
//! gradually when it is put back.

use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::*;

const T0: Micros = 100_000_000;
const MS: Micros = 1000;

fn exchange_id(n: u8) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, n], port: 5060 }
}

fn circuits(free: f64) -> LoadReport {
    LoadReport { free: Some(free), size: Some(20.0), wait: Some(10_000), ..LoadReport::default() }
}

/// A ledger in exchange 0 that knows exchanges 1 to 3, each through a group of 20 circuits.
fn new_ledger() -> Ledger {
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
    let mut ledger = Ledger::new(settings, 7);
    let entry = |n| ListEntry {
        exchange: ExchangeNumber(n),
        kind: ExchangeKind::Exchange,
        zone: 0,
        state: ListState::Ready,
        exchange_id: exchange_id(n as u8),
        last_start: None,
    };
    ledger.list_update(T0, ListUpdate::Complete((1..=3).map(entry).collect()));
    (1..=3).for_each(|n| ledger.group_report(T0, exchange_id(n), circuits(20.0)));
    ledger.take_outputs();
    ledger
}

fn offer(ledger: &mut Ledger, now: Micros, destination: u16) -> (CallId, Vec<Output>) {
    let new_call = NewCall::to(ExchangeNumber(destination), 3_000_000);
    let call = ledger.offer(now, OfferedCall { frontend: FrontendId(0), new_call, description: None });
    (call, ledger.take_outputs())
}

/// The exchange that a set-up was sent to, if any.
fn set_up_target(outputs: &[Output]) -> Option<ExchangeId> {
    outputs.iter().find_map(|o| match o {
        Output::SetUp { exchange_id, .. } => Some(*exchange_id),
        _ => None,
    })
}

/// The retry delay, if the call was refused.
fn refusal_delay(outputs: &[Output]) -> Option<Micros> {
    outputs.iter().find_map(|o| match o {
        Output::Answer { answer: Answer::Refused { retry_after }, .. } => Some(*retry_after),
        _ => None,
    })
}

fn out_of_service(exchanges: &[u16], groups: &[u16], controller: bool) -> OutOfService {
    let set = |numbers: &[u16]| numbers.iter().map(|&n| ExchangeNumber(n)).collect();
    OutOfService { exchanges: set(exchanges), groups: set(groups), controller }
}

#[test]
fn calls_to_an_exchange_out_of_service_are_refused_and_others_avoid_it_as_tandem() {
    let mut ledger = new_ledger();
    ledger.out_of_service_changed(T0, out_of_service(&[1], &[], false));
    ledger.take_outputs();
    let (_, outputs) = offer(&mut ledger, T0 + MS, 1);
    assert_eq!(
        (set_up_target(&outputs), refusal_delay(&outputs)),
        (None, Some(2_000_000)),
        "the refusal carries a retry delay"
    );
    // The direct group to 2 is full, so only 3 is left as a tandem.
    ledger.group_report(T0 + 300 * MS, exchange_id(2), circuits(0.0));
    for n in 0..8 {
        let (_, outputs) = offer(&mut ledger, T0 + (300 + n) * MS, 2);
        assert_ne!(set_up_target(&outputs), Some(exchange_id(1)));
    }
}

#[test]
fn calls_bypass_a_group_out_of_service_through_a_tandem() {
    let mut ledger = new_ledger();
    ledger.out_of_service_changed(T0, out_of_service(&[], &[1], false));
    ledger.take_outputs();
    let (_, outputs) = offer(&mut ledger, T0 + MS, 1);
    assert!(set_up_target(&outputs).is_some_and(|o| o != exchange_id(1)), "{outputs:?}");
    // A report of free circuits does not put it back into service.
    ledger.group_report(T0 + 2 * MS, exchange_id(1), circuits(20.0));
    let (_, outputs) = offer(&mut ledger, T0 + 3 * MS, 1);
    assert_ne!(set_up_target(&outputs), Some(exchange_id(1)));
    // Once put back into service, it regains its circuits gradually.
    ledger.out_of_service_changed(T0 + 1000 * MS, out_of_service(&[], &[], false));
    ledger.take_outputs();
    let direct_calls = |ledger: &mut Ledger, now| {
        let targets = (0..20).map(|_| set_up_target(&offer(ledger, now, 1).1));
        targets.filter(|o| *o == Some(exchange_id(1))).count()
    };
    assert_eq!(direct_calls(&mut ledger, T0 + 1001 * MS), 0);
    ledger.ramp_restored_groups(T0 + 1000 * MS + 3_000_000);
    let regained = direct_calls(&mut ledger, T0 + 1001 * MS + 3_000_000);
    assert!(
        (1..=4).contains(&regained),
        "after a fifth of the ramp period, at most a fifth of the circuits: {regained}"
    );
}

#[test]
fn an_exchange_put_back_into_service_is_treated_as_cold() {
    let direct_calls = |restored: bool| {
        let mut ledger = new_ledger();
        let restored_at = T0 + 10_000_000;
        if restored {
            ledger.out_of_service_changed(T0, out_of_service(&[1], &[], false));
            ledger.out_of_service_changed(restored_at, out_of_service(&[], &[], false));
        }
        ledger.take_outputs();
        // In a burst, an exchange in its cold start gets only as many calls as it has accrued credit for, a warm one its
        // full share.
        (0..10)
            .filter(|n| set_up_target(&offer(&mut ledger, restored_at + n * MS, 1).1) == Some(exchange_id(1)))
            .count()
    };
    let (cold, warm) = (direct_calls(true), direct_calls(false));
    assert!(cold <= 1 && warm >= 4, "{cold} {warm}");
}

#[test]
fn a_controller_out_of_service_refuses_all_calls_and_keeps_established_ones_until_cut() {
    let mut ledger = new_ledger();
    let (call, outputs) = offer(&mut ledger, T0, 1);
    assert_eq!(set_up_target(&outputs), Some(exchange_id(1)));
    ledger.attempt_answered(T0 + MS, call, AttemptNumber(0), None);
    ledger.out_of_service_changed(T0 + 2 * MS, out_of_service(&[], &[], true));
    ledger.take_outputs();
    for to in 1..=3 {
        assert!(refusal_delay(&offer(&mut ledger, T0 + 3 * MS, to).1).is_some());
    }
    assert_eq!(
        (ledger.established_calls(), ledger.call_loads()[&(ExchangeNumber(1), ExchangeNumber(1))]),
        (1, (0, 1))
    );
    ledger.cut_calls(T0 + 4 * MS, |exchange, _| exchange == Some(ExchangeNumber(1)));
    let outputs = ledger.take_outputs();
    assert!(outputs.iter().any(|o| matches!(o, Output::Release { cut: true, .. })), "{outputs:?}");
    assert!(outputs.iter().any(|o| matches!(o, Output::Clear { .. })));
    assert_eq!(ledger.established_calls(), 0);
}
