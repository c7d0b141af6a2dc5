//! The identity of one run of the program.

/// A number that no other recent run of the program has. The identifiers that other systems remember beyond the run
/// start from it: MGCP transactions, requests and calls, names of calls at exchanges, and trace ids. A gateway answers
/// a transaction identifier that it knows from the previous run with its old response.
///
/// It never comes from the configuration, whose `seed` may be the same for each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId(pub u64);
