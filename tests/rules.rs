//! Tests of the decision module alone: one test per failure mode, and the five invariants on seeded random events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use walnuthatch::routing::control::Controller;
use walnuthatch::routing::interface::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn settings() -> Settings {
    let class = |latency_objective, value| Class {
        latency_objective,
        client_timeout: 9 * S,
        late_value: 0.1,
        value,
        retry_policy: RetryPolicy::Retryable,
        mean_hold_time: 10 * S,
        allowed_pools: Vec::new(),
    };
    Settings {
        classes: vec![class(1_200 * MS, 1.0), class(1_200 * MS, 3.0)],
        own_exchange: Some(ExchangeNumber(0)),
        controller_count: 5,
        quiet_period: 300 * MS,
        may_cancel: true,
        max_attempts: 6,
        max_open_calls: 1_000,
        drain_grace: 250 * MS,
        cold_start_capacity: 0.3,
        cold_start_period: 15 * S,
        overload_factor: 2.0,
        overload_window: S,
        min_batch_interval: 5 * MS,
        max_retry_after: 2 * S,
        max_list_age: 10 * S,
        ..Settings::default()
    }
}

fn exchange_id(n: u16) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, n as u8], port: 5060 }
}

fn entry(n: u16) -> ListEntry {
    ListEntry {
        exchange: ExchangeNumber(n),
        kind: ExchangeKind::Exchange,
        zone: 0,
        state: ListState::Ready,
        exchange_id: exchange_id(n),
        last_start: None,
    }
}

fn group_report(n: u16, free: f64) -> Event {
    let report = LoadReport { free: Some(free), size: Some(20.0), ..LoadReport::default() };
    Event::GroupReport { exchange_id: exchange_id(n), report }
}

fn call(id: u32, destination: u16) -> NewCall {
    NewCall { call: CallId(id), ..NewCall::to(ExchangeNumber(destination), 3 * S) }
}

fn outcome(id: u32, attempt: u8, exchange: u16, ending: Ending, cause: Cause) -> Outcome {
    Outcome {
        call: CallId(id),
        attempt: AttemptNumber(attempt),
        exchange_id: exchange_id(exchange),
        ending,
        cause,
        elapsed: 20 * MS,
        call_ended: false,
        report: LoadReport::default(),
    }
}

fn ended(id: u32, attempt: u8, exchange: u16, ending: Ending, cause: Cause) -> Event {
    Event::Ended(outcome(id, attempt, exchange, ending, cause))
}

/// A controller at exchange 0, with exchanges 1 to 4 and twenty free circuits toward each of them.
struct Testbed {
    controller: Controller,
    now: Micros,
}

impl Testbed {
    fn with(settings: Settings) -> Testbed {
        let mut bed = Testbed { controller: Controller::new(settings, 7), now: 100 * S };
        bed.handle(Event::List(ListUpdate::Cached((0..5).map(entry).collect())));
        (1..5).for_each(|n| drop(bed.handle(group_report(n, 20.0))));
        bed
    }

    fn new() -> Testbed {
        Testbed::with(settings())
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        out
    }

    fn call(&mut self, id: u32, destination: u16) -> Vec<Action> {
        self.handle(Event::Call(call(id, destination)))
    }

    /// Advances the clock by `span` with regular ticks and returns all actions.
    fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 50 * MS).min(end);
            all.extend(self.handle(Event::Timer(0)));
        }
        all
    }
}

fn setups(actions: &[Action]) -> Vec<ExchangeId> {
    let target = |action: &Action| match action {
        Action::SetUp { exchange_id, .. } => Some(*exchange_id),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count()
}

#[test]
fn direct_route_is_used_up_to_the_last_circuit_including_own_set_ups() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 1.0));
    assert_eq!(setups(&bed.call(1, 1)), [exchange_id(1)]);
    assert_ne!(setups(&bed.call(2, 1)), [exchange_id(1)]);
}

#[test]
fn blocked_calls_use_tandems_in_rotation() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    let mut used: Vec<ExchangeId> = (1..4).flat_map(|id| setups(&bed.call(id, 1))).collect();
    used.sort_unstable();
    assert_eq!(used, [exchange_id(2), exchange_id(3), exchange_id(4)]);
}

/// Guards against review case 1: calls for a full exchange were set up at endpoints of a gateway as if it were a tandem.
#[test]
fn a_gateway_is_reached_directly_and_is_never_a_tandem() {
    let with_gateway = || {
        let mut bed = Testbed::new();
        let gateway = ListEntry { kind: ExchangeKind::Gateway, ..entry(4) };
        bed.handle(Event::List(ListUpdate::Changes([gateway].into())));
        bed
    };
    let mut bed = with_gateway();
    bed.handle(group_report(1, 0.0));
    let used: Vec<ExchangeId> = (1..4).flat_map(|id| setups(&bed.call(id, 1))).collect();
    assert_eq!(used, [exchange_id(2), exchange_id(3), exchange_id(2)]);
    // A call for the own exchange, which only a tandem can carry, must not come back through the gateway either.
    let mut bed = with_gateway();
    (1..4).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    assert!(setups(&bed.call(1, 0)).is_empty());
    // Calls for the gateway itself go there directly, or not at all: no exchange has a group to it.
    let mut bed = with_gateway();
    assert_eq!(setups(&bed.call(1, 4)), [exchange_id(4)]);
    bed.handle(group_report(4, 0.0));
    assert!(setups(&bed.call(2, 4)).is_empty());
}

#[test]
fn tandem_route_keeps_headroom_on_its_first_leg() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    (2..5).for_each(|n| drop(bed.handle(group_report(n, 2.0))));
    assert!(setups(&bed.call(1, 1)).is_empty());
}

#[test]
fn overloaded_tandem_is_not_used_until_a_good_report_or_a_time_limit() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    let load = |n, busy| {
        let report =
            LoadReport { free: Some(20.0), size: Some(20.0), busy: Some(busy), ..LoadReport::default() };
        Event::GroupReport { exchange_id: exchange_id(n), report }
    };
    (2..5).for_each(|n| drop(bed.handle(load(n, 0.95))));
    assert!(setups(&bed.call(1, 1)).is_empty());
    bed.handle(Event::CallAbandoned(CallId(1)));
    bed.now += 4 * S;
    bed.handle(load(3, 0.5));
    assert_eq!(setups(&bed.call(2, 1)), [exchange_id(3)]);
    bed.handle(load(3, 0.95));
    bed.handle(established(2, 3, 20 * MS));
    bed.handle(load(3, 0.95));
    assert!(setups(&bed.call(3, 1)).is_empty());
    bed.handle(Event::CallAbandoned(CallId(3)));
    bed.now += 11 * S;
    assert_eq!(setups(&bed.call(4, 1)).len(), 1);
}

