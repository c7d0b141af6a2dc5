//! Gossip between processes on loopback: an exchange that hangs, peers that send forged, false or excessive messages,
//! and a change of keys.

mod common;

use common::{temp_file, wait_until, Program};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::{Body, Operation, Topic};
use walnuthatch_gossip::auth::KeyRing;
use walnuthatch_gossip::node::{Config, Node, Output};
use walnuthatch_gossip::rate_limit::RateLimit;
use walnuthatch_gossip::{Exchange as GossipExchange, MemberId};
use walnuthatch_standin::{Callers, Exchange, ExchangeConfig, Load, LoadReport};

/// A key file with one signing key, whose secret repeats this hexadecimal digit.
fn key_file(digit: char) -> String {
    format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", digit.to_string().repeat(64))
}

/// A running controller with gossip.
struct Instance {
    program: Program,
    callers: SocketAddr,
    gossip: SocketAddr,
    socket: PathBuf,
    keys: PathBuf,
}

impl Instance {
    /// Starts a controller whose own exchange has this number; it joins the group through `seed`.
    fn start(own_exchange: u16, exchanges: &[Exchange], seed: Option<SocketAddr>) -> Instance {
        let socket = std::env::temp_dir().join(format!(
            "whg-{}-{own_exchange}-{}",
            std::process::id(),
            exchanges[0].address().port()
        ));
        let mut text = format!(
            "enabled = true\n[control]\nsocket = {:?}\n[site]\nname = \"n{own_exchange}\"\nlisten = \"127.0.0.1:0\"\n\
             own_exchange = {own_exchange}\n[[class]]\nname = \"status-report\"\naim_ms = 1200\ngive_up_ms = 9000\n",
            socket.display().to_string()
        );
        for (n, exchange) in (1..).zip(exchanges) {
            text += &format!(
                "[[exchange]]\nname = \"x{n}\"\nexchange = {n}\naddress = \"{}\"\n",
                exchange.address()
            );
        }
        let keys = temp_file("gossip.keys", &key_file('a'));
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).unwrap();
        let seeds = seed.map_or(String::new(), |address| format!("seeds = [\"{address}\"]\n"));
        let gossip = format!(
            "enabled = true\nlisten = \"127.0.0.1:0\"\n{seeds}key_file = {:?}\n",
            keys.display().to_string()
        );
        let (appliance, gossip) = (temp_file("appliance.toml", &text), temp_file("gossip.toml", &gossip));
        let program = Program::start(&[("--appliance", &appliance), ("--gossip", &gossip)], &[]);
        let (callers, gossip_address) = (program.listen_address("callers"), program.listen_address("gossip"));
        program.wait_for_log("control socket at ");
        Instance { program, callers, gossip: gossip_address, socket, keys }
    }

    fn show(&self, topic: Topic) -> Body {
        let mut operator = Connection::open(&self.socket, "t").unwrap();
        operator.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
        operator.request("s", Operation::Show { topic, search: String::new() }).unwrap()
    }

    /// Number of members that are alive.
    fn alive_members(&self) -> usize {
        let Body::Peers { peers } = self.show(Topic::Peers) else { panic!() };
        peers.iter().filter(|peer| peer.state == "alive").count()
    }

    fn suspected_exchanges(&self) -> Vec<u16> {
        let Body::Suspicions { suspicions } = self.show(Topic::Suspicions) else { panic!() };
        suspicions.iter().map(|s| s.exchange).collect()
    }

    fn counter(&self, name: &str) -> u64 {
        let Body::Counters { counters } = self.show(Topic::Counters) else { panic!() };
        counters[name]
    }

    /// Whether every exchange is connected and has reported.
    fn is_connected(&self) -> bool {
        let Body::Exchanges { exchanges } = self.show(Topic::Exchanges) else { panic!() };
        exchanges.iter().all(|e| e.connected && e.free.is_some())
    }
}

/// Starts this many stand-in exchanges.
fn start_exchanges(count: u64) -> Vec<Exchange> {
    let exchange_config = |seed| ExchangeConfig {
        circuits: 500,
        delay: Duration::from_millis(5),
        hold: Duration::from_millis(300),
        seed,
    };
    (0..count).map(|seed| Exchange::start(None, exchange_config(seed)).unwrap()).collect()
}

