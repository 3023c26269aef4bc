//! The sections of a simulation's script. Fields have the names that scripts use; `at` counts from the offer.

use serde::Deserialize;
use violetseam_plan::Power;
use violetseam_release::Verdict;
use violetseam_starlark_config::ScriptDuration;

/// How long a place takes to start or drain a build if the script does not say.
pub(super) const DEFAULT_TRANSITION: ScriptDuration = ScriptDuration::from_secs(10);

/// `start(...)`: when a simulation begins, and with what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StartSection {
    /// The moment, by the clocks of the zone: `2026-12-01T08:00`.
    pub at: String,
    /// IANA name.
    #[serde(default = "utc")]
    pub zone: String,
    /// The build that runs everywhere.
    pub build: u16,
    /// How long a place takes to start a build.
    #[serde(default = "default_transition")]
    pub boot: ScriptDuration,
    /// How long a place takes to drain.
    #[serde(default = "default_transition")]
    pub drain: ScriptDuration,
}

/// `end(...)`: the simulation ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EndSection {
    /// When, at the latest.
    pub at: ScriptDuration,
}

/// `votes(...)`: proxies that vote on whatever stage is announced to them, again and again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterGroup {
    /// From when on.
    #[serde(default)]
    pub at: ScriptDuration,
    /// Until when; to the end if not given.
    #[serde(default)]
    pub until: Option<ScriptDuration>,
    /// How many proxies, from number `first` on.
    pub proxies: u32,
    /// The first one's number.
    #[serde(default)]
    pub first: u32,
    /// What they vote.
    pub verdict: Verdict,
    /// In this stage only.
    #[serde(default)]
    pub stage: Option<u8>,
    /// The delay after each announcement, and between votes.
    pub every: ScriptDuration,
}

/// `sign(...)` and `unsign(...)`: somebody approves a wave, or withdraws the approval.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    /// When.
    pub at: ScriptDuration,
    /// Who.
    pub who: String,
    /// Which wave.
    pub wave: String,
}

/// `order(...)`: an operator's order.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorOrder {
    /// When.
    pub at: ScriptDuration,
    /// Who.
    pub who: String,
    /// What.
    pub what: Power,
    /// For how long, of a hold.
    #[serde(default, rename = "for")]
    pub duration: Option<ScriptDuration>,
    /// The order is repeated until it has an effect: rejections stay out of the timeline.
    #[serde(skip)]
    pub ignores_rejection: bool,
}

/// `lose(...)`: a place is lost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceLoss {
    /// When.
    pub at: ScriptDuration,
    /// Which.
    pub place: u32,
    /// For how long.
    #[serde(rename = "for")]
    pub duration: ScriptDuration,
}

/// `clock(...)`: the controller's wall clock is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// When.
    pub at: ScriptDuration,
    /// Ahead by so much.
    #[serde(default)]
    pub ahead: ScriptDuration,
    /// Back by so much.
    #[serde(default)]
    pub back: ScriptDuration,
}

/// `away(...)`: no controller runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerOutage {
    /// From when on.
    pub at: ScriptDuration,
    /// For how long.
    #[serde(rename = "for")]
    pub duration: ScriptDuration,
}

fn utc() -> String {
    "UTC".to_owned()
}

fn default_transition() -> ScriptDuration {
    DEFAULT_TRANSITION
}
