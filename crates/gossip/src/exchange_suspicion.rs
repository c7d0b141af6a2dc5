//! What this instance makes of its own evidence and of others': one statement for each exchange, that it is suspected
//! of taking set-ups and answering none, or not.
//!
//! A suspicion is never more than that: the module narrows what it sends there to one set-up at a time and passes the
//! exchange by as a tandem where another serves. So each bound below limits what a liar can cost, and none rests on
//! nobody's lying.
//!
//! - **Own evidence comes first.** An answer that this instance heard after the accusers' silence began ends the
//!   suspicion at once, whatever is said: nothing that hangs answers.
//! - **A quorum.** Two instances at the least must accuse, and their weights must reach [`QUORUM`] and exceed those who
//!   vouch. One instance alone may have a faulty link, or lie.
//! - **Influence is capped.** No accuser counts for more than 1, however many set-ups it claims to have lost.
//! - **Records.** An accuser is weighed by what it said before against what this instance saw later. A wrong
//!   accusation counts four times a right one, and no record of right ones is worth more than [`MAX_CONFIRMED`] of them, so
//!   that a long truth buys few lies. Records decay by half in [`HALF_LIFE`], so that a mended link is believed again.
//! - **A share.** No more than a quarter of the exchanges, and one at the least, are suspected on others' word at a
//!   time: more than the tenth or so that were ever seen to hang at once, and far less than what a site can do without.
//! - **An end.** Evidence expires after seconds, and a suspicion with it.

use crate::evidence::{Meters, Report, Reports};
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// The weight that accusers must reach together: two who lost several set-ups each, or three who lost one and have no
/// record yet.
pub const QUORUM: f64 = 1.0;
/// A suspicion goes on while there is this share of the quorum: it must not come and go with each report.
const KEEP_SHARE: f64 = 0.5;
/// Distinct accusers at the least, this instance among them.
const MIN_ACCUSERS: usize = 2;
/// Share of exchanges that may be suspected on others' word.
pub const MAX_SUSPECTED_SHARE: f64 = 0.25;
/// Right accusations that a record may hold.
pub const MAX_CONFIRMED: f64 = 20.0;
/// What a wrong accusation counts, in right ones.
const FALSE_WEIGHT: f64 = 4.0;
/// A record is worth half after this (µs).
pub const HALF_LIFE: Micros = 600 * SECOND;
/// An accusation that this instance could not check within this time is no part of a record (µs).
const VERIFICATION_TIMEOUT: Micros = 3 * SECOND;
/// Tests are remembered for so long (µs), so that one silence is not held against its accuser twice.
const VERIFICATION_LIFETIME: Micros = 60 * SECOND;
/// Tests remembered.
const MAX_VERIFICATIONS: usize = 4096;
/// Times of other instances are known to about this (µs): what messages take, and the unit of ages.
const TIME_UNCERTAINTY: Micros = 60 * MILLI;
/// After an own answer an exchange is not suspected anew for this long, unless this instance itself misses answers (µs).
const ANSWER_GRACE: Micros = 300 * MILLI;
/// Records kept.
const MAX_REPUTATIONS: usize = 2048;

/// What an accuser's word was worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reputation {
    confirmed: f64,
    refuted: f64,
    updated: Micros,
}

impl Reputation {
    fn decay(&mut self, now: Micros) {
        let share = 0.5f64.powf((now - self.updated).max(0) as f64 / HALF_LIFE as f64);
        (self.confirmed, self.refuted, self.updated) = (self.confirmed * share, self.refuted * share, now);
    }

    fn record(&mut self, now: Micros, confirmed: bool) {
        self.decay(now);
        if confirmed {
            self.confirmed = (self.confirmed + 1.0).min(MAX_CONFIRMED);
        } else {
            self.refuted += 1.0;
        }
    }

    /// From 0 to 1; two thirds without a record.
    pub fn trust(&self) -> f64 {
        (self.confirmed + 2.0) / (self.confirmed + FALSE_WEIGHT * self.refuted + 3.0)
    }
}

/// A suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// Since when.
    pub since: Micros,
    /// The accusers' weight.
    pub weight: f64,
    /// The weight of those who vouch.
    pub opposing_weight: f64,
    /// Who accuses, this instance left out.
    pub accusers: Vec<MemberId>,
    /// Whether this instance itself misses answers.
    pub observed_locally: bool,
}

