//! The checker: a pure function from a record to the violations in it. It implements the rules of the protocol
//! specification and shares no code with the program.

mod calls;
mod exchanges;
mod history;
mod processes;
mod requests;

use crate::record_file::Record;
use history::History;
use serde::Serialize;
use std::fmt;
use walnuthatch_standin::faulty::record::{EventKind, Micros};

/// Tolerance added to every time limit that is observed through sockets (µs).
pub const SLACK: Micros = 50_000;
/// A trial whose own timers ran later than this is not judged, since the machine stalled (µs).
const STALL_LIMIT_US: u64 = 150_000;

/// A rule that the checker enforces. Variant names are printed and stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// An accepted request was not answered.
    Lost,
    /// A request was answered twice.
    SecondAnswer,
    /// A call was answered as established with a description that no exchange sent for it.
    Invented,
    /// A client received invalid JSON.
    Unreadable,
    /// Two attempts of a request were pending at once.
    TwoAttempts,
    /// An attempt was made within the quiet period after one with an unknown outcome.
    QuietPeriod,
    /// A set-up was sent to a draining or removed exchange after the time limit.
    Drain,
    /// A cold exchange was overloaded.
    ColdOverload,
    /// A client did not receive the release of its call in time.
    EndNotTold,
    /// A change of the coordinator's list was not followed in time.
    NewsMissed,
    /// A controller was not ready in time after its start.
    NotReady,
    /// A controller's process ended without being asked to, or with an error.
    Crash,
    /// A controller used too much memory or too many descriptors.
    Resources,
    /// Requests or calls were left at the end.
    LeftOver,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the violation.
    pub at: Micros,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// Identifier of the request concerned.
    pub sid: Option<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}: {}", self.at as f64 / 1e6, self.rule, self.description)?;
        self.sid.as_ref().map_or(Ok(()), |sid| write!(f, " [{sid}]"))
    }
}

/// The result of checking a record.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Whether the violations count: `false` if the machine stalled during the trial.
    pub judged: bool,
    /// The violations, ordered by time.
    pub violations: Vec<Violation>,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of calls established.
    #[serde(rename = "stood")]
    pub established: usize,
    /// Highest memory (KiB) and number of descriptors of a controller at the end.
    #[serde(rename = "most_held")]
    pub max_resources: (u64, u64),
}

/// Checks a record against all rules.
pub fn check(record: &Record) -> Verdict {
    let history = History::from_record(record);
    let mut violations = requests::check(&history);
    violations.extend(calls::check(&history));
    violations.extend(exchanges::check(&history));
    violations.extend(processes::check(&history));
    violations.sort_by_key(|v| v.at);
    let stalled =
        |kind: &EventKind| matches!(kind, EventKind::Clock { late_us } if *late_us > STALL_LIMIT_US);
    let resources = record.events.iter().filter_map(|e| match &e.kind {
        EventKind::Resources { rss_kb, descriptors, .. } => Some((*rss_kb, *descriptors)),
        _ => None,
    });
    Verdict {
        judged: !record.events.iter().any(|e| stalled(&e.kind)),
        violations,
        requests: history.requests.len(),
        established: history.requests.values().filter(|r| r.established.is_some()).count(),
        max_resources: resources.fold((0, 0), |max, r| (max.0.max(r.0), max.1.max(r.1))),
    }
}
