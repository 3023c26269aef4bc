//! Tenants and their quotas.

use crate::sections::Tenant;
use std::collections::BTreeMap;
use violetseam_starlark_config::{Placed, ScriptError};

/// Tenants' indices by name, in the order of the script.
pub(super) fn check_tenants(calls: &[Placed<Tenant>]) -> Result<BTreeMap<String, usize>, ScriptError> {
    let mut tenants = BTreeMap::new();
    for (index, tenant) in calls.iter().enumerate() {
        if !(tenant.is.quota >= 0.0 && tenant.is.quota.is_finite()) {
            return tenant.fault("tenant: a quota is a number of requests a second, 0 or more");
        }
        if tenants.insert(tenant.is.name.clone(), index).is_some() {
            return tenant.fault(format!("tenant: {:?} twice", tenant.is.name));
        }
    }
    Ok(tenants)
}
