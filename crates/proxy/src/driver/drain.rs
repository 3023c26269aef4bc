//! The end of a proxy's work: a drain, its reversal, the shutdown and the summary.

use super::operators::commands::UndrainError;
use super::{Proxy, Summary};
use crate::engine::Counts;

impl Proxy {
    /// Starts a drain, after which the event loop ends.
    pub(super) fn shut_down(&mut self) {
        self.ending = true;
        self.start_drain();
    }

    /// Stops taking connections and requests, but for those on their way: in the listeners' queues, and first requests
    /// on connections that were accepted. Listeners close once their queues are empty: what waits there would be
    /// neither accepted nor free to go elsewhere.
    pub(super) fn start_drain(&mut self) {
        if std::mem::replace(&mut self.draining, true) {
            return;
        }
        tracing::info!(owed = self.engine.pending_responses(), "draining");
        self.listen_until = self.listen_deadline();
        self.close_idle_clients();
        self.accept_queued();
        self.run_engine_actions();
    }

    /// Takes connections again after an operator's drain.
    pub(super) fn stop_drain(&mut self) -> Result<(), UndrainError> {
        if self.ending {
            return Err(UndrainError::Ending);
        }
        if self.draining {
            if self.listeners.is_empty() {
                self.bind_listeners()?;
            } else {
                self.set_accepting(true);
            }
            self.draining = false;
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
        if self.list_changed {
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
