//! Daemons that accept and never answer, answer half a line, close, or answer nonsense.

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

fn daemon(name: &str, play: impl Fn(UnixStream, usize) + Send + 'static) -> Member {
    let path: PathBuf = std::env::temp_dir().join(format!("vs-call-{name}-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path).unwrap();
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            play(stream, n);
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

/// A daemon that reports a build and answers commands with `reply`.
fn sound(name: &str, release: (u16, u8), reply: impl Fn(&str) -> Reply + Send + 'static) -> Member {
    daemon(name, move |mut stream, _| {
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
fn each_kind_of_silence_is_told_and_none_takes_longer_than_its_time() {
    let members = vec![
        sound("sound", (2, 1), applies),
        daemon("mute", |stream, _| {
            std::thread::sleep(Duration::from_secs(3));
            drop(stream);
        }),
        daemon("half", |mut stream, _| {
            let _ = stream.write_all(b"{\"state\":{\"na");
            std::thread::sleep(Duration::from_secs(3));
        }),
        daemon("closes", |stream, _| drop(stream)),
        daemon("nonsense", |mut stream, _| {
            // Read first: one that closes with a line unread is a reset, which is told as closed.
            read_line(&mut stream);
            let _ = stream.write_all(b"what?\n");
        }),
        daemon("endless", |mut stream, _| while stream.write_all(&[b'x'; 4096]).is_ok() {}),
        Member { name: "absent".into(), control: "/nonexistent/socket".into(), groups: Vec::new() },
    ];
    let fleet = Fleet { members, timeout: Duration::from_millis(500), parallel: 16, identity: None };
    let began = Instant::now();
    let command_report = fleet.send_command(&Action::Resume, &options(Delivery::Independent), &mut |_| {});
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    assert_eq!(command_report.outcomes[0].outcome, Outcome::Applied { already: false });
    let whys = [
        "no answer in time",
        "half an answer",
        "closed",
        "cannot be read",
        "without an end",
        "no connection",
    ];
    for (DaemonOutcome { daemon, outcome }, why) in command_report.outcomes[1..].iter().zip(whys) {
        assert!(matches!(outcome, Outcome::Unanswered(w) if w.contains(why)), "{daemon}: {outcome:?}");
    }
    assert_eq!(report::exit_status(&command_report), report::ExitStatus::Unanswered);
    assert!(report::command_table(&command_report).contains("1 agreed, 0 refused, 6 never answered"));
}

#[test]
fn commands_carry_the_fence_that_most_report_and_the_boot_number_of_each() {
    let fenced = |line: &str| {
        let ok = line.contains("\"boot\":4") && line.contains("\"build\":9") && line.contains("\"stage\":2");
        if ok { applies("") } else { Reply::Rejected { reason: line.to_owned() } }
    };
    let members = vec![sound("a", (9, 2), fenced), sound("b", (9, 2), fenced), sound("c", (8, 3), fenced)];
    let fleet = Fleet { members, timeout: Duration::from_secs(1), parallel: 2, identity: None };
    let command_report = fleet.send_command(&Action::RollBack, &options(Delivery::Independent), &mut |_| {});
    assert_eq!(command_report.release, Some(ReleaseStage { build: 9, stage: 2 }));
    assert!(
        command_report.outcomes.iter().all(|o| o.outcome == Outcome::Applied { already: false }),
        "{:?}",
        command_report.outcomes
    );
}

#[test]
fn all_or_none_releases_the_ready_ones_when_one_refuses() {
    let steps = |line: &str| match line {
        l if l.contains("prepare") => Reply::Prepared,
        l if l.contains("abort") => Reply::Released,
        _ => panic!("committed although one refused: {line}"),
    };
    let refuses = |_: &str| Reply::Rejected { reason: "not me".into() };
    let members = vec![sound("ready", (2, 1), steps), sound("refuses", (2, 1), refuses)];
    let fleet = Fleet { members, timeout: Duration::from_secs(1), parallel: 2, identity: None };
    let command_report = fleet.send_command(&Action::Resume, &options(Delivery::AllOrNone), &mut |_| {});
    assert!(
        matches!(&command_report.outcomes[0].outcome, Outcome::Rejected(w) if w.contains("not all were ready"))
    );
    assert_eq!(command_report.outcomes[1].outcome, Outcome::Rejected("not me".into()));
    assert_eq!(report::exit_status(&command_report), report::ExitStatus::Rejected);
}

#[test]
fn members_are_picked_by_name_or_group() {
    let member = |name: &str, group: &str| Member {
        name: name.into(),
        control: name.into(),
        groups: vec![group.into()],
    };
    let all = vec![member("a", "x"), member("b", "y"), member("c", "x")];
    let names = |only: &[&str]| {
        let only: Vec<String> = only.iter().map(|s| (*s).to_owned()).collect();
        select_members(all.clone(), &only).map(|p| p.into_iter().map(|m| m.name).collect::<Vec<_>>())
    };
    assert_eq!(names(&["x"]).unwrap(), ["a", "c"]);
    assert_eq!(names(&["b", "c"]).unwrap(), ["b", "c"]);
    assert!(names(&["z"]).is_err());
    let _ = Request::Whoami;
}

#[test]
fn quotas_are_shown_by_class_with_their_sum_and_whoever_differs() {
    let of = |budget, rate| {
        let quota = QuotaState { class: "read".into(), budget, rate, ..QuotaState::default() };
        Ok(DaemonState { quotas: vec![quota], ..DaemonState::default() })
    };
    let readings = |states: [Result<DaemonState, CallError>; 3]| {
        let named = ["a", "b", "c"].into_iter().zip(states);
        named.map(|(daemon, state)| DaemonReading { daemon: daemon.into(), state }).collect::<Vec<_>>()
    };
    let alike = report::quota_table(&readings([of(9_000, 4_000), of(9_000, 2_500), Err(CallError::Timeout)]));
    assert!(alike.contains("read: those that answered may spend 6.5 of 9.0 (2) a second\n"), "{alike}");
    assert!(alike.contains("SILENT") && alike.ends_with(": c\n") && !alike.contains("DISAGREE"), "{alike}");
    let unlike =
        report::quota_table(&readings([of(9_000, 3_000), of(8_000, 2_000), Ok(DaemonState::default())]));
    assert!(unlike.contains("5.0 of 8.0 (1), 9.0 (1) a second; THEY DISAGREE"), "{unlike}");
    assert!(unlike.contains("1 have none"), "{unlike}");
}
