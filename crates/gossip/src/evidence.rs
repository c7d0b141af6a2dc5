//! What instances measure of exchanges. It is evidence and no verdict: each instance draws its own conclusions
//! ([`crate::exchange_suspicion`]).
//!
//! Evidence is taken only from whoever measured it. All keys are the group's, so that what is passed on for another
//! could be made up, and one liar would count as many; what a sender says in its own name counts as one.

use crate::wire::Incarnation;
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Counts are of so many last seconds.
pub const WINDOW_SECONDS: usize = 5;
/// Evidence older than this says nothing (µs): a processor that hangs is restarted, or off the list, within seconds,
/// and what it did before then is history.
pub const EVIDENCE_LIFETIME: Micros = 4 * SECOND;
/// Reports held at most. Guards memory: a thousand members with four exchanges each in trouble.
pub const MAX_REPORTS: usize = 4096;
/// Exchanges metered at most.
pub const MAX_METERS: usize = 512;

/// What one instance measured of one exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// Rises with time within a life: the unit is 20 ms, and it comes round after 2.7 years.
    pub version: u32,
    /// Set-ups sent in the last seconds.
    pub sent: u16,
    /// Set-ups that stood.
    pub answered: u16,
    /// Set-ups given up without an answer, or out for longer than they usually are with nothing heard since.
    pub unanswered: u16,
    /// Set-ups that were turned away: the exchange works.
    pub refused: u16,
    /// For how long nothing was heard of the exchange though a set-up is out (ms); 0: something was.
    pub silence_ms: u16,
    /// How long 90 of 100 set-ups take (ms).
    pub typical_ms: u16,
    /// How old it was when it was sent (in 20 ms; 255: that or more).
    pub age: u8,
}

impl Evidence {
    /// Bytes on the wire.
    pub const BYTES: usize = 17;

    /// Its bytes.
    pub fn encode(&self) -> [u8; Evidence::BYTES] {
        let mut out = [0; Evidence::BYTES];
        out[..4].copy_from_slice(&self.version.to_be_bytes());
        let fields =
            [self.sent, self.answered, self.unanswered, self.refused, self.silence_ms, self.typical_ms];
        for (at, f) in out[4..16].chunks_exact_mut(2).zip(fields) {
            at.copy_from_slice(&f.to_be_bytes());
        }
        out[16] = self.age;
        out
    }

    /// Reads its bytes; any bytes are evidence of something.
    pub fn decode(bytes: [u8; Evidence::BYTES]) -> Evidence {
        let at = |i: usize| u16::from_be_bytes([bytes[i], bytes[i + 1]]);
        Evidence {
            version: u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]),
            sent: at(4),
            answered: at(6),
            unanswered: at(8),
            refused: at(10),
            silence_ms: at(12),
            typical_ms: at(14),
            age: bytes[16],
        }
    }

    /// Whether it speaks against the exchange, and how strongly, from 0 to 1: one unanswered set-up is half a proof
    /// that the exchange hangs, each further one half of what is missing.
    pub fn accusation_strength(&self) -> f64 {
        let silent = self.silence_ms >= accusing_silence(self.typical_ms) && self.unanswered > 0;
        let lost = self.unanswered >= 3 && 5 * u32::from(self.unanswered) >= 3 * u32::from(self.sent);
        match silent || (lost && self.answered == 0) {
            true => 1.0 - 0.5f64.powi(i32::from(self.unanswered.min(30))),
            false => 0.0,
        }
    }

    /// Whether it speaks for the exchange: it was heard of, and nothing waits in vain.
    pub fn vouches(&self) -> bool {
        self.silence_ms == 0 && self.answered + self.refused > 0 && self.accusation_strength() == 0.0
    }
}

/// Silence from which on an exchange is accused (ms): four times what set-ups usually take, since a queue doubles and
/// doubles again without anything being wrong, and no less than what a network's hiccup lasts.
pub fn accusing_silence(typical_ms: u16) -> u16 {
    typical_ms.saturating_mul(4).clamp(150, 1000)
}

