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
    let class = |c: &RequestClass| v::Class {
        aim: c.aim.0,
        deadline: c.deadline.0,
        effect: match c.effect {
            EffectName::Retryable => v::Effect::Retryable,
            EffectName::Keyed => v::Effect::Deduplicated,
            EffectName::Fragile => v::Effect::Fragile,
        },
        group: match c.group {
            GroupName::All => v::DedupGroup::All,
            GroupName::Zone => v::DedupGroup::Zone,
            GroupName::Cell => v::DedupGroup::Cell,
        },
        dedup_window: c.window.map_or(0, |w| w.0),
        worth: c.worth,
        late_worth: c.late_worth,
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
            stage_cap: r.stage_caps.clone(),
            guarded_stages: r.guarded_stages,
            counted_over: r.counted_over.0,
            uncounted: r.uncounted,
            per_class: r.per_class,
            one_way: r.one_way,
            vote_ttl: r.vote_ttl.0,
            call_timeout: r.call_timeout.0,
            flag_share: r.flag_share,
            votes_on: r.votes_on,
            votes_back: r.votes_back,
            vote_allowance: r.vote_allowance,
        },
        limits: v::Limits {
            max_attempts: limits.max_attempts,
            second_copies: limits.second_copies,
            cancel: limits.cancel,
            probes: false,
            peer_messages: limits.peer_messages && peers,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after.0,
        },
        contract: v::Contract {
            answer_grace: c.answer_grace.0,
            ask_within: c.ask_within.0,
            cold_from: c.cold_from,
            cold_span: c.cold_span.0,
            drain_grace: c.drain_grace.0,
            fall_multiple: c.fall_multiple,
            fall_span: c.fall_span.0,
        },
        // The roster is always asked: a watch that breaks is the decisions' to open again.
        list_on_request: true,
        fleet_size: fleet.size,
        position: fleet.position,
        zone: fleet.zone,
        tick: limits.tick.0,
        over_share_worth: limits.over_share_worth,
        sizes_known: fleet.sizes_known,
    }
}
