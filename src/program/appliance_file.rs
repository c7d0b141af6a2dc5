//! The appliance's file, `deploy/appliance.toml`: its form, and the checks of it. All faults are told at once, each
//! with its line, its key, what was found and what was expected.
//!
//! The form is a schema derived from the types below, which `walnuthatch config schema` prints; what a schema can't
//! say, such as two exchanges of one number, is checked after it.

use super::config::MgcpConfig;
use super::toml_check::{self, Checker, Fault};
use crate::routing::interface::{ExchangeNumber, Micros};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::PathBuf;
use walnuthatch_drains::drain::AtLimit;
use walnuthatch_drains::policy::Policy;
use walnuthatch_drains::target::Target;
use walnuthatch_drains::windows::{Schedule, Window};
use walnuthatch_drains::SECOND;

/// Where the file lies, from the folder that the program is started in.
pub const FILE: &str = "deploy/appliance.toml";

/// The appliance's file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ApplianceFile {
    /// Whether anything in this file counts.
    pub enabled: bool,
    /// The control socket.
    pub control: ControlFile,
    /// The state that survives.
    pub state: StateFile,
    /// The log.
    pub log: LogFile,
    /// What may be drained.
    pub drains: DrainsFile,
    /// When alarms are raised.
    pub alarms: AlarmsFile,
    /// Where exchanges may be.
    pub network: NetworkFile,
    /// The site, where no platform tells it.
    pub site: Option<SiteFile>,
    /// Classes of call, where no platform tells them.
    pub class: Vec<ClassFile>,
    /// Exchanges that no coordinator tells of.
    pub exchange: Vec<ExchangeFile>,
    /// Trunk groups between other exchanges.
    pub group: Vec<GroupFile>,
    /// Maintenance windows.
    pub window: Vec<WindowFile>,
}

/// `[control]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ControlFile {
    /// The path of the control socket; without one there is none.
    #[schemars(length(min = 1, max = 100))]
    pub socket: Option<String>,
}

/// `[state]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StateFile {
    /// The folder for drains and the audit log; without one nothing is written.
    #[schemars(length(min = 1))]
    pub folder: Option<String>,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `walnuthatch: ` and the message.
    #[default]
    Plain,
    /// The same with time, level and target.
    Text,
    /// A JSON object a line.
    Json,
}

/// `[log]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogFile {
    /// What is logged, as `info,walnuthatch::drains=debug`.
    pub filter: Option<String>,
    /// The form.
    pub format: Option<LogFormat>,
}

/// `[drains]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainsFile {
    /// Exchanges and groups drained at once, without force.
    #[schemars(range(min = 1, max = 64))]
    pub most_at_once: Option<u32>,
    /// Limit of a drain that names none (s); 0: no limit.
    #[schemars(range(min = 0, max = 604800))]
    pub usual_limit_s: Option<u32>,
    /// The longest limit that may be asked for (s).
    #[schemars(range(min = 1, max = 31536000))]
    pub longest_s: Option<u32>,
    /// Share of calls that a remaining group may block by estimate.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub most_blocking: Option<f64>,
    /// A drain ends by itself if the share of calls well served falls by more than this as it takes hold; 1: never.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub guard_margin: Option<f64>,
    /// For how long that is watched (s).
    #[schemars(range(min = 0, max = 3600))]
    pub guard_s: Option<u32>,
    /// Whether a reason must be given.
    pub reason_needed: Option<bool>,
    /// How long this controller takes calls after its own drain has begun (ms).
    #[schemars(range(min = 0, max = 600000))]
    pub own_grace_ms: Option<u32>,
}

