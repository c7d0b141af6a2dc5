//! The alarm conditions: the values that are checked each second, and the thresholds at which they raise an alarm.

use super::appliance_file::AlarmThresholds;
use super::views::Snapshot;
use crate::routing::interface::Micros;
use walnuthatch_drains::drain::State;
use walnuthatch_drains::plan::Stage;
use walnuthatch_drains::registry::DrainRegistry;
use walnuthatch_metrics::alarms::{AlarmKey, AlarmRule, Severity};
use walnuthatch_metrics::service::ServiceWindows;

/// The configured alarm thresholds.
pub type Thresholds = AlarmThresholds;

/// Minimum number of calls in a window for its shares to be meaningful.
const MIN_CALLS: u32 = 20;

/// A value to check against its alarm rule.
pub struct Observation {
    /// The alarm that the value belongs to.
    pub key: AlarmKey,
    /// The current value.
    pub value: f64,
    /// The thresholds, delays and severity of the alarm.
    pub rule: AlarmRule,
    /// The text of the alarm, should it be raised.
    pub text: String,
}

/// Computes the current values of all alarm conditions.
pub fn evaluate(
    thresholds: &Thresholds,
    snapshot: &Snapshot<'_>,
    service: &ServiceWindows,
    registry: &DrainRegistry,
    wall: Micros,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    let rule = |raise: f64, clear: f64, severity| AlarmRule {
        raise,
        clear,
        raise_delay: thresholds.raise_delay,
        clear_delay: thresholds.clear_delay,
        severity,
    };
    // For conditions that either hold or not: the delays are meant for values that fluctuate.
    let immediate = |severity| AlarmRule { raise: 1.0, clear: 0.0, raise_delay: 0, clear_delay: 0, severity };
    let mut add = |kind, subject: String, value: f64, rule, text: String| {
        observations.push(Observation { key: AlarmKey { kind, subject }, value, rule, text });
    };
    let [short, minute, _] = service.windows();
    let missed = minute
        .share_within_objective()
        .filter(|_| minute.answered() >= MIN_CALLS)
        .map_or(0.0, |share| 1.0 - share);
    let threshold = 1.0 - thresholds.min_within_objective;
    let text = format!("{:.0}% of the last minute's calls stand within the aim", (1.0 - missed) * 100.0);
    add(
        "service",
        String::new(),
        missed,
        rule(threshold.max(0.001), threshold * 0.7, Severity::Critical),
        text,
    );
    let refused = match short.answered() {
        n if n >= MIN_CALLS => f64::from(short.refused()) / f64::from(n),
        _ => 0.0,
    };
    let text = format!("{:.0}% of the last 10 s's calls are refused", refused * 100.0);
    let threshold = thresholds.max_refused_share.max(0.001);
    add("refusals", String::new(), refused, rule(threshold, threshold * 0.7, Severity::Warning), text);
    for e in snapshot.exchanges() {
        let name = format!("exchange:{}", e.exchange);
        if e.listed == "ready" {
            // While disconnected, the age of the last report is the time without a connection; an exchange that has
            // never reported has no age, so the time since the start is used.
            let age = e.report_age_ms.map(|ms| ms as f64 * 1000.0);
            let disconnected =
                if e.connected { 0.0 } else { age.unwrap_or((snapshot.now - snapshot.started_at) as f64) };
            let text =
                format!("no connection to {} at {} for {:.0} s", e.member, e.address, disconnected / 1e6);
            let rule = AlarmRule {
                raise_delay: 0,
                ..rule(thresholds.unresponsive_after as f64, 0.0, Severity::Critical)
            };
            add("unreachable", format!("{name} {}", e.member), disconnected, rule, text);
        }
        if let (Some(free), Some(size)) = (e.free, e.size.filter(|s| *s >= 1.0)) {
            let busy = 1.0 - free.max(0.0) / size;
            let text = format!("{:.0} of {size:.0} circuits are busy", size - free.max(0.0));
            let threshold = thresholds.max_busy_share;
            add(
                "group",
                format!("{name} {}", e.member),
                busy,
                rule(threshold, threshold * 0.95, Severity::Warning),
                text,
            );
        }
    }
    for d in registry.drains() {
        let stuck = matches!(d.state, State::Failed | State::Expired);
        let text = format!("{}: {} calls still stand there", d.state.name(), d.load.established);
        add("drain", d.target.to_string(), f64::from(u8::from(stuck)), immediate(Severity::Warning), text);
    }
    for w in registry.windows() {
        let started = registry.drains().iter().any(|d| d.window.as_ref().is_some_and(|x| x.0 == w.name));
        let denied = w.open_at(wall).is_some() && !started && registry.window_denied(&w.name);
        let text = "it is open, and its drain was turned down: see the events".to_owned();
        add("window", w.name.clone(), f64::from(u8::from(denied)), immediate(Severity::Warning), text);
    }
    if let Some(Stage::Halted(reason)) = registry.plan().map(|p| &p.stage) {
        // A round that an operator halted raises no alarm: the operators know of it.
        let halted_automatically = f64::from(u8::from(!reason.starts_with("halted by")));
        add(
            "round",
            String::new(),
            halted_automatically,
            immediate(Severity::Warning),
            format!("halted: {reason}"),
        );
    }
    let text = "drains that are in force would not survive a restart".to_owned();
    add(
        "unsaved",
        String::new(),
        f64::from(u8::from(registry.unsaved())),
        immediate(Severity::Warning),
        text,
    );
    observations
}
