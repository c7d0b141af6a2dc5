//! Wiring: opens the sockets, starts their tasks, and runs the task that owns routing to its end.

use super::clock::Clock;
use super::config::{self, Arguments, Config, ConfigError};
use super::log::{self, BadFilter, Log};
use super::switchboard::{Switchboard, Task};
use super::{console, counters, telemetry};
use crate::protocol::mgcp::message;
use crate::protocol::otlp::{Encoder, Snapshot};
use crate::routing::interface::Micros;
use crate::transport::control::{self, ControlError};
use crate::transport::coordinator::{self, Wish};
use crate::transport::saver::{self, Saving};
use crate::transport::{datagrams, signals, streams, Inbound};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use walnuthatch_drains::folder::{Folder, Loaded};

/// News that may wait for the task that owns routing; socket tasks wait when it is full.
const INBOX: usize = 1024;
/// News taken in one turn, so that deadlines are swept however much comes.
const TURN: usize = 256;
/// Snapshots that may wait for the exporter.
const SNAPSHOTS: usize = 4;
/// Datagrams that may wait to be sent; more are lost, as datagrams may be.
const DATAGRAMS: usize = 256;
/// What waits to be sent at the end has this long to go out (µs).
const FLUSH: Micros = 500_000;
/// The longest message between peers.
const PEER_LONGEST: usize = 256;

