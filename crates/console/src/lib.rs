//! Full-screen console for a running controller, operated by keyboard.
//!
//! [`app`] holds the state and handles keys and messages, [`command`] parses the command line, and [`screen`] renders
//! the state; none of them does I/O. [`link`] reads the control socket in a thread of its own and keeps only the newest
//! view of each topic, so a stalled terminal neither holds up the controller nor uses more memory. [`terminal`] runs
//! the event loop and restores the terminal at the end.
#![forbid(unsafe_code)]

pub mod app;
pub mod command;
pub mod link;
pub mod screen;
pub mod terminal;

pub use terminal::{run, ConsoleError};
