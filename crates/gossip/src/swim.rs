//! The members and their states: SWIM (Das, Gupta, Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips,
//! Currey, 2018): an instance that is itself slow gives others more time, suspicions shorten as others confirm them,
//! and a suspected member is told so first of all.
//!
//! This module has the states and the choice of whom to ask; [`crate::node`] has the messages.

use crate::wire::{Claim, Incarnation, Update, DIGEST_BUCKETS};
use crate::{MemberId, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One member is asked in each period (µs), longer while the own health_score is bad.
pub const PROTOCOL_PERIOD: Micros = SECOND;
/// An answer is waited for so long before others are asked to ask (µs). Far expired a round trip on these networks (up to
/// 54 ms), and leaves the rest of the period to the others.
pub const PING_TIMEOUT: Micros = 300_000;
/// Others that are asked to ask.
pub const INDIRECT_PINGS: usize = 3;
/// The worst own health_score: periods and waits are up to so many times longer, less one.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// A suspicion lasts so many periods at the least, times the logarithm of the group's size (Lifeguard's alpha).
const SUSPICION_ALPHA: f64 = 4.0;
/// And so many times that at the most, while nobody confirms it (Lifeguard's beta).
const SUSPICION_BETA: f64 = 6.0;
/// Confirmations after which it lasts no longer than the least.
const MAX_CONFIRMATIONS: usize = 3;
/// One that is dead or has left is remembered for so long (µs): far longer than what is said of it takes to reach all,
/// so that an old word does not bring it back.
pub const TOMBSTONE_LIFETIME: Micros = 600 * SECOND;
/// A processor is pressed from here on (of 255): then only what keeps membership goes there.
pub const OVERLOAD_LEVEL: u8 = 200;
/// Members that are known at most. Guards memory against names without end.
pub const MAX_MEMBERS: usize = 2048;

/// What a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, since then; and who says so.
    Suspect(Micros, BTreeSet<MemberId>),
    /// It has not answered for long.
    Dead(Micros),
    /// It said that it leaves.
    Left(Micros),
}

impl State {
    /// What is said of it.
    pub fn claim(&self) -> Claim {
        match self {
            State::Alive => Claim::Alive,
            State::Suspect(..) => Claim::Suspect,
            State::Dead(_) => Claim::Dead,
            State::Left(_) => Claim::Left,
        }
    }

    /// Whether it counts as there.
    pub fn is_active(&self) -> bool {
        matches!(self, State::Alive | State::Suspect(..))
    }
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its incarnation as last heard.
    pub incarnation: Incarnation,
    /// What it is.
    pub state: State,
    /// How pressed its processor said it was, from 0 to 255.
    pub load: u8,
}

/// Something that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is now this.
    Member(Update),
    /// Another instance has this one's name, at that address.
    NameTaken(SocketAddr),
    /// A member's name came from another address without a later life.
    Conflict(MemberId, SocketAddr),
}

/// All members but the own instance.
#[derive(Debug)]
pub struct Members {
    own_id: MemberId,
    address: SocketAddr,
    /// The own incarnation.
    pub incarnation: Incarnation,
    members: BTreeMap<MemberId, Member>,
    /// Where those are that said that they are pressed.
    overloaded: BTreeSet<SocketAddr>,
    /// Whom to ask next, and so on: each once before any again.
    round: Vec<MemberId>,
    /// How bad the own health_score is, from 0 to `MAX_HEALTH_SCORE`.
    health_score: u32,
    rng: fastrand::Rng,
    /// Members that found no place.
    pub dropped: u64,
}

impl Members {
    /// Only the own instance is there.
    pub fn new(own_id: MemberId, address: SocketAddr, incarnation: Incarnation, seed: u64) -> Members {
        let rng = fastrand::Rng::with_seed(seed);
        Members {
            own_id,
            address,
            incarnation,
            members: BTreeMap::new(),
            overloaded: BTreeSet::new(),
            round: Vec::new(),
            health_score: 0,
            rng,
            dropped: 0,
        }
    }

