//! The new process of a takeover: requests the takeover, receives what the old process offers, and starts
//! with it.

use super::super::Proxy;
use super::descriptor_passing::receive_descriptors;
use super::protocol::{
    GO_LINE, HAND_OVER_TIMEOUT, MAX_MODULE_BYTES, MAX_OFFER_BYTES, Offer, READY_LINE, REQUEST_LINE, VERSION,
    monotonic_micros,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use violetseam::balancer::Balancer;
use violetseam::interface::{ListKind, Micros};

/// Why a new process could not take over.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverError {
    /// The control socket accepts no connection: no process to take over from listens on it.
    #[error("takeover: cannot connect to the old process at {}: {source}", control_path.display())]
    Connect {
        /// The control socket's path.
        control_path: PathBuf,
        /// The error of the connection attempt.
        source: std::io::Error,
    },
    /// The connection to the control socket could not be prepared, or the request could not be written.
    #[error("takeover: cannot send the request on the control socket: {0}")]
    ControlSocket(#[source] std::io::Error),
    /// The old process's offer was not received.
    #[error("takeover: no complete offer was received from the old process: {0}")]
    NoOffer(#[source] std::io::Error),
    /// The old process answered with something other than an offer.
    #[error("takeover: refused: the old process answered {answer:?} instead of an offer")]
    Refused {
        /// The line that it answered with.
        answer: String,
        /// Why the line is not a valid offer.
        source: serde_json::Error,
    },
    /// This process does not support the version of the offer.
    #[error("takeover: the offer has version {offered}, this process supports versions up to {VERSION}")]
    UnsupportedVersion {
        /// The offer's version.
        offered: u32,
    },
    /// The offered decision module is longer than this process accepts.
    #[error("takeover: module: {bytes} bytes are offered, this process accepts at most {MAX_MODULE_BYTES}")]
    ModuleTooLong {
        /// The length that the offer states, in bytes.
        bytes: u64,
    },
    /// The decision module was not received.
    #[error("takeover: module: it was not received completely: {0}")]
    ReceiveModule(#[source] std::io::Error),
    /// The decision module cannot be decoded.
    #[error("takeover: module: it cannot be decoded: {0}")]
    DecodeModule(#[source] postcard::Error),
    /// The sockets were not received.
    #[error("takeover: the sockets could not be received: {0}")]
    ReceiveSockets(#[source] std::io::Error),
}

/// What a new process has received from the old one.
pub struct Inherited {
    pub(in super::super) module: Balancer,
    /// The time of the old process's event loop clock when it made the offer.
    clock_at_offer: Micros,
    /// The system's monotonic clock at the same moment, in microseconds.
    monotonic_at_offer: u64,
    release_fence: u64,
    listeners: Vec<TcpListener>,
    peer_socket: Option<UdpSocket>,
    clients: Vec<TcpStream>,
    control_listener: Option<TcpListener>,
    control_stream: UnixStream,
}

impl Inherited {
    /// Takes the listener for control over TCP, if one was handed over.
    pub(in super::super) fn take_control_listener(&mut self) -> Option<TcpListener> {
        self.control_listener.take()
    }

    /// Returns the highest fencing number that the old process received from a release controller.
    pub(in super::super) fn release_fence(&self) -> u64 {
        self.release_fence
    }

    /// Returns the old process's event loop clock, continued to the present.
    pub(in super::super) fn clock(&self) -> Micros {
        self.clock_at_offer + monotonic_micros().saturating_sub(self.monotonic_at_offer)
    }
}

/// Asks the process at a control socket to hand over. Nothing is final before
/// [`super::super::serve_with_operators`] has reported to the old process that all sockets are open.
///
/// # Errors
///
/// Returns an error if no process listens on the control socket, if that process refuses, or if what it hands
/// over cannot be received or decoded.
pub fn inherit(control_path: &Path) -> Result<Inherited, TakeoverError> {
    let mut stream = UnixStream::connect(control_path)
        .map_err(|source| TakeoverError::Connect { control_path: control_path.to_owned(), source })?;
    stream.set_read_timeout(Some(HAND_OVER_TIMEOUT)).map_err(TakeoverError::ControlSocket)?;
    stream.write_all(REQUEST_LINE).map_err(TakeoverError::ControlSocket)?;
    let offer = read_offer(&mut stream)?;
    let module = read_module(&mut stream, offer.module_bytes)?;
    let descriptors =
        receive_descriptors(&stream, offer.descriptor_count()).map_err(TakeoverError::ReceiveSockets)?;
    let mut descriptors = descriptors.into_iter();
    let listeners = descriptors.by_ref().take(offer.listener_count).map(TcpListener::from).collect();
    let peer_socket = if offer.has_peer_socket { descriptors.next().map(UdpSocket::from) } else { None };
    let control_listener =
        if offer.has_control_listener { descriptors.next().map(TcpListener::from) } else { None };
    Ok(Inherited {
        module,
        clock_at_offer: offer.clock,
        monotonic_at_offer: offer.monotonic_micros,
        release_fence: offer.release_fence,
        listeners,
        peer_socket,
        clients: descriptors.map(TcpStream::from).collect(),
        control_listener,
        control_stream: stream,
    })
}

fn read_offer(stream: &mut UnixStream) -> Result<Offer, TakeoverError> {
    let mut line = Vec::new();
    let mut byte = [0];
    // The line is read byte by byte, because the bytes after it belong to the module.
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
    if offer.module_bytes > MAX_MODULE_BYTES {
        return Err(TakeoverError::ModuleTooLong { bytes: offer.module_bytes });
    }
    Ok(offer)
}

fn read_module(stream: &mut UnixStream, length: u64) -> Result<Balancer, TakeoverError> {
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).map_err(TakeoverError::ReceiveModule)?;
    postcard::from_bytes(&bytes).map_err(TakeoverError::DecodeModule)
}

impl Proxy {
    /// In the new process: registers the received sockets on the event loop, reports that it is ready, and
    /// waits until the old process tells it to serve.
    pub(in super::super) fn complete_takeover(&mut self, inherited: Inherited) -> std::io::Result<()> {
        let Inherited { listeners, peer_socket, clients, mut control_stream, .. } = inherited;
        for listener in listeners {
            self.add_listener(listener)?;
        }
        if let Some(socket) = peer_socket {
            self.add_peer_socket(socket)?;
        }
        for stream in clients {
            self.add_client(stream)?;
        }
        control_stream.write_all(READY_LINE)?;
        let mut reply = [0; GO_LINE.len()];
        control_stream.read_exact(&mut reply)?;
        if reply == GO_LINE {
            Ok(())
        } else {
            Err(std::io::Error::other("takeover: the old process did not answer `go` and continues to serve"))
        }
    }

    /// In the new process: starts to serve. The decision module continues from the state that it had in the
    /// old process. The subscription to the server list belonged to the old process, so it is reported as
    /// failed.
    pub(in super::super) fn resume_after_takeover(&mut self) {
        let now = self.now();
        if let Some(saved) = self.load_saved_server_list() {
            // Only the addresses are restored: the module already knows the servers and what it has learned
            // of them.
            self.server_list.restore(now, &saved);
        }
        self.engine.on_server_list(now, ListKind::Failed, &[]);
        self.restore_pause();
        self.open_release_stream();
        self.schedule_maintenance(now);
        self.run_engine_actions();
    }
}
