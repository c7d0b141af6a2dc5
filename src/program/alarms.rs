//! What is looked at each second, and from which value on it is an alarm.

use super::appliance_file::AlarmThresholds;
use super::views::Scene;
use crate::routing::interface::Micros;
use walnuthatch_drains::drain::State;
use walnuthatch_drains::plan::Stage;
use walnuthatch_drains::registry::DrainRegistry;
use walnuthatch_metrics::alarms::{AlarmKey, AlarmRule, Severity};
use walnuthatch_metrics::service::ServiceWindows;

/// When alarms are raised.
pub type Marks = AlarmThresholds;

/// With fewer calls than this in its window a share says nothing.
const FEW: u32 = 20;

/// A value to be looked at.
pub struct Look {
    /// What it is of.
    pub key: AlarmKey,
    /// The value.
    pub value: f64,
    /// How it is judged.
    pub rule: AlarmRule,
    /// What an alarm would say.
    pub text: String,
}

/// All values as they are now.
pub fn looks(
    marks: &Marks,
    scene: &Scene<'_>,
    service: &ServiceWindows,
    book: &DrainRegistry,
    wall: Micros,
) -> Vec<Look> {
    let mut out = Vec::new();
    let rule = |raise: f64, clear: f64, severity| AlarmRule {
        raise,
        clear,
        raise_delay: marks.raise_delay,
        clear_delay: marks.clear_delay,
        severity,
    };
    // A state that is so or not; the holds are for values that swing.
    let at_once = |severity| AlarmRule { raise: 1.0, clear: 0.0, raise_delay: 0, clear_delay: 0, severity };
    let mut add = |kind, subject: String, value: f64, rule, text: String| {
        out.push(Look { key: AlarmKey { kind, subject }, value, rule, text });
    };
    let [short, minute, _] = service.windows();
    let missed =
        minute.share_within_objective().filter(|_| minute.answered() >= FEW).map_or(0.0, |share| 1.0 - share);
    let mark = 1.0 - marks.min_within_objective;
    let text = format!("{:.0}% of the last minute's calls stand within the aim", (1.0 - missed) * 100.0);
    add("service", String::new(), missed, rule(mark.max(0.001), mark * 0.7, Severity::Critical), text);
    let refused = match short.answered() {
        n if n >= FEW => f64::from(short.refused()) / f64::from(n),
        _ => 0.0,
    };
    let text = format!("{:.0}% of the last 10 s's calls are refused", refused * 100.0);
    let mark = marks.max_refused_share.max(0.001);
    add("refusals", String::new(), refused, rule(mark, mark * 0.7, Severity::Warning), text);
    for e in scene.exchanges() {
        let name = format!("exchange:{}", e.exchange);
        if e.listed == "ready" {
            // Without a connection figures grow old too, but one that never told any has no age.
            let age = e.report_age_ms.map(|ms| ms as f64 * 1000.0);
            let quiet = if e.connected { 0.0 } else { age.unwrap_or((scene.now - scene.born) as f64) };
            let text = format!("no connection to {} at {} for {:.0} s", e.member, e.address, quiet / 1e6);
            let silent = AlarmRule {
                raise_delay: 0,
                ..rule(marks.unresponsive_after as f64, 0.0, Severity::Critical)
            };
            add("unreachable", format!("{name} {}", e.member), quiet, silent, text);
        }
        if let (Some(free), Some(size)) = (e.free, e.size.filter(|s| *s >= 1.0)) {
            let busy = 1.0 - free.max(0.0) / size;
            let text = format!("{:.0} of {size:.0} circuits are busy", size - free.max(0.0));
            let mark = marks.max_busy_share;
            add(
                "group",
                format!("{name} {}", e.member),
                busy,
                rule(mark, mark * 0.95, Severity::Warning),
                text,
            );
        }
    }
    for d in book.drains() {
        let stuck = matches!(d.state, State::Failed | State::Expired);
        let text = format!("{}: {} calls still stand there", d.state.name(), d.load.established);
        add("drain", d.target.to_string(), f64::from(u8::from(stuck)), at_once(Severity::Warning), text);
    }
    for w in book.windows() {
        let begun = book.drains().iter().any(|d| d.window.as_ref().is_some_and(|x| x.0 == w.name));
        let denied = w.open_at(wall).is_some() && !begun && book.window_denied(&w.name);
        let text = "it is open, and its drain was turned down: see the events".to_owned();
        add("window", w.name.clone(), f64::from(u8::from(denied)), at_once(Severity::Warning), text);
    }
    if let Some(Stage::Halted(why)) = book.plan().map(|p| &p.stage) {
        // One that somebody halted is known to be.
        let by_itself = f64::from(u8::from(!why.starts_with("halted by")));
        add("round", String::new(), by_itself, at_once(Severity::Warning), format!("halted: {why}"));
    }
    let text = "drains that are in force would not survive a restart".to_owned();
    add("unsaved", String::new(), f64::from(u8::from(book.unsaved())), at_once(Severity::Warning), text);
    out
}
