//! The calls of a script, gathered by section.

use crate::sections::*;
use violetseam_starlark_config::{Call, Placed, ScriptError};

/// All sections of a script, as called.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub fleet: Vec<Placed<Fleet>>,
    pub listen: Vec<Placed<Listen>>,
    pub roster: Vec<Placed<Roster>>,
    pub desk: Vec<Placed<Desk>>,
    pub publisher: Vec<Placed<Publisher>>,
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

/// Reads each call as the section that it names.
pub(crate) fn collect(calls: Vec<Call>) -> Result<Sections, ScriptError> {
    let mut s = Sections::default();
    for call in calls {
        match call.function {
            "fleet" => s.fleet.push(call.read()?),
            "listen" => s.listen.push(call.read()?),
            "roster" => s.roster.push(call.read()?),
            "desk" => s.desk.push(call.read()?),
            "publisher" => s.publisher.push(call.read()?),
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
            other => return Err(ScriptError::invalid(call.at, format!("{other}: no such section"))),
        }
    }
    Ok(s)
}
