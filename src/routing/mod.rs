//! The core: the decision module and the call ledger round it. Requests, attempts and outcomes go in, actions
//! come out; there are no sockets, no clock and no wire formats here.

pub mod administrative_state;
pub mod control;
pub mod interface;
pub mod ledger;
pub mod shutdown;
pub mod timer_queue;
