//! Time margins, counted in ticks of the settings.
//!
//! Events are handled in rounds that are at least one tick apart. An action may therefore be taken a tick
//! after it is due, and what is sent then spends about another tick on the network. Each margin covers the
//! rounds that may pass before its limit.

use crate::balancer::Balancer;
use crate::interface::Micros;

/// An attempt times out this many ticks before its request's deadline.
const ATTEMPT_TIMEOUT_TICKS: Micros = 2;
/// The final response is given this many ticks before the deadline.
const FINAL_RESPONSE_TICKS: Micros = 3;
/// No retry begins later than this many ticks before the deadline: it would time out before it could end.
const RETRY_TICKS: Micros = 4;
/// No repeat is sent later than this many ticks before the end of the deduplication window.
const DEDUP_WINDOW_TICKS: Micros = 2;
/// The window of the exposure rule is widened by this many ticks, because servers count an attempt only when
/// it arrives.
const EXPOSURE_WINDOW_TICKS: Micros = 2;
/// A lowered cap applies this many ticks before its grace period ends.
const CAP_GRACE_TICKS: Micros = 4;

impl Balancer {
    /// How long before its request's deadline an attempt times out.
    pub(crate) fn attempt_timeout_margin(&self) -> Micros {
        ATTEMPT_TIMEOUT_TICKS * self.settings.tick
    }

    /// How long before its deadline a request gets its final response.
    pub(crate) fn final_response_margin(&self) -> Micros {
        FINAL_RESPONSE_TICKS * self.settings.tick
    }

    /// How long before its deadline a request stops being retried.
    pub(crate) fn retry_margin(&self) -> Micros {
        RETRY_TICKS * self.settings.tick
    }

    /// How long before the end of a deduplication window repeats are no longer sent.
    pub(crate) fn dedup_window_margin(&self) -> Micros {
        DEDUP_WINDOW_TICKS * self.settings.tick
    }

    /// By how much the window of the exposure rule is widened.
    pub(crate) fn exposure_window_margin(&self) -> Micros {
        EXPOSURE_WINDOW_TICKS * self.settings.tick
    }

    /// How long before the end of its grace period a lowered cap applies.
    pub(crate) fn cap_grace_margin(&self) -> Micros {
        CAP_GRACE_TICKS * self.settings.tick
    }
}
