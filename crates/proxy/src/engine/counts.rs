//! Counters of requests and attempts.

/// Counts of requests and attempts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received.
    pub received: u64,
    /// Requests that a server answered.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected before the final response.
    pub disconnected: u64,
    /// Attempts that were started, without those cancelled before they were sent.
    pub attempts: u64,
    /// Requests that the decision module had not answered when their final response was overdue; above 0 it
    /// is a fault of the module.
    pub overdue: u64,
    /// Attempts that the decision module asked for when the process may send nothing at all; above 0 it is a
    /// fault of the module.
    pub violations: u64,
    /// Attempts that had been started and were denied by the check just before writing.
    pub cancelled_before_send: u64,
    /// Requests that arrived while no lease allowed the use of the server list.
    pub without_server_list: u64,
}
