//! One gossip instance: its membership list, measurements, suspicions of exchanges and protocol messages. The caller
//! passes in datagrams, the time and the outcomes of set-ups, and takes out datagrams, suspicions and events.

use crate::auth::KeyRing;
use crate::dissemination::{max_transmissions, DisseminationQueue};
use crate::evidence::{Meters, Report, Reports};
use crate::exchange_suspicion::{self, ExchangeSuspicions};
use crate::rate_limit::{RateLimit, SourceLimiter, TokenBucket};
use crate::replay::ReplayWindows;
use crate::swim::{self, Members, State, INDIRECT_PINGS, OVERLOAD_LEVEL, PING_TIMEOUT, PROTOCOL_PERIOD};
use crate::wire::{self, Claim, Datagram, Incarnation, Item, Message, Update, DIGEST_BUCKETS, PAYLOAD_BYTES};
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Interval between evaluations of suspicions while set-ups are outstanding or peers accuse an exchange (µs).
pub const EVALUATION_INTERVAL: Micros = 50 * MILLI;
/// Protocol periods between two digest exchanges.
const SYNC_PERIODS: u32 = 10;
/// Protocol periods between two attempts to reach a dead member or a missing seed.
const RECONNECT_PERIODS: u32 = 5;
/// Members that an urgent report is sent to directly; the others receive it piggybacked on other messages.
const URGENT_FANOUT: usize = 12;
/// Members that a refutation of a suspicion of this instance is sent to directly.
const REFUTATION_FANOUT: usize = 6;
/// Factor by which protocol periods are lengthened while the own processor is overloaded.
const OVERLOAD_PERIOD_FACTOR: Micros = 4;
/// Incarnations further ahead of the own clock than this are rejected (s): clocks differ, but by less than a day.
const MAX_CLOCK_SKEW_S: i64 = 86_400;
/// Maximum number of outstanding probes.
const MAX_PROBES: usize = 256;
/// Maximum number of member updates in one reply to a digest; the rest follow with the next digest.
const MAX_SYNC_ITEMS: usize = 64;

/// Configuration of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the instance, unique in the group.
    pub name: String,
    /// Address at which other instances reach this one.
    pub address: SocketAddr,
    /// Instances contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Networks from which datagrams are accepted.
    pub allowed: Vec<IpNet>,
    /// Exchange that this instance serves.
    pub own_exchange: Option<Exchange>,
    /// Limit of outgoing traffic.
    pub send_limit: RateLimit,
    /// Limit of incoming traffic, applied before authentication.
    pub receive_limit: RateLimit,
    /// Limit of incoming traffic from each source address.
    pub source_limit: RateLimit,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams not sent because of the rate limit.
    pub held_back: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// Datagrams from networks that are not allowed.
    pub foreign: u64,
    /// Datagrams dropped by a receive limit.
    pub flooded: u64,
    /// Datagrams that could not be decoded.
    pub unusable: u64,
    /// Datagrams with an unknown key or a wrong authentication tag.
    pub forged: u64,
    /// Datagrams rejected by the replay window, or with an incarnation too far in the future.
    pub repeated: u64,
    /// Datagrams and items that contradict a known address or the known owner of an exchange.
    pub conflicts: u64,
    /// Reports with the maximum age, 255 units or more.
    pub stale: u64,
    /// Members that became dead in the membership list.
    pub deaths: u64,
    /// Suspicions of this instance that it refuted.
    pub contradicted: u64,
}

/// Event for operators and the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The state of a member changed.
    Member(Update),
    /// Another instance uses the name of this one.
    NameTaken(SocketAddr),
    /// A second address claims the name of a member.
    Conflict(MemberId, SocketAddr),
    /// A suspicion of an exchange, or the trust in a member, changed.
    ExchangeSuspicion(exchange_suspicion::Change),
}

/// Action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// The complete set of exchanges that are suspected now.
    Suspected(BTreeSet<Exchange>),
    /// Exchanges that a member's own exchange has trunk groups with.
    Links {
        /// Member that reported them.
        member: MemberId,
        /// Exchange that the member serves.
        exchange: Exchange,
        /// Exchange of the first bit.
        first: Exchange,
        /// One bit for each exchange.
        bits: u64,
    },
    /// Report an event.
    Event(Event),
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: MemberId,
    address: SocketAddr,
    /// Time at which indirect pings are sent.
    indirect_at: Micros,
    /// Time at which the probe fails.
    expires_at: Micros,
    indirect_sent: bool,
    nacks: usize,
    indirect_pings: usize,
    /// Address of the member that requested this ping, and its nonce.
    requester: Option<(SocketAddr, u16)>,
}

