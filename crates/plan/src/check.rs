//! Everything that can be proved wrong about a plan before it runs, each fault with the line that it is on.
//!
//! What is proved here is proved for a release that is offered at a given moment: windows and freezes make the
//! same plan possible on Monday and impossible on the day before a freeze.

use crate::diff::span;
use crate::document::{Sections, WaveSection};
use crate::{Gate, Micros, OnClose, Plan, Power, Wave};
use std::collections::BTreeSet;
use violetseam_starlark_config::{Located, ScriptError};

struct Faults(Vec<ScriptError>);

impl Faults {
    fn at<T>(&mut self, placed: &Located<T>, reason: impl std::fmt::Display) {
        self.0.push(ScriptError::invalid(&placed.location, reason));
    }
}

/// Whether a name can be said on a command line and in a log.
fn plain(name: &str) -> bool {
    !name.is_empty() && name.len() <= 64 && !name.chars().any(|c| c.is_whitespace() || c.is_control())
}

fn share(value: f64) -> bool {
    value > 0.0 && value <= 1.0
}

/// All faults, in the order of the script as far as it goes.
pub(crate) fn check(script: &str, s: &Sections, plan: &Plan, at: Micros) -> Vec<ScriptError> {
    let mut faults = Faults(Vec::new());
    let (Some(head), Some(fleet)) = (s.plan.first(), s.fleet.first()) else { return faults.0 };
    if !plain(&plan.name) {
        faults.at(head, "plan: a name has 1 to 64 characters without spaces");
    }
    if plan.longest == 0 {
        faults.at(head, "plan: longest is over 0");
    }
    check_fleet(&mut faults, fleet, plan);
    if s.waves.is_empty() {
        faults.0.push(ScriptError::missing_section(script, "wave"));
        return faults.0;
    }
    for (n, placed) in s.waves.iter().enumerate() {
        check_wave(&mut faults, s, placed, n, plan);
    }
    if let (Some(last), Some(placed)) = (plan.waves.last(), s.waves.last())
        && last.places.len() < plan.fleet.places as usize
    {
        let left = plan.fleet.places as usize - last.places.len();
        faults.at(
            placed,
            format!("wave {:?}: the last wave leaves {left} places without the build", last.name),
        );
    }
    check_people(&mut faults, s, plan);
    check_time(&mut faults, s, plan, at);
    faults.0
}

fn check_fleet(faults: &mut Faults, placed: &Located<crate::document::FleetSection>, plan: &Plan) {
    let f = &plan.fleet;
    if f.proxies == 0 || f.places == 0 || f.proxies > 65_535 || f.places > 20_000 {
        faults.at(placed, "fleet: 1 to 65535 proxies and 1 to 20000 places");
    }
    if f.vote_ttl == 0 || f.launch == 0 {
        faults.at(placed, "fleet: vote_ttl and launch are over 0");
    }
    if !share(f.votes_back) {
        faults.at(
            placed,
            format!("fleet: {} of the proxies cannot vote back: over 0 and at most 1", f.votes_back),
        );
    }
    if !(f.votes_per_s > 0.0 && f.votes_per_s.is_finite()) {
        faults.at(placed, "fleet: votes_per_s is over 0");
    } else if plan.votes(f.votes_back) as f64 / f.votes_per_s > f.vote_ttl as f64 / 1e6 {
        let (votes, ttl) = (plan.votes(f.votes_back), span(f.vote_ttl));
        faults.at(placed, format!("fleet: {votes} 'back' votes are not taken within a vote's {ttl}"));
    }
    let inside = |places: &BTreeSet<u32>| places.iter().all(|p| *p < f.places);
    for (name, places) in &placed.value.groups {
        if places.is_empty() || !inside(places) {
            faults.at(
                placed,
                format!("fleet: group {name:?} has places from 0 to {}", f.places.saturating_sub(1)),
            );
        }
    }
    if f.stage_caps.iter().any(|cap| !(0.0..=1.0).contains(cap)) {
        faults.at(placed, "fleet: caps are 0 to 1");
    }
}

fn check_wave(faults: &mut Faults, s: &Sections, placed: &Located<WaveSection>, n: usize, plan: &Plan) {
    let wave: &Wave = &plan.waves[n];
    let name = &wave.name;
    let mut fault = |reason: String| faults.at(placed, format!("wave {name:?}: {reason}"));
    if !plain(name) {
        fault("a name has 1 to 64 characters without spaces".into());
    }
    if let Some(before) = s.waves[..n].iter().find(|w| w.value.name == *name) {
        fault(format!("there is one of this name at {}", before.location));
    }
    if !share(wave.cap) {
        fault(format!("a cap is over 0 and at most 1, not {}", wave.cap));
    }
    match plan.fleet.stage_caps.get(n) {
        None => fault(format!(
            "the proxies know {} stages: caps of later ones are not permitted",
            plan.fleet.stage_caps.len()
        )),
        Some(most) if wave.cap > *most => {
            fault(format!("cap {} over the {most} that stage {n} permits", wave.cap));
        }
        Some(_) => {}
    }
    if let Some(before) = n.checked_sub(1).map(|n| &plan.waves[n]) {
        let lost: Vec<&u32> = before.places.difference(&wave.places).collect();
        if !lost.is_empty() {
            fault(format!("shrinks: {} places of wave {:?} are not in it", lost.len(), before.name));
        }
        if wave.cap < before.cap {
            fault(format!("cap {} under the {} of wave {:?}", wave.cap, before.cap, before.name));
        }
    }
    match wave.gate {
        Gate::Any => {}
        Gate::Share | Gate::Timer if !share(wave.votes) => {
            fault(format!("votes of {} of the proxies cannot be cast: over 0 and at most 1", wave.votes));
        }
        Gate::Share => {
            let (needed, f) = (plan.votes(wave.votes), &plan.fleet);
            if needed as f64 / f.votes_per_s > f.vote_ttl as f64 / 1e6 {
                let ttl = span(f.vote_ttl);
                fault(format!(
                    "{needed} votes at {} a second are not there within a vote's {ttl}",
                    f.votes_per_s
                ));
            }
        }
        Gate::Timer if wave.soak == 0 => fault("a timer without a soak moves on at once".into()),
        Gate::Timer => {}
    }
}

