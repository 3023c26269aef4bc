//! Tests of the built-in scenarios: their names, and the scripts generated for their processes.

use std::path::Path;
use violetseam_scenarios::builtin_scenarios::{NAMES, named};
use violetseam_scenarios::{bench_scenario, proxy_settings};
use violetseam_simulated_site::network::AddressPlan;

#[test]
fn every_listed_scenario_exists_under_its_name_and_is_valid() {
    for name in NAMES {
        let scenario = named(name).unwrap_or_else(|| panic!("no scenario {name}"));
        scenario.validate().unwrap();
        // `controller-spared` is `controller-kills` without the crashes, and keeps that name.
        assert!(scenario.name == name || name == "controller-spared", "{name}: {}", scenario.name);
    }
}

#[test]
fn only_fleet_scenarios_take_a_size_and_only_lending_takes_a_loss() {
    assert_eq!(named("fleet-links:12").unwrap().proxies.len(), 12);
    let lossy = named("fleet-lending:12:20").unwrap();
    assert!(lossy.faults.iter().any(|fault| fault.magnitude == 0.2));
    let invalid = [
        "none",
        "demo:3",
        "fleet-links:2",
        "fleet-links:61",
        "fleet-links:x",
        "fleet-links:12:20",
        "fleet-lending:12:101",
        "fleet-lending:12:20:1",
    ];
    for name in invalid {
        assert!(named(name).is_none(), "{name}");
    }
}

#[test]
fn the_settings_of_every_scenario_are_valid_at_every_position() {
    for name in NAMES {
        let scenario = named(name).unwrap();
        let script = proxy_settings::script(&scenario, AddressPlan::of_process(0), Path::new("/nonexistent"));
        for position in 0..scenario.proxies.len() {
            let options = [("position".to_owned(), position.to_string())];
            let settings = violetseam_settings::read_text("scenario", &script, &options);
            let settings = settings.unwrap_or_else(|error| panic!("{name}, {position}: {error}\n{script}"));
            assert_eq!(settings.class_names.len(), scenario.classes.len());
        }
    }
}

#[test]
fn a_file_that_is_not_in_the_bench_format_is_rejected_with_the_reason() {
    let error = bench_scenario::read(b"{}").unwrap_err();
    assert!(error.to_string().starts_with("not a drawn day: missing field"), "{error}");
}
