//! Plays a trial: starts the stand-ins and the processes, lets the faults happen when they are planned, and writes
//! down what all of them saw.

use crate::controller::{Controller, ControllerAddresses};
use crate::record_file::Record;
use crate::schedule::{ClientFault, ExchangeFault, Fault, Millis, Outage, Schedule};
use async_io::Timer;
use futures_lite::future;
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path as FilePath;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use walnuthatch_standin::faulty::client::{
    misbehave, start_flash_crowd, Client, ClientBehavior, EstablishedCalls, Misbehavior, Server,
};
use walnuthatch_standin::faulty::coordinator::{Coordinator, Member, Mode};
use walnuthatch_standin::faulty::exchange::{Exchange, FaultRates};
use walnuthatch_standin::faulty::path::Path;
use walnuthatch_standin::faulty::record::EventKind;
use walnuthatch_standin::faulty::Testbed;

/// Circuits of an exchange.
const CIRCUITS: usize = 60;
/// Clients of a controller.
const CLIENTS: usize = 4;
/// Places of the coordinator, between which reloads move.
const COORDINATORS: usize = 2;
/// SIGKILL comes this long after SIGTERM and the longest deadline, which counts as 3 s at the most.
const KILL_AFTER: Millis = 700;
const LONGEST_DEADLINE: Millis = 3_000;
/// The coordinator lists what has happened to an exchange this much later.
const LISTED_AFTER: Millis = 400;
/// After the clients' last request everything has this long to come to its end.
const SETTLE: Millis = 14_000;
/// A controller that is asked to stop with nothing left has this long.
const STOPPING: Millis = 6_000;
/// How often the trial's own timers are measured.
const CLOCK: Duration = Duration::from_millis(10);
/// Every controller passes a test this long after its first start, or the trial is not played.
const FIRST_START: Millis = 30_000;
/// How often a process or a test is looked at.
const LOOK: Millis = 20;

async fn sleep(ms: Millis) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// An exchange and how it is listed.
struct Place {
    exchange: Rc<Exchange>,
    member: RefCell<String>,
    replaced: Cell<u32>,
    /// Its process is being changed by a fault; no other does so meanwhile.
    taken: Cell<bool>,
}

struct Trial {
    testbed: Testbed,
    schedule: Schedule,
    controllers: Vec<RefCell<Controller>>,
    /// A controller is being restarted.
    restarting: Vec<Cell<bool>>,
    servers: Vec<Server>,
    places: Vec<Place>,
    coordinator: Rc<Coordinator>,
    /// Where the coordinator is found at present.
    coordinator_at: Cell<usize>,
    /// Failures of the coordinator that last.
    outages: RefCell<Vec<Mode>>,
    clients: RefCell<Vec<Rc<Client>>>,
}

/// Addresses of their own for one trial, so that several can run side by side.
struct Addresses {
    job: u8,
    next: u16,
}

impl Addresses {
    fn next(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from(([127, 100, self.job, 1], 10_000 + self.next))
    }
}

/// Plays the trial of this schedule with this program; `job` tells trials apart that run side by side.
///
/// # Errors
/// If an address can't be had, a file can't be written, or the program can't be started.
pub fn play(schedule: &Schedule, program: &FilePath, folder: &FilePath, job: u8) -> io::Result<Record> {
    let trial = Rc::new(Trial::new(schedule, program, folder, job)?);
    let executor = trial.testbed.executor.clone();
    async_io::block_on(executor.run(trial.clone().run()))?;
    trial.testbed.recorder.record(EventKind::End);
    Ok(Record { schedule: schedule.clone(), events: trial.testbed.recorder.events() })
}

