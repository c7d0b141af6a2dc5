//! A record, sorted by what its events are about.

use crate::record_file::Record;
use std::collections::{BTreeMap, HashMap};
use walnuthatch_standin::faulty::record::{Answer, CallEnd, EventKind, Micros, SetUpEnd};

/// A request, as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The controller that it was sent to.
    pub controller: usize,
    /// When it was sent, and again.
    pub sent: Micros,
    pub sent_again: Option<Micros>,
    /// Answers, and repeats of an answer.
    pub answers: Vec<(Micros, Answer)>,
    pub repeated: Vec<(Micros, String)>,
    /// When the client gave it up before its time.
    pub given_up: Option<Micros>,
    /// When it was found to have no answer, and why.
    pub no_answer: Option<(Micros, &'static str)>,
    /// When its call came to stand, and when its client was told of the end or ended it.
    pub stood: Option<Micros>,
    pub told: Option<Micros>,
    pub released: Option<Micros>,
}

/// A set-up at an exchange.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub controller: usize,
    pub exchange: usize,
    pub came: Micros,
    pub answered: Option<(Micros, String)>,
    pub ended: Option<(Micros, SetUpEnd)>,
    pub call_ended: Option<(Micros, CallEnd)>,
}

/// A controller's process.
#[derive(Clone, Debug)]
pub struct Life {
    pub started: Micros,
    pub ready: Option<Micros>,
    pub term: Option<Micros>,
    pub kill: Option<Micros>,
    pub exited: Option<(Micros, Option<i32>)>,
}

impl Life {
    /// Whether it ran at some time between these.
    pub fn covers(&self, from: Micros, to: Micros) -> bool {
        self.started <= from && self.exited.is_none_or(|e| e.0 >= to)
    }
}

/// A change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: Micros,
    pub index: u64,
    pub member: String,
    pub exchange: usize,
    pub phase: String,
}

/// Everything, by what it is about.
pub struct History {
    pub end: Micros,
    pub requests: BTreeMap<String, Request>,
    pub attempts: BTreeMap<String, Vec<Attempt>>,
    pub lives: Vec<Vec<Life>>,
    pub changes: Vec<Change>,
    /// When an event was told to a controller.
    pub told: HashMap<(usize, u64), Micros>,
    /// When each controller connected to each exchange.
    pub connected: HashMap<(usize, usize), Vec<Micros>>,
    /// When the way between them was closed and opened.
    pub paths: HashMap<(usize, usize), Vec<(Micros, bool)>>,
    /// When the coordinator could be reached, and could not be.
    pub reachable: Vec<(Micros, bool)>,
    /// Late starts of processes at exchanges.
    pub cold: Vec<(Micros, usize)>,
    pub unreadable: Vec<(Micros, String)>,
    pub resources: Vec<(Micros, usize, u64, u64)>,
    pub left: Option<(Micros, (usize, usize, usize))>,
    /// Requests a second that all clients make of one exchange, on average.
    pub mean_rate: f64,
}

impl History {
    /// The history that a record tells.
    pub fn of(record: &Record) -> History {
        let schedule = &record.schedule;
        let mut history = History {
            end: record.events.last().map_or(0, |e| e.at),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            lives: vec![Vec::new(); schedule.controllers],
            changes: Vec::new(),
            told: HashMap::new(),
            connected: HashMap::new(),
            paths: HashMap::new(),
            reachable: Vec::new(),
            cold: Vec::new(),
            unreadable: Vec::new(),
            resources: Vec::new(),
            left: None,
            mean_rate: (schedule.controllers as u64 * 4 * schedule.rate) as f64 / schedule.exchanges as f64,
        };
        for event in &record.events {
            history.request(event.at, &event.kind);
            history.exchange(event.at, &event.kind);
            history.process(event.at, &event.kind);
        }
        history
    }

    fn request(&mut self, at: Micros, kind: &EventKind) {
        if let EventKind::RequestSent { sid, controller, .. } = kind {
            let request = Request { controller: *controller, sent: at, ..Request::default() };
            self.requests.insert(sid.clone(), request);
            return;
        }
        let of = |sid: &String| sid.clone();
        let sid = match kind {
            EventKind::RequestSentAgain { sid, .. }
            | EventKind::Answered { sid, .. }
            | EventKind::AnsweredTwice { sid, .. }
            | EventKind::GivenUp { sid }
            | EventKind::Unanswered { sid }
            | EventKind::Broken { sid, .. }
            | EventKind::RefusedConnection { sid }
            | EventKind::Told { sid, .. }
            | EventKind::ClientReleased { sid } => of(sid),
            _ => return,
        };
        let Some(request) = self.requests.get_mut(&sid) else { return };
        match kind {
            EventKind::RequestSentAgain { .. } => request.sent_again = Some(at),
            EventKind::Answered { answer, .. } => {
                if matches!(answer, Answer::Stands(_)) {
                    request.stood = Some(at);
                }
                request.answers.push((at, answer.clone()));
            }
            EventKind::AnsweredTwice { message, .. } => request.repeated.push((at, message.clone())),
            EventKind::GivenUp { .. } => request.given_up = Some(at),
            EventKind::Unanswered { .. } => request.no_answer = Some((at, "no answer in its time")),
            EventKind::Broken { .. } => request.no_answer = Some((at, "its connection ended")),
            EventKind::Told { .. } => request.told = Some(at),
            EventKind::ClientReleased { .. } => request.released = Some(at),
            _ => {}
        }
    }

