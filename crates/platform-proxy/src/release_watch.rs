//! Watches the release service: the release status and reports of wrong answers arrive on one connection.

use crate::event_loop::TimerKind;
use crate::proxy::Proxy;
use crate::votes::PendingVote;
use calloop::{Interest, Readiness};
use slab::Slab;
use std::net::SocketAddr;
use violetseam::interface::{Micros, ReleaseStatus};
use violetseam::release_order::{MAX_STREAM_DELAY, ReleaseOrder, ReleaseReport};
use violetseam_event_io::{ReadOutcome, Socket, connect};
use violetseam_platform_protocol::release_service::{self, AgedStatus, MAX_LINE_BYTES, Message};
use violetseam_site_protocol::line_reader::LineReader;

/// The interval between two attempts to open the watch, before jitter is applied.
const RETRY_INTERVAL: Micros = 300_000;
/// The JSON-RPC id of the first call on each watch. Votes have higher ids.
const WATCH_CALL_ID: u64 = 1;

/// The state of this proxy's communication with the release service, which the platform calls the pipeline.
pub(super) struct ReleaseService {
    pub address: SocketAddr,
    watch: Option<Watch>,
    /// Votes that have no reply yet.
    pub votes: Slab<PendingVote>,
    /// The JSON-RPC id of the latest call.
    pub last_call_id: u64,
    /// Decides which of the statuses that arrive on the watch and in replies to votes is in force.
    order: ReleaseOrder,
    /// The release status that was logged last.
    last_logged_status: Option<ReleaseStatus>,
}

/// The connection of the watch.
struct Watch {
    generation: u64,
    socket: Socket,
    line_reader: LineReader,
    last_received_at: Micros,
}

impl ReleaseService {
    /// Creates the state for a release service at this address, before the first connection.
    pub fn new(address: SocketAddr) -> Self {
        ReleaseService {
            address,
            watch: None,
            votes: Slab::new(),
            last_call_id: WATCH_CALL_ID,
            order: ReleaseOrder::default(),
            last_logged_status: None,
        }
    }

    /// Returns the watch if it is still the one with this generation.
    fn watch(&mut self, generation: u64) -> Option<&mut Watch> {
        self.watch.as_mut().filter(|watch| watch.generation == generation)
    }
}

impl Proxy {
    /// Opens the watch unless it is open. If that fails, another attempt is scheduled.
    pub(super) fn open_release_watch(&mut self) {
        if self.release_service.watch.is_some() {
            return;
        }
        let generation = self.next_generation();
        let now = self.now();
        let on_ready =
            move |readiness: Readiness, proxy: &mut Proxy| proxy.on_watch_readiness(generation, readiness);
        let opened = connect(self.release_service.address)
            .and_then(|stream| Socket::register(&self.loop_handle, stream, Interest::BOTH, on_ready));
        match opened {
            Ok(mut socket) => {
                socket.write_buffer().extend(release_service::watch_call(WATCH_CALL_ID));
                let line_reader = LineReader::new(MAX_LINE_BYTES);
                self.release_service.watch =
                    Some(Watch { generation, socket, line_reader, last_received_at: now });
                self.timers.set(now + MAX_STREAM_DELAY, TimerKind::ReleaseWatchSilence(generation));
            }
            Err(e) => self.on_release_watch_lost(&e.to_string()),
        }
    }

    fn close_release_watch(&mut self) {
        if let Some(watch) = self.release_service.watch.take() {
            watch.socket.remove(&self.loop_handle);
        }
    }

    fn on_release_watch_lost(&mut self, reason: &str) {
        self.close_release_watch();
        if self.may_log() {
            tracing::warn!("pipeline: {reason}");
        }
        let wait = self.with_jitter(RETRY_INTERVAL);
        self.timers.set(self.now() + wait, TimerKind::ReleaseWatchRetry);
    }

    /// Replaces the watch if nothing has arrived on it for too long.
    pub(super) fn check_release_watch(&mut self, generation: u64) {
        let now = self.now();
        let Some(watch) = self.release_service.watch(generation) else { return };
        let timeout_at = watch.last_received_at + MAX_STREAM_DELAY;
        if now >= timeout_at {
            self.on_release_watch_lost("watch silent for too long");
        } else {
            self.timers.set(timeout_at, TimerKind::ReleaseWatchSilence(generation));
        }
    }

