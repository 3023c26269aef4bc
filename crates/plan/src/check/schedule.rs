//! Validates that the soaks of the waves fit into the open time before the maximum duration of the release.

use crate::calendar::OpenInterval;
use crate::duration_text::duration_text;
use crate::script_errors::ScriptErrors;
use crate::sections::{PlanSection, Sections};
use crate::{Micros, OnClose, Plan, Wave};
use violetseam_starlark_config::{Located, ScriptError};

/// Checks the soaks against the maximum duration of the release and the open windows, for a release that is
/// offered at the time `at`.
pub(super) fn check_schedule(errors: &mut ScriptErrors, sections: &Sections, plan: &Plan, at: Micros) {
    let Some(plan_section) = sections.plan.first() else { return };
    let longest = duration_text(plan.longest);
    let soak_sum = total_soak(plan.waves.iter());
    if soak_sum > plan.longest {
        let soak_sum = duration_text(soak_sum);
        errors.reject(plan_section, format!("plan: the soaks take {soak_sum}, longest is {longest}"));
        return;
    }
    let open_intervals = plan.calendar.open_intervals(at, at.saturating_add(plan.longest));
    if open_intervals.is_empty() {
        let location = sections.windows.first().map_or(&plan_section.location, |window| &window.location);
        let reason = format!("no window opens within the plan's {longest}");
        errors.add(ScriptError::invalid(location, reason));
        return;
    }
    check_soaks_within_one_window(errors, sections, plan, &open_intervals);
    check_soaks_within_all_windows(errors, plan_section, plan, &open_intervals);
}

/// Checks that the soak of each wave that is rolled back when its window closes is shorter than the longest
/// open interval. Such a wave begins in a window and must complete its soak before the window closes.
fn check_soaks_within_one_window(
    errors: &mut ScriptErrors,
    sections: &Sections,
    plan: &Plan,
    open_intervals: &[OpenInterval],
) {
    let longest_open = open_intervals.iter().map(OpenInterval::duration).max().unwrap_or(0);
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

/// Checks that the open intervals are long enough for the soaks of all waves together, because a soak only
/// proceeds while the calendar is open. Waves that continue to soak after their window has closed are an
/// exception and are not counted.
fn check_soaks_within_all_windows(
    errors: &mut ScriptErrors,
    plan_section: &Located<PlanSection>,
    plan: &Plan,
    open_intervals: &[OpenInterval],
) {
    let needed = total_soak(plan.waves.iter().filter(|wave| wave.on_close != OnClose::Finish));
    let available: Micros = open_intervals.iter().map(OpenInterval::duration).sum();
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
