//! Tests the drain registry against a random sequence of list changes, calls, orders, passing time, jumps of the wall
//! clock, failing saves and restarts. The invariants are checked after each operation.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use walnuthatch_drains::drain::{AtLimit, Drain, State, CUT_TIMEOUT};
use walnuthatch_drains::impact::Traffic;
use walnuthatch_drains::policy::Policy;
use walnuthatch_drains::registry::*;
use walnuthatch_drains::saved::Saved;
use walnuthatch_drains::target::*;
use walnuthatch_drains::windows::{Schedule, Window};
use walnuthatch_drains::SECOND;

const OWN: Exchange = Exchange(0);
const GRACE: i64 = 250_000;

#[derive(Clone, Debug)]
enum Operation {
    Order { id: u8, drain: bool, target: u8, limit: Option<u8>, at: u8, force: bool },
    StartCall { target: u8 },
    EndCall { target: u8 },
    ListChange { exchange: u8, ready: bool },
    PassTime { ms: u16 },
    JumpWallClock { s: i16 },
    FinishSave { ok: bool },
    Health { good: u8 },
    Round { command: u8, targets: Vec<u8> },
    Restart,
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let one = prop_oneof![
        4 => (any::<u8>(), any::<bool>(), 0u8..7, proptest::option::of(1u8..20), 0u8..3, any::<bool>()).prop_map(
            |(id, drain, target, limit, at, force)| Operation::Order { id: id % 40, drain, target, limit, at, force }),
        6 => (0u8..6).prop_map(|target| Operation::StartCall { target }),
        5 => (0u8..6).prop_map(|target| Operation::EndCall { target }),
        1 => (1u8..4, any::<bool>()).prop_map(|(exchange, ready)| Operation::ListChange { exchange, ready }),
        8 => (1u16..3000).prop_map(|ms| Operation::PassTime { ms }),
        1 => any::<i16>().prop_map(|s| Operation::JumpWallClock { s }),
        4 => prop::bool::weighted(0.8).prop_map(|ok| Operation::FinishSave { ok }),
        1 => Just(Operation::Restart),
        1 => prop_oneof![Just(100u8), Just(100), 0u8..100].prop_map(|good| Operation::Health { good }),
        3 => (0u8..4, prop::collection::vec(0u8..6, 0..4)).prop_map(|(command, targets)| Operation::Round { command, targets }),
    ];
    prop::collection::vec(one, 1..120)
}

fn target(n: u8) -> Target {
    match n {
        0 => Target::Controller,
        1..=3 => Target::Exchange(Exchange(n.into())),
        _ => Target::Group(Exchange(u16::from(n) - 3)),
    }
}

#[derive(Default)]
struct FakeSite {
    calls: BTreeMap<Target, u32>,
    ready: BTreeMap<u16, bool>,
    good_share: f64,
}

impl Site for FakeSite {
    fn load(&self, target: Target) -> Load {
        Load { pending_setups: 0, established: self.calls.get(&target).copied().unwrap_or(0) }
    }
    fn neighbours(&self) -> Vec<Neighbour> {
        let of = |(&n, &ready)| Neighbour { exchange: Exchange(n), ready, group: Some((9.0, 10.0)) };
        self.ready.iter().map(of).collect()
    }
    fn health(&self) -> Health {
        Health { answered: 100, good_share: self.good_share }
    }
    fn linked(&self, _: Exchange, _: Exchange) -> Option<bool> {
        Some(true)
    }
}

struct Harness {
    registry: DrainRegistry,
    site: FakeSite,
    steady: i64,
    wall: i64,
    /// Saves that have not finished, oldest first.
    pending_saves: Vec<(u64, Saved)>,
    /// The last save that reached the disk.
    disk: Option<Saved>,
    /// When each target was taken out of service, according to the outputs.
    out_of_service_since: BTreeMap<Target, i64>,
    awaiting_answer: BTreeSet<WaiterId>,
    last_waiter: WaiterId,
    /// The first command of each request id, and the numbers of the orders it led to.
    request_uses: BTreeMap<String, (String, BTreeSet<u64>)>,
    request_ids: BTreeMap<WaiterId, String>,
}

