//! The settings of the decisions, from sections that were checked.

use crate::collect::Sections;
use crate::sections::{Contract, EffectName, Fleet, GateName, GroupName, Limits, RequestClass, Rollout};
use violetseam::interface as decision;
use violetseam_starlark_config::Placed;

pub(super) fn decisions(
    sections: &Sections,
    fleet: &Fleet,
    rollout_section: &Rollout,
    contract: &Contract,
    limits_section: Option<&Placed<Limits>>,
    peers: bool,
) -> decision::Settings {
    let limits_section = limits_section.map(|section| section.is.clone()).unwrap_or_default();
    let tenants = sections.tenants.iter().map(|tenant| decision::Tenant { quota_per_s: tenant.is.quota });
    decision::Settings {
        classes: sections.classes.iter().map(|class| request_class(&class.is)).collect(),
        tenants: tenants.collect(),
        rollout: rollout(rollout_section),
        limits: limits(&limits_section, peers),
        rules: rules(contract),
        // The list is always subscribed to: a watch that breaks is the decisions' to open again.
        subscribes_to_list: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits_section.tick.0,
        over_quota_weight: limits_section.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}

fn request_class(section: &RequestClass) -> decision::RequestClass {
    decision::RequestClass {
        latency_objective: section.aim.0,
        deadline: section.deadline.0,
        idempotency: match section.effect {
            EffectName::Retryable => decision::Idempotency::Idempotent,
            EffectName::Keyed => decision::Idempotency::Keyed,
            EffectName::Fragile => decision::Idempotency::NonIdempotent,
        },
        dedup_group: match section.group {
            GroupName::All => decision::DedupGroup::All,
            GroupName::Zone => decision::DedupGroup::Zone,
            GroupName::Cell => decision::DedupGroup::Cell,
        },
        dedup_window: section.window.map_or(0, |window| window.0),
        priority_weight: section.worth,
        late_weight: section.late_worth,
        stream: section.stream,
    }
}

fn rollout(section: &Rollout) -> decision::Rollout {
    decision::Rollout {
        gate: match section.gate {
            GateName::Any => decision::GateMode::Any,
            GateName::Share => decision::GateMode::Share,
            GateName::Timer => decision::GateMode::Timer,
        },
        in_place: section.in_place,
        stage_caps: section.stage_caps.clone(),
        idempotent_only_stages: section.guarded_stages,
        exposure_window: section.counted_over.0,
        exposure_slack: section.uncounted,
        exposure_per_class: section.per_class,
        sticky_to_new_build: section.one_way,
        vote_ttl: section.vote_ttl.0,
        vote_timeout: section.call_timeout.0,
        flag_share: section.flag_share,
        votes_to_promote: section.votes_on,
        votes_to_roll_back: section.votes_back,
        vote_rate_limit: section.vote_allowance,
    }
}

fn limits(section: &Limits, peers: bool) -> decision::Limits {
    decision::Limits {
        max_attempts: section.max_attempts,
        hedging: section.second_copies,
        cancel: section.cancel,
        health_checks: false,
        gossip: section.peer_messages && peers,
        retry_after: section.retry_after,
        max_retry_after: section.max_retry_after.0,
    }
}

fn rules(section: &Contract) -> decision::ServiceRules {
    decision::ServiceRules {
        deadline_grace: section.answer_grace.0,
        poll_interval_max: section.ask_within.0,
        slow_start_floor: section.cold_from,
        slow_start_span: section.cold_span.0,
        drain_grace: section.drain_grace.0,
        overload_multiple: section.fall_multiple,
        overload_span: section.fall_span.0,
    }
}
