//! The sections of a plan script, with the types and defaults of their arguments. Fields have the names that
//! scripts use; the types in `plan.rs` and `calendar.rs` document them.

use crate::{Downtime, Gate, OnClose, Power};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use violetseam_starlark_config::{Call, Located, ScriptDuration, ScriptError};

/// `plan(...)`: the release as a whole.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanSection {
    pub name: String,
    pub build: u16,
    pub longest: ScriptDuration,
    #[serde(default = "default_downtime")]
    pub downtime: Downtime,
}

/// `fleet(...)`: the fleet that the plan is made for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSection {
    pub proxies: u32,
    pub places: u32,
    pub vote_ttl: ScriptDuration,
    #[serde(default = "default_votes_per_s")]
    pub votes_per_s: f64,
    pub stage_caps: Vec<f64>,
    #[serde(default = "one_third")]
    pub votes_back: f64,
    #[serde(default)]
    pub beside: bool,
    #[serde(default = "default_launch")]
    pub launch: ScriptDuration,
    #[serde(default = "default_settle")]
    pub settle: ScriptDuration,
    /// Named groups of places, which waves can refer to.
    #[serde(default)]
    pub groups: BTreeMap<String, BTreeSet<u32>>,
}

/// `wave(...)`: one stage of the release. Its places are given either as a share or as groups.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaveSection {
    pub name: String,
    /// Share of all places that run the new build.
    #[serde(default)]
    pub share: Option<f64>,
    /// Names of the groups of places that run the new build.
    #[serde(default)]
    pub groups: Option<Vec<String>>,
    pub cap: f64,
    pub soak: ScriptDuration,
    pub gate: Gate,
    #[serde(default = "one_half")]
    pub votes: f64,
    #[serde(default = "default_on_close")]
    pub on_close: OnClose,
}

/// `hold(...)`: a point before a wave at which the release waits for an operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HoldSection {
    pub before: String,
    #[serde(default)]
    pub leave: Vec<String>,
    #[serde(default)]
    pub at_most: Option<ScriptDuration>,
}

/// `window(...)`: a weekly window in which a release may proceed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WindowSection {
    pub days: String,
    pub start: String,
    pub end: String,
    pub zone: String,
}

/// `freeze(...)`: a period in which no window is open.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FreezeSection {
    pub start: String,
    pub end: String,
    pub zone: String,
    #[serde(default)]
    pub reason: String,
}

/// `sign_off(...)`: the approvals that a wave needs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SignOffSection {
    pub wave: String,
    pub by: Vec<String>,
    #[serde(default = "one")]
    pub count: usize,
    pub within: ScriptDuration,
}

/// `allow(...)`: the permissions of an operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AllowSection {
    pub who: String,
    pub may: BTreeSet<Power>,
}

fn default_downtime() -> Downtime {
    Downtime::Stops
}

fn default_votes_per_s() -> f64 {
    150.0
}

fn one_third() -> f64 {
    1.0 / 3.0
}

fn one_half() -> f64 {
    0.5
}

fn default_on_close() -> OnClose {
    OnClose::Hold
}

fn one() -> usize {
    1
}

fn default_launch() -> ScriptDuration {
    ScriptDuration::from_secs(300)
}

fn default_settle() -> ScriptDuration {
    ScriptDuration::from_secs(1)
}

/// All section calls of a script, in the order of the script.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub plan: Vec<Located<PlanSection>>,
    pub fleet: Vec<Located<FleetSection>>,
    pub waves: Vec<Located<WaveSection>>,
    pub holds: Vec<Located<HoldSection>>,
    pub windows: Vec<Located<WindowSection>>,
    pub freezes: Vec<Located<FreezeSection>>,
    pub sign_offs: Vec<Located<SignOffSection>>,
    pub allows: Vec<Located<AllowSection>>,
}

/// Deserializes each call into the section that it names.
///
/// # Errors
///
/// The first call whose arguments do not match its section, with the location of the call.
pub(crate) fn collect(calls: Vec<Call>) -> Result<Sections, ScriptError> {
    let mut sections = Sections::default();
    for call in calls {
        match call.function {
            "plan" => sections.plan.push(call.read()?),
            "fleet" => sections.fleet.push(call.read()?),
            "wave" => sections.waves.push(call.read()?),
            "hold" => sections.holds.push(call.read()?),
            "window" => sections.windows.push(call.read()?),
            "freeze" => sections.freezes.push(call.read()?),
            "sign_off" => sections.sign_offs.push(call.read()?),
            "allow" => sections.allows.push(call.read()?),
            other => return Err(ScriptError::invalid(call.location, format!("{other}: no such section"))),
        }
    }
    Ok(sections)
}
