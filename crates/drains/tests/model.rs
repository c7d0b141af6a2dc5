//! The drain registry against a site that changes at random: list news, calls, orders, time, clocks that jump,
//! savings that fail, and restarts. The rules are checked after each step.

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
enum Do {
    Order { id: u8, drain: bool, target: u8, limit: Option<u8>, at: u8, force: bool },
    Call { target: u8 },
    End { target: u8 },
    Listed { exchange: u8, ready: bool },
    Pass { ms: u16 },
    Jump { s: i16 },
    Saved { ok: bool },
    Health { good: u8 },
    Round { what: u8, targets: Vec<u8> },
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Do>> {
    let one = prop_oneof![
        4 => (any::<u8>(), any::<bool>(), 0u8..7, proptest::option::of(1u8..20), 0u8..3, any::<bool>()).prop_map(
            |(id, drain, target, limit, at, force)| Do::Order { id: id % 40, drain, target, limit, at, force }),
        6 => (0u8..6).prop_map(|target| Do::Call { target }),
        5 => (0u8..6).prop_map(|target| Do::End { target }),
        1 => (1u8..4, any::<bool>()).prop_map(|(exchange, ready)| Do::Listed { exchange, ready }),
        8 => (1u16..3000).prop_map(|ms| Do::Pass { ms }),
        1 => any::<i16>().prop_map(|s| Do::Jump { s }),
        4 => prop::bool::weighted(0.8).prop_map(|ok| Do::Saved { ok }),
        1 => Just(Do::Restart),
        1 => prop_oneof![Just(100u8), Just(100), 0u8..100].prop_map(|good| Do::Health { good }),
        3 => (0u8..4, prop::collection::vec(0u8..6, 0..4)).prop_map(|(what, targets)| Do::Round { what, targets }),
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
struct World {
    calls: BTreeMap<Target, u32>,
    ready: BTreeMap<u16, bool>,
    good: f64,
}

impl Site for World {
    fn load(&self, target: Target) -> Load {
        Load { pending_setups: 0, established: self.calls.get(&target).copied().unwrap_or(0) }
    }
    fn neighbours(&self) -> Vec<Neighbour> {
        let of = |(&n, &ready)| Neighbour { exchange: Exchange(n), ready, group: Some((9.0, 10.0)) };
        self.ready.iter().map(of).collect()
    }
    fn health(&self) -> Health {
        Health { answered: 100, good_share: self.good }
    }
    fn linked(&self, _: Exchange, _: Exchange) -> Option<bool> {
        Some(true)
    }
}

struct Run {
    registry: DrainRegistry,
    world: World,
    steady: i64,
    wall: i64,
    /// Savings under way, oldest first, and the last one that reached the disk.
    saving: Vec<(u64, Saved)>,
    disk: Option<Saved>,
    /// Since when each target is out of service, as the outside was told.
    out: BTreeMap<Target, i64>,
    waiting: BTreeSet<WaiterId>,
    waiters: WaiterId,
    /// What each request id was first used for, and the orders that it became.
    ids: BTreeMap<String, (String, BTreeSet<u64>)>,
    asked: BTreeMap<WaiterId, String>,
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

impl Run {
    fn new() -> Run {
        let world = World { ready: (1..=3).map(|n| (n, true)).collect(), good: 1.0, ..World::default() };
        Run {
            registry: registry(),
            world,
            steady: 1_000 * SECOND,
            wall: 3_590 * SECOND,
            saving: Vec::new(),
            disk: None,
            out: BTreeMap::new(),
            waiting: BTreeSet::new(),
            waiters: 0,
            ids: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    fn now(&self) -> Now {
        Now::new(self.steady, self.wall)
    }

    fn step(&mut self, what: Do) {
        let (now, quiet) = (self.now(), Traffic::default());
        match what {
            Do::Order { id, drain, target: n, limit, at, force } => {
                let at_limit = [AtLimit::Keep, AtLimit::Restore, AtLimit::Cut][usize::from(at)];
                let limit = limit.map(|l| i64::from(l) * SECOND);
                let target = target(n);
                let command = match drain {
                    true => Command::Drain { target, reason: String::new(), limit, at_limit, force },
                    false => Command::Undrain { target },
                };
                self.waiters += 1;
                self.waiting.insert(self.waiters);
                let request = if id < 10 { String::new() } else { format!("r{id}") };
                self.asked.insert(self.waiters, request.clone());
                if !request.is_empty() {
                    let first = self.ids.entry(request.clone()).or_default();
                    if first.0.is_empty() {
                        first.0 = command.to_string();
                    }
                }
                let request = OrderRequest { request_id: request, requested_by: "t".into(), command };
                self.registry.submit(now, request, Some(self.waiters), &quiet, &self.world);
            }
            Do::Health { good } => self.world.good = f64::from(good) / 100.0,
            Do::Round { what, targets } => {
                let targets = targets.into_iter().map(target).collect();
                let command = match what {
                    0 => Command::Round { targets, reason: String::new(), pause: Some(SECOND) },
                    1 => Command::Round { targets, reason: String::new(), pause: None },
                    2 => Command::Next,
                    _ => Command::Halt,
                };
                self.waiters += 1;
                self.waiting.insert(self.waiters);
                self.asked.insert(self.waiters, String::new());
                let request = OrderRequest { request_id: String::new(), requested_by: "t".into(), command };
                self.registry.submit(now, request, Some(self.waiters), &quiet, &self.world);
            }
            // The ledger's rule: nothing new once the grace is over.
            Do::Call { target: n } => {
                let t = target(n);
                if self.out.get(&t).is_none_or(|since| self.steady - since <= GRACE) {
                    *self.world.calls.entry(t).or_default() += 1;
                }
            }
            Do::End { target: n } => {
                if let Some(c) = self.world.calls.get_mut(&target(n)) {
                    *c = c.saturating_sub(1);
                }
            }
            Do::Listed { exchange, ready } => drop(self.world.ready.insert(exchange.into(), ready)),
            Do::Pass { ms } => {
                let end = self.steady + i64::from(ms) * 1000;
                while self.steady < end {
                    let next = self.registry.next_evaluation(self.now()).min(end);
                    assert!(next > self.steady, "it asks to be looked at in the past");
                    self.wall += next - self.steady;
                    self.steady = next;
                    self.registry.evaluate(self.now(), &quiet, &self.world);
                    self.take();
                }
            }
            Do::Jump { s } => self.wall += i64::from(s) * SECOND,
            Do::Saved { ok } => {
                if !self.saving.is_empty() {
                    let (n, saved) = self.saving.remove(0);
                    if ok {
                        self.disk = Some(saved);
                    }
                    self.registry.save_finished(now, n, if ok { Ok(()) } else { Err("no room".into()) });
                }
            }
            Do::Restart => {
                // What was not on the disk is lost, and so is whoever waited.
                self.registry = registry();
                self.saving.clear();
                self.waiting.clear();
                self.out.clear();
                // Requests that were not saved are not known, and may act again.
                let kept =
                    |id: &String| self.disk.as_ref().is_some_and(|d| d.requests.iter().any(|r| r.id == *id));
                self.ids.retain(|id, _| kept(id));
                if let Some(saved) = self.disk.clone() {
                    let before: BTreeSet<Target> = saved.drains.iter().map(|d| d.target).collect();
                    self.registry.resume(now, saved);
                    let after = self.registry.drains().iter().map(|d| d.target).collect();
                    assert_eq!(before, after, "what was saved is in force at once");
                    assert!(self.registry.drains().iter().all(|d| d.state.in_force()));
                }
            }
        }
        self.take();
        self.check();
    }

    fn take(&mut self) {
        for output in self.registry.take_outputs() {
            match output {
                Output::Save(n, saved) => self.saving.push((n, *saved)),
                Output::Answer(waiter, answer) => {
                    assert!(self.waiting.remove(&waiter), "answered twice, or nobody asked: {answer:?}");
                    let request = &self.asked[&waiter];
                    if let (true, Some(order), Some(id)) =
                        (answer.done, answer.order, self.ids.get_mut(request))
                    {
                        id.1.insert(order);
                        assert_eq!(id.1.len(), 1, "{request} acted again");
                    }
                }
                Output::SetOutOfService(w) => {
                    let exchanges = w.exchanges.iter().map(|&e| Target::Exchange(e));
                    let groups = w.groups.iter().map(|&e| Target::Group(e));
                    let own = w.fail_health_checks.then_some(Target::Controller);
                    let now: BTreeSet<Target> = exchanges.chain(groups).chain(own).collect();
                    self.out.retain(|t, _| now.contains(t));
                    for t in now {
                        self.out.entry(t).or_insert(self.steady);
                    }
                }
                Output::Cut(t) => drop(self.world.calls.insert(t, 0)),
                Output::Event(_) => {}
            }
        }
    }

    fn check(&self) {
        let in_force: BTreeSet<Target> =
            self.registry.drains().iter().filter(|d| d.state.in_force()).map(|d| d.target).collect();
        let out: BTreeSet<Target> = self.out.keys().copied().collect();
        assert_eq!(in_force, out, "what is in force is what the outside was told");
        let all: Vec<Target> = self.registry.drains().iter().map(|d| d.target).collect();
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len(), "one drain for a target");
        for d in self.registry.drains() {
            assert_ne!(d.target, Target::Exchange(OWN));
            if let Some(limit) = d.limit.filter(|_| d.state.in_force()) {
                // A limit that has passed was acted on at the next look.
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
            // A round never has more than the one target at hand drained by itself, and knows which.
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
            let ours: Vec<Target> = by_round.map(|d| d.target).collect();
            assert!(p.is_stopped() || ours.len() <= 1, "{ours:?}");
        }
        assert!(
            self.registry.audit().count() <= MAX_AUDIT_ENTRIES
                && self.registry.finished().count() <= MAX_FINISHED_DRAINS
        );
    }

    /// Time passes with no calls left: everything that waits is answered.
    fn come_to_rest(&mut self) {
        self.world.calls.clear();
        self.step(Do::Pass { ms: 3000 });
        assert!(self.waiting.is_empty(), "{:?} got no answer", self.waiting);
        // A window may have begun just now, and the controller has a longer grace.
        let young = |d: &Drain| d.window.is_some() || d.target == Target::Controller;
        assert!(self.registry.drains().iter().all(|d| d.state == State::Empty || young(d)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(8),
        ..ProptestConfig::default() })]
    #[test]
    fn the_rules_hold_after_each_step(steps in steps()) {
        let mut run = Run::new();
        for step in steps {
            run.step(step);
        }
        run.come_to_rest();
    }
}

fn order(run: &mut Run, id: &str, command: Command) -> WaiterId {
    run.waiters += 1;
    run.waiting.insert(run.waiters);
    run.asked.insert(run.waiters, String::new());
    let request = OrderRequest { request_id: id.into(), requested_by: "t".into(), command };
    let (now, waiter) = (run.now(), run.waiters);
    run.registry.submit(now, request, Some(waiter), &Traffic::default(), &run.world);
    waiter
}

fn drain_1() -> Command {
    let target = Target::Exchange(Exchange(1));
    Command::Drain { target, reason: String::new(), limit: None, at_limit: AtLimit::Keep, force: false }
}

fn answers(run: &mut Run) -> Vec<(WaiterId, bool, String)> {
    let mut got = Vec::new();
    for output in run.registry.take_outputs() {
        match output {
            Output::Answer(w, a) => got.push((w, a.done, a.text)),
            Output::Save(n, s) => run.saving.push((n, *s)),
            _ => {}
        }
    }
    got
}

#[test]
fn a_request_that_comes_again_acts_once_also_after_a_restart() {
    let mut run = Run::new();
    order(&mut run, "a", drain_1());
    let again = order(&mut run, "a", drain_1());
    let _ = answers(&mut run);
    assert_eq!(run.registry.drains().len(), 1);
    let (n, saved) = run.saving.remove(0);
    run.registry.save_finished(run.now(), n, Ok(()));
    let got = answers(&mut run);
    assert!(got.len() == 1 && got[0].0 == again && got[0].1, "the newest connection is answered: {got:?}");
    // The program dies after the saving and before its answer is read.
    run.registry = registry();
    run.registry.resume(run.now(), saved);
    let third = order(&mut run, "a", drain_1());
    let got = answers(&mut run);
    assert!(got[0].0 == third && got[0].1 && run.registry.drains().len() == 1, "{got:?}");
    order(&mut run, "a", Command::Undrain { target: Target::Exchange(Exchange(1)) });
    assert!(answers(&mut run)[0].2.contains("used for another command"));
}

#[test]
fn of_two_contrary_orders_both_are_told_which_came_last() {
    let mut run = Run::new();
    let first = order(&mut run, "a", drain_1());
    let second = order(&mut run, "b", Command::Undrain { target: Target::Exchange(Exchange(1)) });
    let got = answers(&mut run);
    assert!(got[0].0 == first && !got[0].1 && got[0].2.contains("came after this one"), "{got:?}");
    let n = run.saving.last().unwrap().0;
    run.registry.save_finished(run.now(), n, Ok(()));
    let got = answers(&mut run);
    assert!(got.len() == 1 && got[0].0 == second && got[0].1 && got[0].2.contains("order 1"), "{got:?}");
    assert!(run.registry.drains().is_empty() && run.registry.out_of_service().exchanges.is_empty());
}

#[test]
fn a_disk_that_fails_or_hangs_holds_no_order_up_and_is_told() {
    for hangs in [true, false] {
        let mut run = Run::new();
        let waiter = order(&mut run, "a", drain_1());
        let _ = answers(&mut run);
        let n = run.saving[0].0;
        match hangs {
            true => {
                run.steady += SAVE_TIMEOUT;
                run.registry.evaluate(run.now(), &Traffic::default(), &run.world);
            }
            false => run.registry.save_finished(run.now(), n, Err("disk full".into())),
        }
        let got = answers(&mut run);
        assert!(
            got.len() == 1 && got[0].0 == waiter && got[0].1 && got[0].2.contains("not saved"),
            "{got:?}"
        );
        assert!(run.registry.unsaved() && run.registry.out_of_service().exchanges.contains(&Exchange(1)));
        run.registry.save_finished(run.now(), n + 1, Ok(()));
        assert!(!run.registry.unsaved() && answers(&mut run).is_empty());
    }
}

#[test]
fn a_window_begins_once_and_never_outlasts_its_length_though_the_clock_jumps() {
    let mut run = Run::new();
    run.step(Do::Pass { ms: 11_000 });
    assert_eq!(run.registry.drains().len(), 1, "it is 01:00:01");
    // Back before the start: it goes on, and ends by the program's clock.
    run.wall -= 7200 * SECOND;
    for _ in 0..1799 {
        run.step(Do::Pass { ms: 1000 });
    }
    assert!(run.registry.drains().is_empty());
    // The same occurrence comes again by the wall's clock, and is over.
    run.wall = 3_601 * SECOND;
    run.step(Do::Pass { ms: 3000 });
    assert!(run.registry.drains().is_empty());
    // The next one ends early as the clock goes on by an hour.
    run.wall += 24 * 3600 * SECOND;
    run.step(Do::Pass { ms: 3000 });
    assert_eq!(run.registry.drains().len(), 1);
    run.wall += 3600 * SECOND;
    run.step(Do::Pass { ms: 3000 });
    assert!(run.registry.drains().is_empty());
}

#[test]
fn the_guard_puts_back_what_makes_calls_fare_worse_but_never_what_is_empty() {
    for empty in [false, true] {
        let mut run = Run::new();
        // Far from the window.
        run.wall += 10_000 * SECOND;
        run.world.calls.insert(Target::Exchange(Exchange(1)), u32::from(!empty));
        order(&mut run, "a", drain_1());
        run.take();
        let n = run.saving[0].0;
        run.registry.save_finished(run.now(), n, Ok(()));
        run.step(Do::Pass { ms: 2000 });
        run.world.good = 0.5;
        for _ in 0..4 {
            run.step(Do::Pass { ms: 2000 });
        }
        assert_eq!(run.registry.drains().is_empty(), !empty);
    }
}

#[test]
fn a_round_goes_on_at_the_word_and_where_it_was_after_a_restart() {
    let mut run = Run::new();
    run.wall += 10_000 * SECOND;
    let targets = vec![Target::Exchange(Exchange(1)), Target::Group(Exchange(3))];
    order(&mut run, "a", Command::Round { targets: targets.clone(), reason: String::new(), pause: None });
    run.step(Do::Pass { ms: 3000 });
    run.step(Do::Pass { ms: 3000 });
    let stage = |run: &Run| run.registry.plan().unwrap().stage.name();
    assert_eq!(stage(&run), "working");
    let saved = run.saving.last().unwrap().1.clone();
    run.registry = registry();
    run.out.clear();
    run.registry.resume(run.now(), saved);
    run.take();
    assert_eq!((stage(&run), run.registry.drains().len()), ("working", 1));
    order(&mut run, "b", Command::Next);
    run.step(Do::Pass { ms: 3000 });
    assert_eq!((stage(&run), run.registry.drains().len()), ("settling", 0));
    for _ in 0..9 {
        run.step(Do::Pass { ms: 3000 });
    }
    assert_eq!((run.registry.plan().unwrap().target_index, run.registry.drains()[0].target), (1, targets[1]));
    order(&mut run, "c", Command::Halt);
    run.step(Do::Pass { ms: 3000 });
    assert_eq!((stage(&run), run.registry.drains().len()), ("halted", 1), "what is drained stays so");
}
