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
const MAX_RELOAD_ATTEMPTS: u32 = 25;
/// For how long a reload tries to read the configuration.
pub(super) const MAX_RELOAD_TIME: Micros = RELOAD_RETRY_INTERVAL * MAX_RELOAD_ATTEMPTS as Micros;

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
    /// Handles SIGHUP.
    pub(super) fn begin_reload(&mut self) {
        self.reload(self.now(), MAX_RELOAD_ATTEMPTS);
    }

    /// Continues a reload, unless a later one has begun.
    pub(super) fn retry_reload(&mut self, generation: u64, ordered_at: Micros, attempts_left: u32) {
        if generation == self.reload_generation {
            self.reload(ordered_at, attempts_left);
        }
    }

    /// Reads the configuration again, as ordered at that time. The new addresses take effect at once. If the
    /// file cannot be read or is only partly written, the old addresses stay in effect and the file is read
    /// again later, as long as attempts are left. Reading it again matters because, after the order to move,
    /// discovery counts what it sends from the new address as received even if this proxy still uses the old
    /// one.
    fn reload(&mut self, ordered_at: Micros, attempts_left: u32) {
        self.reload_generation = self.next_generation();
        let config = parse_config(&self.config_file, std::fs::read(&self.config_file));
        self.discovery.unread_move_order = config.is_err().then_some(ordered_at);
        match config {
            Err(error) if attempts_left > 1 => {
                tracing::warn!("reload: {error}; the old configuration stays for now");
                let retry = TimerKind::RetryReload {
                    generation: self.reload_generation,
                    ordered_at,
                    attempts_left: attempts_left - 1,
                };
                self.timers.set(self.now() + RELOAD_RETRY_INTERVAL, retry);
            }
            Err(error) => tracing::error!("reload: {error}; the old configuration stays"),
            Ok(config) => {
                tracing::info!(discovery = %config.discovery, pipeline = %config.release_service, "reload");
                self.move_discovery(config.discovery, ordered_at);
                self.move_release_service(config.release_service);
            }
        }
        self.run_engine_actions();
    }
}
