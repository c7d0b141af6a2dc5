//! The file format in which drains persist across restarts: a header line followed by TOML.
//!
//! ```text
//! walnuthatch-drains 1 generation=17 length=512 blake3=9f…
//! ```
//!
//! The header gives the version of the format, the generation of the save, and the length and checksum of the body,
//! so that truncated and corrupted files are detected. The body is TOML, like all files of the program.
//!
//! The names of the fields are part of the file format.

use crate::drain::{AtLimit, OrderNumber, State};
use crate::plan::Stage;
use crate::target::Target;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format version that is written, and the newest that can be read.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum size of a file that is read (bytes). The limits on the stored state keep files far smaller.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
const MAGIC: &str = "walnuthatch-drains";

/// The state that persists across restarts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// Time of the save (wall clock).
    pub wall: Micros,
    /// The number of the next order.
    pub next: OrderNumber,
    /// Start of the last occurrence of each window that was started (wall clock).
    #[serde(default)]
    pub windows: BTreeMap<String, Micros>,
    /// Drains that have not finished.
    #[serde(default)]
    pub drains: Vec<SavedDrain>,
    /// The maintenance round.
    #[serde(default)]
    pub plan: Option<SavedPlan>,
    /// Answered requests, oldest first.
    #[serde(default)]
    pub requests: Vec<AnsweredRequest>,
    /// The audit log, oldest first.
    #[serde(default)]
    pub audit: Vec<AuditEntry>,
}

/// A drain that has not finished.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedDrain {
    /// The order that started the drain.
    pub order: OrderNumber,
    /// The target of the drain.
    pub target: Target,
    /// The state at the time of the save. A drain in state asked is in force once it is loaded.
    pub state: State,
    /// The reason given by the operator.
    pub reason: String,
    /// The operator or maintenance window that requested the drain.
    pub who: String,
    /// When the drain was requested (wall clock).
    pub asked_wall: Micros,
    /// Time until the limit at the time of the save (µs).
    pub limit_left: Option<Micros>,
    /// What to do when the limit passes.
    pub at_limit: AtLimit,
    /// Whether the limit has passed and been acted on.
    pub limit_done: bool,
    /// Whether the policy was overridden.
    pub forced: bool,
    /// The maintenance window that started the drain.
    pub window: Option<String>,
    /// The start of that occurrence (wall clock).
    pub window_start: Option<Micros>,
}

/// A maintenance round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedPlan {
    /// The order that started the round.
    pub order: OrderNumber,
    /// The targets, in the order in which they are drained.
    pub targets: Vec<Target>,
    /// Index of the current target.
    pub at: usize,
    /// The operator who requested the round.
    pub who: String,
    /// The reason given by the operator.
    pub reason: String,
    /// Delay after which an empty target returns to service (µs).
    pub pause: Option<Micros>,
    /// Share of calls served within the objective before the round.
    pub before: f64,
    /// The stage at the time of the save.
    pub stage: Stage,
}

/// A request that was answered, kept so that a repetition gets the same answer and is not executed again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnsweredRequest {
    /// Id chosen by the operator's client.
    pub id: String,
    /// The text of the command, which distinguishes a repetition from another command under the same id.
    pub command: String,
    /// Whether the command was executed.
    pub done: bool,
    /// The number of the order, if the request became one.
    pub order: Option<OrderNumber>,
    /// The text of the answer.
    pub text: String,
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Time of the order (wall clock).
    pub wall: Micros,
    /// The operator or maintenance window that gave the order.
    pub who: String,
    /// The text of the command.
    pub what: String,
    /// The text of the answer.
    pub answer: String,
}

