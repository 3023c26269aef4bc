//! Lease requests and grants as the payload of one datagram of at most [`MAX_PAYLOAD_BYTES`].
//!
//! ```text
//! offset  bytes  field
//! 0       1      version of the layout, 1
//! 1       4      digest of the quota plan (little-endian, as all that follow): members answer each other only if
//!                they divide the same limits in the same way
//! 5       1      number of messages, 1 to 13
//! 6       17     each message: class, with the high bit set for a grant (1); incarnation (4); number (4); amount (8)
//! ```
//!
//! A payload that does not have exactly this form is rejected as a whole.

use crate::quota_leases::{LeaseGrant, LeaseRequest};

/// Bytes of a payload, at most: with a proxy's header and checksum, a datagram stays within 256.
pub const MAX_PAYLOAD_BYTES: usize = 240;
/// Messages in a payload, at most.
pub const MAX_MESSAGES: usize = (MAX_PAYLOAD_BYTES - HEADER_BYTES) / MESSAGE_BYTES;
/// Request classes that messages can name: their numbers are below this.
pub const MAX_CLASSES: usize = 128;

const LAYOUT_VERSION: u8 = 1;
const HEADER_BYTES: usize = 6;
const MESSAGE_BYTES: usize = 17;
/// The bit of the class byte that marks a grant.
const GRANT_FLAG: u8 = 0x80;

/// A request or a grant.
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
    /// The request class, below [`MAX_CLASSES`].
    pub class: usize,
    /// The message.
    pub message: LeaseMessage,
}

/// What a payload carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasePayload {
    /// Digest of the sender's quota plan.
    pub plan_digest: u32,
    /// The messages, 1 to [`MAX_MESSAGES`].
    pub messages: Vec<ClassMessage>,
}

/// Encodes messages; none if there are none, more than [`MAX_MESSAGES`], or one with a class of [`MAX_CLASSES`] or more.
pub fn encode(plan_digest: u32, messages: &[ClassMessage]) -> Option<Vec<u8>> {
    let class_out_of_range = messages.iter().any(|message| message.class >= MAX_CLASSES);
    if messages.is_empty() || messages.len() > MAX_MESSAGES || class_out_of_range {
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

/// Decodes a payload; none if it does not have the form that the module describes.
pub fn decode(payload: &[u8]) -> Option<LeasePayload> {
    let (header, body) = payload.split_at_checked(HEADER_BYTES)?;
    let count = usize::from(header[5]);
    let count_fits = (1..=MAX_MESSAGES).contains(&count) && body.len() == count * MESSAGE_BYTES;
    if header[0] != LAYOUT_VERSION || !count_fits {
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
