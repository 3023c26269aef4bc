//! A configuration: the resources of one version and their digest.

use crate::digest::Digest;
use crate::message::{Change, Delta};
use crate::resource::{
    MAX_CONFIGURATION_BYTES, MAX_ROUTES, MAX_TENANTS, Resource, ResourceError, ResourceKey, Route, RouteKey,
    RouteValue, Tenant, TenantValue, max_route_bytes, max_tenant_bytes,
};
use crate::version::Version;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The resources of one version, their digest and their size. The time to apply a change grows with the size
/// of the change and with the logarithm of the number of resources.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    version: Version,
    /// The digest of the resources alone, without the version.
    resource_digest: Digest,
    bytes: usize,
    routes: BTreeMap<RouteKey, RouteValue>,
    tenants: BTreeMap<String, TenantValue>,
}

/// The reason why changes do not apply to a configuration. The configuration is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The delta is not based on the current version.
    #[error("goes onto version {base}, held is {current}")]
    BaseMismatch {
        /// The current version.
        current: Version,
        /// The version that the delta is based on.
        base: Version,
    },
    /// The delta's version is not greater than its base version, or belongs to a different term.
    #[error("the version is not above its base in the same term")]
    VersionOrder,
    /// The computed digest differs from the stated digest.
    #[error("digest {computed}, stated {stated}")]
    DigestMismatch {
        /// The digest computed from the resources.
        computed: Digest,
        /// The digest that the message or the stored data states.
        stated: Digest,
    },
    /// Two changes, or two resources, have the same key.
    #[error("{0} twice")]
    DuplicateKey(ResourceKey),
    /// A change removes a resource that does not exist.
    #[error("{0} is not there to remove")]
    UnknownKey(ResourceKey),
    /// There are more than [`MAX_ROUTES`] routes.
    #[error("more than {MAX_ROUTES} routes")]
    TooManyRoutes,
    /// There are more than [`MAX_TENANTS`] tenants.
    #[error("more than {MAX_TENANTS} tenants")]
    TooManyTenants,
    /// The resources have more than [`MAX_CONFIGURATION_BYTES`] bytes.
    #[error("more than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
    /// A resource or key is not well formed.
    #[error(transparent)]
    InvalidResource(#[from] ResourceError),
}

/// The totals that a configuration would have after changes that have not been applied yet.
struct ChangePreview {
    resource_digest: Digest,
    routes: usize,
    tenants: usize,
    bytes: usize,
}

impl Configuration {
    /// Creates a configuration without resources.
    pub fn empty(version: Version) -> Configuration {
        Configuration { version, ..Configuration::default() }
    }

    /// Creates a configuration from its resources.
    ///
    /// # Errors
    /// Returns an error if a resource is not well formed, if two resources have the same key, or if the
    /// limits of a configuration are exceeded.
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

    /// Creates a configuration from resources that were read from a disk or the network, and checks its
    /// digest against the stated one.
    ///
    /// # Errors
    /// Returns an error in the cases of [`Configuration::from_resources`], and if the digest differs.
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

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the digest of the version and the resources.
    pub fn digest(&self) -> Digest {
        Digest::of_version(self.version).with(self.resource_digest)
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.routes.len() + self.tenants.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of all resources, in bytes, as the sum of [`Resource::max_encoded_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the value of a route, or `None` if there is no such route.
    pub fn route(&self, key: &RouteKey) -> Option<&RouteValue> {
        self.routes.get(key)
    }

    /// Returns the value of a tenant, or `None` if there is no such tenant.
    pub fn tenant(&self, name: &str) -> Option<&TenantValue> {
        self.tenants.get(name)
    }

    /// Returns all routes, ordered by key.
    pub fn routes(&self) -> impl Iterator<Item = (&RouteKey, &RouteValue)> {
        self.routes.iter()
    }

    /// Returns all tenants, ordered by name.
    pub fn tenants(&self) -> impl Iterator<Item = (&str, &TenantValue)> {
        self.tenants.iter().map(|(name, value)| (name.as_str(), value))
    }

    /// Returns all resources: the routes ordered by key, then the tenants ordered by name.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        let routes = self.routes.iter().map(|(key, value)| route_resource(key, value));
        let tenants = self.tenants.iter().map(|(name, value)| tenant_resource(name, value));
        routes.chain(tenants)
    }

    /// Returns whether there is a resource with this key.
    pub fn contains(&self, key: &ResourceKey) -> bool {
        match key {
            ResourceKey::Route(key) => self.routes.contains_key(key),
            ResourceKey::Tenant(name) => self.tenants.contains_key(name),
        }
    }

    /// Checks changes without applying them. Returns the digest that the configuration would have after the
    /// changes, as the given version.
    ///
    /// # Errors
    /// Returns an error if a change is not well formed or does not apply.
    pub fn validate_changes(&self, version: Version, changes: &[Change]) -> Result<Digest, ApplyError> {
        self.preview(changes).map(|preview| Digest::of_version(version).with(preview.resource_digest))
    }

    /// Checks a delta without applying it.
    ///
    /// # Errors
    /// Returns an error if [`Configuration::apply`] would fail.
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

    /// Applies all changes of a delta, or none if there is an error.
    ///
    /// # Errors
    /// Returns an error if the delta is not based on the current version, a change does not apply, or the
    /// digest differs.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        self.validate_delta(delta)?;
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.version = delta.version;
        Ok(())
    }

    /// Returns the changes that lead from this configuration to `target`: the removals, then the additions
    /// and replacements, each ordered by key.
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

    /// Changes the version and keeps the resources.
    pub(crate) fn renumber(&mut self, version: Version) {
        self.version = version;
    }

    fn preview(&self, changes: &[Change]) -> Result<ChangePreview, ApplyError> {
        let mut seen_keys = BTreeSet::new();
        let mut preview = ChangePreview {
            resource_digest: self.resource_digest,
            routes: self.routes.len(),
            tenants: self.tenants.len(),
            bytes: self.bytes,
        };
        for change in changes {
            change.validate()?;
            let key = change.key();
            if !seen_keys.insert(key.clone()) {
                return Err(ApplyError::DuplicateKey(key));
            }
            let existing = self.resource(&key);
            if existing.is_none() && matches!(change, Change::Remove(_)) {
                return Err(ApplyError::UnknownKey(key));
            }
            if let Some(existing) = &existing {
                preview.remove(existing);
            }
            if let Change::Put(resource) = change {
                preview.add(resource);
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
        *self.count_mut(resource) += 1;
    }

    fn remove(&mut self, resource: &Resource) {
        self.resource_digest = self.resource_digest.without(Digest::of_resource(resource));
        self.bytes = self.bytes.saturating_sub(resource.max_encoded_bytes());
        *self.count_mut(resource) -= 1;
    }

    fn count_mut(&mut self, resource: &Resource) -> &mut usize {
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
