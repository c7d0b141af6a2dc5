//! The call ledger: owns every call from its acceptance to its one final answer and, if it stands, to its
//! release. It drives the decision module and keeps the rules whatever front a call came in by.
//!
//! Each rule has one place: one final answer ([`Ledger::finish_call`]), one attempt out, the drain limit and the
//! quiet period ([`Ledger::send_set_up`]).

use super::administrative_state::AdministrativeState;
use super::control::Controller;
use super::interface::*;
use crate::fault_injection::{fault_injected, InjectedFault};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An attempt ends this long before its caller gives up, so that the final answer is still in time (µs).
const ATTEMPT_MARGIN: Micros = 10_000;
/// A call without an answer is failed this long before its caller gives up, whatever the module says (µs).
const ANSWER_MARGIN: Micros = 5_000;

/// The front a call came in by; means nothing to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FrontendId(pub u8);

/// A session description, carried unchanged from one side to the other.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct SessionDescription(pub Rc<str>);

/// A call as a front offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedCall {
    /// The front that is owed the answer.
    pub frontend: FrontendId,
    /// What the module is told; the ledger gives it its id.
    pub new_call: NewCall,
    /// The caller's description.
    pub description: Option<SessionDescription>,
}

/// The one final answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It stands, with the description that the far side gave.
    Established(Option<SessionDescription>),
    /// Refused: trying again is harmless, after the pause.
    Refused {
        /// How long the caller ought to keep away; 0: no advice.
        retry_after: Micros,
    },
    /// Failed.
    Failed,
}

/// Why a call got its final answer, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// An exchange answered the set-up.
    Answered,
    /// The decision module decided so.
    Decided,
    /// The caller is about to give up.
    ClientDeadline,
    /// The caller's connection is being ended.
    ConnectionEnding,
    /// The program stops.
    Shutdown,
}

/// What a deadline of the ledger is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerTimer {
    /// A timer that the module asked for.
    Controller(u64),
    /// The time of an attempt is up.
    Attempt(CallId, AttemptNo),
    /// The caller is about to give up.
    Call(CallId),
}

/// What is to be done on a wire.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a set-up; [`Ledger::offered_call`] has the call's particulars.
    SetUp {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where to.
        office: OfficeId,
        /// How long it will be waited for.
        wait: Micros,
    },
    /// Give up a set-up that is out, or release a call that stands.
    Clear {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNo,
        /// Where it went.
        office: OfficeId,
    },
    /// Give the caller its final answer.
    Answer {
        /// The front it is owed to.
        frontend: FrontendId,
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
        /// Why.
        reason: AnswerReason,
        /// When the call was taken.
        offered_at: Micros,
        /// Where it goes.
        destination: ExchangeNo,
        /// The last set-up, if one was sent.
        last_attempt: Option<LastAttempt>,
    },
    /// A set-up ended without the call's standing; nothing is to be done about it on a wire.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The exchange that it went to, if it was on the list.
        exchange: Option<ExchangeNo>,
        /// How.
        ending: Ending,
        /// Why.
        cause: Cause,
    },
    /// Tell the caller that a call that stood is over.
    Release {
        /// The front.
        frontend: FrontendId,
        /// The call.
        call: CallId,
        /// It did not come to its end by itself.
        cut: bool,
    },
    /// Check an office.
    Probe(OfficeId),
    /// Send bytes to one peer, or to all.
    SendToPeer {
        /// To whom; `None`: to all.
        to: Option<PeerNo>,
        /// The bytes.
        body: Vec<u8>,
    },
    /// Ask for the list anew.
    FetchList,
    /// A line for the log.
    Log(String),
    /// Come back at this time.
    SetTimer(Micros, LedgerTimer),
}

/// The last set-up of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LastAttempt {
    /// The exchange that it went to, if it was on the list.
    pub exchange: Option<ExchangeNo>,
    /// How long it was out.
    pub setup_time: Micros,
    /// How it ended; `None`: the call stands.
    pub failure: Option<(Ending, Cause)>,
}

/// Why the ledger held back what the module asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BlockReason {
    /// Another attempt of the call is out, or the call is over.
    SecondAttempt,
    /// The office drains or is gone, or the group toward it is withdrawn, for longer than the grace.
    Drained,
    /// The quiet period after an unclear end has not passed.
    Quiet,
}

