//! Gossip as a subsystem of the event loop: reports the outcomes of set-ups to the gossip node, and passes the node's
//! suspicions to the decision module through the module's event interface.

use super::gossip_file::GossipConfig;
use crate::routing::interface::{CallId, Cause, Ending, ExchangeNumber, Micros, PeerNumber};
use crate::routing::ledger::{Answer, Ledger, Output as LedgerOutput};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use walnuthatch_control::views;
use walnuthatch_gossip::exchange_suspicion::{Change, EndReason};
use walnuthatch_gossip::node::{self, Event, Node};
use walnuthatch_gossip::{Exchange, MemberId, SECOND};

/// First byte of a message that lists trunk groups, as the decision module expects it from peers.
const GROUPS_MESSAGE: u8 = 1;
/// The first peer number given to a gossip member, far above those of the platform's peers, which start at 0.
const FIRST_MEMBER_NUMBER: u32 = 1 << 20;

/// An action that the gossip subsystem requests from the event loop.
#[derive(Debug)]
pub enum Output {
    /// Send a datagram.
    Datagram(SocketAddr, Vec<u8>),
    /// Replace the set of suspected exchanges.
    SetSuspected(BTreeSet<ExchangeNumber>),
    /// Pass on a message of an authenticated peer.
    PeerMessage(PeerNumber, Vec<u8>),
    /// Record an event, given by its kind and text.
    Event(&'static str, String),
    /// Call [`Gossip::handle_timer`] at this time.
    SetTimer(Micros),
}

/// The state of the gossip subsystem.
#[derive(Debug)]
pub struct Gossip {
    node: Node,
    /// Pending set-ups over direct routes, and the exchange that each was sent to.
    direct_setups: BTreeMap<CallId, Exchange>,
    peer_numbers: BTreeMap<MemberId, PeerNumber>,
    /// The trunk groups of each member's exchange: a bitmap of exchange numbers in blocks of 64.
    group_bitmaps: BTreeMap<(MemberId, u16), u64>,
    last_tick: Micros,
    next_timer: Micros,
    outputs: Vec<Output>,
}

fn exchange(e: ExchangeNumber) -> Exchange {
    Exchange(e.0)
}

impl Gossip {
    /// Creates the gossip subsystem. `now` is also the Unix time, because program time starts at the Unix time of the
    /// start.
    pub fn new(now: Micros, config: &GossipConfig, seed: u64) -> Gossip {
        let unix_seconds = now.div_euclid(SECOND);
        Gossip {
            node: Node::new(now, unix_seconds, config.node.clone(), config.key_ring.clone(), seed),
            direct_setups: BTreeMap::new(),
            peer_numbers: BTreeMap::new(),
            group_bitmaps: BTreeMap::new(),
            last_tick: now,
            next_timer: now,
            outputs: vec![Output::SetTimer(now)],
        }
    }

    /// Applies the seeds, networks, rate limits and keys of a reloaded configuration.
    pub fn reload(&mut self, config: &GossipConfig) {
        self.node.reload(config.node.clone());
        self.node.set_key_ring(config.key_ring.clone());
    }

    /// Reports an output of the ledger to the node. A set-up that ends without an answer counts as evidence against the
    /// exchange only on the direct route: over a tandem it may have been lost beyond the tandem.
    pub fn observe(&mut self, now: Micros, output: &LedgerOutput, ledger: &Ledger) {
        match output {
            LedgerOutput::SetUp { call, exchange_id, .. } => {
                let first_hop = ledger.administrative_state().exchange_of(*exchange_id);
                let destination = ledger.offered_call(*call).map(|o| o.new_call.destination);
                if let Some(first_hop) = first_hop.filter(|e| Some(*e) == destination) {
                    self.direct_setups.insert(*call, exchange(first_hop));
                    self.node.set_up_sent(now, exchange(first_hop), u64::from(call.0));
                }
            }
            LedgerOutput::Answer {
                call, answer: Answer::Established(_), last_attempt: Some(last), ..
            } => {
                let direct = self.direct_setups.remove(call);
                if let Some(first_hop) = last.exchange {
                    match direct {
                        Some(e) => self.node.set_up_answered(now, e, u64::from(call.0), last.setup_time),
                        None => self.node.set_up_refused(now, exchange(first_hop), u64::from(call.0)),
                    }
                }
            }
            LedgerOutput::AttemptEnded { call, exchange: Some(first_hop), ending, cause } => {
                let direct = self.direct_setups.remove(call).is_some();
                let (e, call) = (exchange(*first_hop), u64::from(call.0));
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
            // The caller left. An attempt that this controller cancelled is handled above: it is also reported as
            // `AttemptEnded`.
            LedgerOutput::Clear { call, .. } if ledger.offered_call(*call).is_none() => {
                if let Some(e) = self.direct_setups.remove(call) {
                    self.node.set_up_abandoned(now, e, u64::from(call.0));
                }
            }
            _ => {}
        }
        self.process_node_outputs(now);
    }

    /// Handles a datagram.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        self.node.handle_datagram(now, from, body);
        self.process_node_outputs(now);
    }

    /// Handles the timeouts that have expired, and once a second updates the state that the node announces.
    pub fn handle_timer(&mut self, now: Micros, ledger: &Ledger) {
        if now < self.next_timer {
            return;
        }
        if now - self.last_tick >= SECOND {
            self.last_tick = now;
            let exchanges: Vec<_> = ledger.administrative_state().exchanges().collect();
            let linked = exchanges.iter().filter(|(_, g)| g.is_some_and(|g| g.1 >= 1.0));
            self.node.set_links(&linked.map(|(e, _)| exchange(e.exchange)).collect());
            let known: BTreeSet<ExchangeNumber> = exchanges.iter().map(|(e, _)| e.exchange).collect();
            self.node.set_exchanges(known.len());
            self.node.set_load((ledger.processor_load(now) * 200.0).clamp(0.0, 255.0) as u8);
        }
        self.node.handle_timeouts(now);
        self.process_node_outputs(now);
    }

