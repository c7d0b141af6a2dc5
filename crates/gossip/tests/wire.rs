//! Property tests of the datagram format on random contents and arbitrary bytes, and of merging reports.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;
use walnuthatch_gossip::evidence::{Evidence, Report, Reports};
use walnuthatch_gossip::wire::*;
use walnuthatch_gossip::{Exchange, MemberId};

fn address() -> impl Strategy<Value = SocketAddr> {
    let v4 = (any::<u16>(), 1u16..).prop_map(|(ip, port)| format!("127.0.{}.{}:{port}", ip >> 8, ip & 255));
    let v6 = (1u16.., 1u16..).prop_map(|(ip, port)| format!("[fd00::{ip:x}]:{port}"));
    prop_oneof![v4, v6].prop_map(|t| t.parse().unwrap())
}

fn update() -> impl Strategy<Value = Update> {
    let claim = prop_oneof![Just(Claim::Alive), Just(Claim::Suspect), Just(Claim::Dead), Just(Claim::Left)];
    (any::<u64>(), address(), 0..Incarnation::MAX.0, claim).prop_map(|(id, address, i, claim)| Update {
        id: MemberId(id),
        address,
        incarnation: Incarnation(i),
        claim,
    })
}

fn evidence() -> impl Strategy<Value = Evidence> {
    any::<[u8; Evidence::BYTES]>().prop_map(Evidence::decode)
}

fn item() -> impl Strategy<Value = Item> {
    prop_oneof![
        update().prop_map(Item::Member),
        (any::<u16>(), evidence()).prop_map(|(e, v)| Item::Evidence(Exchange(e), v)),
        (any::<u16>(), any::<u16>(), any::<u64>()).prop_map(|(exchange, first, bits)| Item::Links {
            exchange: Exchange(exchange),
            first: Exchange(first),
            bits
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        (any::<u16>(), any::<u64>()).prop_map(|(nonce, t)| Message::Ping { nonce, target: MemberId(t) }),
        (any::<u16>(), any::<u8>()).prop_map(|(nonce, load)| Message::Ack { nonce, load }),
        (any::<u16>(), any::<u64>(), address()).prop_map(|(nonce, t, address)| Message::PingReq {
            nonce,
            target: MemberId(t),
            address
        }),
        any::<u16>().prop_map(|nonce| Message::Nack { nonce }),
        (any::<bool>(), any::<[u32; DIGEST_BUCKETS]>())
            .prop_map(|(reply, bucket_hashes)| Message::Digest { reply, bucket_hashes }),
        Just(Message::Items),
    ]
}

fn reports() -> impl Strategy<Value = Vec<(u16, u64, Report)>> {
    let report = (0u64..3, evidence(), 0i64..9).prop_map(|(i, evidence, measured)| Report {
        incarnation: Incarnation(i),
        evidence: Evidence { version: evidence.version % 4, ..evidence },
        measured,
    });
    prop::collection::vec((0u16..3, 0u64..3, report), 0..12)
}

fn store(of: &[(u16, u64, Report)]) -> Reports {
    let mut r = Reports::default();
    for (e, id, report) in of {
        r.merge(Exchange(*e), MemberId(*id), *report);
    }
    r
}

fn joined(a: &Reports, b: &Reports) -> Reports {
    let mut both = a.clone();
    both.merge_all(b);
    both
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    #[test]
    fn encoding_round_trips(sender in any::<u64>(), sequence in any::<u32>(), message in message(),
                                    items in prop::collection::vec(item(), 0..12)) {
        let d = Datagram { key_id: 3, sender: MemberId(sender), incarnation: Incarnation(7 << 12), sequence, message, items };
        let mut bytes = d.encode();
        bytes.extend([0; TAG_BYTES]);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(key_id(&bytes), Ok(3));
        let got = decode(&bytes).unwrap();
        prop_assert_eq!((got.sender, got.sequence, got.message), (d.sender, d.sequence, d.message));
        // Items that do not fit are left out from the end; the rest is unchanged.
        prop_assert_eq!(&got.items[..], &d.items[..got.items.len()]);
        let used: usize = HEADER_BYTES + d.message.len() + d.items.iter().map(Item::len).sum::<usize>();
        prop_assert_eq!(got.items.len() == d.items.len(), used <= MAX_DATAGRAM_BYTES - TAG_BYTES);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let read = decode(&bytes);
        if !(HEADER_BYTES + 1 + TAG_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
            prop_assert_eq!(read, Err(DecodeError::Length(bytes.len())));
        }
    }

    #[test]
    fn truncated_or_corrupted_datagrams_never_panic(message in message(), items in prop::collection::vec(item(), 1..6),
                                                   cut in 0usize..256, at in 0usize..256, bit in 0u8..8) {
        let d = Datagram { key_id: 1, sender: MemberId(1), incarnation: Incarnation(1), sequence: 1, message, items };
        let mut bytes = d.encode();
        bytes.extend([0; TAG_BYTES]);
        let _ = decode(&bytes[..cut.min(bytes.len())]);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let _ = decode(&bytes);
    }

    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in reports(), b in reports(), c in reports()) {
        let (a, b, c) = (store(&a), store(&b), store(&c));
        // The time of measurement is a local estimate, which is the same for a report that arrives twice.
        prop_assert_eq!(strip(&joined(&a, &b)), strip(&joined(&b, &a)));
        prop_assert_eq!(strip(&joined(&joined(&a, &b), &c)), strip(&joined(&a, &joined(&b, &c))));
        prop_assert_eq!(joined(&a, &a), a);
    }
}

/// The part of a store that merging determines: for each exchange and reporter the measurements.
fn strip(r: &Reports) -> Vec<(u16, u64, Incarnation, Evidence)> {
    let on = |e: u16| {
        r.fresh(8, Exchange(e)).map(move |(id, r)| (e, id.0, r.incarnation, r.evidence)).collect::<Vec<_>>()
    };
    let strip = |mut x: (u16, u64, Incarnation, Evidence)| {
        x.3.age = 0;
        x
    };
    (0..3).flat_map(on).map(strip).collect()
}
