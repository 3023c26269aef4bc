//! Commands twice, late, out of order, for others, in two steps, and contrary ones at one moment.

use violetseam_operator_commands::wire::{encode_line, parse_request};
use violetseam_operator_commands::{
    Action, Change, Command, CommandLog, DaemonContext, Decision, Fence, PersistedState, Phase, ReleaseStage,
    Reply, Request,
};

const S: u64 = 1_000_000;
const NOW: u64 = 1_000_000 * S;
const CONTEXT: DaemonContext = DaemonContext { boot: 3, release: Some(ReleaseStage { build: 7, stage: 1 }) };

fn command(id: &str, action: Action) -> Command {
    let fence = Fence { boot: None, build: Some(7), stage: Some(1) };
    let (id, issuer) = (id.to_owned(), "on-call".to_owned());
    Command { id, issuer, issued_us: 0, expires_us: NOW + 60 * S, fence, phase: Phase::Immediate, action }
}

fn pause(id: &str) -> Command {
    command(id, Action::Pause { until_us: NOW + 600 * S })
}

fn applied(change: Change) -> Decision {
    Decision { reply: Reply::Applied { already: false }, change: Some(change) }
}

fn unchanged(reply: Reply) -> Decision {
    Decision { reply, change: None }
}

fn is_rejected(reply: &Reply, why: &str) -> bool {
    matches!(reply, Reply::Rejected { reason } if reason.contains(why))
}

#[test]
fn a_command_is_applied_once_however_often_it_arrives_and_over_a_restart() {
    let mut log = CommandLog::default();
    assert_eq!(log.submit(NOW, CONTEXT, &pause("a")), applied(Change::Pause));
    assert_eq!(log.submit(NOW + S, CONTEXT, &pause("a")), unchanged(Reply::Applied { already: true }));
    let mut log = CommandLog::new(log.persisted().clone());
    assert_eq!(log.submit(NOW + 2 * S, CONTEXT, &pause("a")), unchanged(Reply::Applied { already: true }));
    assert_eq!(log.pause().map(|p| p.until_us), Some(NOW + 600 * S));
    // Past its expiry a repeat still gets the answer it had, and is not applied again.
    log.submit(NOW + 3 * S, CONTEXT, &command("b", Action::Resume));
    assert_eq!(log.submit(NOW + 90 * S, CONTEXT, &pause("a")), unchanged(Reply::Applied { already: true }));
    assert_eq!(log.pause(), None);
}

#[test]
fn what_is_late_early_or_for_another_build_stage_or_incarnation_is_rejected_with_the_reason() {
    let mut log = CommandLog::default();
    let mut try_it = |change: &dyn Fn(&mut Command), why: &str| {
        let mut c = pause(why);
        change(&mut c);
        let Decision { reply, change } = log.submit(NOW, CONTEXT, &c);
        assert!(is_rejected(&reply, why) && change.is_none(), "{why}: {reply:?}");
    };
    try_it(&|c| c.expires_us = NOW, "expired");
    try_it(&|c| c.expires_us = NOW - 3_600 * S, "3600.0 s ago");
    try_it(&|c| c.expires_us = NOW + 25 * 3_600 * S, "over a day");
    try_it(&|c| c.fence.boot = Some(2), "its boot number is 3");
    try_it(&|c| c.fence.build = Some(6), "build 7 is in stage 1");
    try_it(&|c| c.fence.stage = Some(0), "build 7 is in stage 1");
    try_it(&|c| c.fence.build = None, "must name its build");
    try_it(&|c| c.action = Action::Pause { until_us: NOW }, "a pause ends between");
    assert_eq!(log.pause(), None);
    let unknown = DaemonContext { boot: 3, release: None };
    assert!(is_rejected(&log.submit(NOW, unknown, &pause("n")).reply, "not been told"));
}

#[test]
fn what_is_prepared_is_applied_on_commit_and_released_at_its_expiry() {
    let mut log = CommandLog::default();
    let step = |phase| Command { phase, ..pause("two") };
    assert_eq!(log.submit(NOW, CONTEXT, &step(Phase::Prepare)), unchanged(Reply::Prepared));
    assert_eq!((log.pause(), log.prepared_count(), log.next_expiry()), (None, 1, Some(NOW + 60 * S)));
    assert_eq!(log.submit(NOW + S, CONTEXT, &step(Phase::Commit)), applied(Change::Pause));
    // Nothing heard: it releases by itself, and a commit that comes later is refused.
    let late = |phase| Command { phase, ..pause("late") };
    log.submit(NOW, CONTEXT, &late(Phase::Prepare));
    log.expire(NOW + 61 * S, CONTEXT);
    assert_eq!(log.prepared_count(), 0);
    assert!(is_rejected(&log.submit(NOW + 61 * S, CONTEXT, &late(Phase::Commit)).reply, "released"));
    // A restart between the two steps forgets the promise.
    log.submit(NOW, CONTEXT, &Command { phase: Phase::Prepare, ..pause("gone") });
    let mut restarted = CommandLog::new(log.persisted().clone());
    assert!(is_rejected(
        &restarted.submit(NOW, CONTEXT, &Command { phase: Phase::Commit, ..pause("gone") }).reply,
        "nothing"
    ));
    // The build moved between the two steps: what was promised no longer holds.
    log.submit(NOW, CONTEXT, &Command { phase: Phase::Prepare, ..pause("moved") });
    let moved = DaemonContext { release: Some(ReleaseStage { build: 7, stage: 2 }), ..CONTEXT };
    let commit = Command { phase: Phase::Commit, ..pause("moved") };
    assert!(is_rejected(&log.submit(NOW, moved, &commit).reply, "another build or stage"));
}

