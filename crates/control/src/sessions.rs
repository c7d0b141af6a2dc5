//! State of the client connections of the control socket.
//!
//! An invalid line is answered with an error and the client may go on; after [`MAX_INVALID_LINES`] of them, or after
//! one line that is too long, it is disconnected. An idle client is disconnected when another client needs its place.

use crate::frames::{
    encode_line, BadRequest, Body, Frame, Operation, Request, Topic, MAX_REQUEST_BYTES, VERSION,
};
use crate::send_queue::SendQueue;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of connected clients. A technician uses one or two consoles and some scripts.
pub const MAX_CLIENTS: usize = 16;
/// Number of invalid lines after which a client is disconnected.
pub const MAX_INVALID_LINES: u32 = 8;
/// Maximum number of unanswered requests of one client; further requests are rejected.
pub const MAX_PENDING: usize = 32;
/// Minimum interval between two views of a topic (ms): a screen gains nothing from a shorter one.
pub const MIN_VIEW_INTERVAL_MS: u32 = 100;

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A request that awaits its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRequest {
    /// The client to reply to.
    pub client: ClientId,
    /// The parsed request.
    pub request: Request,
}

/// An action required on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Messages are queued for this client.
    Ready(ClientId),
    /// Close the connection once the queued messages are sent.
    Close(ClientId),
    /// Close the connection at once: the client does not read its replies.
    Abort(ClientId),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections rejected because too many were open.
    pub rejected: u64,
    /// Invalid lines received.
    pub malformed: u64,
    /// Valid requests received.
    pub requests: u64,
    /// Connections aborted because the client did not read its replies.
    pub aborted: u64,
}

/// State of one client connection.
#[derive(Debug)]
struct Session {
    send_queue: SendQueue,
    /// Watched topics.
    topics: BTreeSet<Topic>,
    /// Text that watched calls must contain.
    search: String,
    view_interval: Micros,
    /// When the next views are due.
    next_view: Micros,
    /// Received bytes of a line that is not complete yet.
    partial_line: Vec<u8>,
    /// Whether the session is discarding the rest of a line that is too long.
    skipping_line: bool,
    invalid_lines: u32,
    /// Unanswered requests.
    pending: usize,
    last_activity: Micros,
    closing: bool,
}

/// All client connections.
#[derive(Debug, Default)]
pub struct Sessions {
    all: BTreeMap<ClientId, Session>,
    outputs: Vec<Output>,
    counts: Counts,
}

impl Sessions {
    /// Adds a new connection. If too many are open, the connection that has been idle longest is closed, or the new one
    /// if none is idle.
    pub fn opened(&mut self, now: Micros, client: ClientId) {
        if self.all.values().filter(|session| !session.closing).count() >= MAX_CLIENTS {
            // Idle connections must not keep a technician's console from connecting.
            let is_idle =
                |session: &Session| session.topics.is_empty() && session.pending == 0 && !session.closing;
            let longest_idle = self
                .all
                .iter()
                .filter(|(_, session)| is_idle(session))
                .min_by_key(|(_, session)| session.last_activity)
                .map(|(id, _)| *id);
            match longest_idle {
                Some(idle_client) => self.close(idle_client, "made room for another program"),
                None => {
                    self.counts.rejected += 1;
                    self.add(now, client);
                    return self.close(client, &format!("{MAX_CLIENTS} programs are connected already"));
                }
            }
        }
        self.counts.accepted += 1;
        self.add(now, client);
    }

    fn add(&mut self, now: Micros, client: ClientId) {
        let session = Session {
            send_queue: SendQueue::default(),
            topics: BTreeSet::new(),
            search: String::new(),
            view_interval: 0,
            next_view: 0,
            partial_line: Vec::new(),
            skipping_line: false,
            invalid_lines: 0,
            pending: 0,
            last_activity: now,
            closing: false,
        };
        self.all.insert(client, session);
    }

    /// Sends the reason and closes the connection.
    fn close(&mut self, client: ClientId, reason: &str) {
        let text = reason.to_owned();
        self.send(
            client,
            &Frame::Reply { v: VERSION, reply: String::new(), ok: false, error: Some(text), body: None },
        );
        if let Some(session) = self.all.get_mut(&client) {
            session.closing = true;
            self.outputs.push(Output::Close(client));
        }
    }

    /// Removes a closed connection. Orders given on it continue.
    pub fn closed(&mut self, client: ClientId) {
        self.all.remove(&client);
    }

