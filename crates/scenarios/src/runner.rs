//! One run of a scenario, from its files to its outcome.

use crate::error::ScenarioError;
use crate::fault_timeline::fault_timeline;
use crate::outcome::{ScenarioOutcome, write_json};
use crate::proxies::ProxyCommand;
use crate::proxy_settings;
use crate::session::{STARTUP_SPAN, Session};
use std::path::PathBuf;
use violetseam_simulated_site::day::Day;
use violetseam_simulated_site::drive::Net;

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
    /// Who decides on releases.
    pub release_decider: ReleaseDecider,
}

/// Who decides on a scenario's releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseDecider {
    /// A release controller, as a process of its own.
    Controller,
    /// The simulated release service: for scenarios in which the service itself fails.
    Simulated,
}

impl ScenarioRunner {
    /// Plays a scenario; `on_progress` gets a line for all that happens, as it happens.
    ///
    /// # Errors
    /// [`ScenarioError`] if the scenario contradicts itself, or a process, thread or file of the run fails.
    pub fn play(
        &self,
        day: &Day,
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<ScenarioOutcome, ScenarioError> {
        day.check().map_err(|reason| ScenarioError::InvalidScenario { reason })?;
        let net = Net::of_process(self.number);
        let command = self.write_files(day, net)?;
        let out = command.out.clone();
        let shifted = delay_by_startup(day);
        let timeline = fault_timeline(&shifted);
        let mut session = Session::start(command, shifted, net, self.release_decider)?;
        let played = session.play(&timeline, on_progress);
        let mut observations = session.finish()?;
        observations.process_entries = played?;
        observations.evaluate(day, &out)
    }

    /// Writes the scenario and the proxies' settings into the folder of the run.
    fn write_files(&self, day: &Day, net: Net) -> Result<ProxyCommand, ScenarioError> {
        std::fs::create_dir_all(&self.out).map_err(ScenarioError::io("output folder"))?;
        let out = self.out.canonicalize().map_err(ScenarioError::io("output folder"))?;
        let settings = out.join("proxies.star");
        std::fs::write(&settings, proxy_settings::script(day, net, &out))
            .map_err(ScenarioError::io("settings"))?;
        write_json(&out.join("day.json"), "day", day)?;
        Ok(ProxyCommand { program: self.program.clone(), settings, out, extra_args: self.extra_args.clone() })
    }
}

/// The scenario, with its faults and releases later by the time that the processes need to start.
fn delay_by_startup(day: &Day) -> Day {
    let mut day = day.clone();
    for trouble in &mut day.troubles {
        trouble.at += STARTUP_SPAN;
    }
    for release in &mut day.releases {
        release.at += STARTUP_SPAN;
    }
    day
}
