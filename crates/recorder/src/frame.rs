//! The frames of a recording and their encoding.

use serde::{Deserialize, Serialize};
use violetseam::interface::*;

/// The version of the recording format.
pub(crate) const VERSION: u8 = 1;
/// The bytes that each segment starts with: the name of the format and its version.
pub(crate) const MAGIC: [u8; 5] = [b'V', b'S', b'F', b'R', VERSION];
/// The maximum length of a frame's content that a reader accepts, in bytes. A list of 20,000 servers is
/// shorter.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;
/// The length of a frame's header, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 8;

/// One frame. The order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A decision module was started.
    Start {
        /// The module's settings.
        settings: Box<RecordedSettings>,
        /// The seed of the module's random numbers.
        seed: u64,
    },
    /// An event was given to the module, which returned these actions.
    Event {
        /// The module's clock at the event, in microseconds.
        now: Micros,
        /// The event that was given to the module.
        event: OwnedEvent,
        /// The actions that the module returned.
        actions: Vec<Action>,
    },
    /// The recording has reached its size limit. No frame follows.
    Full,
}

/// Recorded settings. They are compared by their debug output, as [`Settings`] does not implement
/// `PartialEq`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedSettings(pub Settings);

impl PartialEq for RecordedSettings {
    fn eq(&self, other: &Self) -> bool {
        format!("{:?}", self.0) == format!("{:?}", other.0)
    }
}

/// An [`Event`] that owns its data. The order of variants and fields is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnedEvent {
    /// See [`Event::ServerList`].
    ServerList {
        /// What the entries are: the whole list, a saved list or changes; none for a failed call.
        kind: ListKind,
        /// The listed servers.
        entries: Vec<ServerEntry>,
    },
    /// See [`Event::Request`].
    Request(Request),
    /// See [`Event::Timer`].
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// See [`Event::AttemptEnded`].
    AttemptEnded(AttemptEnd),
    /// See [`Event::StreamStarted`].
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// See [`Event::AnswerFlagged`].
    AnswerFlagged {
        /// The server that gave the answer.
        server: ServerId,
        /// The request's class.
        class: usize,
        /// The time since the attempt was sent, in microseconds.
        since: Micros,
    },
    /// See [`Event::ClientDisconnected`].
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// See [`Event::Release`].
    Release(ReleaseStatus),
    /// See [`Event::VoteReply`].
    VoteReply {
        /// The outcome of the vote.
        outcome: Outcome,
        /// The release status in the reply.
        release: Option<ReleaseStatus>,
    },
    /// See [`Event::PeerMessage`].
    PeerMessage {
        /// The number of the peer that sent it.
        from: usize,
        /// The message's payload.
        payload: Vec<u8>,
    },
    /// See [`Event::HealthChecked`].
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// The outcome of the check.
        outcome: Outcome,
    },
    /// See [`Event::LoadReport`].
    LoadReport {
        /// The build that the report is about.
        build: Build,
        /// The request class that the report is about.
        class: usize,
        /// The number of attempts.
        attempts: u32,
        /// The number of failed attempts.
        failed: u32,
        /// The mean latency of the attempts that did not fail, in microseconds.
        mean: Micros,
        /// The time since the report's period ended, in microseconds.
        age: Micros,
    },
    /// See [`Event::Operator`].
    Operator(OperatorCommand),
    /// See [`Event::ReadyToSend`].
    ReadyToSend {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// See [`Event::ListLease`].
    ListLease {
        /// The end of the lease on the module's clock, in microseconds.
        until: Micros,
    },
    /// See [`Event::ShutdownAt`].
    ShutdownAt {
        /// The time on the module's clock until which requests are answered, in microseconds.
        at: Micros,
    },
}

impl PartialEq for OwnedEvent {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl From<&Event<'_>> for OwnedEvent {
    fn from(event: &Event<'_>) -> Self {
        match *event {
            Event::ServerList { kind, entries } => OwnedEvent::ServerList { kind, entries: entries.to_vec() },
            Event::Request(data) => OwnedEvent::Request(data),
            Event::Timer { token } => OwnedEvent::Timer { token },
            Event::AttemptEnded(data) => OwnedEvent::AttemptEnded(data),
            Event::StreamStarted { request, attempt } => OwnedEvent::StreamStarted { request, attempt },
            Event::AnswerFlagged { server, class, since } => {
                OwnedEvent::AnswerFlagged { server, class, since }
            }
            Event::ClientDisconnected { request } => OwnedEvent::ClientDisconnected { request },
            Event::Release(data) => OwnedEvent::Release(data),
            Event::VoteReply { outcome, release } => OwnedEvent::VoteReply { outcome, release },
            Event::PeerMessage { from, payload } => {
                OwnedEvent::PeerMessage { from, payload: payload.to_vec() }
            }
            Event::HealthChecked { server, outcome } => OwnedEvent::HealthChecked { server, outcome },
            Event::LoadReport { build, class, attempts, failed, mean, age } => {
                OwnedEvent::LoadReport { build, class, attempts, failed, mean, age }
            }
            Event::Operator(data) => OwnedEvent::Operator(data),
            Event::ReadyToSend { request, attempt } => OwnedEvent::ReadyToSend { request, attempt },
            Event::ListLease { until } => OwnedEvent::ListLease { until },
            Event::ShutdownAt { at } => OwnedEvent::ShutdownAt { at },
        }
    }
}

