//! The platform's front: what callers send on their connections, and what they are answered, without input
//! or output.
//!
//! A connection is either in service or ending. One that ends takes nothing more in; its open set-ups are failed,
//! and once they are answered it is closed. It ends for a fault of its own, or for saying nothing for too long.

use super::client_given_up::GivenUp;
use super::json_lines::{cause, figures, EarlierLife, Kind, Message, Sid};
use super::ConnId;
use crate::planted::{planted, Planted};
use crate::routing::interface::{CallId, ExchangeNo, Micros, NewCall};
use crate::routing::ledger::{Answer, FrontId, Offer};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// A release that was not heard is sent again for this long (µs).
const OWED_FOR: Micros = 8_000_000;
/// A release that was not heard by then goes out on another connection (µs): callers answer each at once.
const UNHEARD: Micros = 300_000;
/// A connection without an open set-up is ended after so long without a message, if no call has ever stood on
/// it (µs).
const IDLE_NEW: Micros = 1_000_000;
/// The same where one has, unless one still stands (µs). Callers end such connections after 4 s.
const IDLE: Micros = 5_000_000;
/// A message that has begun is whole by then (µs).
const HALF: Micros = 1_000_000;
/// A connection that ends has this long to take in what waits for it (µs).
const ENDING: Micros = 500_000;
/// A connection this young may have its first set-up on the way (µs).
const YOUNG: Micros = 100_000;
/// Set-ups open on a connection on which no call has ever stood; more are refused.
const OPEN_NEW: usize = 100;
/// Set-ups turned away on a connection on which no call has ever stood, after which it is ended: it may be that it
/// sends the same again at once, for ever.
const TURNED_AWAY: u32 = 8;
/// The longest that a caller may say it waits (µs).
const PATIENCE: Micros = 600_000_000;
/// The most circuits that a call may take: what one group of 2 Mbit/s has.
const WIDTH: f64 = 30.0;

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
    /// Nothing more than the outputs say.
    Nothing,
}

/// Why this side ends a caller's connection, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// What came on it could not be read, or stopped within a message.
    Unreadable,
    /// A set-up named a call that is open or stands.
    NameInUse,
    /// Nothing came for too long.
    Idle,
    /// Too many set-ups in a row were turned away.
    TurnedAway,
    /// Too many connections are open.
    TooMany,
    /// The program stops, and nothing is left on it.
    Drained,
    /// The program ends.
    Shutdown,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutput {
    /// Send a message on this connection.
    Tell(ConnId, Message),
    /// Fail this call, whose caller is not to be served any further.
    Fail(CallId),
    /// This connection takes nothing more in, for this reason.
    Ending(ConnId, EndReason),
    /// Read no further on this connection than to the end of the present message, and say so
    /// ([`Callers::reading_stopped`]).
    StopReading(ConnId),
    /// Close this connection once what waits on it has gone out.
    End(ConnId),
    /// Close it at once.
    Cut(ConnId),
    /// Come back then.
    Wake(Micros, CallerDue),
}

/// What a deadline of the front is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerDue {
    /// Look whether a connection has been idle for too long.
    Idle(ConnId),
    /// What began at that time ought to be whole.
    Half(ConnId, Micros),
    /// A connection that ends has had its time.
    Ending(ConnId),
    /// The first set-up of a connection that ends has come by now, or never will.
    StopReading(ConnId),
    /// A release ought to have been heard.
    Unheard(Sid),
}

