//! The mapping between MGCP return codes and the outcomes used by the routing core, in both directions.

use crate::routing::interface::{Cause, Ending};
use crate::routing::ledger::Answer;

struct CodeMapping {
    code: u16,
    commentary: &'static str,
    ending: Ending,
    cause: Cause,
}

const fn row(code: u16, commentary: &'static str, ending: Ending, cause: Cause) -> CodeMapping {
    CodeMapping { code, commentary, ending, cause }
}

/// Only codes that prove that no connection was created map to `Full` or `NotSent`, since such calls may be tried
/// elsewhere at once. The first row with an outcome gives the code for that outcome.
const TABLE: [CodeMapping; 28] = [
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

/// The outcome of a set-up that got this final return code. Codes that are not in the table map to a fault without
/// a cause.
pub fn outcome(code: u16) -> (Ending, Cause) {
    TABLE.iter().find(|r| r.code == code).map_or((Ending::Fault, Cause::None), |r| (r.ending, r.cause))
}

/// The return code for an outcome.
pub fn return_code(ending: Ending, cause: Cause) -> u16 {
    let cause = match cause {
        Cause::ProcessorFull(_) | Cause::FarProcessorFull => Cause::ProcessorFull(None),
        Cause::TurnedBack => Cause::NoCircuit,
        c => c,
    };
    let matches = |r: &&CodeMapping| r.ending == ending && r.cause == cause;
    let ending_only = || TABLE.iter().find(|r| r.ending == ending);
    TABLE.iter().find(matches).or_else(ending_only).map_or(400, |r| r.code)
}

/// The return code for a final answer, and the tone that the caller hears: congestion if the call may be retried,
/// reorder if it failed.
pub fn answer_code_and_tone(answer: &Answer) -> (u16, Option<&'static str>) {
    match answer {
        Answer::Established(_) => (200, None),
        Answer::Refused { .. } => (return_code(Ending::Full, Cause::NoCircuit), Some("G/cg")),
        Answer::Failed => (return_code(Ending::Fault, Cause::None), Some("L/ro")),
    }
}

/// The commentary that follows a return code in a response line.
pub fn commentary(code: u16) -> &'static str {
    match code {
        0 => "Response acknowledged",
        100 => "Pending",
        200 => "OK",
        _ => TABLE.iter().find(|r| r.code == code).map_or("See code", |r| r.commentary),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_outcome_in_the_table_is_recovered_from_its_return_code() {
        for r in &TABLE {
            assert_eq!(outcome(return_code(r.ending, r.cause)), (r.ending, r.cause), "{}", r.code);
        }
        assert_eq!(return_code(Ending::Full, Cause::FarProcessorFull), 409);
        assert_eq!(outcome(499), (Ending::Fault, Cause::None));
        assert_eq!(return_code(Ending::Unreachable, Cause::None), 400);
    }

    #[test]
    fn each_return_code_appears_once() {
        let mut codes: Vec<u16> = TABLE.iter().map(|r| r.code).collect();
        codes.sort_unstable();
        assert!(codes.windows(2).all(|w| w[0] != w[1]));
    }
}
