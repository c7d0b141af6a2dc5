//! The form of a datagram, version 1. Numbers are big-endian. `docs/design/gossip.md` has it byte by byte.
//!
//! ```text
//! 0      version (1)
//! 1      key id
//! 2..10  sender
//! 10..16 sender's incarnation
//! 16..20 sequence number within that incarnation
//! 20..   message: kind, then its fields
//!        items: kind, then its fields, until the seal
//! -12..  seal: the first 96 bits of HMAC-SHA256 over all before it
//! ```
//!
//! A reader takes nothing for granted: a kind that is not known, a field cut short or a byte too many makes the
//! datagram unusable as a whole.

use crate::evidence::Evidence;
use crate::{Exchange, MemberId};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The version that is spoken.
pub const VERSION: u8 = 1;
/// The longest datagram (bytes); the platform's limit for messages between peers.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Bytes of the seal: 96 bits, the least that RFC 2104 and SP 800-107 advise for HMAC.
pub const TAG_BYTES: usize = 12;
/// Bytes before the message.
pub const HEADER_BYTES: usize = 20;
/// Bytes for the message and items.
pub const PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;
/// Groups of members by which digests are told.
pub const DIGEST_BUCKETS: usize = 16;

/// When an instance began its present life, and how often it has contradicted others since: 36 bits of seconds and
/// 12 bits of count, so that a later life always has the higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The highest that the form has room for.
    pub const MAX: Incarnation = Incarnation((1 << 48) - 1);

    /// The first of a life that begins at this second of the Unix clock.
    pub fn at(unix_seconds: i64) -> Incarnation {
        Incarnation((unix_seconds.clamp(0, (1 << 36) - 1) as u64) << 12)
    }

    /// The next one; the highest stays.
    pub fn next(self) -> Incarnation {
        Incarnation((self.0 + 1).min(Incarnation::MAX.0))
    }
}

/// What a member is said to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// It answers.
    Alive,
    /// It did not answer.
    Suspect,
    /// It has not answered for long.
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The member.
    pub id: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Of which incarnation this is said.
    pub incarnation: Incarnation,
    /// What.
    pub claim: Claim,
}

/// A message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Are you there? `target`: whom it is meant for, so that another at its address does not answer for it.
    Ping {
        /// Comes back with the answer.
        nonce: u16,
        /// Who is meant; 0: whoever is there.
        target: MemberId,
    },
    /// I am; how pressed the sender's processor is, from 0 to 255.
    Ack {
        /// The question's.
        nonce: u16,
        /// How pressed.
        load: u8,
    },
    /// Ask this member for me.
    PingReq {
        /// Comes back with the answer.
        nonce: u16,
        /// Whom to ask.
        target: MemberId,
        /// Where it is.
        address: SocketAddr,
    },
    /// I asked, and it has not answered yet: the sender at least is there.
    Nack {
        /// The question's.
        nonce: u16,
    },
    /// What the sender knows of the members, by groups.
    Digest {
        /// Whether the other's is wanted in return.
        reply: bool,
        /// The hash of each group, cut short.
        bucket_hashes: [u32; DIGEST_BUCKETS],
    },
    /// Nothing but items.
    Items,
}

/// Something that travels along.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Item {
    /// Of a member.
    Member(Update),
    /// What the sender itself measured of an exchange.
    Evidence(Exchange, Evidence),
    /// The exchanges that the sender's own exchange has groups with: the sender's exchange, and a bit for each of the
    /// 64 exchanges from a first one on.
    Links {
        /// The sender's exchange.
        own: Exchange,
        /// The exchange of the first bit.
        from: Exchange,
        /// The bits, the first one highest.
        bits: u64,
    },
}

/// A datagram without its seal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Which key it is sealed with.
    pub key_id: u8,
    /// Who sends it.
    pub sender: MemberId,
    /// In which incarnation.
    pub incarnation: Incarnation,
    /// Its number.
    pub sequence: u32,
    /// The message.
    pub message: Message,
    /// What travels along.
    pub items: Vec<Item>,
}

/// Why a datagram is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Too short or too long.
    #[error("{0} bytes, expected {least} to {MAX_DATAGRAM_BYTES}", least = HEADER_BYTES + 1 + TAG_BYTES)]
    Length(usize),
    /// Another version.
    #[error("unsupported version {0}, expected {VERSION}")]
    Version(u8),
    /// Something that is not known, or cut short.
    #[error("invalid or truncated value at byte {0}")]
    Value(usize),
}

// ---- Writing ----

fn address_len(a: &SocketAddr) -> usize {
    if a.is_ipv4() {
        7
    } else {
        19
    }
}

impl Item {
    /// Bytes that it takes.
    pub fn len(&self) -> usize {
        match self {
            Item::Member(u) => 1 + 8 + 6 + address_len(&u.address),
            Item::Evidence(..) => 1 + 2 + Evidence::BYTES,
            Item::Links { .. } => 1 + 2 + 2 + 8,
        }
    }

    /// Never.
    pub fn is_empty(&self) -> bool {
        false
    }
}

impl Message {
    /// Bytes that it takes.
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

    /// Never.
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
    /// Its bytes without the seal. Items that do not fit are left out: whoever makes one counts beforehand.
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
                Item::Links { own, from, bits } => {
                    out.push(0x30);
                    put(&mut out, own.0.into(), 2);
                    put(&mut out, from.0.into(), 2);
                    put(&mut out, *bits, 8);
                }
            }
        }
        out
    }
}

// ---- Reading ----

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
        // Nobody listens there, or everybody: neither is a member's.
        if port == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(DecodeError::Value(at));
        }
        Ok(SocketAddr::new(ip, port))
    }
}

/// The key that a datagram names, before anything else of it is believed.
///
/// # Errors
/// If it is no datagram of this form.
pub fn key_id(bytes: &[u8]) -> Result<u8, DecodeError> {
    if !(HEADER_BYTES + 1 + TAG_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len()) {
        return Err(DecodeError::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(DecodeError::Version(bytes[0]));
    }
    Ok(bytes[1])
}

/// Reads a datagram whose seal was checked.
///
/// # Errors
/// Names the byte that is not understood.
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
                own: Exchange(r.number(2)? as u16),
                from: Exchange(r.number(2)? as u16),
                bits: r.number(8)?,
            },
            _ => return Err(DecodeError::Value(at)),
        });
    }
    Ok(Datagram { key_id, sender, incarnation, sequence, message, items })
}
