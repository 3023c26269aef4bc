//! The result of a check.

use crate::Rule;

/// The most violations that a report describes; further ones are only counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 300;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When the violation occurred, in microseconds.
    pub at: u64,
    /// What was observed.
    pub description: String,
}

/// A fleet-wide limit and the use that was made of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLimit {
    /// What is limited.
    pub name: String,
    /// The allowed rate, in attempts per second.
    pub rate_per_second: f64,
    /// The total number of attempts.
    pub attempts: u64,
    /// The highest use of the limit in any span of time, as a share of what is allowed in that span. A value
    /// over 1 is a violation.
    pub peak_utilization: f64,
    /// The number of attempts that exceeded the limit.
    pub exceeded: u64,
    /// When the first of these attempts arrived, in microseconds.
    pub first_exceeded: Option<u64>,
}

/// The result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// The described violations, in the order of time. Only the first few hundred that the checks find are
    /// described.
    pub violations: Vec<Violation>,
    /// The total number of violations, by [`Rule::index`].
    pub violation_counts: [u64; Rule::COUNT],
    /// The number of items that each rule's check examined, by [`Rule::index`]. A check that examined nothing
    /// proves nothing.
    pub examined: [u64; Rule::COUNT],
    /// The fleet-wide limits.
    pub fleet_limits: Vec<FleetLimit>,
}

impl CheckReport {
    /// Whether no rule was violated and no fleet-wide limit was exceeded.
    pub fn all_hold(&self) -> bool {
        let rules_hold = self.violation_counts.iter().all(|count| *count == 0);
        let limits_hold = self.fleet_limits.iter().all(|limit| limit.exceeded == 0);
        rules_hold && limits_hold
    }

    /// Counts an item that a rule's check examined.
    pub(crate) fn count_examined(&mut self, rule: Rule) {
        self.examined[rule.index()] += 1;
    }

    /// Counts a violation, and keeps its description if there is room for it.
    pub(crate) fn add_violation(&mut self, rule: Rule, at: u64, description: String) {
        self.violation_counts[rule.index()] += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(Violation { rule, at, description });
        }
    }
}
