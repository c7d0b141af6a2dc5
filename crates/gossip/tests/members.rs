//! Members on a simulated network: deaths, restarts, splits, one-way links, liars, forgeries and floods. Seeds are
//! fixed, and the clock is virtual.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use walnuthatch_gossip::simulation::{key_ring, Simulation, Network, RATE_LIMIT, START_UNIX};
use walnuthatch_gossip::node::{Event, Node, Output};
use walnuthatch_gossip::auth::KeyRing;
use walnuthatch_gossip::swim::State;
use walnuthatch_gossip::wire::*;
use walnuthatch_gossip::{Exchange, MemberId, Micros, SECOND};

fn up(nodes: usize, seed: u64, net: Network) -> Simulation {
    let mut simulation = Simulation::new(nodes, seed, net);
    let known = simulation.run_while(120 * SECOND, |l| l.known_share() < 1.0);
    assert!(known.is_some(), "{} of all pairs know each other", simulation.known_share());
    simulation
}

fn forged(key_ring: &KeyRing, sender: &str, incarnation: Incarnation, sequence: u32, items: Vec<Item>) -> Vec<u8> {
    let sender = MemberId::of(sender);
    key_ring.sign(Datagram { key_id: 1, sender, incarnation, sequence, message: Message::Items, items }.encode())
}

fn life() -> Incarnation {
    Incarnation::at(START_UNIX)
}

