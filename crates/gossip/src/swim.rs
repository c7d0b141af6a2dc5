//! Membership list and member states, after SWIM (Das, Gupta, Motivala, 2002) with the extensions of Lifeguard (Dadgar,
//! Phillips, Currey, 2018): local health lengthens the timeouts of a slow instance, confirmations shorten the suspicion
//! timeout, and a suspected member is notified first.
//!
//! This module holds the state transitions and chooses ping targets; [`crate::node`] sends the messages.

use crate::wire::{Claim, Incarnation, Update, DIGEST_BUCKETS};
use crate::{MemberId, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Protocol period (µs): one member is pinged in each, and poor local health lengthens it.
pub const PROTOCOL_PERIOD: Micros = SECOND;
/// Time to wait for an ack before indirect pings are sent (µs). Well above the round-trip time of these networks (up to
/// 54 ms), and leaves the rest of the period for the indirect pings.
pub const PING_TIMEOUT: Micros = 300_000;
/// Number of members asked to ping indirectly (SWIM's k).
pub const INDIRECT_PINGS: usize = 3;
/// Highest (worst) local health score; periods and timeouts are multiplied by the score plus 1.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// Minimum suspicion timeout in protocol periods, times the logarithm of the group size (Lifeguard's alpha).
const SUSPICION_ALPHA: f64 = 4.0;
/// Maximum suspicion timeout without confirmations, as a multiple of the minimum (Lifeguard's beta).
const SUSPICION_BETA: f64 = 6.0;
/// Number of confirmations that reduce the suspicion timeout to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Time for which a dead or departed member is remembered (µs). Far longer than dissemination takes, so that an
/// outdated update does not add the member again.
pub const TOMBSTONE_LIFETIME: Micros = 600 * SECOND;
/// Load (of 255) from which a processor counts as overloaded: it then receives membership messages only, without
/// piggybacked items.
pub const OVERLOAD_LEVEL: u8 = 200;
/// Maximum number of members. Bounds memory, whatever number of names is received.
pub const MAX_MEMBERS: usize = 2048;

/// State of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers pings.
    Alive,
    /// It did not answer; with the start of the suspicion and the members that reported it.
    Suspect(Micros, BTreeSet<MemberId>),
    /// Its suspicion timed out; with the time of that.
    Dead(Micros),
    /// It announced that it leaves; with the time of that.
    Left(Micros),
}

impl State {
    /// The claim that describes this state in an update.
    pub fn claim(&self) -> Claim {
        match self {
            State::Alive => Claim::Alive,
            State::Suspect(..) => Claim::Suspect,
            State::Dead(_) => Claim::Dead,
            State::Left(_) => Claim::Left,
        }
    }

    /// Whether the member takes part in the protocol.
    pub fn is_active(&self) -> bool {
        matches!(self, State::Alive | State::Suspect(..))
    }
}

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Highest known incarnation.
    pub incarnation: Incarnation,
    /// Current state.
    pub state: State,
    /// Last reported processor load, from 0 to 255.
    pub load: u8,
}

/// Change of the membership list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The state of a member changed.
    Member(Update),
    /// Another instance at this address uses the name of this one.
    NameTaken(SocketAddr),
    /// An update gives another address for a member without a later start of it.
    Conflict(MemberId, SocketAddr),
}

/// Membership list, without the own instance.
#[derive(Debug)]
pub struct Members {
    own_id: MemberId,
    address: SocketAddr,
    /// Own incarnation.
    pub incarnation: Incarnation,
    members: BTreeMap<MemberId, Member>,
    /// Addresses of the members that reported overload.
    overloaded: BTreeSet<SocketAddr>,
    /// Remaining ping targets of the current round; each active member is pinged once per round.
    round: Vec<MemberId>,
    /// Local health score, from 0 (good) to `MAX_HEALTH_SCORE`.
    health_score: u32,
    rng: fastrand::Rng,
    /// Updates for new members that were dropped because the list was full.
    pub dropped: u64,
}

impl Members {
    /// Creates an empty membership list.
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

    /// An update about the own instance.
    pub fn own_update(&self, claim: Claim) -> Update {
        Update { id: self.own_id, address: self.address, incarnation: self.incarnation, claim }
    }

