//! The five service rules that a balancer has to keep: one test for each situation, and a test that checks
//! all rules on random events from a fixed seed.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use violetseam::balancer::Balancer;
use violetseam::interface::*;

const RELEASED: ReleaseStatus = ReleaseStatus { build: 1, stage: 3, phase: Phase::Released, cap: 1.0 };

#[test]
fn without_servers_a_request_is_rejected_in_time() {
    let mut harness = Harness::new(settings(), &[], RELEASED);
    let (id, first) = harness.request(NON_IDEMPOTENT);
    let mut actions = harness.advance(1_300 * MS);
    actions.extend(first);
    assert_eq!(final_responses(&actions, id), (1, 0));
}

#[test]
fn a_silent_server_does_not_delay_the_final_response() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    let (id, _) = harness.request(NON_IDEMPOTENT);
    let actions = harness.advance(1_195 * MS);
    assert_eq!(final_responses(&actions, id), (0, 1));
    assert_eq!(sends(&actions), []);
}

#[test]
fn a_non_idempotent_request_is_repeated_only_if_it_never_ran() {
    let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
    let (id, actions) = harness.request(NON_IDEMPOTENT);
    let after_rejection = harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::Rejected, MS);
    assert_eq!(sends(&after_rejection).len(), 1);
    let after_error = harness.end_attempt(id, 1, sends(&after_rejection)[0].1, Outcome::Error, MS);
    assert_eq!((sends(&after_error).len(), final_responses(&after_error, id)), (0, (0, 1)));
}

#[test]
fn a_keyed_request_is_repeated_only_in_its_dedup_group() {
    for seed in 0..40 {
        let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
        harness.balancer = Balancer::new(settings(), seed);
        harness.feed(Event::ServerList { kind: ListKind::Cached, entries: &server_list(6, 0) });
        harness.feed(Event::Release(RELEASED));
        let (id, actions) = harness.request(KEYED);
        let first = sends(&actions)[0].1;
        let retry = harness.end_attempt(id, 0, first, Outcome::Reset, MS);
        assert_eq!(sends(&retry)[0].1 % 2, first % 2, "the retry went to another zone");
    }
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut harness = Harness::new(settings(), &server_list(3, 0), RELEASED);
    let entry = ServerEntry { status: ServerStatus::Draining, ..server(11, 1) };
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[entry] });
    let actions = harness.run_traffic(&[IDEMPOTENT], 200, |_, _| (Outcome::Ok, 20 * MS));
    assert!(sends(&actions).iter().all(|s| s.1 != 11));
}

/// Guards against overloading a cold server: its budget for a span is derived from the load that warm servers
/// have been seen to serve.
#[test]
fn a_cold_server_gets_fewer_requests_than_warm_ones() {
    let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 400, |_, _| (Outcome::Ok, 20 * MS));
    let cold = ServerEntry { started_at: harness.now, ..server(50, 1) };
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[cold] });
    let actions = harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 20 * MS));
    let to_cold = sends(&actions).iter().filter(|s| s.1 == 50).count();
    assert!(to_cold < 20, "{to_cold} of 100 attempts sent to a server with a third of its capacity");
    harness.advance(4 * S);
    let actions = harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 20 * MS));
    assert!(sends(&actions).iter().any(|s| s.1 == 50), "no attempt sent to a server that is warm by now");
}

/// Guards against rejecting requests because of an overestimated latency per attempt. With few attempts in
/// flight, a server with several cores appears slow for each of them, and rejections based on that figure
/// would keep the attempts few and the figure high.
#[test]
fn requests_are_not_rejected_while_a_server_has_idle_cores() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    let mut rejected = 0;
    let mut in_flight = Vec::new();
    for i in 0..400 {
        let (id, actions) = harness.request(IDEMPOTENT);
        rejected += if i >= 100 { final_responses(&actions, id).0 } else { 0 };
        in_flight.extend(sends(&actions).iter().map(|send| (harness.now, *send)));
        harness.advance(30 * MS);
        while let Some(&(sent_at, (request, server))) =
            in_flight.first().filter(|attempt| attempt.0 + 90 * MS <= harness.now)
        {
            in_flight.remove(0);
            harness.end_attempt(request, 0, server, Outcome::Ok, harness.now - sent_at);
        }
    }
    assert!(
        rejected < 30,
        "{rejected} of 300 requests rejected while the server responds to each within 90 ms"
    );
}

