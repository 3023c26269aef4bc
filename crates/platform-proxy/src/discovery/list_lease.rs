//! The lease on the server list: what confirms the list, and what a failed query shows about it.

use super::exchange::ListEvidence;
use super::timing::{EMPTY_LIST_RETRY_INTERVAL, LEASE_RENEWAL_MARGIN};
use crate::configuration::MAX_RELOAD_TIME;
use crate::proxy::Proxy;
use violetseam::interface::Micros;
use violetseam::lease::ListLease;

impl Proxy {
    /// Returns the latest time at which a query should be made so that its response arrives before the lease
    /// on the list ends. Returns `None` if that time is too close.
    pub(super) fn latest_query_at(&mut self, now: Micros) -> Option<Micros> {
        let margin = self.with_jitter(LEASE_RENEWAL_MARGIN / 2) + LEASE_RENEWAL_MARGIN / 2;
        let at = self.engine.permissions().list.until().saturating_sub(margin);
        (at > now + EMPTY_LIST_RETRY_INTERVAL).then_some(at)
    }

    /// Renews the lease on the list. `at` is a time at which the list was current.
    pub(super) fn confirm_list(&mut self, now: Micros, at: Micros) {
        let was_usable = self.engine.permissions().list.holds(now);
        self.discovery.response_loss = None;
        // Discovery that has moved leaves its old address sooner than that.
        self.discovery.unread_move_order.take_if(|ordered_at| now > *ordered_at + MAX_RELOAD_TIME);
        self.engine.update_list_lease(now, |lease| lease.record_confirmation(at));
        let is_usable = self.engine.permissions().list.holds(now);
        if is_usable && !was_usable {
            tracing::info!(version = self.server_list.version(), "the server list may be used");
        }
    }

    /// Updates the lease after a query that began at `started_at` and has brought no usable response.
    pub(super) fn update_lease_after_failure(
        &mut self,
        evidence: ListEvidence,
        started_at: Micros,
        now: Micros,
    ) {
        let is_first_loss = self.is_first_response_loss(evidence, now);
        match evidence {
            ListEvidence::WatchAlive => self.confirm_list(now, self.previous_poll_at),
            ListEvidence::ServiceDown => self.note_refused_query(started_at, now),
            ListEvidence::PartialList => {
                self.engine.update_list_lease(now, |lease| lease.notification_missed(now));
            }
            // The outage that a loss may be the beginning of extends the lease, unless another query has got
            // no answer since.
            ListEvidence::ResponseLost if is_first_loss => {}
            ListEvidence::ResponseLost | ListEvidence::Unanswered => self.note_unanswered_query(now),
        }
    }

    /// Notes that discovery refused a query that began at `started_at`. If a configuration could not be read
    /// when a reload was ordered, discovery may have moved with that order instead of being down.
    fn note_refused_query(&mut self, started_at: Micros, now: Micros) {
        let move_order = self.discovery.unread_move_order;
        self.engine.update_list_lease(now, |lease| match move_order {
            Some(ordered_at) => lease.discovery_moved(ordered_at),
            None => lease.discovery_down(started_at),
        });
    }

    /// Notes that a query got no answer although discovery may be up. If the service pushes lists, it counts
    /// what it has as received even while no watch is open.
    fn note_unanswered_query(&mut self, now: Micros) {
        if self.discovery.lists_are_pushed {
            self.engine.update_list_lease(now, |lease| lease.watch_lost(now));
        }
        self.engine.update_list_lease(now, ListLease::query_unanswered);
    }
}
