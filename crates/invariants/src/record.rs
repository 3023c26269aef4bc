//! The events that the simulated servers, clients, discovery service and release service observed.

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

/// The phase of a build's release.
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
    /// The client got a server's response.
    Served,
    /// The proxy rejected the request: it did not run, or repeating it is harmless.
    Rejected,
    /// The request failed.
    Failed,
    /// The connection closed without a response.
    ConnectionClosed,
}

/// A server's start, with its capacity during and after slow start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStart {
    /// The work that the server does per second after its slow start, in microseconds of a standard core.
    pub capacity: f64,
    /// The share of its capacity that the server has when it starts.
    pub slow_start_floor: f64,
    /// The time over which that share rises linearly to 1, in microseconds.
    pub slow_start_span: u64,
}

/// An attempt as its server saw it arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptArrival {
    /// The attempt's number, by which its [`AttemptEnd`] refers to it.
    pub attempt: u64,
    /// The client's request.
    pub request: u64,
    /// The proxy that sent the attempt.
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
    /// The request's key; 0 if it has none.
    pub key: u64,
    /// The request's work, in microseconds of a standard core.
    pub work: u64,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The server sent a good response.
    Ok,
    /// The server sent an error, and the request may have run.
    Error,
    /// The server rejected the request before running it, and its response says so.
    NotRun,
    /// The proxy closed the connection, or the server crashed.
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
    /// A watch began and got a response.
    WatchStarted,
    /// The complete list was requested and sent.
    ListFetched,
    /// A call failed or got an error response.
    Failed,
    /// A watch ended.
    WatchEnded,
}

/// An observed event.
///
/// The record file identifies variants and fields by their position, so their order and types are part of its
/// format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObservedEvent {
    /// A client has sent a complete request.
    RequestSent {
        /// The request.
        request: u64,
        /// The proxy that the request was sent to.
        proxy: u32,
        /// The request's class.
        class: usize,
        /// When the client gives up, in microseconds.
        deadline: u64,
    },
    /// A client got a complete final response, or its connection closed without one.
    ResponseReceived {
        /// The request.
        request: u64,
        /// How the request ended.
        response: FinalResponse,
    },
    /// A client gave up waiting and closed its connection.
    ClientDisconnected {
        /// The request.
        request: u64,
    },
    /// A client received bytes that belong to no response.
    UnexpectedBytes {
        /// The proxy that sent them.
        proxy: u32,
    },
    /// A server read the request head of an attempt.
    AttemptArrived(AttemptArrival),
    /// An attempt ended at its server.
    AttemptEnded(AttemptEnd),
    /// A server started.
    ServerStarted {
        /// The server.
        server: u64,
        /// Its capacity during and after slow start.
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
        /// The server's start time as it was sent, in microseconds.
        started: Option<u64>,
    },
    /// The discovery service received a call of a proxy, or a watch ended.
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
    /// A proxy was killed: its requests in flight need no response.
    ProxyKilled {
        /// The proxy.
        proxy: u32,
    },
    /// A proxy was paused: it receives nothing and does nothing.
    ProxyPaused {
        /// The proxy.
        proxy: u32,
    },
    /// A paused proxy resumed with the state that it had.
    ProxyResumed {
        /// The proxy.
        proxy: u32,
    },
}

/// An event and the time at which it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The time in microseconds, on the single clock of the simulated site.
    pub at: u64,
    /// What was observed.
    pub event: ObservedEvent,
}
