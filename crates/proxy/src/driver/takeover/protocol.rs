//! What the two processes of a takeover send each other.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use violetseam::interface::Micros;

/// The layout of what is handed over; a later one is refused, and the old process serves on. 2 has a listener
/// for control over TCP, and is stated only where there is one, so that earlier programs can still take over
/// from this one elsewhere.
pub(super) const VERSION: u32 = 2;
/// The layout without a listener for control over TCP.
pub(super) const VERSION_WITHOUT_CONTROL_LISTENER: u32 = 1;
/// The most bytes of the line with the offer.
pub(super) const MAX_OFFER_BYTES: usize = 4_096;
/// The most bytes of a module.
pub(super) const MAX_MODULE_BYTES: u64 = 256 << 20;
/// How long either side waits for the other.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Asks for the takeover.
pub(super) const REQUEST_LINE: &[u8] = b"\"takeover\"\n";
/// Refuses it for now.
pub(super) const BUSY_LINE: &[u8] = b"busy\n";
/// The new process can serve.
pub(super) const READY_LINE: &[u8] = b"ready\n";
/// The new process serves from here on.
pub(super) const GO_LINE: &[u8] = b"go\n";

/// What the old process offers.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Offer {
    /// The layout, as [`VERSION`] describes it.
    pub(super) version: u32,
    /// The event loop's clock.
    pub(super) clock: Micros,
    /// The system's monotonic clock at that moment, in microseconds.
    pub(super) monotonic: u64,
    /// How many listeners for clients are handed over.
    pub(super) listeners: usize,
    /// Whether the peers' socket is.
    pub(super) peers: bool,
    /// Whether the listener for control over TCP is.
    #[serde(default)]
    pub(super) control: bool,
    /// The highest fencing number received from a release controller.
    #[serde(default, rename = "desk_fence")]
    pub(super) release_fence: u64,
    /// How many idle client connections are handed over.
    pub(super) clients: usize,
    /// The length of the module in bytes.
    #[serde(rename = "module")]
    pub(super) module_bytes: u64,
}

impl Offer {
    /// How many descriptors follow the module.
    pub(super) fn descriptors(&self) -> usize {
        self.listeners + usize::from(self.peers) + usize::from(self.control) + self.clients
    }
}

/// The system's monotonic clock in microseconds, the same for all processes.
pub(super) fn monotonic_micros() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