#[test]
fn a_pause_ends_at_its_moment_or_with_its_stage() {
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &pause("a"));
    assert_eq!(log.expire(NOW + 599 * S, CONTEXT), None);
    assert_eq!(log.expire(NOW + 600 * S, CONTEXT), Some(Change::Resume));
    log.submit(NOW, CONTEXT, &pause("b"));
    assert_eq!(
        log.expire(NOW + S, DaemonContext { release: Some(ReleaseStage { build: 8, stage: 0 }), ..CONTEXT }),
        Some(Change::Resume)
    );
    assert_eq!(log.pause(), None);
}

#[test]
fn a_damaged_file_reads_as_paused_whatever_build_comes() {
    let mut log = CommandLog::new(PersistedState::paused_after_damage(NOW));
    assert_eq!(
        log.expire(NOW + S, DaemonContext { release: Some(ReleaseStage { build: 8, stage: 0 }), ..CONTEXT }),
        None
    );
    assert!(log.pause().is_some_and(|p| p.issuer.contains("damaged")));
    assert_eq!(log.submit(NOW, CONTEXT, &command("r", Action::Resume)).change, Some(Change::Resume));
    assert_eq!(log.pause(), None);
}

#[test]
fn contrary_commands_have_one_order_and_the_memory_is_bounded() {
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &pause("a"));
    log.submit(NOW, CONTEXT, &command("b", Action::Resume));
    assert_eq!(log.pause(), None, "the later one counts");
    for n in 0..10_000 {
        log.submit(NOW, CONTEXT, &command(&n.to_string(), Action::Resume));
    }
    assert!(log.persisted().decided.len() <= 4_096);
}

#[test]
fn lines_are_read_strictly() {
    let sound = encode_line(&Request::Command(pause("x")));
    assert_eq!(parse_request(sound.trim_ascii_end()).unwrap(), Request::Command(pause("x")));
    for bad in [&b"{"[..], b"\"sta", b"{\"command\":{}}", b"[]", b"\xff"] {
        assert!(parse_request(bad).is_err());
    }
    let empty = encode_line(&Request::Command(pause("")));
    assert!(parse_request(empty.trim_ascii_end()).is_err());
    let text = String::from_utf8(sound).unwrap().replace("\"act\"", "\"extra\":1,\"act\"");
    assert!(parse_request(text.trim().as_bytes()).is_err(), "a field nobody knows may change what is meant");
    assert_eq!(PersistedState::default(), PersistedState::default());
}

#[test]
fn of_contrary_commands_the_later_issued_stands_in_whatever_order_they_come() {
    let at = |id: &str, action: Action, issued_us: u64| Command { issued_us, ..command(id, action) };
    let one = at("a", Action::Pause { until_us: NOW + 60 * S }, NOW - 2);
    let other = at("b", Action::Resume, NOW - 1);
    let tie = at("c", Action::Pause { until_us: NOW + 60 * S }, NOW - 1);
    let orders = [[&one, &other, &tie], [&tie, &other, &one], [&other, &tie, &one], [&one, &tie, &other]];
    for order in orders {
        let mut log = CommandLog::default();
        let replies: Vec<Reply> = order.iter().map(|c| log.submit(NOW, CONTEXT, c).reply).collect();
        // `c` and `b` are of one moment: the later id stands.
        assert!(log.pause().is_some(), "{replies:?}");
    }
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &other);
    assert!(is_rejected(&log.submit(NOW, CONTEXT, &one).reply, "overtaken: resume"));
    // On another subject nothing was overtaken.
    assert_eq!(log.submit(NOW, CONTEXT, &at("d", Action::Drain, NOW - 3)).change, Some(Change::Drain));
    let ahead = at("e", Action::Drain, NOW + 6 * S);
    assert!(is_rejected(&log.submit(NOW, CONTEXT, &ahead).reply, "one of the clocks is off"));
}
