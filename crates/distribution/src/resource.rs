//! Resources of a configuration: routes and tenants, their keys, values and bounds.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum number of routes of a configuration.
pub const MAX_ROUTES: usize = 65_536;
/// The maximum number of tenants of a configuration.
pub const MAX_TENANTS: usize = 262_144;
/// The maximum size of a configuration, in bytes of [`Resource::max_encoded_bytes`].
pub const MAX_CONFIGURATION_BYTES: usize = 32 << 20;
/// The longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 512;
/// The longest name of a request method, in bytes.
pub const MAX_METHOD_BYTES: usize = 32;
/// The longest name of a request class, in bytes.
pub const MAX_CLASS_BYTES: usize = 64;
/// The longest name of a tenant, in bytes.
pub const MAX_TENANT_NAME_BYTES: usize = 256;
/// The highest quota, in requests a second.
pub const MAX_QUOTA: f64 = 1e9;
/// Quotas are whole multiples of 1 / `QUOTA_STEPS` requests a second: such a number below [`MAX_QUOTA`]
/// has at most 15 significant digits and comes through JSON unchanged.
pub const QUOTA_STEPS: f64 = 1e6;
/// Upper bound of the field names and punctuation of a resource in JSON, in bytes.
const MAX_FRAMING_BYTES: usize = 80;

/// Which requests a route matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteKey {
    /// The request method; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The path prefix, from its `/` on.
    pub prefix: String,
}

/// The value of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteValue {
    /// The request class's name, as in the subscriber's settings.
    pub class: String,
}

/// The value of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantValue {
    /// Requests a second; 0 to [`MAX_QUOTA`], in steps of a millionth.
    pub quota: f64,
}

impl TenantValue {
    /// The nearest quota that can be published: rounded to its step.
    pub fn rounded(quota: f64) -> TenantValue {
        TenantValue { quota: (quota * QUOTA_STEPS).round() / QUOTA_STEPS }
    }

    pub(crate) fn quota_in_millionths(&self) -> u64 {
        (self.quota * QUOTA_STEPS).round() as u64
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its key.
    pub key: RouteKey,
    /// Its value.
    pub value: RouteValue,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Its value.
    pub value: TenantValue,
}

/// One resource: a key and its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// A route.
    Route(Route),
    /// A tenant.
    Tenant(Tenant),
}

/// The key of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKey {
    /// A route's method and prefix.
    Route(RouteKey),
    /// A tenant's name.
    Tenant(String),
}

/// Why a resource or key is not well formed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// A field is empty, or longer than this many bytes.
    #[error("{0}: 1 to {1} bytes")]
    InvalidLength(Field, usize),
    /// A field holds a byte that it may not.
    #[error("{0}: a character that is not allowed")]
    InvalidCharacter(Field),
    /// A path prefix that does not start with `/`.
    #[error("prefix: starts with /")]
    MissingLeadingSlash,
    /// A quota that is negative, above [`MAX_QUOTA`], no number, or between two steps.
    #[error("quota: 0 to {MAX_QUOTA} in steps of a millionth")]
    InvalidQuota,
}

/// A text field of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// A route's request method.
    Method,
    /// A route's path prefix.
    Prefix,
    /// A route's request class.
    Class,
    /// A tenant's name.
    Tenant,
}

impl Resource {
    /// A route of a method (none: any), prefix and class.
    pub fn route(method: Option<&str>, prefix: &str, class: &str) -> Resource {
        let key = RouteKey { method: method.map(str::to_owned), prefix: prefix.to_owned() };
        Resource::Route(Route { key, value: RouteValue { class: class.to_owned() } })
    }

    /// A tenant of a name and a quota in requests a second, rounded to its step.
    pub fn tenant(name: &str, quota: f64) -> Resource {
        Resource::Tenant(Tenant { name: name.to_owned(), value: TenantValue::rounded(quota) })
    }