    /// Announces to the other members that this instance is leaving.
    pub fn leave(&mut self, now: Micros) {
        self.node.leave(now);
        self.process_node_outputs(now);
    }

    /// Takes the requested actions, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn process_node_outputs(&mut self, now: Micros) {
        for output in self.node.take_outputs() {
            match output {
                node::Output::Send(to, bytes) => self.outputs.push(Output::Datagram(to, bytes)),
                node::Output::Suspected(suspected) => {
                    let suspected = suspected.into_iter().map(|e| ExchangeNumber(e.0)).collect();
                    self.outputs.push(Output::SetSuspected(suspected));
                }
                node::Output::Links { member, exchange, first, bits } => {
                    self.update_groups(member, exchange, first, bits);
                }
                node::Output::Event(event) => {
                    let (kind, text) = event_text(&event);
                    self.outputs.push(Output::Event(kind, text));
                }
            }
        }
        let next = self.node.next_timeout().min(self.last_tick + SECOND).max(now + 1);
        if next < self.next_timer || self.next_timer <= now {
            self.next_timer = next;
            self.outputs.push(Output::SetTimer(next));
        }
    }

    /// Updates one block of a member's trunk groups, and passes all of them to the decision module in the format of a
    /// peer's message.
    fn update_groups(&mut self, member: MemberId, own: Exchange, first: Exchange, bits: u64) {
        // The message has room for about 2,000 exchanges; no site has more than 250.
        if first.0 >= 1984 || !first.0.is_multiple_of(64) {
            return;
        }
        let number = PeerNumber(FIRST_MEMBER_NUMBER + self.peer_numbers.len() as u32);
        let number = *self.peer_numbers.entry(member).or_insert(number);
        self.group_bitmaps.insert((member, first.0 / 64), bits);
        let mut body = vec![GROUPS_MESSAGE];
        body.extend(own.0.to_be_bytes());
        for (&(_, block), bits) in self.group_bitmaps.range((member, 0)..=(member, u16::MAX)) {
            body.resize(3 + usize::from(block) * 8, 0);
            // The node numbers the bits from the highest one, the message from the lowest one of each byte.
            body.extend(bits.to_be_bytes().map(u8::reverse_bits));
        }
        self.outputs.push(Output::PeerMessage(number, body));
    }

    // ---- Views ----

    /// The counters of the gossip subsystem.
    pub fn counters(&self) -> Vec<(String, u64)> {
        let c = self.node.counts();
        let (reports, queued) = self.node.buffered_counts();
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
            ("gossip.to_pass_on", queued as u64),
        ]
        .map(|(name, n)| (name.to_owned(), n))
        .to_vec()
    }

    /// A view of each member.
    pub fn peers(&self) -> Vec<views::Peer> {
        let view = |(id, m): (MemberId, &walnuthatch_gossip::swim::Member)| views::Peer {
            member: id.to_string(),
            address: m.address.to_string(),
            state: format!("{:?}", m.state.claim()).to_lowercase(),
            incarnation: m.incarnation.0,
            pressed: f64::from(m.load) / 255.0,
            trust: self.node.exchange_suspicions().trust(id),
        };
        self.node.members.iter().map(view).collect()
    }

    /// A view of each suspicion.
    pub fn suspicions(&self, now: Micros) -> Vec<views::Suspicion> {
        let view =
            |(e, s): (Exchange, &walnuthatch_gossip::exchange_suspicion::Suspicion)| views::Suspicion {
                exchange: e.0,
                for_ms: u64::try_from((now - s.since) / 1000).unwrap_or(0),
                weight: s.weight,
                against: s.opposing_weight,
                accusers: s.accusers.iter().map(ToString::to_string).collect(),
                own: s.observed_locally,
            };
        self.node.exchange_suspicions().suspicions().map(view).collect()
    }
}

/// The kind and the text of an event.
fn event_text(event: &Event) -> (&'static str, String) {
    match event {
        Event::Member(u) => ("peer", format!("{} at {}: {:?}", u.id, u.address, u.claim).to_lowercase()),
        Event::NameTaken(at) => ("peer", format!("another instance has this one's name, at {at}")),
        Event::Conflict(id, at) => ("peer", format!("{id}: claimed from {at} too, and not believed")),
        Event::ExchangeSuspicion(Change::Suspected(e, s)) => {
            let accusers: Vec<String> = s.accusers.iter().map(ToString::to_string).collect();
            let own = if s.observed_locally { ", and this instance misses answers itself" } else { "" };
            let text = format!(
                "exchange:{} is suspected: weight {:.2} against {:.2}, accused by {}{own}",
                e.0,
                s.weight,
                s.opposing_weight,
                accusers.join(" ")
            );
            ("belief", text)
        }
        Event::ExchangeSuspicion(Change::Cleared(e, reason)) => {
            let reason = match reason {
                EndReason::Answered => "it answered",
                EndReason::InsufficientEvidence => "too little speaks against it",
                EndReason::Displaced => "others are suspected with more weight",
            };
            ("belief", format!("exchange:{} is suspected no more: {reason}", e.0))
        }
        Event::ExchangeSuspicion(Change::TrustUpdated(id, e, right, trust)) => {
            let word = if *right { "right" } else { "wrong" };
            ("belief", format!("{id} was {word} of exchange:{}: its word is worth {trust:.2}", e.0))
        }
    }
}
