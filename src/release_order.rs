//! The order of release reports that arrive over different connections.
//!
//! A release service reports the status of the newest build on a stream and in its replies to votes. Each
//! connection keeps the order of its own reports, but a report may overtake an earlier one on another
//! connection: it waits on the network, or in the kernel while the process is suspended. An older status that
//! replaced a newer one would bring back a trial that has been taken off.
//!
//! [`ReleaseOrder`] decides for each report whether it replaces the status in force. Where the times of two
//! reports leave their order open, the status with the lower exposure cap stays in force.
//!
//! Times are microseconds on the monotonic clock of the process that receives the reports.

use crate::interface::{Micros, ReleaseStatus};
use crate::time::SECOND;
use std::fmt;

/// How long a report may be on its way on a stream. A stream on which nothing has arrived for this long, not
/// even a heartbeat, is replaced.
pub const MAX_STREAM_DELAY: Micros = 3 * SECOND;

/// A report of the release status, with what is known about when it was written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseReport {
    status: ReleaseStatus,
    source: ReportSource,
    received_at: Micros,
    /// The number of the status in the order of the release service's changes, if the report states it.
    revision: Option<u64>,
    /// When the status came into force, if the report states that.
    in_force_since: Option<TimeRange>,
}

/// Where a report was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// On the stream with this number, which no other stream of the process has.
    Stream(u64),
    /// In the reply to a call that was sent at this time.
    Reply {
        /// When the call was sent, which is before the report was written.
        sent_at: Micros,
    },
}

impl fmt::Display for ReportSource {
    /// Writes the words that the log uses.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReportSource::Stream(_) => "watch",
            ReportSource::Reply { .. } => "vote reply",
        })
    }
}

/// The earliest and the latest possible time of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TimeRange {
    earliest: Micros,
    latest: Micros,
}

/// How the status of a report relates to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// It came into force later.
    Newer,
    /// It came into force earlier.
    Older,
    /// What the reports state leaves the order open.
    Unknown,
}

impl ReleaseReport {
    /// Creates a report that was received on the stream with the number `stream`, which no other stream of
    /// the process has.
    pub fn on_stream(status: ReleaseStatus, stream: u64, received_at: Micros) -> Self {
        let source = ReportSource::Stream(stream);
        ReleaseReport { status, source, received_at, revision: None, in_force_since: None }
    }

    /// Creates a report that was received in the reply to a call that was sent at `sent_at`.
    pub fn in_reply(status: ReleaseStatus, sent_at: Micros, received_at: Micros) -> Self {
        let source = ReportSource::Reply { sent_at };
        ReleaseReport { status, source, received_at, revision: None, in_force_since: None }
    }

    /// Adds the number of the status in the order of the release service's changes.
    #[must_use]
    pub fn with_revision(self, revision: u64) -> Self {
        ReleaseReport { revision: Some(revision), ..self }
    }

    /// Adds how long the status had been in force when the report was written, in microseconds.
    #[must_use]
    pub fn with_age(self, age: Micros) -> Self {
        let written_from = match self.source {
            ReportSource::Stream(_) => self.received_at.saturating_sub(MAX_STREAM_DELAY),
            ReportSource::Reply { sent_at } => sent_at,
        };
        let in_force_since = TimeRange {
            earliest: written_from.saturating_sub(age),
            latest: self.received_at.saturating_sub(age),
        };
        ReleaseReport { in_force_since: Some(in_force_since), ..self }
    }

    /// The reported status.
    pub fn status(&self) -> ReleaseStatus {
        self.status
    }

    /// Where the report was received.
    pub fn source(&self) -> ReportSource {
        self.source
    }

    /// How the status of this report relates to that of `latest`, which was received before it.
    fn relation_to(&self, latest: &ReleaseReport) -> Relation {
        if self.follows_on_stream(latest) {
            return Relation::Newer;
        }
        if let (Some(this), Some(latest)) = (self.revision, latest.revision) {
            return if this >= latest { Relation::Newer } else { Relation::Older };
        }
        // Builds are numbered in the order in which they are offered.
        if self.status.build != latest.status.build {
            let is_later_build = self.status.build > latest.status.build;
            return if is_later_build { Relation::Newer } else { Relation::Older };
        }
        match (self.in_force_since, latest.in_force_since) {
            (Some(this), Some(latest)) if this.earliest > latest.latest => return Relation::Newer,
            (Some(this), Some(latest)) if this.latest < latest.earliest => return Relation::Older,
            _ => {}
        }
        match self.source {
            ReportSource::Reply { sent_at } if sent_at >= latest.received_at => Relation::Newer,
            _ => Relation::Unknown,
        }
    }

    /// Whether this report was written after `latest`, because it came behind it on the same stream or so
    /// much later that no report could have been on its way for that long.
    fn follows_on_stream(&self, latest: &ReleaseReport) -> bool {
        let is_on_stream = matches!(self.source, ReportSource::Stream(_));
        let is_much_later = self.received_at >= latest.received_at.saturating_add(MAX_STREAM_DELAY);
        is_on_stream && (self.source == latest.source || is_much_later)
    }
}

/// Decides which reports replace the release status in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReleaseOrder {
    /// The report whose status is in force.
    latest: Option<ReleaseReport>,
}

impl ReleaseOrder {
    /// Returns whether the status of a report that has just been received is to be put in force.
    pub fn admits(&mut self, report: ReleaseReport) -> bool {
        let Some(latest) = &mut self.latest else {
            self.latest = Some(report);
            return true;
        };
        if report.status == latest.status {
            // Once a stream has confirmed the status, what follows on that stream is newer.
            if matches!(report.source, ReportSource::Stream(_)) {
                latest.source = report.source;
            }
            latest.revision = latest.revision.max(report.revision);
            return true;
        }
        let is_admitted = match report.relation_to(latest) {
            Relation::Newer => true,
            Relation::Older => false,
            Relation::Unknown => report.status.cap < latest.status.cap,
        };
        if is_admitted {
            *latest = report;
        }
        is_admitted
    }
}