/// `[alarms]`
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AlarmsFile {
    /// Share of the last minute's calls that stand within the aim, under which it is critical.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub in_aim_under: f64,
    /// Share of the last 10 s's calls that are refused, from which on it is a warning.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub refused_over: f64,
    /// An exchange without a connection, or without figures, for so long is a warning (s).
    #[schemars(range(min = 1, max = 86400))]
    pub silent_s: u32,
    /// Share of a group's circuits that are busy, from which on it is a warning.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub busy_over: f64,
    /// For how long that must be so before an alarm is raised (s).
    #[schemars(range(min = 0, max = 3600))]
    pub hold_s: u32,
    /// For how long it must be well again before it is cleared (s).
    #[schemars(range(min = 0, max = 3600))]
    pub calm_s: u32,
}

impl Default for AlarmsFile {
    fn default() -> Self {
        AlarmsFile {
            in_aim_under: 0.9,
            refused_over: 0.2,
            silent_s: 5,
            busy_over: 0.95,
            hold_s: 5,
            calm_s: 20,
        }
    }
}

/// `[network]`
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkFile {
    /// Networks in which listening addresses and exchanges may be.
    #[schemars(length(min = 1))]
    pub allowed: Vec<String>,
}

impl Default for NetworkFile {
    fn default() -> Self {
        NetworkFile { allowed: vec!["127.0.0.0/8".into(), "::1/128".into()] }
    }
}

/// `[site]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteFile {
    /// The controller's name.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where callers connect.
    pub listen: String,
    /// The exchange that this controller runs in.
    pub own_exchange: u16,
    /// Quiet time after an unclear end (ms).
    #[schemars(range(min = 0, max = 60000))]
    pub release_ms: Option<u32>,
    /// How long a draining exchange may be sent to (ms).
    #[schemars(range(min = 0, max = 60000))]
    pub drain_grace_ms: Option<u32>,
    /// Most attempts for a call.
    #[schemars(range(min = 1, max = 100))]
    pub try_limit: Option<u32>,
    /// The longest pause that callers follow (ms).
    #[schemars(range(min = 0, max = 600000))]
    pub longest_pause_ms: Option<u32>,
}

/// `[[class]]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassFile {
    /// Its name on the wire.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Within this time a call ought to stand (ms).
    #[schemars(range(min = 1, max = 600000))]
    pub aim_ms: u32,
    /// How long a caller goes on trying (ms).
    #[schemars(range(min = 1, max = 3600000))]
    pub give_up_ms: u32,
}

/// `[[exchange]]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExchangeFile {
    /// The name of the machine that serves it.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Its number.
    pub exchange: u16,
    /// Its address and port.
    pub address: String,
    /// Numbers that begin so are its, for calls from gateways.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// `[[group]]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupFile {
    /// One end, by the exchange's number.
    pub from: u16,
    /// The other.
    pub to: u16,
}

/// What happens at a window's end to what is still there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum AtEnd {
    /// The target goes back into service.
    #[default]
    Restore,
    /// It stays out of service until somebody ends the drain.
    Keep,
    /// What is left is cut, and it stays out of service.
    Cut,
}

/// A day of the week.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Day {
    Mon,
    Tue,
    Wed,
    Thu,
    Fri,
    Sat,
    Sun,
}

/// `[[window]]`
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WindowFile {
    /// Its name.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// `exchange:NUMBER`, `group:NUMBER` or `controller`.
    pub target: String,
    /// Once, from this moment on, as `2026-12-01T02:00:00Z`.
    pub once: Option<String>,
    /// On these days of the week.
    #[serde(default)]
    pub days: Vec<Day>,
    /// From this time of day on, UTC, as `02:00`.
    pub at: Option<String>,
    /// For how long.
    #[schemars(range(min = 1, max = 10080))]
    pub minutes: u32,
    /// What happens at its end.
    #[serde(default)]
    pub at_end: AtEnd,
    /// Override the policy.
    #[serde(default)]
    pub force: bool,
}