// ---- Own measurements ----

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    at: Micros,
    sent: u16,
    answered: u16,
    timed_out: u16,
    refused: u16,
}

/// What this instance measures of one exchange.
#[derive(Debug, Default)]
pub struct Meter {
    /// Set-ups that are out, by their calls, oldest first.
    outstanding: BTreeMap<u64, Micros>,
    seconds: VecDeque<Second>,
    /// When the exchange was last heard of.
    pub last_response: Option<Micros>,
    /// When a set-up was last answered with a call that stands.
    pub last_established: Option<Micros>,
    mean_setup_time: f64,
    mean_deviation: f64,
    last_report: Option<(Evidence, Micros)>,
}

impl Meter {
    fn second(&mut self, now: Micros) -> &mut Second {
        let at = now.div_euclid(SECOND);
        if self.seconds.back().is_none_or(|s| s.at < at) {
            self.seconds.push_back(Second { at, ..Second::default() });
            while self.seconds.front().is_some_and(|s| at - s.at >= WINDOW_SECONDS as i64) {
                self.seconds.pop_front();
            }
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }

    /// A set-up left.
    pub fn set_up_sent(&mut self, now: Micros, call: u64) {
        self.second(now).sent += 1;
        self.outstanding.insert(call, now);
    }

    /// It stood, after so long.
    pub fn set_up_answered(&mut self, now: Micros, call: u64, setup_time: Micros) {
        self.outstanding.remove(&call);
        self.second(now).answered += 1;
        (self.last_response, self.last_established) = (Some(now), Some(now));
        // Mean and mean deviation, smoothed as round-trip times are (RFC 6298).
        let setup_time = setup_time as f64;
        if self.mean_setup_time == 0.0 {
            (self.mean_setup_time, self.mean_deviation) = (setup_time, setup_time / 2.0);
        } else {
            self.mean_deviation += ((setup_time - self.mean_setup_time).abs() - self.mean_deviation) / 4.0;
            self.mean_setup_time += (setup_time - self.mean_setup_time) / 8.0;
        }
    }

    /// It was turned away, or met a fault: the exchange works.
    pub fn set_up_refused(&mut self, now: Micros, call: u64) {
        self.outstanding.remove(&call);
        self.second(now).refused += 1;
        self.last_response = Some(now);
    }

    /// It was given up without an answer.
    pub fn set_up_timed_out(&mut self, now: Micros, call: u64) {
        self.outstanding.remove(&call);
        self.second(now).timed_out += 1;
    }

    /// Its caller left: that says nothing of the exchange.
    pub fn set_up_abandoned(&mut self, call: u64) {
        self.outstanding.remove(&call);
    }

    fn typical_ms(&self) -> u16 {
        ((self.mean_setup_time + 1.5 * self.mean_deviation) / MILLI as f64).clamp(0.0, 60_000.0) as u16
    }

    /// For how long nothing was heard though a set-up is out.
    pub fn silence(&self, now: Micros) -> Micros {
        let oldest = self.outstanding.values().min();
        oldest.map_or(0, |sent| now - (*sent).max(self.last_response.unwrap_or(*sent)))
    }

    /// What it measured as of now.
    pub fn measure(&self, now: Micros) -> Evidence {
        let second = now.div_euclid(SECOND);
        let version = now.div_euclid(20 * MILLI) as u32;
        let mut e = Evidence { version, typical_ms: self.typical_ms(), ..Evidence::default() };
        for s in self.seconds.iter().filter(|s| second - s.at < WINDOW_SECONDS as i64) {
            e.sent = e.sent.saturating_add(s.sent);
            e.answered = e.answered.saturating_add(s.answered);
            e.unanswered = e.unanswered.saturating_add(s.timed_out);
            e.refused = e.refused.saturating_add(s.refused);
        }
        let silence_ms = (self.silence(now) / MILLI).clamp(0, 60_000) as u16;
        if silence_ms >= accusing_silence(e.typical_ms) {
            e.silence_ms = silence_ms;
            let last_response = self.last_response.unwrap_or(Micros::MIN);
            let since = self.outstanding.values().filter(|sent| **sent >= last_response).count();
            e.unanswered = e.unanswered.saturating_add(since.min(1000) as u16);
        }
        e
    }

    /// What is to be told now, if it is worth telling: an accusation as soon as it is one and each quarter of a
    /// second, its end, and else the state once in two seconds where there is traffic.
    pub fn report(&mut self, now: Micros) -> Option<(Evidence, bool)> {
        let e = self.measure(now);
        let accuses = e.accusation_strength() > 0.0;
        let before = self.last_report.map(|(t, at)| (t.accusation_strength() > 0.0, now - at));
        let urgent = accuses && before.is_none_or(|(was, age)| !was || age >= SECOND / 4);
        let cleared = !accuses && before.is_some_and(|(was, _)| was);
        let periodic = e.sent > 0 && before.is_none_or(|(_, age)| age >= 2 * SECOND);
        if !(urgent || cleared || periodic) {
            return None;
        }
        self.last_report = Some((e, now));
        Some((e, urgent || cleared))
    }

    /// Whether something of it must be looked at again soon.
    pub fn needs_evaluation(&self) -> bool {
        !self.outstanding.is_empty() || self.last_report.is_some_and(|t| t.0.accusation_strength() > 0.0)
    }

    fn idle(&self, now: Micros) -> bool {
        self.outstanding.is_empty() && self.seconds.back().is_none_or(|s| now.div_euclid(SECOND) - s.at >= 60)
    }
}

/// What this instance measures of all exchanges.
#[derive(Debug, Default)]
pub struct Meters {
    all: BTreeMap<Exchange, Meter>,
}

impl Meters {
    /// The meter of an exchange; `None` if there are too many.
    pub fn get_or_create(&mut self, now: Micros, exchange: Exchange) -> Option<&mut Meter> {
        if !self.all.contains_key(&exchange) && self.all.len() >= MAX_METERS {
            self.all.retain(|_, m| !m.idle(now));
            if self.all.len() >= MAX_METERS {
                return None;
            }
        }
        Some(self.all.entry(exchange).or_default())
    }

