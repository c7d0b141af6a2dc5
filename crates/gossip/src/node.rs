//! One instance: members, evidence, belief and the messages between them. Datagrams, time and what happens to set-ups go
//! in; datagrams, statements about exchanges and news come out.

use crate::exchange_suspicion::{self, ExchangeSuspicions};
use crate::rate_limit::{TokenBucket, RateLimit, SourceLimiter};
use crate::evidence::{Meters, Report, Reports};
use crate::auth::KeyRing;
use crate::dissemination::{max_transmissions, DisseminationQueue};
use crate::swim::{self, Members, State, PING_TIMEOUT, INDIRECT_PINGS, PROTOCOL_PERIOD, OVERLOAD_LEVEL};
use crate::replay::ReplayWindows;
use crate::wire::{self, Claim, Datagram, Incarnation, Item, Message, Update, DIGEST_BUCKETS, PAYLOAD_BYTES};
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// While set-ups are out, or others accuse, conclusions are drawn this often (µs).
pub const EVALUATION_INTERVAL: Micros = 50 * MILLI;
/// Digests are compared every so many periods.
const SYNC_PERIODS: u32 = 10;
/// A dead member, or a seed, is indirect_sent every so many periods.
const RECONNECT_PERIODS: u32 = 5;
/// What is urgent goes to so many members at once; the rest hear of it with other messages.
const URGENT_FANOUT: usize = 12;
/// A contradiction of what is state of the own instance goes to so many at once.
const REFUTATION_FANOUT: usize = 6;
/// While the own processor is pressed, periods are so many times longer.
const OVERLOAD_PERIOD_FACTOR: Micros = 4;
/// Incarnations that lie further ahead than this are nobody's (s): clocks differ, but not by a day.
const MAX_CLOCK_SKEW_S: i64 = 86_400;
/// Questions that wait for an answer at most.
const MAX_PROBES: usize = 256;
/// Member items in one answer to a digest; what is missing comes with the next one.
const MAX_SYNC_ITEMS: usize = 64;

/// What an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name; no two instances have the same.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Instances that are indirect_sent first.
    pub seeds: Vec<SocketAddr>,
    /// Networks that datagrams are taken from.
    pub allowed: Vec<IpNet>,
    /// The own exchange.
    pub own_exchange: Option<Exchange>,
    /// RateLimit of what is sent.
    pub send_limit: RateLimit,
    /// RateLimit of what is taken in, before it is authenticated.
    pub receive_limit: RateLimit,
    /// The same for each source.
    pub source_limit: RateLimit,
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams not sent, to keep the ceiling.
    pub held_back: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams from other networks.
    pub foreign: u64,
    /// Datagrams beyond a ceiling.
    pub flooded: u64,
    /// Datagrams that were no datagrams, or of an unknown key.
    pub unusable: u64,
    /// Datagrams whose seal was wrong.
    pub forged: u64,
    /// Datagrams that came again.
    pub repeated: u64,
    /// Datagrams of a name that another address has.
    pub conflicts: u64,
    /// Reports that were too old.
    pub stale: u64,
    /// Members found dead.
    pub deaths: u64,
    /// Times that this instance contradicted its own suspicion.
    pub contradicted: u64,
}

/// Event for operators and the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member is now this.
    Member(Update),
    /// Another instance has this one's name.
    NameTaken(SocketAddr),
    /// Two addresses claim one name.
    Conflict(MemberId, SocketAddr),
    /// A change of belief.
    ExchangeSuspicion(exchange_suspicion::Change),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// These exchanges are suspected from now on, and no others.
    Suspected(BTreeSet<Exchange>),
    /// The member that runs in this exchange has groups with these.
    Links {
        /// Who says so.
        member: MemberId,
        /// Its exchange.
        own: Exchange,
        /// The exchange of the first bit.
        from: Exchange,
        /// The bits.
        bits: u64,
    },
    /// Tell.
    Event(Event),
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: MemberId,
    address: SocketAddr,
    /// Others are indirect_sent then.
    indirect_at: Micros,
    /// It counts as suspect then.
    expires_at: Micros,
    indirect_sent: bool,
    nacks: usize,
    indirect_pings: usize,
    /// For whom this is indirect_sent, and the number that it indirect_sent under.
    requester: Option<(SocketAddr, u16)>,
}

/// An instance.
#[derive(Debug)]
pub struct Node {
    config: Config,
    own_id: MemberId,
    key_ring: KeyRing,
    /// What it knows of the members.
    pub members: Members,
    replay_windows: ReplayWindows,
    queue: DisseminationQueue,
    /// What it measures.
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
    /// The Unix clock's seconds at the program's time 0, as told at the start.
    unix_offset: i64,
    load: u8,
    leaving: bool,
    links: Vec<Item>,
    exchange_reporters: BTreeMap<Exchange, MemberId>,
    counts: Counts,
    exchanges: usize,
    outputs: Vec<Output>,
}

