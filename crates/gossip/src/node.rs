//! One instance: members, evidence, belief and the messages between them. Datagrams, time and what happens to set-ups go
//! in; datagrams, statements about exchanges and news come out.

use crate::exchange_suspicion::{self, ExchangeSuspicions};
use crate::rate_limit::{TokenBucket, RateLimit, SourceLimiter};
use crate::evidence::{Meters, Report, Reports};
use crate::auth::KeyRing;
use crate::spread::{times, Queue};
use crate::swim::{self, Members, State, ANSWER, HELPERS, PERIOD, OVERLOAD_LEVEL};
use crate::window::Windows;
use crate::wire::{self, Claim, Datagram, Incarnation, Item, Message, Update, GROUPS, ROOM};
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// While set-ups are out, or others accuse, conclusions are drawn this often (µs).
pub const LOOK: Micros = 50 * MILLI;
/// Digests are compared every so many periods.
const SYNC: u32 = 10;
/// A dead member, or a seed, is asked every so many periods.
const RECONNECT: u32 = 5;
/// What is urgent goes to so many members at once; the rest hear of it with other messages.
const FANOUT: usize = 12;
/// A contradiction of what is said of the own instance goes to so many at once.
const CONTRADICT: usize = 6;
/// While the own processor is pressed, periods are so many times longer.
const OVERLOAD_PERIOD_FACTOR: Micros = 4;
/// Incarnations that lie further ahead than this are nobody's (s): clocks differ, but not by a day.
const AHEAD: i64 = 86_400;
/// Questions that wait for an answer at most.
const PROBES: usize = 256;
/// Member items in one answer to a digest; what is missing comes with the next one.
const SYNC_ITEMS: usize = 64;

/// What an instance is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name; no two instances have the same.
    pub name: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Instances that are asked first.
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
    /// Others are asked then.
    ask_others: Micros,
    /// It counts as unanswered then.
    over: Micros,
    asked: bool,
    nacks: usize,
    helpers: usize,
    /// For whom this is asked, and the number that it asked under.
    behalf: Option<(SocketAddr, u16)>,
}

/// An instance.
#[derive(Debug)]
pub struct Node {
    config: Config,
    me: MemberId,
    ring: KeyRing,
    /// What it knows of the members.
    pub members: Members,
    windows: Windows,
    queue: Queue,
    /// What it measures.
    pub meters: Meters,
    reports: Reports,
    exchange_suspicions: ExchangeSuspicions,
    probes: BTreeMap<u16, Probe>,
    nonce: u16,
    sequence: u32,
    out_bucket: TokenBucket,
    in_bucket: TokenBucket,
    sources: SourceLimiter,
    next_period: Micros,
    periods: u32,
    next_look: Micros,
    /// The Unix clock's seconds at the program's time 0, as told at the start.
    unix: i64,
    load: u8,
    leaving: bool,
    links: Vec<Item>,
    bound: BTreeMap<Exchange, MemberId>,
    counts: Counts,
    exchanges: usize,
    out: Vec<Output>,
}

impl Node {
    /// An instance that begins its life. `unix`: the Unix clock's seconds now.
    pub fn new(now: Micros, unix: i64, config: Config, ring: KeyRing, seed: u64) -> Node {
        let me = MemberId::of(&config.name);
        let members = Members::new(me, config.address, Incarnation::at(unix), seed);
        let mut node = Node {
            me,
            ring,
            members,
            windows: Windows::default(),
            queue: Queue::default(),
            meters: Meters::default(),
            reports: Reports::default(),
            exchange_suspicions: ExchangeSuspicions::default(),
            probes: BTreeMap::new(),
            nonce: 0,
            sequence: 0,
            out_bucket: TokenBucket::new(now, config.send_limit),
            in_bucket: TokenBucket::new(now, config.receive_limit),
            sources: SourceLimiter::new(config.source_limit),
            next_period: now,
            periods: 0,
            next_look: now + LOOK,
            unix: unix - now.div_euclid(SECOND),
            load: 0,
            leaving: false,
            links: Vec::new(),
            bound: BTreeMap::new(),
            counts: Counts::default(),
            exchanges: 0,
            out: Vec::new(),
            config,
        };
        // Not all at once when all restart at once.
        node.next_period += Micros::from(node.members.lot(PERIOD as u32 / 2));
        node
    }

