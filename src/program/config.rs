//! Reads and validates the configuration and fills in the defaults. Each error names the key that it is about.

use super::appliance_file::{self, ApplianceConfig, LogFormat};
use super::gossip_file::{self, GossipConfig, PlatformPeers};
use super::toml_check::Diagnostic;
use crate::protocol::mgcp::agent::{AgentConfig, AnsweredBy, Gateway};
use crate::protocol::{simulator, text_settings};
use crate::routing::interface::{ExchangeNumber, Micros, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{key}: cannot read {path}: {reason}")]
    File {
        /// The key or file name that the error is reported under.
        key: &'static str,
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// A required key is missing.
    #[error("{0}: missing")]
    Missing(String),
    /// A key has an invalid value.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The key.
        key: String,
        /// The value that was found and what was expected.
        reason: String,
    },
    /// A file that was checked as a whole has errors.
    #[error("{}\n{}", fault_count(.0.len()), join_lines(.0))]
    InvalidFile(Vec<Diagnostic>),
}

fn fault_count(n: usize) -> String {
    if n == 1 {
        "a fault".to_owned()
    } else {
        format!("{n} faults")
    }
}

fn join_lines(diagnostics: &[Diagnostic]) -> String {
    diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn invalid(key: &str, reason: impl ToString) -> ConfigError {
    ConfigError::InvalidValue { key: key.to_owned(), reason: reason.to_string() }
}

/// Command-line options for serving calls.
#[derive(Clone, Debug, Default, PartialEq, clap::Args)]
pub struct Arguments {
    /// Read line commands from standard input
    #[arg(long)]
    pub console: bool,
    /// Configuration file in JSON; overrides ROUTER_CONFIG
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Gateway (MGCP) configuration file [default: deploy/mgcp.toml, if it exists]
    #[arg(long, value_name = "FILE")]
    pub mgcp: Option<PathBuf>,
    /// Telemetry configuration file [default: deploy/telemetry.toml, if it exists]
    #[arg(long, value_name = "FILE")]
    pub telemetry: Option<PathBuf>,
    /// Appliance configuration file [default: deploy/appliance.toml, if it exists]
    #[arg(long, value_name = "FILE")]
    pub appliance: Option<PathBuf>,
    /// Gossip configuration file [default: deploy/gossip.toml, if it exists]
    #[arg(long, value_name = "FILE")]
    pub gossip: Option<PathBuf>,
    /// Log filter, for example info,walnuthatch::drains=debug; overrides WALNUTHATCH_LOG and the appliance file
    #[arg(long, value_name = "FILTER")]
    pub log: Option<String>,
    /// Log format; overrides the appliance file
    #[arg(long, value_enum, value_name = "FORMAT")]
    pub log_format: Option<LogFormat>,
    /// Check the configuration and exit
    #[arg(long)]
    pub check: bool,
}

/// The validated configuration of the program.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this controller.
    pub name: String,
    /// Address on which callers' connections are accepted.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Address on which messages from peers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers, indexed by peer number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches all peers.
    pub peers_all: Option<SocketAddr>,
    /// Address of the coordinator.
    pub coordinator: Option<SocketAddr>,
    /// Updates of the exchange list that are applied at the start, each as JSON.
    pub initial_list_updates: Vec<String>,
    /// Index of the last of these updates; the coordinator's stream continues after it.
    pub initial_list_index: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes of calls, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the failure domains.
    pub failure_domains: Vec<String>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// The MGCP front end, if enabled.
    pub mgcp: Option<MgcpConfig>,
    /// The telemetry exporter, if enabled.
    pub telemetry: Option<TelemetryConfig>,
    /// The appliance functions, if enabled.
    pub appliance: Option<ApplianceConfig>,
    /// Gossip between instances, if enabled.
    pub gossip: Option<GossipConfig>,
}

/// Configuration of the exporter of metrics and spans.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetryConfig {
    /// Address of the OTLP collector.
    pub collector: SocketAddr,
    /// Interval between two exports.
    pub interval: Micros,
    /// Whether a span is exported for each call.
    pub spans: bool,
}

/// Configuration of the MGCP front end.
#[derive(Clone, Debug, PartialEq)]
pub struct MgcpConfig {
    /// Address on which the call agent receives datagrams.
    pub listen: SocketAddr,
    /// Configuration of the call agent.
    pub agent: AgentConfig,
}