/// Counts of what came in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerCounts {
    /// Set-ups whose class or figures were not usable; each was failed.
    pub unusable: u64,
    /// Set-ups that named a call which is open or stands; each ended its connection.
    pub repeated: u64,
    /// Set-ups refused since they crossed the end of their connection.
    pub crossed: u64,
    /// Set-ups refused since too many were open on a connection that no call has stood on.
    pub crowded: u64,
    /// Releases of calls that are not known here, or not the sender's.
    pub stray: u64,
    /// Messages that callers have no reason to send.
    pub unexpected: u64,
    /// Answers that found their connection gone.
    pub undeliverable: u64,
    /// Connections ended for what could not be read, or stopped within a message.
    pub spoilt: u64,
    /// Connections ended since nothing came, or nothing but what was turned away.
    pub idle: u64,
    /// Connections ended since too many were open.
    pub turned_away: u64,
    /// Releases sent once more on another connection.
    pub released_again: u64,
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
    /// Calls that were set up here and stand.
    standing: usize,
    /// When it came up, and when the last message came.
    born: Micros,
    used: Micros,
    /// A call has stood on it.
    proven: bool,
    /// Set-ups turned away here.
    turned_away: u32,
    /// Since when a message has been half there.
    half: Option<Micros>,
    /// A set-up came on it.
    used_for_calls: bool,
    /// It takes nothing more in, and is closed once no set-up is open on it and all that was read is answered.
    ending: bool,
    /// Nothing more is read from it.
    reading_stopped: bool,
}

/// The release of a call that stood, until its caller has heard it.
#[derive(Debug)]
struct Release {
    message: Message,
    until: Micros,
    /// The connections it went out on, the last one last.
    sent: Vec<ConnId>,
}

/// The front and what it holds.
#[derive(Debug)]
pub struct Callers {
    front: FrontId,
    classes: Vec<String>,
    /// Connections that may be open at once.
    most: usize,
    conns: BTreeMap<ConnId, Conn>,
    by_sid: HashMap<Sid, CallId>,
    calls: HashMap<CallId, Held>,
    releases: BTreeMap<Sid, Release>,
    earlier: EarlierLife,
    /// Requests given up of late.
    given_up: GivenUp,
    /// Connections with nothing left on them are ended.
    draining: bool,
    out: Vec<CallerOutput>,
    counts: CallerCounts,
}

impl Callers {
    /// A front that knows the names of the classes, in their order, and how many connections it may hold.
    pub fn new(now: Micros, front: FrontId, classes: Vec<String>, most: usize) -> Self {
        Callers {
            front,
            classes,
            most,
            conns: BTreeMap::new(),
            by_sid: HashMap::new(),
            calls: HashMap::new(),
            releases: BTreeMap::new(),
            earlier: EarlierLife::new(now),
            given_up: GivenUp::default(),
            draining: false,
            out: Vec::new(),
            counts: CallerCounts::default(),
        }
    }

