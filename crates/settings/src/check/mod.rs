//! What the sections mean together: rejects contradictions, gives the settings that the program runs by.

mod budgets;
mod classes;
mod connections;
mod decisions;
mod fleet;
mod members;
mod rollout;
mod routes;
mod tenants;

pub(crate) use members::check_fleet_file;

use crate::collect::Sections;
use crate::settings::ProxySettings;
use budgets::check_budgets;
use classes::check_classes;
use connections::{check_connections, check_headers};
use decisions::balancer_settings;
use fleet::{check_control_tls, check_fleet, check_publisher};
use rollout::{check_contract, check_limits, check_rollout};
use routes::check_routes;
use std::path::PathBuf;
use tenants::check_tenants;
use violetseam_starlark_config::{ScriptDuration, ScriptError, optional_section, required_section};

/// Checks the sections of a settings script; `script` is its name.
///
/// # Errors
///
/// The first section that is missing, there twice, out of bounds, or contradicts another.
pub(crate) fn check_settings(script: &str, sections: &Sections) -> Result<ProxySettings, ScriptError> {
    let fleet = required_section(script, "fleet", &sections.fleet)?;
    let discovery = required_section(script, "roster", &sections.discovery)?;
    let release_service = required_section(script, "desk", &sections.release_service)?;
    let rollout = required_section(script, "rollout", &sections.rollout)?;
    let contract = required_section(script, "contract", &sections.contract)?;
    let peers = optional_section("peers", &sections.peers)?;
    let limits = optional_section("limits", &sections.limits)?;
    let connections = optional_section("connections", &sections.connections)?;
    if sections.listen.is_empty() {
        return Err(ScriptError::missing_section(script, "listen"));
    }
    check_fleet(fleet, peers)?;
    let class_names = check_classes(script, &sections.classes)?;
    check_rollout(rollout, &sections.classes)?;
    check_contract(contract, &sections.classes)?;
    if let Some(limits) = limits {
        check_limits(limits)?;
    }
    let (routes, route_table) = check_routes(script, &sections.routes, &class_names)?;
    let tenants = check_tenants(&sections.tenants)?;
    let headers = optional_section("headers", &sections.headers)?;
    let standby_services = release_service.value.standby.iter().copied();
    Ok(ProxySettings {
        fleet_name: fleet.value.name.clone(),
        site: fleet.value.site,
        listen: sections.listen.iter().map(|listen| listen.value.addr).collect(),
        discovery: discovery.value.addr,
        discovery_timeout: discovery.value.timeout.as_micros(),
        release_services: std::iter::once(release_service.value.addr).chain(standby_services).collect(),
        release_idle_timeout: release_service.value.silence.map(ScriptDuration::as_micros),
        release_reconnect_delay: release_service.value.reconnect.as_micros(),
        publisher: check_publisher(fleet, optional_section("publisher", &sections.publisher)?)?,
        peer_listen: peers.map(|peers| peers.value.listen),
        peers: peers.map(|peers| peers.value.addrs.clone()).unwrap_or_default(),
        class_names,
        tenants,
        routes,
        route_table,
        headers: check_headers(headers)?,
        connections: check_connections(connections)?,
        seed: fleet.value.seed,
        state_dir: fleet.value.state_dir.as_ref().map(PathBuf::from),
        control_socket: fleet.value.control.as_ref().map(PathBuf::from),
        control_tls: check_control_tls(fleet, optional_section("control_tls", &sections.control_tls)?)?,
        retry_quotas: check_budgets(
            fleet,
            &sections.classes,
            optional_section("budgets", &sections.budgets)?,
        )?,
        decisions: balancer_settings(
            sections,
            &fleet.value,
            &rollout.value,
            &contract.value,
            limits,
            peers.is_some(),
        ),
    })
}
