//! The engine without sockets: a stalled event loop, and the guarantees that hold whatever the decision
//! module does.

use std::collections::BTreeMap;
use violetseam::interface::*;
use violetseam_fleet_state::fleet_quotas::{FleetQuotas, QuotaPlan};
use violetseam_proxy::engine::{Engine, EngineAction, LocalResponse};

const MS: Micros = 1_000;

fn settings() -> Settings {
    let class = |idempotency| RequestClass {
        latency_objective: 300 * MS,
        deadline: 1_000 * MS,
        idempotency,
        dedup_window: 500 * MS,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            ..Limits::default()
        },
        rules: ServiceRules {
            deadline_grace: 20 * MS,
            poll_interval_max: 10_000 * MS,
            slow_start_floor: 1.0,
            ..ServiceRules::default()
        },
        fleet_size: 1,
        tick: 5 * MS,
        subscribes_to_list: true,
        ..Settings::default()
    }
}

/// An engine with `server_count` ready servers, whose ids count from 1.
fn engine(server_count: u64) -> Engine {
    let mut engine = Engine::new(settings(), 5, None);
    let entry = |id| ServerEntry {
        id,
        zone: 0,
        build: 1,
        cell: 0,
        status: ServerStatus::Ready,
        size: 1.0,
        started_at: 0,
    };
    let entries: Vec<ServerEntry> = (1..=server_count).map(entry).collect();
    engine.on_server_list(1_000 * MS, ListKind::Full, &entries);
    engine
}

/// A request of a class that arrives at `now`, with a deadline one second later.
fn request(now: Micros, class: usize) -> Request {
    Request { deadline: now + 1_000 * MS, class, ..Request::default() }
}

/// Takes all actions that the engine has queued.
fn take_actions(engine: &mut Engine) -> Vec<EngineAction> {
    std::iter::from_fn(|| engine.next_action()).collect()
}

#[test]
fn after_a_stall_a_thousand_overdue_requests_each_get_one_response() {
    let mut engine = engine(20);
    // No server responds. Then the event loop stalls until 700 ms after the first request's deadline.
    for n in 0..1_000 {
        let now = 1_100 * MS + n * 100;
        engine.on_request(now, request(now, (n % 2) as usize), true);
    }
    take_actions(&mut engine);
    let now = 1_100 * MS + 1_700 * MS;
    engine.run_deadlines(now);
    let mut responses_by_request: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut started_after_response = 0;
    for action in take_actions(&mut engine) {
        match action {
            EngineAction::Respond { request, .. } => *responses_by_request.entry(request).or_default() += 1,
            EngineAction::StartAttempt { request, .. } if responses_by_request.contains_key(&request) => {
                started_after_response += 1;
            }
            _ => {}
        }
    }
    assert_eq!(
        (responses_by_request.len(), responses_by_request.values().all(|n| *n == 1), started_after_response),
        (1_000, true, 0)
    );
    assert_eq!((engine.in_flight(), engine.pending_responses()), (0, 0));
}

#[test]
fn deadlines_run_in_the_order_in_which_they_came_due() {
    let mut engine = engine(1);
    let first = engine.on_request(1_100 * MS, Request { deadline: 1_400 * MS, ..request(0, 1) }, true);
    let second = engine.on_request(1_101 * MS, Request { deadline: 1_300 * MS, ..request(0, 1) }, true);
    take_actions(&mut engine);
    engine.run_deadlines(3_000 * MS);
    let responded = take_actions(&mut engine).into_iter().filter_map(|action| match action {
        EngineAction::Respond { request, .. } => Some(request),
        _ => None,
    });
    assert_eq!(responded.collect::<Vec<_>>(), [second, first]);
}

#[test]
fn an_attempt_ends_once_and_a_late_response_is_discarded() {
    let mut engine = engine(2);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 1), true);
    assert!(
        take_actions(&mut engine).contains(&EngineAction::StartAttempt {
            request: id,
            attempt: 0,
            server: 1
        }) || engine.is_attempt_pending(id, 0)
    );
    engine.run_deadlines(2_200 * MS);
    assert!(matches!(
        take_actions(&mut engine).iter().find(|action| matches!(action, EngineAction::Respond { .. })),
        Some(EngineAction::Respond { response: LocalResponse::Failed { timed_out: true }, .. })
    ));
    assert!(!engine.on_attempt_ended(2_201 * MS, id, 0, Outcome::Ok));
    assert_eq!((engine.counts().failed, engine.counts().served), (1, 0));
}

