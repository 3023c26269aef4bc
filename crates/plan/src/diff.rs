//! Describes the differences between two plans as text, for a review of the new plan.

use crate::duration_text::duration_text;
use crate::{Plan, Wave};
use std::collections::BTreeSet;

/// Returns the differences between two plans, one line for each.
pub fn diff(from: &Plan, to: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    compare(&mut lines, &PLAN_PROPERTIES, "", from, to);
    for wave in &from.waves {
        if let Some(other) = to.waves.iter().find(|other| other.name == wave.name) {
            compare(&mut lines, &WAVE_PROPERTIES, &format!("wave {:?}: ", wave.name), wave, other);
        }
    }
    for ListProperty { name, entries } in &LIST_PROPERTIES {
        let before = entries(from);
        let after = entries(to);
        lines.extend(before.difference(&after).map(|removed| format!("{name} gone: {removed}")));
        lines.extend(after.difference(&before).map(|added| format!("{name} new: {added}")));
    }
    lines
}

/// A property with a single value.
struct Property<T> {
    name: &'static str,
    text: fn(&T) -> String,
}

/// A property that is an unordered list of entries.
struct ListProperty {
    name: &'static str,
    entries: fn(&Plan) -> BTreeSet<String>,
}

const PLAN_PROPERTIES: [Property<Plan>; 6] = [
    Property { name: "name", text: |plan| plan.name.clone() },
    Property { name: "build", text: |plan| plan.build.to_string() },
    Property { name: "longest", text: |plan| duration_text(plan.longest) },
    Property { name: "downtime", text: |plan| format!("{:?}", plan.downtime) },
    Property { name: "fleet", text: |plan| format!("{:?}", plan.fleet) },
    Property { name: "waves", text: wave_names },
];

const WAVE_PROPERTIES: [Property<Wave>; 6] = [
    Property { name: "places", text: |wave| format!("{} ({:?})", wave.places.len(), wave.places) },
    Property { name: "cap", text: |wave| wave.cap.to_string() },
    Property { name: "soak", text: |wave| duration_text(wave.soak) },
    Property { name: "gate", text: |wave| format!("{:?}", wave.gate).to_lowercase() },
    Property { name: "votes", text: |wave| wave.votes.to_string() },
    Property { name: "on_close", text: |wave| format!("{:?}", wave.on_close).to_lowercase() },
];

const LIST_PROPERTIES: [ListProperty; 5] = [
    ListProperty { name: "hold", entries: |plan| debug_texts(&plan.holds) },
    ListProperty { name: "sign-off", entries: |plan| debug_texts(&plan.sign_offs) },
    ListProperty { name: "allowed", entries: |plan| debug_texts(&plan.overrides) },
    ListProperty { name: "window", entries: |plan| debug_texts(&plan.calendar.windows) },
    ListProperty { name: "freeze", entries: |plan| debug_texts(&plan.calendar.freezes) },
];

fn compare<T>(lines: &mut Vec<String>, properties: &[Property<T>], prefix: &str, from: &T, to: &T) {
    for Property { name, text } in properties {
        let before = text(from);
        let after = text(to);
        if before != after {
            lines.push(format!("{prefix}{name}: {before} -> {after}"));
        }
    }
}

fn wave_names(plan: &Plan) -> String {
    let names: Vec<&str> = plan.waves.iter().map(|wave| wave.name.as_str()).collect();
    names.join(", ")
}

fn debug_texts<T: std::fmt::Debug>(entries: &[T]) -> BTreeSet<String> {
    entries.iter().map(|entry| format!("{entry:?}")).collect()
}
