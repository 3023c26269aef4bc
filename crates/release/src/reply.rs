//! The outcome of events: replies, and why an event is declined.

use serde::{Deserialize, Serialize};

/// What became of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventOutcome {
    /// The reply to whoever sent it.
    pub reply: Reply,
    /// The state changed in a way that must be recorded.
    pub changed: bool,
}

/// The reply to an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It is in force.
    #[serde(rename = "ok")]
    Accepted,
    /// It is about something that is past, and changes nothing.
    #[serde(rename = "moot")]
    Obsolete(String),
    /// It is not permitted, or makes no sense, and changes nothing.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// The phase of the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It is on trial.
    Trial,
    /// It is being rolled back.
    RollingBack,
    /// It is released.
    Released,
    /// It was rolled back.
    Withdrawn,
}

/// What the controller announces to proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The newest build.
    pub build: u16,
    /// Its stage, from 0: the wave that it is in.
    pub stage: u8,
    /// Its phase.
    pub phase: Phase,
    /// The highest share of the traffic that it may get.
    pub cap: f64,
}

/// Why an event is declined and changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Declined {
    /// It is about something that is past.
    #[error(transparent)]
    Obsolete(#[from] Obsolete),
    /// It is not permitted, or makes no sense.
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

/// What an event is too late for.
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
    TimerGate,
    #[error("votes move this wave on")]
    VoteGate,
    #[error("build {0} was called back")]
    BuildWasRolledBack(u16),
    #[error("no build is on trial or waits")]
    NothingUnderWay,
    #[error("wave {0:?} has begun")]
    WaveHasBegun(String),
    #[error("wave {0:?} has begun: hold or call back instead")]
    ApprovalWasUsed(String),
    #[error("approved before")]
    AlreadyApproved,
    #[error("no approval to take back")]
    NoApproval,
    #[error("nothing is held that this one may let go")]
    NothingToResume,
    #[error("its first wave has not begun")]
    NotOnTrial,
    #[error("it has soaked")]
    HasSoaked,
}

/// Why an event is not permitted, or makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    #[error("build {0} was called back: a mended one has another number")]
    WasRolledBack(u16),
    #[error("build {0} runs everywhere")]
    IsInUse(u16),
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
    #[error("{who} is not asked to approve wave {wave:?}")]
    NotAnApprover { who: String, wave: String },
    #[error("the time for it is over")]
    ApprovalDeadlinePassed,
    #[error("the plan does not allow {who} to {order}")]
    NotAllowed { who: String, order: &'static str },
    #[error("a hold is over 0 and at most the plan's longest")]
    InvalidHold,
}
