//! The sections of a plan as a script writes them, made into a [`Plan`].

use crate::calendar::{self, Calendar, Freeze, Window};
use crate::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use violetseam_starlark_config::{
    Call, Located, ScriptDuration, ScriptError, evaluate, evaluate_file, required_section,
};

violetseam_starlark_config::functions! { functions: plan, fleet, wave, hold, window, freeze, sign_off, allow }

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlanSection {
    pub name: String,
    pub build: u16,
    pub longest: ScriptDuration,
    #[serde(default = "stops")]
    pub downtime: Downtime,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetSection {
    pub proxies: u32,
    pub places: u32,
    pub vote_ttl: ScriptDuration,
    #[serde(default = "many")]
    pub votes_per_s: f64,
    pub stage_caps: Vec<f64>,
    #[serde(default = "third")]
    pub votes_back: f64,
    #[serde(default)]
    pub beside: bool,
    #[serde(default = "five_minutes")]
    pub launch: ScriptDuration,
    #[serde(default = "second")]
    pub settle: ScriptDuration,
    #[serde(default)]
    pub groups: BTreeMap<String, BTreeSet<u32>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaveSection {
    pub name: String,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub groups: Option<Vec<String>>,
    pub cap: f64,
    pub soak: ScriptDuration,
    pub gate: Gate,
    #[serde(default = "half")]
    pub votes: f64,
    #[serde(default = "hold")]
    pub on_close: OnClose,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HoldSection {
    pub before: String,
    #[serde(default)]
    pub leave: Vec<String>,
    #[serde(default)]
    pub at_most: Option<ScriptDuration>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WindowSection {
    pub days: String,
    pub start: String,
    pub end: String,
    pub zone: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FreezeSection {
    pub start: String,
    pub end: String,
    pub zone: String,
    #[serde(default)]
    pub reason: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SignOffSection {
    pub wave: String,
    pub by: Vec<String>,
    #[serde(default = "once")]
    pub count: usize,
    pub within: ScriptDuration,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AllowSection {
    pub who: String,
    pub may: BTreeSet<Power>,
}

fn stops() -> Downtime {
    Downtime::Stops
}
fn many() -> f64 {
    150.0
}
fn third() -> f64 {
    1.0 / 3.0
}
fn half() -> f64 {
    0.5
}
fn hold() -> OnClose {
    OnClose::Hold
}
fn once() -> usize {
    1
}
fn five_minutes() -> ScriptDuration {
    ScriptDuration::from_micros(300_000_000)
}
fn second() -> ScriptDuration {
    ScriptDuration::from_micros(1_000_000)
}

/// All sections, as called.
#[derive(Debug, Default)]
pub(crate) struct Sections {
    pub plan: Vec<Located<PlanSection>>,
    pub fleet: Vec<Located<FleetSection>>,
    pub waves: Vec<Located<WaveSection>>,
    pub holds: Vec<Located<HoldSection>>,
    pub windows: Vec<Located<WindowSection>>,
    pub freezes: Vec<Located<FreezeSection>>,
    pub sign_offs: Vec<Located<SignOffSection>>,
    pub allows: Vec<Located<AllowSection>>,
}

fn sort(calls: Vec<Call>) -> Result<Sections, ScriptError> {
    let mut s = Sections::default();
    for call in calls {
        match call.function {
            "plan" => s.plan.push(call.read()?),
            "fleet" => s.fleet.push(call.read()?),
            "wave" => s.waves.push(call.read()?),
            "hold" => s.holds.push(call.read()?),
            "window" => s.windows.push(call.read()?),
            "freeze" => s.freezes.push(call.read()?),
            "sign_off" => s.sign_offs.push(call.read()?),
            "allow" => s.allows.push(call.read()?),
            other => return Err(ScriptError::invalid(call.location, format!("{other}: no such section"))),
        }
    }
    Ok(s)
}

/// Reads and checks a plan for a release that is offered at `at`. `options` are what `option(...)` gives.
/// All faults that can be found together are told together.
///
/// # Errors
/// Every fault of the script with its place, or that the file cannot be read.
pub fn read_file(path: &Path, options: &[(String, String)], at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let name = path.display().to_string();
    let calls = evaluate_file(path, options, functions).map_err(|f| vec![f])?;
    read(&name, calls, at)
}

/// The same from a text, which can load no files.
///
/// # Errors
/// Every fault of the script with its place.
pub fn read_text(
    name: &str,
    text: &str,
    options: &[(String, String)],
    at: Micros,
) -> Result<Plan, Vec<ScriptError>> {
    let calls = evaluate(name, text.to_owned(), None, options, functions).map_err(|f| vec![f])?;
    read(name, calls, at)
}

fn read(name: &str, calls: Vec<Call>, at: Micros) -> Result<Plan, Vec<ScriptError>> {
    let sections = sort(calls).map_err(|f| vec![f])?;
    let plan = build(name, &sections)?;
    let faults = crate::check::check(name, &sections, &plan, at);
    if faults.is_empty() { Ok(plan) } else { Err(faults) }
}

/// Makes the plan; what cannot be made is a fault.
fn build(name: &str, s: &Sections) -> Result<Plan, Vec<ScriptError>> {
    let mut faults = Vec::new();
    let mut keep = |fault: ScriptError| faults.push(fault);
    let plan = required_section(name, "plan", &s.plan).map_err(&mut keep).ok();
    let fleet = required_section(name, "fleet", &s.fleet).map_err(&mut keep).ok();
    let windows: Vec<Window> = s.windows.iter().filter_map(|w| window(w).map_err(&mut keep).ok()).collect();
    let freezes: Vec<Freeze> = s.freezes.iter().filter_map(|f| freeze(f).map_err(&mut keep).ok()).collect();
    let (Some(plan), Some(fleet)) = (plan, fleet) else { return Err(faults) };
    let waves: Vec<Wave> =
        s.waves.iter().filter_map(|w| wave(w, &fleet.value).map_err(&mut keep).ok()).collect();
    if !faults.is_empty() {
        return Err(faults);
    }
    let f = &fleet.value;
    Ok(Plan {
        name: plan.value.name.clone(),
        build: plan.value.build,
        longest: plan.value.longest.as_micros(),
        downtime: plan.value.downtime,
        fleet: Fleet {
            proxies: f.proxies,
            places: f.places,
            vote_ttl: f.vote_ttl.as_micros(),
            votes_per_s: f.votes_per_s,
            stage_caps: f.stage_caps.clone(),
            votes_back: f.votes_back,
            beside: f.beside,
            launch: f.launch.as_micros(),
            settle: f.settle.as_micros(),
        },
        waves,
        holds: s
            .holds
            .iter()
            .map(|h| Hold {
                before: h.value.before.clone(),
                leave: h.value.leave.clone(),
                at_most: h.value.at_most.map(ScriptDuration::as_micros),
            })
            .collect(),
        sign_offs: s
            .sign_offs
            .iter()
            .map(|o| SignOff {
                wave: o.value.wave.clone(),
                by: o.value.by.clone(),
                count: o.value.count,
                within: o.value.within.as_micros(),
            })
            .collect(),
        overrides: s
            .allows
            .iter()
            .map(|a| Override { who: a.value.who.clone(), may: a.value.may.clone() })
            .collect(),
        calendar: Calendar { windows, freezes },
    })
}

/// The places of a share, spread over all of them, and so over zones and cells; a larger share holds those of
/// a smaller one.
fn spread(share: f64, places: u32) -> BTreeSet<u32> {
    let wanted = ((share * f64::from(places)).ceil() as usize).min(places as usize);
    let order = (0..u64::from(places)).map(|i| ((i * 7 + 3) % u64::from(places.max(1))) as u32);
    let mut chosen = BTreeSet::new();
    for place in order.chain(0..places) {
        if chosen.len() < wanted {
            chosen.insert(place);
        }
    }
    chosen
}

fn wave(placed: &Located<WaveSection>, fleet: &FleetSection) -> Result<Wave, ScriptError> {
    let w = &placed.value;
    let places = match (w.share, &w.groups) {
        (Some(share), None) if share > 0.0 && share <= 1.0 => spread(share, fleet.places),
        (Some(_), None) => {
            return placed.reject(format!("wave {:?}: a share is over 0 and at most 1", w.name));
        }
        (None, Some(groups)) => {
            let mut places = BTreeSet::new();
            for group in groups {
                let Some(of) = fleet.groups.get(group) else {
                    return placed.reject(format!("wave {:?}: the fleet has no group {group:?}", w.name));
                };
                places.extend(of);
            }
            places
        }
        _ => return placed.reject(format!("wave {:?}: either share or groups", w.name)),
    };
    let (name, cap, soak, gate, votes, on_close) =
        (w.name.clone(), w.cap, w.soak.as_micros(), w.gate, w.votes, w.on_close);
    Ok(Wave { name, places, cap, soak, gate, votes, on_close })
}

const DAYS: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];

/// `mon-fri`, `sat,sun`, `mon-wed,fri`.
fn days(text: &str) -> Option<Vec<u8>> {
    let day = |name: &str| DAYS.iter().position(|d| *d == name.trim()).map(|d| d as u8);
    let mut days = BTreeSet::new();
    for part in text.split(',') {
        match part.split_once('-') {
            None => drop(days.insert(day(part)?)),
            Some((from, to)) => {
                let (mut at, to) = (day(from)?, day(to)?);
                days.insert(at);
                while at != to {
                    at = (at + 1) % 7;
                    days.insert(at);
                }
            }
        }
    }
    Some(days.into_iter().collect())
}

/// `07:30`, up to `24:00`.
fn minutes(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let two =
        |t: &str| (t.len() == 2 && t.bytes().all(|b| b.is_ascii_digit())).then(|| t.parse::<u16>().ok())?;
    let (hours, minutes) = (two(hours)?, two(minutes)?);
    let total = hours * 60 + minutes;
    (minutes < 60 && total <= 1_440).then_some(total)
}

fn window(placed: &Located<WindowSection>) -> Result<Window, ScriptError> {
    let w = &placed.value;
    let Some(days) = days(&w.days) else {
        return placed.reject(format!("window: {:?} are no days: mon-fri, or sat,sun", w.days));
    };
    let (Some(start), Some(end)) = (minutes(&w.start), minutes(&w.end)) else {
        return placed.reject("window: times are HH:MM, from 00:00 to 24:00");
    };
    if start == end || start >= 1_440 {
        return placed.reject("window: opens before 24:00, and closes at another time than it opens");
    }
    if calendar::zone(&w.zone).is_none() {
        return placed.reject(format!("window: no time zone {:?}", w.zone));
    }
    Ok(Window { days, start, end, zone: w.zone.clone() })
}

fn freeze(placed: &Located<FreezeSection>) -> Result<Freeze, ScriptError> {
    let f = &placed.value;
    if calendar::zone(&f.zone).is_none() {
        return placed.reject(format!("freeze: no time zone {:?}", f.zone));
    }
    let at = |text: &str| calendar::moment_of(text, &f.zone);
    let (Some(start), Some(end)) = (at(&f.start), at(&f.end)) else {
        return placed.reject("freeze: moments are YYYY-MM-DDTHH:MM, by the clocks of its zone");
    };
    if end <= start {
        return placed.reject("freeze: ends before it begins");
    }
    Ok(Freeze { start, end, reason: f.reason.clone() })
}