    /// Processes received bytes, which may end anywhere within a line, and returns the complete requests.
    pub fn receive(&mut self, now: Micros, client: ClientId, mut bytes: &[u8]) -> Vec<PendingRequest> {
        let mut requests = Vec::new();
        while let Some(session) =
            self.all.get_mut(&client).filter(|session| !session.closing && !bytes.is_empty())
        {
            session.last_activity = now;
            let end = bytes.iter().position(|&b| b == b'\n');
            let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
            bytes = rest.get(1..).unwrap_or_default();
            let long = session.partial_line.len() + part.len() > MAX_REQUEST_BYTES;
            if !session.skipping_line && !long {
                session.partial_line.extend_from_slice(part);
            }
            if long && !session.skipping_line {
                (session.skipping_line, session.partial_line) = (true, Vec::new());
                self.reject_line(client, String::new(), BadRequest::Long);
                continue;
            }
            if end.is_none() {
                continue;
            }
            if std::mem::take(&mut session.skipping_line) {
                continue;
            }
            let text = std::mem::take(&mut session.partial_line);
            let text = text.strip_suffix(b"\r").unwrap_or(&text);
            if text.is_empty() {
                continue;
            }
            match Request::parse(text) {
                Err((id, reason)) => self.reject_line(client, id, reason),
                Ok(request) => requests.extend(self.handle_request(now, client, request)),
            }
        }
        requests
    }

    fn reject_line(&mut self, client: ClientId, id: String, reason: BadRequest) {
        self.counts.malformed += 1;
        self.send_reply(client, id, Err(reason.to_string()), false);
        let Some(session) = self.all.get_mut(&client) else { return };
        session.invalid_lines += 1;
        // After an overlong line the connection is closed at once: its end may never come.
        if session.invalid_lines >= MAX_INVALID_LINES || reason == BadRequest::Long {
            self.close(client, "too much that is no message");
        }
    }

    fn handle_request(&mut self, now: Micros, client: ClientId, request: Request) -> Option<PendingRequest> {
        self.counts.requests += 1;
        let session = self.all.get_mut(&client)?;
        match &request.operation {
            Operation::Watch { topics, every_ms, search } => {
                session.topics = topics.iter().copied().collect();
                session.view_interval = Micros::from((*every_ms).max(MIN_VIEW_INTERVAL_MS)) * 1000;
                session.search.clone_from(search);
                session.next_view = now;
                self.send_reply(client, request.id, Ok(Body::Text { text: "watching".into() }), false);
                None
            }
            Operation::Unwatch => {
                session.topics.clear();
                self.send_reply(
                    client,
                    request.id,
                    Ok(Body::Text { text: "no longer watching".into() }),
                    false,
                );
                None
            }
            _ if session.pending >= MAX_PENDING => {
                let reason = format!("{MAX_PENDING} requests wait for their answers already");
                self.send_reply(client, request.id, Err(reason), false);
                None
            }
            _ => {
                session.pending += 1;
                Some(PendingRequest { client, request })
            }
        }
    }

    /// Replies to a request returned by [`Sessions::receive`].
    pub fn reply(&mut self, client: ClientId, id: String, result: Result<Body, String>) {
        self.send_reply(client, id, result, true);
    }

    fn send_reply(
        &mut self,
        client: ClientId,
        reply: String,
        result: Result<Body, String>,
        was_pending: bool,
    ) {
        if let Some(session) = self.all.get_mut(&client) {
            session.pending -= usize::from(was_pending && session.pending > 0);
        }
        let (ok, error, body) = match result {
            Ok(body) => (true, None, Some(body)),
            Err(reason) => (false, Some(reason), None),
        };
        self.send(client, &Frame::Reply { v: VERSION, reply, ok, error, body });
    }

    fn send(&mut self, client: ClientId, frame: &Frame) {
        let Some(session) = self.all.get_mut(&client).filter(|session| !session.closing) else { return };
        if session.send_queue.push_reply(encode_line(frame)) {
            self.outputs.push(Output::Ready(client));
        } else {
            session.closing = true;
            self.counts.aborted += 1;
            self.outputs.push(Output::Abort(client));
        }
    }

    /// Queues an event for every client that watches events.
    pub fn publish(&mut self, event: &crate::views::Event) {
        if !self.all.values().any(|session| session.topics.contains(&Topic::Events)) {
            return;
        }
        let body = Body::Event(event.clone());
        let frame = encode_line(&Frame::View { v: VERSION, view: Topic::Events, body });
        for (&client, session) in
            self.all.iter_mut().filter(|(_, session)| session.topics.contains(&Topic::Events))
        {
            session.send_queue.push_event(frame.clone());
            self.outputs.push(Output::Ready(client));
        }
    }

    /// Returns when the next view is due, or `None` if no topic is watched.
    pub fn next_view_due(&self) -> Option<Micros> {
        let has_views =
            |session: &&Session| !session.closing && session.topics.iter().any(|t| *t != Topic::Events);
        self.all.values().filter(has_views).map(|session| session.next_view).min()
    }

    /// Queues the views that are due. A view is built only if a client can take it, so a client that has not read the
    /// previous one costs nothing, and each view is built once for all clients.
    pub fn send_due_views(&mut self, now: Micros, mut make_view: impl FnMut(Topic, &str) -> Body) {
        let mut cache: BTreeMap<(Topic, String), Vec<u8>> = BTreeMap::new();
        for (&client, session) in &mut self.all {
            if session.closing || now < session.next_view || session.topics.is_empty() {
                continue;
            }
            session.next_view = now + session.view_interval;
            for &topic in session.topics.iter().filter(|t| **t != Topic::Events) {
                if !session.send_queue.accepts_view(topic) {
                    continue;
                }
                // The search text only affects the calls; all other views are shared between clients.
                let search = if topic == Topic::Calls { session.search.clone() } else { String::new() };
                let frame = cache.entry((topic, search)).or_insert_with_key(|(topic, search)| {
                    encode_line(&Frame::View { v: VERSION, view: *topic, body: make_view(*topic, search) })
                });
                session.send_queue.set_view(topic, frame.clone());
                self.outputs.push(Output::Ready(client));
            }
        }
    }

