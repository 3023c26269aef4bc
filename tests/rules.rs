//! The five rules, one situation a test, and a seeded random driver over all of them.

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
    let again = harness.end_attempt(id, 0, sends(&actions)[0].1, Outcome::Rejected, MS);
    assert_eq!(sends(&again).len(), 1);
    let end = harness.end_attempt(id, 1, sends(&again)[0].1, Outcome::Error, MS);
    assert_eq!((sends(&end).len(), final_responses(&end, id)), (0, (0, 1)));
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
        let again = harness.end_attempt(id, 0, first, Outcome::Reset, MS);
        assert_eq!(sends(&again)[0].1 % 2, first % 2, "another zone");
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

/// Guards: a cold server's span budget counts in what warm servers are seen to carry.
#[test]
fn a_cold_server_gets_fewer_requests_than_warm_ones() {
    let mut harness = Harness::new(settings(), &server_list(4, 0), RELEASED);
    harness.run_traffic(&[IDEMPOTENT], 400, |_, _| (Outcome::Ok, 20 * MS));
    let cold = ServerEntry { started_at: harness.now, ..server(50, 1) };
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[cold] });
    let actions = harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 20 * MS));
    let to_cold = sends(&actions).iter().filter(|s| s.1 == 50).count();
    assert!(to_cold < 20, "{to_cold} of 100 to a server at a third of its capacity");
    harness.advance(4 * S);
    let actions = harness.run_traffic(&[IDEMPOTENT], 100, |_, _| (Outcome::Ok, 20 * MS));
    assert!(sends(&actions).iter().any(|s| s.1 == 50), "nothing to a server warm by now");
}

/// Guards: with few attempts out, a server of several cores looks slow for each of them; refusing by that
/// figure would keep the attempts few and the figure high.
#[test]
fn requests_are_not_rejected_while_a_server_has_idle_cores() {
    let mut harness = Harness::new(settings(), &server_list(1, 0), RELEASED);
    let mut refused = 0;
    let mut out = Vec::new();
    for i in 0..400 {
        let (id, actions) = harness.request(IDEMPOTENT);
        refused += if i >= 100 { final_responses(&actions, id).0 } else { 0 };
        out.extend(sends(&actions).iter().map(|s| (harness.now, *s)));
        harness.advance(30 * MS);
        while let Some(&(at, (request, server))) = out.first().filter(|o| o.0 + 90 * MS <= harness.now) {
            out.remove(0);
            harness.end_attempt(request, 0, server, Outcome::Ok, harness.now - at);
        }
    }
    assert!(refused < 30, "{refused} of 300 refused by a server that answers all in 90 ms");
}

/// Guards: one tenant whose requests all wait must not have the others refused with it.
#[test]
fn requests_of_a_slow_tenant_are_rejected_before_those_of_others() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: 100.0 }; 2];
    let mut harness = Harness::new(settings, &server_list(6, 0), RELEASED);
    let mut refused = [0, 0];
    for i in 0..600 {
        let tenant = i % 2;
        let request = Request {
            id: 5_000 + i as u64,
            deadline: harness.now + 1_200 * MS,
            tenant,
            ..Request::default()
        };
        let actions = harness.feed(Event::Request(request));
        refused[tenant] += final_responses(&actions, request.id).0;
        let wait = if tenant == 1 { 500 * MS } else { 30 * MS };
        harness.now += wait;
        for (id, server) in sends(&actions) {
            harness.end_attempt(id, 0, server, Outcome::Ok, wait);
        }
    }
    assert!(refused[1] > 150, "{refused:?}");
    assert!(refused[0] < 20, "{refused:?}");
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

