//! Peers' datagrams on one UDP socket. The payload is the datagram, without a header: a sender is known by
//! its address.

use super::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::net::UdpSocket;
use std::rc::Rc;
use violetseam_site::peer::PAYLOAD_MOST;

/// Datagrams taken in one turn of the loop.
const TURN_MOST: usize = 64;

impl Proxy {
    pub(super) fn bind_peers(&mut self) -> std::io::Result<()> {
        let limits = &self.config.instance.decisions.limits;
        let Some(addr) = self.config.peer_listen.filter(|_| limits.gossip) else { return Ok(()) };
        let socket = UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        self.udp = Some(socket.clone());
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        self.handle
            .insert_source(source, |_, socket, proxy: &mut Proxy| {
                proxy.on_datagrams(socket);
                Ok(PostAction::Continue)
            })
            .map(|_| ())
            .map_err(|e| std::io::Error::other(e.to_string()))
    }

    fn on_datagrams(&mut self, socket: &UdpSocket) {
        let mut bytes = [0; PAYLOAD_MOST + 1];
        for _ in 0..TURN_MOST {
            let Ok((length, from)) = socket.recv_from(&mut bytes) else { return };
            let number = self.config.peers.iter().position(|peer| *peer == from);
            let Some(number) = number.filter(|_| length <= PAYLOAD_MOST) else { continue };
            let now = self.now();
            self.engine.on_peer_message(now, number, &bytes[..length]);
            self.pump();
        }
    }

    pub(super) fn tell_peers(&mut self, to: Option<usize>, payload: &[u8]) {
        let Some(socket) = &self.udp else { return };
        if payload.len() > PAYLOAD_MOST {
            tracing::error!(bytes = payload.len(), "a message to peers is too long and was not sent");
            return;
        }
        let own = self.config.instance.decisions.position;
        let others = || self.config.peers.iter().enumerate().filter(move |(n, _)| *n != own);
        // One that is lost is like one that the network lost: counters only grow, the next makes up.
        match (to, self.config.peers_all) {
            (None, Some(all)) => drop(socket.send_to(payload, all)),
            _ => others()
                .filter(|(n, _)| to.is_none_or(|to| to == *n))
                .for_each(|(_, addr)| drop(socket.send_to(payload, addr))),
        }
    }
}
