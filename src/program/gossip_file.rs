//! The gossip's file, `deploy/gossip.toml`, and the file of its keys.

use super::toml_check::{self, Checker, Fault};
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

/// Where the file lies, from the folder that the program is started in.
pub const FILE: &str = "deploy/gossip.toml";

/// The gossip's file.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct GossipFile {
    /// Whether anything in this file counts.
    pub enabled: bool,
    /// Where datagrams come in; `peers`: at `peer_listen`, with `peers` as seeds, as the platform tells them.
    pub listen: String,
    /// Where others reach it, if that is another address.
    pub advertise: Option<String>,
    /// Instances that are asked first.
    pub seeds: Vec<String>,
    /// Networks that instances are in.
    #[schemars(length(min = 1))]
    pub allowed: Option<Vec<String>>,
    /// The file of the keys; only its owner may read it.
    #[schemars(length(min = 1))]
    pub key_file: String,
    /// Ceilings of traffic.
    pub limits: LimitsFile,
}

/// `[limits]`
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsFile {
    /// Bytes a second that are sent.
    #[schemars(range(min = 1024, max = 10000000))]
    pub send_bytes_per_s: u32,
    /// Datagrams a second that are sent.
    #[schemars(range(min = 4, max = 100000))]
    pub send_datagrams_per_s: u32,
    /// Bytes a second that are taken in.
    #[schemars(range(min = 1024, max = 10000000))]
    pub receive_bytes_per_s: u32,
    /// Datagrams a second that are taken in.
    #[schemars(range(min = 4, max = 100000))]
    pub receive_datagrams_per_s: u32,
    /// Bytes a second that are taken in from one address.
    #[schemars(range(min = 1024, max = 10000000))]
    pub source_bytes_per_s: u32,
    /// Datagrams a second that are taken in from one address.
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

/// What the gossip is told.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipConfig {
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// What the node is told.
    pub node: node::Config,
    /// The keys.
    pub key_ring: KeyRing,
}

/// What the platform tells of peers.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Where their datagrams come in.
    pub listen: SocketAddr,
    /// Where this one's seem to come from.
    pub address: SocketAddr,
    /// All of them.
    pub peers: Vec<SocketAddr>,
}

/// The word for the platform's path.
const PEERS: &str = "peers";

/// The schema of the file.
pub fn schema() -> Value {
    serde_json::to_value(schemars::schema_for!(GossipFile)).unwrap_or_default()
}

/// Reads and checks the file and its keys; `None` where it leaves gossip off.
///
/// # Errors
/// All faults that were found. Nothing of a key is shown.
pub fn read(
    file: &str,
    text: &str,
    name: &str,
    own: Option<Exchange>,
    platform: Option<&Platform>,
) -> Result<Option<GossipConfig>, Vec<Fault>> {
    let Some((mut c, f)) = toml_check::read::<GossipFile>(file, text, &schema())? else { return Ok(None) };
    let usual = || vec!["127.0.0.0/8".to_owned(), "::1/128".to_owned()];
    let allowed = c.networks("allowed", &f.allowed.clone().unwrap_or_else(usual));
    if f.listen == PEERS {
        return on_platform(c, &f, name, own, platform);
    }
    let listen = c.address("listen", &f.listen, &allowed);
    let address = match &f.advertise {
        Some(text) => c.address("advertise", text, &allowed),
        None => listen,
    };
    let seeds = f.seeds.iter().enumerate();
    let seeds: Vec<_> = seeds.filter_map(|(i, s)| c.address(&format!("seeds.{i}"), s, &allowed)).collect();
    let key_ring = keys(&mut c, Path::new(&f.key_file));
    let (Some(listen), Some(address), Some(key_ring)) = (listen, address, key_ring) else { return c.end(None) };
    let node = node(name, (address, seeds, allowed), own, &f.limits);
    c.end(Some(GossipConfig { listen, node, key_ring }))
}

