//! Canary analysis: which evidence leads to which vote.

mod common;
use common::*;
use violetseam::interface::*;

const OK: (Outcome, Micros) = (Outcome::Ok, 50 * MS);

fn harness(stage: u8, cap: f64) -> Harness {
    Harness::new(settings(), &server_list(6, 4), release_status(2, stage, Phase::Trial, cap))
}

#[test]
fn a_clean_window_leads_to_a_vote_to_promote() {
    let mut harness = harness(2, 1.0);
    let actions = harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    assert_eq!(votes(&actions).first(), Some(&Verdict::Promote));
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

#[test]
fn two_windows_with_violations_lead_to_a_vote_to_roll_back() {
    let mut harness = harness(2, 1.0);
    let failing = |to, i| if to >= 100 && i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, failing);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
    assert!(!votes(&actions).contains(&Verdict::Promote));
}

#[test]
fn a_build_with_a_slower_median_and_tail_is_rolled_back() {
    let mut harness = harness(2, 1.0);
    let latency = |i: usize| 40 * MS + (i as u64 % 10) * 4 * MS;
    let actions = harness
        .run_traffic(&[IDEMPOTENT], 2_000, |to, i| (Outcome::Ok, latency(i) * if to >= 100 { 2 } else { 1 }));
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

#[test]
fn a_slower_tail_alone_is_no_violation() {
    let mut harness = harness(2, 1.0);
    let slow_tail = |to, i| if to >= 100 && i % 12 == 0 { (Outcome::Ok, 200 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, slow_tail);
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

#[test]
fn a_fault_in_both_builds_does_not_roll_back_the_new_one() {
    let mut harness = harness(2, 1.0);
    let actions = harness
        .run_traffic(&[IDEMPOTENT], 2_000, |_, i| if i % 5 == 0 { (Outcome::Error, 50 * MS) } else { OK });
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards against rolling a build back because of a single faulty server: a violation must also show in the
/// other servers of the build.
#[test]
fn one_failing_server_among_several_does_not_roll_back_the_build() {
    let mut harness = harness(2, 1.0);
    let actions = harness
        .run_traffic(&[IDEMPOTENT], 2_000, |to, _| if to == 100 { (Outcome::Error, 50 * MS) } else { OK });
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards against missing a fault in one class among classes that work.
#[test]
fn failures_in_a_single_class_are_detected() {
    let mut harness = harness(2, 1.0);
    let actions =
        harness.run_traffic(&[IDEMPOTENT, IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT], 2_400, |to, i| {
            if to >= 100 && i % 4 == 3 { (Outcome::Error, 50 * MS) } else { OK }
        });
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards against missing a small steady failure share on all servers of the build, which stays within the
/// bounds of each single window.
#[test]
fn a_small_steady_failure_share_is_detected_over_the_stage() {
    let mut harness = harness(2, 1.0);
    let failing = |to, i| if to >= 100 && i % 22 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 4_000, failing);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards against never voting on sparse traffic: a window stays open beyond its span until it holds enough
/// evidence.
#[test]
fn sparse_traffic_accumulates_evidence_beyond_the_window_span() {
    let mut harness = harness(2, 1.0);
    let mut actions = Vec::new();
    for _ in 0..150 {
        actions.extend(harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1, |_, _| OK));
        actions.extend(harness.advance(150 * MS));
    }
    assert!(votes(&actions).contains(&Verdict::Promote));
}

#[test]
fn too_little_evidence_casts_no_vote() {
    let mut harness = harness(2, 1.0);
    let mut actions = harness.run_traffic(&[IDEMPOTENT], 12, |_, _| OK);
    actions.extend(harness.advance(10 * S));
    assert_eq!(votes(&actions), []);
}

/// Guards against ignoring wrong responses: flagged responses count as failures, and their margin is scaled
/// by the share of wrong responses that clients report.
#[test]
fn flagged_responses_lead_to_a_rollback() {
    let mut harness = harness(2, 1.0);
    let mut actions = Vec::new();
    for i in 0..1_500 {
        let (id, request_actions) = harness.request(IDEMPOTENT);
        actions.extend(harness.advance(5 * MS));
        for (_, server) in sends(&request_actions) {
            harness.end_attempt(id, 0, server, Outcome::Ok, 50 * MS);
            if server >= 100 && i % 8 == 0 {
                actions.extend(harness.feed(Event::AnswerFlagged {
                    server,
                    class: IDEMPOTENT,
                    since: 5 * MS,
                }));
            }
        }
    }
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards against a vote based on evidence from another stage.
#[test]
fn a_new_stage_discards_the_evidence_of_the_previous_one() {
    let mut harness = harness(1, 0.5);
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    harness.feed(Event::Release(release_status(2, 2, Phase::Trial, 1.0)));
    assert_eq!(votes(&harness.advance(4 * S)), []);
}

/// Guards against ignoring a released build that starts to fail when no server of an earlier build is left to
/// compare it with.
#[test]
fn a_released_build_that_starts_to_fail_is_rolled_back() {
    let mut harness = harness(2, 1.0);
    harness.run_traffic(&[IDEMPOTENT], 900, |_, _| OK);
    harness.feed(Event::Release(release_status(2, 3, Phase::Released, 1.0)));
    harness.feed(Event::ServerList { kind: ListKind::Full, entries: &server_list(0, 10) });
    let failing = |_, i| if i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, failing);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

#[test]
fn with_a_timer_gate_a_violation_holds_and_a_clean_window_casts_no_vote() {
    let mut settings = settings();
    settings.rollout.gate = GateMode::Timer;
    let mut harness =
        Harness::new(settings.clone(), &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let failing = |to, i| if to >= 100 && i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 400, failing);
    assert_eq!(votes(&actions).first(), Some(&Verdict::Hold));
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let actions = harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    assert_eq!(votes(&actions), []);
}

/// Guards against replacing a verdict to roll back with one to promote while the release service has not
/// received it for a while.
#[test]
fn a_verdict_to_roll_back_stands_until_the_release_status_changes() {
    let mut harness = harness(2, 1.0);
    let failing = |to, i| if to >= 100 && i % 3 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1_200, failing);
    harness.advance(20 * S);
    let actions = harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1_200, |_, _| OK);
    assert!(votes(&actions).iter().all(|verdict| *verdict == Verdict::RollBack), "{:?}", votes(&actions));
}

#[test]
fn a_vote_is_renewed_before_it_expires_and_retried_after_a_rejection() {
    let mut harness = harness(2, 1.0);
    let mut actions = harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 400, |_, _| OK);
    assert_eq!(votes(&actions), [Verdict::Promote]);
    harness.feed(Event::VoteReply { outcome: Outcome::Rejected, release: None });
    assert_eq!(votes(&harness.advance(300 * MS)), []);
    actions = harness.advance(700 * MS);
    assert_eq!(votes(&actions), [Verdict::Promote]);
    harness.feed(Event::VoteReply { outcome: Outcome::Ok, release: None });
    assert_eq!(votes(&harness.advance(2 * S)), []);
    assert_eq!(votes(&harness.advance(2 * S)), [Verdict::Promote]);
}

/// Guards against searching the failures for the servers behind a violation that shows in slow responses. A
/// build this slow is a violation in its first window.
#[test]
fn a_build_three_times_slower_is_rolled_back() {
    let mut harness = harness(2, 1.0);
    let latency = |i: usize| 40 * MS + (i as u64 % 10) * 4 * MS;
    let slow = |to, i| (Outcome::Ok, latency(i) * if to >= 100 { 3 } else { 1 });
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, slow);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards against blocking a good build while a few of its servers are slow.
#[test]
fn a_few_slow_servers_among_many_do_not_block_a_good_build() {
    let settings = settings();
    let mut harness = Harness::new(settings, &server_list(12, 12), release_status(2, 2, Phase::Trial, 1.0));
    let slow = |to: ServerId, _| (Outcome::Ok, if to == 100 || to == 101 { 400 * MS } else { 50 * MS });
    let actions = harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 3_000, slow);
    assert!(votes(&actions).contains(&Verdict::Promote), "{:?}", votes(&actions));
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards against a stage that never ends when peers are silent. If a share of votes decides, sparse clean
/// evidence leads to a vote to promote, and a failure prevents the vote. If a single vote decides, sparse
/// evidence never leads to a vote.
#[test]
fn sparse_evidence_leads_to_a_vote_only_with_a_share_gate() {
    let votes_with = |gate, failing: bool| {
        let mut settings = settings();
        (settings.rollout.gate, settings.rollout.votes_to_promote, settings.fleet_size) = (gate, 100.0, 200);
        let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
        let mut actions = Vec::new();
        for _ in 0..16 {
            let outcome_of = |to, _| if failing && to >= 100 { (Outcome::Error, 50 * MS) } else { OK };
            actions.extend(harness.run_traffic(&[IDEMPOTENT], 1, outcome_of));
            actions.extend(harness.advance(500 * MS));
        }
        votes(&actions)
    };
    assert!(votes_with(GateMode::Share, false).contains(&Verdict::Promote));
    assert_eq!(votes_with(GateMode::Share, true), []);
    assert_eq!(votes_with(GateMode::Any, false), []);
}

/// Guards against releasing a build whose answers do not come in the time that clients have: its time-outs count
/// as failures whatever the latency objective is, because others are answered well within that time.
#[test]
fn attempts_that_run_out_of_their_clients_time_count_against_the_build() {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.latency_objective = 10 * S;
    }
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let silent = |to, i| if to >= 100 && i % 4 == 0 { (Outcome::Timeout, 1_190 * MS) } else { OK };
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, silent);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards against blaming a build for clients that wait for less than answers usually take: the other build would
/// not have answered them either.
#[test]
fn attempts_with_hardly_any_time_do_not_count_against_the_build() {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.latency_objective = MS;
    }
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let hasty = |to, i| {
        if to >= 100 && i % 4 == 0 {
            (Outcome::Timeout, 60 * MS)
        } else {
            (Outcome::Ok, 20 * MS * (1 + i as u64 % 4))
        }
    };
    let actions = harness.run_traffic(&[IDEMPOTENT], 2_000, hasty);
    assert!(!votes(&actions).contains(&Verdict::RollBack), "{:?}", votes(&actions));
}
