//! Routes: which requests are of which class.

use crate::sections::RouteTo;
use crate::settings::Route;
use http::Method;
use violetseam_script::{Fault, Placed};

pub(super) fn check_routes(
    script: &str,
    routes: &[Placed<RouteTo>],
    classes: &[String],
) -> Result<Vec<Route>, Fault> {
    let mut out: Vec<Route> = Vec::new();
    for route in routes {
        let Some(class) = classes.iter().position(|name| *name == route.is.to) else {
            return route.fault(format!("route: no class {:?}", route.is.to));
        };
        let method = match route.is.method.as_ref().map(|m| Method::from_bytes(m.as_bytes())).transpose() {
            Ok(method) => method,
            Err(_) => return route.fault("route: malformed method"),
        };
        let prefix = route.is.prefix.clone();
        if !prefix.starts_with('/') {
            return route.fault("route: a prefix starts with /");
        }
        let covers = |r: &Route| prefix.starts_with(&r.prefix) && (r.method.is_none() || r.method == method);
        if out.iter().any(covers) {
            return route.fault(format!("route: {prefix:?} can never match, an earlier route covers it"));
        }
        out.push(Route { method, prefix, class });
    }
    for (index, name) in classes.iter().enumerate() {
        if !out.iter().any(|r| r.class == index) {
            return Err(Fault(format!("{script}: no route leads to class {name:?}")));
        }
    }
    Ok(out)
}