/// Why a suspicion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// This instance heard an answer.
    Answered,
    /// Too little speaks for it any more.
    InsufficientEvidence,
    /// A graver one took its place in the share.
    Displaced,
}

/// What changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An exchange is suspected.
    Suspected(Exchange, Suspicion),
    /// It is no more.
    Cleared(Exchange, EndReason),
    /// What an accuser's word is worth now.
    TrustUpdated(MemberId, Exchange, bool, f64),
}

#[derive(Clone, Copy, Debug)]
struct Verification {
    /// The accuser's silence began then.
    silence_start: Micros,
    /// The accusation came then.
    received: Micros,
    done: bool,
}

/// All statements.
#[derive(Debug, Default)]
pub struct ExchangeSuspicions {
    suspicions: BTreeMap<Exchange, Suspicion>,
    reputations: BTreeMap<MemberId, Reputation>,
    verifications: BTreeMap<(MemberId, Exchange), Verification>,
}

/// When the silence that a report tells of began.
fn silence_start(r: &Report) -> Micros {
    r.measured - Micros::from(r.evidence.silence_ms) * MILLI
}

impl ExchangeSuspicions {
    /// The suspicions that are held.
    pub fn suspicions(&self) -> impl Iterator<Item = (Exchange, &Suspicion)> {
        self.suspicions.iter().map(|(e, s)| (*e, s))
    }

    /// The exchanges that are suspected.
    pub fn suspected(&self) -> BTreeSet<Exchange> {
        self.suspicions.keys().copied().collect()
    }

    /// What an accuser's word is worth.
    pub fn trust(&self, id: MemberId) -> f64 {
        self.reputations.get(&id).copied().unwrap_or_default().trust()
    }

    /// This instance heard an answer of an exchange: a suspicion ends at once.
    pub fn clear(&mut self, exchange: Exchange) -> Option<Change> {
        self.suspicions.remove(&exchange).map(|_| Change::Cleared(exchange, EndReason::Answered))
    }

    /// Draws its conclusions anew. `exchanges`: how many there are.
    pub fn evaluate(&mut self, now: Micros, meters: &Meters, reports: &Reports, exchanges: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        self.verify_accusations(now, meters, reports, &mut changes);
        let mut candidates: Vec<(Exchange, Suspicion)> = Vec::new();
        let named: BTreeSet<Exchange> =
            reports.exchanges().into_iter().chain(self.suspicions.keys().copied()).collect();
        for exchange in named {
            if let Some(s) = self.weigh(now, exchange, meters, reports) {
                candidates.push((exchange, s));
            }
        }
        // The gravest come first; what is held already goes before what is new at equal weight.
        candidates.sort_by(|a, b| {
            let held = |c: &(Exchange, Suspicion)| u8::from(self.suspicions.contains_key(&c.0));
            (b.1.weight + f64::from(held(b)) * 0.1).total_cmp(&(a.1.weight + f64::from(held(a)) * 0.1))
        });
        let limit = ((exchanges as f64 * MAX_SUSPECTED_SHARE) as usize).max(1);
        let kept: BTreeMap<Exchange, Suspicion> = candidates.iter().take(limit).cloned().collect();
        let held: Vec<Exchange> = self.suspicions.keys().copied().collect();
        for exchange in held.into_iter().filter(|e| !kept.contains_key(e)) {
            let displaced = candidates.iter().any(|c| c.0 == exchange);
            self.suspicions.remove(&exchange);
            let answered = meters.get(exchange).and_then(|m| m.last_response).is_some_and(|h| now - h < ANSWER_GRACE);
            let end = if displaced {
                EndReason::Displaced
            } else if answered {
                EndReason::Answered
            } else {
                EndReason::InsufficientEvidence
            };
            changes.push(Change::Cleared(exchange, end));
        }
        for (exchange, s) in kept {
            if !self.suspicions.contains_key(&exchange) {
                changes.push(Change::Suspected(exchange, s.clone()));
            }
            self.suspicions.insert(exchange, s);
        }
        changes
    }

