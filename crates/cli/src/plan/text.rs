//! Plain-text output of plans and simulated releases.

use violetseam_plan::{Micros, Plan, Wave};
use violetseam_plan_simulation::SimulationRun;

const MICROS_PER_SECOND: Micros = 1_000_000;
/// The maximum number of the calendar's open windows that are printed.
const MAX_PRINTED_WINDOWS: usize = 20;

/// Prints a plan and the windows in which its calendar is open, counted from the time of submission.
pub fn print_plan(plan: &Plan, submitted_at: Micros) {
    println!("{}: build {}, at most {}", plan.name, plan.build, duration_text(plan.longest));
    for (stage, wave) in plan.waves.iter().enumerate() {
        print_wave(plan, stage, wave);
    }
    for permission in &plan.overrides {
        println!("  {} may {:?}", permission.who, permission.may);
    }
    println!("  open windows, counted from the time of submission:");
    let windows = plan.calendar.open_intervals(submitted_at, submitted_at + plan.longest);
    for window in windows.into_iter().take(MAX_PRINTED_WINDOWS) {
        let start = duration_text(window.start - submitted_at);
        let end = duration_text(window.end - submitted_at);
        println!("    +{start} to +{end}");
    }
}

fn print_wave(plan: &Plan, stage: usize, wave: &Wave) {
    println!(
        "  stage {stage} {:?}: {} of {} places, cap {}, soak {}, gate {} \
         ({} votes; {} back), window closes: {}",
        wave.name,
        wave.places.len(),
        plan.fleet.places,
        wave.cap,
        duration_text(wave.soak),
        format!("{:?}", wave.gate).to_lowercase(),
        plan.deciding_votes(wave),
        plan.votes_to_roll_back(wave),
        format!("{:?}", wave.on_close).to_lowercase()
    );
    for hold in plan.holds.iter().filter(|hold| hold.before == wave.name) {
        let limit = match hold.at_most {
            Some(limit) => format!(", at most {}", duration_text(limit)),
            None => String::new(),
        };
        println!("    held before the wave; the hold ends by {:?}{limit}", hold.leave);
    }
    for sign_off in plan.sign_offs.iter().filter(|sign_off| sign_off.wave == wave.name) {
        let within = duration_text(sign_off.within);
        println!("    sign-off by {} of {:?} within {within}", sign_off.count, sign_off.by);
    }
}

/// Prints the timeline of a simulated release and its final status.
pub fn print_timeline(run: &SimulationRun) {
    for entry in &run.timeline {
        println!("+{}  {}", duration_text(entry.at), entry.text);
    }
    println!("end: {}", run.final_status);
}

/// Formats a duration as hours, minutes and seconds.
fn duration_text(micros: Micros) -> String {
    let seconds = micros / MICROS_PER_SECOND;
    format!("{}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}
