//! Formats durations for messages.

use crate::Micros;

const MICROS_PER_SECOND: f64 = 1e6;
const SECONDS_PER_MINUTE: f64 = 60.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;
/// Durations from this length on are written in minutes, and shorter ones in seconds.
const MIN_SECONDS_IN_MINUTES: f64 = 120.0;
/// Durations from this length on are written in hours.
const MIN_SECONDS_IN_HOURS: f64 = 7_200.0;

/// Formats a duration with a unit that fits its length, such as `30.0 min`.
pub(crate) fn duration_text(micros: Micros) -> String {
    let seconds = micros as f64 / MICROS_PER_SECOND;
    if seconds >= MIN_SECONDS_IN_HOURS {
        format!("{:.1} h", seconds / SECONDS_PER_HOUR)
    } else if seconds >= MIN_SECONDS_IN_MINUTES {
        format!("{:.1} min", seconds / SECONDS_PER_MINUTE)
    } else {
        format!("{seconds:.1} s")
    }
}
