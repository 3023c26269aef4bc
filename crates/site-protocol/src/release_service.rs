//! The release desk: stage news as JSON lines, votes as JSON calls.

use crate::{Malformed, malformed};
use serde::{Deserialize, Serialize};
use violetseam::interface::{Build, Outcome, Phase, ReleaseStatus, Verdict};

/// The longest line that is taken, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseName {
    /// On trial.
    Trial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}

/// The desk's word on the newest build.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: u8,
    /// Where it stands.
    pub phase: PhaseName,
    /// The exposure cap, 0 to 1.
    pub cap: f64,
    /// The fencing number of the controller that says so; 0: a desk without one. ReleaseUpdate with a lower number
    /// than heard before are not obeyed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub fence: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl ReleaseUpdate {
    /// Reads one line: the news and the fencing number of whoever says so.
    ///
    /// # Errors
    /// [`Malformed`] if the line is not JSON of this form, or a figure is out of bounds.
    pub fn parse(line: &[u8]) -> Result<(ReleaseStatus, u64), Malformed> {
        let news = ReleaseUpdate::read(line)?;
        Ok((news.check()?, news.fence))
    }

    /// Reads one line as it is, for who passes it on.
    ///
    /// # Errors
    /// [`Malformed`] if the line is not JSON of this form, or a figure is out of bounds.
    pub fn read(line: &[u8]) -> Result<ReleaseUpdate, Malformed> {
        serde_json::from_slice(line).map_err(|e| Malformed(format!("desk: {e}")))
    }

    fn check(self) -> Result<ReleaseStatus, Malformed> {
        if !(0.0..=1.0).contains(&self.cap) {
            return malformed("desk: a cap outside 0 to 1");
        }
        let phase = match self.phase {
            PhaseName::Trial => Phase::Trial,
            PhaseName::RollingBack => Phase::RollingBack,
            PhaseName::Released => Phase::Released,
            PhaseName::Withdrawn => Phase::Withdrawn,
        };
        Ok(ReleaseStatus { build: self.build, stage: self.stage, phase, cap: self.cap })
    }

    /// Writes one line, its end included.
    pub fn write(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// A verdict's name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictName {
    /// Move on.
    On,
    /// Stop the clock.
    Hold,
    /// Send back.
    Back,
    /// No vote.
    Withdraw,
}

/// A vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The proxy's number in its fleet.
    pub proxy: usize,
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u8,
    /// The verdict.
    pub verdict: VerdictName,
}

impl Vote {
    /// A vote of the decisions.
    pub fn new(proxy: usize, build: Build, stage: u8, verdict: Verdict) -> Self {
        let verdict = match verdict {
            Verdict::Promote => VerdictName::On,
            Verdict::Hold => VerdictName::Hold,
            Verdict::RollBack => VerdictName::Back,
            Verdict::Withdraw => VerdictName::Withdraw,
        };
        Vote { proxy, build, stage, verdict }
    }

    /// Reads a call's body.
    ///
    /// # Errors
    /// [`Malformed`] if the body is not a vote.
    pub fn parse(body: &[u8]) -> Result<Vote, Malformed> {
        serde_json::from_slice(body).map_err(|e| Malformed(format!("vote: {e}")))
    }

    /// Writes a call's body.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// What became of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteOutcome {
    /// It counts.
    Ok,
    /// Not the present build or stage, or no such verdict here.
    Moot,
    /// Over the allowance that all proxies share.
    Full,
    /// The desk failed.
    Error,
}

/// A vote's reply.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoteReply {
    /// What became of it.
    pub outcome: VoteOutcome,
    /// The present news, with a vote that counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news: Option<ReleaseUpdate>,
}

impl VoteReply {
    /// Reads a reply: how it ended and the news that came with it.
    ///
    /// # Errors
    /// [`Malformed`] if the body is not a reply, or its news is out of bounds.
    pub fn parse(body: &[u8]) -> Result<(Outcome, Option<(ReleaseStatus, u64)>), Malformed> {
        let reply = VoteReply::read(body)?;
        let outcome = match reply.outcome {
            VoteOutcome::Ok => Outcome::Ok,
            VoteOutcome::Moot => Outcome::NotSent,
            VoteOutcome::Full => Outcome::Rejected,
            VoteOutcome::Error => Outcome::Error,
        };
        let news = reply.news.filter(|_| outcome == Outcome::Ok);
        let news = news.map(|n| n.check().map(|news| (news, n.fence))).transpose()?;
        Ok((outcome, news))
    }

    /// Reads a reply as it is, for who passes it on.
    ///
    /// # Errors
    /// [`Malformed`] if the body is not a reply.
    pub fn read(body: &[u8]) -> Result<VoteReply, Malformed> {
        serde_json::from_slice(body).map_err(|e| Malformed(format!("vote reply: {e}")))
    }

    /// Writes a reply's body.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
