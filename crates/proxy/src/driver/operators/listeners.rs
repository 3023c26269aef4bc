//! The control listeners: a Unix-domain socket, and TCP with mutual TLS.

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

/// How many operators' connections may be open over the local socket, and how many over TCP. The two are
/// counted separately, so that a flood from the network does not block the local socket. Connections over the
/// limit are closed without being read.
const MAX_CONNECTIONS_PER_TRANSPORT: usize = 64;
/// How many connections are accepted in one iteration of the event loop, so that a flood of them does not
/// delay client requests.
const MAX_ACCEPTS_PER_ITERATION: usize = 8;
/// The mode of the control socket: only the owner may connect.
const SOCKET_MODE: u32 = 0o600;

impl Proxy {
    /// Opens the control listeners and starts the state writer. Operators can reach the control socket once
    /// it is published. In a takeover that happens after the old process has stopped serving, so everything
    /// that can fail is done here, before that.
    pub(in super::super) fn open_control(
        &mut self,
        operators: Operators,
        inherited: Option<TcpListener>,
    ) -> Result<()> {
        let Operators { socket: path, tls_config, boot, state, state_writer, reload, set_log, reopen } =
            operators;
        let unpublished_path = unpublished_path(&path);
        self.listen_on_unix_socket(&unpublished_path)?;
        let tls_listener = match self.settings.control_tls.as_ref().map(|tls| tls.listen) {
            Some(addr) => Some(self.listen_on_tcp(addr, inherited)?),
            None => None,
        };
        let (persist_results, received_results) = channel();
        let persist_requests = Some(spawn_state_writer(state_writer, persist_results.clone())?);
        self.receive_persist_results(received_results)?;
        self.control_server = Some(ControlServer {
            socket_path: path,
            unpublished_path: Some(unpublished_path),
            tls_listener,
            tls_config,
            boot,
            command_log: CommandLog::new(state),
            connections: Slab::new(),
            queued_commands: VecDeque::new(),
            command_in_progress: None,
            persist_requests,
            persist_results,
            reopen,
            is_path_handed_over: false,
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

    /// Listens on the socket inherited from the old process if that is bound to `addr`, and otherwise binds a
    /// new one.
    fn listen_on_tcp(&mut self, addr: SocketAddr, inherited: Option<TcpListener>) -> Result<Listener> {
        let listens_on_addr = |listener: &TcpListener| {
            listener.local_addr().is_ok_and(|local_addr| local_addr == addr || addr.port() == 0)
        };
        let listener = match inherited.filter(listens_on_addr) {
            Some(listener) => listener,
            None => TcpListener::bind(addr)
                .map_err(|error| Error::other(format!("control_tls: cannot listen on {addr}: {error}")))?,
        };
        listener.set_nonblocking(true)?;
        Listener::register(&self.loop_handle, listener, |listener, proxy: &mut Proxy| {
            proxy.accept_remote_operators(listener);
        })
    }

    fn receive_persist_results(&mut self, results: Channel<PersistResult>) -> Result<()> {
        self.loop_handle
            .insert_source(results, |event, (), proxy: &mut Proxy| {
                if let Event::Msg(persist_result) = event {
                    proxy.on_persisted(persist_result);
                    proxy.run_engine_actions();
                }
            })
            .map_err(|error| Error::other(error.to_string()))?;
        Ok(())
    }

    /// Renames the control socket to its path, where operators can connect to it.
    pub(in super::super) fn publish_control(&mut self) -> Result<()> {
        let Some(control) = &mut self.control_server else { return Ok(()) };
        if let Some(unpublished_path) = &control.unpublished_path {
            // The rename replaces a socket that a killed process left behind or, in a takeover, the socket of
            // the old process. It cannot replace the socket of another daemon with the same identity, because
            // a lock prevents two such daemons from running.
            std::fs::rename(unpublished_path, &control.socket_path)?;
            control.unpublished_path = None;
        }
        Ok(())
    }

    /// Returns the listener for control over TCP, if there is one.
    pub(in super::super) fn control_listener(&self) -> Option<&TcpListener> {
        let tls_listener = self.control_server.as_ref()?.tls_listener.as_ref()?;
        Some(tls_listener.socket())
    }

    /// Leaves the control socket's path to the process that has taken over, and stops listening over TCP.
    pub(in super::super) fn release_control_socket(&mut self) {
        let Some(control) = &mut self.control_server else { return };
        control.is_path_handed_over = true;
        if let Some(tls_listener) = control.tls_listener.take() {
            tls_listener.remove(&self.loop_handle);
        }
    }

    fn accept_local_operators(&mut self, listener: &UnixListener) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(control) = &mut self.control_server else { return };
            let is_full = control.local_connection_count() >= MAX_CONNECTIONS_PER_TRANSPORT;
            if is_full || stream.set_nonblocking(true).is_err() {
                control.rejected_connections += 1;
                continue;
            }
            self.add_operator_connection(Transport::Unix(stream), None, IDLE_TIMEOUT);
        }
    }

    /// Accepts connections over TCP. Their peers are not authenticated until the handshake is complete.
    fn accept_remote_operators(&mut self, listener: &TcpListener) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Ok((stream, _)) = listener.accept() else { return };
            let Some(control) = &mut self.control_server else { return };
            let Some(tls_config) = control.tls_config.clone() else { return };
            let is_full = control.remote_connection_count() >= MAX_CONNECTIONS_PER_TRANSPORT;
            // At the limit, the connection that has been in its handshake for the longest time is closed, so
            // that a flood of connections cannot keep an operator out for longer than a handshake may take.
            let evicted = if is_full { control.oldest_handshake() } else { None };
            let has_room = !is_full || evicted.is_some();
            let Some(tls) = begin_handshake(&stream, tls_config).filter(|_| has_room) else {
                control.rejected_connections += 1;
                continue;
            };
            if let Some(key) = evicted {
                control.rejected_connections += 1;
                self.close_operator(key);
            }
            self.add_operator_connection(Transport::Tcp(stream), Some(Box::new(tls)), HANDSHAKE_TIMEOUT);
        }
    }
}

/// Returns the path under which the socket is created. It is renamed once its mode is set, so that the socket
/// is never reachable at its path with a wider mode.
fn unpublished_path(path: &Path) -> PathBuf {
    let mut unpublished_path = path.to_owned().into_os_string();
    unpublished_path.push(".new");
    PathBuf::from(unpublished_path)
}

fn begin_handshake(stream: &TcpStream, tls_config: Arc<ServerConfig>) -> Option<ServerConnection> {
    stream.set_nodelay(true).ok()?;
    stream.set_nonblocking(true).ok()?;
    ServerConnection::new(tls_config).ok()
}
