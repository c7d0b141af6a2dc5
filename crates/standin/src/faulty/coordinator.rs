//! A coordinator with fault injection: it can refuse connections, hang, fall silent, respond slowly and truncate an
//! event.

use super::record::EventKind;
use super::Testbed;
use crate::host::Host;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Interval of the comments that keep an idle stream alive.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two polls of a listener.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The coordinator's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Serves normally.
    #[default]
    Up,
    /// Refuses connections; open streams are closed.
    Refuses,
    /// Accepts connections and never answers them; connections stay open without data and are closed when the mode
    /// changes.
    Hangs,
    /// Keeps streams open without sending anything; new requests are not answered.
    Silent,
    /// Delays each response and event by this many milliseconds.
    Slow(u64),
}

/// A member of the coordinator's list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the member.
    pub id: String,
    /// Number of the exchange that it serves, from 0.
    pub exchange: usize,
    /// `up`, `draining` or `removed`.
    pub phase: &'static str,
    /// Unix time of its start (ms), or 0 if it is not cold.
    pub up_since_ms: u64,
}

/// A change of one member, with its index in the list.
struct Change {
    index: u64,
    member: Member,
}

/// A coordinator with fault injection.
pub struct Coordinator {
    testbed: Testbed,
    mode: Cell<Mode>,
    /// The next event is truncated.
    truncate_next: Cell<bool>,
    members: RefCell<BTreeMap<String, Member>>,
    changes: RefCell<Vec<Change>>,
    /// Address of each exchange, by controller.
    exchanges: Vec<Vec<SocketAddr>>,
    /// Listen addresses, by controller; a reload switches between the addresses of a controller.
    addresses: Vec<Vec<SocketAddr>>,
    listeners: Vec<Vec<RefCell<Option<Host>>>>,
    changed: Event,
}

