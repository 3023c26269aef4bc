//! Measures the cost of the proxy and of the operators' tools on real processes.

pub mod disturbance;
mod echo_servers;
mod error;
pub mod fleet_tool;
mod load_generator;
pub mod overhead;
mod proxy_process;
pub mod recording;
mod stub_site;

pub use error::MeasurementError;

use std::path::PathBuf;
use std::time::Duration;

/// The settings of a measurement.
#[derive(Clone, Debug)]
pub struct MeasurementSettings {
    /// Path of the program whose `serve` command runs a proxy.
    pub program: PathBuf,
    /// Number of rounds; the results are medians over them.
    pub rounds: usize,
    /// Duration of each part of a round.
    pub span: Duration,
    /// Request rate of the paced parts, per second.
    pub pace: f64,
    /// Folder for settings and logs.
    pub out: PathBuf,
    /// Additional arguments of `serve`.
    pub extra_args: Vec<String>,
}

impl MeasurementSettings {
    fn create_folder(&self) -> Result<(), MeasurementError> {
        std::fs::create_dir_all(&self.out)
            .map_err(MeasurementError::io(format!("creating the folder {}", self.out.display())))
    }

    /// Writes a settings script into the output folder and returns its path.
    fn write_script(&self, name: &str, script: &str) -> Result<PathBuf, MeasurementError> {
        let path = self.out.join(format!("{name}.star"));
        std::fs::write(&path, script).map_err(MeasurementError::io(format!("writing {}", path.display())))?;
        Ok(path)
    }
}

/// The request that the clients of a measurement send.
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: measure\r\n\r\n";

/// Returns the median: of an even number of values the higher one in the middle, of none 0.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
