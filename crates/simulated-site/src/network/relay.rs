//! The network between peers: its sockets, and the datagrams on their way.

use super::{AddressPlan, NetworkError};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Ordinary delay of a datagram, in microseconds, from and to.
pub(super) const DELAY: (u64, u64) = (1_000, 8_000);

/// Sockets by sender and receiver.
pub struct Relay {
    sockets: BTreeMap<(usize, usize), Rc<UdpSocket>>,
    /// Datagrams on their way: when, order, sender, receiver.
    flying: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    next: u64,
    net: AddressPlan,
}

impl Relay {
    /// Binds a socket for each pair of peers.
    ///
    /// # Errors
    /// Errors of binding a socket.
    pub fn bind(net: AddressPlan, proxies: usize) -> Result<Relay, NetworkError> {
        let mut sockets = BTreeMap::new();
        for from in 0..proxies {
            for to in (0..proxies).filter(|to| *to != from) {
                let address = net.relay(from, to);
                let socket = bind_datagram_socket(address)
                    .map_err(|source| NetworkError::Listen { address, source })?;
                sockets.insert((from, to), Rc::new(socket));
            }
        }
        Ok(Relay { sockets, flying: BTreeMap::new(), next: 0, net })
    }

    /// Each socket with its sender and receiver.
    pub(super) fn sockets(&self) -> impl Iterator<Item = ((usize, usize), &Rc<UdpSocket>)> {
        self.sockets.iter().map(|(link, socket)| (*link, socket))
    }

    /// Sends a datagram on its way, to arrive at a moment.
    pub(super) fn fly(&mut self, at: u64, from: usize, to: usize, bytes: Vec<u8>) {
        self.next += 1;
        self.flying.insert((at, self.next), (from, to, bytes));
    }

    /// When a datagram arrives next.
    pub fn due(&self) -> Option<u64> {
        self.flying.keys().next().map(|k| k.0)
    }

    /// Delivers what is due. It leaves from the socket by which the receiver knows the sender.
    pub fn advance(&mut self, now: u64) {
        while let Some((&key, _)) = self.flying.first_key_value().filter(|(k, _)| k.0 <= now) {
            if let Some((from, to, bytes)) = self.flying.remove(&key)
                && let Some(socket) = self.sockets.get(&(to, from))
            {
                // A receiver that is down loses it, as on any network.
                let _ = socket.send_to(&bytes, self.net.peer(to));
            }
        }
    }
}

fn bind_datagram_socket(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
