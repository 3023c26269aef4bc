//! The part of the command log that survives a restart of the daemon. It is stored as JSON.

use crate::command::MAX_EXPIRY_US;
use crate::release_stage::ReleaseStage;
use crate::wire::Reply;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state that the command log needs after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The pause that is in force, if any.
    pub pause: Option<Pause>,
    /// The commands that were applied or rejected, by id.
    #[serde(rename = "seen")]
    pub decided: BTreeMap<String, DecidedCommand>,
    /// The command in force on each subject, by [`crate::Action::subject`].
    #[serde(default, rename = "standing")]
    pub in_force: BTreeMap<String, CommandInForce>,
}

impl PersistedState {
    /// Returns the state to assume when the stored state cannot be read. The stored state may have contained
    /// a pause that is still in force, so the daemon is paused for the maximum length of a pause.
    pub fn paused_after_damage(now_us: u64) -> Self {
        let pause = Pause {
            until_us: now_us + MAX_EXPIRY_US,
            issuer: "unknown: the state file was damaged".to_owned(),
            release: None,
        };
        PersistedState { pause: Some(pause), ..PersistedState::default() }
    }
}

/// A pause that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pause {
    /// When the pause ends, in microseconds since 1970.
    pub until_us: u64,
    /// The operator who requested the pause.
    pub issuer: String,
    /// The release stage that the pause is for; it ends with that stage. None: the pause is for any stage, as
    /// it is after a damaged state file.
    #[serde(rename = "about")]
    pub release: Option<ReleaseStage>,
}

/// A command that was applied or rejected. Serialized as the pair `[expires_us, reply]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Reply)", into = "(u64, Reply)")]
pub struct DecidedCommand {
    /// When the command expires, in microseconds since 1970.
    pub expires_us: u64,
    /// The reply that the issuer got.
    pub reply: Reply,
}

impl From<(u64, Reply)> for DecidedCommand {
    fn from((expires_us, reply): (u64, Reply)) -> Self {
        DecidedCommand { expires_us, reply }
    }
}

impl From<DecidedCommand> for (u64, Reply) {
    fn from(decided: DecidedCommand) -> Self {
        (decided.expires_us, decided.reply)
    }
}

/// The command in force on a subject. Commands on the same subject that were issued before it are rejected.
///
/// The derived order compares the fields from top to bottom, so precedence goes by the time of issue, then by
/// the id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandInForce {
    /// When the command was issued, in microseconds since 1970.
    pub issued_us: u64,
    /// The id of the command. It orders commands that were issued at the same microsecond.
    pub id: String,
    /// The operator who issued the command.
    pub issuer: String,
    /// The name of the command's action, [`crate::Action::name`].
    #[serde(rename = "act")]
    pub action: String,
}
