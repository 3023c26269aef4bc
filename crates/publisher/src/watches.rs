//! Watches: endless answers to subscribers, what waits for them, heartbeats, slow readers.

use crate::serve::Server;
use http::StatusCode;
use http::header::HeaderMap;
use std::collections::VecDeque;
use violetseam_distribution::Micros;
use violetseam_distribution::message::Line;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_http1::Framing;
use violetseam_http1::server::ServerConn;
use violetseam_loopio::Socket;

/// Bytes that are copied for the socket ahead of what it takes, up to twice as many; what waits beyond them is
/// shared among all watches.
const WRITE_AHEAD: usize = 32 * 1024;
/// Bytes that one watch writes before others have their turn.
const TURN_BYTES: usize = 1 << 20;

/// An open watch.
pub(crate) struct Watch {
    pub(crate) subscriber: String,
    /// Lines that are not handed to the socket yet, oldest first.
    backlog: VecDeque<Line>,
    /// Bytes of the first of them that are handed over.
    begun: usize,
    /// How many of these belong to the answer to the call.
    answer_lines: usize,
    /// Bytes of the others: what was published since.
    unread_bytes: usize,
    /// Since when something has waited without a break.
    behind_since: Option<Micros>,
    sent_at: Micros,
}

impl Watch {
    pub(crate) fn new(now: Micros, subscriber: String, answer: Vec<Line>) -> Watch {
        let answer_lines = answer.len();
        Watch {
            subscriber,
            backlog: answer.into(),
            begun: 0,
            answer_lines,
            unread_bytes: 0,
            behind_since: None,
            sent_at: now,
        }
    }

    fn push(&mut self, line: Line) {
        self.unread_bytes += line.len();
        self.backlog.push_back(line);
    }

    /// The first line is handed over whole.
    fn pop(&mut self) {
        self.begun = 0;
        let Some(line) = self.backlog.pop_front() else { return };
        match self.answer_lines.checked_sub(1) {
            Some(left) => self.answer_lines = left,
            None => self.unread_bytes -= line.len(),
        }
    }

    /// Hands lines to the socket as long as it takes them, a turn's worth at most.
    pub(crate) fn write(
        &mut self,
        now: Micros,
        http: &mut ServerConn,
        socket: &mut Socket,
    ) -> std::io::Result<()> {
        let mut written = 0;
        loop {
            self.write_ahead(http, socket);
            if written >= TURN_BYTES {
                break;
            }
            written += socket.flush()?;
            if socket.waits() || self.backlog.is_empty() {
                break;
            }
        }
        if written > 0 {
            self.sent_at = now;
        }
        self.behind_since = socket.waits().then(|| self.behind_since.unwrap_or(now));
        Ok(())
    }

    /// Copies pieces of lines, so that a long line takes no more room in each watch than a short one.
    fn write_ahead(&mut self, http: &mut ServerConn, socket: &mut Socket) {
        while socket.unwritten() < WRITE_AHEAD {
            let Some(line) = self.backlog.front() else { return };
            let end = line.len().min(self.begun + WRITE_AHEAD);
            http.write_body(socket.out(), &line[self.begun..end]);
            self.begun = end;
            if end == line.len() {
                self.pop();
            }
        }
    }
}

impl Server {
    /// Begins the endless answer to a subscriber's call; a watch that it had before ends.
    pub(crate) fn begin_watch(&mut self, key: usize, subscriber: String, answer: Vec<Line>) {
        if let Some(before) = self.watch_of.insert(subscriber.clone(), key) {
            self.close(before);
        }
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else { return };
        let (out, none) = (connection.socket.out(), HeaderMap::new());
        connection.http.start_answer(out, StatusCode::OK, &none, &[], Framing::Chunked, false);
        connection.watch = Some(Watch::new(now, subscriber, answer));
        self.write(key);
    }

    /// Sends a line to all watches. One whose subscriber reads too slowly is closed; it comes back with the
    /// version that it has.
    pub(crate) fn send_to_watches(&mut self, line: &Line) {
        let most = self.settings.bounds.unread_bytes;
        let keys: Vec<usize> = self.watch_of.values().copied().collect();
        for key in keys {
            let watch = self.connections.get_mut(key).and_then(|connection| connection.watch.as_mut());
            let Some(watch) = watch else { continue };
            watch.push(line.clone());
            let over = watch.unread_bytes > most;
            self.write(key);
            if over && self.unread_bytes(key) > most {
                self.close_slow(key, "too many bytes wait for it");
            }
        }
    }

    /// Ends all watches: their subscribers come back and are answered anew.
    pub(crate) fn close_watches(&mut self) {
        let keys: Vec<usize> = self.watch_of.values().copied().collect();
        keys.into_iter().for_each(|key| self.close(key));
    }

    /// Sends a heartbeat where one is due; when to look again, or none for a watch that is to be closed.
    pub(crate) fn check_watch(&mut self, key: usize, now: Micros) -> Option<Micros> {
        let catch_up = self.settings.bounds.catch_up.as_micros() as Micros;
        let watch = self.connections.get_mut(key)?.watch.as_mut()?;
        if watch.behind_since.is_some_and(|since| now >= since + catch_up) {
            self.warn_slow(key, "it has not caught up in time");
            return None;
        }
        if now >= watch.sent_at + HEARTBEAT_INTERVAL && watch.backlog.is_empty() {
            let line = self.publisher.heartbeat().write();
            self.connections.get_mut(key)?.watch.as_mut()?.push(line);
            self.write(key);
            return Some(now + HEARTBEAT_INTERVAL);
        }
        Some((watch.sent_at + HEARTBEAT_INTERVAL).max(now + 1))
    }

    fn unread_bytes(&self, key: usize) -> usize {
        let watch = self.connections.get(key).and_then(|connection| connection.watch.as_ref());
        watch.map_or(0, |watch| watch.unread_bytes)
    }

    fn close_slow(&mut self, key: usize, why: &str) {
        self.warn_slow(key, why);
        self.close(key);
    }

    fn warn_slow(&mut self, key: usize, why: &str) {
        if !self.log_rate.allows(self.now()) {
            return;
        }
        if let Some(watch) = self.connections.get(key).and_then(|connection| connection.watch.as_ref()) {
            tracing::warn!(subscriber = watch.subscriber, "watch closed: {why}");
        }
    }
}
