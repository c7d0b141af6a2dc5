//! Alarms that do not flap. A value must be over its upper mark for a while before an alarm is raised, and under a
//! lower mark for a while before it is cleared; between the marks nothing changes.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Alarms kept at once. Guards memory against subjects that never end; more are counted.
pub const MOST: usize = 256;

/// How grave it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// To be looked at in time.
    Warning,
    /// Calls are lost.
    Critical,
}

impl Severity {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Warning => "warning",
            Severity::Critical => "critical",
        }
    }
}

/// When an alarm is raised and cleared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Raised at this value or over.
    pub raise: f64,
    /// Cleared at this value or under.
    pub clear: f64,
    /// It must be over for so long (µs).
    pub hold: Micros,
    /// It must be under for so long (µs).
    pub calm: Micros,
    /// How grave it is.
    pub severity: Severity,
}

/// What an alarm is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The kind.
    pub kind: &'static str,
    /// Of what; empty: of the whole.
    pub subject: String,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.subject.is_empty() {
            true => f.write_str(self.kind),
            false => write!(f, "{} {}", self.kind, self.subject),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Over the upper mark since then, and not raised yet.
    Pending(Micros),
    /// Raised.
    Raised,
    /// Raised, and under the lower mark since then.
    Clearing(Micros),
}

/// One alarm.
#[derive(Clone, Debug, PartialEq)]
pub struct Alarm {
    state: State,
    /// The rule that it is judged by.
    pub rule: Rule,
    /// When it was raised.
    pub since: Micros,
    /// The value at the last look.
    pub value: f64,
    /// The worst value since it was raised.
    pub worst: f64,
    /// What it says.
    pub text: String,
    /// Who has seen it.
    pub seen_by: Option<String>,
}

/// What became of an alarm.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It was raised.
    Raised(Key, Alarm),
    /// It was cleared, after so long.
    Cleared(Key, Micros),
}

/// All alarms.
#[derive(Debug, Default)]
pub struct Alarms {
    all: BTreeMap<Key, Alarm>,
    /// Raised ones that found no place.
    pub lost: u64,
}

impl Alarms {
    /// Looks at a value. `text` is only asked for when it is shown.
    pub fn look(
        &mut self,
        now: Micros,
        key: Key,
        value: f64,
        rule: Rule,
        text: impl FnOnce() -> String,
    ) -> Option<Change> {
        let (over, under) = (value >= rule.raise, value <= rule.clear);
        if !self.all.contains_key(&key) {
            if !over {
                return None;
            }
            if self.all.len() >= MOST {
                self.lost += 1;
                return None;
            }
        }
        let fresh = Alarm {
            state: State::Pending(now),
            rule,
            since: now,
            value,
            worst: value,
            text: String::new(),
            seen_by: None,
        };
        let alarm = self.all.entry(key.clone()).or_insert(fresh);
        (alarm.value, alarm.rule) = (value, rule);
        match alarm.state {
            State::Pending(_) if !over => drop(self.all.remove(&key)),
            State::Pending(since) if now - since >= rule.hold => {
                (alarm.state, alarm.since, alarm.worst) = (State::Raised, now, value);
                alarm.text = text();
                return Some(Change::Raised(key, alarm.clone()));
            }
            State::Pending(_) => {}
            State::Raised | State::Clearing(_) => {
                alarm.worst = alarm.worst.max(value);
                alarm.text = text();
                let since = match alarm.state {
                    State::Clearing(since) => since,
                    _ => now,
                };
                alarm.state = if under { State::Clearing(since) } else { State::Raised };
                if under && now - since >= rule.calm {
                    let raised = now - alarm.since;
                    self.all.remove(&key);
                    return Some(Change::Cleared(key, raised));
                }
            }
        }
        None
    }

    /// Forgets alarms whose subject is no longer there; those that were raised are cleared.
    pub fn retain(&mut self, now: Micros, there: impl Fn(&Key) -> bool) -> Vec<Change> {
        let gone: Vec<Key> = self.all.keys().filter(|k| !there(k)).cloned().collect();
        let clear = |key: Key| {
            let alarm = self.all.remove(&key)?;
            let raised = !matches!(alarm.state, State::Pending(_));
            raised.then(|| Change::Cleared(key, now - alarm.since))
        };
        gone.into_iter().filter_map(clear).collect()
    }

    /// Somebody has seen an alarm. `false`: there is none of this name.
    pub fn seen(&mut self, name: &str, who: &str) -> bool {
        let found = self.all.iter_mut().find(|(k, a)| a.raised() && k.to_string() == name);
        found.map(|(_, a)| a.seen_by = Some(who.to_owned())).is_some()
    }

    /// Those that are raised, the gravest first, then the oldest.
    pub fn raised(&self) -> Vec<(&Key, &Alarm)> {
        let mut raised: Vec<_> = self.all.iter().filter(|a| a.1.raised()).collect();
        raised.sort_by_key(|(_, a)| (std::cmp::Reverse(a.rule.severity), a.since));
        raised
    }
}

impl Alarm {
    /// Whether it is raised.
    pub fn raised(&self) -> bool {
        !matches!(self.state, State::Pending(_))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const RULE: Rule =
        Rule { raise: 0.2, clear: 0.1, hold: 5 * SECOND, calm: 10 * SECOND, severity: Severity::Warning };

    fn run(values: impl Iterator<Item = (Micros, f64)>) -> Vec<(Micros, bool)> {
        let (mut alarms, mut out) = (Alarms::default(), Vec::new());
        for (now, v) in values {
            let key = Key { kind: "refusals", subject: String::new() };
            match alarms.look(now, key, v, RULE, String::new) {
                Some(Change::Raised(..)) => out.push((now / SECOND, true)),
                Some(Change::Cleared(..)) => out.push((now / SECOND, false)),
                None => {}
            }
        }
        out
    }

    #[test]
    fn a_value_that_swings_about_its_mark_raises_one_alarm_at_the_most() {
        // Over and under the upper mark in turn, for ten minutes: never over it for long enough.
        assert!(run((0..600).map(|s| (s * SECOND, if s % 4 < 2 { 0.25 } else { 0.15 }))).is_empty());
        // Once raised, it stays while the value swings between under the lower mark and over the upper one.
        let raised = |s: i64| if s < 10 || s % 8 < 4 { 0.25 } else { 0.05 };
        assert_eq!(run((0..600).map(|s| (s * SECOND, raised(s)))), [(5, true)]);
        // And it is cleared once, when the value has been low for long enough.
        let falls = |s: i64| if s < 10 { 0.3 } else { 0.0 };
        assert_eq!(run((0..600).map(|s| (s * SECOND, falls(s)))), [(5, true), (20, false)]);
    }

    #[test]
    fn alarms_are_bounded_seen_and_cleared_with_their_subject() {
        let mut a = Alarms::default();
        let key = |n: usize| Key { kind: "silent", subject: format!("exchange:{n}") };
        for s in 0..=5 {
            (0..MOST + 9).for_each(|n| drop(a.look(s * SECOND, key(n), 1.0, RULE, || "x".into())));
        }
        assert_eq!((a.raised().len(), a.lost), (MOST, 9 * 6));
        assert!(a.seen("silent exchange:3", "t") && !a.seen("silent exchange:9999", "t"));
        assert_eq!(a.retain(9 * SECOND, |k| k.subject == "exchange:3").len(), MOST - 1);
        assert_eq!(a.raised()[0].1.seen_by.as_deref(), Some("t"));
    }
}
