//! The call ledger: holds every call from its offer to its one final answer and, if it is established, to its
//! release. It runs the decision module and enforces the call-handling rules for every front end.
//!
//! Each rule is enforced in one place: a single final answer per call (`Ledger::finish_call`); at most one attempt
//! in progress, the drain grace, the quiet period, and only the direct route to gateways (`Ledger::send_setup`).

use super::administrative_state::AdministrativeState;
use super::control::Controller;
use super::interface::*;
use crate::fault_injection::{fault_injected, InjectedFault};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An attempt times out this long before the client deadline of its call, so that the final answer is sent in
/// time (µs).
const ATTEMPT_MARGIN: Micros = 10_000;
/// A call without a final answer is failed this long before its client deadline, even if the decision module still
/// holds it (µs).
const ANSWER_MARGIN: Micros = 5_000;

/// The front end that received a call. The routing core only passes it back with the call's outputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FrontendId(pub u8);

/// A session description, passed unchanged between the two ends of a call.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct SessionDescription(pub Rc<str>);

/// A call as offered by a front end.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedCall {
    /// The front end that receives the answer.
    pub frontend: FrontendId,
    /// The call as passed to the decision module; the ledger assigns its id.
    pub new_call: NewCall,
    /// The caller's session description.
    pub description: Option<SessionDescription>,
}

/// The final answer to a call; each call gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The call is established, with the session description from the far end.
    Established(Option<SessionDescription>),
    /// Refused: the caller may safely try again after `retry_after`.
    Refused {
        /// How long the caller should wait before it tries again; 0 gives no advice.
        retry_after: Micros,
    },
    /// The call failed.
    Failed,
}

/// Why a call got its final answer; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// An exchange answered the set-up.
    Answered,
    /// The decision module refused or failed the call.
    Decided,
    /// The client deadline of the call was about to pass.
    ClientDeadline,
    /// The caller's connection is being closed.
    ConnectionEnding,
    /// The program is shutting down.
    Shutdown,
}

/// Identifies a timer of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerTimer {
    /// A timer that the decision module requested, with its token.
    Controller(u64),
    /// The timeout of an attempt.
    Attempt(CallId, AttemptNumber),
    /// The deadline for the final answer to a call.
    Call(CallId),
}

/// An action that the ledger requests from the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a set-up; [`Ledger::offered_call`] returns the call's details.
    SetUp {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The exchange to send it to.
        exchange_id: ExchangeId,
        /// The timeout of the attempt.
        timeout: Micros,
    },
    /// Cancel a set-up in progress, or release an established call.
    Clear {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The exchange that the set-up was sent to.
        exchange_id: ExchangeId,
    },
    /// Send the final answer to the caller.
    Answer {
        /// The front end that the call came from.
        frontend: FrontendId,
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
        /// The reason for the answer.
        reason: AnswerReason,
        /// When the call was offered.
        offered_at: Micros,
        /// The destination of the call.
        destination: ExchangeNumber,
        /// The last attempt, if any set-up was sent.
        last_attempt: Option<LastAttempt>,
    },
    /// An attempt ended without establishing the call. For observers only: no message is sent for it.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The exchange that the set-up was sent to, if it was on the exchange list.
        exchange: Option<ExchangeNumber>,
        /// How the attempt ended.
        ending: Ending,
        /// The reported cause.
        cause: Cause,
    },
    /// Inform the caller that its established call has ended.
    Release {
        /// The front end that the call came from.
        frontend: FrontendId,
        /// The call.
        call: CallId,
        /// Whether the call was cut off rather than completed.
        cut: bool,
    },
    /// Probe an exchange.
    Probe(ExchangeId),
    /// Send a message to one peer, or to all peers.
    SendToPeer {
        /// The peer; `None` means all peers.
        to: Option<PeerNumber>,
        /// The message.
        body: Vec<u8>,
    },
    /// Fetch the complete exchange list again.
    FetchList,
    /// Write a line to the log.
    Log(String),
    /// Set a timer for the given time.
    SetTimer(Micros, LedgerTimer),
}

