//! Simulated scenarios are deterministic, keep the rules, and give outcomes close to those of the same
//! scenarios over sockets.

use violetseam_emulator::{simulate, unsupported_faults};
use violetseam_scenarios::builtin_scenarios;
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// Returns the demo scenario, all of whose faults can be simulated.
fn demo() -> Scenario {
    let scenario = builtin_scenarios::demo();
    assert_eq!(unsupported_faults(&scenario), Vec::<String>::new());
    scenario
}

#[test]
fn the_same_seed_gives_the_same_outcome_and_another_seed_a_different_one() {
    let mut scenario = demo();
    scenario.length = 12_000_000;
    let (first, second) = (simulate(&scenario).unwrap(), simulate(&scenario).unwrap());
    assert_eq!(first, second);
    scenario.seed += 1;
    assert_ne!(simulate(&scenario).unwrap(), first);
}

#[test]
fn the_demo_keeps_the_rules_releases_the_good_build_and_rolls_back_the_defective_one() {
    let outcome = simulate(&demo()).unwrap();
    println!("{outcome:?}");
    assert!(outcome.violations.iter().all(|n| *n == 0), "{outcome:?}");
    assert!(outcome.examined.iter().all(|n| *n > 0), "{outcome:?}");
    let [good, bad] = outcome.builds[..] else { panic!("expected two builds: {outcome:?}") };
    assert!(!good.defective && good.released_at.is_some() && good.rolled_back_at.is_none(), "{outcome:?}");
    assert!(bad.defective && bad.released_at.is_none() && bad.rolled_back_at.is_some(), "{outcome:?}");
    // In two runs over sockets, the same scenario served 0.977 and 0.978 of the weight in time.
    assert!((outcome.served_weight_share - 0.977).abs() < 0.03, "{}", outcome.served_weight_share);
}

#[test]
fn a_scenario_with_unsupported_faults_is_rejected_and_the_faults_are_named() {
    let scenario = builtin_scenarios::bad_day();
    assert!(unsupported_faults(&scenario).contains(&format!("{:?}", FaultKind::ZoneOutage)));
    assert!(simulate(&scenario).unwrap_err().to_string().contains("not played in simulated time yet"));
}
