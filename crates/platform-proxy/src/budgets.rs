//! What the limits leave for each kind of connection and for bytes held, and who gives way first.

use super::Proxy;
use violetseam::interface::Micros;
use violetseam_platform::config::Limits;

/// Descriptors for the loop, the log, signals, listener, datagrams, discovery, pipeline and votes.
const OWN: usize = 24;
/// An idle connection may be closed to make room once it has rested so long: a client that has just been
/// answered is likely to go on.
const RESTED: Micros = 2_000_000;
/// A connection that has sent nothing so long after it came up gives way before any other.
const SILENT: Micros = 100_000;

/// Shares of the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budgets {
    /// Client connections.
    pub clients: usize,
    /// Server connections.
    pub servers: usize,
    /// Requests open at once.
    pub open: usize,
    /// Bytes that open requests may hold.
    pub held_bytes: usize,
}

impl Budgets {
    pub fn new(limits: &Limits, open_cap: usize) -> Self {
        let left = limits.sockets.saturating_sub(OWN).max(8);
        // Clients hold a third of all descriptors for requests; the rest of their share is for those that
        // never ask anything.
        let clients = left * 11 / 20;
        let held_bytes = (limits.memory_mb.clamp(8.0, 65_536.0) * 1024.0 * 1024.0 / 8.0) as usize;
        Budgets { clients, servers: left - clients, open: open_cap.min(4096), held_bytes }
    }
}

impl Proxy {
    /// Makes room for a client: one that said nothing yet goes first, then the one that rested longest.
    pub(super) fn room_for_client(&mut self) -> bool {
        if self.clients.len() < self.budgets.clients {
            return true;
        }
        let now = self.now();
        let gives_way = |c: &super::Client| {
            let span = if c.is_proven() { RESTED } else { SILENT };
            c.is_free() && now >= c.quiet_since() + span
        };
        let oldest = self.clients.iter().filter(|(_, c)| gives_way(c));
        let oldest = oldest.min_by_key(|(_, c)| (c.is_proven(), c.quiet_since()));
        // What lies unread on it may be a request: it is read in the next turn.
        let key = oldest.filter(|(_, c)| !c.has_unread()).map(|(key, _)| key);
        key.into_iter().for_each(|key| self.close_client(key));
        key.is_some()
    }

    /// Makes room for a connection to a server: the idle one that rested longest goes, to whichever server.
    pub(super) fn room_for_server(&mut self) -> bool {
        if self.servers.len() < self.budgets.servers {
            return true;
        }
        let rested = self.idle.values().filter_map(|keys| keys.front().copied());
        let oldest = rested.min_by_key(|key| self.servers.get(*key).map_or(0, |s| s.idle_since()));
        oldest.into_iter().for_each(|key| self.close_server(key));
        oldest.is_some()
    }
}
