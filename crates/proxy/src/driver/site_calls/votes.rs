//! Votes on the release. Each is a call to the release service, which sends one reply.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use super::call::CallRequest;
use super::{CallError, CallPurpose};
use violetseam::interface::{Build, Micros, Outcome, Verdict};
use violetseam::release_order::ReleaseReport;
use violetseam_site_protocol::release_service::{FencedRelease, Vote, VoteResult};

/// The path on which the release service receives votes.
const VOTE_PATH: &str = "/v1/vote";

/// The release status in the reply to a vote, and when the vote was sent.
struct SentReply {
    sent_at: Micros,
    release: FencedRelease,
}

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
            // Nothing was sent to the release service, so the vote cannot be counted.
            self.on_vote_ended(Outcome::Error, None);
        }
    }

    /// Handles the complete reply to a vote.
    pub(super) fn on_vote_reply(&mut self, sent_at: Micros, reply: &[u8]) {
        let VoteResult { outcome, release } = VoteResult::parse(reply).unwrap_or_else(|error| {
            tracing::warn!("the reply to a vote cannot be parsed: {error}");
            // The vote was received by a process that does not follow the protocol, so it is unknown whether
            // it counts.
            VoteResult { outcome: Outcome::Timeout, release: None }
        });
        self.on_vote_ended(outcome, release.map(|release| SentReply { sent_at, release }));
    }

    /// Handles a vote that ended without a reply. If the vote was written, it may have been counted
    /// nevertheless, except where the release service responded with a status other than 200.
    pub(super) fn on_vote_failed(&mut self, is_written: bool, error: &CallError) {
        let may_be_counted = is_written && !matches!(error, CallError::UnexpectedStatus);
        let outcome = if may_be_counted { Outcome::Timeout } else { Outcome::Error };
        self.on_vote_ended(outcome, None);
    }

    /// Reports the end of a vote to the engine. If the reply contained a release status with its fencing
    /// number, that status is passed on too, unless its sender has been superseded or the stream has brought
    /// a newer one meanwhile.
    fn on_vote_ended(&mut self, outcome: Outcome, reply: Option<SentReply>) {
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        let now = self.now();
        let Some(SentReply { sent_at, release }) = reply else {
            return self.engine.on_vote_reply(now, outcome, None);
        };
        let FencedRelease { status, fence, .. } = release;
        if fence < self.site_calls.highest_fence {
            // A vote that was counted by a superseded controller has no effect.
            return self.engine.on_vote_reply(now, Outcome::Error, None);
        }
        let report = release.report(|status| ReleaseReport::in_reply(status, sent_at, now));
        let is_admitted = self.admits_release(now, fence, report);
        self.engine.on_vote_reply(now, outcome, is_admitted.then_some(status));
    }
}
