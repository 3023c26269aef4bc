//! Datagrams between proxies as they reach the relay: lost, repeated, damaged or delayed by the scenario's troubles.

use super::relay::{DELAY, Relay};
use super::state::Site;
use super::{AddressPlan, NetworkError};
use crate::scenario::{Fault, FaultKind};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use rand::RngExt;
use std::net::UdpSocket;

/// A relay whose sockets are on the loop.
pub(super) fn bind_relay(
    on: &LoopHandle<'static, Site>,
    net: AddressPlan,
    proxies: usize,
) -> Result<Relay, NetworkError> {
    let relay = Relay::bind(net, proxies)?;
    for ((from, to), socket) in relay.sockets() {
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        on.insert_source(source, move |_, socket, site: &mut Site| {
            site.on_datagrams(from, to, socket);
            Ok(PostAction::Continue)
        })
        .map_err(|e| NetworkError::Register { address: net.relay(from, to), source: e.error })?;
    }
    Ok(relay)
}

/// Whether a datagram from one proxy to another crosses the cut.
fn cuts(trouble: &Fault, from: usize, to: usize) -> bool {
    let (sends, hears) = (trouble.targets.contains(&from), trouble.targets.contains(&to));
    match (sends, hears) {
        (true, true) => trouble.parameter > 0.5,
        (true, false) => trouble.selector != 2,
        (false, true) => trouble.selector != 1,
        (false, false) => false,
    }
}

impl Site {
    /// Troubles of a kind that are going on, on this link.
    fn link_troubles(&self, kind: FaultKind, from: usize, to: usize) -> impl Iterator<Item = &Fault> {
        let on_link =
            move |t: &&Fault| t.targets.is_empty() || t.targets.contains(&from) || t.targets.contains(&to);
        self.all_active(kind).filter(on_link)
    }

    /// Whether a datagram is lost on this link now.
    fn loses(&mut self, from: usize, to: usize) -> bool {
        if self.active(FaultKind::GossipOutage).is_some()
            || self.all_active(FaultKind::GossipPartition).any(|t| cuts(t, from, to))
        {
            return true;
        }
        let kept: f64 =
            self.link_troubles(FaultKind::GossipLoss, from, to).map(|t| 1.0 - t.magnitude).product();
        kept < 1.0 && self.rng.random::<f64>() >= kept
    }

    fn on_datagrams(&mut self, from: usize, to: usize, socket: &UdpSocket) {
        let mut bytes = [0; 2048];
        for _ in 0..64 {
            let Ok((length, source)) = socket.recv_from(&mut bytes) else { return };
            if source != self.net.peer(from) || self.loses(from, to) {
                continue;
            }
            let now = self.clock.now();
            let held = self
                .link_troubles(FaultKind::GossipDelay, from, to)
                .map(|t| (t.magnitude * 1e6) as u64)
                .max();
            let datagram = bytes[..length].to_vec();
            let disordered = self.active(FaultKind::GossipReordering).is_some();
            let copies = if disordered { 2 } else { 1 };
            for _ in 0..copies {
                let longest = if disordered { 400_000 } else { DELAY.1 }.max(held.unwrap_or(0));
                let delay = self.rng.random_range(DELAY.0..longest);
                self.relay.fly(now + delay, from, to, datagram.clone());
            }
            if disordered {
                // Another version, and damage: both must be dropped.
                let mut other = datagram.clone();
                other[2 % length.max(1)] ^= 7;
                self.relay.fly(now + DELAY.0, from, to, other);
            }
        }
    }
}
