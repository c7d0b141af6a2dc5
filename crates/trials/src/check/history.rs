//! The events of a record, indexed by request, exchange and controller process.

use crate::record_file::Record;
use std::collections::{BTreeMap, HashMap};
use walnuthatch_standin::faulty::record::{Answer, CallEnd, EventKind, Micros, SetUpEnd};

/// A request as observed by its client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The controller that it was sent to.
    pub controller: usize,
    /// Time at which it was sent.
    pub sent: Micros,
    /// Time at which it was sent again.
    pub sent_again: Option<Micros>,
    /// Final answers.
    pub answers: Vec<(Micros, Answer)>,
    /// Messages that answer it again.
    pub extra_answers: Vec<(Micros, String)>,
    /// Time at which the client cancelled it before the client timeout.
    pub cancelled: Option<Micros>,
    /// Time at which the client considered it unanswered, with the reason.
    pub no_answer: Option<(Micros, &'static str)>,
    /// Time at which its call was established.
    pub established: Option<Micros>,
    /// Time at which the client received the release of the call.
    pub release_received: Option<Micros>,
    /// Time at which the client released the call.
    pub released: Option<Micros>,
}

/// A set-up as observed by its exchange.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub controller: usize,
    pub exchange: usize,
    pub received_at: Micros,
    pub answered: Option<(Micros, String)>,
    pub ended: Option<(Micros, SetUpEnd)>,
    pub call_ended: Option<(Micros, CallEnd)>,
}

/// The run of a controller's process, from start to exit.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    pub started: Micros,
    pub ready: Option<Micros>,
    pub term: Option<Micros>,
    pub kill: Option<Micros>,
    pub exited: Option<(Micros, Option<i32>)>,
}

impl ProcessRun {
    /// Returns whether the process ran during the whole interval.
    pub fn runs_throughout(&self, from: Micros, to: Micros) -> bool {
        self.started <= from && self.exited.is_none_or(|e| e.0 >= to)
    }
}

/// A change of the coordinator's list.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: Micros,
    pub index: u64,
    pub member: String,
    pub exchange: usize,
    pub phase: String,
}

/// The indexed events of a record.
pub struct History {
    pub end: Micros,
    pub requests: BTreeMap<String, Request>,
    pub attempts: BTreeMap<String, Vec<Attempt>>,
    pub process_runs: Vec<Vec<ProcessRun>>,
    pub changes: Vec<Change>,
    /// Time of delivery of a change, by controller and index of the change.
    pub delivered: HashMap<(usize, u64), Micros>,
    /// Connection times, by controller and exchange.
    pub connected: HashMap<(usize, usize), Vec<Micros>>,
    /// Times at which the network path was opened or closed, by controller and exchange.
    pub paths: HashMap<(usize, usize), Vec<(Micros, bool)>>,
    /// Times at which the coordinator became reachable or unreachable.
    pub reachable: Vec<(Micros, bool)>,
    /// Cold starts of exchanges.
    pub cold_starts: Vec<(Micros, usize)>,
    pub unreadable: Vec<(Micros, String)>,
    pub resources: Vec<(Micros, usize, u64, u64)>,
    pub leftovers: Option<(Micros, (usize, usize, usize))>,
    /// Mean rate of all clients' requests for one exchange (requests per second).
    pub mean_rate: f64,
}

impl History {
    /// Indexes the events of a record.
    pub fn from_record(record: &Record) -> History {
        let schedule = &record.schedule;
        let mut history = History {
            end: record.events.last().map_or(0, |e| e.at),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            process_runs: vec![Vec::new(); schedule.controllers],
            changes: Vec::new(),
            delivered: HashMap::new(),
            connected: HashMap::new(),
            paths: HashMap::new(),
            reachable: Vec::new(),
            cold_starts: Vec::new(),
            unreadable: Vec::new(),
            resources: Vec::new(),
            leftovers: None,
            mean_rate: (schedule.controllers as u64 * 4 * schedule.rate) as f64 / schedule.exchanges as f64,
        };
        for event in &record.events {
            history.add_request_event(event.at, &event.kind);
            history.add_exchange_event(event.at, &event.kind);
            history.add_process_event(event.at, &event.kind);
        }
        history
    }

    fn add_request_event(&mut self, at: Micros, kind: &EventKind) {
        if let EventKind::RequestSent { sid, controller, .. } = kind {
            let request = Request { controller: *controller, sent: at, ..Request::default() };
            self.requests.insert(sid.clone(), request);
            return;
        }
        let sid = match kind {
            EventKind::RequestSentAgain { sid, .. }
            | EventKind::Answered { sid, .. }
            | EventKind::AnsweredTwice { sid, .. }
            | EventKind::GivenUp { sid }
            | EventKind::Unanswered { sid }
            | EventKind::Broken { sid, .. }
            | EventKind::RefusedConnection { sid }
            | EventKind::Told { sid, .. }
            | EventKind::ClientReleased { sid } => sid.clone(),
            _ => return,
        };
        let Some(request) = self.requests.get_mut(&sid) else { return };
        match kind {
            EventKind::RequestSentAgain { .. } => request.sent_again = Some(at),
            EventKind::Answered { answer, .. } => {
                if matches!(answer, Answer::Stands(_)) {
                    request.established = Some(at);
                }
                request.answers.push((at, answer.clone()));
            }
            EventKind::AnsweredTwice { message, .. } => request.extra_answers.push((at, message.clone())),
            EventKind::GivenUp { .. } => request.cancelled = Some(at),
            EventKind::Unanswered { .. } => request.no_answer = Some((at, "no answer in its time")),
            EventKind::Broken { .. } => request.no_answer = Some((at, "its connection ended")),
            EventKind::Told { .. } => request.release_received = Some(at),
            EventKind::ClientReleased { .. } => request.released = Some(at),
            _ => {}
        }
    }