#[test]
fn call_in_transit_goes_direct_or_is_turned_back() {
    let mut bed = Testbed::new();
    let transit = |id| NewCall { transit: true, via: Some(ExchangeNumber(3)), ..call(id, 1) };
    assert_eq!(setups(&bed.handle(Event::Call(transit(1)))), [exchange_id(1)]);
    bed.handle(group_report(1, 1.0));
    let turned_back = bed.handle(Event::Call(transit(2)));
    assert_eq!((setups(&turned_back).len(), final_answers(&turned_back)), (0, 1));
}

#[test]
fn call_without_a_route_is_refused_once_and_in_time() {
    let mut bed = Testbed::new();
    (1..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    let mut done = bed.call(1, 1);
    done.extend(bed.advance(3 * S - 20 * MS));
    assert_eq!((setups(&done).len(), final_answers(&done)), (0, 1));
}

#[test]
fn call_fails_at_once_when_its_set_up_reaches_the_deadline() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.now += 3 * S;
    let last = bed.handle(ended(1, 0, 1, Ending::TimedOut, Cause::None));
    assert_eq!(last, [Action::Fail(CallId(1))]);
}

#[test]
fn no_second_attempt_while_one_is_pending() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    assert!(setups(&bed.advance(2_900 * MS)).is_empty());
}

#[test]
fn quiet_period_is_observed_after_a_reset() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.now += 100 * MS;
    assert!(setups(&bed.handle(ended(1, 0, 1, Ending::Reset, Cause::None))).is_empty());
    assert!(setups(&bed.advance(300 * MS)).is_empty());
    assert_eq!(setups(&bed.advance(200 * MS)).len(), 1);
}

#[test]
fn no_set_up_to_an_exchange_that_drains_or_left_the_list() {
    let mut bed = Testbed::new();
    let draining = ListEntry { state: ListState::Draining, ..entry(1) };
    bed.handle(Event::List(ListUpdate::Changes([draining].into())));
    assert!(setups(&bed.call(1, 1)).is_empty());
    bed.handle(Event::List(ListUpdate::Complete([entry(0), entry(3), entry(4)].into())));
    assert!(setups(&bed.call(2, 2)).is_empty());
    assert_eq!(setups(&bed.call(3, 3)), [exchange_id(3)]);
}

#[test]
fn cold_start_limits_direct_calls_and_calls_in_transit_to_a_share_of_the_usual_rate() {
    let mut bed = Testbed::new();
    let mut got = 0;
    for id in 0..400 {
        bed.now += 20 * MS;
        if id == 200 {
            let restarted = ListEntry { last_start: Some(bed.now), ..entry(1) };
            bed.handle(Event::List(ListUpdate::Changes([restarted].into())));
            got = 0;
        }
        let transit = id % 2 == 0;
        let mut done = bed.handle(group_report(1, 20.0));
        done.extend(bed.handle(Event::Call(NewCall { transit, ..call(id, 1) })));
        for action in done {
            if let Action::SetUp { call, exchange_id: target, .. } = action {
                got += usize::from(target == exchange_id(1));
                bed.handle(Event::Established {
                    call,
                    attempt: AttemptNumber(0),
                    exchange_id: target,
                    setup_time: 20 * MS,
                });
            }
        }
    }
    assert!((10..=60).contains(&got), "{got} of 200 set-ups in the first four seconds");
}

#[test]
fn newly_listed_exchange_is_in_its_cold_start() {
    let mut bed = Testbed::new();
    bed.handle(Event::List(ListUpdate::Changes([entry(9)].into())));
    bed.handle(group_report(9, 20.0));
    let sent: usize = (0..10).map(|id| setups(&bed.call(id, 9)).len()).sum();
    assert!(sent <= 1);
}

#[test]
fn path_that_turned_a_call_back_is_skipped_for_another_tandem() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    let first = setups(&bed.call(1, 1))[0];
    let n = u16::from(first.addr[3]);
    let next = setups(&bed.handle(ended(1, 0, n, Ending::Full, Cause::TurnedBack)));
    assert!(next.len() == 1 && next[0] != first);
    let later: Vec<ExchangeId> = (2..6).flat_map(|id| setups(&bed.call(id, 1))).collect();
    assert!(!later.contains(&first));
}

#[test]
fn paths_known_to_be_open_are_preferred_where_untested_ones_rarely_succeed() {
    let mut bed = testbed_of(40, settings(), 7);
    // Most tandems have no group to the destination and turn every call back.
    for id in 1..20u16 {
        bed.handle(group_report(id, 0.0));
        let mut targets = setups(&bed.call(u32::from(id), id));
        for attempt in 0..6 {
            let Some(n) = targets.first().map(|target| u16::from(target.addr[3])) else { break };
            targets = setups(&bed.handle(ended(u32::from(id), attempt, n, Ending::Full, Cause::TurnedBack)));
        }
        bed.now += 200 * MS;
    }
    bed.handle(group_report(38, 0.0));
    let first = setups(&bed.call(500, 38))[0];
    let turned_back = ended(500, 0, u16::from(first.addr[3]), Ending::Full, Cause::TurnedBack);
    assert!(setups(&bed.handle(turned_back)).is_empty(), "no further attempt over an untested path");
    // Another call suggests a tandem: the path through it is known to be open.
    bed.handle(Event::Call(NewCall { via: Some(ExchangeNumber(39)), ..call(501, 38) }));
    assert!(setups(&bed.advance(100 * MS)).contains(&exchange_id(39)));
}

#[test]
fn tandem_that_reports_no_group_to_the_destination_is_skipped() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    for n in 2..4u16 {
        // Reports groups with exchanges 0 and 4 only.
        let body = vec![1, 0, n as u8, 0b1_0001];
        bed.handle(Event::PeerMessage { from: PeerNumber(u32::from(n)), body });
    }
    bed.handle(Event::PeerMessage { from: PeerNumber(9), body: vec![1] });
    bed.handle(Event::PeerMessage { from: PeerNumber(9), body: vec![] });
    for id in 0..3 {
        assert_eq!(setups(&bed.call(id, 1)), [exchange_id(4)]);
    }
}

