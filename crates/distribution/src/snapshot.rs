//! Snapshots encoded as lines, in parts of bounded size.

use crate::configuration::Configuration;
use crate::message::{Line, MAX_PART_BYTES, Message, SnapshotPart};
use crate::resource::Resource;
use crate::version::Version;

/// A snapshot as lines, encoded once for all callers while it is new enough.
#[derive(Debug, PartialEq)]
pub struct EncodedSnapshot {
    /// Its version.
    pub version: Version,
    /// One line for each part, in order.
    pub parts: Vec<Line>,
}

impl EncodedSnapshot {
    /// Encodes a configuration.
    pub fn encode(configuration: &Configuration) -> EncodedSnapshot {
        let version = configuration.version();
        let digest = configuration.digest();
        let chunks = chunks_by_size(configuration.resources());
        let parts = chunks.len() as u32;
        let encode_part = |(index, resources): (usize, Vec<Resource>)| {
            let part = SnapshotPart { version, part: index as u32, parts, digest, resources };
            Message::SnapshotPart(part).write()
        };
        let parts = chunks.into_iter().enumerate().map(encode_part).collect();
        EncodedSnapshot { version, parts }
    }

    /// The length of all lines, in bytes.
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|line| line.len()).sum()
    }
}

/// Groups resources by at most [`MAX_PART_BYTES`]; one empty group where there are none.
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
