//! The configuration that is published, and its changes.

use crate::ScaleError;
use violetseam_distribution::{Change, Resource};
use violetseam_publisher::client::Client;

/// Resources at each subscriber: each has its own copy.
const RESOURCES: u64 = 300;
/// One resource in so many is a route, the others are tenants.
const ROUTE_INTERVAL: u64 = 4;
/// Routes that changes replace in turn.
const CHANGED_ROUTES: u64 = 100;
/// Requests a second of each tenant.
const TENANT_QUOTA: f64 = 12.5;

/// Publishes a complete configuration; the number of its version.
///
/// # Errors
/// [`ScaleError`] if the publisher does not accept it.
pub fn publish_complete(client: &Client) -> Result<u64, ScaleError> {
    let lines = to_lines((0..RESOURCES).map(resource))?;
    Ok(client.publish_whole(&lines)?.version.number)
}

/// Publishes a change of one route, chosen by the newest version; the number of its version.
///
/// # Errors
/// [`ScaleError`] if the publisher does not accept it.
pub fn publish_change(client: &Client, newest: u64) -> Result<u64, ScaleError> {
    let path = format!("/service-{:04}/changed", newest % CHANGED_ROUTES);
    let route = Resource::route(Some("GET"), &path, "write");
    let lines = to_lines([Change::Put(route)])?;
    Ok(client.publish_changes(&lines)?.version.number)
}

fn resource(number: u64) -> Resource {
    if number.is_multiple_of(ROUTE_INTERVAL) {
        Resource::route(Some("GET"), &format!("/service-{number}/resource"), "read")
    } else {
        Resource::tenant(&format!("tenant-{number:06}"), TENANT_QUOTA)
    }
}

fn to_lines<T: serde::Serialize>(values: impl IntoIterator<Item = T>) -> Result<Vec<u8>, ScaleError> {
    let mut lines = Vec::new();
    for value in values {
        serde_json::to_writer(&mut lines, &value).map_err(ScaleError::EncodeConfiguration)?;
        lines.push(b'\n');
    }
    Ok(lines)
}
