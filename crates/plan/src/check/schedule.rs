//! Whether the waves can fit into the open time before the plan's limit.

use crate::calendar::OpenInterval;
use crate::duration_text::duration_text;
use crate::script_errors::ScriptErrors;
use crate::sections::{PlanSection, Sections};
use crate::{Micros, OnClose, Plan, Wave};
use violetseam_starlark_config::{Located, ScriptError};

/// Checks the soaks against the plan's longest and the open windows, for an offer at `at`.
pub(super) fn check_schedule(errors: &mut ScriptErrors, sections: &Sections, plan: &Plan, at: Micros) {
    let Some(plan_section) = sections.plan.first() else { return };
    let longest = duration_text(plan.longest);
    let soaks = total_soak(plan.waves.iter());
    if soaks > plan.longest {
        let soaks = duration_text(soaks);
        errors.reject(plan_section, format!("plan: the soaks take {soaks}, longest is {longest}"));
        return;
    }
    let open = plan.calendar.open_intervals(at, at.saturating_add(plan.longest));
    if open.is_empty() {
        let location = sections.windows.first().map_or(&plan_section.location, |window| &window.location);
        let reason = format!("no window opens within the plan's {longest}");
        errors.add(ScriptError::invalid(location, reason));
        return;
    }
    check_soaks_within_one_window(errors, sections, plan, &open);
    check_soaks_within_all_windows(errors, plan_section, plan, &open);
}

/// A wave begins in a window; one that is rolled back when the window closes must soak within one.
fn check_soaks_within_one_window(
    errors: &mut ScriptErrors,
    sections: &Sections,
    plan: &Plan,
    open: &[OpenInterval],
) {
    let longest_open = open.iter().map(OpenInterval::duration).max().unwrap_or(0);
    for (wave, section) in plan.waves.iter().zip(&sections.waves) {
        if wave.on_close == OnClose::Back && wave.soak >= longest_open {
            let name = &wave.name;
            let soak = duration_text(wave.soak);
            let longest_open = duration_text(longest_open);
            errors.reject(
                section,
                format!(
                    "wave {name:?}: no window fits its soak of {soak}: the longest is open for {longest_open}"
                ),
            );
        }
    }
}

/// Soaks count in open windows alone, but of waves that go on after their window.
fn check_soaks_within_all_windows(
    errors: &mut ScriptErrors,
    plan_section: &Located<PlanSection>,
    plan: &Plan,
    open: &[OpenInterval],
) {
    let needed = total_soak(plan.waves.iter().filter(|wave| wave.on_close != OnClose::Finish));
    let available: Micros = open.iter().map(OpenInterval::duration).sum();
    if needed > available {
        let needed = duration_text(needed);
        let available = duration_text(available);
        let longest = duration_text(plan.longest);
        errors.reject(
            plan_section,
            format!("plan: the soaks need {needed} of open windows, there are {available} within {longest}"),
        );
    }
}

fn total_soak<'a>(waves: impl Iterator<Item = &'a Wave>) -> Micros {
    waves.map(|wave| wave.soak).sum()
}
