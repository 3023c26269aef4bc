//! One query to discovery and its response, as an exchange on an HTTP connection.

use std::io::ErrorKind;
use thiserror::Error;
use violetseam::interface::Micros;
use violetseam_event_io::Socket;
use violetseam_http1::client::ClientConnection;
use violetseam_platform_protocol::ListError;
use violetseam_platform_protocol::discovery::MAX_RESPONSE_BYTES;

/// The status of a response that carries a list.
const STATUS_OK: u16 = 200;

/// What a query requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// The full list.
    FullList,
    /// A watch: the changes since this version, as soon as there are any.
    ChangesSince(u64),
}

/// One query and its response.
pub(super) struct Exchange {
    /// Distinguishes this exchange from earlier ones. An exchange on a reused connection keeps that
    /// connection's generation.
    pub generation: u64,
    pub socket: Socket,
    pub http: ClientConnection,
    pub body: Vec<u8>,
    /// The status of the response, once its head has arrived.
    pub status: Option<u16>,
    /// When the exchange times out. Timers of earlier exchanges on the same connection may still fire before
    /// that.
    pub timeout_at: Micros,
    pub started_at: Micros,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// Whether the exchange is a watch that directly follows the response to a watch on the same connection, so
    /// that no change is missed. A watch after a full list is a new one, which the service may decline before
    /// it begins.
    pub continues_watch: bool,
    /// Whether the exchange is a watch that directly follows any response on the same connection, so that the
    /// service is known to respond.
    pub follows_response: bool,
    pub query: Query,
}

/// Why a query brought no list.
#[derive(Debug, Error)]
pub(super) enum QueryFailure {
    /// No socket was available, or there is no route from this machine.
    #[error("could not start a connection")]
    NotStarted,
    /// No process listens at the address.
    #[error("connection refused")]
    ConnectionRefused,
    /// The connection was not established for another reason.
    #[error("could not establish a connection")]
    NotConnected,
    /// The service closed the connection before its response was complete.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The connection was lost.
    #[error("connection lost")]
    Reset,
    /// The status of the response is not 200.
    #[error("query declined: response status is not {STATUS_OK}")]
    Declined,
    /// No complete response arrived in time.
    #[error("no complete response in time")]
    TimedOut,
    /// The response is longer than the limit.
    #[error("response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The response is not valid HTTP.
    #[error("response is not valid HTTP: {0}")]
    InvalidHttp(&'static str),
    /// The response contains no valid list.
    #[error("response contains no usable server list: {0}")]
    InvalidList(#[from] ListError),
    /// The service's version is lower than the local one.
    #[error("the service's list version is lower than the local one")]
    VersionReset,
    /// The watch was answered immediately and without changes.
    #[error("watch answered immediately without changes")]
    EmptyWatch,
}

/// What a failed query shows about the local server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListEvidence {
    /// The watch was alive until now, so all earlier changes have arrived on it.
    WatchAlive,
    /// Discovery was down when the query began, and sent changes to no proxy.
    ServiceDown,
    /// A part of a list has arrived. The service counts the list as received, although it cannot be used.
    PartialList,
    /// The connection was lost while a response was due. The service may have written one, which then counts
    /// as received.
    ResponseLost,
    /// The query got no response, although the service may be up. Changes may have been missed.
    Unanswered,
}

impl Exchange {
    /// Creates an exchange on a new connection, before its query is written.
    pub fn new(generation: u64, socket: Socket, query: Query) -> Self {
        Exchange {
            generation,
            socket,
            http: ClientConnection::new(violetseam_http1::Limits::default()),
            body: Vec::new(),
            status: None,
            timeout_at: 0,
            started_at: 0,
            is_connected: false,
            continues_watch: false,
            follows_response: false,
            query,
        }
    }

    /// Whether the status of the response shows that it carries a list.
    pub fn has_ok_status(&self) -> bool {
        self.status == Some(STATUS_OK)
    }

    /// Writes the query once the connection is established.
    pub fn flush_query(&mut self) -> Result<(), QueryFailure> {
        if let Some(error) = self.socket.connect_error() {
            return Err(match error.kind() {
                _ if self.is_connected => QueryFailure::Reset,
                ErrorKind::ConnectionRefused => QueryFailure::ConnectionRefused,
                _ => QueryFailure::NotConnected,
            });
        }
        self.is_connected = true;
        match self.socket.flush() {
            Ok(_) => Ok(()),
            Err(_) => Err(QueryFailure::Reset),
        }
    }

    /// Returns what the failure of this exchange shows about the local server list.
    pub fn list_evidence(&self, failure: &QueryFailure) -> ListEvidence {
        match failure {
            QueryFailure::Declined if self.continues_watch => ListEvidence::WatchAlive,
            QueryFailure::EmptyWatch => ListEvidence::WatchAlive,
            // Only a refused connection shows that the service is down. A query that is declined or reset,
            // even immediately, may have reached a service that is up but overloaded.
            QueryFailure::ConnectionRefused => ListEvidence::ServiceDown,
            _ if self.has_ok_status() => ListEvidence::PartialList,
            QueryFailure::Reset | QueryFailure::Closed | QueryFailure::InvalidHttp(_)
                if self.is_connected && self.status.is_none() =>
            {
                ListEvidence::ResponseLost
            }
            _ => ListEvidence::Unanswered,
        }
    }
}
