//! The reports in which a subscriber acknowledges or rejects a version, encoded as JSON. Size and content are
//! checked when a report is parsed.

use crate::message::{
    Line, MAX_REASON_BYTES, MAX_REPORT_BYTES, ParseError, check_version, encode_line, parse_json,
};
use crate::subscription::validate_subscriber_name;
use crate::version::Version;
use serde::{Deserialize, Serialize};

/// A subscriber's report on a version.
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
    /// The subscriber rejected the version and keeps its previous version in force.
    #[serde(rename = "refuse")]
    Reject {
        /// The subscriber's name.
        subscriber: String,
        /// The rejected version.
        version: Version,
        /// The reason, as a text for an operator.
        reason: String,
    },
}

impl Report {
    /// Creates a rejection. A reason that is too long is truncated, and control characters are replaced by
    /// spaces.
    pub fn reject(subscriber: &str, version: Version, reason: &str) -> Report {
        let printable = reason.chars().map(|character| if character.is_control() { ' ' } else { character });
        let mut truncated = String::new();
        for character in printable {
            if truncated.len() + character.len_utf8() > MAX_REASON_BYTES {
                break;
            }
            truncated.push(character);
        }
        Report::Reject { subscriber: subscriber.to_owned(), version, reason: truncated }
    }

    /// Returns the name of the subscriber that reports.
    pub fn subscriber(&self) -> &str {
        match self {
            Report::Acknowledge { subscriber, .. } | Report::Reject { subscriber, .. } => subscriber,
        }
    }

    /// Parses and checks a report.
    ///
    /// # Errors
    /// Returns an error if the line is too long or does not contain a valid report.
    pub fn parse(line: &[u8]) -> Result<Report, ParseError> {
        let report: Report = parse_json(line, MAX_REPORT_BYTES)?;
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

    /// Encodes the report as one line, including its line feed.
    pub fn write(&self) -> Line {
        encode_line(self)
    }
}
