//! The program: command line, configuration, event loop, operator interfaces, logging, telemetry and shutdown.

pub mod alarms;
pub mod appliance;
pub mod appliance_file;
pub mod cli;
pub mod clock;
pub mod config;
pub mod console;
pub mod counters;
pub mod ctl;
pub mod demo;
pub mod event_loop;
pub mod gossip;
pub mod gossip_file;
pub mod log;
pub mod run;
pub mod telemetry;
pub mod toml_check;
pub mod views;
