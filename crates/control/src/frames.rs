//! The messages: one JSON object a line, each with the version of the form.
//!
//! ```text
//! -> {"v":1,"id":"k3-1","who":"awa","do":"drain","target":"exchange:4","reason":"new power supply","limit_s":3600}
//! <- {"v":1,"reply":"k3-1","ok":true,"is":"done","order":17,"text":"exchange:4 drains: 3 calls stand there, ..."}
//! ```

use crate::views::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version that is spoken.
pub const VERSION: u32 = 1;
/// The longest request (bytes, without its line feed).
pub const LONGEST_REQUEST: usize = 16 * 1024;
/// The longest message to an operator's program (bytes).
pub const LONGEST_REPLY: usize = 4 * 1024 * 1024;
/// The longest id, name or other text in a request (bytes).
pub const TEXT: usize = 200;

/// What can be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Topic {
    /// Is it serving, and what is wrong.
    Status,
    /// The exchanges.
    Exchanges,
    /// The calls, oldest first.
    Calls,
    /// How calls fare.
    Service,
    /// The drains.
    Drains,
    /// The alarms.
    Alarms,
    /// The counters.
    Counters,
    /// The instances that gossip.
    Peers,
    /// What they speak against.
    Suspicions,
    /// Each event as it happens.
    Events,
}

/// All topics.
pub const TOPICS: [Topic; 10] = [
    Topic::Status,
    Topic::Exchanges,
    Topic::Calls,
    Topic::Service,
    Topic::Drains,
    Topic::Alarms,
    Topic::Counters,
    Topic::Peers,
    Topic::Suspicions,
    Topic::Events,
];

/// What happens when a drain's limit passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum AtLimit {
    /// It stays out of service.
    #[default]
    Keep,
    /// It goes back into service.
    Restore,
    /// The calls that are left are cut.
    Cut,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Operation {
    /// A topic as it is now.
    Show {
        /// Which.
        topic: Topic,
        /// Only calls that contain this text.
        #[serde(default)]
        search: String,
    },
    /// Send a topic again and again, or each event.
    Watch {
        /// Which.
        topics: Vec<Topic>,
        /// Time between two sendings (ms).
        #[serde(default = "second")]
        every_ms: u32,
        /// Only calls that contain this text.
        #[serde(default)]
        search: String,
    },
    /// Stop sending.
    Unwatch,
    /// Take out of service.
    Drain {
        /// `exchange:NUMBER`, `group:NUMBER` or `controller`.
        target: String,
        /// Why.
        #[serde(default)]
        reason: String,
        /// For how long at most (s).
        #[serde(default)]
        limit_s: Option<u32>,
        /// What happens then.
        #[serde(default)]
        at_limit: AtLimit,
        /// Override the policy.
        #[serde(default)]
        force: bool,
    },
    /// Tell what a drain would cost, and whether it would be taken.
    Cost {
        /// As for a drain.
        target: String,
    },
    /// Put back into service.
    Undrain {
        /// As for a drain.
        target: String,
    },
    /// Drain these one after the other, each put back and seen to work before the next one goes.
    Round {
        /// As for a drain.
        targets: Vec<String>,
        /// Why.
        #[serde(default)]
        reason: String,
        /// An empty one is put back by itself after so long (s); without it, at the word.
        #[serde(default)]
        pause_s: Option<u32>,
    },
    /// The word: the round goes on.
    Next,
    /// The round ends here; what is drained stays so.
    Halt,
    /// The orders that were given.
    Audit,
    /// What the program was told.
    Config,
    /// Read, or set, what the log has.
    Log {
        /// The filter, as `info,walnuthatch::drains=debug`.
        #[serde(default)]
        filter: Option<String>,
    },
    /// An alarm was seen.
    Seen {
        /// Its name.
        alarm: String,
    },
    /// Stop the program once all calls that were taken have their answer.
    Stop,
}

fn second() -> u32 {
    1000
}

