//! The platform's messages: one JSON object per line.

use super::fields::Fields;
use crate::routing::interface::{LoadReport, Micros};
use crate::routing::ledger::SessionDescription;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::fmt;

/// Largest size of a message, without its line feed (bytes).
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A set-up.
    Open,
    /// Progress; ignored.
    Trying,
    /// The answer: the call is established.
    Ready,
    /// The refusal or failure of a set-up, the cancellation of a set-up, or the release of an established call.
    Close,
    /// Confirms a release.
    Closed,
    /// A probe.
    Probe,
    /// The answer to a probe.
    Probed,
    /// The state of a trunk group.
    Status,
}

/// The identifier of a call on the wire: sixteen hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sid(pub u64);

impl Sid {
    /// Parses sixteen hexadecimal digits. Capitals are rejected, since the sid is sent back in lower case.
    pub fn parse(text: &str) -> Option<Sid> {
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let valid = text.len() == 16 && text.bytes().all(is_lower_hex);
        valid.then(|| u64::from_str_radix(text, 16).ok().map(Sid)).flatten()
    }
}

impl fmt::Display for Sid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Sid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Sid({self})")
    }
}

/// Release causes, by their ITU-T Q.850 numbers.
pub mod cause {
    /// Normal clearing; before the answer, a cancelled set-up.
    pub const NORMAL: u16 = 16;
    /// User busy.
    pub const USER_BUSY: u16 = 17;
    /// No circuit available.
    pub const NO_CIRCUIT: u16 = 34;
    /// Temporary failure.
    pub const TEMPORARY_FAILURE: u16 = 41;
    /// Switching equipment congestion.
    pub const CONGESTION: u16 = 42;
    /// Resource unavailable.
    pub const RESOURCE_UNAVAILABLE: u16 = 47;
    /// Service or option not implemented.
    pub const NOT_IMPLEMENTED: u16 = 79;
    /// Recovery on timer expiry.
    pub const TIMER_EXPIRY: u16 = 102;
}

/// Why a line could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// It is longer than [`MAX_MESSAGE_BYTES`].
    #[error("line is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// It is not a message in JSON.
    #[error("not a message: {0}")]
    Malformed(String),
    /// Its sid is missing, or is not sixteen lower-case hexadecimal digits.
    #[error("missing or invalid sid")]
    InvalidSid,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its type.
    pub kind: Kind,
    /// The call or probe that it refers to; optional in messages about trunk groups and probes.
    pub sid: Option<Sid>,
    /// Its fields.
    pub attrs: BTreeMap<String, Value>,
    /// The release cause, or the result of a probe.
    pub code: Option<u16>,
    /// The session description.
    pub text: Option<SessionDescription>,
}

#[derive(Deserialize)]
struct Incoming {
    msg: Kind,
    #[serde(default)]
    sid: Option<String>,
    #[serde(default)]
    attrs: Fields,
    #[serde(default)]
    code: Option<u16>,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Serialize)]
struct Outgoing<'a> {
    msg: Kind,
    #[serde(skip_serializing_if = "Option::is_none")]
    sid: Option<String>,
    attrs: &'a BTreeMap<String, Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
}

impl Message {
    /// Creates a message without fields.
    pub fn new(kind: Kind, sid: Option<Sid>) -> Message {
        Message { kind, sid, attrs: BTreeMap::new(), code: None, text: None }
    }

