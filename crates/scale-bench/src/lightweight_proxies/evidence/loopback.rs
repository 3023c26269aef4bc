//! A fleet of engines whose datagrams go over UDP sockets on loopback, in real time.

use super::{Plan, micros};
use crate::lightweight_proxies::engine_fleet::{EngineFleet, START_TIME};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, Mode, PostAction};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use violetseam::interface::Micros;
use violetseam_site_protocol::peer_datagram::MAX_DATAGRAM_BYTES;

/// Most datagrams that are read from one socket in one turn of the loop.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// Longest wait of the loop for a datagram.
const MAX_WAIT: Micros = 1_000;

/// A datagram that was read.
struct ReceivedDatagram {
    /// The receiver's number.
    to: usize,
    bytes: Box<[u8]>,
}

/// Datagrams that were read and not delivered yet.
type Inbox = Vec<ReceivedDatagram>;

/// Runs a fleet through its warm-up and its counted span.
///
/// # Errors
/// Errors of the sockets or the event loop.
pub(super) fn run(fleet: &mut EngineFleet, plan: &Plan) -> std::io::Result<()> {
    let mut event_loop: EventLoop<'static, Inbox> = EventLoop::try_new().map_err(std::io::Error::other)?;
    let sockets = bind_sockets(plan.fleet.proxies, &event_loop)?;
    let addresses: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr()).collect::<std::io::Result<_>>()?;
    let start = Instant::now();
    let now = || START_TIME + micros(start.elapsed());
    let mut inbox = Inbox::new();
    let mut is_counting = false;
    loop {
        let turn_start = now();
        if !is_counting && start.elapsed() >= plan.warm_up {
            is_counting = true;
            fleet.reset_traffic();
        }
        if start.elapsed() >= plan.warm_up + plan.span {
            return Ok(());
        }
        fleet.advance(turn_start);
        for datagram in fleet.take_outbox() {
            // A datagram that the kernel does not accept is lost, as on a network.
            let _ = sockets[datagram.from].send_to(&datagram.bytes, addresses[datagram.to]);
        }
        let until_next_event = fleet.next_event_at().map(|at| at.saturating_sub(now()));
        let wait = until_next_event.unwrap_or(MAX_WAIT).min(MAX_WAIT);
        event_loop.dispatch(Duration::from_micros(wait), &mut inbox).map_err(std::io::Error::other)?;
        let received_at = now();
        for datagram in inbox.drain(..) {
            fleet.deliver(received_at, datagram.to, &datagram.bytes);
        }
    }
}

/// One socket for each proxy, read into the inbox.
fn bind_sockets(count: usize, event_loop: &EventLoop<'static, Inbox>) -> std::io::Result<Vec<Rc<UdpSocket>>> {
    let mut sockets = Vec::with_capacity(count);
    for number in 0..count {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        sockets.push(socket.clone());
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let inserted = event_loop.handle().insert_source(source, move |_, socket, inbox: &mut Inbox| {
            read_datagrams(number, socket, inbox);
            Ok(PostAction::Continue)
        });
        inserted.map_err(|error| std::io::Error::other(error.to_string()))?;
    }
    Ok(sockets)
}

fn read_datagrams(number: usize, socket: &UdpSocket, inbox: &mut Inbox) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        let Ok(length) = socket.recv(&mut bytes) else { return };
        inbox.push(ReceivedDatagram { to: number, bytes: bytes[..length].into() });
    }
}
