//! The votes of groups of proxies.

use super::Simulator;
use crate::script::VoterGroup;
use violetseam_plan::Micros;
use violetseam_release::{Announcement, Event, Phase, Verdict, Vote};

/// A group of proxies and the time of its next votes.
#[derive(Clone, Copy, Debug)]
pub(super) struct VoterSchedule<'a> {
    group: &'a VoterGroup,
    /// In microseconds since the offer; `None` if the group votes no more.
    pub next_vote: Option<Micros>,
}

impl<'a> VoterSchedule<'a> {
    pub(super) fn new(group: &'a VoterGroup) -> Self {
        VoterSchedule { group, next_vote: Some(group.at.as_micros()) }
    }
}

impl Simulator<'_> {
    /// Casts the votes of the groups that are due.
    pub(super) fn cast_votes(&mut self) {
        for index in 0..self.voters.len() {
            let VoterSchedule { group, next_vote } = self.voters[index];
            let is_due = next_vote.is_some_and(|at| at <= self.elapsed);
            if !is_due {
                continue;
            }
            let is_over = group.until.is_some_and(|until| self.elapsed > until.as_micros());
            if is_over {
                self.voters[index].next_vote = None;
            } else {
                self.voters[index].next_vote = Some(self.elapsed + group.every.as_micros());
                self.cast_group_votes(group);
            }
        }
    }

    /// Casts one vote for each proxy of a group, as far as the rate limit permits.
    fn cast_group_votes(&mut self, group: &VoterGroup) {
        let announcement = self.release.announcement();
        if !self.votes_on(group, announcement) {
            return;
        }
        let Announcement { build, stage, .. } = announcement;
        for proxy in group.first..group.first.saturating_add(group.proxies) {
            if self.vote_rate_limit.try_take(self.elapsed) {
                self.apply(Event::Vote(Vote { proxy, build, stage, verdict: group.verdict }));
            }
        }
    }

    /// Whether a group votes on an announcement. On a released build, only votes to roll it back are cast.
    fn votes_on(&self, group: &VoterGroup, announcement: Announcement) -> bool {
        let is_its_stage = group.stage.is_none_or(|stage| stage == announcement.stage);
        if !is_its_stage || announcement.build != self.plan.build {
            return false;
        }
        match announcement.phase {
            Phase::Trial => true,
            Phase::Released => group.verdict == Verdict::Back,
            Phase::RollingBack | Phase::Withdrawn => false,
        }
    }

    /// After a new announcement, brings each group's next votes forward to at most one interval from now.
    pub(super) fn bring_votes_forward(&mut self) {
        for schedule in &mut self.voters {
            let has_begun = schedule.group.at.as_micros() <= self.elapsed;
            if let Some(next_vote) = schedule.next_vote.filter(|_| has_begun) {
                schedule.next_vote = Some(next_vote.min(self.elapsed + schedule.group.every.as_micros()));
            }
        }
    }
}
