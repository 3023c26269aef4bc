//! The engine without sockets: a loop that stood still, and what it guarantees whatever the module does.

use std::collections::BTreeMap;
use violetseam::interface::*;
use violetseam_fleet_state::fleet_quotas::{FleetQuotas, QuotaPlan};
use violetseam_proxy::engine::{Engine, EngineAction, LocalResponse};

const MS: Micros = 1_000;

fn settings() -> Settings {
    let class = |effect| RequestClass {
        latency_objective: 300 * MS,
        deadline: 1_000 * MS,
        idempotency: effect,
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

fn engine(servers: u64) -> Engine {
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
    let entries: Vec<ServerEntry> = (1..=servers).map(entry).collect();
    engine.on_server_list(1_000 * MS, ListKind::Full, &entries);
    engine
}

fn request(now: Micros, class: usize) -> Request {
    Request { deadline: now + 1_000 * MS, class, ..Request::default() }
}

fn actions(engine: &mut Engine) -> Vec<EngineAction> {
    std::iter::from_fn(|| engine.next_action()).collect()
}

#[test]
fn a_thousand_requests_due_in_one_tick_after_a_standstill_each_get_one_answer() {
    let mut engine = engine(20);
    // None of the servers answers; then the loop stands still for 700 ms past all that was due.
    for n in 0..1_000 {
        let now = 1_100 * MS + n * 100;
        engine.on_request(now, request(now, (n % 2) as usize), true);
    }
    actions(&mut engine);
    let now = 1_100 * MS + 1_700 * MS;
    engine.run_deadlines(now);
    let mut answers: BTreeMap<RequestId, usize> = BTreeMap::new();
    let mut answered_then_sent = 0;
    for action in actions(&mut engine) {
        match action {
            EngineAction::Respond { request, .. } => *answers.entry(request).or_default() += 1,
            EngineAction::StartAttempt { request, .. } if answers.contains_key(&request) => {
                answered_then_sent += 1;
            }
            _ => {}
        }
    }
    assert_eq!((answers.len(), answers.values().all(|n| *n == 1), answered_then_sent), (1_000, true, 0));
    assert_eq!((engine.in_flight(), engine.pending_responses()), (0, 0));
}

#[test]
fn deadlines_run_in_the_order_in_which_they_came_due() {
    let mut engine = engine(1);
    let first = engine.on_request(1_100 * MS, Request { deadline: 1_400 * MS, ..request(0, 1) }, true);
    let second = engine.on_request(1_101 * MS, Request { deadline: 1_300 * MS, ..request(0, 1) }, true);
    actions(&mut engine);
    engine.run_deadlines(3_000 * MS);
    let answered = actions(&mut engine).into_iter().filter_map(|o| match o {
        EngineAction::Respond { request, .. } => Some(request),
        _ => None,
    });
    assert_eq!(answered.collect::<Vec<_>>(), [second, first]);
}

#[test]
fn an_attempt_ends_once_and_a_late_answer_goes_to_nobody() {
    let mut engine = engine(2);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 1), true);
    assert!(
        actions(&mut engine).contains(&EngineAction::StartAttempt { request: id, attempt: 0, server: 1 })
            || engine.is_attempt_pending(id, 0)
    );
    engine.run_deadlines(2_200 * MS);
    assert!(matches!(
        actions(&mut engine).iter().find(|o| matches!(o, EngineAction::Respond { .. })),
        Some(EngineAction::Respond { response: LocalResponse::Failed { timed_out: true }, .. })
    ));
    assert!(!engine.on_attempt_ended(2_201 * MS, id, 0, Outcome::Ok));
    assert_eq!((engine.counts().failed, engine.counts().served), (1, 0));
}

#[test]
fn a_body_that_is_gone_gets_no_second_attempt_and_its_answer_at_once() {
    let mut engine = engine(3);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    engine.mark_not_repeatable(id);
    actions(&mut engine);
    engine.on_attempt_ended(1_150 * MS, id, 0, Outcome::Reset);
    let after = actions(&mut engine);
    assert!(!after.iter().any(|o| matches!(o, EngineAction::StartAttempt { .. })), "{after:?}");
    assert!(after.iter().any(|o| matches!(o, EngineAction::Respond { .. })), "{after:?}");
    assert_eq!(engine.in_flight(), 0);
}

#[test]
fn a_stream_is_the_clients_from_its_first_byte_and_its_break_ends_the_request() {
    let mut engine = engine(3);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    actions(&mut engine);
    assert!(engine.on_stream_started(1_110 * MS, id, 0));
    engine.run_deadlines(5_000 * MS);
    assert!(
        !actions(&mut engine)
            .iter()
            .any(|o| matches!(o, EngineAction::CloseAttempt { .. } | EngineAction::Respond { .. }))
    );
    assert!(!engine.on_attempt_ended(5_001 * MS, id, 0, Outcome::Reset), "nothing of it can be passed on");
    assert_eq!((engine.in_flight(), engine.counts().failed), (0, 1));
}

#[test]
fn answers_are_reported_wrong_once_and_only_those_passed_on() {
    let mut engine = engine(1);
    let id = engine.on_request(1_100 * MS, request(1_100 * MS, 0), true);
    engine.record_delivered_answer(id, 0, 77);
    assert!(engine.on_attempt_ended(1_120 * MS, id, 0, Outcome::Ok));
    engine.record_delivered_answer(id, 0, 78);
    assert!(engine.on_answer_reported(1_200 * MS, 77));
    assert!(!engine.on_answer_reported(1_200 * MS, 77) && !engine.on_answer_reported(1_200 * MS, 78));
}

/// One class has two further attempts a second in a fleet of one; servers reset every attempt.
#[test]
fn attempts_beyond_the_first_need_a_right_and_the_rest_end_with_their_answer() {
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
    let (mut further, mut answered, mut taken) = (Vec::new(), 0, 0);
    for step in 0..1_000 {
        let now = 2_000 * MS + step * 10 * MS;
        engine.run_deadlines(now);
        engine.on_request(now, request(now, 0), true);
        taken += 1;
        let mut todo = actions(&mut engine);
        while let Some(action) = todo.pop() {
            match action {
                EngineAction::StartAttempt { request, attempt, .. } => {
                    further.extend((attempt > 0).then_some(now));
                    engine.on_attempt_ended(now, request, attempt, Outcome::Reset);
                    todo.extend(actions(&mut engine));
                }
                EngineAction::Respond { .. } => answered += 1,
                _ => {}
            }
        }
    }
    // 10 s at two a second, and what two seconds may save up; asked for more than that all the while.
    assert!((16..=24).contains(&further.len()), "{}", further.len());
    let in_a_second =
        |from: &Micros| further.iter().filter(|at| (*from..from + 1_000 * MS).contains(at)).count();
    assert!(further.iter().map(in_a_second).max() <= Some(6), "{further:?}");
    let sight = engine.budgets(12_000 * MS)[0];
    assert_eq!(sight.spent, further.len() as u64);
    assert!(sight.denied > 50, "{sight:?}");
    // Nobody waits for a right: each request has its answer by its deadline.
    engine.run_deadlines(13_500 * MS);
    answered += actions(&mut engine).iter().filter(|o| matches!(o, EngineAction::Respond { .. })).count();
    assert_eq!((answered, engine.pending_responses()), (taken, 0));
}
