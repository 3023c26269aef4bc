//! What the proxy and the operators' tools cost, measured on real processes.

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

/// What is measured with and for how long.
#[derive(Clone, Debug)]
pub struct MeasurementSettings {
    /// The program that has `serve`.
    pub program: PathBuf,
    /// Rounds; results are medians of them.
    pub rounds: usize,
    /// Length of each part of a round.
    pub span: Duration,
    /// Requests a second of the paced part.
    pub pace: f64,
    /// Where settings and logs go.
    pub out: PathBuf,
    /// Further arguments of `serve`.
    pub extra_args: Vec<String>,
}

impl MeasurementSettings {
    fn create_folder(&self) -> Result<(), MeasurementError> {
        std::fs::create_dir_all(&self.out).map_err(MeasurementError::io(self.out.display().to_string()))
    }

    /// Writes a settings script into the folder; its path.
    fn write_script(&self, name: &str, script: &str) -> Result<PathBuf, MeasurementError> {
        let path = self.out.join(format!("{name}.star"));
        std::fs::write(&path, script).map_err(MeasurementError::io(path.display().to_string()))?;
        Ok(path)
    }
}

/// One request of a measurement's clients.
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: measure\r\n\r\n";

/// The value in the middle, the higher of two; 0 if there is none.
fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
