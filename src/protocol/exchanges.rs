//! The connections toward the exchanges and the set-ups on them, as states without input or output.
//!
//! One connection is kept to each exchange on the list: its group's state comes on it unasked. A connection
//! owns the set-ups that wait for an answer on it; a call that stands is owned by none.

use super::json_lines::{cause, EarlierLife, Kind, Message, Sid};
use super::membership::Place;
use super::upstream_lease::{Generation, Leases};
use super::ConnId;
use crate::planted::{planted, Planted};
use crate::routing::interface::{
    AttemptNo, CallId, Cause, Ending, ExchangeNo, ListEntry, ListState, LoadReport, Micros, OfficeId,
};
use crate::routing::ledger::Description;
use std::collections::{BTreeMap, HashMap};

/// First and longest wait before a connection that did not come up, or told nothing, is tried again (µs).
const RETRY: (Micros, Micros) = (20_000, 1_000_000);
/// The longest such wait while calls stand there, so that their exchange is heard of before their lease is over (µs).
const RETRY_WITH_CALLS: Micros = 150_000;
/// A message that has begun on a connection is whole by then, or the connection is of no further use (µs): on the
/// way of a message of 16 KiB nothing takes that long.
const HALF: Micros = 300_000;
/// How often each connection is looked at for silence (µs).
const LOOK: Micros = 20_000;
/// With calls at an exchange, its connection is tested after so many of the usual gaps between its messages, within
/// these bounds (µs).
const SILENT: (f64, Micros, Micros) = (10.0, 50_000, 300_000);
/// It is of no further use if nothing comes for so long after that, at the least: within these bounds, as long as
/// it was silent before or so many times as long as the last set-up took (µs).
const UNTESTED: (Micros, Micros, Micros) = (4, 80_000, 500_000);
/// The same at the most, doubled each time one connection after the other falls silent, so that the exchange itself
/// may be what hangs (µs).
const HANGS: Micros = 2_400_000;
/// Weight of one gap between messages in the usual one.
const GAP_SMOOTH: f64 = 0.1;
/// A look that comes this much too late shows that this program stood still, and says nothing of the exchange (µs).
const STOOD_STILL: Micros = 30_000;
/// For so long after a connection is lost, the set-ups that were out on it are released on the next one (µs). An
/// answer may have been on its way, and what it took is taken still. Well under the quiet period, after which the
/// same name may be set up again.
const RELEASE_RESET: Micros = 400_000;
/// What an exchange has to tell on a new connection has come by then (µs).
const SETTLING: Micros = 100_000;
/// A lease that this program's own standing still has let run out is looked at again this long after (µs).
const LEASE_GRACE: Micros = 300_000;
/// A removed exchange has this long to end its calls in words (µs).
const GONE_GRACE: Micros = 1_000_000;
/// A release that no connection could carry is kept for this long (µs).
const OWED_FOR: Micros = 30_000_000;
/// A probe without an answer has failed after this (µs).
const PROBE_WAIT: Micros = 300_000;

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// It was refused: nobody listens there.
    Refused,
    /// It never came up for another reason, or not in time.
    NotMade,
    /// The far side ended it in order.
    Ended,
    /// It broke.
    Broken,
    /// This side ended it.
    Ours,
}

/// What a deadline of the links is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDue {
    /// A connection ought to be up by now.
    Connect(ConnId),
    /// Try to connect again.
    Retry(OfficeId),
    /// A set-up has waited long enough for a connection.
    Waiting(CallId, AttemptNo),
    /// A removed exchange has had its time.
    Gone(OfficeId),
    /// A probe has had its time.
    Probe(Sid),
    /// What began on this connection at that time ought to be whole.
    Half(ConnId, Micros),
    /// Look whether a connection is silent; when that was meant to be.
    Look(ConnId, Micros),
    /// The lease of a call that stands may be over; when that was meant to be.
    Lease(OfficeId, Micros),
}

/// Why this side ends a connection, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangUpReason {
    /// It did not come up in time.
    NotUpInTime,
    /// What came on it could not be read, or stopped within a message.
    Unreadable,
    /// Nothing came on it, not even the answer to a test.
    Silent,
    /// Its exchange was removed from the list.
    MemberRemoved,
}

