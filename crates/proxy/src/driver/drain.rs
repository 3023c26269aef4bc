//! How a proxy drains, cancels a drain, shuts down and reports its summary.

use super::operators::commands::UndrainError;
use super::{Proxy, Summary};
use crate::engine::Counts;

/// The stage of this process's life: from serving, through a drain, to the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lifecycle {
    /// The proxy accepts connections and requests.
    #[default]
    Serving,
    /// The proxy accepts only the connections and requests that are already on their way, until an operator
    /// cancels the drain.
    Draining,
    /// The proxy drains, and the process ends once nothing is in flight.
    ShuttingDown,
    /// Nothing is in flight any more; the event loop ends.
    Stopped,
}

impl Lifecycle {
    /// Whether only connections and requests that are already on their way are accepted.
    pub(super) fn is_draining(self) -> bool {
        self >= Lifecycle::Draining
    }

    /// Whether the process ends once nothing is in flight.
    pub(super) fn is_shutting_down(self) -> bool {
        self >= Lifecycle::ShuttingDown
    }

    /// Whether the event loop must end.
    pub(super) fn has_stopped(self) -> bool {
        self == Lifecycle::Stopped
    }
}

impl Proxy {
    /// Starts a drain, after which the event loop ends. This drain cannot be cancelled.
    pub(super) fn shut_down(&mut self) {
        let was_draining = self.lifecycle.is_draining();
        self.lifecycle = self.lifecycle.max(Lifecycle::ShuttingDown);
        if !was_draining {
            self.drain_listeners_and_clients();
        }
    }

    /// Starts a drain that an operator can cancel.
    pub(super) fn start_drain(&mut self) {
        if !self.lifecycle.is_draining() {
            self.lifecycle = Lifecycle::Draining;
            self.drain_listeners_and_clients();
        }
    }

    /// Stops accepting connections and requests, except those that are already on their way: connections that
    /// wait in the listeners' queues, and the first request on a connection that was accepted. The listeners
    /// close only when their queues are empty: a connection left in a queue would not be accepted, and its
    /// client would not be free to connect elsewhere.
    fn drain_listeners_and_clients(&mut self) {
        tracing::info!(owed = self.engine.pending_responses(), "draining");
        self.listen_until = self.listen_deadline();
        self.close_idle_clients();
        self.accept_queued();
        self.run_engine_actions();
    }

    /// Cancels an operator's drain: the proxy accepts connections again.
    pub(super) fn cancel_drain(&mut self) -> Result<(), UndrainError> {
        if self.lifecycle.is_shutting_down() {
            return Err(UndrainError::Ending);
        }
        if self.lifecycle.is_draining() {
            if self.listeners.is_empty() {
                self.bind_listeners()?;
            } else {
                self.set_accepting(true);
            }
            self.lifecycle = Lifecycle::Serving;
            self.reset_idle_timeouts();
        }
        Ok(())
    }

    /// Whether nothing is in flight and nothing more can arrive.
    pub(super) fn is_drain_complete(&self) -> bool {
        let are_all_closed = self.listeners.is_empty() && self.clients.is_empty();
        are_all_closed && self.engine.pending_responses() == 0 && self.in_flight.is_empty()
    }

    /// Writes unsaved state to disk and returns the summary.
    pub(super) fn finish(mut self) -> Summary {
        if self.server_list.is_unsaved() {
            self.save_server_list();
        }
        self.finish_configuration();
        self.finish_recording();
        let busy_server_connections = self.servers.iter().filter(|(_, server)| !server.is_idle()).count();
        let summary = Summary {
            counts: self.engine.counts(),
            left_open: self.clients.len() + busy_server_connections,
            left_in_flight: self.engine.pending_responses() + self.in_flight.len(),
            module_time: self.engine.module_time(),
        };
        log_counts(&summary.counts);
        summary
    }

    fn finish_recording(&mut self) {
        let Some(recorder) = self.engine.take_recorder() else { return };
        if let Some(reason) = recorder.stop_reason() {
            tracing::warn!("recording ended early: {reason}");
        }
        if let Err(error) = recorder.finish() {
            tracing::error!("the recording could not be completed: {error}");
        }
    }
}

fn log_counts(counts: &Counts) {
    tracing::info!(
        taken = counts.received,
        served = counts.served,
        refused = counts.rejected,
        failed = counts.failed,
        gone = counts.disconnected,
        attempts = counts.attempts,
        overdue = counts.overdue,
        "stopped"
    );
}