/// On sockets an answer may be good and never read here: spoilt, late, or written to a connection that fell silent.
/// From 150 ms after the send the key counts, whatever becomes of the attempt, unless that proves otherwise.
#[test]
fn a_key_whose_response_may_have_been_lost_goes_to_no_earlier_build() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(5, 5), release_status(2, 2, Phase::Trial, 1.0));
    let mut bound = BTreeSet::new();
    let ends = [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error];
    let mut free = 0;
    for i in 0..2_000u64 {
        let key = 1 + i * 7919 % 97;
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        let Some(&(_, server)) = sends(&actions).first() else { continue };
        assert!(server >= 100 || !bound.contains(&key), "key {key} sent back");
        let end = if server >= 100 { ends[(i % 4) as usize] } else { Outcome::Ok };
        // Some are still out when the key comes again.
        let waits = if i % 3 == 0 { 150 * MS } else { 5 * MS };
        harness.advance(waits);
        if waits > 100 * MS && server >= 100 {
            let (again, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
            assert!(sends(&actions).iter().all(|s| s.1 >= 100), "key {key} sent back with its attempt out");
            harness.feed(Event::ClientDisconnected { request: again });
        }
        harness.end_attempt(id, 0, server, end, 20 * MS);
        harness.feed(Event::ClientDisconnected { request: id });
        harness.advance(150 * MS);
        if server >= 100 && end != Outcome::Error {
            bound.insert(key);
        }
        free += usize::from(server < 100);
    }
    assert!(bound.len() > 10 && free > 10, "{} bound, {free} at the earlier build", bound.len());
}

/// Two calls with one key are out at the new build; the first is proven not to have run, the answer to the second is
/// written and not read. The key is bound by the second, whatever the first proves.
#[test]
fn a_key_stays_sticky_because_of_a_second_attempt_in_flight() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    for first in [Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed] {
        for second in [Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
            let mut harness =
                Harness::new(settings.clone(), &server_list(0, 5), release_status(2, 2, Phase::Trial, 1.0));
            let (one, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            let at = sends(&actions)[0].1;
            harness.advance(5 * MS);
            let (other, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            let other_at = sends(&actions)[0].1;
            harness.advance(5 * MS);
            harness.end_attempt(one, 0, at, first, 10 * MS);
            harness.feed(Event::ClientDisconnected { request: one });
            harness.advance(200 * MS);
            harness.end_attempt(other, 0, other_at, second, 200 * MS);
            harness.feed(Event::ClientDisconnected { request: other });
            // Machines of the earlier build come back, and none of them may have the key.
            let entries = server_list(5, 5);
            harness.feed(Event::ServerList { kind: ListKind::Full, entries: &entries });
            for _ in 0..50 {
                let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
                assert!(sends(&actions).iter().all(|s| s.1 >= 100), "sent back after {first:?}, {second:?}");
                sends(&actions)
                    .iter()
                    .for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Error, MS)));
                harness.feed(Event::ClientDisconnected { request: id });
                harness.advance(150 * MS);
            }
        }
    }
}

/// Seen on the fleet's days: a call leaves for a machine of the earlier build and waits; the machine is listed with the new
/// one; the answer that comes then is the new build's. Also where the news of that build come after the list.
#[test]
fn a_response_from_a_server_relisted_with_the_new_build_makes_its_key_sticky() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    for news_first in [true, false] {
        let mut harness = Harness::new(settings.clone(), &server_list(1, 0), RELEASED);
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
        let at = sends(&actions)[0].1;
        let again =
            [server(at, 1), server(50, 1)].map(|s| ServerEntry { build: 1 + u16::from(s.id == at), ..s });
        let trial = Event::Release(release_status(2, 1, Phase::Trial, 1.0));
        let list = Event::ServerList { kind: ListKind::Full, entries: &again };
        for event in if news_first { [trial, list] } else { [list, trial] } {
            harness.feed(event);
        }
        harness.advance(20 * MS);
        harness.end_attempt(id, 0, at, Outcome::Ok, 20 * MS);
        for _ in 0..50 {
            let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(7));
            assert!(sends(&actions).iter().all(|s| s.1 == at), "sent back, news first: {news_first}");
            sends(&actions).iter().for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Ok, MS)));
            harness.feed(Event::ClientDisconnected { request: id });
            harness.advance(20 * MS);
        }
    }
}

