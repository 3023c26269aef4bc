//! The sections of settings and fleet files, as a script calls them.

use crate::check::{self, FleetFile, ProxySettings};
use crate::sections::*;
use std::path::Path;
pub use violetseam_script::Fault;
use violetseam_script::{Call, Placed, evaluate, evaluate_file};

violetseam_script::functions! { functions: fleet, listen, roster, desk, peers, request_class, route, tenant, headers, budgets, rollout, limits, contract, connections, member, identity, control_tls }

/// All sections of a script, as called.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub fleet: Vec<Placed<Fleet>>,
    pub listen: Vec<Placed<Listen>>,
    pub roster: Vec<Placed<Roster>>,
    pub desk: Vec<Placed<Desk>>,
    pub peers: Vec<Placed<Peers>>,
    pub classes: Vec<Placed<RequestClass>>,
    pub routes: Vec<Placed<RouteTo>>,
    pub tenants: Vec<Placed<Tenant>>,
    pub headers: Vec<Placed<HeaderNames>>,
    pub budgets: Vec<Placed<BudgetParts>>,
    pub rollout: Vec<Placed<Rollout>>,
    pub limits: Vec<Placed<Limits>>,
    pub contract: Vec<Placed<Contract>>,
    pub connections: Vec<Placed<ConnectionLimits>>,
    pub members: Vec<Placed<Member>>,
    pub identity: Vec<Placed<Identity>>,
    pub control_tls: Vec<Placed<ControlTls>>,
}

fn sort(calls: Vec<Call>) -> Result<Sections, Fault> {
    let mut s = Sections::default();
    for call in calls {
        match call.function {
            "fleet" => s.fleet.push(call.read()?),
            "listen" => s.listen.push(call.read()?),
            "roster" => s.roster.push(call.read()?),
            "desk" => s.desk.push(call.read()?),
            "peers" => s.peers.push(call.read()?),
            "request_class" => s.classes.push(call.read()?),
            "route" => s.routes.push(call.read()?),
            "tenant" => s.tenants.push(call.read()?),
            "headers" => s.headers.push(call.read()?),
            "budgets" => s.budgets.push(call.read()?),
            "rollout" => s.rollout.push(call.read()?),
            "limits" => s.limits.push(call.read()?),
            "contract" => s.contract.push(call.read()?),
            "connections" => s.connections.push(call.read()?),
            "member" => s.members.push(call.read()?),
            "identity" => s.identity.push(call.read()?),
            "control_tls" => s.control_tls.push(call.read()?),
            other => return Err(Fault(format!("{}: {other}: no such section", call.at))),
        }
    }
    Ok(s)
}

/// Reads and checks a settings file. `options` are what `option(...)` gives.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<ProxySettings, Fault> {
    let calls = evaluate_file(path, options, functions)?;
    check::check(&path.display().to_string(), &sort(calls)?)
}

/// Reads and checks a fleet file: the daemons that it lists and what it speaks to them with.
pub fn read_fleet(path: &Path, options: &[(String, String)]) -> Result<FleetFile, Fault> {
    let calls = evaluate_file(path, options, functions)?;
    check::members(&path.display().to_string(), &sort(calls)?)
}

/// Reads and checks settings from a text, which can load no files.
pub fn read_text(name: &str, text: &str, options: &[(String, String)]) -> Result<ProxySettings, Fault> {
    let calls = evaluate(name, text.to_owned(), None, options, functions)?;
    check::check(name, &sort(calls)?)
}