/// What the appliance is told.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplianceConfig {
    /// The control socket.
    pub control_socket: Option<PathBuf>,
    /// The state folder.
    pub state_folder: Option<PathBuf>,
    /// What is logged.
    pub log_filter: Option<String>,
    /// How.
    pub log_format: Option<LogFormat>,
    /// What may be drained.
    pub policy: Policy,
    /// Maintenance windows.
    pub windows: Vec<Window>,
    /// When alarms are raised.
    pub alarms: AlarmThresholds,
    /// Trunk groups between other exchanges; empty: not known.
    pub trunk_groups: BTreeSet<(ExchangeNumber, ExchangeNumber)>,
    /// The whole list of exchanges, as a coordinator would tell it.
    pub exchange_list: Option<String>,
    /// Prefixes of numbers, and whose they are.
    pub prefixes: Vec<(String, ExchangeNumber)>,
    /// All that a platform would tell, if the file has a site.
    pub site_config: Option<Value>,
}

/// When alarms are raised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmThresholds {
    /// Share within the aim.
    pub min_within_objective: f64,
    /// Share refused.
    pub max_refused_share: f64,
    /// Time without a sign of an exchange.
    pub unresponsive_after: Micros,
    /// Share of a group busy.
    pub max_busy_share: f64,
    /// Time before one is raised.
    pub raise_delay: Micros,
    /// Time before one is cleared.
    pub clear_delay: Micros,
}

/// The schema of the file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(ApplianceFile)).unwrap_or_default()
}

/// Reads and checks the file; `None` where it leaves the appliance off.
///
/// # Errors
/// All faults that were found, in the order of their lines.
pub fn read(file: &str, text: &str) -> Result<Option<ApplianceConfig>, Vec<Fault>> {
    let Some((mut c, parsed)) = toml_check::read::<ApplianceFile>(file, text, &schema())? else {
        return Ok(None);
    };
    let config = build(&mut c, parsed);
    c.end(Some(config))
}

fn build(c: &mut Checker<'_>, f: ApplianceFile) -> ApplianceConfig {
    let nets = c.networks("network.allowed", &f.network.allowed);
    if let Some(socket) = &f.control.socket {
        if !PathBuf::from(socket).is_absolute() {
            c.add("control.socket", format!("found {socket:?}, expected a path that begins with /"));
        }
    }
    if let Some(filter) = &f.log.filter {
        if let Err(e) = filter.parse::<tracing_subscriber::EnvFilter>() {
            c.add(
                "log.filter",
                format!("found {filter:?}, expected a filter, as info,walnuthatch::drains=debug: {e}"),
            );
        }
    }
    let (exchange_list, prefixes) = exchanges(c, &f, &nets);
    let known: BTreeSet<u16> = f.exchange.iter().map(|e| e.exchange).collect();
    let mut trunk_groups = BTreeSet::new();
    for (i, g) in f.group.iter().enumerate() {
        for (name, end) in [("from", g.from), ("to", g.to)] {
            if !known.contains(&end) && !known.is_empty() {
                c.add(
                    format!("group.{i}.{name}"),
                    format!("found {end}, expected the number of an [[exchange]]"),
                );
            }
        }
        if g.from == g.to {
            c.add(format!("group.{i}.to"), format!("found {}, the same exchange at both ends", g.to));
        }
        trunk_groups.insert((ExchangeNumber(g.from), ExchangeNumber(g.to)));
        trunk_groups.insert((ExchangeNumber(g.to), ExchangeNumber(g.from)));
    }
    let windows = windows(c, &f.window);
    let usual = Policy::default();
    let d = &f.drains;
    let longest = d.longest_s.map_or(usual.max_limit, |s| Micros::from(s) * SECOND);
    let usual_limit = d.usual_limit_s.filter(|s| *s > 0).map(|s| Micros::from(s) * SECOND);
    if usual_limit.is_some_and(|l| l > longest) {
        c.add("drains.usual_limit_s", "longer than drains.longest_s");
    }
    let policy = Policy {
        max_concurrent: d.most_at_once.map_or(usual.max_concurrent, |n| n as usize),
        default_limit: usual_limit,
        max_limit: longest,
        max_blocking: d.most_blocking.unwrap_or(usual.max_blocking),
        guard_margin: d.guard_margin.unwrap_or(usual.guard_margin),
        guard_period: d.guard_s.map_or(usual.guard_period, |s| Micros::from(s) * SECOND),
        reason_required: d.reason_needed.unwrap_or(usual.reason_required),
        controller_grace: d.own_grace_ms.map_or(usual.controller_grace, |ms| Micros::from(ms) * 1000),
        ..usual
    };
    let site_config = site_config(c, &f, &nets);
    let a = &f.alarms;
    ApplianceConfig {
        control_socket: f.control.socket.clone().map(PathBuf::from),
        state_folder: f.state.folder.clone().map(PathBuf::from),
        log_filter: f.log.filter.clone(),
        log_format: f.log.format,
        policy,
        windows,
        alarms: AlarmThresholds {
            min_within_objective: a.in_aim_under,
            max_refused_share: a.refused_over,
            unresponsive_after: Micros::from(a.silent_s) * SECOND,
            max_busy_share: a.busy_over,
            raise_delay: Micros::from(a.hold_s) * SECOND,
            clear_delay: Micros::from(a.calm_s) * SECOND,
        },
        trunk_groups,
        exchange_list,
        prefixes,
        site_config,
    }
}

