//! How the relay treats the datagrams between proxies: faults lose, repeat, corrupt or delay them.

use super::relay::{Link, Relay};
use super::state::Site;
use crate::network::{AddressPlan, NetworkError};
use crate::scenario::{Fault, FaultKind};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use rand::RngExt;
use std::net::UdpSocket;

/// The range of the delay of a datagram while no fault affects it, in microseconds.
const MIN_DELAY_US: u64 = 1_000;
const MAX_DELAY_US: u64 = 8_000;
/// The longest delay of a datagram while a fault reorders datagrams, in microseconds.
const MAX_REORDERING_DELAY_US: u64 = 400_000;
/// The largest datagram that is relayed in full, in bytes.
const MAX_DATAGRAM_SIZE: usize = 2_048;
/// The most datagrams that are read from one socket before other sockets get their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// The index of the header byte that corruption changes, and the bits that it flips in it.
const CORRUPTED_BYTE: usize = 2;
const CORRUPTED_BITS: u8 = 7;

/// The [`Fault::selector`] of a partition that loses only the datagrams that targets send.
const SENT_BY_TARGETS: usize = 1;
/// The [`Fault::selector`] of a partition that loses only the datagrams that are sent to targets.
const SENT_TO_TARGETS: usize = 2;

/// Binds the sockets of the relay and registers them on the event loop.
pub(super) fn bind_relay(
    event_loop: &LoopHandle<'static, Site>,
    addresses: AddressPlan,
    proxies: usize,
) -> Result<Relay, NetworkError> {
    let relay = Relay::bind(addresses, proxies)?;
    for (link, socket) in relay.sockets() {
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let inserted = event_loop.insert_source(source, move |_, socket, site: &mut Site| {
            site.on_datagrams(link, socket);
            Ok(PostAction::Continue)
        });
        let address = addresses.relay(link.from, link.to);
        inserted.map_err(|error| NetworkError::Register { address, source: error.error })?;
    }
    Ok(relay)
}

/// Returns whether a partition loses the datagrams of a link.
fn is_partitioned(partition: &Fault, link: Link) -> bool {
    let from_target = partition.targets.contains(&link.from);
    let to_target = partition.targets.contains(&link.to);
    match (from_target, to_target) {
        (true, true) => partition.parameter > 0.5,
        (true, false) => partition.selector != SENT_TO_TARGETS,
        (false, true) => partition.selector != SENT_BY_TARGETS,
        (false, false) => false,
    }
}

impl Site {
    /// Returns the active faults of a kind that affect a link. A fault without targets affects all links.
    fn link_faults(&self, kind: FaultKind, link: Link) -> impl Iterator<Item = &Fault> {
        let is_on_link = move |fault: &&Fault| {
            let targets = &fault.targets;
            targets.is_empty() || targets.contains(&link.from) || targets.contains(&link.to)
        };
        self.active_faults(kind).filter(is_on_link)
    }

    /// Returns whether a datagram on a link is lost now. Partial loss is decided by a random draw.
    fn is_lost(&mut self, link: Link) -> bool {
        if self.is_active(FaultKind::GossipOutage) {
            return true;
        }
        if self.active_faults(FaultKind::GossipPartition).any(|fault| is_partitioned(fault, link)) {
            return true;
        }
        let lossy = self.link_faults(FaultKind::GossipLoss, link);
        let delivery_rate: f64 = lossy.map(|fault| 1.0 - fault.magnitude).product();
        delivery_rate < 1.0 && self.random.random::<f64>() >= delivery_rate
    }

    fn on_datagrams(&mut self, link: Link, socket: &UdpSocket) {
        let mut buffer = [0; MAX_DATAGRAM_SIZE];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, source)) = socket.recv_from(&mut buffer) else { return };
            if source == self.addresses.peer(link.from) && !self.is_lost(link) {
                self.forward(link, &buffer[..length]);
            }
        }
    }

    fn forward(&mut self, link: Link, datagram: &[u8]) {
        let now = self.clock.now();
        let delays = self.link_faults(FaultKind::GossipDelay, link).map(Fault::magnitude_seconds);
        let injected_delay = delays.max().unwrap_or(0);
        if !self.is_active(FaultKind::GossipReordering) {
            return self.send_delayed(now, link, datagram, MAX_DELAY_US.max(injected_delay));
        }
        for _ in 0..2 {
            self.send_delayed(now, link, datagram, MAX_REORDERING_DELAY_US.max(injected_delay));
        }
        // The corrupted byte states a protocol version that the receiver does not know, so the receiver must
        // drop the datagram.
        let mut corrupted = datagram.to_vec();
        if let Some(byte) = corrupted.get_mut(CORRUPTED_BYTE % datagram.len().max(1)) {
            *byte ^= CORRUPTED_BITS;
        }
        self.relay.send(now + MIN_DELAY_US, link, corrupted);
    }

    fn send_delayed(&mut self, now: u64, link: Link, datagram: &[u8], max_delay: u64) {
        let delay = self.random.random_range(MIN_DELAY_US..max_delay);
        self.relay.send(now + delay, link, datagram.to_vec());
    }
}
