//! A configuration: the resources of one version, with their digest.

use crate::digest::Digest;
use crate::message::{Change, Delta};
use crate::resource::{
    MAX_CONFIGURATION_BYTES, MAX_ROUTES, MAX_TENANTS, Resource, ResourceError, ResourceKey, Route, RouteKey,
    RouteValue, Tenant, TenantValue, max_route_bytes, max_tenant_bytes,
};
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The resources of one version, their digest and their size. A change takes time by its own size and the
/// logarithm of the number of resources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    version: Version,
    /// The digest of the resources, without the version.
    resource_digest: Digest,
    bytes: usize,
    routes: BTreeMap<RouteKey, RouteValue>,
    tenants: BTreeMap<String, TenantValue>,
}

/// Why changes do not apply to a configuration, which is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The delta is based on another version than the current one.
    #[error("goes onto version {base}, held is {current}")]
    BaseMismatch {
        /// The current version.
        current: Version,
        /// The version that the delta is based on.
        base: Version,
    },
    /// The delta's version is not above its base, or is of another term.
    #[error("the version is not above its base in the same term")]
    VersionOrder,
    /// The digest after the changes differs from the stated one.
    #[error("digest {computed}, stated {stated}")]
    DigestMismatch {
        /// The digest of the configuration after the changes.
        computed: Digest,
        /// The digest that was stated.
        stated: Digest,
    },
    /// Two changes, or two resources, have the same key.
    #[error("{0} twice")]
    DuplicateKey(ResourceKey),
    /// The removal of a resource that does not exist.
    #[error("{0} is not there to remove")]
    UnknownKey(ResourceKey),
    /// More routes than [`MAX_ROUTES`].
    #[error("more than {MAX_ROUTES} routes")]
    TooManyRoutes,
    /// More tenants than [`MAX_TENANTS`].
    #[error("more than {MAX_TENANTS} tenants")]
    TooManyTenants,
    /// More bytes than [`MAX_CONFIGURATION_BYTES`].
    #[error("more than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
    /// A resource or key that is not well formed.
    #[error(transparent)]
    InvalidResource(#[from] ResourceError),
}

/// The totals of a configuration after changes that are not applied yet.
struct ChangePreview {
    resource_digest: Digest,
    routes: usize,
    tenants: usize,
    bytes: usize,
}

impl Configuration {
    /// The empty configuration of a version.
    pub fn empty(version: Version) -> Configuration {
        Configuration { version, ..Configuration::default() }
    }

    /// A configuration of these resources.
    ///
    /// # Errors
    /// A resource is not well formed, two share a key, or there are more than a configuration may have.
    pub fn from_resources(
        version: Version,
        resources: impl IntoIterator<Item = Resource>,
    ) -> Result<Configuration, ApplyError> {
        let mut configuration = Configuration::empty(version);
        for resource in resources {
            resource.validate()?;
            let key = resource.key();
            if configuration.contains(&key) {
                return Err(ApplyError::DuplicateKey(key));
            }
            configuration.put(resource);
            configuration.check_bounds()?;
        }
        Ok(configuration)
    }

