//! The script of a simulation: what people, proxies, places and clocks do, written in Starlark. Times count
//! from the offer.

mod defaults;
mod sections;

pub use defaults::default_script;
pub use sections::{Approval, ClockStep, ControllerOutage, OperatorOrder, PlaceLoss, VoterGroup};

use sections::{EndSection, StartSection};
use std::path::Path;
use violetseam_plan::{Micros, moment_of};
use violetseam_starlark_config::{
    Call, Located, ScriptDuration, ScriptError, evaluate, evaluate_file, optional_section, required_section,
};

violetseam_starlark_config::functions! {
    functions: start, votes, sign, unsign, order, lose, clock, away, end
}

/// The shortest interval between a group's votes.
const MIN_VOTE_INTERVAL: ScriptDuration = ScriptDuration::from_millis(1);

/// The script of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// The wall-clock time of the offer, in microseconds since 1970 UTC.
    pub start: Micros,
    /// The build that all places run at the start.
    pub initial_build: u16,
    /// How long a place takes to start a build, in microseconds.
    pub start_duration: Micros,
    /// How long a place takes to drain a build, in microseconds.
    pub drain_duration: Micros,
    /// The groups of proxies that vote.
    pub voters: Vec<VoterGroup>,
    /// The approvals.
    pub approvals: Vec<Approval>,
    /// The withdrawals of approvals.
    pub withdrawn_approvals: Vec<Approval>,
    /// The operators' orders.
    pub orders: Vec<OperatorOrder>,
    /// The losses of places.
    pub place_losses: Vec<PlaceLoss>,
    /// The steps of the controller's wall clock.
    pub clock_steps: Vec<ClockStep>,
    /// The periods in which no controller runs.
    pub outages: Vec<ControllerOutage>,
    /// The end in microseconds since the offer. If it is `None`, the simulation ends an hour after the
    /// longest duration that the plan permits.
    pub end: Option<Micros>,
}

/// Reads a script from a file. `options` holds the names of options and the values that `option(...)` returns
/// for them.
///
/// # Errors
///
/// Returns the first [`ScriptError`] of the script with its location, or the error of reading the file.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Script, ScriptError> {
    read(&path.display().to_string(), evaluate_file(path, options, functions)?)
}

/// Reads a script from a text. The text cannot load files.
///
/// # Errors
///
/// Returns the first [`ScriptError`] of the text with its location.
pub fn read_text(name: &str, text: &str) -> Result<Script, ScriptError> {
    read(name, evaluate(name, text.to_owned(), None, &[], functions)?)
}

fn read(name: &str, calls: Vec<Call>) -> Result<Script, ScriptError> {
    let Sections { mut script, starts, ends } = collect(calls)?;
    let start = required_section(name, "start", &starts)?;
    if script.voters.iter().any(|voters| voters.every < MIN_VOTE_INTERVAL) {
        return Err(ScriptError::invalid(name, "votes: every must be a millisecond at least"));
    }
    let StartSection { at, zone, build, boot, drain } = &start.value;
    let Some(start_moment) = moment_of(at, zone) else {
        return start.reject("start: at must be YYYY-MM-DDTHH:MM, and zone the IANA name of a time zone");
    };
    script.start = start_moment;
    script.initial_build = *build;
    script.start_duration = boot.as_micros();
    script.drain_duration = drain.as_micros();
    script.end = optional_section("end", &ends)?.map(|end| end.value.at.as_micros());
    Ok(script)
}

/// The calls of a script, grouped by section.
#[derive(Default)]
struct Sections {
    /// The script without its start and end, which are read from the sections below.
    script: Script,
    starts: Vec<Located<StartSection>>,
    ends: Vec<Located<EndSection>>,
}

fn collect(calls: Vec<Call>) -> Result<Sections, ScriptError> {
    let mut sections = Sections::default();
    let script = &mut sections.script;
    for call in calls {
        match call.function {
            "start" => sections.starts.push(call.read()?),
            "votes" => script.voters.push(call.read()?.value),
            "sign" => script.approvals.push(call.read()?.value),
            "unsign" => script.withdrawn_approvals.push(call.read()?.value),
            "order" => script.orders.push(call.read()?.value),
            "lose" => script.place_losses.push(call.read()?.value),
            "clock" => script.clock_steps.push(call.read()?.value),
            "away" => script.outages.push(call.read()?.value),
            "end" => sections.ends.push(call.read()?),
            other => return Err(ScriptError::invalid(call.location, format!("{other}: no such function"))),
        }
    }
    Ok(sections)
}
