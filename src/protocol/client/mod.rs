//! State machine of the connections from the platform's clients, which set up calls and receive their answers and
//! releases. It performs no I/O.
//!
//! A connection is either in service or being closed. While it is being closed no new set-up is accepted on it, its
//! open set-ups are failed, and it is closed once they are answered. A connection is closed because of protocol
//! errors, when it has been idle for too long or only had set-ups refused, at the connection limit, or when the program
//! stops.

mod answers;
mod connections;
mod messages;
mod recent_sids;
mod releases;
mod repeated;
mod set_up_content;

use super::json_lines::{cause, parse_all_pairs, Kind, Message, PreviousRun, Sid};
use super::ConnId;
use crate::fault_injection::{fault_injected, InjectedFault};
use crate::routing::interface::{CallId, ExchangeNumber, Micros, NewCall};
use crate::routing::ledger::{Answer, FrontendId, OfferedCall, SessionDescription};
use recent_sids::RecentSids;
use repeated::RepeatedSetUp;
use serde_json::Value;
use set_up_content::{ContentHash, ContentHasher};
use std::collections::{BTreeMap, HashMap};
use walnuthatch_gossip::rate_limit::{RateLimit, TokenBucket};

/// An unconfirmed release is resent for this long (µs).
const RELEASE_RETRY_PERIOD: Micros = 8_000_000;
/// A release not confirmed within this time is resent on another connection (µs). Clients confirm a release at once.
const RELEASE_CONFIRM_TIMEOUT: Micros = 300_000;
/// A connection on which no call was ever established is closed after this time without an open set-up and without a
/// message (µs).
const IDLE_TIMEOUT_UNUSED: Micros = 1_000_000;
/// The same for a connection on which calls were established, unless one still is (µs). Clients close such connections
/// after 4 s.
const IDLE_TIMEOUT: Micros = 5_000_000;
/// A connection on which a message stays incomplete for this long is closed (µs).
const PARTIAL_MESSAGE_TIMEOUT: Micros = 1_000_000;
/// A connection that is being closed has this long to take the pending output (µs).
const CLOSE_TIMEOUT: Micros = 500_000;
/// The first set-up of a connection may be in transit for this long after it was opened (µs).
const FIRST_SET_UP_WAIT: Micros = 100_000;
/// Largest number of open set-ups on a connection on which no call was ever established; more are refused.
const MAX_OPEN_UNUSED: usize = 100;
/// Largest number of open set-ups on any other connection; more are refused. Limits the memory that one client takes, also
/// with set-ups of 16 KiB.
const MAX_OPEN: usize = 1_000;
/// Retry delay in the refusal of a set-up because of [`MAX_OPEN_UNUSED`] or [`MAX_OPEN`], or because it arrived while its
/// connection was being closed (ms).
const CONGESTION_RETRY_AFTER_MS: &str = "1000";
/// A connection on which no call was ever established is closed after this many refused or failed set-ups: its client
/// might resend the same ones at once, forever.
const MAX_REFUSED_UNUSED: u32 = 8;
/// Longest remaining time that a client may state in a set-up (µs).
const MAX_REMAINING_TIME: Micros = 600_000_000;
/// Releases of calls of the previous run that a connection may pass on (per second, with a burst of half as many). Each
/// goes to every exchange, since the one that has the call is not known.
const PREVIOUS_RUN_RELEASE_RATE: u32 = 400;
/// Largest number of sids of a connection that are remembered as being of this run, so that no client can use up the
/// memory that all share for it.
const MAX_SIDS_OF_CONNECTION: u32 = 40_000;
/// Largest number of abandoned set-ups that are remembered.
const MAX_ABANDONED: usize = 20_000;
/// Largest number of answers that are kept; each may have 16 KiB.
const MAX_RECENT_ANSWERS: usize = 1_000;
/// Largest number of circuits of a call: those of one 2 Mbit/s trunk group.
const MAX_CIRCUITS: f64 = 30.0;

/// A request in a client's message that the event loop must carry out.
#[derive(Debug, PartialEq)]
pub enum ClientRequest {
    /// Offer this call to the ledger, then report its id with [`ClientConnections::call_offered`].
    Offer(Box<AcceptedSetUp>),
    /// The caller cancelled its set-up or released its call.
    Clear(CallId),
    /// The caller released a call of the previous run.
    ReleasePreviousRun(Sid),
    /// Answer whether this program is ready for calls.
    Probe(Option<Sid>),
    /// None; any effects are in the outputs.
    None,
}

