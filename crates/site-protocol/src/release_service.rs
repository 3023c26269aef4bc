//! The messages of the release service. It sends its release status as JSON lines, and receives each vote as
//! a call with a JSON body.
//!
//! [`ReleaseUpdate`] and [`VoteReply`] are the messages as they are written on the wire, for programs that
//! forward them. [`FencedRelease`] and [`VoteResult`] have the validated values that a proxy needs.

use crate::json::{from_json, to_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};
use violetseam::interface::{Build, Outcome, Phase, ReleaseStatus, Verdict};
use violetseam::release_order::ReleaseReport;

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;

/// A release's phase, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseName {
    /// The build is on trial.
    Trial,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released.
    Released,
    /// The build is withdrawn.
    Withdrawn,
}

impl From<PhaseName> for Phase {
    fn from(name: PhaseName) -> Phase {
        match name {
            PhaseName::Trial => Phase::Trial,
            PhaseName::RollingBack => Phase::RollingBack,
            PhaseName::Released => Phase::Released,
            PhaseName::Withdrawn => Phase::Withdrawn,
        }
    }
}

/// The release service's status of the newest build, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The newest build.
    pub build: Build,
    /// The stage of the release, counted from 0.
    pub stage: u8,
    /// The phase of the release.
    pub phase: PhaseName,
    /// The exposure cap, from 0 to 1.
    pub cap: f64,
    /// The fence of the controller that sent the update; 0 if the release service has no fences. An update
    /// with a lower fence than an earlier update is ignored.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub fence: u64,
    /// The number of the status among those with the same fence, from 1; 0 if the release service does not
    /// number them. It orders updates that arrive on different connections.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl ReleaseUpdate {
    /// Deserializes one line without validating its values; [`FencedRelease::parse`] validates them.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form.
    pub fn from_json(line: &[u8]) -> Result<ReleaseUpdate, MessageError> {
        from_json(MessageType::ReleaseStatus, line)
    }

    fn validate(self) -> Result<FencedRelease, MessageError> {
        if !(0.0..=1.0).contains(&self.cap) {
            return Err(MessageError::CapOutOfRange);
        }
        let status =
            ReleaseStatus { build: self.build, stage: self.stage, phase: self.phase.into(), cap: self.cap };
        Ok(FencedRelease { status, fence: self.fence, revision: self.revision })
    }

    /// Serializes the update as one line, including the line end.
    pub fn write(&self) -> Vec<u8> {
        to_json_line(self)
    }
}

/// A validated release status with the fence of the controller that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FencedRelease {
    /// The status.
    pub status: ReleaseStatus,
    /// The fence; 0 if the release service has no fences.
    pub fence: u64,
    /// The number of the status among those with the same fence; 0 if the release service does not number
    /// them.
    pub revision: u64,
}

impl FencedRelease {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, or if a value is out of range.
    pub fn parse(line: &[u8]) -> Result<FencedRelease, MessageError> {
        ReleaseUpdate::from_json(line)?.validate()
    }

    /// Returns the report that `new_report` creates from the status, with the status's revision.
    pub fn report(&self, new_report: impl FnOnce(ReleaseStatus) -> ReleaseReport) -> ReleaseReport {
        let report = new_report(self.status);
        if self.revision == 0 { report } else { report.with_revision(self.revision) }
    }
}

/// A verdict, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictName {
    /// Promote the build to the next stage.
    On,
    /// Hold the build at its stage, by stopping the clock of the stage.
    Hold,
    /// Roll the build back.
    Back,
    /// Withdraw the earlier vote.
    Withdraw,
}

impl From<Verdict> for VerdictName {
    fn from(verdict: Verdict) -> VerdictName {
        match verdict {
            Verdict::Promote => VerdictName::On,
            Verdict::Hold => VerdictName::Hold,
            Verdict::RollBack => VerdictName::Back,
            Verdict::Withdraw => VerdictName::Withdraw,
        }
    }
}

/// A proxy's vote on the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The voting proxy's number in its fleet.
    pub proxy: usize,
    /// The build that the vote is about.
    pub build: Build,
    /// The stage that the vote is about.
    pub stage: u8,
    /// The verdict.
    pub verdict: VerdictName,
}

impl Vote {
    /// Creates a vote from a verdict of the decision module.
    pub fn new(proxy: usize, build: Build, stage: u8, verdict: Verdict) -> Self {
        Vote { proxy, build, stage, verdict: verdict.into() }
    }

    /// Parses a vote from the body of a call.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not a vote.
    pub fn parse(body: &[u8]) -> Result<Vote, MessageError> {
        from_json(MessageType::Vote, body)
    }

    /// Serializes the vote as the body of a call.
    pub fn write(&self) -> Vec<u8> {
        to_json(self)
    }
}

/// How the release service handled a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteOutcome {
    /// The vote counts.
    Ok,
    /// The vote is not about the current build and stage, or its verdict is not possible at that stage.
    #[serde(rename = "moot")]
    Obsolete,
    /// The vote exceeds the rate limit that all proxies share.
    #[serde(rename = "full")]
    RateLimited,
    /// The release service failed to handle the vote.
    Error,
}

impl From<VoteOutcome> for Outcome {
    fn from(outcome: VoteOutcome) -> Outcome {
        match outcome {
            VoteOutcome::Ok => Outcome::Ok,
            VoteOutcome::Obsolete => Outcome::NotSent,
            VoteOutcome::RateLimited => Outcome::Rejected,
            VoteOutcome::Error => Outcome::Error,
        }
    }
}

/// The response to a vote, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// How the release service handled the vote.
    pub outcome: VoteOutcome,
    /// The current release status, if the vote counts.
    #[serde(rename = "news", default, skip_serializing_if = "Option::is_none")]
    pub release: Option<ReleaseUpdate>,
}

impl VoteReply {
    /// Deserializes the body of a response without validating its values; [`VoteResult::parse`] validates
    /// them.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not JSON of this form.
    pub fn from_json(body: &[u8]) -> Result<VoteReply, MessageError> {
        from_json(MessageType::VoteReply, body)
    }

    /// Serializes the reply as the body of a response.
    pub fn write(&self) -> Vec<u8> {
        to_json(self)
    }
}

/// A validated response to a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteResult {
    /// How the call ended, in the terms of the decision module.
    pub outcome: Outcome,
    /// The current release status; none if the vote does not count or the reply has no status.
    pub release: Option<FencedRelease>,
}

impl VoteResult {
    /// Parses and validates the body of a response.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not a response to a vote, or if a value of its release status is out
    /// of range.
    pub fn parse(body: &[u8]) -> Result<VoteResult, MessageError> {
        let reply = VoteReply::from_json(body)?;
        let release = match reply.outcome {
            VoteOutcome::Ok => reply.release.map(ReleaseUpdate::validate).transpose()?,
            _ => None,
        };
        Ok(VoteResult { outcome: reply.outcome.into(), release })
    }
}
