//! The routes that a publisher distributes. Each proposal is checked against the classes in this proxy's
//! settings and then takes effect as a whole.
//!
//! Distributed routes have no order. If several match a request, the one with the longest prefix applies; of
//! two with the same prefix, the one that names a method applies. Until the first configuration arrives, the
//! routes of the settings apply; from then on only the distributed routes do.

use http::Method;
use std::collections::HashMap;
use violetseam_distribution::subscriber::Proposal;
use violetseam_distribution::{Change, Configuration, Resource, ResourceKey, RouteKey, RouteValue};
use violetseam_settings::{Rank, RouteTable, Target};

/// Why a proposed change of the distributed resources is rejected.
#[derive(Debug, thiserror::Error)]
pub enum RouteError {
    /// The proposal has a tenant. The decision module reads its tenants only when it starts, so that a
    /// distributed tenant could not take effect.
    #[error("tenants are taken from the settings alone: their quotas need a new process")]
    Tenant,
    /// The route names a class that the settings do not have.
    #[error("route {prefix}: no class {class:?} in this proxy's settings")]
    UnknownClass {
        /// The route's prefix.
        prefix: String,
        /// The class that the route names.
        class: String,
    },
    /// The route's method is not a valid HTTP method.
    #[error("route {prefix}: malformed method")]
    MalformedMethod {
        /// The route's prefix.
        prefix: String,
        /// Why the method is not valid.
        source: http::method::InvalidMethod,
    },
}

/// The distributed routes in force, and the classes that a distributed route may name.
#[derive(Debug)]
pub struct DistributedRoutes {
    classes: HashMap<String, usize>,
    table: Option<RouteTable>,
}

impl DistributedRoutes {
    /// Creates it without any routes in force. `classes` are the class names of the settings, by class index.
    pub fn new(classes: &[String]) -> DistributedRoutes {
        let classes = classes.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect();
        DistributedRoutes { classes, table: None }
    }

    /// The routes in force; `None` before the first configuration.
    pub fn table(&self) -> Option<&RouteTable> {
        self.table.as_ref()
    }

    /// Checks whether a proposal can take effect.
    ///
    /// # Errors
    ///
    /// If the proposal has a tenant, or a route that names an unknown class or a malformed method.
    pub fn check(&self, proposal: Proposal<'_>) -> Result<(), RouteError> {
        match proposal {
            Proposal::Changes(changes) => changes.iter().try_for_each(|change| self.check_change(change)),
            Proposal::Replacement(configuration) => self.check_configuration(configuration),
        }
    }

    /// Replaces all distributed routes with those of a configuration that [`Self::check`] has accepted.
    pub fn replace(&mut self, configuration: &Configuration) {
        self.table = Some(RouteTable::default());
        for (key, value) in configuration.routes() {
            self.insert(key, value);
        }
    }

    /// Applies changes that [`Self::check`] has accepted.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Put(Resource::Route(route)) => self.insert(&route.key, &route.value),
                Change::Remove(ResourceKey::Route(key)) => self.remove(key),
                Change::Put(Resource::Tenant(_)) | Change::Remove(ResourceKey::Tenant(_)) => {}
            }
        }
    }

    fn check_configuration(&self, configuration: &Configuration) -> Result<(), RouteError> {
        if configuration.tenants().next().is_some() {
            return Err(RouteError::Tenant);
        }
        configuration.routes().try_for_each(|(key, value)| self.check_route(key, value))
    }

    fn check_change(&self, change: &Change) -> Result<(), RouteError> {
        match change {
            Change::Put(Resource::Route(route)) => self.check_route(&route.key, &route.value),
            Change::Put(Resource::Tenant(_)) => Err(RouteError::Tenant),
            Change::Remove(_) => Ok(()),
        }
    }

    fn check_route(&self, key: &RouteKey, value: &RouteValue) -> Result<(), RouteError> {
        if !self.classes.contains_key(&value.class) {
            return Err(RouteError::UnknownClass { prefix: key.prefix.clone(), class: value.class.clone() });
        }
        parse_method(key)
            .map_err(|source| RouteError::MalformedMethod { prefix: key.prefix.clone(), source })?;
        Ok(())
    }

    fn insert(&mut self, key: &RouteKey, value: &RouteValue) {
        let Ok(method) = parse_method(key) else { return };
        let Some(class) = self.classes.get(&value.class) else { return };
        let rank = Rank::by_prefix(method.as_ref(), &key.prefix);
        let table = self.table.get_or_insert_default();
        table.insert(method.as_ref(), &key.prefix, Target { rank, class: *class });
    }

    fn remove(&mut self, key: &RouteKey) {
        let Ok(method) = parse_method(key) else { return };
        if let Some(table) = &mut self.table {
            table.remove(method.as_ref(), &key.prefix);
        }
    }
}

fn parse_method(key: &RouteKey) -> Result<Option<Method>, http::method::InvalidMethod> {
    key.method.as_ref().map(|name| Method::from_bytes(name.as_bytes())).transpose()
}
