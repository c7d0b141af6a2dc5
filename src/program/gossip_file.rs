//! The gossip configuration file, `deploy/gossip.toml`, and the key file that it names.

use super::toml_check::{self, Checker, Diagnostic};
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use walnuthatch_gossip::auth::KeyRing;
use walnuthatch_gossip::node;
use walnuthatch_gossip::rate_limit::RateLimit;
use walnuthatch_gossip::Exchange;
use zeroize::Zeroizing;

/// Default path of the file, relative to the working directory.
pub const FILE: &str = "deploy/gossip.toml";

/// Configuration of the gossip between instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GossipFile {
    /// Whether gossip is enabled; if not, the rest of this file is ignored.
    pub enabled: bool,
    /// Address on which datagrams are received, or `peers`: then `peer_listen` of the platform's configuration is
    /// used, with its `peers` as seeds.
    pub listen: String,
    /// Address under which other instances reach this one, if it is not the listening address.
    pub advertise: Option<String>,
    /// Addresses of the instances that are contacted to join.
    pub seeds: Vec<String>,
    /// Networks from which datagrams are accepted; those from elsewhere are ignored.
    #[schemars(length(min = 1))]
    pub allowed: Option<Vec<String>>,
    /// Path of the key file; only its owner may have access to it (mode 600).
    #[schemars(length(min = 1))]
    pub key_file: String,
    /// Rate limits.
    pub limits: LimitsFile,
}

/// Rate limits of the gossip traffic.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsFile {
    /// Maximum rate of sent traffic (bytes per second).
    #[schemars(range(min = 1024, max = 10000000))]
    pub send_bytes_per_s: u32,
    /// Maximum rate of sent datagrams (per second).
    #[schemars(range(min = 4, max = 100000))]
    pub send_datagrams_per_s: u32,
    /// Maximum rate of received traffic (bytes per second).
    #[schemars(range(min = 1024, max = 10000000))]
    pub receive_bytes_per_s: u32,
    /// Maximum rate of received datagrams (per second).
    #[schemars(range(min = 4, max = 100000))]
    pub receive_datagrams_per_s: u32,
    /// Maximum rate of traffic received from one address (bytes per second).
    #[schemars(range(min = 1024, max = 10000000))]
    pub source_bytes_per_s: u32,
    /// Maximum rate of datagrams received from one address (per second).
    #[schemars(range(min = 4, max = 100000))]
    pub source_datagrams_per_s: u32,
}

impl Default for LimitsFile {
    fn default() -> Self {
        LimitsFile {
            send_bytes_per_s: 16_384,
            send_datagrams_per_s: 100,
            receive_bytes_per_s: 65_536,
            receive_datagrams_per_s: 400,
            source_bytes_per_s: 16_384,
            source_datagrams_per_s: 100,
        }
    }
}

/// The validated gossip configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// Configuration of the gossip node.
    pub node: node::Config,
    /// Keys that authenticate the datagrams.
    pub key_ring: KeyRing,
}

/// Peer addresses from the platform's configuration.
#[derive(Clone, Debug)]
pub struct PlatformPeers {
    /// Address on which datagrams from peers are received.
    pub listen: SocketAddr,
    /// Address under which the peers see this instance.
    pub address: SocketAddr,
    /// Addresses of all peers.
    pub peers: Vec<SocketAddr>,
}

/// Value of `listen` that selects the peer addresses of the platform's configuration.
const PEERS: &str = "peers";

/// The JSON schema of the file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(GossipFile)).unwrap_or_default()
}

/// Reads and validates the file and its key file; `None` if gossip is disabled.
///
/// # Errors
/// All errors that were found. No message contains any part of a key.
pub fn read(
    file: &str,
    text: &str,
    name: &str,
    own_exchange: Option<Exchange>,
    peers: Option<&PlatformPeers>,
) -> Result<Option<GossipConfig>, Vec<Diagnostic>> {
    let Some((mut checker, parsed)) = toml_check::read::<GossipFile>(file, text, &schema())? else {
        return Ok(None);
    };
    let default_networks = || vec!["127.0.0.0/8".to_owned(), "::1/128".to_owned()];
    let allowed = checker.networks("allowed", &parsed.allowed.clone().unwrap_or_else(default_networks));
    if parsed.listen == PEERS {
        return read_with_peers(checker, &parsed, name, own_exchange, peers);
    }
    let listen = checker.address("listen", &parsed.listen, &allowed);
    let address = match &parsed.advertise {
        Some(text) => checker.address("advertise", text, &allowed),
        None => listen,
    };
    let seeds = parsed.seeds.iter().enumerate();
    let seeds: Vec<_> =
        seeds.filter_map(|(i, s)| checker.address(&format!("seeds.{i}"), s, &allowed)).collect();
    let key_ring = read_keys(&mut checker, Path::new(&parsed.key_file));
    let (Some(listen), Some(address), Some(key_ring)) = (listen, address, key_ring) else {
        return checker.finish(None);
    };
    let node = node_config(name, (address, seeds, allowed), own_exchange, &parsed.limits);
    checker.finish(Some(GossipConfig { listen, node, key_ring }))
}