fn registry() -> DrainRegistry {
    let window = Window {
        name: "night".into(),
        target: Target::Exchange(Exchange(2)),
        schedule: Schedule::Weekly { days: [true; 7], from: 3600 * SECOND },
        length: 1800 * SECOND,
        at_end: AtLimit::Restore,
        force: true,
    };
    DrainRegistry::new(Policy { max_concurrent: 2, ..Policy::default() }, vec![window], Some(OWN), true)
}

impl Harness {
    fn new() -> Harness {
        let site =
            FakeSite { ready: (1..=3).map(|n| (n, true)).collect(), good_share: 1.0, ..FakeSite::default() };
        Harness {
            registry: registry(),
            site,
            steady: 1_000 * SECOND,
            wall: 3_590 * SECOND,
            pending_saves: Vec::new(),
            disk: None,
            out_of_service_since: BTreeMap::new(),
            awaiting_answer: BTreeSet::new(),
            last_waiter: 0,
            request_uses: BTreeMap::new(),
            request_ids: BTreeMap::new(),
        }
    }

    fn now(&self) -> Now {
        Now::new(self.steady, self.wall)
    }

    fn apply(&mut self, operation: Operation) {
        let (now, no_traffic) = (self.now(), Traffic::default());
        match operation {
            Operation::Order { id, drain, target: n, limit, at, force } => {
                let at_limit = [AtLimit::Keep, AtLimit::Restore, AtLimit::Cut][usize::from(at)];
                let limit = limit.map(|l| i64::from(l) * SECOND);
                let target = target(n);
                let command = match drain {
                    true => Command::Drain { target, reason: String::new(), limit, at_limit, force },
                    false => Command::Undrain { target },
                };
                self.last_waiter += 1;
                self.awaiting_answer.insert(self.last_waiter);
                let request = if id < 10 { String::new() } else { format!("r{id}") };
                self.request_ids.insert(self.last_waiter, request.clone());
                if !request.is_empty() {
                    let first = self.request_uses.entry(request.clone()).or_default();
                    if first.0.is_empty() {
                        first.0 = command.to_string();
                    }
                }
                let request = OrderRequest { request_id: request, requested_by: "t".into(), command };
                self.registry.submit(now, request, Some(self.last_waiter), &no_traffic, &self.site);
            }
            Operation::Health { good } => self.site.good_share = f64::from(good) / 100.0,
            Operation::Round { command, targets } => {
                let targets = targets.into_iter().map(target).collect();
                let command = match command {
                    0 => Command::Round { targets, reason: String::new(), pause: Some(SECOND) },
                    1 => Command::Round { targets, reason: String::new(), pause: None },
                    2 => Command::Next,
                    _ => Command::Halt,
                };
                self.last_waiter += 1;
                self.awaiting_answer.insert(self.last_waiter);
                self.request_ids.insert(self.last_waiter, String::new());
                let request = OrderRequest { request_id: String::new(), requested_by: "t".into(), command };
                self.registry.submit(now, request, Some(self.last_waiter), &no_traffic, &self.site);
            }
            // As in the ledger, no new calls are sent once the grace period has passed.
            Operation::StartCall { target: n } => {
                let t = target(n);
                if self.out_of_service_since.get(&t).is_none_or(|since| self.steady - since <= GRACE) {
                    *self.site.calls.entry(t).or_default() += 1;
                }
            }
            Operation::EndCall { target: n } => {
                if let Some(c) = self.site.calls.get_mut(&target(n)) {
                    *c = c.saturating_sub(1);
                }
            }
            Operation::ListChange { exchange, ready } => drop(self.site.ready.insert(exchange.into(), ready)),
            Operation::PassTime { ms } => {
                let end = self.steady + i64::from(ms) * 1000;
                while self.steady < end {
                    let next = self.registry.next_evaluation(self.now()).min(end);
                    assert!(next > self.steady, "the next evaluation is in the past");
                    self.wall += next - self.steady;
                    self.steady = next;
                    self.registry.evaluate(self.now(), &no_traffic, &self.site);
                    self.process_outputs();
                }
            }
            Operation::JumpWallClock { s } => self.wall += i64::from(s) * SECOND,
            Operation::FinishSave { ok } => {
                if !self.pending_saves.is_empty() {
                    let (n, saved) = self.pending_saves.remove(0);
                    if ok {
                        self.disk = Some(saved);
                    }
                    self.registry.save_finished(now, n, if ok { Ok(()) } else { Err("no room".into()) });
                }
            }
            Operation::Restart => {
                // State that was not saved is lost, and so are the connections that wait for answers.
                self.registry = registry();
                self.pending_saves.clear();
                self.awaiting_answer.clear();
                self.out_of_service_since.clear();
                // Requests that were not saved are forgotten and may be executed again.
                let kept =
                    |id: &String| self.disk.as_ref().is_some_and(|d| d.requests.iter().any(|r| r.id == *id));
                self.request_uses.retain(|id, _| kept(id));
                if let Some(saved) = self.disk.clone() {
                    let before: BTreeSet<Target> = saved.drains.iter().map(|d| d.target).collect();
                    self.registry.resume(now, saved);
                    let after = self.registry.drains().iter().map(|d| d.target).collect();
                    assert_eq!(before, after, "saved drains are in force at once");
                    assert!(self.registry.drains().iter().all(|d| d.state.in_force()));
                }
            }
        }
        self.process_outputs();
        self.check_invariants();
    }

