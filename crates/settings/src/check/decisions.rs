//! The balancer's settings, from sections that were checked.

use crate::collect::Sections;
use crate::sections::{
    ContractSection, DedupGroupName, FleetSection, GateName, IdempotencyName, LimitsSection,
    RequestClassSection, RolloutSection,
};
use violetseam::interface;
use violetseam_starlark_config::{Located, ScriptDuration};

/// The balancer's settings. The sections have passed their checks.
pub(super) fn balancer_settings(
    sections: &Sections,
    fleet: &FleetSection,
    rollout_section: &RolloutSection,
    contract: &ContractSection,
    limits_section: Option<&Located<LimitsSection>>,
    has_peers: bool,
) -> interface::Settings {
    let limits_section = limits_section.map(|section| section.value.clone()).unwrap_or_default();
    let tenants = sections.tenants.iter().map(|tenant| interface::Tenant { quota_per_s: tenant.value.quota });
    interface::Settings {
        classes: sections.classes.iter().map(|class| request_class(&class.value)).collect(),
        tenants: tenants.collect(),
        rollout: rollout(rollout_section),
        limits: limits(&limits_section, has_peers),
        rules: rules(contract),
        // The list is always subscribed to: the balancer opens a broken watch again.
        subscribes_to_list: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits_section.tick.as_micros(),
        over_quota_weight: limits_section.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}

fn request_class(section: &RequestClassSection) -> interface::RequestClass {
    interface::RequestClass {
        latency_objective: section.aim.as_micros(),
        deadline: section.deadline.as_micros(),
        idempotency: match section.effect {
            IdempotencyName::Idempotent => interface::Idempotency::Idempotent,
            IdempotencyName::Keyed => interface::Idempotency::Keyed,
            IdempotencyName::NonIdempotent => interface::Idempotency::NonIdempotent,
        },
        dedup_group: match section.group {
            DedupGroupName::All => interface::DedupGroup::All,
            DedupGroupName::Zone => interface::DedupGroup::Zone,
            DedupGroupName::Cell => interface::DedupGroup::Cell,
        },
        dedup_window: section.window.map_or(0, ScriptDuration::as_micros),
        priority_weight: section.worth,
        late_weight: section.late_worth,
        stream: section.stream,
    }
}

fn rollout(section: &RolloutSection) -> interface::Rollout {
    interface::Rollout {
        gate: match section.gate {
            GateName::Any => interface::GateMode::Any,
            GateName::Share => interface::GateMode::Share,
            GateName::Timer => interface::GateMode::Timer,
        },
        in_place: section.in_place,
        stage_caps: section.stage_caps.clone(),
        idempotent_only_stages: section.guarded_stages,
        exposure_window: section.counted_over.as_micros(),
        exposure_slack: section.uncounted,
        exposure_per_class: section.per_class,
        sticky_to_new_build: section.one_way,
        vote_ttl: section.vote_ttl.as_micros(),
        vote_timeout: section.call_timeout.as_micros(),
        flag_share: section.flag_share,
        votes_to_promote: section.votes_on,
        votes_to_roll_back: section.votes_back,
        vote_rate_limit: section.vote_allowance,
    }
}

fn limits(section: &LimitsSection, has_peers: bool) -> interface::Limits {
    interface::Limits {
        max_attempts: section.max_attempts,
        hedging: section.second_copies,
        cancel: section.cancel,
        health_checks: false,
        gossip: section.peer_messages && has_peers,
        retry_after: section.retry_after,
        max_retry_after: section.max_retry_after.as_micros(),
    }
}

fn rules(section: &ContractSection) -> interface::ServiceRules {
    interface::ServiceRules {
        deadline_grace: section.answer_grace.as_micros(),
        poll_interval_max: section.ask_within.as_micros(),
        slow_start_floor: section.cold_from,
        slow_start_span: section.cold_span.as_micros(),
        drain_grace: section.drain_grace.as_micros(),
        overload_multiple: section.fall_multiple,
        overload_span: section.fall_span.as_micros(),
    }
}
