//! Places: what each is to run, from the controller, and what it runs, from the platform. JSON lines and calls.
//!
//! What is wanted is told whole each time, so that a lost line needs no repair.

use crate::{Malformed, malformed};
use serde::{Deserialize, Serialize};

/// The longest line or body that is taken, in bytes.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The most places.
pub const MAX_PLACES: u32 = 20_000;

/// What is to run, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredBuilds {
    /// The controller's fencing number: a line with a lower one than heard before is not obeyed.
    pub fence: u64,
    /// Places with the builds that each is to run.
    pub wanted: Vec<(u32, u16)>,
}

impl DesiredBuilds {
    /// Reads one line.
    ///
    /// # Errors
    /// [`Malformed`] if the line is not JSON of this form.
    pub fn parse(line: &[u8]) -> Result<DesiredBuilds, Malformed> {
        let wanted: DesiredBuilds =
            serde_json::from_slice(line).map_err(|e| Malformed(format!("places: {e}")))?;
        if wanted.wanted.iter().any(|w| w.0 >= MAX_PLACES) {
            return malformed("places: a place past the most there are");
        }
        Ok(wanted)
    }

    /// Writes one line, its end included.
    pub fn write(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// How a build is in a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlaceStateName {
    /// Starting.
    Starting,
    /// Running.
    Running,
    /// Finishing its work.
    Draining,
    /// Not there.
    Gone,
}

/// What a place runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceReport {
    /// The place.
    pub place: u32,
    /// The build.
    pub build: u16,
    /// How it is there.
    pub state: PlaceStateName,
}

/// Reads a call's body: reports, and nothing else.
///
/// # Errors
/// [`Malformed`] if the body is not JSON of this form, or has too many reports.
pub fn parse_reports(body: &[u8]) -> Result<Vec<PlaceReport>, Malformed> {
    let reports: Vec<PlaceReport> =
        serde_json::from_slice(body).map_err(|e| Malformed(format!("places: {e}")))?;
    if reports.iter().any(|r| r.place >= MAX_PLACES) {
        return malformed("places: a place past the most there are");
    }
    Ok(reports)
}

/// Writes a call's body.
pub fn write_reports(reports: &[PlaceReport]) -> Vec<u8> {
    serde_json::to_vec(reports).unwrap_or_default()
}
