//! Settings that are read again while the proxy runs.

use super::super::{Proxy, head_limits};
use super::{DaemonError, Reloaded};
use std::rc::Rc;
use violetseam_settings::ProxySettings;

/// Why the settings stay as they were.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum ReloadError {
    #[error("no settings to read again")]
    NoSettings,
    #[error("{0}")]
    Read(#[source] DaemonError),
    #[error("{setting} need a new process")]
    NeedsNewProcess { setting: &'static str },
}

impl Proxy {
    /// Reads the settings again because of a signal.
    pub(in super::super) fn reload_on_signal(&mut self) {
        match self.reload() {
            Ok(()) => tracing::info!("settings read again"),
            Err(error) => tracing::error!("settings stay as they were: {error}"),
        }
    }

    /// Reads the settings again. All of them or none: what the decisions run by, and what is bound, needs a
    /// new process and refuses the rest with it.
    pub(super) fn reload(&mut self) -> Result<(), ReloadError> {
        let Some(control) = &mut self.control_server else { return Err(ReloadError::NoSettings) };
        let Reloaded { settings, tls_config } = (control.reload)().map_err(ReloadError::Read)?;
        if let Some(setting) = first_fixed_change(&self.settings, &settings) {
            return Err(ReloadError::NeedsNewProcess { setting });
        }
        control.tls_config = tls_config;
        self.head_limits = head_limits(&settings);
        self.settings = Rc::new(settings);
        Ok(())
    }
}

/// The first difference that only a new process can take up.
fn first_fixed_change(old: &ProxySettings, new: &ProxySettings) -> Option<&'static str> {
    let control_addr = |settings: &ProxySettings| settings.control_tls.as_ref().map(|tls| tls.listen);
    let same_identity =
        old.fleet_name == new.fleet_name && old.site == new.site && old.class_names == new.class_names;
    let same_addresses = old.listen == new.listen && old.peer_listen == new.peer_listen;
    let checks = [
        ("decisions", format!("{:?}", old.decisions) == format!("{:?}", new.decisions)),
        ("name, site and classes", same_identity),
        ("addresses that are bound", same_addresses),
        ("the publisher", old.publisher == new.publisher),
        ("tenants", old.tenants == new.tenants),
        ("budgets of the fleet", old.retry_quotas == new.retry_quotas),
        ("the address of control_tls", control_addr(old) == control_addr(new)),
    ];
    checks.into_iter().find(|(_, same)| !same).map(|(setting, _)| setting)
}