    /// The own instance as it is passed on.
    pub fn own_update(&self, claim: Claim) -> Update {
        Update { id: self.own_id, address: self.address, incarnation: self.incarnation, claim }
    }

    /// A member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// All members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Members that are there, the own instance among them.
    pub fn active_count(&self) -> usize {
        1 + self.members.values().filter(|m| m.state.is_active()).count()
    }

    /// By how much the own health_score stretches waits.
    pub fn health_factor(&self) -> i64 {
        i64::from(self.health_score) + 1
    }

    /// The own health_score got worse, or better.
    pub fn adjust_local_health(&mut self, worse: bool) {
        self.health_score = if worse { (self.health_score + 1).min(MAX_HEALTH_SCORE) } else { self.health_score.saturating_sub(1) };
    }

    /// How long a suspicion lasts, by the group's size and those who confirm it.
    pub fn suspicion_timeout(&self, accusers: usize) -> Micros {
        suspicion_timeout(self.active_count(), accusers)
    }

    /// Whether somebody that is there listens at an address.
    pub fn is_at(&self, address: SocketAddr) -> bool {
        self.members.values().any(|m| m.address == address && m.state.is_active())
    }

    /// Takes what is said of a member. `from`: who says it; `max_incarnation`: incarnations beyond this are nobody's.
    pub fn apply(&mut self, now: Micros, update: Update, from: MemberId, max_incarnation: Incarnation) -> Option<Change> {
        if update.incarnation > max_incarnation {
            return None;
        }
        if update.id == self.own_id {
            return self.apply_own_update(update);
        }
        let Some(known) = self.members.get_mut(&update.id) else {
            return self.apply_new_member(now, update, from);
        };
        if update.address != known.address {
            // A later life may be elsewhere, once the earlier one no longer answers: nobody takes a living one's name.
            let later = update.incarnation.0 >> 12 > known.incarnation.0 >> 12;
            let moved = later && update.claim == Claim::Alive && known.state != State::Alive;
            if !moved {
                let conflict = update.claim == Claim::Alive && update.incarnation >= known.incarnation;
                return conflict.then_some(Change::Conflict(update.id, update.address));
            }
        }
        let newer = update.incarnation > known.incarnation;
        let same = update.incarnation == known.incarnation;
        let state = match (update.claim, &mut known.state) {
            (Claim::Alive, _) if newer => State::Alive,
            (Claim::Suspect, State::Suspect(_, accusers)) if same => {
                // One more who says so: that is news to others while it shortens anything.
                let fresh = accusers.len() < MAX_CONFIRMATIONS + 1 && accusers.insert(from);
                return fresh.then_some(Change::Member(update));
            }
            (Claim::Suspect, State::Alive) if newer || same => State::Suspect(now, BTreeSet::from([from])),
            (Claim::Suspect, State::Suspect(..)) if newer => State::Suspect(now, BTreeSet::from([from])),
            (Claim::Dead, State::Alive | State::Suspect(..)) if newer || same => State::Dead(now),
            (Claim::Left, State::Alive | State::Suspect(..)) if newer || same => State::Left(now),
            // It left by itself: that is more than that it is dead.
            (Claim::Left, State::Dead(at)) if newer || same => State::Left(*at),
            _ => return None,
        };
        let rejoined = !known.state.is_active() && state.is_active();
        (known.incarnation, known.state, known.address) = (update.incarnation, state, update.address);
        if rejoined {
            self.insert_into_round(update.id);
        }
        Some(Change::Member(update))
    }

    fn apply_own_update(&mut self, update: Update) -> Option<Change> {
        if update.address != self.address && update.claim == Claim::Alive && update.incarnation >= self.incarnation {
            return Some(Change::NameTaken(update.address));
        }
        let contradicts = match update.claim {
            // An earlier life of the own with a higher number, as when the clock has inactive back.
            Claim::Alive => update.incarnation > self.incarnation,
            Claim::Suspect | Claim::Dead | Claim::Left => update.incarnation >= self.incarnation,
        };
        if !contradicts {
            return None;
        }
        self.incarnation = update.incarnation.max(self.incarnation).next();
        // To be suspected is a sign that the own messages come late.
        if update.claim == Claim::Suspect {
            self.adjust_local_health(true);
        }
        Some(Change::Member(self.own_update(Claim::Alive)))
    }

