//! Admission by the time that callers have: how long a request waits, when it is refused, what is served
//! first, and when a refused client is told to come back. None of it depends on the latency objective or on
//! whether a request is a repeat.

mod common;
use common::*;
use violetseam::interface::*;

const RELEASED: ReleaseStatus = ReleaseStatus { build: 1, stage: 3, phase: Phase::Released, cap: 1.0 };

fn list(harness: &mut Harness, entries: &[ServerEntry]) {
    harness.feed(Event::ServerList { kind: ListKind::Full, entries });
}

/// A client that waits for 1.2 s gains nothing from a refusal after 0.15 s: the server that comes up
/// meanwhile answers in time.
#[test]
fn a_request_waits_for_a_server_as_long_as_an_answer_can_come_in_time() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 40, |_, _| (Outcome::Ok, 50 * MS));
    list(&mut harness, &[]);
    let (id, mut actions) = harness.request(IDEMPOTENT);
    actions.extend(harness.advance(900 * MS));
    assert_eq!(final_responses(&actions, id), (0, 0), "refused with 300 ms left");
    list(&mut harness, &server_list(1, 0));
    assert_eq!(sends(&harness.advance(10 * MS)), [(id, 10)]);
}

/// A client whose time no longer covers a usual answer is told at once: it can use what is left elsewhere.
#[test]
fn a_waiting_request_is_refused_once_an_answer_can_no_longer_come_in_time() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 40, |_, _| (Outcome::Ok, 400 * MS));
    list(&mut harness, &[]);
    let (id, first) = harness.request(IDEMPOTENT);
    assert_eq!(final_responses(&first, id), (0, 0));
    assert_eq!(final_responses(&harness.advance(750 * MS), id), (0, 0), "refused with 450 ms left");
    assert_eq!(final_responses(&harness.advance(60 * MS), id), (1, 0), "kept with under 400 ms left");
}

/// A server with one attempt in flight that answers each after `latency` of waiting.
fn busy_harness(settings: Settings, latency: Micros) -> Harness {
    let mut harness = Harness::new(settings, &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 60, |_, _| (Outcome::Ok, latency));
    for _ in 0..2 {
        assert_eq!(sends(&harness.request(IDEMPOTENT).1).len(), 1, "the server is not tried");
    }
    harness
}

/// Feeds a request of the idempotent class whose client waits for `time`.
fn request_with_time(harness: &mut Harness, id: RequestId, time: Micros) -> Vec<Action> {
    let request = Request { id, deadline: harness.now + time, ..Request::default() };
    harness.feed(Event::Request(request))
}

/// Two attempts of 100 ms each are ahead. A client that waits for 1.2 s gets its answer in time behind them.
#[test]
fn a_request_is_sent_if_its_client_has_the_time_for_the_work_ahead() {
    let mut harness = busy_harness(settings(), 100 * MS);
    let actions = request_with_time(&mut harness, 900, 1_200 * MS);
    assert_eq!((sends(&actions).len(), final_responses(&actions, 900)), (1, (0, 0)));
}

/// The same work is ahead, and this client waits for 0.2 s only: it is told at once.
#[test]
fn a_request_is_refused_at_once_if_the_work_ahead_takes_longer_than_its_client_has() {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.latency_objective = 900 * MS;
    }
    let mut harness = busy_harness(settings, 100 * MS);
    let actions = request_with_time(&mut harness, 900, 200 * MS);
    assert_eq!((sends(&actions).len(), final_responses(&actions, 900)), (0, (1, 0)));
}

/// A client is told as early whether its request has been sent before: the work ahead is the same.
#[test]
fn a_repeat_is_refused_at_once_like_a_first_attempt() {
    let mut harness = busy_harness(settings(), 100 * MS);
    let actions = request_with_time(&mut harness, 900, 700 * MS);
    assert_eq!(sends(&actions).len(), 1);
    harness.now += 500 * MS;
    let retry = harness.end_attempt(900, 0, 10, Outcome::ConnectFailed, 500 * MS);
    assert_eq!((sends(&retry).len(), final_responses(&retry, 900)), (0, (1, 0)));
}

