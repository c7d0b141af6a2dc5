//! A coordinator that can refuse, hang, fall silent, be slow and end in the middle of an event.

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

/// How often a stream shows that it lives.
const COMMENT: Duration = Duration::from_secs(1);
/// How often a listener looks for a new connection.
const POLL: Duration = Duration::from_millis(2);

/// What the coordinator does at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    #[default]
    Up,
    /// Nobody listens, and its streams have ended.
    Refuses,
    /// It accepts and never answers; its streams have ended.
    Hangs,
    /// Its streams stay open and bring nothing; new ones are never answered.
    Silent,
    /// Its answers come this many milliseconds late.
    Slow(u64),
}

/// A member of the list.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// The exchange that it serves, from 0.
    pub exchange: usize,
    /// `up`, `draining` or `removed`.
    pub phase: &'static str,
    /// The Unix time of a late start (ms), or 0.
    pub up_since_ms: u64,
}

/// A change of one member.
struct Change {
    index: u64,
    member: Member,
}

/// The coordinator.
pub struct Coordinator {
    testbed: Testbed,
    mode: Cell<Mode>,
    /// The next event ends in the middle.
    cuts: Cell<bool>,
    members: RefCell<BTreeMap<String, Member>>,
    changes: RefCell<Vec<Change>>,
    /// Where each controller finds each exchange.
    exchanges: Vec<Vec<SocketAddr>>,
    /// Where it listens for each controller: several places, between which a reload moves.
    addresses: Vec<Vec<SocketAddr>>,
    listeners: Vec<Vec<RefCell<Option<Host>>>>,
    news: Event,
}

impl Coordinator {
    /// A coordinator that listens for each controller at each of these addresses, and knows where each controller
    /// finds each exchange.
    ///
    /// # Errors
    /// If an address can't be had.
    pub fn start(
        testbed: &Testbed,
        addresses: Vec<Vec<SocketAddr>>,
        exchanges: Vec<Vec<SocketAddr>>,
    ) -> io::Result<Rc<Coordinator>> {
        let listen = |address: &SocketAddr| Ok(RefCell::new(Some(Host::listen(*address)?)));
        let listeners = addresses.iter().map(|places| places.iter().map(listen).collect());
        let listeners = listeners.collect::<io::Result<Vec<Vec<_>>>>()?;
        let (mode, cuts, members, changes, news) = Default::default();
        let testbed = testbed.clone();
        let here = Rc::new(Coordinator {
            testbed,
            mode,
            cuts,
            members,
            changes,
            exchanges,
            addresses,
            listeners,
            news,
        });
        for (controller, places) in here.listeners.iter().enumerate() {
            for place in 0..places.len() {
                here.testbed.spawn(here.clone().accept(controller, place));
            }
        }
        Ok(here)
    }

    /// What it does from now on.
    pub fn set_mode(&self, mode: Mode) {
        let reachable = |m: Mode| matches!(m, Mode::Up | Mode::Slow(_));
        if reachable(mode) != reachable(self.mode.get()) {
            for controller in 0..self.listeners.len() {
                let reachable = reachable(mode);
                self.testbed.recorder.record(EventKind::CoordinatorReachable { controller, reachable });
            }
        }
        self.mode.set(mode);
        for (places, addresses) in self.listeners.iter().zip(&self.addresses) {
            for (place, address) in places.iter().zip(addresses) {
                let mut host = place.borrow_mut();
                if mode == Mode::Refuses {
                    *host = None;
                } else if host.is_none() {
                    *host = Host::listen(*address).ok();
                }
            }
        }
        self.news.notify(usize::MAX);
    }

    /// The next event that is sent ends in the middle, and its stream with it.
    pub fn cut_next_event(&self) {
        self.cuts.set(true);
    }

    /// The number of the last change, and the whole list for a controller as one event.
    pub fn known(&self, controller: usize) -> (u64, Value) {
        let index = self.last_index();
        let members: Vec<Member> = self.members.borrow().values().cloned().collect();
        (index, self.event(controller, index, true, &members))
    }

    fn last_index(&self) -> u64 {
        self.changes.borrow().last().map_or(0, |c| c.index)
    }

    /// Something has changed: this member is listed like this now.
    pub fn list(&self, member: Member) {
        let index = self.last_index() + 1;
        let (id, phase, exchange) = (member.id.clone(), member.phase.to_owned(), member.exchange);
        if member.phase == "removed" {
            self.members.borrow_mut().remove(&id);
        } else {
            self.members.borrow_mut().insert(id.clone(), member.clone());
        }
        self.testbed.recorder.record(EventKind::Listed { index, member: id, exchange, phase });
        self.changes.borrow_mut().push(Change { index, member });
        self.news.notify(usize::MAX);
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

    async fn accept(self: Rc<Self>, controller: usize, place: usize) {
        loop {
            Timer::after(POLL).await;
            let accepted = self.listeners[controller][place].borrow().as_ref().map(Host::poll_accept);
            let Some(Ok(Some(stream))) = accepted else { continue };
            let Ok(stream) = Async::new(stream) else { continue };
            let here = self.clone();
            self.testbed.spawn(async move {
                let ended = async {
                    here.until(|m| matches!(m, Mode::Refuses | Mode::Hangs)).await;
                    // One that hangs still holds its connections.
                    if here.mode.get() == Mode::Hangs {
                        here.until(|m| m != Mode::Hangs).await;
                    }
                    Ok(())
                };
                // A stream that breaks is asked for again.
                drop(future::or(ended, here.serve(controller, &stream)).await);
            });
        }
    }

    async fn until(&self, holds: impl Fn(Mode) -> bool) {
        loop {
            let listener = self.news.listen();
            if holds(self.mode.get()) {
                return;
            }
            listener.await;
        }
    }

    /// Waits as long as its mode asks for.
    async fn pause(&self) {
        self.until(|m| matches!(m, Mode::Up | Mode::Slow(_))).await;
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
        self.pause().await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").await?;
        if last == 0 {
            let (index, whole) = self.known(controller);
            last = self.tell(controller, stream, index, &whole).await?;
        }
        loop {
            let listener = self.news.listen();
            let next =
                self.changes.borrow().iter().find(|c| c.index > last).map(|c| (c.index, c.member.clone()));
            if let Some((index, member)) = next {
                self.pause().await;
                let event = self.event(controller, index, false, &[member]);
                last = self.tell(controller, stream, index, &event).await?;
                continue;
            }
            let comment = async {
                Timer::after(COMMENT).await;
                true
            };
            let changed = async {
                listener.await;
                false
            };
            if future::or(comment, changed).await {
                self.pause().await;
                stream.write_all(b": still here\n\n").await?;
            }
        }
    }

    async fn tell(
        &self,
        controller: usize,
        mut stream: &Async<TcpStream>,
        index: u64,
        event: &Value,
    ) -> io::Result<u64> {
        let bytes = format!("id: {index}\ndata: {event}\n\n").into_bytes();
        if self.cuts.take() {
            stream.write_all(&bytes[..bytes.len() / 2]).await?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.write_all(&bytes).await?;
        self.testbed.recorder.record(EventKind::ListTold { controller, index });
        Ok(index)
    }
}
