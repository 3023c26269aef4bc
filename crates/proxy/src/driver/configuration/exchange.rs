//! HTTP exchanges with the publisher: a watch, and one report at a time.

use super::super::Proxy;
use super::super::http_request::queue_request;
use calloop::{Interest, Readiness};
use violetseam_distribution::message::{MAX_LINE_BYTES, MAX_REPORT_BYTES};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;

/// What an exchange with the publisher is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// To receive changes as they are published.
    Watch,
    /// To acknowledge or refuse a version.
    Report,
}

/// One HTTP exchange on a connection of its own.
pub(super) struct Exchange {
    pub(super) generation: u64,
    socket: Socket,
    http: ClientConnection,
    pub(super) lines: LineReader,
    /// The answer's status has come and the body is worth reading.
    accepted: bool,
}

impl Proxy {
    /// Begins an exchange; whether it did.
    pub(super) fn exchange_with_publisher(
        &mut self,
        purpose: CallPurpose,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> bool {
        self.close_exchange(purpose);
        let generation = self.next_generation();
        let Some(subscription) = &mut self.subscription else { return false };
        let to = subscription.publisher;
        let Ok(stream) = connect(to) else { return false };
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| {
            proxy.on_publisher(purpose, generation, readiness);
        };
        let Ok(mut socket) = Socket::register(&self.handle, stream, Interest::BOTH, on_ready) else {
            return false;
        };
        let http = queue_request(&mut socket, to, method, path, body);
        let max_line_bytes = if purpose == CallPurpose::Watch { MAX_LINE_BYTES } else { MAX_REPORT_BYTES };
        let exchange =
            Exchange { generation, socket, http, lines: LineReader::new(max_line_bytes), accepted: false };
        *subscription.exchange(purpose) = Some(exchange);
        true
    }

    pub(super) fn close_exchange(&mut self, purpose: CallPurpose) {
        if let Some(exchange) = self.subscription.as_mut().and_then(|s| s.exchange(purpose).take()) {
            exchange.socket.remove(&self.handle);
        }
    }

    fn on_publisher(&mut self, purpose: CallPurpose, generation: u64, readiness: Readiness) {
        self.had_socket_events = true;
        if readiness.writable && !self.write_to_publisher(purpose, generation) {
            self.exchange_ended(purpose);
        }
        if readiness.readable || readiness.error {
            self.read_publisher(purpose, generation);
        }
        self.run_subscription();
        self.run_engine_actions();
    }

    /// Writes what waits; whether the connection is still open.
    fn write_to_publisher(&mut self, purpose: CallPurpose, generation: u64) -> bool {
        let exchange = self.subscription.as_mut().and_then(|s| s.open_exchange(purpose, generation));
        let Some(exchange) = exchange else { return true };
        if exchange.socket.connect_error().is_some() || exchange.socket.flush().is_err() {
            return false;
        }
        exchange.socket.set_read_interest(&self.handle, true);
        true
    }

    fn read_publisher(&mut self, purpose: CallPurpose, generation: u64) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(exchange) =
            self.subscription.as_mut().and_then(|s| s.open_exchange(purpose, generation))
        {
            match exchange.socket.read(&mut scratch) {
                ReadOutcome::Bytes(count) => {
                    exchange.http.feed(&scratch[..count]);
                    self.publisher_events(purpose, generation);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed | ReadOutcome::Failed => self.exchange_ended(purpose),
            }
        }
        self.scratch = scratch;
    }

    fn publisher_events(&mut self, purpose: CallPurpose, generation: u64) {
        while let Some(exchange) =
            self.subscription.as_mut().and_then(|s| s.open_exchange(purpose, generation))
        {
            match exchange.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => {
                    self.on_publisher_status(purpose, generation, head.status.into());
                }
                Some(ClientEvent::Body(bytes)) if exchange.accepted => {
                    exchange.lines.feed(&bytes);
                    self.publisher_lines(generation);
                }
                Some(ClientEvent::Body(_)) => {}
                Some(ClientEvent::End { .. } | ClientEvent::Error(_)) => self.exchange_ended(purpose),
            }
        }
    }

    /// A watch is answered with lines, or with 503 and the one line that says when to come back.
    fn on_publisher_status(&mut self, purpose: CallPurpose, generation: u64, status: u16) {
        let now = self.now();
        match purpose {
            CallPurpose::Watch if status == 200 || status == 503 => {
                let exchange = self.subscription.as_mut().and_then(|s| s.open_exchange(purpose, generation));
                if let Some(exchange) = exchange {
                    exchange.accepted = true;
                }
            }
            CallPurpose::Watch => {
                if self.log_limit.allows(now) {
                    tracing::warn!(status, "the publisher does not open a watch");
                }
                self.exchange_ended(purpose);
            }
            // Received; what the publisher does not take (409) it would not take the next time either.
            CallPurpose::Report => {
                if let Some(subscription) = &mut self.subscription {
                    subscription.report_in_flight = None;
                }
                self.exchange_ended(purpose);
            }
        }
    }

    pub(super) fn exchange_ended(&mut self, purpose: CallPurpose) {
        self.close_exchange(purpose);
        match purpose {
            CallPurpose::Watch => self.watch_closed(),
            CallPurpose::Report => self.report_failed(),
        }
    }
}
