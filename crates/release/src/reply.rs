//! The outcome of an event: the reply to its sender, and the reason if the event is declined.

use serde::{Deserialize, Serialize};

/// The outcome of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventOutcome {
    /// The reply to the sender of the event.
    pub reply: Reply,
    /// Whether the event changed the state and must be recorded.
    pub changed: bool,
}

/// The reply to an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The event was applied.
    #[serde(rename = "ok")]
    Accepted,
    /// The event comes too late or repeats an earlier one, and changes nothing. The text says why.
    #[serde(rename = "moot")]
    Obsolete(String),
    /// The event is not permitted or not valid, and changes nothing. The text says why.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// The phase of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The build is on trial: it runs in the places of its current wave.
    Trial,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released to all places.
    Released,
    /// The build was rolled back, and the rollback is complete.
    Withdrawn,
}

/// What the controller announces to proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The newest build.
    pub build: u16,
    /// The build's stage: the index of its current wave, from 0.
    pub stage: u8,
    /// The build's phase.
    pub phase: Phase,
    /// The largest share of the traffic that the build may get, from 0 to 1.
    pub cap: f64,
}

/// The reason why an event is declined and changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Declined {
    /// The event comes too late or repeats an earlier one.
    #[error(transparent)]
    Obsolete(#[from] Obsolete),
    /// The event is not permitted or not valid.
    #[error(transparent)]
    Rejected(#[from] Rejection),
}

impl From<Declined> for Reply {
    fn from(declined: Declined) -> Self {
        match declined {
            Declined::Obsolete(reason) => Reply::Obsolete(reason.to_string()),
            Declined::Rejected(reason) => Reply::Rejected(reason.to_string()),
        }
    }
}

/// The reason why an event comes too late or repeats an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Obsolete {
    #[error("build {0} is the newest already")]
    IsNewest(u16),
    #[error("build {0} waits already")]
    IsPending(u16),
    #[error("no build is on trial")]
    NoTrial,
    #[error("another build")]
    OtherBuild,
    #[error("another stage")]
    OtherStage,
    #[error("it is released")]
    IsReleased,
    #[error("it was called back")]
    WasRolledBack,
    #[error("the clock moves this wave on")]
    PromoteVoteAtTimerGate,
    #[error("votes move this wave on")]
    HoldVoteAtVoteGate,
    #[error("build {0} was called back")]
    BuildWasRolledBack(u16),
    #[error("no build is on trial or waits")]
    NoCurrentPlan,
    #[error("wave {0:?} has begun")]
    WaveAlreadyBegun(String),
    #[error("wave {0:?} has begun: hold or call back instead")]
    ApprovalAlreadyUsed(String),
    #[error("approved before")]
    AlreadyApproved,
    #[error("no approval to take back")]
    NothingToRevoke,
    #[error("nothing is held that this one may let go")]
    NothingToResume,
    #[error("its first wave has not begun")]
    NotOnTrial,
    #[error("it has soaked")]
    SoakComplete,
}

/// The reason why an event is not permitted or not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("build {0} was called back: a mended one has another number")]
    WasRolledBack(u16),
    #[error("build {0} runs everywhere")]
    RunsEverywhere(u16),
    #[error("the fleet has another number of places than before")]
    FleetChanged,
    #[error("build {0} waits already")]
    OtherBuildPending(u16),
    #[error("build {0} is on trial: call it back first")]
    OtherBuildOnTrial(u16),
    #[error("a plan without waves")]
    NoWaves,
    #[error("no proxy {0}")]
    UnknownProxy(u32),
    #[error("no place {0}")]
    UnknownPlace(u32),
    #[error("the plan has no wave {0:?}")]
    UnknownWave(String),
    #[error("{operator} is not asked to approve wave {wave:?}")]
    NotApprover { operator: String, wave: String },
    #[error("the time for it is over")]
    ApprovalDeadlinePassed,
    #[error("the plan does not allow {operator} to {order}")]
    NotAllowed { operator: String, order: &'static str },
    #[error("a hold is over 0 and at most the plan's longest")]
    InvalidHold,
}
