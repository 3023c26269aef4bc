//! Converts the parts of a bench file to the parts of a scenario, except for servers and faults.

use super::BenchScenarioError;
use super::format::{BenchClass, BenchDiscovery, BenchFile, BenchRelease, BenchRollout};
use violetseam_simulated_site::scenario::{
    BuildDefect, ClassSpec, Clients, DiscoveryDelays, GateMode, Idempotency, Release, Rollout, ServiceRules,
};

/// Time after its deadline within which a request may still be answered, in microseconds, as in the bench.
const DEADLINE_GRACE: u64 = 20_000;
/// Maximum time between two queries of the endpoint list, in microseconds, as in the bench.
const MAX_POLL_INTERVAL: u64 = 10_000_000;

pub(super) fn class(class: &BenchClass, notes: &mut Vec<String>) -> Result<ClassSpec, BenchScenarioError> {
    let idempotency = idempotency(class)?;
    if class.stream {
        notes.push(format!("class {:?} is played with complete responses instead of streams", class.name));
    }
    Ok(ClassSpec {
        name: class.name.clone(),
        share: class.share,
        work: class.work,
        cv: class.cv,
        latency_objective: class.aim,
        deadline: class.deadline,
        priority_weight: class.worth,
        late_weight: class.late_worth,
        idempotency,
        dedup_window: class.window,
    })
}

fn idempotency(class: &BenchClass) -> Result<Idempotency, BenchScenarioError> {
    match (class.effect.as_str(), class.group.as_str()) {
        ("safe", _) => Ok(Idempotency::Idempotent),
        ("keyed", "all") => Ok(Idempotency::KeyedAll),
        ("keyed", "zone") => Ok(Idempotency::KeyedZone),
        ("keyed", "cell") => Ok(Idempotency::KeyedCell),
        ("unsafe", _) => Ok(Idempotency::NonIdempotent),
        _ => Err(BenchScenarioError::UnknownEffect {
            class: class.name.clone(),
            effect: class.effect.clone(),
            group: class.group.clone(),
        }),
    }
}

pub(super) fn clients(file: &BenchFile, notes: &mut Vec<String>) -> Clients {
    let clients = &file.clients;
    if clients.backoff == "exp" {
        notes.push(
            "the exponential backoff of clients is played as a constant backoff of its first delay".into(),
        );
    }
    Clients {
        retries: clients.retries,
        attempt_timeout_share: clients.try_share,
        backoff: if clients.backoff == "none" { 0 } else { clients.backoff_us as u64 },
        retry_after_compliance: clients.honour,
        disconnect_share: clients.impatient,
        dead_proxy_detection: file.front_notice,
        own_proxy: file.entry == "own",
    }
}

pub(super) fn discovery_delays(discovery: &BenchDiscovery) -> DiscoveryDelays {
    DiscoveryDelays {
        startup_delay: discovery.add,
        drain_delay: discovery.notice,
        crash_delay: discovery.silent_notice,
    }
}

pub(super) fn release(release: &BenchRelease) -> Result<Release, BenchScenarioError> {
    let defect = match release.bad.as_str() {
        "" => None,
        "errors" => Some(BuildDefect::Errors),
        "slow" => Some(BuildDefect::Slow),
        "class" => Some(BuildDefect::ClassErrors(release.class)),
        "load" => Some(BuildDefect::UnderLoad),
        "late" => Some(BuildDefect::Delayed),
        "wrong" => Some(BuildDefect::WrongAnswers),
        "shared" => Some(BuildDefect::SlowsFleet),
        other => return Err(BenchScenarioError::UnknownDefect { defect: other.to_owned() }),
    };
    Ok(Release { at: release.at, defect, severity: release.strength, speed: release.speed })
}

pub(super) fn rollout(rollout: &BenchRollout) -> Result<Rollout, BenchScenarioError> {
    let gate = match rollout.control.as_str() {
        "any" => GateMode::Any,
        "share" => GateMode::Share,
        "timer" => GateMode::Timer,
        other => return Err(BenchScenarioError::UnknownGate { gate: other.to_owned() }),
    };
    let [votes_to_promote, votes_to_hold, votes_to_roll_back] = rollout.votes;
    Ok(Rollout {
        gate,
        keep_previous_build: rollout.beside,
        stages: rollout.stages.clone(),
        caps: rollout.caps.clone(),
        votes_to_promote,
        votes_to_hold,
        votes_to_roll_back,
        vote_lifetime: rollout.vote_life,
        bake: rollout.bake,
        stage_duration: rollout.step,
        startup_time: rollout.boot,
        drain_time: rollout.drain,
        resend_interval: rollout.push,
        status_delay: rollout.told_late,
        vote_latency: rollout.call as u64,
        vote_timeout: rollout.call_timeout,
        vote_rate_limit: rollout.calls_per_s,
        report_share: rollout.flag_share,
        report_delay: rollout.flag_late,
        false_report_share: rollout.false_flags,
        idempotent_only_stages: rollout.guarded,
        sticky_to_new_build: rollout.one_way,
        exposure_window: rollout.window,
        exposure_slack: rollout.free,
        exposure_per_class: rollout.by_class,
        first_build: rollout.first_build,
    })
}

pub(super) fn service_rules(file: &BenchFile) -> ServiceRules {
    let tier = &file.tiers[0];
    ServiceRules {
        deadline_grace: DEADLINE_GRACE,
        poll_interval_max: MAX_POLL_INTERVAL,
        slow_start_floor: tier.stated_cold_from,
        slow_start_span: tier.stated_cold,
        drain_grace: file.drain_grace,
        overload_multiple: file.fall_multiple,
        overload_span: file.fall_for,
        max_attempts: file.allow.max_attempts,
        hedging: file.allow.second_copies,
    }
}
