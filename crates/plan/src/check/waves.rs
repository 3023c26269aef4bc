//! Validation of the names, caps, places and gates of waves.

use super::{can_be_accepted_in_time, is_nonzero_share, is_valid_name};
use crate::duration_text::duration_text;
use crate::script_errors::ScriptErrors;
use crate::sections::WaveSection;
use crate::{Gate, Plan, Wave};
use violetseam_starlark_config::Located;

/// Checks each wave by itself and against the one before it, and that the last wave includes all places. The
/// waves of the plan must have been built from these sections in the same order.
pub(super) fn check_waves(errors: &mut ScriptErrors, sections: &[Located<WaveSection>], plan: &Plan) {
    for (stage, section) in sections.iter().enumerate() {
        WaveCheck { errors, sections, section, stage, plan }.check();
    }
    if let (Some(last), Some(section)) = (plan.waves.last(), sections.last()) {
        let missing = (plan.fleet.places as usize).saturating_sub(last.places.len());
        if missing > 0 {
            let name = &last.name;
            errors.reject(
                section,
                format!("wave {name:?}: the last wave leaves {missing} places without the build"),
            );
        }
    }
}

/// The check of one wave.
struct WaveCheck<'a> {
    errors: &'a mut ScriptErrors,
    sections: &'a [Located<WaveSection>],
    section: &'a Located<WaveSection>,
    stage: usize,
    plan: &'a Plan,
}

impl<'a> WaveCheck<'a> {
    fn check(mut self) {
        self.check_name();
        self.check_cap();
        self.check_growth();
        self.check_gate();
    }

    fn wave(&self) -> &'a Wave {
        &self.plan.waves[self.stage]
    }

    fn reject(&mut self, reason: impl std::fmt::Display) {
        let name = &self.plan.waves[self.stage].name;
        self.errors.reject(self.section, format!("wave {name:?}: {reason}"));
    }

    fn check_name(&mut self) {
        let name = &self.wave().name;
        if !is_valid_name(name) {
            self.reject("a name has 1 to 64 characters without spaces");
        }
        let mut earlier = self.sections[..self.stage].iter();
        if let Some(duplicate) = earlier.find(|section| section.value.name == *name) {
            self.reject(format!("there is one of this name at {}", duplicate.location));
        }
    }

    fn check_cap(&mut self) {
        let cap = self.wave().cap;
        if !is_nonzero_share(cap) {
            self.reject(format!("a cap is over 0 and at most 1, not {cap}"));
        }
        let stage = self.stage;
        let stage_caps = &self.plan.fleet.stage_caps;
        match stage_caps.get(stage) {
            None => self.reject(format!(
                "the proxies know {} stages: caps of later ones are not permitted",
                stage_caps.len()
            )),
            Some(max_cap) if cap > *max_cap => {
                self.reject(format!("cap {cap} over the {max_cap} that stage {stage} permits"));
            }
            Some(_) => {}
        }
    }

    /// Checks that a wave includes all places of the wave before it, and that its cap is not lower.
    fn check_growth(&mut self) {
        let Some(earlier_stage) = self.stage.checked_sub(1) else { return };
        let earlier = &self.plan.waves[earlier_stage];
        let wave = self.wave();
        let lost = earlier.places.difference(&wave.places).count();
        if lost > 0 {
            self.reject(format!("shrinks: {lost} places of wave {:?} are not in it", earlier.name));
        }
        if wave.cap < earlier.cap {
            self.reject(format!("cap {} under the {} of wave {:?}", wave.cap, earlier.cap, earlier.name));
        }
    }

    fn check_gate(&mut self) {
        let wave = self.wave();
        match wave.gate {
            Gate::Any => {}
            Gate::Share | Gate::Timer if !is_nonzero_share(wave.votes) => self.reject(format!(
                "votes of {} of the proxies cannot be cast: over 0 and at most 1",
                wave.votes
            )),
            Gate::Share => self.check_votes_in_time(),
            Gate::Timer if wave.soak == 0 => self.reject("a timer without a soak moves on at once"),
            Gate::Timer => {}
        }
    }

    fn check_votes_in_time(&mut self) {
        let needed = self.plan.votes_for_share(self.wave().votes);
        if !can_be_accepted_in_time(self.plan, needed) {
            let rate = self.plan.fleet.votes_per_s;
            let ttl = duration_text(self.plan.fleet.vote_ttl);
            self.reject(format!("{needed} votes at {rate} a second are not there within a vote's {ttl}"));
        }
    }
}
