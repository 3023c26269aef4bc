//! What a piece of work costs this process: time by a histogram of repeats, memory as the kernel counts it.

use super::ScaleError;
use hdrhistogram::Histogram;
use std::time::Instant;

/// Significant figures of the histograms of times.
const FIGURES: u8 = 3;
const STATUS: &str = "/proc/self/status";

/// Peak of resident memory of this process so far, in bytes.
pub fn peak_bytes() -> Result<u64, ScaleError> {
    status_bytes("VmHWM:")
}

/// Resident memory of this process now, in bytes.
pub fn resident_bytes() -> Result<u64, ScaleError> {
    status_bytes("VmRSS:")
}

fn status_bytes(field: &str) -> Result<u64, ScaleError> {
    let status = std::fs::read_to_string(STATUS)?;
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    let missing = || ScaleError::Failed(format!("{STATUS} has no {field}"));
    kilobytes.map(|count| count * 1_024).ok_or_else(missing)
}

/// The median time of `repeats` runs of some work, in microseconds.
pub fn median_micros(repeats: usize, mut work: impl FnMut()) -> Result<f64, ScaleError> {
    let mut times = Histogram::<u64>::new(FIGURES).map_err(|e| ScaleError::Failed(e.to_string()))?;
    for _ in 0..repeats.max(1) {
        let start = Instant::now();
        work();
        let nanoseconds = start.elapsed().as_nanos().min(u128::from(u64::MAX)) as u64;
        times.record(nanoseconds.max(1)).map_err(|e| ScaleError::Failed(e.to_string()))?;
    }
    Ok(times.value_at_quantile(0.5) as f64 / 1e3)
}
