//! A release controller in place of the simulated release service: its status goes on to the proxies, their
//! votes go to it, and the servers here are the platform that it directs.
//!
//! The controller is another process and may be down for a while. Threads with blocking sockets make the
//! watches and calls; the site's event loop only takes what they received.

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

/// The reply to a vote.
pub(super) struct ReplyToVote {
    /// The token that the vote was sent with.
    pub(super) token: u64,
    /// None: the controller could not be reached.
    pub(super) reply: Option<VoteReply>,
}

/// What the threads received.
enum ControllerMessage {
    Status(ReleaseUpdate),
    DesiredBuilds(DesiredBuilds),
    Reply(ReplyToVote),
}

/// A vote on its way to the controller.
struct EncodedVote {
    token: u64,
    body: Vec<u8>,
}

/// The link to a controller, and the servers of the platform.
pub(super) struct ControllerLink {
    plan: Rollout,
    messages: Receiver<ControllerMessage>,
    votes: Sender<EncodedVote>,
    reports: Sender<Vec<PlaceReport>>,
    stop: Arc<AtomicBool>,
    status: ReleaseUpdate,
    /// Places and the builds that the controller wants there.
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
    /// A link to the controller at an address. All places run the first build.
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

    /// The latest release status.
    pub(super) fn status(&self) -> ReleaseUpdate {
        self.status
    }

    /// What became of each build.
    pub(super) fn outcomes(&self) -> &[BuildOutcome] {
        &self.outcomes
    }

    /// Takes what was received, and lets the platform do what the controller wants.
    pub(super) fn advance(&mut self, now: u64, commands: &mut Vec<ServerCommand>) {
        while let Ok(message) = self.messages.try_recv() {
            self.on_message(now, message);
        }
        let mut reports = Vec::new();
        self.advance_pool(now, commands, &mut reports);
        if !self.desired.is_empty() {
            self.start_missing(now, &mut reports);
            self.end_unwanted(now, commands, &mut reports);
        }
        if !reports.is_empty() {
            let _ = self.reports.send(reports);
        }
    }

    /// Messages of a controller that has been superseded are ignored.
    fn on_message(&mut self, now: u64, message: ControllerMessage) {
        match message {
            ControllerMessage::Status(status) => {
                if status.fence >= self.status.fence {
                    self.on_status(now, status);
                }
            }
            ControllerMessage::DesiredBuilds(desired) => {
                if desired.fence >= self.status.fence && !desired.wanted.is_empty() {
                    self.desired = desired.wanted.into_iter().collect();
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

    /// Ends the starts and drains that are due.
    fn advance_pool(&mut self, now: u64, commands: &mut Vec<ServerCommand>, reports: &mut Vec<PlaceReport>) {
        for transition in self.pool.advance(now) {
            let has_ended = transition.server.is_draining();
            let state = if has_ended { PlaceStateName::Gone } else { PlaceStateName::Running };
            reports.push(place_report(&transition.server, state));
            commands.push(ServerCommand::from(transition));
        }
    }

    /// Starts servers that are wanted and missing.
    fn start_missing(&mut self, now: u64, reports: &mut Vec<PlaceReport>) {
        let staying = self.pool.iter().filter(|(_, server)| !server.is_draining());
        let present: BTreeSet<(u32, u16)> = staying.map(|(_, server)| slot(server)).collect();
        for &(place, build) in self.desired.difference(&present) {
            self.pool.launch(place as usize, build, now + self.plan.startup_time);
            reports.push(PlaceReport { place, build, state: PlaceStateName::Starting });
        }
    }

    /// Drains servers that are not wanted. Those that do not run yet are gone at once.
    fn end_unwanted(&mut self, now: u64, commands: &mut Vec<ServerCommand>, reports: &mut Vec<PlaceReport>) {
        let unwanted = self.pool.iter().filter(|(_, server)| !self.desired.contains(&slot(server)));
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

    /// Sends a vote; its reply comes from [`ControllerLink::next_reply`] with the token.
    pub(super) fn send_vote(&self, token: u64, vote: &Vote) {
        let _ = self.votes.send(EncodedVote { token, body: vote.write() });
    }

    /// The next reply to a vote, if one has come.
    pub(super) fn next_reply(&mut self) -> Option<ReplyToVote> {
        self.replies.pop_front()
    }
}

/// The place and build of a server.
fn slot(server: &PooledServer) -> (u32, u16) {
    (server.place as u32, server.build)
}

fn place_report(server: &PooledServer, state: PlaceStateName) -> PlaceReport {
    let (place, build) = slot(server);
    PlaceReport { place, build, state }
}
