//! Stand-in exchanges and callers on loopback, from the protocol's page only: for the demonstration, tests and
//! measurements. They are as small as these need; no rule of the controller is in here.
#![forbid(unsafe_code)]

mod callers;
mod exchange;
pub mod faulty;
mod host;

pub use callers::{Callers, Load, LoadReport};
pub use exchange::{Exchange, ExchangeConfig};
pub use host::Host;
