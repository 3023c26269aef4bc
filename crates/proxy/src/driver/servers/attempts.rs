//! Starts attempts, on idle connections or new ones, and closes the connections of attempts that the engine
//! ends.

use super::super::timers::{StateTimeout, TimerKind};
use super::super::{ConnectionId, Proxy};
use super::{ActiveAttempt, AttemptId, ConnectionState, Server};
use crate::driver::clients::InFlightRequest;
use calloop::{Interest, Readiness};
use violetseam::interface::{Outcome, RequestId, ServerId};
use violetseam_event_io::{Socket, connect};
use violetseam_http1::client::ClientConnection;
use violetseam_http1::{write_chunk, write_last_chunk};

impl Proxy {
    /// Starts an attempt on an idle connection, or on a new one if none is idle.
    pub(in super::super) fn start_attempt(&mut self, request: RequestId, attempt: usize, server: ServerId) {
        // An attempt that was cancelled by the same round of actions that started it is not sent at all.
        if !self.engine.is_attempt_pending(request, attempt) || !self.is_client_present(request) {
            return;
        }
        self.count_attempt(server);
        let Some(in_flight) = self.in_flight.get_mut(&request) else { return };
        in_flight.connections.resize(attempt + 1, None);
        let id = AttemptId { request, attempt };
        if let Some(key) = self.take_idle_connection(server) {
            if let Some(connection) = self.servers.get_mut(key) {
                connection.state = ConnectionState::Busy(ActiveAttempt::new(id));
            }
            self.set_attempt_connection(id, Some(key));
            self.send_request(key);
            #[cfg(feature = "sabotage")]
            self.send_twice(request, server);
            return;
        }
        if self.connect_for_attempt(server, id).is_none() {
            self.end_attempt(request, attempt, Outcome::ConnectFailed);
        }
    }

    /// Takes the connection that became idle most recently out of the pool. Connections that their server has
    /// closed meanwhile are closed here. Because this is noticed before anything is sent, no request is lost
    /// on them.
    fn take_idle_connection(&mut self, id: ServerId) -> Option<usize> {
        while let Some(key) = self.idle_servers.pop_newest(&id) {
            let Some(server) = self.servers.get(key) else { continue };
            if !server.socket.is_stale() {
                return Some(key);
            }
            self.close_server(key);
        }
        None
    }

    /// Starts to connect to a server for an attempt. Returns `None` if the server's address is unknown or
    /// connecting fails at once.
    fn connect_for_attempt(&mut self, id: ServerId, attempt: AttemptId) -> Option<()> {
        let stream = connect(self.server_list.address(id)?).ok()?;
        let generation = self.next_generation();
        let timeout_at = self.now() + self.settings.connections.connect_timeout;
        let entry = self.servers.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_server_ready(key, readiness);
        let socket = Socket::register(&self.loop_handle, stream, Interest::WRITE, on_ready).ok()?;
        let kind = TimerKind::Server(ConnectionId { key, generation });
        entry.insert(Server {
            generation,
            id,
            socket,
            http: ClientConnection::new(self.head_limits),
            state: ConnectionState::Connecting(ActiveAttempt::new(attempt)),
            timeout: StateTimeout::start(timeout_at, &mut self.timers, kind),
        });
        self.set_attempt_connection(attempt, Some(key));
        Some(())
    }

    /// Writes the request on an established connection.
    pub(super) fn send_request(&mut self, key: usize) {
        let Some(server) = self.servers.get_mut(key) else { return };
        let Some(active) = server.active() else { return };
        let request = active.id.request;
        let Some(in_flight) = self.in_flight.get(&request) else { return self.close_server(key) };
        server.http.expect_response(in_flight.is_head_request);
        write_request(server.socket.write_buffer(), in_flight);
        if !in_flight.is_body_complete
            || in_flight.body.len() > self.settings.connections.max_retained_body_bytes
        {
            // The part of the body that arrives from here on is sent only to this server and not buffered.
            self.engine.mark_not_repeatable(request);
        }
        self.flush_server(key);
    }

    /// Closes the connection of an attempt that the engine has ended, because its response could still arrive
    /// at any time.
    pub(in super::super) fn close_attempt(&mut self, request: RequestId, attempt: usize) {
        let Some(request) = self.in_flight.get_mut(&request) else { return };
        let connection = request.connections.get_mut(attempt).and_then(Option::take);
        if let Some(key) = connection {
            self.close_server(key);
        }
    }

    /// Records which connection an attempt is on, or with `None` that it is on none any more.
    pub(super) fn set_attempt_connection(&mut self, id: AttemptId, key: Option<usize>) {
        let Some(in_flight) = self.in_flight.get_mut(&id.request) else { return };
        if let Some(connection) = in_flight.connections.get_mut(id.attempt) {
            *connection = key;
        }
    }

    /// Sabotage: sends every twentieth request a second time, without the engine's knowledge.
    #[cfg(feature = "sabotage")]
    fn send_twice(&mut self, request: RequestId, id: ServerId) {
        if self.sabotage != Some(crate::driver::Sabotage::DoubleSend) || !request.is_multiple_of(20) {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        let Some(address) = self.server_list.address(id) else { return };
        let bytes = [&in_flight.head[..], &in_flight.body].concat();
        std::thread::spawn(move || {
            use std::io::{Read, Write};
            if let Ok(mut stream) = std::net::TcpStream::connect(address) {
                let _ = stream.write_all(&bytes);
                let _ = stream.set_read_timeout(Some(std::time::Duration::from_millis(500)));
                let _ = stream.read(&mut [0; 1024]);
            }
        });
    }
}

/// Appends the head and the buffered part of the body of a request.
fn write_request(buffer: &mut Vec<u8>, request: &InFlightRequest) {
    buffer.extend_from_slice(&request.head);
    if !request.is_chunked {
        buffer.extend_from_slice(&request.body);
        return;
    }
    write_chunk(buffer, &request.body);
    if request.is_body_complete {
        write_last_chunk(buffer);
    }
}