/// Guards: a popular key would pile onto the new build's few machines, and bound keys stay bound.
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
            assert!(server >= 100 || !bound.contains(&key), "key {key} sent back");
            harness.advance(5 * MS);
            harness.end_attempt(id, 0, server, Outcome::Ok, 20 * MS);
            if server >= 100 {
                bound.insert(key);
            }
        }
    }
    assert!(bound.len() > 10);
}

/// Seen on sockets with keys that are always new: after 200,000 of them a released build was refused to every further
/// one, for ever. What can no longer be remembered counts as bound instead: nothing keyed goes back.
#[test]
fn a_released_build_serves_more_keys_than_can_be_remembered() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(0, 3), release_status(2, 3, Phase::Released, 1.0));
    let served = |harness: &mut Harness, key: u64| {
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        let sent = sends(&actions);
        sent.iter().for_each(|s| drop(harness.end_attempt(id, 0, s.1, Outcome::Ok, MS)));
        sent.first().map(|s| s.1)
    };
    for key in 1..=200_500 {
        assert!(served(&mut harness, key).is_some(), "key {key} was not sent");
    }
    // Machines of the earlier build are listed again, under the same news: no key is surely free for them.
    let entries = server_list(3, 3);
    harness.feed(Event::ServerList { kind: ListKind::Full, entries: &entries });
    for key in (1..=200_500).step_by(997).chain(300_000..300_100) {
        assert!(served(&mut harness, key).is_none_or(|server| server >= 100), "key {key} sent back");
    }
    // With another build all of it is forgotten, and the earlier machines take keys again.
    harness.feed(Event::Release(release_status(3, 0, Phase::Trial, 0.16)));
    let free = (400_000..400_100).filter(|key| served(&mut harness, *key).is_some_and(|server| server < 100));
    assert!(free.count() > 10);
}

/// Guards: a popular key bound to the new build early would bring its machines more than their share.
#[test]
fn a_popular_key_is_not_sent_to_the_trial_build_early() {
    let mut settings = settings();
    settings.rollout.sticky_to_new_build = true;
    let mut harness = Harness::new(settings, &server_list(8, 0), RELEASED);
    let play = |harness: &mut Harness, i: u64| {
        let key = if i.is_multiple_of(3) { 1 } else { 100 + i };
        let (id, actions) = harness.request_with_key(IDEMPOTENT, Some(key));
        for (_, server) in sends(&actions) {
            harness.advance(5 * MS);
            harness.end_attempt(id, 0, server, Outcome::Ok, 20 * MS);
        }
        sends(&actions).iter().filter(|s| s.1 >= 100).map(|_| key).collect::<Vec<u64>>()
    };
    (0..60).for_each(|i| drop(play(&mut harness, i)));
    harness.feed(Event::Release(release_status(2, 1, Phase::Trial, 0.5)));
    harness.feed(Event::ServerList { kind: ListKind::Full, entries: &server_list(8, 2) });
    let on_trial: Vec<u64> = (60..660).flat_map(|i| play(&mut harness, i)).collect();
    assert!(on_trial.len() > 40, "{} attempts at the new build", on_trial.len());
    assert!(!on_trial.contains(&1));
}

#[test]
fn an_unannounced_build_has_the_limits_of_the_first_stage() {
    let mut harness = Harness::new(settings(), &server_list(2, 8), RELEASED);
    let actions = harness.run_traffic(&[IDEMPOTENT, NON_IDEMPOTENT], 1_000, |_, _| (Outcome::Ok, 20 * MS));
    let new: Vec<RequestId> = sends(&actions).iter().filter(|s| s.1 >= 100).map(|s| s.0).collect();
    assert!(!new.is_empty() && new.len() <= 162, "{} of 1000", new.len());
    assert!(new.iter().all(|id| id % 2 == 1), "a class that is not safe to repeat went to a guarded stage");
}

