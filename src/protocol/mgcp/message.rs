//! MGCP messages: commands, responses, and datagrams that carry several of them.

use std::fmt::Write;

/// The longest datagram that is taken or sent.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Transaction identifiers are numbers from 1 to this.
pub const MAX_TRANSACTION_ID: u32 = 999_999_999;

/// The verbs that this program sends or takes.
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
    /// The four letters of the verb.
    pub fn name(self) -> &'static str {
        VERBS.iter().find(|v| v.1 == self).map_or("", |v| v.0)
    }
}

/// The name of an endpoint: `local@domain`. Case means nothing in it, so that it is kept in small letters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointName {
    /// The name within the gateway; `*` stands for all of them.
    pub local: String,
    /// The gateway.
    pub domain: String,
}

impl EndpointName {
    /// Reads a name.
    pub fn parse(text: &str) -> Option<EndpointName> {
        let (local, domain) = text.split_once('@')?;
        let good = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_graphic() && b != b'@');
        let lower = str::to_ascii_lowercase;
        (good(local) && good(domain)).then(|| EndpointName { local: lower(local), domain: lower(domain) })
    }
}

impl std::fmt::Display for EndpointName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.local, self.domain)
    }
}

/// Parameter lines, with their names in capitals, in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params(pub Vec<(String, String)>);

impl Params {
    /// The value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|p| p.0 == name).map(|p| p.1.as_str())
    }

    /// Adds a parameter.
    pub fn with(mut self, name: &str, value: impl ToString) -> Params {
        self.0.push((name.to_owned(), value.to_string()));
        self
    }
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Its verb.
    pub verb: Verb,
    /// Its transaction.
    pub transaction: u32,
    /// The endpoint that it is about.
    pub endpoint: EndpointName,
    /// Its parameters.
    pub params: Params,
    /// The session description, unchanged.
    pub sdp: Option<String>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The return code.
    pub code: u16,
    /// The transaction that it answers.
    pub transaction: u32,
    /// Its parameters.
    pub params: Params,
    /// The session description, unchanged.
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

/// A message that can't be used. With a transaction it is answered by the code; without one it is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("code {code} for transaction {transaction:?}")]
pub struct InvalidMessage {
    /// The transaction, where it could be read and is a command's.
    pub transaction: Option<u32>,
    /// The return code that says why.
    pub code: u16,
}

/// Return codes for messages that can't be used.
pub mod parse_error {
    /// A protocol error.
    pub const SYNTAX: u16 = 510;
    /// The verb is not known, or not for a call agent.
    pub const VERB: u16 = 504;
    /// The version is not known.
    pub const VERSION: u16 = 528;
}

impl Command {
    /// The message.
    pub fn encode(&self) -> String {
        let head = format!("{} {} {} MGCP 1.0\r\n", self.verb.name(), self.transaction, self.endpoint);
        rest(head, &self.params, self.sdp.as_deref())
    }
}

impl Response {
    /// A response without parameters.
    pub fn new(code: u16, transaction: u32) -> Response {
        Response { code, transaction, params: Params::default(), sdp: None }
    }

    /// The message.
    pub fn encode(&self) -> String {
        let head = format!("{:03} {} {}\r\n", self.code, self.transaction, super::codes::comment(self.code));
        rest(head, &self.params, self.sdp.as_deref())
    }
}

fn rest(mut text: String, params: &Params, sdp: Option<&str>) -> String {
    for (name, value) in &params.0 {
        // Writing to a string can't fail.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if let Some(sdp) = sdp {
        text.push_str("\r\n");
        text.push_str(sdp);
    }
    text
}

/// Reads a datagram: one message, or several parted by lines with a single dot.
pub fn parse(datagram: &[u8]) -> Vec<Result<Message, InvalidMessage>> {
    let Ok(text) = std::str::from_utf8(datagram) else {
        let head = datagram.split(|&b| b == b'\n').next().unwrap_or_default();
        let transaction = command_transaction(&String::from_utf8_lossy(head));
        return vec![Err(InvalidMessage { transaction, code: parse_error::SYNTAX })];
    };
    let mut out = Vec::new();
    let mut begin = 0;
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        if line.trim_end() == "." {
            out.push(message(&text[begin..at]));
            begin = at + line.len();
        }
        at += line.len();
    }
    out.push(message(&text[begin..]));
    out
}

fn number(text: &str) -> Option<u32> {
    let digits = text.bytes().all(|b| b.is_ascii_digit()) && (1..=9).contains(&text.len());
    digits.then(|| text.parse().ok()).flatten().filter(|n| (1..=MAX_TRANSACTION_ID).contains(n))
}