/// Guards against rejecting the requests of all tenants because those of one tenant get no answer in their
/// clients' time.
#[test]
fn requests_of_a_tenant_that_gets_no_answers_are_rejected_before_those_of_others() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 100.0 }; 2];
    let mut harness = Harness::new(settings, &server_list(6, 0), RELEASED);
    let mut rejected = [0, 0];
    for i in 0..600 {
        let tenant = i % 2;
        let request = Request {
            id: 5_000 + i as u64,
            deadline: harness.now + 1_200 * MS,
            tenant,
            ..Request::default()
        };
        let actions = harness.feed(Event::Request(request));
        rejected[tenant] += final_responses(&actions, request.id).0;
        let (outcome, elapsed) =
            if tenant == 1 { (Outcome::Timeout, 1_190 * MS) } else { (Outcome::Ok, 30 * MS) };
        harness.now += elapsed;
        for (id, server) in sends(&actions) {
            harness.end_attempt(id, 0, server, outcome, elapsed);
        }
    }
    assert!(rejected[1] > 150, "rejected requests by tenant: {rejected:?}");
    assert!(rejected[0] < 20, "rejected requests by tenant: {rejected:?}");
}

#[test]
fn no_request_goes_to_a_build_with_cap_zero_after_the_grace() {
    let mut harness =
        Harness::new(settings(), &server_list(0, 4), release_status(2, 3, Phase::Released, 1.0));
    harness.feed(Event::Release(release_status(2, 3, Phase::RollingBack, 0.0)));
    harness.advance(2 * S);
    let (id, first) = harness.request(IDEMPOTENT);
    let mut actions = harness.advance(1_200 * MS);
    actions.extend(first);
    assert_eq!((sends(&actions).len(), final_responses(&actions, id)), (0, (1, 0)));
}

/// Guards against sending a key to an earlier build when the new build may have answered it. A successful
/// response can be lost on the way: it arrives damaged or late, or it was written to a connection that fell
/// silent. From 150 ms after the attempt was sent the key counts as answered, whatever the outcome, unless
/// the outcome proves that it was not.
#[test]
fn a_key_whose_response_may_have_been_lost_goes_to_no_earlier_build() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(5, 5), release_status(2, 2, Phase::Trial, 1.0));
    let mut bound = BTreeSet::new();
    let outcomes = [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error];
    let mut to_earlier = 0;
    for i in 0..2_000u64 {
        let key = 1 + i * 7919 % 97;
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        let Some(&(_, server)) = sends(&actions).first() else { continue };
        assert!(server >= 100 || !bound.contains(&key), "key {key} sent to an earlier build");
        let outcome = if server >= 100 { outcomes[(i % 4) as usize] } else { Outcome::Ok };
        // Some attempts are still in flight when another request with the key arrives.
        let in_flight_for = if i % 3 == 0 { 150 * MS } else { 5 * MS };
        harness.advance(in_flight_for);
        if in_flight_for > 100 * MS && server >= 100 {
            let (second, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
            assert!(
                sends(&actions).iter().all(|s| s.1 >= 100),
                "key {key} sent to an earlier build with an attempt in flight"
            );
            harness.feed(Event::ClientDisconnected { request: second });
        }
        harness.end_attempt(id, 0, server, outcome, 20 * MS);
        harness.feed(Event::ClientDisconnected { request: id });
        harness.advance(150 * MS);
        if server >= 100 && outcome != Outcome::Error {
            bound.insert(key);
        }
        to_earlier += usize::from(server < 100);
    }
    assert!(
        bound.len() > 10 && to_earlier > 10,
        "{} sticky keys, {to_earlier} attempts at the earlier build",
        bound.len()
    );
}