    fn process_outputs(&mut self) {
        for output in self.registry.take_outputs() {
            match output {
                Output::Save(n, saved) => self.pending_saves.push((n, *saved)),
                Output::Answer(waiter, answer) => {
                    assert!(
                        self.awaiting_answer.remove(&waiter),
                        "answered twice or without a request: {answer:?}"
                    );
                    let request = &self.request_ids[&waiter];
                    if let (true, Some(order), Some(id)) =
                        (answer.done, answer.order, self.request_uses.get_mut(request))
                    {
                        id.1.insert(order);
                        assert_eq!(id.1.len(), 1, "{request} was executed again");
                    }
                }
                Output::SetOutOfService(w) => {
                    let exchanges = w.exchanges.iter().map(|&e| Target::Exchange(e));
                    let groups = w.groups.iter().map(|&e| Target::Group(e));
                    let own = w.fail_health_checks.then_some(Target::Controller);
                    let now: BTreeSet<Target> = exchanges.chain(groups).chain(own).collect();
                    self.out_of_service_since.retain(|t, _| now.contains(t));
                    for t in now {
                        self.out_of_service_since.entry(t).or_insert(self.steady);
                    }
                }
                Output::Cut(t) => drop(self.site.calls.insert(t, 0)),
                Output::Event(_) => {}
            }
        }
    }

    fn check_invariants(&self) {
        let in_force: BTreeSet<Target> =
            self.registry.drains().iter().filter(|d| d.state.in_force()).map(|d| d.target).collect();
        let out: BTreeSet<Target> = self.out_of_service_since.keys().copied().collect();
        assert_eq!(in_force, out, "the outputs match the drains in force");
        let all: Vec<Target> = self.registry.drains().iter().map(|d| d.target).collect();
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len(), "at most one drain per target");
        for d in self.registry.drains() {
            assert_ne!(d.target, Target::Exchange(OWN));
            if let Some(limit) = d.limit.filter(|_| d.state.in_force()) {
                // A limit that has passed is acted on at the next evaluation.
                assert!(d.limit_done || self.steady <= limit + SECOND, "{d:?}");
            }
            if d.state == State::Failed {
                assert!(
                    self.steady - d.since >= 0 && d.at_limit == AtLimit::Cut,
                    "{CUT_TIMEOUT} µs after a cut"
                );
            }
            assert!((0.0..=1.0).contains(&d.progress()), "{d:?}");
        }
        if let Some(p) = self.registry.plan() {
            // A running round drains at most its current target and has a valid index.
            assert!(
                p.target_index <= p.targets.len()
                    && (p.target_index < p.targets.len()) == p.target().is_some(),
                "{p:?}"
            );
            let by_round = self
                .registry
                .drains()
                .iter()
                .filter(|d| d.reason.starts_with(&format!("round {} ", p.order)));
            let drained_by_round: Vec<Target> = by_round.map(|d| d.target).collect();
            assert!(p.is_stopped() || drained_by_round.len() <= 1, "{drained_by_round:?}");
        }
        assert!(
            self.registry.audit().count() <= MAX_AUDIT_ENTRIES
                && self.registry.finished().count() <= MAX_FINISHED_DRAINS
        );
    }

    /// Lets time pass without calls and checks that every request has been answered.
    fn settle(&mut self) {
        self.site.calls.clear();
        self.apply(Operation::PassTime { ms: 3000 });
        assert!(self.awaiting_answer.is_empty(), "{:?} got no answer", self.awaiting_answer);
        // The drain of a window may have just started, and the controller has a longer grace period.
        let may_still_drain = |d: &Drain| d.window.is_some() || d.target == Target::Controller;
        assert!(self.registry.drains().iter().all(|d| d.state == State::Empty || may_still_drain(d)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(8),
        ..ProptestConfig::default() })]
    #[test]
    fn invariants_hold_after_each_operation(operations in operations()) {
        let mut harness = Harness::new();
        for operation in operations {
            harness.apply(operation);
        }
        harness.settle();
    }
}

