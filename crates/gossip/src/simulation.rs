//! The laboratory: many nodes on a simulated network and a virtual clock. The same seed gives the same run.

use crate::rate_limit::RateLimit;
use crate::node::{Config, Node, Output};
use crate::auth::KeyRing;
use crate::swim::State;
use crate::{Exchange, MemberId, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The Unix clock's seconds when a run begins.
pub const START_UNIX: i64 = 1_796_000_000;

/// How the network is.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Shortest and longest time that a datagram takes; one may overtake another.
    pub delay: (Micros, Micros),
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that come twice.
    pub duplication: f64,
    /// By how much each node's Unix clock may be off, to either side (s).
    pub clock_skew: i64,
}

impl Default for Network {
    fn default() -> Self {
        // The delays between session controllers that were seen.
        Network { delay: (2_700, 26_000), loss: 0.0, duplication: 0.0, clock_skew: 2 }
    }
}

/// What went over the network for one node.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes that it sent, by second.
    pub bytes: Vec<u32>,
    /// Datagrams that it sent, by second.
    pub datagrams: Vec<u32>,
}

/// A ring of one key, for simulated nodes.
pub fn key_ring(digit: char) -> KeyRing {
    let text = format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", digit.to_string().repeat(64));
    // The form is fixed, and right.
    KeyRing::parse(&text).unwrap_or_else(|e| unreachable!("{e}"))
}

/// The ceilings of simulated nodes.
pub const RATE_LIMIT: RateLimit = RateLimit { bytes: 16_384, datagrams: 100 };

/// Many nodes.
pub struct Simulation {
    /// The time.
    pub now: Micros,
    /// The network.
    pub net: Network,
    nodes: Vec<Option<Node>>,
    addresses: Vec<SocketAddr>,
    by_address: BTreeMap<SocketAddr, usize>,
    in_flight: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    timers: BTreeSet<(Micros, usize)>,
    timer_of: Vec<Micros>,
    next_number: u64,
    rng: fastrand::Rng,
    partition: Option<Vec<u8>>,
    blocked_links: BTreeSet<(usize, usize)>,
    /// What went out of each node.
    pub traffic: Vec<Traffic>,
    /// Everything but datagrams that nodes put out, by node.
    pub outputs: Vec<(Micros, usize, Output)>,
    /// Whether that is kept.
    pub record_outputs: bool,
}

