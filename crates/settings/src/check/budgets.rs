//! Budgets of further attempts that the whole fleet keeps.

use crate::sections::{BudgetParts, Fleet, RequestClass};
use violetseam_fleet_state::fleet_quotas::QuotaPlan;
use violetseam_starlark_config::{Placed, ScriptError};

/// The largest budget of further attempts, a second.
const FURTHER_MOST: f64 = 1e6;

/// The fleet's budgets; none where no class has one.
pub(super) fn check_budgets(
    fleet: &Placed<Fleet>,
    classes: &[Placed<RequestClass>],
    parts: Option<&Placed<BudgetParts>>,
) -> Result<Option<QuotaPlan>, ScriptError> {
    if let Some(class) = classes.iter().find(|c| !(0.0..=FURTHER_MOST).contains(&c.is.further)) {
        return class.fault(format!("request_class {:?}: further is 0 to {FURTHER_MOST}", class.is.name));
    }
    let by_class: Vec<u64> = classes.iter().map(|c| (c.is.further * 1e3).round() as u64).collect();
    if by_class.iter().all(|budget| *budget == 0) {
        return match parts {
            Some(parts) => parts.fault("budgets: no request_class has a budget of further attempts"),
            None => Ok(None),
        };
    }
    let is = parts.map(|p| p.is.clone()).unwrap_or_default();
    let plan = QuotaPlan {
        members: fleet.is.size,
        position: fleet.is.position,
        quota_by_class: by_class,
        guaranteed_percent: is.floor_percent,
        lease_duration: is.lease.0,
        max_drift_ppm: is.drift_ppm,
        burst: is.burst.0,
    };
    if let Err(error) = plan.validate() {
        let class = &classes[error.class];
        return class.fault(format!("budgets of {:?}: {}", class.is.name, error.reason));
    }
    Ok(Some(plan))
}
