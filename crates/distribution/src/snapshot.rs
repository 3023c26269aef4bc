//! Encodes a snapshot as lines, one for each part of bounded size.

use crate::configuration::Configuration;
use crate::message::{Line, MAX_PART_BYTES, Message, SnapshotPart};
use crate::resource::Resource;
use crate::version::Version;

/// A snapshot as encoded lines. The publisher encodes it once and sends it to all subscribers that need one,
/// as long as it is recent enough.
#[derive(Debug, PartialEq)]
pub struct EncodedSnapshot {
    /// The version of the snapshot's configuration.
    pub version: Version,
    /// The encoded parts, one line each, in order.
    pub parts: Vec<Line>,
}

impl EncodedSnapshot {
    /// Encodes a configuration as a snapshot.
    pub fn encode(configuration: &Configuration) -> EncodedSnapshot {
        let version = configuration.version();
        let digest = configuration.digest();
        let chunks = chunks_by_size(configuration.resources());
        let part_count = chunks.len() as u32;
        let encode_part = |(index, resources): (usize, Vec<Resource>)| {
            let part = SnapshotPart { version, part: index as u32, parts: part_count, digest, resources };
            Message::SnapshotPart(part).write()
        };
        let parts = chunks.into_iter().enumerate().map(encode_part).collect();
        EncodedSnapshot { version, parts }
    }

    /// Returns the total length of all lines, in bytes.
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|line| line.len()).sum()
    }
}

/// Splits the resources into chunks of at most [`MAX_PART_BYTES`] each. Without resources there is one empty
/// chunk, because a snapshot has at least one part.
fn chunks_by_size(resources: impl Iterator<Item = Resource>) -> Vec<Vec<Resource>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for resource in resources {
        bytes += resource.max_encoded_bytes();
        if bytes > MAX_PART_BYTES {
            bytes = resource.max_encoded_bytes();
            chunks.push(Vec::new());
        }
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(resource);
        }
    }
    chunks
}
