//! Which requests for the coordinator's event stream are open, as a state machine without I/O.
//!
//! A coordinator that does not answer may be slow, so that waiting brings the answer, or it may have been unreachable
//! when the request came, so that only a new request brings one. Both are done: while no stream delivers data, another
//! request is sent at an interval beside those before it. The first one that delivers data is followed and the others
//! are abandoned. Before that a request is abandoned only when too many are open, the oldest first.

use crate::routing::interface::Micros;

/// Interval between two requests while no stream delivers data (µs).
pub const REQUEST_INTERVAL: Micros = 1_500_000;
/// Maximum number of open requests. With the interval this is 7.5 s for the slowest answer, longer than the 7 s after
/// which a change counts as known.
pub const MAX_REQUESTS: usize = 5;
/// A stream that delivers nothing for this long is no longer relied on; a live one sends a comment each second (µs).
pub const SILENCE_LIMIT: Micros = 2_500_000;
/// Minimum time between two requests when the earlier one ends early (µs).
pub const MIN_REQUEST_INTERVAL: Micros = 150_000;

/// Identifies a request, uniquely within the run of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// Its stream delivered data after the response head: an event or a comment.
    Delivered,
    /// It failed, or its stream ended.
    Ended,
}

/// An action for the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutput {
    /// Send a request under this identifier.
    Send(RequestId),
    /// Close the connection of this request. Nothing more is reported for it.
    Abandon(RequestId),
    /// The stream of this request begins to be followed.
    Follow(RequestId),
    /// The stream that was followed has delivered nothing for [`SILENCE_LIMIT`]; it stays open.
    Silent(RequestId),
}

/// The open requests.
#[derive(Debug)]
pub struct StreamRequests {
    /// Oldest first.
    open: Vec<RequestId>,
    /// The request whose stream is followed, until it ends or falls silent.
    followed: Option<RequestId>,
    next_id: u64,
    last_sent: Option<Micros>,
    /// When the next request is sent.
    next_request: Micros,
    outputs: Vec<RequestOutput>,
}

impl StreamRequests {
    /// Creates the state without an open request; the first one is due at once.
    pub fn new(now: Micros) -> Self {
        StreamRequests {
            open: Vec::new(),
            followed: None,
            next_id: 0,
            last_sent: None,
            next_request: now,
            outputs: Vec::new(),
        }
    }

    /// Handles an event of a request. Returns whether the request is open, so that its data counts.
    pub fn handle(&mut self, now: Micros, id: RequestId, event: RequestEvent) -> bool {
        if !self.open.contains(&id) {
            return false;
        }
        match event {
            RequestEvent::Delivered => self.follow(now, id),
            RequestEvent::Ended => {
                self.open.retain(|&other| other != id);
                self.followed = self.followed.filter(|&followed| followed != id);
                self.next_request = self.next_request.min(self.earliest_request(now));
            }
        }
        true
    }

    /// Sends a request if one is due.
    pub fn on_timeout(&mut self, now: Micros) {
        if now < self.next_request {
            return;
        }
        if let Some(silent) = self.followed.take() {
            self.outputs.push(RequestOutput::Silent(silent));
        }
        if self.open.len() >= MAX_REQUESTS {
            self.outputs.push(RequestOutput::Abandon(self.open.remove(0)));
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.open.push(id);
        self.last_sent = Some(now);
        self.next_request = now + REQUEST_INTERVAL;
        self.outputs.push(RequestOutput::Send(id));
    }

    /// When [`StreamRequests::on_timeout`] has to be called.
    pub fn next_timeout(&self) -> Micros {
        self.next_request
    }

    /// Abandons all requests and sends a new one as soon as [`MIN_REQUEST_INTERVAL`] allows.
    pub fn restart(&mut self, now: Micros) {
        let abandoned = self.open.drain(..).map(RequestOutput::Abandon);
        self.outputs.extend(abandoned);
        self.followed = None;
        self.next_request = self.earliest_request(now);
    }

    /// Whether a stream is followed.
    pub fn is_following(&self) -> bool {
        self.followed.is_some()
    }

    /// Takes the pending outputs, in the order in which they must be carried out.
    pub fn take_outputs(&mut self) -> Vec<RequestOutput> {
        std::mem::take(&mut self.outputs)
    }

    fn follow(&mut self, now: Micros, id: RequestId) {
        self.next_request = now + SILENCE_LIMIT;
        if self.followed.replace(id) == Some(id) {
            return;
        }
        let others = self.open.iter().filter(|&&other| other != id);
        self.outputs.extend(others.map(|&other| RequestOutput::Abandon(other)));
        self.open.retain(|&other| other == id);
        self.outputs.push(RequestOutput::Follow(id));
    }

    fn earliest_request(&self, now: Micros) -> Micros {
        self.last_sent.map_or(now, |sent| now.max(sent + MIN_REQUEST_INTERVAL))
    }
}
