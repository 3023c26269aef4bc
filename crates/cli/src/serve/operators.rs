//! What makes a proxy a daemon with operators: its durable state, its keys, and how both are read again.

use super::Args;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use violetseam_fleet::wall_clock;
use violetseam_operator_store::{OpenedStore, Store, StoreError};
use violetseam_proxy::driver::{Operators, Reloaded, Reopened, SetLog};
use violetseam_settings::{Identity, ProxySettings, read_file};
use violetseam_tls_config::{EXPIRY_WARNING_S, KeyFileError, KeyFiles};

/// How long a takeover waits for the other process to close the store.
const STORE_WAIT_TIMEOUT: Duration = Duration::from_secs(2);
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(2);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The keys for control over TCP cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("control_tls: {0}")]
pub struct ControlTlsError(#[source] KeyFileError);

/// What the proxy needs as a daemon, where its settings name a control socket.
pub fn operators(
    args: &Args,
    file: &Path,
    settings: &ProxySettings,
    set_log: SetLog,
) -> anyhow::Result<Option<Operators>> {
    let (Some(socket), Some(state_dir)) = (settings.control.clone(), settings.state_dir.clone()) else {
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

/// The files that settings name.
pub fn key_files(identity: &Identity) -> KeyFiles {
    KeyFiles {
        cert: identity.cert.clone().into(),
        key: identity.key.clone().into(),
        trusted: identity.trusted.clone().into(),
        revoked: identity.revoked.clone().map(PathBuf::from),
    }
}

/// The TLS settings of control over TCP, checked; `None` where the settings name no address for it.
fn control_tls(settings: &ProxySettings) -> Result<Option<Arc<rustls::ServerConfig>>, ControlTlsError> {
    let Some((_, identity)) = &settings.control_tls else { return Ok(None) };
    let now_s = (wall_clock() / MICROS_PER_SECOND) as i64;
    let loaded = violetseam_tls_config::server_tls(&key_files(identity), now_s).map_err(ControlTlsError)?;
    if loaded.expires_at_s - now_s < EXPIRY_WARNING_S {
        tracing::warn!(cert = identity.cert, "the certificate for control over TCP ends in under two weeks");
    }
    Ok(Some(loaded.config))
}

/// Opens the store; in a takeover the other process closes it at any moment, so it is waited for.
fn open_store(state_dir: &Path, position: usize, wait: bool) -> Result<OpenedStore, StoreError> {
    let opened_at = wall_clock();
    let wait_until = Instant::now() + STORE_WAIT_TIMEOUT;
    loop {
        match Store::open(state_dir, position, opened_at) {
            Err(StoreError::InUse { .. }) if wait && Instant::now() < wait_until => {
                std::thread::sleep(STORE_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
