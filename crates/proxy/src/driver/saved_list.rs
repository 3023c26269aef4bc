//! The server list on disk, for a restart or a process that takes over.

use super::operators::wall_clock;
use super::{ListedServer, Proxy};
use std::path::Path;
use violetseam::interface::Micros;
use violetseam_site_protocol::endpoint_list;

/// Why a saved list is not used.
#[derive(Debug, thiserror::Error)]
enum SavedListError {
    #[error("no time of saving")]
    NoTime,
    #[error("{0}")]
    Malformed(#[source] violetseam_site_protocol::MessageError),
}

impl Proxy {
    /// The list as saved before a restart. Ages count on over the restart by the wall clock; should that have
    /// gone back, servers look younger than they are, which is the safe side.
    pub(super) fn load_saved_list(&mut self) -> Option<endpoint_list::ListUpdate> {
        let path = self.settings.state_dir.as_ref()?.join(self.saved_list_file());
        let bytes = std::fs::read(&path).ok()?;
        let mut parts = bytes.splitn(2, |byte| *byte == b'\n');
        let saved_at = parts.next()?;
        let list = parts.next()?;
        match parse_saved_list(saved_at, list) {
            Ok(message) => {
                let now = self.now();
                let listed =
                    |entry: &endpoint_list::Endpoint| ListedServer { received_at: now, entry: entry.clone() };
                self.listed_servers = message.servers.iter().map(|entry| (entry.id, listed(entry))).collect();
                Some(message)
            }
            Err(error) => {
                tracing::warn!("saved roster ignored: {error}");
                None
            }
        }
    }

    /// Saves the list for a restart: written aside and renamed, so that a crash leaves the old or the new.
    pub(super) fn save_list(&mut self) {
        let now = self.now();
        let Some(folder) = &self.settings.state_dir else { return };
        let path = folder.join(self.saved_list_file());
        let aside = folder.join(self.saved_list_file() + ".new");
        let saved = write_by_rename(&path, &aside, &self.list_to_save(now));
        if let Err(error) = saved
            && self.log_limit.allows(now)
        {
            tracing::warn!("roster not saved: {error}");
        }
    }

    /// The time of saving, then the list as one message.
    fn list_to_save(&self, now: Micros) -> Vec<u8> {
        let aged = |ListedServer { received_at, entry }: &ListedServer| endpoint_list::Endpoint {
            age_us: entry.age_us.map(|age| age + now.saturating_sub(*received_at)),
            ..entry.clone()
        };
        let servers = self.listed_servers.values().map(aged).collect();
        let version = self.server_list.version().unwrap_or(0);
        let message =
            endpoint_list::ListUpdate { kind: endpoint_list::UpdateKind::Full, version, base: 0, servers };
        let mut bytes = format!("{}\n", wall_clock()).into_bytes();
        bytes.extend(message.write());
        bytes
    }

    fn saved_list_file(&self) -> String {
        format!("roster-{}.json", self.settings.decisions.position)
    }
}

fn parse_saved_list(saved_at: &[u8], list: &[u8]) -> Result<endpoint_list::ListUpdate, SavedListError> {
    let mut message =
        endpoint_list::ListUpdate::parse(list.trim_ascii_end()).map_err(SavedListError::Malformed)?;
    let saved_at = std::str::from_utf8(saved_at).ok().and_then(|text| text.parse::<u64>().ok());
    let saved_at = saved_at.ok_or(SavedListError::NoTime)?;
    let since = wall_clock().saturating_sub(saved_at);
    for line in &mut message.servers {
        line.age_us = line.age_us.map(|age| age.saturating_add(since));
    }
    Ok(message)
}

fn write_by_rename(path: &Path, aside: &Path, bytes: &[u8]) -> std::io::Result<()> {
    std::fs::write(aside, bytes)?;
    std::fs::rename(aside, path)
}