    /// Its key.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Route(route) => ResourceKey::Route(route.key.clone()),
            Resource::Tenant(tenant) => ResourceKey::Tenant(tenant.name.clone()),
        }
    }

    /// Upper bound of its length in JSON, in bytes; also what it counts against
    /// [`MAX_CONFIGURATION_BYTES`].
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Resource::Route(route) => max_route_bytes(&route.key, &route.value),
            Resource::Tenant(tenant) => max_tenant_bytes(&tenant.name),
        }
    }

    /// Checks lengths, characters and numbers.
    ///
    /// # Errors
    /// A field is out of bounds.
    pub fn validate(&self) -> Result<(), ResourceError> {
        match self {
            Resource::Route(route) => {
                check_route_key(&route.key)?;
                check_text(Field::Class, &route.value.class, MAX_CLASS_BYTES)
            }
            Resource::Tenant(tenant) => {
                check_text(Field::Tenant, &tenant.name, MAX_TENANT_NAME_BYTES)?;
                check_quota(tenant.value.quota)
            }
        }
    }
}

impl ResourceKey {
    /// Checks lengths and characters.
    ///
    /// # Errors
    /// A field is out of bounds.
    pub fn validate(&self) -> Result<(), ResourceError> {
        match self {
            ResourceKey::Route(key) => check_route_key(key),
            ResourceKey::Tenant(name) => check_text(Field::Tenant, name, MAX_TENANT_NAME_BYTES),
        }
    }

    /// Upper bound of its length in JSON, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            ResourceKey::Route(key) => MAX_FRAMING_BYTES + route_key_bytes(key),
            ResourceKey::Tenant(name) => MAX_FRAMING_BYTES + name.len(),
        }
    }
}

pub(crate) fn max_route_bytes(key: &RouteKey, value: &RouteValue) -> usize {
    MAX_FRAMING_BYTES + route_key_bytes(key) + value.class.len()
}

pub(crate) fn max_tenant_bytes(name: &str) -> usize {
    MAX_FRAMING_BYTES + name.len()
}

fn route_key_bytes(key: &RouteKey) -> usize {
    key.method.as_ref().map_or(0, String::len) + key.prefix.len()
}

fn check_route_key(key: &RouteKey) -> Result<(), ResourceError> {
    if let Some(method) = &key.method {
        check_text(Field::Method, method, MAX_METHOD_BYTES)?;
        if !method.bytes().all(is_token_byte) {
            return Err(ResourceError::InvalidCharacter(Field::Method));
        }
    }
    check_text(Field::Prefix, &key.prefix, MAX_PREFIX_BYTES)?;
    if !key.prefix.starts_with('/') {
        return Err(ResourceError::MissingLeadingSlash);
    }
    if !key.prefix.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(ResourceError::InvalidCharacter(Field::Prefix));
    }
    Ok(())
}

/// Bytes of an HTTP token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Texts hold nothing that JSON writes as an escape, so that lengths on the wire are known beforehand.
fn check_text(field: Field, text: &str, max_bytes: usize) -> Result<(), ResourceError> {
    if text.is_empty() || text.len() > max_bytes {
        return Err(ResourceError::InvalidLength(field, max_bytes));
    }
    if text.chars().any(|c| c.is_control() || c == '"' || c == '\\') {
        return Err(ResourceError::InvalidCharacter(field));
    }
    Ok(())
}

fn check_quota(quota: f64) -> Result<(), ResourceError> {
    let in_range = (0.0..=MAX_QUOTA).contains(&quota);
    if !in_range || TenantValue::rounded(quota).quota != quota {
        return Err(ResourceError::InvalidQuota);
    }
    Ok(())
}

impl std::fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ResourceKey::Route(key) => {
                write!(f, "route {} {}", key.method.as_deref().unwrap_or("any method"), key.prefix)
            }
            ResourceKey::Tenant(name) => write!(f, "tenant {name}"),
        }
    }
}

impl std::fmt::Display for Field {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Field::Method => "method",
            Field::Prefix => "prefix",
            Field::Class => "class",
            Field::Tenant => "tenant",
        })
    }
}