#[test]
fn own_groups_are_sent_to_peers_if_some_are_missing() {
    let actions_with = |free| {
        let mut bed = Testbed::with(Settings { may_message_peers: true, ..settings() });
        let report = LoadReport { free: Some(free), size: Some(free), ..LoadReport::default() };
        bed.handle(Event::GroupReport { exchange_id: exchange_id(3), report });
        bed.advance(2 * S)
    };
    let body = vec![1, 0, 0, 0b1_0110];
    assert_eq!(actions_with(0.0), [Action::SendToPeer { to: None, body }]);
    assert!(actions_with(5.0).is_empty());
}

#[test]
fn no_further_tandem_once_the_destination_is_full() {
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    let n = u16::from(setups(&bed.call(1, 1))[0].addr[3]);
    let done = bed.handle(ended(1, 0, n, Ending::Full, Cause::FarProcessorFull));
    assert_eq!((setups(&done).len(), final_answers(&done)), (0, 1));
}

#[test]
fn full_exchange_gets_one_set_up_after_its_breaker_closes() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.handle(ended(1, 0, 1, Ending::Full, Cause::ProcessorFull(Some(200 * MS))));
    assert!(setups(&bed.call(2, 1)).is_empty());
    bed.now += 600 * MS;
    let sent: usize = (3..9).map(|id| setups(&bed.call(id, 1)).len()).sum();
    assert_eq!(sent, 1);
}

#[test]
fn slow_set_ups_reduce_the_concurrency_limit() {
    let mut bed = Testbed::new();
    for id in 0..20 {
        bed.call(id, 1);
        bed.advance(900 * MS);
        let exchange_id = exchange_id(1);
        bed.handle(Event::Established {
            call: CallId(id),
            attempt: AttemptNumber(0),
            exchange_id,
            setup_time: 900 * MS,
        });
    }
    let sent: usize = (100..110).map(|id| setups(&bed.call(id, 1)).len()).sum();
    assert!(sent <= 2, "{sent} set-ups to a slow exchange");
}

#[test]
fn calls_to_a_congested_number_are_refused_for_a_while() {
    let mut bed = Testbed::new();
    let to_number = |id| NewCall { number: Some(5), ..call(id, 1) };
    bed.handle(Event::Call(to_number(1)));
    bed.handle(ended(1, 0, 1, Ending::Fault, Cause::LinesBusy));
    assert!(setups(&bed.handle(Event::Call(to_number(2)))).is_empty());
    bed.now += 10 * S;
    assert_eq!(setups(&bed.handle(Event::Call(to_number(3)))).len(), 1);
}

#[test]
fn calls_overflow_only_to_pools_that_their_class_allows() {
    let mut s = settings();
    (s.topology, s.own_exchange) = (Topology::Pools, None);
    s.classes[0].allowed_pools = vec![ExchangeNumber(1), ExchangeNumber(3)];
    let mut bed = Testbed::with(s);
    bed.handle(group_report(1, 0.0));
    assert_eq!(setups(&bed.call(1, 1)), [exchange_id(3)]);
    assert!(setups(&bed.call(2, 2)).is_empty());
}

#[test]
fn list_is_requested_again_after_a_failure() {
    let mut bed = Testbed::with(Settings { membership_mode: MembershipMode::OnRequest, ..settings() });
    assert!(bed.advance(S).contains(&Action::Subscribe));
    bed.handle(Event::List(ListUpdate::Failed));
    assert!(bed.advance(2 * S).contains(&Action::Subscribe));
}

#[test]
fn events_for_unknown_calls_and_exchanges_are_ignored() {
    let mut bed = Testbed::new();
    assert!(bed.handle(ended(9, 0, 77, Ending::Reset, Cause::None)).is_empty());
    assert!(bed.handle(group_report(77, 3.0)).is_empty());
    assert!(bed.handle(Event::CallAbandoned(CallId(3))).is_empty());
    bed.call(1, 1);
    bed.handle(Event::CallAbandoned(CallId(1)));
    assert!(bed.handle(ended(1, 0, 1, Ending::Full, Cause::None)).is_empty());
}

