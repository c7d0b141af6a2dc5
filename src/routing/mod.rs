//! The routing core: the decision module and the call ledger that runs it. Its inputs are calls, attempt outcomes,
//! load reports and timers; its outputs are actions. It uses no sockets, clock or wire formats.

pub mod administrative_state;
pub mod control;
pub mod interface;
pub mod ledger;
pub mod shutdown;
pub mod timer_queue;
