//! The command log given commands that are repeated, late, out of order, fenced with another state, committed
//! in two phases or contradictory.

use violetseam_operator_commands::wire::{encode_line, parse_request};
use violetseam_operator_commands::{
    Action, Change, Command, CommandLog, DaemonContext, Decision, Fence, PersistedState, Phase, ReleaseStage,
    Reply, Request,
};

const SECOND_US: u64 = 1_000_000;
const NOW: u64 = 1_000_000 * SECOND_US;
const CONTEXT: DaemonContext = DaemonContext { boot: 3, release: Some(ReleaseStage { build: 7, stage: 1 }) };

fn command(id: &str, action: Action) -> Command {
    let fence = Fence { boot: None, build: Some(7), stage: Some(1) };
    let (id, issuer) = (id.to_owned(), "on-call".to_owned());
    Command {
        id,
        issuer,
        issued_us: 0,
        expires_us: NOW + 60 * SECOND_US,
        fence,
        phase: Phase::Immediate,
        action,
    }
}

fn pause(id: &str) -> Command {
    command(id, Action::Pause { until_us: NOW + 600 * SECOND_US })
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
fn a_command_is_applied_once_however_often_it_arrives_even_across_a_restart() {
    let mut log = CommandLog::default();
    assert_eq!(log.submit(NOW, CONTEXT, &pause("a")), applied(Change::Pause));
    assert_eq!(
        log.submit(NOW + SECOND_US, CONTEXT, &pause("a")),
        unchanged(Reply::Applied { already: true })
    );
    let mut log = CommandLog::new(log.persisted().clone());
    assert_eq!(
        log.submit(NOW + 2 * SECOND_US, CONTEXT, &pause("a")),
        unchanged(Reply::Applied { already: true })
    );
    assert_eq!(log.pause().map(|p| p.until_us), Some(NOW + 600 * SECOND_US));
    // A command that is repeated after its expiry still gets its first reply and is not applied again.
    log.submit(NOW + 3 * SECOND_US, CONTEXT, &command("b", Action::Resume));
    assert_eq!(
        log.submit(NOW + 90 * SECOND_US, CONTEXT, &pause("a")),
        unchanged(Reply::Applied { already: true })
    );
    assert_eq!(log.pause(), None);
}

#[test]
fn expired_commands_and_commands_for_another_build_stage_or_incarnation_are_rejected_with_the_reason() {
    let mut log = CommandLog::default();
    let mut check_rejected = |alter: &dyn Fn(&mut Command), why: &str| {
        let mut altered = pause(why);
        alter(&mut altered);
        let Decision { reply, change } = log.submit(NOW, CONTEXT, &altered);
        assert!(is_rejected(&reply, why) && change.is_none(), "{why}: {reply:?}");
    };
    check_rejected(&|c| c.expires_us = NOW, "expired");
    check_rejected(&|c| c.expires_us = NOW - 3_600 * SECOND_US, "3600.0 s ago");
    check_rejected(&|c| c.expires_us = NOW + 25 * 3_600 * SECOND_US, "over a day");
    check_rejected(&|c| c.fence.boot = Some(2), "its boot number is 3");
    check_rejected(&|c| c.fence.build = Some(6), "build 7 is in stage 1");
    check_rejected(&|c| c.fence.stage = Some(0), "build 7 is in stage 1");
    check_rejected(&|c| c.fence.build = None, "must name its build");
    check_rejected(&|c| c.action = Action::Pause { until_us: NOW }, "a pause ends between");
    assert_eq!(log.pause(), None);
    let without_release = DaemonContext { boot: 3, release: None };
    assert!(is_rejected(&log.submit(NOW, without_release, &pause("n")).reply, "not been told"));
}

#[test]
fn a_prepared_command_is_applied_on_commit_and_released_at_its_expiry() {
    let mut log = CommandLog::default();
    let in_phase = |phase| Command { phase, ..pause("two") };
    assert_eq!(log.submit(NOW, CONTEXT, &in_phase(Phase::Prepare)), unchanged(Reply::Prepared));
    assert_eq!((log.pause(), log.prepared_count(), log.next_expiry()), (None, 1, Some(NOW + 60 * SECOND_US)));
    assert_eq!(log.submit(NOW + SECOND_US, CONTEXT, &in_phase(Phase::Commit)), applied(Change::Pause));
    // Without a commit the command is released at its expiry, and a commit that arrives later is rejected.
    let late = |phase| Command { phase, ..pause("late") };
    log.submit(NOW, CONTEXT, &late(Phase::Prepare));
    log.expire(NOW + 61 * SECOND_US, CONTEXT);
    assert_eq!(log.prepared_count(), 0);
    assert!(is_rejected(&log.submit(NOW + 61 * SECOND_US, CONTEXT, &late(Phase::Commit)).reply, "released"));
    // A restart between the two phases releases the prepared command.
    log.submit(NOW, CONTEXT, &Command { phase: Phase::Prepare, ..pause("gone") });
    let mut restarted = CommandLog::new(log.persisted().clone());
    assert!(is_rejected(
        &restarted.submit(NOW, CONTEXT, &Command { phase: Phase::Commit, ..pause("gone") }).reply,
        "nothing"
    ));
    // The release moved to another stage between the two phases, so the fence is violated at the commit.
    log.submit(NOW, CONTEXT, &Command { phase: Phase::Prepare, ..pause("moved") });
    let moved = DaemonContext { release: Some(ReleaseStage { build: 7, stage: 2 }), ..CONTEXT };
    let commit = Command { phase: Phase::Commit, ..pause("moved") };
    assert!(is_rejected(&log.submit(NOW, moved, &commit).reply, "another build or stage"));
}

#[test]
fn a_pause_ends_at_its_end_time_or_with_its_stage() {
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &pause("a"));
    assert_eq!(log.expire(NOW + 599 * SECOND_US, CONTEXT), None);
    assert_eq!(log.expire(NOW + 600 * SECOND_US, CONTEXT), Some(Change::Resume));
    log.submit(NOW, CONTEXT, &pause("b"));
    assert_eq!(
        log.expire(
            NOW + SECOND_US,
            DaemonContext { release: Some(ReleaseStage { build: 8, stage: 0 }), ..CONTEXT }
        ),
        Some(Change::Resume)
    );
    assert_eq!(log.pause(), None);
}

