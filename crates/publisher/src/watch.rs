//! A watch: the endless response to one subscriber, with its backlog, its heartbeats and the check for slow
//! readers.

use std::collections::VecDeque;
use violetseam_distribution::Micros;
use violetseam_distribution::message::Line;
use violetseam_distribution::subscriber::HEARTBEAT_INTERVAL;
use violetseam_event_io::Socket;
use violetseam_http1::server::ServerConnection;

/// Lines are copied to the socket's write buffer while it has fewer bytes than this, in pieces of at most
/// this many; so it never has more than twice as many. The lines in the backlog are not copied but shared by
/// all watches.
const WRITE_AHEAD_BYTES: usize = 32 * 1024;
/// A watch that has written this many bytes in one turn lets other connections write first.
const MAX_BYTES_PER_TURN: usize = 1 << 20;

/// An open watch.
pub(crate) struct Watch {
    subscriber: String,
    /// Lines that are not completely copied to the socket's write buffer yet, oldest first.
    backlog: VecDeque<Line>,
    /// The number of bytes of the first line that are already copied.
    copied_of_first_line: usize,
    /// How many lines of the backlog belong to the response to the watch request. They are ahead of all
    /// others.
    response_lines: usize,
    /// The number of bytes of the other lines, which were published after the watch request.
    unread_bytes: usize,
    /// Since when the socket has always had unwritten bytes; none if it has none now.
    behind_since: Option<Micros>,
    last_sent_at: Micros,
}

/// The result of the periodic check of a watch.
pub(crate) enum WatchCheck {
    /// The subscriber has not caught up in time, so the watch must be closed.
    TooSlow,
    /// A heartbeat must be sent now.
    HeartbeatDue,
    /// Nothing needs to be done until this time.
    CheckAt(Micros),
}

impl Watch {
    /// Creates a watch that first sends the lines of the response to the watch request.
    pub(crate) fn new(now: Micros, subscriber: String, response: Vec<Line>) -> Watch {
        let response_lines = response.len();
        Watch {
            subscriber,
            backlog: response.into(),
            copied_of_first_line: 0,
            response_lines,
            unread_bytes: 0,
            behind_since: None,
            last_sent_at: now,
        }
    }

    pub(crate) fn subscriber(&self) -> &str {
        &self.subscriber
    }

    /// The number of bytes that were published after the watch request and are not copied to the socket's
    /// write buffer yet. A line counts until it is copied completely.
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
        let heartbeat_at = self.last_sent_at + HEARTBEAT_INTERVAL;
        if now >= heartbeat_at && self.backlog.is_empty() {
            return WatchCheck::HeartbeatDue;
        }
        WatchCheck::CheckAt(heartbeat_at.max(now + 1))
    }

    /// Writes lines to the socket until it accepts no more bytes, the backlog is empty or the turn is over.
    pub(crate) fn write(
        &mut self,
        now: Micros,
        http: &mut ServerConnection,
        socket: &mut Socket,
    ) -> std::io::Result<()> {
        let mut written = 0;
        loop {
            self.fill_write_buffer(http, socket);
            if written >= MAX_BYTES_PER_TURN {
                break;
            }
            written += socket.flush()?;
            if socket.has_unwritten_bytes() || self.backlog.is_empty() {
                break;
            }
        }
        if written > 0 {
            self.last_sent_at = now;
        }
        self.behind_since = socket.has_unwritten_bytes().then(|| self.behind_since.unwrap_or(now));
        Ok(())
    }

    /// Copies lines to the socket's write buffer, a long line in pieces. So a long line takes no more memory
    /// per watch than a short one.
    fn fill_write_buffer(&mut self, http: &mut ServerConnection, socket: &mut Socket) {
        while socket.unwritten_bytes() < WRITE_AHEAD_BYTES {
            let Some(line) = self.backlog.front() else { return };
            let end = line.len().min(self.copied_of_first_line + WRITE_AHEAD_BYTES);
            http.write_body(socket.write_buffer(), &line[self.copied_of_first_line..end]);
            self.copied_of_first_line = end;
            if end == line.len() {
                self.remove_first_line();
            }
        }
    }

    /// Removes the first line, which is copied completely.
    fn remove_first_line(&mut self) {
        self.copied_of_first_line = 0;
        let Some(line) = self.backlog.pop_front() else { return };
        match self.response_lines.checked_sub(1) {
            Some(remaining) => self.response_lines = remaining,
            None => self.unread_bytes -= line.len(),
        }
    }
}
