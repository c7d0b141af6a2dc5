//! Messages of the control socket: one JSON object per line, each with the protocol version.
//!
//! ```text
//! -> {"v":1,"id":"k3-1","who":"awa","do":"drain","target":"exchange:4","reason":"new power supply","limit_s":3600}
//! <- {"v":1,"reply":"k3-1","ok":true,"is":"done","order":17,"text":"exchange:4 drains: 3 calls stand there, ..."}
//! ```

use crate::views::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The protocol version.
pub const VERSION: u32 = 1;
/// Maximum size of a request (bytes, without the line feed).
pub const MAX_REQUEST_BYTES: usize = 16 * 1024;
/// Maximum size of a message from the controller (bytes).
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of an id or a name in a request (bytes).
pub const MAX_TEXT_BYTES: usize = 200;

/// A topic that can be shown or watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Topic {
    /// State of the controller in short.
    Status,
    /// Exchanges and gateways.
    Exchanges,
    /// Calls, oldest first.
    Calls,
    /// Call outcomes and answer times.
    Service,
    /// Drains and maintenance windows.
    Drains,
    /// Raised alarms.
    Alarms,
    /// Counters.
    Counters,
    /// Members of the gossip group.
    Peers,
    /// Exchanges that gossip members suspect.
    Suspicions,
    /// Events as they happen.
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

/// What happens when the time limit of a drain expires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum AtLimit {
    /// The target stays out of service.
    #[default]
    Keep,
    /// The target returns to service.
    Restore,
    /// The remaining calls are released.
    Cut,
}

/// An operation requested by a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Operation {
    /// Return the current view of a topic.
    Show {
        /// The topic.
        topic: Topic,
        /// Only include calls whose line contains this text.
        #[serde(default)]
        search: String,
    },
    /// Send views of topics periodically, and events as they happen.
    Watch {
        /// The topics; they replace those watched before.
        topics: Vec<Topic>,
        /// Interval between two views (ms).
        #[serde(default = "default_view_interval_ms")]
        every_ms: u32,
        /// Only include calls whose line contains this text.
        #[serde(default)]
        search: String,
    },
    /// Stop watching.
    Unwatch,
    /// Take a target out of service.
    Drain {
        /// `exchange:NUMBER`, `group:NUMBER` or `controller`.
        target: String,
        /// The reason, for the audit log.
        #[serde(default)]
        reason: String,
        /// Time limit of the drain (s).
        #[serde(default)]
        limit_s: Option<u32>,
        /// What happens when the limit expires.
        #[serde(default)]
        at_limit: AtLimit,
        /// Override the drain policy.
        #[serde(default)]
        force: bool,
    },
    /// Estimate the impact of a drain and whether the policy would accept it.
    Cost {
        /// Target, as for a drain.
        target: String,
    },
    /// Return a target to service.
    Undrain {
        /// Target, as for a drain.
        target: String,
    },
    /// Drain targets one after the other. Each is returned to service and checked before the next one is drained.
    Round {
        /// Targets, as for a drain.
        targets: Vec<String>,
        /// The reason, for the audit log.
        #[serde(default)]
        reason: String,
        /// How long a target stays empty before it is returned to service (s); without it, until `next`.
        #[serde(default)]
        pause_s: Option<u32>,
    },
    /// Continue the round of maintenance.
    Next,
    /// Halt the round until `next`; targets that are drained stay drained.
    Halt,
    /// Return the audit log of orders.
    Audit,
    /// Return a summary of the configuration.
    Config,
    /// Return the log filter, or set it.
    Log {
        /// The new filter, such as `info,walnuthatch::drains=debug`.
        #[serde(default)]
        filter: Option<String>,
    },
    /// Acknowledge an alarm.
    Seen {
        /// Name of the alarm.
        alarm: String,
    },
    /// Stop the controller once all accepted calls have been answered.
    Stop,
}

fn default_view_interval_ms() -> u32 {
    1000
}

/// A message from a client to the controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Request {
    /// The protocol version.
    pub v: u32,
    /// Request id chosen by the client, unique for each request. An order repeated with the same id, also on another
    /// connection, is not carried out again.
    pub id: String,
    /// Name of the operator, for the audit log.
    #[serde(default)]
    pub who: String,
    /// The requested operation.
    #[serde(flatten)]
    pub operation: Operation,
}

/// Contents of a reply or a view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "is", rename_all = "lowercase")]
pub enum Body {
    /// State of the controller in short.
    Status(Status),
    /// Exchanges and gateways.
    Exchanges {
        /// One entry for each.
        exchanges: Vec<Exchange>,
    },
    /// Calls.
    Calls {
        /// The selected calls, oldest first.
        calls: Vec<Call>,
        /// Number of all calls.
        total: usize,
    },
    /// Call outcomes and answer times.
    Service(Service),
    /// Drains, maintenance windows and the round of maintenance.
    Drains {
        /// Active drains.
        drains: Vec<Drain>,
        /// The most recent finished drains.
        over: Vec<Drain>,
        /// Maintenance windows.
        windows: Vec<Window>,
        /// The current round of maintenance, or the last finished one.
        #[serde(default)]
        round: Option<Round>,
    },
    /// Raised alarms.
    Alarms {
        /// By descending severity.
        alarms: Vec<Alarm>,
    },
    /// Counters.
    Counters {
        /// Values by name.
        counters: std::collections::BTreeMap<String, u64>,
    },
    /// Members of the gossip group.
    Peers {
        /// Ordered by id.
        peers: Vec<Peer>,
    },
    /// Exchanges that gossip members suspect.
    Suspicions {
        /// Ordered by exchange.
        suspicions: Vec<Suspicion>,
    },
    /// Audit log of orders.
    Audit {
        /// Entries, oldest first.
        audit: Vec<Audit>,
    },
    /// Estimated impact of a drain.
    Cost(Cost),
    /// Plain text.
    Text {
        /// The text.
        text: String,
    },
    /// An order was carried out.
    Done {
        /// Number of the order.
        order: u64,
        /// Description of the result.
        text: String,
    },
    /// A single event.
    Event(Event),
    /// Recent events, oldest first.
    Events {
        /// The most recent events.
        events: Vec<Event>,
    },
}