/// What is to be done, or was learnt.
#[derive(Debug, PartialEq)]
pub enum LinkOutput {
    /// Open a connection.
    Connect(ConnId, Place),
    /// Send a message; `set_up` names the call whose set-up this is.
    Send {
        /// On which connection.
        conn: ConnId,
        /// The message.
        message: Message,
        /// The call that it sets up.
        set_up: Option<CallId>,
    },
    /// Give up a set-up, unless its line has not left yet: then it must not leave at all.
    TakeBack {
        /// On which connection.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// What to send if the set-up has left.
        message: Message,
    },
    /// Take a set-up back if it has not begun to leave, and say so ([`Links::unsent`]).
    Unsend {
        /// On which connection.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// End a connection.
    HangUp(ConnId, HangUpReason),
    /// Come back then.
    Wake(Micros, LinkDue),
    /// A set-up was answered.
    Answered(CallId, AttemptNo, Option<Description>),
    /// An attempt ended, or a call that stood is over.
    Ended(CallId, AttemptNo, (Ending, Cause), LoadReport),
    /// Figures of an exchange.
    Group(OfficeId, LoadReport),
    /// A probe failed.
    ProbeFailed(OfficeId),
    /// A call of this program's earlier life is over.
    Earlier(Sid, u16),
    /// The connection to this member of the list was given up, and why: for the log.
    GaveUp(String, &'static str),
    /// So many calls at this member were cut since nothing showed any more that they stand: for the log.
    LeaseOver(String, usize),
}

/// Counts of what was odd.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCounts {
    /// Connections asked for.
    pub connects: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Connections given up since what came on them could not be read, or stopped within a message.
    pub spoilt: u64,
    /// Connections given up since nothing came on them, not even the answer to a test.
    pub stalled: u64,
    /// Answers to set-ups that had been given up; each was released.
    pub late_answers: u64,
    /// Messages about calls that are not known here.
    pub stray: u64,
    /// Calls taken as cut since their exchange was found dead.
    pub found_cut: u64,
    /// Those of them whose lease was over.
    pub lease_expired: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// For a connection.
    Waiting,
    /// Its set-up went out on this connection.
    Sent(ConnId),
    /// It stands, and this process at the exchange has it.
    Standing(Generation),
}

#[derive(Debug)]
struct Leg {
    call: CallId,
    attempt: AttemptNo,
    office: OfficeId,
    stage: Stage,
    began: Micros,
    /// The set-up, while it waits.
    message: Option<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    Down,
    Connecting(ConnId),
    Up(ConnId),
}

#[derive(Debug)]
struct Link {
    place: Place,
    state: ListState,
    started: Option<Micros>,
    line: Line,
    retry: Micros,
    retry_due: Option<Micros>,
    /// The last connection broke, and what became of the exchange is not known yet.
    doubt: bool,
    /// It was connected and spoke, or could not be connected, at least once.
    settled: bool,
    /// When the present connection came up.
    came_up: Option<Micros>,
    /// When something was last heard on the present connection.
    heard: Option<Micros>,
    /// When the present connection was tested, with nothing heard since.
    tested: Option<Micros>,
    /// The usual gap between messages, smoothed (µs), and how long the last set-up took that was answered.
    gap: f64,
    took: Micros,
    /// Connections given up for silence, one after the other.
    silences: u32,
    /// Since when a message has been half there.
    half: Option<Micros>,
    /// Releases that no connection could carry, and until when they are kept.
    owed: Vec<(Micros, Sid)>,
    /// For how long the calls that stand there are taken to stand.
    leases: Leases,
    /// The lease is looked at by then at the latest.
    lease_due: Option<Micros>,
}

/// All links.
#[derive(Debug)]
pub struct Links {
    links: BTreeMap<OfficeId, Link>,
    conns: HashMap<ConnId, OfficeId>,
    legs: HashMap<Sid, Leg>,
    sids: HashMap<CallId, Sid>,
    probes: HashMap<Sid, OfficeId>,
    connect_timeout: Micros,
    /// The exchange that this controller runs in: nothing is ever sent there.
    own: Option<ExchangeNo>,
    earlier: EarlierLife,
    next_conn: u64,
    next_probe: u64,
    out: Vec<LinkOutput>,
    counts: LinkCounts,
}

impl Links {
    /// No links yet. A connection that is not up after `connect_timeout` was not made.
    pub fn new(now: Micros, connect_timeout: Micros, own: Option<ExchangeNo>) -> Self {
        Links {
            links: BTreeMap::new(),
            conns: HashMap::new(),
            legs: HashMap::new(),
            sids: HashMap::new(),
            probes: HashMap::new(),
            connect_timeout,
            own,
            earlier: EarlierLife::new(now),
            next_conn: 0,
            next_probe: 0,
            out: Vec::new(),
            counts: LinkCounts::default(),
        }
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<LinkOutput> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> LinkCounts {
        self.counts
    }

    /// Whether each exchange in service has been heard of, or proved out of reach.
    pub fn settled(&self) -> bool {
        self.links.values().all(|l| l.settled || l.state != ListState::Ready)
    }

    /// Whether this office is reached by these links.
    pub fn has(&self, office: OfficeId) -> bool {
        self.links.contains_key(&office)
    }

    /// The links, for the console: office, place, state, whether connected.
    pub fn views(&self) -> impl Iterator<Item = (OfficeId, &Place, ListState, bool)> + '_ {
        self.links.iter().map(|(&o, l)| (o, &l.place, l.state, matches!(l.line, Line::Up(_))))
    }

