//! Client connections: from bytes to a complete request for the engine, and from an answer to bytes.

mod connections;
mod listeners;
mod requests;
mod responses;

use super::ConnectionId;
use super::timers::StateTimeout;
use http::StatusCode;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{HIGH_WATER, Socket};
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConnection;

/// While draining, a connection that has carried no request yet may take so long to begin its first one.
const FIRST_REQUEST_TIMEOUT: Micros = 1_000_000;

/// A client connection.
pub(super) struct Client {
    generation: u64,
    socket: Socket,
    http: ServerConnection,
    state: State,
    /// A request's head has come on it.
    used: bool,
    /// The client closed its side; it may still read.
    half_closed: bool,
    timeout: StateTimeout,
}

/// What a client connection is doing.
enum State {
    /// Between requests, or within a head.
    Idle,
    /// A head has come; its body is on the way.
    Collecting(Box<PendingRequest>),
    /// The engine has the request.
    Waiting(RequestId),
    /// The last answer is being written.
    Closing,
    /// It is written and this side closed. What the client still sends is read and dropped for a while: to
    /// close at once would reset the connection, and the answer could be lost before it is read.
    Lingering,
}

/// A request whose body is not complete.
struct PendingRequest {
    head: RequestHead,
    arrived_at: Micros,
    purpose: RequestPurpose,
    body: Vec<u8>,
}

/// What becomes of a request.
enum RequestPurpose {
    /// It is routed as one of this class.
    Route { class: usize },
    /// It reports an answer wrong.
    AnswerReport,
    /// It gets this answer, once it is complete.
    Decline { status: StatusCode, reason: &'static str },
}

/// A request that the engine has: what it takes to send it, and where its answer goes.
pub(super) struct InFlightRequest {
    client: ConnectionId,
    pub(super) class: usize,
    /// The head as servers get it.
    pub(super) head: Vec<u8>,
    /// The method is HEAD.
    pub(super) is_head_request: bool,
    /// What is buffered of the body; all of it, unless the request grows.
    pub(super) body: Vec<u8>,
    pub(super) is_chunked: bool,
    /// The body is complete.
    pub(super) is_complete: bool,
    /// Connections of the attempts, by number.
    pub(super) connections: Vec<Option<usize>>,
    /// The connection whose answer is being streamed to the client.
    pub(super) streaming_from: Option<usize>,
}

impl Client {
    /// No answer is pending and nothing of a next request has come.
    fn is_between_requests(&self) -> bool {
        matches!(self.state, State::Idle) && self.http.is_idle()
    }

    /// It reads its answer slower than it comes.
    pub(super) fn is_slow(&self) -> bool {
        self.socket.unwritten() > HIGH_WATER
    }

    /// The request whose answer it waits for.
    fn waiting_request(&self) -> Option<RequestId> {
        match self.state {
            State::Waiting(id) => Some(id),
            _ => None,
        }
    }
}

impl InFlightRequest {
    /// The place of the client's connection.
    pub(super) fn client_key(&self) -> usize {
        self.client.key
    }

    /// The connection of the latest attempt, if that is still on one.
    fn latest_connection(&self) -> Option<usize> {
        self.connections.last().copied().flatten()
    }
}
