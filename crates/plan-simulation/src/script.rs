//! What people, proxies, places and clocks do in a rehearsal, as a Starlark script. Spans count from the offer.

use serde::Deserialize;
use std::path::Path;
use violetseam_plan::{Micros, Plan, Power};
use violetseam_release::Verdict;
use violetseam_starlark_config::{
    Call, Located, ScriptDuration, ScriptError, evaluate, evaluate_file, optional_section,
};

violetseam_starlark_config::functions! {
    functions: start, votes, sign, unsign, order, lose, clock, away, end
}

/// When a rehearsal begins.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The moment, by the clocks of the zone: `2026-12-01T08:00`.
    pub at: String,
    /// IANA name.
    #[serde(default = "utc")]
    pub zone: String,
    /// The build that runs everywhere.
    pub build: u16,
    /// How long a place takes to start a build.
    #[serde(default = "ten_seconds")]
    pub boot: ScriptDuration,
    /// How long a place takes to drain.
    #[serde(default = "ten_seconds")]
    pub drain: ScriptDuration,
}

/// Proxies that vote on whatever stage they are told of, again and again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Votes {
    /// From when on.
    #[serde(default)]
    pub at: ScriptDuration,
    /// Until when; for the whole rehearsal if not given.
    #[serde(default)]
    pub until: Option<ScriptDuration>,
    /// How many proxies, from number `first` on.
    pub proxies: u32,
    /// The first one's number.
    #[serde(default)]
    pub first: u32,
    /// What they vote.
    pub verdict: Verdict,
    /// In this stage only.
    #[serde(default)]
    pub stage: Option<u8>,
    /// How long after each news, and then again and again.
    pub every: ScriptDuration,
}

/// Somebody approves a wave, or takes it back.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sign {
    /// When.
    pub at: ScriptDuration,
    /// Who.
    pub who: String,
    /// Which wave.
    pub wave: String,
}

/// Somebody orders something.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// When.
    pub at: ScriptDuration,
    /// Who.
    pub who: String,
    /// What.
    pub what: Power,
    /// For how long, of a hold.
    #[serde(default, rename = "for")]
    pub span: Option<ScriptDuration>,
    /// Tried again and again until there is something to do: a refusal is no news.
    #[serde(skip)]
    pub until_it_counts: bool,
}

/// A place is lost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lose {
    /// When.
    pub at: ScriptDuration,
    /// Which.
    pub place: u32,
    /// For how long.
    #[serde(rename = "for")]
    pub span: ScriptDuration,
}

/// The controller's wall clock is set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clock {
    /// When.
    pub at: ScriptDuration,
    /// Ahead by so much.
    #[serde(default)]
    pub ahead: ScriptDuration,
    /// Back by so much.
    #[serde(default)]
    pub back: ScriptDuration,
}

/// No controller runs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Away {
    /// From when on.
    pub at: ScriptDuration,
    /// For how long.
    #[serde(rename = "for")]
    pub span: ScriptDuration,
}

/// The rehearsal ends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    /// When, at the latest.
    pub at: ScriptDuration,
}

/// A rehearsal's script.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// When it begins, microseconds since 1970.
    pub start: Micros,
    /// The build that runs everywhere.
    pub build: u16,
    /// A place's start.
    pub boot: Micros,
    /// A place's drain.
    pub drain: Micros,
    /// Proxies that vote.
    pub votes: Vec<Votes>,
    /// Approvals.
    pub signs: Vec<Sign>,
    /// Approvals taken back.
    pub unsigns: Vec<Sign>,
    /// Orders.
    pub orders: Vec<Order>,
    /// Places lost.
    pub loses: Vec<Lose>,
    /// The wall clock is set.
    pub clocks: Vec<Clock>,
    /// Spans without a controller.
    pub aways: Vec<Away>,
    /// The end, from the offer on; none: a little past the plan's longest.
    pub end: Option<Micros>,
}

