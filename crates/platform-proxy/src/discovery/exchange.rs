//! One query to discovery and its answer, as an exchange on an HTTP connection.

use std::io::ErrorKind;
use thiserror::Error;
use violetseam::interface::Micros;
use violetseam_event_io::Socket;
use violetseam_http1::client::ClientConnection;
use violetseam_platform_protocol::ListError;

/// The status of an answer that carries a list.
const STATUS_OK: u16 = 200;

/// What a query asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// The full list.
    FullList,
    /// A watch: the changes since this version, as soon as there are any.
    ChangesSince(u64),
}

/// One exchange.
pub(super) struct Exchange {
    /// Tells it from earlier exchanges; one on a connection that is used again keeps that connection's
    /// number.
    pub generation: u64,
    pub socket: Socket,
    pub http: ClientConnection,
    pub body: Vec<u8>,
    /// The answer's status, once its head has arrived.
    pub status: Option<u16>,
    /// When it times out; timers of earlier exchanges on the connection may still fire.
    pub timeout_at: Micros,
    pub started_at: Micros,
    /// The connection is up.
    pub is_connected: bool,
    /// It is a watch that directly follows an answer on the same connection, so that no change is missed.
    pub is_renewal: bool,
    pub query: Query,
}

/// Why a query brought no list.
#[derive(Debug, Error)]
pub(super) enum QueryFailure {
    /// No socket, or no route from this machine.
    #[error("no connection could be begun")]
    NotStarted,
    /// Nobody listens at the address.
    #[error("connection refused")]
    ConnectionRefused,
    /// The connection did not come up for another reason.
    #[error("no connection")]
    NotConnected,
    /// The service closed the connection before its answer was complete.
    #[error("closed")]
    Closed,
    /// The connection was lost.
    #[error("connection lost")]
    Reset,
    /// The answer's status is not 200.
    #[error("declined")]
    Declined,
    /// No complete answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer is longer than the limit.
    #[error("an answer over the limit")]
    TooLong,
    /// The answer is not valid HTTP.
    #[error("{0}")]
    InvalidHttp(&'static str),
    /// The answer holds no valid list.
    #[error("{0}")]
    InvalidList(#[from] ListError),
    /// The service's version is lower than the one held.
    #[error("versions counted anew")]
    VersionReset,
    /// The watch was answered at once and without changes.
    #[error("a watch that answers with nothing new")]
    EmptyWatch,
}

/// What a failed query shows about the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListEvidence {
    /// The watch was alive until now: all earlier changes have arrived on it.
    WatchAlive,
    /// Discovery was down when the query began, and sent no change to anybody.
    ServiceDown,
    /// A part of a list has arrived: the service takes it as received although it cannot be used.
    PartialList,
    /// Nothing.
    None,
}

impl Exchange {
    /// An exchange on a new connection, before its query is written.
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
            is_renewal: false,
            query,
        }
    }

    /// Whether the answer's status promises a list.
    pub fn has_ok_status(&self) -> bool {
        self.status == Some(STATUS_OK)
    }

    /// Writes the query once the connection is up.
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

    /// What the failure of this exchange shows about the list held.
    pub fn list_evidence(&self, failure: &QueryFailure) -> ListEvidence {
        match failure {
            QueryFailure::Declined if self.is_renewal => ListEvidence::WatchAlive,
            QueryFailure::EmptyWatch => ListEvidence::WatchAlive,
            // A query that is declined or reset, even at once, may have met a service that is up but
            // overloaded.
            QueryFailure::ConnectionRefused => ListEvidence::ServiceDown,
            _ if self.has_ok_status() => ListEvidence::PartialList,
            _ => ListEvidence::None,
        }
    }
}
