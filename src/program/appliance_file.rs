//! The appliance file, `deploy/appliance.toml`: its types and its validation. All errors are reported together, each
//! with its line, its key, the value that was found and what was expected.
//!
//! The file is first checked against the JSON schema derived from the types below, which `walnuthatch config schema`
//! prints. Rules that a schema cannot express, such as distinct exchange numbers, are checked afterwards.

use super::config::MgcpConfig;
use super::toml_check::{self, Checker, Diagnostic};
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

/// Default path of the file, relative to the working directory.
pub const FILE: &str = "deploy/appliance.toml";

/// Configuration of the appliance: control socket, saved state, log, drains, alarms, windows and the site.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ApplianceFile {
    /// Whether the appliance functions are enabled; if not, the rest of this file is ignored.
    pub enabled: bool,
    /// Control socket.
    pub control: ControlFile,
    /// Persistent state.
    pub state: StateFile,
    /// Logging.
    pub log: LogFile,
    /// Drain policy.
    pub drains: DrainsFile,
    /// Alarm thresholds.
    pub alarms: AlarmsFile,
    /// Networks in which addresses may lie.
    pub network: NetworkFile,
    /// This controller, for use without ROUTER_CONFIG.
    pub site: Option<SiteFile>,
    /// Classes of calls, for use without ROUTER_CONFIG.
    pub class: Vec<ClassFile>,
    /// Exchanges, for use without a coordinator.
    pub exchange: Vec<ExchangeFile>,
    /// Trunk groups between other exchanges.
    pub group: Vec<GroupFile>,
    /// Maintenance windows.
    pub window: Vec<WindowFile>,
}

/// Control socket.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ControlFile {
    /// Absolute path of the control socket; if missing, no control socket is opened.
    #[schemars(length(min = 1, max = 100))]
    pub socket: Option<String>,
}

/// Persistent state.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StateFile {
    /// Directory for drains and the audit log; if missing, no state is saved.
    #[schemars(length(min = 1))]
    pub folder: Option<String>,
}

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// `walnuthatch: ` and the message
    #[default]
    Plain,
    /// Message with time, level and target
    Text,
    /// One JSON object per line
    Json,
}

/// Logging.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogFile {
    /// Log filter, for example `info,walnuthatch::drains=debug`.
    pub filter: Option<String>,
    /// Log format.
    pub format: Option<LogFormat>,
}

/// Drain policy.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainsFile {
    /// Maximum number of exchanges and groups drained at the same time without force.
    #[schemars(range(min = 1, max = 64))]
    pub most_at_once: Option<u32>,
    /// Default time limit of a drain (s); 0: no limit.
    #[schemars(range(min = 0, max = 604800))]
    pub usual_limit_s: Option<u32>,
    /// Maximum time limit that can be requested for a drain (s).
    #[schemars(range(min = 1, max = 31536000))]
    pub longest_s: Option<u32>,
    /// Maximum estimated share of calls blocked on a remaining group; a drain that exceeds it is rejected.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub most_blocking: Option<f64>,
    /// A drain is ended automatically if the share of calls well served falls by more than this after its start;
    /// 1: never.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub guard_margin: Option<f64>,
    /// Time after the start of a drain during which that share is monitored (s).
    #[schemars(range(min = 0, max = 3600))]
    pub guard_s: Option<u32>,
    /// Whether a drain must be given a reason.
    pub reason_needed: Option<bool>,
    /// Time during which this controller still accepts calls after its own drain has started (ms).
    #[schemars(range(min = 0, max = 600000))]
    pub own_grace_ms: Option<u32>,
}

/// Alarm thresholds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct AlarmsFile {
    /// Critical alarm if a smaller share than this of the last minute's calls was established within the latency
    /// objective.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub in_aim_under: f64,
    /// Warning if at least this share of the calls of the last 10 s was refused.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub refused_over: f64,
    /// Critical alarm if an exchange that should be in service has had no connection for this time (s), counted from
    /// its last load report.
    #[schemars(range(min = 1, max = 86400))]
    pub silent_s: u32,
    /// Warning if at least this share of a group's circuits is busy.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub busy_over: f64,
    /// Time for which a condition must last before its alarm is raised (s).
    #[schemars(range(min = 0, max = 3600))]
    pub hold_s: u32,
    /// Time for which a condition must be absent before its alarm is cleared (s).
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

