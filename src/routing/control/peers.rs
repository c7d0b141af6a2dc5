//! What instances tell each other of their groups.

use super::*;

/// First byte of a message that tells of groups.
const GROUPS_MESSAGE: u8 = 1;

impl Controller {
    /// Tells the peers which exchanges this one has groups with, where some have none. Danger: a call by a
    /// tandem without a group onward is turned back, and nothing but trying shows it. Nothing rests on the
    /// message: without it tandems are tried in turn.
    pub(super) fn send_groups(&self, out: &mut Vec<Action>) {
        let Some(own) = self.settings.own_exchange else { return };
        let mut body = vec![GROUPS_MESSAGE];
        body.extend(own.0.to_be_bytes());
        let mut lacking = false;
        for o in self.exchanges.iter().filter(|o| o.state != ListState::Gone && o.exchange != own) {
            let at = 3 + usize::from(o.exchange.0 / 8);
            body.resize(body.len().max(at + 1), 0);
            let linked = o.group.is_some_and(|g| g.1 >= 1.0);
            body[at] |= u8::from(linked) << (o.exchange.0 % 8);
            lacking |= !linked;
        }
        if lacking && body.len() <= 256 {
            out.push(Action::SendToPeer { to: None, body });
        }
    }

    pub(super) fn on_peer(&mut self, from: PeerNumber, body: &[u8]) {
        if let [GROUPS_MESSAGE, high, low, links @ ..] = body {
            let named = ExchangeNumber(u16::from_be_bytes([*high, *low]));
            // Danger: one peer could speak for another's exchange.
            let bound = *self.peer_exchanges.entry(from).or_insert(named) == named
                && !self.peer_exchanges.iter().any(|(p, e)| *p != from && *e == named);
            if let Some(&i) = self.index_by_number.get(&named).filter(|_| bound) {
                self.exchanges[i].group_bitmap = links.to_vec();
            }
        }
    }
}