/// Feeds random events to a controller and checks the invariants on every action.
fn check_invariants(steps: &[(u8, u8, u8)]) -> Result<(), TestCaseError> {
    let s = settings();
    let mut c = Controller::new(s.clone(), 3);
    let mut now = 50 * S;
    // Per call: deadline, pending attempt (number, exchange), attempts so far, earliest next attempt.
    type OpenCall = (Micros, Option<(u8, ExchangeId)>, u8, Micros);
    let mut open: BTreeMap<CallId, OpenCall> = BTreeMap::new();
    let mut drained: BTreeMap<ExchangeId, Micros> = BTreeMap::new();
    let mut next = 0;
    let mut events = vec![Event::List(ListUpdate::Cached((0..5).map(entry).collect()))];
    events.extend((1..5).map(|n| group_report(n, 9.0)));
    let mut steps = steps.iter();
    loop {
        for event in std::mem::take(&mut events) {
            let mut out = Vec::new();
            c.handle(now, event, &mut out);
            for a in out {
                match a {
                    Action::SetUp { call, exchange_id, .. } => {
                        let open_call = open.get_mut(&call);
                        prop_assert!(open_call.is_some(), "set-up after the final answer");
                        let open_call = open_call.unwrap();
                        prop_assert!(open_call.1.is_none(), "two attempts pending");
                        prop_assert!(now >= open_call.3, "set-up in the quiet period");
                        prop_assert!(drained.get(&exchange_id).is_none_or(|t| now - t <= s.drain_grace));
                        *open_call =
                            (open_call.0, Some((open_call.2, exchange_id)), open_call.2 + 1, open_call.3);
                    }
                    Action::Refuse { call, .. } | Action::Fail(call) => {
                        let open_call = open.remove(&call);
                        prop_assert!(open_call.is_some(), "a second final answer");
                        prop_assert!(open_call.unwrap().1.is_none(), "final answer with an attempt pending");
                    }
                    _ => {}
                }
            }
        }
        for open_call in open.values() {
            prop_assert!(open_call.1.is_some() || now <= open_call.0 + 20 * MS, "no final answer in time");
        }
        // Attempts pending at their deadline time out, as on the wire.
        now += 10 * MS;
        let due = |open_call: &OpenCall| open_call.1.filter(|_| now >= open_call.0);
        let late: Vec<_> = open.iter().filter_map(|(&id, open_call)| Some((id, due(open_call)?))).collect();
        for (id, (attempt, exchange_id)) in late {
            if let Some(open_call) = open.get_mut(&id) {
                (open_call.1, open_call.3) = (None, now + s.quiet_period);
            }
            events.push(ended(id.0, attempt, u16::from(exchange_id.addr[3]), Ending::TimedOut, Cause::None));
        }
        events.push(Event::Timer(0));
        let Some(&(kind, a, b)) = steps.next() else {
            if open.is_empty() {
                return Ok(());
            }
            continue;
        };
        let n = u16::from(a % 4) + 1;
        match kind % 8 {
            0..=2 => {
                let transit = b % 5 == 0;
                let class = usize::from(b % 2);
                let remaining_time = (Micros::from(b) * 20 + 100) * MS;
                let request = NewCall { transit, class, remaining_time, ..call(next, n) };
                open.insert(CallId(next), (now + remaining_time, None, 0, 0));
                events.push(Event::Call(request));
                next += 1;
            }
            3 => events.push(group_report(n, f64::from(b % 12))),
            4 => {
                let state = [ListState::Ready, ListState::Draining, ListState::Gone][usize::from(b % 3)];
                let e = ListEntry { state, last_start: (b > 128).then_some(now), ..entry(n) };
                match state {
                    ListState::Ready => drop(drained.remove(&exchange_id(n))),
                    ListState::Draining | ListState::Gone => {
                        drained.entry(exchange_id(n)).or_insert(now);
                    }
                }
                events.push(Event::List(ListUpdate::Changes([e].into())));
            }
            _ => {
                let pending: Vec<_> =
                    open.iter().filter(|(_, open_call)| open_call.1.is_some()).map(|(&id, _)| id).collect();
                let Some(&id) = pending.get(usize::from(a) % pending.len().max(1)) else { continue };
                let Some(open_call) = open.get_mut(&id) else { continue };
                let Some((attempt, at)) = open_call.1.take() else { continue };
                let n = u16::from(at.addr[3]);
                let (ending, cause) = match b % 9 {
                    0 => (Ending::Reset, Cause::None),
                    1 => (Ending::Full, Cause::TurnedBack),
                    2 => (Ending::Full, Cause::ProcessorFull(Some(70 * MS))),
                    3 => (Ending::NotSent, Cause::NoCircuit),
                    4 => (Ending::Unreachable, Cause::None),
                    5 => (Ending::Fault, Cause::None),
                    6 => (Ending::TimedOut, Cause::None),
                    _ => {
                        open.remove(&id);
                        let attempt = AttemptNumber(attempt);
                        events.push(Event::Established {
                            call: id,
                            attempt,
                            exchange_id: at,
                            setup_time: 80 * MS,
                        });
                        continue;
                    }
                };
                if matches!(ending, Ending::Reset | Ending::TimedOut) {
                    open_call.3 = now + s.quiet_period;
                }
                events.push(ended(id.0, attempt, n, ending, cause));
            }
        }
    }
}

#[test]
fn rules_hold_on_random_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let steps = prop::collection::vec(any::<(u8, u8, u8)>(), 0..600);
    TestRunner::new_with_rng(config, rng).run(&steps, |s| check_invariants(&s)).unwrap();
}

