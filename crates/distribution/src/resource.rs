//! The resources of a configuration, routes and tenants, with their keys, values and bounds.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum number of routes in a configuration.
pub const MAX_ROUTES: usize = 65_536;
/// The maximum number of tenants in a configuration.
pub const MAX_TENANTS: usize = 262_144;
/// The maximum size of a configuration, in bytes, as the sum of [`Resource::max_encoded_bytes`].
pub const MAX_CONFIGURATION_BYTES: usize = 32 << 20;
/// The maximum length of a path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 512;
/// The maximum length of a request method's name, in bytes.
pub const MAX_METHOD_BYTES: usize = 32;
/// The maximum length of a request class's name, in bytes.
pub const MAX_CLASS_BYTES: usize = 64;
/// The maximum length of a tenant's name, in bytes.
pub const MAX_TENANT_NAME_BYTES: usize = 256;
/// The highest quota, in requests per second.
pub const MAX_QUOTA: f64 = 1e9;
/// The number of quota steps in one request per second: every quota is a whole multiple of 1 / `QUOTA_STEPS`.
/// Such a number below [`MAX_QUOTA`] has at most 15 significant digits, so that JSON does not change it.
pub const QUOTA_STEPS: f64 = 1e6;
/// An upper bound of the length of a resource's field names and punctuation in JSON, in bytes.
const MAX_FRAMING_BYTES: usize = 80;

/// The requests that a route matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteKey {
    /// The request method. Without one, the route matches every method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The path prefix, which starts with `/`.
    pub prefix: String,
}

/// The value of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteValue {
    /// The name of the request class, as defined in the subscriber's settings.
    pub class: String,
}

/// The value of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantValue {
    /// The quota in requests per second, from 0 to [`MAX_QUOTA`], in steps of a millionth.
    pub quota: f64,
}

impl TenantValue {
    /// Creates a value with the quota rounded to the nearest step, which can be published.
    pub fn rounded(quota: f64) -> TenantValue {
        TenantValue { quota: (quota * QUOTA_STEPS).round() / QUOTA_STEPS }
    }

    pub(crate) fn quota_in_millionths(&self) -> u64 {
        (self.quota * QUOTA_STEPS).round() as u64
    }
}

/// A route: which requests it matches, and the request class that it assigns to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The requests that the route matches.
    pub key: RouteKey,
    /// The value of the route.
    pub value: RouteValue,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name, as it appears in requests.
    pub name: String,
    /// The value of the tenant.
    pub value: TenantValue,
}

/// A resource: a key and its value.
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
    /// The method and prefix of a route.
    Route(RouteKey),
    /// The name of a tenant.
    Tenant(String),
}

/// The reason why a resource or key is not well formed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResourceError {
    /// A field is empty, or longer than this number of bytes.
    #[error("{0}: 1 to {1} bytes")]
    InvalidLength(Field, usize),
    /// A field contains a character that is not allowed.
    #[error("{0}: a character that is not allowed")]
    InvalidCharacter(Field),
    /// A path prefix does not start with `/`.
    #[error("prefix: starts with /")]
    MissingLeadingSlash,
    /// A quota is negative, greater than [`MAX_QUOTA`], not a number, or not a whole number of steps.
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
    /// Creates a route from a method (`None` matches every method), a path prefix and a request class.
    pub fn route(method: Option<&str>, prefix: &str, class: &str) -> Resource {
        let key = RouteKey { method: method.map(str::to_owned), prefix: prefix.to_owned() };
        Resource::Route(Route { key, value: RouteValue { class: class.to_owned() } })
    }

    /// Creates a tenant from a name and a quota in requests per second, which is rounded to the nearest step.
    pub fn tenant(name: &str, quota: f64) -> Resource {
        Resource::Tenant(Tenant { name: name.to_owned(), value: TenantValue::rounded(quota) })
    }

    /// Returns the resource's key.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Route(route) => ResourceKey::Route(route.key.clone()),
            Resource::Tenant(tenant) => ResourceKey::Tenant(tenant.name.clone()),
        }
    }

    /// Returns an upper bound of the resource's length in JSON, in bytes. The resource counts as this many
    /// bytes towards [`MAX_CONFIGURATION_BYTES`].
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Resource::Route(route) => max_route_bytes(&route.key, &route.value),
            Resource::Tenant(tenant) => max_tenant_bytes(&tenant.name),
        }
    }

    /// Checks the lengths, characters and numbers of all fields.
    ///
    /// # Errors
    /// Returns an error if a field is not valid.
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
    /// Checks the lengths and characters of all fields.
    ///
    /// # Errors
    /// Returns an error if a field is not valid.
    pub fn validate(&self) -> Result<(), ResourceError> {
        match self {
            ResourceKey::Route(key) => check_route_key(key),
            ResourceKey::Tenant(name) => check_text(Field::Tenant, name, MAX_TENANT_NAME_BYTES),
        }
    }

    /// Returns an upper bound of the key's length in JSON, in bytes.
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

/// Returns whether a byte may occur in an HTTP token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Checks a text field. No character that JSON escapes is allowed, so that the encoded length is known
/// without encoding the text.
fn check_text(field: Field, text: &str, max_bytes: usize) -> Result<(), ResourceError> {
    if text.is_empty() || text.len() > max_bytes {
        return Err(ResourceError::InvalidLength(field, max_bytes));
    }
    if text.chars().any(|character| character.is_control() || character == '"' || character == '\\') {
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
