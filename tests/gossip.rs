//! Gossip between real processes on loopback: an exchange that hangs, and peers that forge, lie and flood.

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
use walnuthatch_gossip::{Exchange as Number, MemberId};
use walnuthatch_standin::{Callers, Exchange, Load, Table, Traits};

fn keys(digit: char) -> String {
    format!("[[key]]\nid = 1\nsecret = \"{}\"\nseals = true\n", digit.to_string().repeat(64))
}

/// A controller of exchange `own`, with gossip.
struct Instance {
    _program: Program,
    callers: SocketAddr,
    gossip: SocketAddr,
    socket: PathBuf,
    keys: PathBuf,
}

impl Instance {
    fn start(own: u16, exchanges: &[Exchange], seed: Option<SocketAddr>) -> Instance {
        let socket = std::env::temp_dir().join(format!(
            "whg-{}-{own}-{}",
            std::process::id(),
            exchanges[0].address().port()
        ));
        let mut text = format!(
            "enabled = true\n[control]\nsocket = {:?}\n[site]\nname = \"n{own}\"\nlisten = \"127.0.0.1:0\"\n\
             own_exchange = {own}\n[[class]]\nname = \"status-report\"\naim_ms = 1200\ngive_up_ms = 9000\n",
            socket.display().to_string()
        );
        for (n, e) in (1..).zip(exchanges) {
            text +=
                &format!("[[exchange]]\nname = \"x{n}\"\nexchange = {n}\naddress = \"{}\"\n", e.address());
        }
        let keys = temp_file("gossip.keys", &keys('a'));
        std::fs::set_permissions(&keys, std::fs::Permissions::from_mode(0o600)).unwrap();
        let seeds = seed.map_or(String::new(), |s| format!("seeds = [\"{s}\"]\n"));
        let gossip = format!(
            "enabled = true\nlisten = \"127.0.0.1:0\"\n{seeds}key_file = {:?}\n",
            keys.display().to_string()
        );
        let (appliance, gossip) = (temp_file("appliance.toml", &text), temp_file("gossip.toml", &gossip));
        let program = Program::start(&[("--appliance", &appliance), ("--gossip", &gossip)], &[]);
        let (callers, at) = (program.listen_address("callers"), program.listen_address("gossip"));
        program.wait_for_log("control socket at ");
        Instance { _program: program, callers, gossip: at, socket, keys }
    }

    fn show(&self, topic: Topic) -> Body {
        let mut c = Connection::open(&self.socket, "t").unwrap();
        c.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
        c.request("s", Operation::Show { topic, search: String::new() }).unwrap()
    }

    fn alive(&self) -> usize {
        let Body::Peers { peers } = self.show(Topic::Peers) else { panic!() };
        peers.iter().filter(|p| p.state == "alive").count()
    }

    fn suspects(&self) -> Vec<u16> {
        let Body::Suspicions { suspicions } = self.show(Topic::Suspicions) else { panic!() };
        suspicions.iter().map(|s| s.exchange).collect()
    }

    fn counter(&self, name: &str) -> u64 {
        let Body::Counters { counters } = self.show(Topic::Counters) else { panic!() };
        counters[name]
    }

    fn connected(&self) -> bool {
        let Body::Exchanges { exchanges } = self.show(Topic::Exchanges) else { panic!() };
        exchanges.iter().all(|e| e.connected && e.free.is_some())
    }
}

fn exchanges(n: u64) -> Vec<Exchange> {
    let traits = |seed| Traits {
        circuits: 500,
        delay: Duration::from_millis(5),
        hold: Duration::from_millis(300),
        seed,
    };
    (0..n).map(|s| Exchange::start(None, traits(s)).unwrap()).collect()
}

