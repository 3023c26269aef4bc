//! What people, proxies, places and clocks do in a simulation, as a Starlark script. Times count from the
//! offer.

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

/// The shortest interval of a group's votes.
const MIN_VOTE_INTERVAL: ScriptDuration = ScriptDuration::from_millis(1);

/// A simulation's script.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// When it begins, in microseconds since 1970 UTC.
    pub start: Micros,
    /// The build that runs everywhere at the start.
    pub initial_build: u16,
    /// How long a place takes to start a build, in microseconds.
    pub start_duration: Micros,
    /// How long a place takes to drain a build, in microseconds.
    pub drain_duration: Micros,
    /// Proxies that vote.
    pub voters: Vec<VoterGroup>,
    /// Approvals given.
    pub approvals: Vec<Approval>,
    /// Approvals withdrawn.
    pub withdrawn_approvals: Vec<Approval>,
    /// Operators' orders.
    pub orders: Vec<OperatorOrder>,
    /// Places lost.
    pub place_losses: Vec<PlaceLoss>,
    /// Settings of the wall clock.
    pub clock_steps: Vec<ClockStep>,
    /// Times without a controller.
    pub outages: Vec<ControllerOutage>,
    /// The end, in microseconds from the offer; none: a little past the plan's longest.
    pub end: Option<Micros>,
}

/// Reads a script from a file. `options` are the names and values that `option(...)` returns.
///
/// # Errors
///
/// The first [`ScriptError`] of the script with its place, or that the file cannot be read.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Script, ScriptError> {
    read(&path.display().to_string(), evaluate_file(path, options, functions)?)
}

/// Reads a script from a text, which can load no files.
///
/// # Errors
///
/// The first [`ScriptError`] of the text with its place.
pub fn read_text(name: &str, text: &str) -> Result<Script, ScriptError> {
    read(name, evaluate(name, text.to_owned(), None, &[], functions)?)
}

fn read(name: &str, calls: Vec<Call>) -> Result<Script, ScriptError> {
    let Sections { mut script, starts, ends } = collect(calls)?;
    let start = required_section(name, "start", &starts)?;
    if script.voters.iter().any(|voters| voters.every < MIN_VOTE_INTERVAL) {
        return Err(ScriptError::invalid(name, "votes come every millisecond at most"));
    }
    let StartSection { at, zone, build, boot, drain } = &start.value;
    let Some(start_moment) = moment_of(at, zone) else {
        return start.reject("start: at is YYYY-MM-DDTHH:MM, zone the IANA name of a time zone");
    };
    script.start = start_moment;
    script.initial_build = *build;
    script.start_duration = boot.as_micros();
    script.drain_duration = drain.as_micros();
    script.end = optional_section("end", &ends)?.map(|end| end.value.at.as_micros());
    Ok(script)
}

/// The calls of a script, collected by section.
#[derive(Default)]
struct Sections {
    /// The events; start and end are not in it yet.
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
