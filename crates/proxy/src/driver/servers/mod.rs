//! Connections to servers: idle in a pool, or with one attempt in flight.
//!
//! How an attempt's end is reported to the decisions is settled here: `ConnectFailed` only while not one byte
//! of the request was written, `Rejected` only for the answer that the servers' protocol states was never
//! run, `Reset` for a connection that was lost after that, whoever closed it and why.
//!
//! - `attempts`: the start of an attempt, and its end by the engine
//! - `connections`: readiness, time-outs, the idle pool, and the loss of a connection
//! - `responses`: from a server's response to the client's

mod attempts;
mod connections;
mod responses;

use super::timers::StateTimeout;
use violetseam::interface::{RequestId, ServerId};
use violetseam_event_io::Socket;
use violetseam_http1::ResponseHead;
use violetseam_http1::client::ClientConnection;

/// A connection to a server.
pub(super) struct Server {
    generation: u64,
    id: ServerId,
    socket: Socket,
    http: ClientConnection,
    state: ConnectionState,
    timeout: StateTimeout,
}

/// The state of a connection to a server.
enum ConnectionState {
    /// Not established yet; nothing has been written.
    Connecting(ActiveAttempt),
    /// The request is being written, or its response read.
    Busy(ActiveAttempt),
    /// The rest of the response is read and dropped; once it is complete the connection can be used again.
    Discarding { body_bytes: usize },
    /// In the pool, ready for an attempt.
    Idle,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    /// The attempt's number within its request.
    attempt: usize,
}

/// The attempt on a connection.
struct ActiveAttempt {
    id: AttemptId,
    /// At least one byte of the request has been written.
    has_written: bool,
    response: ResponseState,
}

/// How much of an attempt's response has arrived.
enum ResponseState {
    /// Nothing, or a part of its head.
    Awaited,
    /// The head has arrived; the body is buffered until it is complete.
    Buffered { head: Box<ResponseHead>, body: Vec<u8> },
    /// The response is passed on to the client as it arrives.
    Streaming,
}

impl ActiveAttempt {
    /// An attempt of which nothing has been written yet.
    fn new(id: AttemptId) -> Self {
        ActiveAttempt { id, has_written: false, response: ResponseState::Awaited }
    }
}

impl ResponseState {
    fn is_streaming(&self) -> bool {
        matches!(self, ResponseState::Streaming)
    }
}

impl Server {
    /// Whether no attempt is on it.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Idle | ConnectionState::Discarding { .. })
    }

    /// Whether the beginning of a request has been queued on it, so that the rest of the body may follow.
    pub fn has_request(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }

    /// How many bytes of the write buffer have not been written yet.
    pub fn unwritten_bytes(&self) -> usize {
        self.socket.unwritten_bytes()
    }

    /// The buffer of bytes to be written.
    pub fn write_buffer(&mut self) -> &mut Vec<u8> {
        self.socket.write_buffer()
    }

    fn active(&self) -> Option<&ActiveAttempt> {
        match &self.state {
            ConnectionState::Connecting(active) | ConnectionState::Busy(active) => Some(active),
            ConnectionState::Discarding { .. } | ConnectionState::Idle => None,
        }
    }

    fn active_mut(&mut self) -> Option<&mut ActiveAttempt> {
        match &mut self.state {
            ConnectionState::Connecting(active) | ConnectionState::Busy(active) => Some(active),
            ConnectionState::Discarding { .. } | ConnectionState::Idle => None,
        }
    }
}
