//! The responses to the senders of events.

use super::Controller;
use super::connections::ConnectionId;
use crate::control::Response;
use http::StatusCode;
use std::sync::mpsc::Sender;
use violetseam_release::Reply;
use violetseam_site_protocol::release_service::{VoteOutcome, VoteReply};

/// The origin of an event, which is where its outcome is sent.
pub(super) enum Origin {
    /// No sender waits for the outcome.
    Internal,
    /// A proxy waits for the outcome of its vote.
    Vote(ConnectionId),
    /// The platform waits for the outcome of a request with place reports, of which this is the last report.
    PlaceReport(ConnectionId),
    /// An operator waits for the outcome of a request on the control socket.
    Operator(Sender<Response>),
}

/// A reply that is sent once the batch of its event is durable.
pub(super) struct PendingReply {
    pub origin: Origin,
    pub reply: Reply,
}

impl Controller {
    /// Sends the replies of a batch.
    pub(super) fn send_replies(&mut self, replies: Vec<PendingReply>) {
        for pending in replies {
            self.send_reply(pending.origin, Ok(pending.reply));
        }
    }

    /// Sends the outcome of an event to its origin. An error says why the batch could not be made durable.
    pub(super) fn send_reply(&mut self, origin: Origin, reply: Result<Reply, &str>) {
        match origin {
            Origin::Internal => {}
            Origin::Operator(sender) => {
                let response = match reply {
                    Ok(reply) => Response::Reply(reply),
                    Err(reason) => Response::Failed(format!("not kept, it does not count: {reason}")),
                };
                let _ = sender.send(response);
            }
            Origin::Vote(id) => {
                let outcome = match reply {
                    Ok(Reply::Accepted) => VoteOutcome::Ok,
                    Ok(Reply::Obsolete(_)) => VoteOutcome::Obsolete,
                    Ok(Reply::Rejected(_)) | Err(_) => VoteOutcome::Error,
                };
                self.respond_to_vote(id, outcome);
            }
            Origin::PlaceReport(id) => {
                if self.is_open(id) {
                    let status = if reply.is_ok() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                    self.respond(id.key, status, b"{}");
                }
            }
        }
    }

    /// Sends the response to a vote. If the vote was accepted, the response contains the current
    /// announcement.
    pub(super) fn respond_to_vote(&mut self, id: ConnectionId, outcome: VoteOutcome) {
        if self.is_open(id) {
            let release = self.announcement().filter(|_| outcome == VoteOutcome::Ok);
            self.respond(id.key, StatusCode::OK, &VoteReply { outcome, release }.write());
        }
    }
}