fn exchanges(
    c: &mut Checker<'_>,
    f: &ApplianceFile,
    nets: &[IpNet],
) -> (Option<String>, Vec<(String, ExchangeNumber)>) {
    let (mut members, mut prefixes) = (Vec::new(), Vec::<(String, ExchangeNumber)>::new());
    for (i, e) in f.exchange.iter().enumerate() {
        let key = |name: &str| format!("exchange.{i}.{name}");
        let before = &f.exchange[..i];
        if before.iter().any(|o| o.name == e.name) {
            c.add(key("name"), format!("found {:?}, which another [[exchange]] has already", e.name));
        }
        if before.iter().any(|o| o.exchange == e.exchange) {
            c.add(key("exchange"), format!("found {}, which another [[exchange]] has already", e.exchange));
        }
        if f.site.as_ref().is_some_and(|s| s.own_exchange == e.exchange) {
            c.add(key("exchange"), format!("found {}, which is site.own_exchange", e.exchange));
        }
        let address = c.address(&key("address"), &e.address, nets);
        if address.is_some() && before.iter().any(|o| o.address == e.address) {
            c.add(key("address"), format!("found {:?}, which another [[exchange]] has already", e.address));
        }
        for p in &e.prefixes {
            overlap(c, &key("prefixes"), p, &prefixes);
            prefixes.push((p.clone(), ExchangeNumber(e.exchange)));
        }
        members.push(json!({"id": e.name, "host_port": e.address, "cell": e.exchange, "phase": "up"}));
    }
    let list = json!({"index": 0, "endpoints": {"complete": true, "members": members}});
    ((!f.exchange.is_empty()).then(|| list.to_string()), prefixes)
}

/// A number must be one exchange's: no prefix may be the beginning of another.
fn overlap(c: &mut Checker<'_>, key: &str, prefix: &str, others: &[(String, ExchangeNumber)]) {
    if prefix.is_empty() || !prefix.bytes().all(|b| b.is_ascii_digit()) {
        c.add(key, format!("found {prefix:?}, expected digits"));
    } else if let Some(o) = others.iter().find(|o| o.0.starts_with(prefix) || prefix.starts_with(&o.0)) {
        c.add(key, format!("found {prefix:?}, which overlaps with {:?} of exchange {}", o.0, o.1 .0));
    }
}

/// Checks the prefixes of the appliance's file against those of the gateways' file.
///
/// # Errors
/// The faults, by the keys of the appliance's file.
pub fn against_gateways(file: &str, a: &ApplianceConfig, m: &MgcpConfig) -> Result<(), Vec<Fault>> {
    let mut c = Checker::without_text(file);
    let own = m.agent.gateways.iter().map(|g| (g.prefix.clone(), g.exchange));
    let theirs: Vec<_> = own.chain(m.agent.routes.iter().cloned()).filter(|p| !p.0.is_empty()).collect();
    for (prefix, _) in &a.prefixes {
        overlap(&mut c, "exchange.prefixes", prefix, &theirs);
    }
    c.end(())
}

