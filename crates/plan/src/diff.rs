//! What differs between two plans, in words: for whoever reviews the second.

use crate::{Plan, Wave};
use std::collections::BTreeSet;

type Part<T> = (&'static str, fn(&T) -> String);
type List = (&'static str, fn(&Plan) -> BTreeSet<String>);

/// The differences from one plan to another, a line each.
pub fn diff(from: &Plan, to: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    let mut say = |what: &str, a: String, b: String| {
        if a != b {
            lines.push(format!("{what}: {a} -> {b}"));
        }
    };
    say("name", from.name.clone(), to.name.clone());
    say("build", from.build.to_string(), to.build.to_string());
    say("longest", span(from.longest), span(to.longest));
    say("downtime", format!("{:?}", from.downtime), format!("{:?}", to.downtime));
    say("fleet", format!("{:?}", from.fleet), format!("{:?}", to.fleet));
    let names = |plan: &Plan| plan.waves.iter().map(|w| w.name.clone()).collect::<Vec<_>>().join(", ");
    say("waves", names(from), names(to));
    let of = |plan: &Plan, name: &str| plan.waves.iter().find(|w| w.name == name).cloned();
    for wave in &from.waves {
        let Some(other) = of(to, &wave.name) else { continue };
        let parts: [Part<Wave>; 6] = [
            ("places", |w| places(&w.places)),
            ("cap", |w| w.cap.to_string()),
            ("soak", |w| span(w.soak)),
            ("gate", |w| format!("{:?}", w.gate).to_lowercase()),
            ("votes", |w| w.votes.to_string()),
            ("on_close", |w| format!("{:?}", w.on_close).to_lowercase()),
        ];
        for (part, text) in parts {
            say(&format!("wave {:?}: {part}", wave.name), text(wave), text(&other));
        }
    }
    let lists: [List; 5] = [
        ("hold", |p| p.holds.iter().map(|h| format!("{h:?}")).collect()),
        ("sign-off", |p| p.sign_offs.iter().map(|s| format!("{s:?}")).collect()),
        ("allowed", |p| p.overrides.iter().map(|o| format!("{o:?}")).collect()),
        ("window", |p| p.calendar.windows.iter().map(|w| format!("{w:?}")).collect()),
        ("freeze", |p| p.calendar.freezes.iter().map(|f| format!("{f:?}")).collect()),
    ];
    for (what, list) in lists {
        let (a, b) = (list(from), list(to));
        lines.extend(a.difference(&b).map(|gone| format!("{what} gone: {gone}")));
        lines.extend(b.difference(&a).map(|new| format!("{what} new: {new}")));
    }
    lines
}

fn places(places: &BTreeSet<u32>) -> String {
    format!("{} ({places:?})", places.len())
}

/// A span in words.
pub(crate) fn span(micros: u64) -> String {
    let s = micros as f64 / 1e6;
    match s {
        s if s >= 7_200.0 => format!("{:.1} h", s / 3_600.0),
        s if s >= 120.0 => format!("{:.1} min", s / 60.0),
        s => format!("{s:.1} s"),
    }
}
