//! The clients' connections to proxies: how they are opened, written, read and closed.

use super::requests::Execution;
use super::{Clients, TimerKind};
use crate::network::headers::{BUILD, WRONG_ANSWER};
use calloop::{Interest, Readiness};
use http::StatusCode;
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_http1::{Limits, ResponseHead};
use violetseam_invariants::FinalResponse;
use violetseam_invariants::ObservedEvent;

/// The most bytes that one read takes from a connection.
const READ_BUFFER_SIZE: usize = 16 * 1_024;
/// The time limit for reporting a wrong answer to a proxy, in microseconds.
const REPORT_TIMEOUT_US: u64 = 1_000_000;

/// Identifies one exchange on a connection. The generation changes after each response, so a timer of an
/// earlier exchange no longer matches.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionId {
    pub(super) key: usize,
    pub(super) generation: u64,
}

/// A connection to a proxy, with at most one exchange on it.
pub(super) struct Connection {
    pub(super) generation: u64,
    pub(super) proxy: usize,
    pub(super) socket: Socket,
    pub(super) http: ClientConnection,
    pub(super) exchange: Exchange,
    pub(super) is_connected: bool,
}

/// Why a client closes a connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisconnectReason {
    /// The client gives up before the deadline of the attempt.
    Early,
    /// No complete response came by the time limit of the exchange. For an attempt, that limit is some time
    /// after its deadline.
    Timeout,
}

/// The exchange that a connection currently carries.
pub(super) enum Exchange {
    Idle,
    Attempt(Box<Attempt>),
    WrongAnswerReport,
}

/// One attempt to have a request served.
pub(super) struct Attempt {
    /// The attempt's number in the event records.
    pub(super) number: u64,
    /// The key of the request in [`Clients`].
    pub(super) request: usize,
    pub(super) started_at: u64,
    pub(super) deadline: u64,
    pub(super) is_sent: bool,
    pub(super) response: Option<ResponseInfo>,
}

/// What a client uses of the head of a response.
#[derive(Clone, Debug)]
pub(super) struct ResponseInfo {
    status: StatusCode,
    /// How the proxy classifies the response, if it states that.
    pub(super) final_response: Option<FinalResponse>,
    pub(super) build: u16,
    pub(super) is_wrong: bool,
    /// The id with which the answer can be reported as wrong.
    pub(super) id: Option<String>,
    /// The time to wait before a retry, in seconds. It is 0 if the response states none.
    pub(super) retry_after_s: u64,
}

impl ResponseInfo {
    fn parse(head: &ResponseHead) -> Self {
        let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let final_response = match field("violetseam-answer") {
            Some("served") => Some(FinalResponse::Served),
            Some("refused") => Some(FinalResponse::Rejected),
            Some("failed") => Some(FinalResponse::Failed),
            _ => None,
        };
        ResponseInfo {
            status: head.status,
            final_response,
            build: field(BUILD).and_then(|build| build.parse().ok()).unwrap_or(0),
            is_wrong: field(WRONG_ANSWER).is_some(),
            id: field("answer-id").map(str::to_owned),
            retry_after_s: field("retry-after").and_then(|seconds| seconds.parse().ok()).unwrap_or(0),
        }
    }
}

