//! Message authentication with HMAC-SHA256 (RFC 2104, RFC 6234), truncated to 96 bits, and a key ring.
//!
//! Each key has an id. One key of the ring signs and all of them verify, so that keys can be rotated without losing a
//! peer: first add the new key on every instance, then make it the signing key on each, then remove the old one. Keys
//! are read from a file that only its owner may read, are wiped from memory when dropped, and are never printed.

use crate::wire::TAG_BYTES;
use hmac::{Hmac, KeyInit, Mac};
use serde::Deserialize;
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use zeroize::Zeroizing;

/// Minimum length of a secret (bytes): the length of the hash, as RFC 2104 recommends.
pub const MIN_SECRET_BYTES: usize = 32;
/// Maximum number of keys in a ring: the previous, the current and the next one, and one spare.
pub const MAX_KEYS: usize = 4;

/// Error in a key file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The file has the wrong structure. The message quotes none of its contents.
    #[error("not a key ring: expected [[key]] blocks with id, secret (64 hex digits) and, for one of them, seals = true")]
    Structure,
    /// A secret is too short or not hexadecimal.
    #[error("key.{0}.secret: expected 64 hex digits")]
    Secret(u8),
    /// A key id occurs twice.
    #[error("key.{0}.id: duplicate id")]
    DuplicateId(u8),
    /// Not exactly one key is marked for signing.
    #[error("seals: expected true for one key, found it for {0}")]
    SigningKeyCount(usize),
    /// The number of keys is out of range.
    #[error("{0} keys, expected 1 to {MAX_KEYS}")]
    KeyCount(usize),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyRingFile {
    key: Vec<KeyFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    id: u8,
    secret: Zeroizing<String>,
    #[serde(default)]
    seals: bool,
}

/// A key ring.
#[derive(Clone)]
pub struct KeyRing {
    keys: BTreeMap<u8, Zeroizing<Vec<u8>>>,
    signing_key: u8,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Secrets must not appear in debug output.
        write!(
            f,
            "KeyRing {{ keys: {:?}, signing_key: {} }}",
            self.keys.keys().collect::<Vec<_>>(),
            self.signing_key
        )
    }
}

impl PartialEq for KeyRing {
    fn eq(&self, other: &KeyRing) -> bool {
        self.signing_key == other.signing_key && self.keys.keys().eq(other.keys.keys())
    }
}

impl KeyRing {
    /// Parses the text of a key file.
    ///
    /// # Errors
    /// Describes the fault without quoting the file.
    pub fn parse(text: &str) -> Result<KeyRing, KeyError> {
        let file: KeyRingFile = toml::from_str(text).map_err(|_| KeyError::Structure)?;
        if !(1..=MAX_KEYS).contains(&file.key.len()) {
            return Err(KeyError::KeyCount(file.key.len()));
        }
        let signing: Vec<u8> = file.key.iter().filter(|k| k.seals).map(|k| k.id).collect();
        let &[signing_key] = signing.as_slice() else { return Err(KeyError::SigningKeyCount(signing.len())) };
        let mut keys = BTreeMap::new();
        for k in &file.key {
            let secret =
                hex(&k.secret).filter(|s| s.len() >= MIN_SECRET_BYTES).ok_or(KeyError::Secret(k.id))?;
            if keys.insert(k.id, secret).is_some() {
                return Err(KeyError::DuplicateId(k.id));
            }
        }
        Ok(KeyRing { keys, signing_key })
    }

    /// Id of the key that signs.
    pub fn signing_key_id(&self) -> u8 {
        self.signing_key
    }

    /// Ids of all keys.
    pub fn ids(&self) -> impl Iterator<Item = u8> + '_ {
        self.keys.keys().copied()
    }

    fn mac(&self, key: u8) -> Option<Hmac<Sha256>> {
        // Only an unknown key id yields `None`, since HMAC accepts keys of any length.
        Hmac::new_from_slice(self.keys.get(&key)?).ok()
    }

    /// Appends the authentication tag to a datagram that names the signing key.
    pub fn sign(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(mut mac) = self.mac(self.signing_key) {
            mac.update(&bytes);
            bytes.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
        }
        bytes
    }

    /// Whether the tag of a datagram is valid for this key. The comparison takes constant time.
    pub fn verify(&self, key: u8, bytes: &[u8]) -> bool {
        let Some(mut mac) = self.mac(key) else { return false };
        let Some((body, tag)) = bytes.split_last_chunk::<TAG_BYTES>() else { return false };
        mac.update(body);
        mac.verify_truncated_left(tag).is_ok()
    }
}

fn hex(text: &str) -> Option<Zeroizing<Vec<u8>>> {
    let digits: Vec<u8> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect::<Option<_>>()?;
    let (digits, even) = (Zeroizing::new(digits), text.len().is_multiple_of(2));
    even.then(|| Zeroizing::new(digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key_ring(keys: &[(u8, char, bool)]) -> Result<KeyRing, KeyError> {
        let block = |(id, digit, seals): &(u8, char, bool)| {
            format!("[[key]]\nid = {id}\nsecret = \"{}\"\nseals = {seals}\n", digit.to_string().repeat(64))
        };
        KeyRing::parse(&keys.iter().map(block).collect::<String>())
    }

    #[test]
    fn key_rotation_keeps_peers_compatible_at_each_step() {
        let steps = [
            key_ring(&[(1, 'a', true)]),
            key_ring(&[(1, 'a', true), (2, 'b', false)]),
            key_ring(&[(1, 'a', false), (2, 'b', true)]),
            key_ring(&[(2, 'b', true)]),
        ]
        .map(Result::unwrap);
        for pair in steps.windows(2) {
            for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
                let signed = from.sign(b"hello".to_vec());
                assert!(to.verify(from.signing_key_id(), &signed));
            }
        }
        // A removed key no longer verifies.
        assert!(!steps[3].verify(1, &steps[0].sign(b"hello".to_vec())));
    }

    #[test]
    fn a_flipped_bit_or_another_key_with_the_same_id_fails_verification() {
        let r = key_ring(&[(1, 'a', true)]).unwrap();
        let signed = r.sign(b"some words".to_vec());
        for bit in 0..signed.len() * 8 {
            let mut corrupted = signed.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(!r.verify(1, &corrupted));
        }
        assert!(r.verify(1, &signed) && !key_ring(&[(1, 'c', true)]).unwrap().verify(1, &signed));
        assert!(!r.verify(1, b"") && !r.verify(9, &signed));
    }

    #[test]
    fn errors_name_the_fault_and_never_show_a_secret() {
        assert_eq!(key_ring(&[(1, 'a', false)]), Err(KeyError::SigningKeyCount(0)));
        assert_eq!(key_ring(&[(1, 'a', true), (2, 'b', true)]), Err(KeyError::SigningKeyCount(2)));
        assert_eq!(key_ring(&[(1, 'a', true), (1, 'b', false)]), Err(KeyError::DuplicateId(1)));
        assert_eq!(key_ring(&[(1, 'g', true)]), Err(KeyError::Secret(1)));
        assert_eq!(key_ring(&[]).unwrap_err(), KeyError::Structure);
        let short = KeyRing::parse("[[key]]\nid = 3\nsecret = \"abcd\"\nseals = true\n");
        assert_eq!(short, Err(KeyError::Secret(3)));
        let text = "[[key]]\nid = 3\nsecrt = \"deadbeef\"\n";
        assert!(!KeyRing::parse(text).unwrap_err().to_string().contains("deadbeef"));
        assert!(!format!("{:?}", key_ring(&[(1, 'a', true)]).unwrap()).contains("aa"));
    }
}
