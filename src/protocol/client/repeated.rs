//! Set-ups that a client sends again on a new connection because the one before it has ended.
//!
//! Such a set-up may arrive before the end of the first connection is seen here, so it is held for a short time. If the
//! first connection ends, the set-up gets the answer that was sent there, or is offered as a new call if there was none.
//! If the first connection does not end, the sid is in use, and the connection of the repeated set-up is closed.
//!
//! Only a set-up with the content of the first one is taken for a repetition. Another one with its sid comes from a faulty
//! client, whose connection is closed at once.

use super::*;

/// How long a repeated set-up is held, and how long after its answer a set-up may be repeated (µs). Clients repeat a
/// set-up within 50 ms of the end of its connection; the rest covers a late sight of that end.
const REPEATED_SET_UP_WAIT: Micros = 500_000;
/// How long an answer is kept: a set-up that repeats an answered one at the latest moment is still held (µs).
pub(super) const ANSWER_RETENTION: Micros = 2 * REPEATED_SET_UP_WAIT;

/// A set-up that is held.
#[derive(Debug)]
pub(super) struct RepeatedSetUp {
    pub(super) set_up: ReceivedSetUp,
    message: Message,
    received_at: Micros,
}

impl ClientConnections {
    /// Handles a set-up whose sid is in use, if it repeats the set-up of the call that has the sid and that call may have
    /// lost its connection; returns whether it does.
    pub(super) fn handle_repeated(&mut self, now: Micros, set_up: &ReceivedSetUp, message: Message) -> bool {
        let (sid, conn) = (set_up.sid, set_up.conn);
        let Some(first) = self.call_with(sid).filter(|call| call.set_up.conn != conn) else { return false };
        let (first_conn, answered) = (first.set_up.conn, first.answered);
        let is_repetition = first.set_up.content == set_up.content;
        let answer_may_be_unread = !answered || self.was_answered_recently(now, sid);
        if !is_repetition || !answer_may_be_unread || self.repeated.contains_key(&sid) {
            return false;
        }
        let Some(c) = self.connections.get_mut(&conn).filter(|c| !c.is_full()) else { return false };
        c.open_set_ups += 1;
        self.repeated.insert(sid, RepeatedSetUp { set_up: set_up.clone(), message, received_at: now });
        if self.connections.get(&first_conn).is_some_and(|c| !c.peer_closed) {
            let timer = ClientTimer::RepeatedSetUp(sid);
            self.outputs.push(ClientOutput::SetTimer(now + REPEATED_SET_UP_WAIT, timer));
        } else {
            self.answer_repeated(now, sid);
        }
        true
    }

    /// Whether a set-up is the first sending of one that its client has sent again meanwhile, on a newer connection.
    pub(super) fn is_superseded(&self, set_up: &ReceivedSetUp) -> bool {
        let is_first_sending =
            |call: &ClientCall| call.set_up.conn > set_up.conn && call.set_up.content == set_up.content;
        self.call_with(set_up.sid).is_some_and(is_first_sending)
    }

    /// Whether the call was answered so recently that its client may not have read the answer, and the answer is kept
    /// for as long as a repeated set-up is held.
    fn was_answered_recently(&mut self, now: Micros, sid: Sid) -> bool {
        self.recent_answers.get(now, sid).is_some_and(|entry| entry.until - now >= REPEATED_SET_UP_WAIT)
    }

    /// Whether a set-up has a sid that another set-up had which was abandoned within the quiet period. Clients use a sid
    /// for one set-up only.
    pub(super) fn differs_from_abandoned(&mut self, now: Micros, set_up: &ReceivedSetUp) -> bool {
        self.abandoned.get(now, set_up.sid).is_some_and(|entry| entry.value != set_up.content)
    }

    fn call_with(&self, sid: Sid) -> Option<&ClientCall> {
        self.calls.get(self.call_by_sid.get(&sid)?)
    }

    /// The connection on which these calls were answered has ended: the set-ups that are held for them get the same
    /// answers, since their client has not read the first ones.
    pub(super) fn answer_repeated_of(&mut self, now: Micros, ended: ConnId) {
        let answered_there = |call: &ClientCall| call.answered && call.set_up.conn == ended;
        let has_answer = |&sid: &Sid| self.call_with(sid).is_some_and(answered_there);
        let sids: Vec<Sid> = self.repeated.keys().copied().filter(has_answer).collect();
        sids.into_iter().for_each(|sid| self.answer_repeated(now, sid));
    }

