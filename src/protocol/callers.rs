//! The platform's front: what callers send on their connections, and what they are answered, without input
//! or output.

use super::json_lines::{cause, pairs, EarlierLife, Kind, Message, Sid};
use super::ConnId;
use crate::routing::interface::{CallId, ExchangeNo, Micros, NewCall};
use crate::routing::ledger::{Answer, FrontId, Offer};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// A release that no connection could carry is kept for this long (µs).
const OWED_FOR: Micros = 8_000_000;

/// A release whose connection ends this soon after it goes out again, unless it was heard (µs).
const UNHEARD: Micros = 500_000;

/// What a caller's message asks for.
#[derive(Debug, PartialEq)]
pub enum Ask {
    /// Offer this call to the core, and then [`Callers::taken`].
    Offer(Sid, Option<Value>, Box<Offer>),
    /// The caller gave this call up, or released it.
    Left(CallId),
    /// The caller released a call of this program's earlier life.
    LeftEarlier(Sid),
    /// Whether this program is ready for calls.
    Test(Option<Sid>),
    /// Answer at once.
    Reply(Message),
    /// Nothing; it was odd, and was counted.
    Nothing,
}

/// A message to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ToCaller {
    /// On which connection.
    pub conn: ConnId,
    /// The message.
    pub message: Message,
}

/// Counts of what came in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerCounts {
    /// Set-ups whose class or figures were not usable; each was failed.
    pub unusable: u64,
    /// Set-ups that named a call which is open or stands; passed over.
    pub repeated: u64,
    /// Releases of calls that are not known here.
    pub stray: u64,
    /// Messages that callers have no reason to send.
    pub unexpected: u64,
    /// Answers that found their connection gone.
    pub undeliverable: u64,
}

#[derive(Debug)]
struct Held {
    sid: Sid,
    /// The called number as it came.
    key: Option<Value>,
    conn: ConnId,
    answered: bool,
}

#[derive(Debug)]
struct Conn {
    /// Set-ups that wait for their answer here.
    open: usize,
    used: Micros,
}

/// The front and what it holds.
#[derive(Debug)]
pub struct Callers {
    front: FrontId,
    classes: Vec<String>,
    conns: BTreeMap<ConnId, Conn>,
    by_sid: HashMap<Sid, CallId>,
    calls: HashMap<CallId, Held>,
    owed: Vec<(Micros, Message)>,
    /// Releases that went out of late and were not heard yet.
    unheard: Vec<(Micros, ToCaller)>,
    earlier: EarlierLife,
    counts: CallerCounts,
}

impl Callers {
    /// A front that knows the names of the classes, in their order.
    pub fn new(now: Micros, front: FrontId, classes: Vec<String>) -> Self {
        Callers {
            front,
            classes,
            conns: BTreeMap::new(),
            by_sid: HashMap::new(),
            calls: HashMap::new(),
            owed: Vec::new(),
            unheard: Vec::new(),
            earlier: EarlierLife::new(now),
            counts: CallerCounts::default(),
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> CallerCounts {
        self.counts
    }

    /// Connections open.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// The name of a call and the number called, as they came.
    pub fn particulars(&self, call: CallId) -> Option<(Sid, Option<Value>)> {
        self.calls.get(&call).map(|h| (h.sid, h.key.clone()))
    }

    /// A connection came up. What is owed and found no connection goes out on it.
    pub fn opened(&mut self, now: Micros, conn: ConnId) -> Vec<ToCaller> {
        self.conns.insert(conn, Conn { open: 0, used: now });
        let owed = std::mem::take(&mut self.owed);
        owed.into_iter().filter(|o| now < o.0).map(|(_, message)| ToCaller { conn, message }).collect()
    }

    /// A connection is gone: its unanswered set-ups are given up. No call that stands goes with it, and a release
    /// that may have crossed its end goes out on another.
    pub fn closed(&mut self, now: Micros, conn: ConnId) -> (Vec<CallId>, Vec<ToCaller>) {
        self.conns.remove(&conn);
        let (crossed, rest) = std::mem::take(&mut self.unheard).into_iter().partition(|u| u.1.conn == conn);
        self.unheard = rest;
        let crossed: Vec<(Micros, ToCaller)> = crossed;
        let recent = crossed.into_iter().filter(|u| now < u.0);
        let again = recent.filter_map(|(_, m)| self.tell(now, None, m.message)).collect();
        let on = |h: &Held| h.conn == conn && !h.answered;
        let mut lost: Vec<CallId> = self.calls.iter().filter(|(_, h)| on(h)).map(|(&c, _)| c).collect();
        lost.sort_unstable();
        lost.iter().for_each(|&c| drop(self.remove(c)));
        (lost, again)
    }

    /// The connection that has been idle longest with no open set-up on it.
    pub fn idlest(&self) -> Option<ConnId> {
        let idle = self.conns.iter().filter(|(_, c)| c.open == 0);
        idle.min_by_key(|(_, c)| c.used).map(|(&id, _)| id)
    }

    /// A message from a caller.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) -> Ask {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.used = now;
        }
        match (message.kind, message.sid) {
            (Kind::Open, Some(sid)) => {
                self.earlier.meet(now, sid);
                self.open(sid, message)
            }
            (Kind::Close, Some(sid)) => match self.by_sid.get(&sid).copied() {
                Some(call) => {
                    self.remove(call);
                    Ask::Left(call)
                }
                None if self.earlier.has(now, sid) => Ask::LeftEarlier(sid),
                None => {
                    self.counts.stray += 1;
                    Ask::Nothing
                }
            },
            (Kind::Probe, sid) => Ask::Test(sid),
            (Kind::Closed, sid) => {
                self.unheard.retain(|u| u.1.message.sid != sid);
                Ask::Nothing
            }
            _ => {
                self.counts.unexpected += 1;
                Ask::Nothing
            }
        }
    }

