//! Clients of a controller: well-behaved ones, ones that cancel early, redial too often or disconnect, and ones that
//! violate the protocol.

use super::connection::{Connection, Input};
use super::path::Network;
use super::record::{Answer, EventKind};
use super::Testbed;
use async_io::{Async, Timer};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request whose last byte was written at most this long before its connection ended counts as in flight and is sent
/// again.
const RESEND_WINDOW: Duration = Duration::from_millis(50);
/// A request without an answer this long after the client timeout counts as unanswered.
const ANSWER_GRACE: Duration = Duration::from_millis(550);
/// Messages delayed by a partition are delivered within this time after it ends.
const DELIVERY_AFTER_HEAL: Duration = Duration::from_millis(300);
/// Delay before a refused connection is retried, and poll interval of a client that waits to close.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// Delay before a client of a flash crowd closes its connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Number of immediate redials of a refused request.
const MAX_REDIALS: u32 = 5;

/// Behavior of a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// Request rate (requests per second).
    pub rate: f64,
    /// Name of the class of its requests.
    pub class: &'static str,
    /// Time for which it waits for an answer (ms).
    pub client_timeout_ms: u64,
    /// Requests that are cancelled before the client timeout, in percent.
    pub early_cancel_percent: u64,
    /// Whether it redials at once after a refusal.
    pub redials: bool,
    /// Whether it writes its messages in fragments.
    pub fragmented: bool,
    /// Requests after which it closes its connection without waiting for pending answers, in percent.
    pub disconnect_percent: u64,
}

/// A protocol violation by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Sends a line that is not a message.
    Garbage,
    /// Stops in the middle of a message.
    HalfMessage,
    /// Sends a request twice with the same identifier.
    SameName,
    /// Sends a request one byte at a time, with a delay after each.
    SlowWriter,
    /// Connects and sends nothing.
    Mute,
}

struct Pending {
    line: String,
    connection: u64,
    sent: Instant,
    client_timeout_ms: u64,
    resent: bool,
    redials: u32,
    /// The client cancelled the request and needs no answer.
    cancelled: bool,
    /// The last byte of the request has been written.
    written: bool,
}

/// Established calls of all clients of a controller, shared since a release may arrive on the connection of any of them.
pub type EstablishedCalls = Rc<RefCell<BTreeSet<String>>>;

/// A controller as seen by its clients.
#[derive(Clone)]
pub struct Server {
    /// Number of the controller.
    pub controller: usize,
    /// Its listen address.
    pub address: SocketAddr,
    /// Number of exchanges.
    pub exchanges: usize,
    /// Established calls of its clients.
    pub established_calls: EstablishedCalls,
}

/// A client of a controller.
pub struct Client {
    testbed: Testbed,
    server: Server,
    behavior: ClientBehavior,
    network: Rc<Network>,
    connection: RefCell<Option<Rc<Connection>>>,
    pending: RefCell<BTreeMap<String, Pending>>,
    answered: RefCell<BTreeSet<String>>,
    /// The client makes no new requests.
    finished: Cell<bool>,
    /// The client has closed its connection and does not reconnect.
    closed: Cell<bool>,
}

impl Client {
    /// Starts a client of the controller `server`.
    pub fn start(testbed: &Testbed, server: &Server, behavior: ClientBehavior) -> Rc<Client> {
        let (connection, pending, answered, finished, closed, network) = Default::default();
        let network: Rc<Network> = network;
        network.fragmented.set(behavior.fragmented);
        let testbed = testbed.clone();
        let client = Rc::new(Client {
            testbed,
            server: server.clone(),
            behavior,
            network,
            connection,
            pending,
            answered,
            finished,
            closed,
        });
        client.testbed.spawn(client.clone().keep_connected());
        client.testbed.spawn(client.clone().make_requests());
        client
    }

    /// Stops making new requests.
    pub fn finish(&self) {
        self.finished.set(true);
    }

