//! Units and messages that the lease protocol and the gossip protocol have in common.

/// A time or a duration in microseconds, on a member's own monotonic clock.
pub type Micros = u64;

/// A rate in thousandths of a token per second.
pub type Rate = u64;

/// A datagram for the caller to send to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The position of the recipient.
    pub to: usize,
    /// The payload of the datagram, at most 240 bytes.
    pub payload: Vec<u8>,
}