/// Default path of the gateway file, relative to the working directory.
const MGCP_FILE: &str = "deploy/mgcp.toml";
/// Default path of the telemetry file, relative to the working directory.
const TELEMETRY_FILE: &str = "deploy/telemetry.toml";

/// Reads all configuration files. `ROUTER_NAME` and `ROUTER_LISTEN` give `name` and `listen` where the main
/// configuration has none.
pub fn load(arguments: &Arguments, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let appliance_path = arguments.appliance.as_deref();
    let appliance = match read_optional("appliance.toml", appliance_path, appliance_file::FILE)? {
        Some(text) => {
            let file = appliance_path.unwrap_or(Path::new(appliance_file::FILE)).display().to_string();
            appliance_file::read(&file, &text).map_err(ConfigError::InvalidFile)?
        }
        None => None,
    };
    let path = arguments.config.clone().or_else(|| env("ROUTER_CONFIG").map(PathBuf::from));
    let site = appliance.as_ref().and_then(|a| a.site_config.clone());
    let mut json: Value = match (path, site) {
        (Some(path), _) => {
            let text = read_file("ROUTER_CONFIG", &path)?;
            serde_json::from_str(&text).map_err(|e| invalid("ROUTER_CONFIG", e))?
        }
        (None, Some(site)) => site,
        (None, None) => return Err(ConfigError::Missing("ROUTER_CONFIG".to_owned())),
    };
    for (key, variable) in [("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")] {
        if let (Some(object), Some(value)) = (json.as_object_mut(), env(variable)) {
            object.entry(key).or_insert(Value::String(value));
        }
    }
    let mut config = parse(&json)?;
    if let Some(text) = read_optional(MGCP_FILE, arguments.mgcp.as_deref(), MGCP_FILE)? {
        config.mgcp = mgcp(&text, &config)?;
    }
    if let Some(text) = read_optional(TELEMETRY_FILE, arguments.telemetry.as_deref(), TELEMETRY_FILE)? {
        config.telemetry = telemetry(&text)?;
    }
    let gossip_path = arguments.gossip.as_deref();
    if let Some(text) = read_optional("gossip.toml", gossip_path, gossip_file::FILE)? {
        let file = gossip_path.unwrap_or(Path::new(gossip_file::FILE)).display().to_string();
        let own_exchange = config.settings.own_exchange.map(|o| walnuthatch_gossip::Exchange(o.0));
        let peers = config.platform_peers();
        let gossip = gossip_file::read(&file, &text, &config.name, own_exchange, peers.as_ref());
        config.gossip = gossip.map_err(ConfigError::InvalidFile)?;
    }
    if let Some(appliance) = appliance {
        merge_appliance(&mut config, appliance, appliance_path)?;
    }
    Ok(config)
}

/// Adds the exchanges and prefixes of the appliance file to the rest of the configuration.
fn merge_appliance(
    config: &mut Config,
    appliance: ApplianceConfig,
    path: Option<&Path>,
) -> Result<(), ConfigError> {
    if let Some(list) = &appliance.exchange_list {
        if config.coordinator.is_some() || !config.initial_list_updates.is_empty() {
            return Err(invalid(
                "appliance.exchange",
                "found [[exchange]] tables, expected none: the exchanges come from coordinator or known.updates",
            ));
        }
        config.initial_list_updates = vec![list.clone()];
    }
    if let Some(mgcp) = &mut config.mgcp {
        let file = path.unwrap_or(Path::new(appliance_file::FILE)).display().to_string();
        appliance_file::check_prefixes_against_gateways(&file, &appliance, mgcp)
            .map_err(ConfigError::InvalidFile)?;
        mgcp.agent.routes.extend(appliance.prefixes.iter().cloned());
    }
    config.appliance = Some(appliance);
    Ok(())
}

