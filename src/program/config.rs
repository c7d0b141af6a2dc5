//! The one place where configuration is read, checked and given its defaults. Every error names the key.

use super::appliance_file::{self, ApplianceConfig, LogFormat};
use super::gossip_file::{self, GossipConfig, Platform};
use super::toml_check::Fault;
use crate::protocol::mgcp::agent::{AgentConfig, AnsweredBy, Gateway};
use crate::protocol::{simulator, text_settings};
use crate::routing::interface::{ExchangeNumber, Micros, Settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why the program does not start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{key}: cannot read {path}: {why}")]
    File {
        /// What named the file.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// A key is missing.
    #[error("{0}: missing")]
    Missing(String),
    /// A key has a value that it cannot have.
    #[error("{key}: {why}")]
    Bad {
        /// The key.
        key: String,
        /// What is wrong.
        why: String,
    },
    /// One of our files has these faults.
    #[error("{}\n{}", count(.0.len()), lines(.0))]
    Faults(Vec<Fault>),
}

fn count(n: usize) -> String {
    if n == 1 {
        "a fault".to_owned()
    } else {
        format!("{n} faults")
    }
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn bad(key: &str, why: impl ToString) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), why: why.to_string() }
}

/// What the command line says of how to serve.
#[derive(Clone, Debug, Default, PartialEq, clap::Args)]
pub struct Arguments {
    /// Read line commands from standard input
    #[arg(long)]
    pub console: bool,
    /// The configuration, in place of the file that ROUTER_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The gateways' file, in place of deploy/mgcp.toml
    #[arg(long, value_name = "FILE")]
    pub mgcp: Option<PathBuf>,
    /// The exporter's file, in place of deploy/telemetry.toml
    #[arg(long, value_name = "FILE")]
    pub telemetry: Option<PathBuf>,
    /// The appliance's file, in place of deploy/appliance.toml
    #[arg(long, value_name = "FILE")]
    pub appliance: Option<PathBuf>,
    /// The gossip's file, in place of deploy/gossip.toml
    #[arg(long, value_name = "FILE")]
    pub gossip: Option<PathBuf>,
    /// What is logged, as info,walnuthatch::drains=debug; goes before WALNUTHATCH_LOG and the appliance's file
    #[arg(long, value_name = "FILTER")]
    pub log: Option<String>,
    /// How it is logged
    #[arg(long, value_enum, value_name = "FORMAT")]
    pub log_format: Option<LogFormat>,
    /// Only check the configuration
    #[arg(long)]
    pub check: bool,
}

/// Everything that the program is told before it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Where peers' messages come in.
    pub peer_listen: Option<SocketAddr>,
    /// The peers, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address of all peers.
    pub peers_all: Option<SocketAddr>,
    /// The coordinator.
    pub coordinator: Option<SocketAddr>,
    /// The list's events up to the start, each as JSON.
    pub known: Vec<String>,
    /// The number of the last of them.
    pub known_index: u64,
    /// What the module is told.
    pub settings: Settings,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// A connection that is not up after this was not made.
    pub connect_timeout: Micros,
    /// The front towards gateways, if it is on.
    pub mgcp: Option<MgcpConfig>,
    /// The exporter, if it is on.
    pub telemetry: Option<TelemetryConfig>,
    /// The appliance, if it is on.
    pub appliance: Option<ApplianceConfig>,
    /// Gossip, if it is on.
    pub gossip: Option<GossipConfig>,
}

/// The exporter of metrics and spans.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetryConfig {
    /// The collector.
    pub collector: SocketAddr,
    /// Time between two exports.
    pub interval: Micros,
    /// Whether each call makes a span.
    pub spans: bool,
}

/// The front towards gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct MgcpConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What the call agent is told.
    pub agent: AgentConfig,
}

/// Where the gateways' file lies, from the folder that the program is started in.
const MGCP_FILE: &str = "deploy/mgcp.toml";
/// Where the exporter's file lies.
const TELEMETRY_FILE: &str = "deploy/telemetry.toml";

