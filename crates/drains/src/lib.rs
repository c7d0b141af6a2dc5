//! Drains: taking an exchange, a trunk group or this controller out of service so that no call is harmed, and
//! bringing it back.
//!
//! A drain is state, not a flag: it is asked for, sheds new calls, empties, and is restored; it has a reason,
//! somebody who asked, and a limit in time. [`registry::DrainRegistry`] holds all of them and every order that was given.
//! [`impact`] tells beforehand what a drain would cost, [`policy`] turns down what must not be drained,
//! [`windows`] starts and ends drains by the clock, [`guard`] ends one under which service falls, [`plan`] drains one
//! after the other, and [`saved`] is the form that survives the program.
//!
//! Nothing here has a clock or does input or output, but for [`folder`], which keeps the saved form in files.
//! What becomes of a single call is not decided here: the decision module is told what is out of service.
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

/// A moment or a span, in microseconds. Moments are of one of two clocks: the program's, which goes on evenly,
/// or the wall's, which counts from 1970 UTC and may jump.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;
