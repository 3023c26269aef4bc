//! A scenario: who takes part, what clients request, what fails and when.
//!
//! Plain data that reads and writes as JSON; stored fields and variants keep their first names. Unless stated
//! otherwise, times are microseconds from the start of the scenario and work is microseconds of a standard
//! core.

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
    /// Its name.
    pub name: String,
    /// How long requests arrive.
    pub length: u64,
    /// Seed of all random draws.
    pub seed: u64,
    /// The proxies.
    pub proxies: Vec<ProxySpec>,
    /// Servers that run at the start, one for each place.
    pub servers: Vec<ServerSpec>,
    /// Later servers: the first for each place, then the second for each, and so on; after the last, again
    /// from the front.
    pub spares: Vec<ServerSpec>,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants: name and share of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// How requests arrive.
    pub traffic: Traffic,
    /// How clients behave.
    pub clients: Clients,
    /// How late discovery lists changes.
    #[serde(rename = "roster")]
    pub discovery: DiscoveryDelays,
    /// How builds are rolled out.
    pub rollout: Rollout,
    /// The builds that are offered.
    pub releases: Vec<Release>,
    /// Injected faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Limits that the invariants check.
    #[serde(rename = "contract")]
    pub service_rules: ServiceRules,
    /// Retry quotas of the whole fleet, if it has any.
    #[serde(default, rename = "budgets")]
    pub retry_quotas: Option<RetryQuotas>,
}

/// Why a scenario cannot be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// No proxy, no server or no class.
    #[error("a day needs proxies, servers and classes")]
    Empty,
    /// More than this package simulates.
    #[error("too many proxies, servers or classes")]
    TooLarge,
    /// Shares and caps of the stages do not match, or there are none.
    #[error("each stage needs a share and a cap")]
    Stages,
    /// The request rate is out of bounds.
    #[error("a rate is over 0, at most 100,000 a second")]
    RequestRate,
    /// There are quotas, but not one for each class.
    #[error("each class needs a budget, if any has one; 0 is none")]
    RetryQuotas,
    /// The length is out of bounds.
    #[error("a day lasts 10 minutes at most")]
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

    /// What the server with an index is like: the first of each place, then the spares in turn.
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

    /// Checks that the parts fit together.
    ///
    /// # Errors
    /// The first part that does not fit.
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

/// A class as the checker of the invariants knows it.
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
