//! The one place where configuration is read, checked and given its defaults. Every error names the key.

use crate::protocol::{simulator, text_settings};
use crate::routing::interface::{Micros, Settings};
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
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
    /// An argument is not known.
    #[error("argument {0:?}: not known; see --help")]
    Argument(String),
}

fn bad(key: &str, why: impl ToString) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), why: why.to_string() }
}

/// What the command line says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arguments {
    /// Read line commands from standard input.
    pub console: bool,
    /// The configuration file, in place of `ROUTER_CONFIG`.
    pub config: Option<PathBuf>,
    /// Only check the configuration.
    pub check: bool,
    /// Print the help and end.
    pub help: bool,
}

/// Reads the command line, without the program's name.
pub fn arguments(words: impl Iterator<Item = String>) -> Result<Arguments, ConfigError> {
    let mut out = Arguments::default();
    let mut words = words;
    while let Some(word) = words.next() {
        match word.as_str() {
            "--console" => out.console = true,
            "--check" => out.check = true,
            "--help" | "-h" => out.help = true,
            "--config" => {
                let path = words.next().ok_or_else(|| ConfigError::Missing("--config FILE".to_owned()))?;
                out.config = Some(path.into());
            }
            _ => return Err(ConfigError::Argument(word)),
        }
    }
    Ok(out)
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
}

/// Reads the configuration: the file, then the environment's name and address where the file has none.
pub fn load(arguments: &Arguments, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = arguments.config.clone().or_else(|| env("ROUTER_CONFIG").map(PathBuf::from));
    let path = path.ok_or_else(|| ConfigError::Missing("ROUTER_CONFIG".to_owned()))?;
    let text = read("ROUTER_CONFIG", &path)?;
    let mut json: Value = serde_json::from_str(&text).map_err(|e| bad("ROUTER_CONFIG", e))?;
    for (key, variable) in [("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")] {
        if let (Some(object), Some(value)) = (json.as_object_mut(), env(variable)) {
            object.entry(key).or_insert(Value::String(value));
        }
    }
    parse(&json)
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
    let settings = simulator::settings(&flat).map_err(|e| bad(&format!("settings.{}", e.key), &e))?;
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

/// Whether an address is one of this machine's own alone.
pub fn is_loopback(address: IpAddr) -> bool {
    address.is_loopback()
}