/// Reads the file at `path`, or the one at `default` if no path is given; only the latter may be absent.
fn read_optional(
    key: &'static str,
    path: Option<&Path>,
    default: &str,
) -> Result<Option<String>, ConfigError> {
    match path {
        Some(path) => read_file(key, path).map(Some),
        None if Path::new(default).exists() => read_file(key, Path::new(default)).map(Some),
        None => Ok(None),
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MgcpFile {
    #[serde(default)]
    enabled: bool,
    listen: Option<String>,
    class: Option<String>,
    patience_ms: Option<u32>,
    digits: Option<usize>,
    #[serde(default)]
    gateway: Vec<GatewayFile>,
    #[serde(default)]
    route: Vec<RouteFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GatewayFile {
    name: String,
    address: String,
    exchange: u16,
    #[serde(default)]
    prefix: String,
    endpoints: Vec<String>,
    answered_by: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteFile {
    prefix: String,
    exchange: u16,
}

/// Parses and validates the gateway file; `None` if it leaves the MGCP front end disabled.
pub fn mgcp(text: &str, config: &Config) -> Result<Option<MgcpConfig>, ConfigError> {
    let file: MgcpFile = toml::from_str(text).map_err(|e| invalid("mgcp.toml", e.to_string().trim()))?;
    if !file.enabled {
        return Ok(None);
    }
    let listen = file.listen.ok_or_else(|| ConfigError::Missing("mgcp.listen".to_owned()))?;
    let listen = parse_loopback("mgcp.listen", &listen)?;
    let class = file.class.ok_or_else(|| ConfigError::Missing("mgcp.class".to_owned()))?;
    let position = config.classes.iter().position(|c| *c == class);
    let class = position.ok_or_else(|| {
        invalid("mgcp.class", format!("found {class:?}, expected a name in settings.classes"))
    })?;
    let patience_ms = file.patience_ms.unwrap_or(3_000);
    if !(200..=600_000).contains(&patience_ms) {
        return Err(invalid("mgcp.patience_ms", format!("found {patience_ms}, expected 200 to 600000")));
    }
    let digits = file.digits.unwrap_or(4);
    if !(1..=32).contains(&digits) {
        return Err(invalid("mgcp.digits", format!("found {digits}, expected 1 to 32")));
    }
    let mut gateways: Vec<Gateway> = Vec::new();
    for (i, g) in file.gateway.into_iter().enumerate() {
        let key = |name: &str| format!("mgcp.gateway.{i}.{name}");
        let name = g.name.to_ascii_lowercase();
        if name.is_empty() || name.contains('@') || gateways.iter().any(|o| o.name == name) {
            return Err(invalid(
                &key("name"),
                format!("found {name:?}, expected a name without @ that no other gateway has"),
            ));
        }
        let exchange = ExchangeNumber(g.exchange);
        if Some(exchange) == config.settings.own_exchange || gateways.iter().any(|o| o.exchange == exchange) {
            return Err(invalid(
                &key("exchange"),
                format!(
                    "found {}, expected a number other than the own exchange and those of other gateways",
                    g.exchange
                ),
            ));
        }
        let mut endpoints: Vec<String> = g.endpoints.iter().map(|e| e.to_ascii_lowercase()).collect();
        endpoints.sort();
        endpoints.dedup();
        let malformed = |e: &String| e.is_empty() || e.contains(['@', '*', '$', ' ']);
        if endpoints.is_empty() || endpoints.len() != g.endpoints.len() || endpoints.iter().any(malformed) {
            return Err(invalid(
                &key("endpoints"),
                format!(
                    "found {:?}, expected one or more distinct names without @, *, $ and spaces",
                    g.endpoints
                ),
            ));
        }
        let answered_by = match g.answered_by.as_deref() {
            None | Some("off-hook") => AnsweredBy::OffHook,
            Some("connection") => AnsweredBy::Connection,
            Some(other) => {
                return Err(invalid(
                    &key("answered_by"),
                    format!("found {other:?}, expected off-hook or connection"),
                ))
            }
        };
        let address = parse_loopback(&key("address"), &g.address)?;
        gateways.push(Gateway { name, address, exchange, prefix: g.prefix, endpoints, answered_by });
    }
    if gateways.is_empty() {
        return Err(ConfigError::Missing("mgcp.gateway".to_owned()));
    }
    let routes = file.route.into_iter().map(|r| (r.prefix, ExchangeNumber(r.exchange))).collect();
    let client_timeout = Micros::from(patience_ms) * 1000;
    let agent = AgentConfig { gateways, routes, number_length: digits, class, client_timeout };
    Ok(Some(MgcpConfig { listen, agent }))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TelemetryFile {
    #[serde(default)]
    enabled: bool,
    endpoint: Option<String>,
    interval_ms: Option<u32>,
    #[serde(default)]
    spans: bool,
}

/// Parses and validates the telemetry file; `None` if it leaves the exporter disabled.
pub fn telemetry(text: &str) -> Result<Option<TelemetryConfig>, ConfigError> {
    let file: TelemetryFile =
        toml::from_str(text).map_err(|e| invalid("telemetry.toml", e.to_string().trim()))?;
    if !file.enabled {
        return Ok(None);
    }
    let endpoint = file.endpoint.ok_or_else(|| ConfigError::Missing("telemetry.endpoint".to_owned()))?;
    let address = endpoint.strip_prefix("http://").map(|p| p.strip_suffix('/').unwrap_or(p));
    let address = address.ok_or_else(|| {
        invalid("telemetry.endpoint", format!("found {endpoint:?}, expected a URL that begins with http://"))
    })?;
    let collector = parse_loopback("telemetry.endpoint", address)?;
    let interval = file.interval_ms.unwrap_or(10_000);
    if !(100..=3_600_000).contains(&interval) {
        return Err(invalid("telemetry.interval_ms", format!("found {interval}, expected 100 to 3600000")));
    }
    let interval = Micros::from(interval) * 1000;
    Ok(Some(TelemetryConfig { collector, interval, spans: file.spans }))
}

impl Config {
    /// The peers that the platform configures; the own address is the one at this controller's peer number.
    fn platform_peers(&self) -> Option<PlatformPeers> {
        let address = *self.peers.get(self.settings.own_peer.0 as usize)?;
        Some(PlatformPeers { listen: self.peer_listen?, address, peers: self.peers.clone() })
    }

    /// Number of callers' connections above which the least needed ones are closed: half of the descriptors.
    pub fn soft_caller_limit(&self) -> usize {
        self.max_descriptors / 2
    }

    /// Maximum number of callers' connections, including those that are closing. The remaining descriptors are
    /// reserved for exchanges, the coordinator and the program itself.
    pub fn hard_caller_limit(&self) -> usize {
        self.max_descriptors * 5 / 8
    }

    /// Changed keys in `new` that take effect only after a restart: those of bound sockets, and those on which
    /// the calls in progress depend.
    pub fn keys_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let unchanged = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("limits", self.max_descriptors == new.max_descriptors),
            ("peer_listen", self.peer_listen == new.peer_listen),
            ("settings", self.settings == new.settings && self.classes == new.classes),
            ("settings.failureDomains", self.failure_domains == new.failure_domains),
            ("settings.limits.connectTimeout", self.connect_timeout == new.connect_timeout),
            ("mgcp", self.mgcp == new.mgcp),
            ("telemetry", self.telemetry == new.telemetry),
            ("gossip.enabled", self.gossip.is_some() == new.gossip.is_some()),
            ("gossip.listen", self.gossip_listen() == new.gossip_listen()),
            ("appliance.enabled", self.appliance.is_some() == new.appliance.is_some()),
            (
                "appliance.control",
                self.in_appliance(|a| &a.control_socket) == new.in_appliance(|a| &a.control_socket),
            ),
            (
                "appliance.state",
                self.in_appliance(|a| &a.state_folder) == new.in_appliance(|a| &a.state_folder),
            ),
            (
                "appliance.exchange",
                self.in_appliance(|a| &a.exchange_list) == new.in_appliance(|a| &a.exchange_list),
            ),
        ];
        unchanged.into_iter().filter(|(_, unchanged)| !unchanged).map(|(key, _)| key).collect()
    }

    /// Takes over those values of `new` that can change without a restart.
    pub fn apply_reload(&mut self, new: Config) {
        self.coordinator = new.coordinator;
        self.peers = new.peers;
        self.peers_all = new.peers_all;
        if let (Some(old), Some(new)) = (&mut self.gossip, new.gossip) {
            *old = GossipConfig { listen: old.listen, ..new };
        }
        if let (Some(old), Some(new)) = (&mut self.appliance, new.appliance) {
            old.policy = new.policy;
            old.windows = new.windows;
            old.alarms = new.alarms;
            old.trunk_groups = new.trunk_groups;
            old.log_filter = new.log_filter;
        }
    }

    fn gossip_listen(&self) -> Option<SocketAddr> {
        self.gossip.as_ref().map(|g| g.listen)
    }

    fn in_appliance<T>(&self, field: impl Fn(&ApplianceConfig) -> &T) -> Option<&T> {
        self.appliance.as_ref().map(field)
    }

    /// A summary for operators, one line per subject.
    pub fn summary(&self) -> String {
        let address = |a: &Option<SocketAddr>| a.map_or("none".to_owned(), |a| a.to_string());
        let gateways = self.mgcp.as_ref().map_or("off".to_owned(), |m| {
            let names: Vec<&str> = m.agent.gateways.iter().map(|g| g.name.as_str()).collect();
            format!("at {}: {}", m.listen, names.join(" "))
        });
        let export = self.telemetry.as_ref().map_or("off".to_owned(), |t| {
            format!("to {} every {} ms, spans {}", t.collector, t.interval / 1000, t.spans)
        });
        let gossip = self.gossip.as_ref().map_or("off".to_owned(), |g| {
            let keys: Vec<String> = g.key_ring.ids().map(|id| id.to_string()).collect();
            format!("at {}, {} seeds, keys {}", g.listen, g.node.seeds.len(), keys.join(" "))
        });
        let appliance = self.appliance.as_ref().map_or("off".to_owned(), |a| {
            let path =
                |p: &Option<PathBuf>| p.as_ref().map_or("none".to_owned(), |p| p.display().to_string());
            format!(
                "control socket {}, state folder {}, {} windows",
                path(&a.control_socket),
                path(&a.state_folder),
                a.windows.len()
            )
        });
        format!(
            "name {}\nlisten {}\ncoordinator {}\npeers {}, listening at {}\nclasses {}\nsockets {}\n\
             gateways {gateways}\ntelemetry {export}\nappliance {appliance}\ngossip {gossip}\n",
            self.name,
            self.listen,
            address(&self.coordinator),
            self.peers.len(),
            address(&self.peer_listen),
            self.classes.join(" "),
            self.max_descriptors,
        )
    }
}

fn parse_loopback(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| invalid(key, format!("found {text:?}, expected a loopback address and a port")))?;
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(invalid(key, format!("found {text:?}, expected a loopback address"))),
    }
}

fn read_file(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::File {
        key,
        path: path.to_owned(),
        reason: e.to_string(),
    })
}

