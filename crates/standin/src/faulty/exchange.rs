//! An exchange that can answer late, never, twice or spoilt, fill up, hang, die, vanish and come back.

use super::connection::{Connection, Input};
use super::path::Path;
use super::record::{CallEnd, SetUpEnd, What};
use super::Lab;
use async_io::Timer;
use event_listener::Event;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How often the state of the group is told where it has changed.
const TELL_GROUP: Duration = Duration::from_millis(100);

/// What an exchange does wrong at present, in percent of its set-ups.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// Answers that are never given.
    pub loses: u64,
    /// Answers that are given twice, a few milliseconds apart.
    pub doubles: u64,
    /// Answers that can't be read.
    pub spoils: u64,
    /// Set-ups that fail.
    pub fails: u64,
    /// Set-ups whose connection is reset under them.
    pub resets: u64,
    /// Each answer comes this much later (ms).
    pub slower: u64,
}

/// A call, or a set-up on its way to become one.
struct Call {
    /// Tells it from another call of the same name.
    number: u64,
    controller: usize,
    connection: Rc<Connection>,
    stands: bool,
}

/// An exchange.
pub struct Exchange {
    lab: Lab,
    number: usize,
    circuits: usize,
    /// The process there; another one after each death.
    process: Cell<u64>,
    hanging: Cell<bool>,
    /// The process is there.
    alive: Cell<bool>,
    /// What it does wrong.
    pub habits: Cell<Habits>,
    calls: RefCell<BTreeMap<String, Call>>,
    /// Releases to be told on the next connection of a controller.
    untold: RefCell<BTreeMap<usize, Vec<String>>>,
    paths: Vec<Rc<Path>>,
    changed: Event,
}

impl Exchange {
    /// An exchange with so many circuits, and a way to it from each controller.
    pub fn start(lab: &Lab, number: usize, circuits: usize, paths: Vec<Rc<Path>>) -> Rc<Exchange> {
        let (process, hanging, habits, calls, untold, changed) = Default::default();
        let alive = Cell::new(true);
        let exchange = Rc::new(Exchange {
            lab: lab.clone(),
            number,
            circuits,
            process,
            hanging,
            alive,
            habits,
            calls,
            untold,
            paths,
            changed,
        });
        for (controller, path) in exchange.paths.iter().enumerate() {
            let here = exchange.clone();
            let take = move |connection| here.clone().connected(controller, connection);
            lab.spawn(path.clone().accept(lab.clone(), take));
        }
        lab.spawn(exchange.clone().tell_group());
        exchange
    }

    /// The way to it from a controller.
    pub fn path(&self, controller: usize) -> &Rc<Path> {
        &self.paths[controller]
    }

    /// Calls that stand, and set-ups.
    pub fn busy(&self) -> usize {
        self.calls.borrow().len()
    }

    // ---- Faults ----

    /// It takes nothing in and says nothing, while its system still accepts.
    pub fn hang(&self, on: bool) {
        self.hanging.set(on);
        for path in &self.paths {
            path.hangs.set(on);
        }
        self.changed.notify(usize::MAX);
    }

    /// Its process dies: connections are reset and then refused, calls are cut.
    pub fn die(&self) {
        self.lose_calls(CallEnd::Died);
        for path in &self.paths {
            path.refuse(true);
            path.connections().iter().for_each(|c| c.reset());
        }
    }

    /// Its machine vanishes: connections are silent, new ones never come up.
    pub fn vanish(&self) {
        self.lose_calls(CallEnd::Vanished);
        for path in &self.paths {
            path.shut();
            path.connections().iter().for_each(|c| c.silent.set(true));
        }
    }

    /// A new process is there after a death (`vanished`: after its machine was gone).
    pub fn come_back(&self, vanished: bool) {
        self.alive.set(true);
        for path in &self.paths {
            if vanished {
                path.unshut();
            } else {
                path.refuse(false);
            }
        }
        self.lab.recorder.note(What::ExchangeStarted { exchange: self.number, process: self.process.get() });
    }

