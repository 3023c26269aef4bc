//! Attempts that were decided a while ago and leave only now: what overtook them holds for them, and what they were
//! booked for is given back.

mod common;
use common::*;
use proptest::prelude::*;
use violetseam::interface::*;
use violetseam::state::ExposureCounter;

const RELEASED: ReleaseStatus = ReleaseStatus { build: 1, stage: 3, phase: Phase::Released, cap: 1.0 };

/// Whether the attempt is withheld.
fn withheld(harness: &mut Harness, request: RequestId, attempt: usize) -> bool {
    let actions = harness.feed(Event::ReadyToSend { request, attempt });
    let hit = |a: &Action| *a == Action::CancelBeforeSend { request, attempt };
    assert_eq!(sends(&actions), [], "what takes its place comes after its end");
    actions.iter().any(hit)
}

fn withhold(harness: &mut Harness, request: RequestId, attempt: usize, server: ServerId) -> Vec<Action> {
    assert!(withheld(harness, request, attempt));
    harness.end_attempt(request, attempt, server, Outcome::CancelledBeforeSend, MS)
}

fn relist(harness: &mut Harness, entries: &[ServerEntry]) {
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries });
}

#[test]
fn an_attempt_is_sent_if_nothing_has_changed() {
    let mut harness = Harness::new(settings(), &server_list(2, 2), release_status(2, 2, Phase::Trial, 0.5));
    for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
        for _ in 0..20 {
            let (id, actions) = harness.request_with_key(class, Some(7));
            harness.advance(5 * MS);
            assert!(!withheld(&mut harness, id, 0), "class {class}");
            harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::Ok, 5 * MS);
        }
    }
}

/// Asked in the moment of its decision, nothing is decided otherwise from then on: shares, turns, keys, cold servers.
#[test]
fn ready_to_send_events_alone_change_no_later_decision() {
    let run = |asked: bool| {
        let mut settings = settings();
        settings.rollout.sticky_to_new_build = true;
        let mut harness = Harness::new(settings, &server_list(4, 4), release_status(2, 2, Phase::Trial, 0.5));
        let mut all = Vec::new();
        for n in 0..3_000u64 {
            if n % 500 == 0 {
                let anew = ServerEntry { started_at: harness.now, ..server(100 + n / 500 % 4, 2) };
                relist(&mut harness, &[anew]);
            }
            let (id, actions) = harness
                .request_with_key([IDEMPOTENT, KEYED, NON_IDEMPOTENT][n as usize % 3], Some(n * 7919 % 97));
            for (_, to) in sends(&actions) {
                assert!(!asked || !withheld(&mut harness, id, 0));
                all.push(to);
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
        all
    };
    let (without, with) = (run(false), run(true));
    let trial = |all: &[ServerId]| all.iter().filter(|to| **to >= 100).count();
    assert!(trial(&without) > 300 && without.len() > 2_000, "{} of {}", trial(&without), without.len());
    assert!(without == with, "{} and {} of {}", trial(&without), trial(&with), with.len());
}

/// A server that drains, is gone, has another build or has started anew meanwhile; the next takes its place at no cost.
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
        relist(&mut harness, &[change(server(first, 1), now), server(50, 1)]);
        let next = withhold(&mut harness, id, 0, first);
        assert_eq!(sends(&next), [(id, 50)], "change {n}");
        assert!(!withheld(&mut harness, id, 1), "change {n}");
    }
}

#[test]
fn a_key_that_the_new_build_has_answered_meanwhile_goes_to_it() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(1, 0), release_status(2, 2, Phase::Trial, 1.0));
    let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
    let earlier = sends(&actions)[0].1;
    relist(&mut harness, &[server(100, 2)]);
    // Another call with the key is answered by the new build.
    for _ in 0..50 {
        let (other, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
        let to = sends(&actions)[0].1;
        harness.end_attempt(other, 0, to, if to == 100 { Outcome::Ok } else { Outcome::Rejected }, MS);
        harness.feed(Event::ClientDisconnected { request: other });
        if to == 100 {
            break;
        }
    }
    assert_eq!(sends(&withhold(&mut harness, id, 0, earlier)), [(id, 100)]);
}