impl Trial {
    fn new(schedule: &Schedule, program: &FilePath, folder: &FilePath, job: u8) -> io::Result<Trial> {
        let testbed = Testbed::new(schedule.seed);
        let mut addresses = Addresses { job, next: 0 };
        let mut some = |n: usize| (0..n).map(|_| addresses.next()).collect::<Vec<_>>();
        let listens = some(schedule.controllers);
        let exchanges: Vec<Vec<SocketAddr>> = listens.iter().map(|_| some(schedule.exchanges)).collect();
        let coordinators: Vec<Vec<SocketAddr>> = listens.iter().map(|_| some(COORDINATORS)).collect();
        let mut places = Vec::new();
        for number in 0..schedule.exchanges {
            let paths = exchanges.iter().map(|of| Path::new(of[number])).collect::<io::Result<Vec<_>>>()?;
            let exchange = Exchange::start(&testbed, number, CIRCUITS, paths);
            let member = RefCell::new(format!("s-{number}"));
            places.push(Place { exchange, member, replaced: Cell::default(), taken: Cell::default() });
        }
        let coordinator = Coordinator::start(&testbed, coordinators.clone(), exchanges)?;
        let controller = |(number, listen): (usize, &SocketAddr)| {
            let addresses =
                ControllerAddresses { listen: *listen, coordinators: coordinators[number].clone() };
            RefCell::new(Controller::new(number, addresses, folder, program, schedule.client_timeout))
        };
        let controllers = listens.iter().enumerate().map(controller).collect();
        let server = |(controller, &address): (usize, &SocketAddr)| {
            let (exchanges, established_calls) = (schedule.exchanges, EstablishedCalls::default());
            Server { controller, address, exchanges, established_calls }
        };
        let servers = listens.iter().enumerate().map(server).collect();
        Ok(Trial {
            restarting: listens.iter().map(|_| Cell::default()).collect(),
            testbed,
            schedule: schedule.clone(),
            controllers,
            servers,
            places,
            coordinator,
            coordinator_at: Cell::default(),
            outages: RefCell::default(),
            clients: RefCell::default(),
        })
    }

    async fn run(self: Rc<Self>) -> io::Result<()> {
        let worst = Rc::new(Cell::new(0));
        self.testbed.spawn(measure_clock(worst.clone()));
        for number in 0..self.places.len() {
            self.list(number, "up", 0);
        }
        for number in 0..self.controllers.len() {
            self.start(number)?;
        }
        self.testbed.spawn(self.clone().watch());
        self.until_all_passed().await?;
        self.start_clients();
        for planned in self.schedule.faults.clone() {
            let here = self.clone();
            self.testbed.spawn(async move {
                sleep(planned.at).await;
                let text = format!("{:?}", planned.fault);
                here.testbed.recorder.record(EventKind::Fault { text });
                here.happen(planned.fault).await;
            });
        }
        sleep(self.schedule.duration).await;
        self.clients.borrow().iter().for_each(|c| c.finish());
        self.settle().await;
        self.note_resources("settled");
        self.stop_all().await;
        self.testbed.recorder.record(EventKind::Clock { late_us: worst.get() });
        Ok(())
    }

    fn start_clients(&self) {
        let behavior = ClientBehavior {
            rate: self.schedule.rate as f64,
            class: "call",
            client_timeout_ms: self.schedule.remaining_time,
            ..ClientBehavior::default()
        };
        for server in &self.servers {
            for n in 0..CLIENTS {
                let behavior = match n {
                    0 => ClientBehavior {
                        early_cancel_percent: self.schedule.early_cancel_percent,
                        redials: true,
                        ..behavior
                    },
                    1 => ClientBehavior { fragmented: true, ..behavior },
                    2 => ClientBehavior { disconnect_percent: self.schedule.disconnect_percent, ..behavior },
                    _ => behavior,
                };
                let client = Client::start(&self.testbed, server, behavior);
                self.clients.borrow_mut().push(client);
            }
        }
    }

    // ---- Controllers ----

    fn start(&self, number: usize) -> io::Result<()> {
        self.configure(number)?;
        let pid = self.controllers[number].borrow_mut().start()?;
        self.testbed.recorder.record(EventKind::Started { controller: number, pid });
        let (testbed, address) = (self.testbed.clone(), self.servers[number].address);
        self.testbed.spawn(async move {
            if test_until_passed(address).await {
                testbed.recorder.record(EventKind::Ready { controller: number });
            }
        });
        Ok(())
    }

    fn configure(&self, number: usize) -> io::Result<()> {
        let known = self.coordinator.snapshot(number);
        let seed = self.testbed.below(u64::MAX);
        self.controllers[number].borrow().configure(self.coordinator_at.get(), &known, seed)
    }

