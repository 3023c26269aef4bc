//! Places: the builds that they are to run, from the controller, and those that they run, from the platform.
//!
//! The controller sends JSON lines, the platform posts JSON. Each line has all desired builds, so that a lost
//! line needs no repair.

use crate::json::{from_json, to_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};

/// The maximum length of a line or body, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The maximum number of places. Places are numbered from 0.
pub const MAX_PLACES: u32 = 20_000;

/// All builds that are to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredBuilds {
    /// The controller's fence. A line with a lower fence than an earlier one is ignored.
    pub fence: u64,
    /// Pairs of a place and a build that it is to run.
    #[serde(rename = "wanted")]
    pub builds: Vec<(u32, u16)>,
}

impl DesiredBuilds {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, or a place is out of range.
    pub fn parse(line: &[u8]) -> Result<DesiredBuilds, MessageError> {
        let desired: DesiredBuilds = from_json(MessageType::Placement, line)?;
        desired.builds.iter().try_for_each(|&(place, _)| check_place(place))?;
        Ok(desired)
    }

    /// Serializes the message as one line, including the line end.
    pub fn write(&self) -> Vec<u8> {
        to_json_line(self)
    }
}

/// The state of a build at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceStateName {
    /// Starting.
    Starting,
    /// Running.
    Running,
    /// Finishing its requests.
    Draining,
    /// No longer there.
    Gone,
}

/// The platform's report on a build at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceReport {
    /// The place.
    pub place: u32,
    /// The build.
    pub build: u16,
    /// The build's state there.
    pub state: PlaceStateName,
}

/// Parses the body of a call: a list of reports.
///
/// # Errors
/// [`MessageError`] if the body is not JSON of this form, or a place is out of range.
pub fn parse_reports(body: &[u8]) -> Result<Vec<PlaceReport>, MessageError> {
    let reports: Vec<PlaceReport> = from_json(MessageType::Placement, body)?;
    reports.iter().try_for_each(|report| check_place(report.place))?;
    Ok(reports)
}

/// Serializes the body of a call.
pub fn write_reports(reports: &[PlaceReport]) -> Vec<u8> {
    to_json(reports)
}

fn check_place(place: u32) -> Result<(), MessageError> {
    if place < MAX_PLACES { Ok(()) } else { Err(MessageError::PlaceOutOfRange) }
}
