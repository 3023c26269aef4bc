//! The part of the command log that outlives the process, as it is stored in JSON.

use crate::command::MAX_EXPIRY_US;
use crate::release_stage::ReleaseStage;
use crate::wire::Reply;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the command log must find again after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The pause in force.
    pub pause: Option<Pause>,
    /// The commands that were decided, by id.
    #[serde(rename = "seen")]
    pub decided: BTreeMap<String, DecidedCommand>,
    /// The command in force on each subject.
    #[serde(default, rename = "standing")]
    pub in_force: BTreeMap<String, CommandInForce>,
}

impl PersistedState {
    /// The state to assume when the stored one cannot be read: any pause it held may still be in force, so
    /// the daemon is paused for the longest time that a pause can have.
    pub fn paused_after_damage(now_us: u64) -> Self {
        let pause = Pause {
            until_us: now_us + MAX_EXPIRY_US,
            issuer: "unknown: the state file was damaged".to_owned(),
            release: None,
        };
        PersistedState { pause: Some(pause), ..PersistedState::default() }
    }
}

/// A pause in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pause {
    /// When it ends, in microseconds since 1970.
    pub until_us: u64,
    /// Who asked for it.
    pub issuer: String,
    /// The release stage it is for; none: any, as after a damaged file.
    #[serde(rename = "about")]
    pub release: Option<ReleaseStage>,
}

/// A command that was applied or rejected. Serialized as the pair `[expires_us, reply]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Reply)", into = "(u64, Reply)")]
pub struct DecidedCommand {
    /// When the command expires, in microseconds since 1970.
    pub expires_us: u64,
    /// What became of it.
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

/// The command in force on a subject. Contrary commands issued before it are rejected.
///
/// The order of the fields is the order of precedence: the time of issue, then the id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandInForce {
    /// When it was issued, in microseconds since 1970.
    pub issued_us: u64,
    /// Its id, which orders commands issued at one moment.
    pub id: String,
    /// Who issued it.
    pub issuer: String,
    /// The name of its action.
    #[serde(rename = "act")]
    pub action: String,
}
