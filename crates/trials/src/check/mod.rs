//! The checker: a pure function from a record to the rules that were broken. It knows the rules of the protocol page
//! and shares no code with the program.

mod calls;
mod exchanges;
mod history;
mod processes;
mod requests;

use crate::file::Record;
use history::History;
use serde::Serialize;
use std::fmt;
use walnuthatch_standin::faulty::record::{EventKind, Micros};

/// Every limit of sockets is longer by this (µs).
pub const SLACK: Micros = 50_000;
/// Timers of a trial that ran later than this show that the machine stood still (µs).
const STOOD_STILL: u64 = 150_000;

/// A rule of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A request that was taken has no answer.
    Lost,
    /// A request has a second answer.
    SecondAnswer,
    /// An answer 'stands' with something that no exchange made for it.
    Invented,
    /// A client got what can't be read.
    Unreadable,
    /// Two attempts of a request were out at once.
    TwoAttempts,
    /// An attempt within the quiet period after an unclear end.
    QuietPeriod,
    /// A set-up to an exchange that drains or is gone, after the limit.
    Drain,
    /// A cold exchange got more than it can take.
    ColdOverload,
    /// A client was not told in time that its call is over.
    EndNotTold,
    /// A change that the coordinator told was not followed in time.
    NewsMissed,
    /// A controller was not ready in time after its start.
    NotReady,
    /// A controller's process ended by itself.
    Crash,
    /// A controller holds too much memory or too many descriptors.
    Resources,
    /// Something is left at the end.
    LeftOver,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The request that it is about.
    pub sid: Option<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}: {}", self.at as f64 / 1e6, self.rule, self.description)?;
        self.sid.as_ref().map_or(Ok(()), |sid| write!(f, " [{sid}]"))
    }
}

/// What is said of a record.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// `false`: the machine stood still, and nothing is said.
    pub judged: bool,
    /// In the order of their times.
    pub violations: Vec<Violation>,
    /// Requests sent.
    pub requests: usize,
    /// Calls that stood.
    pub stood: usize,
    /// Most memory (KiB) and descriptors that a controller held at the end.
    pub most_held: (u64, u64),
}

/// Checks a record.
pub fn check(record: &Record) -> Verdict {
    let history = History::of(record);
    let mut violations = requests::check(&history);
    violations.extend(calls::check(&history));
    violations.extend(exchanges::check(&history));
    violations.extend(processes::check(&history));
    violations.sort_by_key(|v| v.at);
    let late = |w: &EventKind| matches!(w, EventKind::Clock { late_us } if *late_us > STOOD_STILL);
    let held = record.events.iter().filter_map(|e| match &e.kind {
        EventKind::Resources { rss_kb, descriptors, .. } => Some((*rss_kb, *descriptors)),
        _ => None,
    });
    Verdict {
        judged: !record.events.iter().any(|e| late(&e.kind)),
        violations,
        requests: history.requests.len(),
        stood: history.requests.values().filter(|r| r.stood.is_some()).count(),
        most_held: held.fold((0, 0), |a, h| (a.0.max(h.0), a.1.max(h.1))),
    }
}