fn windows(c: &mut Checker<'_>, all: &[WindowFile]) -> Vec<Window> {
    let mut out: Vec<Window> = Vec::new();
    for (i, w) in all.iter().enumerate() {
        let key = |name: &str| format!("window.{i}.{name}");
        if all[..i].iter().any(|o| o.name == w.name) {
            c.add(key("name"), format!("found {:?}, which another [[window]] has already", w.name));
        }
        let target = w.target.parse::<Target>().map_err(|e| c.add(key("target"), e)).ok();
        let length = Micros::from(w.minutes) * 60 * SECOND;
        let schedule = match (&w.once, &w.at, w.days.is_empty()) {
            (Some(once), None, true) => match once.parse::<jiff::Timestamp>() {
                Ok(t) => Some(Schedule::Once(t.as_microsecond())),
                Err(_) => {
                    c.add(key("once"), format!("found {once:?}, expected a moment, as 2026-12-01T02:00:00Z"));
                    None
                }
            },
            (None, Some(at), false) => match at.parse::<jiff::civil::Time>() {
                Ok(t) => {
                    let mut days = [false; 7];
                    w.days.iter().for_each(|d| days[*d as usize] = true);
                    let from = (Micros::from(t.hour()) * 60 + Micros::from(t.minute())) * 60 * SECOND;
                    Some(Schedule::Weekly { days, from })
                }
                Err(_) => {
                    c.add(key("at"), format!("found {at:?}, expected a time of day, as 02:00"));
                    None
                }
            },
            _ => {
                c.add(format!("window.{i}"), "expected either once, or days and at");
                None
            }
        };
        let (Some(target), Some(schedule)) = (target, schedule) else { continue };
        let at_end = match w.at_end {
            AtEnd::Restore => AtLimit::Restore,
            AtEnd::Keep => AtLimit::Keep,
            AtEnd::Cut => AtLimit::Cut,
        };
        out.push(Window { name: w.name.clone(), target, schedule, length, at_end, force: w.force });
    }
    out
}

