//! The server list on disk, for a restart or a process that takes over.

use super::Proxy;
use super::operators::wall_clock;
use std::path::Path;
use violetseam::interface::Micros;
use violetseam_site_protocol::MessageError;
use violetseam_site_protocol::endpoint_list::ListUpdate;

/// Why a saved list is not used.
#[derive(Debug, thiserror::Error)]
enum SavedListError {
    #[error("no time of saving")]
    NoTime,
    #[error("{0}")]
    Malformed(#[source] MessageError),
}

impl Proxy {
    /// The list as saved before a restart. Ages count on over the restart by the wall clock; should that have
    /// gone back, servers look younger than they are, which is the safe side.
    pub(super) fn load_saved_list(&mut self) -> Option<ListUpdate> {
        let path = self.settings.state_dir.as_ref()?.join(self.saved_list_file());
        let bytes = std::fs::read(&path).ok()?;
        let mut parts = bytes.splitn(2, |byte| *byte == b'\n');
        let saved_at = parts.next()?;
        let list = parts.next()?;
        match parse_saved_list(saved_at, list) {
            Ok(saved) => {
                let now = self.now();
                self.server_list.list_saved(now, &saved);
                Some(saved)
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
        let snapshot = self.server_list.snapshot(now);
        let mut bytes = format!("{}\n", wall_clock()).into_bytes();
        bytes.extend(snapshot.write());
        bytes
    }

    fn saved_list_file(&self) -> String {
        format!("roster-{}.json", self.settings.decisions.position)
    }
}

fn parse_saved_list(saved_at: &[u8], list: &[u8]) -> Result<ListUpdate, SavedListError> {
    let mut saved = ListUpdate::parse(list.trim_ascii_end()).map_err(SavedListError::Malformed)?;
    let saved_at = std::str::from_utf8(saved_at).ok().and_then(|text| text.parse::<u64>().ok());
    let saved_at = saved_at.ok_or(SavedListError::NoTime)?;
    let elapsed = wall_clock().saturating_sub(saved_at);
    for endpoint in &mut saved.servers {
        endpoint.age_us = endpoint.age_us.map(|age| age.saturating_add(elapsed));
    }
    Ok(saved)
}

fn write_by_rename(path: &Path, aside: &Path, bytes: &[u8]) -> std::io::Result<()> {
    std::fs::write(aside, bytes)?;
    std::fs::rename(aside, path)
}
