//! One client connection: its input, its pending responses and its state.

use crate::client_input::ClientInput;
use crate::metrics::CloseReason;
use calloop::LoopHandle;
use std::collections::VecDeque;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{Socket, TurnUsage};
use violetseam_platform_protocol::response;

/// How many commands of one connection may wait for responses at once, and how many one read may bring.
/// Clients open more connections when all of theirs are busy, so a well-behaved client does not send a longer
/// burst on one of them.
pub(super) const MAX_PIPELINED_COMMANDS: usize = 32;
/// A connection that has not sent a call yet is closed once it has been silent for this long.
const FIRST_CALL_TIMEOUT: Micros = 1_500_000;
/// A command must be complete within this time of its first byte.
const PARTIAL_COMMAND_TIMEOUT: Micros = 1_500_000;
/// The first command of a connection must also be complete within this time of the accept: the platform
/// states that a client that sends half a command has an error or a close within 3 s of connecting.
const FIRST_COMMAND_DEADLINE: Micros = 2_500_000;
/// How long input is read and dropped after a response that ends the connection, and how long a connection
/// that this side has closed waits for its client to close it as well.
const LINGER_TIMEOUT: Micros = 300_000;
/// How much input is read and dropped after a response that ends the connection. A connection that is closed
/// while input is unread would be reset, and the response could be lost with it.
pub(super) const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Responses are moved to the socket's buffer while it holds no more than this.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// How long responses that a client does not read are held.
const WRITE_STALL_TIMEOUT: Micros = 3_000_000;

/// One client connection.
pub(super) struct Client {
    /// Distinguishes this connection from earlier ones in the same slot.
    pub generation: u64,
    pub socket: Socket,
    /// Input that no command has consumed yet.
    pub input: ClientInput,
    /// Responses, in the order of their commands.
    pub pending_responses: VecDeque<PendingResponse>,
    pub state: ClientState,
    /// Whether the input is being parsed; it is moved out of `input` during that time.
    pub is_parsing: bool,
    /// Whether commands wait in the input until there is room for their responses, or for the next turn of
    /// the event loop.
    pub has_waiting_commands: bool,
    /// What the client has taken of the turn of the event loop.
    pub turn_usage: TurnUsage,
    /// Whether a complete and valid call has arrived.
    pub has_sent_call: bool,
    /// When the connection was accepted.
    accepted_at: Micros,
    /// Whether a complete command of any kind has arrived.
    pub has_sent_command: bool,
    /// Since when the client has not taken any of the bytes that are to be written, if there are such bytes.
    pub unread_since: Option<Micros>,
    /// What the memory account has been told of the input and of the responses, in bytes.
    pub stated_input_bytes: usize,
    pub stated_response_bytes: usize,
    /// Since when no response has been pending, or since when the connection has been lingering or ended.
    pub idle_since: Micros,
}

/// A time-out of a client connection that has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientTimeout {
    /// The connection has sent no call, or only a part of a command.
    Command,
    /// The responses were not read.
    Responses,
    /// The client has not closed a connection that this side has ended.
    Closing,
}

impl ClientTimeout {
    /// Returns why a connection ends on which this time-out has expired.
    pub fn close_reason(self) -> CloseReason {
        match self {
            ClientTimeout::Command => CloseReason::CommandTimeout,
            ClientTimeout::Responses => CloseReason::ResponsesUnread,
            ClientTimeout::Closing => CloseReason::Lingered,
        }
    }
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Commands are read and answered.
    Open,
    /// Input is read and dropped. The connection is closed after its pending responses.
    Closing,
    /// The last response was an error, and the write side is closed. The value is how many bytes of input
    /// have been dropped since.
    Lingering(usize),
    /// This side has closed the connection between two requests. Nothing is read any more: a request that was
    /// sent before its client noticed the close is not accepted, and the client sends it elsewhere.
    Ended,
}

/// An entry in the ordered queue of responses.
pub(super) enum PendingResponse {
    /// The response to this request has not been decided yet.
    Request(RequestId),
    /// The bytes of a response, which are written once all earlier responses are written.
    Ready(Vec<u8>),
}

impl PendingResponse {
    /// Returns the request that this entry waits for, if it is not ready.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            PendingResponse::Request(id) => Some(*id),
            PendingResponse::Ready(_) => None,
        }
    }

    /// Returns how many bytes of memory the response takes.
    fn held_bytes(&self) -> usize {
        match self {
            PendingResponse::Request(_) => 0,
            PendingResponse::Ready(bytes) => bytes.capacity(),
        }
    }

    /// Whether this entry waits for the response to the given request.
    pub fn is_for(&self, request: RequestId) -> bool {
        matches!(self, PendingResponse::Request(id) if *id == request)
    }
}

impl Client {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(socket: Socket, generation: u64, now: Micros) -> Self {
        Client {
            generation,
            socket,
            input: ClientInput::default(),
            pending_responses: VecDeque::new(),
            state: ClientState::Open,
            is_parsing: false,
            has_waiting_commands: false,
            turn_usage: TurnUsage::default(),
            has_sent_call: false,
            accepted_at: now,
            has_sent_command: false,
            unread_since: None,
            stated_input_bytes: 0,
            stated_response_bytes: 0,
            idle_since: now,
        }
    }

