//! The messages that the two processes of a takeover send to each other.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use violetseam::interface::Micros;

/// The version of the data that is handed over. An offer with a later version is refused, and the old process
/// continues to serve. Version 2 adds a listener for control over TCP. It is stated only if there is such a
/// listener, so that otherwise earlier programs can still take over from this one.
pub(super) const VERSION: u32 = 2;
/// The version without a listener for control over TCP.
pub(super) const VERSION_WITHOUT_CONTROL_LISTENER: u32 = 1;
/// The maximum length of the line with the offer, in bytes.
pub(super) const MAX_OFFER_BYTES: usize = 4_096;
/// The maximum length of the serialized decision module, in bytes.
pub(super) const MAX_MODULE_BYTES: u64 = 256 << 20;
/// How long either process waits for the other.
pub(super) const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The new process requests the takeover.
pub(super) const REQUEST_LINE: &[u8] = b"\"takeover\"\n";
/// The old process refuses the takeover for now.
pub(super) const BUSY_LINE: &[u8] = b"busy\n";
/// The new process is ready to serve.
pub(super) const READY_LINE: &[u8] = b"ready\n";
/// The old process tells the new one to serve from now on.
pub(super) const GO_LINE: &[u8] = b"go\n";

/// The old process's offer: describes what it hands over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Offer {
    /// The version of the data that is handed over, as [`VERSION`] describes it.
    pub(super) version: u32,
    /// The time of the old process's event loop clock.
    pub(super) clock: Micros,
    /// The system's monotonic clock at the same moment, in microseconds.
    #[serde(rename = "monotonic")]
    pub(super) monotonic_micros: u64,
    /// How many listeners for clients are handed over.
    #[serde(rename = "listeners")]
    pub(super) listener_count: usize,
    /// Whether the socket for messages between peers is handed over.
    #[serde(rename = "peers")]
    pub(super) has_peer_socket: bool,
    /// Whether the listener for control over TCP is handed over.
    #[serde(default, rename = "control")]
    pub(super) has_control_listener: bool,
    /// The highest fencing number received from a release controller.
    #[serde(default, rename = "desk_fence")]
    pub(super) release_fence: u64,
    /// How many idle client connections are handed over.
    #[serde(rename = "clients")]
    pub(super) client_count: usize,
    /// The length of the serialized decision module, in bytes.
    #[serde(rename = "module")]
    pub(super) module_bytes: u64,
}

impl Offer {
    /// How many file descriptors follow the module.
    pub(super) fn descriptor_count(&self) -> usize {
        self.listener_count
            + usize::from(self.has_peer_socket)
            + usize::from(self.has_control_listener)
            + self.client_count
    }
}

/// Returns the system's monotonic clock in microseconds, which is the same for all processes.
pub(super) fn monotonic_micros() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