    /// Removes and returns the next message for a client.
    pub fn next_message(&mut self, client: ClientId) -> Option<Vec<u8>> {
        self.all.get_mut(&client)?.send_queue.pop()
    }

    /// Returns the size of the messages queued for a client (bytes).
    pub fn queued_bytes(&self, client: ClientId) -> usize {
        self.all.get(&client).map_or(0, |session| session.send_queue.queued_bytes())
    }

    /// Returns the pending actions on connections.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ClientId = ClientId(1);

    fn open() -> Sessions {
        let mut s = Sessions::default();
        s.opened(0, A);
        s
    }

    fn received(s: &mut Sessions, client: ClientId) -> Vec<String> {
        std::iter::from_fn(|| s.next_message(client)).map(|l| String::from_utf8(l).unwrap()).collect()
    }

    #[test]
    fn requests_are_reassembled_from_any_pieces() {
        let mut s = open();
        let text = b"{\"v\":1,\"id\":\"a\",\"do\":\"audit\"}\r\n\n{\"v\":1,\"id\":\"b\",\"do\":\"config\"}\n";
        let mut ids = Vec::new();
        for piece in text.chunks(7) {
            ids.extend(s.receive(0, A, piece).into_iter().map(|a| a.request.id));
        }
        assert_eq!(ids, ["a", "b"]);
    }

    #[test]
    fn invalid_lines_close_the_connection_after_a_few_and_an_overlong_one_at_once() {
        let mut s = open();
        for n in 1..=MAX_INVALID_LINES {
            assert!(s.receive(0, A, b"what\n").is_empty());
            assert_eq!(s.take_outputs().contains(&Output::Close(A)), n == MAX_INVALID_LINES);
        }
        assert!(
            s.receive(0, A, b"{\"v\":1,\"id\":\"a\",\"do\":\"audit\"}\n").is_empty(),
            "a closing connection accepts no further requests"
        );
        let mut s = open();
        for _ in 0..100 {
            assert!(s.receive(0, A, &[b'x'; 1024]).is_empty());
        }
        assert!(s.take_outputs().contains(&Output::Close(A)));
        assert!(received(&mut s, A)[0].contains("longer than 16384 bytes"));
    }

    #[test]
    fn idle_connections_are_closed_for_new_ones_and_watchers_are_not() {
        let mut s = Sessions::default();
        for n in 0..MAX_CLIENTS as u64 {
            s.opened(n as i64, ClientId(n));
            if n != 3 {
                s.receive(
                    0,
                    ClientId(n),
                    b"{\"v\":1,\"id\":\"w\",\"do\":\"watch\",\"topics\":[\"status\"]}\n",
                );
            }
        }
        s.opened(99, ClientId(99));
        assert!(s.take_outputs().contains(&Output::Close(ClientId(3))));
        s.receive(0, ClientId(99), b"{\"v\":1,\"id\":\"w\",\"do\":\"watch\",\"topics\":[\"status\"]}\n");
        s.opened(100, ClientId(100));
        assert!(s.take_outputs().contains(&Output::Close(ClientId(100))));
        assert!(received(&mut s, ClientId(100))[0].contains("16 programs"));
    }

    #[test]
    fn a_watcher_that_does_not_read_costs_one_view() {
        let mut s = open();
        s.receive(
            0,
            A,
            b"{\"v\":1,\"id\":\"w\",\"do\":\"watch\",\"topics\":[\"status\",\"events\"],\"every_ms\":1}\n",
        );
        let mut made = 0;
        for t in 0..1000 {
            s.send_due_views(t * 100_000, |_, _| {
                made += 1;
                Body::Text { text: "x".into() }
            });
            s.publish(&crate::views::Event::default());
        }
        assert_eq!(made, 1);
        assert!(s.queued_bytes(A) < 64 * 1024, "{}", s.queued_bytes(A));
        assert_eq!(s.next_view_due(), Some(1000 * 100_000));
    }

    #[test]
    fn a_client_that_reads_no_replies_is_disconnected() {
        let mut s = open();
        let mut answered = 0;
        while !s.take_outputs().contains(&Output::Abort(A)) {
            assert!(answered < 10_000);
            s.receive(0, A, b"{\"v\":1,\"id\":\"a\",\"do\":\"config\"}\n");
            s.reply(A, "a".into(), Ok(Body::Text { text: "y".repeat(1000) }));
            answered += 1;
        }
        assert_eq!(s.counts().aborted, 1);
    }
}
