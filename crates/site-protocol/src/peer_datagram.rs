//! Peers' datagrams: a header, at most 256 bytes of payload, a checksum.
//!
//! ```text
//! 0  2  "VS"
//! 2  1  version, 1
//! 3  1  kind: 0 the decisions' words, 1 rights (`violetseam-fleet-state`)
//! 4  4  site: a number that all proxies of one fleet share (little-endian, as all that follow)
//! 8  2  from: the sender's number in the fleet
//! 10 2  length of the payload
//! 12 n  payload
//! .. 4  CRC-32 (IEEE) of all before
//! ```
//!
//! A datagram may be lost, repeated or late: the payload's own counters are made for that. Anything that
//! does not read exactly so is dropped.

use crate::{Malformed, malformed};

/// The version written and taken.
pub const VERSION: u8 = 1;
/// The most payload bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256;
/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = HEADER_BYTES + MAX_PAYLOAD_BYTES + 4;
const HEADER_BYTES: usize = 12;

/// Whose words a payload carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayloadKind {
    /// The decisions'.
    Gossip = 0,
    /// Asks and grants of the fleet's budgets.
    QuotaLeases = 1,
}

/// Writes a datagram; none for a payload past the bound.
pub fn encode(site: u32, from: u16, kind: PayloadKind, payload: &[u8]) -> Option<Vec<u8>> {
    let length = u16::try_from(payload.len()).ok().filter(|&n| usize::from(n) <= MAX_PAYLOAD_BYTES)?;
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len() + 4);
    out.extend_from_slice(&[b'V', b'S', VERSION, kind as u8]);
    out.extend_from_slice(&site.to_le_bytes());
    out.extend_from_slice(&from.to_le_bytes());
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(payload);
    let sum = crc32fast::hash(&out);
    out.extend_from_slice(&sum.to_le_bytes());
    Some(out)
}

/// Reads a datagram: the sender's number, the payload's kind and the payload.
///
/// # Errors
/// [`Malformed`] if the datagram is of another version or site, or is cut short.
pub fn decode(site: u32, bytes: &[u8]) -> Result<(u16, PayloadKind, &[u8]), Malformed> {
    if bytes.len() < HEADER_BYTES + 4 || bytes.len() > MAX_DATAGRAM_BYTES {
        return malformed("peer: wrong size");
    }
    if &bytes[..2] != b"VS" {
        return malformed("peer: not a peer's datagram");
    }
    if bytes[2] != VERSION {
        return malformed(format!("peer: version {}", bytes[2]));
    }
    let kind = match bytes[3] {
        0 => PayloadKind::Gossip,
        1 => PayloadKind::QuotaLeases,
        other => return malformed(format!("peer: kind {other}")),
    };
    let (body, sum) = bytes.split_at(bytes.len() - 4);
    let word = |at: usize| u16::from_le_bytes([body[at], body[at + 1]]);
    if crc32fast::hash(body).to_le_bytes() != sum {
        return malformed("peer: checksum");
    }
    if body[4..8] != site.to_le_bytes() {
        return malformed("peer: another site");
    }
    if usize::from(word(10)) != body.len() - HEADER_BYTES {
        return malformed("peer: length");
    }
    Ok((word(8), kind, &body[HEADER_BYTES..]))
}