fn is_active(simulation: &Simulation, at: usize, of: usize) -> bool {
    let id = MemberId::of(&format!("n{of}"));
    simulation.node(at).unwrap().members.get(id).is_some_and(|m| m.state.is_active())
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut simulation = Simulation::new(20, seed, Network { loss: 0.1, duplication: 0.05, ..Network::default() });
        simulation.run_until(20 * SECOND);
        simulation.traffic.iter().map(|t| t.bytes.clone()).collect::<Vec<_>>()
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn a_death_is_known_to_all_and_nobody_living_is_taken_for_dead() {
    for loss in [0.0, 0.05, 0.2] {
        let mut simulation = up(12, 5, Network { loss, ..Network::default() });
        let died = simulation.now;
        simulation.kill(7);
        let known = simulation.run_while(died + 120 * SECOND, |l| l.dead_count(7) < 11);
        assert!(known.is_some(), "at {loss}: {}", simulation.dead_count(7));
        if loss == 0.0 {
            assert!((0..12).filter(|i| *i != 7).all(|i| simulation.dead_count(i) == 0));
        }
    }
}

#[test]
fn one_that_restarts_is_back_and_its_old_life_is_gone() {
    let mut simulation = up(8, 6, Network::default());
    simulation.kill(2);
    simulation.run_until(simulation.now + 60 * SECOND);
    simulation.start(2);
    assert!(simulation.run_while(simulation.now + 60 * SECOND, |l| l.known_share() < 1.0).is_some());
    // Killed and back at once, before anybody noticed.
    simulation.kill(3);
    simulation.start(3);
    assert!(simulation.run_while(simulation.now + 60 * SECOND, |l| l.known_share() < 1.0).is_some());
}

#[test]
fn a_clock_that_went_back_before_the_restart_does_no_harm() {
    let mut simulation = up(6, 7, Network { clock_skew: 0, ..Network::default() });
    simulation.kill(2);
    simulation.run_until(simulation.now + 40 * SECOND);
    simulation.net.clock_skew = 3600;
    for _ in 0..4 {
        // By up to an hour to either side.
        simulation.kill(2);
        simulation.start(2);
        simulation.run_until(simulation.now + 5 * SECOND);
    }
    simulation.kill(2);
    simulation.net.clock_skew = 0;
    simulation.start(2);
    // A life with a lower number is not heard until it has learnt of the higher one, by the digest or a question.
    let back = simulation.run_while(simulation.now + 700 * SECOND, |l| l.known_share() < 1.0);
    assert!(back.is_some(), "{}", simulation.known_share());
}

#[test]
fn half_die_at_once_all_restart_at_once_and_a_split_heals() {
    let mut simulation = up(16, 8, Network::default());
    (8..16).for_each(|i| simulation.kill(i));
    let end = simulation.now + 120 * SECOND;
    assert!(simulation.run_while(end, |l| (8..16).any(|i| l.dead_count(i) < 8)).is_some());
    assert!((0..8).all(|i| simulation.dead_count(i) == 0));
    (0..16).for_each(|i| simulation.kill(i));
    (0..16).for_each(|i| simulation.start(i));
    assert!(simulation.run_while(simulation.now + 60 * SECOND, |l| l.known_share() < 1.0).is_some(), "{}", simulation.known_share());
    simulation.partition(Some((0..16).map(|i| u8::from(i >= 8)).collect()));
    simulation.run_until(simulation.now + 60 * SECOND);
    assert!(!is_active(&simulation, 0, 15) && !is_active(&simulation, 15, 0));
    simulation.partition(None);
    assert!(simulation.run_while(simulation.now + 120 * SECOND, |l| l.known_share() < 1.0).is_some(), "{}", simulation.known_share());
}

#[test]
fn one_that_hears_and_is_not_heard_is_dead_to_the_others_and_comes_back() {
    let mut simulation = up(8, 9, Network::default());
    (0..8).filter(|i| *i != 3).for_each(|i| simulation.block_link(3, i, true));
    assert!(simulation.run_while(simulation.now + 90 * SECOND, |l| l.dead_count(3) < 7).is_some());
    (0..8).for_each(|i| simulation.block_link(3, i, false));
    assert!(simulation.run_while(simulation.now + 90 * SECOND, |l| l.known_share() < 1.0).is_some());
    // One link alone: others ask on its behalf, and nobody dies.
    let mut simulation = up(8, 10, Network::default());
    simulation.block_link(1, 2, true);
    simulation.block_link(2, 1, true);
    simulation.run_until(simulation.now + 90 * SECOND);
    assert_eq!((simulation.dead_count(1), simulation.dead_count(2)), (0, 0));
}

#[test]
fn one_that_leaves_is_gone_at_once_and_not_called_dead() {
    let mut simulation = up(6, 11, Network::default());
    simulation.with_node(4, Node::leave);
    simulation.run_until(simulation.now + SECOND);
    simulation.kill(4);
    simulation.run_until(simulation.now + 5 * SECOND);
    assert!((0..6).filter(|i| *i != 4).all(|i| !is_active(&simulation, i, 4)));
    assert_eq!(simulation.dead_count(4), 0);
}

#[test]
fn forged_replayed_foreign_and_spoilt_datagrams_are_refused_each_for_its_reason() {
    let mut simulation = up(4, 12, Network { clock_skew: 0, ..Network::default() });
    let from = simulation.address(1);
    let lie = |inc| {
        let address = node_address(2);
        Item::Member(Update { id: MemberId::of("n2"), address, incarnation: inc, claim: Claim::Dead })
    };
    let counts = |l: &Simulation| l.node(0).unwrap().counts();
    // Another key; the right key but a bit flipped; a life before this one; a name from another's address.
    let mut take = |from, bytes: Vec<u8>| {
        simulation.with_node(0, |n, now| n.handle_datagram(now, from, &bytes));
    };
    take(from, forged(&key_ring('b'), "n1", life(), 9_000, vec![lie(life())]));
    let good = forged(&key_ring('a'), "n1", life(), 9_001, vec![]);
    let mut spoilt = good.clone();
    spoilt[30] ^= 1;
    take(from, spoilt);
    take(from, forged(&key_ring('a'), "n1", Incarnation::at(START_UNIX - 999), 9_002, vec![lie(life())]));
    take(node_address(3), forged(&key_ring('a'), "n1", Incarnation::at(START_UNIX + 2), 90_003, vec![]));
    take("192.0.2.1:9".parse().unwrap(), good.clone());
    take(from, vec![1; 300]);
    take(from, vec![0; 40]);
    take(from, forged(&key_ring('a'), "n1", Incarnation::MAX, 1, vec![lie(Incarnation::MAX)]));
    let c = counts(&simulation);
    assert_eq!((c.forged, c.foreign, c.unusable), (2, 1, 2), "{c:?}");
    assert!(c.repeated >= 2 && c.conflicts >= 1, "{c:?}");
    assert!(is_active(&simulation, 0, 2));
}

fn node_address(i: usize) -> std::net::SocketAddr {
    format!("127.1.0.{i}:7946").parse().unwrap()
}

#[test]
fn a_flood_costs_no_more_than_the_ceiling_and_the_others_are_heard() {
    let mut simulation = up(6, 13, Network::default());
    let (to, liar) = (simulation.address(0), simulation.address(5));
    simulation.kill(5);
    let begun = simulation.now;
    let before = simulation.node(0).unwrap().counts();
    for n in 0..20_000u32 {
        let bytes = forged(&key_ring('a'), "n5", Incarnation::at(START_UNIX + 5), 100_000 + n, Vec::new());
        simulation.inject(liar, to, bytes);
        if n % 100 == 99 {
            simulation.run_until(simulation.now + SECOND / 100);
        }
    }
    let after = simulation.node(0).unwrap().counts();
    let seconds = ((simulation.now - begun) / SECOND) as u64 + 1;
    assert!(after.flooded - before.flooded > 15_000, "{after:?}");
    assert!(after.taken - before.taken < seconds * (u64::from(RATE_LIMIT.datagrams) + 400));
    assert!((1..5).all(|i| is_active(&simulation, 0, i)), "the others are heard all the while");
}

#[test]
fn two_with_one_name_are_told_and_the_first_one_stays() {
    let mut simulation = up(4, 14, Network { clock_skew: 0, ..Network::default() });
    simulation.record_outputs = true;
    // Another instance calls itself n1, from the address of n3, with a number of its own life.
    let bytes = forged(&key_ring('a'), "n1", life(), 77_777, Vec::new());
    let (from, to) = (simulation.address(3), simulation.address(0));
    simulation.inject(from, to, bytes.clone());
    let n1 = simulation.address(1);
    simulation.inject(from, n1, bytes);
    simulation.run_until(simulation.now + SECOND);
    let told = |i, want: fn(&Event) -> bool| {
        simulation.outputs.iter().any(|(_, j, o)| *j == i && matches!(o, Output::Event(n) if want(n)))
    };
    assert!(told(0, |n| matches!(n, Event::Conflict(..))) && told(1, |n| matches!(n, Event::NameTaken(_))));
    assert!(
        is_active(&simulation, 0, 1) && simulation.node(0).unwrap().members.get(MemberId::of("n1")).unwrap().address == n1
    );
}

#[test]
fn an_incarnation_from_the_far_future_is_nobodys() {
    let mut simulation = up(4, 15, Network::default());
    for claim in [Claim::Suspect, Claim::Dead, Claim::Alive] {
        let far =
            Update { id: MemberId::of("n2"), address: simulation.address(2), incarnation: Incarnation::MAX, claim };
        let bytes = forged(&key_ring('a'), "n1", life(), 50_000 + claim as u32, vec![Item::Member(far)]);
        (0..4).for_each(|i| simulation.inject(node_address(1), node_address(i), bytes.clone()));
    }
    simulation.run_until(simulation.now + 30 * SECOND);
    assert!((0..4).all(|i| i == 2 || is_active(&simulation, i, 2)));
    assert!(simulation.node(2).unwrap().members.incarnation < Incarnation::at(START_UNIX + 100));
}

#[test]
fn no_second_of_any_node_is_over_the_ceiling() {
    let mut simulation = up(30, 16, Network { loss: 0.2, ..Network::default() });
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
fn keys_are_rotated_three_times_under_traffic_and_no_peer_is_lost() {
    let key = |id: u8, digit: char, seals: bool| {
        format!("[[key]]\nid = {id}\nsecret = \"{}\"\nseals = {seals}\n", digit.to_string().repeat(64))
    };
    let mut simulation = up(8, 17, Network { loss: 0.02, ..Network::default() });
    let mut current = (1u8, 'a');
    for next in [(2u8, 'b'), (3, 'c'), (4, 'd')] {
        let steps = [
            key(current.0, current.1, true) + &key(next.0, next.1, false),
            key(current.0, current.1, false) + &key(next.0, next.1, true),
            key(next.0, next.1, true),
        ];
        for step in steps {
            for i in 0..8 {
                // Not all at the same moment.
                simulation.with_node(i, |n, _| n.set_key_ring(KeyRing::parse(&step).unwrap()));
                simulation.run_until(simulation.now + SECOND / 2);
            }
        }
        current = next;
    }
    simulation.run_until(simulation.now + 20 * SECOND);
    assert!((0..8).all(|i| simulation.dead_count(i) == 0) && simulation.known_share() == 1.0);
    assert_eq!(simulation.running().map(|n| n.1.counts().forged).sum::<u64>(), 0);
    // Whoever has the first key still is heard no more.
    let bytes = forged(&key_ring('a'), "n1", Incarnation::at(START_UNIX + 60), 900_000, Vec::new());
    simulation.with_node(0, |n, now| n.handle_datagram(now, node_address(1), &bytes));
    assert_eq!(simulation.node(0).unwrap().counts().forged, 1);
}

#[test]
fn nobody_speaks_for_anothers_exchange() {
    let mut simulation = up(4, 18, Network::default());
    simulation.record_outputs = true;
    let links = |own: u16| Item::Links { own: Exchange(own), from: Exchange(0), bits: 1 << 63 };
    for i in 0..4 {
        simulation.with_node(i, |n, _| n.set_links(&[Exchange(0), Exchange(3)].into()));
    }
    simulation.run_until(simulation.now + 10 * SECOND);
    let heard = |simulation: &Simulation, own: u16| {
        let of = |o: &Output| {
            matches!(o, Output::Links { own: e, member, .. }
            if *e == Exchange(own) && *member != MemberId::of(&format!("n{own}")))
        };
        simulation.outputs.iter().any(|s| of(&s.2))
    };
    assert!(!heard(&simulation, 2));
    let bytes = forged(&key_ring('a'), "n1", life(), 60_000, vec![links(2)]);
    simulation.inject(node_address(1), node_address(0), bytes);
    simulation.run_until(simulation.now + SECOND);
    assert!(!heard(&simulation, 2));
}

#[test]
fn memory_is_bounded_whatever_names_are_heard() {
    let mut simulation = up(3, 19, Network::default());
    let mut sequence = 10_000;
    for round in 0..400u64 {
        let item = |n: u64| {
            let id = MemberId(round * 10 + n + 1);
            Item::Member(Update { id, address: node_address(200), incarnation: life(), claim: Claim::Alive })
        };
        sequence += 1;
        let bytes = forged(&key_ring('a'), "n1", life(), sequence, (0..9).map(item).collect());
        simulation.with_node(0, |n, now| n.handle_datagram(now, node_address(1), &bytes));
        simulation.now += SECOND / 20;
    }
    let node = simulation.node(0).unwrap();
    assert!(node.members.iter().count() <= walnuthatch_gossip::swim::MAX_MEMBERS);
    assert!(node.buffered_counts().1 <= 2048);
}

#[test]
fn states_follow_the_rules_of_precedence() {
    // Each claim against each state and incarnation, as the papers have it.
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
        let say = |m: &mut Members, at: Micros, (claim, i): (Claim, u64)| {
            let u = Update { id: MemberId(2), address: node_address(2), incarnation: Incarnation(i), claim };
            m.apply(at, u, MemberId(3), Incarnation::MAX);
        };
        say(&mut m, 0, first);
        say(&mut m, 1, second);
        let got = m.get(MemberId(2)).unwrap();
        assert_eq!(got.state.claim(), expect, "{first:?} then {second:?}");
    }
    // It contradicts what is said of itself, and is never below what is said.
    let mut m = Members::new(me, node_address(1), Incarnation(9), 0);
    let u = Update { id: me, address: node_address(1), incarnation: Incarnation(20), claim: Claim::Dead };
    assert!(m.apply(0, u, MemberId(3), Incarnation::MAX).is_some());
    assert_eq!(m.incarnation, Incarnation(21));
    assert!(m.get(me).is_none() && State::Alive.is_active());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() })]
    /// Random words on three members, time, and restarts of what is said, against the rules as the papers have them.
    #[test]
    fn members_follow_the_model(words in prop::collection::vec((2u64..5, 0u8..4, 1u64..6, 0i64..40), 1..80)) {
        use std::collections::BTreeMap;
        use walnuthatch_gossip::swim::Members;
        let claims = [Claim::Alive, Claim::Suspect, Claim::Dead, Claim::Left];
        let mut members = Members::new(MemberId(1), node_address(1), Incarnation(1), 0);
        let mut model: BTreeMap<u64, (Claim, u64, Micros)> = BTreeMap::new();
        let mut now = 0;
        for (id, claim, i, pass) in words {
            now += pass * SECOND / 4;
            let claim = claims[usize::from(claim)];
            // Suspicions run out; nobody confirms them here but the one accuser.
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
