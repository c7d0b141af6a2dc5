//! Alarms with hysteresis. An alarm is raised once its value has stayed at or above the raise threshold for the raise
//! delay, and cleared once it has stayed at or below the clear threshold for the clear delay. Values between the
//! thresholds change nothing, so an oscillating value does not make the alarm flap.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of alarms tracked at once. Bounds memory when the set of subjects grows without limit; alarms beyond
/// it are counted in [`Alarms::dropped`].
pub const MAX_ALARMS: usize = 256;

/// Severity of an alarm, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Needs attention, but not at once.
    Warning,
    /// Calls are being lost.
    Critical,
}

impl Severity {
    /// Returns the name used in views.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Warning => "warning",
            Severity::Critical => "critical",
        }
    }
}

/// Thresholds and delays that decide when an alarm is raised and cleared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmRule {
    /// The alarm is raised at or above this value.
    pub raise: f64,
    /// The alarm is cleared at or below this value.
    pub clear: f64,
    /// How long the value must stay at or above `raise` (µs).
    pub raise_delay: Micros,
    /// How long the value must stay at or below `clear` (µs).
    pub clear_delay: Micros,
    /// Severity of the alarm while it is raised.
    pub severity: Severity,
}

/// Identifies an alarm by kind and subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AlarmKey {
    /// The kind of alarm.
    pub kind: &'static str,
    /// The subject, such as an exchange; empty for an alarm about the whole site.
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
    /// At or above the raise threshold since the given time, not raised yet.
    Pending(Micros),
    /// Raised, and above the clear threshold.
    Raised,
    /// Raised, and at or below the clear threshold since the given time.
    Clearing(Micros),
}

/// A pending or raised alarm.
#[derive(Clone, Debug, PartialEq)]
pub struct Alarm {
    state: State,
    /// The rule last applied.
    pub rule: AlarmRule,
    /// When the alarm was raised.
    pub since: Micros,
    /// The value at the last evaluation.
    pub value: f64,
    /// The highest value since the alarm was raised.
    pub worst: f64,
    /// Description shown to operators.
    pub text: String,
    /// The operator who acknowledged the alarm, if any.
    pub acknowledged_by: Option<String>,
}

/// A change in the state of an alarm.
#[derive(Clone, Debug, PartialEq)]
pub enum AlarmChange {
    /// The alarm was raised.
    Raised(AlarmKey, Alarm),
    /// The alarm was cleared; the second value is how long it was raised.
    Cleared(AlarmKey, Micros),
}

/// All pending and raised alarms.
#[derive(Debug, Default)]
pub struct Alarms {
    all: BTreeMap<AlarmKey, Alarm>,
    /// Evaluations at or above the raise threshold that were not tracked because [`MAX_ALARMS`] alarms existed.
    pub dropped: u64,
}

impl Alarms {
    /// Evaluates a value against its rule and returns the change of state, if any. `text` is called only while the
    /// alarm is raised.
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

    /// Removes the alarms whose key is no longer current and returns a change for each that was raised.
    pub fn retain(&mut self, now: Micros, is_current: impl Fn(&AlarmKey) -> bool) -> Vec<AlarmChange> {
        let removed: Vec<AlarmKey> = self.all.keys().filter(|k| !is_current(k)).cloned().collect();
        let clear = |key: AlarmKey| {
            let alarm = self.all.remove(&key)?;
            let raised = !matches!(alarm.state, State::Pending(_));
            raised.then(|| AlarmChange::Cleared(key, now - alarm.since))
        };
        removed.into_iter().filter_map(clear).collect()
    }

    /// Records that an operator acknowledged the raised alarm with this name. Returns `false` if there is none.
    pub fn acknowledge(&mut self, name: &str, operator: &str) -> bool {
        let found = self.all.iter_mut().find(|(k, a)| a.raised() && k.to_string() == name);
        found.map(|(_, a)| a.acknowledged_by = Some(operator.to_owned())).is_some()
    }

    /// Returns the raised alarms, by descending severity and then by age, oldest first.
    pub fn raised(&self) -> Vec<(&AlarmKey, &Alarm)> {
        let mut raised: Vec<_> = self.all.iter().filter(|a| a.1.raised()).collect();
        raised.sort_by_key(|(_, a)| (std::cmp::Reverse(a.rule.severity), a.since));
        raised
    }
}

impl Alarm {
    /// Whether the alarm is raised.
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
    fn an_oscillating_value_raises_at_most_one_alarm() {
        // The value alternates around the raise threshold for ten minutes, never above it for the raise delay.
        assert!(run((0..600).map(|s| (s * SECOND, if s % 4 < 2 { 0.25 } else { 0.15 }))).is_empty());
        // Once raised, the alarm stays while the value swings from below the clear threshold to above the raise one.
        let raised = |s: i64| if s < 10 || s % 8 < 4 { 0.25 } else { 0.05 };
        assert_eq!(run((0..600).map(|s| (s * SECOND, raised(s)))), [(5, true)]);
        // It is cleared once, when the value has been low for the clear delay.
        let falling = |s: i64| if s < 10 { 0.3 } else { 0.0 };
        assert_eq!(run((0..600).map(|s| (s * SECOND, falling(s)))), [(5, true), (20, false)]);
    }

    #[test]
    fn alarms_are_bounded_acknowledged_and_cleared_with_their_subject() {
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
