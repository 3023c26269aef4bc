//! The stand-ins' sockets: servers, roster, desk and the peers' network on one loop ([`site`]), clients on
//! another ([`clients`]). Each runs on a thread of its own and gives back what it saw.
//!
//! Of the site each file uses only those before it: `headers` (fields), `connection` (types), `relay`, `remote`, `state`
//! (what the site holds), `streams` (writing and closing), `roster_http`, `desk_http`, `site_http` (requests read),
//! `datagrams`, `machines`, `site` (its turn).

pub mod clients;
mod connection;
mod datagrams;
mod desk_http;
mod headers;
mod machines;
pub mod relay;
mod remote;
mod roster_http;
pub mod site;
mod site_http;
mod state;
mod streams;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Where everything of a run listens: a loopback network of its own, so that runs beside each other and
/// connections that come and go take no port from it.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// The network of this process's `n`th run.
    #[must_use]
    pub fn of_process(n: u8) -> Self {
        let id = std::process::id();
        Net { a: 16 + (id % 32) as u8 + 32 * (n % 7), b: (id / 32 % 250) as u8 + 1 }
    }

    fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host)), port)
    }

    /// Where a proxy takes clients.
    pub fn proxy(self, n: usize) -> SocketAddr {
        self.at(1, 8_000 + n as u16)
    }

    /// Where a proxy takes datagrams.
    pub fn peer(self, n: usize) -> SocketAddr {
        self.at(1, 9_000 + n as u16)
    }

    /// Where a proxy finds a peer: a relay between the two.
    pub fn relay(self, from: usize, to: usize) -> SocketAddr {
        self.at(10 + to as u8, 10_000 + from as u16)
    }

    /// The roster.
    pub fn roster(self) -> SocketAddr {
        self.at(2, 7_001)
    }

    /// The release desk.
    pub fn desk(self) -> SocketAddr {
        self.at(2, 7_002)
    }

    /// The release controller, where one runs in the desk's place.
    pub fn controller(self) -> SocketAddr {
        self.at(2, 7_003)
    }

    /// A machine.
    pub fn machine(self, machine: u64) -> SocketAddr {
        self.at(3, 10_000 + (machine % 40_000) as u16)
    }
}
