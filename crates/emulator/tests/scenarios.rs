//! Scenarios in simulated time: the same every time, the rules kept, and close to the same scenarios over
//! sockets.

use violetseam_emulator::{simulate, unsupported_faults};
use violetseam_scenarios::builtin_scenarios;
use violetseam_simulated_site::scenario::{FaultKind, Scenario};

/// The demo, which has no faults that are not simulated here.
fn demo() -> Scenario {
    let scenario = builtin_scenarios::demo();
    assert_eq!(unsupported_faults(&scenario), Vec::<String>::new());
    scenario
}

#[test]
fn the_same_scenario_gives_the_same_outcome_and_another_seed_another() {
    let mut scenario = demo();
    scenario.length = 12_000_000;
    let (one, two) = (simulate(&scenario).unwrap(), simulate(&scenario).unwrap());
    assert_eq!(one, two);
    scenario.seed += 1;
    assert_ne!(simulate(&scenario).unwrap(), one);
}

#[test]
fn the_demo_keeps_the_rules_releases_the_good_build_and_rolls_the_bad_one_back() {
    let outcome = simulate(&demo()).unwrap();
    println!("{outcome:?}");
    assert!(outcome.violations.iter().all(|n| *n == 0), "{outcome:?}");
    assert!(outcome.examined.iter().all(|n| *n > 0), "{outcome:?}");
    let [good, bad] = outcome.builds[..] else { panic!("two builds come: {outcome:?}") };
    assert!(!good.defective && good.released_at.is_some() && good.rolled_back_at.is_none(), "{outcome:?}");
    assert!(bad.defective && bad.released_at.is_none() && bad.rolled_back_at.is_some(), "{outcome:?}");
    // Over sockets the same scenario served 0.977 and 0.978 of the weight in time.
    assert!((outcome.served_weight_share - 0.977).abs() < 0.03, "{}", outcome.served_weight_share);
}

#[test]
fn faults_that_are_not_simulated_are_named_and_refused() {
    let scenario = builtin_scenarios::bad_day();
    assert!(unsupported_faults(&scenario).contains(&format!("{:?}", FaultKind::ZoneOutage)));
    assert!(simulate(&scenario).unwrap_err().to_string().contains("not played in simulated time yet"));
}
