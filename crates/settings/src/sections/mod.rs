//! The sections of a script, with the types and defaults of their arguments. Fields have the names that
//! scripts use. The `check` module validates the sections together and translates the fields to the names
//! that the rest of the program uses.

mod connections;
mod fleet;
mod release;
mod requests;

pub(crate) use connections::{ConnectionsSection, HeadersSection};
pub(crate) use fleet::{
    ControlTlsSection, DiscoverySection, FleetSection, ListenSection, PeersSection, PublisherSection,
    ReleaseServiceSection,
};
pub(crate) use release::{ContractSection, GateName, LimitsSection, RolloutSection};
pub(crate) use requests::{
    BudgetsSection, DedupGroupName, IdempotencyName, RequestClassSection, RouteSection, TenantSection,
};

pub use connections::HalfClose;
pub use fleet::{Identity, Member};

use violetseam_starlark_config::ScriptDuration;

const fn one_second() -> ScriptDuration {
    ScriptDuration::from_secs(1)
}

const fn one() -> f64 {
    1.0
}
