//! Formats the states of the daemons.

use super::{new_table, seconds, unanswered};
use crate::fleet::DaemonReading;
use serde_json::{Value, json};
use violetseam_operator_commands::DaemonState;

const COLUMNS: [&str; 15] = [
    "daemon", "boot", "build", "stage", "phase", "cap", "vote", "paused", "served", "refused", "failed",
    "owed", "servers", "peers", "list age",
];

/// Formats the states as a table with a row per daemon.
pub fn state_table(readings: &[DaemonReading]) -> String {
    let mut table = new_table(&COLUMNS);
    for DaemonReading { daemon, state } in readings {
        match state {
            Ok(state) => table.add_row(state_row(daemon, state)),
            Err(error) => table.add_row([daemon.clone(), format!("SILENT: {error}")]),
        };
    }
    let unanswered_count = unanswered(readings).len();
    format!("{table}\n{} answered, {unanswered_count} never did\n", readings.len() - unanswered_count)
}

fn state_row(daemon: &str, state: &DaemonState) -> [String; COLUMNS.len()] {
    let release = state.release.clone().unwrap_or_default();
    let phase = if state.draining { "draining".to_owned() } else { release.phase };
    let vote = state.vote.as_deref().unwrap_or("-");
    let paused = if state.pause.is_some() { "paused" } else { "-" };
    let endpoint_list_age = match state.endpoint_list_age_us {
        Some(micros) => format!("{:.1} s", seconds(micros)),
        None => "never".to_owned(),
    };
    [
        daemon.to_owned(),
        state.boot.to_string(),
        release.build.to_string(),
        release.stage.to_string(),
        phase,
        format!("{:.2}", release.exposure_cap),
        vote.to_owned(),
        paused.to_owned(),
        state.counts.served.to_string(),
        state.counts.rejected.to_string(),
        state.counts.failed.to_string(),
        state.pending_responses.to_string(),
        state.servers.to_string(),
        state.peers.to_string(),
        endpoint_list_age,
    ]
}

/// Formats the states as a JSON array with an object per daemon.
pub fn state_json(readings: &[DaemonReading]) -> Value {
    let rows = readings.iter().map(|DaemonReading { daemon, state }| match state {
        Ok(state) => json!({"daemon": daemon, "state": state}),
        Err(error) => json!({"daemon": daemon, "silent": error.to_string()}),
    });
    Value::Array(rows.collect())
}