    /// The meter of an exchange, if there is one.
    pub fn get(&self, exchange: Exchange) -> Option<&Meter> {
        self.all.get(&exchange)
    }

    /// All of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Exchange, &mut Meter)> {
        self.all.iter_mut().map(|(e, m)| (*e, m))
    }

    /// Whether something must be looked at again soon.
    pub fn need_evaluation(&self) -> bool {
        self.all.values().any(Meter::needs_evaluation)
    }

    /// The exchanges that are metered.
    pub fn exchanges(&self) -> impl Iterator<Item = Exchange> + '_ {
        self.all.keys().copied()
    }
}

// ---- Others' reports ----

/// A report, with when it was measured by this instance's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Report {
    /// The reporter's incarnation.
    pub incarnation: Incarnation,
    /// What it measured. The age counts in no comparison: the same report may come twice.
    pub evidence: Evidence,
    /// When, by this instance's clock.
    pub measured: Micros,
}

impl Report {
    fn rank(&self) -> (Incarnation, Evidence) {
        (self.incarnation, Evidence { age: 0, ..self.evidence })
    }
}

/// What others reported. Of two reports by the same instance on the same exchange the later counts; of two that claim
/// to be the same and are not, always the same one. So it does not matter in which order, or how often, they come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    all: BTreeMap<(Exchange, MemberId), Report>,
}

