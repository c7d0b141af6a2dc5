//! The tables of `docs/measurements/gossip.md`: membership on a simulated network, and routing round a processor that
//! hangs, with and without gossip. All of it is on a virtual clock, and the same seeds give the same tables.
//!
//! `cargo run --release --example gossip_tables` (about a minute; `--most 100` leaves the largest group out)

use clap::Parser;
use std::collections::{BTreeMap, BTreeSet};
use walnuthatch::routing::deadlines::Deadlines;
use walnuthatch::routing::interface::*;
use walnuthatch::routing::ledger::{Answer, FrontId, Ledger, LedgerDue, Offer, Output};
use walnuthatch_gossip::node::Output as NodeOutput;
use walnuthatch_gossip::rate_limit::RateLimit;
use walnuthatch_gossip::simulation::{Network, Simulation, RATE_LIMIT};
use walnuthatch_gossip::{Exchange, SECOND};

#[derive(Parser)]
struct Args {
    /// The largest group
    #[arg(long, default_value_t = 1000)]
    most: usize,
    /// Seeds
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

fn main() {
    let args = Args::parse();
    routing(args.seeds);
    let sizes: Vec<usize> = [6, 30, 100, 1000].into_iter().filter(|n| *n <= args.most).collect();
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

fn settled(n: usize, seed: u64, net: Network) -> Simulation {
    let mut simulation = Simulation::new(n, seed, net);
    simulation.run_while(300 * SECOND, |l| !l.converged());
    simulation
}

/// What one seed showed.
#[derive(Default)]
struct Seen {
    death: f64,
    heal: f64,
    falsely: [u64; 3],
    bytes: Vec<f64>,
    datagrams: Vec<f64>,
}

fn one_seed(n: usize, seed: u64) -> Seen {
    let mut seen = Seen::default();
    for (at, loss) in [0.0, 0.05, 0.2].into_iter().enumerate() {
        let mut simulation = settled(n, seed, Network { loss, ..Network::default() });
        let before: u64 = simulation.running().map(|x| x.1.counts().deaths).sum();
        let second = (simulation.now / SECOND) as usize;
        simulation.run_until(simulation.now + 60 * SECOND);
        seen.falsely[at] = simulation.running().map(|x| x.1.counts().deaths).sum::<u64>() - before;
        if loss > 0.0 {
            continue;
        }
        for t in &simulation.traffic {
            seen.bytes.extend(t.bytes.iter().skip(second).map(|b| f64::from(*b)));
            seen.datagrams.extend(t.datagrams.iter().skip(second).map(|d| f64::from(*d)));
        }
        let span = |from: Micros, to: Option<Micros>| to.map_or(f64::INFINITY, |t| (t - from) as f64 / 1e6);
        let died = simulation.now;
        simulation.kill(n - 1);
        seen.death = span(died, simulation.run_while(died + 300 * SECOND, |l| l.dead_count(n - 1) < n - 1));
        simulation.start(n - 1);
        simulation.run_while(simulation.now + 120 * SECOND, |l| !l.converged());
        simulation.partition(Some((0..n).map(|i| u8::from(2 * i >= n)).collect()));
        simulation.run_until(simulation.now + 60 * SECOND);
        simulation.partition(None);
        let healed = simulation.now;
        seen.heal = span(healed, simulation.run_while(healed + 600 * SECOND, |l| !l.converged()));
    }
    seen
}

fn membership(sizes: &[usize], seeds: u64) {
    println!(
        "| members | death known to all, median s | worst s | false deaths in 60 s at 0% | 5% | 20% loss | bytes/s mean | \
         worst second | datagrams/s mean | worst | split heals, median s | worst s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for &n in sizes {
        // Each seed is a run of its own, whatever runs beside it.
        let all: Vec<Seen> = std::thread::scope(|s| {
            let runs: Vec<_> = (0..seeds).map(|seed| s.spawn(move || one_seed(n, seed))).collect();
            runs.into_iter().filter_map(|r| r.join().ok()).collect()
        });
        let mut deaths: Vec<f64> = all.iter().map(|s| s.death).collect();
        let mut heals: Vec<f64> = all.iter().map(|s| s.heal).collect();
        let falsely: Vec<u64> = (0..3).map(|i| all.iter().map(|s| s.falsely[i]).sum()).collect();
        let bytes: Vec<f64> = all.iter().flat_map(|s| s.bytes.iter().copied()).collect();
        let datagrams: Vec<f64> = all.iter().flat_map(|s| s.datagrams.iter().copied()).collect();
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        println!(
            "| {n} | {:.1} | {:.1} | {} | {} | {} | {:.0} | {:.0} | {:.1} | {:.0} | {:.1} | {:.1} |",
            median(&mut deaths),
            worst(&deaths),
            falsely[0],
            falsely[1],
            falsely[2],
            mean(&bytes),
            worst(&bytes),
            mean(&datagrams),
            worst(&datagrams),
            median(&mut heals),
            worst(&heals)
        );
    }
    let RateLimit { bytes, datagrams } = RATE_LIMIT;
    println!(
        "\nCeiling: {bytes} bytes and {datagrams} datagrams a second, one and a half of it in any second.\n"
    );
}

// ---- Routing ----

const SITES: usize = 6;
const HUNG: usize = 5;
/// Calls a second that each controller is offered.
const RATE: f64 = 50.0;
const HANGS: (Micros, Micros) = (30 * SECOND, 45 * SECOND);
const END: Micros = 60 * SECOND;
const STEP: Micros = 2_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Without,
    With,
    OneLiar,
    Third,
    Praise,
    Gone,
}

/// What came of a run.
#[derive(Clone, Copy, Default)]
struct Result {
    /// Set-ups sent to the exchange while it hung.
    lost: f64,
    /// Those of them before the controller avoided it.
    early: f64,
    /// Mean time until a controller no longer sends it more than a trickle (ms).
    avoids: f64,
    /// Share of calls for other exchanges that stood within the aim, over the whole run.
    others: f64,
    /// The same of all calls.
    all: f64,
}

struct Site {
    ledger: Ledger,
    deadlines: Deadlines<LedgerDue>,
    /// Set-ups whose answers are under way, and calls that stand.
    out: BTreeMap<CallId, (AttemptNo, OfficeId, usize)>,
    sent_to_hung: Vec<Micros>,
}

fn office(i: usize) -> OfficeId {
    OfficeId { addr: [10, 0, 0, i as u8], port: 5060 }
}

fn site(i: usize) -> Site {
    let class = Class {
        aim: 1_200_000,
        give_up: 9_000_000,
        late_worth: 0.25,
        worth: 1.0,
        effect: Effect::Retryable,
        hold: 2_000_000,
        pools: Vec::new(),
    };
    let settings = Settings {
        classes: vec![class],
        own: Some(ExchangeNo(i as u16)),
        release: 500_000,
        drain_grace: 250_000,
        may_call_off: true,
        max_pause: 2_000_000,
        try_limit: 4,
        cold: 15_000_000,
        cold_from: 0.35,
        overload_factor: 2.5,
        fall: 2_000_000,
        tick: 5_000,
        ..Settings::default()
    };
    let mut ledger = Ledger::new(settings, i as u64 + 1);
    let entry = |j: usize| ListEntry {
        exchange: ExchangeNo(j as u16),
        zone: 0,
        state: ListState::Ready,
        office: office(j),
        last_start: None,
    };
    ledger.list(0, ListNews::Cached((0..SITES).map(entry).collect()));
    for j in (0..SITES).filter(|j| *j != i) {
        let report = LoadReport { free: Some(60.0), size: Some(60.0), ..LoadReport::default() };
        ledger.group(0, office(j), report);
    }
    Site { ledger, deadlines: Deadlines::default(), out: BTreeMap::new(), sent_to_hung: Vec::new() }
}

enum Due {
    Answer(usize, CallId, AttemptNo),
    End(usize, CallId, AttemptNo),
}

struct Model {
    now: Micros,
    simulation: Option<Simulation>,
    sites: Vec<Site>,
    dues: BTreeMap<(Micros, u64), Due>,
    next: u64,
    rng: fastrand::Rng,
    /// Circuits in use, by both ends.
    busy: BTreeMap<(usize, usize), u32>,
    offered: [u32; 2],
    good: [u32; 2],
}

impl Model {
    fn later(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.dues.insert((at, self.next), due);
    }