#[test]
fn the_list_is_watched_again_after_a_failure_and_after_silence() {
    let mut settings = settings();
    settings.subscribes_to_list = true;
    let mut harness = Harness::new(settings, &server_list(2, 0), RELEASED);
    let follows = |actions: &[Action]| actions.iter().filter(|a| **a == Action::WatchServerList).count();
    harness.feed(Event::ServerList { kind: ListKind::Failed, entries: &[] });
    assert_eq!(follows(&harness.advance(S)), 1);
    harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[] });
    assert_eq!(follows(&harness.advance(9 * S)), 1);
}

#[test]
fn events_about_unknown_objects_are_ignored() {
    let mut harness = Harness::new(settings(), &server_list(2, 0), RELEASED);
    let before = harness.end_attempt(999, 3, 77, Outcome::Ok, MS);
    assert_eq!(before, []);
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

/// What the random driver remembers to check the rules on the actions.
#[derive(Default)]
struct Watch {
    deadline: BTreeMap<RequestId, (Micros, usize)>,
    attempts: BTreeMap<RequestId, Vec<(ServerId, Option<Outcome>, Micros)>>,
    finished: BTreeSet<RequestId>,
    draining: BTreeMap<ServerId, Micros>,
    taken: Vec<Micros>,
    exposed: Vec<Micros>,
}

impl Watch {
    fn check(&mut self, now: Micros, settings: &Settings, cap: f64, guarded: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    assert!(!self.finished.contains(request), "sent after the final answer");
                    let class = &settings.classes[self.deadline[request].1];
                    let before = self.attempts.entry(*request).or_default();
                    assert!(before.iter().all(|a| a.1.is_some()), "two at once");
                    let ran = before.iter().find(|a| a.1.is_none_or(Outcome::may_have_run));
                    if let Some(ran) = ran {
                        assert!(class.idempotency != Idempotency::NonIdempotent, "fragile sent twice");
                        let keyed = class.idempotency == Idempotency::Keyed;
                        assert!(!keyed || (ran.0 % 2 == server % 2 && now < ran.2 + class.dedup_window));
                    }
                    before.push((*server, None, now));
                    assert!(
                        self.draining.get(server).is_none_or(|at| now <= at + settings.rules.drain_grace)
                    );
                    if *server >= 100 {
                        assert!(!guarded || class.idempotency == Idempotency::Idempotent, "guarded stage");
                        self.exposed.push(now);
                        for &from in
                            self.exposed.iter().filter(|&&t| t + settings.rollout.exposure_window >= now)
                        {
                            let spent = self.exposed.iter().filter(|&&t| t >= from).count() as f64;
                            let taken = self.taken.iter().filter(|&&t| t >= from).count() as f64;
                            let most = settings.rollout.exposure_slack + cap * (taken + 1.0);
                            assert!(spent <= most + 1e-6, "{spent} attempts over {most}");
                        }
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(self.finished.insert(*request), "two final answers");
                    let class = &settings.classes[self.deadline[request].1];
                    let tries = self.attempts.get(request).map(Vec::as_slice).unwrap_or_default();
                    let ran = tries.iter().any(|a| a.1.is_none_or(Outcome::may_have_run));
                    let refused = matches!(action, Action::Reject { .. });
                    assert!(
                        !refused || !ran || class.idempotency == Idempotency::Idempotent,
                        "refusal after an effect"
                    );
                }
                _ => {}
            }
        }
    }
}

/// Plays random steps on one balancer and checks the rules after each.
struct Driver {
    settings: Settings,
    harness: Harness,
    watch: Watch,
    next: RequestId,
}

impl Driver {
    fn new() -> Driver {
        let settings = settings();
        let harness =
            Harness::new(settings.clone(), &server_list(4, 2), release_status(2, 0, Phase::Trial, 0.16));
        Driver { settings, harness, watch: Watch::default(), next: 1 }
    }

