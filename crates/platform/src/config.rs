//! The configuration that a proxy is started with, and again at each SIGHUP.

use crate::discovery::List;
use crate::pipeline::News;
use crate::{Malformed, malformed};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use violetseam_instance::Instance;

/// The longest configuration that is read, in bytes.
pub const CONFIG_MOST: usize = 8 << 20;

/// What a proxy's processes may take.
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

#[derive(Deserialize)]
struct PipelineText {
    address: SocketAddr,
    #[serde(default)]
    news: Option<News>,
}

#[derive(Deserialize)]
struct Text<'a> {
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
    pipeline: PipelineText,
    #[serde(default)]
    known: Option<List>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// What a proxy is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may take.
    pub limits: Limits,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The tier's proxies by their numbers, this one included.
    pub peers: Vec<SocketAddr>,
    /// Reaches every proxy of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The release service's address.
    pub pipeline: SocketAddr,
    /// Where the newest build stood when this was written.
    pub news: Option<News>,
    /// The server list as last held; may be out of date.
    pub known: Option<List>,
    /// The settings.
    pub instance: Instance,
}

impl Config {
    /// Reads the whole text.
    pub fn parse(text: &[u8]) -> Result<Config, Malformed> {
        if text.len() > CONFIG_MOST {
            return malformed(format!("configuration: over {CONFIG_MOST} bytes"));
        }
        let text: Text =
            serde_json::from_slice(text).map_err(|e| Malformed(format!("configuration: {e}")))?;
        let instance = violetseam_instance::read(text.settings.get().as_bytes())
            .map_err(|why| Malformed(format!("configuration: {why}")))?;
        if instance.decisions.classes.is_empty() {
            return malformed("configuration: settings without classes");
        }
        if text.limits.sockets < 32 {
            return malformed("configuration: under 32 sockets");
        }
        if let Some(known) = &text.known {
            known.check()?;
        }
        Ok(Config {
            name: text.name,
            listen: text.listen,
            discovery: text.discovery,
            seed: seed(&text.seed)?,
            limits: text.limits,
            peer_listen: text.peer_listen,
            peers: text.peers,
            peers_all: text.peers_all,
            pipeline: text.pipeline.address,
            news: text.pipeline.news,
            known: text.known,
            instance,
        })
    }
}

/// The seed is hexadecimal, of any length: longer ones are folded.
fn seed(text: &str) -> Result<u64, Malformed> {
    let digit = |b: u8| char::from(b).to_digit(16).map(u64::from);
    let fold = |seed: u64, b: u8| digit(b).map(|d| seed.rotate_left(4) ^ d);
    text.bytes().try_fold(0, fold).ok_or_else(|| Malformed("configuration: seed is not hexadecimal".into()))
}
