//! Suspicions of exchanges: from its own measurements and the reports of others, this instance decides whether an
//! exchange is suspected of accepting set-ups without answering them.
//!
//! A suspicion has limited effect: the decision module sends a suspected exchange one set-up at a time and avoids it as
//! a tandem where another one serves. The rules below limit the damage that a lying instance can do; none of them
//! relies on every instance being honest.
//!
//! - **Own measurements first.** An answer received after the accusers' silence began clears the suspicion at once,
//!   whatever is reported: a hung exchange does not answer.
//! - **Quorum.** At least two instances must accuse; their total weight must reach [`QUORUM`] and exceed the weight of
//!   those that vouch for the exchange. A single instance may have a faulty link, or lie.
//! - **Capped influence.** No accuser has a weight above 1, however many lost set-ups it claims.
//! - **Reputation.** Accusers are weighted by comparing their earlier accusations with what this instance measured
//!   afterwards. A false accusation counts four times a confirmed one, and at most [`MAX_CONFIRMED`] confirmed ones are
//!   credited, so that a long honest history buys few lies. Reputations decay with [`HALF_LIFE`], so that an instance
//!   whose link was repaired regains trust.
//! - **Limited share.** At most a quarter of the exchanges, and at least one, are suspected on reports of others at a
//!   time: more than the tenth or so that were ever seen to hang at once, and far fewer than a site can do without.
//! - **Expiry.** Evidence expires after seconds, and the suspicion with it.

use crate::evidence::{Meters, Report, Reports};
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// Total weight that the accusers must reach: two that lost several set-ups each, or three without a reputation that
/// lost one each.
pub const QUORUM: f64 = 1.0;
/// Share of the quorum that keeps an existing suspicion. The hysteresis prevents flapping with each report.
const KEEP_SHARE: f64 = 0.5;
/// Minimum number of distinct accusers, including this instance.
const MIN_ACCUSERS: usize = 2;
/// Share of the exchanges that may be suspected on reports of others.
pub const MAX_SUSPECTED_SHARE: f64 = 0.25;
/// Maximum credit of confirmed accusations in a reputation.
pub const MAX_CONFIRMED: f64 = 20.0;
/// Weight of a false accusation, in confirmed ones.
const FALSE_WEIGHT: f64 = 4.0;
/// Half-life of a reputation (µs).
pub const HALF_LIFE: Micros = 600 * SECOND;
/// Time within which an accusation must be verified to count for the reputation (µs).
const VERIFICATION_TIMEOUT: Micros = 3 * SECOND;
/// Time for which a verification is remembered (µs), so that the same silence is not counted twice for its accuser.
const VERIFICATION_LIFETIME: Micros = 60 * SECOND;
/// Maximum number of remembered verifications.
const MAX_VERIFICATIONS: usize = 4096;
/// Uncertainty of other instances' times (µs): the transfer time of messages and the unit of ages.
const TIME_UNCERTAINTY: Micros = 60 * MILLI;
/// Time after an own answer in which no new suspicion starts, unless this instance misses answers itself (µs).
const ANSWER_GRACE: Micros = 300 * MILLI;
/// Maximum number of reputations.
const MAX_REPUTATIONS: usize = 2048;

/// Reputation of an accuser.
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

    /// Trust in the accuser, from 0 to 1; two thirds without history.
    pub fn trust(&self) -> f64 {
        (self.confirmed + 2.0) / (self.confirmed + FALSE_WEIGHT * self.refuted + 3.0)
    }
}

/// Suspicion of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// Start of the suspicion.
    pub since: Micros,
    /// Total weight of the accusers, including this instance.
    pub weight: f64,
    /// Total trust in the instances that vouch for the exchange.
    pub opposing_weight: f64,
    /// Accusers other than this instance.
    pub accusers: Vec<MemberId>,
    /// Whether this instance misses answers itself.
    pub observed_locally: bool,
}

/// Reason why a suspicion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// This instance received an answer from the exchange.
    Answered,
    /// The remaining evidence is insufficient.
    InsufficientEvidence,
    /// A suspicion with more weight took its place within the share.
    Displaced,
}

