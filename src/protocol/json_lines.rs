//! The platform's messages: one JSON object a line.

use crate::routing::interface::{LoadReport, Micros};
use crate::routing::ledger::SessionDescription;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::fmt;

/// The longest message, without its line feed.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A set-up.
    Open,
    /// Progress; means nothing.
    Trying,
    /// An answer: the call stands.
    Ready,
    /// A refusal, a set-up given up, or the release of a call that stands.
    Close,
    /// A release was heard.
    Closed,
    /// A test.
    Probe,
    /// The result of a test.
    Probed,
    /// The state of a group.
    Status,
}

/// The name of a call: sixteen hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sid(pub u64);

impl Sid {
    /// Reads sixteen hexadecimal digits; capitals are no part of the form, since the name goes back as it was.
    pub fn parse(text: &str) -> Option<Sid> {
        let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let good = text.len() == 16 && text.bytes().all(lower);
        good.then(|| u64::from_str_radix(text, 16).ok().map(Sid)).flatten()
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
    /// Normal clearing; before the answer: the set-up is given up.
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

/// Why a line is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// It is longer than a message may be.
    #[error("longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// It is not the JSON of a message.
    #[error("not a message: {0}")]
    Malformed(String),
    /// Its call is not named by sixteen hexadecimal digits.
    #[error("bad sid")]
    BadSid,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its type.
    pub kind: Kind,
    /// The call, or the test, that it is about; a group's state may be about none.
    pub sid: Option<Sid>,
    /// Its fields.
    pub attrs: BTreeMap<String, Value>,
    /// The cause.
    pub code: Option<u16>,
    /// The description.
    pub text: Option<SessionDescription>,
}

#[derive(Deserialize)]
struct Incoming {
    msg: Kind,
    #[serde(default)]
    sid: Option<String>,
    #[serde(default)]
    attrs: Option<BTreeMap<String, Value>>,
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
    /// A message without fields.
    pub fn new(kind: Kind, sid: Option<Sid>) -> Message {
        Message { kind, sid, attrs: BTreeMap::new(), code: None, text: None }
    }

    /// A release, refusal or giving up.
    pub fn close(sid: Sid, code: u16) -> Message {
        Message { code: Some(code), ..Message::new(Kind::Close, Some(sid)) }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Message {
        self.attrs.insert(name.to_owned(), value.into());
        self
    }

    /// Reads a line, without its line feed.
    pub fn parse(line: &[u8]) -> Result<Message, LineError> {
        let raw: Incoming = serde_json::from_slice(line).map_err(|e| LineError::Malformed(e.to_string()))?;
        let sid = match raw.sid.as_deref() {
            None if raw.kind_needs_sid() => return Err(LineError::BadSid),
            None | Some("") if !raw.kind_needs_sid() => None,
            Some(text) => Some(Sid::parse(text).ok_or(LineError::BadSid)?),
            None => None,
        };
        let attrs = raw.attrs.unwrap_or_default();
        let plain = |v: &Value| v.is_string() || v.is_number();
        if let Some((name, _)) = attrs.iter().find(|(_, v)| !plain(v)) {
            return Err(LineError::Malformed(format!("field {name} is neither a string nor a number")));
        }
        let text = raw.text.map(|t| SessionDescription(t.into()));
        Ok(Message { kind: raw.msg, sid, attrs, code: raw.code, text })
    }

    /// The line, with its line feed.
    pub fn to_line(&self) -> Vec<u8> {
        let text = self.text.as_ref().map(|t| &*t.0);
        let sid = self.sid.map(|s| s.to_string());
        let out = Outgoing { msg: self.kind, sid, attrs: &self.attrs, code: self.code, text };
        // Strings and numbers under string keys always have a JSON form.
        let mut line = serde_json::to_vec(&out).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// A field as text, be it a string or a number.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.attrs.get(name)? {
            Value::String(s) => Some(s.clone()),
            Value::Number(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// A field in milliseconds.
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

/// Splits `a:1;b:2` into its pairs.
pub fn parse_pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    let pair = |p: &'_ str| -> Option<(usize, f64)> {
        let at = p.find(':')?;
        p[at + 1..].trim().parse().ok().filter(|v: &f64| v.is_finite()).map(|v| (at, v))
    };
    text.split(';').filter_map(move |p| pair(p).map(|(at, v)| (p[..at].trim(), v)))
}

/// Reads `a:1;b:2` where every pair must be one of a name and a figure.
pub fn parse_all_pairs(text: &str) -> Option<BTreeMap<&str, f64>> {
    let parts = text.split(';').map(str::trim).filter(|p| !p.is_empty());
    let whole = parts.clone().count();
    let read: BTreeMap<&str, f64> = parts.flat_map(parse_pairs).collect();
    (read.len() == whole).then_some(read)
}

/// Reads a load report. Figures below 0 were not told; names that are unknown are passed over.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut r = LoadReport::default();
    for (name, value) in parse_pairs(text).filter(|p| p.1 >= 0.0) {
        match name {
            "x0" | "spare" => r.free = Some(value),
            "x1" | "total" => r.size = Some(value),
            "inflight" | "active" => r.active = Some(value),
            "queue" | "waiting" => r.waiting = Some(value),
            "util" | "cpu" => r.busy = Some(value),
            "latency_ms" | "avg_ms" => r.wait = Some((value.min(1e9) * 1000.0) as Micros),
            "qps" | "allowed" => r.allowed_rate = Some(value),
            "eps" | "cut_by" => r.reduction = Some(value),
            _ => {}
        }
    }
    r
}

/// Tells names of this program's life from those of the life before it: calls that stood through a restart are
/// released by messages about names that this life has never met. After a while no such call is left.
#[derive(Debug)]
pub struct PreviousRun {
    until: Micros,
    met: HashSet<Sid>,
}

/// Calls of an earlier life are looked out for this long (µs).
const EARLIER: Micros = 90_000_000;
/// Names kept meanwhile; with more than that, none counts as earlier.
const MET: usize = 200_000;

impl PreviousRun {
    /// A life that begins now.
    pub fn new(now: Micros) -> Self {
        PreviousRun { until: now + EARLIER, met: HashSet::new() }
    }

