//! Formats the responses of a fleet's daemons as tables and as JSON.

mod command;
mod configuration;
mod quota;
mod state;

pub use command::{ExitStatus, command_json, command_table, exit_status};
pub use configuration::configuration_table;
pub use quota::quota_table;
pub use state::{state_json, state_table};

use crate::fleet::DaemonReading;
use comfy_table::{Table, presets};
use violetseam_operator_commands::DaemonState;

const MICROS_PER_SECOND: f64 = 1e6;

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header.to_vec());
    table
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

/// Returns the names of the daemons that answered, with their states.
fn answered(readings: &[DaemonReading]) -> impl Iterator<Item = (&str, &DaemonState)> {
    readings.iter().filter_map(|reading| {
        let state = reading.state.as_ref().ok()?;
        Some((reading.daemon.as_str(), state))
    })
}

/// Returns the names of the daemons that did not answer.
fn unanswered(readings: &[DaemonReading]) -> Vec<&str> {
    let unanswered = readings.iter().filter(|reading| reading.state.is_err());
    unanswered.map(|reading| reading.daemon.as_str()).collect()
}
