//! Reads commands from client connections and writes responses to them.
//!
//! Responses are written in the order of a connection's commands. A malformed call is answered with an error,
//! after which the connection is closed; no part of it reaches the engine or a server.

use crate::client::{
    Client, ClientState, ClientTimeout, MAX_LINGER_BYTES, MAX_PIPELINED_COMMANDS, PendingResponse,
};
use crate::client_input::ClientInput;
use crate::event_loop::ConnectionId;
use crate::metrics::CloseReason;
use crate::proxy::Proxy;
use calloop::Readiness;
use violetseam::interface::Micros;
use violetseam_event_io::ReadOutcome;
use violetseam_platform_protocol::call::{self, Command};
use violetseam_platform_protocol::response;
use violetseam_resp::{Bounds, command};

/// The error that a client gets for a burst of more commands than may wait on one connection.
const TOO_MANY_COMMANDS: &str = "too many commands at once";

/// How often a connection whose command is late is read before it is closed. These reads hold the longest
/// command.
const MAX_READS_AT_TIMEOUT: usize = 4;

/// What has become of a connection's input.
enum HandledInput {
    /// Every complete command has been handled.
    UpToDate,
    /// Commands wait until there is room for their responses, or for the next turn of the event loop.
    Waiting,
    /// The rest of the input cannot be accepted.
    Rejected(String),
}

/// Returns how many complete commands the input starts with, counting one more than may wait at most.
fn count_commands(mut input: &[u8], bounds: &Bounds) -> usize {
    let mut count = 0;
    while count <= MAX_PIPELINED_COMMANDS
        && let Ok(Some(command)) = command::parse(input, bounds)
    {
        input = &input[command.length..];
        count += 1;
    }
    count
}

impl Proxy {
    /// Removes a connection. This is the only place where a client connection ends: its client has left, or
    /// this side gives it up. The requests on it that have no final response need none any more.
    pub(super) fn end_client(&mut self, slot: usize, reason: CloseReason) {
        let Some(mut client) = self.clients.try_remove(slot) else { return };
        client.socket.remove(&self.loop_handle);
        self.memory.input.restate(&mut client.stated_input_bytes, 0);
        self.memory.responses.restate(&mut client.stated_response_bytes, 0);
        self.metrics.count_close(reason);
        let is_own_decision = matches!(reason, CloseReason::Evicted | CloseReason::Lingered);
        self.closed_while_pending += u64::from(is_own_decision && !client.is_fully_answered());
        let pending = client.pending_responses.len();
        tracing::debug!(client = slot, ?reason, state = ?client.state, pending, "connection closed");
        let now = self.now();
        for request in client.pending_responses.iter().filter_map(PendingResponse::request) {
            tracing::debug!(request, client = slot, "abandoned by its client");
            self.metrics.abandoned_requests += 1;
            self.engine.on_client_disconnected(now, request);
        }
    }

    /// Handles an event on the connection.
    pub(super) fn on_client_readiness(&mut self, slot: usize, readiness: Readiness) {
        if self.clients.get(slot).is_some_and(|client| client.state == ClientState::Ended) {
            // In this state the connection is registered for no events, so any event means that the client
            // has closed it as well.
            return self.end_client(slot, CloseReason::Lingered);
        }
        if readiness.writable {
            self.flush_client(slot);
        }
        if readiness.readable || readiness.error {
            self.read_client(slot);
        }
        self.run_engine_actions();
    }

    /// Reads from the connection as far as the turn allows. Returns whether there was anything to read,
    /// including the end of the connection, or may have been.
    pub(super) fn read_client(&mut self, slot: usize) -> bool {
        let turn = self.turn;
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        let mut any_read = false;
        while let Some(client) = self.clients.get_mut(slot) {
            if !client.turn_usage.take_read(turn) {
                any_read = true;
                break;
            }
            let outcome = client.socket.read(&mut read_buffer);
            any_read |= outcome != ReadOutcome::WouldBlock;
            match outcome {
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed | ReadOutcome::Failed => self.end_client(slot, CloseReason::ClientLeft),
                ReadOutcome::Bytes(length) => self.on_client_bytes(slot, &read_buffer[..length]),
            }
            // An open connection is read once: its input must be handled, or waits.
            if self.is_client_open(slot) {
                break;
            }
        }
        self.read_buffer = read_buffer;
        self.restate_client(slot);
        self.relieve_input();
        self.update_client_interest(slot);
        any_read
    }

    /// Handles bytes that were read.
    fn on_client_bytes(&mut self, slot: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(slot) else { return };
        match client.state {
            ClientState::Open => {
                client.input.append(bytes, now);
                self.handle_input(slot);
                self.reject_excess_input(slot);
            }
            ClientState::Closing | ClientState::Ended => {}
            ClientState::Lingering(dropped) if dropped + bytes.len() < MAX_LINGER_BYTES => {
                client.state = ClientState::Lingering(dropped + bytes.len());
            }
            ClientState::Lingering(_) => self.end_client(slot, CloseReason::Lingered),
        }
    }

