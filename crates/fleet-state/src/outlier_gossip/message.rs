//! Encodes a gossip message as the payload of one datagram, of at most [`MAX_PAYLOAD_BYTES`] bytes.
//!
//! ```text
//! offset  bytes  field
//! 0       1      version of the layout, which is 1, with the high bit set for a list of ejected servers
//! 1       8      incarnation of the sender
//! 9       4      number of the message within the incarnation
//! 13      1      number of entries, 0 to 18
//! 14      12     per entry: server (8 bytes); successes, failures, unreachable (1 each);
//!                time since the latest attempt (1), in units of 20 ms
//! ```
//!
//! Integers are little-endian. A payload that does not have exactly this layout is rejected as a whole.

use super::ServerId;
use super::observation::AttemptCounts;
use crate::types::Micros;

/// The maximum length of a payload.
pub const MAX_PAYLOAD_BYTES: usize = 240;
/// The maximum number of entries in a payload, and therefore of servers that one collector can eject.
pub(super) const MAX_ENTRIES: usize = (MAX_PAYLOAD_BYTES - HEADER_BYTES) / ENTRY_BYTES;

const LAYOUT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 14;
const ENTRY_BYTES: usize = 12;
/// The bit of the first byte that marks a list of ejected servers.
const EJECTIONS_FLAG: u8 = 0x80;
/// The unit of an entry's age, in microseconds.
const AGE_UNIT: Micros = 20_000;

/// What the entries of a message mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// The entries are the sender's own observations. They are sent to collectors.
    Observations,
    /// The entries are all servers that the sender ejects as a collector. Their counts have no meaning.
    Ejections,
}

/// The entry of one server in a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub server: ServerId,
    pub counts: AttemptCounts,
    /// The time since the sender's latest attempt on the server.
    pub age: Micros,
}

/// Identifies a message of one sender. A later message has a greater id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MessageId {
    pub incarnation: u64,
    pub number: u32,
}

/// The content of a payload.
#[derive(Clone, Debug)]
pub(super) struct GossipMessage {
    pub kind: MessageKind,
    pub id: MessageId,
    /// At most [`MAX_ENTRIES`] entries are encoded.
    pub entries: Vec<Entry>,
}

impl GossipMessage {
    /// Returns the payload. Entries beyond the first [`MAX_ENTRIES`] are left out.
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

    /// Decodes a payload. Returns `None` if it does not have the layout that the module documentation
    /// describes.
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
