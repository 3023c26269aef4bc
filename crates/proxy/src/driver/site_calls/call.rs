//! A single call: opens its connection, sends its request, and reads its response.

use super::super::http_request::HttpRequest;
use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{CallError, CallPurpose, MIN_STREAM_WAIT};
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam::interface::Micros;
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::{endpoint_list, release_service};

/// The request of a call, with the call's purpose and its time-out.
pub(super) struct CallRequest<'a> {
    pub(super) purpose: CallPurpose,
    pub(super) request: HttpRequest<'a>,
    /// The time until the call's timer fires; `None` if no timer is set.
    pub(super) timeout: Option<Micros>,
}

/// A call in flight.
pub(super) struct Call {
    pub(super) generation: u64,
    /// When the call was started; the other side receives it later.
    started_at: Micros,
    pub(super) purpose: CallPurpose,
    socket: Socket,
    http: ClientConnection,
    /// Splits the response's body into lines, for all calls but votes.
    line_reader: LineReader,
    /// The part of the reply to a vote that has been received.
    vote_reply: Vec<u8>,
    /// Whether bytes of the request were written, so that the other side may have received it.
    pub(super) is_written: bool,
    /// Whether a message was received, after which the call's time-out no longer applies.
    pub(super) is_answered: bool,
    /// Whether a line was received since the last check of the stream's idle time-out.
    has_received_since_check: bool,
}

impl Call {
    fn new(
        generation: u64,
        started_at: Micros,
        purpose: CallPurpose,
        socket: Socket,
        http: ClientConnection,
    ) -> Self {
        Call {
            generation,
            started_at,
            purpose,
            socket,
            http,
            line_reader: LineReader::new(max_line_bytes(purpose)),
            vote_reply: Vec::new(),
            is_written: false,
            is_answered: false,
            has_received_since_check: false,
        }
    }

    /// Processes a part of the response's body.
    fn feed_body(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        if self.purpose != CallPurpose::Vote {
            self.line_reader.feed(bytes);
            return Ok(());
        }
        self.vote_reply.extend_from_slice(bytes);
        if self.vote_reply.len() > release_service::MAX_LINE_BYTES {
            return Err(CallError::ReplyTooLong);
        }
        Ok(())
    }

    /// Returns the next line of the body that was received completely. The other side sends blank lines to
    /// keep an idle stream open; they count as received lines.
    fn next_line(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let line = self.line_reader.next_line().map_err(CallError::malformed)?.map(<[u8]>::to_vec);
        if line.is_some() {
            self.has_received_since_check = true;
        }
        Ok(line)
    }
}

fn max_line_bytes(purpose: CallPurpose) -> usize {
    match purpose {
        CallPurpose::WatchRelease => release_service::MAX_LINE_BYTES,
        _ => endpoint_list::MAX_LINE_BYTES,
    }
}

