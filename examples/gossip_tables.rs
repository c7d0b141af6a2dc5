//! Generates the tables of `docs/measurements/gossip.md`: membership on a simulated network, and routing around a hung
//! exchange with and without gossip. The clock is virtual, and the same seeds give the same tables.
//!
//! `cargo run --release --example gossip_tables` (about a minute; `--most 100` omits the largest group)

use clap::Parser;
use std::collections::{BTreeMap, BTreeSet};
use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, FrontendId, Ledger, LedgerTimer, OfferedCall, Output};
use walnuthatch::routing::timer_queue::TimerQueue;
use walnuthatch_gossip::node::Output as NodeOutput;
use walnuthatch_gossip::rate_limit::RateLimit;
use walnuthatch_gossip::simulation::{Network, Simulation, RATE_LIMIT};
use walnuthatch_gossip::{Exchange, SECOND};

#[derive(Parser)]
struct Args {
    /// Largest group size
    #[arg(long = "most", default_value_t = 1000)]
    max_members: usize,
    /// Number of seeds
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

fn main() {
    let args = Args::parse();
    routing(args.seeds);
    let sizes: Vec<usize> = [6, 30, 100, 1000].into_iter().filter(|n| *n <= args.max_members).collect();
    membership(&sizes, args.seeds);
}

fn median(v: &mut [f64]) -> f64 {
    v.sort_by(f64::total_cmp);
    if v.is_empty() {
        f64::NAN
    } else {
        v[v.len() / 2]
    }
}

fn worst(v: &[f64]) -> f64 {
    v.iter().copied().fold(f64::NAN, f64::max)
}

// ---- Membership ----

fn converged(n: usize, seed: u64, net: Network) -> Simulation {
    let mut simulation = Simulation::new(n, seed, net);
    simulation.run_while(300 * SECOND, |s| !s.converged());
    simulation
}

/// Measurements of one seed.
#[derive(Default)]
struct Measurements {
    detection: f64,
    healing: f64,
    false_deaths: [u64; 3],
    bytes: Vec<f64>,
    datagrams: Vec<f64>,
}

fn one_seed(n: usize, seed: u64) -> Measurements {
    let mut measured = Measurements::default();
    for (index, loss) in [0.0, 0.05, 0.2].into_iter().enumerate() {
        let mut simulation = converged(n, seed, Network { loss, ..Network::default() });
        let before: u64 = simulation.running().map(|x| x.1.counts().deaths).sum();
        let second = (simulation.now / SECOND) as usize;
        simulation.run_until(simulation.now + 60 * SECOND);
        measured.false_deaths[index] =
            simulation.running().map(|x| x.1.counts().deaths).sum::<u64>() - before;
        if loss > 0.0 {
            continue;
        }
        for t in &simulation.traffic {
            measured.bytes.extend(t.bytes.iter().skip(second).map(|b| f64::from(*b)));
            measured.datagrams.extend(t.datagrams.iter().skip(second).map(|d| f64::from(*d)));
        }
        let span = |from: Micros, to: Option<Micros>| to.map_or(f64::INFINITY, |t| (t - from) as f64 / 1e6);
        let crashed = simulation.now;
        simulation.kill(n - 1);
        measured.detection =
            span(crashed, simulation.run_while(crashed + 300 * SECOND, |s| s.dead_count(n - 1) < n - 1));
        simulation.start(n - 1);
        simulation.run_while(simulation.now + 120 * SECOND, |s| !s.converged());
        simulation.partition(Some((0..n).map(|i| u8::from(2 * i >= n)).collect()));
        simulation.run_until(simulation.now + 60 * SECOND);
        simulation.partition(None);
        let healed = simulation.now;
        measured.healing = span(healed, simulation.run_while(healed + 600 * SECOND, |s| !s.converged()));
    }
    measured
}

fn membership(sizes: &[usize], seeds: u64) {
    println!(
        "| members | death known to all, median s | worst s | false deaths in 60 s at 0% | 5% | 20% loss | bytes/s mean | \
         worst second | datagrams/s mean | worst | split heals, median s | worst s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for &n in sizes {
        // Runs with different seeds are independent of each other.
        let all: Vec<Measurements> = std::thread::scope(|s| {
            let runs: Vec<_> = (0..seeds).map(|seed| s.spawn(move || one_seed(n, seed))).collect();
            runs.into_iter().filter_map(|r| r.join().ok()).collect()
        });
        let mut detections: Vec<f64> = all.iter().map(|s| s.detection).collect();
        let mut healings: Vec<f64> = all.iter().map(|s| s.healing).collect();
        let false_deaths: Vec<u64> = (0..3).map(|i| all.iter().map(|s| s.false_deaths[i]).sum()).collect();
        let bytes: Vec<f64> = all.iter().flat_map(|s| s.bytes.iter().copied()).collect();
        let datagrams: Vec<f64> = all.iter().flat_map(|s| s.datagrams.iter().copied()).collect();
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        println!(
            "| {n} | {:.1} | {:.1} | {} | {} | {} | {:.0} | {:.0} | {:.1} | {:.0} | {:.1} | {:.1} |",
            median(&mut detections),
            worst(&detections),
            false_deaths[0],
            false_deaths[1],
            false_deaths[2],
            mean(&bytes),
            worst(&bytes),
            mean(&datagrams),
            worst(&datagrams),
            median(&mut healings),
            worst(&healings)
        );
    }
    let RateLimit { bytes, datagrams } = RATE_LIMIT;
    println!(
        "\nCeiling: {bytes} bytes and {datagrams} datagrams a second, one and a half of it in any second.\n"
    );
}

// ---- Routing ----

const SITES: usize = 6;
const HUNG_SITE: usize = 5;
/// Calls per second offered to each controller.
const CALLS_PER_SECOND: f64 = 50.0;
const HANG_INTERVAL: (Micros, Micros) = (30 * SECOND, 45 * SECOND);
const RUN_TIME: Micros = 60 * SECOND;
const STEP: Micros = 2_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    NoGossip,
    AllHonest,
    OneFalseAccuser,
    ThreeFalseAccusers,
    OneFalseVoucher,
    OneCrash,
}

