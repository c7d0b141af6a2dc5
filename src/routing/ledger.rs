//! The call ledger: owns every call from its acceptance to its one final answer and, if it stands, to its
//! release. It drives the decision module and keeps the rules whatever front a call came in by.
//!
//! Each rule has one place: one final answer ([`Ledger::finish`]), one attempt out, the drain limit and the
//! quiet period ([`Ledger::start`]).

use super::control::Controller;
use super::interface::*;
use super::withdrawals::Withdrawals;
use crate::planted::{planted, Planted};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// An attempt ends this long before its caller gives up, so that the final answer is still in time (µs).
const ATTEMPT_EARLY: Micros = 10_000;
/// A call without an answer is failed this long before its caller gives up, whatever the module says (µs).
const ANSWER_EARLY: Micros = 5_000;

/// The front a call came in by; means nothing to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FrontId(pub u8);

/// A session description, carried unchanged from one side to the other.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Description(pub Rc<str>);

/// A call as a front offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The front that is owed the answer.
    pub front: FrontId,
    /// What the module is told; the ledger gives it its id.
    pub ask: NewCall,
    /// The caller's description.
    pub description: Option<Description>,
}

/// The one final answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It stands, with the description that the far side gave.
    Stands(Option<Description>),
    /// Refused: trying again is harmless, after the pause.
    Refused {
        /// How long the caller ought to keep away; 0: no advice.
        pause: Micros,
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
pub enum LedgerDue {
    /// A timer that the module asked for.
    Module(u64),
    /// The time of an attempt is up.
    Attempt(CallId, AttemptNumber),
    /// The caller is about to give up.
    Call(CallId),
}

/// What is to be done on a wire.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a set-up; [`Ledger::offer_of`] has the call's particulars.
    SetUp {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where to.
        office: ExchangeId,
        /// How long it will be waited for.
        wait: Micros,
    },
    /// Give up a set-up that is out, or release a call that stands.
    Clear {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it went.
        office: ExchangeId,
    },
    /// Give the caller its final answer.
    Answer {
        /// The front it is owed to.
        front: FrontId,
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
        /// Why.
        reason: AnswerReason,
        /// When the call was taken.
        taken: Micros,
        /// Where it goes.
        destination: ExchangeNumber,
        /// The last set-up, if one was sent.
        last: Option<Last>,
    },
    /// A set-up ended without the call's standing; nothing is to be done about it on a wire.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The exchange that it went to, if it was on the list.
        leg: Option<ExchangeNumber>,
        /// How.
        ending: Ending,
        /// Why.
        cause: Cause,
    },
    /// Tell the caller that a call that stood is over.
    Release {
        /// The front.
        front: FrontId,
        /// The call.
        call: CallId,
        /// It did not come to its end by itself.
        cut: bool,
    },
    /// Check an office.
    Probe(ExchangeId),
    /// Send bytes to one peer, or to all.
    Tell {
        /// To whom; `None`: to all.
        to: Option<PeerNumber>,
        /// The bytes.
        body: Vec<u8>,
    },
    /// Ask for the list anew.
    FetchList,
    /// A line for the log.
    Log(String),
    /// Come back at this time.
    Wake(Micros, LedgerDue),
}

/// The last set-up of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Last {
    /// The exchange that it went to, if it was on the list.
    pub leg: Option<ExchangeNumber>,
    /// How long it was out.
    pub took: Micros,
    /// How it ended; `None`: the call stands.
    pub how: Option<(Ending, Cause)>,
}

/// Why the ledger held back what the module asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeldBack {
    /// Another attempt of the call is out, or the call is over.
    SecondAttempt,
    /// The office drains or is gone, or the group toward it is withdrawn, for longer than the grace.
    Drained,
    /// The quiet period after an unclear end has not passed.
    Quiet,
}

/// What the ledger has counted since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Calls taken.
    pub offered: u64,
    /// Calls that stood.
    pub stood: u64,
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
    pub held_back: BTreeMap<HeldBack, u64>,
    /// Calls that stood and were cut.
    pub cut: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// With the module: nothing is out.
    Deciding,
    /// A set-up is out.
    Out { attempt: AttemptNumber, office: ExchangeId, since: Micros },
    /// It stands.
    Standing { attempt: AttemptNumber, office: ExchangeId, since: Micros },
}

#[derive(Debug)]
struct Entry {
    offer: Offer,
    taken: Micros,
    deadline: Micros,
    stage: Stage,
    attempts: u8,
    quiet_until: Micros,
    /// The exchange that the last set-up went to.
    leg: Option<ExchangeNumber>,
    last: Option<Last>,
}

