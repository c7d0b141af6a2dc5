//! A record, sorted by what its events are about.

use crate::file::Record;
use std::collections::{BTreeMap, HashMap};
use walnuthatch_standin::faulty::record::{Answer, At, CallEnd, SetUpEnd, What};

/// A request, as its client saw it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The controller that it was sent to.
    pub controller: usize,
    /// When it was sent, and again.
    pub sent: At,
    pub sent_again: Option<At>,
    /// Answers, and repeats of an answer.
    pub answers: Vec<(At, Answer)>,
    pub repeated: Vec<(At, String)>,
    /// When the client gave it up before its time.
    pub given_up: Option<At>,
    /// When it was found to have no answer, and why.
    pub no_answer: Option<(At, &'static str)>,
    /// When its call came to stand, and when its client was told of the end or ended it.
    pub stood: Option<At>,
    pub told: Option<At>,
    pub released: Option<At>,
}

/// A set-up at an exchange.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub controller: usize,
    pub exchange: usize,
    pub came: At,
    pub answered: Option<(At, String)>,
    pub ended: Option<(At, SetUpEnd)>,
    pub call_ended: Option<(At, CallEnd)>,
}

/// A controller's process.
#[derive(Clone, Debug)]
pub struct Life {
    pub started: At,
    pub ready: Option<At>,
    pub term: Option<At>,
    pub kill: Option<At>,
    pub exited: Option<(At, Option<i32>)>,
}

impl Life {
    /// Whether it ran at some time between these.
    pub fn covers(&self, from: At, to: At) -> bool {
        self.started <= from && self.exited.is_none_or(|e| e.0 >= to)
    }
}

/// A change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: At,
    pub index: u64,
    pub member: String,
    pub exchange: usize,
    pub phase: String,
}

