//! The reload of the settings while the proxy runs.

use super::super::{Proxy, head_limits};
use super::{DaemonError, Reloaded};
use std::rc::Rc;
use violetseam_settings::ProxySettings;

/// Why the settings were not reloaded.
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
    /// Reloads the settings because the process received a signal.
    pub(in super::super) fn reload_on_signal(&mut self) {
        match self.reload() {
            Ok(()) => tracing::info!("settings reloaded"),
            Err(error) => tracing::error!("settings not reloaded, the previous ones stay in force: {error}"),
        }
    }

    /// Reads the settings again, and applies either all of them or none. Settings of the decision module and
    /// addresses that are bound can change only in a new process; if one of them has changed, the whole
    /// reload is rejected.
    pub(super) fn reload(&mut self) -> Result<(), ReloadError> {
        let Some(control) = &mut self.control_server else { return Err(ReloadError::NoSettings) };
        let Reloaded { settings, tls_config } = (control.reload)().map_err(ReloadError::Read)?;
        if let Some(setting) = first_unreloadable_change(&self.settings, &settings) {
            return Err(ReloadError::NeedsNewProcess { setting });
        }
        control.tls_config = tls_config;
        self.head_limits = head_limits(&settings);
        self.settings = Rc::new(settings);
        Ok(())
    }
}

/// Returns the first setting that has changed and that only a new process can apply.
fn first_unreloadable_change(old: &ProxySettings, new: &ProxySettings) -> Option<&'static str> {
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
    checks.into_iter().find(|(_, is_unchanged)| !is_unchanged).map(|(setting, _)| setting)
}