/// The last attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastAttempt {
    /// The exchange that the set-up was sent to, if it was on the exchange list.
    pub exchange: Option<ExchangeNumber>,
    /// Time from the set-up to its answer or its end.
    pub setup_time: Micros,
    /// How the attempt failed; `None` if it established the call.
    pub failure: Option<(Ending, Cause)>,
}

/// Why the ledger blocked a set-up that the decision module requested. The counters `held_back.*` take their names
/// from the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// Another attempt of the call is in progress, or the call has ended.
    SecondAttempt,
    /// The exchange is not on the exchange list, or it has been draining or removed, or its trunk group out of
    /// service, for longer than the drain grace.
    Drained,
    /// The quiet period after an attempt with an unknown result has not passed.
    Quiet,
    /// The set-up would use a gateway as a tandem, or a tandem to reach a gateway.
    Misrouted,
}

/// Counters since the start of the ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerCounts {
    /// Calls offered.
    pub offered: u64,
    /// Calls established.
    pub established: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls whose caller left before the final answer.
    pub abandoned: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Failed attempts by ending; the keys are the counter names given by [`ending_name`].
    pub endings: BTreeMap<&'static str, u64>,
    /// Set-ups blocked by the ledger, by reason.
    pub blocked: BTreeMap<BlockReason, u64>,
    /// Established calls that were cut off.
    pub cut: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The decision module holds the call; no attempt is in progress.
    Deciding,
    /// A set-up is in progress.
    SettingUp { attempt: AttemptNumber, exchange_id: ExchangeId, since: Micros },
    /// The call is established.
    Established { attempt: AttemptNumber, exchange_id: ExchangeId, since: Micros },
}

#[derive(Debug)]
struct CallEntry {
    offered: OfferedCall,
    offered_at: Micros,
    /// When the client stops waiting for the answer.
    deadline: Micros,
    stage: Stage,
    attempts: u8,
    /// No set-up is sent before this time: an earlier attempt may still be active at its exchange.
    quiet_until: Micros,
    /// The exchange that the last set-up was sent to.
    exchange: Option<ExchangeNumber>,
    last_attempt: Option<LastAttempt>,
}

/// The availability of an exchange according to the exchange list.
#[derive(Clone, Copy, Debug, Default)]
struct Availability {
    /// Start of the current draining or removal; `None` while the exchange is in service.
    draining_since: Option<Micros>,
    gone: bool,
}

impl Availability {
    fn update(&mut self, now: Micros, state: ListState) {
        self.draining_since = match state {
            ListState::Ready => None,
            ListState::Draining | ListState::Gone => self.draining_since.or(Some(now)),
        };
        self.gone = state == ListState::Gone;
    }
}

impl CallEntry {
    fn answer(&self, call: CallId, answer: Answer, reason: AnswerReason) -> Output {
        let (frontend, destination) = (self.offered.frontend, self.offered.new_call.destination);
        Output::Answer {
            frontend,
            call,
            answer,
            reason,
            offered_at: self.offered_at,
            destination,
            last_attempt: self.last_attempt,
        }
    }
}

/// One call as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct CallView {
    /// The call.
    pub call: CallId,
    /// The front end that the call came from.
    pub frontend: FrontendId,
    /// The destination of the call.
    pub destination: ExchangeNumber,
    /// The state of the call, as shown to operators.
    pub state: &'static str,
    /// The exchange that the current set-up or the established call uses.
    pub exchange: Option<ExchangeNumber>,
    /// When the call entered this state.
    pub since: Micros,
}

