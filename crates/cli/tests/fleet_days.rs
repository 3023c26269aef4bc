//! The retry budgets that a fleet shares, over several processes of the program. Their links are cut in one
//! direction or both, slow or lossy; the processes are killed, stopped, started twice or rolled. The budgets
//! are checked from the traffic that the servers observe.

use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use violetseam_scenarios::{
    ReleaseDecider, ScenarioOutcome, ScenarioRunner, fleet_scenarios, proxy_settings, report,
};
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::Scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetseam");

/// Makes the scenarios run one at a time, because concurrent ones would slow each other down.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

/// Runs a scenario. If `report_trigger` is given, the fleet tool shows the retry budgets once a progress line
/// contains it. Returns the outcome, and the output of the tool.
fn play(
    number: u8,
    day: &Scenario,
    extra_args: &[&str],
    report_trigger: Option<&str>,
) -> (ScenarioOutcome, String) {
    let _guard = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", day.name));
    let _ = std::fs::remove_dir_all(&out);
    std::fs::create_dir_all(&out).unwrap();
    let control = proxy_settings::control_path_prefix(AddressPlan::of_process(number)).display().to_string();
    let member = |n| format!("member(name = \"p{n}\", control = \"{control}-{n}\")\n");
    let fleet = out.join("fleet.star");
    std::fs::write(&fleet, (0..day.proxies.len()).map(member).collect::<String>()).unwrap();
    let extra_args = extra_args.iter().map(|s| (*s).to_owned()).collect();
    let release_decider = ReleaseDecider::Controller;
    let runner = ScenarioRunner { program: PROGRAM.into(), out, extra_args, number, release_decider };
    let mut tool_output = String::new();
    let outcome = runner.play(day, &mut |line| {
        if report_trigger.is_some_and(|trigger| line.contains(trigger)) {
            let tool = Command::new(PROGRAM).args(["fleet", "--fleet"]).arg(&fleet).arg("rights").output();
            tool_output = String::from_utf8_lossy(&tool.unwrap().stdout).into_owned();
        }
    });
    let outcome = outcome.unwrap();
    println!("{}{tool_output}", report::text(day, &outcome));
    (outcome, tool_output)
}

/// Checks that no rule was violated and that the fleet kept to its retry budgets. To show that the budgets
/// had an effect, each class must also have made more than half of the retries that the static share of one
/// proxy allows over the whole scenario. Other proxies may be down for a part of it.
fn assert_budgets_kept(day: &Scenario, outcome: &ScenarioOutcome) {
    let check_report = &outcome.check_report;
    assert!(
        outcome.is_good(),
        "{:?} {:?} {:?}",
        check_report.violations,
        check_report.fleet_limits,
        outcome.faults
    );
    assert_eq!(check_report.fleet_limits.len(), 2, "both classes with a budget must be checked");
    for bound in &check_report.fleet_limits {
        let static_share = bound.rate_per_second / day.proxies.len() as f64 * (day.length / 1_000_000) as f64;
        assert!(
            bound.attempts as f64 > static_share / 2.0 && bound.peak_utilization <= 1.0,
            "{bound:?}, static share {static_share}"
        );
    }
}

#[test]
fn cut_slow_and_lossy_links_leave_the_fleet_within_its_budgets() {
    let day = fleet_scenarios::failing_links(3);
    let (outcome, tool_output) = play(20, &day, &[], Some("trouble ends: PeersDisordered"));
    assert_budgets_kept(&day, &outcome);
    // The operator sees the share of each proxy and their sum. The daemons are read one after another, so the
    // sum is not checked against the budget here.
    let rows_of = |class: &str| tool_output.lines().filter(|l| l.trim_start().starts_with(class)).count();
    assert_eq!(
        (rows_of("status-read "), rows_of("service-log "), rows_of("print-order ")),
        (3, 3, 0),
        "{tool_output}"
    );
    assert!(
        tool_output.contains("of 12.0 (3) a second\n") && !tool_output.contains("DISAGREE"),
        "{tool_output}"
    );
}

#[test]
fn killed_stopped_doubled_and_rolled_proxies_leave_the_fleet_within_its_budgets() {
    let day = fleet_scenarios::failing_processes(3);
    let (outcome, _) = play(21, &day, &[], None);
    assert_budgets_kept(&day, &outcome);
}

#[test]
fn without_gossip_each_proxy_uses_its_static_share() {
    let day = fleet_scenarios::no_gossip(3);
    let (outcome, _) = play(22, &day, &[], None);
    assert_budgets_kept(&day, &outcome);
}

#[cfg(feature = "sabotage")]
#[test]
fn proxies_that_ignore_their_budgets_are_found() {
    let mut day = fleet_scenarios::quota_lending(3, 0.0);
    day.length = 5_000_000;
    let (outcome, _) = play(23, &day, &["--sabotage", "spendthrift"], None);
    let exceeded: Vec<bool> =
        outcome.check_report.fleet_limits.iter().map(|bound| bound.exceeded > 0).collect();
    assert!(exceeded.contains(&true) && !outcome.is_good(), "{:?}", outcome.check_report.fleet_limits);
    assert!(
        outcome.check_report.violation_counts.iter().all(|n| *n == 0),
        "{:?}",
        outcome.check_report.violations
    );
}
