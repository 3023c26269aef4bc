//! Counters of requests and attempts.

/// Counts of how requests and attempts ended, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub received: u64,
    /// Answered by a server.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub disconnected: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Final answers that the decision module left out until they were overdue; a fault if ever over 0.
    pub overdue: u64,
    /// Attempts that the decision module asked for where the process may send nothing at all; a fault if ever over 0.
    pub violations: u64,
    /// Attempts that had been started and were cancelled at the moment of writing.
    pub cancelled_before_send: u64,
    /// Requests that arrived while the server list might not be used.
    pub without_server_list: u64,
}