/// The reason why a state file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The file has no valid header.
    #[error("not a drain state file")]
    Foreign,
    /// The file was written by a newer version of the program.
    #[error("version {0} is newer than {FORMAT_VERSION}, the newest that this program reads")]
    Newer(u32),
    /// The body is shorter or longer than the header says.
    #[error("the body has {found} bytes, but the header says {expected}")]
    Length {
        /// Actual length of the body (bytes).
        found: usize,
        /// Length of the body according to the header (bytes).
        expected: usize,
    },
    /// The body does not match the checksum in the header.
    #[error("the checksum does not match")]
    Checksum,
    /// The body cannot be encoded or, in spite of a matching checksum, decoded.
    #[error("{0}")]
    Body(String),
}

/// Encodes a state file.
///
/// # Errors
/// Fails if the state cannot be written as TOML, which the bounds on all texts and numbers rule out.
pub fn encode(generation: u64, saved: &Saved) -> Result<String, StateError> {
    let body = toml::to_string(saved).map_err(|e| StateError::Body(e.to_string()))?;
    let sum = blake3::hash(body.as_bytes()).to_hex();
    Ok(format!("{MAGIC} {FORMAT_VERSION} generation={generation} length={} blake3={sum}\n{body}", body.len()))
}

/// Decodes a state file and returns its generation and contents.
///
/// # Errors
/// Describes what is wrong with the file.
pub fn decode(bytes: &[u8]) -> Result<(u64, Saved), StateError> {
    let text = std::str::from_utf8(bytes).map_err(|_| StateError::Foreign)?;
    let (header, body) = text.split_once('\n').ok_or(StateError::Foreign)?;
    let mut words = header.split(' ');
    let (magic, version) = (words.next(), words.next().and_then(|v| v.parse::<u32>().ok()));
    let version = version.filter(|_| magic == Some(MAGIC)).ok_or(StateError::Foreign)?;
    if version > FORMAT_VERSION {
        return Err(StateError::Newer(version));
    }
    let fields: BTreeMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
    let number = |key| fields.get(key).and_then(|v| v.parse::<u64>().ok()).ok_or(StateError::Foreign);
    let (generation, expected) = (number("generation")?, number("length")? as usize);
    if body.len() != expected {
        return Err(StateError::Length { found: body.len(), expected });
    }
    if fields.get("blake3").copied() != Some(blake3::hash(body.as_bytes()).to_hex().as_str()) {
        return Err(StateError::Checksum);
    }
    let saved = toml::from_str(body).map_err(|e| StateError::Body(e.message().to_owned()))?;
    Ok((generation, saved))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn sample() -> String {
        let audit =
            AuditEntry { wall: -5, who: "a\n\"b\"".into(), what: "drain é".into(), answer: "[x]\n".into() };
        encode(7, &Saved { wall: 9, next: 3, audit: vec![audit], ..Saved::default() }).unwrap()
    }

    #[test]
    fn a_state_file_round_trips_and_every_fault_is_detected() {
        let text = sample();
        assert_eq!(decode(text.as_bytes()).unwrap().0, 7);
        assert_eq!(encode(7, &decode(text.as_bytes()).unwrap().1).unwrap(), text);
        assert_eq!(decode(b""), Err(StateError::Foreign));
        assert_eq!(decode(text.replacen(" 1 ", " 9 ", 1).as_bytes()), Err(StateError::Newer(9)));
        assert!(matches!(decode(&text.as_bytes()[..text.len() - 1]), Err(StateError::Length { .. })));
        assert_eq!(decode(text.replace("drain é", "drein é").as_bytes()), Err(StateError::Checksum));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]
        #[test]
        fn truncated_files_and_flipped_bits_are_rejected(cut in 0usize..400, bit in 0u8..8) {
            let mut bytes = sample().into_bytes();
            let at = cut % bytes.len();
            prop_assert!(decode(&bytes[..at]).is_err());
            bytes[at] ^= 1 << bit;
            // The checksum does not cover the generation, so a flipped bit there leaves a valid file.
            if let Ok((_, saved)) = decode(&bytes) {
                prop_assert_eq!(saved, decode(sample().as_bytes()).unwrap().1);
            }
        }
    }
}
