//! What the whole fleet shares, over several processes of the program with faults between them: links cut in one direction or
//! both, slow, lossy; processes killed, stopped, doubled, rolled. The bounds are told by what crossed the servers' sockets.

use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, PoisonError};
use violetseam_scenarios::{
    ReleaseDecider, ScenarioOutcome, ScenarioRunner, fleet_scenarios, proxy_settings, report,
};
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::scenario::Scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_violetseam");

/// Days run one after another, as beside each other they would take the machine from each other.
static ONE: Mutex<()> = Mutex::new(());

/// Plays a day; with `look`, the fleet tool shows the rights when this is said, and its report comes back.
fn play(number: u8, day: &Scenario, extra: &[&str], look: Option<&str>) -> (ScenarioOutcome, String) {
    let _alone = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", day.name));
    let _ = std::fs::remove_dir_all(&out);
    std::fs::create_dir_all(&out).unwrap();
    let control = proxy_settings::control_path_prefix(AddressPlan::of_process(number)).display().to_string();
    let member = |n| format!("member(name = \"p{n}\", control = \"{control}-{n}\")\n");
    let fleet = out.join("fleet.star");
    std::fs::write(&fleet, (0..day.proxies.len()).map(member).collect::<String>()).unwrap();
    let extra_args = extra.iter().map(|s| (*s).to_owned()).collect();
    let release_decider = ReleaseDecider::Controller;
    let runner = ScenarioRunner { program: PROGRAM.into(), out, extra_args, number, release_decider };
    let mut shown = String::new();
    let outcome = runner.play(day, &mut |line| {
        if look.is_some_and(|look| line.contains(look)) {
            let tool = Command::new(PROGRAM).args(["fleet", "--fleet"]).arg(&fleet).arg("rights").output();
            shown = String::from_utf8_lossy(&tool.unwrap().stdout).into_owned();
        }
    });
    let outcome = outcome.unwrap();
    println!("{}{shown}", report::text(day, &outcome));
    (outcome, shown)
}

/// The rules and the fleet's bounds were kept, and the bounds had something to keep: further attempts were made, of each
/// class at least half of what the static parts of the proxies that are always there come to.
fn kept(day: &Scenario, outcome: &ScenarioOutcome) {
    let check_report = &outcome.check_report;
    assert!(
        outcome.is_good(),
        "{:?} {:?} {:?}",
        check_report.violations,
        check_report.fleet_limits,
        outcome.faults
    );
    assert_eq!(check_report.fleet_limits.len(), 2, "both bounded classes are looked at");
    for bound in &check_report.fleet_limits {
        let alone = bound.rate_per_second / day.proxies.len() as f64 * (day.length / 1_000_000) as f64;
        assert!(
            bound.attempts as f64 > alone / 2.0 && bound.peak_utilization <= 1.0,
            "{bound:?}, alone {alone}"
        );
    }
}

#[test]
fn links_that_are_cut_slow_and_lossy_leave_the_fleet_within_its_budgets() {
    let day = fleet_scenarios::failing_links(3);
    let (outcome, shown) = play(20, &day, &[], Some("trouble ends: PeersDisordered"));
    kept(&day, &outcome);
    // What an operator sees: each proxy's rights, and what they come to. The daemons are read one after another, so that the
    // sum is no bound here.
    let of = |class: &str| shown.lines().filter(|l| l.trim_start().starts_with(class)).count();
    assert_eq!((of("status-read "), of("service-log "), of("print-order ")), (3, 3, 0), "{shown}");
    assert!(shown.contains("of 12.0 (3) a second\n") && !shown.contains("DISAGREE"), "{shown}");
}

#[test]
fn proxies_killed_with_rights_stopped_past_their_leases_doubled_and_rolled_leave_them_so() {
    let day = fleet_scenarios::failing_processes(3);
    let (outcome, _) = play(21, &day, &[], None);
    kept(&day, &outcome);
}

#[test]
fn with_no_message_from_start_to_end_each_proxy_has_its_own_part() {
    let day = fleet_scenarios::no_gossip(3);
    let (outcome, _) = play(22, &day, &[], None);
    kept(&day, &outcome);
}

#[cfg(feature = "sabotage")]
#[test]
fn proxies_that_keep_to_no_budget_are_caught() {
    let mut day = fleet_scenarios::quota_lending(3, 0.0);
    day.length = 5_000_000;
    let (outcome, _) = play(23, &day, &["--sabotage", "spendthrift"], None);
    let over: Vec<bool> = outcome.check_report.fleet_limits.iter().map(|bound| bound.exceeded > 0).collect();
    assert!(over.contains(&true) && !outcome.is_good(), "{:?}", outcome.check_report.fleet_limits);
    assert!(
        outcome.check_report.violation_counts.iter().all(|n| *n == 0),
        "{:?}",
        outcome.check_report.violations
    );
}
