//! The old process of a takeover: offers itself, and hands over or serves on.

use super::super::drain::Lifecycle;
use super::super::timers::TimerKind;
use super::super::{ConnectionId, Proxy};
use super::descriptor_passing::send_descriptors;
use super::protocol::{
    BUSY_LINE, GO_LINE, Offer, PEER_TIMEOUT, READY_LINE, VERSION, VERSION_WITHOUT_CONTROL_LISTENER,
    monotonic_micros,
};
use std::io::Write;
use std::os::fd::{AsFd, BorrowedFd};
use violetseam::interface::Micros;

/// Why the old process serves on after it has offered itself.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum HandOverError {
    /// The offer could not be written or sent.
    #[error("nothing could be handed over: {0}")]
    Offer(#[source] std::io::Error),
    /// Something else came than the line that says it is ready.
    #[error("the new process does not speak the protocol")]
    UnexpectedMessage,
    /// Its connection is closed.
    #[error("the new process went away")]
    SuccessorGone,
    /// It was not ready within [`PEER_TIMEOUT`].
    #[error("the new process took too long")]
    TimedOut,
}

/// How far this process has come in handing over.
#[derive(Default)]
pub(in super::super) enum HandOver {
    /// No process is taking over.
    #[default]
    NotStarted,
    /// This process has offered itself and waits until the new one is ready.
    Offered {
        /// The new process's connection to the control socket.
        successor: ConnectionId,
        /// The idle client connections that were offered to it.
        clients: Vec<usize>,
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

    /// Whether an operator's connection is that of the process which is taking over.
    pub(in super::super) fn is_to(&self, connection: ConnectionId) -> bool {
        self.successor() == Some(connection)
    }
}

impl Proxy {
    /// Whether a new process is taking over, and is not serving yet.
    pub(in super::super) fn is_handing_over(&self) -> bool {
        matches!(self.hand_over, HandOver::Offered { .. })
    }

    /// Whether a new process serves in place of this one.
    pub(in super::super) fn has_handed_over(&self) -> bool {
        matches!(self.hand_over, HandOver::Completed)
    }

    /// The old process: offers itself to the process on this connection.
    pub(in super::super) fn start_hand_over(&mut self, key: usize) {
        let Some(connection) = self.operator_connection(key) else { return };
        if self.is_handing_over() || self.lifecycle.is_draining() || self.is_persisting() {
            // Not in the middle of something else; the new process reads this as a refusal.
            if let Some(mut stream) = self.operator_stream(connection) {
                let _ = stream.write_all(BUSY_LINE);
            }
            return;
        }
        tracing::info!("a new process takes over");
        self.hand_over = HandOver::Offered { successor: connection, clients: Vec::new() };
        let deadline = self.now() + PEER_TIMEOUT.as_micros() as Micros;
        self.timers.set(deadline, TimerKind::Takeover(connection.generation));
        self.set_accepting(false);
        self.engine.suspend_attempts(true);
        self.rearm_all_clients();
        self.save_list();
        self.release_store();
        self.release_configuration();
        if let Err(error) = self.send_offer(connection) {
            self.abort_hand_over(&HandOverError::Offer(error));
        }
    }

    fn send_offer(&mut self, connection: ConnectionId) -> std::io::Result<()> {
        let seed = self.draw();
        let module = postcard::to_allocvec(&self.engine.successor(seed)).map_err(std::io::Error::other)?;
        let idle = self.idle_clients();
        let line = self.offer_line(module.len(), idle.len())?;
        let Some(mut stream) = self.operator_stream(connection) else {
            return Err(std::io::Error::other("the connection is gone"));
        };
        // The event loop blocks for this one exchange, some milliseconds: no client is read meanwhile anyway.
        stream.set_nonblocking(false)?;
        stream.set_write_timeout(Some(PEER_TIMEOUT))?;
        stream.write_all(&line)?;
        stream.write_all(&module)?;
        send_descriptors(stream, &self.offered_descriptors(&idle))?;
        stream.set_nonblocking(true)?;
        self.hand_over = HandOver::Offered { successor: connection, clients: idle };
        Ok(())
    }

