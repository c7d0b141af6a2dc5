//! What an operator wants to know of a running site in figures: how calls fared over the last seconds, minute and
//! hour ([`service`]), how long each exchange takes to set calls up ([`delays`]), and what ought to be looked at
//! ([`alarms`]).
//!
//! All memory is bounded and all of it is taken at the start. There is no clock and no input or output here.
#![forbid(unsafe_code)]

pub mod alarms;
pub mod delays;
pub mod service;

/// A moment or a span, in microseconds.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
