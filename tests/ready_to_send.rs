//! Attempts that can be sent only some time after they were started. They are cancelled if the rules no
//! longer allow them, and what was reserved for a cancelled attempt is released.

mod common;
use common::*;
use proptest::prelude::*;
use violetseam::interface::*;
use violetseam::state::ExposureCounter;

const RELEASED: ReleaseStatus = ReleaseStatus { build: 1, stage: 3, phase: Phase::Released, cap: 1.0 };

/// Reports that the attempt can be sent now, and returns whether the balancer cancels it.
fn ready_is_cancelled(harness: &mut Harness, request: RequestId, attempt: usize) -> bool {
    let actions = harness.feed(Event::ReadyToSend { request, attempt });
    let cancels_attempt = |a: &Action| *a == Action::CancelBeforeSend { request, attempt };
    assert_eq!(sends(&actions), [], "another attempt was started before the cancelled one had ended");
    actions.iter().any(cancels_attempt)
}

/// Checks that the attempt is cancelled before it is sent, ends it, and returns the actions that follow its
/// end.
fn end_cancelled(harness: &mut Harness, request: RequestId, attempt: usize, server: ServerId) -> Vec<Action> {
    assert!(ready_is_cancelled(harness, request, attempt));
    harness.end_attempt(request, attempt, server, Outcome::CancelledBeforeSend, MS)
}

fn update_list(harness: &mut Harness, entries: &[ServerEntry]) {
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries });
}

#[test]
fn an_attempt_is_sent_if_nothing_has_changed() {
    let mut harness = Harness::new(settings(), &server_list(2, 2), release_status(2, 2, Phase::Trial, 0.5));
    for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
        for _ in 0..20 {
            let (id, actions) = harness.request_with_key(class, Some(7));
            harness.advance(5 * MS);
            assert!(!ready_is_cancelled(&mut harness, id, 0), "class {class}");
            harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::Ok, 5 * MS);
        }
    }
}

/// If each attempt is reported as ready to be sent right after it was started, all later decisions stay the
/// same: exposure, trial credit, sticky keys and the budgets of cold servers.
#[test]
fn ready_to_send_events_alone_change_no_later_decision() {
    let run = |with_ready_events: bool| {
        let mut settings = settings();
        settings.rollout.sticky_to_new_build = true;
        let mut harness = Harness::new(settings, &server_list(4, 4), release_status(2, 2, Phase::Trial, 0.5));
        let mut targets = Vec::new();
        for n in 0..3_000u64 {
            if n % 500 == 0 {
                let restarted = ServerEntry { started_at: harness.now, ..server(100 + n / 500 % 4, 2) };
                update_list(&mut harness, &[restarted]);
            }
            let (id, actions) = harness
                .request_with_key([IDEMPOTENT, KEYED, NON_IDEMPOTENT][n as usize % 3], Some(n * 7919 % 97));
            for (_, to) in sends(&actions) {
                assert!(!with_ready_events || !ready_is_cancelled(&mut harness, id, 0));
                targets.push(to);
                harness.advance(5 * MS);
                harness.end_attempt(
                    id,
                    0,
                    to,
                    if n % 9 == 0 { Outcome::Rejected } else { Outcome::Ok },
                    5 * MS,
                );
            }
            harness.feed(Event::ClientDisconnected { request: id });
        }
        targets
    };
    let (without, with) = (run(false), run(true));
    let to_trial = |targets: &[ServerId]| targets.iter().filter(|to| **to >= 100).count();
    assert!(
        to_trial(&without) > 300 && without.len() > 2_000,
        "{} of {} attempts at the trial build",
        to_trial(&without),
        without.len()
    );
    assert!(
        without == with,
        "decisions differ: {} attempts at the trial build without the events, {} of {} with them",
        to_trial(&without),
        to_trial(&with),
        with.len()
    );
}

/// The server has meanwhile started to drain, been removed, been listed with another build or restarted.
/// Another server replaces it without a charge to the retry budget.
#[test]
fn an_attempt_is_cancelled_and_replaced_if_its_server_has_changed() {
    let changes = [
        |e: ServerEntry, _: Micros| ServerEntry { status: ServerStatus::Draining, ..e },
        |e, _| ServerEntry { status: ServerStatus::Removed, ..e },
        |e, _| ServerEntry { build: 2, ..e },
        |e, now| ServerEntry { started_at: now, ..e },
    ];
    for (n, change) in changes.into_iter().enumerate() {
        let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
        let (id, actions) = harness.request(NON_IDEMPOTENT);
        let first = sends(&actions)[0].1;
        let now = harness.now;
        update_list(&mut harness, &[change(server(first, 1), now), server(50, 1)]);
        let next = end_cancelled(&mut harness, id, 0, first);
        assert_eq!(sends(&next), [(id, 50)], "change {n}");
        assert!(!ready_is_cancelled(&mut harness, id, 1), "change {n}");
    }
}

#[test]
fn a_key_that_the_new_build_has_answered_meanwhile_goes_to_it() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(1, 0), release_status(2, 2, Phase::Trial, 1.0));
    let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
    let earlier = sends(&actions)[0].1;
    update_list(&mut harness, &[server(100, 2)]);
    // The new build answers another request with the same key.
    for _ in 0..50 {
        let (other, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
        let to = sends(&actions)[0].1;
        harness.end_attempt(other, 0, to, if to == 100 { Outcome::Ok } else { Outcome::Rejected }, MS);
        harness.feed(Event::ClientDisconnected { request: other });
        if to == 100 {
            break;
        }
    }
    assert_eq!(sends(&end_cancelled(&mut harness, id, 0, earlier)), [(id, 100)]);
}