    fn pair(a: usize, b: usize) -> (usize, usize) {
        (a.min(b), a.max(b))
    }

    fn hangs(&self, i: usize) -> bool {
        i == HUNG && (HANGS.0..HANGS.1).contains(&self.now)
    }

    /// Carries out what a ledger asks for.
    fn follow(&mut self, i: usize) {
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

    fn tell(&mut self, i: usize, f: impl FnOnce(&mut walnuthatch_gossip::node::Node, Micros)) {
        if let Some(simulation) = &mut self.simulation {
            simulation.with_node(i, f);
        }
    }

    fn output(&mut self, i: usize, output: Output) {
        let now = self.now;
        match output {
            Output::SetUp { call, attempt, office, .. } => {
                let j = usize::from(office.addr[3]);
                let to = self.sites[i].ledger.offer_of(call).map_or(j, |o| usize::from(o.ask.destination.0));
                *self.busy.entry(Model::pair(i, j)).or_default() += 1;
                self.sites[i].out.insert(call, (attempt, office, j));
                if self.hangs(j) || self.hangs(to) {
                    self.sites[i].sent_to_hung.push(now);
                }
                if to == j {
                    self.tell(i, |n, now| n.set_up_sent(now, Exchange(j as u16), u64::from(call.0)));
                }
                let legs = if to == j { 1.0 } else { 2.0 };
                let delay = (15_000.0 + -20_000.0 * (1.0 - self.rng.f64()).ln()) * legs;
                if !self.hangs(j) && !self.hangs(to) {
                    self.later(now + delay as Micros, Due::Answer(i, call, attempt));
                }
            }
            Output::Clear { call, office, .. } if self.sites[i].out.remove(&call).is_some() => {
                self.free(i, usize::from(office.addr[3]));
            }
            Output::AttemptEnded { call, leg: Some(leg), ending, .. } => {
                let e = Exchange(leg.0);
                let call = u64::from(call.0);
                self.tell(i, |n, now| match ending {
                    Ending::TimedOut | Ending::CalledOff => n.set_up_timed_out(now, e, call),
                    Ending::Full | Ending::Fault => n.set_up_refused(now, e, call),
                    _ => n.set_up_abandoned(now, e, call),
                });
            }
            Output::Answer { call, answer, taken, destination, last, .. } => {
                let other = usize::from(usize::from(destination.0) != HUNG);
                if let Answer::Stands(_) = answer {
                    self.good[other] += u32::from(now - taken <= 1_200_000);
                    if let Some(last) = last {
                        let (e, took) = (Exchange(last.leg.map_or(0, |l| l.0)), last.took);
                        self.tell(i, |n, now| n.set_up_answered(now, e, u64::from(call.0), took));
                    }
                }
            }
            Output::Wake(at, due) => self.sites[i].deadlines.add(at, due),
            _ => {}
        }
    }

    fn free(&mut self, i: usize, j: usize) {
        let busy = self.busy.entry(Model::pair(i, j)).or_default();
        *busy = busy.saturating_sub(1);
        let free = f64::from(60u32.saturating_sub(*busy));
        for (a, b) in [(i, j), (j, i)] {
            let report = LoadReport { free: Some(free), size: Some(60.0), ..LoadReport::default() };
            self.sites[a].ledger.group(self.now, office(b), report);
        }
    }

    fn offer(&mut self, i: usize) {
        let mut to = self.rng.usize(0..SITES - 1);
        to += usize::from(to >= i);
        self.offered[usize::from(to != HUNG)] += 1;
        let ask = NewCall {
            call: CallId(0),
            destination: ExchangeNo(to as u16),
            transit: false,
            redialled: false,
            cut_before: false,
            number: None,
            width: 1,
            patience: 3_000_000,
            class: 0,
            via: None,
            not_before: 0,
        };
        self.sites[i].ledger.offer(self.now, Offer { front: FrontId(0), ask, description: None });
        self.follow(i);
    }

    fn step(&mut self) {
        let now = self.now;
        if let Some(simulation) = &mut self.simulation {
            simulation.run_until(now);
            for (_, i, said) in std::mem::take(&mut simulation.outputs) {
                if let (NodeOutput::Suspected(all), true) = (said, i < SITES) {
                    let all: BTreeSet<ExchangeNo> = all.into_iter().map(|e| ExchangeNo(e.0)).collect();
                    self.sites[i].ledger.suspect(now, all);
                    self.follow(i);
                }
            }
        }
        while let Some(due) = self.dues.first_entry().filter(|e| e.key().0 <= now).map(|e| e.remove()) {
            match due {
                Due::Answer(i, call, attempt) => {
                    let known = self.sites[i].out.get(&call).is_some_and(|o| o.0 == attempt);
                    if known && self.sites[i].ledger.answered(now, call, attempt, None) {
                        let hold = (-2e6 * (1.0 - self.rng.f64()).ln()) as Micros;
                        self.later(now + hold, Due::End(i, call, attempt));
                        self.follow(i);
                    }
                }
                Due::End(i, call, attempt) => {
                    if let Some((_, _, j)) = self.sites[i].out.remove(&call) {
                        let how = (Ending::Completed, Cause::None);
                        self.sites[i].ledger.ended(now, call, attempt, how, LoadReport::default());
                        self.free(i, j);
                        self.follow(i);
                    }
                }
            }
        }
        for i in 0..SITES {
            while let Some(due) = self.sites[i].deadlines.take_due(now) {
                self.sites[i].ledger.due(now, due);
                self.follow(i);
            }
        }
    }
}

fn run(kind: Kind, seed: u64) -> Result {
    let extra = match kind {
        Kind::OneLiar | Kind::Praise => 1,
        // Three of nine.
        Kind::Third => 3,
        _ => 0,
    };
    let simulation = (kind != Kind::Without).then(|| {
        let mut simulation = Simulation::new(SITES + extra, seed, Network::default());
        simulation.record_outputs = true;
        simulation
    });
    let mut m = Model {
        now: 0,
        simulation,
        sites: (0..SITES).map(site).collect(),
        dues: BTreeMap::new(),
        next: 0,
        rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
        busy: BTreeMap::new(),
        offered: [0; 2],
        good: [0; 2],
    };
    let (mut arrivals, mut fake) = ([0i64; SITES], 1u64 << 40);
    let mut calls = fastrand::Rng::with_seed(seed);
    while m.now < END {
        m.now += STEP;
        m.step();
        // Its own processor's callers have nobody to answer them while it hangs.
        let hangs = m.hangs(HUNG);
        for i in (0..SITES).filter(|i| *i != HUNG || !hangs) {
            while arrivals[i] <= m.now {
                arrivals[i] += (-1e6 / RATE * (1.0 - calls.f64()).ln()) as Micros;
                m.offer(i);
            }
        }
        if kind == Kind::Gone && m.now == HANGS.0 - 5 * SECOND {
            m.simulation.as_mut().unwrap_or_else(|| unreachable!("it gossips")).kill(3);
        }
        if m.now % 100_000 == 0 {
            for liar in SITES..SITES + extra {
                // It claims to lose a set-up at every exchange ten times a second, or to be answered by the dead one.
                for e in 0..SITES {
                    fake += 1;
                    let (e, call) = (Exchange(e as u16), fake);
                    m.tell(liar, |n, now| {
                        n.set_up_sent(now, e, call);
                        if kind == Kind::Praise {
                            n.set_up_answered(now, e, call, 20_000);
                        }
                    });
                }
            }
        }
    }
    let lost: usize = m.sites.iter().map(|s| s.sent_to_hung.len()).sum();
    // Ten set-ups a second go there; it is avoided once none has for 400 ms.
    let last = |i: usize| {
        let sent = &m.sites[i].sent_to_hung;
        let gap = sent.windows(2).find(|w| w[1] - w[0] >= 400_000).map(|w| w[0]);
        gap.or(sent.last().copied()).unwrap_or(HANGS.0)
    };
    let others = (0..SITES).filter(|i| *i != HUNG);
    let avoids = others.clone().map(|i| (last(i) - HANGS.0) as f64 / 1000.0);
    let early = others.map(|i| m.sites[i].sent_to_hung.iter().filter(|t| **t <= last(i)).count());
    Result {
        lost: lost as f64,
        early: early.sum::<usize>() as f64,
        avoids: avoids.sum::<f64>() / (SITES - 1) as f64,
        others: f64::from(m.good[1]) / f64::from(m.offered[1]),
        all: f64::from(m.good[0] + m.good[1]) / f64::from(m.offered[0] + m.offered[1]),
    }
}

fn routing(seeds: u64) {
    println!("| gossip | set-ups into the hung exchange in 15 s | before it is avoided | until it is avoided, ms | calls for the others in the aim | all calls in the aim | difference to none, mean (spread) in points |");
    println!("|---|---|---|---|---|---|---|");
    let without: Vec<Result> = (0..seeds).map(|s| run(Kind::Without, s)).collect();
    let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
    let kinds = [
        ("none", Kind::Without),
        ("all honest", Kind::With),
        ("one peer accuses every exchange", Kind::OneLiar),
        ("three of nine accuse every exchange", Kind::Third),
        ("one peer praises the hung exchange", Kind::Praise),
        ("one peer is gone", Kind::Gone),
    ];
    for (name, kind) in kinds {
        let all: Vec<Result> = (0..seeds).map(|s| run(kind, s)).collect();
        let of = |f: fn(&Result) -> f64| mean(&all.iter().map(f).collect::<Vec<_>>());
        let diff: Vec<f64> = all.iter().zip(&without).map(|(a, b)| (a.all - b.all) * 100.0).collect();
        let m = mean(&diff);
        let spread = (diff.iter().map(|d| (d - m).powi(2)).sum::<f64>() / diff.len().max(1) as f64).sqrt();
        println!(
            "| {name} | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2}% | {m:+.2} ({spread:.2}) |",
            of(|r| r.lost),
            of(|r| r.early),
            of(|r| r.avoids),
            of(|r| r.others) * 100.0,
            of(|r| r.all) * 100.0
        );
    }
}
