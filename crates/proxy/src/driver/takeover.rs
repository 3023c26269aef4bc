//! Takeover: a new process gets the sockets of the old one and what its decision module has learned.
//!
//! On the control connection, after the question `"takeover"`:
//! 1. old: a JSON line [`Offer`], then the module (postcard, so many bytes), then messages of one byte that
//!    carry descriptors: listeners, the peers' socket, idle client connections;
//! 2. new: `ready` and a line end, once all its sockets are open; 3. old: `go` and a line end.
//!
//! From 1 on the old process accepts nothing, reads no client and starts no attempt, so that what it handed
//! over stays true: exposure, drains learned, keys and the budgets of servers that warm up bind the new one as
//! they bound it. If the new one goes away or takes too long before 2, the old one serves on. After 3 the old
//! one answers its requests in flight, closing each connection with its answer, and ends; those that it has not
//! sent to a server it rejects.

use super::descriptor_passing::{receive_descriptors, send_descriptors};
use super::timers::TimerKind;
use super::{ConnectionId, Proxy};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetseam::balancer::Balancer;
use violetseam::interface::{ListKind, Micros};

/// The layout of what is handed over; a later one is refused, and the old process serves on. 2 has a listener
/// for control over TCP, and is stated only where there is one, so that earlier programs can still take over
/// from this one elsewhere.
const VERSION: u32 = 2;
/// The layout without a listener for control over TCP.
const VERSION_WITHOUT_CONTROL_LISTENER: u32 = 1;
/// The most bytes of the line with the offer.
const MAX_OFFER_BYTES: usize = 4_096;
/// The most bytes of a module.
const MAX_MODULE_BYTES: u64 = 256 << 20;
/// How long either side waits for the other.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Asks for the takeover.
const REQUEST_LINE: &[u8] = b"\"takeover\"\n";
/// Refuses it for now.
const BUSY_LINE: &[u8] = b"busy\n";
/// The new process can serve.
const READY_LINE: &[u8] = b"ready\n";
/// The new process serves from here on.
const GO_LINE: &[u8] = b"go\n";

