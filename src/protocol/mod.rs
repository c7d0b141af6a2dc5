//! Wire formats and the state machines of connections. Nothing here performs I/O: bytes and messages are passed in,
//! bytes, messages and requested actions are returned.

pub mod client;
pub mod fields;
pub mod json_lines;
pub mod membership;
pub mod mgcp;
pub mod otlp;
pub mod run_id;
pub mod server_events;
pub mod simulator;
pub mod stream_requests;
pub mod text_settings;
pub mod upstream;

/// Identifies a connection, uniquely within its side and this run of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);
