//! Events from proxies and the platform: votes and place reports.

use super::Release;
use crate::reply::{Declined, Obsolete, Rejection};
use crate::{Phase, PlaceState, Verdict, Vote};
use violetseam_plan::Gate;

/// The number of a place must be below this limit.
const MAX_PLACES: u32 = 20_000;

impl Release {
    pub(super) fn vote(&mut self, vote: &Vote) -> Result<bool, Declined> {
        let trial = self.trial.as_ref().ok_or(Obsolete::NoTrial)?;
        let fleet = &trial.run.plan.fleet;
        if vote.proxy >= fleet.proxies {
            return Err(Rejection::UnknownProxy(vote.proxy).into());
        }
        self.check_vote_target(vote)?;
        let is_timer_gate = trial.current_wave().gate == Gate::Timer;
        match vote.verdict {
            Verdict::On if is_timer_gate => return Err(Obsolete::PromoteVoteAtTimerGate.into()),
            Verdict::Hold if !is_timer_gate => return Err(Obsolete::HoldVoteAtVoteGate.into()),
            _ => {}
        }
        self.votes.cast(vote, fleet.vote_ttl);
        Ok(true)
    }

    /// Checks that a vote is about the newest build. A vote to promote or to hold must also be about its
    /// current stage.
    fn check_vote_target(&self, vote: &Vote) -> Result<(), Obsolete> {
        if vote.build != self.announcement.build {
            return Err(Obsolete::OtherBuild);
        }
        let counts_in_any_stage = matches!(vote.verdict, Verdict::Back | Verdict::Withdraw);
        match self.announcement.phase {
            Phase::Trial if counts_in_any_stage || vote.stage == self.announcement.stage => Ok(()),
            Phase::Trial => Err(Obsolete::OtherStage),
            Phase::Released if counts_in_any_stage => Ok(()),
            Phase::Released => Err(Obsolete::IsReleased),
            Phase::RollingBack | Phase::Withdrawn => Err(Obsolete::WasRolledBack),
        }
    }

    pub(super) fn report_place(
        &mut self,
        place: u32,
        build: u16,
        state: PlaceState,
    ) -> Result<bool, Declined> {
        let is_outside_fleet = self.plan().is_some_and(|plan| place >= plan.fleet.places);
        if is_outside_fleet || place >= MAX_PLACES {
            return Err(Rejection::UnknownPlace(place).into());
        }
        Ok(self.places.report(place, build, state))
    }
}