    /// What speaks for and against an exchange, and whether that is enough.
    fn weigh(
        &self,
        now: Micros,
        exchange: Exchange,
        meters: &Meters,
        reports: &Reports,
    ) -> Option<Suspicion> {
        let held = self.suspicions.get(&exchange);
        let meter = meters.get(exchange);
        let own = meter.map_or(0.0, |m| m.measure(now).accusation_strength());
        let (mut weight, mut opposing_weight, mut accusers, mut starts) = (own, 0.0, Vec::new(), Vec::new());
        for (id, r) in reports.fresh(now, exchange) {
            let strength = r.evidence.accusation_strength();
            if strength > 0.0 {
                weight += self.trust(id) * strength.min(1.0);
                accusers.push(id);
                starts.push(silence_start(r));
            } else if r.evidence.vouches() && now - r.measured < SECOND {
                // One who heard an answer a while ago tells nothing of now.
                opposing_weight += self.trust(id);
            }
        }
        starts.sort_unstable();
        if let Some(&start) = starts.get(starts.len() / 2) {
            let last_response = meter.and_then(|m| m.last_response);
            let after = last_response.is_some_and(|h| h > start + TIME_UNCERTAINTY);
            let recent = last_response.is_some_and(|h| now - h < ANSWER_GRACE) && own == 0.0 && held.is_none();
            if after || recent {
                return None;
            }
        }
        let required = if held.is_some() { QUORUM * KEEP_SHARE } else { QUORUM };
        let enough_accusers = accusers.len() + usize::from(own > 0.0) >= MIN_ACCUSERS;
        // What this instance alone sees is the module's own business: it has its own guard against silence.
        (enough_accusers && !accusers.is_empty() && weight >= required && weight > opposing_weight).then(|| Suspicion {
            since: held.map_or(now, |h| h.since),
            weight,
            opposing_weight,
            accusers,
            observed_locally: own > 0.0,
        })
    }

