//! Sections for the fleet, the services that a proxy calls, and the daemons of a fleet file.

use super::one_second;
use serde::Deserialize;
use std::net::SocketAddr;
use violetseam_starlark_config::ScriptDuration;

/// `fleet(...)`: the fleet and this proxy's position in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSection {
    pub name: String,
    pub size: usize,
    pub position: usize,
    #[serde(default)]
    pub site: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default)]
    pub sizes_known: bool,
    #[serde(default)]
    pub seed: Option<u64>,
    #[serde(default)]
    pub state_dir: Option<String>,
    #[serde(default)]
    pub control: Option<String>,
}

/// Paths of the PEM files for mutual TLS: a daemon's for control over TCP, or an operator's in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// File with the certificate, followed by the intermediate certificates.
    pub cert: String,
    /// File with the certificate's private key. Only its owner may have read permission.
    pub key: String,
    /// File with the certificate authorities that are trusted to issue the peer's certificate.
    pub trusted: String,
    /// File with certificate revocation lists.
    #[serde(default)]
    pub revoked: Option<String>,
}

/// `control_tls(...)`: control of the daemon over TCP with mutual TLS.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ControlTlsSection {
    pub listen: SocketAddr,
    pub cert: String,
    pub key: String,
    pub trusted: String,
    #[serde(default)]
    pub revoked: Option<String>,
}

/// `member(...)`: a daemon of a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the daemon.
    pub name: String,
    /// Path of the daemon's control socket, or `tls://HOST:PORT`.
    pub control: String,
    /// Groups by which an operator can address the daemon.
    #[serde(default)]
    pub groups: Vec<String>,
}

/// `listen(...)`: an address on which the proxy accepts client connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSection {
    pub addr: SocketAddr,
}

/// `roster(...)`: the discovery service, which provides the endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DiscoverySection {
    pub addr: SocketAddr,
    #[serde(default = "one_second")]
    pub timeout: ScriptDuration,
}

/// `desk(...)`: the release service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ReleaseServiceSection {
    pub addr: SocketAddr,
    /// Addresses of standby controllers, which are tried when the first does not answer.
    #[serde(default)]
    pub standby: Vec<SocketAddr>,
    /// Time without data after which a watch of the release counts as lost. Blank lines count as heartbeats.
    #[serde(default)]
    pub silence: Option<ScriptDuration>,
    /// Delay before a lost watch is opened again.
    #[serde(default = "default_reconnect_delay")]
    pub reconnect: ScriptDuration,
}

impl ReleaseServiceSection {
    /// Returns the addresses in the order in which they are tried.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        std::iter::once(self.addr).chain(self.standby.iter().copied()).collect()
    }
}

fn default_reconnect_delay() -> ScriptDuration {
    ScriptDuration::from_millis(200)
}

/// `publisher(...)`: the publisher that distributes the routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PublisherSection {
    pub addr: SocketAddr,
}

/// `peers(...)`: the gossip addresses of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeersSection {
    /// Address on which this proxy receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of all proxies by position, including this one.
    pub addrs: Vec<SocketAddr>,
}
