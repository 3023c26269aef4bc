//! What becomes of clients' requests when they ask for more than the servers can do.

use violetseam_emulator::{GroupOutcome, Outcome, simulate};
use violetseam_scenarios::overload_scenario::{Overload, overload};

/// Duration for which requests arrive, in microseconds.
const LENGTH: u64 = 5_000_000;

/// Simulates the first seconds of an overload, in which all servers are sound.
fn simulate_overload(load: f64) -> Outcome {
    let settings = Overload { load, proxies: 2, server_queue: 400, client_retries: 2 };
    let scenario = overload(settings);
    simulate(&violetseam_simulated_site::scenario::Scenario { length: LENGTH, ..scenario }).unwrap()
}

#[test]
fn clients_do_not_wait_beyond_their_deadline_over_all_tries() {
    let outcome = simulate_overload(2.0);
    let late: u64 = outcome.groups.iter().map(|group| group.answered_late).sum();
    assert!(outcome.requests > 5_000, "only {} requests", outcome.requests);
    assert_eq!(late, 0, "of {} requests", outcome.requests);
}

/// An overload costs those who can't be served, and not everyone. The bounds are those that the operators set for
/// what a proxy serves (`docs/measurements/overload.md`): of what the servers can do, half is answered in time over
/// all and in each class, and a third for each tenant.
#[test]
fn an_overload_does_not_make_the_answers_to_all_clients_late() {
    const LOAD: f64 = 2.0;
    let outcome = simulate_overload(LOAD);
    let share_in_time = |includes: &dyn Fn(&GroupOutcome) -> bool| {
        let groups = outcome.groups.iter().filter(|group| includes(group));
        let (in_time, requests) = groups.fold((0, 0), |(in_time, requests), group| {
            (in_time + group.answered_in_time, requests + group.requests)
        });
        in_time as f64 / requests as f64
    };
    let servable = 1.0 / LOAD;
    let overall = share_in_time(&|_| true);
    assert!(overall >= servable / 2.0, "{overall:.3} of all requests answered in time");
    for class in 0..4 {
        let share = share_in_time(&|group| group.class == class);
        assert!(share >= servable / 2.0, "{share:.3} of class {class} answered in time");
    }
    for tenant in 0..2 {
        let share = share_in_time(&|group| group.tenant == tenant);
        assert!(share >= servable / 3.0, "{share:.3} of tenant {tenant} answered in time");
    }
    assert_eq!(outcome.violations.iter().sum::<u64>(), 0);
}