/// What the ledger has counted since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerCounts {
    /// Calls taken.
    pub offered: u64,
    /// Calls that stood.
    pub established: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Callers that left before an answer.
    pub abandoned: u64,
    /// Set-ups sent.
    pub attempts: u64,
    /// Set-ups by the way they ended.
    pub endings: BTreeMap<&'static str, u64>,
    /// Set-ups held back to keep a rule.
    pub blocked: BTreeMap<BlockReason, u64>,
    /// Calls that stood and were cut.
    pub cut: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// With the module: nothing is out.
    Deciding,
    /// A set-up is out.
    SettingUp { attempt: AttemptNo, office: OfficeId, since: Micros },
    /// It stands.
    Established { attempt: AttemptNo, office: OfficeId, since: Micros },
}

#[derive(Debug)]
struct CallEntry {
    offered: OfferedCall,
    offered_at: Micros,
    deadline: Micros,
    stage: Stage,
    attempts: u8,
    quiet_until: Micros,
    /// The exchange that the last set-up went to.
    exchange: Option<ExchangeNo>,
    last_attempt: Option<LastAttempt>,
}

/// What the list has told of an office.
#[derive(Clone, Copy, Debug, Default)]
struct Availability {
    /// When it was told to drain, or to be gone.
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

/// A line about one call, for the console.
#[derive(Clone, Debug, PartialEq)]
pub struct CallView {
    /// The call.
    pub call: CallId,
    /// Its front.
    pub frontend: FrontendId,
    /// Where it goes.
    pub destination: ExchangeNo,
    /// What it is doing.
    pub doing: &'static str,
    /// The exchange that its set-up went to, while one is out or stands.
    pub exchange: Option<ExchangeNo>,
    /// Since when.
    pub since: Micros,
}

/// The ledger and the decision module in it.
#[derive(Debug)]
pub struct Ledger {
    controller: Controller,
    shortest_latency_objective: Micros,
    quiet_period: Micros,
    drain_grace: Micros,
    calls: BTreeMap<CallId, CallEntry>,
    /// The offices on the list; nothing is sent to one that is not here.
    offices: BTreeMap<OfficeId, Availability>,
    /// What operators took out of service.
    administrative_state: AdministrativeState,
    next_call_id: u32,
    outputs: Vec<Output>,
    counts: LedgerCounts,
    /// Calls not yet answered.
    open_calls: usize,
    /// New calls are refused, with this pause.
    closed_retry_after: Option<Micros>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Ledger {
            shortest_latency_objective: settings
                .classes
                .iter()
                .map(|c| c.aim)
                .min()
                .unwrap_or(1_000_000)
                .max(1),
            quiet_period: if fault_injected(InjectedFault::RetryInQuietPeriod) {
                0
            } else {
                settings.release
            },
            drain_grace: settings.drain_grace,
            administrative_state: AdministrativeState::new(settings.cold),
            controller: Controller::new(settings, seed),
            calls: BTreeMap::new(),
            offices: BTreeMap::new(),
            next_call_id: 0,
            outputs: Vec::new(),
            counts: LedgerCounts::default(),
            open_calls: 0,
            closed_retry_after: None,
        }
    }

    // ---- What fronts and wires tell ----