    fn exchange(&mut self, at: Micros, kind: &EventKind) {
        match kind {
            EventKind::SetUpCame { sid, controller, exchange, .. } => {
                let (controller, exchange) = (*controller, *exchange);
                let attempt =
                    Attempt { controller, exchange, came: at, answered: None, ended: None, call_ended: None };
                self.attempts.entry(sid.clone()).or_default().push(attempt);
            }
            EventKind::SetUpAnswered { sid, exchange, text } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.answered = Some((at, text.clone()));
                }
            }
            EventKind::SetUpEnded { sid, exchange, end } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.ended = Some((at, *end));
                }
            }
            EventKind::CallEnded { sid, exchange, end } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.call_ended = Some((at, *end));
                }
            }
            EventKind::Connected { controller, exchange } => {
                self.connected.entry((*controller, *exchange)).or_default().push(at);
            }
            EventKind::PathOpen { controller, exchange, open } => {
                self.paths.entry((*controller, *exchange)).or_default().push((at, *open));
            }
            EventKind::ExchangeStarted { exchange, .. } => self.cold.push((at, *exchange)),
            EventKind::Listed { index, member, exchange, phase } => {
                let (member, phase) = (member.clone(), phase.clone());
                self.changes.push(Change { at, index: *index, member, exchange: *exchange, phase });
            }
            EventKind::ListTold { controller, index } => {
                self.told.entry((*controller, *index)).or_insert(at);
            }
            EventKind::CoordinatorReachable { controller: 0, reachable } => {
                self.reachable.push((at, *reachable))
            }
            _ => {}
        }
    }

    fn attempt(&mut self, sid: &str, exchange: usize) -> Option<&mut Attempt> {
        let of = self.attempts.get_mut(sid)?;
        of.iter_mut().rev().find(|a| a.exchange == exchange)
    }

    fn process(&mut self, at: Micros, kind: &EventKind) {
        match kind {
            EventKind::Started { controller, .. } => {
                let life = Life { started: at, ready: None, term: None, kill: None, exited: None };
                self.lives[*controller].push(life);
            }
            EventKind::Ready { controller } => self.last_life(*controller, |l| l.ready = Some(at)),
            EventKind::Signal { controller, signal } => {
                self.last_life(*controller, |l| match signal.as_str() {
                    "TERM" => l.term = Some(at),
                    "KILL" => l.kill = Some(at),
                    _ => {}
                })
            }
            EventKind::Exited { controller, code } => {
                self.last_life(*controller, |l| l.exited = Some((at, *code)));
            }
            EventKind::Unreadable { line, .. } => self.unreadable.push((at, line.clone())),
            EventKind::Resources { controller, rss_kb, descriptors, .. } => {
                self.resources.push((at, *controller, *rss_kb, *descriptors));
            }
            EventKind::Left { requests, calls, exchanges_busy } => {
                self.left = Some((at, (*requests, *calls, *exchanges_busy)));
            }
            _ => {}
        }
    }

    fn last_life(&mut self, controller: usize, change: impl FnOnce(&mut Life)) {
        if let Some(life) = self.lives[controller].last_mut() {
            change(life);
        }
    }

    // ---- What may be asked ----

    /// The process of a controller that ran at that time.
    pub fn life(&self, controller: usize, at: Micros) -> Option<&Life> {
        self.lives[controller].iter().rev().find(|l| l.started <= at)
    }

    /// Whether one process of a controller ran through all of that time.
    pub fn one_life(&self, controller: usize, from: Micros, to: Micros) -> bool {
        self.lives[controller].iter().any(|l| l.covers(from, to))
    }

    /// Whether the way between a controller and an exchange was open through all of that time.
    pub fn open(&self, controller: usize, exchange: usize, from: Micros, to: Micros) -> bool {
        let changes = self.paths.get(&(controller, exchange)).map_or(&[][..], Vec::as_slice);
        let before = changes.iter().rev().find(|c| c.0 <= from).is_none_or(|c| c.1);
        before && !changes.iter().any(|c| c.0 > from && c.0 <= to && !c.1)
    }

    /// Whether the coordinator could be reached at that time, and since when or from when on it could for good.
    pub fn reachable_from(&self, at: Micros) -> Micros {
        let before = self.reachable.iter().rev().find(|r| r.0 <= at).is_none_or(|r| r.1);
        let mut from = before.then_some(at);
        for (changed, reachable) in self.reachable.iter().filter(|r| r.0 > at) {
            match (reachable, from) {
                // Long enough to be told of all.
                (false, Some(since)) if changed - since > 6_000_000 => return since,
                (false, _) => from = None,
                (true, None) => from = Some(*changed),
                (true, Some(_)) => {}
            }
        }
        from.unwrap_or(Micros::MAX)
    }
}
