//! What the decisions run by, from sections that were checked.

use crate::collect::Sections;
use crate::sections::{Contract, EffectName, Fleet, GateName, GroupName, Limits, RequestClass, Rollout};
use violetseam::interface as v;
use violetseam_script::Placed;

pub(super) fn decisions(
    s: &Sections,
    fleet: &Fleet,
    r: &Rollout,
    c: &Contract,
    limits: Option<&Placed<Limits>>,
    peers: bool,
) -> v::Settings {
    let limits = limits.map(|l| l.is.clone()).unwrap_or_default();
    let class = |c: &RequestClass| v::RequestClass {
        latency_objective: c.aim.0,
        deadline: c.deadline.0,
        idempotency: match c.effect {
            EffectName::Retryable => v::Idempotency::Idempotent,
            EffectName::Keyed => v::Idempotency::Keyed,
            EffectName::Fragile => v::Idempotency::NonIdempotent,
        },
        dedup_group: match c.group {
            GroupName::All => v::DedupGroup::All,
            GroupName::Zone => v::DedupGroup::Zone,
            GroupName::Cell => v::DedupGroup::Cell,
        },
        dedup_window: c.window.map_or(0, |w| w.0),
        priority_weight: c.worth,
        late_weight: c.late_worth,
        stream: c.stream,
    };
    v::Settings {
        classes: s.classes.iter().map(|c| class(&c.is)).collect(),
        tenants: s.tenants.iter().map(|t| v::Tenant { quota_per_s: t.is.quota }).collect(),
        rollout: v::Rollout {
            gate: match r.gate {
                GateName::Any => v::GateMode::Any,
                GateName::Share => v::GateMode::Share,
                GateName::Timer => v::GateMode::Timer,
            },
            in_place: r.in_place,
            stage_caps: r.stage_caps.clone(),
            idempotent_only_stages: r.guarded_stages,
            exposure_window: r.counted_over.0,
            exposure_slack: r.uncounted,
            exposure_per_class: r.per_class,
            sticky_to_new_build: r.one_way,
            vote_ttl: r.vote_ttl.0,
            vote_timeout: r.call_timeout.0,
            flag_share: r.flag_share,
            votes_to_promote: r.votes_on,
            votes_to_roll_back: r.votes_back,
            vote_rate_limit: r.vote_allowance,
        },
        limits: v::Limits {
            max_attempts: limits.max_attempts,
            hedging: limits.second_copies,
            cancel: limits.cancel,
            health_checks: false,
            gossip: limits.peer_messages && peers,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after.0,
        },
        rules: v::ServiceRules {
            deadline_grace: c.answer_grace.0,
            poll_interval_max: c.ask_within.0,
            slow_start_floor: c.cold_from,
            slow_start_span: c.cold_span.0,
            drain_grace: c.drain_grace.0,
            overload_multiple: c.fall_multiple,
            overload_span: c.fall_span.0,
        },
        // The roster is always asked: a watch that breaks is the decisions' to open again.
        subscribes_to_list: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits.tick.0,
        over_quota_weight: limits.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}
