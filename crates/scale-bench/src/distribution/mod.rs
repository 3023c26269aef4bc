//! Distribution of configuration to N subscribers over loopback: bytes, time from publication to in force, a
//! publisher that is killed and started again, processor time and memory on both sides.
//!
//! The subscribers are lightweight: the product's subscriber state machine and real connections, without the
//! rest of a proxy.

mod configuration;
mod connection;
pub mod fleet;
pub mod publisher;
mod session;
mod subscriber;

use crate::resources::MeasuredProcess;
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use publisher::PublisherProcess;
use session::Session;
use std::path::PathBuf;
use std::time::Instant;

/// Configuration distribution as the number of subscribers grows.
pub struct DistributionBenchmark;

impl Benchmark for DistributionBenchmark {
    fn name(&self) -> &'static str {
        "distribution"
    }

    fn size_unit(&self) -> &'static str {
        "subscribers"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 50, 100] } else { &[50, 500, 4_700] }
    }

    fn needs_own_process(&self) -> bool {
        true
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let mut publisher = PublisherProcess::start(state_dir(size))?;
        let own_memory_before = MeasuredProcess::Own.resident_bytes()?;
        let mut session = Session::begin(publisher.address, size, options)?;
        let mut measurements = session.first_start()?;
        measurements.extend(session.heartbeats()?);
        let publisher_before = publisher.measured().processor_seconds()?;
        let own_before = MeasuredProcess::Own.processor_seconds()?;
        let start = Instant::now();
        measurements.extend(session.changes()?);
        let span = start.elapsed().as_secs_f64();
        let publisher_seconds = publisher.measured().processor_seconds()? - publisher_before;
        let own_seconds = MeasuredProcess::Own.processor_seconds()? - own_before;
        let publisher_memory = publisher.measured().resident_bytes()?;
        let own_memory = MeasuredProcess::Own.resident_bytes()?.saturating_sub(own_memory_before);
        let new = |quantity: &str, unit: Unit, value: f64| Measurement::new(quantity, unit, size, value);
        measurements.extend([
            new("publisher's processor", Unit::Cores, publisher_seconds / span),
            new("all subscribers' processor", Unit::Cores, own_seconds / span),
            new("publisher's memory", Unit::Bytes, publisher_memory as f64),
            new("all subscribers' memory", Unit::Bytes, own_memory as f64),
        ]);
        publisher.kill_and_restart()?;
        measurements.extend(session.reconnection()?);
        Ok(measurements)
    }
}

/// Bytes that each subscriber exchanges, by counts that do not depend on the machine: against a publisher on
/// a thread of this process.
///
/// # Errors
/// [`ScaleError`] if the publisher does not start, or an exchange fails.
pub fn bytes_at(size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
    let address = publisher::start_on_thread(state_dir(size))?;
    let mut session = Session::begin(address, size, options)?;
    session.first_start()?;
    let mut measurements = session.heartbeats()?;
    measurements.extend(session.changes()?);
    Ok(measurements)
}

/// The publisher's state folder.
fn state_dir(size: u64) -> PathBuf {
    std::env::temp_dir().join(format!("violetseam-scale-distribution-{}-{size}", std::process::id()))
}
