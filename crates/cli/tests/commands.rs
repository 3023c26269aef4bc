//! Operator commands under faults: a daemon that is stopped or restarted before or after a command, repeated
//! and reordered commands, wrong clocks, contradictory commands, a full disk, and a tool or a new process
//! that is killed.

mod common;

use common::PROGRAM;
use common::fleet::{Fleet, answer, count_outcomes, daemon_states, take_over};
use rustix::process::{Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

const MINUTE: u64 = 60_000_000;

/// A pause as the tool would send it, issued by a clock that is off by `clock_offset` microseconds.
fn pause(id: &str, phase: &str, clock_offset: i64) -> Value {
    let now = wall_clock().saturating_add_signed(clock_offset);
    json!({
        "id": id, "issuer": "test", "issued_us": now, "expires_us": now + MINUTE / 2, "phase": phase,
        "fence": {"build": 2, "stage": 1}, "act": {"pause": {"until_us": wall_clock() + 10 * MINUTE}},
    })
}

fn refusal_reason(answer: &Value) -> &str {
    answer["command"]["refused"]["reason"].as_str().unwrap_or("")
}

fn is_agreed(answer: &Value) -> bool {
    !answer["command"]["agreed"].is_null()
}

/// Waits until a condition holds, which must happen within 20 s.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_stopped_daemon_refuses_a_command_that_expired_before_it_continued() {
    let fleet = Fleet::start("c-late", 1);
    kill_process(fleet.daemons[0].pid(), Signal::STOP).unwrap();
    let mut command = pause("late", "now", 0);
    command["expires_us"] = json!(wall_clock() + 300_000);
    // The kernel accepts the connection and buffers the line while the process is stopped.
    let mut stream = UnixStream::connect(fleet.control(0)).unwrap();
    stream.write_all(format!("{}\n", json!({ "command": command })).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    kill_process(fleet.daemons[0].pid(), Signal::CONT).unwrap();
    let late = answer(stream);
    assert!(refusal_reason(&late).contains("expired"), "{late}");
    assert!(fleet.state(0)["paused"].is_null());
    fleet.end();
}

#[test]
fn a_daemon_stopped_after_a_command_keeps_its_effect() {
    let fleet = Fleet::start("c-after", 1);
    assert!(is_agreed(&fleet.send_command(0, &pause("a", "now", 0))));
    kill_process(fleet.daemons[0].pid(), Signal::STOP).unwrap();
    let (code, report, _) = fleet.run_tool(&["--timeout", "0.3", "resume"]);
    assert_eq!((code, count_outcomes(&report, "silent")), (4, 1));
    kill_process(fleet.daemons[0].pid(), Signal::CONT).unwrap();
    assert!(!fleet.state(0)["paused"].is_null(), "a command that was never sent ended the pause");
    fleet.end();
}

#[test]
fn a_restart_or_a_long_stop_between_prepare_and_commit_releases_the_command() {
    let mut fleet = Fleet::start("c-promise", 2);
    let prepared = fleet.send_command(0, &pause("p", "prepare", 0));
    assert_eq!(prepared["command"], "prepared", "{prepared}");
    fleet.restart("c-promise", 0);
    assert!(
        refusal_reason(&fleet.send_command(0, &pause("p", "commit", 0))).contains("nothing was prepared")
    );
    assert!(fleet.state(0)["paused"].is_null());

    let mut command = pause("q", "prepare", 0);
    command["expires_us"] = json!(wall_clock() + 300_000);
    assert_eq!(fleet.send_command(1, &command)["command"], "prepared");
    kill_process(fleet.daemons[1].pid(), Signal::STOP).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    kill_process(fleet.daemons[1].pid(), Signal::CONT).unwrap();
    let late = fleet.send_command(1, &pause("q", "commit", 0));
    assert!(refusal_reason(&late).contains("released"), "{late}");
    assert!(fleet.state(1)["paused"].is_null());
    // A stop that ends before the expiry has no effect.
    assert_eq!(fleet.send_command(1, &pause("r", "prepare", 0))["command"], "prepared");
    kill_process(fleet.daemons[1].pid(), Signal::STOP).unwrap();
    kill_process(fleet.daemons[1].pid(), Signal::CONT).unwrap();
    assert!(is_agreed(&fleet.send_command(1, &pause("r", "commit", 0))));
    assert!(!fleet.state(1)["paused"].is_null());
    fleet.end();
}

#[test]
fn repeated_commands_are_recognized_and_reordered_ones_and_wrong_clocks_are_refused() {
    let mut fleet = Fleet::start("c-order", 1);
    let first = pause("one", "now", 0);
    assert_eq!(fleet.send_command(0, &first)["command"]["agreed"]["again"], false);
    assert_eq!(fleet.send_command(0, &first)["command"]["agreed"]["again"], true);
    let mut resume = pause("two", "now", 0);
    resume["act"] = json!("resume");
    assert!(is_agreed(&fleet.send_command(0, &resume)));
    // The pause is delivered once more: it is recognized, and does not override the later resume.
    assert_eq!(fleet.send_command(0, &first)["command"]["agreed"]["again"], true);
    assert!(fleet.state(0)["paused"].is_null());
    // A command that was issued before the resume and arrives after it is refused.
    let mut overtaken = pause("three", "now", 0);
    overtaken["issued_us"] = json!(resume["issued_us"].as_u64().unwrap() - 1);
    let report = fleet.send_command(0, &overtaken);
    assert!(refusal_reason(&report).contains("overtaken: resume by test"), "{report}");
    // It is also refused after a restart, because the order is durable.
    fleet.restart("c-order", 0);
    overtaken["id"] = json!("four");
    assert!(refusal_reason(&fleet.send_command(0, &overtaken)).contains("overtaken"));
    let hour = 60 * MINUTE as i64;
    assert!(refusal_reason(&fleet.send_command(0, &pause("behind", "now", -hour))).contains("expired"));
    let ahead = fleet.send_command(0, &pause("ahead", "now", hour));
    assert!(refusal_reason(&ahead).contains("one of the clocks is off"), "{ahead}");
    assert!(fleet.state(0)["paused"].is_null());
    fleet.end();
}

#[test]
fn simultaneous_contradictory_commands_have_the_same_result_on_every_daemon() {
    let fleet = Fleet::start("c-contrary", 4);
    for round in 0..10 {
        let (pause_command, mut resume) =
            (pause(&format!("p{round}"), "now", 0), pause(&format!("r{round}"), "now", 0));
        resume["act"] = json!("resume");
        // The commands are issued within a microsecond of each other and sent in opposite orders.
        resume["issued_us"] = json!(pause_command["issued_us"].as_u64().unwrap() + round % 2);
        std::thread::scope(|scope| {
            scope.spawn(|| (0..4).for_each(|n| drop(fleet.send_command(n, &pause_command))));
            scope.spawn(|| (0..4).rev().for_each(|n| drop(fleet.send_command(n, &resume))));
        });
        let paused: Vec<bool> =
            daemon_states(&fleet.run_tool(&["state"]).1).iter().map(|s| !s["paused"].is_null()).collect();
        assert!(paused.windows(2).all(|w| w[0] == w[1]), "round {round}: {paused:?}");
        // The command with the later issue time takes precedence, and on a tie that with the greater id: it
        // is the resume in each round.
        assert!(!paused[0], "round {round}");
    }
    fleet.end();
}

#[test]
fn a_tool_killed_between_daemons_leaves_a_state_that_the_next_run_completes() {
    let fleet = Fleet::start("c-tool", 4);
    kill_process(fleet.daemons[3].pid(), Signal::STOP).unwrap();
    let mut tool = Command::new(PROGRAM)
        .args(["fleet", "--json", "--yes", "--timeout", "30", "--parallel", "1", "--fleet"])
        .arg(fleet.folder.join("fleet.star"))
        .args(["--only", "d0", "--only", "d1", "--only", "d2", "pause", "--for", "60"])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let paused = |n: usize| {
        let (_, state, _) = fleet.run_tool(&["--timeout", "0.3", "state"]);
        !daemon_states(&state)[n]["paused"].is_null()
    };
    // The tool sends to one daemon after the other. It is killed once the first has the command.
    wait_for("the first daemon's pause", || paused(0));
    tool.kill().unwrap();
    tool.wait().unwrap();
    kill_process(fleet.daemons[3].pid(), Signal::CONT).unwrap();
    let (code, report, _) = fleet.run_tool(&["--all-or-none", "pause", "--for", "60"]);
    assert_eq!((code, count_outcomes(&report, "agreed")), (0, 4), "{report}");
    assert!(daemon_states(&fleet.run_tool(&["state"]).1).iter().all(|s| !s["paused"].is_null()));
    fleet.end();
}

#[test]
fn commands_are_refused_without_effect_while_the_disk_is_full() {
    // With a file size limit of 0 bytes, writes fail as on a full disk; the signal SIGXFSZ is ignored. The
    // log is under the same limit.
    let log = std::env::temp_dir().join(format!("vs-c-full-{}.log", std::process::id()));
    let launch = format!("trap '' XFSZ; exec 2>>{};", log.display());
    let fleet = Fleet::start_with_launcher("c-full", &launch, 1);
    let pid = fleet.daemons[0].pid();
    let set_file_size_limit = |bytes| {
        let _ = prlimit(Some(pid), Resource::Fsize, Rlimit { current: bytes, maximum: None }).unwrap();
    };
    set_file_size_limit(Some(0));
    let refused = fleet.send_command(0, &pause("no-room", "now", 0));
    assert!(refusal_reason(&refused).contains("cannot be kept"), "{refused}");
    // SIGHUP makes the daemon log a line that cannot be written.
    kill_process(pid, Signal::HUP).unwrap();
    assert!(fleet.state(0)["paused"].is_null(), "a command that was refused took effect");
    assert!(fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok")));
    assert!(refusal_reason(&fleet.send_command(0, &pause("still-none", "now", 0))).contains("kept"));
    set_file_size_limit(None);
    assert!(
        is_agreed(&fleet.send_command(0, &pause("room", "now", 0))),
        "commands are still refused although the disk has room"
    );
    assert!(!fleet.state(0)["paused"].is_null());
    fleet.end();
    std::fs::remove_file(log).unwrap();
}

/// Runs a process that takes over, started by the shell code `launch`. Returns whether it succeeded, and its
/// standard error.
fn run_takeover(name: &str, launch: &str) -> (bool, String) {
    let settings = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-0.star"));
    let command = format!("{launch} exec {PROGRAM} serve --takeover --settings {}", settings.display());
    let out = Command::new("/bin/sh").args(["-c", &command]).output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn the_old_process_serves_on_if_the_new_one_is_killed_or_finds_the_disk_full() {
    let mut fleet = Fleet::start("c-dies", 1);
    assert!(is_agreed(&fleet.send_command(0, &pause("stands", "now", 0))));
    // The first write past the limit kills the new process during the takeover.
    assert!(!run_takeover("c-dies", "ulimit -f 0; ").0);
    // With the signal ignored, the store reports the failed write.
    let (succeeded, stderr) = run_takeover("c-dies", "trap '' XFSZ; ulimit -f 0;");
    assert!(!succeeded && stderr.to_lowercase().contains("file too large"), "{stderr}");
    wait_for("the old process serves again", || {
        fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok"))
    });
    let mut resume = pause("later", "now", 0);
    resume["act"] = json!("resume");
    assert!(!fleet.state(0)["paused"].is_null());
    wait_for("the old process writes its state again", || is_agreed(&fleet.send_command(0, &resume)));
    // A later takeover still succeeds.
    let new = take_over("c-dies");
    assert!(fleet.daemons[0].child.wait().unwrap().success());
    fleet.daemons[0].child = new;
    wait_for("the new process serves", || {
        fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok"))
    });
    assert!(is_agreed(&fleet.send_command(0, &pause("over", "now", 0))));
    fleet.end();
}