#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut bed = Testbed::new();
        bed.handle(group_report(1, 0.0));
        (0..50).flat_map(|id| bed.call(id, 1 + (id % 4) as u16)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn first_tries_take_a_freed_circuit_before_redials() {
    let mut bed = Testbed::new();
    (1..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    bed.handle(Event::Call(NewCall { redialled: true, ..call(1, 1) }));
    bed.now += 100 * MS;
    bed.call(2, 1);
    let freed = bed.handle(group_report(1, 1.0));
    assert!(matches!(freed[..], [Action::SetUp { call: CallId(2), .. }]));
}

#[test]
fn pending_set_ups_at_an_unresponsive_exchange_do_not_block_the_others() {
    let mut bed = Testbed::new();
    (0..5).for_each(|id| drop(bed.call(id, 1)));
    assert!(setups(&bed.advance(650 * MS)).is_empty());
    assert!(setups(&bed.call(5, 2)).is_empty(), "the own limit applies while all exchanges may be slow");
    assert_eq!(setups(&bed.handle(established(99, 3, 50 * MS))), [exchange_id(2)]);
}

#[test]
fn set_up_to_an_exchange_on_probation_has_a_short_time_out() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.handle(ended(1, 0, 1, Ending::Unreachable, Cause::None));
    bed.now += 600 * MS;
    let trial = bed.call(2, 1);
    assert!(matches!(trial[..], [Action::SetUp { timeout: Some(t), .. }] if t < 3 * S));
}

#[test]
fn blocked_call_is_not_queued_past_its_latency_objective() {
    let mut bed = Testbed::new();
    (1..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    bed.call(1, 1);
    assert_eq!(final_answers(&bed.advance(900 * MS)), 0);
    assert_eq!(final_answers(&bed.advance(300 * MS)), 1);
}

#[test]
fn lost_set_ups_do_not_occupy_the_limit_until_their_callers_abandon_them() {
    let mut bed = Testbed::new();
    (0..5).for_each(|id| drop(bed.handle(Event::Call(NewCall { remaining_time: 9 * S, ..call(id, 1) }))));
    for id in 50..60 {
        // The exchanges answer other set-ups meanwhile, so none of them is unresponsive.
        bed.now += 150 * MS;
        let (call, exchange_id) = (CallId(id), exchange_id(1));
        bed.handle(Event::Established { call, attempt: AttemptNumber(0), exchange_id, setup_time: 50 * MS });
    }
    assert_eq!(setups(&bed.call(9, 2)), [exchange_id(2)]);
}

#[test]
fn overtaken_set_up_is_cancelled_and_retried_after_the_quiet_period() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    assert!(bed.advance(600 * MS).is_empty());
    let (call, exchange_id) = (CallId(99), exchange_id(1));
    bed.handle(Event::Established { call, attempt: AttemptNumber(0), exchange_id, setup_time: 50 * MS });
    let cancel = Action::Cancel { call: CallId(1), attempt: AttemptNumber(0) };
    assert_eq!(bed.handle(Event::Timer(0)), [cancel]);
    assert!(setups(&bed.handle(ended(1, 0, 1, Ending::Cancelled, Cause::None))).is_empty());
    assert!(setups(&bed.advance(300 * MS)).is_empty());
    assert_eq!(setups(&bed.advance(200 * MS)), [exchange_id]);
}

/// A controller at exchange 0 of `n`, with twenty free circuits toward each of the others.
fn testbed_of(n: u16, settings: Settings, seed: u64) -> Testbed {
    let mut bed = Testbed { controller: Controller::new(settings, seed), now: 100 * S };
    bed.handle(Event::List(ListUpdate::Cached((0..n).map(entry).collect())));
    (1..n).for_each(|e| drop(bed.handle(group_report(e, 20.0))));
    bed
}

#[test]
fn many_senders_together_do_not_overload_an_exchange_in_its_cold_start() {
    const SENDERS: u64 = 86;
    let s = Settings { controller_count: SENDERS as u32, ..settings() };
    let mut beds: Vec<Testbed> = (0..SENDERS).map(|k| testbed_of(86, s.clone(), k << 20)).collect();
    // Each sends twelve set-ups per second, to the others in rotation, so each exchange receives as many.
    let usual_rate = 12.0;
    let mut id = 0;
    let mut send = |bed: &mut Testbed, to: u16| {
        id += 1;
        let done = bed.call(id, to);
        for &target in &setups(&done) {
            let (call, attempt) = (CallId(id), AttemptNumber(0));
            bed.handle(Event::Established { call, attempt, exchange_id: target, setup_time: 20 * MS });
        }
        setups(&done).len()
    };
    for step in 0..120u16 {
        for bed in &mut beds {
            bed.now += 83 * MS;
            send(bed, 2 + step % 84);
        }
    }
    let started = beds[0].now;
    let restarted = ListEntry { last_start: Some(started), ..entry(1) };
    beds.iter_mut()
        .for_each(|bed| drop(bed.handle(Event::List(ListUpdate::Changes([restarted.clone()].into())))));
    // From its restart on, every sender has a call to it in each tick.
    let mut reached = Vec::new();
    for tick in 0..100i64 {
        let got = beds.iter_mut().fold(0, |sum, bed| {
            bed.now += 50 * MS;
            let other = 2 + (tick % 84) as u16;
            sum + send(bed, 1) + usize::from(tick % 2 == 0 && send(bed, other) == usize::MAX)
        });
        reached.push(got as f64);
    }
    for (at, span) in reached.windows(20).enumerate() {
        // The usual set-ups load the processor to 80 %, half of that for its own calls.
        let share = s.cold_start_capacity + (1.0 - s.cold_start_capacity) * at as f64 * 0.05 / 15.0;
        let limit = s.overload_factor * share * usual_rate * 2.0 / 0.8;
        let got: f64 = span.iter().sum();
        assert!(got < limit, "{got} set-ups in the second from {at}, limit {limit}");
    }
    assert!(reached.iter().sum::<f64>() > 2.0 * usual_rate, "its calls still get through");
}

fn established(id: u32, exchange: u16, setup_time: Micros) -> Event {
    Event::Established {
        call: CallId(id),
        attempt: AttemptNumber(0),
        exchange_id: exchange_id(exchange),
        setup_time,
    }
}

#[test]
fn without_faults_routes_match_the_basic_design() {
    const N: u16 = 8;
    let mut bed = testbed_of(N, settings(), 7);
    let mut free = [20.0; N as usize];
    let mut next_tandem = 0;
    for id in 0..500u32 {
        bed.now += 100 * MS;
        let hash = id.wrapping_mul(2_654_435_761) >> 8;
        let (reported, to) = (1 + (hash % 7) as u16, 1 + (hash / 7 % 7) as u16);
        free[usize::from(reported)] = f64::from(hash / 49 % 6);
        bed.handle(group_report(reported, free[usize::from(reported)]));
        // The basic design: direct, else the next tandem in rotation with headroom, else none.
        let room = |n: u16, least: f64| free[usize::from(n)] >= least;
        let mut rotation = (next_tandem..N).chain(0..next_tandem);
        let expected =
            if room(to, 1.0) { Some(to) } else { rotation.find(|&t| t != 0 && t != to && room(t, 3.0)) };
        let got = setups(&bed.call(id, to));
        assert_eq!(got, expected.map(exchange_id).into_iter().collect::<Vec<_>>(), "call {id}");
        match expected {
            Some(t) => {
                free[usize::from(t)] -= 1.0;
                next_tandem = if t == to { next_tandem } else { t + 1 };
                bed.handle(established(id, t, 20 * MS));
            }
            None => drop(bed.handle(Event::CallAbandoned(CallId(id)))),
        }
    }
}

#[test]
fn lost_answer_does_not_trip_the_breaker_if_later_set_ups_were_answered() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.now += 100 * MS;
    bed.call(2, 1);
    bed.now += 50 * MS;
    bed.handle(established(2, 1, 50 * MS));
    bed.now += 2_850 * MS;
    let lost = Event::Ended(Outcome { elapsed: 3 * S, ..outcome(1, 0, 1, Ending::TimedOut, Cause::None) });
    bed.handle(lost);
    assert_eq!(setups(&bed.call(3, 1)), [exchange_id(1)]);
}

#[test]
fn set_ups_overtaken_at_other_exchanges_are_cancelled_only_if_overdue_ones_prove_lost() {
    let cancelled = |losses: u32| {
        let mut bed = Testbed::new();
        for id in 0..losses {
            bed.call(id, 2);
            let lost = outcome(id, 0, 2, Ending::TimedOut, Cause::None);
            bed.handle(Event::Ended(Outcome { call_ended: true, elapsed: 3 * S, ..lost }));
            bed.advance(10 * S);
        }
        // Exchange 1 was quick the last time; then it answers nothing while exchange 3 does.
        bed.call(50, 1);
        bed.handle(established(50, 1, 20 * MS));
        bed.call(51, 1);
        bed.advance(500 * MS);
        bed.call(52, 3);
        bed.handle(established(52, 3, 20 * MS));
        bed.advance(100 * MS).contains(&Action::Cancel { call: CallId(51), attempt: AttemptNumber(0) })
    };
    assert!(!cancelled(0), "the set-up may only be slow");
    assert!(cancelled(10));
}

