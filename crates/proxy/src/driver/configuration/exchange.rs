//! HTTP exchanges with the publisher. At most one watch and one report are open at a time.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam_distribution::message::{MAX_LINE_BYTES, MAX_REPORT_BYTES};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;

/// The purpose of an exchange with the publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangePurpose {
    /// The exchange receives changes as they are published.
    Watch,
    /// The exchange acknowledges or rejects a version.
    Report,
}

/// Identifies an exchange. The generation distinguishes it from earlier exchanges with the same purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeId {
    pub(super) purpose: ExchangePurpose,
    pub(super) generation: u64,
}

/// One HTTP request and its response, on a connection of their own.
pub(super) struct Exchange {
    pub(super) id: ExchangeId,
    socket: Socket,
    http: ClientConnection,
    /// Splits the response's body into lines.
    pub(super) line_reader: LineReader,
    /// Whether the response's status was received and is one whose body contains messages.
    reads_body: bool,
}

impl Proxy {
    /// Starts an exchange and closes an open one with the same purpose. Returns `None` if no connection could
    /// be started.
    pub(super) fn start_exchange(
        &mut self,
        purpose: ExchangePurpose,
        path: &str,
        body: &[u8],
    ) -> Option<ExchangeId> {
        self.close_exchange(purpose);
        let id = ExchangeId { purpose, generation: self.next_generation() };
        let subscription = self.subscription.as_mut()?;
        let request = match purpose {
            ExchangePurpose::Watch => HttpRequest::get(subscription.publisher, path),
            ExchangePurpose::Report => HttpRequest::post(subscription.publisher, path, body),
        };
        let stream = connect(request.address).ok()?;
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_publisher_ready(id, readiness);
        let mut socket = Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready).ok()?;
        let http = request.write_to(&mut socket);
        let line_reader = LineReader::new(max_line_bytes(purpose));
        *subscription.exchange_slot(purpose) =
            Some(Exchange { id, socket, http, line_reader, reads_body: false });
        Some(id)
    }

    /// Closes an exchange without notifying the code that waits for its end.
    pub(super) fn close_exchange(&mut self, purpose: ExchangePurpose) {
        let subscription = self.subscription.as_mut();
        if let Some(exchange) =
            subscription.and_then(|subscription| subscription.exchange_slot(purpose).take())
        {
            exchange.socket.remove(&self.loop_handle);
        }
    }

    fn exchange_by_id(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.subscription.as_mut()?.exchange_by_id(id)
    }

    fn on_publisher_ready(&mut self, id: ExchangeId, readiness: Readiness) {
        self.had_socket_events = true;
        if readiness.writable && self.write_to_publisher(id).is_err() {
            self.end_exchange(id.purpose);
        }
        if readiness.readable || readiness.error {
            self.read_publisher(id);
        }
        self.run_subscription();
        self.run_engine_actions();
    }

    /// Writes as much of the request as the connection accepts now.
    fn write_to_publisher(&mut self, id: ExchangeId) -> std::io::Result<()> {
        let subscription = self.subscription.as_mut();
        let exchange = subscription.and_then(|subscription| subscription.exchange_by_id(id));
        let Some(exchange) = exchange else { return Ok(()) };
        if let Some(error) = exchange.socket.connect_error() {
            return Err(error);
        }
        exchange.socket.flush()?;
        exchange.socket.set_read_interest(&self.loop_handle, true);
        Ok(())
    }

    fn read_publisher(&mut self, id: ExchangeId) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        while let Some(exchange) = self.exchange_by_id(id) {
            match exchange.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    exchange.http.feed(&read_buffer[..length]);
                    self.process_publisher_events(id);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed | ReadOutcome::Failed => self.end_exchange(id.purpose),
            }
        }
        self.read_buffer = read_buffer;
    }

    fn process_publisher_events(&mut self, id: ExchangeId) {
        while let Some(exchange) = self.exchange_by_id(id) {
            match exchange.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => match id.purpose {
                    ExchangePurpose::Watch => self.on_watch_status(id, head.status),
                    ExchangePurpose::Report => self.on_report_status(),
                },
                Some(ClientEvent::Body(bytes)) if exchange.reads_body => {
                    exchange.line_reader.feed(&bytes);
                    self.process_publisher_lines(id);
                }
                Some(ClientEvent::Body(_)) => {}
                Some(ClientEvent::End { .. } | ClientEvent::Error(_)) => self.end_exchange(id.purpose),
            }
        }
    }

    /// Handles the status of the response to a watch. The body of a response with status 200 contains
    /// messages; the body of one with status 503 contains a single line that states when to connect again.
    fn on_watch_status(&mut self, id: ExchangeId, status: StatusCode) {
        if matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE) {
            if let Some(exchange) = self.exchange_by_id(id) {
                exchange.reads_body = true;
            }
            return;
        }
        let now = self.now();
        if self.log_limit.allows(now) {
            tracing::warn!(status = status.as_u16(), "the publisher rejected the watch request");
        }
        self.end_exchange(id.purpose);
    }

    /// Handles the status of the response to a report. Any status means that the report was received. A
    /// report that the publisher rejects (409) is not sent again, because it would be rejected again.
    fn on_report_status(&mut self) {
        if let Some(subscription) = &mut self.subscription {
            subscription.reports.on_received();
        }
        self.end_exchange(ExchangePurpose::Report);
    }

    /// Closes an exchange that has ended, and notifies the code that waits for its end.
    pub(super) fn end_exchange(&mut self, purpose: ExchangePurpose) {
        self.close_exchange(purpose);
        match purpose {
            ExchangePurpose::Watch => self.on_watch_closed(),
            ExchangePurpose::Report => self.on_report_exchange_ended(),
        }
    }
}

fn max_line_bytes(purpose: ExchangePurpose) -> usize {
    match purpose {
        ExchangePurpose::Watch => MAX_LINE_BYTES,
        ExchangePurpose::Report => MAX_REPORT_BYTES,
    }
}