    /// The same, where an attempt that ended uncertainly is followed by no other of its request for so long (µs).
    pub fn with_quiet_period(self, quiet: Micros) -> Self {
        Callers { given_up: GivenUp::new(quiet), ..self }
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<CallerOutput> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> CallerCounts {
        self.counts
    }

    /// The name of a call and the number called, as they came.
    pub fn particulars(&self, call: CallId) -> Option<(Sid, Option<Value>)> {
        self.calls.get(&call).map(|h| (h.sid, h.key.clone()))
    }

    // ---- Connections ----

    /// A connection came up. Guards the descriptors: where there are too many, the least needed one makes room,
    /// and if all are needed the new one does.
    pub fn opened(&mut self, now: Micros, conn: ConnId) {
        let over = self.conns.len() >= self.most;
        let spare = over.then(|| self.least_needed(now)).flatten();
        let fresh = Conn {
            open: 0,
            standing: 0,
            born: now,
            used: now,
            proven: false,
            turned_away: 0,
            half: None,
            used_for_calls: false,
            ending: false,
            reading_stopped: false,
        };
        self.conns.insert(conn, fresh);
        self.out.push(CallerOutput::Wake(now + IDLE_NEW, CallerDue::Idle(conn)));
        if over {
            self.counts.turned_away += 1;
            self.end(now, spare.unwrap_or(conn), EndReason::TooMany);
        }
    }

    /// One with no open set-up: rather one that never had a call stand, then one on which none stands now, then
    /// one whose first set-up can't be on its way, and of these the one that has been idle longest.
    fn least_needed(&self, now: Micros) -> Option<ConnId> {
        let spare = self.conns.iter().filter(|(_, c)| c.open == 0 && !c.ending);
        spare.min_by_key(|(_, c)| (c.proven, c.standing > 0, now - c.born < YOUNG, c.used)).map(|(&id, _)| id)
    }

    /// A connection is gone: its unanswered set-ups are given up. No call that stands goes with it, and a release
    /// that may have crossed its end goes out on another.
    pub fn closed(&mut self, now: Micros, conn: ConnId) -> Vec<CallId> {
        self.conns.remove(&conn);
        let crossed = |r: &Release| r.sent.last() == Some(&conn);
        let again: Vec<Sid> = self.releases.iter().filter(|(_, r)| crossed(r)).map(|(&s, _)| s).collect();
        again.into_iter().for_each(|sid| self.send_release(now, sid, None));
        let lost = self.open_on(conn);
        for &call in &lost {
            self.give_up(now, call);
        }
        self.end_drained(now);
        lost
    }

    /// Connections that there are, those that end included.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Whether a release of a call that stood has not been heard, nor given up.
    pub fn owes_releases(&self) -> bool {
        !self.releases.is_empty()
    }

    /// From now on a connection is ended once nothing is left on it: no open set-up, no call that stands, and no
    /// release that has not been heard.
    pub fn drain(&mut self, now: Micros) {
        self.draining = true;
        self.end_drained(now);
    }

    /// Ends every connection.
    pub fn end_all(&mut self, now: Micros) {
        let all: Vec<ConnId> = self.conns.keys().copied().collect();
        all.into_iter().for_each(|conn| self.end(now, conn, EndReason::Shutdown));
    }

    fn end_drained(&mut self, now: Micros) {
        if !self.draining {
            return;
        }
        let owing: Vec<ConnId> = self.releases.values().filter_map(|r| r.sent.last().copied()).collect();
        // One that is new may have its first set-up on the way.
        let settled = |c: &Conn| c.used_for_calls || now - c.born >= IDLE_NEW;
        let empty = |c: &Conn| c.open == 0 && c.standing == 0 && c.half.is_none();
        let drained = |id: &ConnId, c: &Conn| !c.ending && settled(c) && empty(c) && !owing.contains(id);
        let over: Vec<ConnId> =
            self.conns.iter().filter(|(id, c)| drained(id, c)).map(|(&id, _)| id).collect();
        over.into_iter().for_each(|conn| self.end(now, conn, EndReason::Drained));
    }

    /// What came on a connection can't be read, so that nothing after it can be either.
    pub fn spoilt(&mut self, now: Micros, conn: ConnId) {
        self.counts.spoilt += 1;
        // Nothing that follows on it can be trusted.
        match self.conns.get_mut(&conn) {
            Some(c) if !c.ending => {
                c.reading_stopped = true;
                self.end(now, conn, EndReason::Unreadable);
            }
            _ => self.reading_stopped(conn),
        }
    }

    /// A message has begun on a connection, or what had begun is whole.
    pub fn half(&mut self, now: Micros, conn: ConnId, half: bool) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.half = half.then_some(now);
        if half {
            self.out.push(CallerOutput::Wake(now + HALF, CallerDue::Half(conn, now)));
        }
    }

    /// Nothing more is read from a connection that ends: all that was read from it has been taken in.
    pub fn reading_stopped(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !std::mem::replace(&mut c.reading_stopped, true) {
            self.end_if_answered(conn);
        }
    }

