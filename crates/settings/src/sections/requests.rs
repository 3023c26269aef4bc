//! Request classes, routes, tenants, and the fleet's budgets of further attempts.

use super::one;
use serde::Deserialize;
use violetseam_starlark_config::ScriptDuration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(crate) enum IdempotencyName {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "keyed")]
    Keyed,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

/// The servers that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DedupGroupName {
    #[default]
    All,
    Zone,
    Cell,
}

/// `request_class(...)`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestClassSection {
    pub name: String,
    /// The latency objective.
    pub aim: ScriptDuration,
    pub deadline: ScriptDuration,
    pub effect: IdempotencyName,
    #[serde(default)]
    pub group: DedupGroupName,
    #[serde(default)]
    pub window: Option<ScriptDuration>,
    /// The weight of a response within the latency objective.
    #[serde(default = "one")]
    pub worth: f64,
    /// The share of the weight that a later response keeps.
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub stream: bool,
    /// Further attempts a second of the whole fleet; 0: no budget.
    #[serde(default)]
    pub further: f64,
}

/// `budgets(...)`: how the fleet's budgets are divided.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct BudgetsSection {
    pub floor_percent: u64,
    pub lease: ScriptDuration,
    pub drift_ppm: u64,
    pub burst: ScriptDuration,
}

impl Default for BudgetsSection {
    fn default() -> Self {
        BudgetsSection {
            floor_percent: 25,
            lease: ScriptDuration::from_secs(2),
            drift_ppm: 1_000,
            burst: ScriptDuration::from_secs(1),
        }
    }
}

/// `route(...)`: requests with this method and path prefix are of the class `to`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteSection {
    #[serde(default)]
    pub method: Option<String>,
    pub prefix: String,
    pub to: String,
}

/// `tenant(...)`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TenantSection {
    pub name: String,
    /// Requests a second.
    #[serde(default)]
    pub quota: f64,
}