    /// Takes a call. From here on it is owed one final answer.
    pub fn offer(&mut self, now: Micros, mut offered: OfferedCall) -> CallId {
        let call = CallId(self.next_call_id);
        self.next_call_id = self.next_call_id.wrapping_add(1);
        offered.new_call.call = call;
        let new_call = offered.new_call.clone();
        let deadline = now.saturating_add(new_call.patience.max(0));
        let entry = CallEntry {
            offered,
            offered_at: now,
            deadline,
            stage: Stage::Deciding,
            attempts: 0,
            quiet_until: new_call.not_before,
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

    /// The caller gave its set-up up, or released its call.
    pub fn caller_left(&mut self, now: Micros, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else { return };
        match entry.stage {
            Stage::Deciding => {}
            Stage::SettingUp { attempt, office, .. } | Stage::Established { attempt, office, .. } => {
                self.outputs.push(Output::Clear { call, attempt, office });
            }
        }
        if !matches!(entry.stage, Stage::Established { .. }) {
            self.open_calls -= 1;
            self.counts.abandoned += 1;
            self.dispatch(now, Event::CallerGone(call));
        }
    }

    /// The set-up that is out was answered. Whether the answer was wanted: one for an attempt that is over
    /// must be released by the wire that brought it.
    pub fn attempt_answered(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNo,
        text: Option<SessionDescription>,
    ) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let Stage::SettingUp { attempt: out, office, since } = entry.stage else { return false };
        if out != attempt {
            return false;
        }
        entry.stage = Stage::Established { attempt, office, since: now };
        entry.last_attempt =
            Some(LastAttempt { exchange: entry.exchange, setup_time: now - since, failure: None });
        let answer = Answer::Established(text);
        let output = entry.answer(call, answer, AnswerReason::Answered);
        self.open_calls -= 1;
        self.counts.established += 1;
        self.outputs.push(output);
        self.dispatch(now, Event::Stands { call, attempt, office, took: now - since });
        true
    }

    /// An attempt ended on its wire, or a call that stood is over.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNo,
        result: (Ending, Cause),
        report: LoadReport,
    ) {
        let (ending, cause) = result;
        let Some(entry) = self.calls.get_mut(&call) else { return };
        let (office, since, over) = match entry.stage {
            Stage::SettingUp { attempt: out, office, since } if out == attempt => (office, since, false),
            Stage::Established { attempt: out, office, since } if out == attempt => (office, since, true),
            _ => return,
        };
        if over {
            let frontend = entry.offered.frontend;
            self.calls.remove(&call);
            let cut = ending != Ending::Completed;
            self.counts.cut += u64::from(cut);
            self.outputs.push(Output::Release { frontend, call, cut });
        } else {
            entry.stage = Stage::Deciding;
            if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::CalledOff) {
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
        let took = now - since;
        let report = self.administrative_state.apply_report(now, office, report);
        let outcome = Outcome { call, attempt, office, ending, cause, took, over, report };
        self.dispatch(now, Event::Ended(outcome));
    }

    /// Figures of an office or of the group toward it.
    pub fn group_report(&mut self, now: Micros, office: OfficeId, report: LoadReport) {
        let report = self.administrative_state.apply_report(now, office, report);
        self.dispatch(now, Event::Group { office, report });
    }

    /// Operators took this out of service, and nothing else. Set-ups may go there until the grace is over.
    pub fn out_of_service_changed(&mut self, now: Micros, out_of_service: OutOfService) {
        let changes = self.administrative_state.set_out_of_service(now, out_of_service.clone());
        if !changes.entries.is_empty() {
            self.update_availability(now, &changes.entries);
            self.dispatch(now, Event::List(ListNews::Changes(changes.entries.into())));
        }
        for (office, report) in changes.groups {
            self.dispatch(now, Event::Group { office, report });
        }
        self.dispatch(now, Event::OutOfService(out_of_service));
    }

    /// These exchanges are suspected of taking set-ups and answering none, and no others.
    pub fn suspected_changed(&mut self, now: Micros, suspected: BTreeSet<ExchangeNo>) {
        self.dispatch(now, Event::Suspected(suspected));
    }

    /// How pressed the own processor is: its wait as a share of the shortest aim's two fifths.
    pub fn processor_load(&self, now: Micros) -> f64 {
        self.controller.own_delay(now) / (0.4 * self.shortest_latency_objective as f64)
    }

    /// Brings groups that were withdrawn back little by little; to be called now and then.
    pub fn ramp_restored_groups(&mut self, now: Micros) {
        for (office, report) in self.administrative_state.ramping_groups(now) {
            self.dispatch(now, Event::Group { office, report });
        }
    }

    /// Releases the calls that stand and that `which` picks by their first leg and destination, towards both sides.
    pub fn cut_calls(&mut self, now: Micros, which: impl Fn(Option<ExchangeNo>, ExchangeNo) -> bool) {
        let selected = |(&call, e): (&CallId, &CallEntry)| match e.stage {
            Stage::Established { attempt, office, .. }
                if which(e.exchange, e.offered.new_call.destination) =>
            {
                Some((call, attempt, office))
            }
            _ => None,
        };
        let found: Vec<_> = self.calls.iter().filter_map(selected).collect();
        for (call, attempt, office) in found {
            self.outputs.push(Output::Clear { call, attempt, office });
            self.attempt_ended(now, call, attempt, (Ending::Reset, Cause::None), LoadReport::default());
        }
    }

    /// A probe got no good answer.
    pub fn probe_failed(&mut self, now: Micros, office: OfficeId) {
        self.dispatch(now, Event::ProbeFailed(office));
    }

    /// A message from a peer.
    pub fn peer_message(&mut self, now: Micros, from: PeerNo, body: Vec<u8>) {
        self.dispatch(now, Event::Peer { from, body });
    }

    /// News of the list of offices.
    pub fn list_update(&mut self, now: Micros, news: ListNews) {
        let news = self.administrative_state.apply_list(news);
        match &news {
            ListNews::Failed => {}
            ListNews::Changes(entries) => self.update_availability(now, entries),
            ListNews::Complete(entries) | ListNews::Cached(entries) => {
                for (office, availability) in &mut self.offices {
                    if !entries.iter().any(|e| e.office == *office) {
                        availability.update(now, ListState::Gone);
                    }
                }
                self.update_availability(now, entries);
            }
        }
        // Guards memory against machines that are replaced for ever.
        let grace = self.drain_grace;
        self.offices.retain(|_, availability| {
            !(availability.gone && availability.draining_since.is_some_and(|t| now - t > grace))
        });
        self.dispatch(now, Event::List(news));
    }

    /// A deadline of this ledger has come.
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
                // Guards against a module that holds a call past its caller's patience.
                self.fail_call(now, call, AnswerReason::ClientDeadline);
            }
        }
    }

    /// Fails a call that is still open, whatever the module would do with it.
    pub fn fail_call(&mut self, now: Micros, call: CallId, reason: AnswerReason) {
        if self.finish_call(call, Answer::Failed, reason) {
            self.dispatch(now, Event::CallerGone(call));
        }
    }

    /// From now on new calls are refused at once, whatever front they come in by.
    pub fn refuse_new_calls(&mut self, retry_after: Micros) {
        self.closed_retry_after = Some(retry_after);
    }

    /// Fails all calls that are still open.
    pub fn fail_open_calls(&mut self, now: Micros) {
        let established = |e: &CallEntry| matches!(e.stage, Stage::Established { .. });
        let open: Vec<CallId> = self.calls.iter().filter(|(_, e)| !established(e)).map(|(&c, _)| c).collect();
        open.into_iter().for_each(|call| self.fail_call(now, call, AnswerReason::Shutdown));
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    // ---- What may be asked ----

    /// The call as it was offered, while it is open or stands.
    pub fn offered_call(&self, call: CallId) -> Option<&OfferedCall> {
        self.calls.get(&call).map(|e| &e.offered)
    }

    /// Calls that are owed an answer.
    pub fn open_calls(&self) -> usize {
        self.open_calls
    }

    /// Calls that stand.
    pub fn established_calls(&self) -> usize {
        self.calls.len() - self.open_calls
    }

    /// Counts since the start.
    pub fn counts(&self) -> &LedgerCounts {
        &self.counts
    }

    /// What operators took out of service, and the list and groups that it lies over.
    pub fn administrative_state(&self) -> &AdministrativeState {
        &self.administrative_state
    }

    /// Set-ups that are out and calls that stand, by first leg and destination.
    pub fn call_loads(&self) -> BTreeMap<(ExchangeNo, ExchangeNo), (u32, u32)> {
        let mut loads: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        for e in self.calls.values() {
            let Some(exchange) = e.exchange else { continue };
            let at = (exchange, e.offered.new_call.destination);
            match e.stage {
                Stage::SettingUp { .. } => loads.entry(at).or_default().0 += 1,
                Stage::Established { .. } => loads.entry(at).or_default().1 += 1,
                Stage::Deciding => {}
            }
        }
        loads
    }

    /// The calls held, oldest first.
    pub fn call_views(&self) -> impl Iterator<Item = CallView> + '_ {
        self.calls.iter().map(|(&call, e)| {
            let (doing, exchange, since) = match e.stage {
                Stage::Deciding => ("waits", None, e.offered_at),
                Stage::SettingUp { since, .. } => ("set-up out", e.exchange, since),
                Stage::Established { since, .. } => ("stands", e.exchange, since),
            };
            let (frontend, destination) = (e.offered.frontend, e.offered.new_call.destination);
            CallView { call, frontend, destination, doing, exchange, since }
        })
    }

    // ---- Within ----

    fn update_availability(&mut self, now: Micros, entries: &[ListEntry]) {
        for e in entries {
            self.offices.entry(e.office).or_default().update(now, e.state);
        }
    }

    fn dispatch(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetUp { call, office, timeout } => self.send_set_up(now, call, office, timeout),
                Action::SetTimer { after, token } => {
                    self.outputs.push(Output::SetTimer(now + after, LedgerTimer::Controller(token)));
                }
                Action::Refuse { call, pause } => {
                    self.finish_call(call, Answer::Refused { retry_after: pause }, AnswerReason::Decided);
                }
                Action::Fail(call) => {
                    self.finish_call(call, Answer::Failed, AnswerReason::Decided);
                }
                Action::CallOff { call, attempt } => {
                    self.cancel_attempt(now, call, attempt, Ending::CalledOff);
                }
                Action::Probe(office) => self.outputs.push(Output::Probe(office)),
                Action::Tell { to, body } => self.outputs.push(Output::SendToPeer { to, body }),
                Action::FetchList | Action::Subscribe => self.outputs.push(Output::FetchList),
                Action::Log(line) => self.outputs.push(Output::Log(line)),
            }
        }
    }

    /// Sends a set-up, unless a rule forbids it: then the module learns that it was not sent.
    fn send_set_up(&mut self, now: Micros, call: CallId, office: OfficeId, timeout: Option<Micros>) {
        let Some(entry) = self.calls.get_mut(&call) else {
            *self.counts.blocked.entry(BlockReason::SecondAttempt).or_default() += 1;
            return;
        };
        let attempt = AttemptNo(entry.attempts);
        entry.attempts = entry.attempts.saturating_add(1);
        let group_out_since = self.administrative_state.group_out_since(office);
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
        } else if self.offices.get(&office).is_none_or(drained) {
            Some(BlockReason::Drained)
        } else if now < entry.quiet_until {
            Some(BlockReason::Quiet)
        } else {
            None
        };
        if let Some(reason) = block_reason {
            *self.counts.blocked.entry(reason).or_default() += 1;
            if reason != BlockReason::SecondAttempt {
                let (ending, cause) = (Ending::NotSent, Cause::None);
                let report = LoadReport::default();
                let o = Outcome { call, attempt, office, ending, cause, took: 0, over: false, report };
                self.dispatch(now, Event::Ended(o));
            }
            return;
        }
        let last = entry.deadline - ATTEMPT_MARGIN;
        let until = timeout.map_or(last, |t| last.min(now + t.max(0)));
        entry.stage = Stage::SettingUp { attempt, office, since: now };
        entry.exchange = self.administrative_state.exchange_of(office);
        self.counts.attempts += 1;
        self.outputs.push(Output::SetUp { call, attempt, office, wait: (until - now).max(0) });
        self.outputs.push(Output::SetTimer(until, LedgerTimer::Attempt(call, attempt)));
    }

    /// Gives a set-up up from this side.
    fn cancel_attempt(&mut self, now: Micros, call: CallId, attempt: AttemptNo, ending: Ending) {
        let Some(entry) = self.calls.get(&call) else { return };
        let Stage::SettingUp { attempt: out, office, .. } = entry.stage else { return };
        if out == attempt {
            self.outputs.push(Output::Clear { call, attempt, office });
            self.attempt_ended(now, call, attempt, (ending, Cause::None), LoadReport::default());
        }
    }

    /// The one place where an unanswered call gets its final answer, other than standing.
    fn finish_call(&mut self, call: CallId, answer: Answer, reason: AnswerReason) -> bool {
        let Some(entry) = self.calls.get(&call) else { return false };
        match entry.stage {
            Stage::Established { .. } => return false,
            Stage::SettingUp { attempt, office, .. } => {
                self.outputs.push(Output::Clear { call, attempt, office })
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

/// The name of an ending, for counters.
pub fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Completed => "completed",
        Ending::Fault => "fault",
        Ending::Full => "full",
        Ending::TimedOut => "timed_out",
        Ending::Unreachable => "unreachable",
        Ending::Reset => "reset",
        Ending::CalledOff => "called_off",
        Ending::NotSent => "not_sent",
    }
}