    /// Ends a connection: fails what is open on it, has reading stopped, and closes it once all that was read by then
    /// is answered. Guards a set-up that crosses the end: either it has not been read, or it is answered.
    fn end(&mut self, now: Micros, conn: ConnId, reason: EndReason) {
        let Some(c) = self.conns.get_mut(&conn).filter(|c| !c.ending) else { return };
        c.ending = true;
        self.out.push(CallerOutput::Ending(conn, reason));
        self.out.push(CallerOutput::Wake(now + ENDING, CallerDue::Ending(conn)));
        let first_may_come = !c.used_for_calls && now - c.born < YOUNG;
        if !c.reading_stopped && first_may_come {
            // It came up, so that its caller sends: what it sends is answered rather than left unread.
            self.out.push(CallerOutput::Wake(c.born + YOUNG, CallerDue::StopReading(conn)));
        } else if !c.reading_stopped {
            self.out.push(CallerOutput::StopReading(conn));
        }
        let open = self.open_on(conn);
        self.out.extend(open.into_iter().map(CallerOutput::Fail));
        self.end_if_answered(conn);
    }

    /// The set-ups that wait for their answer on a connection.
    fn open_on(&self, conn: ConnId) -> Vec<CallId> {
        let on = |h: &Held| h.conn == conn && !h.answered;
        let mut open: Vec<CallId> = self.calls.iter().filter(|(_, h)| on(h)).map(|(&c, _)| c).collect();
        open.sort_unstable();
        open
    }

    /// A deadline has come.
    pub fn due(&mut self, now: Micros, due: CallerDue) {
        self.deadline(now, due);
        self.end_drained(now);
    }

    fn deadline(&mut self, now: Micros, due: CallerDue) {
        match due {
            CallerDue::Idle(conn) => {
                let Some(c) = self.conns.get(&conn).filter(|c| !c.ending) else { return };
                let limit = if c.proven { IDLE } else { IDLE_NEW };
                let needed = c.open > 0 || c.standing > 0;
                if !needed && now - c.used >= limit {
                    self.counts.idle += 1;
                    return self.end(now, conn, EndReason::Idle);
                }
                let at = if needed { now } else { c.used };
                self.out.push(CallerOutput::Wake(at + limit, due));
            }
            CallerDue::Half(conn, since) => {
                if self.conns.get(&conn).is_some_and(|c| c.half == Some(since)) {
                    self.spoilt(now, conn);
                }
            }
            CallerDue::Ending(conn) => {
                if self.conns.contains_key(&conn) {
                    self.out.push(CallerOutput::Cut(conn));
                }
            }
            CallerDue::StopReading(conn) => {
                if self.conns.get(&conn).is_some_and(|c| !c.reading_stopped) {
                    self.out.push(CallerOutput::StopReading(conn));
                }
            }
            CallerDue::Unheard(sid) => match self.releases.get(&sid) {
                Some(r) if now >= r.until => drop(self.releases.remove(&sid)),
                Some(_) => {
                    self.send_release(now, sid, None);
                    self.out.push(CallerOutput::Wake(now + UNHEARD, due));
                }
                None => {}
            },
        }
    }

    // ---- Messages ----

