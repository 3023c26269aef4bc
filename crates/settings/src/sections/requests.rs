//! Sections for request classes, routes, tenants, and the fleet's budgets for further attempts.

use super::one;
use serde::Deserialize;
use violetseam_starlark_config::ScriptDuration;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub(crate) enum IdempotencyName {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "keyed")]
    Keyed,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

/// The group of servers that share a record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DedupGroupName {
    #[default]
    All,
    Zone,
    Cell,
}

/// `request_class(...)`: a class of requests with common objectives.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestClassSection {
    pub name: String,
    /// Latency objective.
    pub aim: ScriptDuration,
    pub deadline: ScriptDuration,
    pub effect: IdempotencyName,
    #[serde(default)]
    pub group: DedupGroupName,
    /// For keyed classes, how long servers remember an idempotency key.
    #[serde(default)]
    pub window: Option<ScriptDuration>,
    /// Weight of a response within the latency objective.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of the weight that a response after the latency objective still earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether responses are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Budget for further attempts of the whole fleet, in attempts per second; 0 for no budget.
    #[serde(default)]
    pub further: f64,
}

/// `budgets(...)`: how the fleet-wide budgets are divided among the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct BudgetsSection {
    /// Part of the budgets that proxies never lend to each other, in percent.
    pub floor_percent: u64,
    /// Duration of a quota lease.
    pub lease: ScriptDuration,
    /// Largest deviation of a proxy's clock from true time, in parts per million.
    pub drift_ppm: u64,
    /// Longest time for which an unused budget is saved up.
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

/// `route(...)`: assigns the requests with this method and path prefix to the class `to`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteSection {
    #[serde(default)]
    pub method: Option<String>,
    pub prefix: String,
    pub to: String,
}

/// `tenant(...)`: a tenant and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TenantSection {
    pub name: String,
    /// Quota in requests per second.
    #[serde(default)]
    pub quota: f64,
}