/// Change of a suspicion or of a reputation.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An exchange became suspected.
    Suspected(Exchange, Suspicion),
    /// An exchange is no longer suspected.
    Cleared(Exchange, EndReason),
    /// An accusation was verified: the accuser, the exchange, whether it was confirmed, and the new trust.
    TrustUpdated(MemberId, Exchange, bool, f64),
}

#[derive(Clone, Copy, Debug)]
struct Verification {
    /// Start of the silence that was reported.
    silence_start: Micros,
    /// Arrival of the accusation.
    received: Micros,
    done: bool,
}

/// The suspicions of exchanges and the reputations of accusers.
#[derive(Debug, Default)]
pub struct ExchangeSuspicions {
    suspicions: BTreeMap<Exchange, Suspicion>,
    reputations: BTreeMap<MemberId, Reputation>,
    verifications: BTreeMap<(MemberId, Exchange), Verification>,
}

/// Start of the silence described by a report, by the own clock.
fn silence_start(report: &Report) -> Micros {
    report.measured - Micros::from(report.evidence.silence_ms) * MILLI
}

impl ExchangeSuspicions {
    /// Iterates over the current suspicions.
    pub fn suspicions(&self) -> impl Iterator<Item = (Exchange, &Suspicion)> {
        self.suspicions.iter().map(|(e, s)| (*e, s))
    }

    /// The suspected exchanges.
    pub fn suspected(&self) -> BTreeSet<Exchange> {
        self.suspicions.keys().copied().collect()
    }

    /// Trust in the accusations of a member.
    pub fn trust(&self, id: MemberId) -> f64 {
        self.reputations.get(&id).copied().unwrap_or_default().trust()
    }

    /// Clears the suspicion of an exchange that answered this instance.
    pub fn clear(&mut self, exchange: Exchange) -> Option<Change> {
        self.suspicions.remove(&exchange).map(|_| Change::Cleared(exchange, EndReason::Answered))
    }

