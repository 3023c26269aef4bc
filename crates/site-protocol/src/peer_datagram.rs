//! Datagrams between peers. A datagram consists of a header, a payload of at most 256 bytes and a checksum:
//!
//! ```text
//! 0  2  "VS"
//! 2  1  version, 1
//! 3  1  kind: 0 gossip of the decision module, 1 quota leases (`violetseam-fleet-state`)
//! 4  4  site: a number that all proxies of one fleet share (little-endian, like all following numbers)
//! 8  2  sender: the sender's number in the fleet
//! 10 2  length of the payload
//! 12 n  payload
//! .. 4  CRC-32 (IEEE) of all bytes before it
//! ```
//!
//! A datagram may be lost, duplicated or delayed; the counters in the payload make that harmless. A datagram
//! that does not have exactly this form is dropped.

use thiserror::Error;

/// The protocol version that is written, and the only one that is accepted.
pub const VERSION: u8 = 1;
/// The maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256;
/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = HEADER_BYTES + MAX_PAYLOAD_BYTES + CHECKSUM_BYTES;
const MAGIC: [u8; 2] = *b"VS";
const HEADER_BYTES: usize = 12;
const CHECKSUM_BYTES: usize = 4;

// The offsets of the fields in the header, in bytes.
const VERSION_OFFSET: usize = 2;
const KIND_OFFSET: usize = 3;
const SITE_OFFSET: usize = 4;
const SENDER_OFFSET: usize = 8;
const LENGTH_OFFSET: usize = 10;

/// The part of the software to which a payload is passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadKind {
    /// Gossip of the decision module.
    Gossip = 0,
    /// Requests and grants of leases on the fleet's quotas.
    QuotaLeases = 1,
}

impl TryFrom<u8> for PayloadKind {
    type Error = DatagramError;

    fn try_from(byte: u8) -> Result<Self, DatagramError> {
        match byte {
            0 => Ok(PayloadKind::Gossip),
            1 => Ok(PayloadKind::QuotaLeases),
            other => Err(DatagramError::UnknownKind(other)),
        }
    }
}

/// A decoded datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// The sender's number in its fleet.
    pub sender: u16,
    /// The part of the software to which the payload is passed.
    pub kind: PayloadKind,
    /// The payload.
    pub payload: &'a [u8],
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The datagram is shorter than a header and a checksum, or too long.
    #[error("peer: the datagram is too short, or longer than {MAX_DATAGRAM_BYTES} bytes")]
    InvalidSize,
    /// The datagram does not start with the magic bytes of this protocol.
    #[error("peer: the datagram does not start with the magic bytes of this protocol")]
    InvalidMagic,
    /// The datagram has another version of the protocol, which is given here.
    #[error("peer: version {0}")]
    UnsupportedVersion(u8),
    /// The datagram has an unknown payload kind, which is given here.
    #[error("peer: unknown payload kind {0}")]
    UnknownKind(u8),
    /// The checksum does not match.
    #[error("peer: the checksum does not match")]
    ChecksumMismatch,
    /// The datagram comes from a proxy of another site.
    #[error("peer: the datagram comes from another site")]
    SiteMismatch,
    /// The payload does not have the length that the header states.
    #[error("peer: the payload does not have the length that the header states")]
    LengthMismatch,
}

/// Encodes a datagram from the proxy with the fleet number `sender`. Returns none if the payload is too long.
pub fn encode(site: u32, sender: u16, kind: PayloadKind, payload: &[u8]) -> Option<Vec<u8>> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return None;
    }
    let length = u16::try_from(payload.len()).ok()?;
    let mut datagram = Vec::with_capacity(HEADER_BYTES + payload.len() + CHECKSUM_BYTES);
    datagram.extend_from_slice(&MAGIC);
    datagram.push(VERSION);
    datagram.push(kind as u8);
    datagram.extend_from_slice(&site.to_le_bytes());
    datagram.extend_from_slice(&sender.to_le_bytes());
    datagram.extend_from_slice(&length.to_le_bytes());
    datagram.extend_from_slice(payload);
    let checksum = crc32fast::hash(&datagram);
    datagram.extend_from_slice(&checksum.to_le_bytes());
    Some(datagram)
}

/// Decodes a datagram that arrived at a proxy of this site.
///
/// # Errors
/// [`DatagramError`] if the datagram has another version or comes from another site, or if it is damaged.
pub fn decode(site: u32, bytes: &[u8]) -> Result<Datagram<'_>, DatagramError> {
    if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::InvalidSize);
    }
    let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    let (header, payload) = body.split_at(HEADER_BYTES);
    if !header.starts_with(&MAGIC) {
        return Err(DatagramError::InvalidMagic);
    }
    if header[VERSION_OFFSET] != VERSION {
        return Err(DatagramError::UnsupportedVersion(header[VERSION_OFFSET]));
    }
    let kind = PayloadKind::try_from(header[KIND_OFFSET])?;
    if crc32fast::hash(body).to_le_bytes() != checksum {
        return Err(DatagramError::ChecksumMismatch);
    }
    if header[SITE_OFFSET..SENDER_OFFSET] != site.to_le_bytes() {
        return Err(DatagramError::SiteMismatch);
    }
    if usize::from(read_u16(header, LENGTH_OFFSET)) != payload.len() {
        return Err(DatagramError::LengthMismatch);
    }
    Ok(Datagram { sender: read_u16(header, SENDER_OFFSET), kind, payload })
}

fn read_u16(header: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([header[offset], header[offset + 1]])
}