    /// As [`Configuration::from_resources`], for resources from a disk or the network, whose digest must be
    /// the stated one.
    ///
    /// # Errors
    /// As for [`Configuration::from_resources`], or the digest differs.
    pub fn from_resources_with_digest(
        version: Version,
        resources: impl IntoIterator<Item = Resource>,
        stated: Digest,
    ) -> Result<Configuration, ApplyError> {
        let configuration = Configuration::from_resources(version, resources)?;
        let computed = configuration.digest();
        if computed != stated {
            return Err(ApplyError::DigestMismatch { computed, stated });
        }
        Ok(configuration)
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of its version and its resources.
    pub fn digest(&self) -> Digest {
        Digest::of_version(self.version).with(self.resource_digest)
    }

    /// The number of resources.
    pub fn len(&self) -> usize {
        self.routes.len() + self.tenants.len()
    }

    /// Whether there is no resource.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The size of all resources, in bytes ([`Resource::max_encoded_bytes`]).
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

    /// Checks changes without applying them. Returns the digest that the configuration would have after them
    /// as `version`.
    ///
    /// # Errors
    /// A change is not well formed or does not apply.
    pub fn validate_changes(&self, version: Version, changes: &[Change]) -> Result<Digest, ApplyError> {
        self.preview(changes).map(|preview| Digest::of_version(version).with(preview.resource_digest))
    }

    /// Checks a delta without applying it.
    ///
    /// # Errors
    /// [`Configuration::apply`] would fail.
    pub fn validate_delta(&self, delta: &Delta) -> Result<(), ApplyError> {
        if delta.base != self.version {
            return Err(ApplyError::BaseMismatch { current: self.version, base: delta.base });
        }
        if delta.version <= delta.base || delta.version.term != delta.base.term {
            return Err(ApplyError::VersionOrder);
        }
        let computed = self.validate_changes(delta.version, &delta.changes)?;
        if computed != delta.digest {
            return Err(ApplyError::DigestMismatch { computed, stated: delta.digest });
        }
        Ok(())
    }

    /// Applies all changes of a delta, or none.
    ///
    /// # Errors
    /// The delta is based on another version, a change does not apply, or the digest differs.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        self.validate_delta(delta)?;
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.version = delta.version;
        Ok(())
    }

    /// The changes that lead from this configuration to `target`, in the order of their keys.
    pub fn diff(&self, target: &Configuration) -> Vec<Change> {
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

    fn preview(&self, changes: &[Change]) -> Result<ChangePreview, ApplyError> {
        let mut seen = BTreeSet::new();
        let mut preview = ChangePreview {
            resource_digest: self.resource_digest,
            routes: self.routes.len(),
            tenants: self.tenants.len(),
            bytes: self.bytes,
        };
        for change in changes {
            change.validate()?;
            let key = change.key();
            if !seen.insert(key.clone()) {
                return Err(ApplyError::DuplicateKey(key));
            }
            let before = self.resource(&key);
            if before.is_none() && matches!(change, Change::Remove(_)) {
                return Err(ApplyError::UnknownKey(key));
            }
            if let Some(before) = &before {
                preview.remove(before);
            }
            if let Change::Put(after) = change {
                preview.add(after);
            }
        }
        check_bounds(preview.routes, preview.tenants, preview.bytes)?;
        Ok(preview)
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

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(resource) => self.put(resource.clone()),
            Change::Remove(key) => self.remove(key),
        }
    }

    fn put(&mut self, resource: Resource) {
        self.remove(&resource.key());
        self.bytes += resource.max_encoded_bytes();
        self.resource_digest = self.resource_digest.with(Digest::of_resource(&resource));
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
                self.bytes -= max_route_bytes(key, &value);
                self.resource_digest = self.resource_digest.without(Digest::of_route(key, &value));
            }
            ResourceKey::Tenant(name) => {
                let Some(value) = self.tenants.remove(name) else { return };
                self.bytes -= max_tenant_bytes(name);
                self.resource_digest = self.resource_digest.without(Digest::of_tenant(name, &value));
            }
        }
    }
}

impl ChangePreview {
    fn add(&mut self, resource: &Resource) {
        self.resource_digest = self.resource_digest.with(Digest::of_resource(resource));
        self.bytes += resource.max_encoded_bytes();
        *self.count(resource) += 1;
    }

    fn remove(&mut self, resource: &Resource) {
        self.resource_digest = self.resource_digest.without(Digest::of_resource(resource));
        self.bytes = self.bytes.saturating_sub(resource.max_encoded_bytes());
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
    if routes > MAX_ROUTES {
        return Err(ApplyError::TooManyRoutes);
    }
    if tenants > MAX_TENANTS {
        return Err(ApplyError::TooManyTenants);
    }
    if bytes > MAX_CONFIGURATION_BYTES {
        return Err(ApplyError::TooLarge);
    }
    Ok(())
}

fn route_resource(key: &RouteKey, value: &RouteValue) -> Resource {
    Resource::Route(Route { key: key.clone(), value: value.clone() })
}

fn tenant_resource(name: &str, value: &TenantValue) -> Resource {
    Resource::Tenant(Tenant { name: name.to_owned(), value: *value })
}