/// The request with its own large amount of work takes longer than its client waits, behind any work at all.
#[test]
fn the_work_in_the_request_counts_against_the_time_of_its_client() {
    let mut harness = busy_harness(settings(), 100 * MS);
    let deadline = harness.now + 1_200 * MS;
    let request = Request { id: 900, deadline, cost_hint: Some(1_100 * MS), ..Request::default() };
    let actions = harness.feed(Event::Request(request));
    assert_eq!((sends(&actions).len(), final_responses(&actions, 900)), (0, (1, 0)));
}

/// Servers work in the order of arrival. While clients who wait for 5 s send more than the server can do, those
/// who wait for 0.3 s and ask for as much get at least half of their fair share in time.
#[test]
fn clients_with_more_time_leave_the_server_to_those_with_less() {
    const SERVICE_TIME: Micros = 20 * MS;
    const STEPS: u64 = 400;
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT, KEYED], 60, |_, _| (Outcome::Ok, SERVICE_TIME));
    let mut queue = std::collections::VecDeque::new();
    let mut short_answered = 0;
    for step in 0..STEPS {
        harness.now += SERVICE_TIME / 2;
        let mut arrivals = [(2_000 + step, KEYED, 5 * S), (5_000 + step, IDEMPOTENT, 300 * MS)];
        if step / 2 % 2 == 1 {
            arrivals.reverse();
        }
        for (id, class, time) in arrivals {
            let request = Request { id, deadline: harness.now + time, class, ..Request::default() };
            let sent = sends(&harness.feed(Event::Request(request)));
            queue.extend(sent.iter().map(|_| (id, harness.now, time)));
        }
        if step % 2 == 1
            && let Some((id, sent_at, time)) = queue.pop_front()
        {
            let elapsed = harness.now - sent_at;
            short_answered += u64::from(id >= 5_000 && elapsed < time);
            harness.end_attempt(id, 0, 10, Outcome::Ok, elapsed);
        }
    }
    let fair_share = STEPS / 2 / 2;
    assert!(short_answered >= fair_share / 2, "{short_answered} of a fair share of {fair_share}");
}

/// Answers that take 0.5 s reach clients who wait for 1.2 s in time, whatever the latency objective is: nobody
/// is refused for them.
#[test]
fn nobody_is_refused_because_of_answers_that_come_in_time() {
    let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
    let actions = harness.run_traffic(&[IDEMPOTENT], 400, |_, _| (Outcome::Ok, 30 * MS));
    assert_eq!(sends(&actions).len(), 400);
    let mut refused = 0;
    for _ in 0..300 {
        let (id, actions) = harness.request(IDEMPOTENT);
        refused += final_responses(&actions, id).0;
        harness.now += 500 * MS;
        for (id, server) in sends(&actions) {
            harness.end_attempt(id, 0, server, Outcome::Ok, 500 * MS);
        }
    }
    assert_eq!(refused, 0);
}

/// Sends requests whose clients wait for `hasty_time` and whose attempts end with `outcome` after `elapsed`, and
/// after each an ordinary one that is answered in 100 ms. Returns how many of these 300 were refused on arrival.
fn refused_beside_hasty_clients(hasty_time: Micros, outcome: Outcome, elapsed: Micros) -> usize {
    let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 60, |_, _| (Outcome::Ok, 100 * MS));
    let mut refused = 0;
    for id in 0..300 {
        let hasty = request_with_time(&mut harness, 10_000 + id, hasty_time);
        harness.now += elapsed;
        for (hasty_id, server) in sends(&hasty) {
            harness.end_attempt(hasty_id, 0, server, outcome, elapsed);
            harness.feed(Event::ClientDisconnected { request: hasty_id });
        }
        let (id, actions) = harness.request(IDEMPOTENT);
        refused += final_responses(&actions, id).0;
        harness.advance(100 * MS);
        for (id, server) in sends(&actions) {
            harness.end_attempt(id, 0, server, Outcome::Ok, 100 * MS);
        }
    }
    refused
}

