//! The platform's front: what callers send on their connections, and what they are answered, without input
//! or output.
//!
//! A connection is either in service or ending. One that ends takes nothing more in; its open set-ups are failed,
//! and once they are answered it is closed. It ends for a fault of its own, or for saying nothing for too long.

mod answers;
mod connections;
mod given_up;
mod messages;
mod releases;

use super::json_lines::{cause, parse_all_pairs, Kind, Message, PreviousRun, Sid};
use super::ConnId;
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::{CallId, ExchangeNumber, Micros, NewCall};
use crate::routing::ledger::{Answer, FrontendId, OfferedCall};
use given_up::GivenUp;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// A release that was not heard is sent again for this long (µs).
const OWED_FOR: Micros = 8_000_000;
/// A release that was not heard by then goes out on another connection (µs): callers answer each at once.
const UNHEARD: Micros = 300_000;
/// A connection without an open set-up is ended after so long without a message, if no call has ever stood on
/// it (µs).
const IDLE_NEW: Micros = 1_000_000;
/// The same where one has, unless one still stands (µs). ClientConnections end such connections after 4 s.
const IDLE: Micros = 5_000_000;
/// A message that has begun is whole by then (µs).
const HALF: Micros = 1_000_000;
/// A connection that ends has this long to take in what waits for it (µs).
const ENDING: Micros = 500_000;
/// A connection this young may have its first set-up on the way (µs).
const YOUNG: Micros = 100_000;
/// Set-ups open on a connection on which no call has ever stood; more are refused.
const OPEN_NEW: usize = 100;
/// How long a caller keeps away whose set-up is refused for want of room, or crossed the end of its connection (ms).
const CROWDED_PAUSE_MS: &str = "1000";
/// Set-ups turned away on a connection on which no call has ever stood, after which it is ended: it may be that it
/// sends the same again at once, for ever.
const TURNED_AWAY: u32 = 8;
/// The longest that a caller may say it waits (µs).
const PATIENCE: Micros = 600_000_000;
/// The most circuits that a call may take: what one group of 2 Mbit/s has.
const WIDTH: f64 = 30.0;

/// What a caller's message asks for.
#[derive(Debug, PartialEq)]
pub enum ClientRequest {
    /// Offer this call to the core, and then [`ClientConnections::call_offered`].
    Offer(Sid, Option<Value>, Box<OfferedCall>),
    /// The caller gave this call up, or released it.
    Clear(CallId),
    /// The caller released a call of this program's earlier life.
    ReleasePreviousRun(Sid),
    /// Whether this program is ready for calls.
    Probe(Option<Sid>),
    /// Nothing more than the outputs say.
    None,
}

/// Why this side ends a caller's connection, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// What came on it could not be read, or stopped within a message.
    Unreadable,
    /// A set-up named a call that is open or stands.
    DuplicateSid,
    /// Nothing came for too long.
    Idle,
    /// Too many set-ups in a row were turned away.
    TooManyRefused,
    /// Too many connections are open.
    ConnectionLimit,
    /// The program stops, and nothing is left on it.
    Drained,
    /// The program ends.
    Shutdown,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutput {
    /// Send a message on this connection.
    Send(ConnId, Message),
    /// Fail this call, whose caller is not to be served any further.
    Fail(CallId),
    /// This connection takes nothing more in, for this reason.
    Closing(ConnId, CloseReason),
    /// Read no further on this connection than to the end of the present message, and say so
    /// ([`ClientConnections::reading_stopped`]).
    StopReading(ConnId),
    /// Close this connection once what waits on it has gone out.
    Close(ConnId),
    /// Close it at once.
    Abort(ConnId),
    /// Come back then.
    SetTimer(Micros, ClientTimer),
}

/// What a deadline of the front is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientTimer {
    /// Look whether a connection has been idle for too long.
    Idle(ConnId),
    /// What began at that time ought to be whole.
    PartialMessage(ConnId, Micros),
    /// A connection that ends has had its time.
    Close(ConnId),
    /// The first set-up of a connection that ends has come by now, or never will.
    StopReading(ConnId),
    /// A release ought to have been heard.
    ResendRelease(Sid),
}

/// Counts of what came in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClientCounts {
    /// Set-ups whose class or figures were not usable; each was failed.
    pub invalid_set_up: u64,
    /// Set-ups that named a call which is open or stands; each ended its connection.
    pub duplicate_sid: u64,
    /// Set-ups refused since they crossed the end of their connection.
    pub set_up_while_closing: u64,
    /// Set-ups refused since too many were open on a connection that no call has stood on.
    pub too_many_open: u64,
    /// Releases of calls that are not known here, or not the sender's.
    pub unknown_call: u64,
    /// Messages that callers have no reason to send.
    pub unexpected: u64,
    /// Answers that found their connection gone.
    pub undeliverable: u64,
    /// Connections ended for what could not be read, or stopped within a message.
    pub malformed: u64,
    /// Connections ended since nothing came, or nothing but what was turned away.
    pub idle: u64,
    /// Connections ended since too many were open.
    pub over_limit: u64,
    /// Releases sent once more on another connection.
    pub release_resent: u64,
}

#[derive(Debug)]
struct ClientCall {
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
pub struct ClientConnections {
    front: FrontendId,
    classes: Vec<String>,
    /// Connections that may be open at once.
    most: usize,
    conns: BTreeMap<ConnId, Conn>,
    by_sid: HashMap<Sid, CallId>,
    calls: HashMap<CallId, ClientCall>,
    releases: BTreeMap<Sid, Release>,
    previous_run: PreviousRun,
    /// Requests given up of late.
    given_up: GivenUp,
    /// Connections with nothing left on them are ended.
    draining: bool,
    out: Vec<ClientOutput>,
    counts: ClientCounts,
}

impl ClientConnections {
    /// A front that knows the names of the classes, in their order, and how many connections it may hold.
    pub fn new(now: Micros, front: FrontendId, classes: Vec<String>, most: usize) -> Self {
        ClientConnections {
            front,
            classes,
            most,
            conns: BTreeMap::new(),
            by_sid: HashMap::new(),
            calls: HashMap::new(),
            releases: BTreeMap::new(),
            previous_run: PreviousRun::new(now),
            given_up: GivenUp::default(),
            draining: false,
            out: Vec::new(),
            counts: ClientCounts::default(),
        }
    }

    /// The same, where an attempt that ended uncertainly is followed by no other of its request for so long (µs).
    pub fn with_quiet_period(self, quiet: Micros) -> Self {
        ClientConnections { given_up: GivenUp::new(quiet), ..self }
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<ClientOutput> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> ClientCounts {
        self.counts
    }

    /// The name of a call and the number called, as they came.
    pub fn sid_and_number(&self, call: CallId) -> Option<(Sid, Option<Value>)> {
        self.calls.get(&call).map(|h| (h.sid, h.key.clone()))
    }
}
