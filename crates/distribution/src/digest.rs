//! A digest over a set of resources that a change updates at the cost of the change alone.
//!
//! The digest is the sum, modulo 2^128, of XXH3-128 over each resource's canonical bytes and over those of
//! the version, so the order of resources does not matter and one resource is added or removed by itself.
//! It detects loss, damage and divergence; it does not protect against a malicious publisher.

use crate::resource::{Resource, RouteKey, RouteValue, TenantValue};
use crate::version::Version;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use xxhash_rust::xxh3::xxh3_128;

/// Digits of an encoded digest.
const HEX_DIGITS: usize = 32;
const ROUTE_TAG: u8 = 1;
const TENANT_TAG: u8 = 2;
const VERSION_TAG: u8 = 3;

/// A sum of digests of a version and of resources; that of nothing is 0. Written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of a version by itself.
    pub fn of_version(version: Version) -> Digest {
        let mut bytes = vec![VERSION_TAG];
        bytes.extend_from_slice(&version.term.0.to_le_bytes());
        bytes.extend_from_slice(&version.number.to_le_bytes());
        Digest(xxh3_128(&bytes))
    }

    /// The digest of one resource.
    pub fn of_resource(resource: &Resource) -> Digest {
        match resource {
            Resource::Route(route) => Digest::of_route(&route.key, &route.value),
            Resource::Tenant(tenant) => Digest::of_tenant(&tenant.name, &tenant.value),
        }
    }

    pub(crate) fn of_route(key: &RouteKey, value: &RouteValue) -> Digest {
        let mut bytes = vec![ROUTE_TAG, u8::from(key.method.is_some())];
        write_field(&mut bytes, key.method.as_deref().unwrap_or(""));
        write_field(&mut bytes, &key.prefix);
        write_field(&mut bytes, &value.class);
        Digest(xxh3_128(&bytes))
    }

    pub(crate) fn of_tenant(name: &str, value: &TenantValue) -> Digest {
        let mut bytes = vec![TENANT_TAG];
        write_field(&mut bytes, name);
        bytes.extend_from_slice(&value.quota_in_millionths().to_le_bytes());
        Digest(xxh3_128(&bytes))
    }

    /// With another digest added.
    pub fn with(self, other: Digest) -> Digest {
        Digest(self.0.wrapping_add(other.0))
    }

    /// With another digest removed.
    pub fn without(self, other: Digest) -> Digest {
        Digest(self.0.wrapping_sub(other.0))
    }
}

/// Appends a field after its length, so that no two lists of fields give the same bytes.
fn write_field(bytes: &mut Vec<u8>, field: &str) {
    bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
    bytes.extend_from_slice(field.as_bytes());
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        let only_digits = text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !only_digits {
            return Err(D::Error::custom("a digest is 32 hexadecimal digits"));
        }
        u128::from_str_radix(&text, 16).map(Digest).map_err(D::Error::custom)
    }
}
