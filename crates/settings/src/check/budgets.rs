//! Validation of the fleet-wide budgets for further attempts.

use super::value_or_default;
use crate::sections::{BudgetsSection, FleetSection, RequestClassSection};
use violetseam_fleet_state::fleet_quotas::QuotaPlan;
use violetseam_starlark_config::{Located, ScriptError};

/// Maximum budget of a class for further attempts.
const MAX_FURTHER_ATTEMPTS_PER_S: f64 = 1e6;
/// Quotas are counted in thousandths of an attempt per second.
const QUOTA_UNITS_PER_ATTEMPT: f64 = 1e3;

/// Returns the quota plan for the fleet's budgets, or `None` if no class has a budget.
///
/// # Errors
///
/// - The budget of a class is out of bounds.
/// - There is a `budgets(...)` section, but no class has a budget.
/// - The budgets cannot be divided among the proxies as configured.
pub(super) fn check_budgets(
    fleet: &Located<FleetSection>,
    classes: &[Located<RequestClassSection>],
    section: Option<&Located<BudgetsSection>>,
) -> Result<Option<QuotaPlan>, ScriptError> {
    let bounds = 0.0..=MAX_FURTHER_ATTEMPTS_PER_S;
    if let Some(class) = classes.iter().find(|class| !bounds.contains(&class.value.further)) {
        return class.reject(format!(
            "request_class {:?}: further is 0 to {MAX_FURTHER_ATTEMPTS_PER_S}",
            class.value.name
        ));
    }
    let quota_by_class: Vec<u64> =
        classes.iter().map(|class| quota_from_budget(class.value.further)).collect();
    if quota_by_class.iter().all(|quota| *quota == 0) {
        return match section {
            Some(section) => section.reject("budgets: no request_class has a budget of further attempts"),
            None => Ok(None),
        };
    }
    let budgets = value_or_default(section);
    let plan = QuotaPlan {
        members: fleet.value.size,
        position: fleet.value.position,
        quota_by_class,
        guaranteed_percent: budgets.floor_percent,
        lease_duration: budgets.lease.as_micros(),
        max_drift_ppm: budgets.drift_ppm,
        burst: budgets.burst.as_micros(),
    };
    if let Err(error) = plan.validate() {
        let class = &classes[error.class];
        return class.reject(format!("budgets of {:?}: {}", class.value.name, error.reason));
    }
    Ok(Some(plan))
}

/// Converts a budget to quota units.
fn quota_from_budget(attempts_per_s: f64) -> u64 {
    (attempts_per_s * QUOTA_UNITS_PER_ATTEMPT).round() as u64
}
