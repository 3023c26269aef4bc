//! How a release goes on, the limits of attempts, and what servers promise.

use super::{one, one_second};
use serde::Deserialize;
use violetseam_starlark_config::ScriptDuration;

/// What ends a stage.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GateName {
    #[default]
    Any,
    Share,
    Timer,
}

/// `rollout(...)`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RolloutSection {
    pub stage_caps: Vec<f64>,
    /// The window over which exposure is counted.
    pub counted_over: ScriptDuration,
    #[serde(default)]
    pub gate: GateName,
    #[serde(default)]
    pub in_place: bool,
    /// Stages below this number take idempotent requests only.
    #[serde(default)]
    pub guarded_stages: u8,
    /// Attempts that a window allows beyond the cap's share.
    #[serde(default)]
    pub uncounted: f64,
    #[serde(default)]
    pub per_class: bool,
    /// A key that the new build has answered goes to no earlier build.
    #[serde(default)]
    pub one_way: bool,
    pub vote_ttl: ScriptDuration,
    #[serde(default = "one_second")]
    pub call_timeout: ScriptDuration,
    #[serde(default)]
    pub flag_share: f64,
    #[serde(default = "one")]
    pub votes_on: f64,
    #[serde(default = "one")]
    pub votes_back: f64,
    /// Votes a second.
    #[serde(default = "unlimited")]
    pub vote_allowance: f64,
}

fn unlimited() -> f64 {
    f64::MAX
}

/// `limits(...)`: what a request may cost beyond its first attempt.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LimitsSection {
    pub max_attempts: usize,
    /// Hedging.
    pub second_copies: bool,
    pub cancel: bool,
    /// Gossip.
    pub peer_messages: bool,
    pub retry_after: bool,
    pub max_retry_after: ScriptDuration,
    pub tick: ScriptDuration,
    /// The weight of a request past its tenant's quota, as a share of its class's.
    pub over_share_worth: f64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            peer_messages: true,
            retry_after: true,
            max_retry_after: ScriptDuration::from_secs(2),
            tick: ScriptDuration::from_millis(5),
            over_share_worth: 1.0,
        }
    }
}

/// `contract(...)`: what servers promise, and how they start and stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ContractSection {
    #[serde(default = "default_deadline_grace")]
    pub answer_grace: ScriptDuration,
    pub ask_within: ScriptDuration,
    /// The least share of its capacity that a server starts with.
    pub cold_from: f64,
    /// The longest slow start.
    pub cold_span: ScriptDuration,
    pub drain_grace: ScriptDuration,
    /// A server that is warming up is overloaded past this multiple of its present capacity.
    pub fall_multiple: f64,
    pub fall_span: ScriptDuration,
}

fn default_deadline_grace() -> ScriptDuration {
    ScriptDuration::from_millis(20)
}
