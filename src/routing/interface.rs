//! Types of the decision module's interface: its settings, the events it takes and the actions it returns.

use std::collections::BTreeSet;
use std::rc::Rc;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Identifier of one call, or of one try of a caller, within a session controller. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u32);

/// Sequence number of a set-up attempt within its call, starting at 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u8);

/// Number of an exchange (or of a pool of agents), used as the destination of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ExchangeNumber(pub u16);

/// Address of the machine that serves an exchange. A replacement machine keeps the exchange number but has a
/// different id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ExchangeId {
    /// IPv4 address in network byte order.
    pub addr: [u8; 4],
    /// Port.
    pub port: u16,
}

/// Number of a session controller among its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PeerNumber(pub u32);

/// Topology of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Topology {
    /// Exchanges connected pairwise by trunk groups; a call may pass through one tandem.
    #[default]
    Mesh,
    /// Pools of agents shared by all session controllers; no call is in transit.
    Pools,
}

/// How the session controller obtains the list of exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum MembershipMode {
    /// Changes are pushed without a request.
    #[default]
    Pushed,
    /// The list is sent only when requested.
    OnRequest,
}

/// Whether a set-up may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// Attempts may be repeated freely.
    #[default]
    Retryable,
    /// No further attempt unless all earlier ones are known not to have run.
    AtMostOnce,
}

/// A class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A call set up within this time of its first try earns its full value.
    pub latency_objective: Micros,
    /// How long a caller keeps trying.
    pub client_timeout: Micros,
    /// Share of the value earned by a call set up after the latency objective.
    pub late_value: f64,
    /// Value of a call that is established and runs to its end.
    pub value: f64,
    /// Whether attempts may be repeated.
    pub retry_policy: RetryPolicy,
    /// Mean duration of an established call; 0 if unknown.
    pub mean_hold_time: Micros,
    /// Pools that may serve the class (pools only); empty allows all of them.
    pub allowed_pools: Vec<ExchangeNumber>,
}

/// Settings of a session controller, fixed at its start.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    /// Classes of call, indexed by class number.
    pub classes: Vec<Class>,
    /// Topology of the network.
    pub topology: Topology,
    /// Exchange that this controller runs in.
    pub own_exchange: Option<ExchangeNumber>,
    /// Zone of this session controller.
    pub zone: u8,
    /// Number of session controllers, including this one.
    pub controller_count: u32,
    /// This controller's number among its peers.
    pub own_peer: PeerNumber,
    /// How the list of exchanges is obtained.
    pub membership_mode: MembershipMode,
    /// Meaning of the figures in a load report, in wire order.
    pub report_fields: Vec<ReportField>,
    /// Minimum time between a timed-out, reset or cancelled attempt and the next one of the same call.
    pub quiet_period: Micros,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether exchanges may be probed.
    pub may_probe: bool,
    /// Whether messages may be sent to peers.
    pub may_message_peers: bool,
    /// Longest retry delay in a refusal that callers observe.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per call; 0 means no limit.
    pub max_attempts: u32,
    /// Maximum number of concurrently open calls; 0 means no limit.
    pub max_open_calls: u32,
    /// How long an otherwise silent instance may go without requesting the list (on request only).
    pub max_list_age: Micros,
    /// How long set-ups may still be sent to an exchange after it is reported as draining or gone.
    pub drain_grace: Micros,
    /// Share of its capacity that a processor has at least when it starts.
    pub cold_start_capacity: f64,
    /// Time from the start of a processor until it has its full capacity.
    pub cold_start_period: Micros,
    /// Set-ups above this multiple of its current capacity overload a processor during its cold start.
    pub overload_factor: f64,
    /// How long that excess must last for the processor to fail.
    pub overload_window: Micros,
    /// Minimum interval between batches.
    pub min_batch_interval: Micros,
}

