//! The link to a release controller that runs in place of the simulated release service. The site forwards
//! the controller's release status to the proxies and their votes to the controller, and it acts as the
//! platform that starts and stops servers as the controller directs.
//!
//! The controller is another process and may be down for a while. Threads with blocking sockets hold the
//! watches and make the calls. The site's event loop only takes the messages that they received.

use crate::model::release_service::{BuildOutcome, PooledServer, ServerCommand, ServerPool, initial_status};
use crate::network::NetworkError;
use crate::scenario::Rollout;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use violetseam_site_protocol::placement::{DesiredBuilds, PlaceReport, PlaceStateName};
use violetseam_site_protocol::release_service::{PhaseName, ReleaseUpdate, Vote, VoteReply};

mod threads;

use threads::{spawn_reporter, spawn_vote_senders, spawn_watches};

/// The reply of the controller to a vote.
pub(super) struct ReplyToVote {
    /// The token that the vote was sent with.
    pub(super) token: u64,
    /// `None` if the controller could not be reached or sent no valid reply.
    pub(super) reply: Option<VoteReply>,
}

/// A message that one of the threads received from the controller.
enum ControllerMessage {
    Status(ReleaseUpdate),
    DesiredBuilds(DesiredBuilds),
    Reply(ReplyToVote),
}

/// A vote that waits to be sent to the controller.
struct EncodedVote {
    token: u64,
    body: Vec<u8>,
}

/// The link to a controller, and the servers of the platform that it directs.
pub(super) struct ControllerLink {
    plan: Rollout,
    messages: Receiver<ControllerMessage>,
    votes: Sender<EncodedVote>,
    reports: Sender<Vec<PlaceReport>>,
    stop: Arc<AtomicBool>,
    status: ReleaseUpdate,
    /// The places and builds for which the controller wants a server.
    desired: BTreeSet<(u32, u16)>,
    pool: ServerPool,
    replies: VecDeque<ReplyToVote>,
    outcomes: Vec<BuildOutcome>,
}

impl Drop for ControllerLink {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl ControllerLink {
    /// Starts the link to the controller at an address. At the start, all places run the first build.
    pub(super) fn start(
        address: SocketAddr,
        plan: Rollout,
        places: usize,
    ) -> Result<ControllerLink, NetworkError> {
        let (message_sender, messages) = channel();
        let stop = Arc::new(AtomicBool::new(false));
        spawn_watches(address, &message_sender, &stop)?;
        let votes = spawn_vote_senders(address, &message_sender)?;
        let reports = spawn_reporter(address, stop.clone())?;
        let pool = ServerPool::running(places, plan.first_build);
        let initial = pool.iter().map(|(_, server)| place_report(server, PlaceStateName::Running));
        let _ = reports.send(initial.collect());
        Ok(ControllerLink {
            status: initial_status(plan.first_build),
            plan,
            messages,
            votes,
            reports,
            stop,
            desired: BTreeSet::new(),
            pool,
            replies: VecDeque::new(),
            outcomes: Vec::new(),
        })
    }

    /// Returns the latest release status of the controller.
    pub(super) fn status(&self) -> ReleaseUpdate {
        self.status
    }

    /// Returns the outcome of each build that was offered.
    pub(super) fn outcomes(&self) -> &[BuildOutcome] {
        &self.outcomes
    }

    /// Processes the messages that were received, starts and drains servers as the controller wants, and
    /// reports what changed.
    pub(super) fn advance(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        while let Ok(message) = self.messages.try_recv() {
            self.on_message(now, message);
        }
        let mut reports = Vec::new();
        self.advance_pool(now, commands, &mut reports);
        if !self.desired.is_empty() {
            self.start_missing(now, &mut reports);
            self.drain_unwanted(now, commands, &mut reports);
        }
        if !reports.is_empty() {
            let _ = self.reports.send(reports);
        }
    }

