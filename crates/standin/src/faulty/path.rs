//! The way that one controller has to one place, with a listener of its own for that place.

use super::connection::Connection;
use super::Testbed;
use crate::host::Host;
use async_io::{Async, Timer};
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often a listener looks for a new connection.
const POLL: Duration = Duration::from_millis(2);

/// How a network treats what passes it.
#[derive(Default)]
pub struct Network {
    /// Nothing passes.
    cut: Cell<bool>,
    /// Each message comes this much later.
    pub delay: Cell<Duration>,
    /// Messages come in pieces.
    pub pieces: Cell<bool>,
    changed: Event,
}

impl Network {
    /// Has nothing pass, or everything again.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
        self.changed.notify(usize::MAX);
    }

    /// Whether nothing passes.
    pub fn is_cut(&self) -> bool {
        self.cut.get()
    }

    /// Waits until something passes.
    pub async fn until_open(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.cut.get() {
                return;
            }
            listener.await;
        }
    }
}

/// The way to a place.
pub struct Path {
    address: SocketAddr,
    host: RefCell<Option<Host>>,
    /// How its network treats what passes.
    pub network: Rc<Network>,
    /// The process there does not take connections that came up.
    pub hangs: Cell<bool>,
    /// Reasons for which new connections do not come up.
    shut: Cell<u32>,
    connections: RefCell<Vec<Rc<Connection>>>,
    next: Cell<u64>,
}

impl Path {
    /// A way to a place that listens at this address.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn new(address: SocketAddr) -> io::Result<Rc<Path>> {
        let host = RefCell::new(Some(Host::listen(address)?));
        let (network, hangs, shut, connections, next) = Default::default();
        Ok(Rc::new(Path { address, host, network, hangs, shut, connections, next }))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connections that are up.
    pub fn connections(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow_mut().retain(|c| !c.ended());
        self.connections.borrow().clone()
    }

    /// New connections do not come up, for one reason more.
    pub fn shut(&self) {
        self.shut.set(self.shut.get() + 1);
        if let Some(host) = self.host.borrow_mut().as_mut().filter(|_| self.shut.get() == 1) {
            host.vanish().expect("loopback can be listened on");
        }
    }

    /// One reason less.
    pub fn unshut(&self) {
        self.shut.set(self.shut.get().saturating_sub(1));
        if let Some(host) = self.host.borrow_mut().as_mut().filter(|_| self.shut.get() == 0) {
            host.restore().expect("loopback can be listened on");
        }
    }

    /// Nobody listens, or somebody again.
    pub fn refuse(&self, refuse: bool) {
        let mut host = self.host.borrow_mut();
        if refuse {
            *host = None;
        } else if host.is_none() {
            let mut new = Host::listen(self.address).expect("the address was had before");
            if self.shut.get() > 0 {
                new.vanish().expect("loopback can be listened on");
            }
            *host = Some(new);
        }
    }

    /// Takes connections for as long as the lab runs.
    pub async fn accept(self: Rc<Self>, testbed: Testbed, take: impl Fn(Rc<Connection>)) {
        loop {
            Timer::after(POLL).await;
            if self.shut.get() > 0 || self.hangs.get() {
                continue;
            }
            let accepted = self.host.borrow().as_ref().map(Host::poll_accept);
            let Some(Ok(Some(stream))) = accepted else { continue };
            let Ok(stream) = Async::new(stream) else { continue };
            self.next.set(self.next.get() + 1);
            let number = testbed.below(u64::MAX) ^ self.next.get();
            let connection = Connection::new(number, stream, self.network.clone());
            self.connections.borrow_mut().push(connection.clone());
            take(connection);
        }
    }
}
