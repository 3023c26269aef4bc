//! The parts of one snapshot as they arrive, bounded.

use crate::Micros;
use crate::configuration::{ApplyError, Configuration};
use crate::message::SnapshotPart;
use crate::resource::{CONFIGURATION_BYTES_MOST, Resource};
use crate::version::Version;
use std::collections::BTreeMap;

/// Parts of one version.
#[derive(Debug)]
pub(crate) struct Collection {
    first: Heading,
    parts: BTreeMap<u32, Vec<Resource>>,
    bytes: usize,
    progressed_at: Micros,
}

/// What all parts of a snapshot have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heading {
    version: Version,
    parts: u32,
    digest: crate::digest::Digest,
}

/// Why parts cannot be put together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// A part states another number of parts or another digest than the one before.
    Differs,
    /// The parts together are more than a configuration may be.
    Bytes,
}

impl Collection {
    pub(crate) fn new(now: Micros, part: &SnapshotPart) -> Collection {
        Collection { first: Heading::of(part), parts: BTreeMap::new(), bytes: 0, progressed_at: now }
    }

    pub(crate) fn version(&self) -> Version {
        self.first.version
    }

    /// When the latest new part arrived.
    pub(crate) fn progressed_at(&self) -> Micros {
        self.progressed_at
    }

    /// Takes a part of the same version; a repeated one changes nothing. Whether all parts are there.
    pub(crate) fn add(&mut self, now: Micros, part: SnapshotPart) -> Result<bool, CollectError> {
        if Heading::of(&part) != self.first {
            return Err(CollectError::Differs);
        }
        if !self.parts.contains_key(&part.part) {
            self.bytes += part.resources.iter().map(Resource::weight).sum::<usize>();
            if self.bytes > CONFIGURATION_BYTES_MOST {
                return Err(CollectError::Bytes);
            }
            self.parts.insert(part.part, part.resources);
            self.progressed_at = now;
        }
        Ok(self.parts.len() == self.first.parts as usize)
    }

    /// The configuration of all parts, checked against the digest that they state.
    pub(crate) fn assemble(self) -> Result<Configuration, ApplyError> {
        let resources = self.parts.into_values().flatten();
        Configuration::from_resources_with_digest(self.first.version, resources, self.first.digest)
    }
}

impl Heading {
    fn of(part: &SnapshotPart) -> Heading {
        Heading { version: part.version, parts: part.parts, digest: part.digest }
    }
}

impl std::fmt::Display for CollectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CollectError::Differs => f.write_str("parts of one snapshot that do not belong together"),
            CollectError::Bytes => write!(f, "a snapshot of more than {CONFIGURATION_BYTES_MOST} bytes"),
        }
    }
}
