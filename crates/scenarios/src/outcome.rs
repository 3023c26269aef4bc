//! The outcome of a scenario, and the files in which it is stored.

use crate::error::ScenarioRunError;
use crate::report;
use std::fs::File;
use std::io::BufWriter;
use std::path::Path;
use violetseam_invariants::{CheckReport, EventRecord};
use violetseam_simulated_site::network::clients::ClientReport;
use violetseam_simulated_site::network::site::SiteReport;
use violetseam_simulated_site::scenario::Scenario;

/// Tolerance of the observed times, in microseconds, granted in the proxy's favour. The recorded times are
/// inexact because the events of different sockets are seen in any order within one iteration of an event
/// loop, and because all processes share the cores of the machine.
const OBSERVATION_SLACK: u64 = 60_000;

/// The outcome of a scenario.
#[derive(Debug)]
pub struct ScenarioOutcome {
    /// The result of checking the invariants.
    pub check_report: CheckReport,
    /// The results that the clients received.
    pub clients: ClientReport,
    /// The requests and builds that the simulated site observed.
    pub site: SiteReport,
    /// Further failures: proxies that did not drain, and attempts left open.
    pub faults: Vec<String>,
    /// CPU time in seconds of the proxies that were running at the end.
    pub cpu_seconds: f64,
    /// The number of records that were checked.
    pub records: usize,
}

impl ScenarioOutcome {
    /// Returns whether all invariants held, no attempt was left open and all proxies drained.
    pub fn is_good(&self) -> bool {
        self.check_report.all_hold() && self.faults.is_empty()
    }
}

/// The observations made while a scenario was played.
pub(crate) struct Observations {
    /// Records of the faults that were injected into processes.
    pub process_entries: Vec<EventRecord>,
    /// The results that the clients received.
    pub clients: ClientReport,
    /// The requests and builds that the simulated site observed.
    pub site: SiteReport,
    /// Failures of the processes, one text each.
    pub faults: Vec<String>,
    /// CPU time of the proxies, in seconds.
    pub cpu_seconds: f64,
}

impl Observations {
    /// Checks the invariants on the records, and writes the records and a summary into the folder `out`.
    pub fn evaluate(mut self, scenario: &Scenario, out: &Path) -> Result<ScenarioOutcome, ScenarioRunError> {
        let entries = self.merge_entries();
        let rules = scenario.rules(OBSERVATION_SLACK);
        let file = File::create(out.join("records.vsau"))
            .map_err(ScenarioRunError::io("writing the records to records.vsau"))?;
        violetseam_invariants::record_file::write(&mut BufWriter::new(file), &rules, &entries)
            .map_err(ScenarioRunError::io("writing the records to records.vsau"))?;
        let outcome = ScenarioOutcome {
            check_report: violetseam_invariants::check(&rules, &entries),
            clients: self.clients,
            site: self.site,
            faults: self.faults,
            cpu_seconds: self.cpu_seconds,
            records: entries.len(),
        };
        write_json(&out.join("summary.json"), "summary", &report::summary(scenario, &outcome))?;
        Ok(outcome)
    }

    /// Returns the records of processes, site and clients, sorted by time.
    fn merge_entries(&mut self) -> Vec<EventRecord> {
        let mut entries = std::mem::take(&mut self.process_entries);
        entries.extend(self.site.entries.iter().cloned());
        entries.extend(self.clients.entries.iter().cloned());
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

/// Writes a value as a JSON file; `document` names it in error messages.
pub(crate) fn write_json(
    path: &Path,
    document: &'static str,
    value: &impl serde::Serialize,
) -> Result<(), ScenarioRunError> {
    let text =
        serde_json::to_vec_pretty(value).map_err(|source| ScenarioRunError::Encode { document, source })?;
    std::fs::write(path, text).map_err(ScenarioRunError::io(document))
}
