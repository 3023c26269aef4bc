//! Reports of the outcome of a scenario, as text and as JSON.

use crate::outcome::ScenarioOutcome;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt::Write;
use violetseam_invariants::{CheckReport, FleetLimit};
use violetseam_simulated_site::network::clients::{AttemptCounts, ClassCounts};
use violetseam_simulated_site::network::site::BuildReport;
use violetseam_simulated_site::scenario::{ClassSpec, Scenario};

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY: u64 = 120_000_000;
/// Significant digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// Maximum number of violations that the text lists.
const MAX_LISTED_VIOLATIONS: usize = 20;
/// The requirement of each invariant, in the order of the rule numbers.
const RULES: [&str; 5] = [
    "one answer in time",
    "no effect twice",
    "drains kept",
    "no cold server pushed over",
    "exposure within the cap",
];

/// Returns the priority weight of the requests served in time, as a share of the weight of all requests.
pub fn served_weight(outcome: &ScenarioOutcome) -> f64 {
    let classes = &outcome.clients.classes;
    let requested: f64 = classes.iter().map(|class| class.requested_weight).sum();
    let served: f64 = classes.iter().map(|class| class.served_weight).sum();
    served / requested.max(1e-9)
}

/// Latency percentiles of served attempts, in microseconds.
#[derive(Clone, Copy, Default)]
struct Latencies {
    p50: u64,
    p95: u64,
    p99: u64,
}

