//! Gossip messages as the payload of one datagram of at most [`MAX_PAYLOAD_BYTES`].
//!
//! ```text
//! offset  bytes  field
//! 0       1      version of the layout, 1, with the high bit set for a list of ejected servers
//! 1       8      incarnation of the sender (little-endian, as all that follow)
//! 9       4      number of the message within the incarnation
//! 13      1      number of entries, 0 to 18
//! 14      12     each entry: server (8); successes, failures, unreachable (1 each); age (1), in units of 20 ms
//! ```
//!
//! A payload that does not have exactly this form is rejected as a whole.

use super::ServerId;
use super::observation::AttemptCounts;
use crate::types::Micros;

/// Bytes of a payload, at most.
pub const MAX_PAYLOAD_BYTES: usize = 240;
/// Entries of a payload, at most, and so the longest list of ejected servers of one collector.
pub(super) const MAX_ENTRIES: usize = (MAX_PAYLOAD_BYTES - HEADER_BYTES) / ENTRY_BYTES;

const LAYOUT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 14;
const ENTRY_BYTES: usize = 12;
/// The bit of the first byte that marks a list of ejected servers.
const EJECTIONS_FLAG: u8 = 0x80;
/// The unit of an entry's age.
const AGE_UNIT: Micros = 20_000;

/// What the entries of a message mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// The sender's own observations, for a collector.
    Observations,
    /// All servers that the sender, as a collector, has ejected. Their counts mean nothing.
    Ejections,
}

/// One server in a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub server: ServerId,
    pub counts: AttemptCounts,
    /// Time since the sender's latest attempt at the server.
    pub age: Micros,
}

/// Identifies a message of one sender; a later one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageId {
    pub incarnation: u64,
    pub number: u32,
}

/// What a payload carries.
#[derive(Clone, Debug)]
pub(super) struct GossipMessage {
    pub kind: MessageKind,
    pub id: MessageId,
    /// At most [`MAX_ENTRIES`].
    pub entries: Vec<Entry>,
}

impl GossipMessage {
    /// The payload; entries beyond [`MAX_ENTRIES`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let entries = &self.entries[..self.entries.len().min(MAX_ENTRIES)];
        let flag = match self.kind {
            MessageKind::Observations => 0,
            MessageKind::Ejections => EJECTIONS_FLAG,
        };
        let mut payload = vec![LAYOUT_VERSION | flag];
        payload.extend_from_slice(&self.id.incarnation.to_le_bytes());
        payload.extend_from_slice(&self.id.number.to_le_bytes());
        payload.push(entries.len() as u8);
        for entry in entries {
            let counts = entry.counts;
            let age = (entry.age / AGE_UNIT).min(u64::from(u8::MAX)) as u8;
            payload.extend_from_slice(&entry.server.to_le_bytes());
            payload.extend_from_slice(&[counts.successes, counts.failures, counts.unreachable, age]);
        }
        payload
    }

    /// Decodes a payload; none if it does not have the form that the module describes.
    pub fn decode(payload: &[u8]) -> Option<GossipMessage> {
        let (header, body) = payload.split_at_checked(HEADER_BYTES)?;
        let count = usize::from(header[13]);
        let is_known_layout = header[0] & !EJECTIONS_FLAG == LAYOUT_VERSION;
        if !is_known_layout || count > MAX_ENTRIES || body.len() != count * ENTRY_BYTES {
            return None;
        }
        let kind =
            if header[0] & EJECTIONS_FLAG != 0 { MessageKind::Ejections } else { MessageKind::Observations };
        let id = MessageId {
            incarnation: u64::from_le_bytes(header[1..9].try_into().ok()?),
            number: u32::from_le_bytes(header[9..13].try_into().ok()?),
        };
        let entries = body.chunks_exact(ENTRY_BYTES).map(decode_entry).collect::<Option<Vec<_>>>()?;
        Some(GossipMessage { kind, id, entries })
    }
}

fn decode_entry(bytes: &[u8]) -> Option<Entry> {
    let server = u64::from_le_bytes(bytes[..8].try_into().ok()?);
    let counts = AttemptCounts { successes: bytes[8], failures: bytes[9], unreachable: bytes[10] };
    let age = u64::from(bytes[11]) * AGE_UNIT;
    Some(Entry { server, counts, age })
}
