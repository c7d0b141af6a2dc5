//! Membership and authentication on a simulated network: crashes, restarts, partitions, one-way links, forged and
//! replayed datagrams, and floods. Seeds are fixed, and the clock is virtual.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use walnuthatch_gossip::auth::KeyRing;
use walnuthatch_gossip::node::{Event, Node, Output};
use walnuthatch_gossip::simulation::{key_ring, Network, Simulation, RATE_LIMIT, START_UNIX};
use walnuthatch_gossip::swim::State;
use walnuthatch_gossip::wire::*;
use walnuthatch_gossip::{Exchange, MemberId, Micros, SECOND};

fn converged(nodes: usize, seed: u64, net: Network) -> Simulation {
    let mut simulation = Simulation::new(nodes, seed, net);
    let converged_at = simulation.run_while(120 * SECOND, |s| s.known_share() < 1.0);
    assert!(converged_at.is_some(), "{} of all pairs know each other", simulation.known_share());
    simulation
}

fn forged(
    key_ring: &KeyRing,
    sender: &str,
    incarnation: Incarnation,
    sequence: u32,
    items: Vec<Item>,
) -> Vec<u8> {
    let sender = MemberId::of(sender);
    key_ring
        .sign(Datagram { key_id: 1, sender, incarnation, sequence, message: Message::Items, items }.encode())
}

fn first_incarnation() -> Incarnation {
    Incarnation::at(START_UNIX)
}