/// Two requests with one key are in flight at the new build. The end of the first proves that it was not
/// answered. The response to the second may have been written but not read, so the key stays sticky, whatever
/// the first one proves.
#[test]
fn a_key_stays_sticky_because_of_a_second_attempt_in_flight() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    for first in [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed] {
        for second in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
            let mut harness =
                Harness::new(settings.clone(), &server_list(0, 5), release_status(2, 2, Phase::Trial, 1.0));
            let (first_id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            let first_server = sends(&actions)[0].1;
            harness.advance(5 * MS);
            let (second_id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            let second_server = sends(&actions)[0].1;
            harness.advance(5 * MS);
            harness.end_attempt(first_id, 0, first_server, first, 10 * MS);
            harness.feed(Event::ClientDisconnected { request: first_id });
            harness.advance(200 * MS);
            harness.end_attempt(second_id, 0, second_server, second, 200 * MS);
            harness.feed(Event::ClientDisconnected { request: second_id });
            // Servers of the earlier build are listed again, and none of them may get the key.
            let entries = server_list(5, 5);
            harness.feed(Event::ServerList { kind: ListKind::Full, entries: &entries });
            for _ in 0..50 {
                let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
                assert!(
                    sends(&actions).iter().all(|s| s.1 >= 100),
                    "sent to an earlier build after {first:?} and {second:?}"
                );
                sends(&actions)
                    .iter()
                    .for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Error, MS)));
                harness.feed(Event::ClientDisconnected { request: id });
                harness.advance(150 * MS);
            }
        }
    }
}

/// An attempt is in flight at a server of the earlier build when the server is listed with the new build, so
/// the response comes from the new build. This must also work if the release status of the new build arrives
/// after the list. The fault occurred in the fleet scenarios.
#[test]
fn a_response_from_a_server_relisted_with_the_new_build_makes_its_key_sticky() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    for release_first in [true, false] {
        let mut harness = Harness::new(settings.clone(), &server_list(1, 0), RELEASED);
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
        let relisted = sends(&actions)[0].1;
        let entries = [server(relisted, 1), server(50, 1)]
            .map(|entry| ServerEntry { build: 1 + u16::from(entry.id == relisted), ..entry });
        let trial = Event::Release(release_status(2, 1, Phase::Trial, 1.0));
        let list = Event::ServerList { kind: ListKind::Full, entries: &entries };
        for event in if release_first { [trial, list] } else { [list, trial] } {
            harness.feed(event);
        }
        harness.advance(20 * MS);
        harness.end_attempt(id, 0, relisted, Outcome::Ok, 20 * MS);
        for _ in 0..50 {
            let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            assert!(
                sends(&actions).iter().all(|s| s.1 == relisted),
                "sent to an earlier build, release status before list: {release_first}"
            );
            sends(&actions).iter().for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Ok, MS)));
            harness.feed(Event::ClientDisconnected { request: id });
            harness.advance(20 * MS);
        }
    }
}

/// Guards against sending a sticky key to an earlier build, also for keys that arrive often.
#[test]
fn a_key_answered_by_the_new_build_goes_to_no_earlier_build() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(5, 5), release_status(2, 2, Phase::Trial, 1.0));
    let mut bound = BTreeSet::new();
    for i in 0..2_000u64 {
        let key = 1 + i * 7919 % 97;
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        for (_, server) in sends(&actions) {
            assert!(server >= 100 || !bound.contains(&key), "key {key} sent to an earlier build");
            harness.advance(5 * MS);
            harness.end_attempt(id, 0, server, Outcome::Ok, 20 * MS);
            if server >= 100 {
                bound.insert(key);
            }
        }
    }
    assert!(bound.len() > 10);
}

