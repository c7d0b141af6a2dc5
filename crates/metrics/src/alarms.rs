//! Alarms that do not flap. A value must be over its upper mark for a while before an alarm is raised, and under a
//! lower mark for a while before it is cleared; between the marks nothing changes.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Alarms kept at once. Guards memory against subjects that never end; more are counted.
pub const MAX_ALARMS: usize = 256;

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
pub struct AlarmRule {
    /// Raised at this value or over.
    pub raise: f64,
    /// Cleared at this value or under.
    pub clear: f64,
    /// It must be over for so long (µs).
    pub raise_delay: Micros,
    /// It must be under for so long (µs).
    pub clear_delay: Micros,
    /// How grave it is.
    pub severity: Severity,
}

/// What an alarm is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AlarmKey {
    /// The kind.
    pub kind: &'static str,
    /// Of what; empty: of the whole.
    pub subject: String,
}

impl fmt::Display for AlarmKey {
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
    pub rule: AlarmRule,
    /// When it was raised.
    pub since: Micros,
    /// The value at the last look.
    pub value: f64,
    /// The worst value since it was raised.
    pub worst: f64,
    /// What it says.
    pub text: String,
    /// Who has seen it.
    pub acknowledged_by: Option<String>,
}

/// What became of an alarm.
#[derive(Clone, Debug, PartialEq)]
pub enum AlarmChange {
    /// It was raised.
    Raised(AlarmKey, Alarm),
    /// It was cleared, after so long.
    Cleared(AlarmKey, Micros),
}

/// All alarms.
#[derive(Debug, Default)]
pub struct Alarms {
    all: BTreeMap<AlarmKey, Alarm>,
    /// Raised ones that found no place.
    pub dropped: u64,
}

impl Alarms {
    /// Looks at a value. `text` is only asked for when it is shown.
    pub fn evaluate(
        &mut self,
        now: Micros,
        key: AlarmKey,
        value: f64,
        rule: AlarmRule,
        text: impl FnOnce() -> String,
    ) -> Option<AlarmChange> {
        let (over, under) = (value >= rule.raise, value <= rule.clear);
        if !self.all.contains_key(&key) {
            if !over {
                return None;
            }
            if self.all.len() >= MAX_ALARMS {
                self.dropped += 1;
                return None;
            }
        }
        let new_alarm = Alarm {
            state: State::Pending(now),
            rule,
            since: now,
            value,
            worst: value,
            text: String::new(),
            acknowledged_by: None,
        };
        let alarm = self.all.entry(key.clone()).or_insert(new_alarm);
        (alarm.value, alarm.rule) = (value, rule);
        match alarm.state {
            State::Pending(_) if !over => drop(self.all.remove(&key)),
            State::Pending(since) if now - since >= rule.raise_delay => {
                (alarm.state, alarm.since, alarm.worst) = (State::Raised, now, value);
                alarm.text = text();
                return Some(AlarmChange::Raised(key, alarm.clone()));
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
                if under && now - since >= rule.clear_delay {
                    let raised_for = now - alarm.since;
                    self.all.remove(&key);
                    return Some(AlarmChange::Cleared(key, raised_for));
                }
            }
        }
        None
    }

    /// Forgets alarms whose subject is no longer there; those that were raised are cleared.
    pub fn retain(&mut self, now: Micros, is_current: impl Fn(&AlarmKey) -> bool) -> Vec<AlarmChange> {
        let removed: Vec<AlarmKey> = self.all.keys().filter(|k| !is_current(k)).cloned().collect();
        let clear = |key: AlarmKey| {
            let alarm = self.all.remove(&key)?;
            let raised = !matches!(alarm.state, State::Pending(_));
            raised.then(|| AlarmChange::Cleared(key, now - alarm.since))
        };
        removed.into_iter().filter_map(clear).collect()
    }

    /// Somebody has seen an alarm. `false`: there is none of this name.
    pub fn acknowledge(&mut self, name: &str, operator: &str) -> bool {
        let found = self.all.iter_mut().find(|(k, a)| a.raised() && k.to_string() == name);
        found.map(|(_, a)| a.acknowledged_by = Some(operator.to_owned())).is_some()
    }

    /// Those that are raised, the gravest first, then the oldest.
    pub fn raised(&self) -> Vec<(&AlarmKey, &Alarm)> {
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

    const RULE: AlarmRule = AlarmRule {
        raise: 0.2,
        clear: 0.1,
        raise_delay: 5 * SECOND,
        clear_delay: 10 * SECOND,
        severity: Severity::Warning,
    };

    fn run(values: impl Iterator<Item = (Micros, f64)>) -> Vec<(Micros, bool)> {
        let (mut alarms, mut changes) = (Alarms::default(), Vec::new());
        for (now, v) in values {
            let key = AlarmKey { kind: "refusals", subject: String::new() };
            match alarms.evaluate(now, key, v, RULE, String::new) {
                Some(AlarmChange::Raised(..)) => changes.push((now / SECOND, true)),
                Some(AlarmChange::Cleared(..)) => changes.push((now / SECOND, false)),
                None => {}
            }
        }
        changes
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
        let key = |n: usize| AlarmKey { kind: "silent", subject: format!("exchange:{n}") };
        for s in 0..=5 {
            (0..MAX_ALARMS + 9).for_each(|n| drop(a.evaluate(s * SECOND, key(n), 1.0, RULE, || "x".into())));
        }
        assert_eq!((a.raised().len(), a.dropped), (MAX_ALARMS, 9 * 6));
        assert!(a.acknowledge("silent exchange:3", "t") && !a.acknowledge("silent exchange:9999", "t"));
        assert_eq!(a.retain(9 * SECOND, |k| k.subject == "exchange:3").len(), MAX_ALARMS - 1);
        assert_eq!(a.raised()[0].1.acknowledged_by.as_deref(), Some("t"));
    }
}
