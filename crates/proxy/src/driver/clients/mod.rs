//! Client connections: from bytes to a complete request for the engine, and from a response to bytes.
//!
//! - `listeners`: listening and accepting
//! - `connections`: readiness, time-outs and the end of a connection
//! - `requests`: heads, routes, and the passing of requests to the engine
//! - `bodies`: bodies of requests
//! - `responses`: the proxy's own responses and those of servers

mod bodies;
mod connections;
mod listeners;
mod requests;
mod responses;

use super::ConnectionId;
use super::timers::StateTimeout;
use http::StatusCode;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{Socket, WRITE_BUFFER_HIGH_WATERMARK};
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConnection;

/// While draining, a connection that has carried no request yet may take so long to begin its first one.
const FIRST_REQUEST_TIMEOUT: Micros = 1_000_000;

/// A client connection.
pub(super) struct Client {
    generation: u64,
    socket: Socket,
    http: ServerConnection,
    state: ClientState,
    /// A request's head has arrived on it.
    has_received_request: bool,
    /// The client has closed its write side; it may still read.
    half_closed: bool,
    timeout: StateTimeout,
}

/// The state of a client connection.
enum ClientState {
    /// Between requests, or within a head.
    Idle,
    /// A head has arrived; its body is still arriving.
    ReceivingBody(Box<PendingRequest>),
    /// The engine has the request, and the response is not complete.
    AwaitingResponse(RequestId),
    /// The last response is being written.
    Closing,
    /// The last response is written and the write side closed. What the client still sends is read and
    /// dropped for a while: closing at once would reset the connection, and the response could be lost before
    /// it is read.
    Lingering,
}

/// A request whose body is not complete.
struct PendingRequest {
    head: RequestHead,
    arrived_at: Micros,
    purpose: RequestPurpose,
    body: Vec<u8>,
}

/// What a request is for.
enum RequestPurpose {
    /// It is routed to a server, as a request of this class.
    Route { class: usize },
    /// It reports an earlier response wrong.
    AnswerReport,
    /// It gets this response of the proxy's own, once it is complete.
    RespondWithError { status: StatusCode, reason: &'static str },
}

/// A request that the engine has: what it takes to send it, and where its response goes.
pub(super) struct InFlightRequest {
    client: ConnectionId,
    pub(super) class: usize,
    /// The head as servers get it.
    pub(super) head: Vec<u8>,
    /// The method is HEAD.
    pub(super) is_head_request: bool,
    /// The buffered part of the body; all of it once `is_body_complete`, unless a part went to a server
    /// unbuffered.
    pub(super) body: Vec<u8>,
    pub(super) is_chunked: bool,
    /// The body is complete.
    pub(super) is_body_complete: bool,
    /// Connections of the attempts, by the attempts' numbers.
    pub(super) connections: Vec<Option<usize>>,
    /// The connection whose response is being streamed to the client.
    pub(super) streaming_from: Option<usize>,
}

impl Client {
    /// Whether no response is pending and nothing of a next request has arrived.
    fn is_between_requests(&self) -> bool {
        matches!(self.state, ClientState::Idle) && self.http.is_idle()
    }

    /// Whether it reads its response more slowly than the response arrives.
    pub(super) fn has_write_backlog(&self) -> bool {
        self.socket.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK
    }

    /// Takes the request whose body has been arriving; the connection is idle from then on.
    fn take_pending_request(&mut self) -> Option<PendingRequest> {
        match std::mem::replace(&mut self.state, ClientState::Idle) {
            ClientState::ReceivingBody(pending) => Some(*pending),
            _ => None,
        }
    }

    /// The request whose response is pending.
    fn waiting_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse(id) => Some(id),
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
