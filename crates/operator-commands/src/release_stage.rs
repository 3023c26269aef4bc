//! A stage of a build's release.

use serde::{Deserialize, Serialize};

/// A stage of a build's release. Serialized as the pair `[build, stage]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u16, u8)", into = "(u16, u8)")]
pub struct ReleaseStage {
    /// The build's number.
    pub build: u16,
    /// The stage, from 0.
    pub stage: u8,
}

impl From<(u16, u8)> for ReleaseStage {
    fn from((build, stage): (u16, u8)) -> Self {
        ReleaseStage { build, stage }
    }
}

impl From<ReleaseStage> for (u16, u8) {
    fn from(release: ReleaseStage) -> Self {
        (release.build, release.stage)
    }
}
