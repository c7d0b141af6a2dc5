//! What clients send.

use super::*;

impl ClientConnections {
    /// A message from a caller.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) -> ClientRequest {
        let Some(c) = self.conns.get_mut(&conn) else { return ClientRequest::None };
        c.used = now;
        c.used_for_calls |= message.kind == Kind::Open;
        let (ending, stopped) = (c.ending, c.reading_stopped);
        let ask = match (message.kind, message.sid) {
            (Kind::Open, Some(sid)) if ending => {
                // It crossed the end of its connection, and has been read.
                if !stopped && !self.by_sid.contains_key(&sid) {
                    self.counts.set_up_while_closing += 1;
                    self.tell(conn, crowded(sid));
                }
                ClientRequest::None
            }
            (Kind::Open, Some(sid)) => {
                self.previous_run.record(now, sid);
                self.open(now, conn, sid, message)
            }
            (Kind::Close, Some(sid)) => match self.by_sid.get(&sid).copied() {
                Some(call) if self.may_release(conn, call) => {
                    self.give_up(now, call);
                    ClientRequest::Clear(call)
                }
                None if self.previous_run.may_contain(now, sid) => ClientRequest::ReleasePreviousRun(sid),
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
        self.end_drained(now);
        ask
    }

    /// A call that stands may be released on any connection; a set-up is given up on its own. Guards callers
    /// against one that makes up names.
    pub(super) fn may_release(&self, conn: ConnId, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|h| h.answered || h.conn == conn)
    }

    pub(super) fn open(&mut self, now: Micros, conn: ConnId, sid: Sid, message: Message) -> ClientRequest {
        if self.by_sid.contains_key(&sid) {
            // Guards against a second answer to one call: nothing is said about its name.
            self.counts.duplicate_sid += 1;
            self.end(now, conn, CloseReason::DuplicateSid);
            return ClientRequest::None;
        }
        if self.conns.get(&conn).is_some_and(|c| !c.proven && c.open >= OPEN_NEW) {
            self.counts.too_many_open += 1;
            self.turn_away(now, conn, crowded(sid));
            return ClientRequest::None;
        }
        let not_before = self.given_up.not_before(now, sid);
        match self.offer(&message, not_before) {
            Some(offer) => ClientRequest::Offer(sid, message.attrs.get("key").cloned(), Box::new(offer)),
            None => {
                // A class or a figure that nothing can be made of: failed, not refused, since trying the
                // same again will not help.
                self.counts.invalid_set_up += 1;
                self.turn_away(now, conn, Message::close(sid, cause::NOT_IMPLEMENTED));
                ClientRequest::None
            }
        }
    }

    pub(super) fn offer(&self, message: &Message, not_before: Micros) -> Option<OfferedCall> {
        let class = message.field("class")?;
        let class = self.classes.iter().position(|c| *c == class)?;
        let patience = message.millis("left").filter(|&p| p <= PATIENCE)?;
        let extras = message.field("extras").unwrap_or_default();
        let figures = parse_all_pairs(&extras)?;
        let flag = |name: &str| figures.get(name).is_some_and(|&v| v != 0.0);
        let exchange = |v: f64| ((0.0..=65_535.0).contains(&v) && v.fract() == 0.0).then_some(v as u16);
        let width = figures.get("width").copied().unwrap_or(1.0);
        if !(1.0..=WIDTH).contains(&width) || width.fract() != 0.0 {
            return None;
        }
        let via = match figures.get("via") {
            None => None,
            Some(&-1.0) => None,
            Some(&v) => Some(exchange(v)?),
        };
        let key = message.field("key").filter(|k| !k.is_empty());
        let ask = NewCall {
            call: CallId(0),
            destination: ExchangeNumber(figures.get("dest").copied().and_then(exchange)?),
            transit: flag("transit"),
            redialled: message.field("retry").is_some_and(|r| r != "0"),
            cut_before: flag("again"),
            number: key.map(|k| number(&k)).filter(|&n| n != 0),
            circuits: width as u32,
            remaining_time: patience,
            class,
            via: via.map(ExchangeNumber),
            earliest_attempt: not_before,
        };
        Some(OfferedCall { frontend: self.front, new_call: ask, description: message.text.clone() })
    }

    /// The core has taken the call that this connection asked for.
    pub fn call_offered(&mut self, conn: ConnId, sid: Sid, key: Option<Value>, call: CallId) {
        self.by_sid.insert(sid, call);
        self.calls.insert(call, ClientCall { sid, key, conn, answered: false });
        if let Some(c) = self.conns.get_mut(&conn) {
            c.open += 1;
        }
    }
}

/// A called number as the module knows it: sixteen hexadecimal digits as they are, others by a hash (FNV-1a).
fn number(key: &str) -> u64 {
    Sid::parse(key).map(|s| s.0).unwrap_or_else(|| {
        key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    })
}

/// A refusal for want of room, with when to come back.
fn crowded(sid: Sid) -> Message {
    Message::close(sid, cause::CONGESTION).with("wait", CROWDED_PAUSE_MS)
}