/// Meaning of one figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free circuits of the group toward the exchange (or free agents).
    Free,
    /// Size of that group.
    Size,
    /// Messages being processed.
    Active,
    /// Queued messages.
    Waiting,
    /// Processor utilization, from 0 to 1.
    Busy,
    /// Queueing delay at the processor, in milliseconds.
    WaitMs,
    /// New set-ups per second that the exchange accepts from all senders together.
    AllowedRate,
    /// Share of new set-ups that each sender is asked to withhold.
    Reduction,
    /// A figure unknown to this version; ignored.
    Unknown,
}

/// A load report; figures that were not reported are `None`.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Free circuits of the group toward the exchange.
    pub free: Option<f64>,
    /// Size of that group.
    pub size: Option<f64>,
    /// Messages being processed.
    pub active: Option<f64>,
    /// Queued messages.
    pub waiting: Option<f64>,
    /// Processor utilization, from 0 to 1.
    pub busy: Option<f64>,
    /// Queueing delay at the processor.
    pub wait: Option<Micros>,
    /// Set-ups per second that the exchange accepts from all senders together.
    pub allowed_rate: Option<f64>,
    /// Share of set-ups to withhold.
    pub reduction: Option<f64>,
}

/// State of an exchange in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ListState {
    /// In service.
    #[default]
    Ready,
    /// Completing its calls; accepts no new set-ups.
    Draining,
    /// Removed.
    Gone,
}

/// What stands behind an entry of the list of exchanges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ExchangeKind {
    /// An exchange whose session controller passes calls on, or a pool of agents.
    #[default]
    Exchange,
    /// A media gateway of this controller. Calls end at its endpoints: it passes none on, and no other exchange has a
    /// group to it.
    Gateway,
}

/// One entry of the list of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Number of the exchange.
    pub exchange: ExchangeNumber,
    /// Whether it is an exchange or a gateway.
    pub kind: ExchangeKind,
    /// Zone of the machine.
    pub zone: u8,
    /// Service state.
    pub state: ListState,
    /// Machine that serves the exchange.
    pub exchange_id: ExchangeId,
    /// Last start of the machine; `None` if long ago.
    pub last_start: Option<Micros>,
}

/// Payload of a list event.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// Changed entries only.
    Changes(Rc<[ListEntry]>),
    /// The complete list; machines missing from it are removed.
    Complete(Rc<[ListEntry]>),
    /// The last known complete list, possibly out of date.
    Cached(Rc<[ListEntry]>),
    /// A list request failed or the subscription broke.
    Failed,
}

/// A new call.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Identifier of the call.
    pub call: CallId,
    /// Destination exchange or pool.
    pub destination: ExchangeNumber,
    /// Whether the call is in transit: another session controller passed it on.
    pub transit: bool,
    /// Whether the caller has tried before.
    pub redialled: bool,
    /// Whether the call was established before, was cut and is being set up again.
    pub cut_before: bool,
    /// Opaque identifier of the called number.
    pub number: Option<u64>,
    /// Circuits that the call occupies on each group.
    pub circuits: u32,
    /// Time left until the caller abandons this try.
    pub remaining_time: Micros,
    /// Class number.
    pub class: usize,
    /// Suggested tandem; for a call in transit, the exchange it comes from.
    pub via: Option<ExchangeNumber>,
    /// No attempt before this time, since an earlier attempt of the same request may have run.
    pub earliest_attempt: Micros,
}

impl NewCall {
    /// A first try of class 0 over one circuit, to a destination, by a caller who waits this long. The ledger assigns
    /// its identifier.
    pub fn to(destination: ExchangeNumber, remaining_time: Micros) -> Self {
        NewCall {
            call: CallId(0),
            destination,
            transit: false,
            redialled: false,
            cut_before: false,
            number: None,
            circuits: 1,
            remaining_time,
            class: 0,
            via: None,
            earliest_attempt: 0,
        }
    }
}

/// Everything that operators have taken out of service. The list and the load reports also show it, as draining
/// exchanges and full groups; this tells the decision module that calls need not wait for them.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct OutOfService {
    /// Exchanges that accept no calls.
    pub exchanges: BTreeSet<ExchangeNumber>,
    /// Groups that accept no new calls, identified by the exchange at the far end.
    pub groups: BTreeSet<ExchangeNumber>,
    /// This controller accepts no new calls.
    pub controller: bool,
}

