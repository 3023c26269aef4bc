//! What a proxy and its site say to each other, without I/O: bytes and lines in, plain types out.
//!
//! The roster and the release desk speak JSON lines over HTTP, as people read them; peers speak binary
//! datagrams. `docs/protocols.md` is the published description. Whatever is malformed becomes an error
//! with a reason here and never reaches the decisions.

pub mod answer_report;
pub mod endpoint_list;
pub mod line_reader;
pub mod peer_datagram;
pub mod placement;
pub mod release_service;

use std::hash::{DefaultHasher, Hash, Hasher};

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

pub(crate) fn malformed<T>(reason: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(reason.into()))
}

/// A key as the decisions know it: a number that is the same for the same bytes, never 0.
pub fn key_number(key: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
