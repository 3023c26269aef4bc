//! Prints what becomes of clients' requests at several loads, by class and tenant, as a Markdown table.
//!
//! `cargo run --release -p violetseam-emulator --example overload [SEEDS]`; all figures are simulated.

use std::thread::ScopedJoinHandle;
use violetseam_emulator::{GroupOutcome, Outcome, SimulationError, simulate};
use violetseam_scenarios::overload_scenario::{Overload, overload};
use violetseam_simulated_site::scenario::Scenario;

/// Offered work as multiples of the servers' capacity.
const LOADS: [f64; 6] = [0.7, 1.0, 1.25, 1.5, 2.0, 3.0];
/// How many seeds are run at each load unless the command line says otherwise.
const DEFAULT_SEEDS: u64 = 3;

/// Numbers of proxies and lengths of the servers' queues: the more proxies, the less each sees of the queues.
const SITES: [(usize, usize); 3] = [(2, 400), (24, 400), (100, 400)];

fn main() -> Result<(), SimulationError> {
    let seeds = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!(
        "| proxies | queue | load | class.tenant | requests | in time | late | refused | failed | answer p50 p95 ms | refusal p50 p95 ms | within aim | broken rules |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (proxies, server_queue) in SITES {
        for load in LOADS {
            let settings = Overload { load, proxies, server_queue, client_retries: 2 };
            print_outcomes(settings, &simulate_seeds(settings, seeds)?);
        }
    }
    Ok(())
}

/// Simulates a scenario with each seed, side by side.
fn simulate_seeds(settings: Overload, seeds: u64) -> Result<Vec<Outcome>, SimulationError> {
    let simulate_seed = |seed| simulate(&Scenario { seed, ..overload(settings) });
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds).map(|seed| scope.spawn(move || simulate_seed(seed))).collect();
        let join = |run: ScopedJoinHandle<'_, _>| run.join().expect("a simulation panicked");
        runs.into_iter().map(join).collect()
    })
}

/// Prints a row for all requests, and one for each class and tenant; times are means over the seeds.
fn print_outcomes(settings: Overload, outcomes: &[Outcome]) {
    let Overload { load, proxies, server_queue, .. } = settings;
    let prefix = format!("| {proxies} | {server_queue} | {load}");
    let all: Vec<GroupOutcome> = outcomes.iter().flat_map(|outcome| outcome.groups.clone()).collect();
    let violations: u64 = outcomes.iter().flat_map(|outcome| outcome.violations).sum();
    let within_aim: u64 = outcomes.iter().map(|outcome| outcome.served_in_time).sum();
    let requests: u64 = outcomes.iter().map(|outcome| outcome.requests).sum();
    let within_aim = 100.0 * within_aim as f64 / requests.max(1) as f64;
    println!("{prefix} | all | {} | {within_aim:.1}% | {violations} |", columns(&all));
    let Some(first) = outcomes.first() else { return };
    for (index, group) in first.groups.iter().enumerate() {
        let same: Vec<GroupOutcome> = outcomes.iter().map(|outcome| outcome.groups[index]).collect();
        println!("{prefix} | {}.{} | {} | | |", group.class, group.tenant, columns(&same));
    }
}

/// The columns from the number of requests to the waits.
fn columns(groups: &[GroupOutcome]) -> String {
    let sum = |count: fn(&GroupOutcome) -> u64| groups.iter().map(count).sum::<u64>() as f64;
    let requests = sum(|group| group.requests);
    let share = |count| format!("{:.1}%", 100.0 * sum(count) / requests.max(1.0));
    let mean_ms = |time| sum(time) / groups.len().max(1) as f64 / 1e3;
    format!(
        "{requests} | {} | {} | {} | {} | {:.0} {:.0} | {:.0} {:.0}",
        share(|group| group.answered_in_time),
        share(|group| group.answered_late),
        share(|group| group.refused),
        share(|group| group.failed),
        mean_ms(|group| group.answer_wait.p50),
        mean_ms(|group| group.answer_wait.p95),
        mean_ms(|group| group.refusal_wait.p50),
        mean_ms(|group| group.refusal_wait.p95),
    )
}