    /// Notes a name of this life.
    pub fn record(&mut self, now: Micros, sid: Sid) {
        if now >= self.until || self.met.len() >= MET {
            (self.until, self.met) = (now, HashSet::new());
        } else {
            self.met.insert(sid);
        }
    }

    /// Whether a name may be one of the earlier life.
    pub fn may_contain(&self, now: Micros, sid: Sid) -> bool {
        now < self.until && !self.met.contains(&sid)
    }
}

/// Cuts a stream of bytes into lines. Guards against a line without an end: what is longer than a message is
/// told once, and nothing after it is kept or read.
#[derive(Debug, Default)]
pub struct LineSplitter {
    rest: Vec<u8>,
    /// A line was too long; where the next one begins can't be known.
    spent: bool,
}

impl LineSplitter {
    /// Adds bytes and gives each line that they complete; empty lines are passed over.
    pub fn push(&mut self, mut bytes: &[u8], mut each: impl FnMut(Result<&[u8], LineError>)) {
        while !self.spent && !bytes.is_empty() {
            let end = bytes.iter().position(|&b| b == b'\n');
            let (head, tail) = bytes.split_at(end.unwrap_or(bytes.len()));
            // One byte more may be a carriage return.
            if self.rest.len() + head.len() > MAX_MESSAGE_BYTES + 1 {
                self.rest = Vec::new();
                self.spent = true;
                return each(Err(LineError::TooLong));
            }
            if end.is_none() {
                return self.rest.extend_from_slice(head);
            }
            bytes = &tail[1..];
            let whole = if self.rest.is_empty() {
                head
            } else {
                self.rest.extend_from_slice(head);
                &self.rest
            };
            let line = whole.strip_suffix(b"\r").unwrap_or(whole);
            match line.len() {
                0 => {}
                n if n > MAX_MESSAGE_BYTES => {
                    self.spent = true;
                    each(Err(LineError::TooLong));
                }
                _ => each(Ok(line)),
            }
            self.rest.clear();
        }
    }

    /// Whether a line has begun and not ended.
    pub fn has_partial_line(&self) -> bool {
        !self.rest.is_empty()
    }
}
