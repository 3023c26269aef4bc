//! How builds are rolled out, and the defects of builds.

use serde::{Deserialize, Serialize};

/// What promotes a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GateMode {
    /// A vote of a single proxy.
    Any,
    /// Votes of a given share of all proxies.
    Share,
    /// The time that the stage has lasted.
    Timer,
}

/// How builds are rolled out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rollout {
    /// What promotes a stage.
    pub gate: GateMode,
    /// Whether servers of the previous build keep running until the release.
    #[serde(rename = "beside")]
    pub keep_previous_build: bool,
    /// For each stage, the share of the places that run the new build.
    pub stages: Vec<f64>,
    /// For each stage, the largest share of attempts that the new build may get.
    pub caps: Vec<f64>,
    /// Share of proxies whose votes promote a stage.
    #[serde(rename = "votes_on")]
    pub votes_to_promote: f64,
    /// Share of proxies whose votes pause the clock of a stage that is promoted by time.
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
    /// Duration of a stage that is promoted by time.
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
    /// Delay after which the release status reaches the proxies.
    #[serde(rename = "told_late")]
    pub status_delay: u64,
    /// How long the release service takes to reply to a vote.
    #[serde(rename = "call")]
    pub vote_latency: u64,
    /// How long a proxy waits for the reply to a vote.
    #[serde(rename = "call_timeout")]
    pub vote_timeout: u64,
    /// The most votes per second that the release service accepts from all proxies together.
    #[serde(rename = "calls_per_s")]
    pub vote_rate_limit: f64,
    /// Share of wrong answers that clients report.
    #[serde(rename = "flag_share")]
    pub report_share: f64,
    /// Delay after which clients report an answer.
    #[serde(rename = "flag_late")]
    pub report_delay: u64,
    /// Share of right answers that clients report as wrong.
    #[serde(rename = "false_flags")]
    pub false_report_share: f64,
    /// Number of first stages in which the new build gets only requests that may be repeated.
    #[serde(rename = "guarded")]
    pub idempotent_only_stages: u8,
    /// Whether requests with a key that the new build has answered must not go to an earlier build.
    #[serde(rename = "one_way")]
    pub sticky_to_new_build: bool,
    /// Span over which exposure is measured.
    #[serde(rename = "window")]
    pub exposure_window: u64,
    /// Number of attempts by which exposure may exceed the cap.
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
    /// When the build is offered.
    pub at: u64,
    /// The build's defect, if it has one.
    #[serde(rename = "fault")]
    pub defect: Option<BuildDefect>,
    /// Severity of the defect, 0 to 1.
    #[serde(rename = "strength")]
    pub severity: f64,
    /// Speed of the build relative to the first build.
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
    /// Requests need more work and some fail while the server is busy.
    #[serde(rename = "load")]
    UnderLoad,
    /// Requests need more work and some fail from some seconds after the server's start on.
    #[serde(rename = "late")]
    Delayed,
    /// A share of the answers is wrong.
    #[serde(rename = "wrong")]
    WrongAnswers,
    /// The build slows all servers down in proportion to its share of the traffic.
    #[serde(rename = "shared")]
    SlowsFleet,
}
