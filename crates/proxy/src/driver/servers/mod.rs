//! Connections to servers, each either idle in a pool or with one attempt in flight.
//!
//! This module decides how the end of an attempt is reported to the decision module: as `ConnectFailed` only
//! if no byte of the request was written, as `Rejected` only for a response that, by the servers' protocol,
//! states that the request was not run, and as `Reset` if the connection was lost after a byte was written,
//! whoever closed it and for whatever reason.
//!
//! - `attempts`: starts attempts, and ends them for the engine
//! - `connections`: readiness, time-outs, the idle pool, and the loss of a connection
//! - `responses`: reads servers' responses and passes them on to clients

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
    /// The connection is not established yet; nothing has been written.
    Connecting(ActiveAttempt),
    /// The request is being written, or its response is being read.
    Busy(ActiveAttempt),
    /// The rest of a response is read and dropped. Once it is complete the connection can be reused.
    Discarding { body_bytes: usize },
    /// The connection is in the idle pool, ready for an attempt.
    Idle,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    /// The attempt's number within its request.
    attempt: usize,
}

/// The attempt that a connection carries.
struct ActiveAttempt {
    id: AttemptId,
    /// Whether at least one byte of the request has been written.
    has_written_bytes: bool,
    response: ResponseState,
}

/// How much of an attempt's response has arrived, and how it is handled.
enum ResponseState {
    /// Nothing has arrived, or only a part of the head.
    Awaited,
    /// The head has arrived; the body is buffered until it is complete.
    Buffered { head: Box<ResponseHead>, body: Vec<u8> },
    /// The response is passed on to the client as it arrives.
    Streaming,
}

impl ActiveAttempt {
    /// Creates an attempt of which nothing has been written yet.
    fn new(id: AttemptId) -> Self {
        ActiveAttempt { id, has_written_bytes: false, response: ResponseState::Awaited }
    }
}

impl ResponseState {
    fn is_streaming(&self) -> bool {
        matches!(self, ResponseState::Streaming)
    }
}

impl Server {
    /// Whether the connection carries no attempt.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, ConnectionState::Idle | ConnectionState::Discarding { .. })
    }

    /// Whether the beginning of a request has been queued on the connection, so that the rest of its body may
    /// follow.
    pub fn has_request(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_))
    }

    /// Returns how many bytes of the write buffer have not been written yet.
    pub fn unwritten_bytes(&self) -> usize {
        self.socket.unwritten_bytes()
    }

    /// Returns the buffer of bytes to be written.
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
