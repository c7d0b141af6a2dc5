//! Sockets, signals and the queues between them and the task that owns routing.
//!
//! Socket tasks reach that task only through one bounded queue of [`Inbound`] news, and wait when it is full.
//! It reaches them through an [`outbox::Outbox`] for each connection, and never waits.

pub mod control;
pub mod coordinator;
pub mod datagrams;
pub mod http;
pub mod outbox;
pub mod saver;
pub mod signals;
pub mod streams;

use crate::protocol::json_lines::{LineError, Message};
use crate::protocol::server_events::ServerEvent;
use crate::protocol::upstream::CloseReason;
use crate::protocol::ConnId;
use outbox::Outbox;
use std::net::SocketAddr;
use walnuthatch_control::sessions::ClientId;

/// Which side of the program a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// Callers connected to it.
    Callers,
    /// It was opened toward an exchange.
    Exchanges,
}

/// What a connection has to tell.
#[derive(Debug)]
pub enum ConnNews {
    /// A caller connected.
    Accepted(Outbox),
    /// The connection that was asked for is up.
    Connected,
    /// A message came.
    Message(Message),
    /// A line came that is no message, and nothing more is read: what follows it can't be trusted.
    Bad(LineError),
    /// Nothing more is read, as was asked for; all that was read has been told.
    ReadingStopped,
    /// A message has begun and not ended (`true`), or what had begun is whole.
    Half(bool),
    /// It is no more.
    Closed(CloseReason),
}

/// What operators' programs and the state folder have to tell.
#[derive(Debug)]
pub enum ControlNews {
    /// A program connected; what it is to read goes into this queue, one piece at a time.
    Opened(ClientId, async_channel::Sender<Vec<u8>>),
    /// It sent this.
    Bytes(ClientId, Vec<u8>),
    /// It was written what was in its queue.
    Wrote(ClientId),
    /// Its connection is no more.
    Closed(ClientId),
    /// The state of this number was saved, or not for this reason.
    Saved(u64, Result<(), String>),
}

/// What reaches the task that owns routing.
#[derive(Debug)]
pub enum Inbound {
    /// News of a connection.
    Conn(Side, ConnId, ConnNews),
    /// An event of the coordinator.
    List(ServerEvent),
    /// The coordinator's stream came up, or was lost for this reason.
    Stream(Result<(), String>),
    /// A peer's datagram.
    Peer {
        /// Its address.
        from: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// A gateway's datagram.
    Gateway {
        /// Its address.
        from: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// A datagram of an instance that gossips.
    Gossip {
        /// Its address.
        from: SocketAddr,
        /// Its content.
        body: Vec<u8>,
    },
    /// News of the control socket or the state folder.
    Control(ControlNews),
    /// A line from the console.
    Command(String),
    /// The counters are asked for.
    Report,
    /// The configuration is to be read anew.
    Reload,
    /// The program is asked to stop.
    Stop,
    /// No caller's connection comes up any more; all that did have been told.
    NotListening,
}