    fn open(&mut self, sid: Sid, message: Message) -> Ask {
        if self.by_sid.contains_key(&sid) {
            // Guards against a second answer to one call.
            self.counts.repeated += 1;
            return Ask::Nothing;
        }
        match self.offer(&message) {
            Some(offer) => Ask::Offer(sid, message.attrs.get("key").cloned(), Box::new(offer)),
            None => {
                // A class or a figure that nothing can be made of: failed, not refused, since trying the
                // same again will not help.
                self.counts.unusable += 1;
                Ask::Reply(Message::close(sid, cause::NOT_IMPLEMENTED))
            }
        }
    }

    fn offer(&self, message: &Message) -> Option<Offer> {
        let class = message.field("class")?;
        let class = self.classes.iter().position(|c| *c == class)?;
        let patience = message.millis("left")?;
        let extras = message.field("extras").unwrap_or_default();
        let figure = |name: &str| pairs(&extras).find(|p| p.0 == name).map(|p| p.1);
        let exchange = |v: f64| (0.0..=65_535.0).contains(&v).then_some(ExchangeNo(v as u16));
        let key = message.field("key").filter(|k| !k.is_empty());
        let ask = NewCall {
            call: CallId(0),
            destination: figure("dest").and_then(exchange)?,
            transit: figure("transit").is_some_and(|v| v != 0.0),
            redialled: message.field("retry").is_some_and(|r| r != "0"),
            cut_before: figure("again").is_some_and(|v| v != 0.0),
            number: key.map(|k| number(&k)).filter(|&n| n != 0),
            width: figure("width").map_or(1, |w| w.clamp(1.0, 1e6).ceil() as u32),
            patience,
            class,
            via: figure("via").and_then(exchange),
        };
        Some(Offer { front: self.front, ask, description: message.text.clone() })
    }

    /// The core has taken the call that this connection asked for.
    pub fn taken(&mut self, conn: ConnId, sid: Sid, key: Option<Value>, call: CallId) {
        self.by_sid.insert(sid, call);
        self.calls.insert(call, Held { sid, key, conn, answered: false });
        if let Some(c) = self.conns.get_mut(&conn) {
            c.open += 1;
        }
    }

    /// The final answer to a call, on the connection of its set-up.
    pub fn answer(&mut self, call: CallId, answer: Answer) -> Option<ToCaller> {
        let held = self.calls.get_mut(&call)?;
        let (sid, conn) = (held.sid, held.conn);
        let message = match answer {
            Answer::Stands(text) => {
                held.answered = true;
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.open = c.open.saturating_sub(1);
                }
                Message { text, ..Message::new(Kind::Ready, Some(sid)) }
            }
            Answer::Refused { pause } => {
                self.remove(call);
                let refusal = Message::close(sid, cause::NO_CIRCUIT);
                match (pause + 999) / 1000 {
                    0 => refusal,
                    ms => refusal.with("wait", ms.to_string()),
                }
            }
            Answer::Failed => {
                self.remove(call);
                Message::close(sid, cause::TEMPORARY_FAILURE)
            }
        };
        if !self.conns.contains_key(&conn) {
            self.counts.undeliverable += 1;
            return None;
        }
        Some(ToCaller { conn, message })
    }

    /// The release of a call that stood: on the connection of its set-up, else on any, else on the next.
    pub fn release(&mut self, now: Micros, call: CallId, cut: bool) -> Option<ToCaller> {
        let held = self.remove(call)?;
        let code = if cut { cause::TEMPORARY_FAILURE } else { cause::NORMAL };
        self.tell(now, Some(held.conn), Message::close(held.sid, code))
    }

    /// The release of a call that stood in an earlier life of this program.
    pub fn release_earlier(&mut self, now: Micros, sid: Sid, code: u16) -> Option<ToCaller> {
        match self.by_sid.contains_key(&sid) || !self.earlier.has(now, sid) {
            true => None,
            false => self.tell(now, None, Message::close(sid, code)),
        }
    }

    fn tell(&mut self, now: Micros, conn: Option<ConnId>, message: Message) -> Option<ToCaller> {
        let own = conn.filter(|c| self.conns.contains_key(c));
        match own.or_else(|| self.conns.keys().next_back().copied()) {
            Some(conn) => {
                let told = ToCaller { conn, message };
                self.unheard.retain(|u| now < u.0);
                self.unheard.push((now + UNHEARD, told.clone()));
                Some(told)
            }
            None => {
                self.owed.retain(|o| now < o.0);
                self.owed.push((now + OWED_FOR, message));
                None
            }
        }
    }

    /// The one place where a call is given back.
    fn remove(&mut self, call: CallId) -> Option<Held> {
        let held = self.calls.remove(&call)?;
        self.by_sid.remove(&held.sid);
        if !held.answered {
            if let Some(c) = self.conns.get_mut(&held.conn) {
                c.open = c.open.saturating_sub(1);
            }
        }
        Some(held)
    }
}

/// A called number as the module knows it: sixteen hexadecimal digits as they are, others by a hash (FNV-1a).
fn number(key: &str) -> u64 {
    Sid::parse(key).map(|s| s.0).unwrap_or_else(|| {
        key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    })
}
