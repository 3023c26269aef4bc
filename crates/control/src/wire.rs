//! The wire: one JSON object a line, an answer for each question, over a stream.

use crate::state::Reading;
use serde::{Deserialize, Serialize};

/// The longest line either side takes, in bytes.
pub const LINE_MOST: usize = 64 * 1024;
/// How far a sender's clock may be ahead: a command that expires later than this from now is refused, as
/// one that never expires would be applied by whoever finds it.
pub const EXPIRY_MOST_US: u64 = 24 * 3_600 * 1_000_000;

/// How far an issuer's clock may be ahead of a daemon's: a command from further ahead would stand over all
/// that others issue until then.
pub const AHEAD_MOST_US: u64 = 5_000_000;

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Act {
    /// Withdraw this proxy's votes on the fenced stage, or hold its clock, until `resume` or this moment.
    Pause {
        /// When the pause ends by itself.
        until_us: u64,
    },
    /// Vote again.
    Resume,
    /// Vote to send the fenced build back.
    Back,
    /// Answer what was taken and take nothing new; the daemon stays.
    Drain,
    /// Take requests again.
    Undrain,
    /// Another log filter.
    LogLevel {
        /// The filter, such as `info` or `verdict=debug`.
        filter: String,
    },
    /// Read the settings again.
    Reload,
}

impl Act {
    /// Whether it is about the build and stage of its fence.
    pub fn is_about_a_stage(&self) -> bool {
        matches!(self, Act::Pause { .. } | Act::Resume | Act::Back)
    }

    /// What it decides about: commands on one subject can be contrary, and the one issued last stands.
    pub fn subject(&self) -> Option<&'static str> {
        match self {
            Act::Pause { .. } | Act::Resume | Act::Back => Some("votes"),
            Act::Drain | Act::Undrain => Some("taking"),
            Act::LogLevel { .. } => Some("log"),
            Act::Reload => None,
        }
    }

    /// Its name, as people type it.
    pub fn name(&self) -> &'static str {
        match self {
            Act::Pause { .. } => "pause",
            Act::Resume => "resume",
            Act::Back => "back",
            Act::Drain => "drain",
            Act::Undrain => "undrain",
            Act::LogLevel { .. } => "log-level",
            Act::Reload => "reload",
        }
    }
}

/// What the issuer saw when it issued the command; each part that is given must still hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    /// The daemon's boot number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// The newest build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<u16>,
    /// Its stage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<u8>,
}

/// Whether a command is to be applied at once, or in two steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Applied as it arrives.
    #[default]
    Now,
    /// Only promised: applied on `commit`, released at its expiry.
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
    /// Names it; the same id is the same command.
    pub id: String,
    /// Who issued it.
    pub issuer: String,
    /// When it was issued, by the issuer's clock, the same for all daemons; 0: whenever it arrives. Of two
    /// contrary commands the one issued later stands, in whatever order they arrive.
    #[serde(default)]
    pub issued_us: u64,
    /// Not applied after this moment.
    pub expires_us: u64,
    /// What must still hold.
    #[serde(default)]
    pub fence: Fence,
    /// At once or in two steps.
    #[serde(default)]
    pub phase: Phase,
    /// What it asks for.
    pub act: Act,
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Who are you?
    Whoami,
    /// Your state, at one moment.
    State,
    /// A command.
    Command(Command),
    /// Hand over to a new process; what follows on the connection is theirs (`takeover` in the proxy).
    Takeover,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Applied now, or before under the same id.
    Agreed {
        /// It had been applied before.
        again: bool,
    },
    /// Promised, until its expiry.
    Prepared,
    /// Released.
    Released,
    /// Not applied, and why.
    Refused {
        /// In words.
        reason: String,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// To `whoami`.
    Whoami {
        /// The daemon's name in its fleet.
        name: String,
        /// Its boot number.
        boot: u64,
        /// The program's version.
        version: String,
    },
    /// To `state`.
    State(Box<Reading>),
    /// To a command.
    Command(Reply),
    /// The question was not understood.
    Malformed {
        /// In words.
        reason: String,
    },
}

/// Reads a question; what is wrong with it, in words, if it is none.
pub fn read_ask(line: &[u8]) -> Result<Ask, String> {
    if line.len() > LINE_MOST {
        return Err("line too long".into());
    }
    let ask: Ask = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    if let Ask::Command(command) = &ask {
        let plain = |text: &str| !text.is_empty() && text.len() <= 128 && !text.chars().any(char::is_control);
        if !plain(&command.id) || !plain(&command.issuer) {
            return Err("an id and an issuer have 1 to 128 printable characters".into());
        }
    }
    Ok(ask)
}

/// Writes a question or an answer as a line.
pub fn write<T: Serialize>(what: &T) -> Vec<u8> {
    let mut line = serde_json::to_vec(what).unwrap_or_default();
    line.push(b'\n');
    line
}
