//! What a day came to, for people and as data.

use crate::outcome::ScenarioOutcome;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::fmt::Write;
use violetseam_invariants::Verdict;
use violetseam_simulated_site::day::Day;

/// Worth served in time over worth asked for.
pub fn served_worth(outcome: &ScenarioOutcome) -> f64 {
    let asked: f64 = outcome.clients.classes.iter().map(|c| c.worth.0).sum();
    let served: f64 = outcome.clients.classes.iter().map(|c| c.worth.1).sum();
    served / asked.max(1e-9)
}

fn quantiles(times: &[u64]) -> [u64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3) else { return [0; 3] };
    times.iter().for_each(|t| histogram.saturating_record((*t).max(1)));
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q))
}

/// The day as data.
pub fn summary(day: &Day, outcome: &ScenarioOutcome) -> Value {
    let classes = day.classes.iter().zip(&outcome.clients.classes).map(|(c, t)| {
        json!({"class": c.name, "asked": t.asked, "in_time": t.in_time, "late": t.late, "wrong": t.wrong, "unserved": t.unserved})
    });
    let builds = outcome.site.fates.iter().map(|(f, bad)| {
        json!({"build": f.build, "bad": bad, "offered_us": f.offered, "released_us": f.released, "back_us": f.back})
    });
    let [p50, p95, p99] = quantiles(&outcome.clients.times);
    let v = &outcome.verdict;
    json!({
        "day": day.name, "seed": day.seed, "proxies": day.proxies.len(), "servers": day.servers.len(),
        "served_worth": served_worth(outcome),
        "classes": classes.collect::<Vec<_>>(),
        "tries": {"served": outcome.clients.tries[0], "refused": outcome.clients.tries[1], "failed": outcome.clients.tries[2],
            "broken": outcome.clients.tries[3], "no_connection": outcome.clients.tries[4], "left": outcome.clients.tries[5]},
        "answer_us": {"p50": p50, "p95": p95, "p99": p99},
        "attempts": {"ok": outcome.site.replies[0], "error": outcome.site.replies[1], "not_run": outcome.site.replies[2]},
        "builds": builds.collect::<Vec<_>>(),
        "collapsed": outcome.site.collapsed,
        "flags_taken": outcome.clients.flags,
        "proxy_cpu_s": outcome.cpu,
        "records": outcome.records,
        "rules": {"broken": v.broken, "looked_at": v.looked_at},
        "fleet_bounds": v.fleet.iter().map(|b| json!({"what": b.what, "budget": b.budget, "spent": b.spent, "nearest": b.nearest, "over": b.over})).collect::<Vec<_>>(),
        "faults": outcome.faults,
    })
}

/// How the bounds of the whole fleet were kept, a line each.
pub fn fleet_bounds(verdict: &Verdict) -> String {
    let mut s = String::new();
    for b in &verdict.fleet {
        let word = match b.first_over {
            None => "kept".to_owned(),
            Some(at) => format!("BROKEN {} times, first at {:.3} s", b.over, at as f64 / 1e6),
        };
        let _ = writeln!(
            s,
            "  fleet: {} {word}: {} of {} a second, the fullest span {:.2} of its bound",
            b.what, b.spent, b.budget, b.nearest
        );
    }
    s
}

/// The day in words.
#[expect(clippy::too_many_lines, reason = "this package has not been parted by concern yet")]
pub fn text(day: &Day, outcome: &ScenarioOutcome) -> String {
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
        let share = t.in_time as f64 / t.asked.max(1) as f64;
        let _ = writeln!(
            s,
            "  {:<14} asked {:>6}  in time {:>6} ({:>5.1}%)  late {:>4}  wrong {:>4}  unserved {:>5}",
            class.name,
            t.asked,
            t.in_time,
            share * 100.0,
            t.late,
            t.wrong,
            t.unserved
        );
    }
    let [served, refused, failed, broken, unreachable, left] = outcome.clients.tries;
    let _ = writeln!(
        s,
        "  tries: served {served}, refused {refused}, failed {failed}, broken {broken}, no connection {unreachable}, left {left}"
    );
    let [p50, p95, p99] = quantiles(&outcome.clients.times);
    let ms = |us: u64| us as f64 / 1e3;
    let _ = writeln!(
        s,
        "  answers: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms (simulated servers)",
        ms(p50),
        ms(p95),
        ms(p99)
    );
    let _ = writeln!(s, "  worth served in time: {:.3} of what was asked for", served_worth(outcome));
    for (fate, bad) in &outcome.site.fates {
        let kind = if *bad { "bad" } else { "good" };
        let end = match (fate.released, fate.back) {
            (_, Some(at)) => format!("sent back after {:.1} s", (at - fate.offered) as f64 / 1e6),
            (Some(at), None) => format!("released after {:.1} s", (at - fate.offered) as f64 / 1e6),
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
        let (broken, looked) = (outcome.verdict.broken[rule], outcome.verdict.looked_at[rule]);
        let word = if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") };
        let _ = writeln!(s, "  rule {} {name}: {word} ({looked} looked at)", rule + 1);
    }
    for v in outcome.verdict.violations.iter().take(20) {
        let _ = writeln!(s, "    {:.3} s rule {}: {}", v.at as f64 / 1e6, v.rule, v.what);
    }
    s.push_str(&fleet_bounds(&outcome.verdict));
    for fault in &outcome.faults {
        let _ = writeln!(s, "  fault: {fault}");
    }
    s
}
