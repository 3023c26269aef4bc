//! Operator commands that pause and resume voting or roll a build back, and the state that a process hands
//! over.

mod common;
use common::*;
use violetseam::interface::*;

const OK: (Outcome, Micros) = (Outcome::Ok, 50 * MS);

fn harness(gate: GateMode, phase: Phase) -> Harness {
    let mut settings = settings();
    settings.rollout.gate = gate;
    Harness::new(settings, &server_list(6, 4), release_status(2, 2, phase, 1.0))
}

/// Gives an operator command and returns the votes that it leads to.
fn give_command(harness: &mut Harness, command: OperatorCommand) -> Vec<Verdict> {
    votes(&harness.feed(Event::Operator(command)))
}

/// Accepts the pending vote and returns the votes that the reply leads to.
fn accept_vote(harness: &mut Harness) -> Vec<Verdict> {
    votes(&harness.feed(Event::VoteReply { outcome: Outcome::Ok, release: None }))
}

#[test]
fn a_pause_withdraws_the_standing_vote_and_a_resume_casts_it_again() {
    let mut harness = harness(GateMode::Any, Phase::Trial);
    assert_eq!(
        votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK)).first(),
        Some(&Verdict::Promote)
    );
    accept_vote(&mut harness);
    harness.advance(200 * MS);
    accept_vote(&mut harness);
    assert_eq!(give_command(&mut harness, OperatorCommand::Pause), [Verdict::Withdraw]);
    accept_vote(&mut harness);
    assert!(
        !votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .contains(&Verdict::Promote)
    );
    // The analysis has continued during the pause.
    harness.advance(2_000 * MS);
    accept_vote(&mut harness);
    assert_eq!(give_command(&mut harness, OperatorCommand::Resume), [Verdict::Promote]);
}

#[test]
fn with_a_timer_gate_a_pause_holds_the_stage() {
    let mut harness = harness(GateMode::Timer, Phase::Trial);
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 300, |_, _| OK);
    assert_eq!(give_command(&mut harness, OperatorCommand::Pause), [Verdict::Hold]);
    accept_vote(&mut harness);
    // The hold continues: the vote is renewed before it expires.
    assert!(
        votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .iter()
            .all(|verdict| *verdict == Verdict::Hold)
    );
}

#[test]
fn a_rollback_command_overrides_a_clean_verdict_and_ends_a_pause() {
    let mut harness = harness(GateMode::Any, Phase::Trial);
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK);
    accept_vote(&mut harness);
    give_command(&mut harness, OperatorCommand::Pause);
    accept_vote(&mut harness);
    assert_eq!(give_command(&mut harness, OperatorCommand::RollBack), [Verdict::RollBack]);
    accept_vote(&mut harness);
    // The command's verdict stands like a verdict of the analysis: clean windows do not replace it.
    let votes_after = votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK));
    assert!(votes_after.iter().all(|verdict| *verdict == Verdict::RollBack), "{votes_after:?}");
}

#[test]
fn a_rollback_command_has_no_effect_once_the_build_is_withdrawn() {
    let mut harness = harness(GateMode::Any, Phase::Withdrawn);
    assert_eq!(give_command(&mut harness, OperatorCommand::RollBack), []);
    harness.feed(Event::Release(release_status(3, 0, Phase::Trial, 0.16)));
    assert!(
        !votes(&harness.advance(3 * S)).contains(&Verdict::RollBack),
        "the rollback command was applied to a later build"
    );
}

/// Guards against losing a sticky key in a takeover. An attempt at the new build was in flight, its response
/// made the key sticky in the old process only, and the new process sent the key to an earlier build.
#[test]
fn a_successor_has_no_requests_but_all_keys_that_the_new_build_may_still_answer() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let mut in_flight = Vec::new();
    for key in 1..=400 {
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        in_flight.extend(sends(&actions).into_iter().filter(|send| send.1 >= 100).map(|_| (id, key)));
        harness.advance(5 * MS);
    }
    assert!(!in_flight.is_empty(), "no request went to the new build");
    harness.balancer = harness.balancer.successor(99);
    // The successor gives no final response to the requests of the old process.
    assert_eq!(
        harness
            .advance(3 * S)
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
            .count(),
        0
    );
    for (_, key) in in_flight {
        let (_, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        assert!(sends(&actions).iter().all(|send| send.1 >= 100), "key {key} went to an earlier build");
    }
}

#[test]
fn a_successor_continues_the_exposure_count_of_the_old_process() {
    let mut settings = settings();
    settings.rollout.idempotent_only_stages = 0;
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 0, Phase::Trial, 0.16));
    let (mut requests, mut trial_attempts) = (0.0, 0.0);
    for round in 0..4 {
        for _ in 0..100 {
            let (_, actions) = harness.request(IDEMPOTENT);
            requests += 1.0;
            trial_attempts += sends(&actions).iter().filter(|send| send.1 >= 100).count() as f64;
            harness.advance(5 * MS);
        }
        assert!(
            trial_attempts <= 2.0 + 0.16 * requests,
            "round {round}: {trial_attempts} attempts at the trial build for {requests} requests"
        );
        harness.balancer = harness.balancer.successor(round);
    }
}
