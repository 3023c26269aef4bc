//! A watch: the endless response to a subscriber, its backlog, heartbeats, slow readers.

use std::collections::VecDeque;
use violetseam_distribution::Micros;
use violetseam_distribution::message::Line;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_event_io::Socket;
use violetseam_http1::server::ServerConnection;

/// Bytes that are copied for the socket ahead of what it accepts, up to twice as many; the backlog beyond them
/// is shared among all watches.
const WRITE_AHEAD_BYTES: usize = 32 * 1024;
/// Bytes that one watch writes before others have their turn.
const MAX_TURN_BYTES: usize = 1 << 20;

/// An open watch.
pub(crate) struct Watch {
    subscriber: String,
    /// Lines that are not handed to the socket yet, oldest first.
    backlog: VecDeque<Line>,
    /// Bytes of the first of them that are handed over.
    written_of_first: usize,
    /// How many lines of the backlog belong to the response to the call.
    response_lines: usize,
    /// Bytes of the other lines: what was published since.
    unread_bytes: usize,
    /// Since when the socket has had unwritten bytes without a break.
    behind_since: Option<Micros>,
    sent_at: Micros,
}

/// What a periodic check of a watch found.
pub(crate) enum WatchCheck {
    /// Its subscriber has not caught up in time: the watch is to be closed.
    TooSlow,
    /// A heartbeat is to be sent.
    HeartbeatDue,
    /// Nothing to do until this time.
    CheckAt(Micros),
}

impl Watch {
    /// A watch that begins with the lines of the response to its call.
    pub(crate) fn new(now: Micros, subscriber: String, response: Vec<Line>) -> Watch {
        let response_lines = response.len();
        Watch {
            subscriber,
            backlog: response.into(),
            written_of_first: 0,
            response_lines,
            unread_bytes: 0,
            behind_since: None,
            sent_at: now,
        }
    }

    pub(crate) fn subscriber(&self) -> &str {
        &self.subscriber
    }

    /// Bytes published since the call that are not handed to the socket yet.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    pub(crate) fn push(&mut self, line: Line) {
        self.unread_bytes += line.len();
        self.backlog.push_back(line);
    }

    /// Checks for a slow reader and for a due heartbeat.
    pub(crate) fn check(&self, now: Micros, catch_up: Micros) -> WatchCheck {
        if self.behind_since.is_some_and(|since| now >= since + catch_up) {
            return WatchCheck::TooSlow;
        }
        let heartbeat_at = self.sent_at + HEARTBEAT_INTERVAL;
        if now >= heartbeat_at && self.backlog.is_empty() {
            return WatchCheck::HeartbeatDue;
        }
        WatchCheck::CheckAt(heartbeat_at.max(now + 1))
    }

    /// Hands lines to the socket as long as it accepts them, at most for one turn.
    pub(crate) fn write(
        &mut self,
        now: Micros,
        http: &mut ServerConnection,
        socket: &mut Socket,
    ) -> std::io::Result<()> {
        let mut written = 0;
        loop {
            self.write_ahead(http, socket);
            if written >= MAX_TURN_BYTES {
                break;
            }
            written += socket.flush()?;
            if socket.has_unwritten_bytes() || self.backlog.is_empty() {
                break;
            }
        }
        if written > 0 {
            self.sent_at = now;
        }
        self.behind_since = socket.has_unwritten_bytes().then(|| self.behind_since.unwrap_or(now));
        Ok(())
    }

    /// Copies pieces of lines, so that a long line takes no more room in each watch than a short one.
    fn write_ahead(&mut self, http: &mut ServerConnection, socket: &mut Socket) {
        while socket.unwritten_bytes() < WRITE_AHEAD_BYTES {
            let Some(line) = self.backlog.front() else { return };
            let end = line.len().min(self.written_of_first + WRITE_AHEAD_BYTES);
            http.write_body(socket.write_buffer(), &line[self.written_of_first..end]);
            self.written_of_first = end;
            if end == line.len() {
                self.pop();
            }
        }
    }

    /// Removes the first line, which is handed over completely.
    fn pop(&mut self) {
        self.written_of_first = 0;
        let Some(line) = self.backlog.pop_front() else { return };
        match self.response_lines.checked_sub(1) {
            Some(left) => self.response_lines = left,
            None => self.unread_bytes -= line.len(),
        }
    }
}
