//! The whole interface of the decision module: what a call server tells it and what it answers.

use std::collections::BTreeSet;
use std::rc::Rc;

/// A moment or a span, in microseconds.
pub type Micros = i64;

/// One call (or one try of a caller), as the call server names it. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u32);

/// The running number of a set-up attempt of one call, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(pub u8);

/// The number of an exchange (or of a pool of agents), by which calls name their destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ExchangeNumber(pub u16);

/// The machine that serves an exchange: a replacement has the same exchange number, another office.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ExchangeId {
    /// Address, first byte first.
    pub addr: [u8; 4],
    /// Port.
    pub port: u16,
}

/// The number of a call server among its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct PeerNumber(pub u32);

/// How the network is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Topology {
    /// Exchanges joined pairwise by trunk groups; calls may pass through one tandem.
    #[default]
    Mesh,
    /// Pools of agents that all call servers share; no call is in transit.
    Pools,
}

/// How the office list reaches this call server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum MembershipMode {
    /// Changes come by themselves.
    #[default]
    Pushed,
    /// Only what is asked for comes.
    OnRequest,
}

/// Which other exchanges a set-up may be repeated at once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RetryPolicy {
    /// Attempts may be repeated freely.
    #[default]
    Retryable,
    /// Anything else: no further attempt unless the earlier ones are proved never to have run.
    AtMostOnce,
}

/// A class of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full worth is earned up to this long after the first try.
    pub latency_objective: Micros,
    /// How long a caller goes on trying.
    pub client_timeout: Micros,
    /// Share of the worth earned when set up after the aim.
    pub late_value: f64,
    /// Worth of a call that stands to its end.
    pub value: f64,
    /// Whether attempts may be repeated.
    pub retry_policy: RetryPolicy,
    /// Mean length of a call; 0 if not told.
    pub mean_hold_time: Micros,
    /// Pools that the class may go to; empty means all (pools only).
    pub allowed_pools: Vec<ExchangeNumber>,
}

/// What a call server is told at start.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    /// Classes of call, by number.
    pub classes: Vec<Class>,
    /// Layout of the network.
    pub topology: Topology,
    /// The exchange this controller runs in.
    pub own_exchange: Option<ExchangeNumber>,
    /// Zone of this call server.
    pub zone: u8,
    /// Call servers in the tier, this one included.
    pub controller_count: u32,
    /// Number of this call server among them.
    pub own_peer: PeerNumber,
    /// How the list comes.
    pub membership_mode: MembershipMode,
    /// Names of the load figures, in the order in which they come.
    pub report_fields: Vec<ReportField>,
    /// Time that must pass after a timeout, reset or cancellation.
    pub quiet_period: Micros,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Messages to peers are allowed.
    pub may_message_peers: bool,
    /// Longest pause that callers follow.
    pub max_retry_after: Micros,
    /// Attempts that one call may have; 0: no limit.
    pub max_attempts: u32,
    /// Calls that may be open at once; 0: no limit.
    pub max_open_calls: u32,
    /// How long a silent instance may go without asking for the list (on request).
    pub max_list_age: Micros,
    /// A draining or gone office may be sent to for this long after the news.
    pub drain_grace: Micros,
    /// A starting processor has at least this share of its capacity.
    pub cold_start_capacity: f64,
    /// A processor is warm this long after its start.
    pub cold_start_period: Micros,
    /// Set-ups over this multiple of its present capacity push a cold processor over.
    pub overload_factor: f64,
    /// For how long that must last.
    pub overload_window: Micros,
    /// Shortest gap between batches.
    pub min_batch_interval: Micros,
}

/// A figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free circuits of the group toward the office (or free agents).
    Free,
    /// Size of that group.
    Size,
    /// Messages in work.
    Active,
    /// Messages waiting.
    Waiting,
    /// Share of the processor busy.
    Busy,
    /// Wait at the processor, in milliseconds.
    WaitMs,
    /// New set-ups a second that it can take from all senders.
    AllowedRate,
    /// Share of new set-ups that each sender is asked to hold back.
    Reduction,
    /// Not known here; passed over.
    Unknown,
}

/// A load report; a figure that was not told is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Free circuits of the group toward the office.
    pub free: Option<f64>,
    /// Size of that group.
    pub size: Option<f64>,
    /// Messages in work.
    pub active: Option<f64>,
    /// Messages waiting.
    pub waiting: Option<f64>,
    /// Share of the processor busy.
    pub busy: Option<f64>,
    /// Wait at the processor.
    pub wait: Option<Micros>,
    /// Set-ups a second that it can take from all senders.
    pub allowed_rate: Option<f64>,
    /// Share of set-ups to hold back.
    pub reduction: Option<f64>,
}

/// What the list says of an office.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ListState {
    /// In service.
    #[default]
    Ready,
    /// Finishing its calls: nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the office list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The exchange that it serves.
    pub exchange: ExchangeNumber,
    /// Its zone.
    pub zone: u8,
    /// Its state.
    pub state: ListState,
    /// The office.
    pub exchange_id: ExchangeId,
    /// When it last started; `None`: long ago.
    pub last_start: Option<Micros>,
}

