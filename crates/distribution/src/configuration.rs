//! A configuration: the resources in force at one version, with their digest.

use crate::digest::Digest;
use crate::message::{Change, Delta};
use crate::resource::{
    CONFIGURATION_BYTES_MOST, ROUTES_MOST, Resource, ResourceError, ResourceKey, Route, RouteKey, RouteValue,
    TENANTS_MOST, Tenant, TenantValue, route_weight, tenant_weight,
};
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Resources of one version, their digest and what they weigh. A change costs time by its own size and the
/// logarithm of the number of resources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    version: Version,
    /// Of the resources alone.
    sum: Digest,
    bytes: usize,
    routes: BTreeMap<RouteKey, RouteValue>,
    tenants: BTreeMap<String, TenantValue>,
}

/// Why changes do not go onto a configuration; it is then as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta goes onto another version than the one held.
    Base {
        /// The version held.
        held: Version,
        /// The version that the delta goes onto.
        base: Version,
    },
    /// The delta's version is not above its base, or is of another term.
    Order,
    /// The digest after the changes is another than the one stated.
    Digest {
        /// What the digest would be.
        found: Digest,
        /// What was stated.
        stated: Digest,
    },
    /// Two changes, or two resources, of one key.
    Repeated(ResourceKey),
    /// The removal of a resource that is not there.
    Unknown(ResourceKey),
    /// More routes than [`ROUTES_MOST`].
    Routes,
    /// More tenants than [`TENANTS_MOST`].
    Tenants,
    /// More bytes than [`CONFIGURATION_BYTES_MOST`].
    Bytes,
    /// A resource or key that is not well formed.
    Resource(ResourceError),
}

/// What a configuration would be after changes, before they are made.
struct Outcome {
    sum: Digest,
    routes: usize,
    tenants: usize,
    bytes: usize,
}

impl Configuration {
    /// The empty configuration of a version.
    pub fn empty(version: Version) -> Configuration {
        Configuration { version, ..Configuration::default() }
    }

    /// A configuration of these resources; each is checked, and no two may share a key.
    pub fn from_resources(
        version: Version,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Result<Configuration, ApplyError> {
        let mut configuration = Configuration::empty(version);
        for resource in resources {
            resource.check().map_err(ApplyError::Resource)?;
            let key = resource.key();
            if configuration.contains(&key) {
                return Err(ApplyError::Repeated(key));
            }
            configuration.put(resource);
            configuration.check_bounds()?;
        }
        Ok(configuration)
    }

    /// As [`Configuration::from_resources`], and the digest must be the one stated: for what comes from a
    /// disk or a wire.
    pub fn from_resources_with_digest(
        version: Version,
        resources: impl IntoIterator<Item = Resource>,
        stated: Digest,
    ) -> Result<Configuration, ApplyError> {
        let configuration = Configuration::from_resources(version, resources)?;
        let found = configuration.digest();
        if found != stated {
            return Err(ApplyError::Digest { found, stated });
        }
        Ok(configuration)
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of its version and its resources.
    pub fn digest(&self) -> Digest {
        Digest::of_version(self.version).with(self.sum)
    }

    /// The number of resources.
    pub fn len(&self) -> usize {
        self.routes.len() + self.tenants.len()
    }

    /// Whether there is no resource.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What its resources weigh together, in bytes ([`Resource::weight`]).
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A route's value.
    pub fn route(&self, key: &RouteKey) -> Option<&RouteValue> {
        self.routes.get(key)
    }

    /// A tenant's value.
    pub fn tenant(&self, name: &str) -> Option<&TenantValue> {
        self.tenants.get(name)
    }

    /// All routes, in the order of their keys.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteKey, &RouteValue)> {
        self.routes.iter()
    }

    /// All tenants, in the order of their names.
    pub fn tenants(&self) -> impl Iterator<Item = (&str, &TenantValue)> {
        self.tenants.iter().map(|(name, value)| (name.as_str(), value))
    }

    /// All resources, routes first, in the order of their keys.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        let routes = self.routes.iter().map(|(key, value)| route_resource(key, value));
        let tenants = self.tenants.iter().map(|(name, value)| tenant_resource(name, value));
        routes.chain(tenants)
    }

    /// Whether there is a resource of this key.
    pub fn contains(&self, key: &ResourceKey) -> bool {
        match key {
            ResourceKey::Route(key) => self.routes.contains_key(key),
            ResourceKey::Tenant(name) => self.tenants.contains_key(name),
        }
    }

    /// Checks changes, makes none: the digest that the configuration would have after them, as `version`.
    pub fn check_changes(&self, version: Version, changes: &[Change]) -> Result<Digest, ApplyError> {
        self.outcome(changes).map(|outcome| Digest::of_version(version).with(outcome.sum))
    }

    /// Checks a delta, applies nothing: whether [`Configuration::apply`] would take it.
    pub fn check_delta(&self, delta: &Delta) -> Result<(), ApplyError> {
        if delta.base != self.version {
            return Err(ApplyError::Base { held: self.version, base: delta.base });
        }
        if delta.version <= delta.base || delta.version.term != delta.base.term {
            return Err(ApplyError::Order);
        }
        let found = self.check_changes(delta.version, &delta.changes)?;
        if found != delta.digest {
            return Err(ApplyError::Digest { found, stated: delta.digest });
        }
        Ok(())
    }