/// Guards against a released build that gets no more keyed requests once 200,000 keys are remembered. The
/// fault occurred over real connections with keys that never repeat: every further key was rejected for good.
/// Keys that can no longer be remembered count as sticky instead, and no keyed request goes to an earlier
/// build.
#[test]
fn a_released_build_serves_more_keys_than_can_be_remembered() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(0, 3), release_status(2, 3, Phase::Released, 1.0));
    let serve_key = |harness: &mut Harness, key: u64| {
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        let sent = sends(&actions);
        sent.iter().for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Ok, MS)));
        sent.first().map(|send| send.1)
    };
    for key in 1..=200_500 {
        assert!(serve_key(&mut harness, key).is_some(), "key {key} was not sent");
    }
    // Servers of the earlier build are listed again with the same release status: any key may be sticky, so
    // they get none.
    let entries = server_list(3, 3);
    harness.feed(Event::ServerList { kind: ListKind::Full, entries: &entries });
    for key in (1..=200_500).step_by(997).chain(300_000..300_100) {
        assert!(
            serve_key(&mut harness, key).is_none_or(|server| server >= 100),
            "key {key} sent to an earlier build"
        );
    }
    // When a newer build is announced, all keys are dropped, and servers of earlier builds get keys again.
    harness.feed(Event::Release(release_status(3, 0, Phase::Trial, 0.16)));
    let to_earlier =
        (400_000..400_100).filter(|key| serve_key(&mut harness, *key).is_some_and(|server| server < 100));
    assert!(to_earlier.count() > 10);
}

/// Guards against overloading the few servers of the trial build: a popular key that is sticky to it early
/// would bring them more than their share of the requests.
#[test]
fn a_popular_key_is_not_sent_to_the_trial_build_early() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(8, 0), RELEASED);
    let send_request = |harness: &mut Harness, i: u64| {
        let key = if i.is_multiple_of(3) { 1 } else { 100 + i };
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        for (_, server) in sends(&actions) {
            harness.advance(5 * MS);
            harness.end_attempt(id, 0, server, Outcome::Ok, 20 * MS);
        }
        sends(&actions).iter().filter(|s| s.1 >= 100).map(|_| key).collect::<Vec<u64>>()
    };
    (0..60).for_each(|i| drop(send_request(&mut harness, i)));
    harness.feed(Event::Release(release_status(2, 1, Phase::Trial, 0.5)));
    harness.feed(Event::ServerList { kind: ListKind::Full, entries: &server_list(8, 2) });
    let trial_keys: Vec<u64> = (60..660).flat_map(|i| send_request(&mut harness, i)).collect();
    assert!(trial_keys.len() > 40, "{} attempts at the new build", trial_keys.len());
    assert!(!trial_keys.contains(&1));
}

#[test]
fn an_unannounced_build_has_the_limits_of_the_first_stage() {
    let mut harness = Harness::new(settings(), &server_list(2, 8), RELEASED);
    let actions = harness.run_traffic(&[IDEMPOTENT, NON_IDEMPOTENT], 1_000, |_, _| (Outcome::Ok, 20 * MS));
    let to_new: Vec<RequestId> = sends(&actions).iter().filter(|s| s.1 >= 100).map(|s| s.0).collect();
    assert!(
        !to_new.is_empty() && to_new.len() <= 162,
        "{} of 1000 requests went to the new build",
        to_new.len()
    );
    assert!(
        to_new.iter().all(|id| id % 2 == 1),
        "a non-idempotent request went to the new build in a stage for idempotent requests only"
    );
}

#[test]
fn the_list_is_watched_again_after_a_failure_and_after_silence() {
    let mut settings = settings();
    settings.subscribes_to_list = true;
    let mut harness = Harness::new(settings, &server_list(2, 0), RELEASED);
    let watches = |actions: &[Action]| actions.iter().filter(|a| **a == Action::WatchServerList).count();
    harness.feed(Event::ServerList { kind: ListKind::Failed, entries: &[] });
    assert_eq!(watches(&harness.advance(S)), 1);
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[] });
    assert_eq!(watches(&harness.advance(9 * S)), 1);
}

#[test]
fn events_about_unknown_objects_are_ignored() {
    let mut harness = Harness::new(settings(), &server_list(2, 0), RELEASED);
    let actions = harness.end_attempt(999, 3, 77, Outcome::Ok, MS);
    assert_eq!(actions, []);
    assert_eq!(harness.feed(Event::ClientDisconnected { request: 5 }), []);
    assert_eq!(harness.feed(Event::AnswerFlagged { server: 1, class: 99, since: u64::MAX }), []);
    assert_eq!(harness.feed(Event::PeerMessage { from: 9, payload: &[1, 2] }), []);
    let actions = harness.feed(Event::Request(Request {
        id: 1,
        class: 99,
        deadline: harness.now,
        ..Request::default()
    }));
    assert_eq!(final_responses(&actions, 1), (1, 0));
}

