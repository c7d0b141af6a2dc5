//! Runs a trial: starts the stand-ins and the controller processes, injects the planned faults and records all events.

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

/// Number of circuits of an exchange.
const CIRCUITS_PER_EXCHANGE: usize = 60;
/// Number of clients of a controller, besides flash crowds.
const CLIENTS_PER_CONTROLLER: usize = 4;
/// Number of the coordinator's addresses, between which reloads switch.
const COORDINATOR_ADDRESSES: usize = 2;
/// SIGKILL follows SIGTERM after the client timeout, at most [`LONGEST_DEADLINE`], and this delay.
const KILL_DELAY: Millis = 700;
/// Upper bound of the client timeout in the delay of SIGKILL.
const LONGEST_DEADLINE: Millis = 3_000;
/// Delay before the coordinator lists a change of an exchange.
const LISTING_DELAY: Millis = 400;
/// Time within which all requests and calls must end after the clients' last request.
const SETTLE_LIMIT: Millis = 14_000;
/// Time for which the trial waits for a signalled controller to exit.
const STOP_LIMIT: Millis = 6_000;
/// Interval at which the delay of the trial's own timers is measured.
const CLOCK_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which every controller must become ready after its first start; the trial fails to run otherwise.
const START_LIMIT: Millis = 30_000;
/// Interval between two polls of processes and probes.
const POLL_INTERVAL: Millis = 20;

async fn sleep(ms: Millis) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// An exchange and the member under which the coordinator lists it.
struct ListedExchange {
    exchange: Rc<Exchange>,
    member_id: RefCell<String>,
    replacements: Cell<u32>,
    /// A fault affects the exchange's process or paths; another such fault is skipped meanwhile.
    fault_active: Cell<bool>,
}

struct Trial {
    testbed: Testbed,
    schedule: Schedule,
    controllers: Vec<RefCell<Controller>>,
    /// Whether each controller is being restarted.
    restarting: Vec<Cell<bool>>,
    servers: Vec<Server>,
    exchanges: Vec<ListedExchange>,
    coordinator: Rc<Coordinator>,
    /// Index of the coordinator's address in the present configuration.
    coordinator_index: Cell<usize>,
    /// Present outages of the coordinator, of which the last determines its mode.
    outages: RefCell<Vec<Mode>>,
    clients: RefCell<Vec<Rc<Client>>>,
}

/// Allocates addresses that are unique to a job, so that several trials can run in parallel.
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