    /// Whether no response is pending and no part of a command has arrived. Such a connection may be closed
    /// without losing a request, provided that it has no unread input in the kernel either.
    pub fn is_idle(&self) -> bool {
        self.is_fully_answered() && self.input.is_empty()
    }

    /// Whether no response is pending and no complete command waits. In the last phase of a shutdown such a
    /// connection may be closed even if a part of a command has arrived.
    pub fn is_fully_answered(&self) -> bool {
        self.pending_responses.is_empty()
            && !self.socket.has_unwritten_bytes()
            && !self.is_parsing
            && !self.has_waiting_commands
    }

    /// Whether input, or the end of the connection, is unread in the kernel.
    pub fn has_unread_input(&self) -> bool {
        self.socket.is_stale()
    }

    /// Returns how many bytes of memory the responses take that the client has not taken.
    pub fn response_bytes(&self) -> usize {
        let queued: usize = self.pending_responses.iter().map(PendingResponse::held_bytes).sum();
        queued + self.socket.write_buffer_capacity()
    }

    /// Whether so many responses are pending that no further command is handled until some of them are
    /// written.
    pub fn has_response_backlog(&self) -> bool {
        self.pending_responses.len() >= MAX_PIPELINED_COMMANDS
            || self.socket.unwritten_bytes() > MAX_UNWRITTEN_BYTES
    }

    /// Writes the responses that are next in order, as far as the client takes them.
    ///
    /// # Errors
    /// Returns the operating system's error if the connection has failed.
    pub fn write_responses(&mut self, now: Micros) -> std::io::Result<()> {
        let mut has_progressed = false;
        loop {
            let any_queued = self.queue_ready_responses();
            if any_queued || self.socket.has_unwritten_bytes() {
                self.idle_since = now;
            }
            has_progressed |= self.socket.flush()? > 0;
            if !any_queued || self.socket.has_unwritten_bytes() {
                break;
            }
        }
        let since = self.unread_since.filter(|_| !has_progressed).unwrap_or(now);
        self.unread_since = self.socket.has_unwritten_bytes().then_some(since);
        Ok(())
    }

    /// Moves responses that are next in order to the socket, up to a number of bytes. Returns whether there
    /// were any.
    fn queue_ready_responses(&mut self) -> bool {
        let mut any_queued = false;
        while self.socket.unwritten_bytes() <= MAX_UNWRITTEN_BYTES
            && let Some(PendingResponse::Ready(bytes)) = self.pending_responses.front()
        {
            self.socket.write_buffer().extend_from_slice(bytes);
            self.pending_responses.pop_front();
            any_queued = true;
        }
        any_queued
    }

    /// Replaces the responses that have not begun to be written by failures. Returns how many there were.
    pub fn fail_queued_responses(&mut self) -> u64 {
        let mut failure = Vec::new();
        response::write_failed(&mut failure);
        let mut failed = 0;
        for pending in &mut self.pending_responses {
            if let PendingResponse::Ready(bytes) = pending
                && bytes.len() > failure.len()
            {
                bytes.clone_from(&failure);
                bytes.shrink_to_fit();
                failed += 1;
            }
        }
        failed
    }

    /// Sets which events the event loop reports for the connection. It is read in every state in which a
    /// request may be pending, because nothing else shows that the client has left.
    pub fn update_interest<D>(&self, loop_handle: &LoopHandle<'static, D>) {
        let wants_read = self.state != ClientState::Ended;
        self.socket.set_read_interest(loop_handle, wants_read);
    }

    /// Returns the time-out that has expired, if any: the connection has been silent, a command has been
    /// incomplete, or responses have been unread for too long.
    pub fn expired_timeout(&self, now: Micros) -> Option<ClientTimeout> {
        let idle = now.saturating_sub(self.idle_since);
        let (is_expired, timeout) = match self.state {
            ClientState::Lingering(_) | ClientState::Ended => {
                (idle >= LINGER_TIMEOUT, ClientTimeout::Closing)
            }
            _ if let Some(since) = self.unread_since => {
                (now >= since + WRITE_STALL_TIMEOUT, ClientTimeout::Responses)
            }
            _ if !self.is_fully_answered() => return None,
            _ => (now >= self.command_deadline()?, ClientTimeout::Command),
        };
        is_expired.then_some(timeout)
    }

    /// Returns when the next command must have arrived on a connection without pending responses. Returns
    /// `None` if there is no such time.
    fn command_deadline(&self) -> Option<Micros> {
        let Some(partial_since) = self.input.oldest_at() else {
            return (!self.has_sent_call).then_some(self.idle_since + FIRST_CALL_TIMEOUT);
        };
        // Input may not be read while responses are pending, so the time until the last one does not count.
        let deadline = partial_since.max(self.idle_since) + PARTIAL_COMMAND_TIMEOUT;
        let first_deadline = self.accepted_at + FIRST_COMMAND_DEADLINE;
        Some(if self.has_sent_command { deadline } else { deadline.min(first_deadline) })
    }
}
