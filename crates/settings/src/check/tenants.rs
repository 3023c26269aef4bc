//! Validation of tenants and their quotas.

use crate::sections::TenantSection;
use std::collections::BTreeMap;
use violetseam_starlark_config::{Located, ScriptError};

/// Validates the tenants, and returns the index of each tenant by its name. Indices count in the order of the
/// script.
///
/// # Errors
///
/// A quota is negative or not a finite number, or two tenants have the same name.
pub(super) fn check_tenants(
    sections: &[Located<TenantSection>],
) -> Result<BTreeMap<String, usize>, ScriptError> {
    let mut indices = BTreeMap::new();
    for (index, section) in sections.iter().enumerate() {
        let TenantSection { name, quota } = &section.value;
        if !(*quota >= 0.0 && quota.is_finite()) {
            return section.reject("tenant: a quota is a number of requests a second, 0 or more");
        }
        if indices.insert(name.clone(), index).is_some() {
            return section.reject(format!("tenant: {name:?} twice"));
        }
    }
    Ok(indices)
}
