//! A session controller for the trunk groups between small exchanges.
//!
//! The layers, each of which uses only those named before it:
//! [`routing`] decides and keeps the books, [`protocol`] has the wire formats and the states of connections
//! without input or output, [`transport`] has the sockets, and [`program`] puts them together.
#![forbid(unsafe_code)]

pub mod fault_injection;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;

/// The README's example, run as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
pub struct Readme;
