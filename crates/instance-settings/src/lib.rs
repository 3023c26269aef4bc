//! Reads the settings of a new balancer instance: a JSON text with the key names of the simulator's and the
//! platform's protocols, read into the types of the decision module's interface. The simulator adapter and
//! the platform proxy both read it here, so that they cannot interpret a setting differently.
//!
//! Unknown keys are skipped. A missing optional setting has a neutral meaning: a permission is not given, a
//! limit does not apply, and all servers and requests count alike.

use serde::Deserialize;
use violetseam::interface::{
    DedupGroup, GateMode, Idempotency, Limits, Micros, RequestClass, Rollout, ServiceRules, Settings, Tenant,
};

/// Why a settings text is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key has a value of the wrong type.
    #[error("cannot parse the settings as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field that is an enumeration has an unknown value.
    #[error("settings: unknown {field} {value:?}")]
    UnknownValue {
        /// The name of the field.
        field: &'static str,
        /// The unknown value.
        value: String,
    },
}

impl SettingsError {
    fn unknown(field: &'static str, value: &str) -> Self {
        SettingsError::UnknownValue { field, value: value.to_owned() }
    }
}

/// The settings text. This struct and its parts use the field names of the decision module's interface; the
/// `rename` attributes hold the names in the text where they differ.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct SettingsText {
    #[serde(rename = "Caps")]
    limits: LimitsText,
    classes: Vec<ClassText>,
    #[serde(rename = "Contract")]
    rules: RulesText,
    discovery: String,
    #[serde(rename = "FamilyInfo")]
    rollout: RolloutText,
    fleet_size: usize,
    #[serde(rename = "Granularity")]
    tick: u64,
    #[serde(rename = "Localities")]
    zones: Vec<String>,
    #[serde(rename = "OverShareWorth")]
    over_quota_weight: Option<f64>,
    position: usize,
    tenants: Vec<TenantText>,
    #[serde(rename = "Weights")]
    server_sizes: String,
    zone: u16,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct LimitsText {
    #[serde(rename = "AttemptsCap")]
    max_attempts: Option<usize>,
    #[serde(rename = "Cancelling")]
    cancel: bool,
    connect_timeout: Option<u64>,
    idle_close: Option<u64>,
    max_retry_after: u64,
    #[serde(rename = "MayDuplicate")]
    hedging: bool,
    #[serde(rename = "MayProbe")]
    health_checks: bool,
    #[serde(rename = "MayTell")]
    gossip: bool,
    open_cap: Option<usize>,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ClassText {
    #[serde(rename = "Effect")]
    idempotency: String,
    #[serde(rename = "Gain")]
    priority_weight: Option<f64>,
    #[serde(rename = "Group")]
    dedup_group: String,
    #[serde(rename = "HardLimit")]
    deadline: u64,
    #[serde(rename = "LateWorth")]
    late_weight: f64,
    name: String,
    #[serde(rename = "Objective")]
    latency_objective: u64,
    stream: bool,
    #[serde(rename = "Window")]
    dedup_window: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct RulesText {
    #[serde(rename = "AskWithin")]
    poll_interval_max: Option<u64>,
    #[serde(rename = "Cold")]
    slow_start_span: u64,
    #[serde(rename = "ColdFrom")]
    slow_start_floor: Option<f64>,
    drain_grace: u64,
    #[serde(rename = "FallMultiple")]
    overload_multiple: Option<f64>,
    #[serde(rename = "GraceToAnswer")]
    deadline_grace: u64,
    #[serde(rename = "TipAfter")]
    overload_span: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct RolloutText {
    #[serde(rename = "CallTimeout")]
    vote_timeout: Option<u64>,
    #[serde(rename = "CountedOver")]
    exposure_window: u64,
    flag_share: f64,
    gate_mode: String,
    #[serde(rename = "NoesNeeded")]
    votes_to_roll_back: Option<f64>,
    #[serde(rename = "OneWay")]
    sticky_to_new_build: bool,
    #[serde(rename = "Per")]
    exposure_scope: String,
    #[serde(rename = "SafeOnlyStages")]
    idempotent_only_stages: u8,
    #[serde(rename = "StageCap")]
    stage_caps: Vec<f64>,
    style: String,
    #[serde(rename = "ToAdvance")]
    votes_to_promote: Option<f64>,
    #[serde(rename = "Uncounted")]
    exposure_slack: f64,
    #[serde(rename = "VoteAllowance")]
    vote_rate_limit: Option<f64>,
    vote_ttl: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct TenantText {
    name: String,
    quota_per_s: f64,
}

/// All settings in the text: those of the decision module, and those that only a proxy with sockets needs.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// The settings of the decision module.
    pub decisions: Settings,
    /// The names of the request classes, by class index.
    pub classes: Vec<String>,
    /// The names of the tenants, by tenant index.
    pub tenants: Vec<String>,
    /// The names of the zones, by zone index.
    pub zones: Vec<String>,
    /// The time after which an attempt to connect to a server counts as failed, in microseconds.
    pub connect_timeout: Micros,
    /// The time after which a server closes an idle connection, in microseconds.
    pub idle_close: Micros,
    /// The maximum number of requests that are open at once.
    pub open_cap: usize,
}

/// The connect time-out if the text states none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// The idle time before a server closes a connection if the text states none, in microseconds.
const DEFAULT_IDLE_CLOSE: Micros = 5_000_000;

/// Reads only the settings of the decision module.
///
/// # Errors
/// [`SettingsError`] if the text is not JSON of the expected form, or an enumeration has an unknown value.
pub fn parse(json: &[u8]) -> Result<Settings, SettingsError> {
    read(json).map(|instance| instance.decisions)
}

/// Reads all settings in the text.
///
/// # Errors
/// [`SettingsError`] if the text is not JSON of the expected form, or an enumeration has an unknown value.
pub fn read(json: &[u8]) -> Result<Instance, SettingsError> {
    let text: SettingsText = serde_json::from_slice(json)?;
    Ok(Instance {
        classes: text.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: text.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: text.zones.clone(),
        connect_timeout: text.limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        idle_close: text.limits.idle_close.unwrap_or(DEFAULT_IDLE_CLOSE),
        open_cap: text.limits.open_cap.unwrap_or(usize::MAX),
        decisions: decision_settings(text)?,
    })
}

fn decision_settings(text: SettingsText) -> Result<Settings, SettingsError> {
    let classes: Result<Vec<RequestClass>, SettingsError> =
        text.classes.into_iter().map(request_class).collect();
    let tenants = text.tenants.into_iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s });
    Ok(Settings {
        classes: classes?,
        tenants: tenants.collect(),
        rollout: rollout(text.rollout)?,
        limits: limits(&text.limits),
        rules: rules(&text.rules),
        subscribes_to_list: text.discovery == "on_request",
        fleet_size: text.fleet_size.max(1),
        position: text.position,
        zone: text.zone,
        tick: text.tick,
        over_quota_weight: text.over_quota_weight.unwrap_or(1.0),
        sizes_known: !matches!(text.server_sizes.as_str(), "silent" | ""),
    })
}

fn request_class(text: ClassText) -> Result<RequestClass, SettingsError> {
    let idempotency = match text.idempotency.as_str() {
        "retryable" => Idempotency::Idempotent,
        "dedup" => Idempotency::Keyed,
        "fragile" | "" => Idempotency::NonIdempotent,
        other => return Err(SettingsError::unknown("effect", other)),
    };
    let dedup_group = match text.dedup_group.as_str() {
        "zone" => DedupGroup::Zone,
        "cell" => DedupGroup::Cell,
        "all" | "" => DedupGroup::All,
        other => return Err(SettingsError::unknown("group", other)),
    };
    Ok(RequestClass {
        latency_objective: text.latency_objective,
        deadline: text.deadline,
        idempotency,
        dedup_group,
        dedup_window: text.dedup_window,
        priority_weight: text.priority_weight.unwrap_or(1.0),
        late_weight: text.late_weight,
        stream: text.stream,
    })
}

fn rollout(text: RolloutText) -> Result<Rollout, SettingsError> {
    let gate = match text.gate_mode.as_str() {
        "any" | "" => GateMode::Any,
        "share" => GateMode::Share,
        "timer" => GateMode::Timer,
        other => return Err(SettingsError::unknown("gate mode", other)),
    };
    Ok(Rollout {
        gate,
        in_place: text.style == "in_place",
        stage_caps: text.stage_caps,
        idempotent_only_stages: text.idempotent_only_stages,
        exposure_window: text.exposure_window,
        exposure_slack: text.exposure_slack,
        exposure_per_class: text.exposure_scope == "class",
        sticky_to_new_build: text.sticky_to_new_build,
        vote_ttl: text.vote_ttl.unwrap_or(u64::MAX),
        vote_timeout: text.vote_timeout.unwrap_or(u64::MAX),
        flag_share: text.flag_share,
        votes_to_promote: text.votes_to_promote.unwrap_or(1.0),
        votes_to_roll_back: text.votes_to_roll_back.unwrap_or(1.0),
        vote_rate_limit: text.vote_rate_limit.unwrap_or(f64::INFINITY),
    })
}

fn limits(text: &LimitsText) -> Limits {
    Limits {
        max_attempts: text.max_attempts.unwrap_or(1),
        hedging: text.hedging,
        cancel: text.cancel,
        health_checks: text.health_checks,
        gossip: text.gossip,
        retry_after: text.retry_after,
        max_retry_after: text.max_retry_after,
    }
}

fn rules(text: &RulesText) -> ServiceRules {
    ServiceRules {
        deadline_grace: text.deadline_grace,
        poll_interval_max: text.poll_interval_max.unwrap_or(u64::MAX),
        slow_start_floor: text.slow_start_floor.unwrap_or(1.0),
        slow_start_span: text.slow_start_span,
        drain_grace: text.drain_grace,
        overload_multiple: text.overload_multiple.unwrap_or(f64::INFINITY),
        overload_span: text.overload_span,
    }
}
