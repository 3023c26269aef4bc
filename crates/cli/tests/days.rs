//! Whole days through the program itself: the short bad day keeps all rules, and proxies that break them on
//! purpose are caught by what crossed the sockets.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use violetseam_recorder::{Interest, replay};
use violetseam_scenarios::{ReleaseDecider, ScenarioOutcome, ScenarioRunner, builtin_scenarios, report};
use violetseam_simulated_site::scenario::Scenario;

fn folder(number: u8, day: &Scenario) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", day.name))
}

/// Days run one after another: beside each other they would take the machine from each other, and what the
/// rules allow for its slowness would not be the same every time.
static ONE: Mutex<()> = Mutex::new(());

fn play(number: u8, day: &Scenario, extra: &[&str]) -> ScenarioOutcome {
    play_under(number, day, extra, ReleaseDecider::Controller)
}

fn play_under(
    number: u8,
    day: &Scenario,
    extra_args: &[&str],
    release_decider: ReleaseDecider,
) -> ScenarioOutcome {
    let _alone = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let out = folder(number, day);
    let _ = std::fs::remove_dir_all(&out);
    let extra_args = extra_args.iter().map(|s| (*s).to_owned()).collect();
    let program = env!("CARGO_BIN_EXE_violetseam").into();
    let runner = ScenarioRunner { program, out, extra_args, number, release_decider };
    let outcome = runner.play(day, &mut |_| {}).unwrap();
    println!("{}", report::text(day, &outcome));
    outcome
}

#[test]
fn the_short_bad_day_keeps_every_rule_and_sends_the_bad_build_back() {
    let day = builtin_scenarios::bad_day_short();
    let flight = folder(0, &day).join("flight-{position}").display().to_string();
    let outcome = play(0, &day, &["--record", &flight]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    assert!(outcome.check_report.examined.iter().all(|n| *n > 0), "{:?}", outcome.check_report.examined);
    let build = &outcome.site.builds[0];
    let was_released = build.outcome.released_at.is_some();
    assert!(build.is_defective && !was_released, "a bad build was released: {build:?}");
    assert!(report::served_weight(&outcome) > 0.6, "{}", report::served_weight(&outcome));
    // What the proxies decided on the way can be decided again, action by action.
    for position in 0..day.proxies.len() {
        let path = folder(0, &day).join(format!("flight-{position}"));
        let replayed = replay(&path, Interest::default(), &mut |_| {}).unwrap();
        assert!(replayed.difference.is_none() && replayed.fault.is_none(), "{replayed:?}");
        assert!(replayed.events > 1_000, "{replayed:?}");
    }
}

#[test]
fn takeovers_under_load_lose_no_request_and_break_no_rule() {
    let outcome = play(5, &builtin_scenarios::takeover_short(), &[]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    let attempts = outcome.clients.attempts;
    assert_eq!((attempts.broken, attempts.unreachable), (0, 0), "requests were lost in a takeover");
}

#[test]
fn a_controller_killed_in_the_middle_of_a_release_goes_on_with_it_and_no_rule_breaks() {
    let day = builtin_scenarios::controller_kills_short();
    let outcome = play(6, &day, &[]);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
    let build = &outcome.site.builds[0];
    let was_rolled_back = build.outcome.rolled_back_at.is_some();
    assert!(!build.is_defective && !was_rolled_back, "a good build was sent back: {build:?}");
    let log = std::fs::read_to_string(folder(6, &day).join("controller.log")).unwrap();
    assert!(log.matches("this controller speaks").count() == 3, "three lives: {log}");
    // It goes on where it stood: the later lives speak of the build on its way.
    let lives: Vec<&str> = log.lines().filter(|l| l.contains("this controller speaks")).collect();
    assert!(lives[1..].iter().all(|l| l.contains("build 101")), "{lives:?}");
}

#[test]
fn the_stand_in_desk_still_decides_where_it_is_asked_to() {
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
    assert!(!folder(7, &day).join("controller.log").exists());
}

/// A day for the saboteurs: servers fail, builds come, drains happen.
#[cfg(feature = "sabotage")]
fn rough() -> Scenario {
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
fn a_proxy_that_sends_twice_is_caught() {
    let outcome = play_under(1, &rough(), &["--sabotage", "double-send"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[1] > 0, "{:?}", outcome.check_report.violation_counts);
    assert!(outcome.check_report.violations.iter().any(|v| v.description.contains("unsafe request")));
}

#[cfg(feature = "sabotage")]
#[test]
fn a_proxy_that_holds_its_answers_back_is_caught() {
    let outcome = play_under(2, &rough(), &["--sabotage", "late-answer"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[0] > 0, "{:?}", outcome.check_report.violation_counts);
}

#[cfg(feature = "sabotage")]
#[test]
fn a_proxy_that_sends_on_to_draining_servers_is_caught() {
    // The grace is shortened, as the machines that drain are soon gone.
    let mut day = rough();
    day.service_rules.drain_grace = 100_000;
    day.rollout.drain_time = 4_000_000;
    day.rollout.bake = 500_000;
    let outcome = play_under(3, &day, &["--sabotage", "ignore-drains"], ReleaseDecider::Simulated);
    assert!(outcome.check_report.violation_counts[2] > 0, "{:?}", outcome.check_report.violation_counts);
}

#[cfg(feature = "sabotage")]
#[test]
fn the_saboteurs_day_is_kept_by_an_honest_proxy() {
    let outcome = play_under(4, &rough(), &[], ReleaseDecider::Simulated);
    assert!(outcome.is_good(), "{:?} {:?}", outcome.check_report.violations, outcome.faults);
}
