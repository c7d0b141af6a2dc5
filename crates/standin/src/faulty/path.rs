//! The network path from one controller to one exchange, with a listener of its own.

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

/// Interval between two polls of the listener.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults that the network injects into the traffic of a path.
#[derive(Default)]
pub struct Network {
    /// No bytes are delivered.
    partitioned: Cell<bool>,
    /// Delay added to each message.
    pub delay: Cell<Duration>,
    /// Messages are written in fragments.
    pub fragmented: Cell<bool>,
    changed: Event,
}

impl Network {
    /// Starts or ends a partition, during which no bytes are delivered.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.set(partitioned);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the network is partitioned.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned.get()
    }

    /// Waits until the network is not partitioned.
    pub async fn wait_until_healed(&self) {
        loop {
            let listener = self.changed.listen();
            if !self.partitioned.get() {
                return;
            }
            listener.await;
        }
    }
}

/// The network path from one controller to one exchange.
pub struct Path {
    address: SocketAddr,
    host: RefCell<Option<Host>>,
    /// Faults of the network on this path.
    pub network: Rc<Network>,
    /// The exchange's process does not accept connections that the kernel has established.
    pub accept_paused: Cell<bool>,
    /// Number of faults that block new connections at present.
    block_count: Cell<u32>,
    connections: RefCell<Vec<Rc<Connection>>>,
    accepted_count: Cell<u64>,
}

impl Path {
    /// Creates a path whose listener is bound to `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn new(address: SocketAddr) -> io::Result<Rc<Path>> {
        let host = RefCell::new(Some(Host::listen(address)?));
        let (network, accept_paused, block_count, connections, accepted_count) = Default::default();
        Ok(Rc::new(Path { address, host, network, accept_paused, block_count, connections, accepted_count }))
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open connections.
    pub fn connections(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow_mut().retain(|c| !c.ended());
        self.connections.borrow().clone()
    }

    /// Blocks new connections until `unblock` was called as often as this.
    pub fn block(&self) {
        self.block_count.set(self.block_count.get() + 1);
        if let Some(host) = self.host.borrow_mut().as_mut().filter(|_| self.block_count.get() == 1) {
            host.vanish().expect("the listener's backlog can be changed");
        }
    }

    /// Reverts one call of `block`.
    pub fn unblock(&self) {
        self.block_count.set(self.block_count.get().saturating_sub(1));
        if let Some(host) = self.host.borrow_mut().as_mut().filter(|_| self.block_count.get() == 0) {
            host.restore().expect("the listener's backlog can be changed");
        }
    }

    /// Closes the listener, so that connections are refused, or opens it again.
    pub fn set_refusing(&self, refusing: bool) {
        let mut host = self.host.borrow_mut();
        if refusing {
            *host = None;
        } else if host.is_none() {
            let mut new = Host::listen(self.address).expect("the address was bound before");
            if self.block_count.get() > 0 {
                new.vanish().expect("the listener's backlog can be changed");
            }
            *host = Some(new);
        }
    }

    /// Accepts connections for as long as the testbed runs.
    pub async fn accept(self: Rc<Self>, testbed: Testbed, on_connection: impl Fn(Rc<Connection>)) {
        loop {
            Timer::after(POLL_INTERVAL).await;
            if self.block_count.get() > 0 || self.accept_paused.get() {
                continue;
            }
            let accepted = self.host.borrow().as_ref().map(Host::poll_accept);
            let Some(Ok(Some(stream))) = accepted else { continue };
            let Ok(stream) = Async::new(stream) else { continue };
            self.accepted_count.set(self.accepted_count.get() + 1);
            let number = testbed.below(u64::MAX) ^ self.accepted_count.get();
            let connection = Connection::new(number, stream, self.network.clone());
            self.connections.borrow_mut().push(connection.clone());
            on_connection(connection);
        }
    }
}
