//! A command to a daemon: the requested action, and the conditions under which the daemon may apply it.

use serde::{Deserialize, Serialize};

/// The maximum time between a command's arrival and its expiry, in microseconds. The same bound holds for the
/// length of a pause. A daemon would apply a command that never expires whenever anyone sends a copy of it.
pub const MAX_EXPIRY_US: u64 = 24 * 3_600 * 1_000_000;

/// How far an issuer's clock may be ahead of a daemon's, in microseconds. The command that was issued last
/// takes precedence, so a time of issue far in the future would override the commands of all other issuers
/// until then.
pub const MAX_CLOCK_LEAD_US: u64 = 5_000_000;

/// The action that a command requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Withdraw the proxy's votes on the fenced stage; where a timer promotes stages, vote to hold instead.
    /// The pause lasts until `resume` or until `until_us`.
    Pause {
        /// When the pause ends without a `resume`, in microseconds since 1970.
        until_us: u64,
    },
    /// End the pause: vote again.
    Resume,
    /// Vote to roll the fenced build back.
    #[serde(rename = "back")]
    RollBack,
    /// Complete the requests in flight and accept no new ones. The daemon keeps running.
    Drain,
    /// Accept requests again.
    Undrain,
    /// Replace the log filter.
    LogLevel {
        /// The new filter, such as `info` or `verdict=debug`.
        filter: String,
    },
    /// Reload the settings.
    Reload,
}

impl Action {
    /// Whether the action concerns a release stage. The fence of such a command must name the build.
    pub fn concerns_release_stage(&self) -> bool {
        matches!(self, Action::Pause { .. } | Action::Resume | Action::RollBack)
    }

    /// The part of the daemon's state that the action sets, if any. Commands with the same subject can
    /// contradict each other; the one that was issued last takes precedence.
    pub fn subject(&self) -> Option<&'static str> {
        match self {
            Action::Pause { .. } | Action::Resume | Action::RollBack => Some("votes"),
            Action::Drain | Action::Undrain => Some("taking"),
            Action::LogLevel { .. } => Some("log"),
            Action::Reload => None,
        }
    }

    /// The name of the action on the command line, in log lines and in replies.
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

/// The state that the issuer saw when it issued the command. A daemon rejects the command if a value that is
/// given differs from the daemon's own when the command arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    /// The boot number of the daemon.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// The number of the newest build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<u16>,
    /// The release stage of the newest build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<u8>,
}

/// Whether a command is applied at once or by a two-phase commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Apply the command when it arrives.
    #[default]
    #[serde(rename = "now")]
    Immediate,
    /// Prepare the command: it is applied on `commit`, and released on `abort` or at its expiry.
    Prepare,
    /// Apply the command that was prepared under this id.
    Commit,
    /// Release the command that was prepared under this id.
    Abort,
}

/// An operator's command to a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The id of the command. A command that is sent again carries the same id.
    pub id: String,
    /// The operator who issued the command.
    pub issuer: String,
    /// When the command was issued, by the issuer's clock in microseconds since 1970; the same for all
    /// daemons. 0 stands for the time of its arrival. Of two contradictory commands, the one that was issued
    /// later takes precedence, in whatever order they arrive.
    #[serde(default)]
    pub issued_us: u64,
    /// When the command expires, in microseconds since 1970. It is not applied from then on.
    pub expires_us: u64,
    /// The state that the command presumes.
    #[serde(default)]
    pub fence: Fence,
    /// Whether the command is applied at once or by a two-phase commit.
    #[serde(default)]
    pub phase: Phase,
    /// The action that the command requests.
    #[serde(rename = "act")]
    pub action: Action,
}