    /// Applies a delta whole, or leaves everything as it was.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        self.check_delta(delta)?;
        for change in &delta.changes {
            self.make(change);
        }
        self.version = delta.version;
        Ok(())
    }

    /// The changes that lead from this configuration to `target`, in the order of their keys.
    pub fn changes_to(&self, target: &Configuration) -> Vec<Change> {
        let removed_routes = self.routes.keys().filter(|key| !target.routes.contains_key(*key));
        let removed_tenants = self.tenants.keys().filter(|name| !target.tenants.contains_key(*name));
        let put_routes = target.routes.iter().filter(|(key, value)| self.routes.get(*key) != Some(*value));
        let put_tenants =
            target.tenants.iter().filter(|(name, value)| self.tenants.get(*name) != Some(*value));
        let removed = removed_routes
            .map(|key| ResourceKey::Route(key.clone()))
            .chain(removed_tenants.map(|name| ResourceKey::Tenant(name.clone())))
            .map(Change::Remove);
        let put = put_routes
            .map(|(key, value)| route_resource(key, value))
            .chain(put_tenants.map(|(name, value)| tenant_resource(name, value)))
            .map(Change::Put);
        removed.chain(put).collect()
    }

    /// The same resources under another version.
    pub(crate) fn renumber(&mut self, version: Version) {
        self.version = version;
    }

    fn outcome(&self, changes: &[Change]) -> Result<Outcome, ApplyError> {
        let mut seen = BTreeSet::new();
        let mut outcome = Outcome {
            sum: self.sum,
            routes: self.routes.len(),
            tenants: self.tenants.len(),
            bytes: self.bytes,
        };
        for change in changes {
            change.check().map_err(ApplyError::Resource)?;
            let key = change.key();
            if !seen.insert(key.clone()) {
                return Err(ApplyError::Repeated(key));
            }
            let before = self.resource(&key);
            if before.is_none() && matches!(change, Change::Remove(_)) {
                return Err(ApplyError::Unknown(key));
            }
            if let Some(before) = &before {
                outcome.leave(before);
            }
            if let Change::Put(after) = change {
                outcome.enter(after);
            }
        }
        check_bounds(outcome.routes, outcome.tenants, outcome.bytes)?;
        Ok(outcome)
    }

    fn resource(&self, key: &ResourceKey) -> Option<Resource> {
        match key {
            ResourceKey::Route(key) => self.routes.get(key).map(|value| route_resource(key, value)),
            ResourceKey::Tenant(name) => self.tenants.get(name).map(|value| tenant_resource(name, value)),
        }
    }

    fn check_bounds(&self) -> Result<(), ApplyError> {
        check_bounds(self.routes.len(), self.tenants.len(), self.bytes)
    }

    fn make(&mut self, change: &Change) {
        match change {
            Change::Put(resource) => self.put(resource.clone()),
            Change::Remove(key) => self.remove(key),
        }
    }

    fn put(&mut self, resource: Resource) {
        self.remove(&resource.key());
        self.bytes += resource.weight();
        self.sum = self.sum.with(Digest::of_resource(&resource));
        match resource {
            Resource::Route(route) => {
                self.routes.insert(route.key, route.value);
            }
            Resource::Tenant(tenant) => {
                self.tenants.insert(tenant.name, tenant.value);
            }
        }
    }

    fn remove(&mut self, key: &ResourceKey) {
        match key {
            ResourceKey::Route(key) => {
                let Some(value) = self.routes.remove(key) else { return };
                self.bytes -= route_weight(key, &value);
                self.sum = self.sum.without(Digest::of_route(key, &value));
            }
            ResourceKey::Tenant(name) => {
                let Some(value) = self.tenants.remove(name) else { return };
                self.bytes -= tenant_weight(name);
                self.sum = self.sum.without(Digest::of_tenant(name, &value));
            }
        }
    }
}

impl Outcome {
    fn enter(&mut self, resource: &Resource) {
        self.sum = self.sum.with(Digest::of_resource(resource));
        self.bytes += resource.weight();
        *self.count(resource) += 1;
    }

    fn leave(&mut self, resource: &Resource) {
        self.sum = self.sum.without(Digest::of_resource(resource));
        self.bytes = self.bytes.saturating_sub(resource.weight());
        *self.count(resource) -= 1;
    }

    fn count(&mut self, resource: &Resource) -> &mut usize {
        match resource {
            Resource::Route(_) => &mut self.routes,
            Resource::Tenant(_) => &mut self.tenants,
        }
    }
}

fn check_bounds(routes: usize, tenants: usize, bytes: usize) -> Result<(), ApplyError> {
    if routes > ROUTES_MOST {
        return Err(ApplyError::Routes);
    }
    if tenants > TENANTS_MOST {
        return Err(ApplyError::Tenants);
    }
    if bytes > CONFIGURATION_BYTES_MOST {
        return Err(ApplyError::Bytes);
    }
    Ok(())
}

fn route_resource(key: &RouteKey, value: &RouteValue) -> Resource {
    Resource::Route(Route { key: key.clone(), value: value.clone() })
}

fn tenant_resource(name: &str, value: &TenantValue) -> Resource {
    Resource::Tenant(Tenant { name: name.to_owned(), value: *value })
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ApplyError::Base { held, base } => write!(f, "goes onto version {base}, held is {held}"),
            ApplyError::Order => f.write_str("the version is not above its base in the same term"),
            ApplyError::Digest { found, stated } => write!(f, "digest {found}, stated {stated}"),
            ApplyError::Repeated(key) => write!(f, "{key} twice"),
            ApplyError::Unknown(key) => write!(f, "{key} is not there to remove"),
            ApplyError::Routes => write!(f, "more than {ROUTES_MOST} routes"),
            ApplyError::Tenants => write!(f, "more than {TENANTS_MOST} tenants"),
            ApplyError::Bytes => write!(f, "more than {CONFIGURATION_BYTES_MOST} bytes"),
            ApplyError::Resource(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ApplyError {}
