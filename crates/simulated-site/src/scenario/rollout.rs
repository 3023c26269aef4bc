//! How builds are rolled out, and the defects of builds.

use serde::{Deserialize, Serialize};

/// What promotes a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateMode {
    /// One vote.
    Any,
    /// Votes of a share of all proxies.
    Share,
    /// The clock.
    Timer,
}

/// How builds are rolled out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollout {
    /// What promotes a stage.
    pub gate: GateMode,
    /// Servers of the previous build stay until the release.
    #[serde(rename = "beside")]
    pub keep_previous_build: bool,
    /// By stage: share of the places that run the new build.
    pub stages: Vec<f64>,
    /// By stage: the largest share of attempts at the new build.
    pub caps: Vec<f64>,
    /// Share of proxies whose votes promote a stage.
    #[serde(rename = "votes_on")]
    pub votes_to_promote: f64,
    /// Share of proxies whose votes hold the clock.
    #[serde(rename = "votes_hold")]
    pub votes_to_hold: f64,
    /// Share of proxies whose votes roll a build back.
    #[serde(rename = "votes_back")]
    pub votes_to_roll_back: f64,
    /// How long a vote counts.
    #[serde(rename = "vote_life")]
    pub vote_lifetime: u64,
    /// The least duration of a stage once its servers run.
    pub bake: u64,
    /// Duration of a stage that the clock promotes.
    #[serde(rename = "step")]
    pub stage_duration: u64,
    /// How long a server takes to start.
    #[serde(rename = "boot")]
    pub startup_time: u64,
    /// How long a server drains.
    #[serde(rename = "drain")]
    pub drain_time: u64,
    /// The release status is sent again after this span without a change.
    #[serde(rename = "push")]
    pub resend_interval: u64,
    /// How late the release status reaches the proxies.
    #[serde(rename = "told_late")]
    pub status_delay: u64,
    /// How long a vote's call takes.
    #[serde(rename = "call")]
    pub vote_latency: u64,
    /// How long a proxy waits for the reply to a vote.
    #[serde(rename = "call_timeout")]
    pub vote_timeout: u64,
    /// Votes per second of all proxies that the release service accepts.
    #[serde(rename = "calls_per_s")]
    pub vote_rate_limit: f64,
    /// Share of wrong answers that clients report.
    #[serde(rename = "flag_share")]
    pub report_share: f64,
    /// How late clients report an answer.
    #[serde(rename = "flag_late")]
    pub report_delay: u64,
    /// Share of right answers that clients report as wrong.
    #[serde(rename = "false_flags")]
    pub false_report_share: f64,
    /// The first stages, in which the new build gets only requests that may be repeated.
    #[serde(rename = "guarded")]
    pub idempotent_only_stages: u8,
    /// A key that the new build has answered goes to no earlier build.
    #[serde(rename = "one_way")]
    pub sticky_to_new_build: bool,
    /// Exposure is measured over this span.
    #[serde(rename = "window")]
    pub exposure_window: u64,
    /// Attempts that may exceed the cap's share.
    #[serde(rename = "free")]
    pub exposure_slack: f64,
    /// Whether exposure is measured for each class.
    #[serde(rename = "by_class")]
    pub exposure_per_class: bool,
    /// Number of the first build.
    pub first_build: u16,
}

/// A build that is offered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// When.
    pub at: u64,
    /// Its defect, if it has one.
    #[serde(rename = "fault")]
    pub defect: Option<BuildDefect>,
    /// Severity of the defect, 0 to 1.
    #[serde(rename = "strength")]
    pub severity: f64,
    /// Its speed relative to the first build.
    pub speed: f64,
}

/// A defect of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BuildDefect {
    /// A share of all requests fails.
    Errors,
    /// A share of the requests of one class fails.
    #[serde(rename = "class")]
    ClassErrors(usize),
    /// Requests need more work.
    Slow,
    /// Slow, with errors, while its server is busy.
    #[serde(rename = "load")]
    UnderLoad,
    /// Slow, with errors, some seconds after its start.
    #[serde(rename = "late")]
    Delayed,
    /// A share of its answers is wrong.
    #[serde(rename = "wrong")]
    WrongAnswers,
    /// It slows all servers down in proportion to its traffic.
    #[serde(rename = "shared")]
    SlowsFleet,
}
