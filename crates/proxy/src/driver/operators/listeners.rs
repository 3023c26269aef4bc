//! The listeners for control: a Unix-domain socket, and TCP under mutual TLS.

use super::super::Proxy;
use super::connections::{HANDSHAKE_TIMEOUT, IDLE_TIMEOUT};
use super::persistence::{PersistResult, spawn_state_writer};
use super::stream::Transport;
use super::{ControlServer, Operators};
use calloop::channel::{Channel, Event, channel};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use rustls::{ServerConfig, ServerConnection};
use slab::Slab;
use std::collections::VecDeque;
use std::io::{Error, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use violetseam_event_io::Listener;
use violetseam_operator_commands::CommandLog;

/// Operators' connections at once, of each kind, so that a flood from the network leaves the local socket
/// free; further ones are closed unread.
const MAX_CONNECTIONS: usize = 64;
/// Connections accepted in one turn, so that a flood of them leaves time for traffic.
const MAX_ACCEPTS_PER_TURN: usize = 8;
/// Who may open the control socket.
const SOCKET_MODE: u32 = 0o600;

impl Proxy {
    /// Makes all that control needs; operators find it once it is published. In a takeover that is after the
    /// old process has left: what can fail must fail before.
    pub(in super::super) fn open_control(
        &mut self,
        operators: Operators,
        inherited: Option<TcpListener>,
    ) -> Result<()> {
        let Operators { socket: path, tls_config, boot, state, state_writer, reload, set_log, reopen } =
            operators;
        let unpublished_path = unpublished(&path);
        self.listen_on_unix_socket(&unpublished_path)?;
        let tls_listener = match self.settings.control_tls.as_ref().map(|tls| tls.listen) {
            Some(addr) => Some(self.listen_on_tcp(addr, inherited)?),
            None => None,
        };
        let (persisted, results) = channel();
        let to_state_writer = Some(spawn_state_writer(state_writer, persisted.clone())?);
        self.receive_persist_results(results)?;
        self.control_server = Some(ControlServer {
            path,
            unpublished_path: Some(unpublished_path),
            tls_listener,
            tls_config,
            boot,
            command_log: CommandLog::new(state),
            connections: Slab::new(),
            queue: VecDeque::new(),
            in_progress: None,
            to_state_writer,
            persisted,
            reopen,
            path_handed_over: false,
            reload,
            set_log,
            rejected_connections: 0,
        });
        Ok(())
    }

    fn listen_on_unix_socket(&mut self, path: &Path) -> Result<()> {
        let _ = std::fs::remove_file(path);
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
        listener.set_nonblocking(true)?;
        let source = Generic::new(Rc::new(listener), Interest::READ, Mode::Level);
        self.loop_handle
            .insert_source(source, |_, listener, proxy: &mut Proxy| {
                proxy.accept_local_operators(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|error| Error::other(error.to_string()))?;
        Ok(())
    }

    /// Listens on the old process's socket, if it is for this address; else on one of its own.
    fn listen_on_tcp(&mut self, addr: SocketAddr, inherited: Option<TcpListener>) -> Result<Listener> {
        let is_for_addr =
            |listener: &TcpListener| listener.local_addr().is_ok_and(|at| at == addr || addr.port() == 0);
        let listener = match inherited.filter(is_for_addr) {
            Some(listener) => listener,
            None => TcpListener::bind(addr)
                .map_err(|error| Error::other(format!("control_tls: {addr}: {error}")))?,
        };
        listener.set_nonblocking(true)?;
        Listener::register(&self.loop_handle, listener, |listener, proxy: &mut Proxy| {
            proxy.accept_remote_operators(listener);
        })
    }

    fn receive_persist_results(&mut self, results: Channel<PersistResult>) -> Result<()> {
        self.loop_handle
            .insert_source(results, |event, (), proxy: &mut Proxy| {
                if let Event::Msg(persisted) = event {
                    proxy.on_persisted(persisted);
                    proxy.run_engine_actions();
                }
            })
            .map_err(|error| Error::other(error.to_string()))?;
        Ok(())
    }

    /// Lets operators find the control socket.
    pub(in super::super) fn publish_control(&mut self) -> Result<()> {
        let Some(control) = &mut self.control_server else { return Ok(()) };
        if let Some(unpublished_path) = &control.unpublished_path {
            // Takes the place of one that a killed process left behind, or of the old process's in a
            // takeover; two daemons on one identity are kept apart by their lock.
            std::fs::rename(unpublished_path, &control.path)?;
            control.unpublished_path = None;
        }
        Ok(())
    }

    /// The listener for control over TCP.
    pub(in super::super) fn control_listener(&self) -> Option<&TcpListener> {
        let tls_listener = self.control_server.as_ref()?.tls_listener.as_ref()?;
        Some(tls_listener.socket())
    }

    /// The control socket's path is the successor's now.
    pub(in super::super) fn release_control_socket(&mut self) {
        let Some(control) = &mut self.control_server else { return };
        control.path_handed_over = true;
        if let Some(tls_listener) = control.tls_listener.take() {
            tls_listener.remove(&self.loop_handle);
        }
    }

    fn accept_local_operators(&mut self, listener: &UnixListener) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(control) = &mut self.control_server else { return };
            let is_full = control.local_connections() >= MAX_CONNECTIONS;
            if is_full || stream.set_nonblocking(true).is_err() {
                control.rejected_connections += 1;
                continue;
            }
            self.add_operator(Transport::Unix(stream), None, IDLE_TIMEOUT);
        }
    }

    /// Accepts connections over TCP, of whose other side nothing is known yet.
    fn accept_remote_operators(&mut self, listener: &TcpListener) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(control) = &mut self.control_server else { return };
            let Some(tls_config) = control.tls_config.clone() else { return };
            let is_full = control.remote_connections() >= MAX_CONNECTIONS;
            // Full: the connection that has been in its handshake for longest goes, so that a flood of them
            // cannot keep an operator out for longer than a handshake takes.
            let evicted = if is_full { control.oldest_handshake() } else { None };
            let has_place = !is_full || evicted.is_some();
            let Some(tls) = begin_handshake(&stream, tls_config).filter(|_| has_place) else {
                control.rejected_connections += 1;
                continue;
            };
            if let Some(key) = evicted {
                control.rejected_connections += 1;
                self.close_operator(key);
            }
            self.add_operator(Transport::Tcp(stream), Some(Box::new(tls)), HANDSHAKE_TIMEOUT);
        }
    }
}

/// The socket is made under another name and moved, so that it is never there with a wider mode.
fn unpublished(path: &Path) -> PathBuf {
    let mut unpublished = path.to_owned().into_os_string();
    unpublished.push(".new");
    PathBuf::from(unpublished)
}

fn begin_handshake(stream: &TcpStream, tls_config: Arc<ServerConfig>) -> Option<ServerConnection> {
    stream.set_nodelay(true).ok()?;
    stream.set_nonblocking(true).ok()?;
    ServerConnection::new(tls_config).ok()
}