    /// The sockets to hand over, in the order of the [`Offer`]'s fields.
    fn offered_descriptors(&self, idle_clients: &[usize]) -> Vec<BorrowedFd<'_>> {
        let mut descriptors: Vec<BorrowedFd<'_>> =
            self.listeners.iter().map(|open| open.socket().as_fd()).collect();
        descriptors.extend(self.peer_socket.as_ref().map(|peers| peers.socket().as_fd()));
        descriptors.extend(self.control_listener().map(AsFd::as_fd));
        descriptors.extend(self.client_streams(idle_clients).into_iter().map(AsFd::as_fd));
        descriptors
    }

    fn offer_line(&self, module_bytes: usize, idle_clients: usize) -> std::io::Result<Vec<u8>> {
        let has_control_listener = self.control_listener().is_some();
        let offer = Offer {
            version: if has_control_listener { VERSION } else { VERSION_WITHOUT_CONTROL_LISTENER },
            clock: self.now(),
            monotonic: monotonic_micros(),
            listeners: self.listeners.len(),
            peers: self.peer_socket.is_some(),
            control: has_control_listener,
            release_fence: self.site_calls.highest_fence(),
            clients: idle_clients,
            module_bytes: module_bytes as u64,
        };
        let mut line = serde_json::to_vec(&offer)?;
        line.push(b'\n');
        Ok(line)
    }

    /// The new process has sent something: that it is ready, or what the protocol does not have.
    pub(in super::super) fn on_successor_message(&mut self, bytes: &[u8]) {
        let Some(connection) = self.hand_over.successor() else { return };
        if bytes != READY_LINE {
            return self.abort_hand_over(&HandOverError::UnexpectedMessage);
        }
        let sent = match self.operator_stream(connection) {
            Some(mut stream) => stream.write_all(GO_LINE).is_ok(),
            None => false,
        };
        if !sent {
            return self.abort_hand_over(&HandOverError::SuccessorGone);
        }
        tracing::info!(owed = self.engine.pending_responses(), "handed over");
        self.complete_hand_over();
    }

    fn complete_hand_over(&mut self) {
        let previous = std::mem::replace(&mut self.hand_over, HandOver::Completed);
        self.leave_control();
        self.leave_site();
        self.leave_publisher();
        self.leave_peers();
        // Both processes hold these sockets: closing this one's copies ends no connection. Other connections
        // that have become idle meanwhile were marked to close with their answers.
        self.set_accepting(true);
        self.stop_listening();
        if let HandOver::Offered { clients, .. } = previous {
            for key in clients {
                self.close_client(key);
            }
        }
        self.lifecycle = Lifecycle::ShuttingDown;
        self.rearm_all_clients();
        self.run_engine_actions();
    }

    /// The new process has had its time, unless the takeover it was for is over.
    pub(in super::super) fn hand_over_timeout(&mut self, generation: u64) {
        if self.hand_over.successor().is_some_and(|connection| connection.generation == generation) {
            self.abort_hand_over(&HandOverError::TimedOut);
        }
    }

    /// A takeover failed halfway: goes on as before it.
    pub(in super::super) fn abort_hand_over(&mut self, error: &HandOverError) {
        tracing::error!("takeover failed, this process serves on: {error}");
        if let HandOver::Offered { successor, .. } = std::mem::take(&mut self.hand_over) {
            self.close_operator(successor.key);
        }
        self.engine.suspend_attempts(false);
        self.reopen_store();
        self.set_accepting(true);
        self.rearm_all_clients();
    }

    /// Sets anew which events each client connection is polled for.
    fn rearm_all_clients(&mut self) {
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.rearm_client(key);
        }
    }
}
