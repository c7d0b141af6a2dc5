//! The module alone: one small test for each danger, and the five rules on seeded random events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use walnuthatch::routing::control::Controller;
use walnuthatch::routing::interface::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn settings() -> Settings {
    let class = |aim, worth| Class {
        latency_objective: aim,
        client_timeout: 9 * S,
        late_value: 0.1,
        value: worth,
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

fn office(n: u16) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, n as u8], port: 5060 }
}

fn entry(n: u16) -> ListEntry {
    ListEntry {
        exchange: ExchangeNumber(n),
        zone: 0,
        state: ListState::Ready,
        exchange_id: office(n),
        last_start: None,
    }
}

fn group(n: u16, free: f64) -> Event {
    let report = LoadReport { free: Some(free), size: Some(20.0), ..LoadReport::default() };
    Event::GroupReport { exchange_id: office(n), report }
}

fn call(id: u32, to: u16) -> NewCall {
    NewCall {
        call: CallId(id),
        destination: ExchangeNumber(to),
        transit: false,
        redialled: false,
        cut_before: false,
        number: None,
        circuits: 1,
        remaining_time: 3 * S,
        class: 0,
        via: None,
        earliest_attempt: 0,
    }
}

fn outcome(id: u32, attempt: u8, at: u16, ending: Ending, cause: Cause) -> Outcome {
    Outcome {
        call: CallId(id),
        attempt: AttemptNumber(attempt),
        exchange_id: office(at),
        ending,
        cause,
        elapsed: 20 * MS,
        call_ended: false,
        report: LoadReport::default(),
    }
}

fn ended(id: u32, attempt: u8, at: u16, ending: Ending, cause: Cause) -> Event {
    Event::Ended(outcome(id, attempt, at, ending, cause))
}

/// A controller at exchange 0 with exchanges 1 to 4 and twenty free circuits toward each.
struct Bed {
    c: Controller,
    now: Micros,
}

impl Bed {
    fn with(settings: Settings) -> Bed {
        let mut bed = Bed { c: Controller::new(settings, 7), now: 100 * S };
        bed.tell(Event::List(ListUpdate::Cached((0..5).map(entry).collect())));
        (1..5).for_each(|n| drop(bed.tell(group(n, 20.0))));
        bed
    }

    fn new() -> Bed {
        Bed::with(settings())
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.c.handle(self.now, event, &mut out);
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        out
    }

    fn call(&mut self, id: u32, to: u16) -> Vec<Action> {
        self.tell(Event::Call(call(id, to)))
    }

    /// Ticks for a while and gathers what is done.
    fn pass(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 50 * MS).min(end);
            all.extend(self.tell(Event::Timer(0)));
        }
        all
    }
}

fn sent(actions: &[Action]) -> Vec<ExchangeId> {
    let to = |a: &Action| match a {
        Action::SetUp { exchange_id: office, .. } => Some(*office),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

fn finals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count()
}

#[test]
fn goes_direct_to_the_last_circuit_counting_own_sends() {
    let mut b = Bed::new();
    b.tell(group(1, 1.0));
    assert_eq!(sent(&b.call(1, 1)), [office(1)]);
    assert_ne!(sent(&b.call(2, 1)), [office(1)]);
}

#[test]
fn blocked_calls_take_the_tandems_in_turn() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    let mut met: Vec<ExchangeId> = (1..4).flat_map(|id| sent(&b.call(id, 1))).collect();
    met.sort_unstable();
    assert_eq!(met, [office(2), office(3), office(4)]);
}

#[test]
fn a_tandem_keeps_headroom_on_its_first_leg() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    (2..5).for_each(|n| drop(b.tell(group(n, 2.0))));
    assert!(sent(&b.call(1, 1)).is_empty());
}

#[test]
fn a_tandem_reported_full_does_not_accept_until_good_news_or_long_after() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    let load = |n, busy| {
        let report =
            LoadReport { free: Some(20.0), size: Some(20.0), busy: Some(busy), ..LoadReport::default() };
        Event::GroupReport { exchange_id: office(n), report }
    };
    (2..5).for_each(|n| drop(b.tell(load(n, 0.95))));
    assert!(sent(&b.call(1, 1)).is_empty());
    b.tell(Event::CallAbandoned(CallId(1)));
    b.now += 4 * S;
    b.tell(load(3, 0.5));
    assert_eq!(sent(&b.call(2, 1)), [office(3)]);
    b.tell(load(3, 0.95));
    b.tell(stands(2, 3, 20 * MS));
    b.tell(load(3, 0.95));
    assert!(sent(&b.call(3, 1)).is_empty());
    b.tell(Event::CallAbandoned(CallId(3)));
    b.now += 11 * S;
    assert_eq!(sent(&b.call(4, 1)).len(), 1);
}

#[test]
fn transit_goes_to_its_destination_only_or_back() {
    let mut b = Bed::new();
    let transit = |id| NewCall { transit: true, via: Some(ExchangeNumber(3)), ..call(id, 1) };
    assert_eq!(sent(&b.tell(Event::Call(transit(1)))), [office(1)]);
    b.tell(group(1, 1.0));
    let back = b.tell(Event::Call(transit(2)));
    assert_eq!((sent(&back).len(), finals(&back)), (0, 1));
}

#[test]
fn a_call_with_no_way_on_is_refused_once_and_in_time() {
    let mut b = Bed::new();
    (1..5).for_each(|n| drop(b.tell(group(n, 0.0))));
    let mut done = b.call(1, 1);
    done.extend(b.pass(3 * S - 20 * MS));
    assert_eq!((sent(&done).len(), finals(&done)), (0, 1));
}

