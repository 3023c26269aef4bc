//! HTTP exchanges with the publisher: a watch, and one report at a time.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam_distribution::message::{MAX_LINE_BYTES, MAX_REPORT_BYTES};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;

/// What an exchange with the publisher is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangePurpose {
    /// To receive changes as they are published.
    Watch,
    /// To acknowledge or reject a version.
    Report,
}

/// Identifies an exchange: its generation differs from that of earlier ones of its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ExchangeId {
    pub(super) purpose: ExchangePurpose,
    pub(super) generation: u64,
}

/// One HTTP exchange on a connection of its own.
pub(super) struct Exchange {
    pub(super) id: ExchangeId,
    socket: Socket,
    http: ClientConnection,
    pub(super) lines: LineReader,
    /// The answer's status has come, and its body is to be read.
    reads_body: bool,
}

impl Proxy {
    /// Begins an exchange in place of an open one; none if no connection could be begun.
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
        let lines = LineReader::new(max_line_bytes(purpose));
        *subscription.exchange(purpose) = Some(Exchange { id, socket, http, lines, reads_body: false });
        Some(id)
    }

    /// Closes an exchange without a report to anybody.
    pub(super) fn close_exchange(&mut self, purpose: ExchangePurpose) {
        let subscription = self.subscription.as_mut();
        if let Some(exchange) = subscription.and_then(|subscription| subscription.exchange(purpose).take()) {
            exchange.socket.remove(&self.loop_handle);
        }
    }

    fn open_exchange(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.subscription.as_mut()?.open_exchange(id)
    }

    fn on_publisher_ready(&mut self, id: ExchangeId, readiness: Readiness) {
        self.had_socket_events = true;
        if readiness.writable && self.write_to_publisher(id).is_err() {
            self.exchange_ended(id.purpose);
        }
        if readiness.readable || readiness.error {
            self.read_publisher(id);
        }
        self.run_subscription();
        self.run_engine_actions();
    }

    /// Writes what waits.
    fn write_to_publisher(&mut self, id: ExchangeId) -> std::io::Result<()> {
        let subscription = self.subscription.as_mut();
        let exchange = subscription.and_then(|subscription| subscription.open_exchange(id));
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
        while let Some(exchange) = self.open_exchange(id) {
            match exchange.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(count) => {
                    exchange.http.feed(&read_buffer[..count]);
                    self.process_publisher_events(id);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed | ReadOutcome::Failed => self.exchange_ended(id.purpose),
            }
        }
        self.read_buffer = read_buffer;
    }

    fn process_publisher_events(&mut self, id: ExchangeId) {
        while let Some(exchange) = self.open_exchange(id) {
            match exchange.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => match id.purpose {
                    ExchangePurpose::Watch => self.on_watch_status(id, head.status),
                    ExchangePurpose::Report => self.on_report_status(),
                },
                Some(ClientEvent::Body(bytes)) if exchange.reads_body => {
                    exchange.lines.feed(&bytes);
                    self.process_publisher_lines(id);
                }
                Some(ClientEvent::Body(_)) => {}
                Some(ClientEvent::End { .. } | ClientEvent::Error(_)) => self.exchange_ended(id.purpose),
            }
        }
    }

    /// A watch is answered with lines, or with 503 and the one line that says when to call again.
    fn on_watch_status(&mut self, id: ExchangeId, status: StatusCode) {
        if matches!(status, StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE) {
            if let Some(exchange) = self.open_exchange(id) {
                exchange.reads_body = true;
            }
            return;
        }
        let now = self.now();
        if self.log_limit.allows(now) {
            tracing::warn!(status = status.as_u16(), "the publisher does not open a watch");
        }
        self.exchange_ended(id.purpose);
    }

    /// Any status says that a report was received; what the publisher rejects (409) it would reject again.
    fn on_report_status(&mut self) {
        if let Some(subscription) = &mut self.subscription {
            subscription.reports.on_received();
        }
        self.exchange_ended(ExchangePurpose::Report);
    }

    /// Closes an exchange that is over, and reports that to whatever waits for it.
    pub(super) fn exchange_ended(&mut self, purpose: ExchangePurpose) {
        self.close_exchange(purpose);
        match purpose {
            ExchangePurpose::Watch => self.on_watch_closed(),
            ExchangePurpose::Report => self.on_report_failed(),
        }
    }
}

fn max_line_bytes(purpose: ExchangePurpose) -> usize {
    match purpose {
        ExchangePurpose::Watch => MAX_LINE_BYTES,
        ExchangePurpose::Report => MAX_REPORT_BYTES,
    }
}