/// A message from an operator's program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Request {
    /// The version of the form.
    pub v: u32,
    /// Chosen by the program, new for each command; the same one again, also on another connection, acts no more.
    pub id: String,
    /// Who asks, for the audit log.
    #[serde(default)]
    pub who: String,
    /// What for.
    #[serde(flatten)]
    pub operation: Operation,
}

/// What a reply or a view has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "is", rename_all = "lowercase")]
pub enum Body {
    /// The state in short.
    Status(Status),
    /// The exchanges.
    Exchanges {
        /// One for each.
        exchanges: Vec<Exchange>,
    },
    /// The calls.
    Calls {
        /// Oldest first.
        calls: Vec<Call>,
        /// How many there are in all.
        total: usize,
    },
    /// How calls fare.
    Service(Service),
    /// The drains.
    Drains {
        /// Those that are not over.
        drains: Vec<Drain>,
        /// The last ones that are over.
        over: Vec<Drain>,
        /// The windows.
        windows: Vec<Window>,
        /// The round of maintenance, the last one also when it is over.
        #[serde(default)]
        round: Option<Round>,
    },
    /// The alarms.
    Alarms {
        /// The gravest first.
        alarms: Vec<Alarm>,
    },
    /// The counters.
    Counters {
        /// By name.
        counters: std::collections::BTreeMap<String, u64>,
    },
    /// The instances that gossip.
    Peers {
        /// By their ids.
        peers: Vec<Peer>,
    },
    /// What they speak against.
    Suspicions {
        /// By exchange.
        suspicions: Vec<Suspicion>,
    },
    /// The orders that were given.
    Audit {
        /// Oldest first.
        audit: Vec<Audit>,
    },
    /// What a drain would cost.
    Cost(Cost),
    /// A text.
    Text {
        /// The text.
        text: String,
    },
    /// An order was carried out.
    Done {
        /// Its number.
        order: u64,
        /// In words.
        text: String,
    },
    /// Something happened.
    Event(Event),
    /// What happened, oldest first.
    Events {
        /// The last ones.
        events: Vec<Event>,
    },
}

/// A message to an operator's program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Frame {
    /// The answer to a request.
    Reply {
        /// The version of the form.
        v: u32,
        /// The request's id; empty if it could not be read.
        reply: String,
        /// Whether it was done.
        ok: bool,
        /// Why not.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        error: Option<String>,
        /// What was asked for.
        #[serde(flatten)]
        body: Option<Body>,
    },
    /// A topic that is watched.
    View {
        /// The version of the form.
        v: u32,
        /// Which.
        view: Topic,
        /// As it is now.
        #[serde(flatten)]
        body: Body,
    },
    /// Events were lost: the program did not read.
    Lost {
        /// The version of the form.
        v: u32,
        /// How many.
        lost: u64,
    },
}

/// What is wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// It is no JSON object.
    #[error("not a JSON object: {0}")]
    Json(String),
    /// Another version.
    #[error("v: {0}, expected {VERSION}")]
    Version(String),
    /// The id.
    #[error("id: {0}, expected a text of 1 to {TEXT} bytes")]
    Id(String),
    /// It is longer than may be.
    #[error("longer than {LONGEST_REQUEST} bytes")]
    Long,
    /// A field is missing, odd or of the wrong kind.
    #[error("{0}")]
    Field(String),
}

