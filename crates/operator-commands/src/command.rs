//! A command to a daemon: what it asks for, and under which conditions it may be applied.

use serde::{Deserialize, Serialize};

/// The latest expiry of a command, counted from its arrival, in microseconds. A command that never expires
/// would be applied by whoever finds it.
pub const MAX_EXPIRY_US: u64 = 24 * 3_600 * 1_000_000;

/// How far an issuer's clock may be ahead of a daemon's, in microseconds. A command from further ahead would
/// take precedence over all that others issue until then.
pub const MAX_CLOCK_LEAD_US: u64 = 5_000_000;

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Withdraw this proxy's votes on the fenced stage, or hold its clock, until `resume` or this moment.
    Pause {
        /// When the pause ends by itself.
        until_us: u64,
    },
    /// Vote again.
    Resume,
    /// Vote to roll the fenced build back.
    #[serde(rename = "back")]
    RollBack,
    /// Answer the requests in flight and accept no new ones; the daemon goes on running.
    Drain,
    /// Accept requests again.
    Undrain,
    /// Set another log filter.
    LogLevel {
        /// The filter, such as `info` or `verdict=debug`.
        filter: String,
    },
    /// Read the settings again.
    Reload,
}

impl Action {
    /// Whether the action applies to the build and stage of the command's fence.
    pub fn is_about_a_stage(&self) -> bool {
        matches!(self, Action::Pause { .. } | Action::Resume | Action::RollBack)
    }

    /// What the action decides about. Commands on one subject can contradict each other; the one issued last
    /// takes precedence.
    pub fn subject(&self) -> Option<&'static str> {
        match self {
            Action::Pause { .. } | Action::Resume | Action::RollBack => Some("votes"),
            Action::Drain | Action::Undrain => Some("taking"),
            Action::LogLevel { .. } => Some("log"),
            Action::Reload => None,
        }
    }

    /// The action's name on the command line.
    pub fn name(&self) -> &'static str {
        match self {
            Action::Pause { .. } => "pause",
            Action::Resume => "resume",
            Action::RollBack => "back",
            Action::Drain => "drain",
            Action::Undrain => "undrain",
            Action::LogLevel { .. } => "log-level",
            Action::Reload => "reload",
        }
    }
}

/// What the issuer saw when it issued the command. Each part that is given must still hold on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    /// The daemon's boot number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// The newest build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<u16>,
    /// The newest build's stage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<u8>,
}

/// Whether a command is applied at once or by a two-phase commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Applied as it arrives.
    #[default]
    #[serde(rename = "now")]
    Immediate,
    /// Only prepared: applied on `commit`, released at its expiry.
    Prepare,
    /// Apply what was prepared under this id.
    Commit,
    /// Release what was prepared under this id.
    Abort,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Identifies the command: a repeat carries the same id.
    pub id: String,
    /// Who issued it.
    pub issuer: String,
    /// When it was issued, by the issuer's clock, the same for all daemons; 0: at its arrival. Of two
    /// contrary commands the one issued later takes precedence, in whatever order they arrive.
    #[serde(default)]
    pub issued_us: u64,
    /// Not applied after this moment.
    pub expires_us: u64,
    /// What must still hold.
    #[serde(default)]
    pub fence: Fence,
    /// At once or by two-phase commit.
    #[serde(default)]
    pub phase: Phase,
    /// What it asks for.
    #[serde(rename = "act")]
    pub action: Action,
}
