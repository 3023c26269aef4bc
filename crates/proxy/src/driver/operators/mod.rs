//! Operators' queries and commands, received on the control sockets (local and TCP).
//!
//! `violetseam-operator-commands` decides on the effect of a command. A command is stored durably before it
//! is applied and answered. The state writer runs on its own thread, because a slow disk must not delay
//! client requests; while a command is being stored, later commands wait. A command that cannot be stored is
//! rejected and changes nothing.
//!
//! - `listeners`: the control sockets, and how connections are accepted from them
//! - `connections`, `stream`: operators' connections, without TLS over the local socket and with TLS over TCP
//! - `requests`: request lines and their responses
//! - `commands`, `persistence`: the execution of commands, and the thread that stores them
//! - `daemon_state`: the state that operators read
//! - `reload`: the reload of the settings

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

/// An error from the daemon that runs this proxy.
pub type DaemonError = Box<dyn std::error::Error + Send + Sync>;

/// Why a [`StateWriter`] failed.
pub type StateWriterError = DaemonError;

/// Stores the state that must outlive the process. It is called on its own thread.
pub trait StateWriter: Send {
    /// Stores the state and appends a line to the audit log. Returns only when both would survive a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the state or the line could not be stored. Then neither is stored, or it is
    /// unknown whether they are.
    fn write(&mut self, state: &PersistedState, audit_line: &str) -> Result<(), StateWriterError>;
}

/// What a reload replaces while the proxy runs.
#[derive(Debug)]
pub struct Reloaded {
    /// The settings that were read.
    pub settings: ProxySettings,
    /// The TLS configuration for control over TCP. Open connections keep the one that they started with.
    pub tls_config: Option<Arc<ServerConfig>>,
}

/// A function that reads the settings again.
pub type Reload = Box<dyn FnMut() -> Result<Reloaded, DaemonError>>;
/// A function that sets the log filter.
pub type SetLog = Box<dyn FnMut(&str) -> Result<(), DaemonError>>;

/// A store that was opened again after a takeover that failed.
pub struct Reopened {
    /// The boot number, which is one more than before.
    pub boot: u64,
    /// The state in the store.
    pub state: PersistedState,
    /// The writer that stores later states.
    pub state_writer: Box<dyn StateWriter>,
}

/// A function that opens the store again after a takeover that failed.
pub type Reopen = Box<dyn FnMut() -> Result<Reopened, DaemonError>>;

/// What a daemon passes to its proxy, so that operators can control it.
pub struct Operators {
    /// The path of the control socket, which is created with mode 0600.
    pub socket: PathBuf,
    /// The TLS configuration for control over TCP, if the settings name an address for it.
    pub tls_config: Option<Arc<ServerConfig>>,
    /// The boot number, which increases each time the store is opened.
    pub boot: u64,
    /// The state that an earlier process stored.
    pub state: PersistedState,
    /// The writer that stores the state that must outlive this process.
    pub state_writer: Box<dyn StateWriter>,
    /// Reads the settings again.
    pub reload: Reload,
    /// Sets the log filter.
    pub set_log: SetLog,
    /// Opens the store again after a takeover that failed.
    pub reopen: Reopen,
}

/// The server side of the control sockets of one proxy.
pub(super) struct ControlServer {
    socket_path: PathBuf,
    /// The path of the socket until it is published, which means renamed to `socket_path`; `None` afterwards.
    unpublished_path: Option<PathBuf>,
    /// The listener for control over TCP, if the settings name an address for it.
    tls_listener: Option<Listener>,
    tls_config: Option<Arc<ServerConfig>>,
    boot: u64,
    command_log: CommandLog,
    connections: Slab<Connection>,
    queued_commands: VecDeque<QueuedCommand>,
    /// The command that is being stored.
    command_in_progress: Option<CommandInProgress>,
    /// The channel to the state writer's thread; `None` while a process that takes over has the store.
    persist_requests: Option<std::sync::mpsc::Sender<PersistRequest>>,
    /// The sending side of the channel on which the state writer's thread returns its results.
    persist_results: Sender<PersistResult>,
    reopen: Reopen,
    /// Whether a process that has taken over owns the socket at `socket_path`, which must then not be
    /// removed.
    is_path_handed_over: bool,
    reload: Reload,
    set_log: SetLog,
    /// How many connections have been rejected since the last log line about them.
    rejected_connections: u64,
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        if let Some(unpublished_path) = &self.unpublished_path {
            let _ = std::fs::remove_file(unpublished_path);
        } else if !self.is_path_handed_over {
            let _ = std::fs::remove_file(&self.socket_path);
        }
    }
}

/// Returns the wall clock's time in microseconds since 1970.
pub(super) fn wall_clock() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
