//! Drains: takes an exchange, a trunk group or this controller out of service without harming calls, and returns it
//! to service.
//!
//! A drain is a state machine rather than a flag: it is asked for, sheds new calls, empties and is restored. It has a
//! reason, a requester and a time limit. [`registry::DrainRegistry`] holds all drains and every order that was given.
//! [`impact`] estimates the effect of a drain beforehand, [`policy`] denies drains that must not happen, [`windows`]
//! starts and ends drains by the wall clock, [`guard`] ends a drain that degrades service, [`plan`] drains several
//! targets one at a time, and [`saved`] is the file format in which the state persists across restarts.
//!
//! Nothing here reads a clock or does input or output, except [`folder`], which stores the state in files. Individual
//! calls are not handled here: the routing module receives the set of targets that are out of service.
#![forbid(unsafe_code)]

pub mod drain;
pub mod folder;
pub mod guard;
pub mod impact;
pub mod plan;
pub mod policy;
pub mod registry;
pub mod saved;
pub mod target;
pub mod windows;

/// A point in time or a duration, in microseconds. Points in time are of one of two clocks: the program's monotonic
/// clock, or the wall clock, which counts from 1970 UTC and may jump.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
