//! What a benchmark is, and how it is measured at several sizes.

use crate::error::ScaleError;
use crate::table::{Measurement, Table};
use std::process::{Command, Stdio};

/// Largest number of sizes in one run.
pub const MAX_SIZES: usize = 16;

/// How one run measures.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Short spans, as in CI.
    pub quick: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Something whose cost grows with a size.
pub trait Benchmark {
    /// Its name, as the subcommand has it.
    fn name(&self) -> &'static str;

    /// What the size counts, such as "servers".
    fn size_unit(&self) -> &'static str;

    /// The sizes to measure at if none are given: three at least.
    fn default_sizes(&self, quick: bool) -> &'static [u64];

    /// Whether each size is measured in a process of its own, as peak memory needs it.
    fn needs_own_process(&self) -> bool {
        false
    }

    /// Measures at one size.
    ///
    /// # Errors
    /// [`ScaleError`] if a process, a socket or a measurement fails.
    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError>;
}

/// Measures a benchmark at each size, in this process.
///
/// # Errors
/// [`ScaleError`] if a size cannot be measured.
pub fn measure(benchmark: &dyn Benchmark, sizes: &[u64], options: &RunOptions) -> Result<Table, ScaleError> {
    measure_each_size(benchmark, sizes, |size| benchmark.sample(size, options))
}

/// Measures a benchmark at each size, each in a process of its own.
///
/// # Errors
/// [`ScaleError`] if a process fails or its output is not understood.
pub fn measure_in_processes(
    benchmark: &dyn Benchmark,
    sizes: &[u64],
    options: &RunOptions,
) -> Result<Table, ScaleError> {
    measure_each_size(benchmark, sizes, |size| sample_in_process(benchmark, size, options))
}

/// Runs this program again for one size; it prints its measurements as JSON.
fn sample_in_process(
    benchmark: &dyn Benchmark,
    size: u64,
    options: &RunOptions,
) -> Result<Vec<Measurement>, ScaleError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["lab", "scale", benchmark.name(), "--sample"]);
    command.args(["--sizes", &size.to_string(), "--seed", &options.seed.to_string()]);
    if options.quick {
        command.arg("--quick");
    }
    let output = command
        .stderr(Stdio::inherit())
        .output()
        .map_err(|source| ScaleError::StartProcess { subcommand: "lab scale", source })?;
    if !output.status.success() {
        let status = output.status;
        return Err(ScaleError::SampleProcess { benchmark: benchmark.name(), size, status });
    }
    serde_json::from_slice(&output.stdout).map_err(ScaleError::SampleFormat)
}

fn measure_each_size(
    benchmark: &dyn Benchmark,
    sizes: &[u64],
    mut sample: impl FnMut(u64) -> Result<Vec<Measurement>, ScaleError>,
) -> Result<Table, ScaleError> {
    if sizes.len() > MAX_SIZES {
        return Err(ScaleError::TooManySizes);
    }
    let mut table = Table {
        name: benchmark.name().into(),
        size_unit: benchmark.size_unit().into(),
        measurements: Vec::new(),
    };
    for size in sizes {
        table.measurements.extend(sample(*size)?);
    }
    Ok(table)
}
