//! Asks again for a response that may have been lost with its connection.
//!
//! The service counts a change as received once it has written it, even if the connection is then reset. A
//! connection that is reset before its response may have lost such a change, or the service may have gone down.
//! The next queries show which: the service answers them, or they fail as well. Until then the list may be used
//! for the grace period only.

use super::exchange::ListEvidence;
use super::timing::{LOST_RESPONSE_RETRY_INTERVAL, MAX_LOST_RESPONSE_RETRIES};
use crate::proxy::Proxy;
use violetseam::interface::Micros;
use violetseam::lease::ListLease;

/// A connection to discovery that was lost while a response was due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseLoss {
    /// Queries ask for the response again; so many have been scheduled.
    Retrying(u32),
    /// These queries failed as well, so the service is taken to have gone down. Further losses tell nothing
    /// new until the list is confirmed.
    TakenForOutage,
}

impl Proxy {
    /// Whether this failure is the first since the last confirmation to lose a response that matters.
    pub(super) fn is_first_response_loss(&self, evidence: ListEvidence, now: Micros) -> bool {
        evidence == ListEvidence::ResponseLost
            && self.discovery.response_loss.is_none()
            && self.engine.permissions().list.holds(now)
    }

    /// Returns after which time, before jitter, a response is asked for again that this failed query may have
    /// lost or has asked for; `None` if the usual interval applies. Updates the lease accordingly.
    pub(super) fn check_response_loss(&mut self, evidence: ListEvidence, now: Micros) -> Option<Micros> {
        if matches!(evidence, ListEvidence::WatchAlive | ListEvidence::ServiceDown) {
            self.discovery.response_loss = None;
            return None;
        }
        if self.is_first_response_loss(evidence, now) {
            return self.begin_response_loss(now);
        }
        let Some(ResponseLoss::Retrying(retries)) = self.discovery.response_loss else { return None };
        if retries < MAX_LOST_RESPONSE_RETRIES && self.engine.permissions().list.holds(now) {
            return Some(self.retry_lost_response(retries));
        }
        self.discovery.response_loss = Some(ResponseLoss::TakenForOutage);
        self.engine.update_list_lease(now, ListLease::loss_was_outage);
        None
    }

    /// If the service pushes lists, the lease ends soon after any failed query, and queries are repeated
    /// quickly anyway.
    fn begin_response_loss(&mut self, now: Micros) -> Option<Micros> {
        if self.discovery.lists_are_pushed {
            self.discovery.response_loss = Some(ResponseLoss::TakenForOutage);
            return None;
        }
        self.engine.update_list_lease(now, |lease| lease.response_lost(now));
        Some(self.retry_lost_response(0))
    }

    /// Counts a query that asks for the response again, and returns after which time it is made.
    fn retry_lost_response(&mut self, earlier_retries: u32) -> Micros {
        self.discovery.response_loss = Some(ResponseLoss::Retrying(earlier_retries + 1));
        LOST_RESPONSE_RETRY_INTERVAL << earlier_retries
    }
}
