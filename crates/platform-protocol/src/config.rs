//! Parses the configuration that a proxy reads at the start and again on each SIGHUP.

use crate::ConfigurationError;
use crate::discovery::ListUpdate;
use crate::release_service::ReleaseStatusText;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use violetseam_instance_settings::Instance;

/// The longest configuration that is parsed, in bytes.
pub const MAX_CONFIG_BYTES: usize = 8 << 20;

/// The resources that the process of a proxy may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The memory, in MB.
    pub memory_mb: f64,
    /// The number of file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128.0, sockets: 1024 }
    }
}

/// The smallest number of file descriptors that a proxy can run with.
pub(crate) const MIN_SOCKETS: usize = 32;

/// The release service's part of the configuration, as in the JSON text.
#[derive(Deserialize)]
struct ReleaseServiceText {
    address: SocketAddr,
    #[serde(default, rename = "news")]
    release_status: Option<ReleaseStatusText>,
}

/// The configuration, as in the JSON text.
#[derive(Deserialize)]
struct ConfigText<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    #[serde(rename = "pipeline")]
    release_service: ReleaseServiceText,
    #[serde(default, rename = "known")]
    cached_list: Option<ListUpdate>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The configuration of one proxy.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// The address on which the proxy listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the proxy's random numbers.
    pub seed: u64,
    /// The resources that the proxy may use.
    pub limits: Limits,
    /// The address on which the proxy receives datagrams from its peers.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of the fleet's proxies by position, including this one.
    pub peers: Vec<SocketAddr>,
    /// An address that delivers a datagram to every proxy of the fleet.
    pub peers_all: Option<SocketAddr>,
    /// The address of the release service.
    pub release_service: SocketAddr,
    /// The release status at the time when the configuration was written.
    pub release_status: Option<ReleaseStatusText>,
    /// The last known server list. It may be out of date.
    pub cached_list: Option<ListUpdate>,
    /// The settings of the decision module and of the proxy.
    pub instance: Instance,
}

impl Config {
    /// Parses a configuration from its JSON text.
    ///
    /// # Errors
    /// Returns a [`ConfigurationError`] if the text is too long, is not the expected JSON, or contains values
    /// that cannot be used.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigurationError> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(ConfigurationError::TooLong { limit: MAX_CONFIG_BYTES });
        }
        let text: ConfigText = serde_json::from_slice(text).map_err(ConfigurationError::Json)?;
        let instance = violetseam_instance_settings::read(text.settings.get().as_bytes())
            .map_err(|error| ConfigurationError::Settings { reason: error.to_string() })?;
        if instance.decisions.classes.is_empty() {
            return Err(ConfigurationError::NoClasses);
        }
        if text.limits.sockets < MIN_SOCKETS {
            return Err(ConfigurationError::TooFewSockets);
        }
        if let Some(list) = &text.cached_list {
            list.validate()?;
        }
        Ok(Config {
            name: text.name,
            listen: text.listen,
            discovery: text.discovery,
            seed: parse_seed(&text.seed)?,
            limits: text.limits,
            peer_listen: text.peer_listen,
            peers: text.peers,
            peers_all: text.peers_all,
            release_service: text.release_service.address,
            release_status: text.release_service.release_status,
            cached_list: text.cached_list,
            instance,
        })
    }
}

/// Parses a seed of any number of hexadecimal digits. Each digit rotates the value by four bits, so digits
/// after the 16th are combined with earlier ones by XOR.
fn parse_seed(text: &str) -> Result<u64, ConfigurationError> {
    let mut seed = 0u64;
    for character in text.bytes().map(char::from) {
        let digit = character.to_digit(16).ok_or(ConfigurationError::InvalidSeed)?;
        seed = seed.rotate_left(4) ^ u64::from(digit);
    }
    Ok(seed)
}
