//! State machine of the connections to the exchanges and of the set-ups sent on them. It performs no I/O.
//!
//! One connection is kept open to each exchange on the list, on which the exchange reports the state of its trunk
//! group unasked. A set-up in progress ends with the connection that it was sent on; an established call does not
//! depend on any connection.

mod calls;
mod connections;
pub mod lease;
mod leases;
mod list;
mod liveness;
mod messages;

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

/// First delay before the next connection attempt when one failed or was lost early (µs).
const FIRST_RETRY_DELAY: Micros = 20_000;
/// Longest such delay (µs).
const MAX_RETRY_DELAY: Micros = 1_000_000;
/// Longest such delay while calls are established at the exchange, so that their leases can be renewed in time (µs).
const MAX_RETRY_DELAY_WITH_CALLS: Micros = 150_000;
/// A connection on which a message stays incomplete for this long is closed (µs). The transfer of a message of 16 KiB
/// never takes that long.
const PARTIAL_MESSAGE_TIMEOUT: Micros = 300_000;
/// Interval of the liveness checks of a connection (µs).
const LIVENESS_CHECK_INTERVAL: Micros = 20_000;
/// While an exchange has calls, its connection is probed when it has been quiet for this many mean interarrival times
/// of its messages, within the two bounds below.
const PROBE_AFTER_GAPS: f64 = 10.0;
/// Lower bound of the quiet time before a probe (µs).
const MIN_PROBE_AFTER: Micros = 50_000;
/// Upper bound of the quiet time before a probe (µs).
const MAX_PROBE_AFTER: Micros = 300_000;
/// A connection is closed if nothing is received after a probe for as long as the quiet time before it or for this
/// many times the last set-up time, whichever is longer, within the bounds below.
const REPLY_TIMEOUT_SETUP_TIMES: Micros = 4;
/// Lower bound of the wait after a probe (µs).
const MIN_REPLY_TIMEOUT: Micros = 80_000;
/// Upper bound of the wait after a probe on the first connection that times out (µs).
const MAX_FIRST_REPLY_TIMEOUT: Micros = 500_000;
/// Upper bound of the wait after a probe when it has been doubled for each consecutive connection that timed out, in
/// case it is the exchange itself that hangs (µs).
const MAX_REPLY_TIMEOUT: Micros = 2_400_000;
/// Weight of one interarrival time in their moving average.
const INTERARRIVAL_WEIGHT: f64 = 0.1;
/// A check that runs this much later than scheduled shows that this program stalled, and is no evidence against the
/// exchange (µs).
const STALL_THRESHOLD: Micros = 30_000;
/// Set-ups in progress on a lost connection are released on the next one if it is established within this time (µs):
/// an answer may have been in transit, and its circuits would stay occupied. Well below the quiet period, after which
/// the same sid may be set up again.
const RESET_RELEASE_RETENTION: Micros = 400_000;
/// An exchange has sent the releases that it could not send before within this time after a connection is
/// established; a connection lost earlier counts as lost early (µs).
const MIN_STABLE_TIME: Micros = 100_000;
/// A lease that expired while this program stalled is checked again after this time (µs).
const STALLED_LEASE_GRACE: Micros = 300_000;
/// Time that a removed exchange has to release its calls (µs).
const REMOVAL_GRACE: Micros = 1_000_000;
/// How long a release is kept while its exchange is not connected (µs).
const RELEASE_RETENTION: Micros = 30_000_000;
/// Time after which an unanswered probe has failed (µs).
const PROBE_TIMEOUT: Micros = 300_000;

/// Why a connection closed or could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Connection refused: nobody listens at the address.
    Refused,
    /// It could not be established for another reason, or not in time.
    ConnectFailed,
    /// The peer closed it in an orderly way.
    ClosedByPeer,
    /// It failed with an error.
    Broken,
    /// This side closed it.
    ClosedLocally,
}

/// Identifies a timer of the upstream connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamTimer {
    /// The time to establish a connection.
    ConnectTimeout(ConnId),
    /// The delay before the next connection attempt.
    Reconnect(ExchangeId),
    /// The time for which a set-up waits for a connection.
    SetUpWaiting(CallId, AttemptNumber),
    /// The grace period of a removed exchange.
    RemovalGrace(ExchangeId),
    /// The time to answer a probe.
    ProbeTimeout(Sid),
    /// The time to complete the message that began on this connection at the given time.
    PartialMessage(ConnId, Micros),
    /// The liveness check of a connection, with its scheduled time.
    LivenessCheck(ConnId, Micros),
    /// The lease check of an exchange, with its scheduled time.
    LeaseCheck(ExchangeId, Micros),
}

/// Why this side closes a connection; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DisconnectReason {
    /// It was not established in time.
    #[error("connection timed out")]
    ConnectTimeout,
    /// Its data could not be parsed, or a message stayed incomplete.
    #[error("unreadable or incomplete message")]
    Unreadable,
    /// Nothing was received on it, not even the answer to a probe.
    #[error("no answer to a probe")]
    Unresponsive,
    /// Its exchange was removed from the list.
    #[error("the exchange was removed from the list")]
    MemberRemoved,
}