    fn apply_new_member(&mut self, now: Micros, update: Update, from: MemberId) -> Option<Change> {
        if self.members.len() >= MAX_MEMBERS {
            let inactive = self.members.iter().find(|m| !m.1.state.is_active()).map(|m| *m.0);
            let Some(inactive) = inactive else {
                self.dropped += 1;
                return None;
            };
            self.members.remove(&inactive);
        }
        let state = match update.claim {
            Claim::Alive => State::Alive,
            Claim::Suspect => State::Suspect(now, BTreeSet::from([from])),
            // Kept, so that an old word does not bring it in.
            Claim::Dead => State::Dead(now),
            Claim::Left => State::Left(now),
        };
        let there = state.is_active();
        let member = Member { address: update.address, incarnation: update.incarnation, state, load: 0 };
        self.members.insert(update.id, member);
        if there {
            self.insert_into_round(update.id);
        }
        there.then_some(Change::Member(update))
    }

    /// It was heard itself, in this incarnation: whatever others say, it is there.
    pub fn heard_directly(
        &mut self,
        now: Micros,
        id: MemberId,
        address: SocketAddr,
        incarnation: Incarnation,
        max_incarnation: Incarnation,
    ) -> Option<Change> {
        let update = Update { id, address, incarnation, claim: Claim::Alive };
        self.apply(now, update, id, max_incarnation)
    }

    /// How pressed a member says that it is.
    pub fn set_member_load(&mut self, id: MemberId, load: u8) {
        if let Some(m) = self.members.get_mut(&id) {
            m.load = load;
            if load >= OVERLOAD_LEVEL {
                self.overloaded.insert(m.address);
            } else {
                self.overloaded.remove(&m.address);
            }
        }
    }

    /// Whether a member at this address said that it is pressed.
    pub fn is_overloaded(&self, address: SocketAddr) -> bool {
        self.overloaded.contains(&address)
    }

    /// It did not answer this instance.
    pub fn suspect(&mut self, now: Micros, id: MemberId) -> Option<Change> {
        let m = self.members.get(&id)?;
        let update = Update { id, address: m.address, incarnation: m.incarnation, claim: Claim::Suspect };
        self.apply(now, update, self.own_id, Incarnation::MAX)
    }

    /// Suspicions whose time is up become deaths; tombstones whose time is up go.
    pub fn expire(&mut self, now: Micros) -> Vec<Change> {
        let there = self.active_count();
        let expired = |m: &&Member| match &m.state {
            State::Suspect(since, accusers) => now - since >= suspicion_timeout(there, accusers.len()),
            _ => false,
        };
        let dead: Vec<MemberId> = self.members.iter().filter(|m| expired(&m.1)).map(|m| *m.0).collect();
        let mut changes = Vec::new();
        for id in dead {
            if let Some(m) = self.members.get_mut(&id) {
                m.state = State::Dead(now);
                let (address, incarnation) = (m.address, m.incarnation);
                changes.push(Change::Member(Update { id, address, incarnation, claim: Claim::Dead }));
            }
        }
        self.members
            .retain(|_, m| !matches!(m.state, State::Dead(at) | State::Left(at) if now - at >= TOMBSTONE_LIFETIME));
        if !self.overloaded.is_empty() {
            let there: BTreeSet<SocketAddr> = self.members.values().map(|m| m.address).collect();
            self.overloaded.retain(|a| there.contains(a));
        }
        changes
    }

    /// A new one gets a place by lot, so that not all ask it at the same time.
    fn insert_into_round(&mut self, id: MemberId) {
        if !self.round.contains(&id) {
            let at = self.rng.usize(..=self.round.len());
            self.round.insert(at, id);
        }
    }

