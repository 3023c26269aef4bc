//! Takeover: a new process gets the sockets of the old one and what its module has learned.
//!
//! On the control connection, after the question `"takeover"`:
//! 1. old: a JSON line [`Offer`], then the module (postcard, so many bytes), then messages of one byte that
//!    carry descriptors: listeners, the peers' socket, idle client connections;
//! 2. new: `ready` and a line end, once everything stands; 3. old: `go` and a line end.
//!
//! From 1 on the old process accepts nothing, reads no client and starts no attempt, so that what it handed
//! over stays true: exposure, drains learned, keys and cold budgets bind the new one as they bound it. If the
//! new one goes away or takes too long before 2, the old one serves on. After 3 the old one answers what it
//! holds, closing each connection with its answer, and ends; what it holds and has not sent it refuses.

use super::Proxy;
use super::timers::What;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use violetseam::balance::Balancer;
use violetseam::interface::{ListKind, Micros};

/// The layout of what is handed over; a later one is refused, and the old process serves on. 2 has a listener
/// for control over TCP, and is said only where there is one, so that earlier programs can still take over
/// from this one elsewhere.
const VERSION: u32 = 2;
/// Descriptors in one message; the kernel takes 253.
const BATCH: usize = 200;
/// The most bytes of a module.
const MODULE_MOST: u64 = 256 << 20;
/// How long either side waits for the other.
const PATIENCE: Duration = Duration::from_secs(5);

/// What the old process offers.
#[derive(Debug, Serialize, Deserialize)]
struct Offer {
    version: u32,
    /// The loop's clock, and the system's monotonic clock at that moment, in microseconds.
    clock: Micros,
    monotonic: u64,
    listeners: usize,
    peers: bool,
    #[serde(default)]
    control: bool,
    /// The highest fencing number heard of a release controller.
    #[serde(default)]
    desk_fence: u64,
    clients: usize,
    module: u64,
}

/// What a new process got.
pub struct Inherited {
    pub(super) module: Balancer,
    clock: Micros,
    monotonic: u64,
    desk_fence: u64,
    listeners: Vec<TcpListener>,
    peers: Option<UdpSocket>,
    clients: Vec<TcpStream>,
    control_listener: Option<TcpListener>,
    control: UnixStream,
}

fn monotonic() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

impl Inherited {
    /// The listener for control over TCP.
    pub(super) fn take_control(&mut self) -> Option<TcpListener> {
        self.control_listener.take()
    }

    pub(super) fn desk_fence(&self) -> u64 {
        self.desk_fence
    }

    /// The old process's clock, as it goes on now.
    pub(super) fn clock(&self) -> Micros {
        self.clock + monotonic().saturating_sub(self.monotonic)
    }
}

