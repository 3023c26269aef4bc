//! Calls to daemons that do not answer, answer half a line, close the connection or send invalid responses,
//! and the fences and two-phase commits of commands.

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use violetseam_fleet::{
    CallError, CommandOptions, DaemonOutcome, DaemonReading, Delivery, Fleet, Outcome, report, select_members,
};
use violetseam_operator_commands::daemon_state::{QuotaState, ReleaseState};
use violetseam_operator_commands::wire::encode_line;
use violetseam_operator_commands::{Action, DaemonState, ReleaseStage, Reply, Request, Response};
use violetseam_settings::Member;

/// Starts a daemon on a local socket. `serve` is called with each connection and the number of those before
/// it.
fn start_daemon(name: &str, serve: impl Fn(UnixStream, usize) + Send + 'static) -> Member {
    let path: PathBuf = std::env::temp_dir().join(format!("vs-call-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path).unwrap();
    std::thread::spawn(move || {
        for (index, stream) in listener.incoming().flatten().enumerate() {
            serve(stream, index);
        }
    });
    Member { name: name.into(), control: path.display().to_string(), groups: vec!["all".into()] }
}

fn read_line(stream: &mut UnixStream) -> String {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while stream.read(&mut byte).unwrap_or(0) == 1 && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    String::from_utf8(line).unwrap()
}

/// Starts a daemon that reports this release stage as its state and answers each command with `reply`.
fn responsive_daemon(
    name: &str,
    release: (u16, u8),
    reply: impl Fn(&str) -> Reply + Send + 'static,
) -> Member {
    start_daemon(name, move |mut stream, _| {
        let line = read_line(&mut stream);
        let answer = if line.contains("state") && !line.contains("command") {
            let release = ReleaseState { build: release.0, stage: release.1, ..ReleaseState::default() };
            Response::State(Box::new(DaemonState {
                boot: 4,
                release: Some(release),
                ..DaemonState::default()
            }))
        } else {
            Response::Command(reply(&line))
        };
        let _ = stream.write_all(&encode_line(&answer));
    })
}

fn options(delivery: Delivery) -> CommandOptions {
    CommandOptions { issuer: "test".into(), validity: Duration::from_secs(5), delivery }
}

fn applies(_: &str) -> Reply {
    Reply::Applied { already: false }
}

#[test]
fn each_failure_to_answer_is_reported_and_none_exceeds_the_timeout() {
    let members = vec![
        responsive_daemon("sound", (2, 1), applies),
        start_daemon("mute", |stream, _| {
            std::thread::sleep(Duration::from_secs(3));
            drop(stream);
        }),
        start_daemon("half", |mut stream, _| {
            let _ = stream.write_all(b"{\"state\":{\"na");
            std::thread::sleep(Duration::from_secs(3));
        }),
        start_daemon("closes", |stream, _| drop(stream)),
        start_daemon("nonsense", |mut stream, _| {
            // Read the request first: closing a connection with unread input resets it, which is reported as
            // closed.
            read_line(&mut stream);
            let _ = stream.write_all(b"what?\n");
        }),
        start_daemon("endless", |mut stream, _| while stream.write_all(&[b'x'; 4096]).is_ok() {}),
        Member { name: "absent".into(), control: "/nonexistent/socket".into(), groups: Vec::new() },
    ];
    let fleet = Fleet { members, timeout: Duration::from_millis(500), parallel: 16, identity: None };
    let started = Instant::now();
    let command_report = fleet.send_command(&Action::Resume, &options(Delivery::Independent), &mut |_| {});
    assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
    assert_eq!(command_report.outcomes[0].outcome, Outcome::Applied { already: false });
    let expected_reasons = [
        "no answer in time",
        "half an answer",
        "closed",
        "cannot be read",
        "without an end",
        "no connection",
    ];
    for (DaemonOutcome { daemon, outcome }, expected) in
        command_report.outcomes[1..].iter().zip(expected_reasons)
    {
        assert!(
            matches!(outcome, Outcome::Unanswered(reason) if reason.contains(expected)),
            "{daemon}: {outcome:?}"
        );
    }
    assert_eq!(report::exit_status(&command_report), report::ExitStatus::Unanswered);
    assert!(report::command_table(&command_report).contains("1 agreed, 0 refused, 6 never answered"));
}

#[test]
fn commands_are_fenced_with_the_most_common_stage_and_each_daemons_boot_number() {
    let applies_if_fenced = |line: &str| {
        let has_fence =
            line.contains("\"boot\":4") && line.contains("\"build\":9") && line.contains("\"stage\":2");
        if has_fence { applies("") } else { Reply::Rejected { reason: line.to_owned() } }
    };
    let members = vec![
        responsive_daemon("a", (9, 2), applies_if_fenced),
        responsive_daemon("b", (9, 2), applies_if_fenced),
        responsive_daemon("c", (8, 3), applies_if_fenced),
    ];
    let fleet = Fleet { members, timeout: Duration::from_secs(1), parallel: 2, identity: None };
    let command_report = fleet.send_command(&Action::RollBack, &options(Delivery::Independent), &mut |_| {});
    assert_eq!(command_report.release, Some(ReleaseStage { build: 9, stage: 2 }));
    assert!(
        command_report.outcomes.iter().all(|daemon| daemon.outcome == Outcome::Applied { already: false }),
        "{:?}",
        command_report.outcomes
    );
}

#[test]
fn all_or_none_releases_prepared_daemons_if_one_rejects() {
    let prepares_and_aborts = |line: &str| match line {
        line if line.contains("prepare") => Reply::Prepared,
        line if line.contains("abort") => Reply::Released,
        _ => panic!("committed although a daemon rejected the command: {line}"),
    };
    let rejects = |_: &str| Reply::Rejected { reason: "not me".into() };
    let members = vec![
        responsive_daemon("ready", (2, 1), prepares_and_aborts),
        responsive_daemon("refuses", (2, 1), rejects),
    ];
    let fleet = Fleet { members, timeout: Duration::from_secs(1), parallel: 2, identity: None };
    let command_report = fleet.send_command(&Action::Resume, &options(Delivery::AllOrNone), &mut |_| {});
    assert!(matches!(
        &command_report.outcomes[0].outcome,
        Outcome::Rejected(reason) if reason.contains("not all were ready")
    ));
    assert_eq!(command_report.outcomes[1].outcome, Outcome::Rejected("not me".into()));
    assert_eq!(report::exit_status(&command_report), report::ExitStatus::Rejected);
}

#[test]
fn members_are_selected_by_name_or_group() {
    let member = |name: &str, group: &str| Member {
        name: name.into(),
        control: name.into(),
        groups: vec![group.into()],
    };
    let all = vec![member("a", "x"), member("b", "y"), member("c", "x")];
    let select = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        select_members(all.clone(), &names)
            .map(|selected| selected.into_iter().map(|member| member.name).collect::<Vec<_>>())
    };
    assert_eq!(select(&["x"]).unwrap(), ["a", "c"]);
    assert_eq!(select(&["b", "c"]).unwrap(), ["b", "c"]);
    assert!(select(&["z"]).is_err());
    let _ = Request::Whoami;
}

#[test]
fn quotas_are_shown_by_class_with_their_sum_and_differing_budgets() {
    let with_quota = |budget, rate| {
        let quota = QuotaState { class: "read".into(), budget, rate, ..QuotaState::default() };
        Ok(DaemonState { quotas: vec![quota], ..DaemonState::default() })
    };
    let readings = |states: [Result<DaemonState, CallError>; 3]| {
        let named = ["a", "b", "c"].into_iter().zip(states);
        named.map(|(daemon, state)| DaemonReading { daemon: daemon.into(), state }).collect::<Vec<_>>()
    };
    let same_budgets = report::quota_table(&readings([
        with_quota(9_000, 4_000),
        with_quota(9_000, 2_500),
        Err(CallError::Timeout),
    ]));
    assert!(
        same_budgets.contains("read: those that answered may spend 6.5 of 9.0 (2) a second\n"),
        "{same_budgets}"
    );
    assert!(
        same_budgets.contains("SILENT")
            && same_budgets.ends_with(": c\n")
            && !same_budgets.contains("DISAGREE"),
        "{same_budgets}"
    );
    let different_budgets = report::quota_table(&readings([
        with_quota(9_000, 3_000),
        with_quota(8_000, 2_000),
        Ok(DaemonState::default()),
    ]));
    assert!(
        different_budgets.contains("5.0 of 8.0 (1), 9.0 (1) a second; THEY DISAGREE"),
        "{different_budgets}"
    );
    assert!(different_budgets.contains("1 have none"), "{different_budgets}");
}
