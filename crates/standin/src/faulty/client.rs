//! Clients of a controller: ordinary ones, ones that give up early or repeat too often, and bad ones.

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

/// A request whose last byte was written so shortly before its connection ended crossed the end, and is sent again.
const CROSSED: Duration = Duration::from_millis(50);
/// An answer that comes so long after its time counts as none.
const OVERDUE: Duration = Duration::from_millis(550);
/// What waited while the way was cut has come by then.
const AFTER_CUT: Duration = Duration::from_millis(300);
/// Pause before a refused connection is tried again.
const AGAIN: Duration = Duration::from_millis(30);
/// A connection that carries no call is ended after this.
const RESTING: Duration = Duration::from_secs(4);
/// Times that a refused request is made anew by a client that repeats too often.
const MAX_REDIALS: u32 = 5;

/// What a client does.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// Requests a second.
    pub rate: f64,
    /// The class of its requests, by its name, and how long it waits (ms).
    pub class: &'static str,
    /// How long it waits for an answer (ms).
    pub left_ms: u64,
    /// Requests given up before their time, in percent.
    pub early_cancel_percent: u64,
    /// It makes a refused request anew at once.
    pub redials: bool,
    /// It writes in pieces.
    pub fragmented: bool,
    /// It answers no release, and ends its connection now and then while answers are on their way.
    pub disconnect_percent: u64,
}

/// Something that a bad client does once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// It sends what is no message.
    Garbage,
    /// It stops within a message.
    HalfMessage,
    /// It sends one request twice under one name.
    SameName,
    /// It sends a byte every few milliseconds.
    SlowWriter,
    /// It connects and says nothing.
    Mute,
}

struct Pending {
    line: String,
    connection: u64,
    sent: Instant,
    left_ms: u64,
    again: bool,
    redials: u32,
    /// It was given up by its client: no answer is owed.
    given_up: bool,
    /// Its last byte has been written.
    written: bool,
}

/// Calls that stand at a controller's clients: a release may come on the connection of any of them.
pub type EstablishedCalls = Rc<RefCell<BTreeSet<String>>>;

/// The controller that clients are of.
#[derive(Clone)]
pub struct Server {
    /// Its number.
    pub controller: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Exchanges that there are.
    pub exchanges: usize,
    /// Its clients' calls.
    pub standing: EstablishedCalls,
}

/// A client.
pub struct Client {
    testbed: Testbed,
    server: Server,
    behavior: ClientBehavior,
    network: Rc<Network>,
    connection: RefCell<Option<Rc<Connection>>>,
    pending: RefCell<BTreeMap<String, Pending>>,
    answered: RefCell<BTreeSet<String>>,
    /// It makes no new requests.
    over: Cell<bool>,
    /// It has ended its connection for good.
    left: Cell<bool>,
}