/// A gossip instance.
#[derive(Debug)]
pub struct Node {
    config: Config,
    own_id: MemberId,
    key_ring: KeyRing,
    /// Membership list.
    pub members: Members,
    replay_windows: ReplayWindows,
    queue: DisseminationQueue,
    /// Measurements of the exchanges.
    pub meters: Meters,
    reports: Reports,
    exchange_suspicions: ExchangeSuspicions,
    probes: BTreeMap<u16, Probe>,
    nonce: u16,
    sequence: u32,
    send_bucket: TokenBucket,
    receive_bucket: TokenBucket,
    source_limiter: SourceLimiter,
    next_period: Micros,
    periods: u32,
    next_evaluation: Micros,
    /// Unix time in seconds at time 0 of the program's clock, as known at the start.
    unix_offset: i64,
    load: u8,
    leaving: bool,
    links: Vec<Item>,
    exchange_reporters: BTreeMap<Exchange, MemberId>,
    counts: Counts,
    exchange_count: usize,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node. `unix` is the current Unix time in seconds.
    pub fn new(now: Micros, unix: i64, config: Config, key_ring: KeyRing, seed: u64) -> Node {
        let own_id = MemberId::of(&config.name);
        let members = Members::new(own_id, config.address, Incarnation::at(unix), seed);
        let mut node = Node {
            own_id,
            key_ring,
            members,
            replay_windows: ReplayWindows::default(),
            queue: DisseminationQueue::default(),
            meters: Meters::default(),
            reports: Reports::default(),
            exchange_suspicions: ExchangeSuspicions::default(),
            probes: BTreeMap::new(),
            nonce: 0,
            sequence: 0,
            send_bucket: TokenBucket::new(now, config.send_limit),
            receive_bucket: TokenBucket::new(now, config.receive_limit),
            source_limiter: SourceLimiter::new(config.source_limit),
            next_period: now,
            periods: 0,
            next_evaluation: now + EVALUATION_INTERVAL,
            unix_offset: unix - now.div_euclid(SECOND),
            load: 0,
            leaving: false,
            links: Vec::new(),
            exchange_reporters: BTreeMap::new(),
            counts: Counts::default(),
            exchange_count: 0,
            outputs: Vec::new(),
            config,
        };
        // Random offset, so that instances that start together do not send together.
        node.next_period += Micros::from(node.members.random_below(PROTOCOL_PERIOD as u32 / 2));
        node
    }

    // ---- Accessors ----

    /// Id of this instance.
    pub fn id(&self) -> MemberId {
        self.own_id
    }

    /// Suspicions of exchanges and the trust in members.
    pub fn exchange_suspicions(&self) -> &ExchangeSuspicions {
        &self.exchange_suspicions
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of stored reports, and number of items queued for dissemination.
    pub fn buffered_counts(&self) -> (usize, usize) {
        (self.reports.len(), self.queue.len())
    }

    /// Time at which [`Node::handle_timeouts`] must be called next.
    pub fn next_timeout(&self) -> Micros {
        let probe = self
            .probes
            .values()
            .map(|p| if p.indirect_sent { p.expires_at } else { p.indirect_at.min(p.expires_at) })
            .min();
        self.next_period.min(self.next_evaluation).min(probe.unwrap_or(Micros::MAX))
    }

    /// Returns the pending outputs in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- Inputs ----

    /// Replaces the keys.
    pub fn set_key_ring(&mut self, key_ring: KeyRing) {
        self.key_ring = key_ring;
    }

    /// Replaces seeds, networks and rate limits.
    pub fn reload(&mut self, config: Config) {
        self.send_bucket.set(config.send_limit);
        self.receive_bucket.set(config.receive_limit);
        if self.config.source_limit != config.source_limit {
            self.source_limiter = SourceLimiter::new(config.source_limit);
        }
        // The name and the address are fixed until restart.
        let (name, address) = (self.config.name.clone(), self.config.address);
        self.config = Config { name, address, ..config };
    }

    /// Sets the load of the own processor, from 0 to 255.
    pub fn set_load(&mut self, load: u8) {
        self.load = load;
    }

    /// Sets the number of exchanges.
    pub fn set_exchanges(&mut self, count: usize) {
        self.exchange_count = count;
    }

    /// Sets the exchanges that the own exchange has trunk groups with.
    pub fn set_links(&mut self, linked: &BTreeSet<Exchange>) {
        let Some(own) = self.config.own_exchange else { return };
        let mut blocks: BTreeMap<u16, u64> = BTreeMap::new();
        for e in linked {
            *blocks.entry(e.0 / 64 * 64).or_default() |= 1 << (63 - e.0 % 64);
        }
        let links: Vec<Item> = blocks
            .into_iter()
            .map(|(first, bits)| Item::Links { exchange: own, first: Exchange(first), bits })
            .collect();
        if links != self.links {
            let limit = max_transmissions(self.members.active_count());
            links.iter().for_each(|l| self.queue.add(*l, limit));
            self.links = links;
        }
    }

    /// Records that a set-up was sent.
    pub fn set_up_sent(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_sent(now, call);
            self.next_evaluation = self.next_evaluation.min(now + EVALUATION_INTERVAL);
        }
    }

