//! Units and messages that both protocols use.

/// A time or a duration in microseconds, by a member's own monotonic clock.
pub type Micros = u64;

/// A rate in thousandths of a token per second.
pub type Rate = u64;

/// A datagram that the caller is to send to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Position of the member that is to receive it.
    pub to: usize,
    /// The datagram's payload, at most 240 bytes.
    pub payload: Vec<u8>,
}
