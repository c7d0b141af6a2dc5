//! Seeded trials: a handful of real processes, exchanges, a coordinator and clients under combined faults, a record of
//! what happened, and a checker that knows the rules and nothing of the program.

pub mod check;
pub mod controller;
pub mod file;
pub mod schedule;
pub mod table;
pub mod trial;
