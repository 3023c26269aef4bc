//! What a day came to, for people and as data.

use crate::run::Outcome;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt::Write;
use violetseam_invariants::CheckReport;
use violetseam_simulated_site::network::clients::AttemptCounts;
use violetseam_simulated_site::network::site::BuildReport;
use violetseam_simulated_site::scenario::Scenario;

/// Worth served in time over worth asked for.
pub fn served_worth(outcome: &Outcome) -> f64 {
    let asked: f64 = outcome.clients.classes.iter().map(|c| c.requested_weight).sum();
    let served: f64 = outcome.clients.classes.iter().map(|c| c.served_weight).sum();
    served / asked.max(1e-9)
}

fn quantiles(times: &[u64]) -> [u64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3) else { return [0; 3] };
    times.iter().for_each(|t| histogram.saturating_record((*t).max(1)));
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q))
}

/// The day as data.
pub fn summary(day: &Scenario, outcome: &Outcome) -> Value {
    let classes = day.classes.iter().zip(&outcome.clients.classes).map(|(c, t)| {
        json!({"class": c.name, "asked": t.requests, "in_time": t.in_time, "late": t.late, "wrong": t.wrong, "unserved": t.unserved})
    });
    let builds = outcome.site.builds.iter().map(|b| {
        json!({"build": b.outcome.build, "bad": b.is_defective, "offered_us": b.outcome.offered_at, "released_us": b.outcome.released_at, "back_us": b.outcome.rolled_back_at})
    });
    let [p50, p95, p99] = quantiles(&outcome.clients.latencies_us);
    let v = &outcome.verdict;
    json!({
        "day": day.name, "seed": day.seed, "proxies": day.proxies.len(), "servers": day.servers.len(),
        "served_worth": served_worth(outcome),
        "classes": classes.collect::<Vec<_>>(),
        "tries": {"served": outcome.clients.attempts.served, "refused": outcome.clients.attempts.rejected, "failed": outcome.clients.attempts.failed,
            "broken": outcome.clients.attempts.broken, "no_connection": outcome.clients.attempts.unreachable, "left": outcome.clients.attempts.disconnected},
        "answer_us": {"p50": p50, "p95": p95, "p99": p99},
        "attempts": {"ok": outcome.site.replies.ok, "error": outcome.site.replies.error, "not_run": outcome.site.replies.not_run},
        "builds": builds.collect::<Vec<_>>(),
        "collapsed": outcome.site.collapsed,
        "flags_taken": outcome.clients.accepted_reports,
        "proxy_cpu_s": outcome.cpu,
        "records": outcome.records,
        "rules": {"broken": v.violation_counts, "looked_at": v.examined},
        "fleet_bounds": v.fleet_limits.iter().map(|b| json!({"what": b.name, "budget": b.rate_per_second, "spent": b.attempts, "nearest": b.peak_utilization, "over": b.exceeded})).collect::<Vec<_>>(),
        "faults": outcome.faults,
    })
}

/// How the bounds of the whole fleet were kept, a line each.
pub fn fleet_bounds(verdict: &CheckReport) -> String {
    let mut s = String::new();
    for b in &verdict.fleet_limits {
        let word = match b.first_exceeded {
            None => "kept".to_owned(),
            Some(at) => format!("BROKEN {} times, first at {:.3} s", b.exceeded, at as f64 / 1e6),
        };
        let _ = writeln!(
            s,
            "  fleet: {} {word}: {} of {} a second, the fullest span {:.2} of its bound",
            b.name, b.attempts, b.rate_per_second, b.peak_utilization
        );
    }
    s
}

/// The day in words.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn text(day: &Scenario, outcome: &Outcome) -> String {
    let mut s = String::new();
    let _ = writeln!(
        s,
        "day {} (seed {}): {} proxies, {} servers",
        day.name,
        day.seed,
        day.proxies.len(),
        day.servers.len()
    );
    for (class, t) in day.classes.iter().zip(&outcome.clients.classes) {
        let share = t.in_time as f64 / t.requests.max(1) as f64;
        let _ = writeln!(
            s,
            "  {:<14} asked {:>6}  in time {:>6} ({:>5.1}%)  late {:>4}  wrong {:>4}  unserved {:>5}",
            class.name,
            t.requests,
            t.in_time,
            share * 100.0,
            t.late,
            t.wrong,
            t.unserved
        );
    }
    let AttemptCounts { served, rejected, failed, broken, unreachable, disconnected } =
        outcome.clients.attempts;
    let _ = writeln!(
        s,
        "  tries: served {served}, refused {rejected}, failed {failed}, broken {broken}, no connection {unreachable}, left {disconnected}"
    );
    let [p50, p95, p99] = quantiles(&outcome.clients.latencies_us);
    let ms = |us: u64| us as f64 / 1e3;
    let _ = writeln!(
        s,
        "  answers: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms (simulated servers)",
        ms(p50),
        ms(p95),
        ms(p99)
    );
    let _ = writeln!(s, "  worth served in time: {:.3} of what was asked for", served_worth(outcome));
    for BuildReport { outcome: fate, is_defective } in &outcome.site.builds {
        let kind = if *is_defective { "bad" } else { "good" };
        let end = match (fate.released_at, fate.rolled_back_at) {
            (_, Some(at)) => format!("sent back after {:.1} s", (at - fate.offered_at) as f64 / 1e6),
            (Some(at), None) => format!("released after {:.1} s", (at - fate.offered_at) as f64 / 1e6),
            (None, None) => "still on trial at the end".into(),
        };
        let _ = writeln!(s, "  build {} ({kind}): {end}", fate.build);
    }
    let names = [
        "one answer in time",
        "no effect twice",
        "drains kept",
        "no cold server pushed over",
        "exposure within the cap",
    ];
    for (rule, name) in names.iter().enumerate() {
        let (broken, looked) = (outcome.verdict.violation_counts[rule], outcome.verdict.examined[rule]);
        let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
        let _ = writeln!(s, "  rule {} {name}: {word} ({looked} looked at)", rule + 1);
    }
    for v in outcome.verdict.violations.iter().take(20) {
        let _ = writeln!(s, "    {:.3} s rule {}: {}", v.at as f64 / 1e6, v.rule.number(), v.description);
    }
    s.push_str(&fleet_bounds(&outcome.verdict));
    for fault in &outcome.faults {
        let _ = writeln!(s, "  fault: {fault}");
    }
    s
}