impl Coordinator {
    /// Starts a coordinator that listens at these `addresses` of each controller and lists the `exchanges` under the
    /// addresses by which each controller reaches them.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub fn start(
        testbed: &Testbed,
        addresses: Vec<Vec<SocketAddr>>,
        exchanges: Vec<Vec<SocketAddr>>,
    ) -> io::Result<Rc<Coordinator>> {
        let listen = |address: &SocketAddr| Ok(RefCell::new(Some(Host::listen(*address)?)));
        let listeners = addresses.iter().map(|addresses| addresses.iter().map(listen).collect());
        let listeners = listeners.collect::<io::Result<Vec<Vec<_>>>>()?;
        let (mode, truncate_next, members, changes, changed) = Default::default();
        let testbed = testbed.clone();
        let coordinator = Rc::new(Coordinator {
            testbed,
            mode,
            truncate_next,
            members,
            changes,
            exchanges,
            addresses,
            listeners,
            changed,
        });
        for (controller, listeners) in coordinator.listeners.iter().enumerate() {
            for address_index in 0..listeners.len() {
                coordinator.testbed.spawn(coordinator.clone().accept(controller, address_index));
            }
        }
        Ok(coordinator)
    }

    /// Changes the state, and records whether the coordinator becomes reachable or unreachable by that.
    pub fn set_mode(&self, mode: Mode) {
        let reachable = |m: Mode| matches!(m, Mode::Up | Mode::Slow(_));
        if reachable(mode) != reachable(self.mode.get()) {
            for controller in 0..self.listeners.len() {
                let reachable = reachable(mode);
                self.testbed.recorder.record(EventKind::CoordinatorReachable { controller, reachable });
            }
        }
        self.mode.set(mode);
        for (listeners, addresses) in self.listeners.iter().zip(&self.addresses) {
            for (listener, address) in listeners.iter().zip(addresses) {
                let mut host = listener.borrow_mut();
                if mode == Mode::Refuses {
                    *host = None;
                } else if host.is_none() {
                    *host = Host::listen(*address).ok();
                }
            }
        }
        self.changed.notify(usize::MAX);
    }

    /// Truncates the next event and closes its stream.
    pub fn truncate_next_event(&self) {
        self.truncate_next.set(true);
    }

    /// Returns the index of the last change and the complete list for a controller as one event.
    pub fn snapshot(&self, controller: usize) -> (u64, Value) {
        let index = self.last_index();
        let members: Vec<Member> = self.members.borrow().values().cloned().collect();
        (index, self.event(controller, index, true, &members))
    }

    fn last_index(&self) -> u64 {
        self.changes.borrow().last().map_or(0, |c| c.index)
    }

    /// Adds, changes or removes a member and publishes the change.
    pub fn publish(&self, member: Member) {
        let index = self.last_index() + 1;
        let (id, phase, exchange) = (member.id.clone(), member.phase.to_owned(), member.exchange);
        if member.phase == "removed" {
            self.members.borrow_mut().remove(&id);
        } else {
            self.members.borrow_mut().insert(id.clone(), member.clone());
        }
        self.testbed.recorder.record(EventKind::Listed { index, member: id, exchange, phase });
        self.changes.borrow_mut().push(Change { index, member });
        self.changed.notify(usize::MAX);
    }

    fn event(&self, controller: usize, index: u64, complete: bool, members: &[Member]) -> Value {
        let member = |m: &Member| {
            let at = self.exchanges[controller][m.exchange].to_string();
            json!({"id": m.id, "host_port": at, "locality": "a", "flavor": "b", "cell": m.exchange + 1,
                "phase": m.phase, "size": 1, "up_since_ms": m.up_since_ms})
        };
        let members: Vec<Value> = members.iter().map(member).collect();
        json!({"index": index, "endpoints": {"revision": index, "complete": complete, "members": members}})
    }

    async fn accept(self: Rc<Self>, controller: usize, address_index: usize) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            let accepted = self.listeners[controller][address_index].borrow().as_ref().map(Host::poll_accept);
            let Some(Ok(Some(stream))) = accepted else { continue };
            let Ok(stream) = Async::new(stream) else { continue };
            let coordinator = self.clone();
            self.testbed.spawn(async move {
                let ended = async {
                    coordinator.wait_for_mode(|m| matches!(m, Mode::Refuses | Mode::Hangs)).await;
                    // A hanging coordinator keeps its connections open.
                    if coordinator.mode.get() == Mode::Hangs {
                        coordinator.wait_for_mode(|m| m != Mode::Hangs).await;
                    }
                    Ok(())
                };
                // Errors are ignored, since the controller requests a broken stream again.
                drop(future::or(ended, coordinator.serve(controller, &stream)).await);
            });
        }
    }

    async fn wait_for_mode(&self, condition: impl Fn(Mode) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(self.mode.get()) {
                return;
            }
            listener.await;
        }
    }

    /// Waits until the mode allows a response, then for the delay of [`Mode::Slow`].
    async fn delay_response(&self) {
        self.wait_for_mode(|m| matches!(m, Mode::Up | Mode::Slow(_))).await;
        if let Mode::Slow(ms) = self.mode.get() {
            Timer::after(Duration::from_millis(ms)).await;
        }
    }

    async fn serve(&self, controller: usize, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            if stream.read(&mut byte).await? == 0 {
                return Ok(());
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id:")).unwrap_or("0");
        let mut last: u64 = last.trim().parse().unwrap_or(0);
        self.delay_response().await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").await?;
        if last == 0 {
            let (index, snapshot) = self.snapshot(controller);
            last = self.write_event(controller, stream, index, &snapshot).await?;
        }
        loop {
            let listener = self.changed.listen();
            let next =
                self.changes.borrow().iter().find(|c| c.index > last).map(|c| (c.index, c.member.clone()));
            if let Some((index, member)) = next {
                self.delay_response().await;
                let event = self.event(controller, index, false, &[member]);
                last = self.write_event(controller, stream, index, &event).await?;
                continue;
            }
            let comment = async {
                Timer::after(COMMENT_INTERVAL).await;
                true
            };
            let change = async {
                listener.await;
                false
            };
            if future::or(comment, change).await {
                self.delay_response().await;
                stream.write_all(b": still here\n\n").await?;
            }
        }
    }

    async fn write_event(
        &self,
        controller: usize,
        mut stream: &Async<TcpStream>,
        index: u64,
        event: &Value,
    ) -> io::Result<u64> {
        let bytes = format!("id: {index}\ndata: {event}\n\n").into_bytes();
        if self.truncate_next.take() {
            stream.write_all(&bytes[..bytes.len() / 2]).await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(&bytes).await?;
        self.testbed.recorder.record(EventKind::ListTold { controller, index });
        Ok(index)
    }
}