#[test]
fn a_set_up_that_met_the_deadline_is_answered_at_once() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.now += 3 * S;
    let last = b.tell(ended(1, 0, 1, Ending::TimedOut, Cause::None));
    assert_eq!(last, [Action::Fail(CallId(1))]);
}

#[test]
fn never_a_second_attempt_while_one_is_out() {
    let mut b = Bed::new();
    b.call(1, 1);
    assert!(sent(&b.pass(2_900 * MS)).is_empty());
}

#[test]
fn release_is_awaited_after_a_reset() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.now += 100 * MS;
    assert!(sent(&b.tell(ended(1, 0, 1, Ending::Reset, Cause::None))).is_empty());
    assert!(sent(&b.pass(300 * MS)).is_empty());
    assert_eq!(sent(&b.pass(200 * MS)).len(), 1);
}

#[test]
fn nothing_goes_to_an_office_that_drains_or_vanished_from_the_list() {
    let mut b = Bed::new();
    let draining = ListEntry { state: ListState::Draining, ..entry(1) };
    b.tell(Event::List(ListUpdate::Changes([draining].into())));
    assert!(sent(&b.call(1, 1)).is_empty());
    b.tell(Event::List(ListUpdate::Complete([entry(0), entry(3), entry(4)].into())));
    assert!(sent(&b.call(2, 2)).is_empty());
    assert_eq!(sent(&b.call(3, 3)), [office(3)]);
}

#[test]
fn a_cold_office_gets_a_share_of_the_usual_rate_whichever_way_the_calls_come() {
    let mut b = Bed::new();
    let mut got = 0;
    for id in 0..400 {
        b.now += 20 * MS;
        if id == 200 {
            let restarted = ListEntry { last_start: Some(b.now), ..entry(1) };
            b.tell(Event::List(ListUpdate::Changes([restarted].into())));
            got = 0;
        }
        let transit = id % 2 == 0;
        let mut done = b.tell(group(1, 20.0));
        done.extend(b.tell(Event::Call(NewCall { transit, ..call(id, 1) })));
        for a in done {
            if let Action::SetUp { call, exchange_id: o, .. } = a {
                got += usize::from(o == office(1));
                b.tell(Event::Established {
                    call,
                    attempt: AttemptNumber(0),
                    exchange_id: o,
                    setup_time: 20 * MS,
                });
            }
        }
    }
    assert!((10..=60).contains(&got), "{got} of 200 set-ups in the first four seconds");
}

#[test]
fn a_newly_listed_office_counts_as_cold() {
    let mut b = Bed::new();
    b.tell(Event::List(ListUpdate::Changes([entry(9)].into())));
    b.tell(group(9, 20.0));
    let out: usize = (0..10).map(|id| sent(&b.call(id, 9)).len()).sum();
    assert!(out <= 1);
}

#[test]
fn a_pair_that_turned_a_call_back_is_passed_over_and_another_tandem_tried() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    let first = sent(&b.call(1, 1))[0];
    let n = u16::from(first.addr[3]);
    let next = sent(&b.tell(ended(1, 0, n, Ending::Full, Cause::TurnedBack)));
    assert!(next.len() == 1 && next[0] != first);
    let later: Vec<ExchangeId> = (2..6).flat_map(|id| sent(&b.call(id, 1))).collect();
    assert!(!later.contains(&first));
}

#[test]
fn turns_that_rarely_go_through_give_way_to_ways_known_open() {
    let mut b = bed_of(40, settings(), 7);
    // Most tandems have no group onward: turn after turn comes back.
    for id in 1..20u16 {
        b.tell(group(id, 0.0));
        let mut at = sent(&b.call(u32::from(id), id));
        for attempt in 0..6 {
            let Some(n) = at.first().map(|o| u16::from(o.addr[3])) else { break };
            at = sent(&b.tell(ended(u32::from(id), attempt, n, Ending::Full, Cause::TurnedBack)));
        }
        b.now += 200 * MS;
    }
    b.tell(group(38, 0.0));
    let first = sent(&b.call(500, 38))[0];
    let back = ended(500, 0, u16::from(first.addr[3]), Ending::Full, Cause::TurnedBack);
    assert!(sent(&b.tell(back)).is_empty(), "no blind further try");
    // The centre names a tandem with another call: that way is known to be open.
    b.tell(Event::Call(NewCall { via: Some(ExchangeNumber(39)), ..call(501, 38) }));
    assert!(sent(&b.pass(100 * MS)).contains(&office(39)));
}

#[test]
fn a_tandem_that_said_it_has_no_group_there_is_passed_over() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    for n in 2..4u16 {
        // Tells of groups with exchange 0 and 4 alone.
        let body = vec![1, 0, n as u8, 0b1_0001];
        b.tell(Event::PeerMessage { from: PeerNumber(u32::from(n)), body });
    }
    b.tell(Event::PeerMessage { from: PeerNumber(9), body: vec![1] });
    b.tell(Event::PeerMessage { from: PeerNumber(9), body: vec![] });
    for id in 0..3 {
        assert_eq!(sent(&b.call(id, 1)), [office(4)]);
    }
}

#[test]
fn peers_are_told_of_the_own_groups_where_some_are_missing() {
    let tell = |free| {
        let mut b = Bed::with(Settings { may_message_peers: true, ..settings() });
        let report = LoadReport { free: Some(free), size: Some(free), ..LoadReport::default() };
        b.tell(Event::GroupReport { exchange_id: office(3), report });
        b.pass(2 * S)
    };
    let body = vec![1, 0, 0, 0b1_0110];
    assert_eq!(tell(0.0), [Action::SendToPeer { to: None, body }]);
    assert!(tell(5.0).is_empty());
}

