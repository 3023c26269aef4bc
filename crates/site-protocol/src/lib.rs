//! The protocols between a proxy and its site. The package does no I/O: it parses bytes and lines into typed
//! messages, and serializes messages.
//!
//! The endpoint list and the release service use JSON lines over HTTP, which people can read. Peers exchange
//! binary datagrams. `docs/protocols.md` is the published description of the protocols. A malformed message
//! is rejected here with a [`MessageError`] or a [`peer_datagram::DatagramError`] and never reaches the
//! decision module.

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

/// Returns the number that identifies a key in the decision module. It is the hash of the key's bytes, so it
/// is the same for the same bytes, and it is never 0.
pub fn key_number(key: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
