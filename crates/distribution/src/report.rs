//! Acknowledgements and rejections that a subscriber reports: JSON, checked and bounded on reading.

use crate::message::{
    Line, MAX_REASON_BYTES, MAX_REPORT_BYTES, ParseError, check_version, read_json, write_line,
};
use crate::subscription::validate_subscriber_name;
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// What a subscriber reports on a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Report {
    /// The version is in force.
    Acknowledge {
        /// The subscriber's name.
        subscriber: String,
        /// The version in force.
        version: Version,
    },
    /// The version was rejected; the one before stays in force.
    #[serde(rename = "refuse")]
    Reject {
        /// The subscriber's name.
        subscriber: String,
        /// The rejected version.
        version: Version,
        /// The reason, for people.
        reason: String,
    },
}

impl Report {
    /// A rejection; a reason that is too long is cut, control characters become spaces.
    pub fn reject(subscriber: &str, version: Version, reason: &str) -> Report {
        let printable = reason.chars().map(|c| if c.is_control() { ' ' } else { c });
        let mut cut = String::new();
        for character in printable {
            if cut.len() + character.len_utf8() > MAX_REASON_BYTES {
                break;
            }
            cut.push(character);
        }
        Report::Reject { subscriber: subscriber.to_owned(), version, reason: cut }
    }

    /// The name of the reporting subscriber.
    pub fn subscriber(&self) -> &str {
        match self {
            Report::Acknowledge { subscriber, .. } | Report::Reject { subscriber, .. } => subscriber,
        }
    }

    /// Parses a report.
    ///
    /// # Errors
    /// The line is too long, or holds no valid report.
    pub fn parse(line: &[u8]) -> Result<Report, ParseError> {
        let report: Report = read_json(line, MAX_REPORT_BYTES)?;
        validate_subscriber_name(report.subscriber())?;
        match &report {
            Report::Acknowledge { version, .. } => check_version(*version)?,
            Report::Reject { version, reason, .. } => {
                check_version(*version)?;
                if reason.len() > MAX_REASON_BYTES || reason.chars().any(char::is_control) {
                    return Err(ParseError::InvalidReason);
                }
            }
        }
        Ok(report)
    }

    /// Encodes one line, with its line feed.
    pub fn write(&self) -> Line {
        write_line(self)
    }
}
