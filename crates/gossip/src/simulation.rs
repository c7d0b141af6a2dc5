//! Simulation of many nodes on a virtual clock and network. Runs with the same seed are identical.

use crate::auth::KeyRing;
use crate::node::{Config, Node, Output};
use crate::rate_limit::RateLimit;
use crate::swim::State;
use crate::{Exchange, MemberId, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Unix time in seconds at the start of a run.
pub const START_UNIX: i64 = 1_796_000_000;

/// Properties of the simulated network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Minimum and maximum delay; datagrams may be reordered.
    pub delay: (Micros, Micros),
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are duplicated.
    pub duplication: f64,
    /// Maximum offset of each node's Unix clock in either direction (s).
    pub clock_skew: i64,
}

impl Default for Network {
    fn default() -> Self {
        // The delays were measured between session controllers.
        Network { delay: (2_700, 26_000), loss: 0.0, duplication: 0.0, clock_skew: 2 }
    }
}

/// Outgoing traffic of one node.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Bytes sent in each second.
    pub bytes: Vec<u32>,
    /// Datagrams sent in each second.
    pub datagrams: Vec<u32>,
}

/// A key ring with one key, for simulated nodes.
pub fn key_ring(digit: char) -> KeyRing {
    let text = format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", digit.to_string().repeat(64));
    // The generated text is always valid.
    KeyRing::parse(&text).unwrap_or_else(|e| unreachable!("{e}"))
}

/// Rate limit of simulated nodes.
pub const RATE_LIMIT: RateLimit = RateLimit { bytes: 16_384, datagrams: 100 };

/// A simulated group of nodes.
pub struct Simulation {
    /// Virtual time.
    pub now: Micros,
    /// Network properties.
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
    /// Outgoing traffic by node.
    pub traffic: Vec<Traffic>,
    /// Outputs other than datagrams, with their time and node.
    pub outputs: Vec<(Micros, usize, Output)>,
    /// Whether these outputs are recorded.
    pub record_outputs: bool,
}

impl Simulation {
    /// Starts `nodes` nodes, with the first three as seeds.
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

    /// Configuration of a node.
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

    /// Starts or restarts a node without any earlier state.
    pub fn start(&mut self, i: usize) {
        let skew = self.rng.i64(-self.net.clock_skew..=self.net.clock_skew);
        let unix = START_UNIX + self.now / SECOND + skew;
        let mut node = Node::new(self.now, unix, self.config(i), key_ring('a'), self.rng.u64(..));
        node.set_exchanges(self.nodes.len());
        self.nodes[i] = Some(node);
        self.process_outputs(i);
    }

    /// Stops a node without a leave message.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
        self.timers.remove(&(self.timer_of[i], i));
    }

    /// A node, if it is running.
    pub fn node(&self, i: usize) -> Option<&Node> {
        self.nodes[i].as_ref()
    }

    /// Calls a function on a node and processes the outputs.
    pub fn with_node<T>(&mut self, i: usize, function: impl FnOnce(&mut Node, Micros) -> T) -> Option<T> {
        let now = self.now;
        let result = self.nodes[i].as_mut().map(|n| function(n, now));
        self.process_outputs(i);
        result
    }

    /// Address of a node.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.addresses[i]
    }

    /// Partitions the network: nodes with different numbers cannot reach each other. `None` removes the partition.
    pub fn partition(&mut self, partition: Option<Vec<u8>>) {
        self.partition = partition;
    }

    /// Starts or stops dropping all datagrams from one node to another.
    pub fn block_link(&mut self, from: usize, to: usize, blocked: bool) {
        if blocked {
            self.blocked_links.insert((from, to));
        } else {
            self.blocked_links.remove(&(from, to));
        }
    }

    /// Puts a datagram with any source address on the network.
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
        let traffic = &mut self.traffic[i];
        traffic.bytes.resize(traffic.bytes.len().max(second + 1), 0);
        traffic.datagrams.resize(traffic.datagrams.len().max(second + 1), 0);
        traffic.bytes[second] += bytes.len() as u32;
        traffic.datagrams[second] += 1;
        let Some(&j) = self.by_address.get(&to) else { return };
        let blocked =
            self.partition.as_ref().is_some_and(|p| p[i] != p[j]) || self.blocked_links.contains(&(i, j));
        if blocked || self.rng.f64() < self.net.loss {
            return;
        }
        if self.rng.f64() < self.net.duplication {
            self.inject(self.addresses[i], to, bytes.clone());
        }
        self.inject(self.addresses[i], to, bytes);
    }

    /// Time of the next event.
    pub fn next_event_time(&self) -> Option<Micros> {
        let datagram = self.in_flight.keys().next().map(|k| k.0);
        let due = self.timers.first().map(|d| d.0);
        datagram.into_iter().chain(due).min()
    }

    /// Runs the simulation until `end`.
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

    /// Runs while `condition` holds, checked every 50 ms (1 s in large groups), but not beyond `end`. Returns the time
    /// at which it no longer held.
    pub fn run_while(
        &mut self,
        end: Micros,
        mut condition: impl FnMut(&Simulation) -> bool,
    ) -> Option<Micros> {
        while self.now < end {
            // In large groups the check is too expensive for the finer step.
            let step = if self.nodes.len() > 200 { SECOND } else { SECOND / 20 };
            self.run_until((self.now + step).min(end));
            if !condition(self) {
                return Some(self.now);
            }
        }
        None
    }

    /// The running nodes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(i, n)| n.as_ref().map(|n| (i, n)))
    }

    /// Share of ordered pairs of running nodes in which the first considers the second active.
    pub fn known_share(&self) -> f64 {
        let ids: Vec<MemberId> = self.running().map(|n| n.1.id()).collect();
        let pairs = ids.len() * ids.len().saturating_sub(1);
        let is_active = |n: &Node| {
            ids.iter().filter(|id| n.members.get(**id).is_some_and(|m| m.state.is_active())).count()
        };
        self.running().map(|n| is_active(n.1)).sum::<usize>() as f64 / pairs.max(1) as f64
    }

    /// Whether all running nodes consider each other active.
    pub fn converged(&self) -> bool {
        let ids: Vec<MemberId> = self.running().map(|n| n.1.id()).collect();
        let is_active = |n: &Node, id: MemberId| n.members.get(id).is_some_and(|m| m.state.is_active());
        self.running().all(|(_, n)| ids.iter().all(|id| *id == n.id() || is_active(n, *id)))
    }

    /// Number of running nodes that consider this one dead.
    pub fn dead_count(&self, i: usize) -> usize {
        let id = MemberId::of(&format!("n{i}"));
        let dead = |n: &Node| n.members.get(id).is_some_and(|m| matches!(m.state, State::Dead(_)));
        self.running().filter(|(j, n)| *j != i && dead(n)).count()
    }
}
