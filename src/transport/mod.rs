//! Sockets, signals, and the queues between them and the event loop.
//!
//! Socket tasks send [`Inbound`] events to the event loop through one bounded queue and wait while it is full. The
//! event loop writes to the [`outbox::Outbox`] of a connection and never waits.

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
use async_lock::SemaphoreGuardArc;
use outbox::Outbox;
use std::net::SocketAddr;
use walnuthatch_control::sessions::ClientId;

/// The side of the program that a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// The connection was accepted from a caller.
    Callers,
    /// The connection was opened to an exchange.
    Exchanges,
}

/// An event of a TCP connection.
#[derive(Debug)]
pub enum ConnEvent {
    /// A caller's connection was accepted; its messages are sent through this queue.
    Accepted(Outbox),
    /// A connection to an exchange is established.
    Connected,
    /// A message was received. The permit is returned once it has been handled.
    Message(Message, SemaphoreGuardArc),
    /// A line could not be parsed. Nothing more is read, since the data that follows may be corrupt too.
    InvalidLine(LineError),
    /// Reading has stopped as requested; events for all received data have been sent before this one.
    ReadingStopped,
    /// A caller has closed its connection. Messages that it had sent before may still follow.
    PeerClosed,
    /// A line is incomplete (`true`), or the incomplete line has been completed (`false`).
    PartialLine(bool),
    /// The connection has ended.
    Closed(CloseReason),
}

/// An event of the control socket or of the state folder.
#[derive(Debug)]
pub enum ControlEvent {
    /// A client connected; messages for it go into this queue, one batch at a time.
    Connected(ClientId, async_channel::Sender<Vec<u8>>),
    /// Data was received from a client.
    Received(ClientId, Vec<u8>),
    /// The queued batch of messages was written to the client.
    Written(ClientId),
    /// The connection of a client has ended.
    Disconnected(ClientId),
    /// The state with this number was saved, or saving failed for the reason given.
    StateSaved(u64, Result<(), String>),
}

/// An event for the event loop.
#[derive(Debug)]
pub enum Inbound {
    /// An event of a TCP connection.
    Conn(Side, ConnId, ConnEvent),
    /// An event received from the coordinator.
    CoordinatorEvent(ServerEvent),
    /// The coordinator's stream was established, or was lost for the reason given.
    CoordinatorStream(Result<(), String>),
    /// A datagram received from a peer.
    PeerDatagram {
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        body: Vec<u8>,
    },
    /// A datagram received from a gateway.
    GatewayDatagram {
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        body: Vec<u8>,
    },
    /// A gossip datagram received from another instance.
    GossipDatagram {
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        body: Vec<u8>,
    },
    /// An event of the control socket or of the state folder.
    Control(ControlEvent),
    /// A line entered on the console.
    ConsoleLine(String),
    /// Write the counters to the log.
    LogCounters,
    /// Reload the configuration.
    Reload,
    /// Shut the program down.
    Stop,
    /// The listener for callers is closed; [`ConnEvent::Accepted`] has been sent for every accepted connection.
    ListenerClosed,
}
