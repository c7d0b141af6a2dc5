//! Wire formats and the states of connections, without input or output: bytes or messages go in, bytes or
//! messages come out.

pub mod client;
pub mod json_lines;
pub mod membership;
pub mod mgcp;
pub mod otlp;
pub mod server_events;
pub mod simulator;
pub mod text_settings;
pub mod upstream;

/// Names one connection of this program, for as long as the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);
