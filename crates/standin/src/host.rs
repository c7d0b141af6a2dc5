//! A listening host that can vanish: its open connections stay open and silent, and new ones never come up.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that may wait to be accepted while the host is there.
const BACKLOG: i32 = 128;
/// Connections that fill the system's queue of one while the host is gone.
const FILLERS: usize = 4;
/// How often a waiting accept looks again.
const POLL: Duration = Duration::from_millis(1);

/// A listener whose host can vanish and come back.
#[derive(Debug)]
pub struct Host {
    listener: TcpListener,
    address: SocketAddr,
    /// While it is gone: connections of its own that fill the system's queue, so that no other comes up.
    fillers: Vec<Socket>,
}

impl Host {
    /// Listens at this address of loopback.
    ///
    /// # Errors
    /// If the address can't be had.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection that has come up, if there is one.
    ///
    /// # Errors
    /// If accepting fails for another reason than that none waits.
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

    /// Waits for a connection to come up.
    ///
    /// # Errors
    /// If none does within `limit`, or accepting fails.
    pub fn accept(&self, limit: Duration) -> io::Result<TcpStream> {
        let end = Instant::now() + limit;
        loop {
            if let Some(stream) = self.poll_accept()? {
                return Ok(stream);
            }
            if Instant::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL);
        }
    }

    /// From here on no new connection comes up. What came up and was not accepted is reset. Open connections are
    /// the caller's to keep silent.
    ///
    /// # Errors
    /// If the system's queue can't be filled.
    pub fn vanish(&mut self) -> io::Result<()> {
        while self.poll_accept()?.is_some() {}
        SockRef::from(&self.listener).listen(0)?;
        for _ in 0..FILLERS {
            let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            // Those that find the queue full never come up; that is what they are for.
            let _ = socket.connect(&self.address.into());
            self.fillers.push(socket);
        }
        Ok(())
    }

    /// New connections come up again.
    ///
    /// # Errors
    /// If the system refuses to listen.
    pub fn come_back(&mut self) -> io::Result<()> {
        self.fillers.clear();
        while self.poll_accept()?.is_some() {}
        SockRef::from(&self.listener).listen(BACKLOG)
    }
}
