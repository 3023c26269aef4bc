//! Saves the server list to disk, for a restart or for a process that takes over.

use super::Proxy;
use super::operators::wall_clock;
use std::path::Path;
use violetseam::interface::Micros;
use violetseam_site_protocol::MessageError;
use violetseam_site_protocol::endpoint_list::ListUpdate;

/// Why a saved list cannot be used.
#[derive(Debug, thiserror::Error)]
enum SavedListError {
    #[error("its first line is not the time of saving in microseconds")]
    NoTime,
    #[error("its list cannot be parsed: {0}")]
    Malformed(#[source] MessageError),
}

impl Proxy {
    /// Loads the list that was saved before a restart. The servers' ages include the time that has passed
    /// since then by the wall clock. If the wall clock was set back meanwhile, servers appear younger than
    /// they are, which is the safe side: their slow start lasts longer.
    pub(super) fn load_saved_server_list(&mut self) -> Option<ListUpdate> {
        let path = self.settings.state_dir.as_ref()?.join(self.saved_list_file_name());
        let bytes = std::fs::read(&path).ok()?;
        let mut parts = bytes.splitn(2, |byte| *byte == b'\n');
        let saved_at = parts.next()?;
        let list = parts.next()?;
        match parse_saved_list(saved_at, list) {
            Ok(saved) => {
                let now = self.now();
                self.server_list.set_saved_entries(now, &saved);
                Some(saved)
            }
            Err(error) => {
                tracing::warn!("saved server list {path:?} ignored: {error}");
                None
            }
        }
    }

    /// Saves the list for a restart. The list is written to a temporary file that then replaces the old one,
    /// so that a crash leaves either the old list or the new one.
    pub(super) fn save_server_list(&mut self) {
        let now = self.now();
        let Some(state_dir) = &self.settings.state_dir else { return };
        let path = state_dir.join(self.saved_list_file_name());
        let temporary_path = state_dir.join(self.saved_list_file_name() + ".new");
        let saved = replace_file(&path, &temporary_path, &self.encode_list_to_save(now));
        if let Err(error) = saved
            && self.log_limit.allows(now)
        {
            tracing::warn!("server list could not be saved to {path:?}: {error}");
        }
    }

    /// Returns the content of the file: a line with the time of saving, then the list as one message.
    fn encode_list_to_save(&self, now: Micros) -> Vec<u8> {
        let snapshot = self.server_list.snapshot(now);
        let mut bytes = format!("{}\n", wall_clock()).into_bytes();
        bytes.extend(snapshot.write());
        bytes
    }

    fn saved_list_file_name(&self) -> String {
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

fn replace_file(path: &Path, temporary_path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    std::fs::write(temporary_path, bytes)?;
    std::fs::rename(temporary_path, path)
}
