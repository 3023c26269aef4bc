//! What the sections mean together: refuses contradictions, gives the settings that the program runs by.

mod budgets;
mod classes;
mod connections;
mod decisions;
mod fleet;
mod rollout;
mod routes;
mod tenants;

use crate::collect::Sections;
use crate::settings::ProxySettings;
use budgets::check_budgets;
use classes::check_classes;
use connections::{check_connections, check_headers};
use decisions::decisions;
pub(crate) use fleet::members;
use fleet::{check_control_tls, check_fleet, check_publisher};
use rollout::{check_contract, check_limits, check_rollout};
use routes::check_routes;
use std::path::PathBuf;
use tenants::check_tenants;
use violetseam_starlark_config::{ScriptError, needed, one};

pub(crate) fn check(script: &str, s: &Sections) -> Result<ProxySettings, ScriptError> {
    let fleet = needed(script, "fleet", &s.fleet)?;
    let roster = needed(script, "roster", &s.roster)?;
    let desk = needed(script, "desk", &s.desk)?;
    let rollout = needed(script, "rollout", &s.rollout)?;
    let contract = needed(script, "contract", &s.contract)?;
    let peers = one("peers", &s.peers)?;
    let limits = one("limits", &s.limits)?;
    let connections = one("connections", &s.connections)?;
    if s.listen.is_empty() {
        return Err(ScriptError::missing_section(script, "listen"));
    }
    check_fleet(fleet, peers)?;
    let class_names = check_classes(script, &s.classes)?;
    check_rollout(rollout, &s.classes)?;
    check_contract(contract, &s.classes)?;
    if let Some(limits) = limits {
        check_limits(limits)?;
    }
    let (routes, route_table) = check_routes(script, &s.routes, &class_names)?;
    let tenants = check_tenants(&s.tenants)?;
    let names = one("headers", &s.headers)?;
    Ok(ProxySettings {
        name: fleet.is.name.clone(),
        site: fleet.is.site,
        listen: s.listen.iter().map(|l| l.is.addr).collect(),
        roster: roster.is.addr,
        roster_timeout: roster.is.timeout.0,
        desks: std::iter::once(desk.is.addr).chain(desk.is.standby.iter().copied()).collect(),
        desk_silence: desk.is.silence.map(|span| span.0),
        desk_reconnect: desk.is.reconnect.0,
        publisher: check_publisher(fleet, one("publisher", &s.publisher)?)?,
        peer_listen: peers.map(|p| p.is.listen),
        peers: peers.map(|p| p.is.addrs.clone()).unwrap_or_default(),
        class_names,
        tenants,
        routes,
        route_table,
        headers: check_headers(names)?,
        connections: check_connections(connections)?,
        seed: fleet.is.seed,
        state_dir: fleet.is.state_dir.as_ref().map(PathBuf::from),
        control: fleet.is.control.as_ref().map(PathBuf::from),
        control_tls: check_control_tls(fleet, one("control_tls", &s.control_tls)?)?,
        budgets: check_budgets(fleet, &s.classes, one("budgets", &s.budgets)?)?,
        decisions: decisions(s, &fleet.is, &rollout.is, &contract.is, limits, peers.is_some()),
    })
}
