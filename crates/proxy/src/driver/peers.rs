//! Sends and receives the datagrams between peers on one UDP socket.

use super::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use violetseam_site_protocol::peer_datagram::{self, Datagram, PayloadKind};

/// The most datagrams received in one iteration of the event loop. More wait for the next iteration, or the
/// kernel drops them.
const MAX_DATAGRAMS_PER_ITERATION: usize = 256;

/// The socket for messages between peers, registered on the event loop.
pub(super) struct PeerSocket {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
}

impl PeerSocket {
    /// Returns the socket, so that it can be handed over.
    pub(super) fn socket(&self) -> &UdpSocket {
        &self.socket
    }
}

impl Proxy {
    /// Binds the socket for messages between peers, if the settings name an address for it.
    pub(super) fn bind_peer_socket(&mut self) -> std::io::Result<()> {
        let Some(address) = self.settings.peer_listen else { return Ok(()) };
        self.add_peer_socket(UdpSocket::bind(address)?)
    }

    /// Registers the socket for messages between peers on the event loop.
    pub(super) fn add_peer_socket(&mut self, socket: UdpSocket) -> std::io::Result<()> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = self
            .loop_handle
            .insert_source(source, |_, socket, proxy: &mut Proxy| {
                proxy.on_datagrams(socket);
                Ok(PostAction::Continue)
            })
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        self.peer_socket = Some(PeerSocket { socket, token });
        Ok(())
    }

    fn on_datagrams(&mut self, socket: &UdpSocket) {
        let mut bytes = [0; peer_datagram::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Ok((length, sender)) = socket.recv_from(&mut bytes) else { return };
            self.on_datagram(sender, &bytes[..length]);
        }
    }

    fn on_datagram(&mut self, sender: SocketAddr, datagram: &[u8]) {
        let now = self.now();
        let Datagram { sender: position, kind, payload } =
            match peer_datagram::decode(self.settings.site, datagram) {
                Ok(datagram) => datagram,
                Err(error) => {
                    if self.log_limit.allows(now) {
                        tracing::warn!(from = %sender, "peer datagram dropped: {error}");
                    }
                    return;
                }
            };
        let position = usize::from(position);
        // A datagram that states a peer's position but was not sent from that peer's address comes from some
        // other host.
        if self.settings.peers.get(position) != Some(&sender) {
            if self.log_limit.allows(now) {
                tracing::warn!(
                    number = position,
                    from = %sender,
                    "peer datagram dropped: it was not sent from the address of the peer that it names"
                );
            }
            return;
        }
        self.peer_last_received_at.insert(position, now);
        match kind {
            PayloadKind::Gossip => self.engine.on_peer_message(now, position, payload),
            PayloadKind::QuotaLeases => self.engine.on_budget_message(now, position, payload),
        }
        self.run_engine_actions();
    }

    /// Closes this process's copy of the socket; the process that has taken over keeps its own.
    pub(super) fn close_peer_socket(&mut self) {
        if let Some(PeerSocket { token, .. }) = self.peer_socket.take() {
            self.loop_handle.remove(token);
        }
    }

    /// Sends a message to the peer at position `recipient`, or to all peers.
    pub(super) fn send_to_peers(&mut self, recipient: Option<usize>, kind: PayloadKind, payload: &[u8]) {
        let own_position = self.settings.decisions.position;
        let Some(PeerSocket { socket, .. }) = &self.peer_socket else { return };
        let Ok(sender) = u16::try_from(own_position) else { return };
        let Some(datagram) = peer_datagram::encode(self.settings.site, sender, kind, payload) else { return };
        for (position, address) in self.settings.peers.iter().enumerate() {
            let is_recipient = recipient.is_none_or(|recipient| recipient == position);
            if position != own_position && is_recipient {
                // A datagram that cannot be sent is treated like one that the network lost. The counters in
                // these messages only grow, so the next message makes up for it.
                let _ = socket.send_to(&datagram, address);
            }
        }
    }
}
