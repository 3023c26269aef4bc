//! Encodes lease requests and grants as the payload of one datagram, of at most [`MAX_PAYLOAD_BYTES`] bytes.
//!
//! ```text
//! offset  bytes  field
//! 0       1      version of the layout, which is 1
//! 1       4      digest of the sender's quota plan; members ignore messages from members with another plan
//! 5       1      number of messages, 1 to 13
//! 6       17     per message: class, with the high bit set for a grant (1 byte); incarnation (4);
//!                number of the request (4); amount that is requested or granted (8)
//! ```
//!
//! Integers are little-endian. A payload that does not have exactly this layout is rejected as a whole.

use crate::quota_leases::{LeaseGrant, LeaseRequest};

/// The maximum length of a payload. With the header and the checksum that a proxy adds, a datagram has at
/// most 256 bytes.
pub const MAX_PAYLOAD_BYTES: usize = 240;
/// The maximum number of messages in a payload.
pub const MAX_MESSAGES: usize = (MAX_PAYLOAD_BYTES - HEADER_BYTES) / MESSAGE_BYTES;
/// The number of request classes that a message can identify. Class indexes must be below this.
pub const MAX_CLASSES: usize = 128;

const LAYOUT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 6;
const MESSAGE_BYTES: usize = 17;
/// The bit of the class byte that marks a grant.
const GRANT_FLAG: u8 = 0x80;

/// A lease request or a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseMessage {
    /// A member requests quota from an owner.
    Request(LeaseRequest),
    /// An owner lends quota.
    Grant(LeaseGrant),
}

/// A message about the limit of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassMessage {
    /// The index of the request class, below [`MAX_CLASSES`].
    pub class: usize,
    /// The request or grant.
    pub message: LeaseMessage,
}

/// The content of a payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasePayload {
    /// The digest of the sender's quota plan.
    pub plan_digest: u32,
    /// The messages, 1 to [`MAX_MESSAGES`].
    pub messages: Vec<ClassMessage>,
}

/// Encodes messages as a payload. Returns `None` if there are no messages or more than [`MAX_MESSAGES`], or
/// if a class index is [`MAX_CLASSES`] or more.
pub fn encode(plan_digest: u32, messages: &[ClassMessage]) -> Option<Vec<u8>> {
    let is_class_out_of_range = messages.iter().any(|message| message.class >= MAX_CLASSES);
    if messages.is_empty() || messages.len() > MAX_MESSAGES || is_class_out_of_range {
        return None;
    }
    let mut payload = Vec::with_capacity(HEADER_BYTES + MESSAGE_BYTES * messages.len());
    payload.push(LAYOUT_VERSION);
    payload.extend_from_slice(&plan_digest.to_le_bytes());
    payload.push(messages.len() as u8);
    for message in messages {
        encode_message(&mut payload, *message);
    }
    Some(payload)
}

fn encode_message(payload: &mut Vec<u8>, ClassMessage { class, message }: ClassMessage) {
    let (flag, incarnation, number, amount) = match message {
        LeaseMessage::Request(request) => (0, request.incarnation, request.number, request.wanted),
        LeaseMessage::Grant(grant) => (GRANT_FLAG, grant.incarnation, grant.number, grant.amount),
    };
    payload.push(class as u8 | flag);
    payload.extend_from_slice(&incarnation.to_le_bytes());
    payload.extend_from_slice(&number.to_le_bytes());
    payload.extend_from_slice(&amount.to_le_bytes());
}

/// Decodes a payload. Returns `None` if it does not have the layout that the module documentation describes.
pub fn decode(payload: &[u8]) -> Option<LeasePayload> {
    let (header, body) = payload.split_at_checked(HEADER_BYTES)?;
    let count = usize::from(header[5]);
    let is_valid_count = (1..=MAX_MESSAGES).contains(&count) && body.len() == count * MESSAGE_BYTES;
    if header[0] != LAYOUT_VERSION || !is_valid_count {
        return None;
    }
    let plan_digest = u32::from_le_bytes(header[1..5].try_into().ok()?);
    let messages = body.chunks_exact(MESSAGE_BYTES).map(decode_message).collect::<Option<Vec<_>>>()?;
    Some(LeasePayload { plan_digest, messages })
}

fn decode_message(bytes: &[u8]) -> Option<ClassMessage> {
    let class = usize::from(bytes[0] & !GRANT_FLAG);
    let incarnation = u32::from_le_bytes(bytes[1..5].try_into().ok()?);
    let number = u32::from_le_bytes(bytes[5..9].try_into().ok()?);
    let amount = u64::from_le_bytes(bytes[9..17].try_into().ok()?);
    let message = if bytes[0] & GRANT_FLAG != 0 {
        LeaseMessage::Grant(LeaseGrant { incarnation, number, amount })
    } else {
        LeaseMessage::Request(LeaseRequest { incarnation, number, wanted: amount })
    };
    Some(ClassMessage { class, message })
}