/// A cold server's budget of a span counts what left; what is withheld was never sent there.
#[test]
fn a_cancelled_attempt_does_not_use_up_the_budget_of_a_cold_server() {
    let cold_sends = |withheld_first: bool| {
        let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
        harness.run_traffic(&[IDEMPOTENT], 400, |_, _| (Outcome::Ok, 20 * MS));
        let cold = ServerEntry { started_at: harness.now, ..server(50, 1) };
        relist(&mut harness, &[cold]);
        let mut sent = 0;
        for n in 0..2_000 {
            let (id, actions) = harness.request(IDEMPOTENT);
            for (_, to) in sends(&actions) {
                if to == 50 && withheld_first && n < 1_000 {
                    // It drains for a moment, just as the attempt would leave.
                    relist(&mut harness, &[ServerEntry { status: ServerStatus::Draining, ..cold }]);
                    withhold(&mut harness, id, 0, 50);
                    relist(&mut harness, &[cold]);
                } else {
                    sent += usize::from(to == 50 && n >= 1_000);
                    harness.end_attempt(id, 0, to, Outcome::Ok, 20 * MS);
                }
            }
            harness.feed(Event::ClientDisconnected { request: id });
        }
        sent
    };
    assert!(cold_sends(true) > cold_sends(false), "{} {}", cold_sends(true), cold_sends(false));
}

/// With a cap of 0 a span holds the uncounted two attempts; a third fits once one of them was withheld, and no fourth.
#[test]
fn exposure_of_a_cancelled_attempt_is_released_once() {
    let mut harness = Harness::new(settings(), &server_list(0, 3), release_status(2, 1, Phase::Trial, 1e-6));
    let ask = |harness: &mut Harness| {
        let (id, actions) = harness.request(IDEMPOTENT);
        sends(&actions).first().map(|s| (id, s.1))
    };
    let (first, second) = (ask(&mut harness).unwrap(), ask(&mut harness).unwrap());
    harness.now += MS;
    assert_eq!(ask(&mut harness), None);
    // Asked again and let go it is still one.
    assert!(!withheld(&mut harness, first.0, 0));
    assert_eq!(ask(&mut harness), None);
    let gone: Vec<ServerEntry> =
        server_list(0, 3).iter().map(|e| ServerEntry { status: ServerStatus::Draining, ..*e }).collect();
    relist(&mut harness, &gone);
    withhold(&mut harness, second.0, 0, second.1);
    relist(&mut harness, &server_list(0, 3));
    assert!(ask(&mut harness).is_some());
    assert_eq!(ask(&mut harness), None);
}

#[test]
fn a_cancelled_retry_is_returned_to_the_retry_budget() {
    let repeats = |with: bool| {
        let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
        let mut done = 0;
        for _ in 0..8 {
            let (id, actions) = harness.request(IDEMPOTENT);
            let again = harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::ConnectFailed, MS);
            if let [(_, to)] = sends(&again)[..] {
                done += 1;
                if with {
                    relist(&mut harness, &[ServerEntry { status: ServerStatus::Draining, ..server(to, 1) }]);
                    // The client has left by then, so that nothing takes its place.
                    harness.feed(Event::ClientDisconnected { request: id });
                    harness.end_attempt(id, 1, to, Outcome::CancelledBeforeSend, MS);
                    relist(&mut harness, &[server(to, 1)]);
                }
            }
            harness.feed(Event::ClientDisconnected { request: id });
        }
        done
    };
    assert_eq!((repeats(true), repeats(false)), (8, 4));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Against counting over every span: attempts that were given back are in none, whatever came between. Each
    /// request earns a quarter; the answer may only err to the safe side, and by nothing once all is counted.
    #[test]
    fn released_exposure_counts_as_if_the_attempt_had_never_been_made(steps in proptest::collection::vec(0u8..8, 1..120)) {
        const SPAN: Micros = 20;
        let (mut exposure, mut now) = (ExposureCounter::default(), 0);
        // What happened, by time: attempts with 1, earnings with -0.25.
        let mut all: Vec<(Micros, f64)> = Vec::new();
        for step in steps {
            now += 1;
            match step {
                0..=2 => {
                    exposure.spend(now, 2 * SPAN);
                    all.push((now, 1.0));
                }
                3 | 4 => {
                    exposure.earn(0.25);
                    all.push((now, -0.25));
                }
                5 | 6 => {
                    // The newest but `step - 5` of those that are out.
                    let recent: Vec<usize> = (0..all.len()).rev().filter(|&i| all[i].1 > 0.0 && all[i].0 + SPAN >= now).collect();
                    if let Some(&at) = recent.get(usize::from(step - 5)) {
                        exposure.give_back(all[at].0);
                        all.remove(at);
                    }
                }
                _ => {}
            }
            // The worst span that ends now, after one more attempt; it may begin before any event in it.
            let starts = all.iter().map(|e| e.0).filter(|at| at + SPAN >= now).chain([now + 1]);
            let held = |from: Micros| 1.0 + all.iter().filter(|e| e.0 >= from).map(|e| e.1).sum::<f64>();
            let worst = starts.map(held).fold(f64::MIN, f64::max);
            let told = exposure.after_one_more(now, SPAN);
            prop_assert!((told - worst).abs() < 1e-9, "{told} against {worst} at {now}");
        }
    }
}
