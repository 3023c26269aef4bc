//! Formats the daemons' quotas of the fleet's retry budgets.

use super::{answered, new_table, unanswered};
use crate::fleet::DaemonReading;
use std::collections::{BTreeMap, BTreeSet};
use violetseam_operator_commands::daemon_state::QuotaState;

/// Daemons report rates in thousandths of an attempt per second.
const RATE_SCALE: f64 = 1e3;

const COLUMNS: [&str; 10] =
    ["class", "daemon", "budget/s", "floor", "lot", "lent", "borrowed", "may spend", "spent", "denied"];

/// Formats each daemon's quota of the fleet's retry budgets as a table, class by class, with the sum over the
/// daemons. The daemons' states were not read at the same moment: while daemons lend or return quota, the sum
/// may be off by the quota that changes hands between two reads.
pub fn quota_table(readings: &[DaemonReading]) -> String {
    let mut table = new_table(&COLUMNS);
    let mut summary = String::new();
    for class in classes(readings) {
        let mut totals = ClassTotals::default();
        for (daemon, state) in answered(readings) {
            let Some(quota) = state.quotas.iter().find(|quota| quota.class == class) else {
                totals.without_budget += 1;
                continue;
            };
            totals.add(quota);
            table.add_row(quota_row(daemon, quota));
        }
        summary.push_str(&totals.summary(class));
    }
    if summary.is_empty() {
        summary.push_str("no class has a budget of the fleet\n");
    }
    let unanswered = unanswered(readings);
    if !unanswered.is_empty() {
        summary.push_str("SILENT, may spend their floor, what they own and what they hold: ");
        summary.push_str(&unanswered.join(", "));
        summary.push('\n');
    }
    format!("{table}\n{summary}")
}

fn classes(readings: &[DaemonReading]) -> BTreeSet<&str> {
    let quotas = answered(readings).flat_map(|(_, state)| &state.quotas);
    quotas.map(|quota| quota.class.as_str()).collect()
}

fn quota_row(daemon: &str, quota: &QuotaState) -> [String; COLUMNS.len()] {
    [
        quota.class.clone(),
        daemon.to_owned(),
        per_second(quota.budget),
        per_second(quota.guaranteed),
        per_second(quota.lendable),
        per_second(quota.lent),
        per_second(quota.borrowed),
        per_second(quota.rate),
        quota.spent.to_string(),
        quota.denied.to_string(),
    ]
}

fn per_second(rate: u64) -> String {
    format!("{:.1}", rate as f64 / RATE_SCALE)
}

/// The sums over the daemons' quotas of one request class.
#[derive(Default)]
struct ClassTotals {
    /// The sum of the rates that the daemons may spend.
    rate: u64,
    /// The values of the fleet's budget that daemons report, each with the number of daemons that report it.
    budgets: BTreeMap<u64, usize>,
    /// The number of daemons that have no budget for the class.
    without_budget: usize,
}

impl ClassTotals {
    fn add(&mut self, quota: &QuotaState) {
        self.rate += quota.rate;
        *self.budgets.entry(quota.budget).or_default() += 1;
    }

    fn summary(&self, class: &str) -> String {
        let rate = per_second(self.rate);
        let budgets = self.budgets.iter().map(|(budget, count)| format!("{} ({count})", per_second(*budget)));
        let budgets = budgets.collect::<Vec<String>>().join(", ");
        let disagreement = if self.budgets.len() > 1 || self.without_budget > 0 {
            format!(
                "; THEY DISAGREE on the budget, {} have none: they neither ask nor lend each other",
                self.without_budget
            )
        } else {
            String::new()
        };
        format!("{class}: those that answered may spend {rate} of {budgets} a second{disagreement}\n")
    }
}
