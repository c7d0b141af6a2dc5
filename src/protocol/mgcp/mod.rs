//! MGCP (RFC 3435): the call agent that controls the gateways, as a state machine without I/O.

pub mod agent;
pub mod codes;
pub mod message;
pub mod transactions;
