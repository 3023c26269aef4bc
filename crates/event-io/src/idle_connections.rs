//! The idle connections of a pool, by the server that they lead to.

use std::collections::{BTreeMap, VecDeque};

/// The places of idle connections in their owner's table, by server. `K` identifies a server.
#[derive(Debug)]
pub struct IdleConnections<K> {
    /// Per server, the one that has been idle longest first; no list is empty.
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

    /// The number of idle connections to a server.
    pub fn count(&self, server: &K) -> usize {
        self.by_server.get(server).map_or(0, VecDeque::len)
    }

    /// All idle connections to a server, the one that has been idle longest first.
    pub fn of_server(&self, server: &K) -> impl Iterator<Item = usize> {
        self.by_server.get(server).into_iter().flatten().copied()
    }

    /// The connection to a server that has been idle longest.
    pub fn oldest(&self, server: &K) -> Option<usize> {
        self.by_server.get(server)?.front().copied()
    }

    /// The connection of each server that has been idle longest.
    pub fn oldest_of_each(&self) -> impl Iterator<Item = usize> {
        self.by_server.values().filter_map(|idle| idle.front().copied())
    }

    /// Takes out the connection to a server that became idle last.
    pub fn pop_newest(&mut self, server: &K) -> Option<usize> {
        let idle = self.by_server.get_mut(server)?;
        let newest = idle.pop_back();
        if idle.is_empty() {
            self.by_server.remove(server);
        }
        newest
    }

    /// Takes out a connection, if it is among those of this server.
    pub fn remove(&mut self, server: &K, connection: usize) {
        let Some(idle) = self.by_server.get_mut(server) else { return };
        idle.retain(|other| *other != connection);
        if idle.is_empty() {
            self.by_server.remove(server);
        }
    }
}