/// An action or an event for the event loop.
#[derive(Debug, PartialEq)]
pub enum UpstreamOutput {
    /// Open a connection to the given member.
    Connect(ConnId, MemberAddress),
    /// Send a message.
    Send {
        /// The connection to send it on.
        conn: ConnId,
        /// The message.
        message: Message,
        /// The call, if the message is its set-up.
        set_up: Option<CallId>,
    },
    /// Cancel a set-up: discard it if it has not been sent yet, otherwise send `message`.
    CancelSetUp {
        /// The connection of the set-up.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// The message that cancels a set-up that was sent.
        message: Message,
    },
    /// Discard a set-up if no byte of it has been sent, and confirm with [`UpstreamConnections::set_up_withdrawn`].
    WithdrawSetUp {
        /// The connection of the set-up.
        conn: ConnId,
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Close a connection at once.
    Disconnect(ConnId, DisconnectReason),
    /// Set a timer for the given time.
    SetTimer(Micros, UpstreamTimer),
    /// A set-up was answered.
    Answered(CallId, AttemptNumber, Option<SessionDescription>),
    /// An attempt or an established call ended.
    Ended(CallId, AttemptNumber, (Ending, Cause), LoadReport),
    /// A load report of an exchange.
    GroupReport(ExchangeId, LoadReport),
    /// A probe failed.
    ProbeFailed(ExchangeId),
    /// An exchange released a call of the previous run.
    PreviousRunReleased(Sid, u16),
    /// The connection to this member was closed for this reason; only for the log.
    ConnectionDropped(String, DisconnectReason),
    /// This many calls at this member were cut because their leases expired; only for the log.
    LeasesExpired(String, usize),
}

/// Counters of connection attempts and faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamCounts {
    /// Connection attempts.
    pub connects: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// Connections that failed with an error.
    pub broken: u64,
    /// Connections closed because of unreadable or incomplete messages.
    pub malformed: u64,
    /// Connections closed because a probe stayed unanswered.
    pub unresponsive: u64,
    /// Answers to cancelled set-ups; each was released.
    pub late_answers: u64,
    /// Messages about unknown calls.
    pub unknown_call: u64,
    /// Established calls cut because their exchange crashed, restarted or was removed, or because their leases expired.
    pub cut_after_failure: u64,
    /// Those of them whose leases expired.
    pub lease_expired: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits for a connection.
    Waiting,
    /// The set-up was sent on this connection.
    Sent(ConnId),
    /// The call is established in this generation of the exchange's process.
    Established(Generation),
}

#[derive(Debug)]
struct Attempt {
    call: CallId,
    attempt: AttemptNumber,
    exchange_id: ExchangeId,
    stage: Stage,
    started_at: Micros,
    /// The set-up message, while it waits for a connection.
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
    member_address: MemberAddress,
    state: ListState,
    last_start: Option<Micros>,
    connection: ConnectionState,
    retry_delay: Micros,
    retry_at: Option<Micros>,
    /// The last connection was lost and the exchange has not been reached since: its process may have crashed.
    crash_suspected: bool,
    /// A message was received from it, or a connection closed or failed, at least once.
    contacted: bool,
    /// When the current connection was established.
    connected_at: Option<Micros>,
    /// When a message was last received on the current connection.
    last_received: Option<Micros>,
    /// When the current connection was probed, if nothing was received since.
    probed_at: Option<Micros>,
    /// Moving average of the time between messages (µs).
    mean_interarrival: f64,
    /// How long the last answered set-up took (µs).
    last_set_up_time: Micros,
    /// Consecutive connections closed because a probe stayed unanswered.
    consecutive_timeouts: u32,
    /// Since when a message has been incomplete.
    partial_since: Option<Micros>,
    /// Releases to send on the next connection, each with the time until which it is kept.
    pending_releases: Vec<(Micros, Sid)>,
    /// The leases of the calls established there.
    leases: Leases,
    /// When the next lease check is scheduled.
    lease_check_at: Option<Micros>,
}

/// The connections to all exchanges, and the attempts and established calls at them.
#[derive(Debug)]
pub struct UpstreamConnections {
    upstreams: BTreeMap<ExchangeId, Upstream>,
    exchange_by_conn: HashMap<ConnId, ExchangeId>,
    attempts: HashMap<Sid, Attempt>,
    sid_by_call: HashMap<CallId, Sid>,
    probes: HashMap<Sid, ExchangeId>,
    connect_timeout: Micros,
    /// The exchange that this controller runs in; it gets no connection.
    own_exchange: Option<ExchangeNumber>,
    previous_run: PreviousRun,
    next_conn_id: u64,
    next_probe_sid: u64,
    outputs: Vec<UpstreamOutput>,
    counts: UpstreamCounts,
}

impl UpstreamConnections {
    /// Creates a set without connections. A connection that is not established within `connect_timeout` has failed.
    pub fn new(now: Micros, connect_timeout: Micros, own_exchange: Option<ExchangeNumber>) -> Self {
        UpstreamConnections {
            upstreams: BTreeMap::new(),
            exchange_by_conn: HashMap::new(),
            attempts: HashMap::new(),
            sid_by_call: HashMap::new(),
            probes: HashMap::new(),
            connect_timeout,
            own_exchange,
            previous_run: PreviousRun::new(now),
            next_conn_id: 0,
            next_probe_sid: 0,
            outputs: Vec::new(),
            counts: UpstreamCounts::default(),
        }
    }

    /// Takes the pending outputs, in the order in which they must be carried out.
    pub fn take_outputs(&mut self) -> Vec<UpstreamOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Counters since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.counts
    }

    /// Whether every exchange in service has been contacted or found unreachable at least once.
    pub fn all_contacted(&self) -> bool {
        self.upstreams.values().all(|u| u.contacted || u.state != ListState::Ready)
    }

    /// Whether an exchange is among these connections.
    pub fn contains(&self, exchange_id: ExchangeId) -> bool {
        self.upstreams.contains_key(&exchange_id)
    }

    /// Every exchange with its address, state and whether it is connected, as shown to operators.
    pub fn views(&self) -> impl Iterator<Item = (ExchangeId, &MemberAddress, ListState, bool)> + '_ {
        self.upstreams
            .iter()
            .map(|(&id, u)| (id, &u.member_address, u.state, matches!(u.connection, ConnectionState::Up(_))))
    }
}