impl Client {
    /// Starts a client of this controller.
    pub fn start(testbed: &Testbed, server: &Server, behavior: ClientBehavior) -> Rc<Client> {
        let (connection, pending, answered, over, left, network) = Default::default();
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
            over,
            left,
        });
        client.testbed.spawn(client.clone().keep_connected());
        client.testbed.spawn(client.clone().make_requests());
        client
    }

    /// It makes no new requests from now on.
    pub fn finish(&self) {
        self.over.set(true);
    }

    /// Cuts its way to the controller, or opens it again.
    pub fn cut(&self, cut: bool) {
        self.network.set_partitioned(cut);
    }

    /// Requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.pending.borrow().len()
    }

    /// It ends its connection for good once it has been of no use for a while.
    async fn leave(self: Rc<Self>) {
        Timer::after(RESTING).await;
        while !self.pending.borrow().is_empty() {
            Timer::after(AGAIN).await;
        }
        self.left.set(true);
        if let Some(connection) = &*self.connection.borrow() {
            connection.close();
        }
    }

    async fn keep_connected(self: Rc<Self>) {
        while !self.left.get() {
            let Ok(stream) = Async::<TcpStream>::connect(self.server.address).await else {
                self.refused();
                Timer::after(AGAIN).await;
                continue;
            };
            let connection = Connection::new(self.testbed.below(u64::MAX), stream, self.network.clone());
            *self.connection.borrow_mut() = Some(connection.clone());
            self.send_crossed(&connection);
            let here = self.clone();
            let served = connection.serve(move |connection, input| match input {
                Input::Line(line) => here.clone().heard(connection, line),
                Input::Closed => {}
            });
            served.await;
            *self.connection.borrow_mut() = None;
            self.disconnected();
        }
    }

    /// A connection ended: what crossed its end is sent again on the next, once; the rest has no answer.
    fn disconnected(&self) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|sid, p| {
            let crossed = p.written && p.sent.elapsed() <= CROSSED && !p.again;
            if !crossed && !p.given_up && p.written {
                let after_us = p.sent.elapsed().as_micros() as u64;
                self.testbed.recorder.record(EventKind::Broken { sid: sid.clone(), after_us });
            }
            crossed
        });
    }

    /// A refused connection proves that nothing ran.
    fn refused(&self) {
        for (sid, _) in std::mem::take(&mut *self.pending.borrow_mut()) {
            self.testbed.recorder.record(EventKind::RefusedConnection { sid });
        }
    }

    fn send_crossed(&self, connection: &Rc<Connection>) {
        for (sid, pending) in self.pending.borrow_mut().iter_mut() {
            (pending.again, pending.connection) = (true, connection.number);
            let (sid, number) = (sid.clone(), connection.number);
            self.testbed.recorder.record(EventKind::RequestSentAgain { sid, connection: number });
            connection.send_raw(pending.line.clone().into_bytes());
        }
    }

    async fn make_requests(self: Rc<Self>) {
        while !self.over.get() {
            let gap = 2.0 * self.testbed.below(1_000) as f64 / 1_000.0 / self.behavior.rate.max(0.1);
            Timer::after(Duration::from_secs_f64(gap)).await;
            self.clone().request(0);
            if self.testbed.chance(self.behavior.disconnect_percent) {
                if let Some(connection) = &*self.connection.borrow() {
                    self.pending.borrow_mut().values_mut().for_each(|p| p.given_up = true);
                    connection.close();
                }
            }
        }
    }

    fn request(self: Rc<Self>, redials: u32) {
        let Some(connection) = self.connection.borrow().clone().filter(|c| !c.ended()) else { return };
        let sid = format!("{:016x}", self.testbed.below(u64::MAX));
        let line = format!(
            "{}\n",
            set_up(&sid, self.testbed.below(self.server.exchanges as u64) + 1, &self.behavior, redials)
        );
        let left_ms = self.behavior.left_ms;
        let pending = Pending {
            line: line.clone(),
            connection: connection.number,
            sent: Instant::now(),
            left_ms,
            again: false,
            redials,
            given_up: false,
            written: false,
        };
        self.pending.borrow_mut().insert(sid.clone(), pending);
        let number = connection.number;
        connection.send_with_callback(line.into_bytes(), move || self.written(sid, number));
    }

    /// The last byte of a request is written: its time counts from here.
    fn written(self: Rc<Self>, sid: String, connection: u64) {
        let (controller, left_ms) = (self.server.controller, self.behavior.left_ms);
        if let Some(pending) = self.pending.borrow_mut().get_mut(&sid) {
            (pending.written, pending.sent) = (true, Instant::now());
        }
        self.testbed.recorder.record(EventKind::RequestSent {
            sid: sid.clone(),
            controller,
            connection,
            left_ms,
        });
        let early =
            self.testbed.chance(self.behavior.early_cancel_percent).then(|| self.testbed.below(left_ms / 2));
        let here = self.clone();
        self.testbed.spawn(async move { here.wait_for_answer(sid, early).await });
    }

    async fn wait_for_answer(&self, sid: String, early_ms: Option<u64>) {
        if let Some(ms) = early_ms {
            Timer::after(Duration::from_millis(ms)).await;
            if let Some(pending) = self.pending.borrow_mut().get_mut(&sid) {
                pending.given_up = true;
                self.testbed.recorder.record(EventKind::GivenUp { sid: sid.clone() });
                self.say(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
            }
        }
        loop {
            let due =
                self.pending.borrow().get(&sid).map(|p| p.sent + Duration::from_millis(p.left_ms) + OVERDUE);
            let Some(due) = due else { return };
            if Instant::now() >= due {
                break;
            }
            Timer::at(due).await;
        }
        if self.network.is_partitioned() {
            // The answer may be on its way.
            self.network.wait_until_healed().await;
            Timer::after(AFTER_CUT).await;
        }
        if let Some(pending) = self.pending.borrow_mut().remove(&sid) {
            if !pending.given_up {
                self.testbed.recorder.record(EventKind::Unanswered { sid: sid.clone() });
                self.say(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
            }
        }
    }

    fn say(&self, message: &Value) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.send(message);
        }
    }

    fn heard(self: Rc<Self>, connection: &Rc<Connection>, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            let (controller, line) = (self.server.controller, line.to_owned());
            return self.testbed.recorder.record(EventKind::Unreadable { controller, line });
        };
        let sid = message["sid"].as_str().unwrap_or_default().to_owned();
        let code = message["code"].as_u64().unwrap_or_default();
        match message["msg"].as_str() {
            Some("ready") => {
                let text = message["text"].as_str().unwrap_or_default().to_owned();
                self.final_answer(connection, sid, Answer::Stands(text), line);
            }
            Some("close") if self.server.standing.borrow_mut().remove(&sid) => {
                self.testbed.recorder.record(EventKind::Told { sid: sid.clone(), code });
                connection.send(&json!({"msg": "closed", "sid": sid, "attrs": {}}));
            }
            Some("close") if self.pending.borrow().contains_key(&sid) => {
                let refused = [34, 42, 102].contains(&code);
                let answer = if refused { Answer::Refused(code) } else { Answer::Failed(code) };
                self.final_answer(connection, sid, answer, line);
            }
            // A release that was not heard comes again.
            Some("close") => connection.send(&json!({"msg": "closed", "sid": sid, "attrs": {}})),
            _ => {}
        }
    }

    fn final_answer(self: Rc<Self>, connection: &Rc<Connection>, sid: String, answer: Answer, line: &str) {
        if !self.answered.borrow_mut().insert(sid.clone()) {
            return self.testbed.recorder.record(EventKind::AnsweredTwice { sid, message: line.to_owned() });
        }
        let pending = self.pending.borrow_mut().remove(&sid);
        let stands = matches!(answer, Answer::Stands(_));
        let refused = matches!(answer, Answer::Refused(_));
        self.testbed.recorder.record(EventKind::Answered { sid: sid.clone(), answer });
        let wanted = pending.as_ref().is_some_and(|p| !p.given_up);
        if stands && wanted {
            self.server.standing.borrow_mut().insert(sid);
        } else if stands {
            // It crossed the giving up.
            self.testbed.recorder.record(EventKind::ClientReleased { sid: sid.clone() });
            connection.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
        } else if let Some(p) = pending
            .filter(|p| refused && self.behavior.redials && p.redials < MAX_REDIALS && !self.over.get())
        {
            self.request(p.redials + 1);
        }
    }
}