/// A set-up that was checked and is to be offered to the ledger.
#[derive(Debug, PartialEq)]
pub struct AcceptedSetUp {
    /// What identifies it among the client's calls.
    pub set_up: ReceivedSetUp,
    /// The call.
    pub offer: OfferedCall,
}

/// A set-up as received from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedSetUp {
    /// Its sid.
    pub sid: Sid,
    /// The connection that it arrived on.
    pub conn: ConnId,
    /// The called number as received.
    key: Option<Value>,
    content: ContentHash,
}

/// Why this side closes a client's connection; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its data could not be parsed, or a message stayed incomplete.
    Unreadable,
    /// A set-up used the sid of a call that is established, or open on a connection that has not ended.
    DuplicateSid,
    /// No message was received for too long.
    Idle,
    /// Too many of its set-ups were refused or failed and none was established.
    TooManyRefused,
    /// The connection limit was reached.
    ConnectionLimit,
    /// The program is draining, and nothing is left on the connection.
    Drained,
    /// The program is shutting down.
    Shutdown,
}

/// An action for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutput {
    /// Send a message on this connection.
    Send(ConnId, Message),
    /// Fail this call, because its connection is being closed.
    Fail(CallId),
    /// Offer the set-up that was held for this sid: take it with [`ClientConnections::take_repeated`].
    OfferRepeated(Sid),
    /// This connection is being closed, for this reason; only for the log.
    Closing(ConnId, CloseReason),
    /// Stop reading from this connection at the end of the current message, and confirm with
    /// [`ClientConnections::reading_stopped`].
    StopReading(ConnId),
    /// Close this connection once its pending output has been sent.
    Close(ConnId),
    /// Close this connection at once.
    Abort(ConnId),
    /// Set a timer for the given time.
    SetTimer(Micros, ClientTimer),
}

/// Identifies a timer of the client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientTimer {
    /// The idle timeout of a connection.
    Idle(ConnId),
    /// The time to complete the message that began at the given time.
    PartialMessage(ConnId, Micros),
    /// The time to close a connection.
    Close(ConnId),
    /// The time to receive the first set-up of a connection that is being closed.
    StopReading(ConnId),
    /// The time to confirm a release.
    ResendRelease(Sid),
    /// The time to hold a repeated set-up.
    RepeatedSetUp(Sid),
}

/// Counters of messages, connections and faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClientCounts {
    /// Set-ups with an unknown class or invalid values; each was failed.
    pub invalid_set_up: u64,
    /// Set-ups with the sid of a call that is open or established; each closed its connection.
    pub duplicate_sid: u64,
    /// Set-ups ignored because their client had closed their connection, or had sent them again on a newer one.
    pub set_up_after_leaving: u64,
    /// Set-ups refused because they arrived while their connection was being closed.
    pub set_up_while_closing: u64,
    /// Set-ups refused because too many were open on their connection.
    pub too_many_open: u64,
    /// Releases of calls that are unknown or belong to another client, or beyond [`PREVIOUS_RUN_RELEASE_RATE`].
    pub unknown_call: u64,
    /// Messages of types that clients should not send.
    pub unexpected: u64,
    /// Answers whose connection had closed.
    pub undeliverable: u64,
    /// Connections closed because of unreadable or incomplete messages.
    pub malformed: u64,
    /// Connections closed because they were idle, or because none of their set-ups was accepted.
    pub idle: u64,
    /// Connections closed because of the connection limit.
    pub over_limit: u64,
    /// Releases resent on another connection.
    pub release_resent: u64,
    /// Answers to established calls resent on the connection of a repeated set-up.
    pub answer_resent: u64,
}

/// A call of a client, until it ends.
#[derive(Debug)]
struct ClientCall {
    /// Its set-up. The connection is the one on which the answer was or will be sent.
    set_up: ReceivedSetUp,
    /// Whether it is established.
    answered: bool,
}

