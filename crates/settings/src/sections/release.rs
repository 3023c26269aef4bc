//! Sections for the rollout of a release, the limits of attempts, and the service rules of servers.

use super::{one, one_second};
use serde::Deserialize;
use violetseam_starlark_config::ScriptDuration;

/// The condition that promotes a release to the next stage. See [`violetseam::interface::GateMode`].
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum GateName {
    #[default]
    Any,
    Share,
    Timer,
}

/// `rollout(...)`: how builds are rolled out.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RolloutSection {
    /// Exposure cap of each stage, as a share of the attempts.
    pub stage_caps: Vec<f64>,
    /// Length of the window over which exposure is counted.
    pub counted_over: ScriptDuration,
    #[serde(default)]
    pub gate: GateName,
    /// Whether servers of the earlier build drain as soon as their replacements are up.
    #[serde(default)]
    pub in_place: bool,
    /// Number of initial stages in which only idempotent requests may go to the new build.
    #[serde(default)]
    pub guarded_stages: u8,
    /// Number of attempts that the exposure rule allows in a window in addition to the cap's share.
    #[serde(default)]
    pub uncounted: f64,
    /// Whether the exposure rule counts each request class separately.
    #[serde(default)]
    pub per_class: bool,
    /// Whether a key that the new build has answered is never sent to an earlier build.
    #[serde(default)]
    pub one_way: bool,
    /// How long a vote counts after it was cast.
    pub vote_ttl: ScriptDuration,
    /// Time-out for the reply to a vote.
    #[serde(default = "one_second")]
    pub call_timeout: ScriptDuration,
    /// Share of the wrong responses that clients report.
    #[serde(default)]
    pub flag_share: f64,
    /// Number of votes that promote a release to the next stage.
    #[serde(default = "one")]
    pub votes_on: f64,
    /// Number of votes that roll a build back.
    #[serde(default = "one")]
    pub votes_back: f64,
    /// Votes per second that the platform accepts from all balancers together.
    #[serde(default = "unlimited")]
    pub vote_allowance: f64,
}

fn unlimited() -> f64 {
    f64::MAX
}

/// `limits(...)`: limits of the attempts of a request, and the optional features of the balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LimitsSection {
    pub max_attempts: usize,
    /// Whether requests may be hedged.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether gossip may be sent to peers.
    pub peer_messages: bool,
    /// Whether rejections may carry a `Retry-After`.
    pub retry_after: bool,
    /// Longest `Retry-After` that clients honour.
    pub max_retry_after: ScriptDuration,
    /// Shortest time between two rounds of events.
    pub tick: ScriptDuration,
    /// Weight of a request that exceeds its tenant's quota, as a share of the weight of its class.
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

/// `contract(...)`: the service rules, which say what servers guarantee and how they start and stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ContractSection {
    /// Time after the deadline within which a final response still counts as in time.
    #[serde(default = "default_deadline_grace")]
    pub answer_grace: ScriptDuration,
    /// Longest interval between two polls of the server list.
    pub ask_within: ScriptDuration,
    /// Smallest share of its capacity that a server has right after its start.
    pub cold_from: f64,
    /// Longest duration of a slow start.
    pub cold_span: ScriptDuration,
    /// Time within which the proxy must stop sending requests to a draining server.
    pub drain_grace: ScriptDuration,
    /// Multiple of its current capacity above which a server that is warming up is overloaded.
    pub fall_multiple: f64,
    /// How long a server that is warming up tolerates an overload.
    pub fall_span: ScriptDuration,
}

fn default_deadline_grace() -> ScriptDuration {
    ScriptDuration::from_millis(20)
}
