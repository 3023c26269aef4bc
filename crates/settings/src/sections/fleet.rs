//! The fleet, the services that a proxy calls, and the daemons of a fleet file.

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

/// Files in PEM form: a daemon's for control over TCP, an operator's in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The certificate, followed by the intermediate ones.
    pub cert: String,
    /// Its private key, readable by its owner alone.
    pub key: String,
    /// The authorities that the other side's certificate may be from.
    pub trusted: String,
    /// Revocation lists.
    #[serde(default)]
    pub revoked: Option<String>,
}

/// `control_tls(...)`: control over TCP under mutual TLS.
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
    /// Its name.
    pub name: String,
    /// The path of its control socket, or `tls://HOST:PORT`.
    pub control: String,
    /// Groups it can be addressed by.
    #[serde(default)]
    pub groups: Vec<String>,
}

/// `listen(...)`: an address for clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSection {
    pub addr: SocketAddr,
}

/// `roster(...)`: the discovery service, which gives out the endpoint list.
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
    /// Controllers to try when the first does not answer.
    #[serde(default)]
    pub standby: Vec<SocketAddr>,
    /// A watch of the release that is silent for so long is lost; blank lines count as heartbeats.
    #[serde(default)]
    pub silence: Option<ScriptDuration>,
    #[serde(default = "default_reconnect_delay")]
    pub reconnect: ScriptDuration,
}

impl ReleaseServiceSection {
    /// The addresses in the order in which they are tried.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        std::iter::once(self.addr).chain(self.standby.iter().copied()).collect()
    }
}

fn default_reconnect_delay() -> ScriptDuration {
    ScriptDuration::from_millis(200)
}

/// `publisher(...)`: the publisher of distributed routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PublisherSection {
    pub addr: SocketAddr,
}

/// `peers(...)`: the other proxies' gossip addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PeersSection {
    pub listen: SocketAddr,
    pub addrs: Vec<SocketAddr>,
}
