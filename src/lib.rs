//! A session controller for the trunk groups between small exchanges.
//!
//! The crate is layered, and each layer depends only on those listed before it:
//! [`routing`] makes the routing decisions and tracks the calls, [`protocol`] implements the wire formats and the
//! connection state machines without I/O, [`transport`] owns the sockets, and [`program`] ties them together.
//! [`fault_injection`] is used by all of them and active only in fault trials.
#![forbid(unsafe_code)]

pub mod fault_injection;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;

/// Compiles and runs the README's example as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