    // ---- What may be asked ----

    /// Its id.
    pub fn id(&self) -> MemberId {
        self.me
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
            self.probes.values().map(|p| if p.asked { p.over } else { p.ask_others.min(p.over) }).min();
        self.next_period.min(self.next_look).min(probe.unwrap_or(Micros::MAX))
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    // ---- What it is told ----

    /// A ring of keys that was read anew.
    pub fn set_key_ring(&mut self, ring: KeyRing) {
        self.ring = ring;
    }

    /// Seeds, networks and ceilings that were read anew.
    pub fn reload(&mut self, config: Config) {
        self.out_bucket.set(config.send_limit);
        self.in_bucket.set(config.receive_limit);
        if self.config.source_limit != config.source_limit {
            self.sources = SourceLimiter::new(config.source_limit);
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
            let most = times(self.members.there());
            links.iter().for_each(|l| self.queue.add(*l, most));
            self.links = links;
        }
    }

    /// An own set-up left.
    pub fn set_up_sent(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.of(now, exchange) {
            m.sent(now, call);
            self.next_look = self.next_look.min(now + LOOK);
        }
    }

    /// An own set-up was given up without an answer.
    pub fn set_up_timed_out(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.of(now, exchange) {
            m.given_up(now, call);
            self.next_look = self.next_look.min(now + LOOK);
        }
    }

    /// The caller of an own set-up left.
    pub fn set_up_abandoned(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.of(now, exchange) {
            m.dropped(call);
        }
    }

    /// An own set-up was answered: what is suspected of the exchange is over at once.
    pub fn set_up_answered(&mut self, now: Micros, exchange: Exchange, call: u64, took: Micros) {
        if let Some(m) = self.meters.of(now, exchange) {
            m.answered(now, call, took);
        }
        self.heard(exchange);
    }

    /// An own set-up was turned away: the exchange works.
    pub fn set_up_refused(&mut self, now: Micros, exchange: Exchange, call: u64) {
        if let Some(m) = self.meters.of(now, exchange) {
            m.turned_away(now, call);
        }
        self.heard(exchange);
    }

    fn heard(&mut self, exchange: Exchange) {
        if let Some(change) = self.exchange_suspicions.answered(exchange) {
            self.out.push(Output::Event(Event::ExchangeSuspicion(change)));
            self.out.push(Output::Suspected(self.exchange_suspicions.suspected()));
        }
    }

    /// Says that it leaves; nothing is asked from then on.
    pub fn leave(&mut self, now: Micros) {
        self.leaving = true;
        let item = Item::Member(self.members.myself(Claim::Left));
        for (_, address) in self.members.some(FANOUT, self.me) {
            self.send(now, address, Message::Items, vec![item], 0.0);
        }
    }

    // ---- Time ----

    /// Does what is due.
    pub fn handle_timeouts(&mut self, now: Micros) {
        self.probes_due(now);
        if now >= self.next_look {
            self.look(now);
        }
        if now >= self.next_period {
            self.period(now);
        }
    }

    fn stretch(&self) -> Micros {
        let overload = if self.load >= OVERLOAD_LEVEL { OVERLOAD_PERIOD_FACTOR } else { 1 };
        self.members.stretch() * overload
    }

    fn period(&mut self, now: Micros) {
        let spread = Micros::from(self.members.lot(PERIOD as u32 / 10)) - PERIOD / 20;
        self.next_period = now + PERIOD * self.stretch() + spread;
        self.periods = self.periods.wrapping_add(1);
        for change in self.members.sweep(now) {
            self.changed(now, change);
        }
        if !self.reports.is_empty() || !self.bound.is_empty() {
            let members = &self.members;
            let there = |id: MemberId| members.get(id).is_some_and(|m| m.state.is_there());
            self.reports.sweep(now, there);
            self.bound.retain(|_, id| there(*id));
        }
        if self.leaving {
            return;
        }
        if let Some(target) = self.members.next_to_ask() {
            self.ask(now, target);
        }
        let alone = self.members.there() == 1;
        if alone || self.periods.is_multiple_of(RECONNECT) {
            self.reconnect(now, alone);
        }
        if self.periods.is_multiple_of(SYNC) && self.load < OVERLOAD_LEVEL {
            if let Some((_, address)) = self.members.some(1, self.me).first().copied() {
                let groups = self.members.digest();
                self.send(now, address, Message::Digest { reply: true, groups }, Vec::new(), 0.5);
            }
        }
    }

    /// Looks for whom it lost, or never knew.
    fn reconnect(&mut self, now: Micros, alone: bool) {
        let elsewhere = |s: &&SocketAddr| **s != self.config.address && !self.members.is_at(**s);
        let missing: Vec<SocketAddr> = self.config.seeds.iter().filter(elsewhere).copied().collect();
        if !missing.is_empty() {
            let n = if alone { missing.len().min(HELPERS) } else { 1 };
            for _ in 0..n {
                let seed = missing[self.members.lot(missing.len() as u32) as usize];
                self.ping(now, seed, MemberId(0));
            }
        }
        if let Some((id, address)) = self.members.a_dead_one() {
            self.ping(now, address, id);
        }
    }

    fn nonce(&mut self) -> u16 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    fn ping(&mut self, now: Micros, address: SocketAddr, target: MemberId) -> u16 {
        let nonce = self.nonce();
        // It hears first of all what is said of itself, so that it can contradict (Lifeguard's buddy system).
        let said = self.said_of(target);
        self.send(now, address, Message::Ping { nonce, target }, said.into_iter().collect(), 0.1);
        nonce
    }

    /// What is said of a member that is not simply there.
    fn said_of(&self, id: MemberId) -> Option<Item> {
        self.members.get(id).filter(|m| m.state != State::Alive).map(|m| {
            let (address, incarnation, claim) = (m.address, m.incarnation, m.state.claim());
            Item::Member(Update { id, address, incarnation, claim })
        })
    }

    fn ask(&mut self, now: Micros, target: MemberId) {
        let Some(address) = self.members.get(target).map(|m| m.address) else { return };
        let nonce = self.ping(now, address, target);
        if self.probes.len() < PROBES {
            let stretch = self.members.stretch();
            let (ask_others, over) = (now + ANSWER * stretch, now + PERIOD * stretch * 9 / 10);
            let probe =
                Probe { target, address, ask_others, over, asked: false, nacks: 0, helpers: 0, behalf: None };
            self.probes.insert(nonce, probe);
        }
    }

    fn probes_due(&mut self, now: Micros) {
        let due: Vec<u16> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.over || (!p.asked && now >= p.ask_others))
            .map(|p| *p.0)
            .collect();
        for nonce in due {
            let Some(p) = self.probes.get(&nonce).copied() else { continue };
            if now >= p.over {
                self.probes.remove(&nonce);
                if p.behalf.is_none() {
                    // Helpers that said nothing either speak for a fault on this side.
                    self.members.note_health(true);
                    if p.helpers > 0 && p.nacks == 0 {
                        self.members.note_health(true);
                    }
                    if let Some(change) = self.members.unanswered(now, p.target) {
                        self.changed(now, change);
                        // It hears at once what is said of it: under loss the word of others comes too late.
                        let said = self.said_of(p.target);
                        self.send(now, p.address, Message::Items, said.into_iter().collect(), 0.1);
                    }
                }
                continue;
            }
            let helpers = if p.behalf.is_none() { self.members.some(HELPERS, p.target) } else { Vec::new() };
            if let Some(p) = self.probes.get_mut(&nonce) {
                (p.asked, p.helpers) = (true, helpers.len());
            }
            if let Some((asker, theirs)) = p.behalf {
                self.send(now, asker, Message::Nack { nonce: theirs }, Vec::new(), 0.1);
            }
            for (_, helper) in helpers {
                let message = Message::PingReq { nonce, target: p.target, address: p.address };
                self.send(now, helper, message, Vec::new(), 0.1);
            }
        }
    }