/// Why a new process could not take over.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverError {
    /// No process listens on the control socket.
    #[error("takeover: no process to take over from: {}: {source}", control.display())]
    Connect {
        /// The control socket's path.
        control: PathBuf,
        /// The connection's error.
        source: std::io::Error,
    },
    /// The control socket could not be prepared or written.
    #[error("takeover: control socket: {0}")]
    ControlSocket(#[source] std::io::Error),
    /// The old process's offer did not come.
    #[error("takeover: no offer: {0}")]
    NoOffer(#[source] std::io::Error),
    /// The old process answered with something that is no offer.
    #[error("takeover: refused: {answer}")]
    Refused {
        /// What it answered.
        answer: String,
        /// Why that is no offer.
        source: serde_json::Error,
    },
    /// The offer has a layout that this process does not know.
    #[error("takeover: an offer of version {offered}, this process takes {VERSION}")]
    UnsupportedVersion {
        /// The offer's version.
        offered: u32,
    },
    /// The offered module is too long.
    #[error("takeover: module: {bytes} bytes are offered, this process takes {MAX_MODULE_BYTES}")]
    ModuleTooLong {
        /// Its length.
        bytes: u64,
    },
    /// The module did not come.
    #[error("takeover: module: {0}")]
    ReceiveModule(#[source] std::io::Error),
    /// The module cannot be read.
    #[error("takeover: module: {0}")]
    DecodeModule(#[source] postcard::Error),
    /// The sockets did not come.
    #[error("takeover: sockets: {0}")]
    ReceiveSockets(#[source] std::io::Error),
}

/// Why the old process serves on after it has offered itself.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandOverError {
    #[error("nothing could be handed over: {0}")]
    Offer(#[source] std::io::Error),
    #[error("the new process does not speak the protocol")]
    UnexpectedMessage,
    #[error("the new process went away")]
    SuccessorGone,
    #[error("the new process took too long")]
    TimedOut,
}

/// What the old process offers.
#[derive(Debug, Serialize, Deserialize)]
struct Offer {
    version: u32,
    /// The event loop's clock, and the system's monotonic clock at that moment, in microseconds.
    clock: Micros,
    monotonic: u64,
    listeners: usize,
    peers: bool,
    #[serde(default)]
    control: bool,
    /// The highest fencing number received from a release controller.
    #[serde(default)]
    desk_fence: u64,
    clients: usize,
    module: u64,
}

impl Offer {
    fn descriptors(&self) -> usize {
        self.listeners + usize::from(self.peers) + usize::from(self.control) + self.clients
    }
}

/// What a new process got from the old one.
pub struct Inherited {
    pub(super) module: Balancer,
    clock: Micros,
    monotonic: u64,
    release_fence: u64,
    listeners: Vec<TcpListener>,
    peers: Option<UdpSocket>,
    clients: Vec<TcpStream>,
    control_listener: Option<TcpListener>,
    control: UnixStream,
}

impl Inherited {
    /// The listener for control over TCP.
    pub(super) fn take_control_listener(&mut self) -> Option<TcpListener> {
        self.control_listener.take()
    }

    /// The highest fencing number received from a release controller.
    pub(super) fn release_fence(&self) -> u64 {
        self.release_fence
    }

    /// The old process's clock, as it goes on now.
    pub(super) fn clock(&self) -> Micros {
        self.clock + monotonic_micros().saturating_sub(self.monotonic)
    }
}

fn monotonic_micros() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Asks the process at a control socket to hand over. Nothing is taken before [`super::serve_operated`] reports
/// that all sockets are open.
///
/// # Errors
///
/// If no process listens there, or it refuses, or what it hands over cannot be received or read.
pub fn inherit(control: &Path) -> Result<Inherited, TakeoverError> {
    let mut stream = UnixStream::connect(control)
        .map_err(|source| TakeoverError::Connect { control: control.to_owned(), source })?;
    stream.set_read_timeout(Some(PEER_TIMEOUT)).map_err(TakeoverError::ControlSocket)?;
    stream.write_all(REQUEST_LINE).map_err(TakeoverError::ControlSocket)?;
    let offer = read_offer(&mut stream)?;
    let module = read_module(&mut stream, offer.module)?;
    let descriptors =
        receive_descriptors(&stream, offer.descriptors()).map_err(TakeoverError::ReceiveSockets)?;
    let mut descriptors = descriptors.into_iter();
    let listeners = descriptors.by_ref().take(offer.listeners).map(TcpListener::from).collect();
    let peers = if offer.peers { descriptors.next().map(UdpSocket::from) } else { None };
    let control_listener = if offer.control { descriptors.next().map(TcpListener::from) } else { None };
    Ok(Inherited {
        module,
        clock: offer.clock,
        monotonic: offer.monotonic,
        release_fence: offer.desk_fence,
        listeners,
        peers,
        clients: descriptors.map(TcpStream::from).collect(),
        control_listener,
        control: stream,
    })
}

fn read_offer(stream: &mut UnixStream) -> Result<Offer, TakeoverError> {
    let mut line = Vec::new();
    let mut byte = [0];
    // Byte by byte: the module follows the line.
    while byte[0] != b'\n' && line.len() < MAX_OFFER_BYTES {
        stream.read_exact(&mut byte).map_err(TakeoverError::NoOffer)?;
        line.push(byte[0]);
    }
    let offer: Offer = serde_json::from_slice(&line).map_err(|source| TakeoverError::Refused {
        answer: String::from_utf8_lossy(&line).trim().to_owned(),
        source,
    })?;
    if offer.version > VERSION {
        return Err(TakeoverError::UnsupportedVersion { offered: offer.version });
    }
    if offer.module > MAX_MODULE_BYTES {
        return Err(TakeoverError::ModuleTooLong { bytes: offer.module });
    }
    Ok(offer)
}

fn read_module(stream: &mut UnixStream, length: u64) -> Result<Balancer, TakeoverError> {
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).map_err(TakeoverError::ReceiveModule)?;
    postcard::from_bytes(&bytes).map_err(TakeoverError::DecodeModule)
}

impl Proxy {
    /// The new process: puts what it got on its event loop, reports that it is ready and waits until it may serve.
    pub(super) fn adopt(&mut self, inherited: Inherited) -> std::io::Result<()> {
        let Inherited { listeners, peers, clients, mut control, .. } = inherited;
        for listener in listeners {
            self.add_listener(listener)?;
        }
        if let Some(socket) = peers {
            self.add_peer_socket(socket)?;
        }
        for stream in clients {
            self.add_client(stream)?;
        }
        control.write_all(READY_LINE)?;
        let mut reply = [0; GO_LINE.len()];
        control.read_exact(&mut reply)?;
        if reply == GO_LINE { Ok(()) } else { Err(std::io::Error::other("the old process serves on")) }
    }

    /// The new process's first turn: the module goes on where it was; its subscription was the old process's.
    pub(super) fn resume_after_takeover(&mut self) {
        let now = self.now();
        if let Some(message) = self.load_saved_list() {
            // Addresses only: the module knows the servers, and what it has learned of them.
            self.server_list.restore(now, &message);
        }
        self.engine.on_server_list(now, ListKind::Failed, &[]);
        self.restore_pause();
        self.open_release_stream();
        self.next_upkeep(now);
        self.run_engine_actions();
    }

    /// Whether a new process is taking over, and is not serving yet.
    pub(super) fn is_handing_over(&self) -> bool {
        self.successor.is_some()
    }

    /// The old process: offers itself to the process on this connection.
    pub(super) fn start_hand_over(&mut self, key: usize) {
        let Some(connection) = self.operator_connection(key) else { return };
        if self.is_handing_over() || self.draining || self.is_persisting() {
            // Not in the middle of something; the asker reads this as a refusal.
            if let Some(mut stream) = self.operator_stream(connection) {
                let _ = stream.write_all(BUSY_LINE);
            }
            return;
        }
        tracing::info!("a new process takes over");
        self.successor = Some(connection);
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
        // For this one exchange the event loop blocks, some milliseconds: traffic waits anyway.
        stream.set_nonblocking(false)?;
        stream.set_write_timeout(Some(PEER_TIMEOUT))?;
        stream.write_all(&line)?;
        stream.write_all(&module)?;
        let mut descriptors: Vec<BorrowedFd<'_>> =
            self.listeners.iter().map(|open| open.socket().as_fd()).collect();
        descriptors.extend(self.udp.as_ref().map(|socket| socket.as_fd()));
        descriptors.extend(self.control_listener().map(AsFd::as_fd));
        descriptors.extend(self.client_streams(&idle).into_iter().map(AsFd::as_fd));
        send_descriptors(stream, &descriptors)?;
        stream.set_nonblocking(true)?;
        self.offered_clients = idle;
        Ok(())
    }

    fn offer_line(&self, module_bytes: usize, idle_clients: usize) -> std::io::Result<Vec<u8>> {
        let has_control_listener = self.control_listener().is_some();
        let offer = Offer {
            version: if has_control_listener { VERSION } else { VERSION_WITHOUT_CONTROL_LISTENER },
            clock: self.now(),
            monotonic: monotonic_micros(),
            listeners: self.listeners.len(),
            peers: self.udp.is_some(),
            control: has_control_listener,
            desk_fence: self.release_fence,
            clients: idle_clients,
            module: module_bytes as u64,
        };
        let mut line = serde_json::to_vec(&offer)?;
        line.push(b'\n');
        Ok(line)
    }

    /// The new process has sent something: that it is ready, or nothing that makes sense.
    pub(super) fn on_successor_message(&mut self, bytes: &[u8]) {
        let Some(connection) = self.successor else { return };
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
        self.successor = None;
        self.handed_over = true;
        self.leave_control();
        self.leave_site();
        self.leave_publisher();
        self.leave_peers();
        // Both processes hold these sockets: closing this one's copies ends no connection. Other connections that
        // have become idle meanwhile were marked to close with their answers.
        self.set_accepting(true);
        self.stop_listening();
        for key in std::mem::take(&mut self.offered_clients) {
            self.close_client(key);
        }
        self.draining = true;
        self.ending = true;
        self.rearm_all_clients();
        self.run_engine_actions();
    }

    /// The new process has had its time, unless the takeover it was for is over.
    pub(super) fn hand_over_timeout(&mut self, generation: u64) {
        if self.successor.is_some_and(|connection| connection.generation == generation) {
            self.abort_hand_over(&HandOverError::TimedOut);
        }
    }

    /// A takeover failed halfway: all is as it was before it.
    pub(super) fn abort_hand_over(&mut self, error: &HandOverError) {
        tracing::error!("takeover failed, this process serves on: {error}");
        if let Some(connection) = self.successor.take() {
            self.close_operator(connection.key);
        }
        self.offered_clients.clear();
        self.engine.suspend_attempts(false);
        self.reopen_store();
        self.set_accepting(true);
        self.rearm_all_clients();
    }

    /// Sets anew what each client connection is to be woken for.
    fn rearm_all_clients(&mut self) {
        let keys: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.rearm_client(key);
        }
    }
}
