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
    /// Updates the lease after a failed query that may have lost a response, or that asked for a lost one.
    /// Returns after which time, before jitter, the response is asked for again; `None` if the usual interval
    /// applies.
    ///
    /// If the service pushes lists, the lease ends soon after any failed query and queries are repeated
    /// quickly anyway.
    pub(super) fn check_response_loss(&mut self, evidence: ListEvidence, now: Micros) -> Option<Micros> {
        if self.discovery.lists_are_pushed {
            return None;
        }
        let list_is_usable = self.engine.permissions().list.holds(now);
        let retries = match (self.discovery.response_loss, evidence) {
            (_, ListEvidence::WatchAlive | ListEvidence::ServiceDown) => {
                self.discovery.response_loss = None;
                return None;
            }
            (Some(ResponseLoss::Retrying(retries)), _) => retries,
            (None, ListEvidence::ResponseLost) if list_is_usable => {
                self.engine.update_list_lease(now, |lease| lease.response_lost(now));
                0
            }
            (None | Some(ResponseLoss::TakenForOutage), _) => return None,
        };
        if retries < MAX_LOST_RESPONSE_RETRIES && list_is_usable {
            self.discovery.response_loss = Some(ResponseLoss::Retrying(retries + 1));
            return Some(LOST_RESPONSE_RETRY_INTERVAL << retries);
        }
        self.discovery.response_loss = Some(ResponseLoss::TakenForOutage);
        self.engine.update_list_lease(now, ListLease::loss_was_outage);
        None
    }
}
