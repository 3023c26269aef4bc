//! What a recording is made of, and how a frame is laid out.

use serde::{Deserialize, Serialize};
use violetseam::interface::*;

/// First bytes of a recording.
pub const MAGIC: [u8; 5] = [b'V', b'S', b'F', b'R', 1];
/// The longest frame that is read; a roster of 20,000 servers stays under it.
pub const FRAME_MOST: usize = 4 << 20;
/// Bytes before a frame's content.
pub const FRAME_HEAD: usize = 8;

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A module's start.
    Start {
        /// Its settings.
        settings: Box<RecordedSettings>,
        /// Its seed.
        seed: u64,
    },
    /// An event and what came of it.
    Event {
        /// The clock given with it, in microseconds.
        now: Micros,
        /// The event.
        event: OwnedEvent,
        /// The actions.
        actions: Vec<Action>,
    },
    /// The bound was reached; nothing follows.
    Full,
}

/// Settings as recorded; compared by their text, as they hold floating-point figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedSettings(pub Settings);

impl PartialEq for RecordedSettings {
    fn eq(&self, other: &Self) -> bool {
        format!("{:?}", self.0) == format!("{:?}", other.0)
    }
}

/// An [`Event`] that owns what it carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnedEvent {
    /// See [`Event::ServerList`].
    ServerList(ListKind, Vec<ServerEntry>),
    /// See [`Event::Request`].
    Request(Request),
    /// See [`Event::Timer`].
    Timer(u64),
    /// See [`Event::AttemptEnded`].
    AttemptEnded(AttemptEnd),
    /// See [`Event::StreamStarted`].
    StreamStarted(RequestId, usize),
    /// See [`Event::AnswerFlagged`].
    AnswerFlagged(ServerId, usize, Micros),
    /// See [`Event::ClientDisconnected`].
    ClientDisconnected(RequestId),
    /// See [`Event::Release`].
    Release(ReleaseStatus),
    /// See [`Event::VoteReply`].
    VoteReply(Outcome, Option<ReleaseStatus>),
    /// See [`Event::PeerMessage`].
    PeerMessage(usize, Vec<u8>),
    /// See [`Event::HealthChecked`].
    HealthChecked(ServerId, Outcome),
    /// See [`Event::LoadReport`]: build, class, attempts, failed, mean, age.
    LoadReport(Build, usize, u32, u32, Micros, Micros),
    /// See [`Event::Operator`].
    Operator(OperatorCommand),
    /// See [`Event::ReadyToSend`].
    ReadyToSend(RequestId, usize),
    /// See [`Event::ListLease`].
    ListLease(Micros),
    /// See [`Event::ShutdownAt`].
    ShutdownAt(Micros),
}

impl PartialEq for OwnedEvent {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl OwnedEvent {
    /// A copy of an event.
    pub fn of(event: &Event<'_>) -> Self {
        match *event {
            Event::ServerList { kind, entries } => OwnedEvent::ServerList(kind, entries.to_vec()),
            Event::Request(request) => OwnedEvent::Request(request),
            Event::Timer { token } => OwnedEvent::Timer(token),
            Event::AttemptEnded(end) => OwnedEvent::AttemptEnded(end),
            Event::StreamStarted { request, attempt } => OwnedEvent::StreamStarted(request, attempt),
            Event::AnswerFlagged { server, class, since } => OwnedEvent::AnswerFlagged(server, class, since),
            Event::ClientDisconnected { request } => OwnedEvent::ClientDisconnected(request),
            Event::Release(news) => OwnedEvent::Release(news),
            Event::VoteReply { outcome, release: news } => OwnedEvent::VoteReply(outcome, news),
            Event::PeerMessage { from, payload } => OwnedEvent::PeerMessage(from, payload.to_vec()),
            Event::Operator(word) => OwnedEvent::Operator(word),
            Event::ReadyToSend { request, attempt } => OwnedEvent::ReadyToSend(request, attempt),
            Event::ListLease { until } => OwnedEvent::ListLease(until),
            Event::ShutdownAt { at } => OwnedEvent::ShutdownAt(at),
            Event::HealthChecked { server, outcome } => OwnedEvent::HealthChecked(server, outcome),
            Event::LoadReport { build, class, attempts, failed, mean, age } => {
                OwnedEvent::LoadReport(build, class, attempts, failed, mean, age)
            }
        }
    }

    /// Its kind, in words.
    pub fn kind(&self) -> &'static str {
        match self {
            OwnedEvent::ServerList(..) => "server lists",
            OwnedEvent::Request(..) => "requests",
            OwnedEvent::Timer(..) => "timers",
            OwnedEvent::AttemptEnded(..) => "attempts ended",
            OwnedEvent::StreamStarted(..) => "streams started",
            OwnedEvent::AnswerFlagged(..) => "answers flagged",
            OwnedEvent::ClientDisconnected(..) => "clients gone",
            OwnedEvent::Release(..) => "stage news",
            OwnedEvent::VoteReply(..) => "vote replies",
            OwnedEvent::PeerMessage(..) => "peer messages",
            OwnedEvent::HealthChecked(..) => "probes",
            OwnedEvent::LoadReport(..) => "platform counts",
            OwnedEvent::Operator(..) => "operators' words",
            OwnedEvent::ReadyToSend(..) => "attempts about to leave",
            OwnedEvent::ListLease(..) => "leases on the list",
            OwnedEvent::ShutdownAt(..) => "ends of the process",
        }
    }

    /// The event again.
    pub fn event(&self) -> Event<'_> {
        match *self {
            OwnedEvent::ServerList(kind, ref entries) => Event::ServerList { kind, entries },
            OwnedEvent::Request(request) => Event::Request(request),
            OwnedEvent::Timer(token) => Event::Timer { token },
            OwnedEvent::AttemptEnded(end) => Event::AttemptEnded(end),
            OwnedEvent::StreamStarted(request, attempt) => Event::StreamStarted { request, attempt },
            OwnedEvent::AnswerFlagged(server, class, since) => Event::AnswerFlagged { server, class, since },
            OwnedEvent::ClientDisconnected(request) => Event::ClientDisconnected { request },
            OwnedEvent::Release(news) => Event::Release(news),
            OwnedEvent::VoteReply(outcome, news) => Event::VoteReply { outcome, release: news },
            OwnedEvent::PeerMessage(from, ref payload) => Event::PeerMessage { from, payload },
            OwnedEvent::Operator(word) => Event::Operator(word),
            OwnedEvent::ReadyToSend(request, attempt) => Event::ReadyToSend { request, attempt },
            OwnedEvent::ListLease(until) => Event::ListLease { until },
            OwnedEvent::ShutdownAt(at) => Event::ShutdownAt { at },
            OwnedEvent::HealthChecked(server, outcome) => Event::HealthChecked { server, outcome },
            OwnedEvent::LoadReport(build, class, attempts, failed, mean, age) => {
                Event::LoadReport { build, class, attempts, failed, mean, age }
            }
        }
    }
}

/// Appends a frame with its head.
pub fn write_frame(out: &mut Vec<u8>, frame: &Frame) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD]);
    // Encoding into memory fails for no type here.
    if let Ok(longer) = postcard::to_extend(frame, std::mem::take(out)) {
        *out = longer;
    }
    let length = (out.len() - start - FRAME_HEAD) as u32;
    let sum = crc32fast::hash(&out[start + FRAME_HEAD..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + FRAME_HEAD].copy_from_slice(&sum.to_le_bytes());
}
