//! Plans and simulated releases as text.

use violetseam_plan::{Micros, Plan, Wave};
use violetseam_plan_simulation::Played;

const MICROS_PER_SECOND: Micros = 1_000_000;
/// How many of the calendar's open windows are printed.
const MAX_PRINTED_WINDOWS: usize = 20;

/// Prints a plan, with its windows from the moment of the offer on.
pub fn print_plan(plan: &Plan, offered_at: Micros) {
    println!("{}: build {}, at most {}", plan.name, plan.build, span_text(plan.longest));
    for (stage, wave) in plan.waves.iter().enumerate() {
        print_wave(plan, stage, wave);
    }
    for permission in &plan.overrides {
        println!("  {} may {:?}", permission.who, permission.may);
    }
    println!("  open, from the moment of the offer on:");
    let windows = plan.calendar.open_spans(offered_at, offered_at + plan.longest);
    for (from, to) in windows.into_iter().take(MAX_PRINTED_WINDOWS) {
        println!("    +{} to +{}", span_text(from - offered_at), span_text(to - offered_at));
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
        span_text(wave.soak),
        format!("{:?}", wave.gate).to_lowercase(),
        plan.votes_of(wave),
        plan.votes_back(wave),
        format!("{:?}", wave.on_close).to_lowercase()
    );
    for hold in plan.holds.iter().filter(|hold| hold.before == wave.name) {
        let limit = match hold.at_most {
            Some(limit) => format!(", at most {}", span_text(limit)),
            None => String::new(),
        };
        println!("    held before it, left by {:?}{limit}", hold.leave);
    }
    for sign_off in plan.sign_offs.iter().filter(|sign_off| sign_off.wave == wave.name) {
        let within = span_text(sign_off.within);
        println!("    approved by {} of {:?} within {within}", sign_off.count, sign_off.by);
    }
}

/// Prints what happened in a simulated release.
pub fn print_timeline(played: &Played) {
    for entry in &played.entries {
        println!("+{}  {}", span_text(entry.at), entry.text);
    }
    println!("end: {}", played.standing);
}

/// A span as hours, minutes and seconds.
fn span_text(micros: Micros) -> String {
    let seconds = micros / MICROS_PER_SECOND;
    format!("{}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}
