//! Gossip as a subsystem of the switchboard: what happens to set-ups goes to the node, and what it comes to believe
//! goes to the decision module as an event of its interface.

use super::gossip_file::GossipConfig;
use crate::routing::interface::{CallId, Cause, Ending, ExchangeNumber, Micros, PeerNumber};
use crate::routing::ledger::{Answer, Ledger, Output as LedgerOutput};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnuthatch_control::views;
use walnuthatch_gossip::exchange_suspicion::{Change, EndReason};
use walnuthatch_gossip::node::{self, Event, Node};
use walnuthatch_gossip::{Exchange, MemberId, SECOND};

/// First byte of a message that tells of groups, as the decision module has it.
const TELL_GROUPS: u8 = 1;
/// Numbers of members begin here, far from those of the platform's peers.
const NUMBERS: u32 = 1 << 20;

/// What is to be done.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// These exchanges are suspected, and no others.
    Suspect(BTreeSet<ExchangeNumber>),
    /// A message of a peer, bound to who sent it.
    Peer(PeerNumber, Vec<u8>),
    /// Something happened.
    Tell(&'static str, String),
    /// Come back then.
    Wake(Micros),
}

/// The gossip's state.
#[derive(Debug)]
pub struct Gossip {
    node: Node,
    /// Direct set-ups that are out, and where they went.
    out: BTreeMap<CallId, Exchange>,
    numbers: BTreeMap<MemberId, PeerNumber>,
    /// The groups of each member's exchange, by blocks of 64.
    links: BTreeMap<(MemberId, u16), u64>,
    tick: Micros,
    next: Micros,
    todo: Vec<Output>,
}

fn exchange(e: ExchangeNumber) -> Exchange {
    Exchange(e.0)
}

impl Gossip {
    /// A node that begins its life. The program's clock begins at the Unix time of its start.
    pub fn new(now: Micros, config: &GossipConfig, seed: u64) -> Gossip {
        let unix = now.div_euclid(SECOND);
        Gossip {
            node: Node::new(now, unix, config.node.clone(), config.ring.clone(), seed),
            out: BTreeMap::new(),
            numbers: BTreeMap::new(),
            links: BTreeMap::new(),
            tick: now,
            next: now,
            todo: vec![Output::Wake(now)],
        }
    }

    /// Takes over seeds, networks, ceilings and keys that were read anew.
    pub fn reload(&mut self, config: &GossipConfig) {
        self.node.reload(config.node.clone());
        self.node.set_key_ring(config.ring.clone());
    }

    /// Hears what the ledger does. Only set-ups that go direct are evidence of silence: what is lost over a tandem may
    /// have been lost beyond it.
    pub fn observe(&mut self, now: Micros, output: &LedgerOutput, ledger: &Ledger) {
        match output {
            LedgerOutput::SetUp { call, exchange_id, .. } => {
                let leg = ledger.administrative_state().exchange_of(*exchange_id);
                let to = ledger.offered_call(*call).map(|o| o.new_call.destination);
                if let Some(leg) = leg.filter(|l| Some(*l) == to) {
                    self.out.insert(*call, exchange(leg));
                    self.node.set_up_sent(now, exchange(leg), u64::from(call.0));
                }
            }
            LedgerOutput::Answer {
                call, answer: Answer::Established(_), last_attempt: Some(last), ..
            } => {
                let direct = self.out.remove(call);
                if let Some(leg) = last.exchange {
                    match direct {
                        Some(e) => self.node.set_up_answered(now, e, u64::from(call.0), last.setup_time),
                        None => self.node.set_up_refused(now, exchange(leg), u64::from(call.0)),
                    }
                }
            }
            LedgerOutput::AttemptEnded { call, exchange: Some(leg), ending, cause } => {
                let direct = self.out.remove(call).is_some();
                let (e, call) = (exchange(*leg), u64::from(call.0));
                match (ending, cause) {
                    (Ending::Full | Ending::Fault, _) | (_, Cause::LinesBusy) => {
                        self.node.set_up_refused(now, e, call)
                    }
                    (Ending::TimedOut | Ending::Cancelled | Ending::Reset | Ending::Unreachable, _)
                        if direct =>
                    {
                        self.node.set_up_timed_out(now, e, call);
                    }
                    _ => self.node.set_up_abandoned(now, e, call),
                }
            }
            // Its caller left; an attempt that this side gave up is told to have ended besides.
            LedgerOutput::Clear { call, .. } if ledger.offered_call(*call).is_none() => {
                if let Some(e) = self.out.remove(call) {
                    self.node.set_up_abandoned(now, e, u64::from(call.0));
                }
            }
            _ => {}
        }
        self.follow(now);
    }

