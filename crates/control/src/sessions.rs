//! The states of the connections of operators' programs.
//!
//! A program that sends what is no message is told so, and may go on; after [`MAX_INVALID_LINES`] such lines it is sent away,
//! and so is one whose line has no end. One that is silent keeps its place only while nobody needs it.

use crate::frames::{line, BadRequest, Body, Frame, Operation, Request, Topic, LONGEST_REQUEST, VERSION};
use crate::mailbox::Mailbox;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Programs that may be connected at once. A technician has a console or two, and some scripts.
pub const MAX_CLIENTS: usize = 16;
/// Lines that were no messages before a program is sent away.
pub const MAX_INVALID_LINES: u32 = 8;
/// Requests of one program that may wait for their answers; more are turned down.
pub const MAX_PENDING: usize = 32;
/// The shortest time between two views of a topic (ms): a screen shows no more.
pub const MIN_VIEW_INTERVAL_MS: u32 = 100;

/// Names one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// What a program asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRequest {
    /// Who is owed the answer.
    pub client: ClientId,
    /// The request.
    pub request: Request,
}

/// What is to be done about a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Something waits in this mailbox.
    Ready(ClientId),
    /// End it once all that waits has been sent.
    Close(ClientId),
    /// End it at once: it does not take its replies.
    Abort(ClientId),
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Connections taken in.
    pub accepted: u64,
    /// Connections turned away, since there were too many.
    pub rejected: u64,
    /// Lines that were no messages.
    pub malformed: u64,
    /// Requests.
    pub requests: u64,
    /// Programs cut off since they did not read their replies.
    pub aborted: u64,
}

#[derive(Debug)]
struct Session {
    mailbox: Mailbox,
    topics: BTreeSet<Topic>,
    search: String,
    every: Micros,
    due: Micros,
    half: Vec<u8>,
    /// The rest of a line that is too long is passed over.
    skipping: bool,
    faults: u32,
    waiting: usize,
    heard: Micros,
    ending: bool,
}

/// All connections.
#[derive(Debug, Default)]
pub struct Sessions {
    all: BTreeMap<ClientId, Session>,
    out: Vec<Output>,
    counts: Counts,
}

impl Sessions {
    /// A program connected.
    pub fn opened(&mut self, now: Micros, client: ClientId) {
        if self.all.values().filter(|s| !s.ending).count() >= MAX_CLIENTS {
            // Guards the technician: connections that do nothing must not keep the console out.
            let idle = |s: &Session| s.topics.is_empty() && s.waiting == 0 && !s.ending;
            let longest = self.all.iter().filter(|s| idle(s.1)).min_by_key(|s| s.1.heard).map(|s| *s.0);
            match longest {
                Some(idle) => self.end(idle, "made room for another program"),
                None => {
                    self.counts.rejected += 1;
                    self.add(now, client);
                    return self.end(client, &format!("{MAX_CLIENTS} programs are connected already"));
                }
            }
        }
        self.counts.accepted += 1;
        self.add(now, client);
    }

    fn add(&mut self, now: Micros, client: ClientId) {
        let session = Session {
            mailbox: Mailbox::default(),
            topics: BTreeSet::new(),
            search: String::new(),
            every: 0,
            due: 0,
            half: Vec::new(),
            skipping: false,
            faults: 0,
            waiting: 0,
            heard: now,
            ending: false,
        };
        self.all.insert(client, session);
    }

    /// Says why, and ends a connection.
    fn end(&mut self, client: ClientId, why: &str) {
        let text = why.to_owned();
        self.send(
            client,
            &Frame::Reply { v: VERSION, reply: String::new(), ok: false, error: Some(text), body: None },
        );
        if let Some(s) = self.all.get_mut(&client) {
            s.ending = true;
            self.out.push(Output::Close(client));
        }
    }

    /// A connection is no more. Orders that it gave go on.
    pub fn closed(&mut self, client: ClientId) {
        self.all.remove(&client);
    }