/// Reads the configuration: the file, then the environment's name and address where the file has none.
pub fn load(arguments: &Arguments, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let named = arguments.appliance.as_deref();
    let appliance = match optional("appliance.toml", named, appliance_file::FILE)? {
        Some(text) => {
            let file = named.unwrap_or(Path::new(appliance_file::FILE)).display().to_string();
            appliance_file::read(&file, &text).map_err(ConfigError::Faults)?
        }
        None => None,
    };
    let path = arguments.config.clone().or_else(|| env("ROUTER_CONFIG").map(PathBuf::from));
    let site = appliance.as_ref().and_then(|a| a.platform.clone());
    let mut json: Value = match (path, site) {
        (Some(path), _) => {
            let text = read("ROUTER_CONFIG", &path)?;
            serde_json::from_str(&text).map_err(|e| bad("ROUTER_CONFIG", e))?
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
    if let Some(text) = optional(MGCP_FILE, arguments.mgcp.as_deref(), MGCP_FILE)? {
        config.mgcp = mgcp(&text, &config)?;
    }
    if let Some(text) = optional(TELEMETRY_FILE, arguments.telemetry.as_deref(), TELEMETRY_FILE)? {
        config.telemetry = telemetry(&text)?;
    }
    let named_gossip = arguments.gossip.as_deref();
    if let Some(text) = optional("gossip.toml", named_gossip, gossip_file::FILE)? {
        let file = named_gossip.unwrap_or(Path::new(gossip_file::FILE)).display().to_string();
        let own = config.settings.own_exchange.map(|o| walnuthatch_gossip::Exchange(o.0));
        let platform = config.platform_peers();
        let read = gossip_file::read(&file, &text, &config.name, own, platform.as_ref());
        config.gossip = read.map_err(ConfigError::Faults)?;
    }
    if let Some(a) = appliance {
        join(&mut config, a, named)?;
    }
    Ok(config)
}

/// Brings what the appliance's file says together with the rest.
fn join(config: &mut Config, a: ApplianceConfig, named: Option<&Path>) -> Result<(), ConfigError> {
    if let Some(list) = &a.list {
        if config.coordinator.is_some() || !config.known.is_empty() {
            return Err(bad("appliance.exchange", "a coordinator tells of the exchanges already"));
        }
        config.known = vec![list.clone()];
    }
    if let Some(m) = &mut config.mgcp {
        let file = named.unwrap_or(Path::new(appliance_file::FILE)).display().to_string();
        appliance_file::against_gateways(&file, &a, m).map_err(ConfigError::Faults)?;
        m.agent.routes.extend(a.prefixes.iter().cloned());
    }
    config.appliance = Some(a);
    Ok(())
}

/// The text of a file that need not be there unless it was named.
fn optional(key: &'static str, named: Option<&Path>, usual: &str) -> Result<Option<String>, ConfigError> {
    match named {
        Some(path) => read(key, path).map(Some),
        None if Path::new(usual).exists() => read(key, Path::new(usual)).map(Some),
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

/// Checks the gateways' file; `None` where it leaves the front off.
pub fn mgcp(text: &str, config: &Config) -> Result<Option<MgcpConfig>, ConfigError> {
    let file: MgcpFile = toml::from_str(text).map_err(|e| bad("mgcp.toml", e.to_string().trim()))?;
    if !file.enabled {
        return Ok(None);
    }
    let listen = file.listen.ok_or_else(|| ConfigError::Missing("mgcp.listen".to_owned()))?;
    let listen = loopback("mgcp.listen", &listen)?;
    let class = file.class.ok_or_else(|| ConfigError::Missing("mgcp.class".to_owned()))?;
    let position = config.classes.iter().position(|c| *c == class);
    let class = position.ok_or_else(|| bad("mgcp.class", format!("{class:?} is no class")))?;
    let patience = file.patience_ms.unwrap_or(3_000);
    if !(200..=600_000).contains(&patience) {
        return Err(bad("mgcp.patience_ms", "not from 200 to 600000"));
    }
    let digits = file.digits.unwrap_or(4);
    if !(1..=32).contains(&digits) {
        return Err(bad("mgcp.digits", "not from 1 to 32"));
    }
    let mut gateways: Vec<Gateway> = Vec::new();
    for (i, g) in file.gateway.into_iter().enumerate() {
        let key = |name: &str| format!("mgcp.gateway.{i}.{name}");
        let name = g.name.to_ascii_lowercase();
        if name.is_empty() || name.contains('@') || gateways.iter().any(|o| o.name == name) {
            return Err(bad(&key("name"), "empty, with an @, or there twice"));
        }
        let exchange = ExchangeNumber(g.exchange);
        if Some(exchange) == config.settings.own_exchange || gateways.iter().any(|o| o.exchange == exchange) {
            return Err(bad(&key("exchange"), "the own exchange, or there twice"));
        }
        let mut endpoints: Vec<String> = g.endpoints.iter().map(|e| e.to_ascii_lowercase()).collect();
        endpoints.sort();
        endpoints.dedup();
        let odd = |e: &String| e.is_empty() || e.contains(['@', '*', '$', ' ']);
        if endpoints.is_empty() || endpoints.len() != g.endpoints.len() || endpoints.iter().any(odd) {
            return Err(bad(&key("endpoints"), "none, one there twice, or one with @, *, $ or a space"));
        }
        let answered_by = match g.answered_by.as_deref() {
            None | Some("off-hook") => AnsweredBy::OffHook,
            Some("connection") => AnsweredBy::Connection,
            Some(_) => return Err(bad(&key("answered_by"), "neither off-hook nor connection")),
        };
        let address = loopback(&key("address"), &g.address)?;
        gateways.push(Gateway { name, address, exchange, prefix: g.prefix, endpoints, answered_by });
    }
    if gateways.is_empty() {
        return Err(ConfigError::Missing("mgcp.gateway".to_owned()));
    }
    let routes = file.route.into_iter().map(|r| (r.prefix, ExchangeNumber(r.exchange))).collect();
    let patience = Micros::from(patience) * 1000;
    let agent = AgentConfig { gateways, routes, digits, class, patience };
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

/// Checks the exporter's file; `None` where it leaves the exporter off.
pub fn telemetry(text: &str) -> Result<Option<TelemetryConfig>, ConfigError> {
    let file: TelemetryFile =
        toml::from_str(text).map_err(|e| bad("telemetry.toml", e.to_string().trim()))?;
    if !file.enabled {
        return Ok(None);
    }
    let endpoint = file.endpoint.ok_or_else(|| ConfigError::Missing("telemetry.endpoint".to_owned()))?;
    let place = endpoint.strip_prefix("http://").map(|p| p.strip_suffix('/').unwrap_or(p));
    let place = place.ok_or_else(|| bad("telemetry.endpoint", "does not begin with http://"))?;
    let collector = loopback("telemetry.endpoint", place)?;
    let interval = file.interval_ms.unwrap_or(10_000);
    if !(100..=3_600_000).contains(&interval) {
        return Err(bad("telemetry.interval_ms", "not from 100 to 3600000"));
    }
    let interval = Micros::from(interval) * 1000;
    Ok(Some(TelemetryConfig { collector, interval, spans: file.spans }))
}

impl Config {
    /// The path between peers, as the platform tells it; the own address is the one of its rank.
    fn platform_peers(&self) -> Option<Platform> {
        let address = *self.peers.get(self.settings.own_peer.0 as usize)?;
        Some(Platform { listen: self.peer_listen?, address, peers: self.peers.clone() })
    }

    /// Callers' connections beyond which the least needed ones are ended: callers may hold a third of the
    /// descriptors.
    pub fn usual_callers(&self) -> usize {
        self.sockets / 2
    }

    /// Callers' connections that there may be in all, those that are ending included; what is left of the
    /// descriptors is for exchanges, the coordinator and the program itself.
    pub fn most_callers(&self) -> usize {
        self.sockets * 5 / 8
    }

    /// The keys in which `new` differs and which only a start can follow: sockets that are bound, and what the
    /// calls at hand rest on.
    pub fn needs_restart(&self, new: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("limits", self.sockets == new.sockets),
            ("peer_listen", self.peer_listen == new.peer_listen),
            ("settings", self.settings == new.settings && self.classes == new.classes),
            ("settings.failureDomains", self.zones == new.zones),
            ("settings.limits.connectTimeout", self.connect_timeout == new.connect_timeout),
            ("mgcp", self.mgcp == new.mgcp),
            ("telemetry", self.telemetry == new.telemetry),
            ("gossip.enabled", self.gossip.is_some() == new.gossip.is_some()),
            ("gossip.listen", self.listens_to_gossip() == new.listens_to_gossip()),
            ("appliance.enabled", self.appliance.is_some() == new.appliance.is_some()),
            ("appliance.control", self.of_appliance(|a| &a.socket) == new.of_appliance(|a| &a.socket)),
            ("appliance.state", self.of_appliance(|a| &a.folder) == new.of_appliance(|a| &a.folder)),
            ("appliance.exchange", self.of_appliance(|a| &a.list) == new.of_appliance(|a| &a.list)),
        ];
        same.into_iter().filter(|s| !s.1).map(|s| s.0).collect()
    }

    /// Takes over from `new` what a running program can follow.
    pub fn follow(&mut self, new: Config) {
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
            old.links = new.links;
            old.log_filter = new.log_filter;
        }
    }

    fn listens_to_gossip(&self) -> Option<SocketAddr> {
        self.gossip.as_ref().map(|g| g.listen)
    }

    fn of_appliance<T>(&self, what: impl Fn(&ApplianceConfig) -> &T) -> Option<&T> {
        self.appliance.as_ref().map(what)
    }

    /// What the program was told, in lines.
    pub fn summary(&self) -> String {
        let place = |a: &Option<SocketAddr>| a.map_or("none".to_owned(), |a| a.to_string());
        let gateways = self.mgcp.as_ref().map_or("off".to_owned(), |m| {
            let names: Vec<&str> = m.agent.gateways.iter().map(|g| g.name.as_str()).collect();
            format!("at {}: {}", m.listen, names.join(" "))
        });
        let export = self.telemetry.as_ref().map_or("off".to_owned(), |t| {
            format!("to {} every {} ms, spans {}", t.collector, t.interval / 1000, t.spans)
        });
        let gossip = self.gossip.as_ref().map_or("off".to_owned(), |g| {
            let keys: Vec<String> = g.ring.ids().map(|id| id.to_string()).collect();
            format!("at {}, {} seeds, keys {}", g.listen, g.node.seeds.len(), keys.join(" "))
        });
        let appliance = self.appliance.as_ref().map_or("off".to_owned(), |a| {
            let path =
                |p: &Option<PathBuf>| p.as_ref().map_or("none".to_owned(), |p| p.display().to_string());
            format!(
                "control socket {}, state folder {}, {} windows",
                path(&a.socket),
                path(&a.folder),
                a.windows.len()
            )
        });
        format!(
            "name {}\nlisten {}\ncoordinator {}\npeers {}, listening at {}\nclasses {}\nsockets {}\n\
             gateways {gateways}\ntelemetry {export}\nappliance {appliance}\ngossip {gossip}\n",
            self.name,
            self.listen,
            place(&self.coordinator),
            self.peers.len(),
            place(&self.peer_listen),
            self.classes.join(" "),
            self.sockets,
        )
    }
}

fn loopback(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    let address: SocketAddr =
        text.parse().map_err(|_| bad(key, format!("{text:?} is no address with a port")))?;
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(bad(key, format!("{text:?} is no loopback address"))),
    }
}

fn read(key: &'static str, path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError::File {
        key,
        path: path.to_owned(),
        why: e.to_string(),
    })
}

