//! The record of a trial: timed events, one JSON object a line.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Microseconds since the start of the trial.
pub type At = u64;

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The call stands, with this description.
    Stands(String),
    /// Refused: trying again is harmless.
    Refused(u64),
    /// Failed.
    Failed(u64),
}

/// How a set-up that had come to an exchange ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetUpEnd {
    /// The controller gave it up.
    GivenUp,
    /// Its connection ended.
    Disconnected,
    /// The exchange reset it or its connection.
    Reset,
    /// The exchange refused it: it never ran.
    Refused,
    /// The exchange failed it.
    Failed,
    /// The process at the exchange is gone.
    Gone,
}

/// How a call that stood ended at its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// It came to its end, and the release was written on an open connection.
    Told,
    /// It came to its end, and no connection was open to write the release on.
    Untold,
    /// The controller released it.
    Released,
    /// The process is gone, and its connections were reset.
    Died,
    /// The machine is gone without a word.
    Vanished,
}

/// What happened. Controllers and exchanges are numbered from 0; `sid` is a request's name.
#[allow(missing_docs, reason = "the fields' names say what they hold")]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what")]
pub enum What {
    /// A request's last byte was written.
    RequestSent { sid: String, controller: usize, connection: u64, left_ms: u64 },
    /// A request was sent again, since it crossed the end of its connection.
    RequestSentAgain { sid: String, connection: u64 },
    /// The request's final answer came.
    Answered { sid: String, answer: Answer },
    /// A message about a request that was answered already and that neither ends a call nor can be left out.
    AnsweredTwice { sid: String, message: String },
    /// The client gave its request up before its time.
    GivenUp { sid: String },
    /// No answer half a second after the client's time.
    Unanswered { sid: String },
    /// The connection of a request ended with no answer, so long after its last byte.
    Broken { sid: String, after_us: u64 },
    /// A connection on which a request was to be sent again was refused.
    RefusedConnection { sid: String },
    /// A line that can't be read came to a client.
    Unreadable { controller: usize, line: String },
    /// The client was told that its call is over.
    Told { sid: String, code: u64 },
    /// The client released its call, or gave it up after the answer.
    ClientReleased { sid: String },
    /// A controller's connection to an exchange came up.
    Connected { controller: usize, exchange: usize },
    /// A set-up came whole.
    SetUpCame { sid: String, controller: usize, exchange: usize, process: u64 },
    /// Its answer was written.
    SetUpAnswered { sid: String, exchange: usize, text: String },
    /// It ended without an answer.
    SetUpEnded { sid: String, exchange: usize, end: SetUpEnd },
    /// A call that stood ended.
    CallEnded { sid: String, exchange: usize, end: CallEnd },
    /// A process at an exchange starts cold.
    ExchangeStarted { exchange: usize, process: u64 },
    /// The coordinator has a change.
    Listed { index: u64, member: String, exchange: usize, phase: String },
    /// An event was written whole to a controller's stream.
    ListTold { controller: usize, index: u64 },
    /// The coordinator can be reached by this controller, or not.
    CoordinatorReachable { controller: usize, reachable: bool },
    /// The way between a controller and an exchange is open, or not.
    PathOpen { controller: usize, exchange: usize, open: bool },
    /// A controller's process was started.
    Started { controller: usize, pid: u32 },
    /// It passes tests.
    Ready { controller: usize },
    /// It was sent a signal.
    Signal { controller: usize, signal: String },
    /// Its process ended; `None`: by a signal.
    Exited { controller: usize, code: Option<i32> },
    /// What its process holds.
    Resources { controller: usize, rss_kb: u64, descriptors: u64, moment: String },
    /// A fault of the schedule begins.
    Fault { text: String },
    /// The trial's own timers ran this late at the worst.
    Clock { late_us: u64 },
    /// What is left when everything has had its time.
    Left { requests: usize, calls: usize, exchanges_busy: usize },
    /// The last event.
    End,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: At,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Writes events down.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Recorder {
    /// A record that begins now.
    pub fn start() -> Recorder {
        Recorder { start: Instant::now(), events: Rc::default() }
    }

    /// The time since its begin.
    pub fn now(&self) -> At {
        self.start.elapsed().as_micros() as u64
    }

    /// Writes an event down.
    pub fn note(&self, what: What) {
        let at = self.now();
        self.events.borrow_mut().push(Event { at, what });
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.borrow().clone()
    }
}
