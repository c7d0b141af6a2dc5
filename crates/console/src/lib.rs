//! The full-screen console: a running controller on one terminal, by keyboard alone.
//!
//! [`app`] is the state and what keys do to it, [`command`] the command line, [`screen`] what is drawn; none of them
//! does input or output. [`link`] reads the control socket in a thread of its own and keeps only the newest of each
//! view, so that a terminal that stands still costs the controller nothing and this program no memory; [`terminal`]
//! puts them together and leaves the terminal as it found it.
#![forbid(unsafe_code)]

pub mod app;
pub mod command;
pub mod link;
pub mod screen;
pub mod terminal;

pub use terminal::{run, ConsoleError};
