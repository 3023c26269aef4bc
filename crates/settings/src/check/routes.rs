//! Routes: which requests are of which class.

use crate::route_table::{Rank, RouteTable, Target};
use crate::sections::RouteTo;
use crate::settings::Route;
use http::Method;
use std::collections::HashMap;
use violetseam_starlark_config::{Placed, ScriptError};

/// The routes in the order of the script, and their table. A route that an earlier one covers is refused:
/// it could never match.
pub(super) fn check_routes(
    script: &str,
    routes: &[Placed<RouteTo>],
    classes: &[String],
) -> Result<(Vec<Route>, RouteTable), ScriptError> {
    let indices: HashMap<&str, usize> =
        classes.iter().enumerate().map(|(i, name)| (name.as_str(), i)).collect();
    let (mut list, mut table) = (Vec::new(), RouteTable::default());
    let mut has_route = vec![false; classes.len()];
    for (order, placed) in routes.iter().enumerate() {
        let route = check_route(placed, &indices)?;
        let (method, prefix) = (route.method.as_ref(), route.prefix.as_str());
        if table.covering(method, prefix).is_some() {
            return placed.fault(format!("route: {prefix:?} can never match, an earlier route covers it"));
        }
        let target = Target { rank: Rank(order as u64), class: route.class };
        table.insert(method, prefix, target);
        has_route[route.class] = true;
        list.push(route);
    }
    match has_route.iter().position(|has| !has) {
        Some(class) => {
            Err(ScriptError::invalid(script, format!("no route leads to class {:?}", classes[class])))
        }
        None => Ok((list, table)),
    }
}

fn check_route(placed: &Placed<RouteTo>, classes: &HashMap<&str, usize>) -> Result<Route, ScriptError> {
    let RouteTo { method, prefix, to } = &placed.is;
    let Some(class) = classes.get(to.as_str()).copied() else {
        return placed.fault(format!("route: no class {to:?}"));
    };
    let Ok(method) = method.as_ref().map(|name| Method::from_bytes(name.as_bytes())).transpose() else {
        return placed.fault("route: malformed method");
    };
    if !prefix.starts_with('/') {
        return placed.fault("route: a prefix starts with /");
    }
    Ok(Route { method, prefix: prefix.clone(), class })
}
