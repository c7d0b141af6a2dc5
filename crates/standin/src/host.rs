//! A TCP listener whose host can become unreachable: connection attempts then time out instead of being refused.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Accept backlog while the host is reachable.
const BACKLOG: i32 = 128;
/// Connections that fill the accept queue, whose length is 1, while the host is unreachable.
const FILLERS: usize = 4;
/// Interval between two polls of a blocking accept.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A listener whose host can become unreachable and be restored.
#[derive(Debug)]
pub struct Host {
    listener: TcpListener,
    address: SocketAddr,
    /// Connections to the listener itself that fill the accept queue while the host is unreachable, so that the
    /// kernel drops other connection attempts.
    fillers: Vec<Socket>,
}

impl Host {
    /// Listens at a loopback address.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(address: SocketAddr) -> io::Result<Host> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let listener: TcpListener = socket.into();
        let address = listener.local_addr()?;
        Ok(Host { listener, address, fillers: Vec::new() })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts a connection if one is pending.
    ///
    /// # Errors
    /// If accepting fails.
    pub fn poll_accept(&self) -> io::Result<Option<TcpStream>> {
        match self.listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false)?;
                stream.set_nodelay(true)?;
                Ok(Some(stream))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Waits for a connection and accepts it.
    ///
    /// # Errors
    /// If none is pending within `timeout`, or accepting fails.
    pub fn accept(&self, timeout: Duration) -> io::Result<TcpStream> {
        let end = Instant::now() + timeout;
        loop {
            if let Some(stream) = self.poll_accept()? {
                return Ok(stream);
            }
            if Instant::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Makes the host unreachable for new connections and resets connections that are not accepted yet. Accepted
    /// connections stay open; the caller must stop to read and write them.
    ///
    /// # Errors
    /// If the accept queue can't be filled.
    pub fn vanish(&mut self) -> io::Result<()> {
        while self.poll_accept()?.is_some() {}
        SockRef::from(&self.listener).listen(0)?;
        for _ in 0..FILLERS {
            let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            // Connection attempts that find the queue full never complete, as intended.
            let _ = socket.connect(&self.address.into());
            self.fillers.push(socket);
        }
        Ok(())
    }

    /// Makes the host reachable again.
    ///
    /// # Errors
    /// If the backlog can't be set.
    pub fn restore(&mut self) -> io::Result<()> {
        self.fillers.clear();
        while self.poll_accept()?.is_some() {}
        SockRef::from(&self.listener).listen(BACKLOG)
    }
}