#[test]
fn after_a_damaged_state_file_the_daemon_is_paused_for_every_build() {
    let mut log = CommandLog::new(PersistedState::paused_after_damage(NOW));
    assert_eq!(
        log.expire(
            NOW + SECOND_US,
            DaemonContext { release: Some(ReleaseStage { build: 8, stage: 0 }), ..CONTEXT }
        ),
        None
    );
    assert!(log.pause().is_some_and(|p| p.issuer.contains("damaged")));
    assert_eq!(log.submit(NOW, CONTEXT, &command("r", Action::Resume)).change, Some(Change::Resume));
    assert_eq!(log.pause(), None);
}

#[test]
fn the_later_of_contradictory_commands_takes_precedence_and_the_log_is_bounded() {
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &pause("a"));
    log.submit(NOW, CONTEXT, &command("b", Action::Resume));
    assert_eq!(log.pause(), None, "the later command takes precedence");
    for index in 0..10_000 {
        log.submit(NOW, CONTEXT, &command(&index.to_string(), Action::Resume));
    }
    assert!(log.persisted().decided.len() <= 4_096);
}

#[test]
fn malformed_lines_and_unknown_fields_are_rejected() {
    let valid_line = encode_line(&Request::Command(pause("x")));
    assert_eq!(parse_request(valid_line.trim_ascii_end()).unwrap(), Request::Command(pause("x")));
    for malformed in [&b"{"[..], b"\"sta", b"{\"command\":{}}", b"[]", b"\xff"] {
        assert!(parse_request(malformed).is_err());
    }
    let empty = encode_line(&Request::Command(pause("")));
    assert!(parse_request(empty.trim_ascii_end()).is_err());
    let text = String::from_utf8(valid_line).unwrap().replace("\"act\"", "\"extra\":1,\"act\"");
    assert!(
        parse_request(text.trim().as_bytes()).is_err(),
        "an unknown field may change the meaning of a command"
    );
    assert_eq!(PersistedState::default(), PersistedState::default());
}

#[test]
fn the_contradictory_command_issued_last_takes_precedence_in_whatever_order_they_arrive() {
    let at = |id: &str, action: Action, issued_us: u64| Command { issued_us, ..command(id, action) };
    let pause_first = at("a", Action::Pause { until_us: NOW + 60 * SECOND_US }, NOW - 2);
    let resume = at("b", Action::Resume, NOW - 1);
    let pause_at_same_time = at("c", Action::Pause { until_us: NOW + 60 * SECOND_US }, NOW - 1);
    let orders = [
        [&pause_first, &resume, &pause_at_same_time],
        [&pause_at_same_time, &resume, &pause_first],
        [&resume, &pause_at_same_time, &pause_first],
        [&pause_first, &pause_at_same_time, &resume],
    ];
    for order in orders {
        let mut log = CommandLog::default();
        let replies: Vec<Reply> = order.iter().map(|c| log.submit(NOW, CONTEXT, c).reply).collect();
        // `b` and `c` were issued at the same microsecond, so the greater id takes precedence.
        assert!(log.pause().is_some(), "{replies:?}");
    }
    let mut log = CommandLog::default();
    log.submit(NOW, CONTEXT, &resume);
    assert!(is_rejected(&log.submit(NOW, CONTEXT, &pause_first).reply, "overtaken: resume"));
    // A command on another subject is not overridden.
    assert_eq!(log.submit(NOW, CONTEXT, &at("d", Action::Drain, NOW - 3)).change, Some(Change::Drain));
    let ahead = at("e", Action::Drain, NOW + 6 * SECOND_US);
    assert!(is_rejected(&log.submit(NOW, CONTEXT, &ahead).reply, "one of the clocks is off"));
}