/// The call ledger and the decision module that it runs.
#[derive(Debug)]
pub struct Ledger {
    controller: Controller,
    shortest_latency_objective: Micros,
    quiet_period: Micros,
    drain_grace: Micros,
    calls: BTreeMap<CallId, CallEntry>,
    /// The exchanges on the list and those removed within the drain grace. No set-up is sent to any other.
    exchanges: BTreeMap<ExchangeId, Availability>,
    /// Exchanges and trunk groups that operators took out of service.
    administrative_state: AdministrativeState,
    next_call_id: u32,
    outputs: Vec<Output>,
    counts: LedgerCounts,
    /// Number of calls without a final answer.
    open_calls: usize,
    /// If set, new calls are refused with this retry delay.
    closed_retry_after: Option<Micros>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Ledger {
            shortest_latency_objective: settings
                .classes
                .iter()
                .map(|c| c.latency_objective)
                .min()
                .unwrap_or(1_000_000)
                .max(1),
            quiet_period: if fault_injected(InjectedFault::RetryInQuietPeriod) {
                0
            } else {
                settings.quiet_period
            },
            drain_grace: settings.drain_grace,
            administrative_state: AdministrativeState::new(settings.cold_start_period),
            controller: Controller::new(settings, seed),
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            next_call_id: 0,
            outputs: Vec::new(),
            counts: LedgerCounts::default(),
            open_calls: 0,
            closed_retry_after: None,
        }
    }

    // ---- Events from front ends, exchanges and operators ----

    /// Accepts a call, which gets exactly one final answer unless its caller leaves first.
    pub fn offer(&mut self, now: Micros, mut offered: OfferedCall) -> CallId {
        let call = CallId(self.next_call_id);
        self.next_call_id = self.next_call_id.wrapping_add(1);
        offered.new_call.call = call;
        let new_call = offered.new_call.clone();
        let deadline = now.saturating_add(new_call.remaining_time.max(0));
        let entry = CallEntry {
            offered,
            offered_at: now,
            deadline,
            stage: Stage::Deciding,
            attempts: 0,
            quiet_until: new_call.earliest_attempt,
            last_attempt: None,
            exchange: None,
        };
        self.calls.insert(call, entry);
        self.counts.offered += 1;
        self.open_calls += 1;
        if let Some(retry_after) = self.closed_retry_after {
            self.finish_call(call, Answer::Refused { retry_after }, AnswerReason::Shutdown);
            return call;
        }
        self.outputs.push(Output::SetTimer(deadline - ANSWER_MARGIN, LedgerTimer::Call(call)));
        self.dispatch(now, Event::Call(new_call));
        call
    }

    /// The caller cancelled its set-up or released its call.
    pub fn caller_left(&mut self, now: Micros, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else { return };
        match entry.stage {
            Stage::Deciding => {}
            Stage::SettingUp { attempt, exchange_id, .. }
            | Stage::Established { attempt, exchange_id, .. } => {
                self.outputs.push(Output::Clear { call, attempt, exchange_id });
            }
        }
        if !matches!(entry.stage, Stage::Established { .. }) {
            self.open_calls -= 1;
            self.counts.abandoned += 1;
            self.dispatch(now, Event::CallAbandoned(call));
        }
    }

    /// An exchange answered an attempt. Returns false if that attempt is no longer in progress; the protocol
    /// layer that received the answer must then release the call at the exchange.
    pub fn attempt_answered(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNumber,
        description: Option<SessionDescription>,
    ) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let Stage::SettingUp { attempt: current, exchange_id, since } = entry.stage else { return false };
        if current != attempt {
            return false;
        }
        entry.stage = Stage::Established { attempt, exchange_id, since: now };
        // Needed for set-ups only.
        entry.offered.description = None;
        entry.last_attempt =
            Some(LastAttempt { exchange: entry.exchange, setup_time: now - since, failure: None });
        let answer = Answer::Established(description);
        let output = entry.answer(call, answer, AnswerReason::Answered);
        self.open_calls -= 1;
        self.counts.established += 1;
        self.outputs.push(output);
        self.dispatch(now, Event::Established { call, attempt, exchange_id, setup_time: now - since });
        true
    }

    /// An attempt ended at its exchange, or an established call ended.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNumber,
        result: (Ending, Cause),
        report: LoadReport,
    ) {
        let (ending, cause) = result;
        let Some(entry) = self.calls.get_mut(&call) else { return };
        let (exchange_id, since, was_established) = match entry.stage {
            Stage::SettingUp { attempt: current, exchange_id, since } if current == attempt => {
                (exchange_id, since, false)
            }
            Stage::Established { attempt: current, exchange_id, since } if current == attempt => {
                (exchange_id, since, true)
            }
            _ => return,
        };
        if was_established {
            let frontend = entry.offered.frontend;
            self.calls.remove(&call);
            let cut = ending != Ending::Completed;
            self.counts.cut += u64::from(cut);
            self.outputs.push(Output::Release { frontend, call, cut });
        } else {
            entry.stage = Stage::Deciding;
            if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
                entry.quiet_until = now + self.quiet_period;
            }
            *self.counts.endings.entry(ending_name(ending)).or_default() += 1;
            entry.last_attempt = Some(LastAttempt {
                exchange: entry.exchange,
                setup_time: now - since,
                failure: Some((ending, cause)),
            });
            self.outputs.push(Output::AttemptEnded { call, exchange: entry.exchange, ending, cause });
        }
        let elapsed = now - since;
        let report = self.administrative_state.apply_report(now, exchange_id, report);
        let outcome = Outcome {
            call,
            attempt,
            exchange_id,
            ending,
            cause,
            elapsed,
            call_ended: was_established,
            report,
        };
        self.dispatch(now, Event::Ended(outcome));
    }

    /// A load report of an exchange or of the trunk group to it.
    pub fn group_report(&mut self, now: Micros, exchange_id: ExchangeId, report: LoadReport) {
        let report = self.administrative_state.apply_report(now, exchange_id, report);
        self.dispatch(now, Event::GroupReport { exchange_id, report });
    }

    /// Replaces the set of exchanges and groups that operators took out of service. Set-ups may still be sent
    /// to them within the drain grace.
    pub fn out_of_service_changed(&mut self, now: Micros, out_of_service: OutOfService) {
        let changes = self.administrative_state.set_out_of_service(now, out_of_service.clone());
        if !changes.entries.is_empty() {
            self.update_availability(now, &changes.entries);
            self.dispatch(now, Event::List(ListUpdate::Changes(changes.entries.into())));
        }
        for (exchange_id, report) in changes.groups {
            self.dispatch(now, Event::GroupReport { exchange_id, report });
        }
        self.dispatch(now, Event::OutOfService(out_of_service));
    }

    /// Replaces the set of exchanges suspected of accepting set-ups without answering them.
    pub fn suspected_changed(&mut self, now: Micros, suspected: BTreeSet<ExchangeNumber>) {
        self.dispatch(now, Event::Suspected(suspected));
    }

    /// Queueing delay of this controller's own processor, relative to two fifths of the shortest latency objective.
    pub fn processor_load(&self, now: Micros) -> f64 {
        self.controller.own_delay(now) / (0.4 * self.shortest_latency_objective as f64)
    }

    /// Raises the capacity of groups that were put back into service. To be called periodically.
    pub fn ramp_restored_groups(&mut self, now: Micros) {
        for (exchange_id, report) in self.administrative_state.ramping_groups(now) {
            self.dispatch(now, Event::GroupReport { exchange_id, report });
        }
    }

    /// Releases, towards both sides, the established calls for which `should_cut` returns true, given the
    /// exchange that the call was set up through and its destination.
    pub fn cut_calls(
        &mut self,
        now: Micros,
        should_cut: impl Fn(Option<ExchangeNumber>, ExchangeNumber) -> bool,
    ) {
        let selected = |(&call, e): (&CallId, &CallEntry)| match e.stage {
            Stage::Established { attempt, exchange_id, .. }
                if should_cut(e.exchange, e.offered.new_call.destination) =>
            {
                Some((call, attempt, exchange_id))
            }
            _ => None,
        };
        let calls_to_cut: Vec<_> = self.calls.iter().filter_map(selected).collect();
        for (call, attempt, exchange_id) in calls_to_cut {
            self.outputs.push(Output::Clear { call, attempt, exchange_id });
            self.attempt_ended(now, call, attempt, (Ending::Reset, Cause::None), LoadReport::default());
        }
    }

    /// A probe failed.
    pub fn probe_failed(&mut self, now: Micros, exchange_id: ExchangeId) {
        self.dispatch(now, Event::ProbeFailed(exchange_id));
    }

    /// A message from a peer.
    pub fn peer_message(&mut self, now: Micros, from: PeerNumber, body: Vec<u8>) {
        self.dispatch(now, Event::PeerMessage { from, body });
    }

    /// An update of the exchange list.
    pub fn list_update(&mut self, now: Micros, update: ListUpdate) {
        let update = self.administrative_state.apply_list(update);
        match &update {
            ListUpdate::Failed => {}
            ListUpdate::Changes(entries) => self.update_availability(now, entries),
            ListUpdate::Complete(entries) | ListUpdate::Cached(entries) => {
                for (exchange_id, availability) in &mut self.exchanges {
                    if !entries.iter().any(|e| e.exchange_id == *exchange_id) {
                        availability.update(now, ListState::Gone);
                    }
                }
                self.update_availability(now, entries);
            }
        }
        // Forgets removed exchanges after the drain grace: memory would otherwise grow with every replaced machine.
        let grace = self.drain_grace;
        self.exchanges.retain(|_, availability| {
            !(availability.gone && availability.draining_since.is_some_and(|t| now - t > grace))
        });
        self.dispatch(now, Event::List(update));
    }

    /// A timer of the ledger expired.
    pub fn timer_expired(&mut self, now: Micros, timer: LedgerTimer) {
        match timer {
            LedgerTimer::Controller(token) => self.dispatch(now, Event::Timer(token)),
            LedgerTimer::Attempt(call, attempt) => {
                self.cancel_attempt(now, call, attempt, Ending::TimedOut);
            }
            LedgerTimer::Call(call) => {
                let Some(entry) = self.calls.get(&call) else { return };
                match entry.stage {
                    Stage::Established { .. } => return,
                    Stage::SettingUp { attempt, .. } => {
                        self.cancel_attempt(now, call, attempt, Ending::TimedOut)
                    }
                    Stage::Deciding => {}
                }
                // Needed in case the decision module holds a call past its client deadline.
                self.fail_call(now, call, AnswerReason::ClientDeadline);
            }
        }
    }

    /// Whether a timer would have no effect, because its call or attempt has ended.
    pub fn is_obsolete(&self, timer: &LedgerTimer) -> bool {
        let stage = |call| self.calls.get(call).map(|entry| entry.stage);
        match timer {
            LedgerTimer::Controller(_) => false,
            LedgerTimer::Call(call) => stage(call).is_none_or(|s| matches!(s, Stage::Established { .. })),
            LedgerTimer::Attempt(call, number) => {
                !matches!(stage(call), Some(Stage::SettingUp { attempt, .. }) if attempt == *number)
            }
        }
    }

    /// Fails a call that has no final answer yet, whatever the decision module plans for it.
    pub fn fail_call(&mut self, now: Micros, call: CallId, reason: AnswerReason) {
        if self.finish_call(call, Answer::Failed, reason) {
            self.dispatch(now, Event::CallAbandoned(call));
        }
    }

    /// Refuses all new calls from now on, whichever front end they come from.
    pub fn refuse_new_calls(&mut self, retry_after: Micros) {
        self.closed_retry_after = Some(retry_after);
    }

    /// Fails all calls that have no final answer yet.
    pub fn fail_open_calls(&mut self, now: Micros) {
        let established = |e: &CallEntry| matches!(e.stage, Stage::Established { .. });
        let open: Vec<CallId> = self.calls.iter().filter(|(_, e)| !established(e)).map(|(&c, _)| c).collect();
        open.into_iter().for_each(|call| self.fail_call(now, call, AnswerReason::Shutdown));
    }

    /// Takes the pending outputs, in the order in which they must be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- Queries ----

    /// The call as it was offered, until it ends.
    pub fn offered_call(&self, call: CallId) -> Option<&OfferedCall> {
        self.calls.get(&call).map(|e| &e.offered)
    }

    /// Number of calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.open_calls
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.calls.len() - self.open_calls
    }

    /// Counters since the start.
    pub fn counts(&self) -> &LedgerCounts {
        &self.counts
    }

    /// What operators took out of service, and the exchange list and trunk groups that this applies to.
    pub fn administrative_state(&self) -> &AdministrativeState {
        &self.administrative_state
    }

    /// Number of set-ups in progress and of established calls, by the exchange that they were sent
    /// to and by destination.
    pub fn call_loads(&self) -> BTreeMap<(ExchangeNumber, ExchangeNumber), (u32, u32)> {
        let mut loads: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        for e in self.calls.values() {
            let Some(exchange) = e.exchange else { continue };
            let route = (exchange, e.offered.new_call.destination);
            match e.stage {
                Stage::SettingUp { .. } => loads.entry(route).or_default().0 += 1,
                Stage::Established { .. } => loads.entry(route).or_default().1 += 1,
                Stage::Deciding => {}
            }
        }
        loads
    }

    /// All current calls, oldest first.
    pub fn call_views(&self) -> impl Iterator<Item = CallView> + '_ {
        self.calls.iter().map(|(&call, e)| {
            let (state, exchange, since) = match e.stage {
                Stage::Deciding => ("waits", None, e.offered_at),
                Stage::SettingUp { since, .. } => ("set-up out", e.exchange, since),
                Stage::Established { since, .. } => ("stands", e.exchange, since),
            };
            let (frontend, destination) = (e.offered.frontend, e.offered.new_call.destination);
            CallView { call, frontend, destination, state, exchange, since }
        })
    }

    // ---- Internals ----

    fn update_availability(&mut self, now: Micros, entries: &[ListEntry]) {
        for e in entries {
            self.exchanges.entry(e.exchange_id).or_default().update(now, e.state);
        }
    }

    fn dispatch(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetUp { call, exchange_id, timeout } => {
                    self.send_setup(now, call, exchange_id, timeout)
                }
                Action::SetTimer { after, token } => {
                    self.outputs.push(Output::SetTimer(now + after, LedgerTimer::Controller(token)));
                }
                Action::Refuse { call, retry_after } => {
                    self.finish_call(call, Answer::Refused { retry_after }, AnswerReason::Decided);
                }
                Action::Fail(call) => {
                    self.finish_call(call, Answer::Failed, AnswerReason::Decided);
                }
                Action::Cancel { call, attempt } => {
                    self.cancel_attempt(now, call, attempt, Ending::Cancelled);
                }
                Action::Probe(exchange_id) => self.outputs.push(Output::Probe(exchange_id)),
                Action::SendToPeer { to, body } => self.outputs.push(Output::SendToPeer { to, body }),
                Action::FetchList | Action::Subscribe => self.outputs.push(Output::FetchList),
                Action::Log(line) => self.outputs.push(Output::Log(line)),
            }
        }
    }

    /// Sends a set-up unless a rule forbids it. One that is blocked, other than as a second attempt, is reported to the
    /// decision module as not sent.
    fn send_setup(&mut self, now: Micros, call: CallId, exchange_id: ExchangeId, timeout: Option<Micros>) {
        let Some(entry) = self.calls.get_mut(&call) else {
            *self.counts.blocked.entry(BlockReason::SecondAttempt).or_default() += 1;
            return;
        };
        let attempt = AttemptNumber(entry.attempts);
        entry.attempts = entry.attempts.saturating_add(1);
        let group_out_since = self.administrative_state.group_out_since(exchange_id);
        let drained = |availability: &Availability| {
            availability
                .draining_since
                .into_iter()
                .chain(group_out_since)
                .min()
                .is_some_and(|t| now - t > self.drain_grace)
        };
        let block_reason = if entry.stage != Stage::Deciding {
            Some(BlockReason::SecondAttempt)
        } else if self.exchanges.get(&exchange_id).is_none_or(drained) {
            Some(BlockReason::Drained)
        } else if now < entry.quiet_until {
            Some(BlockReason::Quiet)
        } else if !self.administrative_state.may_carry(exchange_id, entry.offered.new_call.destination) {
            Some(BlockReason::Misrouted)
        } else {
            None
        };
        if let Some(reason) = block_reason {
            *self.counts.blocked.entry(reason).or_default() += 1;
            if reason != BlockReason::SecondAttempt {
                let (ending, cause) = (Ending::NotSent, Cause::None);
                let report = LoadReport::default();
                let outcome = Outcome {
                    call,
                    attempt,
                    exchange_id,
                    ending,
                    cause,
                    elapsed: 0,
                    call_ended: false,
                    report,
                };
                self.dispatch(now, Event::Ended(outcome));
            }
            return;
        }
        let latest = entry.deadline - ATTEMPT_MARGIN;
        let expires_at = timeout.map_or(latest, |t| latest.min(now + t.max(0)));
        entry.stage = Stage::SettingUp { attempt, exchange_id, since: now };
        entry.exchange = self.administrative_state.exchange_of(exchange_id);
        self.counts.attempts += 1;
        self.outputs.push(Output::SetUp { call, attempt, exchange_id, timeout: (expires_at - now).max(0) });
        self.outputs.push(Output::SetTimer(expires_at, LedgerTimer::Attempt(call, attempt)));
    }

    /// Ends an attempt in progress from this side.
    fn cancel_attempt(&mut self, now: Micros, call: CallId, attempt: AttemptNumber, ending: Ending) {
        let Some(entry) = self.calls.get(&call) else { return };
        let Stage::SettingUp { attempt: current, exchange_id, .. } = entry.stage else { return };
        if current == attempt {
            self.outputs.push(Output::Clear { call, attempt, exchange_id });
            self.attempt_ended(now, call, attempt, (ending, Cause::None), LoadReport::default());
        }
    }

    /// Gives an open call its final answer, other than established; the only place that does so. Returns
    /// false if the call has been answered or has ended already.
    fn finish_call(&mut self, call: CallId, answer: Answer, reason: AnswerReason) -> bool {
        let Some(entry) = self.calls.get(&call) else { return false };
        match entry.stage {
            Stage::Established { .. } => return false,
            Stage::SettingUp { attempt, exchange_id, .. } => {
                self.outputs.push(Output::Clear { call, attempt, exchange_id })
            }
            Stage::Deciding => {}
        }
        match answer {
            Answer::Refused { .. } => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        self.outputs.push(entry.answer(call, answer, reason));
        self.calls.remove(&call);
        self.open_calls -= 1;
        true
    }
}

/// The name of an ending in the counters `attempts.*`.
pub fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Completed => "completed",
        Ending::Fault => "fault",
        Ending::Full => "full",
        Ending::TimedOut => "timed_out",
        Ending::Unreachable => "unreachable",
        Ending::Reset => "reset",
        Ending::Cancelled => "called_off",
        Ending::NotSent => "not_sent",
    }
}

#[cfg(test)]
#[path = "ledger_test.rs"]
mod tests;
