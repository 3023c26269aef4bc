//! The socket addresses that the processes and services of a run use.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Last octets of the addresses on the run's network, by what listens there. Each receiving proxy has a relay
/// host of its own.
const PROXY_HOST: u8 = 1;
const SERVICE_HOST: u8 = 2;
const SERVER_HOST: u8 = 3;
const FIRST_RELAY_HOST: u8 = 10;

const FIRST_PROXY_PORT: u16 = 8_000;
const FIRST_PEER_PORT: u16 = 9_000;
const FIRST_RELAY_PORT: u16 = 10_000;
const FIRST_SERVER_PORT: u16 = 10_000;
/// The number of ports for servers. Servers whose ids differ by a multiple of it share a port.
const SERVER_PORT_COUNT: u64 = 40_000;
const DISCOVERY_PORT: u16 = 7_001;
const RELEASE_SERVICE_PORT: u16 = 7_002;
const CONTROLLER_PORT: u16 = 7_003;

/// The addresses at which everything in a run listens. Each run has its own loopback network, so that neither
/// simultaneous runs nor short-lived connections can occupy one of its ports.
#[derive(Clone, Copy, Debug)]
pub struct AddressPlan {
    /// The second octet of all addresses of the run.
    second_octet: u8,
    /// The third octet of all addresses of the run.
    third_octet: u8,
}

impl AddressPlan {
    /// Returns the addresses for run number `run` of this process.
    #[must_use]
    pub fn of_process(run: u8) -> Self {
        let process = std::process::id();
        let second_octet = 16 + (process % 32) as u8 + 32 * (run % 7);
        let third_octet = (process / 32 % 250) as u8 + 1;
        AddressPlan { second_octet, third_octet }
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.second_octet, self.third_octet, host);
        SocketAddr::new(IpAddr::V4(address), port)
    }

    /// Returns the address at which a proxy accepts clients.
    pub fn proxy(self, position: usize) -> SocketAddr {
        self.address(PROXY_HOST, FIRST_PROXY_PORT + position as u16)
    }

    /// Returns the address at which a proxy receives the datagrams of its peers.
    pub fn peer(self, position: usize) -> SocketAddr {
        self.address(PROXY_HOST, FIRST_PEER_PORT + position as u16)
    }

    /// Returns the address to which the proxy `from` sends its datagrams for the proxy `to`: the
    /// relay between the two.
    pub fn relay(self, from: usize, to: usize) -> SocketAddr {
        self.address(FIRST_RELAY_HOST + to as u8, FIRST_RELAY_PORT + from as u16)
    }

    /// Returns the address of the discovery service.
    pub fn discovery(self) -> SocketAddr {
        self.address(SERVICE_HOST, DISCOVERY_PORT)
    }

    /// Returns the address of the simulated release service.
    pub fn release_service(self) -> SocketAddr {
        self.address(SERVICE_HOST, RELEASE_SERVICE_PORT)
    }

    /// Returns the address of the release controller, for runs that have one instead of the simulated release
    /// service.
    pub fn controller(self) -> SocketAddr {
        self.address(SERVICE_HOST, CONTROLLER_PORT)
    }

    /// Returns the address of the server with this id.
    pub fn server(self, server: u64) -> SocketAddr {
        self.address(SERVER_HOST, FIRST_SERVER_PORT + (server % SERVER_PORT_COUNT) as u16)
    }
}
