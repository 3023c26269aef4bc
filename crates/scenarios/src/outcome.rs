//! What came of a scenario, and the files that keep it.

use crate::error::ScenarioRunError;
use crate::report;
use std::fs::File;
use std::io::BufWriter;
use std::path::Path;
use violetseam_invariants::{CheckReport, EventRecord};
use violetseam_simulated_site::network::clients::ClientReport;
use violetseam_simulated_site::network::site::SiteReport;
use violetseam_simulated_site::scenario::Scenario;

/// What views from outside may be off by, in the proxy's favour, in microseconds: events of different
/// sockets are seen in any order within a turn of a loop, and all processes share the machine's cores.
const OBSERVATION_SLACK: u64 = 60_000;

/// What came of a scenario.
#[derive(Debug)]
pub struct ScenarioOutcome {
    /// Whether the rules were kept.
    pub check_report: CheckReport,
    /// What clients got.
    pub clients: ClientReport,
    /// What the site saw.
    pub site: SiteReport,
    /// What else went wrong: proxies that did not drain, requests left open.
    pub faults: Vec<String>,
    /// Processor seconds of the proxies that were there at the end.
    pub cpu_seconds: f64,
    /// How many records the check rests on.
    pub records: usize,
}

impl ScenarioOutcome {
    /// All rules were kept, nothing leaked, all proxies drained.
    pub fn is_good(&self) -> bool {
        self.check_report.all_hold() && self.faults.is_empty()
    }
}

/// What was observed while a scenario was played.
pub(crate) struct Observations {
    /// Records of the faults that were injected into processes.
    pub process_entries: Vec<EventRecord>,
    /// What the clients saw.
    pub clients: ClientReport,
    /// What the site saw.
    pub site: SiteReport,
    /// What went wrong with the processes.
    pub faults: Vec<String>,
    /// Processor seconds of the proxies.
    pub cpu_seconds: f64,
}

impl Observations {
    /// Checks the rules on the records, and writes the records and a summary into the folder.
    pub fn evaluate(mut self, scenario: &Scenario, out: &Path) -> Result<ScenarioOutcome, ScenarioRunError> {
        let entries = self.merge_entries();
        let rules = scenario.rules(OBSERVATION_SLACK);
        let file = File::create(out.join("records.vsau")).map_err(ScenarioRunError::io("records"))?;
        violetseam_invariants::record_file::write(&mut BufWriter::new(file), &rules, &entries)
            .map_err(ScenarioRunError::io("records"))?;
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

    /// All records in the order of their times.
    fn merge_entries(&mut self) -> Vec<EventRecord> {
        let mut entries = std::mem::take(&mut self.process_entries);
        entries.extend(self.site.entries.iter().cloned());
        entries.extend(self.clients.entries.iter().cloned());
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}

/// Writes a document as JSON; `document` names it in errors.
pub(crate) fn write_json(
    path: &Path,
    document: &'static str,
    value: &impl serde::Serialize,
) -> Result<(), ScenarioRunError> {
    let text =
        serde_json::to_vec_pretty(value).map_err(|source| ScenarioRunError::Encode { document, source })?;
    std::fs::write(path, text).map_err(ScenarioRunError::io(document))
}
