//! Datagram format, version 1. Numbers are big-endian. `docs/design/gossip.md` specifies it byte by byte.
//!
//! ```text
//! 0      version (1)
//! 1      key id
//! 2..10  sender id
//! 10..16 sender's incarnation
//! 16..20 sequence number within that incarnation
//! 20..   message: type, then its fields
//!        items: type, then its fields, up to the authentication tag
//! -12..  authentication tag: the first 96 bits of HMAC-SHA256 over everything before it
//! ```
//!
//! The decoder is strict: an unknown type, a truncated field or an extra byte makes the whole datagram invalid.

use crate::evidence::Evidence;
use crate::{Exchange, MemberId};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Protocol version.
pub const VERSION: u8 = 1;
/// Maximum datagram length (bytes); the platform's limit for messages between peers.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of the authentication tag (bytes): 96 bits, the minimum that RFC 2104 and SP 800-107 recommend for HMAC.
pub const TAG_BYTES: usize = 12;
/// Length of the header (bytes).
pub const HEADER_BYTES: usize = 20;
/// Space for the message and items (bytes).
pub const PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
/// Number of hash buckets in a digest.
pub const DIGEST_BUCKETS: usize = 16;

/// Start time of an instance's current run, and the number of its refutations since: 36 bits of seconds and 12 bits of
/// count, so that a later run always has a higher incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The highest value that the format can carry.
    pub const MAX: Incarnation = Incarnation((1 << 48) - 1);

    /// The first incarnation of a run that starts at this Unix time in seconds.
    pub fn at(unix_seconds: i64) -> Incarnation {
        Incarnation((unix_seconds.clamp(0, (1 << 36) - 1) as u64) << 12)
    }

    /// The next incarnation; the maximum stays.
    pub fn next(self) -> Incarnation {
        Incarnation((self.0 + 1).min(Incarnation::MAX.0))
    }
}

/// Claimed state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// It answers pings.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// Its suspicion timed out.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// Update about a member, as disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Id of the member.
    pub id: MemberId,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Incarnation that the claim refers to.
    pub incarnation: Incarnation,
    /// Claimed state.
    pub claim: Claim,
}

/// Protocol message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an ack. The target is named, so that another instance at its address does not answer for it.
    Ping {
        /// Returned in the ack.
        nonce: u16,
        /// Id of the target; 0 if unknown, as for a seed.
        target: MemberId,
    },
    /// Answers a ping.
    Ack {
        /// Nonce of the ping or the indirect ping request.
        nonce: u16,
        /// Processor load of the answering member, from 0 to 255.
        load: u8,
    },
    /// Requests an indirect ping.
    PingReq {
        /// Returned in the ack or nack.
        nonce: u16,
        /// Id of the target.
        target: MemberId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Tells the requester that the target has not answered yet, and that the helper itself is alive.
    Nack {
        /// Nonce of the indirect ping request.
        nonce: u16,
    },
    /// Summary of the membership list, for anti-entropy.
    Digest {
        /// Whether the receiver should reply with its own digest.
        reply: bool,
        /// Truncated hash of each bucket.
        bucket_hashes: [u32; DIGEST_BUCKETS],
    },
    /// Carries items only.
    Items,
}

/// Item that is piggybacked on a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// Update about a member.
    Member(Update),
    /// Measurements of an exchange by the sender itself.
    Evidence(Exchange, Evidence),
    /// Exchanges that the sender's own exchange has trunk groups with, as a bitmap of 64 exchanges.
    Links {
        /// Exchange that the sender serves.
        exchange: Exchange,
        /// The exchange of the first bit.
        first: Exchange,
        /// Bitmap; the first exchange is the highest bit.
        bits: u64,
    },
}

/// Datagram without its authentication tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Id of the key that authenticates it.
    pub key_id: u8,
    /// Id of the sender.
    pub sender: MemberId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Sequence number.
    pub sequence: u32,
    /// The message.
    pub message: Message,
    /// Piggybacked items.
    pub items: Vec<Item>,
}