    /// Waits until each controller has passed a test.
    async fn until_all_passed(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_millis(FIRST_START);
        loop {
            sleep(LOOK).await;
            let events = self.testbed.recorder.events();
            let passed = events.iter().filter(|e| matches!(e.kind, EventKind::Ready { .. })).count();
            if passed == self.controllers.len() {
                return Ok(());
            }
            let ended = events.iter().any(|e| matches!(e.kind, EventKind::Exited { .. }));
            if ended || Instant::now() >= end {
                let why = self.controllers.iter().map(|c| c.borrow().last_log_line()).collect::<Vec<_>>();
                return Err(io::Error::other(format!("the program does not start: {}", why.join("; "))));
            }
        }
    }

    /// Notes the end of each process.
    async fn watch(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            for (controller, process) in self.controllers.iter().enumerate() {
                if let Some(status) = process.borrow_mut().try_wait() {
                    self.testbed.recorder.record(EventKind::Exited { controller, code: status.code() });
                }
            }
        }
    }

    fn signal(&self, controller: usize, signal: Signal, name: &str) {
        if self.controllers[controller].borrow_mut().signal(signal) {
            self.testbed.recorder.record(EventKind::Signal { controller, signal: name.to_owned() });
        }
    }

    async fn until_ended(&self, controller: usize, limit: Millis) {
        let end = Instant::now() + Duration::from_millis(limit);
        while self.controllers[controller].borrow().is_running() && Instant::now() < end {
            sleep(2).await;
        }
    }

    async fn restart(&self, controller: usize, down: Millis, planned: bool) {
        if self.restarting[controller].replace(true) {
            return;
        }
        if planned {
            self.signal(controller, Signal::TERM, "TERM");
            self.until_ended(controller, self.schedule.client_timeout.min(LONGEST_DEADLINE) + KILL_AFTER)
                .await;
        }
        self.signal(controller, Signal::KILL, "KILL");
        self.until_ended(controller, STOPPING).await;
        sleep(down).await;
        if let Err(why) = self.start(controller) {
            self.testbed
                .recorder
                .record(EventKind::Fault { text: format!("n{controller} can't be started: {why}") });
        }
        self.restarting[controller].set(false);
    }

    async fn reload(&self, times: u64) {
        for _ in 0..times {
            self.coordinator_at.set((self.coordinator_at.get() + 1) % COORDINATORS);
            for number in 0..self.controllers.len() {
                if self.configure(number).is_ok() {
                    self.signal(number, Signal::HUP, "HUP");
                }
            }
            sleep(self.testbed.below(150)).await;
        }
    }

    // ---- Exchanges ----

    fn list(&self, number: usize, phase: &'static str, up_since_ms: u64) {
        let id = self.places[number].member.borrow().clone();
        self.coordinator.publish(Member { id, exchange: number, phase, up_since_ms });
    }

    fn open_paths(&self, exchange: usize, open: bool) {
        for controller in 0..self.controllers.len() {
            self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open });
        }
    }

    /// Another machine takes the address, under a name of its own.
    fn rename(&self, number: usize) {
        let place = &self.places[number];
        place.replaced.set(place.replaced.get() + 1);
        *place.member.borrow_mut() = format!("s-{number}-{}", place.replaced.get());
    }

    async fn vanish(&self, number: usize, span: Millis, replaced: bool) {
        let exchange = &self.places[number].exchange;
        self.open_paths(number, false);
        exchange.vanish();
        sleep(LISTED_AFTER).await;
        if replaced {
            self.list(number, "removed", 0);
            self.rename(number);
        }
        sleep(span).await;
        exchange.restore(true);
        self.open_paths(number, true);
        self.list(number, "up", unix_ms());
    }

    async fn die(&self, number: usize, span: Millis) {
        let exchange = &self.places[number].exchange;
        self.open_paths(number, false);
        exchange.die();
        sleep(span).await;
        exchange.restore(false);
        self.open_paths(number, true);
        self.list(number, "up", unix_ms());
    }

    async fn drain(&self, number: usize, span: Millis, replaced: bool) {
        self.list(number, "draining", 0);
        sleep(span).await;
        if !replaced {
            return self.list(number, "up", 0);
        }
        self.list(number, "removed", 0);
        self.rename(number);
        sleep(LISTED_AFTER).await;
        self.die(number, LISTED_AFTER).await;
    }

    async fn hang(&self, number: usize, span: Millis) {
        let exchange = &self.places[number].exchange;
        self.open_paths(number, false);
        exchange.hang(true);
        let paths = || (0..self.controllers.len()).map(|c| exchange.path(c));
        paths().for_each(|p| p.network.set_partitioned(true));
        sleep(span).await;
        paths().for_each(|p| p.network.set_partitioned(false));
        exchange.hang(false);
        self.open_paths(number, true);
    }

    async fn habit(&self, number: usize, habit: ExchangeFault, span: Millis) {
        let exchange = &self.places[number].exchange;
        let mut fault_rates = exchange.fault_rates.get();
        match habit {
            ExchangeFault::Loses(share) => fault_rates.lost = share,
            ExchangeFault::Doubles(share) => fault_rates.duplicated = share,
            ExchangeFault::Spoils(share) => fault_rates.garbled = share,
            ExchangeFault::Fails(share) => fault_rates.failed = share,
            ExchangeFault::Resets(share) => fault_rates.reset = share,
            ExchangeFault::Slower(ms) => fault_rates.extra_delay_ms = ms,
        }
        exchange.fault_rates.set(fault_rates);
        sleep(span).await;
        exchange.fault_rates.set(FaultRates::default());
    }

    /// Changes what is behind an exchange's address, unless another fault does so at the time.
    async fn change_process(&self, number: usize, fault: Fault) {
        if self.places[number].taken.replace(true) {
            return;
        }
        match fault {
            Fault::Hang { span, .. } => self.hang(number, span).await,
            Fault::Vanish { span, replaced, .. } => self.vanish(number, span, replaced).await,
            Fault::Die { span, .. } => self.die(number, span).await,
            Fault::Drain { span, replaced, .. } => self.drain(number, span, replaced).await,
            _ => {}
        }
        self.places[number].taken.set(false);
    }

    // ---- The rest ----

    async fn outage(&self, outage: Outage, span: Millis) {
        let mode = match outage {
            Outage::Refuses => Mode::Refuses,
            Outage::Hangs => Mode::Hangs,
            Outage::Silent => Mode::Silent,
            Outage::Slow(ms) => Mode::Slow(ms),
        };
        self.outages.borrow_mut().push(mode);
        self.coordinator.set_mode(mode);
        sleep(span).await;
        let mut outages = self.outages.borrow_mut();
        if let Some(at) = outages.iter().position(|m| *m == mode) {
            outages.remove(at);
        }
        self.coordinator.set_mode(outages.last().copied().unwrap_or_default());
    }

    async fn cut(&self, controller: usize, exchange: usize, span: Millis, cut: bool) {
        if self.places[exchange].taken.replace(true) {
            return;
        }
        let path = self.places[exchange].exchange.path(controller);
        self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open: false });
        path.block();
        path.network.set_partitioned(cut);
        sleep(span).await;
        path.network.set_partitioned(false);
        path.unblock();
        self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open: true });
        self.places[exchange].taken.set(false);
    }

    async fn happen(&self, fault: Fault) {
        match fault {
            Fault::Restart { controller, down } => self.restart(controller, down, true).await,
            Fault::Kill { controller, down } => self.restart(controller, down, false).await,
            Fault::Reload { times } => self.reload(times).await,
            Fault::Coordinator { outage, span } => self.outage(outage, span).await,
            Fault::CutEvent => self.coordinator.truncate_next_event(),
            Fault::Hang { exchange, .. }
            | Fault::Vanish { exchange, .. }
            | Fault::Die { exchange, .. }
            | Fault::Drain { exchange, .. } => self.change_process(exchange, fault).await,
            Fault::Habit { exchange, habit, span } => self.habit(exchange, habit, span).await,
            Fault::CloseResting { exchange } => self.places[exchange].exchange.close_idle_connections(),
            Fault::Cut { controller, exchange, span } => self.cut(controller, exchange, span, true).await,
            Fault::Late { controller, exchange, span } => {
                self.places[exchange].exchange.reset_connections(controller);
                self.cut(controller, exchange, span, false).await;
            }
            Fault::Pieces { controller, exchange, delay, span } => {
                let network = &self.places[exchange].exchange.path(controller).network;
                network.delay.set(Duration::from_millis(delay));
                network.fragmented.set(true);
                sleep(span).await;
                network.delay.set(Duration::ZERO);
                network.fragmented.set(false);
            }
            Fault::ResetPath { controller, exchange } => {
                self.places[exchange].exchange.reset_connections(controller)
            }
            Fault::Bad { controller, misdeed } => {
                let kind = match misdeed {
                    ClientFault::Garbage => Misbehavior::Garbage,
                    ClientFault::HalfMessage => Misbehavior::HalfMessage,
                    ClientFault::SameName => Misbehavior::SameName,
                    ClientFault::SlowWriter => Misbehavior::SlowWriter,
                    ClientFault::Mute => Misbehavior::Mute,
                };
                // The controller may well end its connection.
                let _ = misbehave(self.testbed.clone(), self.servers[controller].address, kind).await;
            }
            Fault::CutClient { controller, client, span } => {
                let client = self.clients.borrow().get(controller * CLIENTS + client).cloned();
                let Some(client) = client else { return };
                client.set_partitioned(true);
                sleep(span).await;
                client.set_partitioned(false);
            }
            Fault::Crowd { controller, size } => {
                let all = start_flash_crowd(&self.testbed, &self.servers[controller], size);
                self.clients.borrow_mut().extend(all);
            }
        }
    }

    // ---- The end ----

    fn left(&self) -> (usize, usize, usize) {
        let requests = self.clients.borrow().iter().map(|c| c.pending_requests()).sum();
        let calls = self.servers.iter().map(|s| s.established_calls.borrow().len()).sum();
        (requests, calls, self.places.iter().map(|p| p.exchange.busy()).sum())
    }

    async fn settle(&self) {
        let end = Instant::now() + Duration::from_millis(SETTLE);
        while Instant::now() < end && self.left() != (0, 0, 0) {
            sleep(LOOK).await;
        }
        let (requests, calls, exchanges_busy) = self.left();
        self.testbed.recorder.record(EventKind::Left { requests, calls, exchanges_busy });
    }

    fn note_resources(&self, moment: &str) {
        for (controller, process) in self.controllers.iter().enumerate() {
            if let Some((rss_kb, descriptors)) = process.borrow().resources() {
                let moment = moment.to_owned();
                self.testbed.recorder.record(EventKind::Resources {
                    controller,
                    rss_kb,
                    descriptors,
                    moment,
                });
            }
        }
    }

    async fn stop_all(&self) {
        while self.restarting.iter().any(Cell::get) {
            sleep(LOOK).await;
        }
        for number in 0..self.controllers.len() {
            self.signal(number, Signal::TERM, "TERM");
        }
        for number in 0..self.controllers.len() {
            self.until_ended(number, STOPPING).await;
        }
        for number in 0..self.controllers.len() {
            self.signal(number, Signal::KILL, "KILL");
            self.until_ended(number, STOPPING).await;
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Measures how late the trial's own timers run.
async fn measure_clock(worst: Rc<Cell<u64>>) {
    loop {
        let due = Instant::now() + CLOCK;
        Timer::at(due).await;
        let late = due.elapsed().as_micros() as u64;
        worst.set(worst.get().max(late));
    }
}

/// Tests a controller on connections of its own until it passes. Whether it did before it had long enough.
async fn test_until_passed(address: SocketAddr) -> bool {
    use futures_lite::{AsyncBufReadExt, AsyncWriteExt};
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        sleep(LOOK).await;
        let test = async {
            let stream = async_io::Async::<std::net::TcpStream>::connect(address).await.ok()?;
            let probe = b"{\"msg\":\"probe\",\"sid\":\"00000000000000aa\",\"attrs\":{},\"code\":0}\n";
            (&stream).write_all(probe).await.ok()?;
            let mut line = String::new();
            futures_lite::io::BufReader::new(&stream).read_line(&mut line).await.ok()?;
            let answer: serde_json::Value = serde_json::from_str(&line).ok()?;
            (answer["code"] == 1).then_some(())
        };
        let limit = async {
            sleep(500).await;
            None
        };
        if future::or(test, limit).await.is_some() {
            return true;
        }
    }
    false
}