    /// Moves the watch to an address that a reload has brought. Votes in flight may still be answered at the
    /// old address.
    pub(super) fn move_release_service(&mut self, address: SocketAddr) {
        if self.release_service.address != address {
            self.release_service.address = address;
            self.close_release_watch();
            self.open_release_watch();
        }
    }

    fn on_watch_readiness(&mut self, generation: u64, readiness: Readiness) {
        let Some(watch) = self.release_service.watch(generation) else { return };
        if readiness.writable {
            if watch.socket.connect_error().is_some() || watch.socket.flush().is_err() {
                return self.on_release_watch_lost("connection failed");
            }
            watch.socket.set_read_interest(&self.loop_handle, true);
        }
        if readiness.readable || readiness.error {
            self.read_release_watch();
        }
        self.run_engine_actions();
    }

    fn read_release_watch(&mut self) {
        let now = self.now();
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if let Some(watch) = &mut self.release_service.watch {
            match watch.socket.read(&mut read_buffer) {
                ReadOutcome::Bytes(length) => {
                    watch.last_received_at = now;
                    watch.line_reader.feed(&read_buffer[..length]);
                    self.handle_release_watch_lines();
                }
                ReadOutcome::WouldBlock => {}
                ReadOutcome::Closed | ReadOutcome::Failed => self.on_release_watch_lost("connection lost"),
            }
        }
        self.read_buffer = read_buffer;
    }

    fn handle_release_watch_lines(&mut self) {
        while let Some(watch) = &mut self.release_service.watch {
            let line = match watch.line_reader.next_line() {
                Ok(None) => return,
                Ok(Some(line)) => Message::parse(line).map_err(|error| error.to_string()),
                Err(error) => Err(error.to_string()),
            };
            let stream = watch.generation;
            match line {
                Err(reason) => return self.on_release_watch_lost(&reason),
                Ok(Message::ReleaseStatus(status)) => self.on_release_status(stream, status),
                Ok(Message::AnswerFlagged { server, class, age }) => {
                    self.on_answer_flagged(&server, &class, age);
                }
                Ok(Message::Accepted { status: Some(status), .. }) => {
                    self.on_release_status(stream, status);
                }
                Ok(Message::Declined { message, .. }) => return self.on_release_watch_lost(&message),
                Ok(Message::Accepted { status: None, .. } | Message::Heartbeat) => {}
            }
        }
    }

    fn on_release_status(&mut self, stream: u64, status: AgedStatus) {
        let now = self.now();
        let report = status.report(|status| ReleaseReport::on_stream(status, stream, now));
        if let Some(status) = self.admit_release_report(report) {
            self.engine.on_release_status(now, status);
            self.run_engine_actions();
        }
    }

    /// Returns the status of a report if it is to be put in force, and logs it if it differs from the one
    /// that was logged last.
    pub(super) fn admit_release_report(&mut self, report: ReleaseReport) -> Option<ReleaseStatus> {
        let status = report.status();
        let source = report.source();
        let ReleaseStatus { build, stage, phase, cap } = status;
        if !self.release_service.order.admits(report) {
            if self.may_log() {
                tracing::info!(target: "verdict", build, stage, ?phase, cap, %source, "late stage news ignored");
            }
            return None;
        }
        if self.release_service.last_logged_status.replace(status) != Some(status) {
            tracing::info!(target: "verdict", build, stage, ?phase, cap, %source, "stage news");
        }
        Some(status)
    }

    /// Passes a report of a wrong answer to the engine, unless its server or class is unknown.
    fn on_answer_flagged(&mut self, server: &str, class: &str, age: Micros) {
        let Some(server) = self.server_list.number(server) else { return };
        let Some(class) = self.config.instance.classes.iter().position(|name| name == class) else { return };
        let now = self.now();
        self.engine.on_answer_flagged(now, server, class, age);
        self.run_engine_actions();
    }
}