fn check_people(faults: &mut Faults, s: &Sections, plan: &Plan) {
    let known = |name: &String| plan.waves.iter().any(|w| w.name == *name);
    let mut held: Vec<&str> = Vec::new();
    for placed in &s.holds {
        let h = &placed.value;
        if !known(&h.before) {
            faults.at(placed, format!("hold: no wave {:?}", h.before));
        }
        if held.contains(&h.before.as_str()) {
            faults.at(placed, format!("hold: before wave {:?} there is one already", h.before));
        }
        held.push(&h.before);
        if h.leave.is_empty() && h.at_most.is_none() {
            faults.at(placed, "hold: has no way out: neither leave nor at_most");
        }
        if !h.leave.iter().all(|who| plain(who)) {
            faults.at(placed, "hold: names have 1 to 64 characters without spaces");
        }
    }
    for placed in &s.sign_offs {
        let o = &placed.value;
        if !known(&o.wave) {
            faults.at(placed, format!("sign_off: no wave {:?}", o.wave));
        }
        let people: BTreeSet<&String> = o.by.iter().collect();
        if people.is_empty() || o.count == 0 {
            faults.at(placed, "sign_off: asked of nobody");
        } else if o.count > people.len() {
            faults.at(placed, format!("sign_off: {} approvals from {} people", o.count, people.len()));
        }
        if !o.by.iter().all(|who| plain(who)) {
            faults.at(placed, "sign_off: names have 1 to 64 characters without spaces");
        }
        if o.within.as_micros() == 0 || o.within.as_micros() > plan.longest {
            faults.at(placed, "sign_off: within is over 0 and at most the plan's longest");
        }
    }
    for (n, placed) in s.allows.iter().enumerate() {
        let a = &placed.value;
        if !plain(&a.who) || a.may.is_empty() {
            faults.at(
                placed,
                "allow: who has 1 to 64 characters without spaces, may is hold, resume, back or skip",
            );
        }
        if s.allows[..n].iter().any(|other| other.value.who == a.who) {
            faults.at(placed, format!("allow: {:?} twice", a.who));
        }
        let resumes = s.allows.iter().any(|other| other.value.may.contains(&Power::Resume));
        if a.may.contains(&Power::Hold) && !resumes {
            faults.at(placed, "allow: a hold without a way out: nobody may resume");
        }
    }
}

/// Whether the waves can fit into the open time before the plan's limit.
fn check_time(faults: &mut Faults, s: &Sections, plan: &Plan, at: Micros) {
    let Some(head) = s.plan.first() else { return };
    let until = at.saturating_add(plan.longest);
    let soaks: Micros = plan.waves.iter().map(|w| w.soak).sum();
    if soaks > plan.longest {
        faults.at(head, format!("plan: the soaks take {}, longest is {}", span(soaks), span(plan.longest)));
        return;
    }
    let open = plan.calendar.open_spans(at, until);
    if open.is_empty() {
        let place = s.windows.first().map_or(&head.location, |w| &w.location);
        faults.0.push(ScriptError::invalid(
            place,
            format!("no window opens within the plan's {}", span(plan.longest)),
        ));
        return;
    }
    let longest_open = open.iter().map(|s| s.1 - s.0).max().unwrap_or(0);
    for (wave, placed) in plan.waves.iter().zip(&s.waves) {
        // A wave begins in a window. One that goes back when it closes must soak within one.
        if wave.on_close == OnClose::Back && wave.soak >= longest_open {
            faults.at(
                placed,
                format!(
                    "wave {:?}: no window fits its soak of {}: the longest is open for {}",
                    wave.name,
                    span(wave.soak),
                    span(longest_open)
                ),
            );
        }
    }
    let within: Micros = plan.waves.iter().filter(|w| w.on_close != OnClose::Finish).map(|w| w.soak).sum();
    let total: Micros = open.iter().map(|s| s.1 - s.0).sum();
    if within > total {
        faults.at(
            head,
            format!(
                "plan: the soaks need {} of open windows, there are {} within {}",
                span(within),
                span(total),
                span(plan.longest)
            ),
        );
    }
}
