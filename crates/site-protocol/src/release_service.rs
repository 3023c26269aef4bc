//! The release service: its status as JSON lines, votes as JSON calls.
//!
//! [`ReleaseUpdate`] and [`VoteReply`] are the wire forms, for programs that forward them. [`FencedRelease`]
//! and [`VoteResult`] are what a proxy needs of them, with the values validated.

use crate::json::{from_json, to_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};
use violetseam::interface::{Build, Outcome, Phase, ReleaseStatus, Verdict};

/// The maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;

/// A release's phase, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseName {
    /// On trial.
    Trial,
    /// Being rolled back.
    RollingBack,
    /// Released.
    Released,
    /// Withdrawn.
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
    /// Its stage, from 0.
    pub stage: u8,
    /// Its phase.
    pub phase: PhaseName,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
    /// The fence of the controller that sent the update; 0 from a release service without fences. Updates
    /// with a lower fence than an earlier one are ignored.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub fence: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl ReleaseUpdate {
    /// Deserializes one line. The values are not validated; [`FencedRelease::parse`] does that.
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
        Ok(FencedRelease { status, fence: self.fence })
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
    /// The fence; 0 from a release service without fences.
    pub fence: u64,
}

impl FencedRelease {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, or a value is out of bounds.
    pub fn parse(line: &[u8]) -> Result<FencedRelease, MessageError> {
        ReleaseUpdate::from_json(line)?.validate()
    }
}

/// A verdict, as it is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictName {
    /// Promote to the next stage.
    On,
    /// Hold the stage's clock.
    Hold,
    /// Roll back.
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

/// A vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The voting proxy's number in its fleet.
    pub proxy: usize,
    /// The build.
    pub build: Build,
    /// The stage that the vote is on.
    pub stage: u8,
    /// The verdict.
    pub verdict: VerdictName,
}

impl Vote {
    /// A vote with a verdict of the decision module.
    pub fn new(proxy: usize, build: Build, stage: u8, verdict: Verdict) -> Self {
        Vote { proxy, build, stage, verdict: verdict.into() }
    }

    /// Parses the body of a call.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not a vote.
    pub fn parse(body: &[u8]) -> Result<Vote, MessageError> {
        from_json(MessageType::Vote, body)
    }

    /// Serializes the body of a call.
    pub fn write(&self) -> Vec<u8> {
        to_json(self)
    }
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteOutcome {
    /// It counts.
    Ok,
    /// It is not on the current build and stage, or its verdict does not exist there.
    #[serde(rename = "moot")]
    Obsolete,
    /// It is over the rate that all proxies share.
    #[serde(rename = "full")]
    RateLimited,
    /// The release service failed.
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
    /// What became of the vote.
    pub outcome: VoteOutcome,
    /// The current release status, with a vote that counts.
    #[serde(rename = "news", default, skip_serializing_if = "Option::is_none")]
    pub release: Option<ReleaseUpdate>,
}

impl VoteReply {
    /// Deserializes the body of a response. The values are not validated; [`VoteResult::parse`] does that.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not JSON of this form.
    pub fn from_json(body: &[u8]) -> Result<VoteReply, MessageError> {
        from_json(MessageType::VoteReply, body)
    }

    /// Serializes the body of a response.
    pub fn write(&self) -> Vec<u8> {
        to_json(self)
    }
}

/// A validated response to a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteResult {
    /// How the call ended, as the decision module knows it.
    pub outcome: Outcome,
    /// The current release status; none unless the vote counts.
    pub release: Option<FencedRelease>,
}

impl VoteResult {
    /// Parses and validates the body of a response.
    ///
    /// # Errors
    /// [`MessageError`] if the body is not a response, or the release status in it is out of bounds.
    pub fn parse(body: &[u8]) -> Result<VoteResult, MessageError> {
        let reply = VoteReply::from_json(body)?;
        let release = match reply.outcome {
            VoteOutcome::Ok => reply.release.map(ReleaseUpdate::validate).transpose()?,
            _ => None,
        };
        Ok(VoteResult { outcome: reply.outcome.into(), release })
    }
}