/// So many instances that know each other.
fn group(n: u16, exchanges: &[Exchange]) -> Vec<Instance> {
    let first = Instance::start(100, exchanges, None);
    let seed = Some(first.gossip);
    let mut all = vec![first];
    all.extend((1..n).map(|i| Instance::start(100 + i, exchanges, seed)));
    let peers = usize::from(n) - 1;
    wait_until("all know each other", || {
        all.iter().all(|i| i.alive() == peers && i.connected()).then_some(())
    });
    all
}

fn load(rate: f64, seconds: u64, destinations: &[u16], seed: u64) -> Load {
    Load {
        rate,
        span: Duration::from_secs(seconds),
        destinations: destinations.to_vec(),
        class: "status-report".into(),
        patience: Duration::from_secs(3),
        aim: Duration::from_millis(1200),
        connections: 4,
        seed,
    }
}

#[test]
fn an_exchange_that_hangs_is_suspected_by_one_that_has_lost_no_call_there() {
    let exchanges = exchanges(4);
    let all = group(3, &exchanges);
    // The third has calls, but none for exchange 1.
    let busy: Vec<Callers> = (0..2)
        .map(|i| Callers::start(all[i].callers, load(60.0, 6, &[1, 2, 3, 4], i as u64)).unwrap())
        .collect();
    let quiet = Callers::start(all[2].callers, load(30.0, 6, &[2, 3, 4], 9)).unwrap();
    wait_until("calls go to it", || (exchanges[0].set_ups() > 20).then_some(()));
    exchanges[0].hang(true);
    wait_until("the third suspects it", || (all[2].suspects() == [1]).then_some(()));
    // Its first call there, if it comes now, is one set-up at the most.
    let before = exchanges[0].set_ups();
    let tried = Callers::start(all[2].callers, load(40.0, 1, &[1], 10)).unwrap();
    let sent = exchanges[0].set_ups() - before;
    assert!(sent <= 20, "{sent} by all three");
    exchanges[0].hang(false);
    let answered = |t: &Table| assert!(t.unanswered + t.doubled + t.failed == 0, "{t}");
    answered(&tried.finish());
    busy.into_iter().for_each(|b| answered(&b.finish()));
    let quiet = quiet.finish();
    answered(&quiet);
    assert_eq!(quiet.stood, quiet.offered, "{quiet}");
    wait_until("nobody suspects it any more", || all.iter().all(|i| i.suspects().is_empty()).then_some(()));
}

/// A peer with the right key that claims to lose set-ups at every exchange, for ever.
fn liar(to: SocketAddr, over: Arc<AtomicBool>, heard: Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let ceiling = RateLimit { bytes: 100_000, datagrams: 1000 };
    let config = Config {
        name: "liar".into(),
        address: socket.local_addr().unwrap(),
        seeds: vec![to],
        allowed: vec!["127.0.0.0/8".parse().unwrap()],
        own_exchange: Some(Number(200)),
        send_limit: ceiling,
        receive_limit: ceiling,
        source_limit: ceiling,
    };
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let (start, mut call) = (Instant::now(), 0);
    let begun = unix.as_micros() as i64;
    let mut node = Node::new(begun, unix.as_secs() as i64, config, KeyRing::parse(&keys('a')).unwrap(), 3);
    let mut buffer = [0; 512];
    while !over.load(Ordering::SeqCst) {
        let now = begun + start.elapsed().as_micros() as i64;
        for e in 1..=4 {
            call += 1;
            node.set_up_sent(now, Number(e), call);
        }
        if let Ok((n, from)) = socket.recv_from(&mut buffer) {
            heard.fetch_add(n as u64, Ordering::SeqCst);
            node.handle_datagram(now, from, &buffer[..n]);
        }
        node.handle_timeouts(now);
        for output in node.take_outputs() {
            if let Output::Send(to, bytes) = output {
                drop(socket.send_to(&bytes, to));
            }
        }
    }
}

