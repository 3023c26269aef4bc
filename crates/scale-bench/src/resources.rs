//! What a piece of work costs a process: time by a histogram of repeats, memory and processor time as the
//! kernel counts them.

use crate::ScaleError;
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Significant figures of the histograms of times.
pub const HISTOGRAM_FIGURES: u8 = 3;
/// The kernel's unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Field of `/proc/PID/status`: resident memory now.
const RESIDENT_FIELD: &str = "VmRSS:";
/// Field of `/proc/PID/status`: the peak of resident memory.
const PEAK_FIELD: &str = "VmHWM:";
/// User time in `/proc/PID/stat`: field 14 of the line, counted here from 0 after the program's name.
const USER_TIME_INDEX: usize = 11;
/// System time in `/proc/PID/stat`, counted likewise.
const SYSTEM_TIME_INDEX: usize = 12;

/// A process whose use of the machine the kernel is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MeasuredProcess {
    /// The process that asks.
    Own,
    /// A process by its id.
    Id(u32),
}

impl MeasuredProcess {
    /// Resident memory now, in bytes.
    ///
    /// # Errors
    /// [`ScaleError`] if the process has ended or the kernel does not give the value.
    pub fn resident_bytes(self) -> Result<u64, ScaleError> {
        self.status_bytes(RESIDENT_FIELD)
    }

    /// Peak of resident memory so far, in bytes.
    ///
    /// # Errors
    /// [`ScaleError`] if the process has ended or the kernel does not give the value.
    pub fn peak_bytes(self) -> Result<u64, ScaleError> {
        self.status_bytes(PEAK_FIELD)
    }

    /// User and system time so far, in seconds; the kernel counts hundredths.
    ///
    /// # Errors
    /// [`ScaleError`] if the process has ended or the kernel does not give the value.
    pub fn processor_seconds(self) -> Result<f64, ScaleError> {
        let path = self.path("stat");
        let text = read_file(&path)?;
        // The program's name is in parentheses and may hold spaces.
        let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        match (ticks(USER_TIME_INDEX), ticks(SYSTEM_TIME_INDEX)) {
            (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_SECOND),
            _ => Err(ScaleError::ProcessStatistics { path, field: "processor time" }),
        }
    }

    fn status_bytes(self, field: &'static str) -> Result<u64, ScaleError> {
        let path = self.path("status");
        let text = read_file(&path)?;
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
        match kilobytes {
            Some(count) => Ok(count * 1_024),
            None => Err(ScaleError::ProcessStatistics { path, field }),
        }
    }

    fn path(self, file: &str) -> String {
        match self {
            MeasuredProcess::Own => format!("/proc/self/{file}"),
            MeasuredProcess::Id(id) => format!("/proc/{id}/{file}"),
        }
    }
}

/// The median time of `repeats` runs of some work, in microseconds.
///
/// # Errors
/// [`ScaleError`] if a time cannot be recorded.
pub fn median_micros(repeats: usize, mut work: impl FnMut()) -> Result<f64, ScaleError> {
    let mut times = Histogram::<u64>::new(HISTOGRAM_FIGURES)?;
    for _ in 0..repeats.max(1) {
        let start = Instant::now();
        work();
        record_nanoseconds(&mut times, start.elapsed())?;
    }
    Ok(times.value_at_quantile(0.5) as f64 / 1e3)
}

/// Records a time in nanoseconds, 1 at least.
///
/// # Errors
/// [`ScaleError`] if the histogram does not accept the value.
pub fn record_nanoseconds(times: &mut Histogram<u64>, time: Duration) -> Result<(), ScaleError> {
    let nanoseconds = time.as_nanos().min(u128::from(u64::MAX)) as u64;
    Ok(times.record(nanoseconds.max(1))?)
}

fn read_file(path: &str) -> Result<String, ScaleError> {
    std::fs::read_to_string(path).map_err(|source| ScaleError::File { path: path.to_owned(), source })
}
