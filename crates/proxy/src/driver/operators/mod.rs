//! The control sockets, local and TCP: operators' queries and commands.
//!
//! What a command leads to is decided in `violetseam-operator-commands`. A command is stored durably before
//! it is applied and answered: the state writer works on a thread of its own, as a slow disk must not hold up
//! traffic, and commands wait for each other meanwhile. A command that cannot be stored is rejected and
//! changes nothing.
//!
//! - `listeners`: the control sockets, and accepting from them
//! - `connections`, `stream`: operators' connections, in plain text or under TLS
//! - `requests`: a request line and its response
//! - `commands`, `persistence`: commands, and the thread that stores them
//! - `daemon_state`: the state that operators read
//! - `reload`: settings that are read again

pub(super) mod commands;
mod connections;
pub(super) mod daemon_state;
mod listeners;
mod persistence;
mod reload;
mod requests;
mod stream;

use calloop::channel::Sender;
use commands::{CommandInProgress, QueuedCommand};
use connections::Connection;
use persistence::{PersistRequest, PersistResult};
use rustls::ServerConfig;
use slab::Slab;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use violetseam_event_io::Listener;
use violetseam_operator_commands::{CommandLog, PersistedState};
use violetseam_settings::ProxySettings;

/// An error of the daemon round this proxy.
pub type DaemonError = Box<dyn std::error::Error + Send + Sync>;

/// Why a [`StateWriter`] failed.
pub type StateWriterError = DaemonError;

/// Stores what must outlive the process. Called on a thread of its own.
pub trait StateWriter: Send {
    /// Stores the state and appends a line to the audit log; returns only when both would survive a crash.
    ///
    /// # Errors
    /// If the state or the line could not be stored. Then neither is, or it is unknown whether they are.
    fn write(&mut self, state: &PersistedState, audit_line: &str) -> Result<(), StateWriterError>;
}

/// What a reload may change while the proxy runs.
#[derive(Debug)]
pub struct Reloaded {
    /// The settings.
    pub settings: ProxySettings,
    /// TLS for control over TCP; connections that are open go on with that which they began with.
    pub tls_config: Option<Arc<ServerConfig>>,
}

/// Reads the settings again.
pub type Reload = Box<dyn FnMut() -> Result<Reloaded, DaemonError>>;
/// Sets another log filter.
pub type SetLog = Box<dyn FnMut(&str) -> Result<(), DaemonError>>;

/// The store, opened again.
pub struct Reopened {
    /// The boot number, one more.
    pub boot: u64,
    /// What it holds.
    pub state: PersistedState,
    /// Stores what comes.
    pub state_writer: Box<dyn StateWriter>,
}

/// Opens the store again, after a takeover that failed halfway.
pub type Reopen = Box<dyn FnMut() -> Result<Reopened, DaemonError>>;

/// What a daemon gives its proxy.
pub struct Operators {
    /// Where the control socket is made, with mode 0600.
    pub socket: PathBuf,
    /// TLS for control over TCP, where the settings name an address for it.
    pub tls_config: Option<Arc<ServerConfig>>,
    /// The boot number.
    pub boot: u64,
    /// What outlived the process before.
    pub state: PersistedState,
    /// Stores what must outlive this one.
    pub state_writer: Box<dyn StateWriter>,
    /// Reads the settings again.
    pub reload: Reload,
    /// Sets another log filter.
    pub set_log: SetLog,
    /// Opens the store again.
    pub reopen: Reopen,
}

/// Control of one proxy by its operators.
pub(super) struct ControlServer {
    path: PathBuf,
    /// Where the socket is until it is moved to its path.
    unpublished_path: Option<PathBuf>,
    /// For control over TCP.
    tls_listener: Option<Listener>,
    tls_config: Option<Arc<ServerConfig>>,
    boot: u64,
    command_log: CommandLog,
    connections: Slab<Connection>,
    queue: VecDeque<QueuedCommand>,
    /// The command that is being stored.
    in_progress: Option<CommandInProgress>,
    /// To the state writer's thread; none while the store is with a process that takes over.
    to_state_writer: Option<std::sync::mpsc::Sender<PersistRequest>>,
    /// From the state writer's thread.
    persisted: Sender<PersistResult>,
    reopen: Reopen,
    /// The path is another process's now.
    path_handed_over: bool,
    reload: Reload,
    set_log: SetLog,
    /// Connections that were closed unread, since that was last logged.
    rejected_connections: u64,
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        if let Some(unpublished_path) = &self.unpublished_path {
            let _ = std::fs::remove_file(unpublished_path);
        } else if !self.path_handed_over {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Microseconds since 1970.
pub(super) fn wall_clock() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