/// A client who waits for less than answers usually take says nothing about the servers: others are not
/// refused for its time-out.
#[test]
fn clients_with_hardly_any_time_do_not_get_others_refused() {
    assert_eq!(refused_beside_hasty_clients(20 * MS, Outcome::Timeout, 10 * MS), 0);
}

/// The same holds where servers turn such a request away because its time is over before they begin it.
#[test]
fn clients_whose_time_is_over_when_they_reach_a_server_do_not_get_others_refused() {
    assert_eq!(refused_beside_hasty_clients(40 * MS, Outcome::Rejected, 2 * MS), 0);
}

/// With one attempt in flight at a time no queue is visible. While every second client of a class runs out of
/// time, as large a share is told at once, and clients are tried again soon after the servers have recovered.
#[test]
fn as_many_are_refused_at_once_as_would_run_out_of_time() {
    let mut harness = Harness::new(settings(), &server_list(6, 0), RELEASED);
    harness.run_traffic(&[NON_IDEMPOTENT], 60, |_, _| (Outcome::Ok, 100 * MS));
    let refused_of = |harness: &mut Harness, n: u64, answers_every: u64| {
        let mut refused = 0;
        for i in 0..n {
            let (id, actions) = harness.request(NON_IDEMPOTENT);
            refused += final_responses(&actions, id).0;
            let answered = i % answers_every == 0;
            let elapsed = if answered { 100 * MS } else { 1_190 * MS };
            harness.advance(20 * MS);
            for (id, server) in sends(&actions) {
                let outcome = if answered { Outcome::Ok } else { Outcome::Timeout };
                harness.end_attempt(id, 0, server, outcome, elapsed);
            }
        }
        refused
    };
    refused_of(&mut harness, 100, 2);
    let under_overload = refused_of(&mut harness, 400, 2);
    assert!((100..300).contains(&under_overload), "{under_overload} of 400 refused");
    refused_of(&mut harness, 500, 1);
    let after_recovery = refused_of(&mut harness, 200, 1);
    assert!(after_recovery < 10, "{after_recovery} of 200 refused after the servers had recovered");
}

/// The advice of each rejection among the actions, in microseconds.
fn retry_advice(actions: &[Action]) -> Vec<Micros> {
    let advice = |action: &Action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    };
    actions.iter().filter_map(advice).collect()
}

/// A client that is refused because of the work ahead is told to come again when that is done, not later: it
/// waits for 0.2 s in all, and a second of waiting would end its chances.
#[test]
fn a_client_refused_in_an_overload_is_told_when_the_work_ahead_is_done() {
    let mut harness = busy_harness(settings(), 100 * MS);
    for id in 0..10 {
        request_with_time(&mut harness, 700 + id, 1_200 * MS);
    }
    let advice = retry_advice(&request_with_time(&mut harness, 900, 200 * MS));
    assert!(matches!(advice[..], [100_000..=200_000]), "{advice:?}");
}

/// A client whose attempts failed is not told to stay away, however long they took: the servers have nothing
/// ahead that it would have to wait for.
#[test]
fn a_client_whose_attempts_failed_may_come_again_at_once() {
    let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 60, |_, _| (Outcome::Ok, 100 * MS));
    let (id, actions) = harness.request(IDEMPOTENT);
    let mut actions = actions;
    let mut rejections = Vec::new();
    for attempt in 0..4 {
        let Some(&(_, server)) = sends(&actions).first() else { break };
        harness.now += 200 * MS;
        actions = harness.end_attempt(id, attempt, server, Outcome::Error, 200 * MS);
        rejections.extend(retry_advice(&actions));
    }
    assert_eq!(rejections, [0]);
}

