//! Converts the sections of a script to a [`Plan`], which is not validated yet.

use crate::schedule_text::{parse_freeze, parse_window};
use crate::script_errors::ScriptErrors;
use crate::sections::{
    AllowSection, FleetSection, HoldSection, PlanSection, Sections, SignOffSection, WaveSection,
};
use crate::{Calendar, Fleet, Hold, Override, Plan, SignOff, Wave};
use std::collections::BTreeSet;
use violetseam_starlark_config::{Located, ScriptDuration, ScriptError, required_section};

/// Converts the sections to a plan. `name` is the script's name for errors.
///
/// # Errors
///
/// Returns an error for each section that is missing, duplicate or cannot be converted.
pub(crate) fn build(name: &str, sections: &Sections) -> Result<Plan, Vec<ScriptError>> {
    let mut errors = ScriptErrors::default();
    let plan = errors.ok_or_add(required_section(name, "plan", &sections.plan));
    let fleet = errors.ok_or_add(required_section(name, "fleet", &sections.fleet));
    let windows = errors.collect(sections.windows.iter().map(parse_window));
    let freezes = errors.collect(sections.freezes.iter().map(parse_freeze));
    let (Some(plan), Some(fleet)) = (plan, fleet) else { return Err(errors.into_vec()) };
    let waves = errors.collect(sections.waves.iter().map(|section| build_wave(section, &fleet.value)));
    if !errors.is_empty() {
        return Err(errors.into_vec());
    }
    let PlanSection { name, build, longest, downtime } = &plan.value;
    Ok(Plan {
        name: name.clone(),
        build: *build,
        longest: longest.as_micros(),
        downtime: *downtime,
        fleet: build_fleet(&fleet.value),
        waves,
        holds: sections.holds.iter().map(|section| build_hold(&section.value)).collect(),
        sign_offs: sections.sign_offs.iter().map(|section| build_sign_off(&section.value)).collect(),
        overrides: sections.allows.iter().map(|section| build_override(&section.value)).collect(),
        calendar: Calendar { windows, freezes },
    })
}

fn build_fleet(section: &FleetSection) -> Fleet {
    Fleet {
        proxies: section.proxies,
        places: section.places,
        vote_ttl: section.vote_ttl.as_micros(),
        votes_per_s: section.votes_per_s,
        stage_caps: section.stage_caps.clone(),
        votes_back: section.votes_back,
        beside: section.beside,
        launch: section.launch.as_micros(),
        settle: section.settle.as_micros(),
    }
}

fn build_hold(section: &HoldSection) -> Hold {
    Hold {
        before: section.before.clone(),
        leave: section.leave.clone(),
        at_most: section.at_most.map(ScriptDuration::as_micros),
    }
}

fn build_sign_off(section: &SignOffSection) -> SignOff {
    SignOff {
        wave: section.wave.clone(),
        by: section.by.clone(),
        count: section.count,
        within: section.within.as_micros(),
    }
}

fn build_override(section: &AllowSection) -> Override {
    Override { who: section.who.clone(), may: section.may.clone() }
}

fn build_wave(section: &Located<WaveSection>, fleet: &FleetSection) -> Result<Wave, ScriptError> {
    let wave = &section.value;
    Ok(Wave {
        name: wave.name.clone(),
        places: wave_places(section, fleet)?,
        cap: wave.cap,
        soak: wave.soak.as_micros(),
        gate: wave.gate,
        votes: wave.votes,
        on_close: wave.on_close,
    })
}

/// Resolves the share or the groups of a wave to the places that run the new build.
fn wave_places(section: &Located<WaveSection>, fleet: &FleetSection) -> Result<BTreeSet<u32>, ScriptError> {
    let WaveSection { name, share, groups, .. } = &section.value;
    match (share, groups) {
        (Some(share), None) if *share > 0.0 && *share <= 1.0 => Ok(spread_places(*share, fleet.places)),
        (Some(_), None) => section.reject(format!("wave {name:?}: a share is over 0 and at most 1")),
        (None, Some(groups)) => {
            let mut places = BTreeSet::new();
            for group in groups {
                let Some(group_places) = fleet.groups.get(group) else {
                    return section.reject(format!("wave {name:?}: the fleet has no group {group:?}"));
                };
                places.extend(group_places);
            }
            Ok(places)
        }
        _ => section.reject(format!("wave {name:?}: either share or groups")),
    }
}

/// Step between successive places of a share. It spreads a share over all places, and so over zones and
/// cells.
const SPREAD_STEP: u64 = 7;
/// First place of every share.
const SPREAD_START: u64 = 3;

/// Selects the places of a share. A larger share includes all places of a smaller one.
fn spread_places(share: f64, place_count: u32) -> BTreeSet<u32> {
    let chosen_count = ((share * f64::from(place_count)).ceil() as usize).min(place_count as usize);
    let modulus = u64::from(place_count.max(1));
    let spread =
        (0..u64::from(place_count)).map(|index| ((index * SPREAD_STEP + SPREAD_START) % modulus) as u32);
    let mut chosen = BTreeSet::new();
    // If the step divides the number of places, the spread misses some of them. All places follow it, so that
    // the missing ones are chosen last.
    for place in spread.chain(0..place_count) {
        if chosen.len() < chosen_count {
            chosen.insert(place);
        }
    }
    chosen
}
