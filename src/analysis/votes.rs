//! Votes: cast, renewed and withdrawn with the verdict, and overridden by operators.

use crate::balancer::Balancer;
use crate::interface::{Action, GateMode, Micros, OperatorCommand, Outcome, Phase, ReleaseStatus, Verdict};
use crate::state::Vote;
use crate::time::MILLISECOND;

/// Share of a vote's lifetime after which it is renewed.
const RENEW_SHARE: f64 = 0.6;
/// Least wait after a vote that did not count; jitter makes it up to twice as long.
const VOTE_RETRY_BASE: Micros = 400 * MILLISECOND;

impl Balancer {
    /// Casts, renews or withdraws the vote.
    pub(crate) fn vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(release) = self.release_under_analysis() else { return };
        let age = |vote: &Vote| now.saturating_sub(vote.cast_at);
        // A reply may be lost; and a vote stands for its span only.
        let max_wait = 2 * self.settings.rollout.vote_timeout;
        let pending = self.state.analysis.pending_vote.filter(|vote| age(vote) <= max_wait);
        self.state.analysis.pending_vote = pending;
        let ttl = self.settings.rollout.vote_ttl;
        let standing = self.state.analysis.standing_vote.filter(|vote| age(vote) < ttl);
        let renewal_due = standing.is_some_and(|vote| age(&vote) as f64 >= ttl as f64 * RENEW_SHARE);
        let verdict = self.verdict_to_cast(release);
        let stands = standing.map_or(Verdict::Withdraw, |vote| vote.verdict) == verdict && !renewal_due;
        if pending.is_none() && now >= self.state.analysis.next_vote_at && !stands {
            let ReleaseStatus { build, stage, .. } = release;
            self.state.analysis.pending_vote = Some(Vote { build, stage, verdict, cast_at: now });
            out.push(Action::Vote { build, stage, verdict });
        }
    }

    /// The present verdict, or what stands in for it while an operator has votes suspended: where stages are
    /// promoted by the clock, a vote to hold it.
    fn verdict_to_cast(&self, release: ReleaseStatus) -> Verdict {
        if !self.state.analysis.paused {
            return self.state.analysis.verdict;
        }
        let by_clock = self.settings.rollout.gate == GateMode::Timer && release.phase == Phase::Trial;
        if by_clock { Verdict::Hold } else { Verdict::Withdraw }
    }

    /// An operator's command: a pause suspends votes while the analysis goes on, a rollback stands as a
    /// verdict to roll back does.
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

    /// The reply to a vote. One to a vote on another stage says nothing of this one.
    pub(crate) fn on_vote_reply(&mut self, now: Micros, outcome: Outcome, release: Option<ReleaseStatus>) {
        let current = self.state.release.map(|release| (release.build, release.stage));
        let pending = self.state.analysis.pending_vote.take();
        let vote = pending.filter(|vote| Some((vote.build, vote.stage)) == current);
        if let Some(vote) = vote
            && matches!(outcome, Outcome::Ok | Outcome::Timeout)
        {
            // One without a reply may have counted: it stands, but old, so that it is soon cast again.
            let renewal_age = (self.settings.rollout.vote_ttl as f64 * RENEW_SHARE) as Micros;
            let age = if outcome == Outcome::Ok { 0 } else { renewal_age };
            let cast_at = now.saturating_sub(age);
            self.state.analysis.standing_vote = Some(Vote { cast_at, ..vote });
        }
        if outcome != Outcome::Ok {
            // The rate limit is shared by all balancers: back off with jitter.
            let backoff = VOTE_RETRY_BASE as f64 * (1.0 + self.state.random.unit());
            self.state.analysis.next_vote_at = now + backoff as Micros;
        }
        if let Some(release) = release {
            self.on_release_status(now, release);
        }
    }
}
