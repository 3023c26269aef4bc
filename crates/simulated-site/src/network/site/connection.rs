//! The connections to the site, and what is pending on them: attempts in flight, watches, votes and delayed
//! actions.

use std::collections::{BTreeMap, HashMap};
use violetseam_event_io::Socket;
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConnection;
use violetseam_site_protocol::release_service::{ReleaseUpdate, Vote};

/// The service that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The server with this id.
    Server(u64),
    Discovery,
    ReleaseService,
}

/// Identifies a connection. If its slot has been reused, the generation no longer matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionId {
    pub(super) key: usize,
    pub(super) generation: u64,
}

/// An open response that gets a further line with each change.
#[derive(Clone, Copy, Debug)]
pub(super) enum Watch {
    Endpoints {
        proxy: u32,
        /// The version of the endpoint list that was sent last.
        version: u64,
    },
    Release {
        proxy: u32,
        /// The release status that was sent last.
        status: ReleaseUpdate,
        sent_at: u64,
    },
}

impl Watch {
    /// Returns the proxy that watches.
    pub(super) fn proxy(self) -> u32 {
        match self {
            Watch::Endpoints { proxy, .. } | Watch::Release { proxy, .. } => proxy,
        }
    }
}

/// A connection to a service of the site.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) role: Role,
    pub(super) socket: Socket,
    pub(super) http: ServerConnection,
    pub(super) head: Option<Box<RequestHead>>,
    pub(super) body: Vec<u8>,
    /// The attempt that is in flight on the connection.
    pub(super) attempt: Option<u64>,
    pub(super) watch: Option<Watch>,
    /// The proxy that sent the last request on a connection to a server.
    pub(super) sender: Option<u32>,
    /// Whether the connection is cut off, so that nothing arrives in either direction.
    pub(super) is_partitioned: bool,
}

/// An action that is done on a connection at a later time.
#[derive(Clone, Debug)]
pub(super) enum DelayedAction {
    /// Sends the reply to a vote.
    Reply { connection: ConnectionId, body: Vec<u8> },
    /// Starts to read the connection.
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
    /// The connection on which the reply is sent. `None` if the proxy must not get one, because the release
    /// service is unresponsive.
    pub(super) reply_connection: Option<ConnectionId>,
    pub(super) vote: Vote,
}

/// Everything that is pending on the connections.
#[derive(Default)]
pub(super) struct Pending {
    sequence: u64,
    next_attempt: u64,
    /// The key of the connection of each attempt in flight.
    pub(super) attempts: HashMap<u64, usize>,
    /// The connection of each proxy's latest watch of the endpoint list.
    pub(super) endpoint_watches: BTreeMap<u32, usize>,
    delayed: BTreeMap<(u64, u64), DelayedAction>,
    /// The votes that the controller is processing, by token.
    pub(super) votes: HashMap<u64, PendingVote>,
}

impl Pending {
    /// Returns a number that is larger than all numbers it returned before.
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

    /// Returns the time at which the next delayed action is due.
    pub(super) fn next_action(&self) -> Option<u64> {
        self.delayed.keys().next().map(|key| key.0)
    }

    /// Schedules a delayed action for the time `at`.
    pub(super) fn schedule(&mut self, at: u64, action: DelayedAction) {
        let sequence = self.next_sequence();
        self.delayed.insert((at, sequence), action);
    }

    /// Removes and returns the next delayed action, if it is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<DelayedAction> {
        if self.next_action()? > now {
            return None;
        }
        self.delayed.pop_first().map(|(_, action)| action)
    }
}