fn is_active(simulation: &Simulation, at: usize, of: usize) -> bool {
    let id = MemberId::of(&format!("n{of}"));
    simulation.node(at).unwrap().members.get(id).is_some_and(|m| m.state.is_active())
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut simulation =
            Simulation::new(20, seed, Network { loss: 0.1, duplication: 0.05, ..Network::default() });
        simulation.run_until(20 * SECOND);
        simulation.traffic.iter().map(|t| t.bytes.clone()).collect::<Vec<_>>()
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn a_crash_is_detected_by_all_without_false_deaths() {
    for loss in [0.0, 0.05, 0.2] {
        let mut simulation = converged(12, 5, Network { loss, ..Network::default() });
        let crashed = simulation.now;
        simulation.kill(7);
        let converged_at = simulation.run_while(crashed + 120 * SECOND, |s| s.dead_count(7) < 11);
        assert!(converged_at.is_some(), "at {loss}: {}", simulation.dead_count(7));
        if loss == 0.0 {
            assert!((0..12).filter(|i| *i != 7).all(|i| simulation.dead_count(i) == 0));
        }
    }
}

#[test]
fn a_restarted_member_rejoins_with_a_new_incarnation() {
    let mut simulation = converged(8, 6, Network::default());
    simulation.kill(2);
    simulation.run_until(simulation.now + 60 * SECOND);
    simulation.start(2);
    assert!(simulation.run_while(simulation.now + 60 * SECOND, |s| s.known_share() < 1.0).is_some());
    // Restart before any member noticed the crash.
    simulation.kill(3);
    simulation.start(3);
    assert!(simulation.run_while(simulation.now + 60 * SECOND, |s| s.known_share() < 1.0).is_some());
}

#[test]
fn a_clock_set_back_before_a_restart_does_not_prevent_rejoining() {
    let mut simulation = converged(6, 7, Network { clock_skew: 0, ..Network::default() });
    simulation.kill(2);
    simulation.run_until(simulation.now + 40 * SECOND);
    simulation.net.clock_skew = 3600;
    for _ in 0..4 {
        // A clock error of up to an hour in either direction.
        simulation.kill(2);
        simulation.start(2);
        simulation.run_until(simulation.now + 5 * SECOND);
    }
    simulation.kill(2);
    simulation.net.clock_skew = 0;
    simulation.start(2);
    // A run with a lower incarnation is rejected until the node has learnt the higher one, from a digest or a ping.
    let rejoined = simulation.run_while(simulation.now + 700 * SECOND, |s| s.known_share() < 1.0);
    assert!(rejoined.is_some(), "{}", simulation.known_share());
}

#[test]
fn the_group_recovers_from_mass_crashes_restarts_and_a_partition() {
    let mut simulation = converged(16, 8, Network::default());
    (8..16).for_each(|i| simulation.kill(i));
    let end = simulation.now + 120 * SECOND;
    assert!(simulation.run_while(end, |s| (8..16).any(|i| s.dead_count(i) < 8)).is_some());
    assert!((0..8).all(|i| simulation.dead_count(i) == 0));
    (0..16).for_each(|i| simulation.kill(i));
    (0..16).for_each(|i| simulation.start(i));
    assert!(
        simulation.run_while(simulation.now + 60 * SECOND, |s| s.known_share() < 1.0).is_some(),
        "{}",
        simulation.known_share()
    );
    simulation.partition(Some((0..16).map(|i| u8::from(i >= 8)).collect()));
    simulation.run_until(simulation.now + 60 * SECOND);
    assert!(!is_active(&simulation, 0, 15) && !is_active(&simulation, 15, 0));
    simulation.partition(None);
    assert!(
        simulation.run_while(simulation.now + 120 * SECOND, |s| s.known_share() < 1.0).is_some(),
        "{}",
        simulation.known_share()
    );
}

#[test]
fn a_member_with_blocked_output_is_declared_dead_and_rejoins() {
    let mut simulation = converged(8, 9, Network::default());
    (0..8).filter(|i| *i != 3).for_each(|i| simulation.block_link(3, i, true));
    assert!(simulation.run_while(simulation.now + 90 * SECOND, |s| s.dead_count(3) < 7).is_some());
    (0..8).for_each(|i| simulation.block_link(3, i, false));
    assert!(simulation.run_while(simulation.now + 90 * SECOND, |s| s.known_share() < 1.0).is_some());
    // With only one broken link, indirect pings succeed and nobody is declared dead.
    let mut simulation = converged(8, 10, Network::default());
    simulation.block_link(1, 2, true);
    simulation.block_link(2, 1, true);
    simulation.run_until(simulation.now + 90 * SECOND);
    assert_eq!((simulation.dead_count(1), simulation.dead_count(2)), (0, 0));
}

#[test]
fn a_leaving_member_is_removed_at_once_and_not_declared_dead() {
    let mut simulation = converged(6, 11, Network::default());
    simulation.with_node(4, Node::leave);
    simulation.run_until(simulation.now + SECOND);
    simulation.kill(4);
    simulation.run_until(simulation.now + 5 * SECOND);
    assert!((0..6).filter(|i| *i != 4).all(|i| !is_active(&simulation, i, 4)));
    assert_eq!(simulation.dead_count(4), 0);
}

#[test]
fn forged_replayed_foreign_and_corrupted_datagrams_are_counted_by_reason() {
    let mut simulation = converged(4, 12, Network { clock_skew: 0, ..Network::default() });
    let from = simulation.address(1);
    let false_claim = |inc| {
        let address = node_address(2);
        Item::Member(Update { id: MemberId::of("n2"), address, incarnation: inc, claim: Claim::Dead })
    };
    let counts = |s: &Simulation| s.node(0).unwrap().counts();
    // Another secret with the same key id, a flipped bit, an earlier run, and a known name from another address.
    let mut take = |from, bytes: Vec<u8>| {
        simulation.with_node(0, |n, now| n.handle_datagram(now, from, &bytes));
    };
    take(
        from,
        forged(&key_ring('b'), "n1", first_incarnation(), 9_000, vec![false_claim(first_incarnation())]),
    );
    let good = forged(&key_ring('a'), "n1", first_incarnation(), 9_001, vec![]);
    let mut corrupted = good.clone();
    corrupted[30] ^= 1;
    take(from, corrupted);
    take(
        from,
        forged(
            &key_ring('a'),
            "n1",
            Incarnation::at(START_UNIX - 999),
            9_002,
            vec![false_claim(first_incarnation())],
        ),
    );
    take(node_address(3), forged(&key_ring('a'), "n1", Incarnation::at(START_UNIX + 2), 90_003, vec![]));
    take("192.0.2.1:9".parse().unwrap(), good.clone());
    take(from, vec![1; 300]);
    take(from, vec![0; 40]);
    take(from, forged(&key_ring('a'), "n1", Incarnation::MAX, 1, vec![false_claim(Incarnation::MAX)]));
    let c = counts(&simulation);
    assert_eq!((c.forged, c.foreign, c.unusable), (2, 1, 2), "{c:?}");
    assert!(c.repeated >= 2 && c.conflicts >= 1, "{c:?}");
    assert!(is_active(&simulation, 0, 2));
}

fn node_address(i: usize) -> std::net::SocketAddr {
    format!("127.1.0.{i}:7946").parse().unwrap()
}

#[test]
fn a_flood_is_limited_and_other_members_stay_active() {
    let mut simulation = converged(6, 13, Network::default());
    let (to, flooder) = (simulation.address(0), simulation.address(5));
    simulation.kill(5);
    let start = simulation.now;
    let before = simulation.node(0).unwrap().counts();
    for n in 0..20_000u32 {
        let bytes = forged(&key_ring('a'), "n5", Incarnation::at(START_UNIX + 5), 100_000 + n, Vec::new());
        simulation.inject(flooder, to, bytes);
        if n % 100 == 99 {
            simulation.run_until(simulation.now + SECOND / 100);
        }
    }
    let after = simulation.node(0).unwrap().counts();
    let seconds = ((simulation.now - start) / SECOND) as u64 + 1;
    assert!(after.flooded - before.flooded > 15_000, "{after:?}");
    assert!(after.taken - before.taken < seconds * (u64::from(RATE_LIMIT.datagrams) + 400));
    assert!((1..5).all(|i| is_active(&simulation, 0, i)), "the other members stay active");
}

#[test]
fn a_duplicate_name_is_reported_and_the_first_member_keeps_it() {
    let mut simulation = converged(4, 14, Network { clock_skew: 0, ..Network::default() });
    simulation.record_outputs = true;
    // A second instance uses the name n1 at the address of n3, with an incarnation of its own.
    let bytes = forged(&key_ring('a'), "n1", first_incarnation(), 77_777, Vec::new());
    let (from, to) = (simulation.address(3), simulation.address(0));
    simulation.inject(from, to, bytes.clone());
    let n1 = simulation.address(1);
    simulation.inject(from, n1, bytes);
    simulation.run_until(simulation.now + SECOND);
    let reported = |i, want: fn(&Event) -> bool| {
        simulation.outputs.iter().any(|(_, j, o)| *j == i && matches!(o, Output::Event(n) if want(n)))
    };
    assert!(
        reported(0, |n| matches!(n, Event::Conflict(..)))
            && reported(1, |n| matches!(n, Event::NameTaken(_)))
    );
    assert!(
        is_active(&simulation, 0, 1)
            && simulation.node(0).unwrap().members.get(MemberId::of("n1")).unwrap().address == n1
    );
}

#[test]
fn an_incarnation_too_far_in_the_future_is_rejected() {
    let mut simulation = converged(4, 15, Network::default());
    for claim in [Claim::Suspect, Claim::Dead, Claim::Alive] {
        let far = Update {
            id: MemberId::of("n2"),
            address: simulation.address(2),
            incarnation: Incarnation::MAX,
            claim,
        };
        let bytes =
            forged(&key_ring('a'), "n1", first_incarnation(), 50_000 + claim as u32, vec![Item::Member(far)]);
        (0..4).for_each(|i| simulation.inject(node_address(1), node_address(i), bytes.clone()));
    }
    simulation.run_until(simulation.now + 30 * SECOND);
    assert!((0..4).all(|i| i == 2 || is_active(&simulation, i, 2)));
    assert!(simulation.node(2).unwrap().members.incarnation < Incarnation::at(START_UNIX + 100));
}

#[test]
fn no_node_exceeds_its_rate_limit_in_any_second() {
    let mut simulation = converged(30, 16, Network { loss: 0.2, ..Network::default() });
    (0..10).for_each(|i| simulation.kill(i));
    simulation.run_until(simulation.now + 30 * SECOND);
    (0..10).for_each(|i| simulation.start(i));
    simulation.run_until(simulation.now + 30 * SECOND);
    for t in &simulation.traffic {
        assert!(t.bytes.iter().all(|b| *b <= RATE_LIMIT.bytes * 3 / 2 + 256), "{:?}", t.bytes.iter().max());
        assert!(t.datagrams.iter().all(|d| *d <= RATE_LIMIT.datagrams * 3 / 2 + 1));
    }
}

#[test]
fn key_rotation_under_traffic_loses_no_member() {
    let key = |id: u8, digit: char, seals: bool| {
        format!("[[key]]\nid = {id}\nsecret = \"{}\"\nseals = {seals}\n", digit.to_string().repeat(64))
    };
    let mut simulation = converged(8, 17, Network { loss: 0.02, ..Network::default() });
    let mut current = (1u8, 'a');
    for next in [(2u8, 'b'), (3, 'c'), (4, 'd')] {
        let steps = [
            key(current.0, current.1, true) + &key(next.0, next.1, false),
            key(current.0, current.1, false) + &key(next.0, next.1, true),
            key(next.0, next.1, true),
        ];
        for step in steps {
            for i in 0..8 {
                // At a different time on each node.
                simulation.with_node(i, |n, _| n.set_key_ring(KeyRing::parse(&step).unwrap()));
                simulation.run_until(simulation.now + SECOND / 2);
            }
        }
        current = next;
    }
    simulation.run_until(simulation.now + 20 * SECOND);
    assert!((0..8).all(|i| simulation.dead_count(i) == 0) && simulation.known_share() == 1.0);
    assert_eq!(simulation.running().map(|n| n.1.counts().forged).sum::<u64>(), 0);
    // A removed key is rejected.
    let bytes = forged(&key_ring('a'), "n1", Incarnation::at(START_UNIX + 60), 900_000, Vec::new());
    simulation.with_node(0, |n, now| n.handle_datagram(now, node_address(1), &bytes));
    assert_eq!(simulation.node(0).unwrap().counts().forged, 1);
}

#[test]
fn links_of_another_members_exchange_are_rejected() {
    let mut simulation = converged(4, 18, Network::default());
    simulation.record_outputs = true;
    let links = |own: u16| Item::Links { exchange: Exchange(own), first: Exchange(0), bits: 1 << 63 };
    for i in 0..4 {
        simulation.with_node(i, |n, _| n.set_links(&[Exchange(0), Exchange(3)].into()));
    }
    simulation.run_until(simulation.now + 10 * SECOND);
    let accepted = |simulation: &Simulation, own: u16| {
        let of = |o: &Output| {
            matches!(o, Output::Links { exchange: e, member, .. }
            if *e == Exchange(own) && *member != MemberId::of(&format!("n{own}")))
        };
        simulation.outputs.iter().any(|s| of(&s.2))
    };
    assert!(!accepted(&simulation, 2));
    let bytes = forged(&key_ring('a'), "n1", first_incarnation(), 60_000, vec![links(2)]);
    simulation.inject(node_address(1), node_address(0), bytes);
    simulation.run_until(simulation.now + SECOND);
    assert!(!accepted(&simulation, 2));
}

#[test]
fn memory_is_bounded_with_any_number_of_names() {
    let mut simulation = converged(3, 19, Network::default());
    let mut sequence = 10_000;
    for round in 0..400u64 {
        let item = |n: u64| {
            let id = MemberId(round * 10 + n + 1);
            Item::Member(Update {
                id,
                address: node_address(200),
                incarnation: first_incarnation(),
                claim: Claim::Alive,
            })
        };
        sequence += 1;
        let bytes = forged(&key_ring('a'), "n1", first_incarnation(), sequence, (0..9).map(item).collect());
        simulation.with_node(0, |n, now| n.handle_datagram(now, node_address(1), &bytes));
        simulation.now += SECOND / 20;
    }
    let node = simulation.node(0).unwrap();
    assert!(node.members.iter().count() <= walnuthatch_gossip::swim::MAX_MEMBERS);
    assert!(node.buffered_counts().1 <= 2048);
}

#[test]
fn states_follow_the_precedence_rules_of_swim() {
    // Each claim against each state and incarnation, as specified by SWIM.
    use walnuthatch_gossip::swim::Members;
    let me = MemberId(1);
    for (first, second, expect) in [
        ((Claim::Alive, 5), (Claim::Suspect, 4), Claim::Alive),
        ((Claim::Alive, 5), (Claim::Suspect, 5), Claim::Suspect),
        ((Claim::Suspect, 5), (Claim::Alive, 5), Claim::Suspect),
        ((Claim::Suspect, 5), (Claim::Alive, 6), Claim::Alive),
        ((Claim::Suspect, 5), (Claim::Dead, 5), Claim::Dead),
        ((Claim::Dead, 5), (Claim::Suspect, 6), Claim::Dead),
        ((Claim::Dead, 5), (Claim::Alive, 5), Claim::Dead),
        ((Claim::Dead, 5), (Claim::Alive, 6), Claim::Alive),
        ((Claim::Alive, 5), (Claim::Dead, 4), Claim::Alive),
        ((Claim::Alive, 5), (Claim::Left, 5), Claim::Left),
        ((Claim::Left, 5), (Claim::Dead, 6), Claim::Left),
        ((Claim::Left, 5), (Claim::Alive, 6), Claim::Alive),
    ] {
        let mut m = Members::new(me, node_address(1), Incarnation(1), 0);
        let apply = |m: &mut Members, at: Micros, (claim, i): (Claim, u64)| {
            let u = Update { id: MemberId(2), address: node_address(2), incarnation: Incarnation(i), claim };
            m.apply(at, u, MemberId(3), Incarnation::MAX);
        };
        apply(&mut m, 0, first);
        apply(&mut m, 1, second);
        let got = m.get(MemberId(2)).unwrap();
        assert_eq!(got.state.claim(), expect, "{first:?} then {second:?}");
    }
    // A claim about the own instance is refuted with a higher incarnation.
    let mut m = Members::new(me, node_address(1), Incarnation(9), 0);
    let u = Update { id: me, address: node_address(1), incarnation: Incarnation(20), claim: Claim::Dead };
    assert!(m.apply(0, u, MemberId(3), Incarnation::MAX).is_some());
    assert_eq!(m.incarnation, Incarnation(21));
    assert!(m.get(me).is_none() && State::Alive.is_active());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() })]
    /// Compares random updates of three members, with time passing, against the rules of SWIM.
    #[test]
    fn members_follow_the_model(updates in prop::collection::vec((2u64..5, 0u8..4, 1u64..6, 0i64..40), 1..80)) {
        use std::collections::BTreeMap;
        use walnuthatch_gossip::swim::Members;
        let claims = [Claim::Alive, Claim::Suspect, Claim::Dead, Claim::Left];
        let mut members = Members::new(MemberId(1), node_address(1), Incarnation(1), 0);
        let mut model: BTreeMap<u64, (Claim, u64, Micros)> = BTreeMap::new();
        let mut now = 0;
        for (id, claim, i, elapsed) in updates {
            now += elapsed * SECOND / 4;
            let claim = claims[usize::from(claim)];
            // Suspicions time out; they have a single accuser here and are never confirmed.
            for m in model.values_mut() {
                if m.0 == Claim::Suspect && now - m.2 >= members.suspicion_timeout(1) {
                    *m = (Claim::Dead, m.1, now);
                }
            }
            members.expire(now);
            let u = Update { id: MemberId(id), address: node_address(id as usize), incarnation: Incarnation(i), claim };
            members.apply(now, u, MemberId(9), Incarnation::MAX);
            let known = model.get(&id).copied();
            let wins = match (known, claim) {
                (None, _) => true,
                (Some((_, k, _)), Claim::Alive) => i > k,
                (Some((Claim::Alive, k, _)), _) => i >= k,
                (Some((Claim::Suspect, k, _)), Claim::Suspect) => i > k,
                (Some((Claim::Suspect, k, _)), _) => i >= k,
                (Some((Claim::Dead, k, _)), Claim::Left) => i >= k,
                (Some(_), _) => false,
            };
            if wins {
                model.insert(id, (claim, i, now));
            }
            for (id, (claim, i, _)) in &model {
                let m = members.get(MemberId(*id)).unwrap();
                prop_assert_eq!((m.state.claim(), m.incarnation), (*claim, Incarnation(*i)));
            }
            prop_assert_eq!(members.active_count(), 1 + model.values().filter(|m| m.0 == Claim::Alive || m.0 == Claim::Suspect).count());
        }
    }
}