/// Starts this many instances and waits until each has every other as a member.
fn start_group(count: u16, exchanges: &[Exchange]) -> Vec<Instance> {
    let first = Instance::start(100, exchanges, None);
    let seed = Some(first.gossip);
    let mut instances = vec![first];
    instances.extend((1..count).map(|i| Instance::start(100 + i, exchanges, seed)));
    let peers = usize::from(count) - 1;
    wait_until("all instances know each other", || {
        instances.iter().all(|i| i.alive_members() == peers && i.is_connected()).then_some(())
    });
    instances
}

fn load(rate: f64, seconds: u64, destinations: &[u16], seed: u64) -> Load {
    Load {
        rate,
        duration: Duration::from_secs(seconds),
        destinations: destinations.to_vec(),
        class: "status-report".into(),
        client_timeout: Duration::from_secs(3),
        latency_objective: Duration::from_millis(1200),
        connections: 4,
        seed,
    }
}

/// Without gossip, each instance would lose calls of its own to a hanging exchange before it avoids the exchange. The
/// suspicion must reach an instance that has no calls there, and end when the exchange recovers.
#[test]
fn a_hanging_exchange_is_suspected_by_an_instance_without_calls_to_it() {
    let exchanges = start_exchanges(4);
    let instances = start_group(3, &exchanges);
    // The third instance has calls, but none to exchange 1.
    let busy: Vec<Callers> = (0..2)
        .map(|i| Callers::start(instances[i].callers, load(60.0, 6, &[1, 2, 3, 4], i as u64)).unwrap())
        .collect();
    let elsewhere = Callers::start(instances[2].callers, load(30.0, 6, &[2, 3, 4], 9)).unwrap();
    wait_until("exchange 1 receives calls", || (exchanges[0].set_ups() > 20).then_some(()));
    exchanges[0].hang(true);
    wait_until("the third instance suspects exchange 1", || {
        (instances[2].suspected_exchanges() == [1]).then_some(())
    });
    // An instance sends a suspected exchange only one set-up at a time; the bound covers all three instances.
    let set_ups_before = exchanges[0].set_ups();
    let late_callers = Callers::start(instances[2].callers, load(40.0, 1, &[1], 10)).unwrap();
    let sent = exchanges[0].set_ups() - set_ups_before;
    assert!(sent <= 20, "{sent} set-ups by all three instances");
    exchanges[0].hang(false);
    let assert_answered = |report: &LoadReport| {
        assert!(report.unanswered + report.duplicate_answers + report.failed == 0, "{report}")
    };
    assert_answered(&late_callers.finish());
    busy.into_iter().for_each(|callers| assert_answered(&callers.finish()));
    let elsewhere = elsewhere.finish();
    assert_answered(&elsewhere);
    assert_eq!(elsewhere.established, elsewhere.offered, "{elsewhere}");
    wait_until("no instance suspects the exchange any more", || {
        instances.iter().all(|i| i.suspected_exchanges().is_empty()).then_some(())
    });
}

/// Runs a member with a valid key that reports unanswered set-ups at every exchange, until `stop` is set. Adds the
/// bytes that it receives to `received_bytes`.
fn run_false_reporter(seed: SocketAddr, stop: Arc<AtomicBool>, received_bytes: Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let limit = RateLimit { bytes: 100_000, datagrams: 1000 };
    let config = Config {
        name: "liar".into(),
        address: socket.local_addr().unwrap(),
        seeds: vec![seed],
        allowed: vec!["127.0.0.0/8".parse().unwrap()],
        own_exchange: Some(GossipExchange(200)),
        send_limit: limit,
        receive_limit: limit,
        source_limit: limit,
    };
    let unix_time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let (start, mut call) = (Instant::now(), 0);
    let start_time = unix_time.as_micros() as i64;
    let mut node =
        Node::new(start_time, unix_time.as_secs() as i64, config, KeyRing::parse(&key_file('a')).unwrap(), 3);
    let mut buffer = [0; 512];
    while !stop.load(Ordering::SeqCst) {
        let now = start_time + start.elapsed().as_micros() as i64;
        for exchange in 1..=4 {
            call += 1;
            node.set_up_sent(now, GossipExchange(exchange), call);
        }
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            received_bytes.fetch_add(length as u64, Ordering::SeqCst);
            node.handle_datagram(now, from, &buffer[..length]);
        }
        node.handle_timeouts(now);
        for output in node.take_outputs() {
            if let Output::Send(to, bytes) = output {
                drop(socket.send_to(&bytes, to));
            }
        }
    }
}

