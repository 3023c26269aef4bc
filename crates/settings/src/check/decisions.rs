//! Conversion of validated sections to the balancer's settings.

use super::{SingleSections, value_or_default};
use crate::collect::Sections;
use crate::sections::{
    ContractSection, DedupGroupName, GateName, IdempotencyName, LimitsSection, RequestClassSection,
    RolloutSection, TenantSection,
};
use violetseam::interface;
use violetseam_starlark_config::ScriptDuration;

/// Converts the sections to the balancer's settings. The sections must have been validated.
pub(super) fn balancer_settings(sections: &Sections, single: &SingleSections<'_>) -> interface::Settings {
    let fleet = &single.fleet.value;
    let limits = value_or_default(single.limits);
    let has_peers = single.peers.is_some();
    interface::Settings {
        classes: sections.classes.iter().map(|class| request_class(&class.value)).collect(),
        tenants: sections.tenants.iter().map(|section| tenant(&section.value)).collect(),
        rollout: rollout(&single.rollout.value),
        limits: attempt_limits(&limits, has_peers),
        rules: service_rules(&single.contract.value),
        // The balancer always subscribes to the server list, and reopens a watch that breaks.
        subscribes_to_list: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits.tick.as_micros(),
        over_quota_weight: limits.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}

fn tenant(section: &TenantSection) -> interface::Tenant {
    interface::Tenant { quota_per_s: section.quota }
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

fn attempt_limits(section: &LimitsSection, has_peers: bool) -> interface::Limits {
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

fn service_rules(section: &ContractSection) -> interface::ServiceRules {
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
