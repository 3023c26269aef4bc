//! Assembles a snapshot from the parts that arrive, within the size limit of a configuration.

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::digest::Digest;
use crate::message::SnapshotPart;
use crate::resource::{MAX_CONFIGURATION_BYTES, Resource};
use crate::version::Version;
use std::collections::BTreeMap;
use thiserror::Error;

/// The parts of one snapshot that have arrived so far.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    header: Header,
    parts: BTreeMap<u32, Vec<Resource>>,
    bytes: usize,
    last_progress_at: Micros,
}

/// The fields that are equal in all parts of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Header {
    version: Version,
    parts: u32,
    digest: Digest,
}

/// The reason why a part cannot be added.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AssemblyError {
    /// The part states a different number of parts or a different digest than the first part.
    #[error("parts of one snapshot that do not belong together")]
    MismatchedPart,
    /// The parts together are larger than a configuration may be.
    #[error("a snapshot of more than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
}

impl SnapshotAssembly {
    /// Creates an empty assembly for the snapshot that `part` belongs to. The part itself is not added.
    pub(crate) fn new(now: Micros, part: &SnapshotPart) -> SnapshotAssembly {
        SnapshotAssembly { header: Header::of(part), parts: BTreeMap::new(), bytes: 0, last_progress_at: now }
    }

    pub(crate) fn version(&self) -> Version {
        self.header.version
    }

    /// Returns when the latest part that had not arrived before was added.
    pub(crate) fn last_progress_at(&self) -> Micros {
        self.last_progress_at
    }

    /// Adds a part of the same version and returns whether the snapshot is complete. A part that has already
    /// arrived changes nothing.
    pub(crate) fn add(&mut self, now: Micros, part: SnapshotPart) -> Result<bool, AssemblyError> {
        if Header::of(&part) != self.header {
            return Err(AssemblyError::MismatchedPart);
        }
        if !self.parts.contains_key(&part.part) {
            self.bytes += part.resources.iter().map(Resource::max_encoded_bytes).sum::<usize>();
            if self.bytes > MAX_CONFIGURATION_BYTES {
                return Err(AssemblyError::TooLarge);
            }
            self.parts.insert(part.part, part.resources);
            self.last_progress_at = now;
        }
        Ok(self.parts.len() == self.header.parts as usize)
    }

    /// Returns the configuration made up of all parts, after checking it against the digest that they state.
    pub(crate) fn finish(self) -> Result<Configuration, ApplyError> {
        let resources = self.parts.into_values().flatten();
        Configuration::from_resources_with_digest(self.header.version, resources, self.header.digest)
    }
}

impl Header {
    fn of(part: &SnapshotPart) -> Header {
        Header { version: part.version, parts: part.parts, digest: part.digest }
    }
}
