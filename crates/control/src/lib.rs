//! The control socket: what operators' programs say to a running controller, and what it says back.
//!
//! [`frames`] has the messages, [`views`] what is shown, [`sessions`] the states of the connections, and [`mailbox`]
//! what waits for one of them. They have no clock and do no input or output; [`client`] is the other end, for
//! programs that operators start. What a command does is not decided here.
#![forbid(unsafe_code)]

pub mod client;
pub mod frames;
pub mod mailbox;
pub mod sessions;
pub mod views;

/// A moment or a span, in microseconds.
pub type Micros = i64;
