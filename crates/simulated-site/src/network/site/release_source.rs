//! The source of release decisions: the simulated release service or a release controller.

use super::controller_link::ControllerLink;
use crate::model::release_service::{BuildOutcome, ReleaseService, ServerCommand};
use violetseam_site_protocol::release_service::ReleaseUpdate;

/// The service that decides on releases in a run.
pub(super) enum ReleaseSource {
    /// The simulated release service.
    Simulated(Box<ReleaseService>),
    /// A release controller, which runs as a separate process.
    Controller(Box<ControllerLink>),
}

impl ReleaseSource {
    /// Returns the current release status.
    pub(super) fn status(&self) -> ReleaseUpdate {
        match self {
            ReleaseSource::Simulated(service) => service.status(),
            ReleaseSource::Controller(link) => link.status(),
        }
    }

    /// Advances the release to `now` and appends the commands for the servers to `commands`. `is_down`
    /// applies to the simulated service only.
    pub(super) fn advance(&mut self, now: u64, is_down: bool, commands: &mut Vec<ServerCommand>) {
        match self {
            ReleaseSource::Simulated(service) => service.advance(now, is_down, commands),
            ReleaseSource::Controller(link) => link.advance(now, commands),
        }
    }

    /// Returns the outcome of each build that was offered.
    pub(super) fn outcomes(&self) -> &[BuildOutcome] {
        match self {
            ReleaseSource::Simulated(service) => service.outcomes(),
            ReleaseSource::Controller(link) => link.outcomes(),
        }
    }
}
