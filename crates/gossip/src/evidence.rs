//! Measurements of exchanges by the instances of the group. They are evidence only: each instance decides by itself
//! which exchanges it suspects ([`crate::exchange_suspicion`]).
//!
//! Evidence is accepted only from the instance that measured it. All instances share the same keys, so evidence that is
//! relayed for others could be fabricated, and one liar would count as many; a sender's own evidence counts once.

use crate::wire::Incarnation;
use crate::{Exchange, MemberId, Micros, MILLI, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// Length of the measurement window in seconds.
pub const WINDOW_SECONDS: usize = 5;
/// Lifetime of evidence (µs): a hung processor is restarted or taken off the list within seconds, so older evidence
/// says nothing about its present state.
pub const EVIDENCE_LIFETIME: Micros = 4 * SECOND;
/// Maximum number of stored reports. Bounds memory: a thousand members that report four faulty exchanges each.
pub const MAX_REPORTS: usize = 4096;
/// Maximum number of measured exchanges.
pub const MAX_METERS: usize = 512;

/// Measurements of one exchange by one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// Version; increases with time within a run, in units of 20 ms, and wraps after 2.7 years.
    pub version: u32,
    /// Set-ups sent within the window.
    pub sent: u16,
    /// Set-ups answered with an established call.
    pub answered: u16,
    /// Set-ups that timed out, or are outstanding while the exchange has been silent for unusually long.
    pub unanswered: u16,
    /// Set-ups that were refused; a refusal shows that the exchange works.
    pub refused: u16,
    /// Time since the last response while a set-up is outstanding (ms); 0 if it is not unusually long.
    pub silence_ms: u16,
    /// Typical set-up time (ms), about the 90th percentile.
    pub typical_ms: u16,
    /// Age at the time of sending, in units of 20 ms; 255 stands for 255 units or more.
    pub age: u8,
}

impl Evidence {
    /// Encoded length.
    pub const BYTES: usize = 17;

    /// Encodes the measurements.
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

    /// Decodes the measurements; every byte sequence is valid.
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

    /// Strength of the accusation, from 0 (none) to 1: the first unanswered set-up counts one half, and each further
    /// one half of the remainder.
    pub fn accusation_strength(&self) -> f64 {
        let silent = self.silence_ms >= accusing_silence_ms(self.typical_ms) && self.unanswered > 0;
        let lost = self.unanswered >= 3 && 5 * u32::from(self.unanswered) >= 3 * u32::from(self.sent);
        match silent || (lost && self.answered == 0) {
            true => 1.0 - 0.5f64.powi(i32::from(self.unanswered.min(30))),
            false => 0.0,
        }
    }

    /// Whether the exchange has responded recently and no set-up waits unusually long.
    pub fn vouches(&self) -> bool {
        self.silence_ms == 0 && self.answered + self.refused > 0 && self.accusation_strength() == 0.0
    }
}

/// Silence from which an exchange is accused (ms): four times the typical set-up time, since a queue may double twice
/// in normal operation, but at least the length of a short network interruption.
pub fn accusing_silence_ms(typical_ms: u16) -> u16 {
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

/// Measurements of one exchange by this instance.
#[derive(Debug, Default)]
pub struct Meter {
    /// Outstanding set-ups by call id, with the time of sending.
    outstanding: BTreeMap<u64, Micros>,
    seconds: VecDeque<Second>,
    /// Time of the last response.
    pub last_response: Option<Micros>,
    /// Time of the last set-up that was answered with an established call.
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

    /// Records a set-up.
    pub fn set_up_sent(&mut self, now: Micros, call: u64) {
        self.second(now).sent += 1;
        self.outstanding.insert(call, now);
    }

    /// Records an answer with an established call, and its set-up time.
    pub fn set_up_answered(&mut self, now: Micros, call: u64, setup_time: Micros) {
        self.outstanding.remove(&call);
        self.second(now).answered += 1;
        (self.last_response, self.last_established) = (Some(now), Some(now));
        // Smoothed mean and mean deviation, as for round-trip times in RFC 6298.
        let setup_time = setup_time as f64;
        if self.mean_setup_time == 0.0 {
            (self.mean_setup_time, self.mean_deviation) = (setup_time, setup_time / 2.0);
        } else {
            self.mean_deviation += ((setup_time - self.mean_setup_time).abs() - self.mean_deviation) / 4.0;
            self.mean_setup_time += (setup_time - self.mean_setup_time) / 8.0;
        }
    }

    /// Records a refusal or a fault; both show that the exchange works.
    pub fn set_up_refused(&mut self, now: Micros, call: u64) {
        self.outstanding.remove(&call);
        self.second(now).refused += 1;
        self.last_response = Some(now);
    }

    /// Records a set-up that timed out.
    pub fn set_up_timed_out(&mut self, now: Micros, call: u64) {
        self.outstanding.remove(&call);
        self.second(now).timed_out += 1;
    }

    /// Records a set-up that its caller abandoned, which says nothing about the exchange.
    pub fn set_up_abandoned(&mut self, call: u64) {
        self.outstanding.remove(&call);
    }

    fn typical_ms(&self) -> u16 {
        ((self.mean_setup_time + 1.5 * self.mean_deviation) / MILLI as f64).clamp(0.0, 60_000.0) as u16
    }

    /// Time since the last response or the oldest outstanding set-up, whichever is later; 0 if none is outstanding.
    pub fn silence(&self, now: Micros) -> Micros {
        let oldest = self.outstanding.values().min();
        oldest.map_or(0, |sent| now - (*sent).max(self.last_response.unwrap_or(*sent)))
    }

    /// The measurements as of now.
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
        if silence_ms >= accusing_silence_ms(e.typical_ms) {
            e.silence_ms = silence_ms;
            let last_response = self.last_response.unwrap_or(Micros::MIN);
            let since = self.outstanding.values().filter(|sent| **sent >= last_response).count();
            e.unanswered = e.unanswered.saturating_add(since.min(1000) as u16);
        }
        e
    }

    /// Returns a report if one is due, and whether it is urgent. Accusations are reported at once and repeated every
    /// quarter of a second, their end is reported at once, and other measurements every two seconds while there is
    /// traffic.
    pub fn report(&mut self, now: Micros) -> Option<(Evidence, bool)> {
        let e = self.measure(now);
        let accuses = e.accusation_strength() > 0.0;
        let previous =
            self.last_report.map(|(evidence, at)| (evidence.accusation_strength() > 0.0, now - at));
        let urgent = accuses && previous.is_none_or(|(was, age)| !was || age >= SECOND / 4);
        let cleared = !accuses && previous.is_some_and(|(was, _)| was);
        let periodic = e.sent > 0 && previous.is_none_or(|(_, age)| age >= 2 * SECOND);
        if !(urgent || cleared || periodic) {
            return None;
        }
        self.last_report = Some((e, now));
        Some((e, urgent || cleared))
    }

    /// Whether the meter must be evaluated again soon.
    pub fn needs_evaluation(&self) -> bool {
        !self.outstanding.is_empty() || self.last_report.is_some_and(|t| t.0.accusation_strength() > 0.0)
    }

    fn idle(&self, now: Micros) -> bool {
        self.outstanding.is_empty() && self.seconds.back().is_none_or(|s| now.div_euclid(SECOND) - s.at >= 60)
    }
}