    /// Records that a set-up timed out.
    pub fn set_up_timed_out(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_timed_out(now, call);
            self.next_evaluation = self.next_evaluation.min(now + EVALUATION_INTERVAL);
        }
    }

    /// Records that a set-up was abandoned by its caller.
    pub fn set_up_abandoned(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_abandoned(call);
        }
    }

    /// Records that a set-up was answered; this clears a suspicion of the exchange at once.
    pub fn set_up_answered(&mut self, now: Micros, exchange: Exchange, call: u64, setup_time: Micros) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_answered(now, call, setup_time);
        }
        self.clear_suspicion(exchange);
    }

    /// Records that a set-up was refused. A refusal shows that the exchange works.
    pub fn set_up_refused(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_refused(now, call);
        }
        self.clear_suspicion(exchange);
    }

    fn clear_suspicion(&mut self, exchange: Exchange) {
        if let Some(change) = self.exchange_suspicions.clear(exchange) {
            self.outputs.push(Output::Event(Event::ExchangeSuspicion(change)));
            self.outputs.push(Output::Suspected(self.exchange_suspicions.suspected()));
        }
    }

    /// Announces that this instance leaves; it starts no more probes and answers no pings afterwards.
    pub fn leave(&mut self, now: Micros) {
        self.leaving = true;
        let item = Item::Member(self.members.own_update(Claim::Left));
        for (_, address) in self.members.random_alive(URGENT_FANOUT, self.own_id) {
            self.send(now, address, Message::Items, vec![item], 0.0);
        }
    }

    // ---- Timers ----

    /// Runs all timers that have expired.
    pub fn handle_timeouts(&mut self, now: Micros) {
        self.check_probes(now);
        if now >= self.next_evaluation {
            self.evaluate(now);
        }
        if now >= self.next_period {
            self.run_period(now);
        }
    }

    fn period_factor(&self) -> Micros {
        let overload = if self.load >= OVERLOAD_LEVEL { OVERLOAD_PERIOD_FACTOR } else { 1 };
        self.members.health_factor() * overload
    }

    fn run_period(&mut self, now: Micros) {
        let jitter =
            Micros::from(self.members.random_below(PROTOCOL_PERIOD as u32 / 10)) - PROTOCOL_PERIOD / 20;
        self.next_period = now + PROTOCOL_PERIOD * self.period_factor() + jitter;
        self.periods = self.periods.wrapping_add(1);
        for change in self.members.expire(now) {
            self.handle_change(now, change);
        }
        if !self.reports.is_empty() || !self.exchange_reporters.is_empty() {
            let members = &self.members;
            let is_active = |id: MemberId| members.get(id).is_some_and(|m| m.state.is_active());
            self.reports.expire(now, is_active);
            self.exchange_reporters.retain(|_, id| is_active(*id));
        }
        if self.leaving {
            return;
        }
        if let Some(target) = self.members.next_ping_target() {
            self.probe(now, target);
        }
        let isolated = self.members.active_count() == 1;
        if isolated || self.periods.is_multiple_of(RECONNECT_PERIODS) {
            self.reconnect(now, isolated);
        }
        if self.periods.is_multiple_of(SYNC_PERIODS) && self.load < OVERLOAD_LEVEL {
            if let Some((_, address)) = self.members.random_alive(1, self.own_id).first().copied() {
                let bucket_hashes = self.members.digest();
                self.send(now, address, Message::Digest { reply: true, bucket_hashes }, Vec::new(), 0.5);
            }
        }
    }

    /// Pings seeds that are not members, and a dead member.
    fn reconnect(&mut self, now: Micros, isolated: bool) {
        let is_missing = |s: &&SocketAddr| **s != self.config.address && !self.members.has_active_at(**s);
        let missing: Vec<SocketAddr> = self.config.seeds.iter().filter(is_missing).copied().collect();
        if !missing.is_empty() {
            let n = if isolated { missing.len().min(INDIRECT_PINGS) } else { 1 };
            for _ in 0..n {
                let seed = missing[self.members.random_below(missing.len() as u32) as usize];
                self.ping(now, seed, MemberId(0));
            }
        }
        if let Some((id, address)) = self.members.random_dead() {
            self.ping(now, address, id);
        }
    }

    fn next_nonce(&mut self) -> u16 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    fn ping(&mut self, now: Micros, address: SocketAddr, target: MemberId) -> u16 {
        let nonce = self.next_nonce();
        // Carries the target's own non-alive state, so that it can refute it (the buddy system of Lifeguard).
        let state = self.non_alive_update(target);
        self.send(now, address, Message::Ping { nonce, target }, state.into_iter().collect(), 0.1);
        nonce
    }

    /// The known state of a member as an update, if the member is not alive.
    fn non_alive_update(&self, id: MemberId) -> Option<Item> {
        self.members.get(id).filter(|m| m.state != State::Alive).map(|m| {
            let (address, incarnation, claim) = (m.address, m.incarnation, m.state.claim());
            Item::Member(Update { id, address, incarnation, claim })
        })
    }

    fn probe(&mut self, now: Micros, target: MemberId) {
        let Some(address) = self.members.get(target).map(|m| m.address) else { return };
        let nonce = self.ping(now, address, target);
        if self.probes.len() < MAX_PROBES {
            let factor = self.members.health_factor();
            let (indirect_at, expires_at) =
                (now + PING_TIMEOUT * factor, now + PROTOCOL_PERIOD * factor * 9 / 10);
            let probe = Probe {
                target,
                address,
                indirect_at,
                expires_at,
                indirect_sent: false,
                nacks: 0,
                indirect_pings: 0,
                requester: None,
            };
            self.probes.insert(nonce, probe);
        }
    }

    fn check_probes(&mut self, now: Micros) {
        let due: Vec<u16> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.expires_at || (!p.indirect_sent && now >= p.indirect_at))
            .map(|p| *p.0)
            .collect();
        for nonce in due {
            let Some(p) = self.probes.get(&nonce).copied() else { continue };
            if now >= p.expires_at {
                self.probes.remove(&nonce);
                if p.requester.is_none() {
                    // Missing nacks as well point to a fault of this instance (Lifeguard's local health).
                    self.members.adjust_local_health(true);
                    if p.indirect_pings > 0 && p.nacks == 0 {
                        self.members.adjust_local_health(true);
                    }
                    if let Some(change) = self.members.suspect(now, p.target) {
                        self.handle_change(now, change);
                        // Notified at once: under packet loss, updates from others arrive too late to refute.
                        let state = self.non_alive_update(p.target);
                        self.send(now, p.address, Message::Items, state.into_iter().collect(), 0.1);
                    }
                }
                continue;
            }
            let helpers = if p.requester.is_none() {
                self.members.random_alive(INDIRECT_PINGS, p.target)
            } else {
                Vec::new()
            };
            if let Some(p) = self.probes.get_mut(&nonce) {
                (p.indirect_sent, p.indirect_pings) = (true, helpers.len());
            }
            if let Some((requester_address, nonce)) = p.requester {
                self.send(now, requester_address, Message::Nack { nonce }, Vec::new(), 0.1);
            }
            for (_, helper) in helpers {
                let message = Message::PingReq { nonce, target: p.target, address: p.address };
                self.send(now, helper, message, Vec::new(), 0.1);
            }
        }
    }

    // ---- Evidence and suspicions of exchanges ----

    /// Re-evaluates the suspicions of exchanges and queues or sends the reports that are due.
    fn evaluate(&mut self, now: Micros) {
        let mut urgent = Vec::new();
        let limit = max_transmissions(self.members.active_count());
        for (exchange, meter) in self.meters.iter_mut() {
            if let Some((e, is_urgent)) = meter.report(now) {
                let item = Item::Evidence(exchange, e);
                if is_urgent {
                    urgent.push(item);
                } else if self.load < OVERLOAD_LEVEL {
                    self.queue.add(item, limit);
                }
            }
        }
        if !urgent.is_empty() && !self.leaving {
            // Also replaces an older queued report on the same exchange, which must not be sent after this one.
            urgent.iter().for_each(|i| self.queue.add(*i, limit));
            for (_, address) in self.members.random_alive(URGENT_FANOUT, self.own_id) {
                self.send(now, address, Message::Items, urgent.clone(), 0.0);
            }
        }
        let active = !self.reports.is_empty()
            || self.exchange_suspicions.suspicions().next().is_some()
            || self.meters.need_evaluation();
        let factor = if self.load >= OVERLOAD_LEVEL { OVERLOAD_PERIOD_FACTOR } else { 1 };
        self.next_evaluation =
            if active { now + EVALUATION_INTERVAL * factor } else { now + 20 * EVALUATION_INTERVAL };
        let changes =
            self.exchange_suspicions.evaluate(now, &self.meters, &self.reports, self.exchange_count);
        let affects_suspicions =
            |c: &exchange_suspicion::Change| !matches!(c, exchange_suspicion::Change::TrustUpdated(..));
        if changes.iter().any(affects_suspicions) {
            self.outputs.push(Output::Suspected(self.exchange_suspicions.suspected()));
        }
        self.outputs.extend(changes.into_iter().map(|c| Output::Event(Event::ExchangeSuspicion(c))));
    }

    // ---- Messages ----

    /// Processes a datagram. The cheapest checks come first, to limit the cost of a flood.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        if !self.config.allowed.iter().any(|n| n.contains(&from.ip())) {
            self.counts.foreign += 1;
            return;
        }
        if !self.source_limiter.admit(now, from.ip(), bytes.len())
            || !self.receive_bucket.take(now, bytes.len(), 0.0)
        {
            self.counts.flooded += 1;
            return;
        }
        let Ok(key) = wire::key_id(bytes) else {
            self.counts.unusable += 1;
            return;
        };
        if !self.key_ring.verify(key, bytes) {
            self.counts.forged += 1;
            return;
        }
        let Ok(datagram) = wire::decode(bytes) else {
            self.counts.unusable += 1;
            return;
        };
        if datagram.sender == self.own_id {
            if from != self.config.address {
                self.counts.conflicts += 1;
                self.outputs.push(Output::Event(Event::NameTaken(from)));
            }
            return;
        }
        let known =
            self.members.get(datagram.sender).map(|m| (m.address, m.incarnation, m.state == State::Alive));
        let is_later_run = |i: Incarnation| datagram.incarnation.0 >> 12 > i.0 >> 12;
        let is_conflict = known.is_some_and(|(a, i, alive)| a != from && (alive || !is_later_run(i)));
        if is_conflict {
            self.counts.conflicts += 1;
            self.outputs.push(Output::Event(Event::Conflict(datagram.sender, from)));
            return;
        }
        let max_incarnation = self.max_incarnation(now);
        if datagram.incarnation > max_incarnation
            || !self.replay_windows.admit(now, datagram.sender, datagram.incarnation, datagram.sequence)
        {
            self.counts.repeated += 1;
            return;
        }
        self.counts.taken += 1;
        let sender_leaves = datagram
            .items
            .iter()
            .any(|i| matches!(i, Item::Member(u) if u.id == datagram.sender && u.claim == Claim::Left));
        if !sender_leaves {
            if let Some(change) =
                self.members.heard_directly(now, datagram.sender, from, datagram.incarnation, max_incarnation)
            {
                self.handle_change(now, change);
            }
        }
        for item in &datagram.items {
            self.handle_item(now, datagram.sender, datagram.incarnation, *item, max_incarnation);
        }
        self.handle_message(now, from, datagram);
    }

    /// The highest incarnation that is accepted.
    fn max_incarnation(&self, now: Micros) -> Incarnation {
        Incarnation(Incarnation::at(self.unix_offset + now.div_euclid(SECOND) + MAX_CLOCK_SKEW_S).0 | 0xfff)
    }

    fn handle_message(&mut self, now: Micros, from: SocketAddr, datagram: Datagram) {
        match datagram.message {
            Message::Ping { nonce, target } => {
                // A ping for the previous user of this address is not answered.
                if (target == self.own_id || target == MemberId(0)) && !self.leaving {
                    let load = self.load;
                    // Carries the state of a sender that is not alive in the list, so that the sender can refute it.
                    let state = self.non_alive_update(datagram.sender);
                    self.send(now, from, Message::Ack { nonce, load }, state.into_iter().collect(), 0.0);
                }
            }
            Message::Ack { nonce, load } => {
                self.members.set_member_load(datagram.sender, load);
                // Either the target itself, or a helper that confirms the target to be alive.
                let answers_probe = |p: &Probe| {
                    let confirms = |i: &Item| matches!(i, Item::Member(u) if u.id == p.target && u.claim == Claim::Alive);
                    p.target == datagram.sender
                        || (p.indirect_sent && p.requester.is_none() && datagram.items.iter().any(confirms))
                };
                let Some(p) = self.probes.get(&nonce).filter(|p| answers_probe(p)).copied() else { return };
                self.probes.remove(&nonce);
                match p.requester {
                    Some((requester_address, nonce)) => {
                        // Forwards the ack, with an update by this instance that the target is alive.
                        let item = self.members.get(datagram.sender).map(|m| {
                            let (address, incarnation) = (m.address, m.incarnation);
                            Item::Member(Update {
                                id: datagram.sender,
                                address,
                                incarnation,
                                claim: Claim::Alive,
                            })
                        });
                        let message = Message::Ack { nonce, load };
                        self.send(now, requester_address, message, item.into_iter().collect(), 0.0);
                    }
                    None => self.members.adjust_local_health(false),
                }
            }
            Message::PingReq { nonce, target, address } => {
                let allowed = self.config.allowed.iter().any(|n| n.contains(&address.ip()));
                if self.probes.len() < MAX_PROBES && allowed && self.load < OVERLOAD_LEVEL {
                    let own_nonce = self.ping(now, address, target);
                    let (indirect_at, expires_at) = (now + PING_TIMEOUT, now + 2 * PING_TIMEOUT);
                    let requester = Some((from, nonce));
                    let probe = Probe {
                        target,
                        address,
                        indirect_at,
                        expires_at,
                        indirect_sent: false,
                        nacks: 0,
                        indirect_pings: 0,
                        requester,
                    };
                    self.probes.insert(own_nonce, probe);
                }
            }
            Message::Nack { nonce } => {
                if let Some(p) = self.probes.get_mut(&nonce) {
                    p.nacks += 1;
                }
            }
            Message::Digest { reply, bucket_hashes } => {
                self.sync_members(now, from, datagram.sender, reply, &bucket_hashes)
            }
            Message::Items => {}
        }
    }

    /// Sends the member updates in the digest buckets whose hashes differ.
    fn sync_members(
        &mut self,
        now: Micros,
        from: SocketAddr,
        peer: MemberId,
        reply: bool,
        remote: &[u32; DIGEST_BUCKETS],
    ) {
        let local = self.members.digest();
        if local == *remote || self.load >= OVERLOAD_LEVEL {
            return;
        }
        if self.members.get(peer).is_some_and(|m| m.load >= OVERLOAD_LEVEL) {
            return;
        }
        let mut updates = self.members.updates_in_buckets(|g| local[g] != remote[g]);
        // Starts at a random update, since not all may fit.
        let start = self.members.random_below(updates.len() as u32) as usize;
        updates.rotate_left(start);
        let mut items: Vec<Item> = updates.into_iter().take(MAX_SYNC_ITEMS).map(Item::Member).collect();
        while !items.is_empty() {
            let (mut room, mut n) = (PAYLOAD_BYTES - Message::Items.len(), 0);
            while let Some(i) = items.get(n).filter(|i| i.len() <= room) {
                room -= i.len();
                n += 1;
            }
            let rest = items.split_off(n.max(1));
            self.send_exact(now, from, Message::Items, std::mem::replace(&mut items, rest), 0.5);
        }
        if reply {
            self.send(now, from, Message::Digest { reply: false, bucket_hashes: local }, Vec::new(), 0.5);
        }
    }

    fn handle_item(
        &mut self,
        now: Micros,
        sender: MemberId,
        incarnation: Incarnation,
        item: Item,
        max_incarnation: Incarnation,
    ) {
        match item {
            Item::Member(u) => {
                let allowed = self.config.allowed.iter().any(|n| n.contains(&u.address.ip()));
                if let Some(change) =
                    allowed.then(|| self.members.apply(now, u, sender, max_incarnation)).flatten()
                {
                    self.handle_change(now, change);
                }
            }
            Item::Evidence(exchange, evidence) => {
                if evidence.age == u8::MAX {
                    self.counts.stale += 1;
                    return;
                }
                let measured = now - Micros::from(evidence.age) * 20 * MILLI;
                let fresh = self.reports.merge(exchange, sender, Report { incarnation, evidence, measured });
                if fresh && evidence.accusation_strength() > 0.0 {
                    self.next_evaluation = self.next_evaluation.min(now);
                }
            }
            Item::Links { exchange, first, bits } => {
                // Each instance may report the links of one exchange only, and no exchange has two reporters.
                let reporter = *self.exchange_reporters.entry(exchange).or_insert(sender);
                let has_other = self.exchange_reporters.iter().any(|(e, id)| *e != exchange && *id == sender);
                if reporter != sender || has_other || Some(exchange) == self.config.own_exchange {
                    self.counts.conflicts += 1;
                    return;
                }
                self.outputs.push(Output::Links { member: sender, exchange, first, bits });
            }
        }
    }

    fn handle_change(&mut self, now: Micros, change: swim::Change) {
        match change {
            swim::Change::Member(u) => {
                self.counts.deaths += u64::from(u.claim == Claim::Dead);
                self.counts.contradicted += u64::from(u.id == self.own_id);
                self.queue.add(Item::Member(u), max_transmissions(self.members.active_count()));
                if u.id == self.own_id {
                    // Some members receive it directly, since a refutation must arrive before the suspicion times out.
                    for (_, address) in self.members.random_alive(REFUTATION_FANOUT, self.own_id) {
                        self.send(now, address, Message::Items, vec![Item::Member(u)], 0.25);
                    }
                }
                // New members need the links of the own exchange.
                if u.claim == Claim::Alive {
                    let limit = max_transmissions(self.members.active_count());
                    self.links.clone().into_iter().for_each(|l| self.queue.add(l, limit));
                }
                self.outputs.push(Output::Event(Event::Member(u)));
            }
            swim::Change::NameTaken(at) => self.outputs.push(Output::Event(Event::NameTaken(at))),
            swim::Change::Conflict(id, at) => {
                self.counts.conflicts += 1;
                self.outputs.push(Output::Event(Event::Conflict(id, at)));
            }
        }
    }

    /// Sends a message and fills the remaining space with piggybacked items.
    fn send(&mut self, now: Micros, to: SocketAddr, message: Message, mut items: Vec<Item>, reserve: f64) {
        let used: usize = message.len() + items.iter().map(Item::len).sum::<usize>();
        let overloaded = self.members.is_overloaded(to);
        if !overloaded {
            self.queue.fill(PAYLOAD_BYTES.saturating_sub(used), &mut items);
        }
        self.send_exact(now, to, message, items, reserve);
    }

    fn send_exact(
        &mut self,
        now: Micros,
        to: SocketAddr,
        message: Message,
        mut items: Vec<Item>,
        reserve: f64,
    ) {
        for item in &mut items {
            if let Item::Evidence(exchange, e) = item {
                // Measured at the time of sending, so that the receiver never gets outdated evidence.
                if let Some(m) = self.meters.get(*exchange) {
                    *e = m.measure(now);
                }
            }
        }
        self.sequence = self.sequence.checked_add(1).unwrap_or_else(|| {
            // Sequence numbers are exhausted; a new incarnation restarts them.
            let restarted = Incarnation::at(self.unix_offset + now.div_euclid(SECOND));
            self.members.incarnation = restarted.max(self.members.incarnation.next());
            1
        });
        let datagram = Datagram {
            key_id: self.key_ring.signing_key_id(),
            sender: self.own_id,
            incarnation: self.members.incarnation,
            sequence: self.sequence,
            message,
            items,
        };
        let bytes = self.key_ring.sign(datagram.encode());
        if !self.send_bucket.take(now, bytes.len(), reserve) {
            self.counts.held_back += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outputs.push(Output::Send(to, bytes));
    }
}