fn submit(harness: &mut Harness, id: &str, command: Command) -> WaiterId {
    harness.last_waiter += 1;
    harness.awaiting_answer.insert(harness.last_waiter);
    harness.request_ids.insert(harness.last_waiter, String::new());
    let request = OrderRequest { request_id: id.into(), requested_by: "t".into(), command };
    let (now, waiter) = (harness.now(), harness.last_waiter);
    harness.registry.submit(now, request, Some(waiter), &Traffic::default(), &harness.site);
    waiter
}

fn drain_exchange_1() -> Command {
    let target = Target::Exchange(Exchange(1));
    Command::Drain { target, reason: String::new(), limit: None, at_limit: AtLimit::Keep, force: false }
}

fn take_answers(harness: &mut Harness) -> Vec<(WaiterId, bool, String)> {
    let mut got = Vec::new();
    for output in harness.registry.take_outputs() {
        match output {
            Output::Answer(w, a) => got.push((w, a.done, a.text)),
            Output::Save(n, s) => harness.pending_saves.push((n, *s)),
            _ => {}
        }
    }
    got
}

#[test]
fn a_repeated_request_is_executed_once_even_after_a_restart() {
    let mut harness = Harness::new();
    submit(&mut harness, "a", drain_exchange_1());
    let again = submit(&mut harness, "a", drain_exchange_1());
    let _ = take_answers(&mut harness);
    assert_eq!(harness.registry.drains().len(), 1);
    let (n, saved) = harness.pending_saves.remove(0);
    harness.registry.save_finished(harness.now(), n, Ok(()));
    let got = take_answers(&mut harness);
    assert!(
        got.len() == 1 && got[0].0 == again && got[0].1,
        "the newest connection gets the answer: {got:?}"
    );
    // The program crashes after the save and before its answer is read.
    harness.registry = registry();
    harness.registry.resume(harness.now(), saved);
    let third = submit(&mut harness, "a", drain_exchange_1());
    let got = take_answers(&mut harness);
    assert!(got[0].0 == third && got[0].1 && harness.registry.drains().len() == 1, "{got:?}");
    submit(&mut harness, "a", Command::Undrain { target: Target::Exchange(Exchange(1)) });
    assert!(take_answers(&mut harness)[0].2.contains("used for another command"));
}

#[test]
fn answers_to_two_conflicting_orders_say_which_came_last() {
    let mut harness = Harness::new();
    let first = submit(&mut harness, "a", drain_exchange_1());
    let second = submit(&mut harness, "b", Command::Undrain { target: Target::Exchange(Exchange(1)) });
    let got = take_answers(&mut harness);
    assert!(got[0].0 == first && !got[0].1 && got[0].2.contains("came after this one"), "{got:?}");
    let n = harness.pending_saves.last().unwrap().0;
    harness.registry.save_finished(harness.now(), n, Ok(()));
    let got = take_answers(&mut harness);
    assert!(got.len() == 1 && got[0].0 == second && got[0].1 && got[0].2.contains("order 1"), "{got:?}");
    assert!(harness.registry.drains().is_empty() && harness.registry.out_of_service().exchanges.is_empty());
}