    /// Sends the answer of an established call again, on the connection of the set-up that is held for it. The call
    /// belongs to that connection from then on.
    fn answer_repeated(&mut self, now: Micros, sid: Sid) {
        let Some(answer) = self.recent_answers.get(now, sid).map(|entry| entry.value.clone()) else { return };
        let content = self.call_with(sid).map(|call| call.set_up.content);
        if self.repeated.get(&sid).map(|repeated| repeated.set_up.content) != content {
            return;
        }
        let Some(RepeatedSetUp { set_up: ReceivedSetUp { conn, .. }, .. }) = self.remove_repeated(sid) else {
            return;
        };
        let Some(&call) = self.call_by_sid.get(&sid) else { return };
        self.counts.answer_resent += 1;
        self.move_call(call, conn);
        self.send(conn, Message { text: answer, ..Message::new(Kind::Ready, Some(sid)) });
        self.close_if_answered(conn);
    }

    /// Moves an established call to another connection.
    fn move_call(&mut self, call: CallId, conn: ConnId) {
        let Some(client_call) = self.calls.get_mut(&call) else { return };
        let previous = std::mem::replace(&mut client_call.set_up.conn, conn);
        if let Some(c) = self.connections.get_mut(&previous) {
            c.established = c.established.saturating_sub(1);
        }
        if let Some(c) = self.connections.get_mut(&conn) {
            c.established += 1;
            c.ever_established = true;
        }
    }

    /// The call that has the sid has ended without being established. A set-up that is held for the sid can be offered;
    /// as an attempt of the first call may have run, it waits for the quiet period.
    pub(super) fn sid_released(&mut self, now: Micros, sid: Sid) {
        if let Some(repeated) = self.repeated.get(&sid) {
            self.abandoned.record(now, sid, repeated.set_up.content);
            self.outputs.push(ClientOutput::OfferRepeated(sid));
        }
    }

    /// Takes the set-up that is held for this sid, after [`ClientOutput::OfferRepeated`]. The caller offers it to the
    /// ledger and reports its id with [`ClientConnections::call_offered`]. `None` if it has ended since, or if it was
    /// invalid and has been answered.
    pub fn take_repeated(&mut self, now: Micros, sid: Sid) -> Option<AcceptedSetUp> {
        let RepeatedSetUp { set_up, message, received_at } = self.remove_repeated(sid)?;
        match self.accept_set_up(now, set_up, &message) {
            ClientRequest::Offer(mut accepted) => {
                let new_call = &mut accepted.offer.new_call;
                new_call.remaining_time = (new_call.remaining_time - (now - received_at)).max(0);
                Some(*accepted)
            }
            _ => None,
        }
    }

    /// The time to hold a set-up has passed, unless the timer belongs to an earlier one: its sid is in use, and its
    /// connection is closed. No message is sent for the sid, as it would be a second answer to the call that has it.
    pub(super) fn repeated_set_up_timeout(&mut self, now: Micros, sid: Sid) {
        let due = |repeated: &RepeatedSetUp| now - repeated.received_at >= REPEATED_SET_UP_WAIT;
        if !self.repeated.get(&sid).is_some_and(due) {
            return;
        }
        if let Some(repeated) = self.remove_repeated(sid) {
            self.counts.duplicate_sid += 1;
            self.begin_close(now, repeated.set_up.conn, CloseReason::DuplicateSid);
        }
    }

    /// Fails the set-ups held on a connection that is being closed.
    pub(super) fn fail_repeated_on(&mut self, conn: ConnId) {
        let held: Vec<Sid> =
            self.repeated.iter().filter(|(_, r)| r.set_up.conn == conn).map(|(&sid, _)| sid).collect();
        for sid in held {
            self.remove_repeated(sid);
            self.send(conn, Message::close(sid, cause::TEMPORARY_FAILURE));
        }
    }

    /// The client cancelled a set-up; returns whether it was held on this connection.
    pub(super) fn cancel_repeated(&mut self, conn: ConnId, sid: Sid) -> bool {
        let held_here = self.repeated.get(&sid).is_some_and(|r| r.set_up.conn == conn);
        held_here && self.remove_repeated(sid).is_some()
    }

    pub(super) fn remove_repeated(&mut self, sid: Sid) -> Option<RepeatedSetUp> {
        let repeated = self.repeated.remove(&sid)?;
        if let Some(c) = self.connections.get_mut(&repeated.set_up.conn) {
            c.open_set_ups = c.open_set_ups.saturating_sub(1);
        }
        Some(repeated)
    }
}