impl Clients {
    /// Opens a connection to a proxy for an exchange. Returns `None` if no socket can be opened or
    /// registered.
    pub(super) fn open(&mut self, proxy: usize, exchange: Exchange) -> Option<ConnectionId> {
        let stream = connect(self.addresses.proxy(proxy)).ok()?;
        let generation = self.next_sequence();
        let slot = self.connections.vacant_entry();
        let key = slot.key();
        let on_ready = move |readiness: Readiness, clients: &mut Clients| clients.on_ready(key, readiness);
        let socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready).ok()?;
        let http = ClientConnection::new(Limits::default());
        slot.insert(Connection { generation, proxy, socket, http, exchange, is_connected: false });
        Some(ConnectionId { key, generation })
    }

    pub(super) fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.socket.flush().is_err() {
            return self.on_connection_lost(key);
        }
        connection.socket.set_read_interest(&self.handle, true);
    }

    fn on_ready(&mut self, key: usize, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if !connection.is_connected {
            return self.on_connect_progress(key, readiness);
        }
        if readiness.writable {
            self.flush(key);
        }
        if readiness.readable || readiness.error {
            self.read(key);
        }
    }

    fn on_connect_progress(&mut self, key: usize, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.socket.connect_error().is_some() {
            return self.on_connection_lost(key);
        }
        if !readiness.writable {
            return;
        }
        connection.is_connected = true;
        self.unreachable_since.remove(&connection.proxy);
        match connection.exchange {
            Exchange::Attempt(_) => self.send_request(key),
            Exchange::WrongAnswerReport => self.flush(key),
            Exchange::Idle => {}
        }
    }

    fn read(&mut self, key: usize) {
        let mut buffer = [0; READ_BUFFER_SIZE];
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.socket.read(&mut buffer) {
            ReadOutcome::Bytes(_) if matches!(connection.exchange, Exchange::Idle) => {
                let proxy = connection.proxy as u32;
                self.record(ObservedEvent::UnexpectedBytes { proxy });
                self.close(key);
            }
            ReadOutcome::Bytes(length) => {
                connection.http.feed(&buffer[..length]);
                self.process_events(key);
            }
            ReadOutcome::WouldBlock => {}
            ReadOutcome::Closed | ReadOutcome::Failed => self.on_connection_lost(key),
        }
    }

    fn process_events(&mut self, key: usize) {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => self.on_response_head(key, &head),
                Some(ClientEvent::Body(_)) => {}
                Some(ClientEvent::End { reusable }) => return self.on_response_end(key, reusable),
                Some(ClientEvent::Error(_)) => return self.on_connection_lost(key),
            }
        }
    }

    fn on_response_head(&mut self, key: usize, head: &ResponseHead) {
        let response = ResponseInfo::parse(head);
        let Some(connection) = self.connections.get_mut(key) else { return };
        if let Exchange::Attempt(attempt) = &mut connection.exchange {
            attempt.response = Some(response);
        } else if response.status == StatusCode::ACCEPTED {
            self.report.accepted_reports += 1;
        }
    }

    /// Handles the end of a response: frees the connection for the next exchange and evaluates the response.
    fn on_response_end(&mut self, key: usize, is_reusable: bool) {
        // The connection gets a new generation, because the timers of this exchange must not affect the next.
        let generation = self.next_sequence();
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.generation = generation;
        let exchange = std::mem::replace(&mut connection.exchange, Exchange::Idle);
        let proxy = connection.proxy;
        if connection.http.buffered_bytes() > 0 {
            self.record(ObservedEvent::UnexpectedBytes { proxy: proxy as u32 });
        }
        if is_reusable {
            self.idle_connections.entry(proxy).or_default().push(key);
        } else {
            self.close(key);
        }
        if let Exchange::Attempt(attempt) = exchange
            && let Some(response) = &attempt.response
        {
            self.on_response(proxy, &attempt, response);
        }
    }

    fn on_connection_lost(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        // A response that is delimited by the end of the connection is complete now.
        if let Some(ClientEvent::End { .. }) = connection.http.close() {
            return self.on_response_end(key, false);
        }
        let proxy = connection.proxy;
        let was_connected = connection.is_connected;
        let exchange = std::mem::replace(&mut connection.exchange, Exchange::Idle);
        self.close(key);
        let Exchange::Attempt(attempt) = exchange else { return };
        if !was_connected || !attempt.is_sent {
            return self.on_unreachable(attempt.request, proxy);
        }
        self.record(ObservedEvent::ResponseReceived {
            request: attempt.number,
            response: FinalResponse::ConnectionClosed,
        });
        self.report.attempts.broken += 1;
        self.retry_or_finish(attempt.request, Execution::PossiblyExecuted, 0);
    }

    pub(super) fn close(&mut self, key: usize) {
        let connection = self.connections.remove(key);
        connection.socket.remove(&self.handle);
        if let Some(idle) = self.idle_connections.get_mut(&connection.proxy) {
            idle.retain(|other| *other != key);
        }
    }

    /// Closes a connection without a response, unless the exchange that `id` identifies is already over.
    pub(super) fn disconnect(&mut self, id: ConnectionId, reason: DisconnectReason) {
        let Some(connection) = self.connections.get_mut(id.key) else { return };
        if connection.generation != id.generation {
            return;
        }
        let exchange = std::mem::replace(&mut connection.exchange, Exchange::Idle);
        let proxy = connection.proxy;
        self.close(id.key);
        let Exchange::Attempt(attempt) = exchange else { return };
        if !attempt.is_sent {
            return self.on_unreachable(attempt.request, proxy);
        }
        self.record(ObservedEvent::ClientDisconnected { request: attempt.number });
        self.report.attempts.disconnected += 1;
        match reason {
            DisconnectReason::Early => self.finish_unserved(attempt.request),
            DisconnectReason::Timeout => {
                self.retry_or_finish(attempt.request, Execution::PossiblyExecuted, 0);
            }
        }
    }

    /// Reports an answer as wrong to the proxy that forwarded it, on a connection of its own.
    pub(super) fn report_wrong_answer(&mut self, proxy: usize, answer_id: &str) {
        let Some(id) = self.open(proxy, Exchange::WrongAnswerReport) else { return };
        let body = format!("{{\"answer\":\"{answer_id}\"}}");
        let length = body.len();
        let request = format!(
            "POST /.well-known/wrong-answer HTTP/1.1\r\nhost: lab\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        if let Some(connection) = self.connections.get_mut(id.key) {
            connection.socket.write_buffer().extend_from_slice(request.as_bytes());
            connection.http.expect_response(false);
        }
        self.schedule(self.clock.now() + REPORT_TIMEOUT_US, TimerKind::Timeout(id));
    }
}
