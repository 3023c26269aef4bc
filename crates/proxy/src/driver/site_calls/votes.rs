//! Votes on the release, each a call to the release service with one reply.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use super::call::CallRequest;
use super::{CallError, CallPurpose};
use violetseam::interface::{Build, Outcome, Verdict};
use violetseam_site_protocol::release_service::{FencedRelease, Vote, VoteResult};

/// Where the release service receives votes.
const VOTE_PATH: &str = "/v1/vote";

impl Proxy {
    /// Sends a vote to the release service.
    pub(in super::super) fn send_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        tracing::info!(target: "verdict", build, stage, %verdict, "vote");
        let body = Vote::new(self.settings.decisions.position, build, stage, verdict).write();
        let call = self.start_call(&CallRequest {
            purpose: CallPurpose::Vote,
            request: HttpRequest::post(self.release_service(), VOTE_PATH, &body),
            timeout: Some(self.settings.decisions.rollout.vote_timeout),
        });
        if call.is_none() {
            // Nothing was sent to the release service: it cannot count.
            self.on_vote_ended(Outcome::Error, None);
        }
    }

    /// The reply to a vote is complete.
    pub(super) fn on_vote_reply(&mut self, reply: &[u8]) {
        let VoteResult { outcome, release } = VoteResult::parse(reply).unwrap_or_else(|error| {
            tracing::warn!("{error}");
            // It was received by something that does not speak the protocol; whether it counts is open.
            VoteResult { outcome: Outcome::Timeout, release: None }
        });
        self.on_vote_ended(outcome, release);
    }

    /// No reply has come. A vote that was sent may count all the same, unless it was not accepted.
    pub(super) fn on_vote_unanswered(&mut self, is_written: bool, error: &CallError) {
        let may_count = is_written && !matches!(error, CallError::NotAccepted);
        let outcome = if may_count { Outcome::Timeout } else { Outcome::Error };
        self.on_vote_ended(outcome, None);
    }

    /// Reports a vote's end to the engine, with the release's status and its fencing number where a reply had
    /// them.
    fn on_vote_ended(&mut self, outcome: Outcome, release: Option<FencedRelease>) {
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        let now = self.now();
        let Some(FencedRelease { status, fence }) = release else {
            return self.engine.on_vote_reply(now, outcome, None);
        };
        if fence < self.site_calls.highest_fence {
            // What a superseded controller counts, counts nowhere.
            return self.engine.on_vote_reply(now, Outcome::Error, None);
        }
        self.site_calls.highest_fence = fence;
        self.engine.on_vote_reply(now, outcome, Some(status));
    }
}
