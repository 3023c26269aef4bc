//! What a check found.

use crate::Rule;

/// How many violations a report describes; the rest are only counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 300;

/// A rule that was violated, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds.
    pub at: u64,
    /// What was seen.
    pub description: String,
}

/// A limit on the whole fleet, and how it was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLimit {
    /// What is limited.
    pub name: String,
    /// How many attempts a second are allowed.
    pub rate_per_second: f64,
    /// How many attempts there were in all.
    pub attempts: u64,
    /// The share of what any span may hold that the fullest span held: over 1 is a violation.
    pub peak_utilization: f64,
    /// How many attempts came past the limit.
    pub exceeded: u64,
    /// When the first of them came, in microseconds.
    pub first_exceeded: Option<u64>,
}

/// What a check found.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// Violations in the order of time; the first few hundred of each check.
    pub violations: Vec<Violation>,
    /// How many there were in all, by [`Rule::index`].
    pub violation_counts: [u64; Rule::COUNT],
    /// How much each rule examined, by [`Rule::index`]: a rule that examined nothing proves nothing.
    pub examined: [u64; Rule::COUNT],
    /// Limits on the whole fleet.
    pub fleet_limits: Vec<FleetLimit>,
}

impl CheckReport {
    /// Whether no rule was violated and no limit on the fleet exceeded.
    pub fn all_hold(&self) -> bool {
        let rules_hold = self.violation_counts.iter().all(|count| *count == 0);
        let limits_hold = self.fleet_limits.iter().all(|limit| limit.exceeded == 0);
        rules_hold && limits_hold
    }

    /// Counts one more thing that a rule looked at.
    pub(crate) fn count_examined(&mut self, rule: Rule) {
        self.examined[rule.index()] += 1;
    }

    /// Notes a violation.
    pub(crate) fn add_violation(&mut self, rule: Rule, at: u64, description: String) {
        self.violation_counts[rule.index()] += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(Violation { rule, at, description });
        }
    }
}
