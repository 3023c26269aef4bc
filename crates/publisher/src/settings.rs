//! The settings of a publisher: its address, its state folder and its bounds.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetseam_distribution::Term;
use violetseam_distribution::publisher::LogLimits;

/// A publisher's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The folder of its durable state; used by one process at a time.
    pub state: PathBuf,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The term to continue under. None: the stored one, or the wall clock's milliseconds where nothing is stored.
    pub term: Option<Term>,
    /// The bounds.
    pub bounds: Bounds,
}

/// The bounds of what comes from outside and of what is stored for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of connections; further ones are closed.
    pub connections: usize,
    /// Bytes of deltas that wait for a subscriber beside the answer to its call; past it the watch is closed.
    pub unread_bytes: usize,
    /// A watch whose subscriber has not read all that waits for it for this long is closed.
    pub catch_up: Duration,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// The log of deltas.
    pub log: LogLimits,
    /// Snapshots that are begun a second.
    pub snapshots_per_second: u32,
}

impl Bounds {
    /// Default of [`Bounds::connections`]: a watch and an acknowledgement for each of 4,700 subscribers, and
    /// as many again that have not been noticed as lost.
    pub const CONNECTIONS: usize = 18_000;
    /// Default of [`Bounds::unread_bytes`]: four of the largest deltas. They are shared among all watches.
    pub const UNREAD_BYTES: usize = 8 << 20;
    /// Default of [`Bounds::catch_up`].
    pub const CATCH_UP: Duration = Duration::from_secs(30);
    /// Default of [`Bounds::body_bytes`]: a whole configuration as JSON lines.
    pub const BODY_BYTES: usize = 40 << 20;
    /// Default of [`Bounds::snapshots_per_second`].
    pub const SNAPSHOTS_PER_SECOND: u32 = 20;
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            connections: Bounds::CONNECTIONS,
            unread_bytes: Bounds::UNREAD_BYTES,
            catch_up: Bounds::CATCH_UP,
            body_bytes: Bounds::BODY_BYTES,
            log: LogLimits::default(),
            snapshots_per_second: Bounds::SNAPSHOTS_PER_SECOND,
        }
    }
}
