//! Assembles the parts of one snapshot as they arrive, within the bounds of a configuration.

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::digest::Digest;
use crate::message::SnapshotPart;
use crate::resource::{MAX_CONFIGURATION_BYTES, Resource};
use crate::version::Version;
use std::collections::BTreeMap;
use thiserror::Error;

/// The parts of one version that have arrived.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    header: Header,
    parts: BTreeMap<u32, Vec<Resource>>,
    bytes: usize,
    progressed_at: Micros,
}

/// What all parts of a snapshot have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Header {
    version: Version,
    parts: u32,
    digest: Digest,
}

/// Why a part cannot be added.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum AssemblyError {
    /// A part states another number of parts or another digest than the one before.
    #[error("parts of one snapshot that do not belong together")]
    MismatchedPart,
    /// The parts together exceed the size of a configuration.
    #[error("a snapshot of more than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
}

impl SnapshotAssembly {
    /// An assembly without parts, of the snapshot that `part` belongs to.
    pub(crate) fn new(now: Micros, part: &SnapshotPart) -> SnapshotAssembly {
        SnapshotAssembly { header: Header::of(part), parts: BTreeMap::new(), bytes: 0, progressed_at: now }
    }

    pub(crate) fn version(&self) -> Version {
        self.header.version
    }

    /// When the latest new part arrived.
    pub(crate) fn progressed_at(&self) -> Micros {
        self.progressed_at
    }

    /// Adds a part of the same version; a repeated one changes nothing. Returns whether the snapshot is
    /// complete.
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
            self.progressed_at = now;
        }
        Ok(self.parts.len() == self.header.parts as usize)
    }

    /// The configuration of all parts, checked against the digest that they state.
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
