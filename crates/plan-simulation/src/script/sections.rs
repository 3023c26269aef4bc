//! The sections of a simulation's script. The fields have the names that scripts use. `at` counts from the
//! offer.

use serde::Deserialize;
use violetseam_plan::Power;
use violetseam_release::Verdict;
use violetseam_starlark_config::ScriptDuration;

/// How long a place takes to start or drain a build if the script does not set it.
pub(super) const DEFAULT_TRANSITION: ScriptDuration = ScriptDuration::from_secs(10);

/// `start(...)`: the wall-clock time of the offer, and the state of the places at that time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StartSection {
    /// The local time in the zone, for example `2026-12-01T08:00`.
    pub at: String,
    /// The IANA name of the time zone.
    #[serde(default = "utc")]
    pub zone: String,
    /// The build that all places run.
    pub build: u16,
    /// How long a place takes to start a build.
    #[serde(default = "default_transition")]
    pub boot: ScriptDuration,
    /// How long a place takes to drain a build.
    #[serde(default = "default_transition")]
    pub drain: ScriptDuration,
}

/// `end(...)`: limits the length of the simulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EndSection {
    /// When the simulation ends at the latest.
    pub at: ScriptDuration,
}

/// `votes(...)`: a group of proxies that vote repeatedly on the announced stage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterGroup {
    /// When they begin to vote.
    #[serde(default)]
    pub at: ScriptDuration,
    /// When they stop voting; they vote to the end if it is not given.
    #[serde(default)]
    pub until: Option<ScriptDuration>,
    /// The number of proxies in the group, whose numbers begin with `first`.
    pub proxies: u32,
    /// The number of the first proxy.
    #[serde(default)]
    pub first: u32,
    /// The verdict that they vote for.
    pub verdict: Verdict,
    /// The only stage in which they vote; they vote in all stages if it is not given.
    #[serde(default)]
    pub stage: Option<u8>,
    /// The longest delay after an announcement, and the interval between votes.
    pub every: ScriptDuration,
}

/// `sign(...)` and `unsign(...)`: a person approves a wave, or withdraws the approval.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    /// When the person does so.
    pub at: ScriptDuration,
    /// The name of the person.
    pub who: String,
    /// The name of the wave.
    pub wave: String,
}

/// `order(...)`: an operator's order.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorOrder {
    /// When the order is given.
    pub at: ScriptDuration,
    /// The name of the operator.
    pub who: String,
    /// The order.
    pub what: Power,
    /// The duration of a hold.
    #[serde(default, rename = "for")]
    pub duration: Option<ScriptDuration>,
    /// Whether rejections stay out of the timeline. This is set for orders that are repeated until one has an
    /// effect.
    #[serde(skip)]
    pub ignores_rejection: bool,
}

/// `lose(...)`: a place is lost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceLoss {
    /// When the place is lost.
    pub at: ScriptDuration,
    /// The number of the place.
    pub place: u32,
    /// How long the place is lost.
    #[serde(rename = "for")]
    pub duration: ScriptDuration,
}

/// `clock(...)`: the controller's wall clock is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClockStep {
    /// When the clock is set.
    pub at: ScriptDuration,
    /// How far the clock is set ahead.
    #[serde(default)]
    pub ahead: ScriptDuration,
    /// How far the clock is set back.
    #[serde(default)]
    pub back: ScriptDuration,
}

/// `away(...)`: no controller runs for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerOutage {
    /// When the controller stops.
    pub at: ScriptDuration,
    /// How long no controller runs.
    #[serde(rename = "for")]
    pub duration: ScriptDuration,
}

fn utc() -> String {
    "UTC".to_owned()
}

fn default_transition() -> ScriptDuration {
    DEFAULT_TRANSITION
}