impl Node {
    /// An instance that begins its life. `unix`: the Unix clock's seconds now.
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
            exchanges: 0,
            outputs: Vec::new(),
            config,
        };
        // Not all at once when all restart at once.
        node.next_period += Micros::from(node.members.random_below(PROTOCOL_PERIOD as u32 / 2));
        node
    }

    // ---- What may be indirect_sent ----

    /// Its id.
    pub fn id(&self) -> MemberId {
        self.own_id
    }

    /// What it believes.
    pub fn exchange_suspicions(&self) -> &ExchangeSuspicions {
        &self.exchange_suspicions
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Reports held, and things that wait to be passed on.
    pub fn buffered_counts(&self) -> (usize, usize) {
        (self.reports.len(), self.queue.len())
    }

    /// When [`Node::handle_timeouts`] must be called next.
    pub fn next_timeout(&self) -> Micros {
        let probe =
            self.probes.values().map(|p| if p.indirect_sent { p.expires_at } else { p.indirect_at.min(p.expires_at) }).min();
        self.next_period.min(self.next_evaluation).min(probe.unwrap_or(Micros::MAX))
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- What it is told ----

    /// A key_ring of keys that was read anew.
    pub fn set_key_ring(&mut self, key_ring: KeyRing) {
        self.key_ring = key_ring;
    }

    /// Seeds, networks and ceilings that were read anew.
    pub fn reload(&mut self, config: Config) {
        self.send_bucket.set(config.send_limit);
        self.receive_bucket.set(config.receive_limit);
        if self.config.source_limit != config.source_limit {
            self.source_limiter = SourceLimiter::new(config.source_limit);
        }
        // The name and the address are those of this life.
        let (name, address) = (self.config.name.clone(), self.config.address);
        self.config = Config { name, address, ..config };
    }

    /// How pressed the own processor is, from 0 to 255.
    pub fn set_load(&mut self, load: u8) {
        self.load = load;
    }

    /// How many exchanges there are.
    pub fn set_exchanges(&mut self, n: usize) {
        self.exchanges = n;
    }

    /// The exchanges that the own one has groups with.
    pub fn set_links(&mut self, linked: &BTreeSet<Exchange>) {
        let Some(own) = self.config.own_exchange else { return };
        let mut blocks: BTreeMap<u16, u64> = BTreeMap::new();
        for e in linked {
            *blocks.entry(e.0 / 64 * 64).or_default() |= 1 << (63 - e.0 % 64);
        }
        let links: Vec<Item> =
            blocks.into_iter().map(|(from, bits)| Item::Links { own, from: Exchange(from), bits }).collect();
        if links != self.links {
            let limit = max_transmissions(self.members.active_count());
            links.iter().for_each(|l| self.queue.add(*l, limit));
            self.links = links;
        }
    }

    /// An own set-up left.
    pub fn set_up_sent(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_sent(now, call);
            self.next_evaluation = self.next_evaluation.min(now + EVALUATION_INTERVAL);
        }
    }

    /// An own set-up was given up without an answer.
    pub fn set_up_timed_out(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_timed_out(now, call);
            self.next_evaluation = self.next_evaluation.min(now + EVALUATION_INTERVAL);
        }
    }

    /// The caller of an own set-up left.
    pub fn set_up_abandoned(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_abandoned(call);
        }
    }

    /// An own set-up was answered: what is suspected of the exchange is expires_at at once.
    pub fn set_up_answered(&mut self, now: Micros, exchange: Exchange, call: u64, setup_time: Micros) {
        if let Some(m) = self.meters.get_or_create(now, exchange) {
            m.set_up_answered(now, call, setup_time);
        }
        self.clear_suspicion(exchange);
    }

    /// An own set-up was turned away: the exchange works.
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

    /// Says that it leaves; nothing is indirect_sent from then on.
    pub fn leave(&mut self, now: Micros) {
        self.leaving = true;
        let item = Item::Member(self.members.own_update(Claim::Left));
        for (_, address) in self.members.random_alive(URGENT_FANOUT, self.own_id) {
            self.send(now, address, Message::Items, vec![item], 0.0);
        }
    }

    // ---- Time ----

    /// Does what is due.
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
        let jitter = Micros::from(self.members.random_below(PROTOCOL_PERIOD as u32 / 10)) - PROTOCOL_PERIOD / 20;
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

    /// Looks for whom it lost, or never knew.
    fn reconnect(&mut self, now: Micros, isolated: bool) {
        let elsewhere = |s: &&SocketAddr| **s != self.config.address && !self.members.is_at(**s);
        let missing: Vec<SocketAddr> = self.config.seeds.iter().filter(elsewhere).copied().collect();
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
        // It hears first of all what is state of itself, so that it can contradict (Lifeguard's buddy system).
        let state = self.non_alive_update(target);
        self.send(now, address, Message::Ping { nonce, target }, state.into_iter().collect(), 0.1);
        nonce
    }

    /// What is state of a member that is not simply there.
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
            let stretch = self.members.health_factor();
            let (indirect_at, expires_at) = (now + PING_TIMEOUT * stretch, now + PROTOCOL_PERIOD * stretch * 9 / 10);
            let probe =
                Probe { target, address, indirect_at, expires_at, indirect_sent: false, nacks: 0, indirect_pings: 0, requester: None };
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
                    // Helpers that state nothing either speak for a fault on this side.
                    self.members.adjust_local_health(true);
                    if p.indirect_pings > 0 && p.nacks == 0 {
                        self.members.adjust_local_health(true);
                    }
                    if let Some(change) = self.members.suspect(now, p.target) {
                        self.handle_change(now, change);
                        // It hears at once what is state of it: under loss the word of others comes too late.
                        let state = self.non_alive_update(p.target);
                        self.send(now, p.address, Message::Items, state.into_iter().collect(), 0.1);
                    }
                }
                continue;
            }
            let helpers = if p.requester.is_none() { self.members.random_alive(INDIRECT_PINGS, p.target) } else { Vec::new() };
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

    // ---- Evidence and belief ----

    /// Draws conclusions and tells what is worth telling.
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
            // An older word on the same exchange must not go out after this.
            urgent.iter().for_each(|i| self.queue.add(*i, limit));
            for (_, address) in self.members.random_alive(URGENT_FANOUT, self.own_id) {
                self.send(now, address, Message::Items, urgent.clone(), 0.0);
            }
        }
        let active =
            !self.reports.is_empty() || self.exchange_suspicions.suspicions().next().is_some() || self.meters.need_evaluation();
        let stretch = if self.load >= OVERLOAD_LEVEL { OVERLOAD_PERIOD_FACTOR } else { 1 };
        self.next_evaluation = if active { now + EVALUATION_INTERVAL * stretch } else { now + 20 * EVALUATION_INTERVAL };
        let changes = self.exchange_suspicions.evaluate(now, &self.meters, &self.reports, self.exchanges);
        let changes_set = |c: &exchange_suspicion::Change| !matches!(c, exchange_suspicion::Change::TrustUpdated(..));
        if changes.iter().any(changes_set) {
            self.outputs.push(Output::Suspected(self.exchange_suspicions.suspected()));
        }
        self.outputs.extend(changes.into_iter().map(|c| Output::Event(Event::ExchangeSuspicion(c))));
    }

    // ---- Messages ----

    /// A datagram came. What can be refused cheaply is refused first, so that a flood costs little.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        if !self.config.allowed.iter().any(|n| n.contains(&from.ip())) {
            self.counts.foreign += 1;
            return;
        }
        if !self.source_limiter.admit(now, from.ip(), bytes.len()) || !self.receive_bucket.take(now, bytes.len(), 0.0) {
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
        let Ok(d) = wire::decode(bytes) else {
            self.counts.unusable += 1;
            return;
        };
        if d.sender == self.own_id {
            if from != self.config.address {
                self.counts.conflicts += 1;
                self.outputs.push(Output::Event(Event::NameTaken(from)));
            }
            return;
        }
        let known = self.members.get(d.sender).map(|m| (m.address, m.incarnation, m.state == State::Alive));
        let is_later_run = |i: Incarnation| d.incarnation.0 >> 12 > i.0 >> 12;
        let conflicts = known.is_some_and(|(a, i, alive)| a != from && (alive || !is_later_run(i)));
        if conflicts {
            self.counts.conflicts += 1;
            self.outputs.push(Output::Event(Event::Conflict(d.sender, from)));
            return;
        }
        let max_incarnation = self.max_incarnation(now);
        if d.incarnation > max_incarnation || !self.replay_windows.admit(now, d.sender, d.incarnation, d.sequence) {
            self.counts.repeated += 1;
            return;
        }
        self.counts.taken += 1;
        let leaving = d
            .items
            .iter()
            .any(|i| matches!(i, Item::Member(u) if u.id == d.sender && u.claim == Claim::Left));
        if !leaving {
            if let Some(change) = self.members.heard_directly(now, d.sender, from, d.incarnation, max_incarnation) {
                self.handle_change(now, change);
            }
        }
        for item in &d.items {
            self.handle_item(now, d.sender, d.incarnation, *item, max_incarnation);
        }
        self.handle_message(now, from, d);
    }

    /// The highest incarnation that anybody can have.
    fn max_incarnation(&self, now: Micros) -> Incarnation {
        Incarnation(Incarnation::at(self.unix_offset + now.div_euclid(SECOND) + MAX_CLOCK_SKEW_S).0 | 0xfff)
    }

    fn handle_message(&mut self, now: Micros, from: SocketAddr, d: Datagram) {
        match d.message {
            Message::Ping { nonce, target } => {
                // One that is meant for whoever had this address before is not answered.
                if (target == self.own_id || target == MemberId(0)) && !self.leaving {
                    let load = self.load;
                    // One that is taken for gone hears it, and can contradict.
                    let state = self.non_alive_update(d.sender);
                    self.send(now, from, Message::Ack { nonce, load }, state.into_iter().collect(), 0.0);
                }
            }
            Message::Ack { nonce, load } => {
                self.members.set_member_load(d.sender, load);
                // Itself, or a helper's word that it is there.
                let is_active = |p: &Probe| {
                    let says = |i: &Item| matches!(i, Item::Member(u) if u.id == p.target && u.claim == Claim::Alive);
                    p.target == d.sender || (p.indirect_sent && p.requester.is_none() && d.items.iter().any(says))
                };
                let Some(p) = self.probes.get(&nonce).filter(|p| is_active(p)).copied() else { return };
                self.probes.remove(&nonce);
                match p.requester {
                    Some((requester_address, nonce)) => {
                        // Passed on in the answerer's stead: a word of this instance that it is there.
                        let item = self.members.get(d.sender).map(|m| {
                            let (address, incarnation) = (m.address, m.incarnation);
                            Item::Member(Update { id: d.sender, address, incarnation, claim: Claim::Alive })
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
                    let own = self.ping(now, address, target);
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
                    self.probes.insert(own, probe);
                }
            }
            Message::Nack { nonce } => {
                if let Some(p) = self.probes.get_mut(&nonce) {
                    p.nacks += 1;
                }
            }
            Message::Digest { reply, bucket_hashes } => self.sync_members(now, from, d.sender, reply, &bucket_hashes),
            Message::Items => {}
        }
    }

    /// Tells a member what it does not know, by the groups whose hashes differ.
    fn sync_members(
        &mut self,
        now: Micros,
        from: SocketAddr,
        peer: MemberId,
        reply: bool,
        remote: &[u32; DIGEST_BUCKETS],
    ) {
        let mine = self.members.digest();
        if mine == *remote || self.load >= OVERLOAD_LEVEL {
            return;
        }
        if self.members.get(peer).is_some_and(|m| m.load >= OVERLOAD_LEVEL) {
            return;
        }
        let mut updates = self.members.updates_in_buckets(|g| mine[g] != remote[g]);
        // Not the same ones first each time, since not all may fit.
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
            self.send(now, from, Message::Digest { reply: false, bucket_hashes: mine }, Vec::new(), 0.5);
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
                if let Some(change) = allowed.then(|| self.members.apply(now, u, sender, max_incarnation)).flatten() {
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
            Item::Links { own, from, bits } => {
                // One instance speaks for one exchange, and none for another's.
                let holder = *self.exchange_reporters.entry(own).or_insert(sender);
                let second = self.exchange_reporters.iter().any(|(e, id)| *e != own && *id == sender);
                if holder != sender || second || Some(own) == self.config.own_exchange {
                    self.counts.conflicts += 1;
                    return;
                }
                self.outputs.push(Output::Links { member: sender, own, from, bits });
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
                    // A contradiction that spreads too slowly is no use: some hear it at once.
                    for (_, address) in self.members.random_alive(REFUTATION_FANOUT, self.own_id) {
                        self.send(now, address, Message::Items, vec![Item::Member(u)], 0.25);
                    }
                }
                // A newcomer is told the own groups.
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

    /// Sends a message, with as much as fits of what waits to be passed on.
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
                // It goes out as it is now, so that it is never old.
                if let Some(m) = self.meters.get(*exchange) {
                    *e = m.measure(now);
                }
            }
        }
        self.sequence = self.sequence.checked_add(1).unwrap_or_else(|| {
            // All numbers are used up: a new life has them anew.
            let life = Incarnation::at(self.unix_offset + now.div_euclid(SECOND));
            self.members.incarnation = life.max(self.members.incarnation.next());
            1
        });
        let d = Datagram {
            key_id: self.key_ring.signing_key_id(),
            sender: self.own_id,
            incarnation: self.members.incarnation,
            sequence: self.sequence,
            message,
            items,
        };
        let bytes = self.key_ring.sign(d.encode());
        if !self.send_bucket.take(now, bytes.len(), reserve) {
            self.counts.held_back += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outputs.push(Output::Send(to, bytes));
    }
}
