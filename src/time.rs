//! Common durations in microseconds.

use crate::interface::Micros;

/// One millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
/// One second.
pub(crate) const SECOND: Micros = 1_000_000;
