//! The status description of the release for operators.

use super::Release;
use crate::plan_run::PlanHold;
use crate::trial::Trial;
use crate::{Announcement, Phase, Verdict};
use violetseam_plan::Gate;

impl Release {
    /// Describes the state of the release and what it waits for, in one line.
    pub fn describe(&self) -> String {
        let Announcement { build, stage, phase, cap } = self.announcement;
        let pending = self.pending_status();
        let Some(trial) = &self.trial else { return format!("build {build} runs everywhere{pending}") };
        let reason = trial.rollback_reason.as_deref().unwrap_or("");
        match phase {
            Phase::Trial => {
                let wave = &trial.current_wave().name;
                let missing = self.missing_for_next_wave(trial);
                let missing = if missing.is_empty() { "nothing".into() } else { missing.join(", ") };
                format!("build {build}: wave {wave:?} (stage {stage}), cap {cap}; lacks {missing}")
            }
            Phase::RollingBack => {
                let remaining = self.places.count_hosting(build);
                format!("build {build} goes back ({reason}): {remaining} places have it{pending}")
            }
            Phase::Released => format!("build {build} is released{pending}"),
            Phase::Withdrawn => {
                let previous = self.previous_build;
                format!("build {build} went back ({reason}), build {previous} runs{pending}")
            }
        }
    }

    /// Describes the plan that waits for its first wave; empty if none does.
    fn pending_status(&self) -> String {
        match &self.pending {
            Some(run) if !run.window_open => format!("; build {} waits for a window", run.plan.build),
            Some(run) => format!("; build {} waits", run.plan.build),
            None => String::new(),
        }
    }

    /// Lists what is missing before the build on trial can move to its next wave.
    fn missing_for_next_wave(&self, trial: &Trial) -> Vec<String> {
        let run = &trial.run;
        let wave = trial.current_wave();
        let mut missing = Vec::new();
        if trial.running_for.is_none() {
            missing.push("its places".to_owned());
        }
        if trial.soaked < wave.soak {
            missing.push(format!("{:.0} s of soak", (wave.soak - trial.soaked) as f64 / 1e6));
        }
        let votes = self.count_votes(Verdict::On);
        let needed = run.plan.deciding_votes(wave);
        if wave.gate != Gate::Timer && votes < needed {
            missing.push(format!("{} of {needed} votes", needed - votes));
        }
        if !run.window_open {
            missing.push("a window".into());
        }
        if run.operator_hold.is_some() {
            missing.push("an operator's resume".into());
        }
        if let Some(next) = run.plan.waves.get(trial.wave + 1) {
            let mut sign_offs = run.plan.sign_offs.iter().filter(|sign_off| sign_off.wave == next.name);
            if sign_offs.any(|sign_off| !run.is_approved(sign_off)) {
                missing.push(format!("approval of wave {:?}", next.name));
            }
            if matches!(run.plan_hold, Some(PlanHold::Active(_))) {
                missing.push("the end of a hold".into());
            }
        }
        missing
    }
}