/// Checks the service rules on the actions of a balancer. It records the events and actions that the rules
/// depend on.
#[derive(Default)]
struct RuleChecker {
    /// Deadline and class of each request.
    requests: BTreeMap<RequestId, (Micros, usize)>,
    /// For each attempt of a request: the server, the outcome once it has ended, and the time of the send.
    attempts: BTreeMap<RequestId, Vec<(ServerId, Option<Outcome>, Micros)>>,
    finished: BTreeSet<RequestId>,
    draining: BTreeMap<ServerId, Micros>,
    /// Times at which requests arrived.
    arrivals: Vec<Micros>,
    /// Times at which attempts were sent to the trial build.
    trial_sends: Vec<Micros>,
}

impl RuleChecker {
    fn check(
        &mut self,
        now: Micros,
        settings: &Settings,
        cap: f64,
        idempotent_only: bool,
        actions: &[Action],
    ) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    assert!(!self.finished.contains(request), "an attempt was sent after the final response");
                    let class = &settings.classes[self.requests[request].1];
                    let attempts = self.attempts.entry(*request).or_default();
                    assert!(attempts.iter().all(|a| a.1.is_some()), "two attempts in flight at once");
                    let ran = attempts.iter().find(|a| a.1.is_none_or(Outcome::may_have_run));
                    if let Some(ran) = ran {
                        assert!(
                            class.idempotency != Idempotency::NonIdempotent,
                            "non-idempotent request repeated"
                        );
                        let keyed = class.idempotency == Idempotency::Keyed;
                        assert!(!keyed || (ran.0 % 2 == server % 2 && now < ran.2 + class.dedup_window));
                    }
                    attempts.push((*server, None, now));
                    assert!(
                        self.draining.get(server).is_none_or(|at| now <= at + settings.rules.drain_grace)
                    );
                    if *server >= 100 {
                        assert!(
                            !idempotent_only || class.idempotency == Idempotency::Idempotent,
                            "a request that is not idempotent was sent to the trial build too early"
                        );
                        self.trial_sends.push(now);
                        for &from in
                            self.trial_sends.iter().filter(|&&t| t + settings.rollout.exposure_window >= now)
                        {
                            let attempts = self.trial_sends.iter().filter(|&&t| t >= from).count() as f64;
                            let requests = self.arrivals.iter().filter(|&&t| t >= from).count() as f64;
                            let allowed = settings.rollout.exposure_slack + cap * (requests + 1.0);
                            assert!(
                                attempts <= allowed + 1e-6,
                                "{attempts} attempts at the trial build, {allowed} allowed"
                            );
                        }
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(self.finished.insert(*request), "a request got two final responses");
                    let class = &settings.classes[self.requests[request].1];
                    let attempts = self.attempts.get(request).map(Vec::as_slice).unwrap_or_default();
                    let may_have_run = attempts.iter().any(|a| a.1.is_none_or(Outcome::may_have_run));
                    let rejected = matches!(action, Action::Reject { .. });
                    assert!(
                        !rejected || !may_have_run || class.idempotency == Idempotency::Idempotent,
                        "a request that is not idempotent was rejected after it may have run"
                    );
                }
                _ => {}
            }
        }
    }
}

/// Applies random steps to a balancer and checks the rules after each step.
struct RandomDriver {
    settings: Settings,
    harness: Harness,
    checker: RuleChecker,
    next_request: RequestId,
}

impl RandomDriver {
    fn new() -> RandomDriver {
        let settings = settings();
        let harness =
            Harness::new(settings.clone(), &server_list(4, 2), release_status(2, 0, Phase::Trial, 0.16));
        RandomDriver { settings, harness, checker: RuleChecker::default(), next_request: 1 }
    }