fn node_config(
    name: &str,
    (address, seeds, allowed): (SocketAddr, Vec<SocketAddr>, Vec<IpNet>),
    own_exchange: Option<Exchange>,
    limits: &LimitsFile,
) -> node::Config {
    let rate_limit = |bytes, datagrams| RateLimit { bytes, datagrams };
    node::Config {
        name: name.to_owned(),
        address,
        seeds,
        allowed,
        own_exchange,
        send_limit: rate_limit(limits.send_bytes_per_s, limits.send_datagrams_per_s),
        receive_limit: rate_limit(limits.receive_bytes_per_s, limits.receive_datagrams_per_s),
        source_limit: rate_limit(limits.source_bytes_per_s, limits.source_datagrams_per_s),
    }
}

/// Configures gossip over the platform's peer addresses; datagrams are accepted only from these.
fn read_with_peers(
    mut checker: Checker<'_>,
    parsed: &GossipFile,
    name: &str,
    own_exchange: Option<Exchange>,
    peers: Option<&PlatformPeers>,
) -> Result<Option<GossipConfig>, Vec<Diagnostic>> {
    let key_ring = read_keys(&mut checker, Path::new(&parsed.key_file));
    let Some(peers) = peers else {
        checker.report(
            "listen",
            format!("found {PEERS:?}, expected peer_listen and peers in the configuration"),
        );
        return checker.finish(None);
    };
    let Some(key_ring) = key_ring else { return checker.finish(None) };
    let allowed = peers.peers.iter().map(|a| IpNet::from(a.ip())).collect();
    let node = node_config(name, (peers.address, peers.peers.clone(), allowed), own_exchange, &parsed.limits);
    checker.finish(Some(GossipConfig { listen: peers.listen, node, key_ring }))
}

fn read_keys(checker: &mut Checker<'_>, path: &Path) -> Option<KeyRing> {
    let shown_path = PathBuf::from(path).display().to_string();
    let mode = match std::fs::metadata(path) {
        Ok(metadata) => metadata.permissions().mode() & 0o777,
        Err(e) => {
            checker
                .report("key_file", format!("found {shown_path:?}, expected a file that can be read: {e}"));
            return None;
        }
    };
    if mode & 0o077 != 0 {
        checker.report(
            "key_file",
            format!("found {shown_path:?} with mode {mode:o}, expected 600: others may read it"),
        );
        return None;
    }
    let text = match std::fs::read_to_string(path) {
        Ok(text) => Zeroizing::new(text),
        Err(e) => {
            checker
                .report("key_file", format!("found {shown_path:?}, expected a file that can be read: {e}"));
            return None;
        }
    };
    KeyRing::parse(&text).map_err(|e| checker.report("key_file", format!("{shown_path:?}: {e}"))).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write_key_file(name: &str, mode: u32) -> PathBuf {
        let path = std::env::temp_dir().join(format!("wh-{}-{name}", std::process::id()));
        let text = format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", "5".repeat(64));
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        path
    }

    #[test]
    fn errors_name_line_and_key_and_never_show_a_secret() {
        let keys = write_key_file("keys", 0o600);
        let valid = format!(
            "enabled = true\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.2:7946\"]\nkey_file = {:?}\n",
            keys.display().to_string()
        );
        let read = |text: &str| read("g", text, "n1", Some(Exchange(3)), None);
        let config = read(&valid).unwrap().unwrap();
        assert_eq!((config.node.seeds.len(), config.key_ring.signing_key_id()), (1, 1));
        assert!(read("enabled = false\nlisten = 7\n").unwrap().is_none());
        let world_readable = write_key_file("open", 0o644);
        for (from, to, expected) in [
            (
                "127.0.0.1:0",
                "10.0.0.1:0",
                "g:2: listen: found \"10.0.0.1:0\", expected an address in 127.0.0.0/8",
            ),
            ("127.0.0.2:7946", "nowhere", "g:3: seeds.0: found \"nowhere\""),
            ("enabled = true", "enabled = true\nodd = 1", "odd"),
            ("wh-", "wx-", "expected a file that can be read"),
            (keys.to_str().unwrap(), world_readable.to_str().unwrap(), "mode 644, expected 600"),
            ("listen = \"127.0.0.1:0\"", "listen = \"peers\"", "expected peer_listen and peers"),
            ("seeds =", "allowed = [\"x\"]\nseeds =", "allowed.0: found \"x\", expected a network"),
        ] {
            let errors = read(&valid.replacen(from, to, 1)).unwrap_err();
            let messages = errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
            assert!(messages.contains(expected) && !messages.contains("5555"), "{expected}: {messages}");
        }
        let low_limit = format!("{valid}[limits]\nsend_bytes_per_s = 5\n");
        assert!(read(&low_limit).unwrap_err()[0].key == "limits.send_bytes_per_s");
    }
}
