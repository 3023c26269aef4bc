//! Votes: they are cast, renewed and withdrawn to match the verdict, and operators may override them.

use crate::balancer::Balancer;
use crate::interface::{Action, GateMode, Micros, OperatorCommand, Outcome, Phase, ReleaseStatus, Verdict};
use crate::state::Vote;
use crate::time::MILLISECOND;

/// A vote is renewed after this share of its lifetime.
const RENEWAL_AGE_SHARE: f64 = 0.6;
/// The shortest wait after a vote that was not accepted. Jitter makes the wait up to twice as long.
const VOTE_RETRY_BASE: Micros = 400 * MILLISECOND;

impl Balancer {
    /// Casts, renews or withdraws the vote when it is due for renewal or does not match the verdict.
    pub(crate) fn vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(release) = self.release_under_analysis() else { return };
        let age = |vote: &Vote| now.saturating_sub(vote.cast_at);
        // A pending vote is dropped after this time because its reply may have been lost. A standing vote
        // expires after its lifetime.
        let max_wait = 2 * self.settings.rollout.vote_timeout;
        let pending = self.state.analysis.pending_vote.filter(|vote| age(vote) <= max_wait);
        self.state.analysis.pending_vote = pending;
        let ttl = self.settings.rollout.vote_ttl;
        let standing = self.state.analysis.standing_vote.filter(|vote| age(vote) < ttl);
        let renewal_due = standing.is_some_and(|vote| age(&vote) as f64 >= ttl as f64 * RENEWAL_AGE_SHARE);
        let verdict = self.verdict_to_cast(release);
        let is_up_to_date =
            standing.map_or(Verdict::Withdraw, |vote| vote.verdict) == verdict && !renewal_due;
        if pending.is_none() && now >= self.state.analysis.next_vote_at && !is_up_to_date {
            let ReleaseStatus { build, stage, .. } = release;
            self.state.analysis.pending_vote = Some(Vote { build, stage, verdict, cast_at: now });
            out.push(Action::Vote { build, stage, verdict });
        }
    }

    /// The verdict to vote for. While an operator has votes suspended this is no vote or, where stages are
    /// promoted by the clock, a vote to hold the stage.
    fn verdict_to_cast(&self, release: ReleaseStatus) -> Verdict {
        if !self.state.analysis.paused {
            return self.state.analysis.verdict;
        }
        let promoted_by_clock =
            self.settings.rollout.gate == GateMode::Timer && release.phase == Phase::Trial;
        if promoted_by_clock { Verdict::Hold } else { Verdict::Withdraw }
    }

    /// Handles an operator's command. A pause suspends votes while the analysis continues; a rollback stays
    /// in force like any verdict to roll back.
    pub(crate) fn on_operator_command(
        &mut self,
        now: Micros,
        command: OperatorCommand,
        out: &mut Vec<Action>,
    ) {
        self.state.analysis.paused = command == OperatorCommand::Pause;
        if command == OperatorCommand::RollBack && self.release_under_analysis().is_some() {
            self.state.analysis.verdict = Verdict::RollBack;
        }
        self.vote(now, out);
    }

    /// Handles the reply to a vote. A vote on another stage than the current one is not recorded as standing.
    pub(crate) fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, release: Option<ReleaseStatus>) {
        let current_stage = self.state.release.map(|release| (release.build, release.stage));
        let pending = self.state.analysis.pending_vote.take();
        let vote = pending.filter(|vote| Some((vote.build, vote.stage)) == current_stage);
        if let Some(vote) = vote
            && matches!(outcome, Outcome::Ok | Outcome::Timeout)
        {
            // A vote without a reply may have been counted. It is kept as standing, but with an age at which
            // its renewal is due, so that it is soon cast again.
            let renewal_age = (self.settings.rollout.vote_ttl as f64 * RENEWAL_AGE_SHARE) as Micros;
            let age = if outcome == Outcome::Ok { 0 } else { renewal_age };
            let cast_at = now.saturating_sub(age);
            self.state.analysis.standing_vote = Some(Vote { cast_at, ..vote });
        }
        if outcome != Outcome::Ok {
            // All balancers share the rate limit on votes, so this one backs off with jitter.
            let backoff = VOTE_RETRY_BASE as f64 * (1.0 + self.state.random.unit());
            self.state.analysis.next_vote_at = now + backoff as Micros;
        }
        if let Some(release) = release {
            self.on_release_status(now, release);
        }
    }
}