impl Reports {
    /// Takes a report. Whether it is news.
    pub fn merge(&mut self, exchange: Exchange, from: MemberId, report: Report) -> bool {
        let known = self.all.get(&(exchange, from));
        if known.is_some_and(|k| k.rank() >= report.rank()) {
            return false;
        }
        if known.is_none() && self.all.len() >= MAX_REPORTS {
            let oldest = self.all.iter().min_by_key(|r| r.1.measured).map(|r| *r.0);
            oldest.map(|key| self.all.remove(&key));
        }
        self.all.insert((exchange, from), report);
        true
    }

    /// Takes all of another's.
    pub fn merge_all(&mut self, other: &Reports) {
        for (&(exchange, from), &report) in &other.all {
            self.merge(exchange, from, report);
        }
    }

    /// The fresh reports on an exchange.
    pub fn fresh(&self, now: Micros, exchange: Exchange) -> impl Iterator<Item = (MemberId, &Report)> + '_ {
        let range = (exchange, MemberId(0))..=(exchange, MemberId(u64::MAX));
        let unexpired = move |r: &(&(Exchange, MemberId), &Report)| now - r.1.measured < EVIDENCE_LIFETIME;
        self.all.range(range).filter(unexpired).map(|(key, r)| (key.1, r))
    }

    /// Drops what is too old, and what was said by those who are gone.
    pub fn expire(&mut self, now: Micros, is_active: impl Fn(MemberId) -> bool) {
        self.all.retain(|key, r| now - r.measured < EVIDENCE_LIFETIME && is_active(key.1));
    }

    /// The exchanges that are reported on.
    pub fn exchanges(&self) -> std::collections::BTreeSet<Exchange> {
        self.all.keys().map(|k| k.0).collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_meter_accuses_what_is_silent_and_not_what_is_slow_or_refuses() {
        let mut m = Meter::default();
        let mut now = SECOND;
        for call in 0..50 {
            m.set_up_sent(now, call);
            m.set_up_answered(now + 20 * MILLI, call, 20 * MILLI);
            now += 50 * MILLI;
        }
        assert!(m.measure(now).vouches());
        m.set_up_sent(now, 100);
        assert_eq!(m.measure(now + 140 * MILLI).accusation_strength(), 0.0);
        m.set_up_sent(now + 100 * MILLI, 101);
        let e = m.measure(now + 200 * MILLI);
        assert!((e.accusation_strength() - 0.75).abs() < 1e-9 && e.unanswered == 2, "{e:?}");
        let (told, urgent) = m.report(now + 200 * MILLI).unwrap();
        assert!(urgent && told == e && m.report(now + 210 * MILLI).is_none());
        // A refusal is a sign of life, and the relief is told at once.
        m.set_up_refused(now + 220 * MILLI, 100);
        assert!(m.report(now + 220 * MILLI).is_some_and(|(e, urgent)| urgent && e.accusation_strength() == 0.0));
        // Slow, but it goes on answering.
        for call in 200..260 {
            m.set_up_sent(now, call);
            m.set_up_answered(now, call - 10, 400 * MILLI);
            now += 60 * MILLI;
        }
        assert_eq!(m.measure(now).accusation_strength(), 0.0);
    }

    #[test]
    fn memory_is_bounded_whatever_is_called_or_heard() {
        let mut meters = Meters::default();
        for n in 0..60_000 {
            if let Some(m) = meters.get_or_create(SECOND, Exchange(n)) {
                m.set_up_sent(SECOND, 1);
            }
        }
        assert_eq!(meters.all.len(), MAX_METERS);
        let mut r = Reports::default();
        for n in 0..10_000u64 {
            let evidence = Evidence::default();
            r.merge(
                Exchange(n as u16),
                MemberId(n),
                Report { incarnation: Incarnation(1), evidence, measured: n as i64 },
            );
        }
        assert_eq!(r.len(), MAX_REPORTS);
        r.expire(EVIDENCE_LIFETIME + 9_990, |_| true);
        assert!(r.len() < 20);
    }
}
