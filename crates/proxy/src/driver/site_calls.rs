//! Calls to discovery and to the release service: each one HTTP exchange on a connection of its own. A watch on
//! the server list and the release's state are answers without an end, one JSON line a message.

use super::http_request::queue_request;
use super::timers::TimerKind;
use super::{ConnectionId, ListedServer, Proxy};
use calloop::{Interest, Readiness};
use std::net::SocketAddr;
use violetseam::interface::{Build, ListKind, Micros, Outcome, ReleaseStatus, Verdict};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_http1::client::{ClientConnection, ClientEvent};
use violetseam_site_protocol::line_reader::LineReader;
use violetseam_site_protocol::release_service::{FencedRelease, VoteResult};
use violetseam_site_protocol::{endpoint_list, release_service};

/// The least wait for another try on the release service's stream, or for a line on it.
const MIN_STREAM_SPAN: Micros = 10_000;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPurpose {
    /// Changes of the server list, from the present version on.
    WatchList,
    /// The whole server list, once.
    FetchList,
    /// The state of the newest build's release.
    WatchRelease,
    /// A vote.
    Vote,
}

/// Why a call is over.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("no connection to the roster")]
    NoRoster,
    #[error("no connection")]
    NoConnection,
    #[error("connection lost")]
    ConnectionLost,
    #[error("closed")]
    Closed,
    #[error("not accepted")]
    NotAccepted,
    #[error("reply too long")]
    ReplyTooLong,
    #[error("malformed answer")]
    MalformedAnswer,
    #[error("{0}")]
    MalformedLine(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("news under number {fence} after {highest}")]
    Fenced { fence: u64, highest: u64 },
    #[error("silent for too long")]
    Silent,
    #[error("no answer in time")]
    NoAnswer,
}

impl CallError {
    fn malformed(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        CallError::MalformedLine(Box::new(error))
    }
}

/// An HTTP request of the proxy's own.
struct CallRequest<'a> {
    purpose: CallPurpose,
    to: SocketAddr,
    method: &'a str,
    path: &'a str,
    body: &'a [u8],
    timeout: Option<Micros>,
}

/// A call in flight.
pub(super) struct Call {
    generation: u64,
    purpose: CallPurpose,
    socket: Socket,
    http: ClientConnection,
    lines: LineReader,
    /// A vote's reply as it comes.
    body: Vec<u8>,
    /// At least one byte of the call may have reached the other side.
    written: bool,
    /// A message has come: later ones were not asked for one by one.
    answered: bool,
    /// A line has come since the stream was last checked.
    heard: bool,
    /// The status was 200.
    accepted: bool,
}

impl Proxy {
    /// Subscribes to the server list. A new subscription replaces the one before.
    pub(super) fn watch_server_list(&mut self) {
        if let Some(before) = self.watch.take() {
            self.close_call(before);
        }
        let position = self.settings.decisions.position;
        let path = match self.server_list.version() {
            Some(version) => format!("/v1/roster/watch?proxy={position}&since={version}"),
            None => format!("/v1/roster/watch?proxy={position}"),
        };
        self.watch = self.call_discovery(CallPurpose::WatchList, &path);
    }

    /// Fetches the whole server list once.
    pub(super) fn fetch_server_list(&mut self) {
        let path = format!("/v1/roster?proxy={}", self.settings.decisions.position);
        self.call_discovery(CallPurpose::FetchList, &path);
    }

    fn call_discovery(&mut self, purpose: CallPurpose, path: &str) -> Option<usize> {
        let to = self.settings.roster;
        let timeout = Some(self.settings.roster_timeout);
        let call = self.call(&CallRequest { purpose, to, method: "GET", path, body: &[], timeout });
        if call.is_none() {
            self.on_list_failed(&CallError::NoRoster);
        }
        call
    }