/// Reason why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length is out of range.
    #[error("{0} bytes, expected {least} to {MAX_DATAGRAM_BYTES}", least = HEADER_BYTES + 1 + TAG_BYTES)]
    Length(usize),
    /// The version is not supported.
    #[error("unsupported version {0}, expected {VERSION}")]
    Version(u8),
    /// A value is unknown or truncated, at this offset.
    #[error("invalid or truncated value at byte {0}")]
    Value(usize),
}

// ---- Encoding ----

fn address_len(a: &SocketAddr) -> usize {
    if a.is_ipv4() {
        7
    } else {
        19
    }
}

impl Item {
    /// Encoded length in bytes.
    pub fn len(&self) -> usize {
        match self {
            Item::Member(u) => 1 + 8 + 6 + address_len(&u.address),
            Item::Evidence(..) => 1 + 2 + Evidence::BYTES,
            Item::Links { .. } => 1 + 2 + 2 + 8,
        }
    }

    /// Always false: every item has a type byte.
    pub fn is_empty(&self) -> bool {
        false
    }
}

impl Message {
    /// Encoded length in bytes.
    pub fn len(&self) -> usize {
        match self {
            Message::Ping { .. } => 1 + 2 + 8,
            Message::Ack { .. } => 1 + 2 + 1,
            Message::PingReq { address, .. } => 1 + 2 + 8 + address_len(address),
            Message::Nack { .. } => 1 + 2,
            Message::Digest { .. } => 1 + 1 + 4 * DIGEST_BUCKETS,
            Message::Items => 1,
        }
    }

    /// Always false: every message has a type byte.
    pub fn is_empty(&self) -> bool {
        false
    }
}

fn put(out: &mut Vec<u8>, value: u64, bytes: usize) {
    out.extend(&value.to_be_bytes()[8 - bytes..]);
}

fn put_address(out: &mut Vec<u8>, a: &SocketAddr) {
    match a.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend(ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend(ip.octets());
        }
    }
    put(out, a.port().into(), 2);
}

impl Datagram {
    /// Encodes the datagram without its tag. Items that do not fit are left out; callers limit them beforehand.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![VERSION, self.key_id];
        put(&mut out, self.sender.0, 8);
        put(&mut out, self.incarnation.0, 6);
        put(&mut out, self.sequence.into(), 4);
        match &self.message {
            Message::Ping { nonce, target } => {
                out.push(1);
                put(&mut out, (*nonce).into(), 2);
                put(&mut out, target.0, 8);
            }
            Message::Ack { nonce, load } => {
                out.push(2);
                put(&mut out, (*nonce).into(), 2);
                out.push(*load);
            }
            Message::PingReq { nonce, target, address } => {
                out.push(3);
                put(&mut out, (*nonce).into(), 2);
                put(&mut out, target.0, 8);
                put_address(&mut out, address);
            }
            Message::Nack { nonce } => {
                out.push(4);
                put(&mut out, (*nonce).into(), 2);
            }
            Message::Digest { reply, bucket_hashes } => {
                out.push(5);
                out.push(u8::from(*reply));
                bucket_hashes.iter().for_each(|g| put(&mut out, (*g).into(), 4));
            }
            Message::Items => out.push(6),
        }
        for item in &self.items {
            if out.len() + item.len() > MAX_DATAGRAM_BYTES - TAG_BYTES {
                break;
            }
            match item {
                Item::Member(u) => {
                    out.push(0x10 + u.claim as u8);
                    put(&mut out, u.id.0, 8);
                    put(&mut out, u.incarnation.0, 6);
                    put_address(&mut out, &u.address);
                }
                Item::Evidence(exchange, e) => {
                    out.push(0x20);
                    put(&mut out, exchange.0.into(), 2);
                    out.extend(e.encode());
                }
                Item::Links { exchange, first, bits } => {
                    out.push(0x30);
                    put(&mut out, exchange.0.into(), 2);
                    put(&mut out, first.0.into(), 2);
                    put(&mut out, *bits, 8);
                }
            }
        }
        out
    }
}