/// What a platform would tell, from the site that the file describes.
fn site_config(c: &mut Checker<'_>, f: &ApplianceFile, nets: &[IpNet]) -> Option<Value> {
    let Some(site) = &f.site else {
        if !f.class.is_empty() {
            c.add("class", "expected a [site] with it");
        }
        return None;
    };
    c.address("site.listen", &site.listen, nets);
    if f.class.is_empty() {
        c.add("site", "expected a [[class]] with it");
    }
    for (i, k) in f.class.iter().enumerate() {
        if f.class[..i].iter().any(|o| o.name == k.name) {
            c.add(
                format!("class.{i}.name"),
                format!("found {:?}, which another [[class]] has already", k.name),
            );
        }
    }
    let class = |k: &ClassFile| {
        json!({"name": k.name, "aim": k.aim_ms, "giveUp": k.give_up_ms, "effect": "retryable",
            "lateWorth": 0.25, "worth": 1.0, "stream": true})
    };
    let classes: Vec<Value> = f.class.iter().map(class).collect();
    Some(json!({
        "name": site.name,
        "listen": site.listen,
        "settings": {
            "classes": classes,
            "extra": {"ownExchange": site.own_exchange, "release": site.release_ms.unwrap_or(500), "shape": "meshed"},
            "limits": {"tryLimit": site.try_limit.unwrap_or(4), "mayCancel": true,
                "maxRetryAfter": site.longest_pause_ms.unwrap_or(2000), "connectTimeout": 500.0},
            "report": {"how": "answers", "fields": ["spare", "total", "avg_ms", "allowed"]},
            "rules": {"stopSendingWithin": site.drain_grace_ms.unwrap_or(250), "cold": 15000.0, "coldFrom": 0.35,
                "fall": 2000.0, "overloadFactor": 2.5},
            "tick": 5.0
        }
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"enabled = true
[control]
socket = "/tmp/w.sock"
[site]
name = "medina"
listen = "127.0.0.1:0"
own_exchange = 0
[[class]]
name = "status-report"
aim_ms = 1200
give_up_ms = 9000
[[exchange]]
name = "yoff"
exchange = 4
address = "127.0.0.1:5060"
prefixes = ["7"]
[[exchange]]
name = "ngor"
exchange = 5
address = "127.0.0.1:5061"
[[group]]
from = 4
to = 5
[[window]]
name = "night"
target = "exchange:4"
days = ["mon", "thu"]
at = "02:00"
minutes = 30
"#;

    #[test]
    fn a_good_file_is_read_and_one_that_is_off_is_not() {
        let a = read("f", GOOD).unwrap().unwrap();
        assert_eq!(
            a.windows[0].schedule,
            Schedule::Weekly { days: [true, false, false, true, false, false, false], from: 7200 * SECOND }
        );
        assert!(
            a.trunk_groups.contains(&(ExchangeNumber(5), ExchangeNumber(4))) && a.exchange_list.unwrap().contains("yoff")
        );
        let config = super::super::config::parse(&a.site_config.unwrap()).unwrap();
        assert_eq!(
            (config.settings.own_exchange, config.settings.drain_grace),
            (Some(ExchangeNumber(0)), 250_000)
        );
        assert!(read("f", "").unwrap().is_none());
        assert!(read("f", "enabled = false\n[control]\nsocket = 7\n").unwrap().is_none());
    }

    #[test]
    fn each_fault_is_named_by_file_line_key_and_what_was_expected() {
        for (from, to, want) in [
            ("socket = \"/tmp/w.sock\"", "socket = 7", "f:3: control.socket: 7"),
            ("[control]", "[contorl]", "contorl"),
            ("aim_ms = 1200", "aim_ms = 0", "f:10: class.0.aim_ms: 0 is less than the minimum"),
            ("exchange = 5", "exchange = 4", "f:19: exchange.1.exchange: found 4, which another"),
            (
                "127.0.0.1:5061",
                "10.9.0.1:5061",
                "f:20: exchange.1.address: found \"10.9.0.1:5061\", expected an address in 127.0.0.0/8",
            ),
            ("127.0.0.1:5061", "ngor", "exchange.1.address: found \"ngor\", expected an address and a port"),
            ("to = 5", "to = 9", "group.0.to: found 9"),
            ("exchange:4", "exchange:x", "window.0.target"),
            ("at = \"02:00\"", "at = \"26:00\"", "window.0.at: found \"26:00\", expected a time of day"),
            ("at = \"02:00\"", "", "window.0: expected either once, or days and at"),
            ("own_exchange = 0", "own_exchange = 4", "which is site.own_exchange"),
            ("enabled = true", "enabled = \"yes\"", "enabled: expected true or false"),
            ("enabled = true", "enabled = ", "f:1: TOML"),
        ] {
            let faults = read("f", &GOOD.replacen(from, to, 1)).unwrap_err();
            let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
            assert!(all.iter().any(|f| f.contains(want)), "{want}: {all:?}");
        }
    }

    #[test]
    fn all_faults_are_told_at_once() {
        let text = GOOD
            .replace("minutes = 30", "minutes = 0")
            .replace("aim_ms = 1200", "aim = 1")
            .replace("name = \"yoff\"", "name = 3");
        let faults = read("f", &text).unwrap_err();
        assert!(faults.len() >= 4, "{faults:?}");
        assert!(faults.windows(2).all(|w| w[0].line <= w[1].line));
        let overlap = GOOD
            .replace("5061\"", "5061\"\nprefixes = [\"70\", \"x\"]")
            .replace("name = \"ngor\"", "name = \"yoff\"");
        assert_eq!(read("f", &overlap).unwrap_err().len(), 3);
    }
}
