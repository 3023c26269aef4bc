//! A connection to the site, and what is kept of all of them: attempts out, watches, what is to be done later.

use std::collections::{BTreeMap, HashMap};
use violetseam_event_io::Socket;
use violetseam_http1::RequestHead;
use violetseam_http1::server::ServerConnection;
use violetseam_site_protocol::release_service::{ReleaseUpdate, Vote};

/// What a connection is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Server(u64),
    Discovery,
    ReleaseService,
}

/// One connection.
pub(super) struct Conn {
    pub(super) generation: u64,
    pub(super) role: Role,
    pub(super) socket: Socket,
    pub(super) http: ServerConnection,
    pub(super) head: Option<Box<RequestHead>>,
    pub(super) body: Vec<u8>,
    /// The attempt that is out on it.
    pub(super) job: Option<u64>,
    /// It is an endless answer to this proxy: what was told last, and when.
    pub(super) stream: Option<(u32, Option<ReleaseUpdate>, u64)>,
    /// Who sent the last request on it to a server.
    pub(super) sender: Option<u32>,
    /// Nothing of it arrives any more, either way.
    pub(super) severed: bool,
}

/// What is done later on a connection, by its place and generation.
#[derive(Clone, Debug)]
pub(super) enum Later {
    /// A vote's reply.
    Reply(usize, u64, Vec<u8>),
    /// A connection is read only now.
    Read(usize, u64),
}

/// What the connections keep: attempts out, watches, things to be done later.
#[derive(Default)]
pub(super) struct Kept {
    pub(super) generation: u64,
    pub(super) next_job: u64,
    /// Connections by attempt.
    pub(super) jobs: HashMap<u64, usize>,
    /// Each proxy's latest watch.
    pub(super) watches: BTreeMap<u32, usize>,
    pub(super) later: BTreeMap<(u64, u64), Later>,
    /// Votes that the controller has: who waits for the reply.
    pub(super) votes: HashMap<u64, (Option<(usize, u64)>, Vote)>,
}

impl Kept {
    /// When the next thing is to be done.
    pub fn due(&self) -> Option<u64> {
        self.later.keys().next().map(|k| k.0)
    }

    /// Does something at a moment.
    pub(super) fn at(&mut self, at: u64, what: Later) {
        self.generation += 1;
        self.later.insert((at, self.generation), what);
    }
}
