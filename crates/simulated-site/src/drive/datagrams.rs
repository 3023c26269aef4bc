//! Datagrams between proxies as they reach the relay: lost, repeated, damaged or delayed by the day's troubles.

use super::Net;
use super::relay::{DELAY, Relay};
use super::state::Site;
use crate::day::{Kind, Trouble};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use rand::RngExt;
use std::net::UdpSocket;

/// A relay whose sockets are on the loop.
pub(super) fn bind_relay(on: &LoopHandle<'static, Site>, net: Net, proxies: usize) -> std::io::Result<Relay> {
    let relay = Relay::bind(net, proxies)?;
    for ((from, to), socket) in relay.sockets() {
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        on.insert_source(source, move |_, socket, site: &mut Site| {
            site.on_datagrams(from, to, socket);
            Ok(PostAction::Continue)
        })
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    }
    Ok(relay)
}

/// Whether a datagram from one proxy to another crosses the cut.
fn cuts(trouble: &Trouble, from: usize, to: usize) -> bool {
    let (sends, hears) = (trouble.on.contains(&from), trouble.on.contains(&to));
    match (sends, hears) {
        (true, true) => trouble.extra > 0.5,
        (true, false) => trouble.which != 2,
        (false, true) => trouble.which != 1,
        (false, false) => false,
    }
}

impl Site {
    /// Troubles of a kind that are going on, on this link.
    fn link_troubles(&self, kind: Kind, from: usize, to: usize) -> impl Iterator<Item = &Trouble> {
        let on_link = move |t: &&Trouble| t.on.is_empty() || t.on.contains(&from) || t.on.contains(&to);
        self.all_active(kind).filter(on_link)
    }

    /// Whether a datagram is lost on this link now.
    fn loses(&mut self, from: usize, to: usize) -> bool {
        if self.active(Kind::PeersLost).is_some()
            || self.all_active(Kind::PeersCut).any(|t| cuts(t, from, to))
        {
            return true;
        }
        let kept: f64 = self.link_troubles(Kind::PeersLoss, from, to).map(|t| 1.0 - t.size).product();
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
            let held = self.link_troubles(Kind::PeersSlow, from, to).map(|t| (t.size * 1e6) as u64).max();
            let datagram = bytes[..length].to_vec();
            let disordered = self.active(Kind::PeersDisordered).is_some();
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
