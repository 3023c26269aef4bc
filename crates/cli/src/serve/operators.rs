//! The durable state and the TLS keys of a proxy that operators control, and how both are loaded again on a
//! reload or after a failed takeover.

use super::Args;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use violetseam_fleet::wall_clock;
use violetseam_operator_store::{OpenedStore, Store, StoreError};
use violetseam_proxy::driver::{Operators, Reloaded, Reopened, SetLog};
use violetseam_settings::{ControlTls, Identity, ProxySettings, read_file};
use violetseam_tls_config::{EXPIRY_WARNING_S, KeyFileError, KeyFiles};

/// The maximum time that a takeover waits for the other process to close the store.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(2);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The key files for control over TCP cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("control_tls: {0}")]
pub struct ControlTlsError(#[source] KeyFileError);

/// Prepares what the proxy needs to take operator commands. Returns `None` if its settings name no control
/// socket.
pub fn operators(
    args: &Args,
    file: &Path,
    settings: &ProxySettings,
    set_log: SetLog,
) -> anyhow::Result<Option<Operators>> {
    let (Some(socket), Some(state_dir)) = (settings.control_socket.clone(), settings.state_dir.clone())
    else {
        return Ok(None);
    };
    let position = settings.decisions.position;
    let tls_config = control_tls(settings)?;
    let opened = open_store(&state_dir, position, args.takeover)?;
    let file = file.to_owned();
    let script_options = args.set.clone();
    let reload = move || {
        let settings = read_file(&file, &script_options)?;
        let tls_config = control_tls(&settings)?;
        Ok(Reloaded { settings, tls_config })
    };
    let reopen = move || {
        let opened = open_store(&state_dir, position, true)?;
        let state_writer = Box::new(opened.store);
        Ok(Reopened { boot: opened.boot, state: opened.state, state_writer })
    };
    Ok(Some(Operators {
        socket,
        tls_config,
        boot: opened.boot,
        state: opened.state,
        state_writer: Box::new(opened.store),
        reload: Box::new(reload),
        reopen: Box::new(reopen),
        set_log,
    }))
}

/// Returns the paths of the key files of an identity.
pub fn key_files(identity: &Identity) -> KeyFiles {
    KeyFiles {
        cert: identity.cert.clone().into(),
        key: identity.key.clone().into(),
        trusted: identity.trusted.clone().into(),
        revoked: identity.revoked.clone().map(PathBuf::from),
    }
}

/// Loads and checks the TLS configuration of control over TCP. Returns `None` if the settings name no address
/// for it.
fn control_tls(settings: &ProxySettings) -> Result<Option<Arc<rustls::ServerConfig>>, ControlTlsError> {
    let Some(ControlTls { identity, .. }) = &settings.control_tls else { return Ok(None) };
    let now_s = (wall_clock() / MICROS_PER_SECOND) as i64;
    let loaded = violetseam_tls_config::server_tls(&key_files(identity), now_s).map_err(ControlTlsError)?;
    if loaded.expires_at_s - now_s < EXPIRY_WARNING_S {
        tracing::warn!(
            cert = identity.cert,
            "the certificate for control over TCP expires in less than two weeks"
        );
    }
    Ok(Some(loaded.config))
}

/// Opens the store. With `wait`, a store that another process has open is tried again until the timeout,
/// because that process closes it in the course of the takeover.
fn open_store(state_dir: &Path, position: usize, wait: bool) -> Result<OpenedStore, StoreError> {
    let opened_at = wall_clock();
    let deadline = Instant::now() + STORE_WAIT_TIMEOUT;
    loop {
        match Store::open(state_dir, position, opened_at) {
            Err(StoreError::InUse { .. }) if wait && Instant::now() < deadline => {
                std::thread::sleep(STORE_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
