//! What becomes of clients' requests when they ask for more than the servers can do.

use violetseam_emulator::{Outcome, simulate};
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