    // ---- Evidence and belief ----

    /// Draws conclusions and tells what is worth telling.
    fn look(&mut self, now: Micros) {
        let mut urgent = Vec::new();
        let most = times(self.members.there());
        for (exchange, meter) in self.meters.iter_mut() {
            if let Some((e, now_or_never)) = meter.report(now) {
                let item = Item::Evidence(exchange, e);
                if now_or_never {
                    urgent.push(item);
                } else if self.load < OVERLOAD_LEVEL {
                    self.queue.add(item, most);
                }
            }
        }
        if !urgent.is_empty() && !self.leaving {
            // An older word on the same exchange must not go out after this.
            urgent.iter().for_each(|i| self.queue.add(*i, most));
            for (_, address) in self.members.some(FANOUT, self.me) {
                self.send(now, address, Message::Items, urgent.clone(), 0.0);
            }
        }
        let busy =
            !self.reports.is_empty() || self.exchange_suspicions.suspicions().next().is_some() || self.meters.wait();
        let stretch = if self.load >= OVERLOAD_LEVEL { OVERLOAD_PERIOD_FACTOR } else { 1 };
        self.next_look = if busy { now + LOOK * stretch } else { now + 20 * LOOK };
        let changes = self.exchange_suspicions.look(now, &self.meters, &self.reports, self.exchanges);
        let differs = |c: &exchange_suspicion::Change| !matches!(c, exchange_suspicion::Change::TrustUpdated(..));
        if changes.iter().any(differs) {
            self.out.push(Output::Suspected(self.exchange_suspicions.suspected()));
        }
        self.out.extend(changes.into_iter().map(|c| Output::Event(Event::ExchangeSuspicion(c))));
    }

