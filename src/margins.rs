//! Margins of time, in ticks of the settings.
//!
//! Events come in rounds at least a tick apart, so that what is due at a moment may be done a tick later, and
//! what is sent then is on its way for about as long. Each margin covers the rounds until it must be done.

use crate::balancer::Balancer;
use crate::interface::Micros;

/// Ticks before a deadline at which an attempt is cut.
const CUT_TICKS: Micros = 2;
/// Ticks before a deadline at which the final answer is given.
const FINAL_ANSWER_TICKS: Micros = 3;
/// Ticks before a deadline after which no retry is begun: it could not end before it is cut.
const RETRY_TICKS: Micros = 4;
/// Ticks before the end of a deduplication window after which no repeat is sent.
const DEDUP_WINDOW_TICKS: Micros = 2;
/// Ticks by which the window of the exposure rule is widened: servers count an attempt when it arrives.
const EXPOSURE_WINDOW_TICKS: Micros = 2;
/// Ticks before the end of its grace at which a lower cap binds.
const CAP_GRACE_TICKS: Micros = 4;

impl Balancer {
    /// How long before its request's deadline an attempt is cut.
    pub(crate) fn cut_margin(&self) -> Micros {
        CUT_TICKS * self.settings.tick
    }

    /// How long before its deadline a request gets its final answer.
    pub(crate) fn final_answer_margin(&self) -> Micros {
        FINAL_ANSWER_TICKS * self.settings.tick
    }

    /// How long before its deadline a request gets no retry any more.
    pub(crate) fn retry_margin(&self) -> Micros {
        RETRY_TICKS * self.settings.tick
    }

    /// How long before the end of a deduplication window a repeat is not sent any more.
    pub(crate) fn dedup_window_margin(&self) -> Micros {
        DEDUP_WINDOW_TICKS * self.settings.tick
    }

    /// By how much the window of the exposure rule is widened.
    pub(crate) fn exposure_window_margin(&self) -> Micros {
        EXPOSURE_WINDOW_TICKS * self.settings.tick
    }

    /// How long before the end of its grace a lower cap binds.
    pub(crate) fn cap_grace_margin(&self) -> Micros {
        CAP_GRACE_TICKS * self.settings.tick
    }
}
