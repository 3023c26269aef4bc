//! Accepts connections to servers, discovery and the release service, and reads requests from them.

use super::connection::{Connection, ConnectionId, DelayedAction, Role};
use super::state::Site;
use crate::network::NetworkError;
use crate::network::headers::sending_proxy;
use crate::scenario::FaultKind;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness};
use std::net::{SocketAddr, TcpListener, TcpStream};
use violetseam_event_io::{ReadOutcome, Socket};
use violetseam_http1::server::{ServerConnection, ServerEvent};
use violetseam_http1::{Limits, RequestHead};

/// The length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// The most bytes that one read takes from a connection.
const READ_BUFFER_SIZE: usize = 16 * 1_024;

/// Opens a listening socket at an address.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, NetworkError> {
    violetseam_event_io::listen(address, LISTEN_BACKLOG)
        .map_err(|source| NetworkError::Listen { address, source })
}

impl Site {
    /// Listens for connections to discovery or the release service.
    pub(super) fn listen_http(&mut self, address: SocketAddr, role: Role) -> Result<(), NetworkError> {
        let source = Generic::new(listen(address)?, Interest::READ, Mode::Level);
        let inserted = self.handle.insert_source(source, move |_, listener, site: &mut Site| {
            while let Ok((stream, _)) = listener.accept() {
                site.add_connection(stream, role);
            }
            Ok(PostAction::Continue)
        });
        inserted.map(drop).map_err(|e| NetworkError::Register { address, source: e.error })
    }

    /// Accepts connections to a server up to its limit of open connections.
    pub(super) fn accept_for_server(&mut self, server: u64, listener: &TcpListener) {
        let role = Role::Server(server);
        let limit = self.servers.get(&server).map_or(0, |entry| entry.model.spec.connections);
        loop {
            let open = self.connections.iter().filter(|(_, connection)| connection.role == role).count();
            if open >= limit {
                return self.stop_accepting(server);
            }
            let Ok((stream, _)) = listener.accept() else { return };
            self.add_connection(stream, role);
        }
    }

    /// Stops accepting connections to a server. New connections wait in the kernel's queue until one of the
    /// server's connections is closed.
    fn stop_accepting(&self, server: u64) {
        if let Some(listener) = self.servers.get(&server).and_then(|entry| entry.listener.as_ref()) {
            let _ = self.handle.disable(&listener.token);
        }
    }

    /// Returns the time for which a new connection to a server stays unread, in microseconds, while a fault
    /// slows handshakes down.
    fn handshake_delay(&self, role: Role) -> Option<u64> {
        let Role::Server(_) = role else { return None };
        let fault = self.active_fault(FaultKind::SlowHandshake)?;
        Some((fault.magnitude * 1e3) as u64)
    }

    fn add_connection(&mut self, stream: TcpStream, role: Role) {
        if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
            return;
        }
        let generation = self.pending.next_sequence();
        let delay = self.handshake_delay(role);
        let slot = self.connections.vacant_entry();
        let key = slot.key();
        let interest = if delay.is_some() { Interest::EMPTY } else { Interest::READ };
        let on_ready = move |readiness: Readiness, site: &mut Site| site.on_ready(key, readiness);
        let Ok(socket) = Socket::register(&self.handle, stream, interest, on_ready) else { return };
        slot.insert(Connection {
            generation,
            role,
            socket,
            http: ServerConnection::new(Limits::default()),
            head: None,
            body: Vec::new(),
            attempt: None,
            watch: None,
            sender: None,
            is_partitioned: false,
        });
        if let Some(delay) = delay {
            let connection = ConnectionId { key, generation };
            let action = DelayedAction::StartReading { connection };
            self.pending.schedule(self.clock.now() + delay, action);
        }
    }

    fn on_ready(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            self.flush(key);
        }
        if readiness.readable || readiness.error {
            self.read(key);
        }
    }

    fn read(&mut self, key: usize) {
        let mut buffer = [0; READ_BUFFER_SIZE];
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.read(&mut buffer) {
            ReadOutcome::Bytes(_) if connection.is_partitioned => {}
            ReadOutcome::Bytes(length) => {
                connection.http.feed(&buffer[..length]);
                self.process_events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.close(key),
        }
    }

    /// Processes the requests that have been read from a connection.
    pub(super) fn process_events(&mut self, key: usize) {
        while let Some(connection) =
            self.connections.get_mut(key).filter(|connection| !connection.is_partitioned)
        {
            match connection.http.next_event() {
                None => return,
                Some(ServerEvent::Head(head)) => self.on_head(key, head),
                Some(ServerEvent::Body(bytes)) => connection.body.extend_from_slice(&bytes),
                Some(ServerEvent::End) => match connection.role {
                    Role::Server(server) => self.serve_request(key, server),
                    Role::Discovery => self.serve_discovery(key),
                    Role::ReleaseService => self.serve_release_service(key),
                },
                Some(ServerEvent::Error(_)) => return self.close(key),
            }
        }
    }

    fn on_head(&mut self, key: usize, head: Box<RequestHead>) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let proxy = sending_proxy(&head);
        connection.head = Some(head);
        connection.body.clear();
        let Role::Server(server) = connection.role else { return };
        connection.sender = Some(proxy);
        if self.is_server_partitioned(proxy, server) {
            self.partition_connection(key);
        } else {
            self.on_attempt(key, server);
        }
    }
}