    /// Creates a release, a refusal or a cancellation.
    pub fn close(sid: Sid, code: u16) -> Message {
        Message { code: Some(code), ..Message::new(Kind::Close, Some(sid)) }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Message {
        self.attrs.insert(name.to_owned(), value.into());
        self
    }

    /// Parses a line without its line feed.
    pub fn parse(line: &[u8]) -> Result<Message, LineError> {
        let raw: Incoming = serde_json::from_slice(line).map_err(|e| LineError::Malformed(e.to_string()))?;
        let sid = match raw.sid.as_deref() {
            None if raw.kind_needs_sid() => return Err(LineError::InvalidSid),
            None | Some("") if !raw.kind_needs_sid() => None,
            Some(text) => Some(Sid::parse(text).ok_or(LineError::InvalidSid)?),
            None => None,
        };
        let text = raw.text.map(|t| SessionDescription(t.into()));
        Ok(Message { kind: raw.msg, sid, attrs: raw.attrs.0, code: raw.code, text })
    }

    /// Serializes the message to a line with its line feed.
    pub fn to_line(&self) -> Vec<u8> {
        let text = self.text.as_ref().map(|t| &*t.0);
        let sid = self.sid.map(|s| s.to_string());
        let out = Outgoing { msg: self.kind, sid, attrs: &self.attrs, code: self.code, text };
        // Serialization of strings and numbers under string keys can't fail.
        let mut line = serde_json::to_vec(&out).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// A field as text, whether it is a string or a number.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.attrs.get(name)? {
            Value::String(s) => Some(s.clone()),
            Value::Number(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// A field in milliseconds, converted to microseconds.
    pub fn millis(&self, name: &str) -> Option<Micros> {
        let ms: f64 = self.field(name)?.trim().parse().ok()?;
        (ms.is_finite() && ms >= 0.0).then_some((ms.min(1e9) * 1000.0) as Micros)
    }

    /// The load report that it carries.
    pub fn load_report(&self) -> LoadReport {
        self.field("load").map_or_else(LoadReport::default, |text| parse_load_report(&text))
    }
}

impl Incoming {
    fn kind_needs_sid(&self) -> bool {
        !matches!(self.msg, Kind::Status | Kind::Probed | Kind::Probe)
    }
}

/// Parses `a:1;b:2` into its pairs; invalid ones are skipped.
pub fn parse_pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    let pair = |p: &'_ str| -> Option<(usize, f64)> {
        let at = p.find(':')?;
        p[at + 1..].trim().parse().ok().filter(|v: &f64| v.is_finite()).map(|v| (at, v))
    };
    text.split(';').filter_map(move |p| pair(p).map(|(at, v)| (p[..at].trim(), v)))
}

/// Parses `a:1;b:2`; `None` if any pair is invalid or a name occurs twice.
pub fn parse_all_pairs(text: &str) -> Option<BTreeMap<&str, f64>> {
    let parts = text.split(';').map(str::trim).filter(|p| !p.is_empty());
    let expected = parts.clone().count();
    let parsed: BTreeMap<&str, f64> = parts.flat_map(parse_pairs).collect();
    (parsed.len() == expected).then_some(parsed)
}

/// Parses a load report. Negative values mean that a value is unknown; unknown names are skipped.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in parse_pairs(text).filter(|p| p.1 >= 0.0) {
        match name {
            "x0" | "spare" => report.free = Some(value),
            "x1" | "total" => report.size = Some(value),
            "inflight" | "active" => report.active = Some(value),
            "queue" | "waiting" => report.waiting = Some(value),
            "util" | "cpu" => report.busy = Some(value),
            "latency_ms" | "avg_ms" => report.wait = Some((value.min(1e9) * 1000.0) as Micros),
            "qps" | "allowed" => report.allowed_rate = Some(value),
            "eps" | "cut_by" => report.reduction = Some(value),
            _ => {}
        }
    }
    report
}

/// Recognizes sids of calls that were established in the previous run of this program: the releases of such calls carry
/// sids that this run has not seen. After a while no such call is left.
#[derive(Debug)]
pub struct PreviousRun {
    until: Micros,
    sids: HashSet<Sid>,
}

/// How long after the start calls of the previous run are expected (µs).
const PREVIOUS_RUN_PERIOD: Micros = 90_000_000;
/// Largest number of sids recorded in this time; beyond it, no sid counts as one of the previous run.
const MAX_SIDS: usize = 200_000;

impl PreviousRun {
    /// Starts the period at the start of the program.
    pub fn new(now: Micros) -> Self {
        PreviousRun { until: now + PREVIOUS_RUN_PERIOD, sids: HashSet::new() }
    }

    /// Records a sid of this run.
    pub fn record(&mut self, now: Micros, sid: Sid) {
        if now >= self.until || self.sids.len() >= MAX_SIDS {
            (self.until, self.sids) = (now, HashSet::new());
        } else {
            self.sids.insert(sid);
        }
    }

    /// Whether a sid may be one of the previous run.
    pub fn may_contain(&self, now: Micros, sid: Sid) -> bool {
        now < self.until && !self.sids.contains(&sid)
    }
}

/// Splits a stream of bytes into lines. Memory is bounded: a line that is too long is reported once, and everything
/// after it is discarded.
#[derive(Debug, Default)]
pub struct LineSplitter {
    buffer: Vec<u8>,
    /// A line was too long, and where the next one begins is unknown.
    failed: bool,
}

impl LineSplitter {
    /// Adds bytes and passes each line that they complete to `on_line`; empty lines are skipped.
    pub fn push(&mut self, mut bytes: &[u8], mut on_line: impl FnMut(Result<&[u8], LineError>)) {
        while !self.failed && !bytes.is_empty() {
            let end = bytes.iter().position(|&b| b == b'\n');
            let (head, tail) = bytes.split_at(end.unwrap_or(bytes.len()));
            // One additional byte, in case the line ends with a carriage return.
            if self.buffer.len() + head.len() > MAX_MESSAGE_BYTES + 1 {
                self.buffer = Vec::new();
                self.failed = true;
                return on_line(Err(LineError::TooLong));
            }
            if end.is_none() {
                return self.buffer.extend_from_slice(head);
            }
            bytes = &tail[1..];
            let whole = if self.buffer.is_empty() {
                head
            } else {
                self.buffer.extend_from_slice(head);
                &self.buffer
            };
            let line = whole.strip_suffix(b"\r").unwrap_or(whole);
            match line.len() {
                0 => {}
                n if n > MAX_MESSAGE_BYTES => {
                    self.failed = true;
                    on_line(Err(LineError::TooLong));
                }
                _ => on_line(Ok(line)),
            }
            self.buffer.clear();
        }
    }

    /// Whether the buffer holds the beginning of a line.
    pub fn has_partial_line(&self) -> bool {
        !self.buffer.is_empty()
    }
}
