//! Encoding and parsing of MGCP messages: commands, responses, and datagrams that carry several of them.

use std::fmt::Write;

/// Maximum size of a received or sent datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Largest transaction identifier; the smallest is 1.
pub const MAX_TRANSACTION_ID: u32 = 999_999_999;

/// The command verbs that the call agent sends or receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// NotificationRequest.
    Rqnt,
    /// CreateConnection.
    Crcx,
    /// ModifyConnection.
    Mdcx,
    /// DeleteConnection.
    Dlcx,
    /// AuditEndpoint.
    Auep,
    /// Notify.
    Ntfy,
    /// RestartInProgress.
    Rsip,
}

const VERBS: [(&str, Verb); 7] = [
    ("RQNT", Verb::Rqnt),
    ("CRCX", Verb::Crcx),
    ("MDCX", Verb::Mdcx),
    ("DLCX", Verb::Dlcx),
    ("AUEP", Verb::Auep),
    ("NTFY", Verb::Ntfy),
    ("RSIP", Verb::Rsip),
];

impl Verb {
    /// The verb as written in a message.
    pub fn name(self) -> &'static str {
        VERBS.iter().find(|v| v.1 == self).map_or("", |v| v.0)
    }
}

/// The name of an endpoint, `local@domain`. Names are case-insensitive and stored in lower case.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointName {
    /// The name within the gateway; `*` matches all endpoints.
    pub local: String,
    /// The domain name of the gateway.
    pub domain: String,
}

impl EndpointName {
    /// Parses a name.
    pub fn parse(text: &str) -> Option<EndpointName> {
        let (local, domain) = text.split_once('@')?;
        let valid = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_graphic() && b != b'@');
        let lower = str::to_ascii_lowercase;
        (valid(local) && valid(domain)).then(|| EndpointName { local: lower(local), domain: lower(domain) })
    }
}

impl std::fmt::Display for EndpointName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.local, self.domain)
    }
}

/// Parameter lines in message order, with their names in upper case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params(pub Vec<(String, String)>);

impl Params {
    /// The value of the first parameter of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|p| p.0 == name).map(|p| p.1.as_str())
    }

    /// Appends a parameter.
    pub fn with(mut self, name: &str, value: impl ToString) -> Params {
        self.0.push((name.to_owned(), value.to_string()));
        self
    }
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The command verb.
    pub verb: Verb,
    /// The transaction identifier.
    pub transaction: u32,
    /// The endpoint that the command applies to.
    pub endpoint: EndpointName,
    /// The parameter lines.
    pub params: Params,
    /// The session description, passed on unchanged.
    pub sdp: Option<String>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The return code.
    pub code: u16,
    /// The identifier of the answered transaction.
    pub transaction: u32,
    /// The parameter lines.
    pub params: Params,
    /// The session description, passed on unchanged.
    pub sdp: Option<String>,
}

/// One message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A command.
    Command(Command),
    /// A response.
    Response(Response),
}

/// A message that could not be parsed. If it has a transaction it is answered with the return code, otherwise it
/// is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid MGCP message (return code {code}, transaction {transaction:?})")]
pub struct InvalidMessage {
    /// The transaction, if the message is a command and its identifier could be read.
    pub transaction: Option<u32>,
    /// The return code that describes the error.
    pub code: u16,
}

/// Return codes for messages that could not be parsed or executed.
pub mod parse_error {
    /// Protocol error.
    pub const SYNTAX: u16 = 510;
    /// The verb is unknown, or is not one that a call agent accepts.
    pub const VERB: u16 = 504;
    /// The protocol version is not supported.
    pub const VERSION: u16 = 528;
}

impl Command {
    /// Encodes the message.
    pub fn encode(&self) -> String {
        let head = format!("{} {} {} MGCP 1.0\r\n", self.verb.name(), self.transaction, self.endpoint);
        encode_body(head, &self.params, self.sdp.as_deref())
    }
}

impl Response {
    /// A response without parameters.
    pub fn new(code: u16, transaction: u32) -> Response {
        Response { code, transaction, params: Params::default(), sdp: None }
    }

