//! Checks the five rules from records of what servers, clients, the discovery service and the release service
//! observed on their sockets. The checker reads no logs or counters of a proxy and shares no code with the
//! proxy or the decision module: it implements the rules a second time, from their specification.
//!
//! [`check`] reads [`EventRecord`]s and returns a [`CheckReport`]; [`record_file`] is their format on disk.
//! Times are microseconds on the single clock of the simulated site. A proxy's actions are observed from
//! outside, slightly before or after the proxy acted. [`Rules::observation_slack`] bounds that difference,
//! and every check applies it in the proxy's favour.
//!
//! - `final_responses`, `duplicate_effects`, `draining`, `slow_start`, `exposure`: rules 1 to 5
//! - `fleet_limits`: limits on all proxies together
//! - `run`: the records, indexed by request, proxy and server

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

/// Checks the records of a run, which may be in any order.
pub fn check(rules: &Rules, records: &[EventRecord]) -> CheckReport {
    let mut records: Vec<&EventRecord> = records.iter().collect();
    // The sort is stable: records that one observer made at the same time keep their order.
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
