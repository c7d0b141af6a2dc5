//! Seeded fault trials: real controller processes run with stand-in exchanges, a coordinator and clients under combined
//! faults, all events are recorded, and a checker that is independent of the program judges the record.

pub mod check;
pub mod controller;
pub mod record_file;
pub mod schedule;
pub mod table;
pub mod trial;
