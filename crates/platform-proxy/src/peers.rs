//! Exchanges gossip with peers, as datagrams on one UDP socket. A datagram consists of the payload alone,
//! without a header; its sender is identified by the source address.

use crate::proxy::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::net::UdpSocket;
use std::rc::Rc;
use violetseam_site_protocol::peer_datagram::MAX_PAYLOAD_BYTES;

/// How many datagrams are received in one iteration of the event loop.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

impl Proxy {
    /// Binds the socket for gossip if the settings allow gossip and the configuration has an address for it.
    pub(super) fn bind_gossip_socket(&mut self) -> std::io::Result<()> {
        if !self.config.instance.decisions.limits.gossip {
            return Ok(());
        }
        let Some(address) = self.config.peer_listen else { return Ok(()) };
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        self.gossip_socket = Some(socket.clone());
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        self.loop_handle
            .insert_source(source, |_, socket, proxy: &mut Proxy| {
                proxy.receive_datagrams(socket);
                Ok(PostAction::Continue)
            })
            .map(|_token| ())
            .map_err(|e| std::io::Error::other(e.to_string()))
    }

    fn receive_datagrams(&mut self, socket: &UdpSocket) {
        let mut bytes = [0; MAX_PAYLOAD_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, sender)) = socket.recv_from(&mut bytes) else { return };
            if length > MAX_PAYLOAD_BYTES {
                continue;
            }
            let Some(position) = self.config.peers.iter().position(|peer| *peer == sender) else { continue };
            let now = self.now();
            self.engine.on_peer_message(now, position, &bytes[..length]);
            self.run_engine_actions();
        }
    }

    /// Sends a message to one peer, or to all peers if there is no recipient.
    pub(super) fn gossip_to_peers(&mut self, recipient: Option<usize>, payload: &[u8]) {
        let Some(socket) = &self.gossip_socket else { return };
        if payload.len() > MAX_PAYLOAD_BYTES {
            tracing::error!(
                bytes = payload.len(),
                "a message to peers is too long and was not sent: the limit is {MAX_PAYLOAD_BYTES} bytes"
            );
            return;
        }
        // Send errors are ignored like losses on the network: the counters in these messages only grow, so
        // the next message makes up for a lost one.
        if let (None, Some(all_peers)) = (recipient, self.config.peers_all) {
            let _ = socket.send_to(payload, all_peers);
            return;
        }
        let own_position = self.config.instance.decisions.position;
        for (position, address) in self.config.peers.iter().enumerate() {
            let is_recipient = recipient.is_none_or(|recipient| recipient == position);
            if position != own_position && is_recipient {
                let _ = socket.send_to(payload, address);
            }
        }
    }
}