#[test]
fn a_forging_a_lying_and_a_flooding_peer_change_no_calls_outcome() {
    let exchanges = exchanges(4);
    let all = group(3, &exchanges);
    let (over, heard) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (to, ended, bytes) = (all[0].gossip, over.clone(), heard.clone());
    let lies = std::thread::spawn(move || liar(to, ended, bytes));
    wait_until("the liar is taken in", || all.iter().all(|i| i.alive() == 3).then_some(()));
    let begun = Instant::now();
    let sent_before: Vec<u64> = all.iter().map(|i| i.counter("gossip.sent_bytes")).collect();
    let callers: Vec<Callers> = all
        .iter()
        .zip(0..)
        .map(|(i, seed)| Callers::start(i.callers, load(60.0, 4, &[1, 2, 3, 4], seed)).unwrap())
        .collect();
    // Ten thousand a second for two seconds: some of another key, some that are nothing.
    let target = all[1].gossip;
    let flood = std::thread::spawn(move || {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let forged = KeyRing::parse(&keys('b')).unwrap().sign(vec![1; 100]);
        let start = Instant::now();
        for n in 0..20_000u32 {
            drop(socket.send_to(if n % 2 == 0 { &forged } else { &[7; 200] }, target));
            let due = start + Duration::from_micros(100) * n;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    });
    for table in callers.into_iter().map(Callers::finish) {
        assert!(table.stood == table.offered && table.late == 0, "{table}");
    }
    flood.join().unwrap();
    let seconds = begun.elapsed().as_secs_f64();
    for (i, before) in all.iter().zip(sent_before) {
        let sent = (i.counter("gossip.sent_bytes") - before) as f64;
        assert!(sent <= 16_384.0 * (seconds + 0.5), "{sent} bytes in {seconds} s");
        assert!(i.suspects().is_empty());
    }
    let at_the_liar = heard.load(Ordering::SeqCst) as f64;
    assert!(at_the_liar <= 3.0 * 16_384.0 * (seconds + 5.0), "{at_the_liar} bytes came to it");
    assert!(all[1].counter("gossip.flooded") > 1000 && all[1].counter("gossip.forged") > 0);
    // What the liar's word is worth has been seen.
    let id = MemberId::of("liar").to_string();
    wait_until("nobody believes the liar", || {
        let Body::Peers { peers } = all[0].show(Topic::Peers) else { panic!() };
        peers.iter().any(|p| p.member == id && p.trust < 0.5).then_some(())
    });
    over.store(true, Ordering::SeqCst);
    lies.join().unwrap();
}

#[test]
fn keys_are_replaced_by_reload_and_no_peer_is_lost() {
    let exchanges = exchanges(1);
    let all = group(3, &exchanges);
    let block = |id: u8, digit: char, seals: bool| {
        format!("[[key]]\nid = {id}\nsecret = \"{}\"\nseals = {seals}\n", digit.to_string().repeat(64))
    };
    let steps = [
        block(1, 'a', true) + &block(2, 'b', false),
        block(1, 'a', false) + &block(2, 'b', true),
        block(2, 'b', true),
    ];
    for (n, step) in (1..).zip(&steps) {
        for i in &all {
            std::fs::write(&i.keys, step).unwrap();
            i._program.signal("HUP");
            wait_until("it is read anew", || (i.counter("config.reloads") == n).then_some(()));
        }
    }
    let taken: Vec<u64> = all.iter().map(|i| i.counter("gossip.taken")).collect();
    wait_until("they hear each other with the new key", || {
        all.iter().zip(&taken).all(|(i, t)| i.counter("gossip.taken") > t + 4).then_some(())
    });
    assert!(all.iter().all(|i| i.alive() == 2 && i.counter("gossip.forged") == 0));
    // A file that others may read is not taken, and the running keys are kept.
    std::fs::set_permissions(&all[0].keys, std::fs::Permissions::from_mode(0o644)).unwrap();
    all[0]._program.signal("HUP");
    assert!(all[0]._program.wait_for_log("warning: configuration kept: ").contains("fault"));
    assert_eq!(all[0].alive(), 2);
}
