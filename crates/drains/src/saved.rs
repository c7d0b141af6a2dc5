//! The form in which drains survive the program: a line of header, then TOML.
//!
//! ```text
//! walnuthatch-drains 1 generation=17 length=512 blake3=9f…
//! ```
//!
//! The header names the version of the form, the running number of the saving, and the length and checksum of
//! what follows, so that a file that was cut off, or spoilt, is told from a whole one. TOML is the form of all our
//! own files.

use crate::drain::{AtLimit, OrderNumber, State};
use crate::plan::Stage;
use crate::target::Target;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version that is written, and the newest that is read.
pub const FORMAT_VERSION: u32 = 1;
/// The longest file that is read (bytes); what is kept is bounded far below.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
const MAGIC: &str = "walnuthatch-drains";

/// All that survives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    /// The wall's clock at the saving.
    pub wall: Micros,
    /// The next order's number.
    pub next: OrderNumber,
    /// The last start of each window that was begun or given up (wall).
    #[serde(default)]
    pub windows: BTreeMap<String, Micros>,
    /// Drains that are not over.
    #[serde(default)]
    pub drains: Vec<SavedDrain>,
    /// The round of maintenance.
    #[serde(default)]
    pub plan: Option<SavedPlan>,
    /// Requests that were answered, oldest first.
    #[serde(default)]
    pub requests: Vec<AnsweredRequest>,
    /// Orders given, oldest first.
    #[serde(default)]
    pub audit: Vec<AuditEntry>,
}

/// A drain that is not over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedDrain {
    /// Its order.
    pub order: OrderNumber,
    /// What it drains.
    pub target: Target,
    /// Where it was; one that was asked for is in force once it is read back.
    pub state: State,
    /// Why.
    pub reason: String,
    /// Who asked.
    pub who: String,
    /// When (wall).
    pub asked_wall: Micros,
    /// What was left of its limit at the saving (µs).
    pub limit_left: Option<Micros>,
    /// What happens then.
    pub at_limit: AtLimit,
    /// Whether it has happened.
    pub limit_done: bool,
    /// The policy was overridden.
    pub forced: bool,
    /// The window that began it.
    pub window: Option<String>,
    /// The start of that occurrence (wall).
    pub window_start: Option<Micros>,
}

/// A round of maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedPlan {
    /// Its order.
    pub order: OrderNumber,
    /// What it drains.
    pub targets: Vec<Target>,
    /// Which is at hand.
    pub at: usize,
    /// Who asked.
    pub who: String,
    /// Why.
    pub reason: String,
    /// How long an empty target waits (µs).
    pub pause: Option<Micros>,
    /// Share of calls that were well served before.
    pub before: f64,
    /// Where it was.
    pub stage: Stage,
}

/// A request by its id, and what was answered: the same one again acts no more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnsweredRequest {
    /// The id that the operator's program chose.
    pub id: String,
    /// The command, to tell a repeat from another command under the same id.
    pub command: String,
    /// Whether it was done.
    pub done: bool,
    /// The order's number, if it became one.
    pub order: Option<OrderNumber>,
    /// The answer.
    pub text: String,
}

/// A line of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When (wall).
    pub wall: Micros,
    /// Who.
    pub who: String,
    /// What.
    pub what: String,
    /// The answer.
    pub answer: String,
}

/// Why a file is of no use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// It has no header of this kind.
    #[error("not a file of drains")]
    Foreign,
    /// A newer program wrote it.
    #[error("version {0}, and this program reads up to {FORMAT_VERSION}")]
    Newer(u32),
    /// It is shorter or longer than its header says.
    #[error("{found} bytes where the header says {expected}")]
    Length {
        /// Bytes there are.
        found: usize,
        /// Bytes there ought to be.
        expected: usize,
    },
    /// It is not what was written.
    #[error("the checksum does not fit")]
    Checksum,
    /// The checksum fits, and it can't be read all the same.
    #[error("{0}")]
    Body(String),
}

/// The text of a saving.
///
/// # Errors
/// If the contents can't be written as TOML, which bounds on all texts and numbers rule out.
pub fn encode(generation: u64, saved: &Saved) -> Result<String, StateError> {
    let body = toml::to_string(saved).map_err(|e| StateError::Body(e.to_string()))?;
    let sum = blake3::hash(body.as_bytes()).to_hex();
    Ok(format!("{MAGIC} {FORMAT_VERSION} generation={generation} length={} blake3={sum}\n{body}", body.len()))
}

/// Reads a saving: its generation and contents.
///
/// # Errors
/// Says what is wrong with the file.
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
    fn a_saving_is_read_back_and_every_fault_is_told() {
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
        fn no_cut_and_no_flipped_bit_is_taken_for_a_saving(cut in 0usize..400, bit in 0u8..8) {
            let mut bytes = sample().into_bytes();
            let at = cut % bytes.len();
            prop_assert!(decode(&bytes[..at]).is_err());
            bytes[at] ^= 1 << bit;
            // A flipped bit of the generation alone leaves a whole saving, of another number.
            if let Ok((_, saved)) = decode(&bytes) {
                prop_assert_eq!(saved, decode(sample().as_bytes()).unwrap().1);
            }
        }
    }
}
