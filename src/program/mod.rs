//! The program: configuration, the task that owns routing, counters and shutdown.

pub mod clock;
pub mod config;
pub mod console;
pub mod counters;
pub mod run;
pub mod switchboard;
pub mod telemetry;
