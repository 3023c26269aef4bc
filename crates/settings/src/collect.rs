//! Groups the calls of a script by section.

use crate::sections::{
    BudgetsSection, ConnectionsSection, ContractSection, ControlTlsSection, DiscoverySection, FleetSection,
    HeadersSection, Identity, LimitsSection, ListenSection, Member, PeersSection, PublisherSection,
    ReleaseServiceSection, RequestClassSection, RolloutSection, RouteSection, TenantSection,
};
use violetseam_starlark_config::{Call, Located, ScriptError};

/// All section calls of a script, in the order of the script. How often each section may be called is checked
/// later.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub fleet: Vec<Located<FleetSection>>,
    pub listen: Vec<Located<ListenSection>>,
    pub discovery: Vec<Located<DiscoverySection>>,
    pub release_service: Vec<Located<ReleaseServiceSection>>,
    pub publisher: Vec<Located<PublisherSection>>,
    pub peers: Vec<Located<PeersSection>>,
    pub classes: Vec<Located<RequestClassSection>>,
    pub routes: Vec<Located<RouteSection>>,
    pub tenants: Vec<Located<TenantSection>>,
    pub headers: Vec<Located<HeadersSection>>,
    pub budgets: Vec<Located<BudgetsSection>>,
    pub rollout: Vec<Located<RolloutSection>>,
    pub limits: Vec<Located<LimitsSection>>,
    pub contract: Vec<Located<ContractSection>>,
    pub connections: Vec<Located<ConnectionsSection>>,
    pub members: Vec<Located<Member>>,
    pub identity: Vec<Located<Identity>>,
    pub control_tls: Vec<Located<ControlTlsSection>>,
}

/// Deserializes each call into the section that it names.
///
/// # Errors
///
/// The first call whose arguments do not match its section, with the location of the call.
pub(crate) fn collect(calls: Vec<Call>) -> Result<Sections, ScriptError> {
    let mut sections = Sections::default();
    for call in calls {
        match call.function {
            "fleet" => sections.fleet.push(call.read()?),
            "listen" => sections.listen.push(call.read()?),
            "roster" => sections.discovery.push(call.read()?),
            "desk" => sections.release_service.push(call.read()?),
            "publisher" => sections.publisher.push(call.read()?),
            "peers" => sections.peers.push(call.read()?),
            "request_class" => sections.classes.push(call.read()?),
            "route" => sections.routes.push(call.read()?),
            "tenant" => sections.tenants.push(call.read()?),
            "headers" => sections.headers.push(call.read()?),
            "budgets" => sections.budgets.push(call.read()?),
            "rollout" => sections.rollout.push(call.read()?),
            "limits" => sections.limits.push(call.read()?),
            "contract" => sections.contract.push(call.read()?),
            "connections" => sections.connections.push(call.read()?),
            "member" => sections.members.push(call.read()?),
            "identity" => sections.identity.push(call.read()?),
            "control_tls" => sections.control_tls.push(call.read()?),
            other => return Err(ScriptError::invalid(call.location, format!("{other}: no such section"))),
        }
    }
    Ok(sections)
}
