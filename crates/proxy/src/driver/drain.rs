//! The end of a proxy's work: a drain, its reversal, the shutdown and the summary.

use super::operators::commands::UndrainError;
use super::{Proxy, Summary};
use crate::engine::Counts;

/// How far the end of this process's work has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lifecycle {
    /// Takes connections and requests.
    #[default]
    Serving,
    /// Takes nothing new but what is on its way, until an operator calls the drain off.
    Draining,
    /// The same, and ends once nothing is left in flight.
    ShuttingDown,
    /// Nothing is left: the event loop ends.
    Stopped,
}

impl Lifecycle {
    /// Whether nothing new is taken but what is on its way.
    pub(super) fn is_draining(self) -> bool {
        self >= Lifecycle::Draining
    }

    /// Whether the process ends once nothing is left in flight.
    pub(super) fn is_shutting_down(self) -> bool {
        self >= Lifecycle::ShuttingDown
    }

    /// Whether the event loop is to end.
    pub(super) fn has_stopped(self) -> bool {
        self == Lifecycle::Stopped
    }
}

impl Proxy {
    /// Starts a drain, after which the event loop ends.
    pub(super) fn shut_down(&mut self) {
        let was_draining = self.lifecycle.is_draining();
        self.lifecycle = self.lifecycle.max(Lifecycle::ShuttingDown);
        if !was_draining {
            self.drain_listeners_and_clients();
        }
    }

    /// Starts a drain that an operator may call off.
    pub(super) fn start_drain(&mut self) {
        if !self.lifecycle.is_draining() {
            self.lifecycle = Lifecycle::Draining;
            self.drain_listeners_and_clients();
        }
    }

    /// Stops taking connections and requests, but for those on their way: in the listeners' queues, and first
    /// requests on connections that were accepted. Listeners close once their queues are empty: what waits
    /// there would be neither accepted nor free to go elsewhere.
    fn drain_listeners_and_clients(&mut self) {
        tracing::info!(owed = self.engine.pending_responses(), "draining");
        self.listen_until = self.listen_deadline();
        self.close_idle_clients();
        self.accept_queued();
        self.run_engine_actions();
    }

    /// Takes connections again after an operator's drain.
    pub(super) fn stop_drain(&mut self) -> Result<(), UndrainError> {
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

    /// Nothing is in flight and nothing can come.
    pub(super) fn has_ended(&self) -> bool {
        let nothing_open = self.listeners.is_empty() && self.clients.is_empty();
        nothing_open && self.engine.pending_responses() == 0 && self.in_flight.is_empty()
    }

    /// Stores what has to be stored and sums up.
    pub(super) fn finish(mut self) -> Summary {
        if self.server_list.is_unsaved() {
            self.save_list();
        }
        self.finish_configuration();
        self.finish_recording();
        let busy_servers = self.servers.iter().filter(|(_, server)| !server.is_idle()).count();
        let summary = Summary {
            counts: self.engine.counts(),
            left_open: self.clients.len() + busy_servers,
            left_in_flight: self.engine.pending_responses() + self.in_flight.len(),
            module_time: self.engine.module_time(),
        };
        log_counts(&summary.counts);
        summary
    }

    fn finish_recording(&mut self) {
        let Some(recorder) = self.engine.take_recorder() else { return };
        if let Some(why) = recorder.stop_reason() {
            tracing::warn!("recording ended early: {why}");
        }
        if let Err(error) = recorder.finish() {
            tracing::error!("recording: {error}");
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
