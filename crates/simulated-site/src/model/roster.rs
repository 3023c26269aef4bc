//! The roster: lists what happens late, and tells those who ask the whole list or what changed.

use std::collections::BTreeMap;
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState, ListUpdate, UpdateKind};

/// A server on the list.
#[derive(Clone, Debug)]
struct Listed {
    line: Endpoint,
    /// When it started, on the stand-ins' clock; 0: long past.
    started: u64,
    changed: u64,
}

/// The roster's list.
#[derive(Debug)]
pub struct Roster {
    version: u64,
    listed: BTreeMap<u64, Listed>,
    coming: BTreeMap<(u64, u64), (Endpoint, u64)>,
    next: u64,
}

impl Default for Roster {
    fn default() -> Self {
        Roster { version: 1, listed: BTreeMap::new(), coming: BTreeMap::new(), next: 0 }
    }
}

impl Roster {
    /// A line that will be listed at a moment.
    pub fn change(&mut self, visible_at: u64, line: Endpoint, started: u64) {
        self.next += 1;
        self.coming.insert((visible_at, self.next), (line, started));
    }

    /// When the list changes next.
    pub fn due(&self) -> Option<u64> {
        self.coming.keys().next().map(|k| k.0)
    }

    /// Lists what is due; the lines that changed.
    pub fn advance(&mut self, now: u64) -> Vec<(u64, EndpointState)> {
        let mut changed = Vec::new();
        while let Some((&key, _)) = self.coming.first_key_value().filter(|(k, _)| k.0 <= now) {
            if let Some((line, started)) = self.coming.remove(&key) {
                self.version += 1;
                changed.push((line.id, line.state));
                self.listed.insert(line.id, Listed { line, started, changed: self.version });
            }
        }
        changed
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When a listed server started, as the list has it.
    pub fn started(&self, server: u64) -> Option<u64> {
        self.listed.get(&server).map(|l| l.started)
    }

    fn line(now: u64, listed: &Listed) -> Endpoint {
        let age = (listed.started > 0).then(|| now.saturating_sub(listed.started));
        Endpoint { age_us: age, ..listed.line.clone() }
    }

    /// The whole list.
    pub fn full(&self, now: u64) -> ListUpdate {
        let there = self.listed.values().filter(|l| l.line.state != EndpointState::Gone);
        let servers = there.map(|l| Self::line(now, l)).collect();
        ListUpdate { kind: UpdateKind::Full, version: self.version, base: 0, servers }
    }

    /// What changed since a version; none where nothing has.
    pub fn since(&self, now: u64, base: u64) -> Option<ListUpdate> {
        if base >= self.version {
            return None;
        }
        let servers = self.listed.values().filter(|l| l.changed > base).map(|l| Self::line(now, l)).collect();
        Some(ListUpdate { kind: UpdateKind::Delta, version: self.version, base, servers })
    }
}