/// A message from the controller to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Frame {
    /// The reply to a request.
    Reply {
        /// The protocol version.
        v: u32,
        /// Id of the request; empty if it could not be read or the reply concerns the connection.
        reply: String,
        /// Whether the request succeeded.
        ok: bool,
        /// Why the request failed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        error: Option<String>,
        /// The result of the request.
        #[serde(flatten)]
        body: Option<Body>,
    },
    /// A view of a watched topic.
    View {
        /// The protocol version.
        v: u32,
        /// The topic.
        view: Topic,
        /// Its current contents.
        #[serde(flatten)]
        body: Body,
    },
    /// Events were dropped because the client did not read them in time.
    Lost {
        /// The protocol version.
        v: u32,
        /// Number of dropped events.
        lost: u64,
    },
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The line is not a JSON object.
    #[error("not a JSON object: {0}")]
    Json(String),
    /// Unsupported protocol version.
    #[error("v: {0}, expected {VERSION}")]
    Version(String),
    /// Missing or invalid id.
    #[error("id: {0}, expected a string of 1 to {MAX_TEXT_BYTES} bytes")]
    Id(String),
    /// The line is longer than [`MAX_REQUEST_BYTES`].
    #[error("longer than {MAX_REQUEST_BYTES} bytes")]
    Long,
    /// A field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Field(String),
}

impl Request {
    /// Parses a request from a line.
    ///
    /// # Errors
    /// Returns the id, or an empty string if it could not be read, and the reason.
    pub fn parse(line: &[u8]) -> Result<Request, (String, BadRequest)> {
        let without_id = |e: BadRequest| (String::new(), e);
        let value: serde_json::Value =
            serde_json::from_slice(line).map_err(|e| without_id(BadRequest::Json(e.to_string())))?;
        let mut fields = match value {
            serde_json::Value::Object(fields) => fields,
            other => return Err(without_id(BadRequest::Json(format!("found {}", json_type(&other))))),
        };
        let id = match fields.remove("id") {
            Some(serde_json::Value::String(id)) if (1..=MAX_TEXT_BYTES).contains(&id.len()) => id,
            other => {
                return Err(without_id(BadRequest::Id(
                    other.as_ref().map_or("missing", json_type).to_owned(),
                )))
            }
        };
        match fields.remove("v") {
            Some(v) if v.as_u64() == Some(VERSION.into()) => {}
            v => return Err((id, BadRequest::Version(v.map_or("missing".into(), |v| v.to_string())))),
        }
        let who = match fields.remove("who") {
            None => String::new(),
            Some(serde_json::Value::String(who)) if who.len() <= MAX_TEXT_BYTES => who,
            Some(_) => {
                return Err((
                    id,
                    BadRequest::Field(format!("who: expected a string of up to {MAX_TEXT_BYTES} bytes")),
                ))
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

fn json_type(v: &serde_json::Value) -> &'static str {
    match v {
        serde_json::Value::Null => "null",
        serde_json::Value::Bool(_) => "a boolean",
        serde_json::Value::Number(_) => "a number",
        serde_json::Value::String(_) => "a string of invalid length",
        serde_json::Value::Array(_) => "an array",
        serde_json::Value::Object(_) => "an object",
    }
}

/// Encodes a message as one line of JSON.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail: the messages hold only strings, numbers, lists and maps with string keys.
    let mut bytes = serde_json::to_vec(message).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

/// Returns the JSON schemas of all messages.
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
    fn requests_round_trip_and_errors_name_the_fault() {
        let operation = Operation::Drain {
            target: "exchange:4".into(),
            reason: "é\n".into(),
            limit_s: Some(9),
            at_limit: AtLimit::Cut,
            force: true,
        };
        let r = Request { v: VERSION, id: "a".into(), who: "b".into(), operation };
        assert_eq!(Request::parse(&encode_line(&r)), Ok(r));
        for (text, id, want) in [
            ("", "", "not a JSON object"),
            ("[1]", "", "found an array"),
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
    fn frames_round_trip_to_the_same_variant() {
        let done = Body::Done { order: 3, text: "x".into() };
        for f in [
            Frame::Reply { v: 1, reply: "a".into(), ok: true, error: None, body: Some(done.clone()) },
            Frame::Reply { v: 1, reply: "a".into(), ok: false, error: Some("no".into()), body: None },
            Frame::View { v: 1, view: Topic::Calls, body: Body::Calls { calls: Vec::new(), total: 0 } },
            Frame::Lost { v: 1, lost: 7 },
        ] {
            assert_eq!(serde_json::from_slice::<Frame>(&encode_line(&f)).unwrap(), f);
        }
    }
}
