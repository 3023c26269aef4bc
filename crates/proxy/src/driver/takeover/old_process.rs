//! The old process of a takeover: makes the offer, and then hands over or continues to serve.

use super::super::drain::Lifecycle;
use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::descriptor_passing::send_descriptors;
use super::protocol::{
    BUSY_LINE, GO_LINE, HAND_OVER_TIMEOUT, Offer, READY_LINE, VERSION, VERSION_WITHOUT_CONTROL_LISTENER,
    monotonic_micros,
};
use std::io::Write;
use std::os::fd::{AsFd, BorrowedFd};
use violetseam::interface::Micros;

/// Why the old process continues to serve after it started a hand-over.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum HandOverError {
    /// The offer could not be created or sent.
    #[error("the offer could not be sent: {0}")]
    Offer(#[source] std::io::Error),
    /// The new process sent something other than the line that reports that it is ready.
    #[error("the new process sent something other than `ready`")]
    UnexpectedMessage,
    /// The connection to the new process is closed.
    #[error("the connection to the new process is closed")]
    SuccessorDisconnected,
    /// The new process was not ready within [`HAND_OVER_TIMEOUT`].
    #[error("the new process was not ready within {HAND_OVER_TIMEOUT:?}")]
    TimedOut,
}

/// The stage that this process has reached in handing over.
#[derive(Default)]
pub(in super::super) enum HandOver {
    /// No process is taking over.
    #[default]
    NotStarted,
    /// This process has started to make its offer and waits until the new process is ready.
    Offered {
        /// The new process's connection to the control socket.
        successor: ConnectionId,
        /// The slab keys of the idle client connections that were offered.
        client_keys: Vec<usize>,
    },
    /// The new process serves.
    Completed,
}

impl HandOver {
    fn successor(&self) -> Option<ConnectionId> {
        match self {
            HandOver::Offered { successor, .. } => Some(*successor),
            HandOver::NotStarted | HandOver::Completed => None,
        }
    }

    /// Whether `connection` is the control connection of the process that is taking over.
    pub(in super::super) fn is_successor(&self, connection: ConnectionId) -> bool {
        self.successor() == Some(connection)
    }
}

impl Proxy {
    /// Whether a new process is taking over and does not serve yet.
    pub(in super::super) fn is_handing_over(&self) -> bool {
        matches!(self.hand_over, HandOver::Offered { .. })
    }

    /// Whether a new process serves in place of this one.
    pub(in super::super) fn has_handed_over(&self) -> bool {
        matches!(self.hand_over, HandOver::Completed)
    }

    /// In the old process: starts a hand-over to the process on the control connection with this slab key.
    pub(in super::super) fn start_hand_over(&mut self, key: usize) {
        let Some(connection) = self.operator_connection(key) else { return };
        if self.is_handing_over() || self.lifecycle.is_draining() || self.is_persisting() {
            // A hand-over cannot start during another hand-over, a drain or the storing of a command. The new
            // process treats this line as a refusal.
            if let Some(mut stream) = self.operator_stream(connection) {
                let _ = stream.write_all(BUSY_LINE);
            }
            return;
        }
        tracing::info!("a new process asked to take over");
        self.hand_over = HandOver::Offered { successor: connection, client_keys: Vec::new() };
        let deadline = self.now() + HAND_OVER_TIMEOUT.as_micros() as Micros;
        self.timers.set(deadline, TimerKind::Takeover(connection.generation));
        self.set_accepting(false);
        self.engine.suspend_attempts(true);
        self.rearm_all_clients();
        self.save_server_list();
        self.release_store();
        self.release_configuration();
        if let Err(error) = self.send_offer(connection) {
            self.abort_hand_over(&HandOverError::Offer(error));
        }
    }

    fn send_offer(&mut self, connection: ConnectionId) -> std::io::Result<()> {
        let seed = self.random_u64();
        let module = postcard::to_allocvec(&self.engine.successor(seed)).map_err(std::io::Error::other)?;
        let idle_client_keys = self.idle_client_keys();
        let line = self.offer_line(module.len(), idle_client_keys.len())?;
        let Some(mut stream) = self.operator_stream(connection) else {
            return Err(std::io::Error::other("the connection to the new process is closed"));
        };
        // The event loop blocks during this one exchange, for some milliseconds. That is acceptable because
        // no client is read during a hand-over anyway.
        stream.set_nonblocking(false)?;
        stream.set_write_timeout(Some(HAND_OVER_TIMEOUT))?;
        stream.write_all(&line)?;
        stream.write_all(&module)?;
        send_descriptors(stream, &self.offered_descriptors(&idle_client_keys))?;
        stream.set_nonblocking(true)?;
        self.hand_over = HandOver::Offered { successor: connection, client_keys: idle_client_keys };
        Ok(())
    }