/// Networks in which addresses may lie.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkFile {
    /// Networks that must contain the listening address and the addresses of exchanges.
    #[schemars(length(min = 1))]
    pub allowed: Vec<String>,
}

impl Default for NetworkFile {
    fn default() -> Self {
        NetworkFile { allowed: vec!["127.0.0.0/8".into(), "::1/128".into()] }
    }
}

/// This controller, for use without ROUTER_CONFIG.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteFile {
    /// Name of this controller.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Address on which callers' connections are accepted.
    pub listen: String,
    /// Number of the exchange that this controller belongs to.
    pub own_exchange: u16,
    /// Quiet period after an attempt whose outcome is unknown (ms).
    #[schemars(range(min = 0, max = 60000))]
    pub release_ms: Option<u32>,
    /// Time during which a draining exchange may still be sent calls (ms).
    #[schemars(range(min = 0, max = 60000))]
    pub drain_grace_ms: Option<u32>,
    /// Maximum number of attempts per call.
    #[schemars(range(min = 1, max = 100))]
    pub try_limit: Option<u32>,
    /// Maximum retry delay that callers honour (ms).
    #[schemars(range(min = 0, max = 600000))]
    pub longest_pause_ms: Option<u32>,
}

/// A class of calls.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassFile {
    /// Name of the class on the wire.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Latency objective: time within which a call should be established (ms).
    #[schemars(range(min = 1, max = 600000))]
    pub aim_ms: u32,
    /// Time for which a caller keeps redialling before it gives up (ms).
    #[schemars(range(min = 1, max = 3600000))]
    pub give_up_ms: u32,
}

/// An exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExchangeFile {
    /// Name of the machine that serves the exchange.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Exchange number.
    pub exchange: u16,
    /// Address and port of the machine.
    pub address: String,
    /// Prefixes of the telephone numbers of this exchange, for calls from gateways.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// A trunk group between two other exchanges.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GroupFile {
    /// Number of the exchange at one end.
    pub from: u16,
    /// Number of the exchange at the other end.
    pub to: u16,
}

/// Action at the end of a maintenance window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum AtEnd {
    /// Put the target back into service.
    #[default]
    Restore,
    /// Leave the target out of service until an operator ends the drain.
    Keep,
    /// Cut the remaining calls and leave the target out of service.
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

/// A maintenance window.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WindowFile {
    /// Name of the window.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Target that is drained: `exchange:NUMBER`, `group:NUMBER` or `controller`.
    pub target: String,
    /// Start of a window that opens once, for example `2026-12-01T02:00:00Z`.
    pub once: Option<String>,
    /// Days of the week on which the window opens.
    #[serde(default)]
    pub days: Vec<Day>,
    /// Time of day at which the window opens, in UTC, for example `02:00`.
    pub at: Option<String>,
    /// Length of the window (minutes).
    #[schemars(range(min = 1, max = 10080))]
    pub minutes: u32,
    /// Action at the end of the window.
    #[serde(default)]
    pub at_end: AtEnd,
    /// Whether the drain overrides the drain policy.
    #[serde(default)]
    pub force: bool,
}

/// The validated appliance configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplianceConfig {
    /// Path of the control socket.
    pub control_socket: Option<PathBuf>,
    /// Directory of the saved state.
    pub state_folder: Option<PathBuf>,
    /// Log filter.
    pub log_filter: Option<String>,
    /// Log format.
    pub log_format: Option<LogFormat>,
    /// Drain policy.
    pub policy: Policy,
    /// Maintenance windows.
    pub windows: Vec<Window>,
    /// Alarm thresholds.
    pub alarms: AlarmThresholds,
    /// Trunk groups between other exchanges, in both directions; empty if unknown.
    pub trunk_groups: BTreeSet<(ExchangeNumber, ExchangeNumber)>,
    /// The list of exchanges as JSON, in the format of the coordinator's events.
    pub exchange_list: Option<String>,
    /// Prefixes of telephone numbers with the exchange that they belong to.
    pub prefixes: Vec<(String, ExchangeNumber)>,
    /// Replacement for the ROUTER_CONFIG file, if the file has a site.
    pub site_config: Option<Value>,
}

