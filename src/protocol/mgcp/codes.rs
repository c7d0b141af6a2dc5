//! The one table between MGCP's return codes and the core's outcomes, read in both directions.

use crate::routing::interface::{Cause, Ending};
use crate::routing::ledger::Answer;

struct Row {
    code: u16,
    comment: &'static str,
    ending: Ending,
    cause: Cause,
}

const fn row(code: u16, comment: &'static str, ending: Ending, cause: Cause) -> Row {
    Row { code, comment, ending, cause }
}

/// Only what proves that nothing was set up is `Full` or `NotSent`: such calls may be tried elsewhere at once.
/// The first row of an outcome is the code that stands for it the other way round.
const TABLE: [Row; 28] = [
    row(403, "Insufficient resources now", Ending::Full, Cause::NoCircuit),
    row(409, "Processing overload", Ending::Full, Cause::ProcessorFull(None)),
    row(401, "Off hook", Ending::Fault, Cause::LinesBusy),
    row(406, "Transaction timeout", Ending::TimedOut, Cause::None),
    row(407, "Aborted", Ending::Reset, Cause::None),
    row(500, "Unknown endpoint", Ending::NotSent, Cause::None),
    row(400, "Transient error", Ending::Fault, Cause::None),
    row(250, "Connection deleted", Ending::Completed, Cause::None),
    row(402, "On hook", Ending::Fault, Cause::None),
    row(404, "Insufficient bandwidth", Ending::Full, Cause::NoCircuit),
    row(405, "Endpoint restarting", Ending::Full, Cause::ProcessorFull(None)),
    row(410, "No endpoint available", Ending::Full, Cause::NoCircuit),
    row(501, "Endpoint not ready", Ending::Full, Cause::NoCircuit),
    row(502, "Insufficient resources", Ending::Full, Cause::NoCircuit),
    row(503, "Wildcard too complicated", Ending::Fault, Cause::None),
    row(504, "Unknown command", Ending::Fault, Cause::None),
    row(505, "Unsupported remote descriptor", Ending::Fault, Cause::None),
    row(510, "Protocol error", Ending::Fault, Cause::None),
    row(512, "Cannot detect an event", Ending::Fault, Cause::None),
    row(513, "Cannot generate a signal", Ending::Fault, Cause::None),
    row(515, "Incorrect connection-id", Ending::Fault, Cause::None),
    row(516, "Unknown call-id", Ending::Fault, Cause::None),
    row(520, "Endpoint restarting", Ending::Full, Cause::ProcessorFull(None)),
    row(521, "Endpoint redirected", Ending::Fault, Cause::None),
    row(527, "Missing remote descriptor", Ending::Fault, Cause::None),
    row(528, "Incompatible version", Ending::Fault, Cause::None),
    row(534, "Codec negotiation failed", Ending::Fault, Cause::None),
    row(540, "Connection limit exceeded", Ending::Full, Cause::NoCircuit),
];

/// What the final return code of a set-up means to the core. A code that is not in the table counts as the
/// general one of its kind.
pub fn outcome(code: u16) -> (Ending, Cause) {
    TABLE.iter().find(|r| r.code == code).map_or((Ending::Fault, Cause::None), |r| (r.ending, r.cause))
}

/// The return code that stands for an outcome.
pub fn code(ending: Ending, cause: Cause) -> u16 {
    let cause = match cause {
        Cause::ProcessorFull(_) | Cause::FarProcessorFull => Cause::ProcessorFull(None),
        Cause::TurnedBack => Cause::NoCircuit,
        c => c,
    };
    let fits = |r: &&Row| r.ending == ending && r.cause == cause;
    let ending_only = || TABLE.iter().find(|r| r.ending == ending);
    TABLE.iter().find(fits).or_else(ending_only).map_or(400, |r| r.code)
}

/// The return code that stands for a final answer, and the tone that tells it to the caller: congestion where
/// trying again is harmless, reorder where it failed.
pub fn answer(answer: &Answer) -> (u16, Option<&'static str>) {
    match answer {
        Answer::Established(_) => (200, None),
        Answer::Refused { .. } => (code(Ending::Full, Cause::NoCircuit), Some("G/cg")),
        Answer::Failed => (code(Ending::Fault, Cause::None), Some("L/ro")),
    }
}

/// The words beside a return code.
pub fn comment(code: u16) -> &'static str {
    match code {
        0 => "Response acknowledged",
        100 => "Pending",
        200 => "OK",
        _ => TABLE.iter().find(|r| r.code == code).map_or("See code", |r| r.comment),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_outcome_that_the_table_has_comes_back_from_its_code() {
        for r in &TABLE {
            assert_eq!(outcome(code(r.ending, r.cause)), (r.ending, r.cause), "{}", r.code);
        }
        assert_eq!(code(Ending::Full, Cause::FarProcessorFull), 409);
        assert_eq!(outcome(499), (Ending::Fault, Cause::None));
        assert_eq!(code(Ending::Unreachable, Cause::None), 400);
    }

    #[test]
    fn no_code_stands_twice() {
        let mut codes: Vec<u16> = TABLE.iter().map(|r| r.code).collect();
        codes.sort_unstable();
        assert!(codes.windows(2).all(|w| w[0] != w[1]));
    }
}
