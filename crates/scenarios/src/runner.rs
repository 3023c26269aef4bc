//! One run of a scenario, from its files to its outcome.

use crate::error::ScenarioRunError;
use crate::fault_timeline::fault_timeline;
use crate::outcome::{ScenarioOutcome, write_json};
use crate::proxies::ProxyCommand;
use crate::proxy_settings;
use crate::session::{STARTUP_SPAN, Session};
use std::path::PathBuf;
use violetseam_simulated_site::network::AddressPlan;
use violetseam_simulated_site::network::site::ReleaseDecider;
use violetseam_simulated_site::scenario::Scenario;

/// The settings with which a scenario is played.
#[derive(Clone, Debug)]
pub struct ScenarioRunner {
    /// Path of the program whose `serve` command runs a proxy.
    pub program: PathBuf,
    /// Folder for the logs, the records and a copy of the scenario.
    pub out: PathBuf,
    /// Additional arguments of `serve`; `{position}` in them is replaced by the proxy's position.
    pub extra_args: Vec<String>,
    /// Distinguishes the runs of one process: runs with different numbers use different addresses.
    pub number: u8,
    /// What decides on releases: a controller that runs as a process of its own, or the simulated release
    /// service, for scenarios in which the release service itself fails.
    pub release_decider: ReleaseDecider,
}

impl ScenarioRunner {
    /// Plays a scenario; `on_progress` is called with a line for each event as it happens.
    ///
    /// # Errors
    /// Returns [`ScenarioRunError`] if the scenario is invalid, or a process, thread or file of the run
    /// fails.
    pub fn play(
        &self,
        scenario: &Scenario,
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<ScenarioOutcome, ScenarioRunError> {
        scenario.validate()?;
        let addresses = AddressPlan::of_process(self.number);
        let command = self.write_files(scenario, addresses)?;
        let out = command.out.clone();
        let delayed_scenario = delay_by_startup(scenario);
        let timeline = fault_timeline(&delayed_scenario);
        let mut session = Session::start(command, delayed_scenario, addresses, self.release_decider)?;
        let play_result = session.play(&timeline, on_progress);
        let mut observations = session.finish()?;
        observations.process_entries = play_result?;
        observations.evaluate(scenario, &out)
    }

    /// Writes the scenario and the proxies' settings into the output folder.
    fn write_files(
        &self,
        scenario: &Scenario,
        addresses: AddressPlan,
    ) -> Result<ProxyCommand, ScenarioRunError> {
        std::fs::create_dir_all(&self.out).map_err(ScenarioRunError::io("creating the output folder"))?;
        let out = self
            .out
            .canonicalize()
            .map_err(ScenarioRunError::io("resolving the path of the output folder"))?;
        let settings = out.join("proxies.star");
        std::fs::write(&settings, proxy_settings::script(scenario, addresses, &out))
            .map_err(ScenarioRunError::io("writing the proxy settings to proxies.star"))?;
        write_json(&out.join("day.json"), "day", scenario)?;
        Ok(ProxyCommand { program: self.program.clone(), settings, out, extra_args: self.extra_args.clone() })
    }
}

/// Returns the scenario with all faults and releases delayed by the time that the processes need to start.
fn delay_by_startup(scenario: &Scenario) -> Scenario {
    let mut delayed = scenario.clone();
    for fault in &mut delayed.faults {
        fault.at += STARTUP_SPAN;
    }
    for release in &mut delayed.releases {
        release.at += STARTUP_SPAN;
    }
    delayed
}