#[test]
fn a_request_whose_body_cannot_be_sent_again_gets_no_second_attempt_and_a_response_at_once() {
    let mut engine = engine(3);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    engine.mark_not_repeatable(id);
    take_actions(&mut engine);
    engine.on_attempt_ended(1_150 * MS, id, 0, Outcome::Reset);
    let after = take_actions(&mut engine);
    assert!(!after.iter().any(|action| matches!(action, EngineAction::StartAttempt { .. })), "{after:?}");
    assert!(after.iter().any(|action| matches!(action, EngineAction::Respond { .. })), "{after:?}");
    assert_eq!(engine.in_flight(), 0);
}

#[test]
fn a_started_stream_does_not_time_out_and_its_reset_ends_the_request() {
    let mut engine = engine(3);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    take_actions(&mut engine);
    assert!(engine.on_stream_started(1_110 * MS, id, 0));
    engine.run_deadlines(5_000 * MS);
    assert!(
        !take_actions(&mut engine)
            .iter()
            .any(|action| matches!(action, EngineAction::CloseAttempt { .. } | EngineAction::Respond { .. }))
    );
    assert!(
        !engine.on_attempt_ended(5_001 * MS, id, 0, Outcome::Reset),
        "the rest of a broken stream cannot be delivered"
    );
    assert_eq!((engine.in_flight(), engine.counts().failed), (0, 1));
}

#[test]
fn only_delivered_answers_can_be_reported_wrong_and_only_once() {
    let mut engine = engine(1);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    engine.record_delivered_answer(id, 0, 77);
    assert!(engine.on_attempt_ended(1_120 * MS, id, 0, Outcome::Ok));
    engine.record_delivered_answer(id, 0, 78);
    assert!(engine.on_answer_reported(1_200 * MS, 77));
    assert!(!engine.on_answer_reported(1_200 * MS, 77) && !engine.on_answer_reported(1_200 * MS, 78));
}

/// One class has a budget of two retries a second, in a fleet of one. The servers reset every attempt.
#[test]
fn retries_need_budget_and_requests_without_budget_still_get_a_response() {
    let mut engine = engine(6);
    let plan = QuotaPlan {
        members: 1,
        position: 0,
        quota_by_class: vec![2_000, 0],
        guaranteed_percent: 25,
        lease_duration: 1_000 * MS,
        max_drift_ppm: 0,
        burst: 2_000 * MS,
    };
    engine.set_budgets(2_000 * MS, FleetQuotas::new(2_000 * MS, plan, 1));
    let (mut retry_times, mut response_count, mut received) = (Vec::new(), 0, 0);
    for step in 0..1_000 {
        let now = 2_000 * MS + step * 10 * MS;
        engine.run_deadlines(now);
        engine.on_request(now, request(now, 0), true);
        received += 1;
        let mut queue = take_actions(&mut engine);
        while let Some(action) = queue.pop() {
            match action {
                EngineAction::StartAttempt { request, attempt, .. } => {
                    retry_times.extend((attempt > 0).then_some(now));
                    engine.on_attempt_ended(now, request, attempt, Outcome::Reset);
                    queue.extend(take_actions(&mut engine));
                }
                EngineAction::Respond { .. } => response_count += 1,
                _ => {}
            }
        }
    }
    // 10 s at two retries a second, and a burst of two seconds. Requests ask for more than that all the time.
    assert!((16..=24).contains(&retry_times.len()), "{}", retry_times.len());
    let in_a_second =
        |from: &Micros| retry_times.iter().filter(|at| (*from..from + 1_000 * MS).contains(at)).count();
    assert!(retry_times.iter().map(in_a_second).max() <= Some(6), "{retry_times:?}");
    let budget = engine.budgets(12_000 * MS)[0];
    assert_eq!(budget.spent, retry_times.len() as u64);
    assert!(budget.denied > 50, "{budget:?}");
    // No request waits for budget: each has its response by its deadline.
    engine.run_deadlines(13_500 * MS);
    response_count += take_actions(&mut engine)
        .iter()
        .filter(|action| matches!(action, EngineAction::Respond { .. }))
        .count();
    assert_eq!((response_count, engine.pending_responses()), (received, 0));
}
