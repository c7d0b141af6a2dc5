//! Tests of the ledger that take the place of the decision module.

use super::*;

/// Guards against review case 1: whatever the decision module chooses, a gateway gets only calls for itself, and
/// its calls pass through no tandem.
#[test]
fn a_set_up_through_a_tandem_from_or_to_a_gateway_is_blocked() {
    let settings = Settings { max_attempts: 4, ..Settings::default() };
    let mut ledger = Ledger::new(settings, 7);
    let entry = |n: u8, kind| ListEntry {
        exchange: ExchangeNumber(u16::from(n)),
        kind,
        zone: 0,
        state: ListState::Ready,
        exchange_id: ExchangeId { addr: [0, 0, 0, n], port: 0 },
        last_start: None,
    };
    let (exchange, gateway) = (entry(1, ExchangeKind::Exchange), entry(2, ExchangeKind::Gateway));
    ledger.list_update(0, ListUpdate::Cached([exchange.clone(), gateway.clone()].into()));
    for (destination, target, sent) in
        [(1, &exchange, true), (1, &gateway, false), (2, &gateway, true), (2, &exchange, false)]
    {
        let new_call = NewCall {
            // The decision module holds the call until then, and the test sends the set-up in its place.
            earliest_attempt: 100_000,
            ..NewCall::to(ExchangeNumber(destination), 3_000_000)
        };
        let call = ledger.offer(0, OfferedCall { frontend: FrontendId(0), new_call, description: None });
        let attempts = ledger.counts().attempts;
        ledger.send_setup(100_000, call, target.exchange_id, None);
        assert_eq!(ledger.counts().attempts - attempts, u64::from(sent), "{destination} {target:?}");
    }
    assert_eq!(ledger.counts().blocked.get(&BlockReason::Misrouted), Some(&2));
}