/// Settings that allow a second attempt while the first is in flight.
fn hedging_settings() -> Settings {
    let mut settings = settings();
    settings.limits.hedging = true;
    settings
}

/// A silent server must not cost a client its answer: with 0.8 s left and answers within 0.3 s, a second attempt
/// is worth its cost, whether or not the latency objective has passed.
#[test]
fn a_slow_attempt_is_hedged_while_an_answer_can_come_in_time() {
    let mut harness = Harness::new(hedging_settings(), &server_list(6, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 300 * MS));
    let (id, actions) = harness.request(IDEMPOTENT);
    assert_eq!(sends(&actions).len(), 1);
    let hedges = sends(&harness.advance(500 * MS));
    assert!(matches!(hedges[..], [(request, _)] if request == id), "{hedges:?}");
}

/// A second attempt that can't be answered in time any more only adds work.
#[test]
fn a_slow_attempt_is_not_hedged_if_the_answer_would_come_too_late() {
    let mut harness = Harness::new(hedging_settings(), &server_list(6, 0), RELEASED);
    harness
        .run_traffic(&[IDEMPOTENT], 100, |_, i| (Outcome::Ok, if i % 2 == 0 { 100 * MS } else { 90 * MS }));
    let actions = request_with_time(&mut harness, 900, 210 * MS);
    assert_eq!(sends(&actions).len(), 1);
    assert_eq!(sends(&harness.advance(190 * MS)), []);
}

/// A second attempt behind as much work as its client has time for only takes time from others.
#[test]
fn a_slow_attempt_is_not_hedged_at_servers_with_too_much_work_ahead() {
    let mut harness = Harness::new(hedging_settings(), &server_list(2, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 500 * MS));
    let sent: usize = (0..8).map(|_| sends(&harness.request(IDEMPOTENT).1).len()).sum();
    assert!(sent >= 3, "{sent} attempts at two servers");
    assert_eq!(sends(&harness.advance(680 * MS)), []);
}

/// Nothing is known of the servers before they have answered. A client that waits for 1.2 s does not need a second
/// attempt because its first takes 0.4 s: that may be what such requests take.
#[test]
fn no_attempt_is_hedged_before_the_servers_have_shown_how_long_they_take() {
    let mut harness = Harness::new(hedging_settings(), &server_list(6, 0), RELEASED);
    let (_, actions) = harness.request(IDEMPOTENT);
    assert_eq!(sends(&actions).len(), 1);
    assert_eq!(sends(&harness.advance(400 * MS)), []);
}

/// A server is not avoided as silent while nobody knows how long requests take.
#[test]
fn no_server_is_avoided_as_stalled_before_the_first_answers() {
    let mut harness = Harness::new(settings(), &server_list(2, 0), RELEASED);
    let (_, first) = harness.request(IDEMPOTENT);
    let busy = sends(&first)[0].1;
    harness.advance(500 * MS);
    let mut to_busy = 0;
    for id in 0..40 {
        let actions = request_with_time(&mut harness, 700 + id, 1_200 * MS);
        to_busy += sends(&actions).iter().filter(|(_, server)| *server == busy).count();
    }
    assert!(to_busy > 10, "{to_busy} of 40 attempts to the server that has not answered yet");
}