/// The budget of a cold server counts only attempts that were sent. A cancelled attempt was never sent to it.
#[test]
fn a_cancelled_attempt_does_not_use_up_the_budget_of_a_cold_server() {
    let sends_to_cold_server = |cancel_first: bool| {
        let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
        harness.run_traffic(&[IDEMPOTENT], 400, |_, _| (Outcome::Ok, 20 * MS));
        let cold = ServerEntry { started_at: harness.now, ..server(50, 1) };
        update_list(&mut harness, &[cold]);
        let mut sent = 0;
        for n in 0..2_000 {
            let (id, actions) = harness.request(IDEMPOTENT);
            for (_, to) in sends(&actions) {
                if to == 50 && cancel_first && n < 1_000 {
                    // The server is listed as draining for a moment, just when the attempt can be sent.
                    update_list(&mut harness, &[ServerEntry { status: ServerStatus::Draining, ..cold }]);
                    end_cancelled(&mut harness, id, 0, 50);
                    update_list(&mut harness, &[cold]);
                } else {
                    sent += usize::from(to == 50 && n >= 1_000);
                    harness.end_attempt(id, 0, to, Outcome::Ok, 20 * MS);
                }
            }
            harness.feed(Event::ClientDisconnected { request: id });
        }
        sent
    };
    assert!(
        sends_to_cold_server(true) > sends_to_cold_server(false),
        "{} attempts after cancelled ones, {} without",
        sends_to_cold_server(true),
        sends_to_cold_server(false)
    );
}

/// With a cap of almost 0, only the slack of the exposure rule, two attempts, fits into a window. A third
/// attempt fits once one of the two has been cancelled, and a fourth does not.
#[test]
fn exposure_of_a_cancelled_attempt_is_released_once() {
    let mut harness = Harness::new(settings(), &server_list(0, 3), release_status(2, 1, Phase::Trial, 1e-6));
    let send_request = |harness: &mut Harness| {
        let (id, actions) = harness.request(IDEMPOTENT);
        sends(&actions).first().map(|send| (id, send.1))
    };
    let (first, second) = (send_request(&mut harness).unwrap(), send_request(&mut harness).unwrap());
    harness.now += MS;
    assert_eq!(send_request(&mut harness), None);
    // An attempt that is reported as ready and not cancelled still counts once.
    assert!(!ready_is_cancelled(&mut harness, first.0, 0));
    assert_eq!(send_request(&mut harness), None);
    let draining: Vec<ServerEntry> =
        server_list(0, 3).iter().map(|e| ServerEntry { status: ServerStatus::Draining, ..*e }).collect();
    update_list(&mut harness, &draining);
    end_cancelled(&mut harness, second.0, 0, second.1);
    update_list(&mut harness, &server_list(0, 3));
    assert!(send_request(&mut harness).is_some());
    assert_eq!(send_request(&mut harness), None);
}

#[test]
fn a_cancelled_retry_is_returned_to_the_retry_budget() {
    let count_retries = |cancel: bool| {
        let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
        let mut retries = 0;
        for _ in 0..8 {
            let (id, actions) = harness.request(IDEMPOTENT);
            let retry = harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::ConnectFailed, MS);
            if let [(_, to)] = sends(&retry)[..] {
                retries += 1;
                if cancel {
                    update_list(
                        &mut harness,
                        &[ServerEntry { status: ServerStatus::Draining, ..server(to, 1) }],
                    );
                    // The client disconnects first, so that no other attempt replaces the cancelled one.
                    harness.feed(Event::ClientDisconnected { request: id });
                    harness.end_attempt(id, 1, to, Outcome::CancelledBeforeSend, MS);
                    update_list(&mut harness, &[server(to, 1)]);
                }
            }
            harness.feed(Event::ClientDisconnected { request: id });
        }
        retries
    };
    assert_eq!((count_retries(true), count_retries(false)), (8, 4));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Compares the counter with a direct count over every span. Attempts that were removed are in no
    /// span, whatever happened since. Each request earns a quarter of an attempt, and the results must be
    /// equal.
    #[test]
    fn released_exposure_counts_as_if_the_attempt_had_never_been_made(
        steps in proptest::collection::vec(0u8..8, 1..120),
    ) {
        const SPAN: Micros = 20;
        let (mut exposure, mut now) = (ExposureCounter::default(), 0);
        // The recorded changes by time: 1 for each attempt, -0.25 for each request.
        let mut changes: Vec<(Micros, f64)> = Vec::new();
        for step in steps {
            now += 1;
            match step {
                0..=2 => {
                    exposure.record_attempt(now, 2 * SPAN);
                    changes.push((now, 1.0));
                }
                3 | 4 => {
                    exposure.add_allowance(0.25);
                    changes.push((now, -0.25));
                }
                5 | 6 => {
                    // Removes the newest (step 5) or the second newest (step 6) of the recent attempts.
                    let recent: Vec<usize> = (0..changes.len())
                        .rev()
                        .filter(|&i| changes[i].1 > 0.0 && changes[i].0 + SPAN >= now)
                        .collect();
                    if let Some(&index) = recent.get(usize::from(step - 5)) {
                        exposure.remove_attempt(changes[index].0);
                        changes.remove(index);
                    }
                }
                _ => {}
            }
            // The largest count after one more attempt, over the spans that end now and begin just before a
            // change or now.
            let starts = changes.iter().map(|change| change.0).filter(|at| at + SPAN >= now).chain([now + 1]);
            let count_from = |from: Micros|
                1.0 + changes.iter().filter(|change| change.0 >= from).map(|change| change.1).sum::<f64>();
            let expected = starts.map(count_from).fold(f64::MIN, f64::max);
            let actual = exposure.max_excess_after_attempt(now, SPAN);
            prop_assert!((actual - expected).abs() < 1e-9, "{actual} instead of {expected} at {now}");
        }
    }
}