impl Latencies {
    fn of(outcome: &ScenarioOutcome) -> Latencies {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY, HISTOGRAM_DIGITS) else {
            return Latencies::default();
        };
        for latency in &outcome.clients.latencies_us {
            histogram.saturating_record((*latency).max(1));
        }
        Latencies {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

/// Returns the outcome as JSON.
pub fn summary(scenario: &Scenario, outcome: &ScenarioOutcome) -> Value {
    let classes = scenario.classes.iter().zip(&outcome.clients.classes);
    let latencies = Latencies::of(outcome);
    let replies = &outcome.site.replies;
    let check_report = &outcome.check_report;
    json!({
        "day": scenario.name,
        "seed": scenario.seed,
        "proxies": scenario.proxies.len(),
        "servers": scenario.servers.len(),
        "served_worth": served_weight(outcome),
        "classes": classes.map(|(class, counts)| class_summary(class, counts)).collect::<Vec<_>>(),
        "tries": attempts_summary(&outcome.clients.attempts),
        "answer_us": {"p50": latencies.p50, "p95": latencies.p95, "p99": latencies.p99},
        "attempts": {"ok": replies.ok, "error": replies.error, "not_run": replies.not_run},
        "builds": outcome.site.builds.iter().map(build_summary).collect::<Vec<_>>(),
        "collapsed": outcome.site.collapsed,
        "flags_taken": outcome.clients.accepted_reports,
        "proxy_cpu_s": outcome.cpu_seconds,
        "records": outcome.records,
        "rules": {"broken": check_report.violation_counts, "looked_at": check_report.examined},
        "fleet_bounds": check_report.fleet_limits.iter().map(fleet_limit_summary).collect::<Vec<_>>(),
        "faults": outcome.faults,
    })
}

fn class_summary(class: &ClassSpec, counts: &ClassCounts) -> Value {
    json!({
        "class": class.name,
        "asked": counts.requests,
        "in_time": counts.in_time,
        "late": counts.late,
        "wrong": counts.wrong,
        "unserved": counts.unserved,
    })
}

fn attempts_summary(attempts: &AttemptCounts) -> Value {
    json!({
        "served": attempts.served,
        "refused": attempts.rejected,
        "failed": attempts.failed,
        "broken": attempts.broken,
        "no_connection": attempts.unreachable,
        "left": attempts.disconnected,
    })
}

fn build_summary(report: &BuildReport) -> Value {
    json!({
        "build": report.outcome.build,
        "bad": report.is_defective,
        "offered_us": report.outcome.offered_at,
        "released_us": report.outcome.released_at,
        "back_us": report.outcome.rolled_back_at,
    })
}

fn fleet_limit_summary(limit: &FleetLimit) -> Value {
    json!({
        "what": limit.name,
        "budget": limit.rate_per_second,
        "spent": limit.attempts,
        "nearest": limit.peak_utilization,
        "over": limit.exceeded,
    })
}

/// Formats the result for each fleet-wide bound, one line each.
pub fn fleet_bounds(check_report: &CheckReport) -> String {
    let mut text = String::new();
    for limit in &check_report.fleet_limits {
        let result = match limit.first_exceeded {
            None => "kept".to_owned(),
            Some(at) => format!("BROKEN {} times, first at {:.3} s", limit.exceeded, seconds(at)),
        };
        let _ = writeln!(
            text,
            "  fleet: {} {result}: {} of {} a second, the fullest span {:.2} of its bound",
            limit.name, limit.attempts, limit.rate_per_second, limit.peak_utilization
        );
    }
    text
}

/// Formats the outcome as text.
pub fn text(scenario: &Scenario, outcome: &ScenarioOutcome) -> String {
    let mut text = format!(
        "day {} (seed {}): {} proxies, {} servers\n",
        scenario.name,
        scenario.seed,
        scenario.proxies.len(),
        scenario.servers.len()
    );
    for (class, counts) in scenario.classes.iter().zip(&outcome.clients.classes) {
        write_class(&mut text, class, counts);
    }
    write_clients(&mut text, outcome);
    for build in &outcome.site.builds {
        write_build(&mut text, build);
    }
    write_rules(&mut text, &outcome.check_report);
    text.push_str(&fleet_bounds(&outcome.check_report));
    for fault in &outcome.faults {
        let _ = writeln!(text, "  fault: {fault}");
    }
    text
}

fn write_class(text: &mut String, class: &ClassSpec, counts: &ClassCounts) {
    let share_in_time = counts.in_time as f64 / counts.requests.max(1) as f64;
    let _ = writeln!(
        text,
        "  {:<14} asked {:>6}  in time {:>6} ({:>5.1}%)  late {:>4}  wrong {:>4}  unserved {:>5}",
        class.name,
        counts.requests,
        counts.in_time,
        share_in_time * 100.0,
        counts.late,
        counts.wrong,
        counts.unserved
    );
}

fn write_clients(text: &mut String, outcome: &ScenarioOutcome) {
    let AttemptCounts { served, rejected, failed, broken, unreachable, disconnected } =
        outcome.clients.attempts;
    let _ = writeln!(
        text,
        "  tries: served {served}, refused {rejected}, failed {failed}, broken {broken}, \
         no connection {unreachable}, left {disconnected}"
    );
    let latencies = Latencies::of(outcome);
    let _ = writeln!(
        text,
        "  answers: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms (simulated servers)",
        milliseconds(latencies.p50),
        milliseconds(latencies.p95),
        milliseconds(latencies.p99)
    );
    let _ = writeln!(text, "  worth served in time: {:.3} of what was asked for", served_weight(outcome));
}

fn write_build(text: &mut String, report: &BuildReport) {
    let outcome = &report.outcome;
    let quality = if report.is_defective { "bad" } else { "good" };
    let end = if let Some(at) = outcome.rolled_back_at {
        format!("sent back after {:.1} s", seconds(at - outcome.offered_at))
    } else if let Some(at) = outcome.released_at {
        format!("released after {:.1} s", seconds(at - outcome.offered_at))
    } else {
        "still on trial at the end".to_owned()
    };
    let _ = writeln!(text, "  build {} ({quality}): {end}", outcome.build);
}

fn write_rules(text: &mut String, check_report: &CheckReport) {
    let counts = check_report.violation_counts.iter().zip(check_report.examined);
    for (index, (name, (broken, looked_at))) in RULES.iter().zip(counts).enumerate() {
        let result = match broken {
            0 => "kept".to_owned(),
            times => format!("BROKEN {times} times"),
        };
        let _ = writeln!(text, "  rule {} {name}: {result} ({looked_at} looked at)", index + 1);
    }
    for violation in check_report.violations.iter().take(MAX_LISTED_VIOLATIONS) {
        let at = seconds(violation.at);
        let _ = writeln!(text, "    {at:.3} s rule {}: {}", violation.rule.number(), violation.description);
    }
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1e3
}
