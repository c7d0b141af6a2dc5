//! MGCP towards gateways (RFC 3435), without input or output: this program is the call agent.

pub mod agent;
pub mod codes;
pub mod message;
pub mod transactions;