    // ---- The list ----

    /// Entries of the list; `complete`: exchanges missing from them are gone.
    pub fn list(&mut self, now: Micros, entries: &[ListEntry], places: &[Place], complete: bool) {
        let others = |e: &&ListEntry| Some(e.exchange) != self.own;
        let others: Vec<_> = entries.iter().zip(places).filter(|(e, _)| others(e)).collect();
        for (e, place) in others {
            self.entry(now, e, place);
        }
        if complete {
            let missing: Vec<OfficeId> =
                self.links.keys().copied().filter(|o| !entries.iter().any(|e| e.office == *o)).collect();
            missing.into_iter().for_each(|o| self.gone(now, o));
        }
    }

    fn entry(&mut self, now: Micros, e: &ListEntry, place: &Place) {
        if e.state == ListState::Gone {
            return self.gone(now, e.office);
        }
        let fresh = || Link {
            place: place.clone(),
            state: e.state,
            started: e.last_start,
            line: Line::Down,
            retry: RETRY.0,
            retry_due: None,
            doubt: false,
            settled: false,
            came_up: None,
            heard: None,
            tested: None,
            gap: SILENT.2 as f64,
            took: UNTESTED.2,
            silences: 0,
            half: None,
            owed: Vec::new(),
            leases: Leases::new(now),
            lease_due: None,
        };
        let link = self.links.entry(e.office).or_insert_with(fresh);
        let restarted = e.last_start.is_some() && e.last_start != link.started;
        link.state = e.state;
        link.started = e.last_start;
        if e.state == ListState::Draining {
            self.shed(e.office);
        }
        if restarted {
            // What stood at the old process went down with it.
            let start = e.last_start.unwrap_or(now);
            self.cut_standing(e.office, |leg| leg.began < start);
        }
        if self.links.get(&e.office).is_some_and(|l| l.line == Line::Down && l.retry_due.is_none()) {
            self.connect(now, e.office);
        }
    }

    /// An office takes nothing new: a set-up that waits for a connection, or behind others on one that is slow,
    /// could leave after the grace.
    pub fn shed(&mut self, office: OfficeId) {
        self.fail_waiting(office);
        let sent = |l: &Leg| match l.stage {
            Stage::Sent(conn) if l.office == office => Some((l.call, l.attempt, conn)),
            _ => None,
        };
        let mut sent: Vec<_> = self.legs.values().filter_map(sent).collect();
        sent.sort_unstable();
        let unsend = |(call, attempt, conn)| LinkOutput::Unsend { conn, call, attempt };
        self.out.extend(sent.into_iter().map(unsend));
    }

    /// A set-up has not left, and never will.
    pub fn unsent(&mut self, call: CallId, attempt: AttemptNo) {
        if self.leg_of(call).is_some_and(|l| l.attempt == attempt && matches!(l.stage, Stage::Sent(_))) {
            self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
        }
    }

