//! Messages between session controllers about their trunk groups.

use super::*;

/// First byte of a message that lists the sender's groups.
const GROUPS_MESSAGE: u8 = 1;

impl Controller {
    /// Tells all peers which exchanges this one has groups with, if some have none. A call sent to a tandem without
    /// a group to its destination is turned back, and only an attempt would show that otherwise. Delivery is not
    /// required: without the message, tandems are tried in rotation.
    pub(super) fn send_groups(&self, out: &mut Vec<Action>) {
        let Some(own) = self.settings.own_exchange else { return };
        let mut body = vec![GROUPS_MESSAGE];
        body.extend(own.0.to_be_bytes());
        let mut any_missing = false;
        for e in self.exchanges.iter().filter(|e| e.state != ListState::Gone && e.exchange_number != own) {
            let byte = 3 + usize::from(e.exchange_number.0 / 8);
            body.resize(body.len().max(byte + 1), 0);
            let has_group = e.group.is_some_and(|g| g.1 >= 1.0);
            body[byte] |= u8::from(has_group) << (e.exchange_number.0 % 8);
            any_missing |= !has_group;
        }
        if any_missing && body.len() <= 256 {
            out.push(Action::SendToPeer { to: None, body });
        }
    }

    pub(super) fn on_peer(&mut self, from: PeerNumber, body: &[u8]) {
        if let [GROUPS_MESSAGE, high, low, bitmap @ ..] = body {
            let exchange = ExchangeNumber(u16::from_be_bytes([*high, *low]));
            // Each peer speaks for the exchange that it names first, and an exchange named by two peers is ignored, so
            // that no peer can speak for another's exchange.
            let accepted = *self.peer_exchanges.entry(from).or_insert(exchange) == exchange
                && !self.peer_exchanges.iter().any(|(peer, e)| *peer != from && *e == exchange);
            if let Some(&index) = self.index_by_number.get(&exchange).filter(|_| accepted) {
                self.exchanges[index].group_bitmap = bitmap.to_vec();
            }
        }
    }
}
