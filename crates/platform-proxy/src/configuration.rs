//! Reads the configuration file at the start, and again on SIGHUP.

use crate::error::ConfigError;
use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use crate::transient_errors::retry_transient_errors;
use std::path::Path;
use violetseam::interface::Micros;
use violetseam_platform_protocol::config::Config;

/// The interval between two attempts to read the configuration in one reload.
const RELOAD_RETRY_INTERVAL: Micros = 200_000;
/// How many times a reload tries to read the configuration.
pub(super) const MAX_RELOAD_ATTEMPTS: u32 = 25;

/// Reads the configuration at the start. An error that is likely to be transient is retried for ten seconds.
///
/// # Errors
/// Returns [`ConfigError::Read`] if the file cannot be read, and [`ConfigError::Parse`] if its content is not
/// a valid configuration.
pub fn read_config(file: &Path) -> Result<Config, ConfigError> {
    parse_config(file, retry_transient_errors("reading the configuration file", || std::fs::read(file)))
}

fn parse_config(file: &Path, content: std::io::Result<Vec<u8>>) -> Result<Config, ConfigError> {
    let content = content.map_err(|source| ConfigError::Read { file: file.into(), source })?;
    Config::parse(&content).map_err(|source| ConfigError::Parse { file: file.into(), source })
}

impl Proxy {
    /// Continues a reload, unless a later one has begun.
    pub(super) fn retry_reload(&mut self, generation: u64, attempts_left: u32) {
        if generation == self.reload_generation {
            self.reload(attempts_left);
        }
    }

    /// Handles SIGHUP. The new addresses take effect at once. If the file cannot be read or is only partly
    /// written, the old addresses stay in effect and the file is read again later, as long as attempts are
    /// left. Reading it again matters because, after the order to move, discovery counts what it sends from
    /// the new address as received even if this proxy still uses the old one.
    pub(super) fn reload(&mut self, attempts_left: u32) {
        self.reload_generation = self.next_generation();
        match parse_config(&self.config_file, std::fs::read(&self.config_file)) {
            Err(error) if attempts_left > 1 => {
                tracing::warn!("reload: {error}; the old configuration stays for now");
                let retry = TimerKind::RetryReload {
                    generation: self.reload_generation,
                    attempts_left: attempts_left - 1,
                };
                self.timers.set(self.now() + RELOAD_RETRY_INTERVAL, retry);
            }
            Err(error) => tracing::error!("reload: {error}; the old configuration stays"),
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, pipeline = %config.release_service, "reload");
                self.move_discovery(config.discovery);
                self.move_release_service(config.release_service);
            }
        }
        self.run_engine_actions();
    }
}
