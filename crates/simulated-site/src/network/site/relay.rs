//! The relay that stands for the network between proxies: its sockets, and the datagrams in flight.

use crate::network::{AddressPlan, NetworkError};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// One direction of the traffic between two proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    /// The position of the sending proxy.
    pub(super) from: usize,
    /// The position of the receiving proxy.
    pub(super) to: usize,
}

struct Datagram {
    link: Link,
    bytes: Vec<u8>,
}

/// The sockets of all links, and the datagrams in flight.
pub(super) struct Relay {
    sockets: BTreeMap<Link, Rc<UdpSocket>>,
    /// Datagrams by time of arrival and by the order in which they were sent.
    in_flight: BTreeMap<(u64, u64), Datagram>,
    sequence: u64,
    addresses: AddressPlan,
}

impl Relay {
    /// Binds a socket for each link between `proxies` proxies.
    ///
    /// # Errors
    /// Returns [`NetworkError::Listen`] if a socket cannot be bound.
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

    /// Returns each link with its socket.
    pub(super) fn sockets(&self) -> impl Iterator<Item = (Link, &Rc<UdpSocket>)> {
        self.sockets.iter().map(|(link, socket)| (*link, socket))
    }

    /// Puts a datagram in flight, to be delivered at `arrives_at`.
    pub(super) fn send(&mut self, arrives_at: u64, link: Link, bytes: Vec<u8>) {
        self.sequence += 1;
        self.in_flight.insert((arrives_at, self.sequence), Datagram { link, bytes });
    }

    /// Returns the time at which the next datagram is to be delivered.
    pub(super) fn next_arrival(&self) -> Option<u64> {
        self.in_flight.keys().next().map(|key| key.0)
    }

    /// Delivers the datagrams that are due. Each is sent from the socket whose address the receiver knows as
    /// the address of the sending proxy.
    pub(super) fn deliver_due(&mut self, now: u64) {
        while self.next_arrival().is_some_and(|at| at <= now) {
            let Some((_, Datagram { link, bytes })) = self.in_flight.pop_first() else { return };
            let reverse = Link { from: link.to, to: link.from };
            if let Some(socket) = self.sockets.get(&reverse) {
                // If the receiver is down, the datagram is lost, as on any network.
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