/// Conditions under which alarms are raised and cleared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmThresholds {
    /// Share of calls established within the latency objective below which an alarm is raised.
    pub min_within_objective: f64,
    /// Share of refused calls from which an alarm is raised.
    pub max_refused_share: f64,
    /// Age of the last load report above which an exchange without a connection raises an alarm.
    pub unresponsive_after: Micros,
    /// Share of busy circuits of a group from which an alarm is raised.
    pub max_busy_share: f64,
    /// Time for which a condition must last before its alarm is raised.
    pub raise_delay: Micros,
    /// Time for which a condition must be absent before its alarm is cleared.
    pub clear_delay: Micros,
}

/// The JSON schema of the file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(ApplianceFile)).unwrap_or_default()
}

/// Parses and validates the file; `None` if the appliance functions are disabled.
///
/// # Errors
/// All errors that were found, sorted by line.
pub fn read(file: &str, text: &str) -> Result<Option<ApplianceConfig>, Vec<Diagnostic>> {
    let Some((mut checker, parsed)) = toml_check::read::<ApplianceFile>(file, text, &schema())? else {
        return Ok(None);
    };
    let config = build(&mut checker, parsed);
    checker.finish(Some(config))
}

fn build(checker: &mut Checker<'_>, parsed: ApplianceFile) -> ApplianceConfig {
    let networks = checker.networks("network.allowed", &parsed.network.allowed);
    if let Some(socket) = &parsed.control.socket {
        if !PathBuf::from(socket).is_absolute() {
            checker.report("control.socket", format!("found {socket:?}, expected a path that begins with /"));
        }
    }
    if let Some(filter) = &parsed.log.filter {
        if let Err(e) = filter.parse::<tracing_subscriber::EnvFilter>() {
            checker.report(
                "log.filter",
                format!(
                    "found {filter:?}, expected a filter, for example info,walnuthatch::drains=debug: {e}"
                ),
            );
        }
    }
    let (exchange_list, prefixes) = exchanges(checker, &parsed, &networks);
    let known: BTreeSet<u16> = parsed.exchange.iter().map(|e| e.exchange).collect();
    let mut trunk_groups = BTreeSet::new();
    for (i, g) in parsed.group.iter().enumerate() {
        for (name, end) in [("from", g.from), ("to", g.to)] {
            if !known.contains(&end) && !known.is_empty() {
                checker.report(
                    format!("group.{i}.{name}"),
                    format!("found {end}, expected the number of an [[exchange]]"),
                );
            }
        }
        if g.from == g.to {
            checker.report(
                format!("group.{i}.to"),
                format!("found {}, expected an exchange other than that in from", g.to),
            );
        }
        trunk_groups.insert((ExchangeNumber(g.from), ExchangeNumber(g.to)));
        trunk_groups.insert((ExchangeNumber(g.to), ExchangeNumber(g.from)));
    }
    let windows = windows(checker, &parsed.window);
    let defaults = Policy::default();
    let drains = &parsed.drains;
    let max_limit = drains.longest_s.map_or(defaults.max_limit, |s| Micros::from(s) * SECOND);
    let default_limit = drains.usual_limit_s.filter(|s| *s > 0).map(|s| Micros::from(s) * SECOND);
    if let Some(limit) = default_limit.filter(|l| *l > max_limit) {
        let (found, max) = (limit / SECOND, max_limit / SECOND);
        checker.report(
            "drains.usual_limit_s",
            format!("found {found}, expected at most drains.longest_s, which is {max}"),
        );
    }
    let policy = Policy {
        max_concurrent: drains.most_at_once.map_or(defaults.max_concurrent, |n| n as usize),
        default_limit,
        max_limit,
        max_blocking: drains.most_blocking.unwrap_or(defaults.max_blocking),
        guard_margin: drains.guard_margin.unwrap_or(defaults.guard_margin),
        guard_period: drains.guard_s.map_or(defaults.guard_period, |s| Micros::from(s) * SECOND),
        reason_required: drains.reason_needed.unwrap_or(defaults.reason_required),
        controller_grace: drains.own_grace_ms.map_or(defaults.controller_grace, |ms| Micros::from(ms) * 1000),
        ..defaults
    };
    let site_config = site_config(checker, &parsed, &networks);
    let alarms = &parsed.alarms;
    ApplianceConfig {
        control_socket: parsed.control.socket.clone().map(PathBuf::from),
        state_folder: parsed.state.folder.clone().map(PathBuf::from),
        log_filter: parsed.log.filter.clone(),
        log_format: parsed.log.format,
        policy,
        windows,
        alarms: AlarmThresholds {
            min_within_objective: alarms.in_aim_under,
            max_refused_share: alarms.refused_over,
            unresponsive_after: Micros::from(alarms.silent_s) * SECOND,
            max_busy_share: alarms.busy_over,
            raise_delay: Micros::from(alarms.hold_s) * SECOND,
            clear_delay: Micros::from(alarms.calm_s) * SECOND,
        },
        trunk_groups,
        exchange_list,
        prefixes,
        site_config,
    }
}

