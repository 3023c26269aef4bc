//! The server list from discovery: the calls that request it, and the lines of their responses.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use super::call::CallRequest;
use super::{CallError, CallPurpose};
use violetseam::interface::ListKind;
use violetseam_site_protocol::endpoint_list::ListUpdate;

impl Proxy {
    /// Subscribes to the server list. A new subscription replaces the previous one.
    pub(in super::super) fn watch_server_list(&mut self) {
        if let Some(previous) = self.site_calls.list_watch.take() {
            self.close_call(previous);
        }
        let position = self.settings.decisions.position;
        let path = match self.server_list.version() {
            Some(version) => format!("/v1/roster/watch?proxy={position}&since={version}"),
            None => format!("/v1/roster/watch?proxy={position}"),
        };
        self.site_calls.list_watch = self.call_discovery(CallPurpose::WatchList, &path);
    }

    /// Fetches the complete server list once.
    pub(in super::super) fn fetch_server_list(&mut self) {
        let path = format!("/v1/roster?proxy={}", self.settings.decisions.position);
        self.call_discovery(CallPurpose::FetchList, &path);
    }

    fn call_discovery(&mut self, purpose: CallPurpose, path: &str) -> Option<usize> {
        let request = HttpRequest::get(self.settings.discovery, path);
        let timeout = Some(self.settings.discovery_timeout);
        let call = self.start_call(&CallRequest { purpose, request, timeout });
        if call.is_none() {
            self.on_list_failed(&CallError::NoDiscoveryConnection);
        }
        call
    }

    /// Applies one update to the server list and passes the resulting change to the engine.
    pub(super) fn on_list_line(&mut self, line: &[u8]) -> Result<(), CallError> {
        let update = ListUpdate::parse(line).map_err(CallError::malformed)?;
        let now = self.now();
        let change = self.server_list.apply(now, update).map_err(CallError::malformed)?;
        #[cfg(feature = "sabotage")]
        let change = self.ignore_drains(change);
        self.engine.on_server_list(now, change.kind, &change.entries);
        Ok(())
    }

    /// Lists every server as ready, if the sabotage `IgnoreDrains` is enabled.
    #[cfg(feature = "sabotage")]
    fn ignore_drains(
        &self,
        mut change: super::super::server_list::ListChange,
    ) -> super::super::server_list::ListChange {
        if self.sabotage == Some(super::super::Sabotage::IgnoreDrains) {
            for entry in &mut change.entries {
                entry.status = violetseam::interface::ServerStatus::Ready;
            }
        }
        change
    }

    /// Handles the end of a watch, unless a newer subscription has replaced it.
    pub(super) fn on_list_watch_ended(&mut self, key: usize, error: &CallError) {
        if self.site_calls.list_watch == Some(key) {
            self.site_calls.list_watch = None;
            self.on_list_failed(error);
        }
    }

    /// Reports to the engine that the server list could not be received.
    pub(super) fn on_list_failed(&mut self, error: &CallError) {
        tracing::warn!("roster: {error}");
        let now = self.now();
        self.engine.on_server_list(now, ListKind::Failed, &[]);
    }
}