// ---- Decoding ----

struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let part = self.bytes.get(self.offset..self.offset + N).ok_or(DecodeError::Value(self.offset))?;
        self.offset += N;
        part.try_into().map_err(|_| DecodeError::Value(self.offset))
    }

    fn number(&mut self, bytes: usize) -> Result<u64, DecodeError> {
        let mut n = 0;
        for _ in 0..bytes {
            let [b] = self.take::<1>()?;
            n = n << 8 | u64::from(b);
        }
        Ok(n)
    }

    fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.take::<1>()?[0])
    }

    fn address(&mut self) -> Result<SocketAddr, DecodeError> {
        let at = self.offset;
        let ip = match self.byte()? {
            4 => IpAddr::from(Ipv4Addr::from(self.take::<4>()?)),
            6 => IpAddr::from(Ipv6Addr::from(self.take::<16>()?)),
            _ => return Err(DecodeError::Value(at)),
        };
        let port = self.number(2)? as u16;
        // Not usable as the address of a member.
        if port == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(DecodeError::Value(at));
        }
        Ok(SocketAddr::new(ip, port))
    }
}

/// Reads the key id of a datagram before it is authenticated.
///
/// # Errors
/// If the length or the version is wrong.
pub fn key_id(bytes: &[u8]) -> Result<u8, DecodeError> {
    if !(HEADER_BYTES + 1 + TAG_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
        return Err(DecodeError::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(DecodeError::Version(bytes[0]));
    }
    Ok(bytes[1])
}

/// Decodes an authenticated datagram.
///
/// # Errors
/// Gives the offset of the first invalid byte.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let key_id = key_id(bytes)?;
    let mut r = Reader { bytes: &bytes[..bytes.len() - TAG_BYTES], offset: 2 };
    let sender = MemberId(r.number(8)?);
    let incarnation = Incarnation(r.number(6)?);
    let sequence = r.number(4)? as u32;
    let at = r.offset;
    let message = match r.byte()? {
        1 => Message::Ping { nonce: r.number(2)? as u16, target: MemberId(r.number(8)?) },
        2 => Message::Ack { nonce: r.number(2)? as u16, load: r.byte()? },
        3 => Message::PingReq {
            nonce: r.number(2)? as u16,
            target: MemberId(r.number(8)?),
            address: r.address()?,
        },
        4 => Message::Nack { nonce: r.number(2)? as u16 },
        5 => {
            let reply = match r.byte()? {
                0 => false,
                1 => true,
                _ => return Err(DecodeError::Value(r.offset - 1)),
            };
            let mut bucket_hashes = [0; DIGEST_BUCKETS];
            for g in &mut bucket_hashes {
                *g = r.number(4)? as u32;
            }
            Message::Digest { reply, bucket_hashes }
        }
        6 => Message::Items,
        _ => return Err(DecodeError::Value(at)),
    };
    let mut items = Vec::new();
    while r.offset < r.bytes.len() {
        let at = r.offset;
        items.push(match r.byte()? {
            claim @ 0x10..=0x13 => {
                let claim =
                    [Claim::Alive, Claim::Suspect, Claim::Dead, Claim::Left][usize::from(claim - 0x10)];
                let (id, incarnation) = (MemberId(r.number(8)?), Incarnation(r.number(6)?));
                Item::Member(Update { id, incarnation, address: r.address()?, claim })
            }
            0x20 => Item::Evidence(Exchange(r.number(2)? as u16), Evidence::decode(r.take()?)),
            0x30 => Item::Links {
                exchange: Exchange(r.number(2)? as u16),
                first: Exchange(r.number(2)? as u16),
                bits: r.number(8)?,
            },
            _ => return Err(DecodeError::Value(at)),
        });
    }
    Ok(Datagram { key_id, sender, incarnation, sequence, message, items })
}
