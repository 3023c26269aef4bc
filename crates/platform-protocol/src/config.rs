//! The configuration that a proxy is started with, and again at each SIGHUP.

use crate::ConfigurationError;
use crate::discovery::ListUpdate;
use crate::release_service::ReleaseStatusText;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use violetseam_instance_settings::Instance;

/// The longest configuration that is parsed, in bytes.
pub const MAX_CONFIG_BYTES: usize = 8 << 20;

/// The resources that a proxy's process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 128.0, sockets: 1024 }
    }
}

/// The fewest descriptors that a proxy can run with.
const MIN_SOCKETS: usize = 32;

/// The release service, as written.
#[derive(Deserialize)]
struct ReleaseServiceText {
    address: SocketAddr,
    #[serde(default, rename = "news")]
    release_status: Option<ReleaseStatusText>,
}

/// The configuration, as written.
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
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The resources that it may use.
    pub limits: Limits,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The tier's proxies by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// Reaches every proxy of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The release service's address.
    pub release_service: SocketAddr,
    /// The release status when this was written.
    pub release_status: Option<ReleaseStatusText>,
    /// The server list as last held; may be out of date.
    pub cached_list: Option<ListUpdate>,
    /// The settings.
    pub instance: Instance,
}

impl Config {
    /// Parses the JSON text.
    ///
    /// # Errors
    /// A [`ConfigurationError`] if the text is too long, is not the expected JSON, or holds values that cannot be used.
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

/// Parses the seed: hexadecimal, of any length; digits past the 16th are folded in.
fn parse_seed(text: &str) -> Result<u64, ConfigurationError> {
    let mut seed = 0u64;
    for character in text.bytes().map(char::from) {
        let digit = character.to_digit(16).ok_or(ConfigurationError::InvalidSeed)?;
        seed = seed.rotate_left(4) ^ u64::from(digit);
    }
    Ok(seed)
}
