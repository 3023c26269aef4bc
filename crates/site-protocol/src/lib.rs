//! The protocols between a proxy and its site, without I/O: bytes and lines in, typed messages out.
//!
//! The endpoint list and the release service use JSON lines over HTTP, which people can read; peers exchange
//! binary datagrams. `docs/protocols.md` is the published description. A malformed message becomes a
//! [`MessageError`] or a [`peer_datagram::DatagramError`] here and never reaches the decision module.

pub mod answer_report;
pub mod endpoint_list;
mod error;
mod json;
pub mod line_reader;
pub mod peer_datagram;
pub mod placement;
pub mod release_service;

pub use error::{MessageError, MessageType};

use std::hash::{DefaultHasher, Hash, Hasher};

/// The number by which the decision module knows a key: the same for the same bytes, and never 0.
pub fn key_number(key: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
