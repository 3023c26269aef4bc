//! The settings of a publisher: its address, its state folder and its limits.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetseam_distribution::Term;
use violetseam_distribution::publisher::LogLimits;

/// The settings of a publisher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The folder of the durable state. Only one process can use it at a time.
    pub state: PathBuf,
    /// The address on which the publisher listens.
    pub listen: SocketAddr,
    /// The term under which the publisher continues. If it is none, the publisher continues under the stored
    /// term; if nothing is stored either, the milliseconds of the wall clock become the term.
    pub term: Option<Term>,
    /// The limits.
    pub bounds: Bounds,
}

/// Limits on what clients and subscribers may send and request, and on what is stored for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of connections. A further connection is closed as soon as it is accepted.
    pub connections: usize,
    /// The maximum number of bytes of deltas that may be queued for one subscriber, in addition to the
    /// response to its watch request. A watch with more than that is closed.
    pub unread_bytes: usize,
    /// A watch is closed after its subscriber has had unread bytes for this long without a break.
    pub catch_up: Duration,
    /// The maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// The limits of the log of deltas.
    pub log: LogLimits,
    /// The maximum number of snapshots that are started per second.
    pub snapshots_per_second: u32,
}

impl Bounds {
    /// The default of [`Bounds::connections`]. Each of 4,700 subscribers needs one connection for its watch
    /// and one for its acknowledgements; the same number again is for connections that are lost without the
    /// publisher having noticed it yet.
    pub const CONNECTIONS: usize = 18_000;
    /// The default of [`Bounds::unread_bytes`]: four deltas of the maximum length. All watches share the
    /// memory of the queued deltas.
    pub const UNREAD_BYTES: usize = 8 << 20;
    /// The default of [`Bounds::catch_up`].
    pub const CATCH_UP: Duration = Duration::from_secs(30);
    /// The default of [`Bounds::body_bytes`]: enough for a complete configuration as JSON lines.
    pub const BODY_BYTES: usize = 40 << 20;
    /// The default of [`Bounds::snapshots_per_second`].
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