impl OwnedEvent {
    /// Borrows the event in the form that the decision module takes.
    pub fn event(&self) -> Event<'_> {
        match *self {
            OwnedEvent::ServerList { kind, ref entries } => Event::ServerList { kind, entries },
            OwnedEvent::Request(data) => Event::Request(data),
            OwnedEvent::Timer { token } => Event::Timer { token },
            OwnedEvent::AttemptEnded(data) => Event::AttemptEnded(data),
            OwnedEvent::StreamStarted { request, attempt } => Event::StreamStarted { request, attempt },
            OwnedEvent::AnswerFlagged { server, class, since } => {
                Event::AnswerFlagged { server, class, since }
            }
            OwnedEvent::ClientDisconnected { request } => Event::ClientDisconnected { request },
            OwnedEvent::Release(data) => Event::Release(data),
            OwnedEvent::VoteReply { outcome, release } => Event::VoteReply { outcome, release },
            OwnedEvent::PeerMessage { from, ref payload } => Event::PeerMessage { from, payload },
            OwnedEvent::HealthChecked { server, outcome } => Event::HealthChecked { server, outcome },
            OwnedEvent::LoadReport { build, class, attempts, failed, mean, age } => {
                Event::LoadReport { build, class, attempts, failed, mean, age }
            }
            OwnedEvent::Operator(data) => Event::Operator(data),
            OwnedEvent::ReadyToSend { request, attempt } => Event::ReadyToSend { request, attempt },
            OwnedEvent::ListLease { until } => Event::ListLease { until },
            OwnedEvent::ShutdownAt { at } => Event::ShutdownAt { at },
        }
    }

    /// The plural name of the event's kind, as the `replay` command prints it.
    pub fn kind(&self) -> &'static str {
        match self {
            OwnedEvent::ServerList { .. } => "server lists",
            OwnedEvent::Request(..) => "requests",
            OwnedEvent::Timer { .. } => "timers",
            OwnedEvent::AttemptEnded(..) => "attempts ended",
            OwnedEvent::StreamStarted { .. } => "streams started",
            OwnedEvent::AnswerFlagged { .. } => "answers flagged",
            OwnedEvent::ClientDisconnected { .. } => "clients gone",
            OwnedEvent::Release(..) => "stage news",
            OwnedEvent::VoteReply { .. } => "vote replies",
            OwnedEvent::PeerMessage { .. } => "peer messages",
            OwnedEvent::HealthChecked { .. } => "probes",
            OwnedEvent::LoadReport { .. } => "platform counts",
            OwnedEvent::Operator(..) => "operators' words",
            OwnedEvent::ReadyToSend { .. } => "attempts about to leave",
            OwnedEvent::ListLease { .. } => "leases on the list",
            OwnedEvent::ShutdownAt { .. } => "ends of the process",
        }
    }
}

/// The header of a frame: length and CRC-32 of its content, each four bytes, little-endian.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader {
    /// The length of the frame's content, in bytes.
    pub length: usize,
    /// The CRC-32 of the frame's content.
    pub checksum: u32,
}

impl FrameHeader {
    fn of(content: &[u8]) -> FrameHeader {
        FrameHeader { length: content.len(), checksum: crc32fast::hash(content) }
    }

    pub fn decode(bytes: [u8; FRAME_HEADER_BYTES]) -> FrameHeader {
        let [length @ .., c0, c1, c2, c3] = bytes;
        FrameHeader {
            length: u32::from_le_bytes(length) as usize,
            checksum: u32::from_le_bytes([c0, c1, c2, c3]),
        }
    }

    fn encode(self) -> [u8; FRAME_HEADER_BYTES] {
        let mut bytes = [0; FRAME_HEADER_BYTES];
        bytes[..4].copy_from_slice(&(self.length as u32).to_le_bytes());
        bytes[4..].copy_from_slice(&self.checksum.to_le_bytes());
        bytes
    }
}

/// Appends a frame to `out`, with its header.
pub(crate) fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let start = out.len();
    let content_start = start + FRAME_HEADER_BYTES;
    out.resize(content_start, 0);
    // Postcard can encode every type in a frame, and appending to a vector cannot fail.
    if let Ok(extended) = postcard::to_extend(frame, std::mem::take(out)) {
        *out = extended;
    }
    let header = FrameHeader::of(&out[content_start..]);
    out[start..content_start].copy_from_slice(&header.encode());
}
