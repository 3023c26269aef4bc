//! An operator's word: votes withheld, given back, or cast against the module's own finding.

mod common;
use common::*;
use violetseam::interface::*;

const OK: (Outcome, Micros) = (Outcome::Ok, 50 * MS);

fn rig(gate: GateMode, phase: Phase) -> Rig {
    let mut settings = settings();
    settings.rollout.gate = gate;
    Rig::new(settings, &fleet(6, 4), release(2, 2, phase, 1.0))
}

fn say(rig: &mut Rig, word: OperatorCommand) -> Vec<Verdict> {
    votes(&rig.feed(Event::Operator(word)))
}

fn accept(rig: &mut Rig) -> Vec<Verdict> {
    votes(&rig.feed(Event::VoteReply { outcome: Outcome::Ok, release: None }))
}

#[test]
fn a_pause_withdraws_the_vote_that_stands_and_a_resume_gives_it_back() {
    let mut rig = rig(GateMode::Any, Phase::Trial);
    assert_eq!(
        votes(&rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK)).first(),
        Some(&Verdict::Promote)
    );
    accept(&mut rig);
    rig.run(200 * MS);
    accept(&mut rig);
    assert_eq!(say(&mut rig, OperatorCommand::Pause), [Verdict::Withdraw]);
    accept(&mut rig);
    assert!(
        !votes(&rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .contains(&Verdict::Promote)
    );
    // The module went on judging meanwhile.
    rig.run(2_000 * MS);
    accept(&mut rig);
    assert_eq!(say(&mut rig, OperatorCommand::Resume), [Verdict::Promote]);
}

#[test]
fn under_the_clock_a_pause_holds_it() {
    let mut rig = rig(GateMode::Timer, Phase::Trial);
    rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 300, |_, _| OK);
    assert_eq!(say(&mut rig, OperatorCommand::Pause), [Verdict::Hold]);
    accept(&mut rig);
    // Held on, renewed before it expires.
    assert!(
        votes(&rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK))
            .iter()
            .all(|v| *v == Verdict::Hold)
    );
}

#[test]
fn back_is_cast_over_a_clean_finding_and_ends_a_pause() {
    let mut rig = rig(GateMode::Any, Phase::Trial);
    rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 700, |_, _| OK);
    accept(&mut rig);
    say(&mut rig, OperatorCommand::Pause);
    accept(&mut rig);
    assert_eq!(say(&mut rig, OperatorCommand::RollBack), [Verdict::RollBack]);
    accept(&mut rig);
    // It stands as a conviction does: clean windows do not take it back.
    let after = votes(&rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK));
    assert!(after.iter().all(|v| *v == Verdict::RollBack), "{after:?}");
}

#[test]
fn there_is_nothing_to_vote_back_once_a_build_is_withdrawn() {
    let mut rig = rig(GateMode::Any, Phase::Withdrawn);
    assert_eq!(say(&mut rig, OperatorCommand::RollBack), []);
    rig.feed(Event::Release(release(3, 0, Phase::Trial, 0.16)));
    assert!(!votes(&rig.run(3 * S)).contains(&Verdict::RollBack), "a word outlived the build it was about");
}

/// Guards: in a takeover an attempt at the new build was still out, and its answer bound the key in the old
/// process only; the new one sent the key to an earlier build.
#[test]
fn a_successor_holds_no_request_but_every_key_that_may_yet_be_answered_by_the_new_build() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut rig = Rig::new(settings, &fleet(6, 4), release(2, 2, Phase::Trial, 1.0));
    let mut out = Vec::new();
    for key in 1..=400 {
        let (id, actions) = rig.keyed(IDEMPOTENT, Some(key));
        out.extend(sends(&actions).into_iter().filter(|s| s.1 >= 100).map(|_| (id, key)));
        rig.run(5 * MS);
    }
    assert!(!out.is_empty(), "nothing went to the new build");
    rig.balancer = rig.balancer.successor(99);
    // None of the old process's requests is the new one's to answer.
    assert_eq!(
        rig.run(3 * S).iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. })).count(),
        0
    );
    for (_, key) in out {
        let (_, actions) = rig.keyed(IDEMPOTENT, Some(key));
        assert!(sends(&actions).iter().all(|s| s.1 >= 100), "key {key} went back");
    }
}

#[test]
fn a_successor_counts_the_exposure_of_the_process_before() {
    let mut settings = settings();
    settings.rollout.idempotent_only_stages = 0;
    let mut rig = Rig::new(settings, &fleet(6, 4), release(2, 0, Phase::Trial, 0.16));
    let (mut taken, mut exposed) = (0.0, 0.0);
    for round in 0..4 {
        for _ in 0..100 {
            let (_, actions) = rig.request(IDEMPOTENT);
            taken += 1.0;
            exposed += sends(&actions).iter().filter(|s| s.1 >= 100).count() as f64;
            rig.run(5 * MS);
        }
        assert!(exposed <= 2.0 + 0.16 * taken, "round {round}: {exposed} of {taken}");
        rig.balancer = rig.balancer.successor(round);
    }
}
