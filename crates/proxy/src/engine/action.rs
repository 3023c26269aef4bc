//! What the engine asks its driver to do.

use violetseam::interface::{Build, Micros, RequestId, ServerId, Verdict};

/// Something the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Send the request to a server.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
        /// The server.
        server: ServerId,
    },
    /// Close an attempt's connection; its end has been reported to the decision module already.
    CloseAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: usize,
    },
    /// Write a final response that no server gave.
    Respond {
        /// The request.
        request: RequestId,
        /// The response.
        response: LocalResponse,
    },
    /// The request is complete and none of its attempts is in flight any more.
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
        /// The build.
        build: Build,
        /// The stage.
        stage: u8,
        /// The verdict.
        verdict: Verdict,
    },
    /// Send peers a gossip message of the decision module.
    Gossip {
        /// One of them, or all.
        to: Option<usize>,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Send a peer a message about leases on the fleet's budgets.
    BudgetMessage {
        /// The peer.
        to: usize,
        /// The bytes.
        payload: Vec<u8>,
    },
    /// Write a line of the decision module to the log.
    Log(String),
}

/// A final response that the proxy gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalResponse {
    /// Rejected: it never ran, or repeating it is harmless.
    Rejected {
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Micros,
    },
    /// Failed: it may have run.
    Failed {
        /// No server answered in time.
        timed_out: bool,
    },
}
