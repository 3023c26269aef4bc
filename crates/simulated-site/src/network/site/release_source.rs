//! Who decides on releases: the simulated release service or a controller.

use super::controller_link::ControllerLink;
use crate::model::release_service::{BuildOutcome, ReleaseService, ServerCommand};
use violetseam_site_protocol::release_service::ReleaseUpdate;

/// Who decides on releases.
pub(super) enum ReleaseSource {
    /// The simulated release service.
    Simulated(Box<ReleaseService>),
    /// A controller, as a process of its own.
    Controller(Box<ControllerLink>),
}

impl ReleaseSource {
    /// The present release status.
    pub(super) fn status(&self) -> ReleaseUpdate {
        match self {
            ReleaseSource::Simulated(service) => service.status(),
            ReleaseSource::Controller(link) => link.status(),
        }
    }

    /// Does what is due. `is_down` applies to the simulated service only.
    pub(super) fn advance(&mut self, now: u64, is_down: bool, commands: &mut Vec<ServerCommand>) {
        match self {
            ReleaseSource::Simulated(service) => service.advance(now, is_down, commands),
            ReleaseSource::Controller(link) => link.advance(now, commands),
        }
    }

    /// What became of each build.
    pub(super) fn outcomes(&self) -> &[BuildOutcome] {
        match self {
            ReleaseSource::Simulated(service) => service.outcomes(),
            ReleaseSource::Controller(link) => link.outcomes(),
        }
    }
}