impl Proxy {
    /// Starts a call and returns its key, or `None` if no connection could be started.
    pub(super) fn start_call(&mut self, call: &CallRequest<'_>) -> Option<usize> {
        let CallRequest { purpose, request, timeout } = call;
        let stream = connect(request.address).ok()?;
        let generation = self.next_generation();
        let started_at = self.now();
        let entry = self.site_calls.in_flight.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_call_ready(key, readiness);
        let mut socket = Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready).ok()?;
        let http = request.write_to(&mut socket);
        entry.insert(Call::new(generation, started_at, *purpose, socket, http));
        if let Some(timeout) = timeout {
            self.timers.set(started_at + timeout, TimerKind::SiteCall(ConnectionId { key, generation }));
        }
        Some(key)
    }

    /// Closes a call without notifying the code that waits for its end.
    pub(super) fn close_call(&mut self, key: usize) {
        if self.site_calls.in_flight.contains(key) {
            self.site_calls.in_flight.remove(key).socket.remove(&self.loop_handle);
        }
    }

    fn on_call_ready(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            if !self.site_calls.in_flight.contains(key) {
                return;
            }
            if let Err(error) = self.write_call(key) {
                return self.end_call(key, &error);
            }
        }
        if readiness.readable || readiness.error {
            self.read_call(key);
        }
        self.run_engine_actions();
    }

    fn write_call(&mut self, key: usize) -> Result<(), CallError> {
        let Some(call) = self.site_calls.in_flight.get_mut(key) else { return Ok(()) };
        if call.socket.connect_error().is_some() {
            return Err(CallError::NoConnection);
        }
        let written_bytes = call.socket.flush().map_err(|_| CallError::ConnectionLost)?;
        call.is_written |= written_bytes > 0;
        call.socket.set_read_interest(&self.loop_handle, true);
        Ok(())
    }

    fn read_call(&mut self, key: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        while let Some(call) = self.site_calls.in_flight.get_mut(key) {
            match call.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    call.http.feed(&read_buffer[..length]);
                    self.process_call_events(key);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed => {
                    if let Some(ClientEvent::End { .. }) = call.http.close() {
                        self.on_response_end(key);
                    }
                    self.end_call(key, &CallError::Closed);
                    break;
                }
                ReadOutcome::Failed => {
                    self.end_call(key, &CallError::ConnectionLost);
                    break;
                }
            }
        }
        self.read_buffer = read_buffer;
    }

    fn process_call_events(&mut self, key: usize) {
        while let Some(call) = self.site_calls.in_flight.get_mut(key) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) if head.status == StatusCode::OK => {}
                Some(ClientEvent::Head(_)) => return self.end_call(key, &CallError::UnexpectedStatus),
                Some(ClientEvent::Body(bytes)) => {
                    if let Err(error) = call.feed_body(&bytes) {
                        return self.end_call(key, &error);
                    }
                    self.process_call_lines(key);
                }
                Some(ClientEvent::End { .. }) => {
                    self.on_response_end(key);
                    return self.end_call(key, &CallError::Closed);
                }
                Some(ClientEvent::Error(_)) => return self.end_call(key, &CallError::MalformedResponse),
            }
        }
    }

    fn process_call_lines(&mut self, key: usize) {
        while let Some(call) = self.site_calls.in_flight.get_mut(key) {
            let line = match call.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => return,
                Err(error) => return self.end_call(key, &error),
            };
            if line.is_empty() {
                continue;
            }
            call.is_answered = true;
            let purpose = call.purpose;
            let generation = call.generation;
            if let Err(error) = self.on_call_line(purpose, generation, &line) {
                if let Some(call) = self.site_calls.in_flight.get_mut(key) {
                    call.is_answered = false;
                }
                return self.end_call(key, &error);
            }
        }
    }

    /// Handles the end of a response. If the call is a vote, its reply is now complete.
    fn on_response_end(&mut self, key: usize) {
        let Some(call) = self.site_calls.in_flight.get_mut(key) else { return };
        if call.purpose == CallPurpose::Vote && !call.is_answered {
            call.is_answered = true;
            let reply = std::mem::take(&mut call.vote_reply);
            let sent_at = call.started_at;
            self.on_vote_reply(sent_at, &reply);
        }
    }

    /// Handles the timer of a call: checks whether a release stream is idle, and ends any other call that has
    /// received no message.
    pub(in super::super) fn call_timeout(&mut self, id: ConnectionId) {
        let Some(call) = self.site_calls.get_mut(id) else { return };
        if call.purpose == CallPurpose::WatchRelease {
            self.check_stream_idle(id);
        } else if !call.is_answered {
            self.end_call(id.key, &CallError::NoResponse);
        }
    }

    /// Ends a stream on which no line was received since the last check, and otherwise sets the timer for the
    /// next check.
    fn check_stream_idle(&mut self, id: ConnectionId) {
        let now = self.now();
        let idle_timeout = self.settings.release_idle_timeout.unwrap_or(0);
        let Some(call) = self.site_calls.get_mut(id) else { return };
        if std::mem::take(&mut call.has_received_since_check) {
            self.timers.set(now + idle_timeout.max(MIN_STREAM_WAIT), TimerKind::SiteCall(id));
        } else {
            self.end_call(id.key, &CallError::StreamIdle);
        }
    }
}
