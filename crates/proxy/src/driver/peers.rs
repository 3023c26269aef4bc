//! Peers' datagrams on one UDP socket.

use super::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use violetseam_site_protocol::peer_datagram::{self, Datagram, PayloadKind};

/// Datagrams received in one turn of the event loop; more wait for the next, or are dropped by the kernel.
const MAX_DATAGRAMS_PER_TURN: usize = 256;

/// The peers' socket on the event loop.
pub(super) struct PeerSocket {
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
}

impl PeerSocket {
    /// The socket, to be handed over.
    pub(super) fn socket(&self) -> &UdpSocket {
        &self.socket
    }
}

impl Proxy {
    /// Opens the socket for peers, where the settings name an address for it.
    pub(super) fn bind_peers(&mut self) -> std::io::Result<()> {
        let Some(address) = self.settings.peer_listen else { return Ok(()) };
        self.add_peer_socket(UdpSocket::bind(address)?)
    }

    /// Puts the peers' socket on the event loop.
    pub(super) fn add_peer_socket(&mut self, socket: UdpSocket) -> std::io::Result<()> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let token = self
            .handle
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
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
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
                        tracing::warn!(from = %sender, "datagram dropped: {error}");
                    }
                    return;
                }
            };
        let position = usize::from(position);
        // A position that does not come from its own address is somebody else's message.
        if self.settings.peers.get(position) != Some(&sender) {
            if self.log_limit.allows(now) {
                tracing::warn!(
                    number = position,
                    from = %sender,
                    "datagram from an address that is not this peer's"
                );
            }
            return;
        }
        self.peers_heard_at.insert(position, now);
        match kind {
            PayloadKind::Gossip => self.engine.on_peer_message(now, position, payload),
            PayloadKind::QuotaLeases => self.engine.on_budget_message(now, position, payload),
        }
        self.run_engine_actions();
    }

    /// Leaves the peers' socket to the process that has taken over.
    pub(super) fn leave_peers(&mut self) {
        if let Some(PeerSocket { token, .. }) = self.peer_socket.take() {
            self.handle.remove(token);
        }
    }

    /// Sends a message to one peer, or to all.
    pub(super) fn send_to_peers(&mut self, to: Option<usize>, kind: PayloadKind, payload: &[u8]) {
        let own_position = self.settings.decisions.position;
        let Some(PeerSocket { socket, .. }) = &self.peer_socket else { return };
        let Ok(sender) = u16::try_from(own_position) else { return };
        let Some(datagram) = peer_datagram::encode(self.settings.site, sender, kind, payload) else { return };
        for (position, address) in self.settings.peers.iter().enumerate() {
            let is_recipient = to.is_none_or(|to| to == position);
            if position != own_position && is_recipient {
                // One that cannot be sent is like one that the network lost: counters only grow, so that the
                // next message makes up for it.
                let _ = socket.send_to(&datagram, address);
            }
        }
    }
}
