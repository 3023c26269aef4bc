//! The actions that the engine asks its driver to perform.

use violetseam::interface::{Build, Micros, RequestId, ServerId, Verdict};

/// An action that the driver must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Start an attempt: send the request to a server.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The server to send it to.
        server: ServerId,
    },
    /// Close the connection of an attempt whose end has already been reported to the decision module.
    CloseAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Write a final response that the proxy itself generates.
    Respond {
        /// The request.
        request: RequestId,
        /// The response.
        response: LocalResponse,
    },
    /// Drop all state of a request: it is finished and has no attempt in flight.
    Forget {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the server list.
    WatchServerList,
    /// Fetch the whole server list once.
    FetchServerList,
    /// Send a vote to the release service.
    Vote {
        /// The build that the vote is about.
        build: Build,
        /// The stage of the build's release.
        stage: u8,
        /// The verdict.
        verdict: Verdict,
    },
    /// Send a gossip message of the decision module to peers.
    Gossip {
        /// The receiving peer's number; `None` for all peers.
        to: Option<usize>,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Send a peer a message about leases on the fleet's retry budgets.
    BudgetMessage {
        /// The receiving peer's number.
        to: usize,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Write a log line of the decision module.
    Log(String),
}

/// A final response that the proxy generates without a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalResponse {
    /// The request is rejected: no server ran it, or running it again does no harm.
    Rejected {
        /// How long the client should wait before it retries, in microseconds; 0 states no time.
        retry_after: Micros,
    },
    /// The request failed: a server may have run it.
    Failed {
        /// Whether it failed because no server answered in time.
        timed_out: bool,
    },
}
