//! The HTTP interface of the release service: watches of the release status, votes and the replies to them.

use super::connection::{Connection, ConnectionId, DelayedAction, PendingVote, Watch};
use super::release_source::ReleaseSource;
use super::state::Site;
use super::streams::ResponseEnd;
use crate::scenario::FaultKind;
use http::Method;
use rand::RngExt;
use violetseam_site_protocol::release_service::{ReleaseUpdate, Vote, VoteOutcome, VoteReply};

/// The share of votes that are lost while the release service is unresponsive. The other votes count.
const UNRESPONSIVE_VOTE_LOSS_SHARE: f64 = 0.5;

/// The reply to a vote that is malformed or ends in an injected error.
const ERROR_REPLY: VoteReply = VoteReply { outcome: VoteOutcome::Error, release: None };

impl Site {
    pub(super) fn serve_release_service(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(head) = connection.head.take() else { return };
        let body = std::mem::take(&mut connection.body);
        let id = ConnectionId { key, generation: connection.generation };
        if head.method == Method::POST {
            if let Some(reply) = self.on_vote(now, id, &body) {
                self.schedule_reply(now + self.scenario.rollout.vote_latency, id, &reply);
            }
            return;
        }
        let parameter = head.target.split_once("proxy=").and_then(|(_, proxy)| proxy.parse().ok());
        self.start_release_watch(now, key, parameter.unwrap_or(u32::MAX));
    }

    fn schedule_reply(&mut self, at: u64, connection: ConnectionId, reply: &VoteReply) {
        self.pending.schedule(at, DelayedAction::Reply { connection, body: reply.write() });
    }

    fn start_release_watch(&mut self, now: u64, key: usize, proxy: u32) {
        if self.is_partitioned(FaultKind::ReleaseServicePartition, proxy) {
            return;
        }
        let status = self.delayed_status(now);
        self.record_status(proxy, status);
        self.start_response(key, &status.write(), ResponseEnd::Open);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.watch = Some(Watch::Release { proxy, status, sent_at: now });
        }
    }

    /// Processes a vote, and returns the reply if it is known at once. A vote that goes to a controller gets
    /// its reply later. While the release service is unresponsive there is no reply, though some of the votes
    /// count.
    fn on_vote(&mut self, now: u64, connection: ConnectionId, body: &[u8]) -> Option<VoteReply> {
        let Ok(vote) = Vote::parse(body) else { return Some(ERROR_REPLY) };
        if self.is_partitioned(FaultKind::ReleaseServicePartition, vote.proxy as u32) {
            return None;
        }
        let is_unresponsive = self.is_active(FaultKind::ReleaseServiceUnresponsive);
        if is_unresponsive && self.random.random::<f64>() < UNRESPONSIVE_VOTE_LOSS_SHARE {
            return None;
        }
        if self.is_active(FaultKind::ReleaseServiceErrors) {
            return Some(ERROR_REPLY);
        }
        let outcome = match &mut self.releases {
            ReleaseSource::Simulated(service) => service.vote(now, &vote),
            ReleaseSource::Controller(link) => {
                let token = self.pending.next_sequence();
                let reply_connection = (!is_unresponsive).then_some(connection);
                self.pending.votes.insert(token, PendingVote { reply_connection, vote });
                link.send_vote(token, &vote);
                return None;
            }
        };
        if outcome != VoteOutcome::Ok {
            return (!is_unresponsive).then_some(VoteReply { outcome, release: None });
        }
        self.on_vote_counted(&vote);
        if is_unresponsive {
            return None;
        }
        let status = self.releases.status();
        self.record_status(vote.proxy as u32, status);
        Some(VoteReply { outcome, release: Some(status) })
    }

    fn on_vote_counted(&mut self, vote: &Vote) {
        *self.report.votes.entry(vote.proxy).or_default() += 1;
        let Vote { proxy, build, stage, verdict } = vote;
        self.log(format!("proxy {proxy} votes {verdict:?} on build {build}, stage {stage}"));
    }

    /// Forwards the controller's replies to the proxies whose votes they answer.
    pub(super) fn forward_vote_replies(&mut self, now: u64) {
        while let ReleaseSource::Controller(link) = &mut self.releases
            && let Some(vote_reply) = link.next_reply()
        {
            let Some(pending) = self.pending.votes.remove(&vote_reply.token) else { continue };
            // If the controller did not reply, the proxy gets no reply either, as it is unknown whether its
            // vote counts.
            if let Some(reply) = vote_reply.reply {
                self.forward_vote_reply(now, &pending, reply);
            }
        }
    }

    fn forward_vote_reply(&mut self, now: u64, pending: &PendingVote, reply: VoteReply) {
        if reply.outcome == VoteOutcome::Ok {
            self.on_vote_counted(&pending.vote);
        }
        let Some(connection) = pending.reply_connection else { return };
        // The status in the reply is delayed like the status on the watches. If it were newer than theirs,
        // older statuses would follow it.
        let status = reply.release.map(|_| self.delayed_status(now));
        if let Some(status) = status {
            self.record_status(pending.vote.proxy as u32, status);
        }
        self.schedule_reply(now, connection, &VoteReply { release: status, ..reply });
    }

    /// Sends the release status on each watch when the status has changed since it was last sent there, and
    /// otherwise when the scenario's resend interval has passed.
    pub(super) fn notify_release_watches(&mut self, now: u64) {
        if self.is_active(FaultKind::ReleaseServiceUnresponsive) {
            return;
        }
        let status = self.delayed_status(now);
        let resend_interval = self.scenario.rollout.resend_interval;
        let due = self.connections.iter().filter_map(|(key, connection)| {
            let proxy = proxy_to_notify(connection, status, now, resend_interval)?;
            Some((key, proxy))
        });
        let due: Vec<(usize, u32)> = due.collect();
        for (key, proxy) in due {
            self.record_status(proxy, status);
            if let Some(connection) = self.connections.get_mut(key) {
                connection.watch = Some(Watch::Release { proxy, status, sent_at: now });
            }
            self.continue_response(key, &status.write());
        }
    }
}

/// Returns the proxy that watches on a connection, if the release status is due to be sent to it.
fn proxy_to_notify(
    connection: &Connection,
    status: ReleaseUpdate,
    now: u64,
    resend_interval: u64,
) -> Option<u32> {
    let Some(Watch::Release { proxy, status: last_sent, sent_at }) = connection.watch else { return None };
    let is_due = last_sent != status || now >= sent_at + resend_interval;
    is_due.then_some(proxy)
}