/// Measurements of all exchanges by this instance.
#[derive(Debug, Default)]
pub struct Meters {
    all: BTreeMap<Exchange, Meter>,
}

impl Meters {
    /// The meter of an exchange, created if needed; `None` if the limit is reached.
    pub fn get_or_create(&mut self, now: Micros, exchange: Exchange) -> Option<&mut Meter> {
        if !self.all.contains_key(&exchange) && self.all.len() >= MAX_METERS {
            self.all.retain(|_, m| !m.idle(now));
            if self.all.len() >= MAX_METERS {
                return None;
            }
        }
        Some(self.all.entry(exchange).or_default())
    }

    /// The existing meter of an exchange.
    pub fn get(&self, exchange: Exchange) -> Option<&Meter> {
        self.all.get(&exchange)
    }

    /// Iterates over all meters.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Exchange, &mut Meter)> {
        self.all.iter_mut().map(|(e, m)| (*e, m))
    }

    /// Whether any meter must be evaluated again soon.
    pub fn need_evaluation(&self) -> bool {
        self.all.values().any(Meter::needs_evaluation)
    }

    /// The measured exchanges.
    pub fn exchanges(&self) -> impl Iterator<Item = Exchange> + '_ {
        self.all.keys().copied()
    }
}

// ---- Reports of other instances ----

/// Measurements received from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Report {
    /// Incarnation of the reporter.
    pub incarnation: Incarnation,
    /// The measurements. Comparisons ignore the age, since the same report may arrive twice with different ages.
    pub evidence: Evidence,
    /// Time of measurement by the own clock.
    pub measured: Micros,
}

impl Report {
    fn rank(&self) -> (Incarnation, Evidence) {
        (self.incarnation, Evidence { age: 0, ..self.evidence })
    }
}

/// Reports of other instances. Of two reports by one instance on one exchange the later wins; for equal versions with
/// different contents the choice is deterministic. Merging therefore does not depend on order or repetition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    all: BTreeMap<(Exchange, MemberId), Report>,
}

impl Reports {
    /// Merges a report; returns whether it was newer than the stored one.
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

    /// Merges all reports of another store.
    pub fn merge_all(&mut self, other: &Reports) {
        for (&(exchange, from), &report) in &other.all {
            self.merge(exchange, from, report);
        }
    }

    /// The unexpired reports on an exchange.
    pub fn fresh(&self, now: Micros, exchange: Exchange) -> impl Iterator<Item = (MemberId, &Report)> + '_ {
        let range = (exchange, MemberId(0))..=(exchange, MemberId(u64::MAX));
        let unexpired = move |r: &(&(Exchange, MemberId), &Report)| now - r.1.measured < EVIDENCE_LIFETIME;
        self.all.range(range).filter(unexpired).map(|(key, r)| (key.1, r))
    }

    /// Removes expired reports and those of inactive members.
    pub fn expire(&mut self, now: Micros, is_active: impl Fn(MemberId) -> bool) {
        self.all.retain(|key, r| now - r.measured < EVIDENCE_LIFETIME && is_active(key.1));
    }

    /// The exchanges with reports.
    pub fn exchanges(&self) -> std::collections::BTreeSet<Exchange> {
        self.all.keys().map(|k| k.0).collect()
    }

    /// Number of reports.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_meter_accuses_silent_exchanges_but_not_slow_or_refusing_ones() {
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
        let (reported, urgent) = m.report(now + 200 * MILLI).unwrap();
        assert!(urgent && reported == e && m.report(now + 210 * MILLI).is_none());
        // A refusal is a response, and the end of the accusation is reported at once.
        m.set_up_refused(now + 220 * MILLI, 100);
        assert!(m
            .report(now + 220 * MILLI)
            .is_some_and(|(e, urgent)| urgent && e.accusation_strength() == 0.0));
        // Slow, but responding.
        for call in 200..260 {
            m.set_up_sent(now, call);
            m.set_up_answered(now, call - 10, 400 * MILLI);
            now += 60 * MILLI;
        }
        assert_eq!(m.measure(now).accusation_strength(), 0.0);
    }

    #[test]
    fn meters_and_reports_are_bounded() {
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