    /// It closes the connections on which no call is.
    pub fn close_resting(&self) {
        let calls = self.calls.borrow();
        for connection in self.paths.iter().flat_map(|p| p.connections()) {
            if !calls.values().any(|c| c.connection.number == connection.number) {
                connection.close();
            }
        }
    }

    /// It resets the connections of a controller.
    pub fn reset(&self, controller: usize) {
        self.paths[controller].connections().iter().for_each(|c| c.reset());
    }

    fn lose_calls(&self, how: CallEnd) {
        self.alive.set(false);
        self.process.set(self.process.get() + 1);
        self.untold.borrow_mut().clear();
        for (sid, call) in std::mem::take(&mut *self.calls.borrow_mut()) {
            self.note_end(sid, &call, how, SetUpEnd::Gone);
        }
    }

    fn note_end(&self, sid: String, call: &Call, stood: CallEnd, open: SetUpEnd) {
        let exchange = self.number;
        self.lab.recorder.note(match call.stands {
            true => What::CallEnded { sid, exchange, end: stood },
            false => What::SetUpEnded { sid, exchange, end: open },
        });
    }

    // ---- Connections ----

    fn connected(self: Rc<Self>, controller: usize, connection: Rc<Connection>) {
        self.lab.recorder.note(What::Connected { controller, exchange: self.number });
        connection.send(&self.status());
        for sid in self.untold.borrow_mut().remove(&controller).unwrap_or_default() {
            connection.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}));
        }
        let here = self.clone();
        let served = connection.serve(move |connection, input| match input {
            Input::Line(line) => {
                let message: Value = serde_json::from_str(line).unwrap_or_default();
                here.clone().heard(controller, connection, &message);
            }
            Input::Down => here.disconnected(connection),
        });
        self.lab.spawn(served);
    }

    fn disconnected(&self, connection: &Rc<Connection>) {
        let mut calls = self.calls.borrow_mut();
        let on = |c: &Call| !c.stands && c.connection.number == connection.number;
        let lost: Vec<String> = calls.iter().filter(|(_, c)| on(c)).map(|(sid, _)| sid.clone()).collect();
        for sid in lost {
            if let Some(call) = calls.remove(&sid) {
                self.note_end(sid, &call, CallEnd::Untold, SetUpEnd::Disconnected);
            }
        }
    }

    fn heard(self: Rc<Self>, controller: usize, connection: &Rc<Connection>, message: &Value) {
        let sid = message["sid"].as_str().unwrap_or_default().to_owned();
        match message["msg"].as_str() {
            Some("open") => self.set_up(controller, connection, sid),
            Some("close") => {
                if let Some(call) = self.calls.borrow_mut().remove(&sid) {
                    self.note_end(sid.clone(), &call, CallEnd::Released, SetUpEnd::GivenUp);
                }
                connection.send(&json!({"msg": "closed", "sid": sid, "attrs": {}}));
            }
            Some("probe") => {
                let attrs = json!({"load": self.load()});
                connection.send(&json!({"msg": "probed", "sid": sid, "attrs": attrs, "code": 1}));
            }
            _ => {}
        }
    }

    // ---- Calls ----

    fn set_up(self: Rc<Self>, controller: usize, connection: &Rc<Connection>, sid: String) {
        let (exchange, process) = (self.number, self.process.get());
        self.lab.recorder.note(What::SetUpCame { sid: sid.clone(), controller, exchange, process });
        let number = self.lab.below(u64::MAX);
        let call = Call { number, controller, connection: connection.clone(), stands: false };
        if self.calls.borrow().len() >= self.circuits {
            self.note_end(sid.clone(), &call, CallEnd::Told, SetUpEnd::Refused);
            let attrs = json!({"note": "no_path", "load": self.load()});
            return connection.send(&json!({"msg": "close", "sid": sid, "attrs": attrs, "code": 34}));
        }
        self.calls.borrow_mut().insert(sid.clone(), call);
        let habits = self.habits.get();
        let lab = self.lab.clone();
        let delay = Duration::from_millis(3 + lab.below(25) + habits.slower);
        let lasts = Duration::from_millis(400 + lab.below(7_000));
        lab.spawn(async move {
            if self.until(process, delay).await
                && self.answer(&sid, number, habits)
                && self.until(process, lasts).await
            {
                self.end(&sid, number);
            }
        });
    }

    /// Waits, and on while it hangs. Whether the process is still the same.
    async fn until(&self, process: u64, delay: Duration) -> bool {
        Timer::after(delay).await;
        loop {
            let listener = self.changed.listen();
            if !self.hanging.get() {
                return self.process.get() == process;
            }
            listener.await;
        }
    }

    /// Answers a set-up. Whether it stands now.
    fn answer(&self, sid: &str, number: u64, habits: Habits) -> bool {
        let mut calls = self.calls.borrow_mut();
        let Some(call) = calls.get_mut(sid).filter(|c| c.number == number) else { return false };
        let (connection, exchange) = (call.connection.clone(), self.number);
        let chance = |percent| self.lab.chance(percent);
        if chance(habits.loses) {
            return false;
        }
        if chance(habits.resets) {
            connection.reset();
            return false;
        }
        if chance(habits.fails) {
            let ended = What::SetUpEnded { sid: sid.to_owned(), exchange, end: SetUpEnd::Failed };
            self.lab.recorder.note(ended);
            calls.remove(sid);
            connection.send(&json!({"msg": "close", "sid": sid, "attrs": {}, "code": 47}));
            return false;
        }
        if chance(habits.spoils) {
            connection.send_raw(b"{\"msg\":\"ready\",\"sid\":\x9c:AA\n".to_vec());
            return false;
        }
        call.stands = true;
        let text = format!("{sid} at {exchange} {:016x}", self.lab.below(u64::MAX));
        let ready = json!({"msg": "ready", "sid": sid, "attrs": {"load": ""}, "text": text});
        let twice = chance(habits.doubles);
        self.lab.recorder.note(What::SetUpAnswered { sid: sid.to_owned(), exchange, text });
        connection.send(&ready);
        if twice {
            let after = Duration::from_millis(self.lab.below(8));
            self.lab.spawn(async move {
                Timer::after(after).await;
                connection.send(&ready);
            });
        }
        true
    }

    /// A call comes to its end: the release is told on its own connection, else on another, and on the next one.
    fn end(&self, sid: &str, number: u64) {
        if self.calls.borrow().get(sid).is_none_or(|c| c.number != number) {
            return;
        }
        let Some(call) = self.calls.borrow_mut().remove(sid) else { return };
        let other = || self.paths[call.controller].connections().into_iter().next();
        let open = Some(call.connection.clone()).filter(|c| !c.ended()).or_else(other);
        let end = if open.is_some() { CallEnd::Told } else { CallEnd::Untold };
        self.note_end(sid.to_owned(), &call, end, SetUpEnd::Gone);
        if let Some(connection) = open {
            let attrs = json!({"load": self.load()});
            connection.send(&json!({"msg": "close", "sid": sid, "attrs": attrs, "code": 16}));
        }
        self.untold.borrow_mut().entry(call.controller).or_default().push(sid.to_owned());
    }

    // ---- The group ----

    fn load(&self) -> String {
        let busy = self.calls.borrow().len();
        format!("x0:{};x1:{};latency_ms:5;qps:-1", self.circuits.saturating_sub(busy), self.circuits)
    }

    fn status(&self) -> Value {
        json!({"msg": "status", "sid": "", "attrs": {"load": self.load()}})
    }

    async fn tell_group(self: Rc<Self>) {
        let mut told = usize::MAX;
        loop {
            Timer::after(TELL_GROUP).await;
            let busy = self.busy();
            if self.hanging.get() || !self.alive.get() || std::mem::replace(&mut told, busy) == busy {
                continue;
            }
            for path in &self.paths {
                path.connections().iter().for_each(|c| c.send(&self.status()));
            }
        }
    }
}