/// Runs the trial of a schedule with the executable `program`. `job` selects the loopback addresses and must differ
/// between trials that run in parallel.
///
/// # Errors
/// If an address can't be bound, a file can't be written, or the controllers don't become ready.
pub fn run_trial(schedule: &Schedule, program: &FilePath, folder: &FilePath, job: u8) -> io::Result<Record> {
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
        let mut allocate = |n: usize| (0..n).map(|_| addresses.next()).collect::<Vec<_>>();
        let listen_addresses = allocate(schedule.controllers);
        let exchange_addresses: Vec<Vec<SocketAddr>> =
            listen_addresses.iter().map(|_| allocate(schedule.exchanges)).collect();
        let coordinator_addresses: Vec<Vec<SocketAddr>> =
            listen_addresses.iter().map(|_| allocate(COORDINATOR_ADDRESSES)).collect();
        let mut exchanges = Vec::new();
        for number in 0..schedule.exchanges {
            let paths = exchange_addresses
                .iter()
                .map(|addresses| Path::new(addresses[number]))
                .collect::<io::Result<Vec<_>>>()?;
            let exchange = Exchange::start(&testbed, number, CIRCUITS_PER_EXCHANGE, paths);
            let member_id = RefCell::new(format!("s-{number}"));
            exchanges.push(ListedExchange {
                exchange,
                member_id,
                replacements: Cell::default(),
                fault_active: Cell::default(),
            });
        }
        let coordinator = Coordinator::start(&testbed, coordinator_addresses.clone(), exchange_addresses)?;
        let controller = |(number, listen): (usize, &SocketAddr)| {
            let addresses =
                ControllerAddresses { listen: *listen, coordinators: coordinator_addresses[number].clone() };
            RefCell::new(Controller::new(number, addresses, folder, program, schedule.client_timeout))
        };
        let controllers = listen_addresses.iter().enumerate().map(controller).collect();
        let server = |(controller, &address): (usize, &SocketAddr)| {
            let (exchanges, established_calls) = (schedule.exchanges, EstablishedCalls::default());
            Server { controller, address, exchanges, established_calls }
        };
        let servers = listen_addresses.iter().enumerate().map(server).collect();
        Ok(Trial {
            restarting: listen_addresses.iter().map(|_| Cell::default()).collect(),
            testbed,
            schedule: schedule.clone(),
            controllers,
            servers,
            exchanges,
            coordinator,
            coordinator_index: Cell::default(),
            outages: RefCell::default(),
            clients: RefCell::default(),
        })
    }

    async fn run(self: Rc<Self>) -> io::Result<()> {
        let longest_delay = Rc::new(Cell::new(0));
        self.testbed.spawn(measure_clock(longest_delay.clone()));
        for number in 0..self.exchanges.len() {
            self.publish(number, "up", 0);
        }
        for number in 0..self.controllers.len() {
            self.start(number)?;
        }
        self.testbed.spawn(self.clone().watch_exits());
        self.wait_until_all_ready().await?;
        self.start_clients();
        for planned in self.schedule.faults.clone() {
            let trial = self.clone();
            self.testbed.spawn(async move {
                sleep(planned.at).await;
                let text = format!("{:?}", planned.fault);
                trial.testbed.recorder.record(EventKind::Fault { text });
                trial.inject(planned.fault).await;
            });
        }
        sleep(self.schedule.duration).await;
        self.clients.borrow().iter().for_each(|c| c.finish());
        self.settle().await;
        self.record_resources("settled");
        self.stop_all().await;
        self.testbed.recorder.record(EventKind::Clock { late_us: longest_delay.get() });
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
            for n in 0..CLIENTS_PER_CONTROLLER {
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
            if probe_until_ready(address).await {
                testbed.recorder.record(EventKind::Ready { controller: number });
            }
        });
        Ok(())
    }

    fn configure(&self, number: usize) -> io::Result<()> {
        let snapshot = self.coordinator.snapshot(number);
        let seed = self.testbed.below(u64::MAX);
        self.controllers[number].borrow().configure(self.coordinator_index.get(), &snapshot, seed)
    }

    /// Waits until each controller has answered a probe as ready.
    async fn wait_until_all_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_millis(START_LIMIT);
        loop {
            sleep(POLL_INTERVAL).await;
            let events = self.testbed.recorder.events();
            let ready = events.iter().filter(|e| matches!(e.kind, EventKind::Ready { .. })).count();
            if ready == self.controllers.len() {
                return Ok(());
            }
            let exited = events.iter().any(|e| matches!(e.kind, EventKind::Exited { .. }));
            if exited || Instant::now() >= end {
                let log_lines =
                    self.controllers.iter().map(|c| c.borrow().last_log_line()).collect::<Vec<_>>();
                return Err(io::Error::other(format!(
                    "the controllers did not become ready; last log lines: {}",
                    log_lines.join("; ")
                )));
            }
        }
    }

    /// Records the exit of each process.
    async fn watch_exits(self: Rc<Self>) {
        loop {
            sleep(POLL_INTERVAL).await;
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

    async fn wait_for_exit(&self, controller: usize, limit: Millis) {
        let end = Instant::now() + Duration::from_millis(limit);
        while self.controllers[controller].borrow().is_running() && Instant::now() < end {
            sleep(2).await;
        }
    }

    async fn restart(&self, controller: usize, down: Millis, graceful: bool) {
        if self.restarting[controller].replace(true) {
            return;
        }
        if graceful {
            self.signal(controller, Signal::TERM, "TERM");
            self.wait_for_exit(controller, self.schedule.client_timeout.min(LONGEST_DEADLINE) + KILL_DELAY)
                .await;
        }
        self.signal(controller, Signal::KILL, "KILL");
        self.wait_for_exit(controller, STOP_LIMIT).await;
        sleep(down).await;
        if let Err(error) = self.start(controller) {
            self.testbed
                .recorder
                .record(EventKind::Fault { text: format!("n{controller} can't be started: {error}") });
        }
        self.restarting[controller].set(false);
    }

    async fn reload(&self, times: u64) {
        for _ in 0..times {
            self.coordinator_index.set((self.coordinator_index.get() + 1) % COORDINATOR_ADDRESSES);
            for number in 0..self.controllers.len() {
                if self.configure(number).is_ok() {
                    self.signal(number, Signal::HUP, "HUP");
                }
            }
            sleep(self.testbed.below(150)).await;
        }
    }

    // ---- Exchanges ----

    fn publish(&self, number: usize, phase: &'static str, up_since_ms: u64) {
        let id = self.exchanges[number].member_id.borrow().clone();
        self.coordinator.publish(Member { id, exchange: number, phase, up_since_ms });
    }

    fn record_paths(&self, exchange: usize, open: bool) {
        for controller in 0..self.controllers.len() {
            self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open });
        }
    }

    /// Assigns a new member identifier to the exchange, as for a host that takes over its address.
    fn replace_member(&self, number: usize) {
        let listed = &self.exchanges[number];
        listed.replacements.set(listed.replacements.get() + 1);
        *listed.member_id.borrow_mut() = format!("s-{number}-{}", listed.replacements.get());
    }

    async fn vanish(&self, number: usize, span: Millis, replaced: bool) {
        let exchange = &self.exchanges[number].exchange;
        self.record_paths(number, false);
        exchange.vanish();
        sleep(LISTING_DELAY).await;
        if replaced {
            self.publish(number, "removed", 0);
            self.replace_member(number);
        }
        sleep(span).await;
        exchange.restore(true);
        self.record_paths(number, true);
        self.publish(number, "up", unix_ms());
    }

    async fn kill_exchange(&self, number: usize, span: Millis) {
        let exchange = &self.exchanges[number].exchange;
        self.record_paths(number, false);
        exchange.die();
        sleep(span).await;
        exchange.restore(false);
        self.record_paths(number, true);
        self.publish(number, "up", unix_ms());
    }

    async fn drain(&self, number: usize, span: Millis, replaced: bool) {
        self.publish(number, "draining", 0);
        sleep(span).await;
        if !replaced {
            return self.publish(number, "up", 0);
        }
        self.publish(number, "removed", 0);
        self.replace_member(number);
        sleep(LISTING_DELAY).await;
        self.kill_exchange(number, LISTING_DELAY).await;
    }

    async fn hang(&self, number: usize, span: Millis) {
        let exchange = &self.exchanges[number].exchange;
        self.record_paths(number, false);
        exchange.hang(true);
        let paths = || (0..self.controllers.len()).map(|c| exchange.path(c));
        paths().for_each(|p| p.network.set_partitioned(true));
        sleep(span).await;
        paths().for_each(|p| p.network.set_partitioned(false));
        exchange.hang(false);
        self.record_paths(number, true);
    }

    async fn inject_set_up_faults(&self, number: usize, fault: ExchangeFault, span: Millis) {
        let exchange = &self.exchanges[number].exchange;
        let mut fault_rates = exchange.fault_rates.get();
        match fault {
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

    /// Injects a fault into an exchange's process, unless another fault affects the exchange already.
    async fn change_process(&self, number: usize, fault: Fault) {
        if self.exchanges[number].fault_active.replace(true) {
            return;
        }
        match fault {
            Fault::Hang { span, .. } => self.hang(number, span).await,
            Fault::Vanish { span, replaced, .. } => self.vanish(number, span, replaced).await,
            Fault::Die { span, .. } => self.kill_exchange(number, span).await,
            Fault::Drain { span, replaced, .. } => self.drain(number, span, replaced).await,
            _ => {}
        }
        self.exchanges[number].fault_active.set(false);
    }

    // ---- Coordinator, network and clients ----

    async fn fail_coordinator(&self, outage: Outage, span: Millis) {
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

    /// Blocks new connections on a path, and with `stop_traffic` also all traffic on open ones, unless another fault
    /// affects the exchange already.
    async fn partition(&self, controller: usize, exchange: usize, span: Millis, stop_traffic: bool) {
        if self.exchanges[exchange].fault_active.replace(true) {
            return;
        }
        let path = self.exchanges[exchange].exchange.path(controller);
        self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open: false });
        path.block();
        path.network.set_partitioned(stop_traffic);
        sleep(span).await;
        path.network.set_partitioned(false);
        path.unblock();
        self.testbed.recorder.record(EventKind::PathOpen { controller, exchange, open: true });
        self.exchanges[exchange].fault_active.set(false);
    }

    async fn inject(&self, fault: Fault) {
        match fault {
            Fault::Restart { controller, down } => self.restart(controller, down, true).await,
            Fault::Kill { controller, down } => self.restart(controller, down, false).await,
            Fault::Reload { times } => self.reload(times).await,
            Fault::Coordinator { outage, span } => self.fail_coordinator(outage, span).await,
            Fault::CutEvent => self.coordinator.truncate_next_event(),
            Fault::Hang { exchange, .. }
            | Fault::Vanish { exchange, .. }
            | Fault::Die { exchange, .. }
            | Fault::Drain { exchange, .. } => self.change_process(exchange, fault).await,
            Fault::Habit { exchange, habit, span } => self.inject_set_up_faults(exchange, habit, span).await,
            Fault::CloseResting { exchange } => self.exchanges[exchange].exchange.close_idle_connections(),
            Fault::Cut { controller, exchange, span } => {
                self.partition(controller, exchange, span, true).await
            }
            Fault::Late { controller, exchange, span } => {
                self.exchanges[exchange].exchange.reset_connections(controller);
                self.partition(controller, exchange, span, false).await;
            }
            Fault::Pieces { controller, exchange, delay, span } => {
                let network = &self.exchanges[exchange].exchange.path(controller).network;
                network.delay.set(Duration::from_millis(delay));
                network.fragmented.set(true);
                sleep(span).await;
                network.delay.set(Duration::ZERO);
                network.fragmented.set(false);
            }
            Fault::ResetPath { controller, exchange } => {
                self.exchanges[exchange].exchange.reset_connections(controller)
            }
            Fault::Bad { controller, misdeed } => {
                let misbehavior = match misdeed {
                    ClientFault::Garbage => Misbehavior::Garbage,
                    ClientFault::HalfMessage => Misbehavior::HalfMessage,
                    ClientFault::SameName => Misbehavior::SameName,
                    ClientFault::SlowWriter => Misbehavior::SlowWriter,
                    ClientFault::Mute => Misbehavior::Mute,
                };
                // An error is expected if the controller closes the connection.
                let _ = misbehave(self.testbed.clone(), self.servers[controller].address, misbehavior).await;
            }
            Fault::CutClient { controller, client, span } => {
                let client = self.clients.borrow().get(controller * CLIENTS_PER_CONTROLLER + client).cloned();
                let Some(client) = client else { return };
                client.set_partitioned(true);
                sleep(span).await;
                client.set_partitioned(false);
            }
            Fault::Crowd { controller, size } => {
                let crowd = start_flash_crowd(&self.testbed, &self.servers[controller], size);
                self.clients.borrow_mut().extend(crowd);
            }
        }
    }

    // ---- End of the trial ----

    fn leftovers(&self) -> (usize, usize, usize) {
        let requests = self.clients.borrow().iter().map(|c| c.pending_requests()).sum();
        let calls = self.servers.iter().map(|s| s.established_calls.borrow().len()).sum();
        (requests, calls, self.exchanges.iter().map(|listed| listed.exchange.busy()).sum())
    }

    async fn settle(&self) {
        let end = Instant::now() + Duration::from_millis(SETTLE_LIMIT);
        while Instant::now() < end && self.leftovers() != (0, 0, 0) {
            sleep(POLL_INTERVAL).await;
        }
        let (requests, calls, exchanges_busy) = self.leftovers();
        self.testbed.recorder.record(EventKind::Left { requests, calls, exchanges_busy });
    }

    fn record_resources(&self, moment: &str) {
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
            sleep(POLL_INTERVAL).await;
        }
        for number in 0..self.controllers.len() {
            self.signal(number, Signal::TERM, "TERM");
        }
        for number in 0..self.controllers.len() {
            self.wait_for_exit(number, STOP_LIMIT).await;
        }
        for number in 0..self.controllers.len() {
            self.signal(number, Signal::KILL, "KILL");
            self.wait_for_exit(number, STOP_LIMIT).await;
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Measures the longest delay of the trial's own timers.
async fn measure_clock(longest_delay: Rc<Cell<u64>>) {
    loop {
        let due = Instant::now() + CLOCK_INTERVAL;
        Timer::at(due).await;
        let delay = due.elapsed().as_micros() as u64;
        longest_delay.set(longest_delay.get().max(delay));
    }
}

/// Probes a controller on new connections until it answers as ready. Returns whether it did within 30 seconds.
async fn probe_until_ready(address: SocketAddr) -> bool {
    use futures_lite::{AsyncBufReadExt, AsyncWriteExt};
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        sleep(POLL_INTERVAL).await;
        let probe = async {
            let stream = async_io::Async::<std::net::TcpStream>::connect(address).await.ok()?;
            let message = b"{\"msg\":\"probe\",\"sid\":\"00000000000000aa\",\"attrs\":{},\"code\":0}\n";
            (&stream).write_all(message).await.ok()?;
            let mut line = String::new();
            futures_lite::io::BufReader::new(&stream).read_line(&mut line).await.ok()?;
            let answer: serde_json::Value = serde_json::from_str(&line).ok()?;
            (answer["code"] == 1).then_some(())
        };
        let timeout = async {
            sleep(500).await;
            None
        };
        if future::or(probe, timeout).await.is_some() {
            return true;
        }
    }
    false
}