/// The transaction of what may be meant as a command.
fn command_transaction(head: &str) -> Option<u32> {
    let mut words = head.split_whitespace();
    let verb = words.next()?;
    // What begins with a digit is a response; an error is never answered to one.
    let letters =
        verb.bytes().all(|b| b.is_ascii_alphanumeric()) && !verb.starts_with(|c: char| c.is_ascii_digit());
    number(words.next()?).filter(|_| letters)
}

fn message(text: &str) -> Result<Message, InvalidMessage> {
    let (head, body) = text.split_once('\n').unwrap_or((text, ""));
    let transaction = command_transaction(head);
    let unusable = |code| InvalidMessage { transaction, code };
    let syntax = unusable(parse_error::SYNTAX);
    let mut words = head.split_whitespace();
    let (Some(first), Some(id)) = (words.next(), words.next()) else { return Err(syntax) };
    if first.len() == 3 && first.bytes().all(|b| b.is_ascii_digit()) {
        let (params, sdp) = lines(body).ok_or(syntax)?;
        let (Ok(code), Some(transaction)) = (first.parse(), number(id)) else { return Err(syntax) };
        return Ok(Message::Response(Response { code, transaction, params, sdp }));
    }
    if transaction.is_none() {
        return Err(syntax);
    }
    let verb = VERBS.iter().find(|v| first.eq_ignore_ascii_case(v.0)).map(|v| v.1);
    let verb = match verb {
        Some(verb) => verb,
        // Any four letters may be the verb of an extension.
        None if first.len() == 4 => return Err(unusable(parse_error::VERB)),
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
        return Err(unusable(parse_error::VERSION));
    }
    let (params, sdp) = lines(body).ok_or(syntax)?;
    let transaction = transaction.unwrap_or_default();
    Ok(Message::Command(Command { verb, transaction, endpoint, params, sdp }))
}

/// The parameter lines and, after an empty line, the description as it is.
fn lines(mut body: &str) -> Option<(Params, Option<String>)> {
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

/// Splits a list of events such as `L/hd, D/1(N), D/2` into package and event, without their parameters.
pub fn events(list: &str) -> Vec<(String, String)> {
    let mut out = Vec::new();
    let (mut depth, mut word) = (0_i32, String::new());
    for c in list.chars().chain([',']) {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                let name = std::mem::take(&mut word).trim().to_ascii_lowercase();
                // Without a package it is the default package's event: the line's.
                let (package, event) = name.split_once('/').unwrap_or(("l", &name));
                if !event.is_empty() {
                    out.push((package.to_owned(), event.to_owned()));
                }
            }
            c if depth == 0 => word.push(c),
            _ => {}
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_command_is_read_with_its_description_unchanged_and_written_back_the_same() {
        let sdp = "v=0\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n";
        let text = format!("CRCX 1204 lamp/1@cab-1 MGCP 1.0\r\nC: a1\r\nM: recvonly\r\n\r\n{sdp}");
        let read = parse(text.as_bytes());
        let [Ok(Message::Command(c))] = &read[..] else { panic!("{read:?}") };
        assert_eq!((c.verb, c.transaction, c.params.get("M")), (Verb::Crcx, 1204, Some("recvonly")));
        assert_eq!(c.sdp.as_deref(), Some(sdp));
        assert_eq!(c.encode(), text);
    }

    #[test]
    fn several_messages_come_in_one_datagram() {
        let text = "200 7 OK\nI: fde2\n\nv=0\n.\nntfy 8 Lamp/2@CAB-1 mgcp 1.0\nO: L/hd\n";
        let read = parse(text.as_bytes());
        let [Ok(Message::Response(r)), Ok(Message::Command(c))] = &read[..] else { panic!("{read:?}") };
        assert_eq!((r.code, r.sdp.as_deref(), r.params.get("I")), (200, Some("v=0\n"), Some("fde2")));
        assert_eq!((c.verb, c.endpoint.to_string().as_str()), (Verb::Ntfy, "lamp/2@cab-1"));
    }

    #[test]
    fn what_cannot_be_used_names_its_return_code_and_never_answers_a_response() {
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
    fn events_are_split_outside_their_parameters() {
        let got = events("L/hd(N), D/1,d/T, G/ft(x,y),hu");
        let want = [("l", "hd"), ("d", "1"), ("d", "t"), ("g", "ft"), ("l", "hu")];
        assert_eq!(got, want.map(|(p, e)| (p.to_owned(), e.to_owned())));
    }
}