    /// A message from a caller.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) -> Ask {
        let Some(c) = self.conns.get_mut(&conn) else { return Ask::Nothing };
        c.used = now;
        c.used_for_calls |= message.kind == Kind::Open;
        let (ending, stopped) = (c.ending, c.reading_stopped);
        let ask = match (message.kind, message.sid) {
            (Kind::Open, Some(sid)) if ending => {
                // It crossed the end of its connection, and has been read.
                if !stopped && !self.by_sid.contains_key(&sid) {
                    self.counts.crossed += 1;
                    self.tell(conn, Message::close(sid, cause::CONGESTION));
                }
                Ask::Nothing
            }
            (Kind::Open, Some(sid)) => {
                self.earlier.meet(now, sid);
                self.open(now, conn, sid, message)
            }
            (Kind::Close, Some(sid)) => match self.by_sid.get(&sid).copied() {
                Some(call) if self.may_release(conn, call) => {
                    self.give_up(now, call);
                    Ask::Left(call)
                }
                None if self.earlier.has(now, sid) => Ask::LeftEarlier(sid),
                _ => {
                    self.counts.stray += 1;
                    Ask::Nothing
                }
            },
            (Kind::Probe, sid) => Ask::Test(sid),
            (Kind::Closed, Some(sid)) => {
                self.releases.remove(&sid);
                Ask::Nothing
            }
            _ => {
                self.counts.unexpected += 1;
                Ask::Nothing
            }
        };
        self.end_drained(now);
        ask
    }

    /// A call that stands may be released on any connection; a set-up is given up on its own. Guards callers
    /// against one that makes up names.
    fn may_release(&self, conn: ConnId, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(|h| h.answered || h.conn == conn)
    }

    fn open(&mut self, now: Micros, conn: ConnId, sid: Sid, message: Message) -> Ask {
        if self.by_sid.contains_key(&sid) {
            // Guards against a second answer to one call: nothing is said about its name.
            self.counts.repeated += 1;
            self.end(now, conn, EndReason::NameInUse);
            return Ask::Nothing;
        }
        if self.conns.get(&conn).is_some_and(|c| !c.proven && c.open >= OPEN_NEW) {
            self.counts.crowded += 1;
            self.turn_away(now, conn, Message::close(sid, cause::CONGESTION));
            return Ask::Nothing;
        }
        let not_before = self.given_up.not_before(now, sid);
        match self.offer(&message, not_before) {
            Some(offer) => Ask::Offer(sid, message.attrs.get("key").cloned(), Box::new(offer)),
            None => {
                // A class or a figure that nothing can be made of: failed, not refused, since trying the
                // same again will not help.
                self.counts.unusable += 1;
                self.turn_away(now, conn, Message::close(sid, cause::NOT_IMPLEMENTED));
                Ask::Nothing
            }
        }
    }

    fn offer(&self, message: &Message, not_before: Micros) -> Option<Offer> {
        let class = message.field("class")?;
        let class = self.classes.iter().position(|c| *c == class)?;
        let patience = message.millis("left").filter(|&p| p <= PATIENCE)?;
        let extras = message.field("extras").unwrap_or_default();
        let figures = figures(&extras)?;
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
            destination: ExchangeNo(figures.get("dest").copied().and_then(exchange)?),
            transit: flag("transit"),
            redialled: message.field("retry").is_some_and(|r| r != "0"),
            cut_before: flag("again"),
            number: key.map(|k| number(&k)).filter(|&n| n != 0),
            width: width as u32,
            patience,
            class,
            via: via.map(ExchangeNo),
            not_before,
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

    // ---- Answers ----

    /// The final answer to a call, on the connection of its set-up.
    pub fn answer(&mut self, now: Micros, call: CallId, answer: Answer) {
        let Some(held) = self.calls.get_mut(&call) else { return };
        let (sid, conn) = (held.sid, held.conn);
        if !self.conns.contains_key(&conn) {
            self.counts.undeliverable += 1;
        }
        match answer {
            Answer::Stands(text) => {
                held.answered = true;
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.open = c.open.saturating_sub(1);
                    c.standing += 1;
                    c.proven = true;
                }
                if planted(Planted::AnswerTwice) {
                    self.tell(conn, Message { text: text.clone(), ..Message::new(Kind::Ready, Some(sid)) });
                }
                self.tell(conn, Message { text, ..Message::new(Kind::Ready, Some(sid)) });
                self.end_if_answered(conn);
            }
            Answer::Refused { pause } => {
                let refusal = Message::close(sid, cause::NO_CIRCUIT);
                let refusal = match (pause + 999) / 1000 {
                    0 => refusal,
                    ms => refusal.with("wait", ms.to_string()),
                };
                self.give_back(now, call, conn, refusal);
            }
            Answer::Failed => {
                self.give_back(now, call, conn, Message::close(sid, cause::TEMPORARY_FAILURE));
            }
        }
        self.end_drained(now);
    }

    fn give_back(&mut self, now: Micros, call: CallId, conn: ConnId, message: Message) {
        self.remove(call);
        self.turn_away(now, conn, message);
    }

    fn tell(&mut self, conn: ConnId, message: Message) {
        if self.conns.contains_key(&conn) {
            self.out.push(CallerOutput::Tell(conn, message));
        }
    }

    /// Answers a set-up with other than an answer that stands.
    fn turn_away(&mut self, now: Micros, conn: ConnId, message: Message) {
        self.tell(conn, message);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.turned_away = c.turned_away.saturating_add(1);
        if c.ending {
            self.end_if_answered(conn);
        } else if !c.proven && c.turned_away >= TURNED_AWAY && c.open == 0 {
            self.counts.idle += 1;
            self.end(now, conn, EndReason::TurnedAway);
        }
    }

    fn end_if_answered(&mut self, conn: ConnId) {
        if self.conns.get(&conn).is_some_and(|c| c.ending && c.reading_stopped && c.open == 0) {
            self.out.push(CallerOutput::End(conn));
        }
    }

    // ---- Releases ----

    /// The release of a call that stood: on the connection of its set-up, else on another, until it is heard.
    pub fn release(&mut self, now: Micros, call: CallId, cut: bool) {
        let Some(held) = self.remove(call) else { return };
        if planted(Planted::ReleaseLost) {
            return;
        }
        let code = if cut { cause::TEMPORARY_FAILURE } else { cause::NORMAL };
        self.owe(now, held.sid, code, Some(held.conn));
    }

    /// The release of a call that stood in an earlier life of this program.
    pub fn release_earlier(&mut self, now: Micros, sid: Sid, code: u16) {
        if !self.by_sid.contains_key(&sid) && self.earlier.has(now, sid) {
            self.owe(now, sid, code, None);
        }
    }

    fn owe(&mut self, now: Micros, sid: Sid, code: u16, own: Option<ConnId>) {
        let release = Release { message: Message::close(sid, code), until: now + OWED_FOR, sent: Vec::new() };
        self.releases.insert(sid, release);
        self.send_release(now, sid, own);
        self.out.push(CallerOutput::Wake(now + UNHEARD, CallerDue::Unheard(sid)));
    }

    /// Sends a release on its own connection, else on one that it has not gone out on yet: one that calls have
    /// stood on, since any other may be of somebody who does not know the call.
    fn send_release(&mut self, now: Micros, sid: Sid, own: Option<ConnId>) {
        let Some(release) = self.releases.get_mut(&sid).filter(|r| now < r.until) else { return };
        let serves = |id: &ConnId, c: &Conn| !c.ending && !release.sent.contains(id);
        let others = self.conns.iter().filter(|(id, c)| serves(id, c));
        let own = own.filter(|c| self.conns.get(c).is_some_and(|c| !c.ending));
        let best = others.max_by_key(|(&id, c)| (Some(id) == own, c.proven, c.used)).map(|(&id, _)| id);
        if let Some(conn) = best {
            self.counts.released_again += u64::from(!release.sent.is_empty());
            release.sent.push(conn);
            self.out.push(CallerOutput::Tell(conn, release.message.clone()));
        }
    }

    /// Its caller gave a call up, or released it.
    fn give_up(&mut self, now: Micros, call: CallId) {
        if let Some(held) = self.remove(call).filter(|h| !h.answered) {
            self.given_up.note(now, held.sid);
        }
    }

    /// The one place where a call is given back.
    fn remove(&mut self, call: CallId) -> Option<Held> {
        let held = self.calls.remove(&call)?;
        self.by_sid.remove(&held.sid);
        if let Some(c) = self.conns.get_mut(&held.conn) {
            let count = if held.answered { &mut c.standing } else { &mut c.open };
            *count = count.saturating_sub(1);
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