    /// Encodes the message.
    pub fn encode(&self) -> String {
        let head =
            format!("{:03} {} {}\r\n", self.code, self.transaction, super::codes::commentary(self.code));
        encode_body(head, &self.params, self.sdp.as_deref())
    }
}

fn encode_body(mut text: String, params: &Params, sdp: Option<&str>) -> String {
    for (name, value) in &params.0 {
        // Writing to a String cannot fail.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if let Some(sdp) = sdp {
        text.push_str("\r\n");
        text.push_str(sdp);
    }
    text
}

/// Parses a datagram: one message, or several separated by lines with a single dot.
pub fn parse(datagram: &[u8]) -> Vec<Result<Message, InvalidMessage>> {
    let Ok(text) = std::str::from_utf8(datagram) else {
        let head = datagram.split(|&b| b == b'\n').next().unwrap_or_default();
        let transaction = command_transaction(&String::from_utf8_lossy(head));
        return vec![Err(InvalidMessage { transaction, code: parse_error::SYNTAX })];
    };
    let mut messages = Vec::new();
    let mut begin = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if line.trim_end() == "." {
            messages.push(parse_message(&text[begin..end]));
            begin = end + line.len();
        }
        end += line.len();
    }
    messages.push(parse_message(&text[begin..]));
    messages
}

fn parse_transaction_id(text: &str) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit()) && (1..=9).contains(&text.len());
    digits.then(|| text.parse().ok()).flatten().filter(|n| (1..=MAX_TRANSACTION_ID).contains(n))
}

/// The transaction identifier in the first line of a message, unless the message is a response.
fn command_transaction(head: &str) -> Option<u32> {
    let mut words = head.split_whitespace();
    let verb = words.next()?;
    // A first word that starts with a digit belongs to a response, which is never answered with an error.
    let is_verb =
        verb.bytes().all(|b| b.is_ascii_alphanumeric()) && !verb.starts_with(|c: char| c.is_ascii_digit());
    parse_transaction_id(words.next()?).filter(|_| is_verb)
}

fn parse_message(text: &str) -> Result<Message, InvalidMessage> {
    let (head, body) = text.split_once('\n').unwrap_or((text, ""));
    let transaction = command_transaction(head);
    let invalid = |code| InvalidMessage { transaction, code };
    let syntax = invalid(parse_error::SYNTAX);
    let mut words = head.split_whitespace();
    let (Some(first), Some(id)) = (words.next(), words.next()) else { return Err(syntax) };
    if first.len() == 3 && first.bytes().all(|b| b.is_ascii_digit()) {
        let (params, sdp) = parse_body(body).ok_or(syntax)?;
        let (Ok(code), Some(transaction)) = (first.parse(), parse_transaction_id(id)) else {
            return Err(syntax);
        };
        return Ok(Message::Response(Response { code, transaction, params, sdp }));
    }
    if transaction.is_none() {
        return Err(syntax);
    }
    let verb = VERBS.iter().find(|v| first.eq_ignore_ascii_case(v.0)).map(|v| v.1);
    let verb = match verb {
        Some(verb) => verb,
        // An unknown four-character word may be the verb of a protocol extension.
        None if first.len() == 4 => return Err(invalid(parse_error::VERB)),
        None => return Err(syntax),
    };
    let (Some(endpoint), Some(protocol), Some(version)) = (words.next(), words.next(), words.next()) else {
        return Err(syntax);
    };
    let endpoint = EndpointName::parse(endpoint).ok_or(syntax)?;
    if !protocol.eq_ignore_ascii_case("MGCP") {
        return Err(syntax);
    }
    if version != "1.0" {
        return Err(invalid(parse_error::VERSION));
    }
    let (params, sdp) = parse_body(body).ok_or(syntax)?;
    let transaction = transaction.unwrap_or_default();
    Ok(Message::Command(Command { verb, transaction, endpoint, params, sdp }))
}

