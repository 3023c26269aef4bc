//! The settings of a fresh instance: JSON with the wire's names, read into the interface's types. The
//! simulator's adapter and the proxy on sockets both read them here, so that neither can take one differently.
//!
//! Unknown keys are skipped. A missing optional figure gets its neutral meaning: nothing permitted, no
//! bound that the site did not state, one class of one kind.

use serde::Deserialize;
use violetseam::interface::{
    DedupGroup, GateMode, Idempotency, Limits, Micros, RequestClass, Rollout, ServiceRules, Settings, Tenant,
};

/// Why a settings text cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It is not JSON of this form.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A field names something that is not known.
    #[error("unknown {field} {value:?}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// What it names.
        value: String,
    },
}

impl SettingsError {
    fn unknown(field: &'static str, value: &str) -> Self {
        SettingsError::UnknownValue { field, value: value.to_owned() }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Info {
    caps: Caps,
    classes: Vec<ClassInfo>,
    contract: ContractInfo,
    discovery: String,
    family_info: Family,
    fleet_size: usize,
    granularity: u64,
    localities: Vec<String>,
    over_share_worth: Option<f64>,
    position: usize,
    tenants: Vec<TenantInfo>,
    weights: String,
    zone: u16,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Caps {
    attempts_cap: Option<usize>,
    cancelling: bool,
    connect_timeout: Option<u64>,
    idle_close: Option<u64>,
    max_retry_after: u64,
    may_duplicate: bool,
    may_probe: bool,
    may_tell: bool,
    open_cap: Option<usize>,
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ClassInfo {
    effect: String,
    gain: Option<f64>,
    group: String,
    hard_limit: u64,
    late_worth: f64,
    name: String,
    objective: u64,
    stream: bool,
    window: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ContractInfo {
    ask_within: Option<u64>,
    cold: u64,
    cold_from: Option<f64>,
    drain_grace: u64,
    fall_multiple: Option<f64>,
    grace_to_answer: u64,
    tip_after: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Family {
    call_timeout: Option<u64>,
    counted_over: u64,
    flag_share: f64,
    gate_mode: String,
    noes_needed: Option<f64>,
    one_way: bool,
    per: String,
    safe_only_stages: u8,
    stage_cap: Vec<f64>,
    style: String,
    to_advance: Option<f64>,
    uncounted: f64,
    vote_allowance: Option<f64>,
    vote_ttl: Option<u64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct TenantInfo {
    name: String,
    quota_per_s: f64,
}

/// All that the text states: what the decisions need, and what only a driver of sockets does.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    /// For the decision module.
    pub decisions: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// A connection that is not up after this span counts as failed, in microseconds.
    pub connect_timeout: Micros,
    /// A connection that was idle for this span is closed by its server, in microseconds.
    pub idle_close: Micros,
    /// Requests that may be open at once.
    pub open_cap: usize,
}

/// Where a site states no bound on connecting.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// Where a site does not say when idle connections close.
const DEFAULT_IDLE_CLOSE: Micros = 5_000_000;

/// Reads the settings text for the decision module alone.
///
/// # Errors
/// [`SettingsError`] if the text is not JSON of this form, or names something that is not known.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    read(text).map(|instance| instance.decisions)
}

/// Reads the settings text.
///
/// # Errors
/// [`SettingsError`] if the text is not JSON of this form, or names something that is not known.
pub fn read(text: &[u8]) -> Result<Instance, SettingsError> {
    let info: Info = serde_json::from_slice(text)?;
    Ok(Instance {
        classes: info.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: info.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: info.localities.clone(),
        connect_timeout: info.caps.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
        idle_close: info.caps.idle_close.unwrap_or(DEFAULT_IDLE_CLOSE),
        open_cap: info.caps.open_cap.unwrap_or(usize::MAX),
        decisions: settings(info)?,
    })
}

fn settings(info: Info) -> Result<Settings, SettingsError> {
    let classes: Result<Vec<RequestClass>, SettingsError> =
        info.classes.into_iter().map(request_class).collect();
    let tenants = info.tenants.into_iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s });
    Ok(Settings {
        classes: classes?,
        tenants: tenants.collect(),
        rollout: rollout(info.family_info)?,
        limits: limits(&info.caps),
        rules: rules(&info.contract),
        subscribes_to_list: info.discovery == "on_request",
        fleet_size: info.fleet_size.max(1),
        position: info.position,
        zone: info.zone,
        tick: info.granularity,
        over_quota_weight: info.over_share_worth.unwrap_or(1.0),
        sizes_known: !matches!(info.weights.as_str(), "silent" | ""),
    })
}

fn request_class(info: ClassInfo) -> Result<RequestClass, SettingsError> {
    let idempotency = match info.effect.as_str() {
        "retryable" => Idempotency::Idempotent,
        "dedup" => Idempotency::Keyed,
        "fragile" | "" => Idempotency::NonIdempotent,
        other => return Err(SettingsError::unknown("effect", other)),
    };
    let dedup_group = match info.group.as_str() {
        "zone" => DedupGroup::Zone,
        "cell" => DedupGroup::Cell,
        "all" | "" => DedupGroup::All,
        other => return Err(SettingsError::unknown("group", other)),
    };
    Ok(RequestClass {
        latency_objective: info.objective,
        deadline: info.hard_limit,
        idempotency,
        dedup_group,
        dedup_window: info.window,
        priority_weight: info.gain.unwrap_or(1.0),
        late_weight: info.late_worth,
        stream: info.stream,
    })
}

fn rollout(family: Family) -> Result<Rollout, SettingsError> {
    let gate = match family.gate_mode.as_str() {
        "any" | "" => GateMode::Any,
        "share" => GateMode::Share,
        "timer" => GateMode::Timer,
        other => return Err(SettingsError::unknown("gate mode", other)),
    };
    Ok(Rollout {
        gate,
        in_place: family.style == "in_place",
        stage_caps: family.stage_cap,
        idempotent_only_stages: family.safe_only_stages,
        exposure_window: family.counted_over,
        exposure_slack: family.uncounted,
        exposure_per_class: family.per == "class",
        sticky_to_new_build: family.one_way,
        vote_ttl: family.vote_ttl.unwrap_or(u64::MAX),
        vote_timeout: family.call_timeout.unwrap_or(u64::MAX),
        flag_share: family.flag_share,
        votes_to_promote: family.to_advance.unwrap_or(1.0),
        votes_to_roll_back: family.noes_needed.unwrap_or(1.0),
        vote_rate_limit: family.vote_allowance.unwrap_or(f64::INFINITY),
    })
}

fn limits(caps: &Caps) -> Limits {
    Limits {
        max_attempts: caps.attempts_cap.unwrap_or(1),
        hedging: caps.may_duplicate,
        cancel: caps.cancelling,
        health_checks: caps.may_probe,
        gossip: caps.may_tell,
        retry_after: caps.retry_after,
        max_retry_after: caps.max_retry_after,
    }
}

fn rules(contract: &ContractInfo) -> ServiceRules {
    ServiceRules {
        deadline_grace: contract.grace_to_answer,
        poll_interval_max: contract.ask_within.unwrap_or(u64::MAX),
        slow_start_floor: contract.cold_from.unwrap_or(1.0),
        slow_start_span: contract.cold,
        drain_grace: contract.drain_grace,
        overload_multiple: contract.fall_multiple.unwrap_or(f64::INFINITY),
        overload_span: contract.tip_after,
    }
}