/// Checks a configuration object.
pub fn parse(json: &Value) -> Result<Config, ConfigError> {
    let listen = address(json, "listen")?.ok_or_else(|| ConfigError::Missing("listen".to_owned()))?;
    let settings_json = json.get("settings").ok_or_else(|| ConfigError::Missing("settings".to_owned()))?;
    let flat = text_settings::flatten(settings_json);
    let settings = simulator::parse_settings(&flat).map_err(|e| bad(&format!("settings.{}", e.key), &e))?;
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
        Some(v) => v
            .as_f64()
            .filter(|ms| (1.0..=60_000.0).contains(ms))
            .ok_or_else(|| bad("settings.limits.connectTimeout", "not a time in milliseconds"))?,
    };
    let known_index = match json.pointer("/known/index") {
        None => 0,
        Some(v) => v.as_u64().ok_or_else(|| bad("known.index", "not a number"))?,
    };
    let known = match json.pointer("/known/updates") {
        None => Vec::new(),
        Some(v) => v.as_array().ok_or_else(|| bad("known.updates", "not a list"))?.clone(),
    };
    let peers = match json.get("peers") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(items)) => {
            items.iter().map(|v| socket("peers", v)).collect::<Result<Vec<_>, _>>()?
        }
        Some(_) => return Err(bad("peers", "not a list")),
    };
    let sockets = match json.pointer("/limits/sockets") {
        None => 1024,
        Some(v) => v
            .as_u64()
            .filter(|n| (64..=1_000_000).contains(n))
            .ok_or_else(|| bad("limits.sockets", "not a number from 64"))? as usize,
    };
    Ok(Config {
        name: json.get("name").and_then(Value::as_str).unwrap_or("walnuthatch").to_owned(),
        listen,
        seed: seed(json.get("seed"))?,
        sockets,
        peer_listen: address(json, "peer_listen")?,
        peers,
        peers_all: address(json, "peers_all")?,
        coordinator: address(json, "coordinator")?,
        known: known.iter().map(Value::to_string).collect(),
        known_index,
        settings,
        classes,
        zones: names("failureDomains"),
        connect_timeout: (connect_timeout * 1000.0) as Micros,
        mgcp: None,
        telemetry: None,
        appliance: None,
        gossip: None,
    })
}

fn seed(v: Option<&Value>) -> Result<u64, ConfigError> {
    match v {
        None | Some(Value::Null) => Ok(u64::from(std::process::id())),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).map_err(|e| bad("seed", e)),
        Some(v) => v.as_u64().ok_or_else(|| bad("seed", "not a number")),
    }
}

fn address(json: &Value, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
    match json.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(v) => socket(key, v).map(Some),
    }
}

fn socket(key: &str, v: &Value) -> Result<SocketAddr, ConfigError> {
    let text = v.as_str().ok_or_else(|| bad(key, "not an address"))?;
    text.parse().map_err(|_| bad(key, format!("{text:?} is no address with a port")))
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
    fn a_fault_in_a_deploy_file_is_named_by_its_key() {
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