    /// Whom to ask now: each that is there once, in an order drawn anew for each round (SWIM, section 4.3).
    pub fn next_ping_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.round.pop() {
                if self.members.get(&id).is_some_and(|m| m.state.is_active()) {
                    return Some(id);
                }
            }
            self.round = self.members.iter().filter(|m| m.1.state.is_active()).map(|m| *m.0).collect();
            self.rng.shuffle(&mut self.round);
        }
        None
    }

    /// Some that are there, by lot, but for one.
    pub fn random_alive(&mut self, count: usize, except: MemberId) -> Vec<(MemberId, SocketAddr)> {
        let there = self.members.iter().filter(|m| m.1.state == State::Alive && *m.0 != except);
        let mut all: Vec<(MemberId, SocketAddr)> = there.map(|(id, m)| (*id, m.address)).collect();
        let n = count.min(all.len());
        for i in 0..n {
            let j = self.rng.usize(i..all.len());
            all.swap(i, j);
        }
        all.truncate(n);
        all
    }

    /// One that is dead, by lot: after a split the halves find each other by asking the dead.
    pub fn random_dead(&mut self) -> Option<(MemberId, SocketAddr)> {
        let dead: Vec<_> = self.members.iter().filter(|m| matches!(m.1.state, State::Dead(_))).collect();
        let n = dead.len();
        (n > 0).then(|| dead[self.rng.usize(..n)]).map(|(id, m)| (*id, m.address))
    }

    /// A number by lot.
    pub fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.u32(..bound.max(1))
    }

    /// A hash of each group of members and their states, the own instance among them.
    pub fn digest(&self) -> [u32; DIGEST_BUCKETS] {
        let mut hashers: Vec<blake3::Hasher> = (0..DIGEST_BUCKETS).map(|_| blake3::Hasher::new()).collect();
        let own_id = [(self.own_id, self.incarnation, Claim::Alive)];
        let others = self.members.iter().map(|(id, m)| {
            // A suspicion comes and goes; only what lasts is compared.
            let claim = if m.state.is_active() { Claim::Alive } else { m.state.claim() };
            (*id, m.incarnation, claim)
        });
        let mut all: Vec<_> = own_id.into_iter().chain(others).collect();
        all.sort_unstable();
        for (id, incarnation, claim) in all {
            let h = &mut hashers[bucket_of(id)];
            h.update(&id.0.to_be_bytes());
            h.update(&incarnation.0.to_be_bytes());
            h.update(&[claim as u8]);
        }
        let truncate = |h: &blake3::Hasher| {
            let b = h.finalize();
            let b = b.as_bytes();
            u32::from_be_bytes([b[0], b[1], b[2], b[3]])
        };
        std::array::from_fn(|i| truncate(&hashers[i]))
    }

    /// What is known of the members of some groups, the own instance among them.
    pub fn updates_in_buckets(&self, wanted: impl Fn(usize) -> bool) -> Vec<Update> {
        let own_id = [self.own_update(Claim::Alive)];
        let others = self.members.iter().map(|(id, m)| Update {
            id: *id,
            address: m.address,
            incarnation: m.incarnation,
            claim: m.state.claim(),
        });
        own_id.into_iter().chain(others).filter(|update| wanted(bucket_of(update.id))).collect()
    }
}

/// The group of a member, for digests.
pub fn bucket_of(id: MemberId) -> usize {
    (id.0 % DIGEST_BUCKETS as u64) as usize
}

/// How long a suspicion lasts in a group of so many, by those who confirm it.
fn suspicion_timeout(there: usize, accusers: usize) -> Micros {
    let size = (there as f64).log10().max(1.0);
    let least = SUSPICION_ALPHA * size * PROTOCOL_PERIOD as f64;
    // With nobody to confirm it, as between two, the longest wait would be for nothing.
    let others = there.saturating_sub(2).min(MAX_CONFIRMATIONS);
    if others == 0 {
        return least as Micros;
    }
    let most = SUSPICION_BETA * least;
    let share = (accusers.max(1) as f64).ln() / (others as f64 + 1.0).ln();
    (most - (most - least) * share).max(least) as Micros
}