/// Why the program ended with an error.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration is not usable.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The log's filter is not usable.
    #[error("{0}")]
    Log(#[from] BadFilter),
    /// There is no control socket.
    #[error("control.socket: {0}")]
    Control(#[from] ControlError),
    /// An address can't be listened on.
    #[error("{key}: cannot listen on {address}: {why}")]
    Listen {
        /// The key that named it.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        why: io::Error,
    },
}

/// Serves with these arguments until it is asked to stop.
///
/// # Errors
/// If the configuration is faulty, or an address, the control socket or the log can't be had.
pub fn main(arguments: Arguments) -> Result<(), RunError> {
    let config = config::load(&arguments, environment)?;
    let told = config.appliance.as_ref();
    let filter = arguments.log.clone().or_else(|| environment(log::VARIABLE));
    let filter = filter.or_else(|| told.and_then(|a| a.log_filter.clone()));
    let format = arguments.log_format.or_else(|| told.and_then(|a| a.log_format)).unwrap_or_default();
    let log = Rc::new(Log::start(filter.as_deref(), format)?);
    let executor = Rc::new(LocalExecutor::new());
    let served = serve(config, arguments, executor.clone(), log.clone());
    let ended = async_io::block_on(executor.run(served));
    // What waits to be written is written before the program ends.
    drop(log);
    ended
}

/// A variable of the environment, if it is there and is text.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

async fn serve(
    mut config: Config,
    arguments: Arguments,
    executor: Rc<LocalExecutor<'static>>,
    log: Rc<Log>,
) -> Result<(), RunError> {
    let (clock, commands) = (Clock::start(), arguments.console);
    let listen = |key, address| move |why| RunError::Listen { key, address, why };
    let listener = streams::bind(config.listen).map_err(listen("listen", config.listen))?;
    let (inbox, news) = bounded(INBOX);
    // With port 0 this is the only way to learn where it listens.
    let said = |what: &str, at: io::Result<SocketAddr>| {
        if let Ok(at) = at {
            tracing::info!("{what} at {at}");
        }
    };
    said("callers", listener.get_ref().local_addr());
    let (peers, peer_queue) = bounded(DATAGRAMS);
    // With gossip on the peers' path that socket is gossip's.
    let taken = config.gossip.as_ref().map(|g| g.listen);
    if let Some(address) = config.peer_listen.filter(|a| Some(*a) != taken) {
        let socket = Async::<UdpSocket>::bind(address).map_err(listen("peer_listen", address))?;
        let made = |from, body| Inbound::Peer { from, body };
        executor.spawn(datagrams::serve(socket, PEER_LONGEST, peer_queue, inbox.clone(), made)).detach();
    }
    let (gateways, gateway_queue) = bounded(DATAGRAMS);
    if let Some(mgcp) = &config.mgcp {
        let socket = Async::<UdpSocket>::bind(mgcp.listen).map_err(listen("mgcp.listen", mgcp.listen))?;
        said("gateways", socket.get_ref().local_addr());
        let made = |from, body| Inbound::Gateway { from, body };
        let longest = message::LONGEST;
        executor.spawn(datagrams::serve(socket, longest, gateway_queue, inbox.clone(), made)).detach();
    }
    let (gossip, gossip_queue) = bounded(DATAGRAMS);
    if let Some(g) = &mut config.gossip {
        let socket = Async::<UdpSocket>::bind(g.listen).map_err(listen("gossip.listen", g.listen))?;
        said("gossip", socket.get_ref().local_addr());
        // With port 0 the others must be told which one it became.
        if let (true, Ok(at)) = (g.node.address.port() == 0, socket.get_ref().local_addr()) {
            g.node.address = at;
        }
        let made = |from, body| Inbound::Gossip { from, body };
        let longest = walnuthatch_gossip::wire::LONGEST;
        executor.spawn(datagrams::serve(socket, longest, gossip_queue, inbox.clone(), made)).detach();
    }
    match signals::catch() {
        Ok(caught) => executor.spawn(signals::watch(caught, inbox.clone())).detach(),
        Err(e) => tracing::error!("signals: {e}"),
    }
    let (coordinator, wishes) = bounded(1);
    let feed = coordinator::follow(config.coordinator, config.known_index, wishes, inbox.clone());
    executor.spawn(feed).detach();
    let ears = streams::listen(listener, config.most_callers(), executor.clone(), inbox.clone());
    executor.spawn(async move { drop(ears.await) }).detach();
    if commands {
        let (lines, inbox) = (console::listen(), inbox.clone());
        let pass_on = async move {
            while let Ok(line) = lines.recv().await {
                if inbox.send(Inbound::Command(line)).await.is_err() {
                    return;
                }
            }
        };
        executor.spawn(pass_on).detach();
    }
    let (mut saved, mut savings) = (None, None);
    let told = config.appliance.as_ref();
    if let Some(path) = told.and_then(|a| a.folder.clone()) {
        let mut folder = Folder::at(path);
        let Loaded { saved: found, complaints } = folder.load();
        complaints.iter().for_each(|why| tracing::warn!("state folder: {why}"));
        saved = found;
        let (queue, told) = saver::start(folder);
        executor.spawn(saver::pass_on(told, inbox.clone())).detach();
        savings = Some(queue);
    }
    let board = Switchboard::resume(&config, clock.now(), saved, Some(log));
    let mut control = None;
    if let Some(path) = told.and_then(|a| a.socket.as_deref()) {
        let socket = Rc::new(control::bind(path)?);
        control = Some(socket.clone());
        tracing::info!("control socket at {}", path.display());
        executor.spawn(control::listen(socket, executor.clone(), inbox.clone())).detach();
    }
    let (snapshots, snapshot_queue) = bounded(SNAPSHOTS);
    if let Some(t) = &config.telemetry {
        let encoder = Encoder::new(config.name.clone(), clock.now(), config.seed);
        executor.spawn(telemetry::export(t.collector, encoder, snapshot_queue, board.exported())).detach();
    }
    let answers = commands.then(console::print);
    let out = Outlets { inbox, peers, gateways, gossip, snapshots, coordinator, answers, savings, arguments };
    let board = route(board, clock, news, out, &executor).await;
    if let Some(socket) = control {
        socket.remove();
    }
    tracing::info!("{}: {}", config.name, counters::line(&board.counters()));
    Ok(())
}

/// The queues that the task that owns routing puts into; it waits for none of them.
struct Outlets {
    inbox: Sender<Inbound>,
    peers: Sender<datagrams::Outgoing>,
    gateways: Sender<datagrams::Outgoing>,
    gossip: Sender<datagrams::Outgoing>,
    snapshots: Sender<Snapshot>,
    coordinator: Sender<Wish>,
    answers: Option<Sender<String>>,
    /// The newest state takes the place of one that waits.
    savings: Option<Sender<Saving>>,
    /// Where the configuration came from, and comes from again.
    arguments: Arguments,
}

impl Outlets {
    /// What does not fit in a queue is lost: datagrams may be, and figures come again.
    fn carry_out(&self, task: Task, executor: &LocalExecutor<'static>) {
        match task {
            Task::Connect(conn, address, outbox) => {
                executor.spawn(streams::open(address, conn, outbox, self.inbox.clone())).detach();
            }
            Task::Peer(to, body) => drop(self.peers.try_send((to, body))),
            Task::Gateway(to, body) => drop(self.gateways.try_send((to, body))),
            Task::Gossip(to, body) => drop(self.gossip.try_send((to, body))),
            Task::Export(snapshot) => drop(self.snapshots.try_send(snapshot)),
            Task::Print(text) => drop(self.answers.as_ref().map(|a| a.try_send(text))),
            Task::Save(saving) => drop(self.savings.as_ref().map(|s| s.force_send(saving))),
            // A wish that waits already will do: one for another address brings what is new there.
            Task::Refetch => drop(self.coordinator.try_send(Wish::WholeList)),
            // Guards against following an address that is no more: the newest one takes the place of any wish.
            Task::Follow(address) => drop(self.coordinator.force_send(Wish::Follow(address))),
        }
    }
}

/// The task that owns routing: waits for news or the next deadline, takes in what has come, sweeps.
async fn route(
    mut board: Switchboard,
    clock: Clock,
    news: Receiver<Inbound>,
    out: Outlets,
    executor: &LocalExecutor<'static>,
) -> Switchboard {
    loop {
        for task in board.take_tasks() {
            out.carry_out(task, executor);
        }
        let first = wait(&clock, board.next_deadline(), &news).await;
        board.note_wall(clock.wall_ahead());
        let more = std::iter::from_fn(|| news.try_recv().ok()).take(TURN);
        for item in first.into_iter().chain(more) {
            match item {
                Inbound::Reload => board.reload(config::load(&out.arguments, environment)),
                item => board.take(clock.now(), item),
            }
        }
        board.sweep(clock.now());
        if board.finished(clock.now()) {
            break;
        }
    }
    // Guards answers that are still on their way out: the connections end once they have sent what waits.
    let until = clock.now() + FLUSH;
    board.close_all();
    while board.connections() > 0 && clock.now() < until {
        if let Some(item) = wait(&clock, Some(until), &news).await {
            board.take(clock.now(), item);
        }
    }
    board
}

async fn wait(clock: &Clock, until: Option<Micros>, news: &Receiver<Inbound>) -> Option<Inbound> {
    let item = async { news.recv().await.ok() };
    match until {
        None => item.await,
        Some(at) => {
            let late = async {
                Timer::at(clock.instant(at)).await;
                None
            };
            future::or(item, late).await
        }
    }
}