#[test]
fn no_further_tandem_once_the_destination_was_full() {
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    let n = u16::from(sent(&b.call(1, 1))[0].addr[3]);
    let done = b.tell(ended(1, 0, n, Ending::Full, Cause::FarProcessorFull));
    assert_eq!((sent(&done).len(), finals(&done)), (0, 1));
}

#[test]
fn a_full_office_is_let_back_in_by_a_trickle() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.tell(ended(1, 0, 1, Ending::Full, Cause::ProcessorFull(Some(200 * MS))));
    assert!(sent(&b.call(2, 1)).is_empty());
    b.now += 600 * MS;
    let out: usize = (3..9).map(|id| sent(&b.call(id, 1)).len()).sum();
    assert_eq!(out, 1);
}

#[test]
fn slow_set_ups_narrow_the_window_before_a_jam() {
    let mut b = Bed::new();
    for id in 0..20 {
        b.call(id, 1);
        b.pass(900 * MS);
        let office = office(1);
        b.tell(Event::Established {
            call: CallId(id),
            attempt: AttemptNumber(0),
            exchange_id: office,
            setup_time: 900 * MS,
        });
    }
    let out: usize = (100..110).map(|id| sent(&b.call(id, 1)).len()).sum();
    assert!(out <= 2, "{out} set-ups into a slow office");
}

#[test]
fn a_crowded_number_is_left_alone_for_a_while() {
    let mut b = Bed::new();
    let to_it = |id| NewCall { number: Some(5), ..call(id, 1) };
    b.tell(Event::Call(to_it(1)));
    b.tell(ended(1, 0, 1, Ending::Fault, Cause::LinesBusy));
    assert!(sent(&b.tell(Event::Call(to_it(2)))).is_empty());
    b.now += 10 * S;
    assert_eq!(sent(&b.tell(Event::Call(to_it(3)))).len(), 1);
}

#[test]
fn pools_take_calls_of_second_choice_only_where_the_class_is_skilled() {
    let mut s = settings();
    (s.topology, s.own_exchange) = (Topology::Pools, None);
    s.classes[0].allowed_pools = vec![ExchangeNumber(1), ExchangeNumber(3)];
    let mut b = Bed::with(s);
    b.tell(group(1, 0.0));
    assert_eq!(sent(&b.call(1, 1)), [office(3)]);
    assert!(sent(&b.call(2, 2)).is_empty());
}

#[test]
fn the_list_is_asked_for_again_after_a_failure() {
    let mut b = Bed::with(Settings { membership_mode: MembershipMode::OnRequest, ..settings() });
    assert!(b.pass(S).contains(&Action::Subscribe));
    b.tell(Event::List(ListUpdate::Failed));
    assert!(b.pass(2 * S).contains(&Action::Subscribe));
}

#[test]
fn events_for_what_is_not_held_are_passed_over() {
    let mut b = Bed::new();
    assert!(b.tell(ended(9, 0, 77, Ending::Reset, Cause::None)).is_empty());
    assert!(b.tell(group(77, 3.0)).is_empty());
    assert!(b.tell(Event::CallAbandoned(CallId(3))).is_empty());
    b.call(1, 1);
    b.tell(Event::CallAbandoned(CallId(1)));
    assert!(b.tell(ended(1, 0, 1, Ending::Full, Cause::None)).is_empty());
}

/// Plays random events and asserts the rules on every action.
fn play(steps: &[(u8, u8, u8)]) -> Result<(), TestCaseError> {
    let s = settings();
    let mut c = Controller::new(s.clone(), 3);
    let mut now = 50 * S;
    // Per call: deadline, attempt out (number, office), attempts so far, not before.
    type Held = (Micros, Option<(u8, ExchangeId)>, u8, Micros);
    let mut open: BTreeMap<CallId, Held> = BTreeMap::new();
    let mut told: BTreeMap<ExchangeId, Micros> = BTreeMap::new();
    let mut next = 0;
    let mut events = vec![Event::List(ListUpdate::Cached((0..5).map(entry).collect()))];
    events.extend((1..5).map(|n| group(n, 9.0)));
    let mut steps = steps.iter();
    loop {
        for event in std::mem::take(&mut events) {
            let mut out = Vec::new();
            c.handle(now, event, &mut out);
            for a in out {
                match a {
                    Action::SetUp { call, exchange_id: office, .. } => {
                        let h = open.get_mut(&call);
                        prop_assert!(h.is_some(), "sent after the final answer");
                        let h = h.unwrap();
                        prop_assert!(h.1.is_none(), "two attempts out");
                        prop_assert!(now >= h.3, "sent before the release");
                        prop_assert!(told.get(&office).is_none_or(|t| now - t <= s.drain_grace));
                        *h = (h.0, Some((h.2, office)), h.2 + 1, h.3);
                    }
                    Action::Refuse { call, .. } | Action::Fail(call) => {
                        let h = open.remove(&call);
                        prop_assert!(h.is_some(), "a second final answer");
                        prop_assert!(h.unwrap().1.is_none(), "ended with an attempt out");
                    }
                    _ => {}
                }
            }
        }
        for h in open.values() {
            prop_assert!(h.1.is_some() || now <= h.0 + 20 * MS, "no final answer in time");
        }
        // What is out at its deadline times out, as on the wire.
        now += 10 * MS;
        let due = |h: &Held| h.1.filter(|_| now >= h.0);
        let late: Vec<_> = open.iter().filter_map(|(&id, h)| Some((id, due(h)?))).collect();
        for (id, (attempt, office)) in late {
            if let Some(h) = open.get_mut(&id) {
                (h.1, h.3) = (None, now + s.quiet_period);
            }
            events.push(ended(id.0, attempt, u16::from(office.addr[3]), Ending::TimedOut, Cause::None));
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
                let patience = (Micros::from(b) * 20 + 100) * MS;
                let ask = NewCall { transit, class, remaining_time: patience, ..call(next, n) };
                open.insert(CallId(next), (now + patience, None, 0, 0));
                events.push(Event::Call(ask));
                next += 1;
            }
            3 => events.push(group(n, f64::from(b % 12))),
            4 => {
                let state = [ListState::Ready, ListState::Draining, ListState::Gone][usize::from(b % 3)];
                let e = ListEntry { state, last_start: (b > 128).then_some(now), ..entry(n) };
                match state {
                    ListState::Ready => drop(told.remove(&office(n))),
                    ListState::Draining | ListState::Gone => drop(told.entry(office(n)).or_insert(now)),
                }
                events.push(Event::List(ListUpdate::Changes([e].into())));
            }
            _ => {
                let outs: Vec<_> = open.iter().filter(|(_, h)| h.1.is_some()).map(|(&id, _)| id).collect();
                let Some(&id) = outs.get(usize::from(a) % outs.len().max(1)) else { continue };
                let Some(h) = open.get_mut(&id) else { continue };
                let Some((attempt, at)) = h.1.take() else { continue };
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
                    h.3 = now + s.quiet_period;
                }
                events.push(ended(id.0, attempt, n, ending, cause));
            }
        }
    }
}