/// Result of one run.
#[derive(Clone, Copy, Default)]
struct RunResult {
    /// Set-ups sent to the exchange while it hung.
    sent_while_hung: f64,
    /// Those sent before the controller avoided the exchange.
    sent_before_avoided: f64,
    /// Mean time until a controller sends no more than a trickle to the exchange (ms).
    avoidance_ms: f64,
    /// Share of calls to other exchanges that were established within the latency objective, over the whole run.
    others_within_objective: f64,
    /// Share of all calls that were established within the latency objective.
    all_within_objective: f64,
}

struct Site {
    ledger: Ledger,
    timers: TimerQueue<LedgerTimer>,
    /// Outstanding set-ups and established calls.
    calls: BTreeMap<CallId, (AttemptNumber, ExchangeId, usize)>,
    sent_to_hung: Vec<Micros>,
}

fn exchange_id(i: usize) -> ExchangeId {
    ExchangeId { addr: [10, 0, 0, i as u8], port: 5060 }
}

fn site(i: usize) -> Site {
    let class = Class {
        latency_objective: 1_200_000,
        client_timeout: 9_000_000,
        late_value: 0.25,
        value: 1.0,
        retry_policy: RetryPolicy::Retryable,
        mean_hold_time: 2_000_000,
        allowed_pools: Vec::new(),
    };
    let settings = Settings {
        classes: vec![class],
        own_exchange: Some(ExchangeNumber(i as u16)),
        quiet_period: 500_000,
        drain_grace: 250_000,
        may_cancel: true,
        max_retry_after: 2_000_000,
        max_attempts: 4,
        cold_start_period: 15_000_000,
        cold_start_capacity: 0.35,
        overload_factor: 2.5,
        overload_window: 2_000_000,
        min_batch_interval: 5_000,
        ..Settings::default()
    };
    let mut ledger = Ledger::new(settings, i as u64 + 1);
    let entry = |j: usize| ListEntry {
        exchange: ExchangeNumber(j as u16),
        kind: ExchangeKind::Exchange,
        zone: 0,
        state: ListState::Ready,
        exchange_id: exchange_id(j),
        last_start: None,
    };
    ledger.list_update(0, ListUpdate::Cached((0..SITES).map(entry).collect()));
    for j in (0..SITES).filter(|j| *j != i) {
        let report = LoadReport { free: Some(60.0), size: Some(60.0), ..LoadReport::default() };
        ledger.group_report(0, exchange_id(j), report);
    }
    Site { ledger, timers: TimerQueue::default(), calls: BTreeMap::new(), sent_to_hung: Vec::new() }
}