/// What the list has told of an office.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// When it was told to drain, or to be gone.
    drains: Option<Micros>,
    gone: bool,
}

impl Told {
    fn note(&mut self, now: Micros, state: ListState) {
        self.drains = match state {
            ListState::Ready => None,
            ListState::Draining | ListState::Gone => self.drains.or(Some(now)),
        };
        self.gone = state == ListState::Gone;
    }
}

impl Entry {
    fn answer(&self, call: CallId, answer: Answer, reason: AnswerReason) -> Output {
        let (front, destination) = (self.offer.front, self.offer.ask.destination);
        Output::Answer { front, call, answer, reason, taken: self.taken, destination, last: self.last }
    }
}

/// A line about one call, for the console.
#[derive(Clone, Debug, PartialEq)]
pub struct CallView {
    /// The call.
    pub call: CallId,
    /// Its front.
    pub front: FrontId,
    /// Where it goes.
    pub destination: ExchangeNumber,
    /// What it is doing.
    pub doing: &'static str,
    /// The exchange that its set-up went to, while one is out or stands.
    pub leg: Option<ExchangeNumber>,
    /// Since when.
    pub since: Micros,
}

/// The ledger and the decision module in it.
#[derive(Debug)]
pub struct Ledger {
    controller: Controller,
    shortest_aim: Micros,
    release: Micros,
    drain_grace: Micros,
    calls: BTreeMap<CallId, Entry>,
    /// The offices on the list; nothing is sent to one that is not here.
    offices: BTreeMap<ExchangeId, Told>,
    /// What operators took out of service.
    withdrawals: Withdrawals,
    next: u32,
    out: Vec<Output>,
    tally: Tally,
    /// Calls not yet answered.
    open: usize,
    /// New calls are refused, with this pause.
    closed: Option<Micros>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Ledger {
            shortest_aim: settings
                .classes
                .iter()
                .map(|c| c.latency_objective)
                .min()
                .unwrap_or(1_000_000)
                .max(1),
            release: if planted(Planted::RetryInQuietPeriod) { 0 } else { settings.quiet_period },
            drain_grace: settings.drain_grace,
            withdrawals: Withdrawals::new(settings.cold_start_period),
            controller: Controller::new(settings, seed),
            calls: BTreeMap::new(),
            offices: BTreeMap::new(),
            next: 0,
            out: Vec::new(),
            tally: Tally::default(),
            open: 0,
            closed: None,
        }
    }

    // ---- What fronts and wires tell ----

    /// Takes a call. From here on it is owed one final answer.
    pub fn offer(&mut self, now: Micros, mut offer: Offer) -> CallId {
        let call = CallId(self.next);
        self.next = self.next.wrapping_add(1);
        offer.ask.call = call;
        let ask = offer.ask.clone();
        let deadline = now.saturating_add(ask.remaining_time.max(0));
        let entry = Entry {
            offer,
            taken: now,
            deadline,
            stage: Stage::Deciding,
            attempts: 0,
            quiet_until: ask.earliest_attempt,
            last: None,
            leg: None,
        };
        self.calls.insert(call, entry);
        self.tally.offered += 1;
        self.open += 1;
        if let Some(pause) = self.closed {
            self.finish(call, Answer::Refused { pause }, AnswerReason::Shutdown);
            return call;
        }
        self.out.push(Output::Wake(deadline - ANSWER_EARLY, LedgerDue::Call(call)));
        self.drive(now, Event::Call(ask));
        call
    }

    /// The caller gave its set-up up, or released its call.
    pub fn caller_left(&mut self, now: Micros, call: CallId) {
        let Some(entry) = self.calls.remove(&call) else { return };
        match entry.stage {
            Stage::Deciding => {}
            Stage::Out { attempt, office, .. } | Stage::Standing { attempt, office, .. } => {
                self.out.push(Output::Clear { call, attempt, office });
            }
        }
        if !matches!(entry.stage, Stage::Standing { .. }) {
            self.open -= 1;
            self.tally.abandoned += 1;
            self.drive(now, Event::CallAbandoned(call));
        }
    }

    /// The set-up that is out was answered. Whether the answer was wanted: one for an attempt that is over
    /// must be released by the wire that brought it.
    pub fn answered(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNumber,
        text: Option<Description>,
    ) -> bool {
        let Some(entry) = self.calls.get_mut(&call) else { return false };
        let Stage::Out { attempt: out, office, since } = entry.stage else { return false };
        if out != attempt {
            return false;
        }
        entry.stage = Stage::Standing { attempt, office, since: now };
        entry.last = Some(Last { leg: entry.leg, took: now - since, how: None });
        let answer = Answer::Stands(text);
        let output = entry.answer(call, answer, AnswerReason::Answered);
        self.open -= 1;
        self.tally.stood += 1;
        self.out.push(output);
        self.drive(now, Event::Established { call, attempt, exchange_id: office, setup_time: now - since });
        true
    }

    /// An attempt ended on its wire, or a call that stood is over.
    pub fn ended(
        &mut self,
        now: Micros,
        call: CallId,
        attempt: AttemptNumber,
        how: (Ending, Cause),
        report: LoadReport,
    ) {
        let (ending, cause) = how;
        let Some(entry) = self.calls.get_mut(&call) else { return };
        let (office, since, over) = match entry.stage {
            Stage::Out { attempt: out, office, since } if out == attempt => (office, since, false),
            Stage::Standing { attempt: out, office, since } if out == attempt => (office, since, true),
            _ => return,
        };
        if over {
            let front = entry.offer.front;
            self.calls.remove(&call);
            let cut = ending != Ending::Completed;
            self.tally.cut += u64::from(cut);
            self.out.push(Output::Release { front, call, cut });
        } else {
            entry.stage = Stage::Deciding;
            if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
                entry.quiet_until = now + self.release;
            }
            *self.tally.endings.entry(ending_name(ending)).or_default() += 1;
            entry.last = Some(Last { leg: entry.leg, took: now - since, how: Some((ending, cause)) });
            self.out.push(Output::AttemptEnded { call, leg: entry.leg, ending, cause });
        }
        let took = now - since;
        let report = self.withdrawals.report(now, office, report);
        let outcome = Outcome {
            call,
            attempt,
            exchange_id: office,
            ending,
            cause,
            elapsed: took,
            call_ended: over,
            report,
        };
        self.drive(now, Event::Ended(outcome));
    }

    /// Figures of an office or of the group toward it.
    pub fn group(&mut self, now: Micros, office: ExchangeId, report: LoadReport) {
        let report = self.withdrawals.report(now, office, report);
        self.drive(now, Event::GroupReport { exchange_id: office, report });
    }

    /// Operators took this out of service, and nothing else. Set-ups may go there until the grace is over.
    pub fn withdraw(&mut self, now: Micros, withdrawn: OutOfService) {
        let changes = self.withdrawals.set(now, withdrawn.clone());
        if !changes.entries.is_empty() {
            self.note_states(now, &changes.entries);
            self.drive(now, Event::List(ListUpdate::Changes(changes.entries.into())));
        }
        for (office, report) in changes.groups {
            self.drive(now, Event::GroupReport { exchange_id: office, report });
        }
        self.drive(now, Event::OutOfService(withdrawn));
    }

    /// These exchanges are suspected of taking set-ups and answering none, and no others.
    pub fn suspect(&mut self, now: Micros, suspected: BTreeSet<ExchangeNumber>) {
        self.drive(now, Event::Suspected(suspected));
    }

    /// How pressed the own processor is: its wait as a share of the shortest aim's two fifths.
    pub fn pressed(&self, now: Micros) -> f64 {
        self.controller.own_delay(now) / (0.4 * self.shortest_aim as f64)
    }

    /// Brings groups that were withdrawn back little by little; to be called now and then.
    pub fn reopen(&mut self, now: Micros) {
        for (office, report) in self.withdrawals.reopening(now) {
            self.drive(now, Event::GroupReport { exchange_id: office, report });
        }
    }

    /// Releases the calls that stand and that `which` picks by their first leg and destination, towards both sides.
    pub fn cut(&mut self, now: Micros, which: impl Fn(Option<ExchangeNumber>, ExchangeNumber) -> bool) {
        let of = |(&call, e): (&CallId, &Entry)| match e.stage {
            Stage::Standing { attempt, office, .. } if which(e.leg, e.offer.ask.destination) => {
                Some((call, attempt, office))
            }
            _ => None,
        };
        let found: Vec<_> = self.calls.iter().filter_map(of).collect();
        for (call, attempt, office) in found {
            self.out.push(Output::Clear { call, attempt, office });
            self.ended(now, call, attempt, (Ending::Reset, Cause::None), LoadReport::default());
        }
    }

    /// A probe got no good answer.
    pub fn probe_failed(&mut self, now: Micros, office: ExchangeId) {
        self.drive(now, Event::ProbeFailed(office));
    }

    /// A message from a peer.
    pub fn peer(&mut self, now: Micros, from: PeerNumber, body: Vec<u8>) {
        self.drive(now, Event::PeerMessage { from, body });
    }

    /// News of the list of offices.
    pub fn list(&mut self, now: Micros, news: ListUpdate) {
        let news = self.withdrawals.list(news);
        match &news {
            ListUpdate::Failed => {}
            ListUpdate::Changes(entries) => self.note_states(now, entries),
            ListUpdate::Complete(entries) | ListUpdate::Cached(entries) => {
                for (office, told) in &mut self.offices {
                    if !entries.iter().any(|e| e.exchange_id == *office) {
                        told.note(now, ListState::Gone);
                    }
                }
                self.note_states(now, entries);
            }
        }
        // Guards memory against machines that are replaced for ever.
        let grace = self.drain_grace;
        self.offices.retain(|_, told| !(told.gone && told.drains.is_some_and(|t| now - t > grace)));
        self.drive(now, Event::List(news));
    }

    /// A deadline of this ledger has come.
    pub fn due(&mut self, now: Micros, due: LedgerDue) {
        match due {
            LedgerDue::Module(token) => self.drive(now, Event::Timer(token)),
            LedgerDue::Attempt(call, attempt) => {
                self.stop_attempt(now, call, attempt, Ending::TimedOut);
            }
            LedgerDue::Call(call) => {
                let Some(entry) = self.calls.get(&call) else { return };
                match entry.stage {
                    Stage::Standing { .. } => return,
                    Stage::Out { attempt, .. } => self.stop_attempt(now, call, attempt, Ending::TimedOut),
                    Stage::Deciding => {}
                }
                // Guards against a module that holds a call past its caller's patience.
                self.fail(now, call, AnswerReason::ClientDeadline);
            }
        }
    }

    /// Fails a call that is still open, whatever the module would do with it.
    pub fn fail(&mut self, now: Micros, call: CallId, reason: AnswerReason) {
        if self.finish(call, Answer::Failed, reason) {
            self.drive(now, Event::CallAbandoned(call));
        }
    }

    /// From now on new calls are refused at once, whatever front they come in by.
    pub fn close(&mut self, pause: Micros) {
        self.closed = Some(pause);
    }

    /// Fails all calls that are still open.
    pub fn fail_open(&mut self, now: Micros) {
        let stands = |e: &Entry| matches!(e.stage, Stage::Standing { .. });
        let open: Vec<CallId> = self.calls.iter().filter(|(_, e)| !stands(e)).map(|(&c, _)| c).collect();
        open.into_iter().for_each(|call| self.fail(now, call, AnswerReason::Shutdown));
    }

    /// What is to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    // ---- What may be asked ----

    /// The call as it was offered, while it is open or stands.
    pub fn offer_of(&self, call: CallId) -> Option<&Offer> {
        self.calls.get(&call).map(|e| &e.offer)
    }

    /// Calls that are owed an answer.
    pub fn open_calls(&self) -> usize {
        self.open
    }

    /// Calls that stand.
    pub fn standing_calls(&self) -> usize {
        self.calls.len() - self.open
    }

    /// Counts since the start.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// What operators took out of service, and the list and groups that it lies over.
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.withdrawals
    }

    /// Set-ups that are out and calls that stand, by first leg and destination.
    pub fn loads(&self) -> BTreeMap<(ExchangeNumber, ExchangeNumber), (u32, u32)> {
        let mut loads: BTreeMap<_, (u32, u32)> = BTreeMap::new();
        for e in self.calls.values() {
            let Some(leg) = e.leg else { continue };
            let at = (leg, e.offer.ask.destination);
            match e.stage {
                Stage::Out { .. } => loads.entry(at).or_default().0 += 1,
                Stage::Standing { .. } => loads.entry(at).or_default().1 += 1,
                Stage::Deciding => {}
            }
        }
        loads
    }

    /// The calls held, oldest first.
    pub fn views(&self) -> impl Iterator<Item = CallView> + '_ {
        self.calls.iter().map(|(&call, e)| {
            let (doing, leg, since) = match e.stage {
                Stage::Deciding => ("waits", None, e.taken),
                Stage::Out { since, .. } => ("set-up out", e.leg, since),
                Stage::Standing { since, .. } => ("stands", e.leg, since),
            };
            let (front, destination) = (e.offer.front, e.offer.ask.destination);
            CallView { call, front, destination, doing, leg, since }
        })
    }

    // ---- Within ----

    fn note_states(&mut self, now: Micros, entries: &[ListEntry]) {
        for e in entries {
            self.offices.entry(e.exchange_id).or_default().note(now, e.state);
        }
    }

    fn drive(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetUp { call, exchange_id: office, timeout } => {
                    self.start(now, call, office, timeout)
                }
                Action::SetTimer { after, token } => {
                    self.out.push(Output::Wake(now + after, LedgerDue::Module(token)));
                }
                Action::Refuse { call, retry_after: pause } => {
                    self.finish(call, Answer::Refused { pause }, AnswerReason::Decided);
                }
                Action::Fail(call) => {
                    self.finish(call, Answer::Failed, AnswerReason::Decided);
                }
                Action::Cancel { call, attempt } => {
                    self.stop_attempt(now, call, attempt, Ending::Cancelled);
                }
                Action::Probe(office) => self.out.push(Output::Probe(office)),
                Action::SendToPeer { to, body } => self.out.push(Output::Tell { to, body }),
                Action::FetchList | Action::Subscribe => self.out.push(Output::FetchList),
                Action::Log(line) => self.out.push(Output::Log(line)),
            }
        }
    }

    /// Sends a set-up, unless a rule forbids it: then the module learns that it was not sent.
    fn start(&mut self, now: Micros, call: CallId, office: ExchangeId, timeout: Option<Micros>) {
        let Some(entry) = self.calls.get_mut(&call) else {
            *self.tally.held_back.entry(HeldBack::SecondAttempt).or_default() += 1;
            return;
        };
        let attempt = AttemptNumber(entry.attempts);
        entry.attempts = entry.attempts.saturating_add(1);
        let shut = self.withdrawals.shut_since(office);
        let drained = |told: &Told| {
            told.drains.into_iter().chain(shut).min().is_some_and(|t| now - t > self.drain_grace)
        };
        let held = if entry.stage != Stage::Deciding {
            Some(HeldBack::SecondAttempt)
        } else if self.offices.get(&office).is_none_or(drained) {
            Some(HeldBack::Drained)
        } else if now < entry.quiet_until {
            Some(HeldBack::Quiet)
        } else {
            None
        };
        if let Some(why) = held {
            *self.tally.held_back.entry(why).or_default() += 1;
            if why != HeldBack::SecondAttempt {
                let (ending, cause) = (Ending::NotSent, Cause::None);
                let report = LoadReport::default();
                let o = Outcome {
                    call,
                    attempt,
                    exchange_id: office,
                    ending,
                    cause,
                    elapsed: 0,
                    call_ended: false,
                    report,
                };
                self.drive(now, Event::Ended(o));
            }
            return;
        }
        let last = entry.deadline - ATTEMPT_EARLY;
        let until = timeout.map_or(last, |t| last.min(now + t.max(0)));
        entry.stage = Stage::Out { attempt, office, since: now };
        entry.leg = self.withdrawals.exchange_of(office);
        self.tally.attempts += 1;
        self.out.push(Output::SetUp { call, attempt, office, wait: (until - now).max(0) });
        self.out.push(Output::Wake(until, LedgerDue::Attempt(call, attempt)));
    }

    /// Gives a set-up up from this side.
    fn stop_attempt(&mut self, now: Micros, call: CallId, attempt: AttemptNumber, ending: Ending) {
        let Some(entry) = self.calls.get(&call) else { return };
        let Stage::Out { attempt: out, office, .. } = entry.stage else { return };
        if out == attempt {
            self.out.push(Output::Clear { call, attempt, office });
            self.ended(now, call, attempt, (ending, Cause::None), LoadReport::default());
        }
    }

    /// The one place where an unanswered call gets its final answer, other than standing.
    fn finish(&mut self, call: CallId, answer: Answer, reason: AnswerReason) -> bool {
        let Some(entry) = self.calls.get(&call) else { return false };
        match entry.stage {
            Stage::Standing { .. } => return false,
            Stage::Out { attempt, office, .. } => self.out.push(Output::Clear { call, attempt, office }),
            Stage::Deciding => {}
        }
        match answer {
            Answer::Refused { .. } => self.tally.refused += 1,
            _ => self.tally.failed += 1,
        }
        self.out.push(entry.answer(call, answer, reason));
        self.calls.remove(&call);
        self.open -= 1;
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
        Ending::Cancelled => "called_off",
        Ending::NotSent => "not_sent",
    }
}