    /// Attempts in flight: request, number and server.
    fn in_flight(&self) -> Vec<(RequestId, usize, ServerId)> {
        let mut open = Vec::new();
        for (id, tries) in &self.watch.attempts {
            for (number, (server, outcome, _)) in tries.iter().enumerate() {
                if outcome.is_none() {
                    open.push((*id, number, *server));
                }
            }
        }
        open
    }

    fn step(&mut self, what: u8, pick: u16) -> Vec<Action> {
        let in_flight = self.in_flight();
        match what {
            0..=4 => self.request(pick),
            5..=7 if !in_flight.is_empty() => {
                let index = usize::from(pick) % in_flight.len();
                self.end_attempt(in_flight[index], pick)
            }
            8 => self.change_list(pick),
            _ => {
                self.harness.now += 5 * MS;
                self.harness.feed(Event::Timer { token: 0 })
            }
        }
    }

    fn request(&mut self, pick: u16) -> Vec<Action> {
        let id = self.next;
        let class = usize::from(pick % 3);
        let deadline = self.harness.now + 200 * MS + u64::from(pick % 1000) * MS;
        self.watch.deadline.insert(id, (deadline, class));
        self.watch.taken.push(self.harness.now);
        self.next += 1;
        self.harness.feed(Event::Request(Request { id, deadline, class, ..Request::default() }))
    }

    fn end_attempt(
        &mut self,
        (request, attempt, server): (RequestId, usize, ServerId),
        pick: u16,
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
        let outcome = OUTCOMES[usize::from(pick / 7) % OUTCOMES.len()];
        self.watch.attempts.get_mut(&request).unwrap()[attempt].1 = Some(outcome);
        let finishes_request = outcome == Outcome::Ok || self.watch.finished.contains(&request);
        if finishes_request {
            self.watch.finished.insert(request);
        }
        let elapsed = u64::from(pick) * 3;
        let end = AttemptEnd { request, attempt, server, outcome, elapsed, finishes_request };
        self.harness.feed(Event::AttemptEnded(end))
    }

    fn change_list(&mut self, pick: u16) -> Vec<Action> {
        let id = 10 + u64::from(pick % 4);
        let status = if pick.is_multiple_of(3) { ServerStatus::Draining } else { ServerStatus::Ready };
        let started_at = if pick.is_multiple_of(5) { self.harness.now } else { 0 };
        if status == ServerStatus::Ready {
            self.watch.draining.remove(&id);
        } else {
            self.watch.draining.entry(id).or_insert(self.harness.now);
        }
        let entry = ServerEntry { status, started_at, ..server(id, 1) };
        self.harness.feed(Event::ServerList { kind: ListKind::Delta, entries: &[entry] })
    }

    fn check(&mut self, actions: &[Action]) {
        self.watch.check(self.harness.now, &self.settings, 0.16, true, actions);
        for (id, (deadline, _)) in &self.watch.deadline {
            let late = self.harness.now > deadline + self.settings.rules.deadline_grace;
            assert!(!late || self.watch.finished.contains(id), "request {id} without a final answer");
        }
    }
}

fn drive(steps: &[(u8, u16)]) -> Vec<Action> {
    let mut driver = Driver::new();
    let mut all = Vec::new();
    for &(what, pick) in steps {
        let actions = driver.step(what, pick);
        driver.check(&actions);
        all.extend(actions);
    }
    all
}

/// Legal event sequences, drawn with a fixed seed: the rules hold on every action, and the same events
/// bring the same actions.
#[test]
fn the_rules_hold_for_random_events_and_decisions_are_deterministic() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec((0u8..12, any::<u16>()), 200..900);
    runner
        .run(&steps, |steps| {
            let once = drive(&steps);
            prop_assert_eq!(once, drive(&steps));
            Ok(())
        })
        .unwrap();
}