fn utc() -> String {
    "UTC".to_owned()
}
fn ten_seconds() -> ScriptDuration {
    ScriptDuration::from_micros(10_000_000)
}

/// Reads a script from a file.
///
/// # Errors
/// The first [`ScriptError`] of the script with its place, or that the file cannot be read.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Script, ScriptError> {
    read(&path.display().to_string(), evaluate_file(path, options, functions)?)
}

/// Reads a script from a text, which can load no files.
///
/// # Errors
/// The first [`ScriptError`] of the text with its place.
pub fn read_text(name: &str, text: &str) -> Result<Script, ScriptError> {
    read(name, evaluate(name, text.to_owned(), None, &[], functions)?)
}

fn read(name: &str, calls: Vec<Call>) -> Result<Script, ScriptError> {
    let mut script = Script::default();
    let (mut starts, mut ends): (Vec<Located<Start>>, Vec<Located<End>>) = (Vec::new(), Vec::new());
    for call in calls {
        match call.function {
            "start" => starts.push(call.read()?),
            "votes" => script.votes.push(call.read()?.value),
            "sign" => script.signs.push(call.read()?.value),
            "unsign" => script.unsigns.push(call.read()?.value),
            "order" => script.orders.push(call.read()?.value),
            "lose" => script.loses.push(call.read()?.value),
            "clock" => script.clocks.push(call.read()?.value),
            "away" => script.aways.push(call.read()?.value),
            "end" => ends.push(call.read()?),
            other => return Err(ScriptError::invalid(call.location, format!("{other}: no such function"))),
        }
    }
    let Some(start) = optional_section("start", &starts)? else {
        return Err(ScriptError::missing_section(name, "start"));
    };
    if script.votes.iter().any(|v| v.every.as_micros() < 1_000) {
        return Err(ScriptError::invalid(name, "votes come every millisecond at most"));
    }
    let Some(at) = violetseam_plan::moment_of(&start.value.at, &start.value.zone) else {
        return start.reject("start: at is YYYY-MM-DDTHH:MM, zone the IANA name of a time zone");
    };
    (script.start, script.build) = (at, start.value.build);
    (script.boot, script.drain) = (start.value.boot.as_micros(), start.value.drain.as_micros());
    script.end = optional_section("end", &ends)?.map(|end| end.value.at.as_micros());
    Ok(script)
}

/// What a plan is rehearsed with if nothing else is said: everybody who is asked approves at once, all
/// proxies vote 'on', whoever may leave a hold does so after a minute.
pub fn healthy(plan: &Plan, start: Micros, build: u16) -> Script {
    let sign = |(who, wave): (&String, &String)| Sign {
        at: ScriptDuration::from_micros(1_000),
        who: who.clone(),
        wave: wave.clone(),
    };
    let asked = plan.sign_offs.iter().flat_map(|s| s.by.iter().map(move |who| (who, &s.wave)));
    let every = ScriptDuration::from_micros((plan.fleet.vote_ttl / 3).max(1_000));
    let on = Votes {
        at: ScriptDuration::from_micros(0),
        until: None,
        proxies: plan.fleet.proxies,
        first: 0,
        verdict: Verdict::On,
        stage: None,
        every,
    };
    let leave = plan.holds.iter().filter_map(|h| h.leave.first());
    // Once a minute until the end: a hold is left a minute after it is reached at the latest.
    let minutes = (plan.longest / 60_000_000).min(10_000);
    let orders = leave.flat_map(|who| {
        (1..=minutes).map(move |n| Order {
            at: ScriptDuration::from_micros(n * 60_000_000),
            who: who.clone(),
            what: Power::Resume,
            span: None,
            until_it_counts: true,
        })
    });
    Script {
        start,
        build,
        boot: 10_000_000,
        drain: 10_000_000,
        votes: vec![on],
        signs: asked.map(sign).collect(),
        orders: orders.collect(),
        ..Script::default()
    }
}