/// Everything, by what it is about.
pub struct History {
    pub end: At,
    pub requests: BTreeMap<String, Request>,
    pub attempts: BTreeMap<String, Vec<Attempt>>,
    pub lives: Vec<Vec<Life>>,
    pub changes: Vec<Change>,
    /// When an event was told to a controller.
    pub told: HashMap<(usize, u64), At>,
    /// When each controller connected to each exchange.
    pub connected: HashMap<(usize, usize), Vec<At>>,
    /// When the way between them was closed and opened.
    pub paths: HashMap<(usize, usize), Vec<(At, bool)>>,
    /// When the coordinator could be reached, and could not be.
    pub reachable: Vec<(At, bool)>,
    /// Late starts of processes at exchanges.
    pub cold: Vec<(At, usize)>,
    pub unreadable: Vec<(At, String)>,
    pub resources: Vec<(At, usize, u64, u64)>,
    pub left: Option<(At, (usize, usize, usize))>,
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
            history.request(event.at, &event.what);
            history.exchange(event.at, &event.what);
            history.process(event.at, &event.what);
        }
        history
    }

    fn request(&mut self, at: At, what: &What) {
        if let What::RequestSent { sid, controller, .. } = what {
            let request = Request { controller: *controller, sent: at, ..Request::default() };
            self.requests.insert(sid.clone(), request);
            return;
        }
        let of = |sid: &String| sid.clone();
        let sid = match what {
            What::RequestSentAgain { sid, .. }
            | What::Answered { sid, .. }
            | What::AnsweredTwice { sid, .. }
            | What::GivenUp { sid }
            | What::Unanswered { sid }
            | What::Broken { sid, .. }
            | What::RefusedConnection { sid }
            | What::Told { sid, .. }
            | What::ClientReleased { sid } => of(sid),
            _ => return,
        };
        let Some(request) = self.requests.get_mut(&sid) else { return };
        match what {
            What::RequestSentAgain { .. } => request.sent_again = Some(at),
            What::Answered { answer, .. } => {
                if matches!(answer, Answer::Stands(_)) {
                    request.stood = Some(at);
                }
                request.answers.push((at, answer.clone()));
            }
            What::AnsweredTwice { message, .. } => request.repeated.push((at, message.clone())),
            What::GivenUp { .. } => request.given_up = Some(at),
            What::Unanswered { .. } => request.no_answer = Some((at, "no answer in its time")),
            What::Broken { .. } => request.no_answer = Some((at, "its connection ended")),
            What::Told { .. } => request.told = Some(at),
            What::ClientReleased { .. } => request.released = Some(at),
            _ => {}
        }
    }

    fn exchange(&mut self, at: At, what: &What) {
        match what {
            What::SetUpCame { sid, controller, exchange, .. } => {
                let (controller, exchange) = (*controller, *exchange);
                let attempt =
                    Attempt { controller, exchange, came: at, answered: None, ended: None, call_ended: None };
                self.attempts.entry(sid.clone()).or_default().push(attempt);
            }
            What::SetUpAnswered { sid, exchange, text } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.answered = Some((at, text.clone()));
                }
            }
            What::SetUpEnded { sid, exchange, end } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.ended = Some((at, *end));
                }
            }
            What::CallEnded { sid, exchange, end } => {
                if let Some(attempt) = self.attempt(sid, *exchange) {
                    attempt.call_ended = Some((at, *end));
                }
            }
            What::Connected { controller, exchange } => {
                self.connected.entry((*controller, *exchange)).or_default().push(at);
            }
            What::PathOpen { controller, exchange, open } => {
                self.paths.entry((*controller, *exchange)).or_default().push((at, *open));
            }
            What::ExchangeStarted { exchange, .. } => self.cold.push((at, *exchange)),
            What::Listed { index, member, exchange, phase } => {
                let (member, phase) = (member.clone(), phase.clone());
                self.changes.push(Change { at, index: *index, member, exchange: *exchange, phase });
            }
            What::ListTold { controller, index } => {
                self.told.entry((*controller, *index)).or_insert(at);
            }
            What::CoordinatorReachable { controller: 0, reachable } => self.reachable.push((at, *reachable)),
            _ => {}
        }
    }

    fn attempt(&mut self, sid: &str, exchange: usize) -> Option<&mut Attempt> {
        let of = self.attempts.get_mut(sid)?;
        of.iter_mut().rev().find(|a| a.exchange == exchange)
    }

    fn process(&mut self, at: At, what: &What) {
        match what {
            What::Started { controller, .. } => {
                let life = Life { started: at, ready: None, term: None, kill: None, exited: None };
                self.lives[*controller].push(life);
            }
            What::Ready { controller } => self.last_life(*controller, |l| l.ready = Some(at)),
            What::Signal { controller, signal } => self.last_life(*controller, |l| match signal.as_str() {
                "TERM" => l.term = Some(at),
                "KILL" => l.kill = Some(at),
                _ => {}
            }),
            What::Exited { controller, code } => {
                self.last_life(*controller, |l| l.exited = Some((at, *code)));
            }
            What::Unreadable { line, .. } => self.unreadable.push((at, line.clone())),
            What::Resources { controller, rss_kb, descriptors, .. } => {
                self.resources.push((at, *controller, *rss_kb, *descriptors));
            }
            What::Left { requests, calls, exchanges_busy } => {
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
    pub fn life(&self, controller: usize, at: At) -> Option<&Life> {
        self.lives[controller].iter().rev().find(|l| l.started <= at)
    }

    /// Whether one process of a controller ran through all of that time.
    pub fn one_life(&self, controller: usize, from: At, to: At) -> bool {
        self.lives[controller].iter().any(|l| l.covers(from, to))
    }

    /// Whether the way between a controller and an exchange was open through all of that time.
    pub fn open(&self, controller: usize, exchange: usize, from: At, to: At) -> bool {
        let changes = self.paths.get(&(controller, exchange)).map_or(&[][..], Vec::as_slice);
        let before = changes.iter().rev().find(|c| c.0 <= from).is_none_or(|c| c.1);
        before && !changes.iter().any(|c| c.0 > from && c.0 <= to && !c.1)
    }

    /// Whether the coordinator could be reached at that time, and since when or from when on it could for good.
    pub fn reachable_from(&self, at: At) -> At {
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
        from.unwrap_or(At::MAX)
    }
}
