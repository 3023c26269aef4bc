//! The network between proxies: its sockets, and the datagrams on their way.

use crate::network::{AddressPlan, NetworkError};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// A direction between two proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    /// The sender.
    pub(super) from: usize,
    /// The receiver.
    pub(super) to: usize,
}

struct Datagram {
    link: Link,
    bytes: Vec<u8>,
}

/// Sockets of all links, and datagrams in flight.
pub(super) struct Relay {
    sockets: BTreeMap<Link, Rc<UdpSocket>>,
    /// By time of arrival and order.
    in_flight: BTreeMap<(u64, u64), Datagram>,
    sequence: u64,
    addresses: AddressPlan,
}

impl Relay {
    /// Binds a socket for each link.
    ///
    /// # Errors
    /// A socket could not be bound.
    pub(super) fn bind(addresses: AddressPlan, proxies: usize) -> Result<Relay, NetworkError> {
        let mut sockets = BTreeMap::new();
        for from in 0..proxies {
            for to in (0..proxies).filter(|to| *to != from) {
                let address = addresses.relay(from, to);
                let socket = bind_datagram_socket(address)
                    .map_err(|source| NetworkError::Listen { address, source })?;
                sockets.insert(Link { from, to }, Rc::new(socket));
            }
        }
        Ok(Relay { sockets, in_flight: BTreeMap::new(), sequence: 0, addresses })
    }

    /// Each link with its socket.
    pub(super) fn sockets(&self) -> impl Iterator<Item = (Link, &Rc<UdpSocket>)> {
        self.sockets.iter().map(|(link, socket)| (*link, socket))
    }

    /// Sends a datagram on its way, to arrive at a time.
    pub(super) fn send(&mut self, arrives_at: u64, link: Link, bytes: Vec<u8>) {
        self.sequence += 1;
        self.in_flight.insert((arrives_at, self.sequence), Datagram { link, bytes });
    }

    /// When the next datagram arrives.
    pub(super) fn next_arrival(&self) -> Option<u64> {
        self.in_flight.keys().next().map(|key| key.0)
    }

    /// Delivers the datagrams that are due. Each leaves from the socket by which the receiver knows its
    /// sender.
    pub(super) fn deliver_due(&mut self, now: u64) {
        while self.next_arrival().is_some_and(|at| at <= now) {
            let Some((_, Datagram { link, bytes })) = self.in_flight.pop_first() else { return };
            let reverse = Link { from: link.to, to: link.from };
            if let Some(socket) = self.sockets.get(&reverse) {
                // A receiver that is down loses it, as on any network.
                let _ = socket.send_to(&bytes, self.addresses.peer(link.to));
            }
        }
    }
}

fn bind_datagram_socket(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
