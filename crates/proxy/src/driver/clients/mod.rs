//! Client connections: reads requests for the engine from the clients' bytes, and writes the responses.
//!
//! - `listeners`: listening for connections and accepting them
//! - `connections`: readiness, time-outs and the end of a connection
//! - `memory`: the memory that clients make the process hold
//! - `requests`: request heads, routes, and passing requests to the engine
//! - `bodies`: the bodies of requests
//! - `responses`: responses that the proxy itself generates, and responses of servers

mod bodies;
mod connections;
mod listeners;
mod memory;
mod requests;
mod responses;

use super::ConnectionId;
use super::timers::StateTimeout;
use http::StatusCode;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{Socket, TurnUsage, WRITE_BUFFER_HIGH_WATERMARK};
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConnection;

/// During a drain, the time within which a connection that has carried no request yet must begin its first
/// one.
const FIRST_REQUEST_TIMEOUT: Micros = 1_000_000;

/// A client connection.
pub(super) struct Client {
    generation: u64,
    socket: Socket,
    http: ServerConnection,
    state: ClientState,
    /// Whether a request's head has arrived on this connection.
    has_received_request: bool,
    /// What the client has taken of the turn of the event loop.
    turn_usage: TurnUsage,
    /// Whether the client has closed its sending side. It may still read.
    is_half_closed: bool,
    timeout: StateTimeout,
    /// The phase that the running time-out is for, if one is running.
    timed_phase: Option<ClientPhase>,
    /// Since when the connection has been in its present phase.
    phase_since: Micros,
    /// What the account of clients' memory has been told, in bytes.
    stated_bytes: usize,
}

/// What a client connection's time-out limits. Each phase has its own time-out, which counts from the
/// beginning of the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientPhase {
    /// No byte of the connection's first request has arrived.
    AwaitingFirstRequest,
    /// The connection is between two requests.
    Idle,
    /// A request's head is arriving.
    ReceivingHead,
    /// A request's body is arriving.
    ReceivingBody,
    /// The last response is being written.
    Closing,
    /// The last response is written, and what the client still sends is dropped.
    Lingering,
}

/// The state of a client connection.
enum ClientState {
    /// Between two requests, or while a request's head is arriving.
    Idle,
    /// A request's head has arrived; its body is still arriving.
    ReceivingBody(Box<PendingRequest>),
    /// The request has been passed to the engine, and its response is not complete.
    AwaitingResponse(RequestId),
    /// The last response is being written.
    Closing,
    /// The last response is written and the sending side closed. For a while, what the client still sends is
    /// read and dropped: closing at once would reset the connection, and the response could be lost before
    /// the client reads it.
    Lingering,
}

/// A request whose body is still arriving, and which has not been passed to the engine.
struct PendingRequest {
    head: RequestHead,
    arrived_at: Micros,
    purpose: RequestPurpose,
    body: Vec<u8>,
}

/// What the proxy does with a request.
enum RequestPurpose {
    /// The request is routed to a server, as a request of this class.
    Route { class: usize },
    /// The request reports that an earlier response was wrong.
    ResponseReport,
    /// The proxy itself sends this response once the request is complete.
    RespondWithError { status: StatusCode, reason: &'static str },
}

/// A request that has been passed to the engine: what is needed to send it, and where its response goes.
pub(super) struct InFlightRequest {
    client: ConnectionId,
    pub(super) class: usize,
    /// The head in the form in which it is sent to servers.
    pub(super) head: Vec<u8>,
    /// Whether the request's method is HEAD.
    pub(super) is_head_request: bool,
    /// The buffered part of the body. Once `is_body_complete` is set this is the whole body, unless a part of
    /// it was sent to a server without being buffered.
    pub(super) body: Vec<u8>,
    pub(super) is_chunked: bool,
    /// Whether the body is complete.
    pub(super) is_body_complete: bool,
    /// The slab key of each attempt's connection, indexed by the attempt's number; `None` for an attempt that
    /// is on no connection.
    pub(super) connections: Vec<Option<usize>>,
    /// The slab key of the server connection whose response is being streamed to the client.
    pub(super) streaming_from: Option<usize>,
}

impl Client {
    /// Returns the phase that the time-out limits; `None` while a response is awaited, whose time the engine
    /// limits.
    fn phase(&self) -> Option<ClientPhase> {
        match &self.state {
            ClientState::AwaitingResponse(_) => None,
            ClientState::ReceivingBody(_) => Some(ClientPhase::ReceivingBody),
            ClientState::Idle if self.http.is_receiving() => Some(ClientPhase::ReceivingHead),
            ClientState::Idle if self.has_received_request => Some(ClientPhase::Idle),
            ClientState::Idle => Some(ClientPhase::AwaitingFirstRequest),
            ClientState::Closing => Some(ClientPhase::Closing),
            ClientState::Lingering => Some(ClientPhase::Lingering),
        }
    }

    /// Whether no response is pending and no byte of a further request has arrived.
    fn is_between_requests(&self) -> bool {
        matches!(self.state, ClientState::Idle) && self.http.is_idle()
    }

    /// Whether the client reads its response more slowly than the response arrives.
    pub(super) fn has_write_backlog(&self) -> bool {
        self.socket.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK
    }

    /// Takes the request whose body has been arriving. The connection is idle from then on.
    fn take_pending_request(&mut self) -> Option<PendingRequest> {
        match std::mem::replace(&mut self.state, ClientState::Idle) {
            ClientState::ReceivingBody(pending) => Some(*pending),
            _ => None,
        }
    }

    /// Returns the request whose response is pending.
    fn request_awaiting_response(&self) -> Option<RequestId> {
        match self.state {
            ClientState::AwaitingResponse(id) => Some(id),
            _ => None,
        }
    }
}

impl InFlightRequest {
    /// Returns the slab key of the client's connection.
    pub(super) fn client_key(&self) -> usize {
        self.client.key
    }

    /// Returns the slab key of the latest attempt's connection, if that attempt is still on one.
    fn latest_connection(&self) -> Option<usize> {
        self.connections.last().copied().flatten()
    }
}
