//! Sends votes to the release service, each on a connection of its own.
//!
//! A vote's connection is closed after its reply. Votes are rare, and the service closes connections that are
//! idle. Moreover, the loss of a connection that carries only one vote shows clearly whether that vote may
//! count.

use crate::event_loop::{ConnectionId, TimerKind};
use crate::proxy::Proxy;
use calloop::{Interest, Readiness};
use violetseam::interface::{Build, Micros, Outcome, Verdict};
use violetseam::release_order::ReleaseReport;
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_platform_protocol::release_service::{self, AgedStatus, MAX_LINE_BYTES, Message};
use violetseam_site_protocol::line_reader::LineReader;

/// How many votes may be waiting for a reply at once. The engine casts one at a time, and another one may
/// still be on its way to a former address of the service.
const MAX_PENDING_VOTES: usize = 4;
/// The longest time-out of a vote, whatever the settings say.
const MAX_VOTE_TIMEOUT: Micros = 10_000_000;

/// A vote that has no reply yet.
pub(super) struct PendingVote {
    generation: u64,
    /// The JSON-RPC id of the vote's call.
    call_id: u64,
    /// When the vote was sent; its reply was written later.
    sent_at: Micros,
    socket: Socket,
    line_reader: LineReader,
}

/// How a vote ended.
struct VoteReply {
    /// Whether the vote counts, as far as that is known.
    outcome: Outcome,
    /// The release status that came with the reply to an accepted vote.
    status: Option<AgedStatus>,
}

impl Proxy {
    /// Sends a vote to the release service.
    pub(super) fn cast_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        tracing::info!(target: "verdict", build, stage, %verdict, "vote");
        self.release_service.last_call_id += 1;
        let call_id = self.release_service.last_call_id;
        if self.send_vote(call_id, release_service::vote_call(call_id, build, stage, verdict)).is_none() {
            self.end_vote(Outcome::Error, None);
        }
    }

    fn send_vote(&mut self, call_id: u64, call: Vec<u8>) -> Option<()> {
        if self.release_service.votes.len() >= MAX_PENDING_VOTES {
            return None;
        }
        let stream = connect(self.release_service.address).ok()?;
        let generation = self.next_generation();
        let sent_at = self.now();
        let entry = self.release_service.votes.vacant_entry();
        let slot = entry.key();
        let on_ready =
            move |readiness: Readiness, proxy: &mut Proxy| proxy.on_vote_readiness(slot, readiness);
        let mut socket = Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready).ok()?;
        socket.write_buffer().extend(call);
        entry.insert(PendingVote {
            generation,
            call_id,
            sent_at,
            socket,
            line_reader: LineReader::new(MAX_LINE_BYTES),
        });
        let timeout = self.config.instance.decisions.rollout.vote_timeout.min(MAX_VOTE_TIMEOUT);
        self.timers.set(sent_at + timeout, TimerKind::VoteTimeout(ConnectionId { slot, generation }));
        Some(())
    }

    fn on_vote_readiness(&mut self, slot: usize, readiness: Readiness) {
        if readiness.writable
            && let Some(vote) = self.release_service.votes.get_mut(slot)
        {
            if vote.socket.connect_error().is_some() || vote.socket.flush().is_err() {
                self.on_vote_connection_lost(slot);
                return self.run_engine_actions();
            }
            vote.socket.set_read_interest(&self.loop_handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_vote(slot);
        }
        self.run_engine_actions();
    }

    fn read_vote(&mut self, slot: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if let Some(vote) = self.release_service.votes.get_mut(slot) {
            match vote.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    vote.line_reader.feed(&read_buffer[..length]);
                    self.handle_vote_lines(slot);
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed | ReadOutcome::Failed => self.on_vote_connection_lost(slot),
            }
        }
        self.read_buffer = read_buffer;
    }

    fn handle_vote_lines(&mut self, slot: usize) {
        while let Some(vote) = self.release_service.votes.get_mut(slot) {
            let line = match vote.line_reader.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => Message::parse(line).ok(),
                Err(_) => None,
            };
            if let Some(VoteReply { outcome, status }) = parse_vote_reply(vote.call_id, line) {
                let sent_at = vote.sent_at;
                self.close_vote(slot);
                let now = self.now();
                let report =
                    status.map(|aged| aged.report(|status| ReleaseReport::in_reply(status, sent_at, now)));
                return self.end_vote(outcome, report);
            }
        }
    }

    /// Ends a vote that has had no reply in time.
    pub(super) fn on_vote_timeout(&mut self, connection: ConnectionId) {
        let Some(vote) = self.release_service.votes.get(connection.slot) else { return };
        if vote.generation == connection.generation {
            self.on_vote_connection_lost(connection.slot);
        }
    }

    /// Ends a vote whose reply will not arrive any more. Such a vote cannot count unless all of it was
    /// written.
    fn on_vote_connection_lost(&mut self, slot: usize) {
        let Some(vote) = self.release_service.votes.get(slot) else { return };
        let outcome = if vote.socket.has_unwritten_bytes() { Outcome::Error } else { Outcome::Timeout };
        self.close_vote(slot);
        self.end_vote(outcome, None);
    }

    fn close_vote(&mut self, slot: usize) {
        if let Some(vote) = self.release_service.votes.try_remove(slot) {
            vote.socket.remove(&self.loop_handle);
        }
    }

    /// Reports the end of a vote to the engine, with the release status of its reply unless the watch has
    /// brought a newer one meanwhile.
    fn end_vote(&mut self, outcome: Outcome, report: Option<ReleaseReport>) {
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        let status = report.and_then(|report| self.admit_release_report(report));
        let now = self.now();
        self.engine.on_vote_reply(now, outcome, status);
    }
}

/// Returns the reply to the vote with this call id if the message is one. `None` as the message stands for a
/// line that cannot be parsed.
fn parse_vote_reply(call_id: u64, line: Option<Message>) -> Option<VoteReply> {
    match line {
        Some(Message::Accepted { id, status: Some(status) }) if id == call_id => {
            Some(VoteReply { outcome: Outcome::Ok, status: Some(status) })
        }
        Some(Message::Declined { id, outcome, message }) if id == call_id => {
            tracing::debug!(target: "verdict", "vote declined: {message}");
            Some(VoteReply { outcome, status: None })
        }
        // Notifications that arrive before the reply are ignored, because they arrive on the watch as well.
        Some(Message::ReleaseStatus(_) | Message::AnswerFlagged { .. } | Message::Heartbeat) => None,
        // The reply cannot be parsed or does not fit the call, so whether the vote counts is unknown.
        _ => Some(VoteReply { outcome: Outcome::Timeout, status: None }),
    }
}
