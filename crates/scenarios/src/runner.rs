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

/// How a scenario is played.
#[derive(Clone, Debug)]
pub struct ScenarioRunner {
    /// The program that has `serve`.
    pub program: PathBuf,
    /// Where logs, records and the scenario itself go.
    pub out: PathBuf,
    /// Further arguments of `serve`; `{position}` in them stands for the proxy's.
    pub extra_args: Vec<String>,
    /// Distinguishes runs of one process: their addresses differ.
    pub number: u8,
    /// Who decides on releases: a controller as a process of its own, or the simulated release service for
    /// scenarios in which the service itself fails.
    pub release_decider: ReleaseDecider,
}

impl ScenarioRunner {
    /// Plays a scenario; `on_progress` gets a line for all that happens, as it happens.
    ///
    /// # Errors [`ScenarioRunError`] if the scenario contradicts itself, or a process, thread or file of
    /// the run fails.
    pub fn play(
        &self,
        scenario: &Scenario,
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<ScenarioOutcome, ScenarioRunError> {
        scenario.validate()?;
        let addresses = AddressPlan::of_process(self.number);
        let command = self.write_files(scenario, addresses)?;
        let out = command.out.clone();
        let delayed = delay_by_startup(scenario);
        let timeline = fault_timeline(&delayed);
        let mut session = Session::start(command, delayed, addresses, self.release_decider)?;
        let played = session.play(&timeline, on_progress);
        let mut observations = session.finish()?;
        observations.process_entries = played?;
        observations.evaluate(scenario, &out)
    }

    /// Writes the scenario and the proxies' settings into the folder of the run.
    fn write_files(
        &self,
        scenario: &Scenario,
        addresses: AddressPlan,
    ) -> Result<ProxyCommand, ScenarioRunError> {
        std::fs::create_dir_all(&self.out).map_err(ScenarioRunError::io("output folder"))?;
        let out = self.out.canonicalize().map_err(ScenarioRunError::io("output folder"))?;
        let settings = out.join("proxies.star");
        std::fs::write(&settings, proxy_settings::script(scenario, addresses, &out))
            .map_err(ScenarioRunError::io("settings"))?;
        write_json(&out.join("day.json"), "day", scenario)?;
        Ok(ProxyCommand { program: self.program.clone(), settings, out, extra_args: self.extra_args.clone() })
    }
}

/// The scenario, with its faults and releases later by the time that the processes need to start.
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