    fn add_exchange_event(&mut self, at: Micros, kind: &EventKind) {
        match kind {
            EventKind::SetUpCame { sid, controller, exchange, .. } => {
                let (controller, exchange) = (*controller, *exchange);
                let attempt = Attempt {
                    controller,
                    exchange,
                    received_at: at,
                    answered: None,
                    ended: None,
                    call_ended: None,
                };
                self.attempts.entry(sid.clone()).or_default().push(attempt);
            }
            EventKind::SetUpAnswered { sid, exchange, text } => {
                if let Some(attempt) = self.last_attempt(sid, *exchange) {
                    attempt.answered = Some((at, text.clone()));
                }
            }
            EventKind::SetUpEnded { sid, exchange, end } => {
                if let Some(attempt) = self.last_attempt(sid, *exchange) {
                    attempt.ended = Some((at, *end));
                }
            }
            EventKind::CallEnded { sid, exchange, end } => {
                if let Some(attempt) = self.last_attempt(sid, *exchange) {
                    attempt.call_ended = Some((at, *end));
                }
            }
            EventKind::Connected { controller, exchange } => {
                self.connected.entry((*controller, *exchange)).or_default().push(at);
            }
            EventKind::PathOpen { controller, exchange, open } => {
                self.paths.entry((*controller, *exchange)).or_default().push((at, *open));
            }
            EventKind::ExchangeStarted { exchange, .. } => self.cold_starts.push((at, *exchange)),
            EventKind::Listed { index, member, exchange, phase } => {
                let (member, phase) = (member.clone(), phase.clone());
                self.changes.push(Change { at, index: *index, member, exchange: *exchange, phase });
            }
            EventKind::ListTold { controller, index } => {
                self.delivered.entry((*controller, *index)).or_insert(at);
            }
            EventKind::CoordinatorReachable { controller: 0, reachable } => {
                self.reachable.push((at, *reachable))
            }
            _ => {}
        }
    }

    fn last_attempt(&mut self, sid: &str, exchange: usize) -> Option<&mut Attempt> {
        let attempts = self.attempts.get_mut(sid)?;
        attempts.iter_mut().rev().find(|a| a.exchange == exchange)
    }

    fn add_process_event(&mut self, at: Micros, kind: &EventKind) {
        match kind {
            EventKind::Started { controller, .. } => {
                let process_run =
                    ProcessRun { started: at, ready: None, term: None, kill: None, exited: None };
                self.process_runs[*controller].push(process_run);
            }
            EventKind::Ready { controller } => self.last_process_run(*controller, |run| run.ready = Some(at)),
            EventKind::Signal { controller, signal } => {
                self.last_process_run(*controller, |run| match signal.as_str() {
                    "TERM" => run.term = Some(at),
                    "KILL" => run.kill = Some(at),
                    _ => {}
                })
            }
            EventKind::Exited { controller, code } => {
                self.last_process_run(*controller, |run| run.exited = Some((at, *code)));
            }
            EventKind::Unreadable { line, .. } => self.unreadable.push((at, line.clone())),
            EventKind::Resources { controller, rss_kb, descriptors, .. } => {
                self.resources.push((at, *controller, *rss_kb, *descriptors));
            }
            EventKind::Left { requests, calls, exchanges_busy } => {
                self.leftovers = Some((at, (*requests, *calls, *exchanges_busy)));
            }
            _ => {}
        }
    }

    fn last_process_run(&mut self, controller: usize, change: impl FnOnce(&mut ProcessRun)) {
        if let Some(process_run) = self.process_runs[controller].last_mut() {
            change(process_run);
        }
    }

    // ---- Queries ----

    /// Returns the last process run of a controller that had started by that time.
    pub fn process_run(&self, controller: usize, at: Micros) -> Option<&ProcessRun> {
        self.process_runs[controller].iter().rev().find(|run| run.started <= at)
    }

    /// Returns whether a single process of a controller ran during the whole interval.
    pub fn same_process(&self, controller: usize, from: Micros, to: Micros) -> bool {
        self.process_runs[controller].iter().any(|run| run.runs_throughout(from, to))
    }

    /// Returns whether the network path between a controller and an exchange was open during the whole interval.
    pub fn path_open(&self, controller: usize, exchange: usize, from: Micros, to: Micros) -> bool {
        let changes = self.paths.get(&(controller, exchange)).map_or(&[][..], Vec::as_slice);
        let before = changes.iter().rev().find(|c| c.0 <= from).is_none_or(|c| c.1);
        before && !changes.iter().any(|c| c.0 > from && c.0 <= to && !c.1)
    }

    /// Returns the earliest time, `at` or later, from which the coordinator was reachable for long enough to deliver
    /// all changes, or [`Micros::MAX`] if there is none.
    pub fn reachable_since(&self, at: Micros) -> Micros {
        let before = self.reachable.iter().rev().find(|r| r.0 <= at).is_none_or(|r| r.1);
        let mut from = before.then_some(at);
        for (changed, reachable) in self.reachable.iter().filter(|r| r.0 > at) {
            match (reachable, from) {
                // Long enough for the delivery of all changes.
                (false, Some(since)) if changed - since > 6_000_000 => return since,
                (false, _) => from = None,
                (true, None) => from = Some(*changed),
                (true, Some(_)) => {}
            }
        }
        from.unwrap_or(Micros::MAX)
    }
}
