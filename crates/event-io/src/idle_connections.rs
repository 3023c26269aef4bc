//! Tracks the idle connections of a pool by server.

use std::collections::{BTreeMap, VecDeque};

/// The idle connections of each server. `K` identifies a server. A connection is identified by its index in
/// the owner's table of connections.
#[derive(Debug)]
pub struct IdleConnections<K> {
    /// The connection that has been idle longest is at the front. A server without idle connections has no
    /// entry.
    by_server: BTreeMap<K, VecDeque<usize>>,
}

impl<K: Ord> Default for IdleConnections<K> {
    fn default() -> Self {
        IdleConnections { by_server: BTreeMap::new() }
    }
}

impl<K: Ord> IdleConnections<K> {
    /// Adds a connection that has just become idle.
    pub fn insert(&mut self, server: K, connection: usize) {
        self.by_server.entry(server).or_default().push_back(connection);
    }

    /// Returns the number of idle connections to a server.
    pub fn count(&self, server: &K) -> usize {
        self.by_server.get(server).map_or(0, VecDeque::len)
    }

    /// Returns all idle connections to a server, the one that has been idle longest first.
    pub fn of_server(&self, server: &K) -> impl Iterator<Item = usize> {
        self.by_server.get(server).into_iter().flatten().copied()
    }

    /// Returns the connection to a server that has been idle longest.
    pub fn oldest(&self, server: &K) -> Option<usize> {
        self.by_server.get(server)?.front().copied()
    }

    /// Returns, for each server with idle connections, the one that has been idle longest.
    pub fn oldest_of_each(&self) -> impl Iterator<Item = usize> {
        self.by_server.values().filter_map(|idle| idle.front().copied())
    }

    /// Removes and returns the connection to a server that became idle last.
    pub fn pop_newest(&mut self, server: &K) -> Option<usize> {
        let idle = self.by_server.get_mut(server)?;
        let newest = idle.pop_back();
        if idle.is_empty() {
            self.by_server.remove(server);
        }
        newest
    }

    /// Removes a connection if it is one of the idle connections to this server.
    pub fn remove(&mut self, server: &K, connection: usize) {
        let Some(idle) = self.by_server.get_mut(server) else { return };
        idle.retain(|other| *other != connection);
        if idle.is_empty() {
            self.by_server.remove(server);
        }
    }
}