    /// Looks up a member.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    /// Number of active members, including the own instance.
    pub fn active_count(&self) -> usize {
        1 + self.members.values().filter(|m| m.state.is_active()).count()
    }

    /// Factor by which the local health score lengthens periods and timeouts.
    pub fn health_factor(&self) -> i64 {
        i64::from(self.health_score) + 1
    }

    /// Raises or lowers the local health score by one.
    pub fn adjust_local_health(&mut self, worse: bool) {
        self.health_score = if worse {
            (self.health_score + 1).min(MAX_HEALTH_SCORE)
        } else {
            self.health_score.saturating_sub(1)
        };
    }

    /// Suspicion timeout for the current group size and the number of members that suspect.
    pub fn suspicion_timeout(&self, accusers: usize) -> Micros {
        suspicion_timeout(self.active_count(), accusers)
    }

    /// Whether an active member listens at this address.
    pub fn has_active_at(&self, address: SocketAddr) -> bool {
        self.members.values().any(|m| m.address == address && m.state.is_active())
    }

    /// Applies an update sent by `from`. Incarnations above `max_incarnation` are rejected.
    pub fn apply(
        &mut self,
        now: Micros,
        update: Update,
        from: MemberId,
        max_incarnation: Incarnation,
    ) -> Option<Change> {
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
            // A restarted member may have moved, but only once its old address stopped answering: a live member's name
            // cannot be taken over.
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
                // A further confirmation is passed on as long as it shortens the timeout.
                let confirms = accusers.len() < MAX_CONFIRMATIONS + 1 && accusers.insert(from);
                return confirms.then_some(Change::Member(update));
            }
            (Claim::Suspect, State::Alive) if newer || same => State::Suspect(now, BTreeSet::from([from])),
            (Claim::Suspect, State::Suspect(..)) if newer => State::Suspect(now, BTreeSet::from([from])),
            (Claim::Dead, State::Alive | State::Suspect(..)) if newer || same => State::Dead(now),
            (Claim::Left, State::Alive | State::Suspect(..)) if newer || same => State::Left(now),
            // A departure overrides a death, since the member announced it itself.
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
        if update.address != self.address
            && update.claim == Claim::Alive
            && update.incarnation >= self.incarnation
        {
            return Some(Change::NameTaken(update.address));
        }
        let needs_refutation = match update.claim {
            // An earlier run of this instance had a higher incarnation, as after the clock was set back.
            Claim::Alive => update.incarnation > self.incarnation,
            Claim::Suspect | Claim::Dead | Claim::Left => update.incarnation >= self.incarnation,
        };
        if !needs_refutation {
            return None;
        }
        self.incarnation = update.incarnation.max(self.incarnation).next();
        // Being suspected indicates that the own messages arrive late.
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
            // Remembered, so that an outdated alive update does not add the member.
            Claim::Dead => State::Dead(now),
            Claim::Left => State::Left(now),
        };
        let active = state.is_active();
        let member = Member { address: update.address, incarnation: update.incarnation, state, load: 0 };
        self.members.insert(update.id, member);
        if active {
            self.insert_into_round(update.id);
        }
        active.then_some(Change::Member(update))
    }

    /// Records a datagram received from the member itself, which counts as an alive update.
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

    /// Records the processor load that a member reported.
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

    /// Whether a member at this address reported overload.
    pub fn is_overloaded(&self, address: SocketAddr) -> bool {
        self.overloaded.contains(&address)
    }

    /// Suspects a member that did not answer a probe of this instance.
    pub fn suspect(&mut self, now: Micros, id: MemberId) -> Option<Change> {
        let m = self.members.get(&id)?;
        let update = Update { id, address: m.address, incarnation: m.incarnation, claim: Claim::Suspect };
        self.apply(now, update, self.own_id, Incarnation::MAX)
    }

    /// Declares members dead whose suspicion timed out, and forgets expired tombstones.
    pub fn expire(&mut self, now: Micros) -> Vec<Change> {
        let active = self.active_count();
        let expired = |m: &&Member| match &m.state {
            State::Suspect(since, accusers) => now - since >= suspicion_timeout(active, accusers.len()),
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
        self.members.retain(
            |_, m| !matches!(m.state, State::Dead(at) | State::Left(at) if now - at >= TOMBSTONE_LIFETIME),
        );
        if !self.overloaded.is_empty() {
            let addresses: BTreeSet<SocketAddr> = self.members.values().map(|m| m.address).collect();
            self.overloaded.retain(|a| addresses.contains(a));
        }
        changes
    }

    /// Inserts a member at a random position of the round, so that not all instances ping it at the same time.
    fn insert_into_round(&mut self, id: MemberId) {
        if !self.round.contains(&id) {
            let at = self.rng.usize(..=self.round.len());
            self.round.insert(at, id);
        }
    }

    /// Next ping target: each active member once per round, in a new random order each round (SWIM, section 4.3).
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

    /// Up to `count` random alive members, except one.
    pub fn random_alive(&mut self, count: usize, except: MemberId) -> Vec<(MemberId, SocketAddr)> {
        let alive = self.members.iter().filter(|m| m.1.state == State::Alive && *m.0 != except);
        let mut all: Vec<(MemberId, SocketAddr)> = alive.map(|(id, m)| (*id, m.address)).collect();
        let picked = count.min(all.len());
        for i in 0..picked {
            let j = self.rng.usize(i..all.len());
            all.swap(i, j);
        }
        all.truncate(picked);
        all
    }

    /// A random dead member: after a network partition the parts find each other by pinging dead members.
    pub fn random_dead(&mut self) -> Option<(MemberId, SocketAddr)> {
        let dead: Vec<_> = self.members.iter().filter(|m| matches!(m.1.state, State::Dead(_))).collect();
        let n = dead.len();
        (n > 0).then(|| dead[self.rng.usize(..n)]).map(|(id, m)| (*id, m.address))
    }

    /// A random number below a bound.
    pub fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.u32(..bound.max(1))
    }

    /// Hash of each digest bucket of members and their states, including the own instance.
    pub fn digest(&self) -> [u32; DIGEST_BUCKETS] {
        let mut hashers: Vec<blake3::Hasher> = (0..DIGEST_BUCKETS).map(|_| blake3::Hasher::new()).collect();
        let own = [(self.own_id, self.incarnation, Claim::Alive)];
        let others = self.members.iter().map(|(id, m)| {
            // Suspicions are short-lived and are not compared.
            let claim = if m.state.is_active() { Claim::Alive } else { m.state.claim() };
            (*id, m.incarnation, claim)
        });
        let mut all: Vec<_> = own.into_iter().chain(others).collect();
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

    /// Updates about the members in the selected digest buckets, including the own instance.
    pub fn updates_in_buckets(&self, wanted: impl Fn(usize) -> bool) -> Vec<Update> {
        let own = [self.own_update(Claim::Alive)];
        let others = self.members.iter().map(|(id, m)| Update {
            id: *id,
            address: m.address,
            incarnation: m.incarnation,
            claim: m.state.claim(),
        });
        own.into_iter().chain(others).filter(|update| wanted(bucket_of(update.id))).collect()
    }
}

/// Digest bucket of a member.
pub fn bucket_of(id: MemberId) -> usize {
    (id.0 % DIGEST_BUCKETS as u64) as usize
}

/// Suspicion timeout by the number of active members and of members that suspect.
fn suspicion_timeout(active: usize, accusers: usize) -> Micros {
    let size = (active as f64).log10().max(1.0);
    let min_timeout = SUSPICION_ALPHA * size * PROTOCOL_PERIOD as f64;
    // Without a third member nobody can confirm, and waiting for confirmations would be useless.
    let possible_confirmations = active.saturating_sub(2).min(MAX_CONFIRMATIONS);
    if possible_confirmations == 0 {
        return min_timeout as Micros;
    }
    let max_timeout = SUSPICION_BETA * min_timeout;
    let share = (accusers.max(1) as f64).ln() / (possible_confirmations as f64 + 1.0).ln();
    (max_timeout - (max_timeout - min_timeout) * share).max(min_timeout) as Micros
}
