//! Messages from clients.

use super::*;

impl ClientConnections {
    /// Handles a message from a client.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) -> ClientRequest {
        let Some(c) = self.connections.get_mut(&conn) else { return ClientRequest::None };
        c.last_activity = now;
        c.received_set_up |= message.kind == Kind::Open;
        let (closing, reading_stopped, peer_closed) = (c.closing, c.reading_stopped, c.peer_closed);
        let request = match (message.kind, message.sid) {
            (Kind::Open, Some(_)) if peer_closed => {
                self.counts.set_up_after_leaving += 1;
                ClientRequest::None
            }
            (Kind::Open, Some(sid)) if closing => {
                // The set-up was sent before the client learned that its connection is being closed.
                if !reading_stopped && !self.call_by_sid.contains_key(&sid) {
                    self.counts.set_up_while_closing += 1;
                    self.send(conn, congestion_refusal(sid));
                }
                ClientRequest::None
            }
            (Kind::Open, Some(sid)) => {
                self.record_sid(now, conn, sid);
                self.handle_set_up(now, conn, sid, message)
            }
            (Kind::Close, Some(sid)) => match self.call_by_sid.get(&sid).copied() {
                Some(call) if self.may_clear(conn, call) => {
                    self.call_cleared(now, call);
                    ClientRequest::Clear(call)
                }
                _ if self.cancel_repeated(conn, sid) => ClientRequest::None,
                None if self.may_release_previous_run(now, conn, sid) => {
                    ClientRequest::ReleasePreviousRun(sid)
                }
                _ => {
                    self.counts.unknown_call += 1;
                    ClientRequest::None
                }
            },
            (Kind::Probe, sid) => ClientRequest::Probe(sid),
            (Kind::Closed, Some(sid)) => {
                self.releases.remove(&sid);
                ClientRequest::None
            }
            _ => {
                self.counts.unexpected += 1;
                ClientRequest::None
            }
        };
        self.close_drained(now);
        request
    }

    /// Remembers a sid as one of this run.
    fn record_sid(&mut self, now: Micros, conn: ConnId, sid: Sid) {
        let Some(c) = self.connections.get_mut(&conn) else { return };
        if c.recorded_sids < MAX_SIDS_OF_CONNECTION {
            c.recorded_sids += 1;
            self.previous_run.record(now, sid);
        }
    }

    /// Whether a release may be passed on as one of a call of the previous run.
    fn may_release_previous_run(&mut self, now: Micros, conn: ConnId, sid: Sid) -> bool {
        let Some(c) = self.connections.get_mut(&conn) else { return false };
        self.previous_run.may_contain(now, sid) && c.previous_run_releases.take(now, 0, 0.0)
    }

    /// An established call may be released on any connection, a set-up only be cancelled on its own, so that a client
    /// that makes up sids can't cancel the set-ups of others.
    pub(super) fn may_clear(&self, conn: ConnId, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|call| call.answered || call.set_up.conn == conn)
    }

    /// Checks a set-up and returns the call to offer, unless it is answered at once.
    pub(super) fn handle_set_up(
        &mut self,
        now: Micros,
        conn: ConnId,
        sid: Sid,
        message: Message,
    ) -> ClientRequest {
        if self.releases.contains_key(&sid) {
            // The call has ended. Its client sends the set-up again because it has read nothing of this, so that the
            // release is its answer.
            self.send_release(now, sid, Some(conn));
            return ClientRequest::None;
        }
        let key = message.attrs.get("key").cloned();
        let set_up = ReceivedSetUp { sid, conn, key, content: self.content_hasher.hash(&message) };
        let in_use = self.call_by_sid.contains_key(&sid);
        if !in_use && !self.differs_from_abandoned(now, &set_up) {
            return self.accept_set_up(now, set_up, &message);
        }
        if self.is_superseded(&set_up) {
            self.counts.set_up_after_leaving += 1;
        } else if !self.handle_repeated(now, &set_up, message) {
            // No message is sent for the sid: it would be a second answer to the call that has it.
            self.counts.duplicate_sid += 1;
            self.begin_close(now, conn, CloseReason::DuplicateSid);
        }
        ClientRequest::None
    }

    /// Checks a set-up whose sid is free.
    pub(super) fn accept_set_up(
        &mut self,
        now: Micros,
        set_up: ReceivedSetUp,
        message: &Message,
    ) -> ClientRequest {
        let (sid, conn) = (set_up.sid, set_up.conn);
        if self.connections.get(&conn).is_some_and(ClientConnection::is_full) {
            self.counts.too_many_open += 1;
            self.refuse_set_up(now, conn, congestion_refusal(sid));
            return ClientRequest::None;
        }
        let earliest_attempt = self.abandoned.get(now, sid).map_or(0, |entry| entry.until);
        match self.parse_offer(message, earliest_attempt) {
            Some(offer) => ClientRequest::Offer(Box::new(AcceptedSetUp { set_up, offer })),
            None => {
                // An unknown class or an invalid value: failed rather than refused, since a retry of the same
                // set-up would not help.
                self.counts.invalid_set_up += 1;
                self.refuse_set_up(now, conn, Message::close(sid, cause::NOT_IMPLEMENTED));
                ClientRequest::None
            }
        }
    }

    /// Parses the call of a set-up; `None` if its class or one of its values is invalid.
    pub(super) fn parse_offer(&self, message: &Message, earliest_attempt: Micros) -> Option<OfferedCall> {
        let class = message.field("class")?;
        let class = self.classes.iter().position(|c| *c == class)?;
        let remaining_time = message.millis("left").filter(|&p| p <= MAX_REMAINING_TIME)?;
        let extras = message.field("extras").unwrap_or_default();
        let values = parse_all_pairs(&extras)?;
        let flag = |name: &str| values.get(name).is_some_and(|&v| v != 0.0);
        let exchange = |v: f64| ((0.0..=65_535.0).contains(&v) && v.fract() == 0.0).then_some(v as u16);
        let circuits = values.get("width").copied().unwrap_or(1.0);
        if !(1.0..=MAX_CIRCUITS).contains(&circuits) || circuits.fract() != 0.0 {
            return None;
        }
        let via = match values.get("via") {
            None => None,
            Some(&-1.0) => None,
            Some(&v) => Some(exchange(v)?),
        };
        let key = message.field("key").filter(|k| !k.is_empty());
        let new_call = NewCall {
            call: CallId(0),
            destination: ExchangeNumber(values.get("dest").copied().and_then(exchange)?),
            transit: flag("transit"),
            redialled: message.field("retry").is_some_and(|r| r != "0"),
            cut_before: flag("again"),
            number: key.map(|k| number(&k)).filter(|&n| n != 0),
            circuits: circuits as u32,
            remaining_time,
            class,
            via: via.map(ExchangeNumber),
            earliest_attempt,
        };
        Some(OfferedCall { frontend: self.frontend, new_call, description: message.text.clone() })
    }

    /// The call of a set-up was offered to the ledger, under this id.
    pub fn call_offered(&mut self, set_up: ReceivedSetUp, call: CallId) {
        if let Some(c) = self.connections.get_mut(&set_up.conn) {
            c.open_set_ups += 1;
        }
        self.call_by_sid.insert(set_up.sid, call);
        self.calls.insert(call, ClientCall { set_up, answered: false });
    }
}

/// The called number as passed to the decision module: sixteen hexadecimal digits as their value, others as a hash
/// (FNV-1a).
fn number(key: &str) -> u64 {
    Sid::parse(key).map(|s| s.0).unwrap_or_else(|| {
        key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    })
}

/// A refusal because of congestion, with a retry delay.
fn congestion_refusal(sid: Sid) -> Message {
    Message::close(sid, cause::CONGESTION).with("wait", CONGESTION_RETRY_AFTER_MS)
}
