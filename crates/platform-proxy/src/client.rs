//! One client connection: its input, its pending responses and its state.

use calloop::LoopHandle;
use std::collections::VecDeque;
use violetseam::interface::{Micros, RequestId};
use violetseam_event_io::{Socket, WRITE_BUFFER_HIGH_WATERMARK};

/// Commands of one connection that wait for their responses at once, and that one read may bring: clients
/// open more connections where all are busy, so a longer burst does not come from one of them.
pub(super) const MAX_PIPELINED_COMMANDS: usize = 32;
/// A connection that has not sent one complete command within this span is closed.
const FIRST_COMMAND_TIMEOUT: Micros = 1_500_000;
/// A command must be complete within this span of its first byte.
const PARTIAL_COMMAND_TIMEOUT: Micros = 1_500_000;
/// After a response that ends the connection, its input is read and dropped for this span ...
const LINGER_TIMEOUT: Micros = 300_000;
/// ... and up to this many bytes: a connection closed at once over unread bytes would be reset, and the
/// response could be lost with it.
pub(super) const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Responses that a client does not read are held for this span.
const WRITE_STALL_TIMEOUT: Micros = 3_000_000;

/// A client connection.
pub(super) struct Client {
    /// Tells it from earlier connections in its slot.
    pub generation: u64,
    pub socket: Socket,
    /// Input that no command has consumed yet.
    pub input: Vec<u8>,
    /// Responses in the order of their commands.
    pub pending_responses: VecDeque<PendingResponse>,
    pub state: ClientState,
    /// Its input is being parsed and has been moved out of `input` meanwhile.
    pub is_parsing: bool,
    /// Commands wait in its input until there is room for their responses.
    pub is_backpressured: bool,
    /// A complete, valid call has arrived on it.
    pub has_sent_call: bool,
    /// Since when no response has been pending, or the present command has been arriving.
    pub idle_since: Micros,
}

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Commands are read and answered.
    Open,
    /// Nothing more is read: the connection ends after its pending responses.
    Closing,
    /// The last response was an error, and the write side is closed; this many bytes of input have been
    /// dropped.
    Lingering(usize),
    /// This side has ended the connection between two requests. Nothing is read any more: a request that
    /// crossed the end on the way is not accepted, and its client sends it elsewhere.
    Ended,
}

/// A place in the order of responses.
pub(super) enum PendingResponse {
    /// The response to this request has not been decided yet.
    Request(RequestId),
    /// The bytes to write once all earlier responses are written.
    Ready(Vec<u8>),
}

impl PendingResponse {
    /// Whether this is the place of a request whose response has not been decided yet.
    pub fn is_for(&self, request: RequestId) -> bool {
        matches!(self, PendingResponse::Request(id) if *id == request)
    }
}

impl Client {
    /// A new, open connection.
    pub fn new(socket: Socket, generation: u64, now: Micros) -> Self {
        Client {
            generation,
            socket,
            input: Vec::new(),
            pending_responses: VecDeque::new(),
            state: ClientState::Open,
            is_parsing: false,
            is_backpressured: false,
            has_sent_call: false,
            idle_since: now,
        }
    }

    /// No response is pending on it, and no part of a command has arrived: it may be closed without the loss
    /// of a request, provided that nothing lies unread either.
    pub fn is_idle(&self) -> bool {
        self.is_fully_answered() && self.input.is_empty()
    }

    /// No response is pending on it: in the last phase of a shutdown it may be closed, also over a partial
    /// command.
    pub fn is_fully_answered(&self) -> bool {
        self.pending_responses.is_empty() && !self.socket.has_unwritten_bytes() && !self.is_parsing
    }

    /// Bytes, or the end of the connection, lie unread in the kernel.
    pub fn has_unread_input(&self) -> bool {
        self.socket.is_stale()
    }

    /// No further command is taken before a response has been written.
    pub fn has_response_backlog(&self) -> bool {
        self.pending_responses.len() >= MAX_PIPELINED_COMMANDS
            || self.socket.unwritten_bytes() > WRITE_BUFFER_HIGH_WATERMARK
    }

    /// Moves the responses whose turn has come to the socket; whether there were any.
    pub fn queue_ready_responses(&mut self) -> bool {
        let mut any_queued = false;
        while let Some(PendingResponse::Ready(bytes)) = self.pending_responses.front() {
            self.socket.write_buffer().extend_from_slice(bytes);
            self.pending_responses.pop_front();
            any_queued = true;
        }
        any_queued
    }

    /// Sets the events that the connection is to be woken for.
    pub fn update_interest<D>(&self, loop_handle: &LoopHandle<'static, D>, max_command_bytes: usize) {
        let wants_read = match self.state {
            // Read on while commands wait, within the bound of one command: nothing else shows that the
            // client has left.
            ClientState::Open => !self.has_response_backlog() || self.input.len() < max_command_bytes,
            // Input is dropped from here on, once the write side is closed.
            ClientState::Closing | ClientState::Ended => false,
            ClientState::Lingering(_) => true,
        };
        self.socket.set_read_interest(loop_handle, wants_read);
    }

    /// Whether a time-out has expired: of a silent connection, a partial command, or responses that are not
    /// read.
    pub fn is_timed_out(&self, now: Micros) -> bool {
        let idle = now.saturating_sub(self.idle_since);
        match self.state {
            ClientState::Lingering(_) | ClientState::Ended => idle >= LINGER_TIMEOUT,
            _ if self.socket.has_unwritten_bytes() => idle >= WRITE_STALL_TIMEOUT,
            _ if !self.pending_responses.is_empty() => false,
            _ if !self.has_sent_call => idle >= FIRST_COMMAND_TIMEOUT,
            _ => !self.input.is_empty() && idle >= PARTIAL_COMMAND_TIMEOUT,
        }
    }
}
