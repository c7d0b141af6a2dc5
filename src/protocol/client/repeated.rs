//! Set-ups that use the sid of an unanswered call on another connection.
//!
//! A client whose connection has ended sends its set-up again on a new one. That may arrive before the end of the first
//! connection is seen here, so the repeated set-up is held for a short time: if the first connection ends, it is offered
//! as a new call; if not, the sid is in use and the connection of the repeated set-up is closed.

use super::*;

/// How long a repeated set-up is held (µs).
const REPEATED_SET_UP_WAIT: Micros = 500_000;

/// A set-up that is held.
#[derive(Debug)]
pub(super) struct RepeatedSetUp {
    pub(super) conn: ConnId,
    message: Message,
    received_at: Micros,
}

/// A held set-up that can be offered to the ledger.
#[derive(Debug, PartialEq)]
pub struct RepeatedOffer {
    /// The connection that it arrived on.
    pub conn: ConnId,
    /// The called number as received.
    pub key: Option<Value>,
    /// The call.
    pub offer: OfferedCall,
}

impl ClientConnections {
    /// Holds a set-up whose sid is in use, if the call that has it may have lost its connection; returns whether it
    /// does.
    pub(super) fn hold_repeated(&mut self, now: Micros, conn: ConnId, sid: Sid, message: &Message) -> bool {
        let first = self.call_by_sid.get(&sid).and_then(|call| self.calls.get(call));
        let may_have_lost_connection = first.is_some_and(|call| !call.answered && call.conn != conn);
        if !may_have_lost_connection || self.repeated.contains_key(&sid) {
            return false;
        }
        let Some(c) = self.connections.get_mut(&conn).filter(|c| c.open_set_ups < MAX_OPEN_UNUSED) else {
            return false;
        };
        c.open_set_ups += 1;
        self.repeated.insert(sid, RepeatedSetUp { conn, message: message.clone(), received_at: now });
        let timer = ClientTimer::RepeatedSetUp(sid);
        self.outputs.push(ClientOutput::SetTimer(now + REPEATED_SET_UP_WAIT, timer));
        true
    }

    /// The call that has the sid has ended without being established. A set-up that is held for the sid can be offered;
    /// as an attempt of the first call may have run, it waits for the quiet period.
    pub(super) fn sid_released(&mut self, now: Micros, sid: Sid) {
        if self.repeated.contains_key(&sid) {
            self.abandoned.record(now, sid);
            self.outputs.push(ClientOutput::OfferRepeated(sid));
        }
    }

    /// Takes the set-up that is held for this sid, after [`ClientOutput::OfferRepeated`]. The caller offers it to the
    /// ledger and reports its id with [`ClientConnections::call_offered`]. `None` if it has ended since, or if it was
    /// invalid and has been answered.
    pub fn take_repeated(&mut self, now: Micros, sid: Sid) -> Option<RepeatedOffer> {
        let RepeatedSetUp { conn, message, received_at } = self.remove_repeated(sid)?;
        match self.accept_set_up(now, conn, sid, message) {
            ClientRequest::Offer(_, key, mut offer) => {
                let remaining_time = offer.new_call.remaining_time - (now - received_at);
                offer.new_call.remaining_time = remaining_time.max(0);
                Some(RepeatedOffer { conn, key, offer: *offer })
            }
            _ => None,
        }
    }

    /// Ends the wait of a held set-up because its sid is in use: its connection is closed. No message is sent for the
    /// sid, as it would be a second answer to the call that has it.
    pub(super) fn reject_repeated(&mut self, now: Micros, sid: Sid) {
        if let Some(repeated) = self.remove_repeated(sid) {
            self.counts.duplicate_sid += 1;
            self.begin_close(now, repeated.conn, CloseReason::DuplicateSid);
        }
    }

    /// The time to hold a set-up has passed, unless the timer belongs to an earlier one.
    pub(super) fn repeated_set_up_timeout(&mut self, now: Micros, sid: Sid) {
        if self.repeated.get(&sid).is_some_and(|r| now - r.received_at >= REPEATED_SET_UP_WAIT) {
            self.reject_repeated(now, sid);
        }
    }

    /// Fails the set-ups held on a connection that is being closed.
    pub(super) fn fail_repeated_on(&mut self, conn: ConnId) {
        let held: Vec<Sid> =
            self.repeated.iter().filter(|(_, r)| r.conn == conn).map(|(&sid, _)| sid).collect();
        for sid in held {
            self.remove_repeated(sid);
            self.send(conn, Message::close(sid, cause::TEMPORARY_FAILURE));
        }
    }

    /// The client cancelled a set-up; returns whether it was held on this connection.
    pub(super) fn cancel_repeated(&mut self, conn: ConnId, sid: Sid) -> bool {
        let held_here = self.repeated.get(&sid).is_some_and(|r| r.conn == conn);
        held_here && self.remove_repeated(sid).is_some()
    }

    fn remove_repeated(&mut self, sid: Sid) -> Option<RepeatedSetUp> {
        let repeated = self.repeated.remove(&sid)?;
        if let Some(c) = self.connections.get_mut(&repeated.conn) {
            c.open_set_ups = c.open_set_ups.saturating_sub(1);
        }
        Some(repeated)
    }
}
