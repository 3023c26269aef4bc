//! The new process of a takeover.

use super::super::Proxy;
use super::descriptor_passing::receive_descriptors;
use super::protocol::{
    GO_LINE, MAX_MODULE_BYTES, MAX_OFFER_BYTES, Offer, PEER_TIMEOUT, READY_LINE, REQUEST_LINE, VERSION,
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

/// What a new process got from the old one.
pub struct Inherited {
    pub(in super::super) module: Balancer,
    /// The old process's event loop clock.
    clock: Micros,
    /// The system's monotonic clock at that moment, in microseconds.
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
    pub(in super::super) fn take_control_listener(&mut self) -> Option<TcpListener> {
        self.control_listener.take()
    }

    /// The highest fencing number received from a release controller.
    pub(in super::super) fn release_fence(&self) -> u64 {
        self.release_fence
    }

    /// The old process's clock, as it goes on now.
    pub(in super::super) fn clock(&self) -> Micros {
        self.clock + monotonic_micros().saturating_sub(self.monotonic)
    }
}

/// Asks the process at a control socket to hand over. Nothing is taken before
/// [`super::super::serve_operated`] reports that all sockets are open.
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
    let module = read_module(&mut stream, offer.module_bytes)?;
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
        release_fence: offer.release_fence,
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
    /// The new process: puts what it got on its event loop, reports that it is ready and waits until it may
    /// serve.
    pub(in super::super) fn adopt(&mut self, inherited: Inherited) -> std::io::Result<()> {
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
    pub(in super::super) fn resume_after_takeover(&mut self) {
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
}
