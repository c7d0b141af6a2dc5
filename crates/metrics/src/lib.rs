//! Metrics of a running site: call outcomes over the last 10 seconds, minute and hour ([`service`]), set-up times by
//! exchange ([`delays`]), and alarms with hysteresis ([`alarms`]).
//!
//! All memory is bounded. The crate reads no clock and does no I/O: callers pass the time in.
#![forbid(unsafe_code)]

pub mod alarms;
pub mod delays;
pub mod service;

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
