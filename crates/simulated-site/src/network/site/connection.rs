//! Connections to the site, and what is pending on them: attempts in flight, watches, votes and delayed
//! actions.

use std::collections::{BTreeMap, HashMap};
use violetseam_event_io::Socket;
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConn;
use violetseam_site_protocol::release_service::{ReleaseUpdate, Vote};

/// What a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The server with this id.
    Server(u64),
    Discovery,
    ReleaseService,
}

/// Identifies a connection, even after its slot is used by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId {
    pub(super) key: usize,
    pub(super) generation: u64,
}

/// A response that goes on with each change.
#[derive(Clone, Copy, Debug)]
pub(super) enum Watch {
    Endpoints {
        proxy: u32,
        /// The version that was sent last.
        version: u64,
    },
    Release {
        proxy: u32,
        /// The status that was sent last.
        status: ReleaseUpdate,
        sent_at: u64,
    },
}

impl Watch {
    /// The proxy that watches.
    pub(super) fn proxy(self) -> u32 {
        match self {
            Watch::Endpoints { proxy, .. } | Watch::Release { proxy, .. } => proxy,
        }
    }
}

/// One connection.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) role: Role,
    pub(super) socket: Socket,
    pub(super) http: ServerConn,
    pub(super) head: Option<Box<RequestHead>>,
    pub(super) body: Vec<u8>,
    /// The attempt in flight on it.
    pub(super) attempt: Option<u64>,
    pub(super) watch: Option<Watch>,
    /// The proxy that sent the last request to a server on it.
    pub(super) sender: Option<u32>,
    /// Nothing of it arrives any more, in either direction.
    pub(super) is_partitioned: bool,
}

/// What is done later on a connection.
#[derive(Clone, Debug)]
pub(super) enum DelayedAction {
    /// The reply to a vote is sent.
    Reply { connection: ConnectionId, body: Vec<u8> },
    /// The connection is read from now on.
    StartReading { connection: ConnectionId },
}

impl DelayedAction {
    pub(super) fn connection(&self) -> ConnectionId {
        match self {
            DelayedAction::Reply { connection, .. } | DelayedAction::StartReading { connection } => {
                *connection
            }
        }
    }
}

/// A vote that the controller is processing.
pub(super) struct PendingVote {
    /// The connection that waits for the reply, if any may see it.
    pub(super) waiting: Option<ConnectionId>,
    pub(super) vote: Vote,
}

/// What is pending on the connections.
#[derive(Default)]
pub(super) struct Pending {
    sequence: u64,
    next_attempt: u64,
    /// Connections by attempt.
    pub(super) attempts: HashMap<u64, usize>,
    /// The connection of each proxy's latest watch of the endpoint list.
    pub(super) endpoint_watches: BTreeMap<u32, usize>,
    delayed: BTreeMap<(u64, u64), DelayedAction>,
    /// Votes by token.
    pub(super) votes: HashMap<u64, PendingVote>,
}

impl Pending {
    /// A number that is larger than all before.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Registers an attempt on a connection, and returns its number.
    pub(super) fn start_attempt(&mut self, key: usize) -> u64 {
        self.next_attempt += 1;
        self.attempts.insert(self.next_attempt, key);
        self.next_attempt
    }

    /// When the next delayed action is due.
    pub(super) fn next_action(&self) -> Option<u64> {
        self.delayed.keys().next().map(|key| key.0)
    }

    /// Schedules an action.
    pub(super) fn schedule(&mut self, at: u64, action: DelayedAction) {
        let sequence = self.next_sequence();
        self.delayed.insert((at, sequence), action);
    }

    /// Takes the next action that is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<DelayedAction> {
        if self.next_action()? > now {
            return None;
        }
        self.delayed.pop_first().map(|(_, action)| action)
    }
}