/// Validates the main configuration object and fills in the defaults.
pub fn parse(json: &Value) -> Result<Config, ConfigError> {
    let listen =
        optional_address(json, "listen")?.ok_or_else(|| ConfigError::Missing("listen".to_owned()))?;
    let settings_json = json.get("settings").ok_or_else(|| ConfigError::Missing("settings".to_owned()))?;
    let flat = text_settings::flatten(settings_json);
    let settings =
        simulator::parse_settings(&flat).map_err(|e| invalid(&format!("settings.{}", e.key), &e))?;
    if settings.classes.is_empty() {
        return Err(ConfigError::Missing("settings.classes".to_owned()));
    }
    let names = |path: &str| -> Vec<String> {
        let items = settings_json.get(path).and_then(Value::as_array);
        let name = |v: &Value| v.get("name").or(Some(v)).and_then(Value::as_str).map(str::to_owned);
        items.map_or_else(Vec::new, |l| l.iter().map(|v| name(v).unwrap_or_default()).collect())
    };
    let classes = names("classes");
    if let Some(i) = classes.iter().position(String::is_empty) {
        return Err(ConfigError::Missing(format!("settings.classes.{i}.name")));
    }
    let connect_timeout = match settings_json.pointer("/limits/connectTimeout") {
        None => 500.0,
        Some(v) => v.as_f64().filter(|ms| (1.0..=60_000.0).contains(ms)).ok_or_else(|| {
            let reason = format!("found {v}, expected a time in milliseconds from 1 to 60000");
            invalid("settings.limits.connectTimeout", reason)
        })?,
    };
    let initial_list_index = match json.pointer("/known/index") {
        None => 0,
        Some(v) => {
            v.as_u64().ok_or_else(|| invalid("known.index", format!("found {v}, expected a number")))?
        }
    };
    let updates = match json.pointer("/known/updates") {
        None => Vec::new(),
        Some(v) => v
            .as_array()
            .ok_or_else(|| invalid("known.updates", format!("found {v}, expected a list")))?
            .clone(),
    };
    let peers = match json.get("peers") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => {
            items.iter().map(|v| parse_address("peers", v)).collect::<Result<Vec<_>, _>>()?
        }
        Some(v) => return Err(invalid("peers", format!("found {v}, expected a list"))),
    };
    let max_descriptors = match json.pointer("/limits/sockets") {
        None => 1024,
        Some(v) => v
            .as_u64()
            .filter(|n| (64..=1_000_000).contains(n))
            .ok_or_else(|| invalid("limits.sockets", format!("found {v}, expected 64 to 1000000")))?
            as usize,
    };
    Ok(Config {
        name: json.get("name").and_then(Value::as_str).unwrap_or("walnuthatch").to_owned(),
        listen,
        seed: seed(json.get("seed"))?,
        max_descriptors,
        peer_listen: optional_address(json, "peer_listen")?,
        peers,
        peers_all: optional_address(json, "peers_all")?,
        coordinator: optional_address(json, "coordinator")?,
        initial_list_updates: updates.iter().map(Value::to_string).collect(),
        initial_list_index,
        settings,
        classes,
        failure_domains: names("failureDomains"),
        connect_timeout: (connect_timeout * 1000.0) as Micros,
        mgcp: None,
        telemetry: None,
        appliance: None,
        gossip: None,
    })
}

