//! Stand-in exchanges and callers on loopback for the demonstration, tests and measurements. They implement the
//! protocol from its specification and share no code with the controller.
#![forbid(unsafe_code)]

mod callers;
mod exchange;
pub mod faulty;
mod host;

pub use callers::{Callers, Load, LoadReport};
pub use exchange::{Exchange, ExchangeConfig};
pub use host::Host;
