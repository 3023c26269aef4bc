//! Formats the outcomes of a command.

use super::new_table;
use crate::fleet::{CommandReport, DaemonOutcome, Outcome};
use serde_json::{Value, json};

/// The exit status of the fleet tool after a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// All daemons answered and none rejected the command.
    Success = 0,
    /// All daemons answered, and some rejected the command.
    Rejected = 3,
    /// Some daemons did not answer, and none rejected the command.
    Unanswered = 4,
    /// Some daemons rejected the command and some did not answer.
    RejectedAndUnanswered = 5,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Returns the exit status for the outcomes of a command.
pub fn exit_status(report: &CommandReport) -> ExitStatus {
    let counts = OutcomeCounts::of(report);
    match (counts.rejected > 0, counts.unanswered > 0) {
        (false, false) => ExitStatus::Success,
        (true, false) => ExitStatus::Rejected,
        (false, true) => ExitStatus::Unanswered,
        (true, true) => ExitStatus::RejectedAndUnanswered,
    }
}

#[derive(Default)]
struct OutcomeCounts {
    applied: usize,
    rejected: usize,
    unanswered: usize,
}

impl OutcomeCounts {
    fn of(report: &CommandReport) -> Self {
        let mut counts = OutcomeCounts::default();
        for DaemonOutcome { outcome, .. } in &report.outcomes {
            match outcome {
                Outcome::Applied { .. } => counts.applied += 1,
                Outcome::Rejected(_) => counts.rejected += 1,
                Outcome::Unanswered(_) => counts.unanswered += 1,
            }
        }
        counts
    }
}

/// Formats the outcomes of a command as a table. Daemons that need the operator's attention come first.
pub fn command_table(report: &CommandReport) -> String {
    let mut table = new_table(&["daemon", "outcome", "why"]);
    let mut outcomes: Vec<&DaemonOutcome> = report.outcomes.iter().collect();
    outcomes.sort_by_key(|daemon_outcome| display_rank(&daemon_outcome.outcome));
    for DaemonOutcome { daemon, outcome } in outcomes {
        let (word, reason) = match outcome {
            Outcome::Applied { already: false } => ("agreed", ""),
            Outcome::Applied { already: true } => ("agreed", "had before"),
            Outcome::Rejected(reason) => ("REFUSED", reason.as_str()),
            Outcome::Unanswered(reason) => ("SILENT", reason.as_str()),
        };
        table.add_row([daemon.as_str(), word, reason]);
    }
    let release = match report.release {
        Some(release) => format!(" about build {}, stage {}", release.build, release.stage),
        None => String::new(),
    };
    let OutcomeCounts { applied, rejected, unanswered } = OutcomeCounts::of(report);
    format!(
        "{table}\ncommand {}{release}: {applied} agreed, {rejected} refused, {unanswered} never answered\n",
        report.id
    )
}

fn display_rank(outcome: &Outcome) -> u8 {
    match outcome {
        Outcome::Unanswered(_) => 0,
        Outcome::Rejected(_) => 1,
        Outcome::Applied { .. } => 2,
    }
}

/// Formats the outcomes of a command as JSON.
pub fn command_json(report: &CommandReport) -> Value {
    let daemons: Vec<Value> = report.outcomes.iter().map(outcome_json).collect();
    json!({
        "id": report.id,
        "build": report.release.map(|release| release.build),
        "stage": report.release.map(|release| release.stage),
        "daemons": daemons,
    })
}

fn outcome_json(DaemonOutcome { daemon, outcome }: &DaemonOutcome) -> Value {
    match outcome {
        Outcome::Applied { already } => json!({"daemon": daemon, "outcome": "agreed", "again": already}),
        Outcome::Rejected(reason) => json!({"daemon": daemon, "outcome": "refused", "why": reason}),
        Outcome::Unanswered(reason) => json!({"daemon": daemon, "outcome": "silent", "why": reason}),
    }
}