#[test]
fn redial_uses_no_tandem_and_leaves_the_last_circuits_to_first_tries() {
    let mut bed = Testbed::new();
    let redial = |id| Event::Call(NewCall { redialled: true, ..call(id, 1) });
    bed.handle(group_report(1, 2.0));
    assert!(setups(&bed.handle(redial(1))).is_empty());
    assert_eq!(setups(&bed.call(2, 1)), [exchange_id(1)]);
    bed.handle(group_report(1, 9.0));
    bed.handle(Event::CallAbandoned(CallId(1)));
    assert_eq!(setups(&bed.handle(redial(3))), [exchange_id(1)]);
}

#[test]
fn stall_of_this_controller_is_not_attributed_to_the_exchanges() {
    let mut bed = Testbed::new();
    bed.call(1, 1);
    bed.advance(100 * MS);
    bed.now += 2 * S;
    // The tick is processed first, then the answer that waited behind it.
    assert!(bed.handle(Event::Timer(0)).is_empty());
    bed.handle(established(1, 1, 2_100 * MS));
    assert_eq!(
        setups(&bed.call(2, 1)),
        [exchange_id(1)],
        "its breaker has not tripped, nor was its limit reduced"
    );
    (2..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    assert_eq!(setups(&bed.call(3, 2)), [exchange_id(1)], "nor does it count as overloaded as a tandem");
}

#[test]
fn after_a_stall_calls_past_their_objective_yield_to_new_ones() {
    let mut bed = Testbed::new();
    bed.call(1, 2);
    bed.handle(established(1, 2, 20 * MS));
    bed.handle(group_report(1, 1.0));
    bed.advance(100 * MS);
    bed.now += 2 * S;
    // Its remaining time shows that it has waited 1.8 s; it leaves the last circuit to a call within its objective.
    let waited = NewCall { remaining_time: 1_200 * MS, ..call(2, 1) };
    assert!(setups(&bed.handle(Event::Call(waited))).is_empty());
    assert_eq!(setups(&bed.call(3, 1)), [exchange_id(1)]);
}

#[test]
fn transit_is_turned_back_only_if_the_own_delay_is_long() {
    let transit_setups_after = |setup_time: Micros| {
        let mut bed = Testbed::new();
        for id in 0..12 {
            bed.call(id, 1 + (id % 4) as u16);
            bed.advance(50 * MS);
            bed.handle(established(id, 1 + (id % 4) as u16, setup_time));
        }
        setups(&bed.handle(Event::Call(NewCall { transit: true, ..call(90, 1) }))).len()
    };
    assert_eq!((transit_setups_after(600 * MS), transit_setups_after(1_000 * MS)), (1, 0));
}

#[test]
fn memory_stays_bounded_with_replaced_machines_and_new_called_numbers() {
    let mut bed = Testbed::new();
    let mut size_after = |rounds: u32| {
        for k in 0..rounds {
            let fresh = ExchangeId { addr: [10, 1, (k >> 8) as u8, k as u8], port: 1 + (k >> 16) as u16 };
            let added = ListEntry { exchange_id: fresh, ..entry(4) };
            bed.handle(Event::List(ListUpdate::Changes([added.clone()].into())));
            bed.handle(Event::Call(NewCall {
                number: Some(k.into()),
                ..call(10_000 + k, 1 + (k % 4) as u16)
            }));
            bed.handle(ended(10_000 + k, 0, 1, Ending::Fault, Cause::LinesBusy));
            bed.handle(Event::CallAbandoned(CallId(10_000 + k)));
            bed.handle(Event::List(ListUpdate::Changes(
                [ListEntry { state: ListState::Gone, ..added }].into(),
            )));
            bed.now += 40 * MS;
            bed.handle(Event::Timer(0));
        }
        format!("{:?}", bed.controller).len()
    };
    let few = size_after(200);
    assert!(size_after(3_000) < 2 * few);
}

#[test]
fn redial_leaves_the_last_place_of_the_own_limit_to_first_tries() {
    let mut bed = Testbed::new();
    (0..4).for_each(|id| drop(bed.call(id, 1)));
    let redial = NewCall { redialled: true, ..call(4, 2) };
    assert!(setups(&bed.handle(Event::Call(redial))).is_empty());
    assert_eq!(setups(&bed.call(5, 2)), [exchange_id(2)]);
}

#[test]
fn cold_start_credit_carries_over_at_most_one_set_up() {
    let mut bed = Testbed::new();
    let restarted = ListEntry { last_start: Some(bed.now + 4 * S), ..entry(1) };
    for id in 0..70 {
        if id == 40 {
            bed.handle(Event::List(ListUpdate::Changes([restarted.clone()].into())));
        }
        let to = 2 + (id % 3) as u16;
        bed.handle(group_report(to, 20.0));
        bed.call(id, to);
        bed.handle(established(id, to, 20 * MS));
        bed.advance(100 * MS);
    }
    let mut reached = 0;
    for id in 100..105 {
        let got = setups(&bed.call(id, 1)).len();
        reached += got;
        if got == 1 {
            bed.handle(established(id, 1, 20 * MS));
        }
    }
    assert_eq!(reached, 2);
}

#[test]
fn call_in_its_quiet_period_is_answered_before_its_caller_abandons_it() {
    // Each remaining time ends at a different offset from the ticks.
    for remaining_time in (390..480).map(|ms| ms * MS) {
        let mut bed = Testbed::new();
        let deadline = bed.now + remaining_time;
        bed.handle(Event::Call(NewCall { remaining_time, ..call(1, 1) }));
        bed.now += 50 * MS;
        let mut actions = bed.handle(ended(1, 0, 1, Ending::Reset, Cause::None));
        (1..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
        let answer = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Fail(_));
        while !actions.iter().any(answer) {
            assert!(bed.now < deadline, "remaining time {remaining_time}");
            // A tick is 5 ms late, as in the simulator, whose clock runs in steps of 5 ms.
            bed.now += 25 * MS;
            actions = bed.handle(Event::Timer(0));
        }
        assert!(bed.now <= deadline, "remaining time {remaining_time}: {} late", bed.now - deadline);
    }
}

#[test]
fn concurrency_limits_grow_with_the_rate_of_a_busy_site_only() {
    // Set-ups pending when the limits are reached, after set-ups answered within 20 ms at this interval.
    let pending_after = |gap: Micros| {
        let mut bed = Testbed::new();
        for id in 0..400 {
            let to = 1 + (id % 4) as u16;
            bed.handle(group_report(to, 20.0));
            bed.call(id, to);
            bed.now += gap;
            bed.handle(established(id, to, gap.min(20 * MS)));
            bed.handle(Event::Timer(0));
        }
        (1..5).for_each(|n| drop(bed.handle(group_report(n, 90.0))));
        (1_000..1_200).map(|id| setups(&bed.call(id, 1 + (id % 4) as u16)).len()).sum::<usize>()
    };
    let (busy, quiet) = (pending_after(5 * MS), pending_after(150 * MS));
    assert!(busy > 20, "{busy}");
    assert_eq!(quiet, 5);
}

#[test]
fn call_is_retried_after_a_fault_if_the_exchange_fails_many_but_not_all() {
    let fault = |id, attempt, at| ended(id, attempt, at, Ending::Fault, Cause::None);
    let mut bed = Testbed::new();
    // A single fault is attributed to the call itself.
    bed.call(99, 1);
    let own = bed.handle(fault(99, 0, 1));
    assert_eq!((setups(&own).len(), final_answers(&own)), (0, 1));
    assert_eq!(setups(&bed.call(0, 1)), [exchange_id(1)]);
    // No more attempts than the maximum per call, and one final answer.
    for attempt in 0..4 {
        assert_eq!(setups(&bed.handle(fault(0, attempt, 1))), [exchange_id(1)]);
    }
    // The last goes through a tandem, whose controller makes as many attempts again; turned back there, the path
    // stays open.
    let used = setups(&bed.handle(fault(0, 4, 1)));
    assert!(used.len() == 1 && used != [exchange_id(1)], "{used:?}");
    let tandem = u16::from(used[0].addr[3]);
    let last = bed.handle(ended(0, 5, tandem, Ending::Full, Cause::TurnedBack));
    assert_eq!((setups(&last).len(), final_answers(&last)), (0, 1));
    bed.handle(group_report(1, 0.0));
    let tandems: Vec<_> = (90..93).flat_map(|id| setups(&bed.call(id, 1))).collect();
    assert!(tandems.contains(&exchange_id(tandem)), "{tandems:?}");
    (90..93).for_each(|id| drop(bed.handle(Event::CallAbandoned(CallId(id)))));
    bed.handle(group_report(1, 20.0));
    // A call in transit is retried as well.
    bed.handle(Event::Call(NewCall { transit: true, ..call(95, 1) }));
    assert_eq!(setups(&bed.handle(fault(95, 0, 1))), [exchange_id(1)]);
    bed.handle(Event::CallAbandoned(CallId(95)));
    // A call that met busy lines is not retried.
    bed.call(1, 2);
    let busy = bed.handle(ended(1, 0, 2, Ending::Fault, Cause::LinesBusy));
    assert_eq!((setups(&busy).len(), final_answers(&busy)), (0, 1));
    // Where all set-ups fail, each call makes one attempt and none uses that tandem; where some succeed, calls are
    // retried.
    for id in 2..60 {
        bed.handle(group_report(1, 20.0));
        bed.call(id, 1);
        bed.handle(fault(id, 0, 1));
        bed.handle(Event::CallAbandoned(CallId(id)));
    }
    bed.handle(group_report(1, 20.0));
    bed.call(60, 1);
    let once = bed.handle(fault(60, 0, 1));
    assert_eq!((setups(&once).len(), final_answers(&once)), (0, 1));
    bed.handle(group_report(2, 0.0));
    for id in 70..76 {
        let other = setups(&bed.call(id, 2));
        assert!(other.len() == 1 && other != [exchange_id(1)], "{other:?}");
        bed.handle(Event::CallAbandoned(CallId(id)));
    }
    // Where no other tandem is available it is still used, and may be tried again.
    (3..5).for_each(|n| drop(bed.handle(group_report(n, 0.0))));
    bed.call(80, 1);
    bed.handle(established(80, 1, 20 * MS));
    assert_eq!(setups(&bed.call(81, 2)), [exchange_id(1)]);
    assert_eq!(setups(&bed.handle(fault(81, 0, 1))), [exchange_id(1)]);
    bed.handle(Event::CallAbandoned(CallId(81)));
    (3..5).for_each(|n| drop(bed.handle(group_report(n, 20.0))));
    for id in 61..65 {
        bed.call(id, 1);
        bed.handle(established(id, 1, 20 * MS));
    }
    bed.call(65, 1);
    assert_eq!(setups(&bed.handle(fault(65, 0, 1))), [exchange_id(1)]);
    // A call with at-most-once policy is not retried, since it may have run.
    let mut at_most_once = settings();
    at_most_once.classes[0].retry_policy = RetryPolicy::AtMostOnce;
    let mut bed = Testbed::with(at_most_once);
    bed.call(0, 1);
    let actions = bed.handle(fault(0, 0, 1));
    assert_eq!((setups(&actions).len(), final_answers(&actions)), (0, 1));
}

/// A testbed in which exchange 1 lost one set-up of five, `times` times, and answered the others in time.
fn lossy(times: u32) -> Testbed {
    let mut bed = Testbed::new();
    for id in (0..5 * times).step_by(5) {
        bed.handle(group_report(1, 20.0));
        bed.call(id, 1);
        for other in id + 1..id + 5 {
            bed.now += 30 * MS;
            bed.call(other, 1);
            bed.handle(established(other, 1, 20 * MS));
        }
        let lost = outcome(id, 0, 1, Ending::Cancelled, Cause::None);
        bed.handle(Event::Ended(Outcome { elapsed: 120 * MS, ..lost }));
        bed.handle(Event::CallAbandoned(CallId(id)));
    }
    bed.handle(group_report(1, 20.0));
    bed
}

#[test]
fn breaker_does_not_trip_for_each_loss_at_an_exchange_that_loses_some_answers() {
    let setups_after_losses = |mut bed: Testbed, unanswered: u32| {
        (500..500 + unanswered).for_each(|id| drop(bed.call(id, 1)));
        bed.advance(650 * MS);
        setups(&bed.call(600, 1)).len()
    };
    assert_eq!(
        setups_after_losses(Testbed::new(), 1),
        0,
        "the breaker of one that answers all trips for the first loss"
    );
    assert_eq!(setups_after_losses(lossy(20), 1), 1);
    assert_eq!(setups_after_losses(lossy(20), 4), 0, "four losses in a row are improbable");
    // A set-up lost on probation trips the breaker again, but not at an exchange that loses some answers anyway.
    for (mut bed, sends) in [(Testbed::new(), 0), (lossy(20), 1)] {
        bed.call(500, 1);
        bed.handle(ended(500, 0, 1, Ending::Unreachable, Cause::None));
        bed.now += 600 * MS;
        assert_eq!(setups(&bed.call(501, 1)), [exchange_id(1)]);
        bed.now += 1_200 * MS;
        let lost = outcome(501, 0, 1, Ending::TimedOut, Cause::None);
        bed.handle(Event::Ended(Outcome { elapsed: 1_200 * MS, ..lost }));
        bed.handle(Event::CallAbandoned(CallId(501)));
        assert_eq!(setups(&bed.call(502, 1)).len(), sends);
    }
}

#[test]
fn call_past_its_objective_is_retried_at_the_end_of_its_quiet_period() {
    let mut bed = Testbed::new();
    bed.call(9, 1);
    bed.advance(1_000 * MS);
    for id in 0..4 {
        bed.call(id, 2);
        bed.handle(established(id, 2, 200 * MS));
    }
    bed.handle(group_report(1, 20.0));
    bed.handle(ended(9, 0, 1, Ending::Cancelled, Cause::None));
    assert_eq!(setups(&bed.advance(400 * MS)), [exchange_id(1)]);
}

#[test]
fn call_to_the_own_exchange_uses_a_tandem_with_room_for_both_directions() {
    let mut bed = Testbed::new();
    assert_eq!(setups(&bed.call(1, 0)).len(), 1);
    assert_eq!(final_answers(&bed.handle(Event::Call(NewCall { transit: true, ..call(2, 0) }))), 1);
    assert!(setups(&bed.handle(Event::Call(NewCall { redialled: true, ..call(3, 0) }))).is_empty());
    // A tandem turns back calls that would leave its group more than nine tenths busy.
    (1..5).for_each(|n| drop(bed.handle(group_report(n, 5.0))));
    assert!(setups(&bed.call(4, 0)).is_empty());
    assert_eq!(setups(&bed.call(5, 2)), [exchange_id(2)]);
    bed.handle(group_report(3, 6.0));
    assert_eq!(setups(&bed.handle(Event::Timer(0))), [exchange_id(3)]);
}

#[test]
fn caller_that_waits_less_than_a_set_up_takes_trips_no_breaker() {
    let mut bed = Testbed::new();
    bed.handle(Event::Call(NewCall { remaining_time: 80 * MS, ..call(1, 1) }));
    bed.now += 70 * MS;
    let timed_out = outcome(1, 0, 1, Ending::TimedOut, Cause::None);
    bed.handle(Event::Ended(Outcome { elapsed: 70 * MS, ..timed_out }));
    assert_eq!(setups(&bed.call(2, 1)), [exchange_id(1)]);
}

#[test]
fn queued_call_with_little_remaining_time_is_kept_while_it_can_be_established() {
    let mut bed = Testbed::new();
    bed.advance(50 * MS);
    (0..5).for_each(|id| drop(bed.call(id, 1)));
    assert_eq!(bed.handle(Event::Call(NewCall { remaining_time: 120 * MS, ..call(9, 2) })), []);
    bed.now += 40 * MS;
    assert_eq!(final_answers(&bed.handle(Event::Timer(0))), 0);
    bed.now += 5 * MS;
    assert_eq!(setups(&bed.handle(established(0, 1, 45 * MS))), [exchange_id(2)]);
}

#[test]
fn peer_speaks_only_for_the_exchange_that_it_named_first() {
    // The direct group is full, and peer 9 reports that tandems 2 and 3 have no groups.
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    bed.handle(Event::PeerMessage { from: PeerNumber(9), body: vec![1, 0, 9, 0] });
    for n in 2..4u8 {
        bed.handle(Event::PeerMessage { from: PeerNumber(9), body: vec![1, 0, n, 0] });
    }
    let used: Vec<ExchangeId> = (0..3).flat_map(|id| setups(&bed.call(id, 1))).collect();
    assert!(used.contains(&exchange_id(2)) && used.contains(&exchange_id(3)), "{used:?}");
    // Once two peers speak for the same exchange, both are ignored.
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    bed.handle(Event::PeerMessage { from: PeerNumber(2), body: vec![1, 0, 2, 0b1_1111] });
    bed.handle(Event::PeerMessage { from: PeerNumber(7), body: vec![1, 0, 2, 0] });
    let used: Vec<ExchangeId> = (0..3).flat_map(|id| setups(&bed.call(id, 1))).collect();
    assert!(used.contains(&exchange_id(2)), "{used:?}");
}

#[test]
fn suspected_exchange_gets_one_set_up_at_a_time_and_is_a_tandem_of_last_resort() {
    let suspected = |numbers: &[u16]| Event::Suspected(numbers.iter().map(|n| ExchangeNumber(*n)).collect());
    let mut bed = Testbed::new();
    bed.handle(suspected(&[1]));
    assert_eq!(setups(&bed.call(1, 1)), [exchange_id(1)], "only an answer shows whether it works");
    assert!(setups(&bed.call(2, 1)).is_empty());
    // The answer admits the next set-up, and the end of the suspicion admits all.
    bed.handle(Event::Established {
        call: CallId(1),
        attempt: AttemptNumber(0),
        exchange_id: exchange_id(1),
        setup_time: 10 * MS,
    });
    assert_eq!(setups(&bed.advance(40 * MS)).len(), 1);
    bed.handle(suspected(&[]));
    assert_eq!((setups(&bed.call(3, 1)).len(), setups(&bed.call(4, 1)).len()), (1, 1));
    // As a tandem it is skipped while another is available, and used where none is.
    let mut bed = Testbed::new();
    bed.handle(group_report(1, 0.0));
    bed.handle(suspected(&[2, 3]));
    assert!((0..3).all(|id| setups(&bed.call(id, 1)) == [exchange_id(4)]));
    bed.handle(suspected(&[2, 3, 4]));
    assert_eq!(setups(&bed.call(9, 1)).len(), 1);
}
