//! An incremental digest of a configuration: the cost of updating it depends only on the size of the change.
//!
//! The digest is the sum, modulo 2^128, of the XXH3-128 hashes of the version and of every resource, each
//! encoded as canonical bytes. The order of the resources therefore does not matter, and a resource is added
//! or removed without reading the others. The digest detects loss, damage and divergence; it does not
//! protect against a malicious publisher.

use crate::resource::{Resource, RouteKey, RouteValue, TenantValue};
use crate::version::Version;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use xxhash_rust::xxh3::xxh3_128;

/// The number of hexadecimal digits in an encoded digest.
const HEX_DIGITS: usize = 32;
const ROUTE_TAG: u8 = 1;
const TENANT_TAG: u8 = 2;
const VERSION_TAG: u8 = 3;

/// The sum of the digests of a version and of resources. The digest of an empty set is 0. It is encoded as 32
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(pub u128);

impl Digest {
    /// Returns the digest of a version without any resources.
    pub fn of_version(version: Version) -> Digest {
        let mut bytes = vec![VERSION_TAG];
        bytes.extend_from_slice(&version.term.0.to_le_bytes());
        bytes.extend_from_slice(&version.number.to_le_bytes());
        Digest(xxh3_128(&bytes))
    }

    /// Returns the digest of one resource.
    pub fn of_resource(resource: &Resource) -> Digest {
        match resource {
            Resource::Route(route) => Digest::of_route(&route.key, &route.value),
            Resource::Tenant(tenant) => Digest::of_tenant(&tenant.name, &tenant.value),
        }
    }

    pub(crate) fn of_route(key: &RouteKey, value: &RouteValue) -> Digest {
        let mut bytes = vec![ROUTE_TAG, u8::from(key.method.is_some())];
        append_field(&mut bytes, key.method.as_deref().unwrap_or(""));
        append_field(&mut bytes, &key.prefix);
        append_field(&mut bytes, &value.class);
        Digest(xxh3_128(&bytes))
    }

    pub(crate) fn of_tenant(name: &str, value: &TenantValue) -> Digest {
        let mut bytes = vec![TENANT_TAG];
        append_field(&mut bytes, name);
        bytes.extend_from_slice(&value.quota_in_millionths().to_le_bytes());
        Digest(xxh3_128(&bytes))
    }

    /// Returns this digest with `other` added.
    pub fn with(self, other: Digest) -> Digest {
        Digest(self.0.wrapping_add(other.0))
    }

    /// Returns this digest with `other` removed.
    pub fn without(self, other: Digest) -> Digest {
        Digest(self.0.wrapping_sub(other.0))
    }
}

/// Appends a field preceded by its length, so that different lists of fields never encode to the same bytes.
fn append_field(bytes: &mut Vec<u8>, field: &str) {
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
        let is_well_formed = text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_well_formed {
            return Err(D::Error::custom("a digest is 32 hexadecimal digits"));
        }
        u128::from_str_radix(&text, 16).map(Digest).map_err(D::Error::custom)
    }
}
