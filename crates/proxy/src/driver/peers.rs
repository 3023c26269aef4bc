//! Peers' datagrams on one UDP socket.

use super::Proxy;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use std::net::UdpSocket;
use std::rc::Rc;
use violetseam_site_protocol::peer_datagram::{self, Datagram, PayloadKind};

/// Datagrams received in one turn of the event loop; more wait for the next, or are dropped by the kernel.
const MAX_DATAGRAMS_PER_TURN: usize = 256;

impl Proxy {
    /// Opens the socket for peers, where the settings name an address for it.
    pub(super) fn bind_peers(&mut self) -> std::io::Result<()> {
        let Some(addr) = self.settings.peer_listen else { return Ok(()) };
        self.add_peer_socket(UdpSocket::bind(addr)?)
    }

    /// Puts the peers' socket on the event loop.
    pub(super) fn add_peer_socket(&mut self, socket: UdpSocket) -> std::io::Result<()> {
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        self.udp = Some(socket.clone());
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let token = self
            .handle
            .insert_source(source, |_, socket, proxy: &mut Proxy| {
                proxy.on_datagrams(socket);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        self.udp_token = Some(token);
        Ok(())
    }

    fn on_datagrams(&mut self, socket: &UdpSocket) {
        let mut bytes = [0; peer_datagram::MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = socket.recv_from(&mut bytes) else { return };
            let now = self.now();
            match peer_datagram::decode(self.settings.site, &bytes[..length]) {
                // A position that does not come from its own address is somebody else's message.
                Ok(Datagram { sender, kind, payload })
                    if self.settings.peers.get(usize::from(sender)) == Some(&from) =>
                {
                    let number = usize::from(sender);
                    self.peers_heard_at.insert(number, now);
                    match kind {
                        PayloadKind::Gossip => self.engine.on_peer_message(now, number, payload),
                        PayloadKind::QuotaLeases => self.engine.on_budget_message(now, number, payload),
                    }
                    self.run_engine_actions();
                }
                Ok(Datagram { sender: number, .. }) => {
                    if self.log_limit.allows(now) {
                        tracing::warn!(number, %from, "datagram from an address that is not this peer's");
                    }
                }
                Err(fault) => {
                    if self.log_limit.allows(now) {
                        tracing::warn!(%from, "datagram dropped: {fault}");
                    }
                }
            }
        }
    }

    /// Leaves the peers' socket to the process that has taken over.
    pub(super) fn leave_peers(&mut self) {
        self.udp = None;
        if let Some(token) = self.udp_token.take() {
            self.handle.remove(token);
        }
    }

    /// Sends a message to one peer, or to all.
    pub(super) fn send_to_peers(&mut self, to: Option<usize>, kind: PayloadKind, payload: &[u8]) {
        let own = self.settings.decisions.position;
        let Some(socket) = &self.udp else { return };
        let Ok(from) = u16::try_from(own) else { return };
        let Some(datagram) = peer_datagram::encode(self.settings.site, from, kind, payload) else { return };
        for (position, addr) in self.settings.peers.iter().enumerate() {
            let is_addressed = to.is_none_or(|to| to == position);
            if position == own || !is_addressed {
                continue;
            }
            // One that is lost is like one that the network lost: counters only grow, the next makes up.
            let _ = socket.send_to(&datagram, addr);
        }
    }
}
