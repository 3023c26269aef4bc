//! Validation of the fleet that a plan is made for.

use super::{can_be_accepted_in_time, is_nonzero_share};
use crate::Plan;
use crate::duration_text::duration_text;
use crate::script_errors::ScriptErrors;
use crate::sections::FleetSection;
use std::ops::RangeInclusive;
use violetseam_starlark_config::Located;

/// Permitted numbers of proxies.
const PROXIES_BOUNDS: RangeInclusive<u32> = 1..=65_535;
/// Permitted numbers of places.
const PLACES_BOUNDS: RangeInclusive<u32> = 1..=20_000;

/// Validates the fleet, its groups, and that enough votes for a rollback can be valid at the same time.
pub(super) fn check_fleet(errors: &mut ScriptErrors, section: &Located<FleetSection>, plan: &Plan) {
    let fleet = &plan.fleet;
    if !PROXIES_BOUNDS.contains(&fleet.proxies) || !PLACES_BOUNDS.contains(&fleet.places) {
        errors.reject(section, "fleet: 1 to 65535 proxies and 1 to 20000 places");
    }
    if fleet.vote_ttl == 0 || fleet.launch == 0 {
        errors.reject(section, "fleet: vote_ttl and launch are over 0");
    }
    check_votes(errors, section, plan);
    check_groups(errors, section);
    if fleet.stage_caps.iter().any(|cap| !(0.0..=1.0).contains(cap)) {
        errors.reject(section, "fleet: caps are 0 to 1");
    }
}

fn check_votes(errors: &mut ScriptErrors, section: &Located<FleetSection>, plan: &Plan) {
    let fleet = &plan.fleet;
    if !is_nonzero_share(fleet.votes_back) {
        let share = fleet.votes_back;
        errors
            .reject(section, format!("fleet: {share} of the proxies cannot vote back: over 0 and at most 1"));
    }
    let is_rate_valid = fleet.votes_per_s > 0.0 && fleet.votes_per_s.is_finite();
    if !is_rate_valid {
        errors.reject(section, "fleet: votes_per_s is over 0");
        return;
    }
    let votes = plan.votes_for_share(fleet.votes_back);
    if !can_be_accepted_in_time(plan, votes) {
        let ttl = duration_text(fleet.vote_ttl);
        errors.reject(section, format!("fleet: {votes} 'back' votes are not taken within a vote's {ttl}"));
    }
}

fn check_groups(errors: &mut ScriptErrors, section: &Located<FleetSection>) {
    let FleetSection { groups, places, .. } = &section.value;
    for (name, group_places) in groups {
        let are_all_in_fleet = group_places.iter().all(|place| place < places);
        if group_places.is_empty() || !are_all_in_fleet {
            let last_place = places.saturating_sub(1);
            errors.reject(section, format!("fleet: group {name:?} has places from 0 to {last_place}"));
        }
    }
}