    /// Processes a message. A message with an older fence comes from a controller that has been superseded,
    /// and is ignored.
    fn on_message(&mut self, now: u64, message: ControllerMessage) {
        match message {
            ControllerMessage::Status(status) => {
                if status.fence >= self.status.fence {
                    self.on_status(now, status);
                }
            }
            ControllerMessage::DesiredBuilds(desired) => {
                if desired.fence >= self.status.fence && !desired.builds.is_empty() {
                    self.desired = desired.builds.into_iter().collect();
                }
            }
            ControllerMessage::Reply(reply) => self.replies.push_back(reply),
        }
    }

    fn on_status(&mut self, now: u64, status: ReleaseUpdate) {
        let previous = std::mem::replace(&mut self.status, status);
        if status.build != previous.build {
            self.outcomes.push(BuildOutcome::offered(status.build, now));
        }
        let Some(outcome) = self.outcomes.last_mut().filter(|outcome| outcome.build == status.build) else {
            return;
        };
        match status.phase {
            PhaseName::Released => {
                outcome.released_at.get_or_insert(now);
            }
            PhaseName::RollingBack | PhaseName::Withdrawn => {
                outcome.rolled_back_at.get_or_insert(now);
            }
            PhaseName::Trial => {}
        }
    }

    /// Completes the starts and drains of servers that are due.
    fn advance_pool(&mut self, now: u64, commands: &mut Vec<ServerCommand>, reports: &mut Vec<PlaceReport>) {
        for transition in self.pool.advance(now) {
            let has_ended = transition.server.is_draining();
            let state = if has_ended { PlaceStateName::Gone } else { PlaceStateName::Running };
            reports.push(place_report(&transition.server, state));
            commands.push(ServerCommand::from(transition));
        }
    }

    /// Starts the servers that the controller wants and that are missing.
    fn start_missing(&mut self, now: u64, reports: &mut Vec<PlaceReport>) {
        let staying = self.pool.iter().filter(|(_, server)| !server.is_draining());
        let present: BTreeSet<(u32, u16)> = staying.map(|(_, server)| place_and_build(server)).collect();
        for &(place, build) in self.desired.difference(&present) {
            self.pool.start(place as usize, build, now + self.plan.startup_time);
            reports.push(PlaceReport { place, build, state: PlaceStateName::Starting });
        }
    }

    /// Drains the servers that the controller does not want. Those that are still starting are removed at
    /// once.
    fn drain_unwanted(
        &mut self,
        now: u64,
        commands: &mut Vec<ServerCommand>,
        reports: &mut Vec<PlaceReport>,
    ) {
        let unwanted =
            self.pool.iter().filter(|(_, server)| !self.desired.contains(&place_and_build(server)));
        let unwanted: Vec<(u64, PooledServer)> = unwanted.map(|(id, server)| (id, *server)).collect();
        for (id, server) in &unwanted {
            if self.pool.drain(*id, now + self.plan.drain_time).is_some() {
                commands.push(ServerCommand::Drain { server: *id });
                reports.push(place_report(server, PlaceStateName::Draining));
            }
        }
        for (id, server) in unwanted {
            if server.is_starting() {
                self.pool.remove(id);
                reports.push(place_report(&server, PlaceStateName::Gone));
            }
        }
    }

    /// Sends a vote to the controller. [`ControllerLink::next_reply`] returns the reply with the same token.
    pub(super) fn send_vote(&self, token: u64, vote: &Vote) {
        let _ = self.votes.send(EncodedVote { token, body: vote.write() });
    }

    /// Returns the next reply to a vote, if one has arrived.
    pub(super) fn next_reply(&mut self) -> Option<ReplyToVote> {
        self.replies.pop_front()
    }
}

/// Returns the place and the build of a server.
fn place_and_build(server: &PooledServer) -> (u32, u16) {
    (server.place as u32, server.build)
}

fn place_report(server: &PooledServer, state: PlaceStateName) -> PlaceReport {
    let (place, build) = place_and_build(server);
    PlaceReport { place, build, state }
}