    /// Puts accusations to the test of what this instance sees itself.
    fn verify_accusations(&mut self, now: Micros, meters: &Meters, reports: &Reports, changes: &mut Vec<Change>) {
        for exchange in reports.exchanges() {
            for (id, r) in reports.fresh(now, exchange).filter(|r| r.1.evidence.accusation_strength() > 0.0) {
                // The same silence is put to the test once, however often it is told.
                let is_new = self.verifications.get(&(id, exchange)).is_none_or(|t| silence_start(r) > t.received - TIME_UNCERTAINTY);
                if is_new && self.verifications.len() < MAX_VERIFICATIONS {
                    self.verifications.insert((id, exchange), Verification { silence_start: silence_start(r), received: now, done: false });
                }
            }
        }
        let mut verdicts = Vec::new();
        for (&(id, exchange), t) in self.verifications.iter_mut().filter(|t| !t.1.done && now - t.1.received < VERIFICATION_TIMEOUT) {
            let meter = meters.get(exchange);
            let answered = meter.and_then(|m| m.last_established).is_some_and(|g| g > t.silence_start + TIME_UNCERTAINTY);
            let unanswered = meter.is_some_and(|m| m.measure(now).accusation_strength() > 0.0);
            if answered || unanswered {
                t.done = true;
                // What this instance misses itself speaks for the accuser, though an answer came since.
                verdicts.push((id, exchange, unanswered));
            }
        }
        for (id, exchange, confirmed) in verdicts {
            if self.reputations.len() >= MAX_REPUTATIONS && !self.reputations.contains_key(&id) {
                let oldest = self.reputations.iter().min_by_key(|r| r.1.updated).map(|r| *r.0);
                oldest.map(|id| self.reputations.remove(&id));
            }
            let reputation = self.reputations.entry(id).or_default();
            reputation.record(now, confirmed);
            changes.push(Change::TrustUpdated(id, exchange, confirmed, reputation.trust()));
        }
        self.verifications.retain(|_, t| now - t.received < VERIFICATION_LIFETIME);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::evidence::Evidence;
    use crate::wire::Incarnation;

    const X: Exchange = Exchange(4);

    struct Bench {
        suspicions: ExchangeSuspicions,
        meters: Meters,
        reports: Reports,
        now: Micros,
        version: u32,
    }

    impl Bench {
        fn new() -> Bench {
            let (suspicions, meters, reports) = (ExchangeSuspicions::default(), Meters::default(), Reports::default());
            Bench { suspicions, meters, reports, now: 100 * SECOND, version: 0 }
        }

        fn say(&mut self, from: u64, exchange: Exchange, e: Evidence) {
            self.version += 1;
            let evidence = Evidence { version: self.version, ..e };
            let report = Report { incarnation: Incarnation(1), evidence, measured: self.now };
            self.reports.merge(exchange, MemberId(from), report);
        }

        fn accuse(&mut self, from: u64, exchange: Exchange, unanswered: u16) {
            let e = Evidence {
                sent: unanswered,
                unanswered,
                silence_ms: 300,
                typical_ms: 30,
                ..Evidence::default()
            };
            self.say(from, exchange, e);
        }

        fn vouch(&mut self, from: u64, exchange: Exchange) {
            self.say(from, exchange, Evidence { sent: 9, answered: 9, typical_ms: 30, ..Evidence::default() });
        }

        fn look(&mut self) -> bool {
            self.suspicions.evaluate(self.now, &self.meters, &self.reports, 8);
            self.suspicions.suspected().contains(&X)
        }

        fn own_answer(&mut self, exchange: Exchange) {
            let m = self.meters.get_or_create(self.now, exchange).unwrap();
            m.set_up_sent(self.now, 1);
            m.set_up_answered(self.now, 1, 20 * MILLI);
        }
    }

    #[test]
    fn one_accuser_is_never_enough_three_without_a_record_are() {
        let mut b = Bench::new();
        b.accuse(1, X, 500);
        assert!(!b.look());
        b.accuse(2, X, 1);
        b.accuse(3, X, 1);
        assert!(b.look());
    }

    #[test]
    fn an_own_answer_after_the_silence_began_ends_it_and_keeps_it_away() {
        let mut b = Bench::new();
        (1..=5).for_each(|n| b.accuse(n, X, 5));
        assert!(b.look());
        b.own_answer(X);
        assert_eq!(b.suspicions.clear(X), Some(Change::Cleared(X, EndReason::Answered)));
        assert!(!b.look());
        b.now += SECOND;
        assert!(!b.look(), "the accusers' silence began before it answered");
        // A silence that began since is another matter.
        b.now += SECOND;
        (1..=5).for_each(|n| b.accuse(n, X, 5));
        assert!(b.look());
    }

    #[test]
    fn it_ends_by_itself_and_those_who_vouch_outweigh_fewer_accusers() {
        let mut b = Bench::new();
        (1..=3).for_each(|n| b.accuse(n, X, 3));
        assert!(b.look());
        b.now += crate::evidence::EVIDENCE_LIFETIME;
        assert!(!b.look());
        let mut b = Bench::new();
        (1..=2).for_each(|n| b.accuse(n, X, 90));
        (3..=5).for_each(|n| b.vouch(n, X));
        assert!(!b.look(), "a third that colludes against the rest");
    }

    #[test]
    fn a_liars_word_is_soon_worth_little_however_long_it_told_the_truth() {
        let mut b = Bench::new();
        for _ in 0..100 {
            b.suspicions.reputations.entry(MemberId(1)).or_default().record(b.now, true);
        }
        let before = b.suspicions.trust(MemberId(1));
        let mut lies = 0;
        while b.suspicions.trust(MemberId(1)) > 0.5 {
            lies += 1;
            b.accuse(1, X, 50);
            b.now += 100 * MILLI;
            b.own_answer(X);
            b.look();
            b.now += SECOND;
        }
        assert!(before > 0.9 && lies <= 6, "{before} {lies}");
        // Right accusations mend a record, and time does.
        let low = b.suspicions.trust(MemberId(1));
        b.suspicions.reputations.get_mut(&MemberId(1)).unwrap().decay(b.now + 10 * HALF_LIFE);
        assert!(b.suspicions.trust(MemberId(1)) > low);
    }

    #[test]
    fn no_more_than_a_share_is_suspected_whoever_accuses_all() {
        let mut b = Bench::new();
        for n in 0..8 {
            (1..=6).for_each(|from| b.accuse(from, Exchange(n), 9));
        }
        b.look();
        assert_eq!(b.suspicions.suspected().len(), 2);
        let held = b.suspicions.suspected();
        b.now += 100 * MILLI;
        b.look();
        assert_eq!(b.suspicions.suspected(), held, "and it is not others in each turn");
    }

    #[test]
    fn praise_does_not_cover_what_this_instance_misses_itself() {
        let mut b = Bench::new();
        let m = b.meters.get_or_create(b.now, X).unwrap();
        (0..5).for_each(|call| m.set_up_sent(b.now, call));
        b.now += 600 * MILLI;
        b.vouch(1, X);
        b.accuse(2, X, 5);
        assert!(b.look());
    }

    #[test]
    fn a_link_that_fails_one_sender_only_is_not_held_against_the_exchange() {
        let mut b = Bench::new();
        for _ in 0..20 {
            b.accuse(1, X, 3);
            (2..=5).for_each(|n| b.vouch(n, X));
            b.now += 500 * MILLI;
            assert!(!b.look());
        }
    }
}
