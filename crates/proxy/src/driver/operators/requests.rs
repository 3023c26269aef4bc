//! Operators' requests. A request is one JSON line, and so is its response.

use super::super::{ConnectionId, Proxy};
use super::commands::QueuedCommand;
use std::ops::ControlFlow;
use violetseam_operator_commands::Command;
use violetseam_operator_commands::wire::{self, Request, Response};

/// A connection with more unwritten bytes than this is closed, because its operator does not read the
/// responses.
const MAX_UNWRITTEN_BYTES: usize = 4 * wire::MAX_LINE_BYTES;

impl Proxy {
    /// Handles all complete lines in a connection's input.
    pub(super) fn handle_requests(&mut self, key: usize) {
        loop {
            let Some(control) = &mut self.control_server else { return };
            let Some(connection) = control.connections.get_mut(key) else { return };
            let Some(line) = connection.take_line() else {
                if connection.input.len() > wire::MAX_LINE_BYTES {
                    self.send_response(key, &Response::Malformed { reason: "line too long".into() });
                    return self.close_operator(key);
                }
                return connection.stream.set_read_interest(&self.loop_handle, true);
            };
            if self.handle_request(key, line.trim_ascii_end()).is_break() {
                return;
            }
        }
    }

    /// Handles one request line. Returns `Break` if no further line of the connection may be handled: the
    /// connection is closed, or it requested a takeover.
    fn handle_request(&mut self, key: usize, line: &[u8]) -> ControlFlow<()> {
        let Some(control) = &self.control_server else { return ControlFlow::Break(()) };
        let Some(connection) = control.connections.get(key) else { return ControlFlow::Break(()) };
        let request = match wire::parse_request(line) {
            Ok(request) => request,
            Err(error) => {
                self.send_response(key, &Response::Malformed { reason: error.to_string() });
                return ControlFlow::Continue(());
            }
        };
        match request {
            Request::Whoami => {
                let version = env!("CARGO_PKG_VERSION").to_owned();
                let response = Response::Whoami { name: self.own_name(), boot: control.boot, version };
                self.send_response(key, &response);
            }
            Request::State => {
                let state = self.daemon_state();
                self.send_response(key, &Response::State(Box::new(state)));
            }
            Request::Takeover if connection.is_local() => {
                self.start_hand_over(key);
                return ControlFlow::Break(());
            }
            Request::Takeover => {
                let reason = "sockets are handed over on the local control socket alone".into();
                self.send_response(key, &Response::Malformed { reason });
            }
            Request::Command(mut command) => {
                add_certificate_holder(&mut command, connection.stream.certificate_holder());
                let id = ConnectionId { key, generation: connection.generation };
                self.queue_command(QueuedCommand { connection: id, command });
            }
        }
        ControlFlow::Continue(())
    }

    /// Sends a response. Closes the connection if the response cannot be sent, or if the operator does not
    /// read.
    pub(super) fn send_response(&mut self, key: usize, response: &Response) {
        let Some(control) = &mut self.control_server else { return };
        let Some(connection) = control.connections.get_mut(key) else { return };
        let send_result = connection.stream.send(&wire::encode_line(response));
        if send_result.is_err() || connection.stream.unwritten_bytes() > MAX_UNWRITTEN_BYTES {
            return self.close_operator(key);
        }
        connection.stream.set_read_interest(&self.loop_handle, true);
    }
}

/// Prefixes the command's issuer with the name in the certificate, which only connections over TCP have.
fn add_certificate_holder(command: &mut Command, holder: Option<String>) {
    if let Some(holder) = holder.filter(|holder| *holder != command.issuer) {
        command.issuer = format!("{holder} as {}", command.issuer);
    }
}
