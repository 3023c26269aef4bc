//! Routes as a publisher distributes them: checked against the settings' classes, in force all at once.
//!
//! They have no order. Of several that match a request the one with the longest prefix counts, and of two
//! with the same prefix the one that names the method. Before the first configuration came, none of them is
//! in force and the routes of the settings count; from then on the distributed ones alone do.

use http::Method;
use std::collections::HashMap;
use violetseam_distribution::subscriber::Proposal;
use violetseam_distribution::{Change, Configuration, Resource, ResourceKey, RouteKey, RouteValue};
use violetseam_settings::{Rank, RouteTable, Target};

/// Why distributed resources cannot be put in force.
#[derive(Debug, thiserror::Error)]
pub enum RouteError {
    /// Tenants are part of what the decisions were started with: a distributed one could not take effect.
    #[error("tenants are taken from the settings alone: their quotas need a new process")]
    Tenant,
    /// The route's class is not in the settings.
    #[error("route {prefix}: no class {class:?} in this proxy's settings")]
    UnknownClass {
        /// The route's prefix.
        prefix: String,
        /// The class that it names.
        class: String,
    },
    /// The route's method cannot be one of HTTP.
    #[error("route {prefix}: malformed method")]
    MalformedMethod {
        /// The route's prefix.
        prefix: String,
        /// What is wrong with it.
        source: http::method::InvalidMethod,
    },
}

/// The distributed routes, and the classes that they may name.
#[derive(Debug)]
pub struct DistributedRoutes {
    classes: HashMap<String, usize>,
    table: Option<RouteTable>,
}

impl DistributedRoutes {
    /// None in force yet; `classes` are the names of the settings' classes, by index.
    pub fn new(classes: &[String]) -> DistributedRoutes {
        let classes = classes.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect();
        DistributedRoutes { classes, table: None }
    }

    /// The table in force; none before the first configuration.
    pub fn table(&self) -> Option<&RouteTable> {
        self.table.as_ref()
    }

    /// Checks whether a proposal can be put in force.
    ///
    /// # Errors
    ///
    /// If it has a tenant, or a route with a class that the settings do not have or with a malformed method.
    pub fn check(&self, proposal: Proposal<'_>) -> Result<(), RouteError> {
        match proposal {
            Proposal::Changes(changes) => changes.iter().try_for_each(|change| self.check_change(change)),
            Proposal::Replacement(configuration) => self.check_configuration(configuration),
        }
    }

    /// Puts a checked configuration in force in place of everything.
    pub fn replace(&mut self, configuration: &Configuration) {
        self.table = Some(RouteTable::default());
        for (key, value) in configuration.routes() {
            self.put(key, value);
        }
    }

    /// Puts checked changes in force.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Put(Resource::Route(route)) => self.put(&route.key, &route.value),
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
        method_of(key)
            .map_err(|source| RouteError::MalformedMethod { prefix: key.prefix.clone(), source })?;
        Ok(())
    }

    fn put(&mut self, key: &RouteKey, value: &RouteValue) {
        let Ok(method) = method_of(key) else { return };
        let Some(class) = self.classes.get(&value.class) else { return };
        let rank = Rank::by_prefix(method.as_ref(), &key.prefix);
        let table = self.table.get_or_insert_default();
        table.insert(method.as_ref(), &key.prefix, Target { rank, class: *class });
    }

    fn remove(&mut self, key: &RouteKey) {
        let Ok(method) = method_of(key) else { return };
        if let Some(table) = &mut self.table {
            table.remove(method.as_ref(), &key.prefix);
        }
    }
}

fn method_of(key: &RouteKey) -> Result<Option<Method>, http::method::InvalidMethod> {
    key.method.as_ref().map(|name| Method::from_bytes(name.as_bytes())).transpose()
}
