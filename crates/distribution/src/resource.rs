//! Resources of a configuration: routes and tenants, their keys, values and bounds.

use serde::{Deserialize, Serialize};

/// The most routes of a configuration.
pub const ROUTES_MOST: usize = 65_536;
/// The most tenants of a configuration.
pub const TENANTS_MOST: usize = 262_144;
/// The most that a configuration's resources may weigh together, in bytes of [`Resource::weight`].
pub const CONFIGURATION_BYTES_MOST: usize = 32 << 20;
/// The longest path prefix, in bytes.
pub const PREFIX_BYTES_MOST: usize = 512;
/// The longest name of a request method, in bytes.
pub const METHOD_BYTES_MOST: usize = 32;
/// The longest name of a request class, in bytes.
pub const CLASS_BYTES_MOST: usize = 64;
/// The longest name of a tenant, in bytes.
pub const TENANT_BYTES_MOST: usize = 256;
/// The highest quota, in requests a second.
pub const QUOTA_MOST: f64 = 1e9;
/// Quotas are whole multiples of 1 / `QUOTA_STEPS` requests a second: such a number below [`QUOTA_MOST`]
/// has at most 15 significant digits and comes through JSON unchanged.
pub const QUOTA_STEPS: f64 = 1e6;
/// What a resource's names and punctuation weigh on the wire beside its texts, in bytes; no resource has
/// more.
const FRAME_BYTES: usize = 80;

/// Which requests a route takes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteKey {
    /// The request method; none: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The path prefix, from its `/` on.
    pub prefix: String,
}

/// Where a route leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteValue {
    /// The request class's name, as in the subscriber's settings.
    pub class: String,
}

/// A tenant's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantValue {
    /// Requests a second; 0 to [`QUOTA_MOST`], in steps of a millionth.
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
    /// Which requests it takes.
    pub key: RouteKey,
    /// Where it leads.
    pub value: RouteValue,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as requests carry it.
    pub name: String,
    /// Its allowance.
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

/// What a resource is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKey {
    /// A route's method and prefix.
    Route(RouteKey),
    /// A tenant's name.
    Tenant(String),
}

/// Why a resource or key is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResourceError {
    /// A field is empty, or longer than this many bytes.
    Length(Field, usize),
    /// A field holds a byte that it may not.
    Character(Field),
    /// A path prefix that does not start with `/`.
    PrefixStart,
    /// A quota that is negative, above [`QUOTA_MOST`], no number, or between two steps.
    Quota,
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

    /// What it is known by.
    pub fn key(&self) -> ResourceKey {
        match self {
            Resource::Route(route) => ResourceKey::Route(route.key.clone()),
            Resource::Tenant(tenant) => ResourceKey::Tenant(tenant.name.clone()),
        }
    }

    /// Upper bound of its length in JSON, in bytes; also what it counts against
    /// [`CONFIGURATION_BYTES_MOST`].
    pub fn weight(&self) -> usize {
        match self {
            Resource::Route(route) => route_weight(&route.key, &route.value),
            Resource::Tenant(tenant) => tenant_weight(&tenant.name),
        }
    }

    /// Checks lengths, characters and numbers.
    pub fn check(&self) -> Result<(), ResourceError> {
        match self {
            Resource::Route(route) => {
                check_route_key(&route.key)?;
                check_text(Field::Class, &route.value.class, CLASS_BYTES_MOST)
            }
            Resource::Tenant(tenant) => {
                check_text(Field::Tenant, &tenant.name, TENANT_BYTES_MOST)?;
                check_quota(tenant.value.quota)
            }
        }
    }
}

impl ResourceKey {
    /// Checks lengths and characters.
    pub fn check(&self) -> Result<(), ResourceError> {
        match self {
            ResourceKey::Route(key) => check_route_key(key),
            ResourceKey::Tenant(name) => check_text(Field::Tenant, name, TENANT_BYTES_MOST),
        }
    }

    /// Upper bound of its length in JSON, in bytes.
    pub fn weight(&self) -> usize {
        match self {
            ResourceKey::Route(key) => FRAME_BYTES + route_key_bytes(key),
            ResourceKey::Tenant(name) => FRAME_BYTES + name.len(),
        }
    }
}

pub(crate) fn route_weight(key: &RouteKey, value: &RouteValue) -> usize {
    FRAME_BYTES + route_key_bytes(key) + value.class.len()
}

pub(crate) fn tenant_weight(name: &str) -> usize {
    FRAME_BYTES + name.len()
}

fn route_key_bytes(key: &RouteKey) -> usize {
    key.method.as_ref().map_or(0, String::len) + key.prefix.len()
}

fn check_route_key(key: &RouteKey) -> Result<(), ResourceError> {
    if let Some(method) = &key.method {
        check_text(Field::Method, method, METHOD_BYTES_MOST)?;
        if !method.bytes().all(is_token_byte) {
            return Err(ResourceError::Character(Field::Method));
        }
    }
    check_text(Field::Prefix, &key.prefix, PREFIX_BYTES_MOST)?;
    if !key.prefix.starts_with('/') {
        return Err(ResourceError::PrefixStart);
    }
    if !key.prefix.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(ResourceError::Character(Field::Prefix));
    }
    Ok(())
}

/// Bytes of an HTTP token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Texts hold nothing that JSON writes as an escape, so that lengths on the wire are known beforehand.
fn check_text(field: Field, text: &str, most: usize) -> Result<(), ResourceError> {
    if text.is_empty() || text.len() > most {
        return Err(ResourceError::Length(field, most));
    }
    if text.chars().any(|c| c.is_control() || c == '"' || c == '\\') {
        return Err(ResourceError::Character(field));
    }
    Ok(())
}

fn check_quota(quota: f64) -> Result<(), ResourceError> {
    let in_range = (0.0..=QUOTA_MOST).contains(&quota);
    if !in_range || TenantValue::rounded(quota).quota != quota {
        return Err(ResourceError::Quota);
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

impl std::fmt::Display for ResourceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ResourceError::Length(field, most) => write!(f, "{field}: 1 to {most} bytes"),
            ResourceError::Character(field) => write!(f, "{field}: a character that is not allowed"),
            ResourceError::PrefixStart => f.write_str("prefix: starts with /"),
            ResourceError::Quota => write!(f, "quota: 0 to {QUOTA_MOST} in steps of a millionth"),
        }
    }
}

impl std::error::Error for ResourceError {}