    /// Starts or ends a partition between the client and the controller.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.network.set_partitioned(partitioned);
    }

    /// Returns the number of requests without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Closes the connection after [`IDLE_TIMEOUT`], as soon as no request is pending.
    async fn close_when_idle(self: Rc<Self>) {
        Timer::after(IDLE_TIMEOUT).await;
        while !self.pending.borrow().is_empty() {
            Timer::after(RETRY_DELAY).await;
        }
        self.closed.set(true);
        if let Some(connection) = &*self.connection.borrow() {
            connection.close();
        }
    }

    async fn keep_connected(self: Rc<Self>) {
        while !self.closed.get() {
            let Ok(stream) = Async::<TcpStream>::connect(self.server.address).await else {
                self.handle_connection_refused();
                Timer::after(RETRY_DELAY).await;
                continue;
            };
            let connection = Connection::new(self.testbed.below(u64::MAX), stream, self.network.clone());
            *self.connection.borrow_mut() = Some(connection.clone());
            self.resend_in_flight(&connection);
            let client = self.clone();
            let served = connection.serve(move |connection, input| match input {
                Input::Line(line) => client.clone().handle_line(connection, line),
                Input::Closed => {}
            });
            served.await;
            *self.connection.borrow_mut() = None;
            self.handle_disconnect();
        }
    }

    /// Keeps the requests that were in flight when the connection ended, to be sent again once, and drops the others,
    /// of which those written in full are recorded as unanswered.
    fn handle_disconnect(&self) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|sid, p| {
            let in_flight = p.written && p.sent.elapsed() <= RESEND_WINDOW && !p.resent;
            if !in_flight && !p.cancelled && p.written {
                let after_us = p.sent.elapsed().as_micros() as u64;
                self.testbed.recorder.record(EventKind::Broken { sid: sid.clone(), after_us });
            }
            in_flight
        });
    }

    /// Drops all pending requests: a refused connection proves that none of them was started.
    fn handle_connection_refused(&self) {
        for (sid, _) in std::mem::take(&mut *self.pending.borrow_mut()) {
            self.testbed.recorder.record(EventKind::RefusedConnection { sid });
        }
    }

    fn resend_in_flight(&self, connection: &Rc<Connection>) {
        for (sid, pending) in self.pending.borrow_mut().iter_mut() {
            (pending.resent, pending.connection) = (true, connection.number);
            let (sid, number) = (sid.clone(), connection.number);
            self.testbed.recorder.record(EventKind::RequestSentAgain { sid, connection: number });
            connection.send_raw(pending.line.clone().into_bytes());
        }
    }

    async fn make_requests(self: Rc<Self>) {
        while !self.finished.get() {
            let gap = 2.0 * self.testbed.below(1_000) as f64 / 1_000.0 / self.behavior.rate.max(0.1);
            Timer::after(Duration::from_secs_f64(gap)).await;
            self.clone().send_request(0);
            if self.testbed.chance(self.behavior.disconnect_percent) {
                if let Some(connection) = &*self.connection.borrow() {
                    self.pending.borrow_mut().values_mut().for_each(|p| p.cancelled = true);
                    connection.close();
                }
            }
        }
    }

    fn send_request(self: Rc<Self>, redials: u32) {
        let Some(connection) = self.connection.borrow().clone().filter(|c| !c.ended()) else { return };
        let sid = format!("{:016x}", self.testbed.below(u64::MAX));
        let line = format!(
            "{}\n",
            open_message(&sid, self.testbed.below(self.server.exchanges as u64) + 1, &self.behavior, redials)
        );
        let client_timeout_ms = self.behavior.client_timeout_ms;
        let pending = Pending {
            line: line.clone(),
            connection: connection.number,
            sent: Instant::now(),
            client_timeout_ms,
            resent: false,
            redials,
            cancelled: false,
            written: false,
        };
        self.pending.borrow_mut().insert(sid.clone(), pending);
        let number = connection.number;
        connection.send_with_callback(line.into_bytes(), move || self.handle_written(sid, number));
    }

    /// Starts the client timeout of a request whose last byte has been written.
    fn handle_written(self: Rc<Self>, sid: String, connection: u64) {
        let (controller, client_timeout_ms) = (self.server.controller, self.behavior.client_timeout_ms);
        if let Some(pending) = self.pending.borrow_mut().get_mut(&sid) {
            (pending.written, pending.sent) = (true, Instant::now());
        }
        self.testbed.recorder.record(EventKind::RequestSent {
            sid: sid.clone(),
            controller,
            connection,
            left_ms: client_timeout_ms,
        });
        let cancel_after_ms = self
            .testbed
            .chance(self.behavior.early_cancel_percent)
            .then(|| self.testbed.below(client_timeout_ms / 2));
        let client = self.clone();
        self.testbed.spawn(async move { client.wait_for_answer(sid, cancel_after_ms).await });
    }

    async fn wait_for_answer(&self, sid: String, cancel_after_ms: Option<u64>) {
        if let Some(ms) = cancel_after_ms {
            Timer::after(Duration::from_millis(ms)).await;
            if let Some(pending) = self.pending.borrow_mut().get_mut(&sid) {
                pending.cancelled = true;
                self.testbed.recorder.record(EventKind::GivenUp { sid: sid.clone() });
                self.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
            }
        }
        loop {
            let deadline = self
                .pending
                .borrow()
                .get(&sid)
                .map(|p| p.sent + Duration::from_millis(p.client_timeout_ms) + ANSWER_GRACE);
            let Some(deadline) = deadline else { return };
            if Instant::now() >= deadline {
                break;
            }
            Timer::at(deadline).await;
        }
        if self.network.is_partitioned() {
            // The answer may be delayed by the partition.
            self.network.wait_until_healed().await;
            Timer::after(DELIVERY_AFTER_HEAL).await;
        }
        if let Some(pending) = self.pending.borrow_mut().remove(&sid) {
            if !pending.cancelled {
                self.testbed.recorder.record(EventKind::Unanswered { sid: sid.clone() });
                self.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
            }
        }
    }

    fn send(&self, message: &Value) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.send(message);
        }
    }

    fn handle_line(self: Rc<Self>, connection: &Rc<Connection>, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            let (controller, line) = (self.server.controller, line.to_owned());
            return self.testbed.recorder.record(EventKind::Unreadable { controller, line });
        };
        let sid = message["sid"].as_str().unwrap_or_default().to_owned();
        let code = message["code"].as_u64().unwrap_or_default();
        match message["msg"].as_str() {
            Some("ready") => {
                let text = message["text"].as_str().unwrap_or_default().to_owned();
                self.handle_final_answer(connection, sid, Answer::Stands(text), line);
            }
            Some("close") if self.server.established_calls.borrow_mut().remove(&sid) => {
                self.testbed.recorder.record(EventKind::Told { sid: sid.clone(), code });
                connection.send(&json!({"msg": "closed", "sid": sid, "attrs": {}}));
            }
            Some("close") if self.pending.borrow().contains_key(&sid) => {
                let refused = [34, 42, 102].contains(&code);
                let answer = if refused { Answer::Refused(code) } else { Answer::Failed(code) };
                self.handle_final_answer(connection, sid, answer, line);
            }
            // A release is repeated until it is acknowledged.
            Some("close") => connection.send(&json!({"msg": "closed", "sid": sid, "attrs": {}})),
            _ => {}
        }
    }

    fn handle_final_answer(
        self: Rc<Self>,
        connection: &Rc<Connection>,
        sid: String,
        answer: Answer,
        line: &str,
    ) {
        if !self.answered.borrow_mut().insert(sid.clone()) {
            return self.testbed.recorder.record(EventKind::AnsweredTwice { sid, message: line.to_owned() });
        }
        let pending = self.pending.borrow_mut().remove(&sid);
        let established = matches!(answer, Answer::Stands(_));
        let refused = matches!(answer, Answer::Refused(_));
        self.testbed.recorder.record(EventKind::Answered { sid: sid.clone(), answer });
        let awaited = pending.as_ref().is_some_and(|p| !p.cancelled);
        if established && awaited {
            self.server.established_calls.borrow_mut().insert(sid);
        } else if established {
            // The answer crossed the cancellation or arrived after the client timeout.
            self.testbed.recorder.record(EventKind::ClientReleased { sid: sid.clone() });
            connection.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
        } else if let Some(p) = pending
            .filter(|p| refused && self.behavior.redials && p.redials < MAX_REDIALS && !self.finished.get())
        {
            self.send_request(p.redials + 1);
        }
    }
}