enum Scheduled {
    Answer(usize, CallId, AttemptNumber),
    Release(usize, CallId, AttemptNumber),
}

struct Model {
    now: Micros,
    simulation: Option<Simulation>,
    sites: Vec<Site>,
    scheduled: BTreeMap<(Micros, u64), Scheduled>,
    next_number: u64,
    rng: fastrand::Rng,
    /// Circuits in use between two sites.
    circuits_in_use: BTreeMap<(usize, usize), u32>,
    /// Calls offered to the hung site, and to the others.
    offered: [u32; 2],
    /// Those of them that were established within the latency objective.
    within_objective: [u32; 2],
}

impl Model {
    fn schedule(&mut self, at: Micros, event: Scheduled) {
        self.next_number += 1;
        self.scheduled.insert((at, self.next_number), event);
    }

    fn pair(a: usize, b: usize) -> (usize, usize) {
        (a.min(b), a.max(b))
    }

    fn is_hung(&self, i: usize) -> bool {
        i == HUNG_SITE && (HANG_INTERVAL.0..HANG_INTERVAL.1).contains(&self.now)
    }

    /// Carries out the outputs of a ledger.
    fn process_outputs(&mut self, i: usize) {
        loop {
            let outputs = self.sites[i].ledger.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.output(i, output);
            }
        }
    }

    fn with_node(&mut self, i: usize, call: impl FnOnce(&mut walnuthatch_gossip::node::Node, Micros)) {
        if let Some(simulation) = &mut self.simulation {
            simulation.with_node(i, call);
        }
    }

    fn output(&mut self, i: usize, output: Output) {
        let now = self.now;
        match output {
            Output::SetUp { call, attempt, exchange_id, .. } => {
                let j = usize::from(exchange_id.addr[3]);
                let to = self.sites[i]
                    .ledger
                    .offered_call(call)
                    .map_or(j, |o| usize::from(o.new_call.destination.0));
                *self.circuits_in_use.entry(Model::pair(i, j)).or_default() += 1;
                self.sites[i].calls.insert(call, (attempt, exchange_id, j));
                if self.is_hung(j) || self.is_hung(to) {
                    self.sites[i].sent_to_hung.push(now);
                }
                if to == j {
                    self.with_node(i, |n, now| n.set_up_sent(now, Exchange(j as u16), u64::from(call.0)));
                }
                let hops = if to == j { 1.0 } else { 2.0 };
                let delay = (15_000.0 + -20_000.0 * (1.0 - self.rng.f64()).ln()) * hops;
                if !self.is_hung(j) && !self.is_hung(to) {
                    self.schedule(now + delay as Micros, Scheduled::Answer(i, call, attempt));
                }
            }
            Output::Clear { call, exchange_id, .. } if self.sites[i].calls.remove(&call).is_some() => {
                self.release_circuit(i, usize::from(exchange_id.addr[3]));
            }
            Output::AttemptEnded { call, exchange: Some(first_hop), ending, .. } => {
                let e = Exchange(first_hop.0);
                let call = u64::from(call.0);
                self.with_node(i, |n, now| match ending {
                    Ending::TimedOut | Ending::Cancelled => n.set_up_timed_out(now, e, call),
                    Ending::Full | Ending::Fault => n.set_up_refused(now, e, call),
                    _ => n.set_up_abandoned(now, e, call),
                });
            }
            Output::Answer { call, answer, offered_at, destination, last_attempt, .. } => {
                let other = usize::from(usize::from(destination.0) != HUNG_SITE);
                if let Answer::Established(_) = answer {
                    self.within_objective[other] += u32::from(now - offered_at <= 1_200_000);
                    if let Some(last) = last_attempt {
                        let (e, setup_time) = (Exchange(last.exchange.map_or(0, |e| e.0)), last.setup_time);
                        self.with_node(i, |n, now| n.set_up_answered(now, e, u64::from(call.0), setup_time));
                    }
                }
            }
            Output::SetTimer(at, timer) => self.sites[i].timers.add(at, timer),
            _ => {}
        }
    }

    fn release_circuit(&mut self, i: usize, j: usize) {
        let in_use = self.circuits_in_use.entry(Model::pair(i, j)).or_default();
        *in_use = in_use.saturating_sub(1);
        let free = f64::from(60u32.saturating_sub(*in_use));
        for (a, b) in [(i, j), (j, i)] {
            let report = LoadReport { free: Some(free), size: Some(60.0), ..LoadReport::default() };
            self.sites[a].ledger.group_report(self.now, exchange_id(b), report);
        }
    }

    fn offer_call(&mut self, i: usize) {
        let mut to = self.rng.usize(0..SITES - 1);
        to += usize::from(to >= i);
        self.offered[usize::from(to != HUNG_SITE)] += 1;
        let new_call = NewCall::to(ExchangeNumber(to as u16), 3_000_000);
        self.sites[i]
            .ledger
            .offer(self.now, OfferedCall { frontend: FrontendId(0), new_call, description: None });
        self.process_outputs(i);
    }

    fn advance(&mut self) {
        let now = self.now;
        if let Some(simulation) = &mut self.simulation {
            simulation.run_until(now);
            for (_, i, output) in std::mem::take(&mut simulation.outputs) {
                if let (NodeOutput::Suspected(all), true) = (output, i < SITES) {
                    let all: BTreeSet<ExchangeNumber> =
                        all.into_iter().map(|e| ExchangeNumber(e.0)).collect();
                    self.sites[i].ledger.suspected_changed(now, all);
                    self.process_outputs(i);
                }
            }
        }
        while let Some(event) = self.scheduled.first_entry().filter(|e| e.key().0 <= now).map(|e| e.remove())
        {
            match event {
                Scheduled::Answer(i, call, attempt) => {
                    let known = self.sites[i].calls.get(&call).is_some_and(|o| o.0 == attempt);
                    if known && self.sites[i].ledger.attempt_answered(now, call, attempt, None) {
                        let hold = (-2e6 * (1.0 - self.rng.f64()).ln()) as Micros;
                        self.schedule(now + hold, Scheduled::Release(i, call, attempt));
                        self.process_outputs(i);
                    }
                }
                Scheduled::Release(i, call, attempt) => {
                    if let Some((_, _, j)) = self.sites[i].calls.remove(&call) {
                        let ending = (Ending::Completed, Cause::None);
                        self.sites[i].ledger.attempt_ended(now, call, attempt, ending, LoadReport::default());
                        self.release_circuit(i, j);
                        self.process_outputs(i);
                    }
                }
            }
        }
        for i in 0..SITES {
            while let Some(timer) = self.sites[i].timers.pop_expired(now) {
                self.sites[i].ledger.timer_expired(now, timer);
                self.process_outputs(i);
            }
        }
    }
}