    /// Rejects the input of a connection on which commands wait if it is longer than one command may be. The
    /// connection has to be read on, and what is read cannot be kept.
    fn reject_excess_input(&mut self, slot: usize) {
        let max_input_bytes = self.bounds.max_message_bytes;
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.state == ClientState::Open && client.input.bytes().len() > max_input_bytes {
            self.reject_malformed(slot, TOO_MANY_COMMANDS);
            self.flush_client(slot);
        }
    }

    /// Handles the commands in the input.
    fn handle_input(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let mut input = std::mem::take(&mut client.input);
        client.is_parsing = true;
        let handled = self.handle_commands(slot, &mut input);
        if let Some(client) = self.clients.get_mut(slot) {
            client.is_parsing = false;
            client.has_waiting_commands = matches!(handled, HandledInput::Waiting);
            client.input = input;
        }
        if let HandledInput::Rejected(reason) = handled
            && self.is_client_open(slot)
        {
            self.reject_malformed(slot, &reason);
        }
        self.drop_unwanted_input(slot);
        self.flush_client(slot);
    }

    /// Handles as many commands as the turn and the room for responses allow. A burst of more commands than
    /// may wait is rejected whole: an accepted request must be answered, so none of it may be accepted.
    fn handle_commands(&mut self, slot: usize, input: &mut ClientInput) -> HandledInput {
        let bounds = self.bounds;
        let turn = self.turn;
        if count_commands(input.bytes(), &bounds) > MAX_PIPELINED_COMMANDS {
            return HandledInput::Rejected(TOO_MANY_COMMANDS.to_owned());
        }
        loop {
            let command = match command::parse(input.bytes(), &bounds) {
                Ok(Some(command)) => command,
                Ok(None) => return HandledInput::UpToDate,
                Err(error) => return HandledInput::Rejected(error.to_string()),
            };
            let Some(client) = self.clients.get_mut(slot).filter(|client| client.state == ClientState::Open)
            else {
                return HandledInput::UpToDate;
            };
            if client.has_response_backlog() || !client.turn_usage.take_request(turn) {
                return HandledInput::Waiting;
            }
            client.has_sent_command = true;
            let length = command.length;
            let arrived_at = input.arrived_at(length);
            self.handle_command(slot, &command.arguments, arrived_at);
            input.consume(length);
        }
    }

    /// Drops the input of a connection that accepts nothing any more.
    fn drop_unwanted_input(&mut self, slot: usize) {
        if let Some(client) = self.clients.get_mut(slot)
            && client.state != ClientState::Open
        {
            client.input = ClientInput::default();
            client.has_waiting_commands = false;
        }
    }

    fn is_client_open(&self, slot: usize) -> bool {
        self.clients.get(slot).is_some_and(|client| client.state == ClientState::Open)
    }

    /// Handles one command. `arrived_at` is when its last byte was read.
    fn handle_command(&mut self, slot: usize, arguments: &[&[u8]], arrived_at: Option<Micros>) {
        match call::parse(arguments, &self.config.instance) {
            Ok(Command::Ping) if self.is_ready() => self.respond_immediately(slot, b"+PONG\r\n"),
            Ok(Command::Ping) => self.respond_immediately(slot, b"-LOADING no server list yet\r\n"),
            Ok(Command::Handshake) => self.respond_immediately(slot, b"+OK\r\n"),
            Ok(Command::Call(call)) => self.admit_call(slot, *call, arrived_at),
            Err(error) => self.reject_malformed(slot, &error.to_string()),
        }
    }

    /// Sends a response to a command that the engine is not involved in.
    pub(super) fn respond_immediately(&mut self, slot: usize, bytes: &[u8]) {
        if let Some(client) = self.clients.get_mut(slot) {
            client.pending_responses.push_back(PendingResponse::Ready(bytes.to_vec()));
        }
    }

    /// Sends an error in response to a command that cannot be accepted. The connection is closed after that.
    pub(super) fn reject_malformed(&mut self, slot: usize, reason: &str) {
        tracing::debug!(client = slot, "command rejected, closing the connection: {reason}");
        self.metrics.malformed += 1;
        if let Some(client) = self.clients.get_mut(slot) {
            let mut bytes = Vec::new();
            response::write_malformed(&mut bytes, reason);
            client.pending_responses.push_back(PendingResponse::Ready(bytes));
            client.state = ClientState::Closing;
        }
        self.drop_unwanted_input(slot);
    }