/// What a list event carries.
#[derive(Clone, Debug, PartialEq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes(Rc<[ListEntry]>),
    /// The complete list; an office missing from it is removed.
    Complete(Rc<[ListEntry]>),
    /// The complete list as last held, possibly out of date.
    Cached(Rc<[ListEntry]>),
    /// A request for the list failed or the subscription broke.
    Failed,
}

/// A new call.
#[derive(Clone, Debug, PartialEq)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Where it goes.
    pub destination: ExchangeNumber,
    /// It was passed on by another call server.
    pub transit: bool,
    /// The caller tried before.
    pub redialled: bool,
    /// It stood, was cut and comes again.
    pub cut_before: bool,
    /// Stands for the called number.
    pub number: Option<u64>,
    /// Circuits it takes on each group.
    pub circuits: u32,
    /// How long until the caller gives up on this try.
    pub remaining_time: Micros,
    /// Its class.
    pub class: usize,
    /// Advised tandem; for a call in transit, where it comes from.
    pub via: Option<ExchangeNumber>,
    /// No attempt before this time: an earlier one, of the same request, may have run.
    pub earliest_attempt: Micros,
}

/// What operators took out of service, in whole. Offices and groups are told as draining and as full besides; this
/// says that calls need not wait for them.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct OutOfService {
    /// Exchanges that no call is for.
    pub exchanges: BTreeSet<ExchangeNumber>,
    /// Groups that take no new calls, by the exchange at the far end.
    pub groups: BTreeSet<ExchangeNumber>,
    /// This controller takes no new calls.
    pub controller: bool,
}

impl OutOfService {
    /// Whether an exchange, or the group toward it, is out of service.
    pub fn contains(&self, exchange: ExchangeNumber) -> bool {
        self.exchanges.contains(&exchange) || self.groups.contains(&exchange)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The call stood and has ended.
    Completed,
    /// All lines of the number busy, or a signalling fault.
    Fault,
    /// Turned back, or a processor or pool was full.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The set-up or standing call was cut.
    Reset,
    /// Called off.
    Cancelled,
    /// Not sent.
    NotSent,
}

/// The reason given with an ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// None, or one not known here.
    None,
    /// No free circuit or agent.
    NoCircuit,
    /// Turned back by the tandem.
    TurnedBack,
    /// Turned back since the processor beyond was full.
    FarProcessorFull,
    /// The processor was full; it may name a wait.
    ProcessorFull(Option<Micros>),
    /// All lines of the called number are busy.
    LinesBusy,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The call.
    pub call: CallId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where it went.
    pub exchange_id: ExchangeId,
    /// How it ended.
    pub ending: Ending,
    /// Why.
    pub cause: Cause,
    /// How long it was out.
    pub elapsed: Micros,
    /// The call is over: nothing more is owed.
    pub call_ended: bool,
    /// Load figures of the office.
    pub report: LoadReport,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the office list.
    List(ListUpdate),
    /// A new call.
    Call(NewCall),
    /// A set-up went through: the call stands.
    Established {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it went.
        exchange_id: ExchangeId,
        /// How long the set-up took.
        setup_time: Micros,
    },
    /// An attempt ended.
    Ended(Outcome),
    /// A probe ended well, or (unasked) the group toward the office changed.
    GroupReport {
        /// The office.
        exchange_id: ExchangeId,
        /// Its figures.
        report: LoadReport,
    },
    /// A probe failed.
    ProbeFailed(ExchangeId),
    /// The caller left, or the answer was overdue.
    CallAbandoned(CallId),
    /// A message from a peer.
    PeerMessage {
        /// Who sent it.
        from: PeerNumber,
        /// What it says.
        body: Vec<u8>,
    },
    /// Operators took this out of service, and nothing else.
    OutOfService(OutOfService),
    /// These exchanges are suspected of taking set-ups and answering none, and no others.
    Suspected(BTreeSet<ExchangeNumber>),
    /// A timer is due.
    Timer(u64),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up; attempts of a call number themselves from 0.
    SetUp {
        /// The call.
        call: CallId,
        /// Where to.
        exchange_id: ExchangeId,
        /// Time-out of the attempt; `None`: until the caller gives up.
        timeout: Option<Micros>,
    },
    /// Ask for a timer.
    SetTimer {
        /// How far ahead.
        after: Micros,
        /// Comes back with it.
        token: u64,
    },
    /// Final answer: refused (in transit: turned back).
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller ought to keep away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Check an office.
    Probe(ExchangeId),
    /// Send bytes to one peer, or to all.
    SendToPeer {
        /// To whom; `None`: to all.
        to: Option<PeerNumber>,
        /// 256 bytes at most.
        body: Vec<u8>,
    },
    /// Ask once for the complete list.
    FetchList,
    /// Subscribe to list changes.
    Subscribe,
    /// A line for the report.
    Log(String),
}
