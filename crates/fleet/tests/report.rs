//! Compares the fleet tool's tables, JSON and exit statuses with a golden text, byte for byte. The golden
//! text under `report/` was written by a build from before the types were renamed. It must not be regenerated
//! to make a test pass.

use std::fmt::Write;
use violetseam_fleet::{CallError, CommandReport, DaemonOutcome, DaemonReading, Outcome, report};
use violetseam_operator_commands::ReleaseStage;
use violetseam_operator_commands::daemon_state::{
    ConfigurationState, ConfigurationVersion, ConnectionCounts, DaemonState, PauseState, QuotaState,
    RejectedVersion, ReleaseState, RequestCounts,
};

const GOLDEN: &str = include_str!("report/golden.txt");

fn version(term: u64, number: u64) -> ConfigurationVersion {
    ConfigurationVersion { term, number }
}

fn with_version(version: Option<ConfigurationVersion>) -> DaemonState {
    let configuration = ConfigurationState { version, ..ConfigurationState::default() };
    DaemonState { configuration: Some(configuration), ..DaemonState::default() }
}

fn current_state() -> DaemonState {
    let quota = QuotaState {
        class: "read".into(),
        budget: 26_000,
        guaranteed: 2_700,
        lendable: 2_800,
        lent: 29,
        borrowed: 30,
        rate: 3_100,
        spent: 32,
        denied: 33,
    };
    let configuration = ConfigurationState {
        version: Some(version(4, 5)),
        routes: 34,
        age_us: Some(350_000),
        watching: true,
        rejected: Some(RejectedVersion { version: version(4, 6), reason: "no".into() }),
    };
    let counts =
        RequestCounts { accepted: 14, served: 15, rejected: 16, failed: 17, abandoned: 18, attempts: 19 };
    DaemonState {
        boot: 3,
        release: Some(ReleaseState { build: 7, stage: 1, phase: "trial".into(), exposure_cap: 0.25 }),
        vote: Some("good".into()),
        pause: Some(PauseState { until_us: 13, issuer: "b".into() }),
        counts,
        connections: ConnectionCounts { clients: 20, servers: 21 },
        pending_responses: 22,
        peers: 23,
        endpoint_list_age_us: Some(2_450_000),
        servers: 25,
        quotas: vec![quota],
        configuration: Some(configuration),
        ..DaemonState::default()
    }
}

fn draining_state_behind() -> DaemonState {
    let mut state = current_state();
    state.draining = true;
    state.configuration = with_version(Some(version(4, 2))).configuration;
    state.quotas[0].budget = 20_000;
    state
}

fn reading(daemon: &str, state: Result<DaemonState, CallError>) -> DaemonReading {
    DaemonReading { daemon: daemon.into(), state }
}

fn readings() -> Vec<DaemonReading> {
    vec![
        reading("a", Ok(current_state())),
        reading("b", Ok(draining_state_behind())),
        reading("c", Ok(with_version(Some(version(3, 9))))),
        reading("d", Ok(with_version(None))),
        reading("e", Ok(DaemonState::default())),
        reading("f", Err(CallError::Timeout)),
    ]
}

fn outcome(daemon: &str, outcome: Outcome) -> DaemonOutcome {
    DaemonOutcome { daemon: daemon.into(), outcome }
}

fn command_reports() -> [CommandReport; 2] {
    let outcomes = vec![
        outcome("a", Outcome::Applied { already: false }),
        outcome("b", Outcome::Rejected("late".into())),
        outcome("c", Outcome::Applied { already: true }),
        outcome("d", Outcome::Unanswered("no answer in time".into())),
    ];
    let release = Some(ReleaseStage { build: 7, stage: 1 });
    let fenced = CommandReport { id: "00ff".into(), release, outcomes };
    let applied = vec![outcome("a", Outcome::Applied { already: false })];
    let unfenced = CommandReport { id: "00ff".into(), release: None, outcomes: applied };
    [fenced, unfenced]
}

#[test]
fn tables_json_and_exit_statuses_match_the_golden_text() {
    let mut text = String::new();
    for command_report in command_reports() {
        text.push_str(&report::command_table(&command_report));
        let exit_code = report::exit_status(&command_report).code();
        writeln!(text, "{}\nexit {exit_code}", report::command_json(&command_report)).unwrap();
    }
    let readings = readings();
    let without_budgets_and_publisher = [reading("a", Ok(DaemonState::default()))];
    text.push_str(&report::state_table(&readings));
    writeln!(text, "{}", report::state_json(&readings)).unwrap();
    text.push_str(&report::quota_table(&readings));
    text.push_str(&report::quota_table(&without_budgets_and_publisher));
    text.push_str(&report::configuration_table(&readings));
    text.push_str(&report::configuration_table(&without_budgets_and_publisher));
    assert_eq!(text, GOLDEN);
}
