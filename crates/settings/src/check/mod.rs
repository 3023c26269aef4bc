//! Validates the sections of a script together, and converts them to the settings that the program uses.

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
use crate::route_table::RouteTable;
use crate::sections::{
    ConnectionsSection, ContractSection, DiscoverySection, FleetSection, LimitsSection, PeersSection,
    ReleaseServiceSection, RolloutSection,
};
use crate::settings::{ProxySettings, Route};
use budgets::check_budgets;
use classes::check_classes;
use connections::{check_connections, check_headers};
use decisions::balancer_settings;
use fleet::{check_control_tls, check_fleet, check_publisher};
use rollout::{check_contract, check_limits, check_rollout};
use routes::check_routes;
use std::path::PathBuf;
use tenants::check_tenants;
use violetseam_starlark_config::{Located, ScriptDuration, ScriptError, optional_section, required_section};

/// Validates the sections of a settings script and converts them to settings. `script` is the script's name
/// for errors.
///
/// # Errors
///
/// The first section that is missing, duplicate, out of bounds, or in contradiction to another section.
pub(crate) fn check_settings(script: &str, sections: &Sections) -> Result<ProxySettings, ScriptError> {
    let single = SingleSections::find(script, sections)?;
    if sections.listen.is_empty() {
        return Err(ScriptError::missing_section(script, "listen"));
    }
    check_fleet(single.fleet, single.peers)?;
    let class_names = check_classes(script, &sections.classes)?;
    check_rollout(single.rollout, &sections.classes)?;
    check_contract(single.contract, &sections.classes)?;
    if let Some(limits) = single.limits {
        check_limits(limits)?;
    }
    let (routes, route_table) = check_routes(script, &sections.routes, &class_names)?;
    let routing = Routing { class_names, routes, route_table };
    proxy_settings(sections, &single, routing)
}

/// The sections that a script may call only once and that several checks use.
struct SingleSections<'a> {
    fleet: &'a Located<FleetSection>,
    discovery: &'a Located<DiscoverySection>,
    release_service: &'a Located<ReleaseServiceSection>,
    rollout: &'a Located<RolloutSection>,
    contract: &'a Located<ContractSection>,
    peers: Option<&'a Located<PeersSection>>,
    limits: Option<&'a Located<LimitsSection>>,
    connections: Option<&'a Located<ConnectionsSection>>,
}

impl<'a> SingleSections<'a> {
    fn find(script: &str, sections: &'a Sections) -> Result<Self, ScriptError> {
        Ok(SingleSections {
            fleet: required_section(script, "fleet", &sections.fleet)?,
            discovery: required_section(script, "roster", &sections.discovery)?,
            release_service: required_section(script, "desk", &sections.release_service)?,
            rollout: required_section(script, "rollout", &sections.rollout)?,
            contract: required_section(script, "contract", &sections.contract)?,
            peers: optional_section("peers", &sections.peers)?,
            limits: optional_section("limits", &sections.limits)?,
            connections: optional_section("connections", &sections.connections)?,
        })
    }
}

/// The checked classes and routes.
struct Routing {
    class_names: Vec<String>,
    routes: Vec<Route>,
    route_table: RouteTable,
}

/// Assembles the settings. The fleet, classes, rollout, contract, limits and routes must have been validated;
/// this function validates the remaining sections.
fn proxy_settings(
    sections: &Sections,
    single: &SingleSections<'_>,
    routing: Routing,
) -> Result<ProxySettings, ScriptError> {
    let tenants = check_tenants(&sections.tenants)?;
    let headers = optional_section("headers", &sections.headers)?;
    let fleet = single.fleet;
    let release_service = &single.release_service.value;
    Ok(ProxySettings {
        fleet_name: fleet.value.name.clone(),
        site: fleet.value.site,
        listen: sections.listen.iter().map(|listen| listen.value.addr).collect(),
        discovery: single.discovery.value.addr,
        discovery_timeout: single.discovery.value.timeout.as_micros(),
        release_services: release_service.addresses(),
        release_idle_timeout: release_service.silence.map(ScriptDuration::as_micros),
        release_reconnect_delay: release_service.reconnect.as_micros(),
        publisher: check_publisher(fleet, optional_section("publisher", &sections.publisher)?)?,
        peer_listen: single.peers.map(|peers| peers.value.listen),
        peers: single.peers.map(|peers| peers.value.addrs.clone()).unwrap_or_default(),
        class_names: routing.class_names,
        tenants,
        routes: routing.routes,
        route_table: routing.route_table,
        headers: check_headers(headers)?,
        connections: check_connections(single.connections)?,
        seed: fleet.value.seed,
        state_dir: fleet.value.state_dir.as_ref().map(PathBuf::from),
        control_socket: fleet.value.control.as_ref().map(PathBuf::from),
        control_tls: check_control_tls(fleet, optional_section("control_tls", &sections.control_tls)?)?,
        retry_quotas: check_budgets(
            fleet,
            &sections.classes,
            optional_section("budgets", &sections.budgets)?,
        )?,
        decisions: balancer_settings(sections, single),
    })
}

/// Returns the section's value, or the defaults if the script has no such section.
fn value_or_default<T: Clone + Default>(section: Option<&Located<T>>) -> T {
    section.map(|section| section.value.clone()).unwrap_or_default()
}