fn node(
    name: &str,
    (address, seeds, allowed): (SocketAddr, Vec<SocketAddr>, Vec<IpNet>),
    own: Option<Exchange>,
    l: &LimitsFile,
) -> node::Config {
    let ceiling = |bytes, datagrams| RateLimit { bytes, datagrams };
    node::Config {
        name: name.to_owned(),
        address,
        seeds,
        allowed,
        own_exchange: own,
        send_limit: ceiling(l.send_bytes_per_s, l.send_datagrams_per_s),
        receive_limit: ceiling(l.receive_bytes_per_s, l.receive_datagrams_per_s),
        source_limit: ceiling(l.source_bytes_per_s, l.source_datagrams_per_s),
    }
}

/// Gossip on the path that the platform has for peers: only those that it names are heard.
fn on_platform(
    mut c: Checker<'_>,
    f: &GossipFile,
    name: &str,
    own: Option<Exchange>,
    platform: Option<&Platform>,
) -> Result<Option<GossipConfig>, Vec<Fault>> {
    let key_ring = keys(&mut c, Path::new(&f.key_file));
    let Some(p) = platform else {
        c.add("listen", format!("found {PEERS:?}, expected peer_listen and peers in the configuration"));
        return c.end(None);
    };
    let Some(key_ring) = key_ring else { return c.end(None) };
    let allowed = p.peers.iter().map(|a| IpNet::from(a.ip())).collect();
    let node = node(name, (p.address, p.peers.clone(), allowed), own, &f.limits);
    c.end(Some(GossipConfig { listen: p.listen, node, key_ring }))
}

fn keys(c: &mut Checker<'_>, path: &Path) -> Option<KeyRing> {
    let shown = PathBuf::from(path).display().to_string();
    let mode = match std::fs::metadata(path) {
        Ok(found) => found.permissions().mode() & 0o777,
        Err(e) => {
            c.add("key_file", format!("found {shown:?}, expected a file that can be read: {e}"));
            return None;
        }
    };
    if mode & 0o077 != 0 {
        c.add("key_file", format!("found {shown:?} with mode {mode:o}, expected 600: others may read it"));
        return None;
    }
    let text = match std::fs::read_to_string(path) {
        Ok(text) => Zeroizing::new(text),
        Err(e) => {
            c.add("key_file", format!("found {shown:?}, expected a file that can be read: {e}"));
            return None;
        }
    };
    KeyRing::parse(&text).map_err(|e| c.add("key_file", format!("{shown:?}: {e}"))).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key_file(name: &str, mode: u32) -> PathBuf {
        let path = std::env::temp_dir().join(format!("wh-{}-{name}", std::process::id()));
        let text = format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", "5".repeat(64));
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        path
    }

    #[test]
    fn faults_are_named_by_line_and_key_and_no_key_is_shown() {
        let keys = key_file("keys", 0o600);
        let good = format!(
            "enabled = true\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.2:7946\"]\nkey_file = {:?}\n",
            keys.display().to_string()
        );
        let read = |text: &str| read("g", text, "n1", Some(Exchange(3)), None);
        let got = read(&good).unwrap().unwrap();
        assert_eq!((got.node.seeds.len(), got.key_ring.signing_key_id()), (1, 1));
        assert!(read("enabled = false\nlisten = 7\n").unwrap().is_none());
        let open = key_file("open", 0o644);
        for (from, to, want) in [
            (
                "127.0.0.1:0",
                "10.0.0.1:0",
                "g:2: listen: found \"10.0.0.1:0\", expected an address in 127.0.0.0/8",
            ),
            ("127.0.0.2:7946", "nowhere", "g:3: seeds.0: found \"nowhere\""),
            ("enabled = true", "enabled = true\nodd = 1", "odd"),
            ("wh-", "wx-", "expected a file that can be read"),
            (keys.to_str().unwrap(), open.to_str().unwrap(), "mode 644, expected 600"),
            ("listen = \"127.0.0.1:0\"", "listen = \"peers\"", "expected peer_listen and peers"),
            ("seeds =", "allowed = [\"x\"]\nseeds =", "allowed.0: found \"x\", expected a network"),
        ] {
            let faults = read(&good.replacen(from, to, 1)).unwrap_err();
            let all = faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
            assert!(all.contains(want) && !all.contains("5555"), "{want}: {all}");
        }
        let low = format!("{good}[limits]\nsend_bytes_per_s = 5\n");
        assert!(read(&low).unwrap_err()[0].key == "limits.send_bytes_per_s");
    }
}