    /// Returns the request, the number and the server of each attempt in flight.
    fn in_flight(&self) -> Vec<(RequestId, usize, ServerId)> {
        let mut in_flight = Vec::new();
        for (id, attempts) in &self.checker.attempts {
            for (number, (server, outcome, _)) in attempts.iter().enumerate() {
                if outcome.is_none() {
                    in_flight.push((*id, number, *server));
                }
            }
        }
        in_flight
    }

    /// Applies one step. `kind` chooses what happens, and the details are derived from the random `choice`.
    fn step(&mut self, kind: u8, choice: u16) -> Vec<Action> {
        let in_flight = self.in_flight();
        match kind {
            0..=4 => self.request(choice),
            5..=7 if !in_flight.is_empty() => {
                let index = usize::from(choice) % in_flight.len();
                self.end_attempt(in_flight[index], choice)
            }
            8 => self.change_list(choice),
            _ => {
                self.harness.now += 5 * MS;
                self.harness.feed(Event::Timer { token: 0 })
            }
        }
    }

    fn request(&mut self, choice: u16) -> Vec<Action> {
        let id = self.next_request;
        let class = usize::from(choice % 3);
        let deadline = self.harness.now + 200 * MS + u64::from(choice % 1000) * MS;
        self.checker.requests.insert(id, (deadline, class));
        self.checker.arrivals.push(self.harness.now);
        self.next_request += 1;
        self.harness.feed(Event::Request(Request { id, deadline, class, ..Request::default() }))
    }

    fn end_attempt(
        &mut self,
        (request, attempt, server): (RequestId, usize, ServerId),
        choice: u16,
    ) -> Vec<Action> {
        const OUTCOMES: [Outcome; 8] = [
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
        ];
        let outcome = OUTCOMES[usize::from(choice / 7) % OUTCOMES.len()];
        self.checker.attempts.get_mut(&request).unwrap()[attempt].1 = Some(outcome);
        let finishes_request = outcome == Outcome::Ok || self.checker.finished.contains(&request);
        if finishes_request {
            self.checker.finished.insert(request);
        }
        let elapsed = u64::from(choice) * 3;
        let end = AttemptEnd { request, attempt, server, outcome, elapsed, finishes_request };
        self.harness.feed(Event::AttemptEnded(end))
    }

    fn change_list(&mut self, choice: u16) -> Vec<Action> {
        let id = 10 + u64::from(choice % 4);
        let status = if choice.is_multiple_of(3) { ServerStatus::Draining } else { ServerStatus::Ready };
        let started_at = if choice.is_multiple_of(5) { self.harness.now } else { 0 };
        if status == ServerStatus::Ready {
            self.checker.draining.remove(&id);
        } else {
            self.checker.draining.entry(id).or_insert(self.harness.now);
        }
        let entry = ServerEntry { status, started_at, ..server(id, 1) };
        self.harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[entry] })
    }

    fn check(&mut self, actions: &[Action]) {
        self.checker.check(self.harness.now, &self.settings, 0.16, true, actions);
        for (id, (deadline, _)) in &self.checker.requests {
            let late = self.harness.now > deadline + self.settings.rules.deadline_grace;
            assert!(
                !late || self.checker.finished.contains(id),
                "request {id} got no final response in time"
            );
        }
    }
}

fn run_steps(steps: &[(u8, u16)]) -> Vec<Action> {
    let mut driver = RandomDriver::new();
    let mut all_actions = Vec::new();
    for &(kind, choice) in steps {
        let actions = driver.step(kind, choice);
        driver.check(&actions);
        all_actions.extend(actions);
    }
    all_actions
}

/// Draws valid event sequences from a fixed seed. The rules must hold for every action, and the same events
/// must lead to the same actions.
#[test]
fn the_rules_hold_for_random_events_and_decisions_are_deterministic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec((0u8..12, any::<u16>()), 200..900);
    runner
        .run(&steps, |steps| {
            let actions = run_steps(&steps);
            prop_assert_eq!(actions, run_steps(&steps));
            Ok(())
        })
        .unwrap();
}
