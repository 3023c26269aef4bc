//! What the simulated servers, the clients, the discovery service and the release service observed.

use serde::{Deserialize, Serialize};

/// A server's status on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatus {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer on the list.
    Removed,
}

/// Where a build's release stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// On trial.
    Trial,
    /// Being rolled back.
    RollingBack,
    /// Released.
    Released,
    /// Withdrawn.
    Withdrawn,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalResponse {
    /// A server's response.
    Served,
    /// Rejected by the proxy: it did not run, or repeating it is harmless.
    Rejected,
    /// Failed.
    Failed,
    /// No response: the connection closed.
    ConnectionClosed,
}

/// A start of a server, and how fast it may be sent work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStart {
    /// Work that it does in a second once its slow start is over, in microseconds of a standard core.
    pub capacity: f64,
    /// The share of its capacity that it has at the start ...
    pub slow_start_floor: f64,
    /// ... which rises evenly to all of it over this span, in microseconds.
    pub slow_start_span: u64,
}

/// An attempt as its server saw it arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptArrival {
    /// The attempt's number, which its [`AttemptEnd`] repeats.
    pub attempt: u64,
    /// The client's request.
    pub request: u64,
    /// The proxy that sent it.
    pub proxy: u32,
    /// The server.
    pub server: u64,
    /// The build that the server runs.
    pub build: u16,
    /// The server's zone.
    pub zone: u16,
    /// The server's cell.
    pub cell: u16,
    /// The request's class.
    pub class: usize,
    /// The request's key; 0: none.
    pub key: u64,
    /// Its work, in microseconds of a standard core.
    pub work: u64,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered well.
    Ok,
    /// Answered with an error after it may have run.
    Error,
    /// Rejected by the server before it ran, with a response that says so.
    NotRun,
    /// The proxy closed the connection, or the server died.
    Lost,
}

/// The end of an attempt at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The attempt's number.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// A proxy's call for the endpoint list, as the discovery service saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointListCall {
    /// A watch began and was answered.
    WatchStarted,
    /// The complete list was asked for and sent.
    ListFetched,
    /// A call that got no good response.
    Failed,
    /// A watch ended.
    WatchEnded,
}

/// One thing that was observed.
///
/// The record file holds variants and fields by position: their order and types are its format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObservedEvent {
    /// A client has sent a complete request.
    RequestSent {
        /// The request.
        request: u64,
        /// The proxy that it was sent to.
        proxy: u32,
        /// Its class.
        class: usize,
        /// When its client gives up, in microseconds.
        deadline: u64,
    },
    /// A client got a complete final response, or its connection closed without one.
    ResponseReceived {
        /// The request.
        request: u64,
        /// How it ended.
        response: FinalResponse,
    },
    /// A client gave up and closed its connection.
    ClientDisconnected {
        /// The request.
        request: u64,
    },
    /// A client got bytes that belong to no response.
    UnexpectedBytes {
        /// The proxy that sent them.
        proxy: u32,
    },
    /// A server read an attempt's head.
    AttemptArrived(AttemptArrival),
    /// An attempt ended at its server.
    AttemptEnded(AttemptEnd),
    /// A server started.
    ServerStarted {
        /// The server.
        server: u64,
        /// How fast it may be sent work.
        start: ServerStart,
    },
    /// The discovery service lists a server with this status from now on.
    ServerListed {
        /// The server.
        server: u64,
        /// Its status.
        status: ServerStatus,
    },
    /// The discovery service sent a server's status to a proxy.
    ServerStatusSent {
        /// The proxy.
        proxy: u32,
        /// The server.
        server: u64,
        /// Its status.
        status: ServerStatus,
        /// When it started, as sent; in microseconds.
        started: Option<u64>,
    },
    /// A proxy called the discovery service.
    EndpointListCalled {
        /// The proxy.
        proxy: u32,
        /// The call.
        call: EndpointListCall,
    },
    /// The release service sent the release status to a proxy.
    ReleaseStatusSent {
        /// The proxy.
        proxy: u32,
        /// The newest build.
        build: u16,
        /// Its stage.
        stage: u8,
        /// Its phase.
        phase: Phase,
        /// The exposure cap.
        cap: f64,
    },
    /// A proxy was killed: its requests in flight are excused.
    ProxyKilled {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy was paused: it receives nothing and does nothing.
    ProxyPaused {
        /// The proxy.
        proxy: u32,
    },
    /// A paused proxy goes on with the state that it had.
    ProxyResumed {
        /// The proxy.
        proxy: u32,
    },
}

/// An event and when it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// In microseconds, on the one clock of the simulated site.
    pub at: u64,
    /// What was observed.
    pub event: ObservedEvent,
}
