//! The type for one stage of the release of a build.

use serde::{Deserialize, Serialize};

/// A stage of a build's release. Serialized as the pair `[build, stage]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u16, u8)", into = "(u16, u8)")]
pub struct ReleaseStage {
    /// The number of the build.
    pub build: u16,
    /// The number of the stage, from 0.
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