impl Request {
    /// Reads a line. The error bears the id, if that could be read.
    ///
    /// # Errors
    /// Says what is wrong.
    pub fn parse(line: &[u8]) -> Result<Request, (String, BadRequest)> {
        let none = |e: BadRequest| (String::new(), e);
        let value: serde_json::Value =
            serde_json::from_slice(line).map_err(|e| none(BadRequest::Json(e.to_string())))?;
        let mut fields = match value {
            serde_json::Value::Object(fields) => fields,
            other => return Err(none(BadRequest::Json(format!("found {}", kind(&other))))),
        };
        let id = match fields.remove("id") {
            Some(serde_json::Value::String(id)) if (1..=TEXT).contains(&id.len()) => id,
            other => return Err(none(BadRequest::Id(other.as_ref().map_or("missing", kind).to_owned()))),
        };
        match fields.remove("v") {
            Some(v) if v.as_u64() == Some(VERSION.into()) => {}
            v => return Err((id, BadRequest::Version(v.map_or("missing".into(), |v| v.to_string())))),
        }
        let who = match fields.remove("who") {
            None => String::new(),
            Some(serde_json::Value::String(who)) if who.len() <= TEXT => who,
            Some(_) => {
                return Err((id, BadRequest::Field(format!("who: expected a text of up to {TEXT} bytes"))))
            }
        };
        if !fields.contains_key("do") {
            return Err((id, BadRequest::Field("do: missing".into())));
        }
        match serde_json::from_value(serde_json::Value::Object(fields)) {
            Ok(operation) => Ok(Request { v: VERSION, id, who, operation }),
            Err(e) => Err((id, BadRequest::Field(e.to_string()))),
        }
    }
}

fn kind(v: &serde_json::Value) -> &'static str {
    match v {
        serde_json::Value::Null => "null",
        serde_json::Value::Bool(_) => "a truth value",
        serde_json::Value::Number(_) => "a number",
        serde_json::Value::String(_) => "a text of another length",
        serde_json::Value::Array(_) => "a list",
        serde_json::Value::Object(_) => "an object",
    }
}

/// A message as a line.
pub fn line(message: &impl Serialize) -> Vec<u8> {
    // Texts, numbers and lists always have a JSON form.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

/// The schemas of all messages, as JSON.
pub fn schema() -> serde_json::Value {
    serde_json::json!({
        "request": schemars::schema_for!(Request),
        "frame": schemars::schema_for!(Frame),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_read_as_they_are_written_and_faults_named() {
        let operation = Operation::Drain {
            target: "exchange:4".into(),
            reason: "é\n".into(),
            limit_s: Some(9),
            at_limit: AtLimit::Cut,
            force: true,
        };
        let r = Request { v: VERSION, id: "a".into(), who: "b".into(), operation };
        assert_eq!(Request::parse(&line(&r)), Ok(r));
        for (text, id, want) in [
            ("", "", "not a JSON object"),
            ("[1]", "", "found a list"),
            (r#"{"v":1,"do":"audit"}"#, "", "id: missing"),
            (r#"{"v":2,"id":"x","do":"audit"}"#, "x", "v: 2, expected 1"),
            (r#"{"v":1,"id":"x"}"#, "x", "do: missing"),
            (r#"{"v":1,"id":"x","do":"dance"}"#, "x", "dance"),
            (r#"{"v":1,"id":"x","do":"drain"}"#, "x", "target"),
            (r#"{"v":1,"id":"x","do":"drain","target":"controller","limit_s":-1}"#, "x", "-1"),
            (r#"{"v":1,"id":"x","do":"undrain","target":"controller","odd":1}"#, "x", "odd"),
            (r#"{"v":1,"id":"x","do":"show","topic":"moon"}"#, "x", "moon"),
        ] {
            let (got, error) = Request::parse(text.as_bytes()).unwrap_err();
            assert!(got == id && error.to_string().contains(want), "{text}: {error}");
        }
    }

    #[test]
    fn frames_are_told_apart() {
        let done = Body::Done { order: 3, text: "x".into() };
        for f in [
            Frame::Reply { v: 1, reply: "a".into(), ok: true, error: None, body: Some(done.clone()) },
            Frame::Reply { v: 1, reply: "a".into(), ok: false, error: Some("no".into()), body: None },
            Frame::View { v: 1, view: Topic::Calls, body: Body::Calls { calls: Vec::new(), total: 0 } },
            Frame::Lost { v: 1, lost: 7 },
        ] {
            assert_eq!(serde_json::from_slice::<Frame>(&line(&f)).unwrap(), f);
        }
    }
}