fn run(scenario: Scenario, seed: u64) -> RunResult {
    let extra_members = match scenario {
        Scenario::OneFalseAccuser | Scenario::OneFalseVoucher => 1,
        // Three of nine members.
        Scenario::ThreeFalseAccusers => 3,
        _ => 0,
    };
    let simulation = (scenario != Scenario::NoGossip).then(|| {
        let mut simulation = Simulation::new(SITES + extra_members, seed, Network::default());
        simulation.record_outputs = true;
        simulation
    });
    let mut m = Model {
        now: 0,
        simulation,
        sites: (0..SITES).map(site).collect(),
        scheduled: BTreeMap::new(),
        next_number: 0,
        rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
        circuits_in_use: BTreeMap::new(),
        offered: [0; 2],
        within_objective: [0; 2],
    };
    let (mut arrivals, mut false_call) = ([0i64; SITES], 1u64 << 40);
    let mut arrival_rng = fastrand::Rng::with_seed(seed);
    while m.now < RUN_TIME {
        m.now += STEP;
        m.advance();
        // While a processor hangs, it offers no calls of its own.
        let hung = m.is_hung(HUNG_SITE);
        for i in (0..SITES).filter(|i| *i != HUNG_SITE || !hung) {
            while arrivals[i] <= m.now {
                arrivals[i] += (-1e6 / CALLS_PER_SECOND * (1.0 - arrival_rng.f64()).ln()) as Micros;
                m.offer_call(i);
            }
        }
        if scenario == Scenario::OneCrash && m.now == HANG_INTERVAL.0 - 5 * SECOND {
            m.simulation.as_mut().unwrap_or_else(|| unreachable!("this scenario has gossip")).kill(3);
        }
        if m.now % 100_000 == 0 {
            for member in SITES..SITES + extra_members {
                // Reports an unanswered set-up at every exchange ten times a second, or an answer when vouching.
                for e in 0..SITES {
                    false_call += 1;
                    let (e, call) = (Exchange(e as u16), false_call);
                    m.with_node(member, |n, now| {
                        n.set_up_sent(now, e, call);
                        if scenario == Scenario::OneFalseVoucher {
                            n.set_up_answered(now, e, call, 20_000);
                        }
                    });
                }
            }
        }
    }
    let sent: usize = m.sites.iter().map(|s| s.sent_to_hung.len()).sum();
    // About ten set-ups a second go to the exchange; it counts as avoided once none was sent for 400 ms.
    let last = |i: usize| {
        let sent = &m.sites[i].sent_to_hung;
        let gap = sent.windows(2).find(|w| w[1] - w[0] >= 400_000).map(|w| w[0]);
        gap.or(sent.last().copied()).unwrap_or(HANG_INTERVAL.0)
    };
    let others = (0..SITES).filter(|i| *i != HUNG_SITE);
    let avoids = others.clone().map(|i| (last(i) - HANG_INTERVAL.0) as f64 / 1000.0);
    let early = others.map(|i| m.sites[i].sent_to_hung.iter().filter(|t| **t <= last(i)).count());
    RunResult {
        sent_while_hung: sent as f64,
        sent_before_avoided: early.sum::<usize>() as f64,
        avoidance_ms: avoids.sum::<f64>() / (SITES - 1) as f64,
        others_within_objective: f64::from(m.within_objective[1]) / f64::from(m.offered[1]),
        all_within_objective: f64::from(m.within_objective[0] + m.within_objective[1])
            / f64::from(m.offered[0] + m.offered[1]),
    }
}