fn exchanges(
    checker: &mut Checker<'_>,
    parsed: &ApplianceFile,
    networks: &[IpNet],
) -> (Option<String>, Vec<(String, ExchangeNumber)>) {
    let (mut members, mut prefixes) = (Vec::new(), Vec::<(String, ExchangeNumber)>::new());
    for (i, e) in parsed.exchange.iter().enumerate() {
        let key = |name: &str| format!("exchange.{i}.{name}");
        let before = &parsed.exchange[..i];
        if before.iter().any(|o| o.name == e.name) {
            checker
                .report(key("name"), format!("found {:?}, which another [[exchange]] already has", e.name));
        }
        if before.iter().any(|o| o.exchange == e.exchange) {
            checker.report(
                key("exchange"),
                format!("found {}, which another [[exchange]] already has", e.exchange),
            );
        }
        if parsed.site.as_ref().is_some_and(|s| s.own_exchange == e.exchange) {
            checker.report(key("exchange"), format!("found {}, which is site.own_exchange", e.exchange));
        }
        let address = checker.address(&key("address"), &e.address, networks);
        if address.is_some() && before.iter().any(|o| o.address == e.address) {
            checker.report(
                key("address"),
                format!("found {:?}, which another [[exchange]] already has", e.address),
            );
        }
        for p in &e.prefixes {
            check_prefix(checker, &key("prefixes"), p, &prefixes);
            prefixes.push((p.clone(), ExchangeNumber(e.exchange)));
        }
        members.push(json!({"id": e.name, "host_port": e.address, "cell": e.exchange, "phase": "up"}));
    }
    let list = json!({"index": 0, "endpoints": {"complete": true, "members": members}});
    ((!parsed.exchange.is_empty()).then(|| list.to_string()), prefixes)
}

/// Reports a prefix that is not made of digits, or that overlaps with another: each telephone number must belong to
/// one exchange.
fn check_prefix(checker: &mut Checker<'_>, key: &str, prefix: &str, others: &[(String, ExchangeNumber)]) {
    if prefix.is_empty() || !prefix.bytes().all(|b| b.is_ascii_digit()) {
        checker.report(key, format!("found {prefix:?}, expected digits"));
    } else if let Some(o) = others.iter().find(|o| o.0.starts_with(prefix) || prefix.starts_with(&o.0)) {
        checker
            .report(key, format!("found {prefix:?}, which overlaps with {:?} of exchange {}", o.0, o.1 .0));
    }
}

/// Checks the prefixes of the appliance file against those of the gateway file.
///
/// # Errors
/// The overlapping prefixes, reported under the keys of the appliance file.
pub fn check_prefixes_against_gateways(
    file: &str,
    appliance: &ApplianceConfig,
    mgcp: &MgcpConfig,
) -> Result<(), Vec<Diagnostic>> {
    let mut checker = Checker::without_text(file);
    let gateways = mgcp.agent.gateways.iter().map(|g| (g.prefix.clone(), g.exchange));
    let others: Vec<_> =
        gateways.chain(mgcp.agent.routes.iter().cloned()).filter(|p| !p.0.is_empty()).collect();
    for (prefix, _) in &appliance.prefixes {
        check_prefix(&mut checker, "exchange.prefixes", prefix, &others);
    }
    checker.finish(())
}