    /// A datagram came.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        self.node.handle_datagram(now, from, body);
        self.follow(now);
    }

    /// Lets time pass.
    pub fn due(&mut self, now: Micros, ledger: &Ledger) {
        if now < self.next {
            return;
        }
        if now - self.tick >= SECOND {
            self.tick = now;
            let offices: Vec<_> = ledger.administrative_state().exchanges().collect();
            let linked = offices.iter().filter(|(_, g)| g.is_some_and(|g| g.1 >= 1.0));
            self.node.set_links(&linked.map(|(e, _)| exchange(e.exchange)).collect());
            let known: BTreeSet<ExchangeNumber> = offices.iter().map(|(e, _)| e.exchange).collect();
            self.node.set_exchanges(known.len());
            self.node.set_load((ledger.processor_load(now) * 200.0).clamp(0.0, 255.0) as u8);
        }
        self.node.handle_timeouts(now);
        self.follow(now);
    }

    /// The program stops: the others are told.
    pub fn leave(&mut self, now: Micros) {
        self.node.leave(now);
        self.follow(now);
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.todo)
    }

    fn follow(&mut self, now: Micros) {
        for output in self.node.take_outputs() {
            match output {
                node::Output::Send(to, bytes) => self.todo.push(Output::Datagram(to, bytes)),
                node::Output::Suspected(all) => {
                    let all = all.into_iter().map(|e| ExchangeNumber(e.0)).collect();
                    self.todo.push(Output::Suspect(all));
                }
                node::Output::Links { member, exchange, first, bits } => {
                    self.link(member, exchange, first, bits);
                }
                node::Output::Event(news) => {
                    let (kind, text) = told(&news);
                    self.todo.push(Output::Tell(kind, text));
                }
            }
        }
        let due = self.node.next_timeout().min(self.tick + SECOND).max(now + 1);
        if due < self.next || self.next <= now {
            self.next = due;
            self.todo.push(Output::Wake(due));
        }
    }

    /// The groups of a member's exchange, in the form that the decision module knows from its peers.
    fn link(&mut self, member: MemberId, own: Exchange, from: Exchange, bits: u64) {
        // The form has room for some 2,000 exchanges; no site has more than 250.
        if from.0 >= 1984 || !from.0.is_multiple_of(64) {
            return;
        }
        let number = PeerNumber(NUMBERS + self.numbers.len() as u32);
        let number = *self.numbers.entry(member).or_insert(number);
        self.links.insert((member, from.0 / 64), bits);
        let mut body = vec![TELL_GROUPS];
        body.extend(own.0.to_be_bytes());
        for (&(_, block), bits) in self.links.range((member, 0)..=(member, u16::MAX)) {
            body.resize(3 + usize::from(block) * 8, 0);
            // Bits are told with the highest first, and kept with the lowest first in each byte.
            body.extend(bits.to_be_bytes().map(u8::reverse_bits));
        }
        self.todo.push(Output::Peer(number, body));
    }

    // ---- Views ----

    /// Counters.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let c = self.node.counts();
        let (reports, queue) = self.node.buffered_counts();
        [
            ("gossip.sent", c.sent),
            ("gossip.sent_bytes", c.sent_bytes),
            ("gossip.held_back", c.held_back),
            ("gossip.taken", c.taken),
            ("gossip.foreign", c.foreign),
            ("gossip.flooded", c.flooded),
            ("gossip.unusable", c.unusable),
            ("gossip.forged", c.forged),
            ("gossip.repeated", c.repeated),
            ("gossip.conflicts", c.conflicts),
            ("gossip.stale", c.stale),
            ("gossip.deaths", c.deaths),
            ("gossip.contradicted", c.contradicted),
            ("gossip.reports", reports as u64),
            ("gossip.to_pass_on", queue as u64),
        ]
        .map(|(name, n)| (name.to_owned(), n))
        .to_vec()
    }

    /// The members.
    pub fn peers(&self) -> Vec<views::Peer> {
        let of = |(id, m): (MemberId, &walnuthatch_gossip::swim::Member)| views::Peer {
            member: id.to_string(),
            address: m.address.to_string(),
            state: format!("{:?}", m.state.claim()).to_lowercase(),
            incarnation: m.incarnation.0,
            pressed: f64::from(m.load) / 255.0,
            trust: self.node.exchange_suspicions().trust(id),
        };
        self.node.members.iter().map(of).collect()
    }

    /// The suspicions.
    pub fn suspicions(&self, now: Micros) -> Vec<views::Suspicion> {
        let of = |(e, s): (Exchange, &walnuthatch_gossip::exchange_suspicion::Suspicion)| views::Suspicion {
            exchange: e.0,
            for_ms: u64::try_from((now - s.since) / 1000).unwrap_or(0),
            weight: s.weight,
            against: s.opposing_weight,
            accusers: s.accusers.iter().map(ToString::to_string).collect(),
            own: s.observed_locally,
        };
        self.node.exchange_suspicions().suspicions().map(of).collect()
    }
}

/// Of which kind a piece of news is, and its words.
fn told(news: &Event) -> (&'static str, String) {
    match news {
        Event::Member(u) => ("peer", format!("{} at {}: {:?}", u.id, u.address, u.claim).to_lowercase()),
        Event::NameTaken(at) => ("peer", format!("another instance has this one's name, at {at}")),
        Event::Conflict(id, at) => ("peer", format!("{id}: claimed from {at} too, and not believed")),
        Event::ExchangeSuspicion(Change::Suspected(e, s)) => {
            let who: Vec<String> = s.accusers.iter().map(ToString::to_string).collect();
            let own = if s.observed_locally { ", and this instance misses answers itself" } else { "" };
            let text = format!(
                "exchange:{} is suspected: weight {:.2} against {:.2}, accused by {}{own}",
                e.0,
                s.weight,
                s.opposing_weight,
                who.join(" ")
            );
            ("belief", text)
        }
        Event::ExchangeSuspicion(Change::Cleared(e, end)) => {
            let why = match end {
                EndReason::Answered => "it answered",
                EndReason::InsufficientEvidence => "too little speaks against it",
                EndReason::Displaced => "others are suspected with more weight",
            };
            ("belief", format!("exchange:{} is suspected no more: {why}", e.0))
        }
        Event::ExchangeSuspicion(Change::TrustUpdated(id, e, right, trust)) => {
            let word = if *right { "right" } else { "wrong" };
            ("belief", format!("{id} was {word} of exchange:{}: its word is worth {trust:.2}", e.0))
        }
    }
}