    // ---- Messages ----

    /// A datagram came. What can be refused cheaply is refused first, so that a flood costs little.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        if !self.config.allowed.iter().any(|n| n.contains(&from.ip())) {
            self.counts.foreign += 1;
            return;
        }
        if !self.sources.admit(now, from.ip(), bytes.len()) || !self.in_bucket.take(now, bytes.len(), 0.0) {
            self.counts.flooded += 1;
            return;
        }
        let Ok(key) = wire::key_of(bytes) else {
            self.counts.unusable += 1;
            return;
        };
        if !self.ring.verify(key, bytes) {
            self.counts.forged += 1;
            return;
        }
        let Ok(d) = wire::decode(bytes) else {
            self.counts.unusable += 1;
            return;
        };
        if d.sender == self.me {
            if from != self.config.address {
                self.counts.conflicts += 1;
                self.out.push(Output::Event(Event::NameTaken(from)));
            }
            return;
        }
        let known = self.members.get(d.sender).map(|m| (m.address, m.incarnation, m.state == State::Alive));
        let later = |i: Incarnation| d.incarnation.0 >> 12 > i.0 >> 12;
        let elsewhere = known.is_some_and(|(a, i, alive)| a != from && (alive || !later(i)));
        if elsewhere {
            self.counts.conflicts += 1;
            self.out.push(Output::Event(Event::Conflict(d.sender, from)));
            return;
        }
        let latest = self.latest(now);
        if d.incarnation > latest || !self.windows.admit(now, d.sender, d.incarnation, d.sequence) {
            self.counts.repeated += 1;
            return;
        }
        self.counts.taken += 1;
        let leaves = d
            .items
            .iter()
            .any(|i| matches!(i, Item::Member(u) if u.id == d.sender && u.claim == Claim::Left));
        if !leaves {
            if let Some(change) = self.members.heard_itself(now, d.sender, from, d.incarnation, latest) {
                self.changed(now, change);
            }
        }
        for item in &d.items {
            self.item(now, d.sender, d.incarnation, *item, latest);
        }
        self.message(now, from, d);
    }

    /// The highest incarnation that anybody can have.
    fn latest(&self, now: Micros) -> Incarnation {
        Incarnation(Incarnation::at(self.unix + now.div_euclid(SECOND) + AHEAD).0 | 0xfff)
    }

    fn message(&mut self, now: Micros, from: SocketAddr, d: Datagram) {
        match d.message {
            Message::Ping { nonce, target } => {
                // One that is meant for whoever had this address before is not answered.
                if (target == self.me || target == MemberId(0)) && !self.leaving {
                    let load = self.load;
                    // One that is taken for gone hears it, and can contradict.
                    let said = self.said_of(d.sender);
                    self.send(now, from, Message::Ack { nonce, load }, said.into_iter().collect(), 0.0);
                }
            }
            Message::Ack { nonce, load } => {
                self.members.note_load(d.sender, load);
                // Itself, or a helper's word that it is there.
                let there = |p: &Probe| {
                    let says = |i: &Item| matches!(i, Item::Member(u) if u.id == p.target && u.claim == Claim::Alive);
                    p.target == d.sender || (p.asked && p.behalf.is_none() && d.items.iter().any(says))
                };
                let Some(p) = self.probes.get(&nonce).filter(|p| there(p)).copied() else { return };
                self.probes.remove(&nonce);
                match p.behalf {
                    Some((asker, theirs)) => {
                        // Passed on in the answerer's stead: a word of this instance that it is there.
                        let item = self.members.get(d.sender).map(|m| {
                            let (address, incarnation) = (m.address, m.incarnation);
                            Item::Member(Update { id: d.sender, address, incarnation, claim: Claim::Alive })
                        });
                        let message = Message::Ack { nonce: theirs, load };
                        self.send(now, asker, message, item.into_iter().collect(), 0.0);
                    }
                    None => self.members.note_health(false),
                }
            }
            Message::PingReq { nonce, target, address } => {
                let fits = self.config.allowed.iter().any(|n| n.contains(&address.ip()));
                if self.probes.len() < PROBES && fits && self.load < OVERLOAD_LEVEL {
                    let own = self.ping(now, address, target);
                    let (ask_others, over) = (now + ANSWER, now + 2 * ANSWER);
                    let behalf = Some((from, nonce));
                    let probe = Probe {
                        target,
                        address,
                        ask_others,
                        over,
                        asked: false,
                        nacks: 0,
                        helpers: 0,
                        behalf,
                    };
                    self.probes.insert(own, probe);
                }
            }
            Message::Nack { nonce } => {
                if let Some(p) = self.probes.get_mut(&nonce) {
                    p.nacks += 1;
                }
            }
            Message::Digest { reply, groups } => self.compare(now, from, d.sender, reply, &groups),
            Message::Items => {}
        }
    }

    /// Tells a member what it does not know, by the groups whose hashes differ.
    fn compare(
        &mut self,
        now: Micros,
        from: SocketAddr,
        peer: MemberId,
        reply: bool,
        theirs: &[u32; GROUPS],
    ) {
        let mine = self.members.digest();
        if mine == *theirs || self.load >= OVERLOAD_LEVEL {
            return;
        }
        if self.members.get(peer).is_some_and(|m| m.load >= OVERLOAD_LEVEL) {
            return;
        }
        let mut updates = self.members.of_groups(|g| mine[g] != theirs[g]);
        // Not the same ones first each time, since not all may fit.
        let start = self.members.lot(updates.len() as u32) as usize;
        updates.rotate_left(start);
        let mut items: Vec<Item> = updates.into_iter().take(SYNC_ITEMS).map(Item::Member).collect();
        while !items.is_empty() {
            let (mut room, mut n) = (ROOM - Message::Items.len(), 0);
            while let Some(i) = items.get(n).filter(|i| i.len() <= room) {
                room -= i.len();
                n += 1;
            }
            let rest = items.split_off(n.max(1));
            self.send_plain(now, from, Message::Items, std::mem::replace(&mut items, rest), 0.5);
        }
        if reply {
            self.send(now, from, Message::Digest { reply: false, groups: mine }, Vec::new(), 0.5);
        }
    }

    fn item(
        &mut self,
        now: Micros,
        sender: MemberId,
        incarnation: Incarnation,
        item: Item,
        latest: Incarnation,
    ) {
        match item {
            Item::Member(u) => {
                let fits = self.config.allowed.iter().any(|n| n.contains(&u.address.ip()));
                if let Some(change) = fits.then(|| self.members.hear(now, u, sender, latest)).flatten() {
                    self.changed(now, change);
                }
            }
            Item::Evidence(exchange, evidence) => {
                if evidence.age == u8::MAX {
                    self.counts.stale += 1;
                    return;
                }
                let measured = now - Micros::from(evidence.age) * 20 * MILLI;
                let fresh = self.reports.merge(exchange, sender, Report { incarnation, evidence, measured });
                if fresh && evidence.accuses() > 0.0 {
                    self.next_look = self.next_look.min(now);
                }
            }
            Item::Links { own, from, bits } => {
                // One instance speaks for one exchange, and none for another's.
                let holder = *self.bound.entry(own).or_insert(sender);
                let second = self.bound.iter().any(|(e, id)| *e != own && *id == sender);
                if holder != sender || second || Some(own) == self.config.own_exchange {
                    self.counts.conflicts += 1;
                    return;
                }
                self.out.push(Output::Links { member: sender, own, from, bits });
            }
        }
    }

    fn changed(&mut self, now: Micros, change: swim::Change) {
        match change {
            swim::Change::Member(u) => {
                self.counts.deaths += u64::from(u.claim == Claim::Dead);
                self.counts.contradicted += u64::from(u.id == self.me);
                self.queue.add(Item::Member(u), times(self.members.there()));
                if u.id == self.me {
                    // A contradiction that spreads too slowly is no use: some hear it at once.
                    for (_, address) in self.members.some(CONTRADICT, self.me) {
                        self.send(now, address, Message::Items, vec![Item::Member(u)], 0.25);
                    }
                }
                // A newcomer is told the own groups.
                if u.claim == Claim::Alive {
                    let most = times(self.members.there());
                    self.links.clone().into_iter().for_each(|l| self.queue.add(l, most));
                }
                self.out.push(Output::Event(Event::Member(u)));
            }
            swim::Change::NameTaken(at) => self.out.push(Output::Event(Event::NameTaken(at))),
            swim::Change::Conflict(id, at) => {
                self.counts.conflicts += 1;
                self.out.push(Output::Event(Event::Conflict(id, at)));
            }
        }
    }

    /// Sends a message, with as much as fits of what waits to be passed on.
    fn send(&mut self, now: Micros, to: SocketAddr, message: Message, mut items: Vec<Item>, spare: f64) {
        let used: usize = message.len() + items.iter().map(Item::len).sum::<usize>();
        let overloaded = self.members.is_overloaded(to);
        if !overloaded {
            self.queue.fill(ROOM.saturating_sub(used), &mut items);
        }
        self.send_plain(now, to, message, items, spare);
    }

    fn send_plain(
        &mut self,
        now: Micros,
        to: SocketAddr,
        message: Message,
        mut items: Vec<Item>,
        spare: f64,
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
            let life = Incarnation::at(self.unix + now.div_euclid(SECOND));
            self.members.incarnation = life.max(self.members.incarnation.next());
            1
        });
        let d = Datagram {
            key: self.ring.signing_key_id(),
            sender: self.me,
            incarnation: self.members.incarnation,
            sequence: self.sequence,
            message,
            items,
        };
        let bytes = self.ring.sign(d.encode());
        if !self.out_bucket.take(now, bytes.len(), spare) {
            self.counts.held_back += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push(Output::Send(to, bytes));
    }
}