    /// Opens the stream of the release's state; lost, it is opened again after a while.
    pub(super) fn open_release_stream(&mut self) {
        if self.release_stream.is_some() || self.handed_over || self.ending {
            return;
        }
        let path = format!("/v1/stage/watch?proxy={}", self.settings.decisions.position);
        self.release_stream = self.call(&CallRequest {
            purpose: CallPurpose::WatchRelease,
            to: self.release_service(),
            method: "GET",
            path: &path,
            body: &[],
            timeout: self.settings.desk_silence,
        });
        if self.release_stream.is_none() {
            self.on_release_stream_lost();
        }
    }

    /// The controller that is called.
    fn release_service(&self) -> SocketAddr {
        let controllers = &self.settings.desks;
        controllers[self.release_service_index % controllers.len()]
    }

    fn on_release_stream_lost(&mut self) {
        self.release_stream = None;
        // A standby may have become the leader.
        self.release_service_index = (self.release_service_index + 1) % self.settings.desks.len();
        // Drawn, as all proxies lose the release service together.
        let span = self.settings.desk_reconnect.max(MIN_STREAM_SPAN);
        let wait = span / 2 + self.draw() % span;
        self.timers.set(self.now() + wait, TimerKind::ReleaseStream);
    }

    /// Sends a vote to the release service.
    pub(super) fn call_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        tracing::info!(target: "verdict", build, stage, ?verdict, "vote");
        let body =
            release_service::Vote::new(self.settings.decisions.position, build, stage, verdict).write();
        let call = self.call(&CallRequest {
            purpose: CallPurpose::Vote,
            to: self.release_service(),
            method: "POST",
            path: "/v1/vote",
            body: &body,
            timeout: Some(self.settings.decisions.rollout.vote_timeout),
        });
        if call.is_none() {
            // Nothing was sent to the release service: it cannot count.
            self.on_vote_ended(Outcome::Error, &[]);
        }
    }

    /// Begins a call; none if no connection could be begun.
    fn call(&mut self, request: &CallRequest<'_>) -> Option<usize> {
        let CallRequest { purpose, to, method, path, body, timeout } = request;
        let stream = connect(*to).ok()?;
        let generation = self.next_generation();
        let entry = self.calls.vacant_entry();
        let key = entry.key();
        let on_ready = move |readiness: Readiness, proxy: &mut Proxy| proxy.on_call(key, readiness);
        let mut socket = Socket::register(&self.handle, stream, Interest::BOTH, on_ready).ok()?;
        let http = queue_request(&mut socket, *to, method, path, body);
        let max_line_bytes = match purpose {
            CallPurpose::WatchRelease => release_service::MAX_LINE_BYTES,
            _ => endpoint_list::MAX_LINE_BYTES,
        };
        entry.insert(Call {
            generation,
            purpose: *purpose,
            socket,
            http,
            lines: LineReader::new(max_line_bytes),
            body: Vec::new(),
            written: false,
            answered: false,
            heard: false,
            accepted: false,
        });
        if let Some(timeout) = timeout {
            self.timers.set(self.now() + timeout, TimerKind::Call(ConnectionId { key, generation }));
        }
        Some(key)
    }

    fn on_call(&mut self, key: usize, readiness: Readiness) {
        if readiness.writable {
            let Some(call) = self.calls.get_mut(key) else { return };
            if call.socket.connect_error().is_some() {
                return self.call_ended(key, &CallError::NoConnection);
            }
            match call.socket.flush() {
                Ok(n) => call.written |= n > 0,
                Err(_) => return self.call_ended(key, &CallError::ConnectionLost),
            }
            call.socket.set_read_interest(&self.handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_call(key);
        }
        self.run_engine_actions();
    }

    fn read_call(&mut self, key: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(call) = self.calls.get_mut(key) {
            match call.socket.read(&mut scratch) {
                ReadOutcome::Bytes(n) => {
                    call.http.feed(&scratch[..n]);
                    self.call_events(key);
                }
                ReadOutcome::WouldBlock => break,
                ReadOutcome::Closed => {
                    if let Some(ClientEvent::End { .. }) = call.http.close() {
                        self.call_complete(key);
                    }
                    self.call_ended(key, &CallError::Closed);
                    break;
                }
                ReadOutcome::Failed => {
                    self.call_ended(key, &CallError::ConnectionLost);
                    break;
                }
            }
        }
        self.scratch = scratch;
    }

    fn call_events(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            match call.http.next_event() {
                None => return,
                Some(ClientEvent::Head(head)) => {
                    call.accepted = head.status == 200;
                    if !call.accepted {
                        return self.call_ended(key, &CallError::NotAccepted);
                    }
                }
                Some(ClientEvent::Body(bytes)) if call.purpose == CallPurpose::Vote => {
                    call.body.extend_from_slice(&bytes);
                    if call.body.len() > release_service::MAX_LINE_BYTES {
                        return self.call_ended(key, &CallError::ReplyTooLong);
                    }
                }
                Some(ClientEvent::Body(bytes)) => {
                    call.lines.feed(&bytes);
                    self.call_lines(key);
                }
                Some(ClientEvent::End { .. }) => {
                    self.call_complete(key);
                    return self.call_ended(key, &CallError::Closed);
                }
                Some(ClientEvent::Error(_)) => return self.call_ended(key, &CallError::MalformedAnswer),
            }
        }
    }

    fn call_lines(&mut self, key: usize) {
        while let Some(call) = self.calls.get_mut(key) {
            let line = match call.lines.next_line() {
                Ok(Some(line)) => line.to_vec(),
                Ok(None) => return,
                Err(fault) => return self.call_ended(key, &CallError::malformed(fault)),
            };
            call.heard = true;
            // A blank line keeps an idle stream open.
            if line.is_empty() {
                continue;
            }
            call.answered = true;
            let applied = match call.purpose {
                CallPurpose::WatchList | CallPurpose::FetchList => self.on_list_line(&line),
                CallPurpose::WatchRelease => self.on_release_line(&line),
                CallPurpose::Vote => Ok(()),
            };
            if let Err(error) = applied {
                if let Some(call) = self.calls.get_mut(key) {
                    call.answered = false;
                }
                return self.call_ended(key, &error);
            }
        }
    }

    fn on_list_line(&mut self, line: &[u8]) -> Result<(), CallError> {
        let message = endpoint_list::ListUpdate::parse(line).map_err(CallError::malformed)?;
        let now = self.now();
        let applied = self.server_list.apply(now, &message);
        #[allow(unused_mut)]
        let endpoint_list::AppliedUpdate { kind, mut entries } = match applied {
            Ok(applied) => applied,
            Err(fault) => {
                // Whatever discovery lost, its whole list is asked for next and must be newer.
                if message.kind == endpoint_list::UpdateKind::Delta {
                    self.server_list.forget_version();
                }
                return Err(CallError::malformed(fault));
            }
        };
        #[cfg(feature = "sabotage")]
        if self.sabotage == Some(super::Sabotage::IgnoreDrains) {
            for entry in &mut entries {
                entry.status = violetseam::interface::ServerStatus::Ready;
            }
        }
        if kind == ListKind::Full {
            self.listed_servers.clear();
        }
        for entry in message.servers {
            if entry.state == endpoint_list::EndpointState::Gone {
                self.listed_servers.remove(&entry.id);
            } else {
                self.listed_servers.insert(entry.id, ListedServer { received_at: now, entry });
            }
        }
        self.list_changed = true;
        self.list_received_at = Some(now);
        self.engine.on_server_list(now, kind, &entries);
        Ok(())
    }

    fn on_release_line(&mut self, line: &[u8]) -> Result<(), CallError> {
        let FencedRelease { status: release, fence } =
            FencedRelease::parse(line).map_err(CallError::malformed)?;
        if fence < self.release_fence {
            // A controller that stood still while another took its place: not obeyed, and left.
            return Err(CallError::Fenced { fence, highest: self.release_fence });
        }
        self.release_fence = fence;
        if self.engine.release() != Some(release) {
            let ReleaseStatus { build, stage, phase, cap } = release;
            tracing::info!(target: "verdict", build, stage, ?phase, cap, "stage news");
        }
        let now = self.now();
        self.engine.on_release_status(now, release);
        Ok(())
    }

    /// The answer is complete.
    fn call_complete(&mut self, key: usize) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.purpose == CallPurpose::Vote && !call.answered {
            call.answered = true;
            let body = std::mem::take(&mut call.body);
            self.on_vote_ended(Outcome::Ok, &body);
        }
    }

    fn on_vote_ended(&mut self, outcome: Outcome, body: &[u8]) {
        let VoteResult { outcome, release } = match outcome {
            Outcome::Ok => VoteResult::parse(body).unwrap_or_else(|error| {
                tracing::warn!("{error}");
                // It was taken by something that does not speak the protocol; whether it counts is open.
                VoteResult { outcome: Outcome::Timeout, release: None }
            }),
            outcome => VoteResult { outcome, release: None },
        };
        tracing::debug!(target: "verdict", ?outcome, "vote reply");
        let now = self.now();
        let (outcome, release) = match release {
            // What an older controller counts, counts nowhere.
            Some(release) if release.fence < self.release_fence => (Outcome::Error, None),
            Some(release) => {
                self.release_fence = release.fence;
                (outcome, Some(release.status))
            }
            None => (outcome, None),
        };
        self.engine.on_vote_reply(now, outcome, release);
    }

    fn on_list_failed(&mut self, error: &CallError) {
        tracing::warn!("roster: {error}");
        let now = self.now();
        self.engine.on_server_list(now, ListKind::Failed, &[]);
    }

    /// The time that was set for a call may be over.
    pub(super) fn call_timeout(&mut self, id: ConnectionId) {
        let ConnectionId { key, generation } = id;
        let now = self.now();
        let timers = &mut self.timers;
        let silence = self.settings.desk_silence;
        if let Some(call) = self
            .calls
            .get_mut(key)
            .filter(|c| c.generation == generation && c.purpose == CallPurpose::WatchRelease)
        {
            if std::mem::take(&mut call.heard) {
                return timers.set(
                    now + silence.unwrap_or(0).max(MIN_STREAM_SPAN),
                    TimerKind::Call(ConnectionId { key, generation }),
                );
            }
            return self.call_ended(key, &CallError::Silent);
        }
        let late = self.calls.get(key).is_some_and(|c| c.generation == generation && !c.answered);
        if late {
            self.call_ended(key, &CallError::NoAnswer);
        }
    }

    /// Ends the streams from discovery and the release service: they are a successor's now.
    pub(super) fn leave_site(&mut self) {
        for key in [self.watch.take(), self.release_stream.take()].into_iter().flatten() {
            self.close_call(key);
        }
    }

    fn close_call(&mut self, key: usize) {
        if self.calls.contains(key) {
            self.calls.remove(key).socket.remove(&self.handle);
        }
    }

    /// The call is over: reports that to whoever waits for it.
    fn call_ended(&mut self, key: usize, error: &CallError) {
        let Some(call) = self.calls.get(key) else { return };
        let purpose = call.purpose;
        let answered = call.answered;
        let written = call.written;
        self.close_call(key);
        match purpose {
            CallPurpose::WatchList => {
                // A newer subscription may have taken its place.
                if self.watch == Some(key) {
                    self.watch = None;
                    self.on_list_failed(error);
                }
            }
            CallPurpose::FetchList if !answered => self.on_list_failed(error),
            CallPurpose::FetchList => {}
            CallPurpose::WatchRelease => {
                tracing::warn!("desk: {error}");
                self.on_release_stream_lost();
            }
            CallPurpose::Vote if !answered => {
                let may_count = written && !matches!(error, CallError::NotAccepted);
                self.on_vote_ended(if may_count { Outcome::Timeout } else { Outcome::Error }, &[]);
            }
            CallPurpose::Vote => {}
        }
    }
}
