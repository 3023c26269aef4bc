//! Rule 4: no cold server is pushed over by all proxies together. Within any span of the stated length, the
//! work sent to it stays under a multiple of what it can do in that span; counted where two thirds of the
//! work came from proxies that were told of its start.

use crate::record::Rules;
use crate::{Run, Verdict};

/// What chance may add, as a share of the budget.
const CHANCE: f64 = 0.05;

pub(crate) fn check(rules: &Rules, run: &Run<'_>, verdict: &mut Verdict) {
    for (&server, starts) in &run.starts {
        for (n, (born, start)) in starts.iter().enumerate() {
            let next = starts.get(n + 1).map_or(u64::MAX, |s| s.0);
            let warm = born + start.cold_span;
            let until = warm.min(next);
            // Arrivals while it is cold: when, work, and whether the sender was told of this start.
            let sent: Vec<(u64, f64, bool)> = run
                .attempts
                .iter()
                .filter(|a| a.is.server == server && a.at >= *born && a.at < until)
                .map(|a| (a.at, a.is.work as f64, told(rules, run, a.is.proxy, server, *born, a.at)))
                .collect();
            if sent.is_empty() {
                continue;
            }
            verdict.look(4);
            let warmth = |at: u64| {
                let age = at.saturating_sub(*born) as f64 / start.cold_span.max(1) as f64;
                (start.cold_from + (1.0 - start.cold_from) * age).min(1.0)
            };
            let mut first = 0;
            for last in 0..sent.len() {
                let end = sent[last].0;
                while sent[first].0 + rules.fall_span < end {
                    first += 1;
                }
                // The span reaches back to before the start where it must: there it can do nothing.
                let from = end.saturating_sub(rules.fall_span).max(*born);
                let mean = (warmth(from) + warmth(end)) / 2.0;
                let span = rules.fall_span as f64 / 1e6;
                let budget = rules.fall_multiple * mean * start.capacity * span * (1.0 + CHANCE);
                let work: f64 = sent[first..=last].iter().map(|s| s.1).sum();
                let knowing: f64 = sent[first..=last].iter().filter(|s| s.2).map(|s| s.1).sum();
                if work > budget && knowing * 3.0 >= work * 2.0 {
                    let times = work / budget * (1.0 + CHANCE) * rules.fall_multiple;
                    let what = format!("cold server {server} sent {times:.1} times what it can do");
                    verdict.broke(4, end, what);
                    break;
                }
            }
        }
    }
}

/// Whether a proxy was told of this start before it sent.
fn told(rules: &Rules, run: &Run<'_>, proxy: u32, server: u64, born: u64, at: u64) -> bool {
    let alive = run.alive_since(proxy, at);
    let lines = run.told.get(&(proxy, server)).into_iter().flatten();
    lines
        .take_while(|t| t.at <= at)
        .filter(|t| t.at >= alive)
        .any(|t| t.started.is_some_and(|s| s + rules.slack >= born))
}
