//! Whole scenarios with the program itself: no rule is violated in them, and proxies that break a rule on
//! purpose are found from the observed traffic.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use violetseam_recorder::{ReplayFilter, replay};
use violetseam_scenarios::{ReleaseDecider, ScenarioOutcome, ScenarioRunner, builtin_scenarios, report};
use violetseam_simulated_site::scenario::Scenario;

fn output_folder(number: u8, day: &Scenario) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", day.name))
}

/// Makes the scenarios run one at a time. Concurrent ones would slow each other down, and the allowance of
/// the rules for a slow machine would vary from run to run.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

fn play(number: u8, day: &Scenario, extra_args: &[&str]) -> ScenarioOutcome {
    play_under(number, day, extra_args, ReleaseDecider::Controller)
}

fn play_under(
    number: u8,
    day: &Scenario,
    extra_args: &[&str],
    release_decider: ReleaseDecider,
) -> ScenarioOutcome {
    let _guard = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let out = output_folder(number, day);
    let _ = std::fs::remove_dir_all(&out);
    let extra_args = extra_args.iter().map(|s| (*s).to_owned()).collect();
    let program = env!("CARGO_BIN_EXE_violetseam").into();
    let runner = ScenarioRunner { program, out, extra_args, number, release_decider };
    let outcome = runner.play(day, &mut |_| {}).unwrap();
    println!("{}", report::text(day, &outcome));
    outcome
}

#[test]
fn the_short_bad_day_violates_no_rule_and_does_not_release_the_bad_build() {
    let day = builtin_scenarios::bad_day_short();
    let flight = output_folder(0, &day).join("flight-{position}").display().to_string();
    let outcome = play(0, &day, &["--record", &flight]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    assert!(outcome.check_report.examined.iter().all(|n| *n > 0), "{:?}", outcome.check_report.examined);
    let build = &outcome.site.builds[0];
    let was_released = build.outcome.released_at.is_some();
    assert!(build.is_defective && !was_released, "a bad build was released: {build:?}");
    assert!(report::served_weight(&outcome) > 0.6, "{}", report::served_weight(&outcome));
    // A replay of the recordings gives the same actions.
    for position in 0..day.proxies.len() {
        let path = output_folder(0, &day).join(format!("flight-{position}"));
        let replayed = replay(&path, ReplayFilter::default(), &mut |_| {}).unwrap();
        assert!(replayed.difference.is_none() && replayed.read_error.is_none(), "{replayed:?}");
        assert!(replayed.events > 1_000, "{replayed:?}");
    }
}

#[test]
fn takeovers_under_load_lose_no_request_and_violate_no_rule() {
    let outcome = play(5, &builtin_scenarios::takeover_short(), &[]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    let attempts = outcome.clients.attempts;
    assert_eq!((attempts.broken, attempts.unreachable), (0, 0), "requests were lost in a takeover");
}

#[test]
fn a_controller_killed_during_a_release_continues_it_and_no_rule_is_violated() {
    let day = builtin_scenarios::controller_kills_short();
    let outcome = play(6, &day, &[]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    let build = &outcome.site.builds[0];
    let was_rolled_back = build.outcome.rolled_back_at.is_some();
    assert!(!build.is_defective && !was_rolled_back, "a good build was rolled back: {build:?}");
    let log = std::fs::read_to_string(output_folder(6, &day).join("controller.log")).unwrap();
    assert!(
        log.matches("this controller speaks").count() == 3,
        "the controller must have started three times: {log}"
    );
    // After each restart the controller continues with the build that was being released.
    let starts: Vec<&str> = log.lines().filter(|l| l.contains("this controller speaks")).collect();
    assert!(starts[1..].iter().all(|l| l.contains("build 101")), "{starts:?}");
}

#[test]
fn the_simulated_release_service_decides_if_it_is_selected() {
    let mut day = builtin_scenarios::quiet();
    day.length = 9_000_000;
    day.traffic.rate = 200.0;
    day.releases = vec![violetseam_simulated_site::scenario::Release {
        at: 500_000,
        defect: None,
        severity: 0.0,
        speed: 1.0,
    }];
    let outcome = play_under(7, &day, &[], ReleaseDecider::Simulated);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    assert_eq!(outcome.site.builds.len(), 1);
    assert!(!output_folder(7, &day).join("controller.log").exists());
}

/// A scenario for the proxies that break a rule: it has server faults, a release and drains.
#[cfg(feature = "sabotage")]
fn sabotage_scenario() -> Scenario {
    use violetseam_simulated_site::scenario::{Fault, FaultKind, Release};
    let mut day = builtin_scenarios::quiet();
    day.name = "rough".into();
    day.length = 14_000_000;
    day.traffic.rate = 300.0;
    day.rollout.vote_lifetime = 2_000_000;
    day.releases = vec![Release { at: 500_000, defect: None, severity: 0.0, speed: 1.0 }];
    day.faults = vec![Fault {
        kind: FaultKind::FastErrors,
        at: 1_000_000,
        duration: 6_000_000,
        magnitude: 0.9,
        parameter: 0.0,
        targets: vec![0, 2, 5],
        selector: 0,
    }];
    day
}

#[cfg(feature = "sabotage")]
#[test]
fn a_proxy_that_sends_requests_twice_is_found() {
    let outcome =
        play_under(1, &sabotage_scenario(), &["--sabotage", "double-send"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[1] > 0, "{:?}", outcome.check_report.violation_counts);
    assert!(outcome.check_report.violations.iter().any(|v| v.description.contains("unsafe request")));
}

#[cfg(feature = "sabotage")]
#[test]
fn a_proxy_that_delays_its_responses_is_found() {
    let outcome =
        play_under(2, &sabotage_scenario(), &["--sabotage", "late-answer"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[0] > 0, "{:?}", outcome.check_report.violation_counts);
}

#[cfg(feature = "sabotage")]
#[test]
fn a_proxy_that_keeps_sending_to_draining_servers_is_found() {
    // The drain grace is shortened because the draining servers are stopped soon.
    let mut day = sabotage_scenario();
    day.service_rules.drain_grace = 100_000;
    day.rollout.drain_time = 4_000_000;
    day.rollout.bake = 500_000;
    let outcome = play_under(3, &day, &["--sabotage", "ignore-drains"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[2] > 0, "{:?}", outcome.check_report.violation_counts);
}

#[cfg(feature = "sabotage")]
#[test]
fn an_unmodified_proxy_violates_no_rule_in_the_sabotage_scenario() {
    let outcome = play_under(4, &sabotage_scenario(), &[], ReleaseDecider::Simulated);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
}
