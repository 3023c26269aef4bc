//! Checks the five rules from records of what servers, clients, the discovery service and the release service
//! saw cross their sockets. It reads no log or counter of a proxy and shares no code with the proxy or the
//! decisions: what it knows of the rules is written down here once more, from their wording.
//!
//! [`check`] reads [`EventRecord`]s and gives a [`CheckReport`]; [`record_file`] is their format on disk.
//! Times are microseconds on one clock of the simulated site. All events of a proxy are seen from outside, a
//! little before or after it acted; [`Rules::observation_slack`] is what that may come to, and is always
//! given in the proxy's favour.
//!
//! - `final_responses`, `duplicate_effects`, `draining`, `slow_start`, `exposure`: rules 1 to 5
//! - `fleet_limits`: limits on all proxies together
//! - `run`: the records indexed by what they are about

mod draining;
mod duplicate_effects;
mod exposure;
mod final_responses;
mod fleet_limits;
mod record;
pub mod record_file;
mod report;
mod rules;
mod run;
mod slow_start;

pub use record::{
    AttemptArrival, AttemptEnd, AttemptOutcome, EndpointListCall, EventRecord, FinalResponse, ObservedEvent,
    Phase, ServerStart, ServerStatus,
};
pub use report::{CheckReport, FleetLimit, Violation};
pub use rules::{DedupGroup, Idempotency, RequestClass, Rule, Rules};

/// Checks a run's records, in any order.
pub fn check(rules: &Rules, records: &[EventRecord]) -> CheckReport {
    let mut records: Vec<&EventRecord> = records.iter().collect();
    // Stable: what one observer saw at one moment stays in its order.
    records.sort_by_key(|record| record.at);
    let run = run::Run::from_records(&records);
    let mut report = CheckReport::default();
    final_responses::check(rules, &run, &mut report);
    duplicate_effects::check(rules, &run, &mut report);
    draining::check(rules, &run, &mut report);
    slow_start::check(rules, &run, &mut report);
    exposure::check(rules, &run, &mut report);
    fleet_limits::check(rules, &run, &mut report);
    report.violations.sort_by_key(|violation| violation.at);
    report
}
