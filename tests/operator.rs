//! An operator's word: votes withheld, given back, or cast against the module's own finding.

mod common;
use common::*;
use violetseam::interface::*;

const OK: (Outcome, Micros) = (Outcome::Ok, 50 * MS);

fn harness(gate: GateMode, phase: Phase) -> Harness {
    let mut settings = settings();
    settings.rollout.gate = gate;
    Harness::new(settings, &server_list(6, 4), release_status(2, 2, phase, 1.0))
}

fn say(harness: &mut Harness, word: OperatorCommand) -> Vec<Verdict> {
    votes(&harness.feed(Event::Operator(word)))
}

fn accept(harness: &mut Harness) -> Vec<Verdict> {
    votes(&harness.feed(Event::VoteReply { outcome: Outcome::Ok, release: None }))
}

#[test]
fn a_pause_withdraws_the_standing_vote_and_a_resume_casts_it_again() {
    let mut harness = harness(GateMode::Any, Phase::Trial);
    assert_eq!(
        votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK)).first(),
        Some(&Verdict::Promote)
    );
    accept(&mut harness);
    harness.advance(200 * MS);
    accept(&mut harness);
    assert_eq!(say(&mut harness, OperatorCommand::Pause), [Verdict::Withdraw]);
    accept(&mut harness);
    assert!(
        !votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .contains(&Verdict::Promote)
    );
    // The module went on judging meanwhile.
    harness.advance(2_000 * MS);
    accept(&mut harness);
    assert_eq!(say(&mut harness, OperatorCommand::Resume), [Verdict::Promote]);
}

#[test]
fn with_a_timer_gate_a_pause_holds_the_stage() {
    let mut harness = harness(GateMode::Timer, Phase::Trial);
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 300, |_, _| OK);
    assert_eq!(say(&mut harness, OperatorCommand::Pause), [Verdict::Hold]);
    accept(&mut harness);
    // Held on, renewed before it expires.
    assert!(
        votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .iter()
            .all(|v| *v == Verdict::Hold)
    );
}

#[test]
fn a_rollback_command_overrides_a_clean_verdict_and_ends_a_pause() {
    let mut harness = harness(GateMode::Any, Phase::Trial);
    harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK);
    accept(&mut harness);
    say(&mut harness, OperatorCommand::Pause);
    accept(&mut harness);
    assert_eq!(say(&mut harness, OperatorCommand::RollBack), [Verdict::RollBack]);
    accept(&mut harness);
    // It stands as a conviction does: clean windows do not take it back.
    let after = votes(&harness.run_traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK));
    assert!(after.iter().all(|v| *v == Verdict::RollBack), "{after:?}");
}

#[test]
fn a_rollback_command_has_no_effect_once_the_build_is_withdrawn() {
    let mut harness = harness(GateMode::Any, Phase::Withdrawn);
    assert_eq!(say(&mut harness, OperatorCommand::RollBack), []);
    harness.feed(Event::Release(release_status(3, 0, Phase::Trial, 0.16)));
    assert!(
        !votes(&harness.advance(3 * S)).contains(&Verdict::RollBack),
        "a word outlived the build it was about"
    );
}

/// Guards: in a takeover an attempt at the new build was still out, and its answer bound the key in the old
/// process only; the new one sent the key to an earlier build.
#[test]
fn a_successor_has_no_requests_but_all_keys_that_the_new_build_may_still_answer() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 2, Phase::Trial, 1.0));
    let mut out = Vec::new();
    for key in 1..=400 {
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        out.extend(sends(&actions).into_iter().filter(|s| s.1 >= 100).map(|_| (id, key)));
        harness.advance(5 * MS);
    }
    assert!(!out.is_empty(), "nothing went to the new build");
    harness.balancer = harness.balancer.successor(99);
    // None of the old process's requests is the new one's to answer.
    assert_eq!(
        harness
            .advance(3 * S)
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
            .count(),
        0
    );
    for (_, key) in out {
        let (_, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        assert!(sends(&actions).iter().all(|s| s.1 >= 100), "key {key} went back");
    }
}

#[test]
fn a_successor_continues_the_exposure_count_of_the_old_process() {
    let mut settings = settings();
    settings.rollout.idempotent_only_stages = 0;
    let mut harness = Harness::new(settings, &server_list(6, 4), release_status(2, 0, Phase::Trial, 0.16));
    let (mut taken, mut exposed) = (0.0, 0.0);
    for round in 0..4 {
        for _ in 0..100 {
            let (_, actions) = harness.request(IDEMPOTENT);
            taken += 1.0;
            exposed += sends(&actions).iter().filter(|s| s.1 >= 100).count() as f64;
            harness.advance(5 * MS);
        }
        assert!(exposed <= 2.0 + 0.16 * taken, "round {round}: {exposed} of {taken}");
        harness.balancer = harness.balancer.successor(round);
    }
}