    /// Re-evaluates all suspicions. `exchanges` is the number of exchanges.
    pub fn evaluate(
        &mut self,
        now: Micros,
        meters: &Meters,
        reports: &Reports,
        exchanges: usize,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        self.verify_accusations(now, meters, reports, &mut changes);
        let mut candidates: Vec<(Exchange, Suspicion)> = Vec::new();
        let reported: BTreeSet<Exchange> =
            reports.exchanges().into_iter().chain(self.suspicions.keys().copied()).collect();
        for exchange in reported {
            if let Some(s) = self.weigh(now, exchange, meters, reports) {
                candidates.push((exchange, s));
            }
        }
        // By descending weight; existing suspicions get a bonus of 0.1, so that equal ones do not displace them.
        candidates.sort_by(|a, b| {
            let bonus = |c: &(Exchange, Suspicion)| u8::from(self.suspicions.contains_key(&c.0));
            (b.1.weight + f64::from(bonus(b)) * 0.1).total_cmp(&(a.1.weight + f64::from(bonus(a)) * 0.1))
        });
        let limit = ((exchanges as f64 * MAX_SUSPECTED_SHARE) as usize).max(1);
        let kept: BTreeMap<Exchange, Suspicion> = candidates.iter().take(limit).cloned().collect();
        let existing: Vec<Exchange> = self.suspicions.keys().copied().collect();
        for exchange in existing.into_iter().filter(|e| !kept.contains_key(e)) {
            let displaced = candidates.iter().any(|c| c.0 == exchange);
            self.suspicions.remove(&exchange);
            let answered =
                meters.get(exchange).and_then(|m| m.last_response).is_some_and(|h| now - h < ANSWER_GRACE);
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

    /// Weighs the evidence on one exchange; returns a suspicion if it suffices.
    fn weigh(
        &self,
        now: Micros,
        exchange: Exchange,
        meters: &Meters,
        reports: &Reports,
    ) -> Option<Suspicion> {
        let existing = self.suspicions.get(&exchange);
        let meter = meters.get(exchange);
        let own = meter.map_or(0.0, |m| m.measure(now).accusation_strength());
        let (mut weight, mut opposing_weight, mut accusers, mut starts) = (own, 0.0, Vec::new(), Vec::new());
        for (id, report) in reports.fresh(now, exchange) {
            let strength = report.evidence.accusation_strength();
            if strength > 0.0 {
                weight += self.trust(id) * strength.min(1.0);
                accusers.push(id);
                starts.push(silence_start(report));
            } else if report.evidence.vouches() && now - report.measured < SECOND {
                // An answer received longer ago says nothing about the present state.
                opposing_weight += self.trust(id);
            }
        }
        starts.sort_unstable();
        if let Some(&start) = starts.get(starts.len() / 2) {
            let last_response = meter.and_then(|m| m.last_response);
            let answered_since = last_response.is_some_and(|h| h > start + TIME_UNCERTAINTY);
            let recently_answered =
                last_response.is_some_and(|h| now - h < ANSWER_GRACE) && own == 0.0 && existing.is_none();
            if answered_since || recently_answered {
                return None;
            }
        }
        let required = if existing.is_some() { QUORUM * KEEP_SHARE } else { QUORUM };
        let enough_accusers = accusers.len() + usize::from(own > 0.0) >= MIN_ACCUSERS;
        // Without other accusers no suspicion is needed: the decision module detects its own missing answers.
        (enough_accusers && !accusers.is_empty() && weight >= required && weight > opposing_weight).then(
            || Suspicion {
                since: existing.map_or(now, |s| s.since),
                weight,
                opposing_weight,
                accusers,
                observed_locally: own > 0.0,
            },
        )
    }

    /// Verifies accusations against the measurements of this instance.
    fn verify_accusations(
        &mut self,
        now: Micros,
        meters: &Meters,
        reports: &Reports,
        changes: &mut Vec<Change>,
    ) {
        for exchange in reports.exchanges() {
            for (id, report) in
                reports.fresh(now, exchange).filter(|r| r.1.evidence.accusation_strength() > 0.0)
            {
                // Each silence is verified once, however often it is reported.
                let is_new = self
                    .verifications
                    .get(&(id, exchange))
                    .is_none_or(|t| silence_start(report) > t.received - TIME_UNCERTAINTY);
                if is_new && self.verifications.len() < MAX_VERIFICATIONS {
                    self.verifications.insert(
                        (id, exchange),
                        Verification { silence_start: silence_start(report), received: now, done: false },
                    );
                }
            }
        }
        let mut verdicts = Vec::new();
        for (&(id, exchange), t) in
            self.verifications.iter_mut().filter(|t| !t.1.done && now - t.1.received < VERIFICATION_TIMEOUT)
        {
            let meter = meters.get(exchange);
            let answered = meter
                .and_then(|m| m.last_established)
                .is_some_and(|g| g > t.silence_start + TIME_UNCERTAINTY);
            let unanswered = meter.is_some_and(|m| m.measure(now).accusation_strength() > 0.0);
            if answered || unanswered {
                t.done = true;
                // Own missing answers confirm the accusation, even if an answer has arrived since.
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

    struct Fixture {
        suspicions: ExchangeSuspicions,
        meters: Meters,
        reports: Reports,
        now: Micros,
        version: u32,
    }

    impl Fixture {
        fn new() -> Fixture {
            let (suspicions, meters, reports) =
                (ExchangeSuspicions::default(), Meters::default(), Reports::default());
            Fixture { suspicions, meters, reports, now: 100 * SECOND, version: 0 }
        }

        fn report(&mut self, from: u64, exchange: Exchange, e: Evidence) {
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
            self.report(from, exchange, e);
        }

        fn vouch(&mut self, from: u64, exchange: Exchange) {
            self.report(
                from,
                exchange,
                Evidence { sent: 9, answered: 9, typical_ms: 30, ..Evidence::default() },
            );
        }

        fn evaluate(&mut self) -> bool {
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
    fn one_accuser_is_not_enough_and_three_without_reputation_are() {
        let mut fixture = Fixture::new();
        fixture.accuse(1, X, 500);
        assert!(!fixture.evaluate());
        fixture.accuse(2, X, 1);
        fixture.accuse(3, X, 1);
        assert!(fixture.evaluate());
    }

    #[test]
    fn an_own_answer_after_the_silence_began_clears_the_suspicion() {
        let mut fixture = Fixture::new();
        (1..=5).for_each(|n| fixture.accuse(n, X, 5));
        assert!(fixture.evaluate());
        fixture.own_answer(X);
        assert_eq!(fixture.suspicions.clear(X), Some(Change::Cleared(X, EndReason::Answered)));
        assert!(!fixture.evaluate());
        fixture.now += SECOND;
        assert!(!fixture.evaluate(), "the reported silence began before the answer");
        // A silence that began after the answer counts again.
        fixture.now += SECOND;
        (1..=5).for_each(|n| fixture.accuse(n, X, 5));
        assert!(fixture.evaluate());
    }

    #[test]
    fn a_suspicion_expires_and_vouching_members_outweigh_fewer_accusers() {
        let mut fixture = Fixture::new();
        (1..=3).for_each(|n| fixture.accuse(n, X, 3));
        assert!(fixture.evaluate());
        fixture.now += crate::evidence::EVIDENCE_LIFETIME;
        assert!(!fixture.evaluate());
        let mut fixture = Fixture::new();
        (1..=2).for_each(|n| fixture.accuse(n, X, 90));
        (3..=5).for_each(|n| fixture.vouch(n, X));
        assert!(!fixture.evaluate(), "a colluding minority");
    }

    #[test]
    fn false_accusations_soon_reduce_trust_after_a_long_honest_history() {
        let mut fixture = Fixture::new();
        for _ in 0..100 {
            fixture.suspicions.reputations.entry(MemberId(1)).or_default().record(fixture.now, true);
        }
        let before = fixture.suspicions.trust(MemberId(1));
        let mut lies = 0;
        while fixture.suspicions.trust(MemberId(1)) > 0.5 {
            lies += 1;
            fixture.accuse(1, X, 50);
            fixture.now += 100 * MILLI;
            fixture.own_answer(X);
            fixture.evaluate();
            fixture.now += SECOND;
        }
        assert!(before > 0.9 && lies <= 6, "{before} {lies}");
        // The reputation recovers with time.
        let low = fixture.suspicions.trust(MemberId(1));
        fixture.suspicions.reputations.get_mut(&MemberId(1)).unwrap().decay(fixture.now + 10 * HALF_LIFE);
        assert!(fixture.suspicions.trust(MemberId(1)) > low);
    }

    #[test]
    fn at_most_a_share_of_the_exchanges_is_suspected() {
        let mut fixture = Fixture::new();
        for n in 0..8 {
            (1..=6).for_each(|from| fixture.accuse(from, Exchange(n), 9));
        }
        fixture.evaluate();
        assert_eq!(fixture.suspicions.suspected().len(), 2);
        let held = fixture.suspicions.suspected();
        fixture.now += 100 * MILLI;
        fixture.evaluate();
        assert_eq!(fixture.suspicions.suspected(), held, "the selection is stable between evaluations");
    }

    #[test]
    fn vouching_does_not_outweigh_own_missing_answers() {
        let mut fixture = Fixture::new();
        let m = fixture.meters.get_or_create(fixture.now, X).unwrap();
        (0..5).for_each(|call| m.set_up_sent(fixture.now, call));
        fixture.now += 600 * MILLI;
        fixture.vouch(1, X);
        fixture.accuse(2, X, 5);
        assert!(fixture.evaluate());
    }

    #[test]
    fn a_broken_link_of_one_accuser_causes_no_suspicion() {
        let mut fixture = Fixture::new();
        for _ in 0..20 {
            fixture.accuse(1, X, 3);
            (2..=5).for_each(|n| fixture.vouch(n, X));
            fixture.now += 500 * MILLI;
            assert!(!fixture.evaluate());
        }
    }
}
