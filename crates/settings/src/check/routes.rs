//! Validation of the routes, which assign requests to classes.

use crate::route_table::{Rank, RouteTable, Target};
use crate::sections::RouteSection;
use crate::settings::Route;
use http::Method;
use std::collections::HashMap;
use violetseam_starlark_config::{Located, ScriptError};

/// Validates the routes. Returns them in the order of the script, and as a lookup table.
///
/// # Errors
///
/// - A route is malformed or names an unknown class.
/// - A route can never match because an earlier route matches all of its requests.
/// - A class has no route.
pub(super) fn check_routes(
    script: &str,
    sections: &[Located<RouteSection>],
    class_names: &[String],
) -> Result<(Vec<Route>, RouteTable), ScriptError> {
    let class_indices: HashMap<&str, usize> =
        class_names.iter().enumerate().map(|(index, name)| (name.as_str(), index)).collect();
    let mut routes = Vec::new();
    let mut table = RouteTable::default();
    let mut has_route = vec![false; class_names.len()];
    for (order, section) in sections.iter().enumerate() {
        let route = check_route(section, &class_indices)?;
        let method = route.method.as_ref();
        let prefix = route.prefix.as_str();
        if table.covering(method, prefix).is_some() {
            return section.reject(format!("route: {prefix:?} can never match, an earlier route covers it"));
        }
        let target = Target { rank: Rank(order as u64), class: route.class };
        table.insert(method, prefix, target);
        has_route[route.class] = true;
        routes.push(route);
    }
    match has_route.iter().position(|has_route| !has_route) {
        Some(class) => {
            Err(ScriptError::invalid(script, format!("no route leads to class {:?}", class_names[class])))
        }
        None => Ok((routes, table)),
    }
}

fn check_route(
    section: &Located<RouteSection>,
    class_indices: &HashMap<&str, usize>,
) -> Result<Route, ScriptError> {
    let RouteSection { method, prefix, to } = &section.value;
    let Some(class) = class_indices.get(to.as_str()).copied() else {
        return section.reject(format!("route: no class {to:?}"));
    };
    let Ok(method) = method.as_ref().map(|name| Method::from_bytes(name.as_bytes())).transpose() else {
        return section.reject("route: malformed method");
    };
    if !prefix.starts_with('/') {
        return section.reject("route: a prefix starts with /");
    }
    Ok(Route { method, prefix: prefix.clone(), class })
}