fn send_descriptors(to: &UnixStream, descriptors: &[BorrowedFd<'_>]) -> std::io::Result<()> {
    for batch in descriptors.chunks(BATCH) {
        let mut space = vec![MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(batch)) {
            return Err(std::io::Error::other("descriptors do not fit"));
        }
        sendmsg(to, &[IoSlice::new(b"+")], &mut control, SendFlags::NOSIGNAL)?;
    }
    Ok(())
}

fn receive_descriptors(from: &UnixStream, count: usize) -> std::io::Result<Vec<OwnedFd>> {
    let mut got = Vec::with_capacity(count);
    while got.len() < count {
        let mut space = vec![MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let read = recvmsg(from, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        if read.bytes == 0 {
            return Err(std::io::Error::other("the old process went away"));
        }
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                got.extend(descriptors);
            }
        }
    }
    Ok(got)
}

/// Asks the process at a control socket to hand over. Nothing is taken before [`super::serve_operated`] says
/// that everything stands.
pub fn inherit(control: &Path) -> Result<Inherited, String> {
    let words = |what: &'static str| move |e: std::io::Error| format!("takeover: {what}: {e}");
    let mut stream = UnixStream::connect(control).map_err(words("no process to take over from"))?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(words("control socket"))?;
    stream.write_all(b"\"takeover\"\n").map_err(words("control socket"))?;
    let (mut line, mut byte) = (Vec::new(), [0]);
    while byte[0] != b'\n' && line.len() < 4_096 {
        stream.read_exact(&mut byte).map_err(words("no offer"))?;
        line.push(byte[0]);
    }
    let offer: Offer = serde_json::from_slice(&line)
        .map_err(|_| format!("takeover: refused: {}", String::from_utf8_lossy(&line).trim()))?;
    if offer.version > VERSION || offer.module > MODULE_MOST {
        return Err(format!("takeover: an offer of version {}, this process takes {VERSION}", offer.version));
    }
    let mut module = vec![0; offer.module as usize];
    stream.read_exact(&mut module).map_err(words("module"))?;
    let module = postcard::from_bytes(&module).map_err(|e| format!("takeover: module: {e}"))?;
    let wanted = offer.listeners + usize::from(offer.peers) + usize::from(offer.control) + offer.clients;
    let mut descriptors = receive_descriptors(&stream, wanted).map_err(words("sockets"))?.into_iter();
    let listeners = descriptors.by_ref().take(offer.listeners).map(TcpListener::from).collect();
    let peers = if offer.peers { descriptors.next().map(UdpSocket::from) } else { None };
    let control_listener = if offer.control { descriptors.next().map(TcpListener::from) } else { None };
    let clients = descriptors.map(TcpStream::from).collect();
    let (clock, monotonic, desk_fence) = (offer.clock, offer.monotonic, offer.desk_fence);
    Ok(Inherited {
        module,
        clock,
        monotonic,
        desk_fence,
        listeners,
        peers,
        clients,
        control_listener,
        control: stream,
    })
}

impl Proxy {
    /// The new process: everything stands; says so and waits for the word to go.
    pub(super) fn adopt(&mut self, inherited: Inherited) -> std::io::Result<()> {
        let Inherited { listeners, peers, clients, mut control, .. } = inherited;
        listeners.into_iter().try_for_each(|listener| self.add_listener(listener))?;
        peers.into_iter().try_for_each(|socket| self.add_peer_socket(socket))?;
        for stream in clients {
            self.add_client(stream)?;
        }
        control.write_all(b"ready\n")?;
        let mut go = [0; 3];
        control.read_exact(&mut go)?;
        if &go == b"go\n" { Ok(()) } else { Err(std::io::Error::other("the old process serves on")) }
    }

    /// The new process's first turn: the module goes on where it was; its subscription was the old process's.
    pub(super) fn go_on(&mut self) {
        let now = self.now();
        if let Some(message) = self.saved_roster() {
            // Addresses only: the module knows the servers, and what it knows of them.
            self.roster.restore(now, &message);
        }
        self.engine.on_server_list(now, ListKind::Failed, &[]);
        self.pause_standing();
        self.open_desk_stream();
        self.next_upkeep(now);
        self.pump();
    }

    /// The old process: offers itself to the process on this connection.
    pub(super) fn hand_over(&mut self, key: usize) {
        let Some((_, generation)) = self.operator_stream(key, None) else { return };
        if self.handing.is_some() || self.draining || self.is_keeping() {
            // Not in the middle of something; the asker reads this as a refusal.
            if let Some((mut stream, _)) = self.operator_stream(key, None) {
                let _ = stream.write_all(b"busy\n");
            }
            return;
        }
        tracing::info!("a new process takes over");
        self.handing = Some((key, generation));
        self.timers.set(self.now() + PATIENCE.as_micros() as Micros, What::Takeover(generation));
        self.set_accepting(false);
        self.engine.suspend_attempts(true);
        let clients: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        clients.into_iter().for_each(|key| self.rest_client(key));
        self.save_roster();
        self.release_store();
        self.release_configuration();
        if let Err(e) = self.offer(key) {
            self.keep_serving(&format!("nothing could be handed over: {e}"));
        }
    }

    fn offer(&mut self, key: usize) -> std::io::Result<()> {
        let seed = self.draw();
        let module = postcard::to_allocvec(&self.engine.successor(seed)).map_err(std::io::Error::other)?;
        let idle = self.idle_clients();
        let offer = Offer {
            version: if self.control_listener().is_some() { VERSION } else { 1 },
            clock: self.now(),
            monotonic: monotonic(),
            listeners: self.listeners.len(),
            peers: self.udp.is_some(),
            control: self.control_listener().is_some(),
            desk_fence: self.desk_fence,
            clients: idle.len(),
            module: module.len() as u64,
        };
        let mut line = serde_json::to_vec(&offer)?;
        line.push(b'\n');
        let Some((mut stream, _)) = self.operator_stream(key, None) else {
            return Err(std::io::Error::other("the connection is gone"));
        };
        // For this one exchange the loop waits, some milliseconds: traffic is held anyway.
        stream.set_nonblocking(false)?;
        stream.set_write_timeout(Some(PATIENCE))?;
        stream.write_all(&line)?;
        stream.write_all(&module)?;
        let mut descriptors: Vec<BorrowedFd<'_>> = self.listeners.iter().map(|l| l.0.as_fd()).collect();
        descriptors.extend(self.udp.as_ref().map(|u| u.as_fd()));
        descriptors.extend(self.control_listener().map(AsFd::as_fd));
        descriptors.extend(self.streams_of(&idle).into_iter().map(AsFd::as_fd));
        send_descriptors(stream, &descriptors)?;
        stream.set_nonblocking(true)?;
        self.handed_clients = idle;
        Ok(())
    }

    /// The new process has said something: that it is ready, or nothing that makes sense.
    pub(super) fn on_successor(&mut self, bytes: &[u8]) {
        let Some((key, generation)) = self.handing else { return };
        if bytes != b"ready\n" {
            return self.keep_serving("the new process does not speak the protocol");
        }
        let went = match self.operator_stream(key, Some(generation)) {
            Some((mut stream, _)) => stream.write_all(b"go\n").is_ok(),
            None => false,
        };
        if !went {
            return self.keep_serving("the new process went away");
        }
        tracing::info!(owed = self.engine.pending_responses(), "handed over");
        self.handing = None;
        self.handed_over = true;
        self.leave_control();
        self.leave_site();
        self.leave_publisher();
        self.leave_peers();
        // Both hold these sockets: closing this side's copies ends no connection. Other connections that have
        // become idle meanwhile were told to close with their answers.
        self.set_accepting(true);
        self.stop_listening();
        std::mem::take(&mut self.handed_clients).into_iter().for_each(|key| self.close_client(key));
        (self.draining, self.ending) = (true, true);
        let clients: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        clients.into_iter().for_each(|key| self.rest_client(key));
        self.pump();
    }

    /// A takeover failed halfway: all is as it was before it.
    pub(super) fn keep_serving(&mut self, why: &str) {
        tracing::error!("takeover failed, this process serves on: {why}");
        if let Some((key, _)) = self.handing.take() {
            self.close_operator(key);
        }
        self.handed_clients.clear();
        self.engine.suspend_attempts(false);
        self.take_store_back();
        self.set_accepting(true);
        let clients: Vec<usize> = self.clients.iter().map(|(key, _)| key).collect();
        clients.into_iter().for_each(|key| self.rest_client(key));
    }
}