    /// Refuses what has arrived on a connection, complete or not, and closes the connection after that.
    pub(super) fn refuse_input(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let complete = count_commands(client.input.bytes(), &self.bounds);
        let bytes = client.input.bytes().len();
        let mut refusal = Vec::new();
        response::write_rejected(&mut refusal, 0);
        let refusals = std::iter::repeat_n(refusal, complete + 1).map(PendingResponse::Ready);
        client.pending_responses.extend(refusals);
        client.state = ClientState::Closing;
        self.metrics.refused_inputs += 1;
        tracing::debug!(client = slot, complete, bytes, "input refused, closing the connection");
        self.drop_unwanted_input(slot);
        self.flush_client(slot);
        self.update_client_interest(slot);
    }

    /// Writes the responses that are next in order.
    pub(super) fn flush_client(&mut self, slot: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(slot) else { return };
        if client.write_responses(now).is_err() {
            return self.end_client(slot, CloseReason::ClientLeft);
        }
        if client.state == ClientState::Closing
            && client.pending_responses.is_empty()
            && !client.socket.has_unwritten_bytes()
        {
            client.socket.close_write();
            client.state = ClientState::Lingering(0);
        }
        let allows_closing = self.shutdown_phase.allows_closing(client);
        let may_resume = client.has_waiting_commands && !client.has_response_backlog();
        if client.state == ClientState::Open && (allows_closing || may_resume) {
            self.clients_to_revisit.push(ConnectionId { slot, generation: client.generation });
        }
        self.restate_client(slot);
        self.relieve_responses();
    }

    /// States what a connection holds to the memory account.
    pub(super) fn restate_client(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else { return };
        let input_bytes = client.input.held_bytes();
        let response_bytes = client.response_bytes();
        self.memory.input.restate(&mut client.stated_input_bytes, input_bytes);
        self.memory.responses.restate(&mut client.stated_response_bytes, response_bytes);
    }

    /// Processes connections on which commands were waiting for room, or that a shutdown may close.
    pub(super) fn revisit_clients(&mut self) {
        let mut connections = std::mem::take(&mut self.clients_to_revisit);
        connections.sort_unstable();
        connections.dedup();
        for connection in connections {
            self.revisit_client(connection);
        }
    }

    /// Handles the commands that were waiting, and closes the connection if the phase of the shutdown allows
    /// that. Any input that has arrived is read first: it may contain requests, like the input before it, and
    /// a connection that is closed while input is unread is reset, which can lose a response that its client
    /// has not read yet.
    fn revisit_client(&mut self, connection: ConnectionId) {
        let slot = connection.slot;
        let Some(client) = self.open_client(connection) else { return };
        if client.has_waiting_commands && !client.has_response_backlog() {
            self.handle_input(slot);
            self.restate_client(slot);
            self.update_client_interest(slot);
        }
        let any_read = self.read_client(slot);
        self.run_engine_actions();
        let now = self.now();
        let shutdown_phase = self.shutdown_phase;
        let Some(client) = self.open_client(connection) else { return };
        if !shutdown_phase.allows_closing(client) {
            return;
        }
        if any_read {
            self.clients_to_revisit.push(connection);
            return;
        }
        if !client.input.is_empty() {
            return self.refuse_input(slot);
        }
        client.socket.close_write();
        client.state = ClientState::Ended;
        client.idle_since = now;
        self.update_client_interest(slot);
    }

    /// Returns the connection if it still exists and is open.
    fn open_client(&mut self, connection: ConnectionId) -> Option<&mut Client> {
        self.clients
            .get_mut(connection.slot)
            .filter(|client| client.generation == connection.generation && client.state == ClientState::Open)
    }

    /// Sets which events the event loop reports for the connection.
    pub(super) fn update_client_interest(&mut self, slot: usize) {
        if let Some(client) = self.clients.get(slot) {
            client.update_interest(&self.loop_handle);
        }
    }

    /// Closes the connections that have been silent, incomplete or unread for too long.
    pub(super) fn close_timed_out_clients(&mut self, now: Micros) {
        let timed_out: Vec<(usize, ClientTimeout)> = self
            .clients
            .iter()
            .filter_map(|(slot, client)| Some((slot, client.expired_timeout(now)?)))
            .collect();
        for (slot, timeout) in timed_out {
            if timeout == ClientTimeout::Command && self.read_late_input(slot) {
                continue;
            }
            self.end_client(slot, timeout.close_reason());
        }
    }

    /// Reads what has arrived on a connection whose command is late. Returns whether the connection stays
    /// open: the rest of the command may have been unread for as long as the event loop is late.
    fn read_late_input(&mut self, slot: usize) -> bool {
        for _ in 0..MAX_READS_AT_TIMEOUT {
            if !self.is_client_open(slot) || !self.read_client(slot) {
                break;
            }
        }
        self.run_engine_actions();
        let now = self.now();
        self.clients.get(slot).is_none_or(|client| client.expired_timeout(now).is_none())
    }
}