    /// Returns the sockets to be handed over, in the order of the [`Offer`]'s fields.
    fn offered_descriptors(&self, idle_client_keys: &[usize]) -> Vec<BorrowedFd<'_>> {
        let mut descriptors: Vec<BorrowedFd<'_>> =
            self.listeners.iter().map(|listener| listener.socket().as_fd()).collect();
        descriptors.extend(self.peer_socket.as_ref().map(|peer_socket| peer_socket.socket().as_fd()));
        descriptors.extend(self.control_listener().map(AsFd::as_fd));
        descriptors.extend(self.client_streams(idle_client_keys).into_iter().map(AsFd::as_fd));
        descriptors
    }

    fn offer_line(&self, module_bytes: usize, client_count: usize) -> std::io::Result<Vec<u8>> {
        let has_control_listener = self.control_listener().is_some();
        let offer = Offer {
            version: if has_control_listener { VERSION } else { VERSION_WITHOUT_CONTROL_LISTENER },
            clock: self.now(),
            monotonic_micros: monotonic_micros(),
            listener_count: self.listeners.len(),
            has_peer_socket: self.peer_socket.is_some(),
            has_control_listener,
            release_fence: self.site_calls.highest_fence(),
            client_count,
            module_bytes: module_bytes as u64,
        };
        let mut line = serde_json::to_vec(&offer)?;
        line.push(b'\n');
        Ok(line)
    }

    /// Handles bytes from the new process. Only the line that reports that it is ready is valid.
    pub(in super::super) fn on_successor_message(&mut self, bytes: &[u8]) {
        let Some(connection) = self.hand_over.successor() else { return };
        if bytes != READY_LINE {
            return self.abort_hand_over(&HandOverError::UnexpectedMessage);
        }
        let is_sent = match self.operator_stream(connection) {
            Some(mut stream) => stream.write_all(GO_LINE).is_ok(),
            None => false,
        };
        if !is_sent {
            return self.abort_hand_over(&HandOverError::SuccessorDisconnected);
        }
        tracing::info!(owed = self.engine.pending_responses(), "handed over to the new process");
        self.complete_hand_over();
    }

    fn complete_hand_over(&mut self) {
        let previous = std::mem::replace(&mut self.hand_over, HandOver::Completed);
        self.release_control_socket();
        self.end_site_streams();
        self.end_subscription();
        self.close_peer_socket();
        // Both processes have copies of these sockets, so closing the copies of this process ends no
        // connection. The other connections, which became idle after the offer, were marked to close with
        // their responses.
        self.set_accepting(true);
        self.stop_listening();
        if let HandOver::Offered { client_keys, .. } = previous {
            for key in client_keys {
                self.close_client(key);
            }
        }
        self.lifecycle = Lifecycle::ShuttingDown;
        self.rearm_all_clients();
        self.run_engine_actions();
    }

    /// Handles the timer for the new process to become ready, unless the takeover that it was set for has
    /// ended.
    pub(in super::super) fn hand_over_timeout(&mut self, generation: u64) {
        if self.hand_over.successor().is_some_and(|connection| connection.generation == generation) {
            self.abort_hand_over(&HandOverError::TimedOut);
        }
    }

    /// Cancels a hand-over that failed, and resumes normal service.
    pub(in super::super) fn abort_hand_over(&mut self, error: &HandOverError) {
        tracing::error!("takeover failed, this process continues to serve: {error}");
        if let HandOver::Offered { successor, .. } = std::mem::take(&mut self.hand_over) {
            self.close_operator(successor.key);
        }
        self.engine.suspend_attempts(false);
        self.reopen_store();
        self.set_accepting(true);
        self.rearm_all_clients();
    }

    /// Updates the events that each client connection is polled for.
    fn rearm_all_clients(&mut self) {
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.rearm_client(key);
        }
    }
}
