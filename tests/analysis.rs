//! The judge by symptom: which windows bring which votes.

mod common;
use common::*;
use violetseam::interface::*;

const OK: (Outcome, Micros) = (Outcome::Ok, 50 * MS);

fn rig(stage: u8, cap: f64) -> Rig {
    Rig::new(settings(), &fleet(6, 4), release(2, stage, Phase::Trial, cap))
}

#[test]
fn a_clean_window_brings_on() {
    let mut rig = rig(2, 1.0);
    let actions = rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    assert_eq!(votes(&actions).first(), Some(&Verdict::Promote));
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

#[test]
fn two_breached_windows_bring_back() {
    let mut rig = rig(2, 1.0);
    let bad = |to, i| if to >= 100 && i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = rig.traffic(&[IDEMPOTENT], 2_000, bad);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
    assert!(!votes(&actions).contains(&Verdict::Promote));
}

#[test]
fn a_slower_build_is_sent_back_by_median_and_tail() {
    let mut rig = rig(2, 1.0);
    let spread = |i: usize| 40 * MS + (i as u64 % 10) * 4 * MS;
    let actions =
        rig.traffic(&[IDEMPOTENT], 2_000, |to, i| (Outcome::Ok, spread(i) * if to >= 100 { 2 } else { 1 }));
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

#[test]
fn a_tail_alone_is_no_breach() {
    let mut rig = rig(2, 1.0);
    let tail = |to, i| if to >= 100 && i % 12 == 0 { (Outcome::Ok, 200 * MS) } else { OK };
    let actions = rig.traffic(&[IDEMPOTENT], 2_000, tail);
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

#[test]
fn a_fault_of_both_builds_is_not_the_new_ones() {
    let mut rig = rig(2, 1.0);
    let actions =
        rig.traffic(&[IDEMPOTENT], 2_000, |_, i| if i % 5 == 0 { (Outcome::Error, 50 * MS) } else { OK });
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards: the breach must survive without the worst machine.
#[test]
fn one_failing_machine_among_several_new_ones_convicts_nobody() {
    let mut rig = rig(2, 1.0);
    let actions =
        rig.traffic(&[IDEMPOTENT], 2_000, |to, _| if to == 100 { (Outcome::Error, 50 * MS) } else { OK });
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards: one class broken among healthy ones.
#[test]
fn a_single_broken_class_is_found() {
    let mut rig = rig(2, 1.0);
    let actions = rig.traffic(&[IDEMPOTENT, IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT], 2_400, |to, i| {
        if to >= 100 && i % 4 == 3 { (Outcome::Error, 50 * MS) } else { OK }
    });
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards: a small steady failure share that passes each window's bounds, on machines that look alike.
#[test]
fn a_small_steady_failure_share_is_found_over_the_stage() {
    let mut rig = rig(2, 1.0);
    let bad = |to, i| if to >= 100 && i % 22 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = rig.traffic(&[IDEMPOTENT], 4_000, bad);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards: thin traffic; evidence is carried past the window's span until it suffices.
#[test]
fn thin_traffic_gathers_evidence_over_windows() {
    let mut rig = rig(2, 1.0);
    let mut actions = Vec::new();
    for _ in 0..150 {
        actions.extend(rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1, |_, _| OK));
        actions.extend(rig.run(150 * MS));
    }
    assert!(votes(&actions).contains(&Verdict::Promote));
}

#[test]
fn too_little_evidence_casts_no_vote() {
    let mut rig = rig(2, 1.0);
    let mut actions = rig.traffic(&[IDEMPOTENT], 12, |_, _| OK);
    actions.extend(rig.run(10 * S));
    assert_eq!(votes(&actions), []);
}

/// Guards: flagged answers count as failures, scaled by the share that is reported at all.
#[test]
fn flagged_answers_convict() {
    let mut rig = rig(2, 1.0);
    let mut actions = Vec::new();
    for i in 0..1_500 {
        let (id, sent) = rig.request(IDEMPOTENT);
        actions.extend(rig.run(5 * MS));
        for (_, server) in sends(&sent) {
            rig.end(id, 0, server, Outcome::Ok, 50 * MS);
            if server >= 100 && i % 8 == 0 {
                actions.extend(rig.feed(Event::AnswerFlagged { server, class: IDEMPOTENT, since: 5 * MS }));
            }
        }
    }
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards: never a vote on evidence of another stage.
#[test]
fn a_new_stage_starts_the_evidence_anew() {
    let mut rig = rig(1, 0.5);
    rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    rig.feed(Event::Release(release(2, 2, Phase::Trial, 1.0)));
    assert_eq!(votes(&rig.run(4 * S)), []);
}

/// Guards: after the release a build can still turn bad, with no earlier machine left to compare with.
#[test]
fn a_released_build_that_turns_bad_is_sent_back() {
    let mut rig = rig(2, 1.0);
    rig.traffic(&[IDEMPOTENT], 900, |_, _| OK);
    rig.feed(Event::Release(release(2, 3, Phase::Released, 1.0)));
    rig.feed(Event::ServerList { kind: ListKind::Full, entries: &fleet(0, 10) });
    let bad = |_, i| if i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = rig.traffic(&[IDEMPOTENT], 2_000, bad);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

#[test]
fn under_the_clock_a_breach_holds_and_a_clean_window_casts_nothing() {
    let mut settings = settings();
    settings.rollout.gate = GateMode::Timer;
    let mut rig = Rig::new(settings.clone(), &fleet(6, 4), release(2, 2, Phase::Trial, 1.0));
    let bad = |to, i| if to >= 100 && i % 4 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    let actions = rig.traffic(&[IDEMPOTENT], 400, bad);
    assert_eq!(votes(&actions).first(), Some(&Verdict::Hold));
    let mut rig = Rig::new(settings, &fleet(6, 4), release(2, 2, Phase::Trial, 1.0));
    let actions = rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 900, |_, _| OK);
    assert_eq!(votes(&actions), []);
}

/// Guards: a desk that hears nothing for a while must not find a conviction replaced by 'on'.
#[test]
fn a_conviction_stands_until_the_news_changes() {
    let mut rig = rig(2, 1.0);
    let bad = |to, i| if to >= 100 && i % 3 == 0 { (Outcome::Error, 50 * MS) } else { OK };
    rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1_200, bad);
    rig.run(20 * S);
    let actions = rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 1_200, |_, _| OK);
    assert!(votes(&actions).iter().all(|v| *v == Verdict::RollBack), "{:?}", votes(&actions));
}

#[test]
fn a_vote_is_renewed_before_it_expires_and_retried_after_a_refusal() {
    let mut rig = rig(2, 1.0);
    let mut actions = rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 400, |_, _| OK);
    assert_eq!(votes(&actions), [Verdict::Promote]);
    rig.feed(Event::VoteReply { outcome: Outcome::Rejected, release: None });
    assert_eq!(votes(&rig.run(300 * MS)), []);
    actions = rig.run(700 * MS);
    assert_eq!(votes(&actions), [Verdict::Promote]);
    rig.feed(Event::VoteReply { outcome: Outcome::Ok, release: None });
    assert_eq!(votes(&rig.run(2 * S)), []);
    assert_eq!(votes(&rig.run(2 * S)), [Verdict::Promote]);
}

/// Guards: a build slowed so much that it convicts at once is looked for in slow answers, not in failures.
#[test]
fn a_build_three_times_slower_is_sent_back() {
    let mut rig = rig(2, 1.0);
    let spread = |i: usize| 40 * MS + (i as u64 % 10) * 4 * MS;
    let slow = |to, i| (Outcome::Ok, spread(i) * if to >= 100 { 3 } else { 1 });
    let actions = rig.traffic(&[IDEMPOTENT], 2_000, slow);
    assert_eq!(votes(&actions).last(), Some(&Verdict::RollBack));
}

/// Guards: a good build must not hang for as long as a few machines of the fleet are slow.
#[test]
fn slow_machines_among_many_do_not_hold_a_good_build() {
    let settings = settings();
    let mut rig = Rig::new(settings, &fleet(12, 12), release(2, 2, Phase::Trial, 1.0));
    let slow = |to: ServerId, _| (Outcome::Ok, if to == 100 || to == 101 { 400 * MS } else { 50 * MS });
    let actions = rig.traffic(&[IDEMPOTENT, KEYED, NON_IDEMPOTENT], 3_000, slow);
    assert!(votes(&actions).contains(&Verdict::Promote), "{:?}", votes(&actions));
    assert!(!votes(&actions).contains(&Verdict::RollBack));
}

/// Guards: with peers silent and votes counted, thin clean evidence still moves a stage; a failure withholds it,
/// and where one vote decides it never does.
#[test]
fn thin_evidence_votes_only_where_votes_are_counted() {
    let play = |gate, failing: bool| {
        let mut settings = settings();
        (settings.rollout.gate, settings.rollout.votes_to_promote, settings.fleet_size) = (gate, 100.0, 200);
        let mut rig = Rig::new(settings, &fleet(6, 4), release(2, 2, Phase::Trial, 1.0));
        let mut actions = Vec::new();
        for _ in 0..16 {
            let bad = |to, _| if failing && to >= 100 { (Outcome::Error, 50 * MS) } else { OK };
            actions.extend(rig.traffic(&[IDEMPOTENT], 1, bad));
            actions.extend(rig.run(500 * MS));
        }
        votes(&actions)
    };
    assert!(play(GateMode::Share, false).contains(&Verdict::Promote));
    assert_eq!(play(GateMode::Share, true), []);
    assert_eq!(play(GateMode::Any, false), []);
}
