//! Call routing: the decision module and the call ledger that drives it. Requests, attempts and outcomes go in,
//! actions come out; this layer uses no sockets, clocks or wire formats.

pub mod administrative_state;
pub mod control;
pub mod interface;
pub mod ledger;
pub mod shutdown;
pub mod timer_queue;