#[test]
fn a_failing_or_hanging_disk_delays_no_order_and_is_reported() {
    for hangs in [true, false] {
        let mut harness = Harness::new();
        let waiter = submit(&mut harness, "a", drain_exchange_1());
        let _ = take_answers(&mut harness);
        let n = harness.pending_saves[0].0;
        match hangs {
            true => {
                harness.steady += SAVE_TIMEOUT;
                harness.registry.evaluate(harness.now(), &Traffic::default(), &harness.site);
            }
            false => harness.registry.save_finished(harness.now(), n, Err("disk full".into())),
        }
        let got = take_answers(&mut harness);
        assert!(
            got.len() == 1 && got[0].0 == waiter && got[0].1 && got[0].2.contains("not saved"),
            "{got:?}"
        );
        assert!(
            harness.registry.unsaved() && harness.registry.out_of_service().exchanges.contains(&Exchange(1))
        );
        harness.registry.save_finished(harness.now(), n + 1, Ok(()));
        assert!(!harness.registry.unsaved() && take_answers(&mut harness).is_empty());
    }
}

#[test]
fn a_window_starts_once_and_never_exceeds_its_length_when_the_clock_jumps() {
    let mut harness = Harness::new();
    harness.apply(Operation::PassTime { ms: 11_000 });
    assert_eq!(harness.registry.drains().len(), 1, "it is 01:00:01");
    // The wall clock jumps back before the start: the drain continues and ends by the monotonic clock.
    harness.wall -= 7200 * SECOND;
    for _ in 0..1799 {
        harness.apply(Operation::PassTime { ms: 1000 });
    }
    assert!(harness.registry.drains().is_empty());
    // The wall clock passes the start of the same occurrence again: it does not start twice.
    harness.wall = 3_601 * SECOND;
    harness.apply(Operation::PassTime { ms: 3000 });
    assert!(harness.registry.drains().is_empty());
    // The next occurrence ends early because the wall clock jumps forward by an hour.
    harness.wall += 24 * 3600 * SECOND;
    harness.apply(Operation::PassTime { ms: 3000 });
    assert_eq!(harness.registry.drains().len(), 1);
    harness.wall += 3600 * SECOND;
    harness.apply(Operation::PassTime { ms: 3000 });
    assert!(harness.registry.drains().is_empty());
}

#[test]
fn the_guard_ends_a_drain_that_degrades_service_unless_the_target_is_empty() {
    for empty in [false, true] {
        let mut harness = Harness::new();
        // The wall clock is far from the maintenance window.
        harness.wall += 10_000 * SECOND;
        harness.site.calls.insert(Target::Exchange(Exchange(1)), u32::from(!empty));
        submit(&mut harness, "a", drain_exchange_1());
        harness.process_outputs();
        let n = harness.pending_saves[0].0;
        harness.registry.save_finished(harness.now(), n, Ok(()));
        harness.apply(Operation::PassTime { ms: 2000 });
        harness.site.good_share = 0.5;
        for _ in 0..4 {
            harness.apply(Operation::PassTime { ms: 2000 });
        }
        assert_eq!(harness.registry.drains().is_empty(), !empty);
    }
}

#[test]
fn a_round_continues_on_command_and_resumes_its_stage_after_a_restart() {
    let mut harness = Harness::new();
    harness.wall += 10_000 * SECOND;
    let targets = vec![Target::Exchange(Exchange(1)), Target::Group(Exchange(3))];
    submit(
        &mut harness,
        "a",
        Command::Round { targets: targets.clone(), reason: String::new(), pause: None },
    );
    harness.apply(Operation::PassTime { ms: 3000 });
    harness.apply(Operation::PassTime { ms: 3000 });
    let stage = |harness: &Harness| harness.registry.plan().unwrap().stage.name();
    assert_eq!(stage(&harness), "working");
    let saved = harness.pending_saves.last().unwrap().1.clone();
    harness.registry = registry();
    harness.out_of_service_since.clear();
    harness.registry.resume(harness.now(), saved);
    harness.process_outputs();
    assert_eq!((stage(&harness), harness.registry.drains().len()), ("working", 1));
    submit(&mut harness, "b", Command::Next);
    harness.apply(Operation::PassTime { ms: 3000 });
    assert_eq!((stage(&harness), harness.registry.drains().len()), ("settling", 0));
    for _ in 0..9 {
        harness.apply(Operation::PassTime { ms: 3000 });
    }
    assert_eq!(
        (harness.registry.plan().unwrap().target_index, harness.registry.drains()[0].target),
        (1, targets[1])
    );
    submit(&mut harness, "c", Command::Halt);
    harness.apply(Operation::PassTime { ms: 3000 });
    assert_eq!(
        (stage(&harness), harness.registry.drains().len()),
        ("halted", 1),
        "a drained target stays drained"
    );
}