#[derive(Debug)]
struct ClientConnection {
    /// Set-ups on this connection without a final answer.
    open_set_ups: usize,
    /// Established calls that were set up on this connection.
    established: usize,
    opened_at: Micros,
    /// When the last message was received.
    last_activity: Micros,
    /// Whether a call was ever established on this connection.
    ever_established: bool,
    /// Set-ups refused or failed on this connection.
    refused: u32,
    /// Since when a message has been incomplete.
    partial_since: Option<Micros>,
    /// Whether a set-up was received on this connection.
    received_set_up: bool,
    /// Number of its sids that were remembered as being of this run.
    recorded_sids: u32,
    /// Limits the releases of calls of the previous run.
    previous_run_releases: TokenBucket,
    /// Whether the connection is being closed: no new set-ups are accepted, and it closes once all that were read are
    /// answered.
    closing: bool,
    /// Whether the client has closed it, although messages may still be unread.
    peer_closed: bool,
    /// Whether reading from it has stopped.
    reading_stopped: bool,
}

impl ClientConnection {
    /// Whether messages that are sent on it may be read by the client, and further ones be received.
    fn is_in_service(&self) -> bool {
        !self.closing && !self.peer_closed
    }

    /// Whether it has as many open set-ups as it may have.
    fn is_full(&self) -> bool {
        self.open_set_ups >= if self.ever_established { MAX_OPEN } else { MAX_OPEN_UNUSED }
    }
}

/// The release of an established call, until its caller confirms it.
#[derive(Debug)]
struct Release {
    message: Message,
    until: Micros,
    /// The connections on which it was sent, the latest last.
    sent: Vec<ConnId>,
}

/// The connections from clients, with their calls and pending releases.
#[derive(Debug)]
pub struct ClientConnections {
    frontend: FrontendId,
    classes: Vec<String>,
    /// Largest number of connections open at once.
    max_connections: usize,
    connections: BTreeMap<ConnId, ClientConnection>,
    call_by_sid: HashMap<Sid, CallId>,
    calls: HashMap<CallId, ClientCall>,
    releases: BTreeMap<Sid, Release>,
    previous_run: PreviousRun,
    /// Set-ups abandoned within the last quiet period, which must not be attempted again before its end.
    abandoned: RecentSids<ContentHash>,
    /// The descriptions in the answers to calls that were established recently.
    recent_answers: RecentSids<Option<SessionDescription>>,
    content_hasher: ContentHasher,
    /// Set-ups held because their sid is in use by a call of another connection. They count among the open set-ups of theirs.
    repeated: BTreeMap<Sid, RepeatedSetUp>,
    /// Whether connections are closed once nothing is left on them.
    draining: bool,
    outputs: Vec<ClientOutput>,
    counts: ClientCounts,
}

impl ClientConnections {
    /// Creates a set without connections, given the names of the classes in the order of their numbers.
    pub fn new(now: Micros, frontend: FrontendId, classes: Vec<String>, max_connections: usize) -> Self {
        ClientConnections {
            frontend,
            classes,
            max_connections,
            connections: BTreeMap::new(),
            call_by_sid: HashMap::new(),
            calls: HashMap::new(),
            releases: BTreeMap::new(),
            previous_run: PreviousRun::new(now),
            abandoned: RecentSids::new(0, MAX_ABANDONED),
            recent_answers: RecentSids::new(repeated::ANSWER_RETENTION, MAX_RECENT_ANSWERS),
            content_hasher: ContentHasher::default(),
            repeated: BTreeMap::new(),
            draining: false,
            outputs: Vec::new(),
            counts: ClientCounts::default(),
        }
    }

    /// Sets the quiet period: the time before a set-up whose attempt ended with an unknown result may be attempted
    /// again (µs).
    pub fn with_quiet_period(self, quiet: Micros) -> Self {
        ClientConnections { abandoned: RecentSids::new(quiet, MAX_ABANDONED), ..self }
    }

    /// Takes the pending outputs, in the order in which they must be carried out.
    pub fn take_outputs(&mut self) -> Vec<ClientOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Counters since the start.
    pub fn counts(&self) -> ClientCounts {
        self.counts
    }

    /// The sid of a call and the called number, as received.
    pub fn sid_and_number(&self, call: CallId) -> Option<(Sid, Option<Value>)> {
        self.calls.get(&call).map(|call| (call.set_up.sid, call.set_up.key.clone()))
    }
}