fn windows(checker: &mut Checker<'_>, all: &[WindowFile]) -> Vec<Window> {
    let mut out: Vec<Window> = Vec::new();
    for (i, w) in all.iter().enumerate() {
        let key = |name: &str| format!("window.{i}.{name}");
        if all[..i].iter().any(|o| o.name == w.name) {
            checker.report(key("name"), format!("found {:?}, which another [[window]] already has", w.name));
        }
        let target = w.target.parse::<Target>().map_err(|e| checker.report(key("target"), e)).ok();
        let length = Micros::from(w.minutes) * 60 * SECOND;
        let schedule = match (&w.once, &w.at, w.days.is_empty()) {
            (Some(once), None, true) => match once.parse::<jiff::Timestamp>() {
                Ok(t) => Some(Schedule::Once(t.as_microsecond())),
                Err(_) => {
                    checker.report(
                        key("once"),
                        format!("found {once:?}, expected a time, for example 2026-12-01T02:00:00Z"),
                    );
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
                    checker.report(
                        key("at"),
                        format!("found {at:?}, expected a time of day, for example 02:00"),
                    );
                    None
                }
            },
            _ => {
                checker.report(format!("window.{i}"), "expected either once, or days and at");
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

/// Builds the configuration that ROUTER_CONFIG would otherwise provide from the site and classes of the file.
fn site_config(checker: &mut Checker<'_>, parsed: &ApplianceFile, networks: &[IpNet]) -> Option<Value> {
    let Some(site) = &parsed.site else {
        if !parsed.class.is_empty() {
            checker.report("class", "found [[class]] without [site], expected both or neither");
        }
        return None;
    };
    checker.address("site.listen", &site.listen, networks);
    if parsed.class.is_empty() {
        checker.report("site", "found [site] without [[class]], expected at least one class");
    }
    for (i, k) in parsed.class.iter().enumerate() {
        if parsed.class[..i].iter().any(|o| o.name == k.name) {
            checker.report(
                format!("class.{i}.name"),
                format!("found {:?}, which another [[class]] already has", k.name),
            );
        }
    }
    let class = |k: &ClassFile| {
        json!({"name": k.name, "aim": k.aim_ms, "giveUp": k.give_up_ms, "effect": "retryable",
            "lateWorth": 0.25, "worth": 1.0, "stream": true})
    };
    let classes: Vec<Value> = parsed.class.iter().map(class).collect();
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

    const VALID: &str = r#"enabled = true
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
    fn a_valid_file_is_read_and_a_disabled_one_is_ignored() {
        let appliance = read("f", VALID).unwrap().unwrap();
        assert_eq!(
            appliance.windows[0].schedule,
            Schedule::Weekly { days: [true, false, false, true, false, false, false], from: 7200 * SECOND }
        );
        assert!(
            appliance.trunk_groups.contains(&(ExchangeNumber(5), ExchangeNumber(4)))
                && appliance.exchange_list.unwrap().contains("yoff")
        );
        let config = super::super::config::parse(&appliance.site_config.unwrap()).unwrap();
        assert_eq!(
            (config.settings.own_exchange, config.settings.drain_grace),
            (Some(ExchangeNumber(0)), 250_000)
        );
        assert!(read("f", "").unwrap().is_none());
        assert!(read("f", "enabled = false\n[control]\nsocket = 7\n").unwrap().is_none());
    }

    #[test]
    fn each_error_names_file_line_key_and_what_was_expected() {
        for (from, to, expected) in [
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
            let errors = read("f", &VALID.replacen(from, to, 1)).unwrap_err();
            let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
            assert!(messages.iter().any(|m| m.contains(expected)), "{expected}: {messages:?}");
        }
    }

    #[test]
    fn all_errors_are_reported_at_once() {
        let text = VALID
            .replace("minutes = 30", "minutes = 0")
            .replace("aim_ms = 1200", "aim = 1")
            .replace("name = \"yoff\"", "name = 3");
        let errors = read("f", &text).unwrap_err();
        assert!(errors.len() >= 4, "{errors:?}");
        assert!(errors.windows(2).all(|w| w[0].line <= w[1].line));
        let overlapping = VALID
            .replace("5061\"", "5061\"\nprefixes = [\"70\", \"x\"]")
            .replace("name = \"ngor\"", "name = \"yoff\"");
        assert_eq!(read("f", &overlapping).unwrap_err().len(), 3);
    }
}