    fn gone(&mut self, now: Micros, office: OfficeId) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.state != ListState::Gone {
            link.state = ListState::Gone;
            self.shed(office);
            self.out.push(LinkOutput::Wake(now + GONE_GRACE, LinkDue::Gone(office)));
        }
    }

    /// The one place where a link is given back.
    fn drop_link(&mut self, now: Micros, office: OfficeId) {
        self.fail_waiting(office);
        self.end_sent(now, office, Ending::Reset);
        self.cut_standing(office, |_| true);
        let Some(link) = self.links.remove(&office) else { return };
        if let Line::Connecting(conn) | Line::Up(conn) = link.line {
            self.conns.remove(&conn);
            self.out.push(LinkOutput::HangUp(conn, HangUpReason::MemberRemoved));
        }
    }

    // ---- Connections ----

    fn connect(&mut self, now: Micros, office: OfficeId) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.line != Line::Down {
            return;
        }
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        link.line = Line::Connecting(conn);
        (link.retry_due, link.heard, link.tested, link.half) = (None, None, None, None);
        self.conns.insert(conn, office);
        self.counts.connects += 1;
        self.out.push(LinkOutput::Connect(conn, link.place.clone()));
        self.out.push(LinkOutput::Wake(now + self.connect_timeout, LinkDue::Connect(conn)));
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        link.line = Line::Up(conn);
        link.came_up = Some(now);
        link.doubt = false;
        self.out.push(LinkOutput::Wake(now + LOOK, LinkDue::Look(conn, now + LOOK)));
        for (until, sid) in std::mem::take(&mut link.owed) {
            if now < until {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(LinkOutput::Send { conn, message, set_up: None });
            }
        }
        for leg in self.legs.values_mut().filter(|l| l.office == office && l.stage == Stage::Waiting) {
            if let Some(message) = leg.message.take() {
                leg.stage = Stage::Sent(conn);
                self.out.push(LinkOutput::Send { conn, message, set_up: Some(leg.call) });
            }
        }
    }

    /// A connection is no more.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: Closing) {
        let Some(office) = self.conns.remove(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        let was_up = matches!(link.line, Line::Up(_));
        link.line = Line::Down;
        link.settled = true;
        let early = link.heard.is_none() || link.came_up.is_some_and(|at| now - at < SETTLING);
        match (was_up, early) {
            (true, true) => link.leases.lost_early(now),
            (true, false) => link.leases.lost(),
            (false, _) => {}
        }
        match how {
            Closing::Refused => {
                self.counts.refused += 1;
                // Nobody listens: the process that had the calls is dead, and with a connection of its own
                // lost it can tell no more.
                let dead = std::mem::take(&mut link.doubt);
                self.fail_waiting(office);
                if dead {
                    self.cut_standing(office, |_| true);
                }
            }
            Closing::NotMade => self.fail_waiting(office),
            Closing::Ended | Closing::Ours => self.end_sent(now, office, Ending::Reset),
            Closing::Broken => {
                self.counts.broken += 1;
                link.doubt = true;
                self.end_sent(now, office, Ending::Reset);
            }
        }
        let Some(link) = self.links.get_mut(&office) else { return };
        if link.state == ListState::Gone {
            return self.drop_link(now, office);
        }
        // An end in order with calls standing may be a process that stops.
        link.doubt |= was_up && how == Closing::Ended;
        // Guards this task and the peer against one that ends each connection as soon as it is made.
        if was_up && !early {
            self.connect(now, office);
        } else {
            let standing = |l: &Leg| l.office == office && matches!(l.stage, Stage::Standing(_));
            let longest = if self.legs.values().any(standing) { RETRY_WITH_CALLS } else { RETRY.1 };
            let due = now + link.retry.min(longest);
            link.retry_due = Some(due);
            link.retry = (link.retry * 2).min(RETRY.1);
            self.out.push(LinkOutput::Wake(due, LinkDue::Retry(office)));
        }
    }

    /// What came on a connection can't be read. Guards the other set-ups on it: nothing that follows can be trusted,
    /// so that it is given up at once and all that was out on it counts as run and lost.
    pub fn spoilt(&mut self, now: Micros, conn: ConnId) {
        let link = self.conns.get(&conn).and_then(|o| self.links.get(o));
        if let Some(link) = link {
            self.counts.spoilt += 1;
            self.out.push(LinkOutput::GaveUp(link.place.member.clone(), "what comes can't be read"));
            self.out.push(LinkOutput::HangUp(conn, HangUpReason::Unreadable));
            self.closed(now, conn, Closing::Ours);
        }
    }

    /// Guards calls against a connection that stays open and dead: answers and releases would be waited for on it
    /// for ever. The exchange tells its releases again on the next one.
    fn look(&mut self, now: Micros, conn: ConnId, meant: Micros) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let Some(link) = self.links.get_mut(&office) else { return };
        let late = now - meant > STOOD_STILL;
        let usual = ((SILENT.0 * link.gap) as Micros).clamp(SILENT.1, SILENT.2);
        let silent = link.heard.is_none_or(|at| now - at >= usual);
        let patience = usual.max(UNTESTED.0 * link.took).clamp(UNTESTED.1, UNTESTED.2);
        let patience = (patience << link.silences.min(8)).min(HANGS);
        match link.tested {
            Some(at) if now - at >= patience && !late => {
                // The module takes a reset for a sign of life, and no answer in time for none. Guards it against
                // shutting out an exchange that has lost a connection, and against trusting one that hangs.
                let how = if link.silences == 0 { Ending::Reset } else { Ending::TimedOut };
                link.silences += 1;
                self.counts.stalled += 1;
                self.out.push(LinkOutput::GaveUp(link.place.member.clone(), "nothing comes"));
                self.out.push(LinkOutput::HangUp(conn, HangUpReason::Silent));
                self.end_sent(now, office, how);
                return self.closed(now, conn, Closing::Ours);
            }
            Some(_) if !late => {}
            _ if silent && self.legs.values().any(|l| l.office == office) => {
                link.tested = Some(now);
                self.probe(now, office);
            }
            _ => link.tested = None,
        }
        self.out.push(LinkOutput::Wake(now + LOOK, LinkDue::Look(conn, now + LOOK)));
    }

    /// A message has begun on a connection, or what had begun is whole.
    pub fn half(&mut self, now: Micros, conn: ConnId, half: bool) {
        let office = self.conns.get(&conn);
        let Some(link) = office.and_then(|o| self.links.get_mut(o)) else { return };
        link.half = half.then_some(now);
        if half {
            self.out.push(LinkOutput::Wake(now + HALF, LinkDue::Half(conn, now)));
        }
    }

    /// A deadline has come.
    pub fn due(&mut self, now: Micros, due: LinkDue) {
        match due {
            LinkDue::Connect(conn) => {
                let office = self.conns.get(&conn).copied();
                let link = office.and_then(|o| self.links.get(&o));
                if link.is_some_and(|l| l.line == Line::Connecting(conn)) {
                    self.out.push(LinkOutput::HangUp(conn, HangUpReason::NotUpInTime));
                    self.closed(now, conn, Closing::NotMade);
                }
            }
            LinkDue::Retry(office) => {
                if self.links.get(&office).is_some_and(|l| l.retry_due.is_some_and(|at| at <= now)) {
                    self.connect(now, office);
                }
            }
            LinkDue::Waiting(call, attempt) => {
                let waits = |l: &Leg| l.attempt == attempt && l.stage == Stage::Waiting;
                if self.leg_of(call).is_some_and(waits) {
                    self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
                }
            }
            LinkDue::Gone(office) => {
                if self.links.get(&office).is_some_and(|l| l.state == ListState::Gone) {
                    self.drop_link(now, office);
                }
            }
            LinkDue::Half(conn, since) => {
                let link = self.conns.get(&conn).and_then(|o| self.links.get(o));
                if link.is_some_and(|l| l.half == Some(since)) {
                    self.spoilt(now, conn);
                }
            }
            LinkDue::Look(conn, meant) => self.look(now, conn, meant),
            LinkDue::Lease(office, meant) => self.look_at_leases(now, office, meant),
            LinkDue::Probe(sid) => {
                if let Some(office) = self.probes.remove(&sid) {
                    self.out.push(LinkOutput::ProbeFailed(office));
                }
            }
        }
    }

    // ---- Calls ----

    /// Sends a set-up, or keeps it until there is a connection.
    pub fn set_up(
        &mut self,
        now: Micros,
        (call, attempt): (CallId, AttemptNo),
        office: OfficeId,
        message: Message,
    ) {
        let Some(sid) = message.sid else { return };
        let line = self.links.get(&office).map(|l| l.line);
        let leg = Leg { call, attempt, office, stage: Stage::Waiting, began: now, message: None };
        self.sids.insert(call, sid);
        self.earlier.meet(now, sid);
        match line {
            Some(Line::Up(conn)) => {
                self.legs.insert(sid, Leg { stage: Stage::Sent(conn), ..leg });
                self.out.push(LinkOutput::Send { conn, message, set_up: Some(call) });
            }
            Some(Line::Connecting(_) | Line::Down) => {
                self.legs.insert(sid, Leg { message: Some(message), ..leg });
                let until = now + self.connect_timeout;
                self.out.push(LinkOutput::Wake(until, LinkDue::Waiting(call, attempt)));
                self.connect(now, office);
            }
            None => {
                self.legs.insert(sid, leg);
                self.end_leg(call, (Ending::Unreachable, Cause::None), LoadReport::default());
            }
        }
    }

    /// Gives a set-up up, or releases a call that stands.
    pub fn clear(&mut self, now: Micros, call: CallId, attempt: AttemptNo) {
        if self.leg_of(call).is_none_or(|l| l.attempt != attempt) {
            return;
        }
        let Some((sid, leg)) = self.remove_leg(call) else { return };
        if planted(Planted::LeakedCall) {
            return;
        }
        match leg.stage {
            Stage::Waiting => {}
            Stage::Sent(conn) => {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(LinkOutput::TakeBack { conn, call, message });
            }
            Stage::Standing(_) => self.release_at(now, leg.office, sid),
        }
    }

    /// Releases a call at its exchange, now or on the next connection.
    fn release_at(&mut self, now: Micros, office: OfficeId, sid: Sid) {
        let Some(link) = self.links.get_mut(&office) else { return };
        if let Line::Up(conn) = link.line {
            let message = Message::close(sid, cause::NORMAL);
            return self.out.push(LinkOutput::Send { conn, message, set_up: None });
        }
        link.owed.retain(|o| now < o.0);
        link.owed.push((now + OWED_FOR, sid));
    }

    /// Releases a call of an earlier life: the exchange that has it is not known, and the others know no such call.
    pub fn release_earlier(&mut self, sid: Sid) {
        for link in self.links.values() {
            if let Line::Up(conn) = link.line {
                let message = Message::close(sid, cause::NORMAL);
                self.out.push(LinkOutput::Send { conn, message, set_up: None });
            }
        }
    }

    /// Asks an exchange for a report.
    pub fn probe(&mut self, now: Micros, office: OfficeId) {
        let Some(Line::Up(conn)) = self.links.get(&office).map(|l| l.line) else {
            return self.out.push(LinkOutput::ProbeFailed(office));
        };
        let sid = Sid(self.next_probe);
        self.next_probe += 1;
        self.probes.insert(sid, office);
        let message = Message { code: Some(1), ..Message::new(Kind::Probe, Some(sid)) };
        self.out.push(LinkOutput::Send { conn, message, set_up: None });
        self.out.push(LinkOutput::Wake(now + PROBE_WAIT, LinkDue::Probe(sid)));
    }

    /// A message from an exchange.
    pub fn message(&mut self, now: Micros, conn: ConnId, message: Message) {
        let Some(&office) = self.conns.get(&conn) else { return };
        let load = message.load();
        if let Some(link) = self.links.get_mut(&office) {
            link.settled = true;
            if link.came_up.is_none_or(|at| now - at >= SETTLING) {
                link.retry = RETRY.0;
            }
            let gap = link.heard.map_or(link.gap, |at| (now - at).min(SILENT.2) as f64);
            link.gap += GAP_SMOOTH * (gap - link.gap);
            (link.heard, link.tested) = (Some(now), None);
            link.leases.heard(now);
            if message.kind != Kind::Status {
                link.silences = 0;
            }
        }
        // What comes on another exchange's connection, or for an attempt that is over, is not this leg's.
        let leg = message.sid.and_then(|s| self.legs.get_mut(&s)).filter(|l| l.office == office);
        match (message.kind, leg) {
            (Kind::Ready, Some(leg)) => {
                if matches!(leg.stage, Stage::Sent(_)) {
                    let (call, attempt) = (leg.call, leg.attempt);
                    if let Some(link) = self.links.get_mut(&office) {
                        link.took = now - leg.began;
                        leg.stage = Stage::Standing(link.leases.current());
                    }
                    self.watch_leases(office);
                    self.group(office, load);
                    self.out.push(LinkOutput::Answered(call, attempt, message.text));
                }
            }
            (Kind::Ready, None) => {
                // Guards against circuits that stay taken: the set-up was given up while its answer was on
                // the way.
                self.counts.late_answers += 1;
                if let Some(sid) = message.sid {
                    let message = Message::close(sid, cause::NORMAL);
                    self.out.push(LinkOutput::Send { conn, message, set_up: None });
                }
            }
            (Kind::Close, Some(leg)) => {
                let stood = matches!(leg.stage, Stage::Standing(_));
                if let (Stage::Standing(generation), Some(link)) = (leg.stage, self.links.get_mut(&office)) {
                    link.leases.confirm(generation);
                }
                let how = closing(stood, message.code, message.field("note").as_deref());
                let call = leg.call;
                self.end_leg(call, how, load);
            }
            (Kind::Status, _) => self.group(office, load),
            (Kind::Probed, _) => match message.sid.and_then(|s| self.probes.remove(&s)) {
                Some(office) if message.code == Some(0) => self.out.push(LinkOutput::ProbeFailed(office)),
                _ => self.group(office, load),
            },
            (Kind::Close, None) => {
                self.counts.stray += 1;
                if let Some(sid) = message.sid.filter(|&s| self.earlier.has(now, s)) {
                    let code = message.code.unwrap_or(cause::NORMAL);
                    self.out.push(LinkOutput::Earlier(sid, code));
                }
                self.group(office, load);
            }
            (Kind::Open | Kind::Probe, _) => self.counts.stray += 1,
            (Kind::Trying | Kind::Closed, _) => {}
        }
    }

    // ---- Within ----

    fn group(&mut self, office: OfficeId, load: LoadReport) {
        if load != LoadReport::default() {
            self.out.push(LinkOutput::Group(office, load));
        }
    }

    fn leg_of(&self, call: CallId) -> Option<&Leg> {
        self.legs.get(self.sids.get(&call)?)
    }

    /// The one place where a leg is given back.
    fn remove_leg(&mut self, call: CallId) -> Option<(Sid, Leg)> {
        let sid = self.sids.remove(&call)?;
        Some((sid, self.legs.remove(&sid)?))
    }

    fn end_leg(&mut self, call: CallId, how: (Ending, Cause), load: LoadReport) {
        if let Some((_, leg)) = self.remove_leg(call) {
            self.out.push(LinkOutput::Ended(call, leg.attempt, how, load));
        }
    }

    fn end_legs(&mut self, office: OfficeId, how: Ending, which: impl Fn(&Leg) -> bool) -> usize {
        let of = |l: &&Leg| l.office == office && which(l);
        let mut calls: Vec<CallId> = self.legs.values().filter(of).map(|l| l.call).collect();
        calls.sort_unstable();
        calls.iter().for_each(|&c| self.end_leg(c, (how, Cause::None), LoadReport::default()));
        calls.len()
    }

    fn fail_waiting(&mut self, office: OfficeId) {
        self.end_legs(office, Ending::Unreachable, |l| l.stage == Stage::Waiting);
    }

    fn end_sent(&mut self, now: Micros, office: OfficeId, how: Ending) {
        let sent = |l: &Leg| l.office == office && matches!(l.stage, Stage::Sent(_));
        let mut sids: Vec<Sid> = self.legs.iter().filter(|(_, l)| sent(l)).map(|(&s, _)| s).collect();
        sids.sort_unstable();
        self.end_legs(office, how, |l| matches!(l.stage, Stage::Sent(_)));
        if let Some(link) = self.links.get_mut(&office) {
            link.owed.retain(|o| now < o.0);
            link.owed.extend(sids.into_iter().map(|sid| (now + RELEASE_RESET, sid)));
        }
    }

    fn cut_standing(&mut self, office: OfficeId, which: impl Fn(&Leg) -> bool) {
        let standing = |l: &Leg| matches!(l.stage, Stage::Standing(_));
        let cut = self.end_legs(office, Ending::Reset, |l| standing(l) && which(l));
        self.counts.found_cut += cut as u64;
    }

    // ---- Leases ----

    /// The generations of the calls that stand at an exchange.
    fn generations(&self, office: OfficeId) -> impl Iterator<Item = Generation> + '_ {
        self.legs.values().filter(move |l| l.office == office).filter_map(|l| match l.stage {
            Stage::Standing(generation) => Some(generation),
            Stage::Waiting | Stage::Sent(_) => None,
        })
    }

    /// Has the leases of the calls at an exchange looked at when the first of them is over.
    fn watch_leases(&mut self, office: OfficeId) {
        let Some(link) = self.links.get(&office) else { return };
        let Some(due) = self.generations(office).map(|g| link.leases.expires(g)).min() else { return };
        if link.lease_due.is_some_and(|at| at <= due) {
            return;
        }
        if let Some(link) = self.links.get_mut(&office) {
            link.lease_due = Some(due);
        }
        self.out.push(LinkOutput::Wake(due, LinkDue::Lease(office, due)));
    }

    /// Guards callers against an exchange that is gone without a word: the calls whose lease is over are cut, towards
    /// their callers now, and there as soon as it can be reached.
    fn look_at_leases(&mut self, now: Micros, office: OfficeId, meant: Micros) {
        let Some(link) = self.links.get_mut(&office).filter(|l| l.lease_due == Some(meant)) else { return };
        link.lease_due = None;
        if planted(Planted::NoReleaseForVanished) {
            return;
        }
        if now - meant > STOOD_STILL && now - meant < LEASE_GRACE {
            // This program stood still, and what came meanwhile may not have been read.
            let due = meant + LEASE_GRACE;
            link.lease_due = Some(due);
            return self.out.push(LinkOutput::Wake(due, LinkDue::Lease(office, due)));
        }
        let leases = link.leases.clone();
        let over = |l: &Leg| matches!(l.stage, Stage::Standing(g) if leases.expired(now, g));
        let of = |l: &Leg| l.office == office && over(l);
        let mut owed: Vec<Sid> = self.legs.iter().filter(|(_, l)| of(l)).map(|(&sid, _)| sid).collect();
        owed.sort_unstable();
        self.counts.lease_expired += owed.len() as u64;
        if let Some(link) = self.links.get_mut(&office).filter(|_| !owed.is_empty()) {
            let member = link.place.member.clone();
            self.out.push(LinkOutput::LeaseOver(member, owed.len()));
        }
        owed.into_iter().for_each(|sid| self.release_at(now, office, sid));
        self.cut_standing(office, over);
        if let Some(link) = self.links.get_mut(&office) {
            link.leases.forget_expired(now);
        }
        self.watch_leases(office);
    }
}

/// What a release from an exchange means, before and after the answer.
fn closing(stood: bool, code: Option<u16>, note: Option<&str>) -> (Ending, Cause) {
    let why = match note {
        Some("no_path") => Cause::NoCircuit,
        Some("sent_back") => Cause::TurnedBack,
        Some("end_queue_long") => Cause::FarProcessorFull,
        Some("queue_long") => Cause::ProcessorFull(None),
        Some("line_taken") => Cause::LinesBusy,
        _ => Cause::None,
    };
    let ending = match (stood, code) {
        (true, Some(cause::NORMAL)) => Ending::Completed,
        (true, _) | (false, Some(cause::TEMPORARY_FAILURE)) => Ending::Reset,
        (false, Some(cause::NO_CIRCUIT)) => Ending::Full,
        (false, Some(cause::TIMER_EXPIRY)) => Ending::NotSent,
        (false, _) => Ending::Fault,
    };
    (ending, why)
}