/// Plays random requests, outcomes, releases and server changes, and returns all actions.
fn play(settings: Settings, is_retry: impl Fn(u64) -> bool) -> Vec<Action> {
    let mut harness = Harness::new(settings, &server_list(5, 3), release_status(2, 2, Phase::Trial, 0.6));
    let mut random = violetseam::state::RandomSource(11);
    let mut all_actions = Vec::new();
    let mut in_flight: Vec<(Micros, Micros, RequestId, usize, ServerId)> = Vec::new();
    for id in 1..=3_000 {
        let class = (id % 3) as usize;
        let deadline = harness.now + 50 * MS + (random.unit() * 1_500.0) as Micros * MS;
        let key = (class == KEYED).then_some(id % 97);
        let request = Request { id, deadline, class, key, is_retry: is_retry(id), ..Request::default() };
        let mut actions = harness.feed(Event::Request(request));
        // From time to time all servers are much slower than usual.
        let slowdown = if id / 500 % 2 == 1 { 20.0 } else { 1.0 };
        let mut next = 0;
        loop {
            for (request, server) in sends(&actions[next..]) {
                let latency = (random.unit() * 60.0 * slowdown) as Micros * MS + MS;
                let earlier = all_actions.iter().chain(&actions[..next]);
                let number = earlier
                    .filter(|action| matches!(action, Action::Send { request: sent, .. } if *sent == request))
                    .count();
                in_flight.push((harness.now + latency, harness.now, request, number, server));
            }
            next = actions.len();
            in_flight.sort_unstable();
            let Some(&(at, sent_at, request, attempt, server)) =
                in_flight.first().filter(|attempt| attempt.0 <= harness.now)
            else {
                break;
            };
            in_flight.remove(0);
            let outcome = match request % 17 {
                0 => Outcome::Error,
                1 => Outcome::Rejected,
                2 => Outcome::Timeout,
                _ => Outcome::Ok,
            };
            actions.extend(harness.end_attempt(request, attempt, server, outcome, at - sent_at));
        }
        all_actions.append(&mut actions);
        all_actions.extend(harness.advance(5 * MS));
    }
    all_actions
}

/// What callers get follows from their time, from the work and from the servers. The latency objective and the
/// weights by which somebody may count service afterwards decide nothing, and neither does a client's mark that it
/// asks again.
#[test]
fn decisions_do_not_depend_on_objectives_weights_or_retry_marks() {
    let settings_with = |objective, priority_weight, late_weight| {
        let mut settings = hedging_settings();
        (settings.fleet_size, settings.limits.gossip) = (4, true);
        settings.rollout.sticky_to_new_build = true;
        for class in &mut settings.classes {
            class.latency_objective = objective;
            class.priority_weight = priority_weight;
            class.late_weight = late_weight;
        }
        settings.over_quota_weight = late_weight;
        settings
    };
    let usual = play(settings_with(300 * MS, 1.0, 0.0), |_| false);
    let count = |wanted: fn(&Action) -> bool| usual.iter().filter(|action| wanted(action)).count();
    let rejected = count(|action| matches!(action, Action::Reject { .. }));
    let votes = count(|action| matches!(action, Action::Vote { .. }));
    let gossip = count(|action| matches!(action, Action::GossipToAll { .. }));
    assert!(rejected > 100 && votes > 1 && gossip > 5, "{rejected} rejected, {votes} votes, {gossip} gossip");
    for (objective, priority_weight, late_weight) in [(1, 9.0, 1.0), (40 * MS, 1.0, 0.2), (20 * S, 0.1, 0.0)]
    {
        let other = play(settings_with(objective, priority_weight, late_weight), |id| id % 3 == 0);
        let same = usual.iter().zip(&other).take_while(|(first, second)| first == second).count();
        assert!(usual == other, "objective {objective}: only {same} of {} actions are the same", usual.len());
    }
}