#[test]
fn rules_hold_on_random_days() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let steps = prop::collection::vec(any::<(u8, u8, u8)>(), 0..600);
    TestRunner::new_with_rng(config, rng).run(&steps, |s| play(&s)).unwrap();
}

#[test]
fn same_events_same_actions() {
    let run = || {
        let mut b = Bed::new();
        b.tell(group(1, 0.0));
        (0..50).flat_map(|id| b.call(id, 1 + (id % 4) as u16)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_redial_waits_behind_first_tries_for_a_freed_circuit() {
    let mut b = Bed::new();
    (1..5).for_each(|n| drop(b.tell(group(n, 0.0))));
    b.tell(Event::Call(NewCall { redialled: true, ..call(1, 1) }));
    b.now += 100 * MS;
    b.call(2, 1);
    let freed = b.tell(group(1, 1.0));
    assert!(matches!(freed[..], [Action::SetUp { call: CallId(2), .. }]));
}

#[test]
fn set_ups_stuck_toward_a_silent_office_do_not_stop_the_others() {
    let mut b = Bed::new();
    (0..5).for_each(|id| drop(b.call(id, 1)));
    assert!(sent(&b.pass(650 * MS)).is_empty());
    assert!(sent(&b.call(5, 2)).is_empty(), "the own window holds while all may be slow");
    assert_eq!(sent(&b.tell(stands(99, 3, 50 * MS))), [office(2)]);
}

#[test]
fn a_trial_set_up_to_a_suspect_office_gives_up_early() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.tell(ended(1, 0, 1, Ending::Unreachable, Cause::None));
    b.now += 600 * MS;
    let trial = b.call(2, 1);
    assert!(matches!(trial[..], [Action::SetUp { timeout: Some(t), .. }] if t < 3 * S));
}

#[test]
fn a_blocked_call_is_not_held_past_the_aim_it_could_still_meet() {
    let mut b = Bed::new();
    (1..5).for_each(|n| drop(b.tell(group(n, 0.0))));
    b.call(1, 1);
    assert_eq!(finals(&b.pass(900 * MS)), 0);
    assert_eq!(finals(&b.pass(300 * MS)), 1);
}

#[test]
fn lost_set_ups_do_not_fill_the_window_for_as_long_as_their_callers_wait() {
    let mut b = Bed::new();
    (0..5).for_each(|id| drop(b.tell(Event::Call(NewCall { remaining_time: 9 * S, ..call(id, 1) }))));
    for id in 50..60 {
        // The offices answer others meanwhile, so none of them is silent.
        b.now += 150 * MS;
        let (call, office) = (CallId(id), office(1));
        b.tell(Event::Established {
            call,
            attempt: AttemptNumber(0),
            exchange_id: office,
            setup_time: 50 * MS,
        });
    }
    assert_eq!(sent(&b.call(9, 2)), [office(2)]);
}

#[test]
fn a_set_up_overtaken_by_later_ones_is_called_off_and_goes_again_after_the_release() {
    let mut b = Bed::new();
    b.call(1, 1);
    assert!(b.pass(600 * MS).is_empty());
    let (call, office) = (CallId(99), office(1));
    b.tell(Event::Established { call, attempt: AttemptNumber(0), exchange_id: office, setup_time: 50 * MS });
    let off = Action::Cancel { call: CallId(1), attempt: AttemptNumber(0) };
    assert_eq!(b.tell(Event::Timer(0)), [off]);
    assert!(sent(&b.tell(ended(1, 0, 1, Ending::Cancelled, Cause::None))).is_empty());
    assert!(sent(&b.pass(300 * MS)).is_empty());
    assert_eq!(sent(&b.pass(200 * MS)), [office]);
}

/// A controller at exchange 0 of `n`, told of all groups.
fn bed_of(n: u16, settings: Settings, seed: u64) -> Bed {
    let mut b = Bed { c: Controller::new(settings, seed), now: 100 * S };
    b.tell(Event::List(ListUpdate::Cached((0..n).map(entry).collect())));
    (1..n).for_each(|e| drop(b.tell(group(e, 20.0))));
    b
}

#[test]
fn many_senders_together_do_not_push_a_cold_office_over() {
    const SENDERS: u64 = 86;
    let s = Settings { controller_count: SENDERS as u32, ..settings() };
    let mut beds: Vec<Bed> = (0..SENDERS).map(|k| bed_of(86, s.clone(), k << 20)).collect();
    // Each sends twelve set-ups a second, to the others in turn, so each office gets as many.
    let usual = 12.0;
    let mut id = 0;
    let mut send = |b: &mut Bed, to: u16| {
        id += 1;
        let done = b.call(id, to);
        for &o in &sent(&done) {
            let (call, attempt) = (CallId(id), AttemptNumber(0));
            b.tell(Event::Established { call, attempt, exchange_id: o, setup_time: 20 * MS });
        }
        sent(&done).len()
    };
    for step in 0..120u16 {
        for b in &mut beds {
            b.now += 83 * MS;
            send(b, 2 + step % 84);
        }
    }
    let started = beds[0].now;
    let restarted = ListEntry { last_start: Some(started), ..entry(1) };
    beds.iter_mut().for_each(|b| drop(b.tell(Event::List(ListUpdate::Changes([restarted.clone()].into())))));
    // All have calls for it all the time.
    let mut reached = Vec::new();
    for tick in 0..100i64 {
        let got = beds.iter_mut().fold(0, |sum, b| {
            b.now += 50 * MS;
            let other = 2 + (tick % 84) as u16;
            sum + send(b, 1) + usize::from(tick % 2 == 0 && send(b, other) == usize::MAX)
        });
        reached.push(got as f64);
    }
    for (at, span) in reached.windows(20).enumerate() {
        // A processor that carries its usual set-ups at 80 % of its work, half of it for its own calls.
        let share = s.cold_start_capacity + (1.0 - s.cold_start_capacity) * at as f64 * 0.05 / 15.0;
        let limit = s.overload_factor * share * usual * 2.0 / 0.8;
        let got: f64 = span.iter().sum();
        assert!(got < limit, "{got} set-ups in the second from {at}, limit {limit}");
    }
    assert!(reached.iter().sum::<f64>() > 2.0 * usual, "its calls still get through");
}

fn stands(id: u32, at: u16, took: Micros) -> Event {
    Event::Established {
        call: CallId(id),
        attempt: AttemptNumber(0),
        exchange_id: office(at),
        setup_time: took,
    }
}

#[test]
fn without_trouble_the_choices_are_those_of_the_plain_design() {
    const N: u16 = 8;
    let mut b = bed_of(N, settings(), 7);
    let mut free = [20.0; N as usize];
    let mut turn = 0;
    for id in 0..500u32 {
        b.now += 100 * MS;
        let mixed = id.wrapping_mul(2_654_435_761) >> 8;
        let (told, to) = (1 + (mixed % 7) as u16, 1 + (mixed / 7 % 7) as u16);
        free[usize::from(told)] = f64::from(mixed / 49 % 6);
        b.tell(group(told, free[usize::from(told)]));
        // The design in a few lines: direct, else the next tandem in turn with headroom, else none.
        let room = |n: u16, least: f64| free[usize::from(n)] >= least;
        let mut turns = (turn..N).chain(0..turn);
        let want = if room(to, 1.0) { Some(to) } else { turns.find(|&t| t != 0 && t != to && room(t, 3.0)) };
        let got = sent(&b.call(id, to));
        assert_eq!(got, want.map(office).into_iter().collect::<Vec<_>>(), "call {id}");
        match want {
            Some(t) => {
                free[usize::from(t)] -= 1.0;
                turn = if t == to { turn } else { t + 1 };
                b.tell(stands(id, t, 20 * MS));
            }
            None => drop(b.tell(Event::CallAbandoned(CallId(id)))),
        }
    }
}

#[test]
fn a_lost_answer_does_not_shut_an_office_that_answered_later_ones() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.now += 100 * MS;
    b.call(2, 1);
    b.now += 50 * MS;
    b.tell(stands(2, 1, 50 * MS));
    b.now += 2_850 * MS;
    let lost = Event::Ended(Outcome { elapsed: 3 * S, ..outcome(1, 0, 1, Ending::TimedOut, Cause::None) });
    b.tell(lost);
    assert_eq!(sent(&b.call(3, 1)), [office(1)]);
}

#[test]
fn set_ups_overtaken_elsewhere_are_called_off_only_once_such_prove_lost() {
    let called_off = |proofs: u32| {
        let mut b = Bed::new();
        for id in 0..proofs {
            b.call(id, 2);
            let out = outcome(id, 0, 2, Ending::TimedOut, Cause::None);
            b.tell(Event::Ended(Outcome { call_ended: true, elapsed: 3 * S, ..out }));
            b.pass(10 * S);
        }
        // Exchange 1 was quick the last time; then nothing comes while exchange 3 answers.
        b.call(50, 1);
        b.tell(stands(50, 1, 20 * MS));
        b.call(51, 1);
        b.pass(500 * MS);
        b.call(52, 3);
        b.tell(stands(52, 3, 20 * MS));
        b.pass(100 * MS).contains(&Action::Cancel { call: CallId(51), attempt: AttemptNumber(0) })
    };
    assert!(!called_off(0), "it may be slow");
    assert!(called_off(10));
}

#[test]
fn a_redial_takes_no_tandem_and_leaves_the_last_circuits_to_first_tries() {
    let mut b = Bed::new();
    let redial = |id| Event::Call(NewCall { redialled: true, ..call(id, 1) });
    b.tell(group(1, 2.0));
    assert!(sent(&b.tell(redial(1))).is_empty());
    assert_eq!(sent(&b.call(2, 1)), [office(1)]);
    b.tell(group(1, 9.0));
    b.tell(Event::CallAbandoned(CallId(1)));
    assert_eq!(sent(&b.tell(redial(3))), [office(1)]);
}

#[test]
fn a_call_server_that_stood_still_does_not_take_its_silence_for_the_others() {
    let mut b = Bed::new();
    b.call(1, 1);
    b.pass(100 * MS);
    b.now += 2 * S;
    // The tick comes first; the answer that waited behind it, next.
    assert!(b.tell(Event::Timer(0)).is_empty());
    b.tell(stands(1, 1, 2_100 * MS));
    assert_eq!(sent(&b.call(2, 1)), [office(1)], "not shut, its window not narrowed");
    (2..5).for_each(|n| drop(b.tell(group(n, 0.0))));
    assert_eq!(sent(&b.call(3, 2)), [office(1)], "nor taken for slow as a tandem");
}

#[test]
fn on_waking_calls_past_their_aim_wait_behind_new_ones() {
    let mut b = Bed::new();
    b.call(1, 2);
    b.tell(stands(1, 2, 20 * MS));
    b.tell(group(1, 1.0));
    b.pass(100 * MS);
    b.now += 2 * S;
    // It has waited 1.8 s, as its patience tells; it leaves the last circuit to one that is in time.
    let waited = NewCall { remaining_time: 1_200 * MS, ..call(2, 1) };
    assert!(sent(&b.tell(Event::Call(waited))).is_empty());
    assert_eq!(sent(&b.call(3, 1)), [office(1)]);
}

#[test]
fn transit_is_turned_back_only_when_the_own_wait_is_long() {
    let after = |took: Micros| {
        let mut b = Bed::new();
        for id in 0..12 {
            b.call(id, 1 + (id % 4) as u16);
            b.pass(50 * MS);
            b.tell(stands(id, 1 + (id % 4) as u16, took));
        }
        sent(&b.tell(Event::Call(NewCall { transit: true, ..call(90, 1) }))).len()
    };
    assert_eq!((after(600 * MS), after(1_000 * MS)), (1, 0));
}

#[test]
fn memory_stays_bounded_over_years_of_replaced_machines_and_odd_numbers() {
    let mut b = Bed::new();
    let mut size_after = |rounds: u32| {
        for k in 0..rounds {
            let fresh = ExchangeId { addr: [10, 1, (k >> 8) as u8, k as u8], port: 1 + (k >> 16) as u16 };
            let come = ListEntry { exchange_id: fresh, ..entry(4) };
            b.tell(Event::List(ListUpdate::Changes([come.clone()].into())));
            b.tell(Event::Call(NewCall { number: Some(k.into()), ..call(10_000 + k, 1 + (k % 4) as u16) }));
            b.tell(ended(10_000 + k, 0, 1, Ending::Fault, Cause::LinesBusy));
            b.tell(Event::CallAbandoned(CallId(10_000 + k)));
            b.tell(Event::List(ListUpdate::Changes([ListEntry { state: ListState::Gone, ..come }].into())));
            b.now += 40 * MS;
            b.tell(Event::Timer(0));
        }
        format!("{:?}", b.c).len()
    };
    let few = size_after(200);
    assert!(size_after(3_000) < 2 * few);
}

#[test]
fn a_redial_leaves_the_last_place_of_the_own_window_to_first_tries() {
    let mut b = Bed::new();
    (0..4).for_each(|id| drop(b.call(id, 1)));
    let redial = NewCall { redialled: true, ..call(4, 2) };
    assert!(sent(&b.tell(Event::Call(redial))).is_empty());
    assert_eq!(sent(&b.call(5, 2)), [office(2)]);
}

#[test]
fn one_set_up_earned_at_a_cold_office_is_kept_in_hand_and_no_more() {
    let mut b = Bed::new();
    let restarted = ListEntry { last_start: Some(b.now + 4 * S), ..entry(1) };
    for id in 0..70 {
        if id == 40 {
            b.tell(Event::List(ListUpdate::Changes([restarted.clone()].into())));
        }
        let to = 2 + (id % 3) as u16;
        b.tell(group(to, 20.0));
        b.call(id, to);
        b.tell(stands(id, to, 20 * MS));
        b.pass(100 * MS);
    }
    let mut reached = 0;
    for id in 100..105 {
        let got = sent(&b.call(id, 1)).len();
        reached += got;
        if got == 1 {
            b.tell(stands(id, 1, 20 * MS));
        }
    }
    assert_eq!(reached, 2);
}

#[test]
fn a_call_that_waited_for_its_release_is_answered_before_its_caller_gives_up() {
    // Each patience meets the housekeeping ticks at another moment.
    for patience in (390..480).map(|ms| ms * MS) {
        let mut b = Bed::new();
        let deadline = b.now + patience;
        b.tell(Event::Call(NewCall { remaining_time: patience, ..call(1, 1) }));
        b.now += 50 * MS;
        let mut said = b.tell(ended(1, 0, 1, Ending::Reset, Cause::None));
        (1..5).for_each(|n| drop(b.tell(group(n, 0.0))));
        let answer = |a: &Action| matches!(a, Action::Refuse { .. } | Action::Fail(_));
        while !said.iter().any(answer) {
            assert!(b.now < deadline, "patience {patience}");
            // As the simulator's clock, which runs in steps of 5 ms, makes a tick late.
            b.now += 25 * MS;
            said = b.tell(Event::Timer(0));
        }
        assert!(b.now <= deadline, "patience {patience}: {} late", b.now - deadline);
    }
}

#[test]
fn the_windows_of_a_busy_site_grow_with_its_rate_and_those_of_a_quiet_one_do_not() {
    // Set-ups that are out when the windows are full, after set-ups that stood within 20 ms this often.
    let out_after = |gap: Micros| {
        let mut b = Bed::new();
        for id in 0..400 {
            let to = 1 + (id % 4) as u16;
            b.tell(group(to, 20.0));
            b.call(id, to);
            b.now += gap;
            b.tell(stands(id, to, gap.min(20 * MS)));
            b.tell(Event::Timer(0));
        }
        (1..5).for_each(|n| drop(b.tell(group(n, 90.0))));
        (1_000..1_200).map(|id| sent(&b.call(id, 1 + (id % 4) as u16)).len()).sum::<usize>()
    };
    let (busy, quiet) = (out_after(5 * MS), out_after(150 * MS));
    assert!(busy > 20, "{busy}");
    assert_eq!(quiet, 5);
}

#[test]
fn a_call_that_met_a_fault_goes_again_at_once_where_the_office_fails_many_and_not_all() {
    let fault = |id, attempt, at| ended(id, attempt, at, Ending::Fault, Cause::None);
    let mut bed = Bed::new();
    // A fault by itself is the call's own.
    bed.call(99, 1);
    let own = bed.tell(fault(99, 0, 1));
    assert_eq!((sent(&own).len(), finals(&own)), (0, 1));
    assert_eq!(sent(&bed.call(0, 1)), [office(1)]);
    // At most as many attempts as a call may have, and one answer.
    for attempt in 0..4 {
        assert_eq!(sent(&bed.tell(fault(0, attempt, 1))), [office(1)]);
    }
    // The last goes over a tandem, whose call server asks as often again; turned back there, the way stays open.
    let over = sent(&bed.tell(fault(0, 4, 1)));
    assert!(over.len() == 1 && over != [office(1)], "{over:?}");
    let tandem = u16::from(over[0].addr[3]);
    let last = bed.tell(ended(0, 5, tandem, Ending::Full, Cause::TurnedBack));
    assert_eq!((sent(&last).len(), finals(&last)), (0, 1));
    bed.tell(group(1, 0.0));
    let ways: Vec<_> = (90..93).flat_map(|id| sent(&bed.call(id, 1))).collect();
    assert!(ways.contains(&office(tandem)), "{ways:?}");
    (90..93).for_each(|id| drop(bed.tell(Event::CallAbandoned(CallId(id)))));
    bed.tell(group(1, 20.0));
    // A call in transit is asked again as well.
    bed.tell(Event::Call(NewCall { transit: true, ..call(95, 1) }));
    assert_eq!(sent(&bed.tell(fault(95, 0, 1))), [office(1)]);
    bed.tell(Event::CallAbandoned(CallId(95)));
    // Lines that are busy are not asked again.
    bed.call(1, 2);
    let busy = bed.tell(ended(1, 0, 2, Ending::Fault, Cause::LinesBusy));
    assert_eq!((sent(&busy).len(), finals(&busy)), (0, 1));
    // Where all set-ups fail, each call asks once, and none goes by that tandem; where some stand, calls go again.
    for id in 2..60 {
        bed.tell(group(1, 20.0));
        bed.call(id, 1);
        bed.tell(fault(id, 0, 1));
        bed.tell(Event::CallAbandoned(CallId(id)));
    }
    bed.tell(group(1, 20.0));
    bed.call(60, 1);
    let once = bed.tell(fault(60, 0, 1));
    assert_eq!((sent(&once).len(), finals(&once)), (0, 1));
    bed.tell(group(2, 0.0));
    for id in 70..76 {
        let other = sent(&bed.call(id, 2));
        assert!(other.len() == 1 && other != [office(1)], "{other:?}");
        bed.tell(Event::CallAbandoned(CallId(id)));
    }
    // Where no other serves it is a tandem still, and may be asked again.
    (3..5).for_each(|n| drop(bed.tell(group(n, 0.0))));
    bed.call(80, 1);
    bed.tell(stands(80, 1, 20 * MS));
    assert_eq!(sent(&bed.call(81, 2)), [office(1)]);
    assert_eq!(sent(&bed.tell(fault(81, 0, 1))), [office(1)]);
    bed.tell(Event::CallAbandoned(CallId(81)));
    (3..5).for_each(|n| drop(bed.tell(group(n, 20.0))));
    for id in 61..65 {
        bed.call(id, 1);
        bed.tell(stands(id, 1, 20 * MS));
    }
    bed.call(65, 1);
    assert_eq!(sent(&bed.tell(fault(65, 0, 1))), [office(1)]);
    // A guarded call may have run.
    let mut careful = settings();
    careful.classes[0].retry_policy = RetryPolicy::AtMostOnce;
    let mut bed = Bed::with(careful);
    bed.call(0, 1);
    let over = bed.tell(fault(0, 0, 1));
    assert_eq!((sent(&over).len(), finals(&over)), (0, 1));
}

/// Exchange 1 answers four set-ups of five, and others in time, as many times as told.
fn lossy(times: u32) -> Bed {
    let mut b = Bed::new();
    for id in (0..5 * times).step_by(5) {
        b.tell(group(1, 20.0));
        b.call(id, 1);
        for other in id + 1..id + 5 {
            b.now += 30 * MS;
            b.call(other, 1);
            b.tell(stands(other, 1, 20 * MS));
        }
        let lost = outcome(id, 0, 1, Ending::Cancelled, Cause::None);
        b.tell(Event::Ended(Outcome { elapsed: 120 * MS, ..lost }));
        b.tell(Event::CallAbandoned(CallId(id)));
    }
    b.tell(group(1, 20.0));
    b
}

#[test]
fn an_office_that_leaves_some_set_ups_unanswered_is_not_shut_for_each_of_them() {
    let after_silence = |mut b: Bed, unanswered: u32| {
        (500..500 + unanswered).for_each(|id| drop(b.call(id, 1)));
        b.pass(650 * MS);
        sent(&b.call(600, 1)).len()
    };
    assert_eq!(after_silence(Bed::new(), 1), 0, "one that answers all is shut for the first");
    assert_eq!(after_silence(lossy(20), 1), 1);
    assert_eq!(after_silence(lossy(20), 4), 0, "chance hardly leaves four unanswered");
    // Nor for a trial set-up after it was shut.
    for (mut b, sends) in [(Bed::new(), 0), (lossy(20), 1)] {
        b.call(500, 1);
        b.tell(ended(500, 0, 1, Ending::Unreachable, Cause::None));
        b.now += 600 * MS;
        assert_eq!(sent(&b.call(501, 1)), [office(1)]);
        b.now += 1_200 * MS;
        let lost = outcome(501, 0, 1, Ending::TimedOut, Cause::None);
        b.tell(Event::Ended(Outcome { elapsed: 1_200 * MS, ..lost }));
        b.tell(Event::CallAbandoned(CallId(501)));
        assert_eq!(sent(&b.call(502, 1)).len(), sends);
    }
}

#[test]
fn a_call_that_waits_for_its_release_past_its_aim_goes_again_at_its_end() {
    let mut b = Bed::new();
    b.call(9, 1);
    b.pass(1_000 * MS);
    for id in 0..4 {
        b.call(id, 2);
        b.tell(stands(id, 2, 200 * MS));
    }
    b.tell(group(1, 20.0));
    b.tell(ended(9, 0, 1, Ending::Cancelled, Cause::None));
    assert_eq!(sent(&b.pass(400 * MS)), [office(1)]);
}

#[test]
fn a_call_for_the_own_exchange_goes_over_a_tandem_with_room_for_both_ways() {
    let mut b = Bed::new();
    assert_eq!(sent(&b.call(1, 0)).len(), 1);
    assert_eq!(finals(&b.tell(Event::Call(NewCall { transit: true, ..call(2, 0) }))), 1);
    assert!(sent(&b.tell(Event::Call(NewCall { redialled: true, ..call(3, 0) }))).is_empty());
    // A tandem turns back what would leave its group more than nine tenths busy.
    (1..5).for_each(|n| drop(b.tell(group(n, 5.0))));
    assert!(sent(&b.call(4, 0)).is_empty());
    assert_eq!(sent(&b.call(5, 2)), [office(2)]);
    b.tell(group(3, 6.0));
    assert_eq!(sent(&b.tell(Event::Timer(0))), [office(3)]);
}

#[test]
fn a_caller_with_less_patience_than_a_set_up_takes_shuts_no_office() {
    let mut b = Bed::new();
    b.tell(Event::Call(NewCall { remaining_time: 80 * MS, ..call(1, 1) }));
    b.now += 70 * MS;
    let gone = outcome(1, 0, 1, Ending::TimedOut, Cause::None);
    b.tell(Event::Ended(Outcome { elapsed: 70 * MS, ..gone }));
    assert_eq!(sent(&b.call(2, 1)), [office(1)]);
}

#[test]
fn a_held_call_of_a_caller_with_little_patience_is_kept_while_it_may_stand() {
    let mut b = Bed::new();
    b.pass(50 * MS);
    (0..5).for_each(|id| drop(b.call(id, 1)));
    assert_eq!(b.tell(Event::Call(NewCall { remaining_time: 120 * MS, ..call(9, 2) })), []);
    b.now += 40 * MS;
    assert_eq!(finals(&b.tell(Event::Timer(0))), 0);
    b.now += 5 * MS;
    assert_eq!(sent(&b.tell(stands(0, 1, 45 * MS))), [office(2)]);
}

#[test]
fn a_peer_speaks_for_the_exchange_that_it_spoke_for_first_and_for_no_other() {
    // The direct group is full, and peer 9 says that tandems 2 and 3 lead nowhere.
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    b.tell(Event::PeerMessage { from: PeerNumber(9), body: vec![1, 0, 9, 0] });
    for n in 2..4u8 {
        b.tell(Event::PeerMessage { from: PeerNumber(9), body: vec![1, 0, n, 0] });
    }
    let over: Vec<ExchangeId> = (0..3).flat_map(|id| sent(&b.call(id, 1))).collect();
    assert!(over.contains(&office(2)) && over.contains(&office(3)), "{over:?}");
    // Two that speak for one exchange are both not heard from then on.
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    b.tell(Event::PeerMessage { from: PeerNumber(2), body: vec![1, 0, 2, 0b1_1111] });
    b.tell(Event::PeerMessage { from: PeerNumber(7), body: vec![1, 0, 2, 0] });
    let over: Vec<ExchangeId> = (0..3).flat_map(|id| sent(&b.call(id, 1))).collect();
    assert!(over.contains(&office(2)), "{over:?}");
}

#[test]
fn a_suspected_exchange_gets_one_set_up_at_a_time_and_is_a_tandem_only_where_none_else_serves() {
    let suspect = |of: &[u16]| Event::Suspected(of.iter().map(|n| ExchangeNumber(*n)).collect());
    let mut b = Bed::new();
    b.tell(suspect(&[1]));
    assert_eq!(sent(&b.call(1, 1)), [office(1)], "only an answer shows whether it hangs");
    assert!(sent(&b.call(2, 1)).is_empty());
    // The answer makes room for the next one, and with the suspicion's end all go.
    b.tell(Event::Established {
        call: CallId(1),
        attempt: AttemptNumber(0),
        exchange_id: office(1),
        setup_time: 10 * MS,
    });
    assert_eq!(sent(&b.pass(40 * MS)).len(), 1);
    b.tell(suspect(&[]));
    assert_eq!((sent(&b.call(3, 1)).len(), sent(&b.call(4, 1)).len()), (1, 1));
    // As a tandem it is passed by while another serves, and taken where none does.
    let mut b = Bed::new();
    b.tell(group(1, 0.0));
    b.tell(suspect(&[2, 3]));
    assert!((0..3).all(|id| sent(&b.call(id, 1)) == [office(4)]));
    b.tell(suspect(&[2, 3, 4]));
    assert_eq!(sent(&b.call(9, 1)).len(), 1);
}
