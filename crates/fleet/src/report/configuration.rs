//! Formats which version of the distributed configuration each daemon has.

use super::{answered, new_table, seconds, unanswered};
use crate::fleet::DaemonReading;
use violetseam_operator_commands::DaemonState;
use violetseam_operator_commands::daemon_state::{ConfigurationState, ConfigurationVersion};

const COLUMNS: [&str; 7] = ["daemon", "version", "behind", "routes", "confirmed", "watch", "refused"];

#[derive(Default)]
struct VersionCounts {
    current: usize,
    behind: usize,
    without_publisher: usize,
}

/// Formats a table of the daemons' versions of the distributed configuration: which version is in force, by
/// how many versions it is behind the newest version among the daemons that answered, and how long ago the
/// publisher confirmed it to be its newest.
pub fn configuration_table(readings: &[DaemonReading]) -> String {
    let mut table = new_table(&COLUMNS);
    let newest = answered(readings).filter_map(|(_, state)| version_in_force(state)).max();
    let mut counts = VersionCounts::default();
    for DaemonReading { daemon, state } in readings {
        let state = match state {
            Ok(state) => state,
            Err(error) => {
                table.add_row([daemon.clone(), format!("SILENT: {error}")]);
                continue;
            }
        };
        let Some(configuration) = &state.configuration else {
            counts.without_publisher += 1;
            table.add_row([daemon.as_str(), "no publisher in its settings"]);
            continue;
        };
        if configuration.version == newest {
            counts.current += 1;
        } else {
            counts.behind += 1;
        }
        table.add_row(configuration_row(daemon, configuration, newest));
    }
    let VersionCounts { current, behind, without_publisher } = counts;
    format!(
        "{table}\nnewest version {}: {current} have it, {behind} are behind, {without_publisher} without a \
         publisher, {} never answered\n",
        version_or_none(newest),
        unanswered(readings).len()
    )
}

fn version_in_force(state: &DaemonState) -> Option<ConfigurationVersion> {
    state.configuration.as_ref()?.version
}

fn configuration_row(
    daemon: &str,
    configuration: &ConfigurationState,
    newest: Option<ConfigurationVersion>,
) -> [String; COLUMNS.len()] {
    let confirmed = match configuration.age_us {
        Some(micros) => format!("{:.1} s ago", seconds(micros)),
        None => "never".to_owned(),
    };
    let watch = if configuration.watching { "open" } else { "CLOSED" };
    let rejected = match &configuration.rejected {
        Some(rejected) => format!("{}: {}", rejected.version, rejected.reason),
        None => "-".to_owned(),
    };
    [
        daemon.to_owned(),
        version_or_none(configuration.version),
        versions_behind(configuration.version, newest),
        configuration.routes.to_string(),
        confirmed,
        watch.to_owned(),
        rejected,
    ]
}

fn version_or_none(version: Option<ConfigurationVersion>) -> String {
    version.map_or("none".to_owned(), |version| version.to_string())
}

/// Returns how far a daemon is behind the newest version: the number of versions if both are of the same
/// term, and otherwise a text that says whether the daemon has a version of an older term or no version.
fn versions_behind(version: Option<ConfigurationVersion>, newest: Option<ConfigurationVersion>) -> String {
    match (version, newest) {
        (version, newest) if version == newest => "-".into(),
        (Some(version), Some(newest)) if version.term == newest.term => {
            (newest.number - version.number).to_string()
        }
        (Some(_), _) => "OLDER TERM".into(),
        (None, _) => "ALL".into(),
    }
}