fn open_message(sid: &str, destination: u64, behavior: &ClientBehavior, redials: u32) -> Value {
    let mut attrs = json!({"class": behavior.class, "left": behavior.client_timeout_ms.to_string(),
        "extras": format!("dest:{destination};width:1;via:-1")});
    if redials > 0 {
        attrs["retry"] = json!(redials.to_string());
    }
    json!({"msg": "open", "sid": sid, "attrs": attrs, "text": format!("{sid}\r\nc=IN IP4 127.0.0.1\r\n")})
}

/// Connects to the controller at `address` and violates the protocol once.
///
/// # Errors
/// If the connection can't be established, or the controller closes it.
pub async fn misbehave(testbed: Testbed, address: SocketAddr, misbehavior: Misbehavior) -> io::Result<()> {
    use futures_lite::AsyncWriteExt;
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let behavior = ClientBehavior { class: "call", client_timeout_ms: 2_000, ..ClientBehavior::default() };
    let sid = format!("{:016x}", testbed.below(u64::MAX));
    let line = format!("{}\n", open_message(&sid, 1, &behavior, 0));
    match misbehavior {
        Misbehavior::Garbage => stream.write_all(b"\x00\xff nonsense {\n").await?,
        Misbehavior::HalfMessage => stream.write_all(&line.as_bytes()[..line.len() / 2]).await?,
        Misbehavior::SameName => stream.write_all(format!("{line}{line}").as_bytes()).await?,
        Misbehavior::SlowWriter => {
            for byte in line.as_bytes() {
                stream.write_all(&[*byte]).await?;
                Timer::after(Duration::from_millis(12)).await;
            }
        }
        Misbehavior::Mute => {}
    }
    Timer::after(Duration::from_secs(3)).await;
    Ok(())
}

/// Starts `size` clients at once. Each sends a request as soon as it is connected and closes its connection after
/// `IDLE_TIMEOUT`; some send a second request before that.
pub fn start_flash_crowd(testbed: &Testbed, server: &Server, size: usize) -> Vec<Rc<Client>> {
    let behavior =
        ClientBehavior { rate: 0.2, class: "call", client_timeout_ms: 2_500, ..ClientBehavior::default() };
    let start_client = |_| {
        let client = Client::start(testbed, server, behavior);
        let started = client.clone();
        testbed.spawn(async move {
            while started.connection.borrow().is_none() && !started.finished.get() {
                Timer::after(Duration::from_millis(5)).await;
            }
            started.clone().send_request(0);
            started.finish();
            started.close_when_idle().await;
        });
        client
    };
    (0..size).map(start_client).collect()
}