impl OutOfService {
    /// Whether an exchange, or the group toward it, is out of service.
    pub fn contains(&self, exchange: ExchangeNumber) -> bool {
        self.exchanges.contains(&exchange) || self.groups.contains(&exchange)
    }
}

/// How an attempt, or the call it established, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The call was established and has been released normally.
    Completed,
    /// All lines of the called number were busy, or a signalling fault occurred.
    Fault,
    /// Turned back, or a processor or pool was full.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The set-up or the established call was cut.
    Reset,
    /// Cancelled by this controller.
    Cancelled,
    /// Not sent.
    NotSent,
}

/// Reason reported with an [`Ending`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No reason, or one unknown to this version.
    None,
    /// No free circuit or agent.
    NoCircuit,
    /// Turned back by the tandem.
    TurnedBack,
    /// Turned back because the processor at the destination was full.
    FarProcessorFull,
    /// The processor was full; it may report its queueing delay.
    ProcessorFull(Option<Micros>),
    /// All lines of the called number are busy.
    LinesBusy,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Identifier of the call.
    pub call: CallId,
    /// Attempt that ended.
    pub attempt: AttemptNumber,
    /// Machine that the set-up was sent to.
    pub exchange_id: ExchangeId,
    /// How the attempt ended.
    pub ending: Ending,
    /// Reported reason.
    pub cause: Cause,
    /// Time since the set-up was sent or, for an established call, since it was answered.
    pub elapsed: Micros,
    /// Whether the call itself has ended, so that the caller needs no further answer.
    pub call_ended: bool,
    /// Load report of the exchange.
    pub report: LoadReport,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of exchanges.
    List(ListUpdate),
    /// A new call.
    Call(NewCall),
    /// A set-up was answered: the call is established.
    Established {
        /// Identifier of the call.
        call: CallId,
        /// Attempt that was answered.
        attempt: AttemptNumber,
        /// Machine that answered.
        exchange_id: ExchangeId,
        /// Time from the set-up to its answer.
        setup_time: Micros,
    },
    /// An attempt ended.
    Ended(Outcome),
    /// A probe succeeded, or the exchange reported a change of its group without being asked.
    GroupReport {
        /// Machine that the report is about.
        exchange_id: ExchangeId,
        /// Load report.
        report: LoadReport,
    },
    /// A probe failed.
    ProbeFailed(ExchangeId),
    /// The caller abandoned the call, or the answer was overdue.
    CallAbandoned(CallId),
    /// A message from a peer.
    PeerMessage {
        /// Sender.
        from: PeerNumber,
        /// Message body.
        body: Vec<u8>,
    },
    /// What operators have taken out of service; replaces the previous state.
    OutOfService(OutOfService),
    /// Exchanges suspected of accepting set-ups without answering any; replaces the previous set.
    Suspected(BTreeSet<ExchangeNumber>),
    /// A timer expired; carries the token it was set with.
    Timer(u64),
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up. Attempts of a call are numbered in order from 0.
    SetUp {
        /// Identifier of the call.
        call: CallId,
        /// Machine to send it to.
        exchange_id: ExchangeId,
        /// Time limit of the attempt; `None` allows the remaining time of the call.
        timeout: Option<Micros>,
    },
    /// Set a timer.
    SetTimer {
        /// Delay until it expires.
        after: Micros,
        /// Token returned with [`Event::Timer`].
        token: u64,
    },
    /// Final answer: refused (in transit: turned back).
    Refuse {
        /// Identifier of the call.
        call: CallId,
        /// How long the caller should wait before it retries; 0 gives no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Cancel an attempt.
    Cancel {
        /// Identifier of the call.
        call: CallId,
        /// Attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Probe an exchange.
    Probe(ExchangeId),
    /// Send a message to one peer or to all of them.
    SendToPeer {
        /// Recipient; `None` sends it to all peers.
        to: Option<PeerNumber>,
        /// Message body, at most 256 bytes.
        body: Vec<u8>,
    },
    /// Request the complete list once.
    FetchList,
    /// Subscribe to list changes.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