fn seed(v: Option<&Value>) -> Result<u64, ConfigError> {
    match v {
        None | Some(Value::Null) => {
            getrandom::u64().map_err(|e| invalid("seed", format!("found none, and the system has none: {e}")))
        }
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16)
            .map_err(|e| invalid("seed", format!("found {hex:?}, expected a hexadecimal number: {e}"))),
        Some(v) => v.as_u64().ok_or_else(|| invalid("seed", format!("found {v}, expected a number"))),
    }
}

fn optional_address(json: &Value, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
    match json.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => parse_address(key, v).map(Some),
    }
}

fn parse_address(key: &str, v: &Value) -> Result<SocketAddr, ConfigError> {
    let malformed = || invalid(key, format!("found {v}, expected an address and a port"));
    v.as_str().ok_or_else(malformed)?.parse().map_err(|_| malformed())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn base() -> Config {
        parse(&serde_json::json!({
            "listen": "127.0.0.1:0",
            "settings": {"classes": [{"name": "a", "giveUp": 9000}], "extra": {"ownExchange": 3}}
        }))
        .unwrap()
    }

    const GATEWAY: &str = "enabled = true\nlisten = \"127.0.0.1:2727\"\nclass = \"a\"\n[[gateway]]\n\
        name = \"Cab\"\naddress = \"127.0.0.1:2427\"\nexchange = 9\nendpoints = [\"Lamp/1\"]\n";

    #[test]
    fn errors_in_deploy_files_name_their_key() {
        assert_eq!(mgcp(GATEWAY, &base()).unwrap().unwrap().agent.gateways[0].endpoints, ["lamp/1"]);
        assert!(mgcp(&GATEWAY.replace("enabled = true", ""), &base()).unwrap().is_none());
        for (from, to, key) in [
            ("127.0.0.1:2727", "10.0.0.1:2727", "mgcp.listen"),
            ("class = \"a\"", "class = \"b\"", "mgcp.class"),
            ("127.0.0.1:2427", "cab:2427", "mgcp.gateway.0.address"),
            ("exchange = 9", "exchange = 3", "mgcp.gateway.0.exchange"),
            ("\"Lamp/1\"", "\"Lamp/1\", \"lamp/1\"", "mgcp.gateway.0.endpoints"),
            ("exchange = 9", "exchange = 9\nodd = 1", "mgcp.toml"),
        ] {
            let error = mgcp(&GATEWAY.replace(from, to), &base()).unwrap_err().to_string();
            assert!(error.starts_with(key), "{error}");
        }
        for (text, key) in [
            ("enabled = true", "telemetry.endpoint: missing"),
            ("enabled = true\nendpoint = \"http://10.0.0.1:4318\"", "telemetry.endpoint"),
            (
                "enabled = true\nendpoint = \"http://127.0.0.1:4318\"\ninterval_ms = 1",
                "telemetry.interval_ms",
            ),
        ] {
            assert!(telemetry(text).unwrap_err().to_string().starts_with(key), "{text}");
        }
    }
}
