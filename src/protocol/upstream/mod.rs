//! The connections toward the exchanges and the set-ups on them, as states without input or output.
//!
//! One connection is kept to each exchange on the list: its group's state comes on it unasked. A connection
//! owns the set-ups that wait for an answer on it; a call that stands is owned by none.

mod calls;
mod connections;
pub mod lease;
mod leases;
mod list;
mod messages;
mod silence;

use super::json_lines::{cause, Kind, Message, PreviousRun, Sid};
use super::membership::MemberAddress;
use super::ConnId;
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::{
    AttemptNumber, CallId, Cause, Ending, ExchangeId, ExchangeNumber, ListEntry, ListState, LoadReport,
    Micros,
};
use crate::routing::ledger::SessionDescription;
use lease::{Generation, Leases};
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
pub enum CloseReason {
    /// It was refused: nobody listens there.
    Refused,
    /// It never came up for another reason, or not in time.
    ConnectFailed,
    /// The far side ended it in order.
    ClosedByPeer,
    /// It broke.
    Broken,
    /// This side ended it.
    ClosedLocally,
}

/// What a deadline of the links is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamTimer {
    /// A connection ought to be up by now.
    Connect(ConnId),
    /// Try to connect again.
    Retry(ExchangeId),
    /// A set-up has waited long enough for a connection.
    Waiting(CallId, AttemptNumber),
    /// A removed exchange has had its time.
    Gone(ExchangeId),
    /// A probe has had its time.
    Probe(Sid),
    /// What began on this connection at that time ought to be whole.
    Half(ConnId, Micros),
    /// Look whether a connection is silent; when that was meant to be.
    Look(ConnId, Micros),
    /// The lease of a call that stands may be over; when that was meant to be.
    Lease(ExchangeId, Micros),
}

/// Why this side ends a connection, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// It did not come up in time.
    #[error("it did not come up in time")]
    ConnectTimeout,
    /// What came on it could not be read, or stopped within a message.
    #[error("what comes can't be read")]
    Unreadable,
    /// Nothing came on it, not even the answer to a test.
    #[error("nothing comes")]
    Unresponsive,
    /// Its exchange was removed from the list.
    #[error("its exchange was removed from the list")]
    MemberRemoved,
}

/// What is to be done, or was learnt.
#[derive(Debug, PartialEq)]
pub enum UpstreamOutput {
    /// Open a connection.
    Connect(ConnId, MemberAddress),
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
    CancelSetUp {
        /// On which connection.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// What to send if the set-up has left.
        message: Message,
    },
    /// Take a set-up back if it has not begun to leave, and say so ([`UpstreamConnections::set_up_withdrawn`]).
    WithdrawSetUp {
        /// On which connection.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// End a connection.
    Disconnect(ConnId, DisconnectReason),
    /// Come back then.
    SetTimer(Micros, UpstreamTimer),
    /// A set-up was answered.
    Answered(CallId, AttemptNumber, Option<SessionDescription>),
    /// An attempt ended, or a call that stood is over.
    Ended(CallId, AttemptNumber, (Ending, Cause), LoadReport),
    /// Figures of an exchange.
    GroupReport(ExchangeId, LoadReport),
    /// A probe failed.
    ProbeFailed(ExchangeId),
    /// A call of this program's earlier life is over.
    PreviousRunReleased(Sid, u16),
    /// The connection to this member of the list was given up, and why: for the log.
    ConnectionDropped(String, DisconnectReason),
    /// So many calls at this member were cut since nothing showed any more that they stand: for the log.
    LeasesExpired(String, usize),
}

/// Counts of what was odd.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamCounts {
    /// Connections asked for.
    pub connects: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Connections given up since what came on them could not be read, or stopped within a message.
    pub malformed: u64,
    /// Connections given up since nothing came on them, not even the answer to a test.
    pub unresponsive: u64,
    /// Answers to set-ups that had been given up; each was released.
    pub late_answers: u64,
    /// Messages about calls that are not known here.
    pub unknown_call: u64,
    /// Calls taken as cut since their exchange was found dead.
    pub cut_after_failure: u64,
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
struct Attempt {
    call: CallId,
    attempt: AttemptNumber,
    office: ExchangeId,
    stage: Stage,
    began: Micros,
    /// The set-up, while it waits.
    message: Option<Message>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Down,
    Connecting(ConnId),
    Up(ConnId),
}

#[derive(Debug)]
struct Upstream {
    place: MemberAddress,
    state: ListState,
    started: Option<Micros>,
    connection: ConnectionState,
    retry: Micros,
    retry_due: Option<Micros>,
    /// The last connection broke, and what became of the exchange is not known yet.
    suspected: bool,
    /// It was connected and spoke, or could not be connected, at least once.
    settled: bool,
    /// When the present connection came up.
    came_up: Option<Micros>,
    /// When something was last heard on the present connection.
    heard: Option<Micros>,
    /// When the present connection was tested, with nothing heard since.
    tested: Option<Micros>,
    /// The usual gap between messages, smoothed (µs), and how long the last set-up took that was answered.
    mean_interarrival: f64,
    last_set_up_time: Micros,
    /// Connections given up for silence, one after the other.
    consecutive_timeouts: u32,
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
pub struct UpstreamConnections {
    links: BTreeMap<ExchangeId, Upstream>,
    conns: HashMap<ConnId, ExchangeId>,
    legs: HashMap<Sid, Attempt>,
    sids: HashMap<CallId, Sid>,
    probes: HashMap<Sid, ExchangeId>,
    connect_timeout: Micros,
    /// The exchange that this controller runs in: nothing is ever sent there.
    own: Option<ExchangeNumber>,
    previous_run: PreviousRun,
    next_conn: u64,
    next_probe: u64,
    out: Vec<UpstreamOutput>,
    counts: UpstreamCounts,
}

impl UpstreamConnections {
    /// No links yet. A connection that is not up after `connect_timeout` was not made.
    pub fn new(now: Micros, connect_timeout: Micros, own: Option<ExchangeNumber>) -> Self {
        UpstreamConnections {
            links: BTreeMap::new(),
            conns: HashMap::new(),
            legs: HashMap::new(),
            sids: HashMap::new(),
            probes: HashMap::new(),
            connect_timeout,
            own,
            previous_run: PreviousRun::new(now),
            next_conn: 0,
            next_probe: 0,
            out: Vec::new(),
            counts: UpstreamCounts::default(),
        }
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<UpstreamOutput> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.counts
    }

    /// Whether each exchange in service has been heard of, or proved out of reach.
    pub fn all_contacted(&self) -> bool {
        self.links.values().all(|l| l.settled || l.state != ListState::Ready)
    }

    /// Whether this office is reached by these links.
    pub fn contains(&self, office: ExchangeId) -> bool {
        self.links.contains_key(&office)
    }

    /// The links, for the console: office, place, state, whether connected.
    pub fn views(&self) -> impl Iterator<Item = (ExchangeId, &MemberAddress, ListState, bool)> + '_ {
        self.links
            .iter()
            .map(|(&o, l)| (o, &l.place, l.state, matches!(l.connection, ConnectionState::Up(_))))
    }
}
