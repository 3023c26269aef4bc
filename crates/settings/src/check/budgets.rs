//! Budgets of further attempts that the whole fleet keeps.

use crate::sections::{BudgetParts, Fleet, RequestClass};
use violetseam_script::{Fault, Placed};
use violetseam_shared::budgets::Plan;

/// The largest budget of further attempts, a second.
const FURTHER_MOST: f64 = 1e6;

/// The fleet's budgets; none where no class has one.
pub(super) fn check_budgets(
    fleet: &Placed<Fleet>,
    classes: &[Placed<RequestClass>],
    parts: Option<&Placed<BudgetParts>>,
) -> Result<Option<Plan>, Fault> {
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
    let plan = Plan {
        members: fleet.is.size,
        position: fleet.is.position,
        by_class,
        floor_percent: is.floor_percent,
        lease: is.lease.0,
        drift_ppm: is.drift_ppm,
        burst: is.burst.0,
    };
    match plan.fault() {
        Some((class, why)) => classes[class].fault(format!("budgets of {:?}: {why}", classes[class].is.name)),
        None => Ok(Some(plan)),
    }
}
