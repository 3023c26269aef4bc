//! Groups of proxies that vote.

use super::Player;
use crate::script::VoterGroup;
use violetseam_plan::Micros;
use violetseam_release::{Announcement, Event, Phase, Verdict, Vote};

/// A group of proxies, and when it votes next.
#[derive(Clone, Copy, Debug)]
pub(super) struct VoterSchedule<'a> {
    group: &'a VoterGroup,
    /// Microseconds from the offer; none: never again.
    pub next_vote: Option<Micros>,
}

impl<'a> VoterSchedule<'a> {
    pub(super) fn new(group: &'a VoterGroup) -> Self {
        VoterSchedule { group, next_vote: Some(group.at.as_micros()) }
    }
}

impl Player<'_> {
    /// The groups whose moment has come vote.
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

    /// Whether a group votes on what is announced; on a released build there are only votes to roll it back.
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

    /// After a new announcement the groups vote on it at once, not in their old rhythm.
    pub(super) fn hasten_votes(&mut self) {
        for schedule in &mut self.voters {
            let has_begun = schedule.group.at.as_micros() <= self.elapsed;
            if let Some(next_vote) = schedule.next_vote.filter(|_| has_begun) {
                schedule.next_vote = Some(next_vote.min(self.elapsed + schedule.group.every.as_micros()));
            }
        }
    }
}
