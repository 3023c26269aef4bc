//! The stand-ins' sockets: servers, roster, desk and the peers' network on one loop ([`site`]), clients on
//! another ([`clients`]). Each runs on a thread of its own and gives back what it saw.
//!
//! Of the site each file uses only those before it: `headers` (fields), `connection` (types), `relay`, `remote`, `state`
//! (what the site holds), `streams` (writing and closing), `roster_http`, `desk_http`, `site_http` (requests read),
//! `datagrams`, `machines`, `site` (its turn).

pub mod clients;
mod connection;
mod datagrams;
mod discovery_http;
mod headers;
mod machines;
pub mod relay;
mod release_http;
mod remote;
pub mod site;
mod site_http;
mod state;
mod streams;

/// Why the simulated site or its clients cannot run.
#[derive(Debug, thiserror::Error)]
pub enum NetworkError {
    /// The event loop could not be created, or waiting for events failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// An address could not be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A socket could not be added to the event loop.
    #[error("adding the socket at {address} to the event loop: {source}")]
    Register {
        /// Where the socket listens.
        address: SocketAddr,
        /// The cause.
        source: calloop::Error,
    },
    /// A thread could not be started.
    #[error("starting the thread {name:?}: {source}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Where everything of a run listens: a loopback network of its own, so that runs beside each other and
/// connections that come and go take no port from it.
#[derive(Clone, Copy, Debug)]
pub struct AddressPlan {
    a: u8,
    b: u8,
}

impl AddressPlan {
    /// The network of this process's `n`th run.
    #[must_use]
    pub fn of_process(n: u8) -> Self {
        let id = std::process::id();
        AddressPlan { a: 16 + (id % 32) as u8 + 32 * (n % 7), b: (id / 32 % 250) as u8 + 1 }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host)), port)
    }

    /// Where a proxy takes clients.
    pub fn proxy(self, n: usize) -> SocketAddr {
        self.address(1, 8_000 + n as u16)
    }

    /// Where a proxy takes datagrams.
    pub fn peer(self, n: usize) -> SocketAddr {
        self.address(1, 9_000 + n as u16)
    }

    /// Where a proxy finds a peer: a relay between the two.
    pub fn relay(self, from: usize, to: usize) -> SocketAddr {
        self.address(10 + to as u8, 10_000 + from as u16)
    }

    /// The roster.
    pub fn discovery(self) -> SocketAddr {
        self.address(2, 7_001)
    }

    /// The release desk.
    pub fn release_service(self) -> SocketAddr {
        self.address(2, 7_002)
    }

    /// The release controller, where one runs in the desk's place.
    pub fn controller(self) -> SocketAddr {
        self.address(2, 7_003)
    }

    /// A machine.
    pub fn server(self, machine: u64) -> SocketAddr {
        self.address(3, 10_000 + (machine % 40_000) as u16)
    }
}

/// Connections that wait in the kernel to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Listens on an address.
fn listen(address: SocketAddr) -> Result<TcpListener, NetworkError> {
    violetseam_event_io::listen(address, LISTEN_BACKLOG)
        .map_err(|source| NetworkError::Listen { address, source })
}