/// One member with a valid key reports failures that do not exist, and another sender floods an instance with forged
/// and meaningless datagrams. Calls must succeed as before, and gossip must stay within its bandwidth.
#[test]
fn forged_false_and_excessive_gossip_changes_no_calls_outcome() {
    let exchanges = start_exchanges(4);
    let instances = start_group(3, &exchanges);
    let (stop, received_bytes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (seed, stop_flag, bytes) = (instances[0].gossip, stop.clone(), received_bytes.clone());
    let false_reporter = std::thread::spawn(move || run_false_reporter(seed, stop_flag, bytes));
    wait_until("the false reporter is a member", || {
        instances.iter().all(|i| i.alive_members() == 3).then_some(())
    });
    let started_at = Instant::now();
    let sent_before: Vec<u64> = instances.iter().map(|i| i.counter("gossip.sent_bytes")).collect();
    let callers: Vec<Callers> = instances
        .iter()
        .zip(0..)
        .map(|(instance, seed)| Callers::start(instance.callers, load(60.0, 4, &[1, 2, 3, 4], seed)).unwrap())
        .collect();
    // 10,000 datagrams/s for two seconds, half of them signed with another key and half without meaning.
    let target = instances[1].gossip;
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let forged = KeyRing::parse(&key_file('b')).unwrap().sign(vec![1; 100]);
        let start = Instant::now();
        for n in 0..20_000u32 {
            drop(socket.send_to(if n % 2 == 0 { &forged } else { &[7; 200] }, target));
            let send_at = start + Duration::from_micros(100) * n;
            std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
        }
    });
    for report in callers.into_iter().map(Callers::finish) {
        assert!(report.established == report.offered && report.late == 0, "{report}");
    }
    flood.join().unwrap();
    let seconds = started_at.elapsed().as_secs_f64();
    for (instance, before) in instances.iter().zip(sent_before) {
        let sent = (instance.counter("gossip.sent_bytes") - before) as f64;
        assert!(sent <= 16_384.0 * (seconds + 0.5), "{sent} bytes in {seconds} s");
        assert!(instance.suspected_exchanges().is_empty());
    }
    let received = received_bytes.load(Ordering::SeqCst) as f64;
    assert!(received <= 3.0 * 16_384.0 * (seconds + 5.0), "the false reporter received {received} bytes");
    assert!(instances[1].counter("gossip.flooded") > 1000 && instances[1].counter("gossip.forged") > 0);
    // Its contradicted reports lower the trust in the false reporter.
    let id = MemberId::of("liar").to_string();
    wait_until("the false reporter is not trusted", || {
        let Body::Peers { peers } = instances[0].show(Topic::Peers) else { panic!() };
        peers.iter().any(|peer| peer.member == id && peer.trust < 0.5).then_some(())
    });
    stop.store(true, Ordering::SeqCst);
    false_reporter.join().unwrap();
}

/// During a change of keys some instances still sign with the old key. None may reject another's messages, and a key
/// file that others can read must not be accepted.
#[test]
fn keys_are_replaced_by_reload_without_losing_a_member() {
    let exchanges = start_exchanges(1);
    let instances = start_group(3, &exchanges);
    let key = |id: u8, digit: char, signs: bool| {
        format!("[[key]]\nid = {id}\nsecret = \"{}\"\nseals = {signs}\n", digit.to_string().repeat(64))
    };
    let steps =
        [key(1, 'a', true) + &key(2, 'b', false), key(1, 'a', false) + &key(2, 'b', true), key(2, 'b', true)];
    for (n, step) in (1..).zip(&steps) {
        for instance in &instances {
            std::fs::write(&instance.keys, step).unwrap();
            instance.program.signal("HUP");
            wait_until("the configuration is reloaded", || {
                (instance.counter("config.reloads") == n).then_some(())
            });
        }
    }
    let accepted: Vec<u64> = instances.iter().map(|i| i.counter("gossip.taken")).collect();
    wait_until("all accept messages signed with the new key", || {
        instances
            .iter()
            .zip(&accepted)
            .all(|(i, before)| i.counter("gossip.taken") > before + 4)
            .then_some(())
    });
    assert!(instances.iter().all(|i| i.alive_members() == 2 && i.counter("gossip.forged") == 0));
    // A key file that others may read is rejected, and the running keys are kept.
    std::fs::set_permissions(&instances[0].keys, std::fs::Permissions::from_mode(0o644)).unwrap();
    instances[0].program.signal("HUP");
    assert!(instances[0].program.wait_for_log("warning: configuration kept: ").contains("fault"));
    assert_eq!(instances[0].alive_members(), 2);
}
