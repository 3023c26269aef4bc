//! Compares the JSON of the control socket and of the state file with golden lines, byte for byte, so that a
//! renamed type or field cannot change the format. The golden lines under `wire_format/` were written by a
//! build from before the types were renamed. They must not be regenerated to make a test pass.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use violetseam_operator_commands::daemon_state::{
    BuildAttempts, ConfigurationState, ConfigurationVersion, ConnectionCounts, DaemonState, PauseState,
    QuotaState, RejectedVersion, ReleaseState, RequestCounts,
};
use violetseam_operator_commands::persisted_state::{CommandInForce, DecidedCommand, Pause, PersistedState};
use violetseam_operator_commands::wire::encode_line;
use violetseam_operator_commands::{Action, Command, Fence, Phase, ReleaseStage, Reply, Request, Response};

const MESSAGES: &str = include_str!("wire_format/messages.jsonl");
const PERSISTED_STATES: &str = include_str!("wire_format/persisted_states.jsonl");

/// Checks that each value is written as its golden line, and that the line is read as the value.
fn assert_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(lines: &[&str], values: &[T]) {
    assert_eq!(lines.len(), values.len());
    for (line, value) in lines.iter().zip(values) {
        assert_eq!(String::from_utf8(encode_line(value)).unwrap(), format!("{line}\n"));
        assert_eq!(&serde_json::from_str::<T>(line).unwrap(), value);
    }
}

fn command(fence: Fence, phase: Phase, action: Action) -> Request {
    Request::Command(Command {
        id: "a".into(),
        issuer: "b".into(),
        issued_us: 1,
        expires_us: 2,
        fence,
        phase,
        action,
    })
}

fn requests() -> Vec<Request> {
    let fence = Fence { boot: Some(3), build: Some(7), stage: Some(1) };
    let actions = [
        Action::Pause { until_us: 9 },
        Action::Resume,
        Action::RollBack,
        Action::Drain,
        Action::Undrain,
        Action::LogLevel { filter: "info".into() },
        Action::Reload,
    ];
    let mut requests = Vec::new();
    for action in actions {
        requests.push(command(fence, Phase::Immediate, action));
    }
    for phase in [Phase::Prepare, Phase::Commit, Phase::Abort] {
        requests.push(command(Fence::default(), phase, Action::Resume));
    }
    requests.extend([Request::Whoami, Request::State, Request::Takeover]);
    requests
}

fn state() -> DaemonState {
    let version = ConfigurationVersion { term: 4, number: 5 };
    let configuration = ConfigurationState {
        version: Some(version),
        routes: 34,
        age_us: Some(35),
        watching: true,
        rejected: Some(RejectedVersion { version, reason: "no".into() }),
    };
    let quota = QuotaState {
        class: "read".into(),
        budget: 26,
        guaranteed: 27,
        lendable: 28,
        lent: 29,
        borrowed: 30,
        rate: 31,
        spent: 32,
        denied: 33,
    };
    let counts =
        RequestCounts { accepted: 14, served: 15, rejected: 16, failed: 17, abandoned: 18, attempts: 19 };
    DaemonState {
        name: "p-0".into(),
        boot: 3,
        uptime_us: 10,
        draining: true,
        release: Some(ReleaseState { build: 7, stage: 1, phase: "trial".into(), exposure_cap: 0.25 }),
        attempts: vec![BuildAttempts { build: 6, attempts: 11 }, BuildAttempts { build: 7, attempts: 12 }],
        vote: Some("good".into()),
        finding: Some("none".into()),
        pause: Some(PauseState { until_us: 13, issuer: "b".into() }),
        counts,
        connections: ConnectionCounts { clients: 20, servers: 21 },
        pending_responses: 22,
        peers: 23,
        endpoint_list_age_us: Some(24),
        servers: 25,
        quotas: vec![quota],
        configuration: Some(configuration),
    }
}

fn responses() -> Vec<Response> {
    vec![
        Response::Command(Reply::Applied { already: true }),
        Response::Command(Reply::Prepared),
        Response::Command(Reply::Released),
        Response::Command(Reply::rejected("no")),
        Response::Whoami { name: "p-0".into(), boot: 3, version: "1".into() },
        Response::Malformed { reason: "no".into() },
        Response::State(Box::new(state())),
        Response::State(Box::default()),
    ]
}

#[test]
fn requests_and_responses_match_the_golden_lines() {
    let lines: Vec<&str> = MESSAGES.lines().collect();
    let requests = requests();
    let (request_lines, response_lines) = lines.split_at(requests.len());
    assert_golden(request_lines, &requests);
    assert_golden(response_lines, &responses());
}

#[test]
fn persisted_states_match_the_golden_lines() {
    let in_force =
        CommandInForce { issued_us: 1, id: "a".into(), issuer: "b".into(), action: "pause".into() };
    let decided = DecidedCommand { expires_us: 2, reply: Reply::Applied { already: false } };
    let release = ReleaseStage { build: 7, stage: 1 };
    let state = PersistedState {
        pause: Some(Pause { until_us: 9, issuer: "b".into(), release: Some(release) }),
        decided: [("a".to_owned(), decided)].into(),
        in_force: [("votes".to_owned(), in_force)].into(),
    };
    let lines: Vec<&str> = PERSISTED_STATES.lines().collect();
    assert_golden(&lines, &[state, PersistedState::default()]);
}