/// Parses the parameter lines and the session description that follows after an empty line; `None` for a line
/// that is not a parameter.
fn parse_body(mut body: &str) -> Option<(Params, Option<String>)> {
    let mut params = Params::default();
    while !body.is_empty() {
        let (line, tail) = body.split_once('\n').unwrap_or((body, ""));
        body = tail;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((params, (!body.is_empty()).then(|| body.to_owned())));
        }
        let (name, value) = line.split_once(':')?;
        let name = name.trim();
        if name.is_empty() || name.contains(char::is_whitespace) {
            return None;
        }
        params.0.push((name.to_ascii_uppercase(), value.trim().to_owned()));
    }
    Some((params, None))
}

/// Parses a list of events such as `L/hd, D/1(N), D/2` into pairs of package and event, without the event
/// parameters.
pub fn parse_events(list: &str) -> Vec<(String, String)> {
    let mut parsed = Vec::new();
    let (mut depth, mut word) = (0_i32, String::new());
    for c in list.chars().chain([',']) {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                let name = std::mem::take(&mut word).trim().to_ascii_lowercase();
                // An event without a package name belongs to the default package, the line package.
                let (package, event) = name.split_once('/').unwrap_or(("l", &name));
                if !event.is_empty() {
                    parsed.push((package.to_owned(), event.to_owned()));
                }
            }
            c if depth == 0 => word.push(c),
            _ => {}
        }
    }
    parsed
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_command_with_a_session_description_survives_parsing_and_encoding_unchanged() {
        let sdp = "v=0\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n";
        let text = format!("CRCX 1204 lamp/1@cab-1 MGCP 1.0\r\nC: a1\r\nM: recvonly\r\n\r\n{sdp}");
        let messages = parse(text.as_bytes());
        let [Ok(Message::Command(c))] = &messages[..] else { panic!("{messages:?}") };
        assert_eq!((c.verb, c.transaction, c.params.get("M")), (Verb::Crcx, 1204, Some("recvonly")));
        assert_eq!(c.sdp.as_deref(), Some(sdp));
        assert_eq!(c.encode(), text);
    }

    #[test]
    fn a_datagram_may_carry_several_messages() {
        let text = "200 7 OK\nI: fde2\n\nv=0\n.\nntfy 8 Lamp/2@CAB-1 mgcp 1.0\nO: L/hd\n";
        let messages = parse(text.as_bytes());
        let [Ok(Message::Response(r)), Ok(Message::Command(c))] = &messages[..] else {
            panic!("{messages:?}")
        };
        assert_eq!((r.code, r.sdp.as_deref(), r.params.get("I")), (200, Some("v=0\n"), Some("fde2")));
        assert_eq!((c.verb, c.endpoint.to_string().as_str()), (Verb::Ntfy, "lamp/2@cab-1"));
    }

    #[test]
    fn invalid_messages_give_a_return_code_and_invalid_responses_give_no_transaction() {
        let code = |text: &str| match parse(text.as_bytes()).remove(0) {
            Err(u) => (u.transaction, u.code),
            Ok(p) => panic!("{p:?}"),
        };
        assert_eq!(code("NTFY 5 lamp1 MGCP 1.0\r\n"), (Some(5), 510));
        assert_eq!(code("NTFY 5 a@b MGCP 1.0\r\nno colon\r\n"), (Some(5), 510));
        assert_eq!(code("NTFY 5 a@b MGCP 0.1\r\n"), (Some(5), 528));
        assert_eq!(code("XYZW 5 a@b MGCP 1.0\r\n"), (Some(5), 504));
        assert_eq!(code("NTFY 0 a@b MGCP 1.0\r\n"), (None, 510));
        assert_eq!(code("200 x OK\r\n"), (None, 510));
        assert_eq!(code("2000 5 OK\r\n"), (None, 510));
        assert_eq!(code(""), (None, 510));
        assert_eq!(
            parse(b"NTFY 5 \xff@b MGCP 1.0\r\n"),
            [Err(InvalidMessage { transaction: Some(5), code: 510 })]
        );
    }

    #[test]
    fn event_lists_are_not_split_inside_parameters() {
        let got = parse_events("L/hd(N), D/1,d/T, G/ft(x,y),hu");
        let want = [("l", "hd"), ("d", "1"), ("d", "t"), ("g", "ft"), ("l", "hu")];
        assert_eq!(got, want.map(|(p, e)| (p.to_owned(), e.to_owned())));
    }
}
