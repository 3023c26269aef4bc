//! What can happen to a command on its way and to a daemon in the middle of one: freezes, restarts, repeats,
//! wrong clocks, contrary operators, a full disk, a tool that dies, a new process that dies in a takeover.

mod common;

use common::PROGRAM;
use common::fleet::{Fleet, answer, count, states, take_over};
use rustix::process::{Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

const MINUTE: u64 = 60_000_000;

/// A pause as the tool would send it, issued and expiring by a clock that is `off`.
fn pause(id: &str, phase: &str, off: i64) -> Value {
    let now = clock().saturating_add_signed(off);
    json!({
        "id": id, "issuer": "test", "issued_us": now, "expires_us": now + MINUTE / 2, "phase": phase,
        "fence": {"build": 2, "stage": 1}, "act": {"pause": {"until_us": clock() + 10 * MINUTE}},
    })
}

fn why(answer: &Value) -> &str {
    answer["command"]["refused"]["reason"].as_str().unwrap_or("")
}

fn agreed(answer: &Value) -> bool {
    !answer["command"]["agreed"].is_null()
}

/// Waits for something that must come.
fn wait_for(what: &str, mut is: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !is() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_daemon_frozen_before_its_command_refuses_it_once_it_is_late() {
    let fleet = Fleet::start("c-late", 1);
    kill_process(fleet.daemons[0].pid(), Signal::STOP).unwrap();
    let mut command = pause("late", "now", 0);
    command["expires_us"] = json!(clock() + 300_000);
    // The kernel takes connection and line for the stopped process.
    let mut stream = UnixStream::connect(fleet.control(0)).unwrap();
    stream.write_all(format!("{}\n", json!({ "command": command })).as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    kill_process(fleet.daemons[0].pid(), Signal::CONT).unwrap();
    let late = answer(stream);
    assert!(why(&late).contains("expired"), "{late}");
    assert!(fleet.state(0)["paused"].is_null());
    fleet.end();
}

#[test]
fn a_daemon_frozen_after_its_command_keeps_it() {
    let fleet = Fleet::start("c-after", 1);
    assert!(agreed(&fleet.raw(0, &pause("a", "now", 0))));
    kill_process(fleet.daemons[0].pid(), Signal::STOP).unwrap();
    let (code, told, _) = fleet.tool(&["--timeout", "0.3", "resume"]);
    assert_eq!((code, count(&told, "silent")), (4, 1));
    kill_process(fleet.daemons[0].pid(), Signal::CONT).unwrap();
    assert!(!fleet.state(0)["paused"].is_null(), "a command that was never sent ended the pause");
    fleet.end();
}

#[test]
fn between_prepare_and_commit_a_restart_or_a_long_freeze_releases_the_promise() {
    let mut fleet = Fleet::start("c-promise", 2);
    let prepared = fleet.raw(0, &pause("p", "prepare", 0));
    assert_eq!(prepared["command"], "prepared", "{prepared}");
    fleet.restart("c-promise", 0);
    assert!(why(&fleet.raw(0, &pause("p", "commit", 0))).contains("nothing was prepared"));
    assert!(fleet.state(0)["paused"].is_null());

    let mut command = pause("q", "prepare", 0);
    command["expires_us"] = json!(clock() + 300_000);
    assert_eq!(fleet.raw(1, &command)["command"], "prepared");
    kill_process(fleet.daemons[1].pid(), Signal::STOP).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    kill_process(fleet.daemons[1].pid(), Signal::CONT).unwrap();
    let late = fleet.raw(1, &pause("q", "commit", 0));
    assert!(why(&late).contains("released"), "{late}");
    assert!(fleet.state(1)["paused"].is_null());
    // A freeze that ends in time changes nothing.
    assert_eq!(fleet.raw(1, &pause("r", "prepare", 0))["command"], "prepared");
    kill_process(fleet.daemons[1].pid(), Signal::STOP).unwrap();
    kill_process(fleet.daemons[1].pid(), Signal::CONT).unwrap();
    assert!(agreed(&fleet.raw(1, &pause("r", "commit", 0))));
    assert!(!fleet.state(1)["paused"].is_null());
    fleet.end();
}

#[test]
fn repeats_are_known_out_of_order_is_refused_and_clocks_that_are_off_are_named() {
    let mut fleet = Fleet::start("c-order", 1);
    let first = pause("one", "now", 0);
    assert_eq!(fleet.raw(0, &first)["command"]["agreed"]["again"], false);
    assert_eq!(fleet.raw(0, &first)["command"]["agreed"]["again"], true);
    let mut resume = pause("two", "now", 0);
    resume["act"] = json!("resume");
    assert!(agreed(&fleet.raw(0, &resume)));
    // The pause once more, on a long way round: known, and not applied over the resume.
    assert_eq!(fleet.raw(0, &first)["command"]["agreed"]["again"], true);
    assert!(fleet.state(0)["paused"].is_null());
    // One issued before the resume that arrives after it.
    let mut overtaken = pause("three", "now", 0);
    overtaken["issued_us"] = json!(resume["issued_us"].as_u64().unwrap() - 1);
    let told = fleet.raw(0, &overtaken);
    assert!(why(&told).contains("overtaken: resume by test"), "{told}");
    // The same after a restart: the order is durable.
    fleet.restart("c-order", 0);
    overtaken["id"] = json!("four");
    assert!(why(&fleet.raw(0, &overtaken)).contains("overtaken"));
    let hour = 60 * MINUTE as i64;
    assert!(why(&fleet.raw(0, &pause("behind", "now", -hour))).contains("expired"));
    let ahead = fleet.raw(0, &pause("ahead", "now", hour));
    assert!(why(&ahead).contains("one of the clocks is off"), "{ahead}");
    assert!(fleet.state(0)["paused"].is_null());
    fleet.end();
}

#[test]
fn contrary_commands_at_one_moment_end_the_same_on_every_daemon() {
    let fleet = Fleet::start("c-contrary", 4);
    for round in 0..10 {
        let (one, mut other) = (pause(&format!("p{round}"), "now", 0), pause(&format!("r{round}"), "now", 0));
        other["act"] = json!("resume");
        // Issued within a microsecond of each other, and sent in opposite orders.
        other["issued_us"] = json!(one["issued_us"].as_u64().unwrap() + round % 2);
        std::thread::scope(|scope| {
            scope.spawn(|| (0..4).for_each(|n| drop(fleet.raw(n, &one))));
            scope.spawn(|| (0..4).rev().for_each(|n| drop(fleet.raw(n, &other))));
        });
        let paused: Vec<bool> =
            states(&fleet.tool(&["state"]).1).iter().map(|s| !s["paused"].is_null()).collect();
        assert!(paused.windows(2).all(|w| w[0] == w[1]), "round {round}: {paused:?}");
        // Later issued, or at one moment of the later id: the resume each time.
        assert!(!paused[0], "round {round}");
    }
    fleet.end();
}

#[test]
fn a_tool_killed_in_the_middle_leaves_each_daemon_whole_and_the_next_run_finishes() {
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
        let (_, state, _) = fleet.tool(&["--timeout", "0.3", "state"]);
        !states(&state)[n]["paused"].is_null()
    };
    // One after the other: killed once the first has it.
    wait_for("the first daemon's pause", || paused(0));
    tool.kill().unwrap();
    tool.wait().unwrap();
    kill_process(fleet.daemons[3].pid(), Signal::CONT).unwrap();
    let (code, told, _) = fleet.tool(&["--all-or-none", "pause", "--for", "60"]);
    assert_eq!((code, count(&told, "agreed")), (0, 4), "{told}");
    assert!(states(&fleet.tool(&["state"]).1).iter().all(|s| !s["paused"].is_null()));
    fleet.end();
}

#[test]
fn with_a_full_disk_commands_are_refused_and_change_nothing_until_there_is_room() {
    // Writes past a limit of 0 bytes fail as on a full disk; the signal that comes with it is ignored.
    // The log is on the same full disk.
    let log = std::env::temp_dir().join(format!("vs-c-full-{}.log", std::process::id()));
    let launch = format!("trap '' XFSZ; exec 2>>{};", log.display());
    let fleet = Fleet::start_with("c-full", &launch, 1);
    let pid = fleet.daemons[0].pid();
    let limit = |most| {
        let _ = prlimit(Some(pid), Resource::Fsize, Rlimit { current: most, maximum: None }).unwrap();
    };
    limit(Some(0));
    let refused = fleet.raw(0, &pause("no-room", "now", 0));
    assert!(why(&refused).contains("cannot be kept"), "{refused}");
    // Something to be logged while nothing can be.
    kill_process(pid, Signal::HUP).unwrap();
    assert!(fleet.state(0)["paused"].is_null(), "a command that was refused took effect");
    assert!(fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok")));
    assert!(why(&fleet.raw(0, &pause("still-none", "now", 0))).contains("kept"));
    limit(None);
    assert!(agreed(&fleet.raw(0, &pause("room", "now", 0))), "room again, and commands still refused");
    assert!(!fleet.state(0)["paused"].is_null());
    fleet.end();
    std::fs::remove_file(log).unwrap();
}

/// Starts a process that takes over, under a launcher; how it ended.
fn successor(name: &str, launch: &str) -> (bool, String) {
    let settings = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-0.star"));
    let command = format!("{launch} exec {PROGRAM} serve --takeover --settings {}", settings.display());
    let out = Command::new("/bin/sh").args(["-c", &command]).output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test]
fn a_takeover_that_dies_or_finds_the_disk_full_leaves_the_old_process_serving() {
    let mut fleet = Fleet::start("c-dies", 1);
    assert!(agreed(&fleet.raw(0, &pause("stands", "now", 0))));
    // The first write past the limit kills the new process, in the middle of the takeover.
    assert!(!successor("c-dies", "ulimit -f 0; ").0);
    // With the signal ignored, the store says what is wrong.
    let (well, text) = successor("c-dies", "trap '' XFSZ; ulimit -f 0;");
    assert!(!well && text.to_lowercase().contains("file too large"), "{text}");
    wait_for("the old process serves on", || {
        fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok"))
    });
    let mut resume = pause("later", "now", 0);
    resume["act"] = json!("resume");
    assert!(!fleet.state(0)["paused"].is_null());
    wait_for("its state is its own again", || agreed(&fleet.raw(0, &resume)));
    // A sound one still can.
    let new = take_over("c-dies");
    assert!(fleet.daemons[0].child.wait().unwrap().success());
    fleet.daemons[0].child = new;
    wait_for("the new process serves", || {
        fleet.daemons[0].ask(Duration::from_secs(2)).is_some_and(|a| a.ends_with("ok"))
    });
    assert!(agreed(&fleet.raw(0, &pause("over", "now", 0))));
    fleet.end();
}
