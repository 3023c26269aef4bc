//! Counters of what a proxy of an engine fleet sends and receives.

use std::rc::Rc;

/// Messages and bytes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Messages.
    pub messages: u64,
    /// Their bytes, without the headers of UDP and IP.
    pub bytes: u64,
}

impl Flow {
    pub(super) fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What a proxy has sent and received since the counters were last set to zero.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams from peers.
    pub received: Flow,
    /// Datagrams to peers.
    pub sent: Flow,
    /// Messages that went to all peers: above the size of a full mesh only collectors send such.
    pub broadcasts: u64,
    /// Votes, by their JSON bodies.
    pub votes: Flow,
    /// Attempts at servers.
    pub attempts: u64,
}

/// A datagram on its way.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// The sender's number.
    pub from: usize,
    /// The receiver's number.
    pub to: usize,
    /// Header, payload and checksum.
    pub bytes: Rc<[u8]>,
}