    /// Takes bytes, in whatever pieces they come, and gives the requests in them.
    pub fn receive(&mut self, now: Micros, client: ClientId, mut bytes: &[u8]) -> Vec<PendingRequest> {
        let mut asked = Vec::new();
        while let Some(s) = self.all.get_mut(&client).filter(|s| !s.ending && !bytes.is_empty()) {
            s.heard = now;
            let end = bytes.iter().position(|&b| b == b'\n');
            let (part, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
            bytes = rest.get(1..).unwrap_or_default();
            let long = s.half.len() + part.len() > LONGEST_REQUEST;
            if !s.skipping && !long {
                s.half.extend_from_slice(part);
            }
            if long && !s.skipping {
                (s.skipping, s.half) = (true, Vec::new());
                self.fault(client, String::new(), BadRequest::Long);
                continue;
            }
            if end.is_none() {
                continue;
            }
            if std::mem::take(&mut s.skipping) {
                continue;
            }
            let text = std::mem::take(&mut s.half);
            let text = text.strip_suffix(b"\r").unwrap_or(&text);
            if text.is_empty() {
                continue;
            }
            match Request::parse(text) {
                Err((id, why)) => self.fault(client, id, why),
                Ok(request) => asked.extend(self.request(now, client, request)),
            }
        }
        asked
    }

    fn fault(&mut self, client: ClientId, id: String, why: BadRequest) {
        self.counts.malformed += 1;
        self.answer(client, id, Err(why.to_string()), false);
        let Some(s) = self.all.get_mut(&client) else { return };
        s.faults += 1;
        // A line that is too long has no end that one would want to wait for.
        if s.faults >= MAX_INVALID_LINES || why == BadRequest::Long {
            self.end(client, "too much that is no message");
        }
    }

    fn request(&mut self, now: Micros, client: ClientId, request: Request) -> Option<PendingRequest> {
        self.counts.requests += 1;
        let s = self.all.get_mut(&client)?;
        match &request.operation {
            Operation::Watch { topics, every_ms, search } => {
                s.topics = topics.iter().copied().collect();
                s.every = Micros::from((*every_ms).max(MIN_VIEW_INTERVAL_MS)) * 1000;
                s.search.clone_from(search);
                s.due = now;
                self.answer(client, request.id, Ok(Body::Text { text: "watching".into() }), false);
                None
            }
            Operation::Unwatch => {
                s.topics.clear();
                self.answer(client, request.id, Ok(Body::Text { text: "no longer watching".into() }), false);
                None
            }
            _ if s.waiting >= MAX_PENDING => {
                let why = format!("{MAX_PENDING} requests wait for their answers already");
                self.answer(client, request.id, Err(why), false);
                None
            }
            _ => {
                s.waiting += 1;
                Some(PendingRequest { client, request })
            }
        }
    }

    /// Answers a request that was given out by [`Sessions::receive`].
    pub fn reply(&mut self, client: ClientId, id: String, what: Result<Body, String>) {
        self.answer(client, id, what, true);
    }

    fn answer(&mut self, client: ClientId, reply: String, what: Result<Body, String>, waited: bool) {
        if let Some(s) = self.all.get_mut(&client) {
            s.waiting -= usize::from(waited && s.waiting > 0);
        }
        let (ok, error, body) = match what {
            Ok(body) => (true, None, Some(body)),
            Err(why) => (false, Some(why), None),
        };
        self.send(client, &Frame::Reply { v: VERSION, reply, ok, error, body });
    }

    fn send(&mut self, client: ClientId, frame: &Frame) {
        let Some(s) = self.all.get_mut(&client).filter(|s| !s.ending) else { return };
        if s.mailbox.reply(line(frame)) {
            self.out.push(Output::Ready(client));
        } else {
            s.ending = true;
            self.counts.aborted += 1;
            self.out.push(Output::Abort(client));
        }
    }

    /// Tells an event to all who watch events.
    pub fn publish(&mut self, event: &crate::views::Event) {
        if !self.all.values().any(|s| s.topics.contains(&Topic::Events)) {
            return;
        }
        let body = Body::Event(event.clone());
        let frame = line(&Frame::View { v: VERSION, view: Topic::Events, body });
        for (&client, s) in self.all.iter_mut().filter(|s| s.1.topics.contains(&Topic::Events)) {
            s.mailbox.event(frame.clone());
            self.out.push(Output::Ready(client));
        }
    }

    /// When the next view is due, if anything is watched.
    pub fn next_view_due(&self) -> Option<Micros> {
        let watches = |s: &&Session| !s.ending && s.topics.iter().any(|t| *t != Topic::Events);
        self.all.values().filter(watches).map(|s| s.due).min()
    }

    /// Brings views to all for whom they are due. A view is only made if somebody takes it: a program that has not
    /// read the last one costs nothing more.
    pub fn send_due_views(&mut self, now: Micros, mut make: impl FnMut(Topic, &str) -> Body) {
        let mut made: BTreeMap<(Topic, String), Vec<u8>> = BTreeMap::new();
        for (&client, s) in &mut self.all {
            if s.ending || now < s.due || s.topics.is_empty() {
                continue;
            }
            s.due = now + s.every;
            for &topic in s.topics.iter().filter(|t| **t != Topic::Events) {
                if !s.mailbox.wants(topic) {
                    continue;
                }
                // Only calls are searched; all else is the same for everybody.
                let search = if topic == Topic::Calls { s.search.clone() } else { String::new() };
                let frame = made.entry((topic, search)).or_insert_with_key(|(topic, search)| {
                    line(&Frame::View { v: VERSION, view: *topic, body: make(*topic, search) })
                });
                s.mailbox.view(topic, frame.clone());
                self.out.push(Output::Ready(client));
            }
        }
    }

    /// The next bytes for a connection.
    pub fn next_message(&mut self, client: ClientId) -> Option<Vec<u8>> {
        self.all.get_mut(&client)?.mailbox.take()
    }

    /// Bytes that wait for a connection.
    pub fn queued_bytes(&self, client: ClientId) -> usize {
        self.all.get(&client).map_or(0, |s| s.mailbox.waiting())
    }

    /// What is to be done about connections.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Connections that there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
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

    fn said(s: &mut Sessions, client: ClientId) -> Vec<String> {
        std::iter::from_fn(|| s.next_message(client)).map(|l| String::from_utf8(l).unwrap()).collect()
    }

    #[test]
    fn requests_come_whole_in_any_pieces() {
        let mut s = open();
        let text = b"{\"v\":1,\"id\":\"a\",\"do\":\"audit\"}\r\n\n{\"v\":1,\"id\":\"b\",\"do\":\"config\"}\n";
        let mut ids = Vec::new();
        for piece in text.chunks(7) {
            ids.extend(s.receive(0, A, piece).into_iter().map(|a| a.request.id));
        }
        assert_eq!(ids, ["a", "b"]);
    }

    #[test]
    fn garbage_is_answered_a_few_times_and_an_endless_line_at_once() {
        let mut s = open();
        for n in 1..=MAX_INVALID_LINES {
            assert!(s.receive(0, A, b"what\n").is_empty());
            assert_eq!(s.take_outputs().contains(&Output::Close(A)), n == MAX_INVALID_LINES);
        }
        assert!(
            s.receive(0, A, b"{\"v\":1,\"id\":\"a\",\"do\":\"audit\"}\n").is_empty(),
            "nothing more is heard"
        );
        let mut s = open();
        for _ in 0..100 {
            assert!(s.receive(0, A, &[b'x'; 1024]).is_empty());
        }
        assert!(s.take_outputs().contains(&Output::Close(A)));
        assert!(said(&mut s, A)[0].contains("longer than 16384 bytes"));
    }

    #[test]
    fn the_idle_make_room_and_watchers_do_not() {
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
        assert!(said(&mut s, ClientId(100))[0].contains("16 programs"));
    }

    #[test]
    fn a_frozen_watcher_costs_one_view_and_no_more() {
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
    fn one_that_reads_no_replies_is_cut_and_never_left_guessing() {
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
