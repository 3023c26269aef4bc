//! Counts why client connections end and why calls are not accepted, and logs the totals regularly together
//! with what the process holds.

use crate::proxy::Proxy;
use violetseam::interface::Micros;

/// The interval between two log lines with the totals.
const USAGE_LOG_INTERVAL: Micros = 10_000_000;
/// The file in which Linux reports the state of this process.
const PROCESS_STATUS_FILE: &str = "/proc/self/status";

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client closed or reset the connection.
    ClientLeft,
    /// No command, or no complete one, arrived in time.
    CommandTimeout,
    /// The client did not read its responses in time.
    ResponsesUnread,
    /// This side had closed its direction, and the client did not close the other one in time or went on
    /// sending.
    Lingered,
    /// The connection gave way to another one.
    Evicted,
}

impl CloseReason {
    /// How many reasons there are; `Evicted` is the last.
    const COUNT: usize = CloseReason::Evicted as usize + 1;
}

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Metrics {
    /// Connections that have ended, by reason.
    closes: [u64; CloseReason::COUNT],
    /// Requests whose client left before their final response.
    pub abandoned_requests: u64,
    /// Commands that could not be accepted and were answered with an error.
    pub malformed: u64,
    /// Calls that were refused because a limit of this process was reached.
    pub over_limits: u64,
    /// Connections whose input was refused because a limit of this process was reached.
    pub refused_inputs: u64,
    /// Responses that became failures because their share of the memory was full.
    pub shed_responses: u64,
    /// Attempts that were ended because their share of the memory was full.
    pub shed_attempts: u64,
    /// When the totals were logged last.
    logged_at: Micros,
    /// The number of ended connections and of calls when the totals were logged last.
    logged_activity: u64,
}

impl Metrics {
    /// Counts the end of a connection.
    pub fn count_close(&mut self, reason: CloseReason) {
        self.closes[reason as usize] += 1;
    }

    /// Returns how many connections have ended for this reason.
    fn closes(&self, reason: CloseReason) -> u64 {
        self.closes[reason as usize]
    }
}

impl Proxy {
    /// Logs the totals if the interval has passed and anything has happened in it.
    pub(super) fn log_usage_if_due(&mut self, now: Micros) {
        if now < self.metrics.logged_at + USAGE_LOG_INTERVAL {
            return;
        }
        let activity = self.metrics.closes.iter().sum::<u64>() + self.engine.counts().received;
        if activity != self.metrics.logged_activity {
            self.log_usage();
        }
        self.metrics.logged_at = now;
        self.metrics.logged_activity = activity;
    }

    /// Logs the totals and what the process holds now.
    pub(super) fn log_usage(&self) {
        let metrics = &self.metrics;
        tracing::info!(
            resident_kb = resident_kb(),
            clients = self.clients.len(),
            servers = self.server_connections.len(),
            requests = self.in_flight.len(),
            request_bytes = self.memory.requests.held(),
            input_bytes = self.memory.input.held(),
            response_bytes = self.memory.responses.held(),
            server_bytes = self.memory.server_data.held(),
            client_left = metrics.closes(CloseReason::ClientLeft),
            command_timeouts = metrics.closes(CloseReason::CommandTimeout),
            responses_unread = metrics.closes(CloseReason::ResponsesUnread),
            lingered = metrics.closes(CloseReason::Lingered),
            evicted = metrics.closes(CloseReason::Evicted),
            abandoned_requests = metrics.abandoned_requests,
            malformed = metrics.malformed,
            over_limits = metrics.over_limits,
            refused_inputs = metrics.refused_inputs,
            shed_responses = metrics.shed_responses,
            shed_attempts = metrics.shed_attempts,
            "usage"
        );
    }
}

/// Returns the resident memory of this process in kB, if the system reports it.
fn resident_kb() -> Option<usize> {
    let text = std::fs::read_to_string(PROCESS_STATUS_FILE).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
