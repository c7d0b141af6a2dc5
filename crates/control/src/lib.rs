//! The control socket: the protocol between operators' programs and a running controller.
//!
//! [`frames`] defines the messages, [`views`] the data they carry, [`sessions`] the state of the connections, and
//! [`send_queue`] the messages queued for one connection. These modules read no clock and do no I/O; [`client`] is the
//! blocking client for operators' programs. The effect of an operation is decided by the program that owns the
//! sessions.
#![forbid(unsafe_code)]

pub mod client;
pub mod frames;
pub mod send_queue;
pub mod sessions;
pub mod views;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;