fn set_up(sid: &str, to: u64, behavior: &ClientBehavior, redials: u32) -> Value {
    let mut attrs = json!({"class": behavior.class, "left": behavior.left_ms.to_string(),
        "extras": format!("dest:{to};width:1;via:-1")});
    if redials > 0 {
        attrs["retry"] = json!(redials.to_string());
    }
    json!({"msg": "open", "sid": sid, "attrs": attrs, "text": format!("{sid}\r\nc=IN IP4 127.0.0.1\r\n")})
}

/// Does this mischief to the controller at this address, once.
///
/// # Errors
/// If it can't be reached, or ends the connection.
pub async fn misbehave(testbed: Testbed, address: SocketAddr, what: Misbehavior) -> io::Result<()> {
    use futures_lite::AsyncWriteExt;
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let behavior = ClientBehavior { class: "call", left_ms: 2_000, ..ClientBehavior::default() };
    let sid = format!("{:016x}", testbed.below(u64::MAX));
    let line = format!("{}\n", set_up(&sid, 1, &behavior, 0));
    match what {
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

/// A crowd: so many connections at once, each with one request.
pub fn start_flash_crowd(testbed: &Testbed, server: &Server, size: usize) -> Vec<Rc<Client>> {
    let behavior = ClientBehavior { rate: 0.2, class: "call", left_ms: 2_500, ..ClientBehavior::default() };
    let one = |_| {
        let client = Client::start(testbed, server, behavior);
        let first = client.clone();
        testbed.spawn(async move {
            while first.connection.borrow().is_none() && !first.over.get() {
                Timer::after(Duration::from_millis(5)).await;
            }
            first.clone().request(0);
            first.finish();
            first.leave().await;
        });
        client
    };
    (0..size).map(one).collect()
}