fn routing(seeds: u64) {
    println!("| gossip | set-ups into the hung exchange in 15 s | before it is avoided | until it is avoided, ms | calls for the others in the aim | all calls in the aim | difference to none, mean (spread) in points |");
    println!("|---|---|---|---|---|---|---|");
    let without: Vec<RunResult> = (0..seeds).map(|s| run(Scenario::NoGossip, s)).collect();
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
    let scenarios = [
        ("none", Scenario::NoGossip),
        ("all honest", Scenario::AllHonest),
        ("one peer accuses every exchange", Scenario::OneFalseAccuser),
        ("three of nine accuse every exchange", Scenario::ThreeFalseAccusers),
        ("one peer praises the hung exchange", Scenario::OneFalseVoucher),
        ("one peer is gone", Scenario::OneCrash),
    ];
    for (name, scenario) in scenarios {
        let all: Vec<RunResult> = (0..seeds).map(|s| run(scenario, s)).collect();
        let of = |f: fn(&RunResult) -> f64| mean(&all.iter().map(f).collect::<Vec<_>>());
        let diff: Vec<f64> = all
            .iter()
            .zip(&without)
            .map(|(a, b)| (a.all_within_objective - b.all_within_objective) * 100.0)
            .collect();
        let m = mean(&diff);
        let spread = (diff.iter().map(|d| (d - m).powi(2)).sum::<f64>() / diff.len().max(1) as f64).sqrt();
        println!(
            "| {name} | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2}% | {m:+.2} ({spread:.2}) |",
            of(|r| r.sent_while_hung),
            of(|r| r.sent_before_avoided),
            of(|r| r.avoidance_ms),
            of(|r| r.others_within_objective) * 100.0,
            of(|r| r.all_within_objective) * 100.0
        );
    }
}