impl Simulation {
    /// So many nodes, all of which know the first three.
    pub fn new(nodes: usize, seed: u64, net: Network) -> Simulation {
        let address = |i: usize| {
            let [a, b] = (i as u16).to_be_bytes();
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, a, b)), 7946)
        };
        let addresses: Vec<SocketAddr> = (0..nodes).map(address).collect();
        let mut simulation = Simulation {
            now: 0,
            net,
            nodes: (0..nodes).map(|_| None).collect(),
            by_address: addresses.iter().enumerate().map(|(i, a)| (*a, i)).collect(),
            addresses,
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_of: vec![Micros::MAX; nodes],
            next_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            partition: None,
            blocked_links: BTreeSet::new(),
            traffic: vec![Traffic::default(); nodes],
            outputs: Vec::new(),
            record_outputs: false,
        };
        (0..nodes).for_each(|i| simulation.start(i));
        simulation
    }

    /// What a node is told.
    pub fn config(&self, i: usize) -> Config {
        Config {
            name: format!("n{i}"),
            address: self.addresses[i],
            seeds: self.addresses.iter().take(3).copied().collect(),
            allowed: "127.0.0.0/8".parse().into_iter().collect(),
            own_exchange: Some(Exchange(i as u16)),
            send_limit: RATE_LIMIT,
            receive_limit: RateLimit { bytes: 65_536, datagrams: 400 },
            source_limit: RATE_LIMIT,
        }
    }

    /// Starts a node, or starts it anew with nothing of its earlier life.
    pub fn start(&mut self, i: usize) {
        let skew = self.rng.i64(-self.net.clock_skew..=self.net.clock_skew);
        let unix = START_UNIX + self.now / SECOND + skew;
        let mut node = Node::new(self.now, unix, self.config(i), key_ring('a'), self.rng.u64(..));
        node.set_exchanges(self.nodes.len());
        self.nodes[i] = Some(node);
        self.process_outputs(i);
    }

    /// Ends a node without a word.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
        self.timers.remove(&(self.timer_of[i], i));
    }

    /// A node, while it lives.
    pub fn node(&self, i: usize) -> Option<&Node> {
        self.nodes[i].as_ref()
    }

    /// Does something to a node, and carries out what follows.
    pub fn with_node<T>(&mut self, i: usize, act: impl FnOnce(&mut Node, Micros) -> T) -> Option<T> {
        let now = self.now;
        let done = self.nodes[i].as_mut().map(|n| act(n, now));
        self.process_outputs(i);
        done
    }

    /// The address of a node.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i]
    }

    /// Cuts the network in parts: nodes of different numbers don't reach each other. `None`: it is whole.
    pub fn partition(&mut self, partition: Option<Vec<u8>>) {
        self.partition = partition;
    }

    /// What the first sends to the second is lost from now on, or no longer.
    pub fn block_link(&mut self, from: usize, to: usize, lost: bool) {
        if lost {
            self.blocked_links.insert((from, to));
        } else {
            self.blocked_links.remove(&(from, to));
        }
    }

    /// Brings a datagram of anybody's under way.
    pub fn inject(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let delay = self.rng.i64(self.net.delay.0..=self.net.delay.1);
        self.next_number += 1;
        self.in_flight.insert((self.now + delay, self.next_number), (from, to, bytes));
    }

    fn process_outputs(&mut self, i: usize) {
        let Some(node) = &mut self.nodes[i] else { return };
        let outputs = node.take_outputs();
        let due = node.next_timeout();
        self.timers.remove(&(self.timer_of[i], i));
        self.timer_of[i] = due;
        self.timers.insert((due, i));
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(i, to, bytes),
                other if self.record_outputs => self.outputs.push((self.now, i, other)),
                _ => {}
            }
        }
    }

    fn send(&mut self, i: usize, to: SocketAddr, bytes: Vec<u8>) {
        let second = (self.now / SECOND) as usize;
        let t = &mut self.traffic[i];
        t.bytes.resize(t.bytes.len().max(second + 1), 0);
        t.datagrams.resize(t.datagrams.len().max(second + 1), 0);
        t.bytes[second] += bytes.len() as u32;
        t.datagrams[second] += 1;
        let Some(&j) = self.by_address.get(&to) else { return };
        let blocked = self.partition.as_ref().is_some_and(|p| p[i] != p[j]) || self.blocked_links.contains(&(i, j));
        if blocked || self.rng.f64() < self.net.loss {
            return;
        }
        if self.rng.f64() < self.net.duplication {
            self.inject(self.addresses[i], to, bytes.clone());
        }
        self.inject(self.addresses[i], to, bytes);
    }

    /// When something happens next.
    pub fn next_event_time(&self) -> Option<Micros> {
        let datagram = self.in_flight.keys().next().map(|k| k.0);
        let due = self.timers.first().map(|d| d.0);
        datagram.into_iter().chain(due).min()
    }

    /// Lets time pass.
    pub fn run_until(&mut self, end: Micros) {
        while let Some(at) = self.next_event_time().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let datagram = self.in_flight.first_entry().filter(|e| e.key().0 <= at).map(|e| e.remove());
            if let Some((from, to, bytes)) = datagram {
                if let Some(&j) = self.by_address.get(&to) {
                    let now = self.now;
                    if let Some(n) = &mut self.nodes[j] {
                        n.handle_datagram(now, from, &bytes);
                    }
                    self.process_outputs(j);
                }
                continue;
            }
            let Some((_, i)) = self.timers.pop_first() else { break };
            let now = self.now;
            if let Some(n) = &mut self.nodes[i] {
                n.handle_timeouts(now);
            }
            self.process_outputs(i);
        }
        self.now = self.now.max(end);
    }

    /// Lets time pass until something is so, looked at each 50 ms (1 s in large groups). When that was, if it came about by `end`.
    pub fn run_while(&mut self, end: Micros, mut not_yet: impl FnMut(&Simulation) -> bool) -> Option<Micros> {
        while self.now < end {
            // In large groups a look costs more than what is gained by the finer time.
            let step = if self.nodes.len() > 200 { SECOND } else { SECOND / 20 };
            self.run_until((self.now + step).min(end));
            if !not_yet(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// Living nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(i, n)| n.as_ref().map(|n| (i, n)))
    }

    /// The share of all pairs of living nodes in which the first takes the second for there.
    pub fn known_share(&self) -> f64 {
        let ids: Vec<MemberId> = self.running().map(|n| n.1.id()).collect();
        let pairs = ids.len() * ids.len().saturating_sub(1);
        let there = |n: &Node| {
            ids.iter().filter(|id| n.members.get(**id).is_some_and(|m| m.state.is_active())).count()
        };
        self.running().map(|n| there(n.1)).sum::<usize>() as f64 / pairs.max(1) as f64
    }

    /// Whether all living nodes take each other for there.
    pub fn converged(&self) -> bool {
        let ids: Vec<MemberId> = self.running().map(|n| n.1.id()).collect();
        let there = |n: &Node, id: MemberId| n.members.get(id).is_some_and(|m| m.state.is_active());
        self.running().all(|(_, n)| ids.iter().all(|id| *id == n.id() || there(n, *id)))
    }

    /// How many living nodes take this one for dead.
    pub fn dead_count(&self, i: usize) -> usize {
        let id = MemberId::of(&format!("n{i}"));
        let dead = |n: &Node| n.members.get(id).is_some_and(|m| matches!(m.state, State::Dead(_)));
        self.running().filter(|(j, n)| *j != i && dead(n)).count()
    }
}
