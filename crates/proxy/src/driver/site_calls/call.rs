//! One call: its connection, its request, and the reading of its answer.

use super::super::http_request::HttpRequest;
use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::{CallError, CallPurpose, MIN_STREAM_SPAN};
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam::interface::Micros;
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::{endpoint_list, release_service};

/// What a call is to send, and for how long.
pub(super) struct CallRequest<'a> {
    pub(super) purpose: CallPurpose,
    pub(super) request: HttpRequest<'a>,
    /// Microseconds until the call's timer fires; none is set without.
    pub(super) timeout: Option<Micros>,
}

/// A call in flight.
pub(super) struct Call {
    pub(super) generation: u64,
    pub(super) purpose: CallPurpose,
    socket: Socket,
    http: ClientConnection,
    lines: LineReader,
    /// A vote's reply as it comes.
    reply: Vec<u8>,
    /// At least one byte of the call may have reached the other side.
    pub(super) is_written: bool,
    /// A message has come: the call's time-out no longer counts.
    pub(super) is_answered: bool,
    /// A line has come since the stream was last checked for silence.
    received_since_check: bool,
}

impl Call {
    fn new(generation: u64, purpose: CallPurpose, socket: Socket, http: ClientConnection) -> Self {
        Call {
            generation,
            purpose,
            socket,
            http,
            lines: LineReader::new(max_line_bytes(purpose)),
            reply: Vec::new(),
            is_written: false,
            is_answered: false,
            received_since_check: false,
        }
    }

    /// Takes a part of the answer's body.
    fn feed_body(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        if self.purpose != CallPurpose::Vote {
            self.lines.feed(bytes);
            return Ok(());
        }
        self.reply.extend_from_slice(bytes);
        if self.reply.len() > release_service::MAX_LINE_BYTES {
            return Err(CallError::ReplyTooLong);
        }
        Ok(())
    }

    /// The next line of the body that has come completely; a blank one keeps an idle stream open.
    fn next_line(&mut self) -> Result<Option<Vec<u8>>, CallError> {
        let line = self.lines.next_line().map_err(CallError::malformed)?.map(<[u8]>::to_vec);
        if line.is_some() {
            self.received_since_check = true;
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
    /// Begins a call; none if no connection could be begun.
    pub(super) fn start_call(&mut self, call: &CallRequest<'_>) -> Option<usize> {
        let CallRequest { purpose, request, timeout } = call;
        let stream = connect(request.address).ok()?;
        let generation = self.next_generation();
        let entry = self.site_calls.in_flight.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_call_ready(key, readiness);
        let mut socket = Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready).ok()?;
        let http = request.write_to(&mut socket);
        entry.insert(Call::new(generation, *purpose, socket, http));
        if let Some(timeout) = timeout {
            self.timers.set(self.now() + timeout, TimerKind::SiteCall(ConnectionId { key, generation }));
        }
        Some(key)
    }

    /// Closes a call's connection without a report to anybody.
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
                ReadOutcome::Bytes(count) => {
                    call.http.feed(&read_buffer[..count]);
                    self.process_call_events(key);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed => {
                    if let Some(ClientEvent::End { .. }) = call.http.close() {
                        self.on_answer_end(key);
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
                Some(ClientEvent::Head(_)) => return self.end_call(key, &CallError::NotAccepted),
                Some(ClientEvent::Body(bytes)) => {
                    if let Err(error) = call.feed_body(&bytes) {
                        return self.end_call(key, &error);
                    }
                    self.process_call_lines(key);
                }
                Some(ClientEvent::End { .. }) => {
                    self.on_answer_end(key);
                    return self.end_call(key, &CallError::Closed);
                }
                Some(ClientEvent::Error(_)) => return self.end_call(key, &CallError::MalformedAnswer),
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
            if let Err(error) = self.on_call_line(purpose, &line) {
                if let Some(call) = self.site_calls.in_flight.get_mut(key) {
                    call.is_answered = false;
                }
                return self.end_call(key, &error);
            }
        }
    }

    /// The answer is complete: a vote's reply is, too.
    fn on_answer_end(&mut self, key: usize) {
        let Some(call) = self.site_calls.in_flight.get_mut(key) else { return };
        if call.purpose == CallPurpose::Vote && !call.is_answered {
            call.is_answered = true;
            let reply = std::mem::take(&mut call.reply);
            self.on_vote_reply(&reply);
        }
    }

    /// The time that was set for a call may be over.
    pub(in super::super) fn call_timeout(&mut self, id: ConnectionId) {
        let Some(call) = self.site_calls.get_mut(id) else { return };
        if call.purpose == CallPurpose::WatchRelease {
            self.check_stream_silence(id);
        } else if !call.is_answered {
            self.end_call(id.key, &CallError::NoAnswer);
        }
    }

    /// Ends a stream on which nothing has come since the last check, and otherwise checks again later.
    fn check_stream_silence(&mut self, id: ConnectionId) {
        let now = self.now();
        let max_silence = self.settings.release_idle_timeout.unwrap_or(0);
        let Some(call) = self.site_calls.get_mut(id) else { return };
        if std::mem::take(&mut call.received_since_check) {
            self.timers.set(now + max_silence.max(MIN_STREAM_SPAN), TimerKind::SiteCall(id));
        } else {
            self.end_call(id.key, &CallError::Silent);
        }
    }
}
