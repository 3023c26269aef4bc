//! A scenario: its proxies and servers, what clients request, and which faults occur when.
//!
//! Scenarios are plain data that is stored as JSON. Stored fields and variants keep the names that they were
//! first stored with. Unless stated otherwise, times are microseconds from the start of the scenario and work
//! is microseconds of a standard core.

mod fault;
mod fleet;
mod load;
mod rollout;

pub use fault::{Fault, FaultKind};
pub use fleet::{ClassSpec, DiscoveryDelays, Idempotency, ProxySpec, RetryQuotas, ServerSpec, ServiceRules};
pub use load::{Clients, Traffic};
pub use rollout::{BuildDefect, GateMode, Release, Rollout};

use serde::{Deserialize, Serialize};
use violetseam_invariants::{DedupGroup, Idempotency as RuleIdempotency, RequestClass as RuleClass, Rules};

/// The most proxies in a scenario.
const MAX_PROXIES: usize = 200;
/// The most servers that run at the start.
const MAX_SERVERS: usize = 1_000;
/// The most request classes.
const MAX_CLASSES: usize = 64;
/// The highest average rate, in requests per second.
const MAX_REQUEST_RATE: f64 = 100_000.0;
/// The longest scenario, in microseconds.
const MAX_LENGTH: u64 = 600_000_000;

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Duration for which requests arrive.
    pub length: u64,
    /// Seed of all random draws.
    pub seed: u64,
    /// The proxies.
    pub proxies: Vec<ProxySpec>,
    /// Servers that run at the start, one for each place.
    pub servers: Vec<ServerSpec>,
    /// Properties of later servers: first one for each place, then a second one for each place, and so on.
    /// After the last, the list repeats from its start.
    pub spares: Vec<ServerSpec>,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants: name and share of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// How requests arrive.
    pub traffic: Traffic,
    /// How clients behave.
    pub clients: Clients,
    /// Delays after which discovery lists changes.
    #[serde(rename = "roster")]
    pub discovery: DiscoveryDelays,
    /// How builds are rolled out.
    pub rollout: Rollout,
    /// The builds that the release service offers.
    pub releases: Vec<Release>,
    /// Injected faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Limits that proxies must keep.
    #[serde(rename = "contract")]
    pub service_rules: ServiceRules,
    /// Retry quotas of the whole fleet, if it has any.
    #[serde(default, rename = "budgets")]
    pub retry_quotas: Option<RetryQuotas>,
}

/// Why a scenario cannot be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The scenario has no proxy, no server or no class.
    #[error("scenario has no proxies, no servers or no request classes")]
    Empty,
    /// The scenario is larger than this package simulates.
    #[error("scenario has more proxies, servers or request classes than can be simulated")]
    TooLarge,
    /// The numbers of shares and caps of the stages differ, or there are no stages.
    #[error("rollout must have at least one stage, and one share and one cap for each stage")]
    Stages,
    /// The request rate is out of bounds.
    #[error("request rate must be above 0 and at most 100,000 requests per second")]
    RequestRate,
    /// The scenario has retry quotas, but not one for each class.
    #[error("retry quotas must have one value for each request class; 0 means unlimited")]
    RetryQuotas,
    /// The length is out of bounds.
    #[error("scenario length must be above 0 and at most 10 minutes")]
    Length,
}

impl Scenario {
    /// The rules for the checker of the invariants. `slack` is how far observed times may be off, in
    /// microseconds.
    pub fn rules(&self, slack: u64) -> Rules {
        let quotas = self.retry_quotas.as_ref();
        let retries_per_second = quotas.map_or(&[][..], |quotas| &quotas.retries_per_second);
        let per_thousand_seconds = |rate: &f64| (rate * 1e3).round() as u64;
        Rules {
            classes: self.classes.iter().map(rule_class).collect(),
            deadline_grace: self.service_rules.deadline_grace,
            hedging: self.service_rules.hedging,
            drain_grace: self.service_rules.drain_grace,
            poll_interval_max: self.service_rules.poll_interval_max,
            overload_multiple: self.service_rules.overload_multiple,
            overload_span: self.service_rules.overload_span,
            exposure_window: self.rollout.exposure_window,
            exposure_slack: self.rollout.exposure_slack,
            exposure_per_class: self.rollout.exposure_per_class,
            first_stage_cap: self.rollout.caps.first().copied().unwrap_or(0.0),
            idempotent_only_stages: self.rollout.idempotent_only_stages,
            sticky_to_new_build: self.rollout.sticky_to_new_build,
            observation_slack: slack,
            fleet_retry_rates: retries_per_second.iter().map(per_thousand_seconds).collect(),
            fleet_retry_burst: quotas.map_or(0, |quotas| quotas.burst),
        }
    }

    /// The properties of the server with an index. The first indices are the servers at the start, one for
    /// each place; later ones are the spares in turn.
    pub fn server_spec(&self, index: usize) -> &ServerSpec {
        let places = self.servers.len();
        match index.checked_sub(places) {
            None => &self.servers[index],
            Some(later) if !self.spares.is_empty() => &self.spares[later % self.spares.len()],
            Some(later) => &self.servers[later % places],
        }
    }

    /// The faults that are active at a time.
    pub fn active_faults(&self, now: u64) -> impl Iterator<Item = &Fault> {
        self.faults.iter().filter(move |fault| fault.is_active(now))
    }

    /// Capacity of the servers that run at the start, in work per second.
    pub fn capacity(&self) -> f64 {
        self.servers.iter().map(|server| server.cores * server.speed).sum::<f64>() * 1e6
    }

    /// Mean work of a request.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work).sum::<f64>() / shares.max(1e-9)
    }

    /// Checks that the parts of the scenario fit together and are within their bounds.
    ///
    /// # Errors
    /// Returns the first problem that is found.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        if self.proxies.is_empty() || self.servers.is_empty() || self.classes.is_empty() {
            return Err(ScenarioError::Empty);
        }
        if self.proxies.len() > MAX_PROXIES
            || self.servers.len() > MAX_SERVERS
            || self.classes.len() > MAX_CLASSES
        {
            return Err(ScenarioError::TooLarge);
        }
        if self.rollout.stages.len() != self.rollout.caps.len() || self.rollout.stages.is_empty() {
            return Err(ScenarioError::Stages);
        }
        let has_valid_rate = self.traffic.rate > 0.0 && self.traffic.rate <= MAX_REQUEST_RATE;
        if !has_valid_rate {
            return Err(ScenarioError::RequestRate);
        }
        let quotas = self.retry_quotas.as_ref();
        if quotas.is_some_and(|quotas| quotas.retries_per_second.len() != self.classes.len()) {
            return Err(ScenarioError::RetryQuotas);
        }
        if self.length == 0 || self.length > MAX_LENGTH {
            return Err(ScenarioError::Length);
        }
        Ok(())
    }
}

/// Converts a request class to the form that the checker of the invariants uses.
fn rule_class(class: &ClassSpec) -> RuleClass {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => RuleIdempotency::Idempotent,
        Idempotency::KeyedAll => RuleIdempotency::Keyed(DedupGroup::All),
        Idempotency::KeyedZone => RuleIdempotency::Keyed(DedupGroup::Zone),
        Idempotency::KeyedCell => RuleIdempotency::Keyed(DedupGroup::Cell),
        Idempotency::NonIdempotent => RuleIdempotency::NonIdempotent,
    };
    RuleClass { idempotency, dedup_window: class.dedup_window, streaming: false }
}
