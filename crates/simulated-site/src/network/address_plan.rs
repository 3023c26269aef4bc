//! The addresses of a run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Host numbers on the run's network.
const PROXY_HOST: u8 = 1;
const SERVICE_HOST: u8 = 2;
const SERVER_HOST: u8 = 3;
const FIRST_RELAY_HOST: u8 = 10;

const FIRST_PROXY_PORT: u16 = 8_000;
const FIRST_PEER_PORT: u16 = 9_000;
const FIRST_RELAY_PORT: u16 = 10_000;
const FIRST_SERVER_PORT: u16 = 10_000;
/// Servers with ids that differ by this number share a port.
const SERVER_PORTS: u64 = 40_000;
const DISCOVERY_PORT: u16 = 7_001;
const RELEASE_SERVICE_PORT: u16 = 7_002;
const CONTROLLER_PORT: u16 = 7_003;

/// Where everything of a run listens: a loopback network of its own, so that simultaneous runs and
/// short-lived connections take no port from it.
#[derive(Clone, Copy, Debug)]
pub struct AddressPlan {
    /// Second octet of all addresses.
    second_octet: u8,
    /// Third octet of all addresses.
    third_octet: u8,
}

impl AddressPlan {
    /// The network of this process's `n`th run.
    #[must_use]
    pub fn of_process(n: u8) -> Self {
        let process = std::process::id();
        let second_octet = 16 + (process % 32) as u8 + 32 * (n % 7);
        let third_octet = (process / 32 % 250) as u8 + 1;
        AddressPlan { second_octet, third_octet }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.second_octet, self.third_octet, host);
        SocketAddr::new(IpAddr::V4(address), port)
    }

    /// Where a proxy accepts clients.
    pub fn proxy(self, n: usize) -> SocketAddr {
        self.address(PROXY_HOST, FIRST_PROXY_PORT + n as u16)
    }

    /// Where a proxy receives datagrams of its peers.
    pub fn peer(self, n: usize) -> SocketAddr {
        self.address(PROXY_HOST, FIRST_PEER_PORT + n as u16)
    }

    /// Where a proxy sends datagrams for a peer: a relay between the two.
    pub fn relay(self, from: usize, to: usize) -> SocketAddr {
        self.address(FIRST_RELAY_HOST + to as u8, FIRST_RELAY_PORT + from as u16)
    }

    /// The discovery service.
    pub fn discovery(self) -> SocketAddr {
        self.address(SERVICE_HOST, DISCOVERY_PORT)
    }

    /// The release service.
    pub fn release_service(self) -> SocketAddr {
        self.address(SERVICE_HOST, RELEASE_SERVICE_PORT)
    }

    /// The release controller, if one runs in place of the simulated release service.
    pub fn controller(self) -> SocketAddr {
        self.address(SERVICE_HOST, CONTROLLER_PORT)
    }

    /// A server, by its id.
    pub fn server(self, server: u64) -> SocketAddr {
        self.address(SERVER_HOST, FIRST_SERVER_PORT + (server % SERVER_PORTS) as u16)
    }
}
