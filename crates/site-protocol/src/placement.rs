//! The placement of builds. The controller sends the desired builds, which say which build runs at which
//! place. The platform reports the builds that actually run at the places.
//!
//! The controller sends JSON lines, and the platform posts JSON bodies. Each line has all desired builds, so
//! a lost line does not need to be sent again.

use crate::json::{from_json, to_json, to_json_line};
use crate::{MessageError, MessageType};
use serde::{Deserialize, Serialize};

/// The maximum length of a line or body, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The maximum number of places. Places are numbered from 0.
pub const MAX_PLACES: u32 = 20_000;

/// The desired builds of all places.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredBuilds {
    /// The fence of the controller that sent the line. A line with a lower fence than an earlier line is
    /// ignored.
    pub fence: u64,
    /// Pairs of a place and a build that must run there.
    #[serde(rename = "wanted")]
    pub builds: Vec<(u32, u16)>,
}

impl DesiredBuilds {
    /// Parses and validates one line.
    ///
    /// # Errors
    /// [`MessageError`] if the line is not JSON of this form, or if the number of a place is too high.
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
    /// The build is starting.
    Starting,
    /// The build is running.
    Running,
    /// The build finishes its requests and accepts no new ones.
    Draining,
    /// The build is no longer at the place.
    Gone,
}

/// The platform's report on a build at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceReport {
    /// The number of the place.
    pub place: u32,
    /// The build.
    pub build: u16,
    /// The state of the build at the place.
    pub state: PlaceStateName,
}

/// Parses the body of a call, which is a list of reports.
///
/// # Errors
/// [`MessageError`] if the body is not JSON of this form, or if the number of a place is too high.
pub fn parse_reports(body: &[u8]) -> Result<Vec<PlaceReport>, MessageError> {
    let reports: Vec<PlaceReport> = from_json(MessageType::Placement, body)?;
    reports.iter().try_for_each(|report| check_place(report.place))?;
    Ok(reports)
}

/// Serializes reports as the body of a call.
pub fn write_reports(reports: &[PlaceReport]) -> Vec<u8> {
    to_json(reports)
}

fn check_place(place: u32) -> Result<(), MessageError> {
    if place < MAX_PLACES { Ok(()) } else { Err(MessageError::PlaceOutOfRange) }
}
