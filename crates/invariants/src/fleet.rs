//! Bounds of the whole fleet: attempts beyond each request's first, by class, in any span of time. A proxy keeps its
//! own part of such a bound; that the parts never come to more than the whole shows only here.

use crate::record::Rules;
use crate::{Run, Verdict};

/// A bound of the whole fleet, and how it was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// What is bounded.
    pub what: String,
    /// How much of it a second.
    pub budget: f64,
    /// How many there were in all.
    pub spent: u64,
    /// The share of what any span may hold that the fullest span held: over 1 is a breach.
    pub nearest: f64,
    /// How many came past the bound, and when the first of them did.
    pub over: u64,
    /// In microseconds.
    pub first_over: Option<u64>,
}

pub(crate) fn check(rules: &Rules, run: &Run<'_>, verdict: &mut Verdict) {
    for (class, &budget) in rules.further.iter().enumerate().filter(|(_, budget)| **budget > 0) {
        let rate = budget as f64 / 1e3;
        let of_class = run.requests.values().flat_map(|seen| seen.arrivals.iter().skip(1));
        let of_class = of_class.map(|&i| &run.attempts[i]).filter(|a| a.is.class == class);
        let mut times: Vec<u64> = of_class.map(|a| a.at).collect();
        times.sort_unstable();
        // Any span may hold the rate over it and one burst. What left in time may have been seen within the slack.
        let depth = rate * (rules.further_burst + rules.slack) as f64 / 1e6;
        let (mut used, mut last) = (0.0, 0);
        let mut bound =
            Bound { what: format!("further attempts of class {class}"), budget: rate, ..Bound::default() };
        for at in times {
            used = f64::max(0.0, used - rate * (at - last) as f64 / 1e6) + 1.0;
            last = at;
            bound.spent += 1;
            bound.nearest = bound.nearest.max(used / depth);
            if used > depth + 1e-9 {
                bound.over += 1;
                bound.first_over = bound.first_over.or(Some(at));
            }
        }
        verdict.fleet.push(bound);
    }
}