/// A server in slow start is drawn once for each wait, so that the draws of hundreds of balancers keep to what it
/// can do. A request that waits after a failed attempt draws no more often than one that waits for its first.
#[test]
fn a_request_that_waits_for_a_cold_server_draws_once_whether_or_not_it_was_sent_before() {
    let cold_sends = |sent_before: bool| {
        let mut sent = 0;
        for seed in 0..60 {
            let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
            harness.balancer = violetseam::balancer::Balancer::new(settings(), seed);
            list(&mut harness, &server_list(4, 0));
            harness.feed(Event::Release(RELEASED));
            // One request a second: the budget of a cold server is below the cost of one request.
            for _ in 0..30 {
                harness.run_traffic(&[IDEMPOTENT], 1, |_, _| (Outcome::Ok, 100 * MS));
                harness.advance(S);
            }
            let cold = ServerEntry { started_at: harness.now, ..server(50, 1) };
            if sent_before {
                let (id, actions) = harness.request(IDEMPOTENT);
                list(&mut harness, &[cold]);
                let first = sends(&actions)[0].1;
                let mut actions = harness.end_attempt(id, 0, first, Outcome::ConnectFailed, 5 * MS);
                actions.extend(harness.advance(1_000 * MS));
                sent += sends(&actions).len();
            } else {
                list(&mut harness, &[cold]);
                let (_, mut actions) = harness.request(IDEMPOTENT);
                actions.extend(harness.advance(1_000 * MS));
                sent += sends(&actions).len();
            }
        }
        sent
    };
    let (first, repeat) = (cold_sends(false), cold_sends(true));
    assert!(first < 40 && repeat < 40, "{first} first attempts and {repeat} repeats of 60 to a cold server");
    assert!(repeat <= first + 10, "{repeat} repeats, {first} first attempts of 60 to a cold server");
}

/// Only one of two waiting requests can be served for now. It is the one whose client has less time; the other
/// can still be served after it.
#[test]
fn of_waiting_requests_the_one_with_the_least_time_is_served_first() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 60, |_, _| (Outcome::Ok, 50 * MS));
    list(&mut harness, &[]);
    request_with_time(&mut harness, 900, 1_200 * MS);
    request_with_time(&mut harness, 901, 1_000 * MS);
    request_with_time(&mut harness, 902, 400 * MS);
    harness.advance(50 * MS);
    list(&mut harness, &server_list(1, 0));
    let order: Vec<RequestId> = sends(&harness.advance(10 * MS)).iter().map(|send| send.0).collect();
    assert_eq!(order, [902, 901, 900]);
}

/// Many may wait for a server for seconds: the work for each must not grow with its wait in ticks, which would keep
/// the proxy from answering others in time. A hundred checks are half of those that each tick of 5 ms would make.
#[test]
fn a_request_that_waits_for_long_is_checked_ever_less_often() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 60, |_, _| (Outcome::Ok, 50 * MS));
    list(&mut harness, &[]);
    let (id, _) = harness.request(IDEMPOTENT);
    let actions = harness.advance(1_000 * MS);
    let timers = actions.iter().filter(|action| matches!(action, Action::SetTimer { .. })).count();
    assert_eq!(final_responses(&actions, id), (0, 0));
    assert!(timers <= 100, "{timers} timers in one second");
    list(&mut harness, &server_list(1, 0));
    assert_eq!(sends(&harness.advance(5 * MS)), [(id, 10)], "a change of the list is not looked at at once");
}

/// One in fifty requests comes from a client that waits for hardly longer than an answer usually takes. The others
/// are not kept from the servers for it.
#[test]
fn a_rare_kind_of_client_with_little_time_does_not_get_others_refused() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT, KEYED], 60, |_, _| (Outcome::Ok, 50 * MS));
    let mut refused = 0;
    for round in 0..400 {
        let mut in_flight = Vec::new();
        if round % 17 == 0 {
            let deadline = harness.now + 90 * MS;
            let request = Request { id: 10_000 + round, deadline, class: KEYED, ..Request::default() };
            in_flight.extend(sends(&harness.feed(Event::Request(request))));
        }
        for _ in 0..3 {
            let (id, actions) = harness.request(IDEMPOTENT);
            refused += final_responses(&actions, id).0;
            in_flight.extend(sends(&actions));
        }
        // The server works on one request at a time.
        for (position, (id, server)) in (1..).zip(in_flight) {
            harness.advance(50 * MS);
            harness.end_attempt(id, 0, server, Outcome::Ok, position * 50 * MS);
        }
    }
    assert_eq!(refused, 0, "of 1,200");
}
