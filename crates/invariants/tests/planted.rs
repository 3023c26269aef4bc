//! The checker can fail: a sound run passes, and each planted violation is named under its rule.

use violetseam_invariants::record_file::{read, write};
use violetseam_invariants::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn rules() -> Rules {
    let class = |idempotency| RequestClass { idempotency, dedup_window: 2 * S, streaming: false };
    Rules {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed(DedupGroup::Zone)),
            class(Idempotency::NonIdempotent),
        ],
        deadline_grace: 20 * MS,
        hedging: false,
        drain_grace: 2 * S,
        poll_interval_max: 10 * S,
        overload_multiple: 3.0,
        overload_span: 3 * S,
        exposure_window: 6 * S,
        exposure_slack: 2.0,
        exposure_per_class: false,
        first_stage_cap: 0.1,
        idempotent_only_stages: 1,
        sticky_to_new_build: true,
        observation_slack: 30 * MS,
        fleet_retry_rates: vec![10_000, 0],
        fleet_retry_burst: S,
    }
}

/// A run under construction: requests of one proxy, told of servers 1 (build 1) and 2 (build 2, on trial).
struct Story {
    entries: Vec<EventRecord>,
    next: u64,
}

impl Story {
    fn new() -> Self {
        let mut story = Story { entries: Vec::new(), next: 0 };
        let start = ServerStart { capacity: 2.0 * S as f64, slow_start_floor: 0.3, slow_start_span: 4 * S };
        story.put(0, ObservedEvent::ServerStarted { server: 2, start });
        story.put(0, ObservedEvent::EndpointListCalled { proxy: 0, call: EndpointListCall::WatchStarted });
        for server in [1, 2] {
            story.put(0, ObservedEvent::ServerListed { server, status: ServerStatus::Ready });
            story.told(0, server, ServerStatus::Ready);
        }
        story.news(0, 0, Phase::Trial, 0.1);
        story
    }

    fn put(&mut self, at: u64, event: ObservedEvent) {
        self.entries.push(EventRecord { at, event });
    }

    fn told(&mut self, at: u64, server: u64, status: ServerStatus) {
        self.put(at, ObservedEvent::ServerStatusSent { proxy: 0, server, status, started: Some(0) });
    }

    fn news(&mut self, at: u64, stage: u8, phase: Phase, cap: f64) {
        self.put(at, ObservedEvent::ReleaseStatusSent { proxy: 0, build: 2, stage, phase, cap });
    }

    fn sent(&mut self, at: u64, class: usize) -> u64 {
        self.next += 1;
        self.put(at, ObservedEvent::RequestSent { request: self.next, proxy: 0, class, deadline: at + S });
        self.next
    }

    fn attempt(
        &mut self,
        at: u64,
        request: u64,
        server: u64,
        class: usize,
        key: u64,
        outcome: AttemptOutcome,
    ) {
        self.next += 1;
        let (attempt, build) = (self.next, server as u16);
        let (zone, cell) = (server as u16, 0);
        let arrival = AttemptArrival {
            attempt,
            request,
            proxy: 0,
            server,
            build,
            zone,
            cell,
            class,
            key,
            work: 50 * MS,
        };
        self.put(at, ObservedEvent::AttemptArrived(arrival));
        self.put(at + 40 * MS, ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }));
    }

    fn answered(&mut self, at: u64, request: u64, response: FinalResponse) {
        self.put(at, ObservedEvent::ResponseReceived { request, response });
    }

    /// A request served at once by the earlier build.
    fn ordinary(&mut self, at: u64, class: usize) {
        let id = self.sent(at, class);
        self.attempt(at + MS, id, 1, class, 0, AttemptOutcome::Ok);
        self.answered(at + 42 * MS, id, FinalResponse::Served);
    }

    fn kept(&self) {
        let report = check(&rules(), &self.entries);
        assert!(report.all_hold(), "{:?}", report.violations);
    }

    fn breaks(&self, rule: Rule, text: &str) {
        let report = check(&rules(), &self.entries);
        let found = report.violations.iter().any(|v| v.rule == rule && v.description.contains(text));
        assert!(found, "wanted rule {rule}, {text:?}; got {:?}", report.violations);
    }
}

fn busy_story() -> Story {
    let mut story = Story::new();
    for n in 0..200 {
        story.ordinary(n * 50 * MS, (n % 3) as usize);
    }
    story.ordinary(14 * S, 0);
    story
}

#[test]
fn a_sound_run_passes_and_every_rule_examined_something() {
    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.attempt(S + MS, id, 2, 0, 0, AttemptOutcome::Ok);
    story.answered(S + 42 * MS, id, FinalResponse::Served);
    let report = check(&rules(), &story.entries);
    assert!(report.all_hold(), "{:?}", report.violations);
    assert!(report.examined.iter().all(|n| *n > 0), "{:?}", report.examined);
}

#[test]
fn rule_1_answers_missing_late_twice_or_followed() {
    let mut story = busy_story();
    story.sent(S, 0);
    story.breaks(Rule::FinalResponse, "got no answer");

    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.answered(S + 1_100 * MS, id, FinalResponse::Failed);
    story.breaks(Rule::FinalResponse, "after its deadline");

    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.answered(S + 10 * MS, id, FinalResponse::Rejected);
    story.answered(S + 20 * MS, id, FinalResponse::Served);
    story.breaks(Rule::FinalResponse, "2 final answers");

    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.answered(S + 10 * MS, id, FinalResponse::Rejected);
    story.attempt(S + 100 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
    story.breaks(Rule::FinalResponse, "after its answer");

    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.answered(S + 10 * MS, id, FinalResponse::ConnectionClosed);
    story.breaks(Rule::FinalResponse, "without an answer");
    // What a killed proxy held, and a client that left, excuse it.
    story.put(S + 5 * MS, ObservedEvent::ProxyKilled { proxy: 0 });
    story.told(S + 6 * MS, 1, ServerStatus::Ready);
    assert!(check(&rules(), &story.entries).violations.iter().all(|v| v.rule != Rule::FinalResponse));
}

#[test]
fn rule_2_unsafe_twice_outside_the_group_past_the_window_together_or_refused() {
    let mut story = busy_story();
    let id = story.sent(S, 2);
    story.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::Error);
    story.attempt(S + 100 * MS, id, 1, 2, 0, AttemptOutcome::Ok);
    story.answered(S + 142 * MS, id, FinalResponse::Served);
    story.breaks(Rule::DuplicateEffect, "unsafe request");

    let mut story = busy_story();
    let id = story.sent(S, 2);
    story.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::NotRun);
    story.attempt(S + 100 * MS, id, 1, 2, 0, AttemptOutcome::Ok);
    story.answered(S + 142 * MS, id, FinalResponse::Served);
    story.kept();

    let mut story = busy_story();
    story.news(0, 1, Phase::Trial, 0.5);
    let id = story.sent(S, 1);
    story.attempt(S + MS, id, 1, 1, 0, AttemptOutcome::Error);
    story.attempt(S + 100 * MS, id, 2, 1, 0, AttemptOutcome::Ok);
    story.answered(S + 142 * MS, id, FinalResponse::Served);
    story.breaks(Rule::DuplicateEffect, "outside its group");

    let mut story = busy_story();
    let id = story.sent(S, 1);
    story.attempt(S + MS, id, 1, 1, 0, AttemptOutcome::Error);
    story.attempt(S + 2_100 * MS, id, 1, 1, 0, AttemptOutcome::Ok);
    story.answered(S + 2_142 * MS, id, FinalResponse::Served);
    story.breaks(Rule::DuplicateEffect, "past its window");

    let mut story = busy_story();
    let id = story.sent(S, 0);
    story.attempt(S + MS, id, 1, 0, 0, AttemptOutcome::Ok);
    story.attempt(S + 2 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
    story.answered(S + 42 * MS, id, FinalResponse::Served);
    story.breaks(Rule::DuplicateEffect, "two attempts out");

    let mut story = busy_story();
    let id = story.sent(S, 2);
    story.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::Error);
    story.answered(S + 42 * MS, id, FinalResponse::Rejected);
    story.breaks(Rule::DuplicateEffect, "refused although");
}

#[test]
fn rule_3_sends_after_a_drain_that_was_told_or_counts_as_told() {
    let mut story = busy_story();
    story.told(11 * S, 1, ServerStatus::Draining);
    story.ordinary(12 * S, 0);
    story.told(12 * S + 500 * MS, 1, ServerStatus::Removed);
    story.kept_until(13 * S);
    story.breaks(Rule::Draining, "sent to server 1");

    // The subscription was lost, nothing was asked since: what was listed counts as told in time.
    let mut story = busy_story();
    story.put(500 * MS, ObservedEvent::EndpointListCalled { proxy: 0, call: EndpointListCall::WatchEnded });
    story.put(S, ObservedEvent::ServerListed { server: 1, status: ServerStatus::Draining });
    story.breaks(Rule::Draining, "sent to server 1");

    // The same with the subscription alive but the line not told yet: nothing to be blamed for.
    let mut story = busy_story();
    story.put(S, ObservedEvent::ServerListed { server: 1, status: ServerStatus::Draining });
    story.kept();
}

impl Story {
    fn kept_until(&self, until: u64) {
        let before: Vec<EventRecord> = self.entries.iter().filter(|e| e.at < until).cloned().collect();
        let report = check(&rules(), &before);
        assert!(report.all_hold(), "{:?}", report.violations);
    }
}

#[test]
fn rule_4_a_cold_server_sent_more_than_it_can_take() {
    // Cold from 0.3 of two cores: about 2.6 s of work in the first three seconds of its life, so 7.8 may go.
    let burst = |requests: u64, told: bool| {
        let mut story = Story { entries: Vec::new(), next: 0 };
        let start = ServerStart { capacity: 2.0 * S as f64, slow_start_floor: 0.3, slow_start_span: 4 * S };
        story.put(0, ObservedEvent::ServerStarted { server: 3, start });
        if told {
            story.told(100 * MS, 3, ServerStatus::Ready);
        }
        for n in 0..requests {
            let id = story.sent(200 * MS + n * 10 * MS, 0);
            story.attempt(201 * MS + n * 10 * MS, id, 3, 0, 0, AttemptOutcome::Ok);
            story.answered(250 * MS + n * 10 * MS, id, FinalResponse::Served);
        }
        story
    };
    burst(60, true).kept();
    burst(250, true).breaks(Rule::SlowStart, "cold server 3");
    burst(250, false).kept();

    let mut story = burst(250, true);
    // Half as much from a second proxy that was told as well: together they push it over.
    story = Story { entries: story.entries.into_iter().take(2 + 4 * 90).collect(), next: 10_000 };
    story.put(
        100 * MS,
        ObservedEvent::ServerStatusSent {
            proxy: 1,
            server: 3,
            status: ServerStatus::Ready,
            started: Some(0),
        },
    );
    for n in 0..120 {
        let at = 300 * MS + n * 5 * MS;
        let id = story.sent(at, 0);
        story.attempt(at + MS, id, 3, 0, 0, AttemptOutcome::Ok);
        if let Some(EventRecord { event: ObservedEvent::AttemptArrived(a), .. }) =
            story.entries.iter_mut().rev().nth(1)
        {
            a.proxy = 1;
        }
        story.answered(at + 50 * MS, id, FinalResponse::Served);
    }
    story.breaks(Rule::SlowStart, "cold server 3");
}

#[test]
fn rule_5_caps_guarded_stages_and_keys_that_go_back() {
    // 20 requests in the first second: two and a tenth of them may go to the trial build.
    let exposed = |attempts: u64| {
        let mut story = Story::new();
        for n in 0..20 {
            story.ordinary(n * 50 * MS, 0);
        }
        for n in 0..attempts {
            let id = story.sent(S + n * MS, 0);
            story.attempt(S + n * MS + 500, id, 2, 0, 0, AttemptOutcome::Ok);
            story.answered(S + 100 * MS, id, FinalResponse::Served);
        }
        story
    };
    exposed(4).kept();
    exposed(9).breaks(Rule::Exposure, "attempts at build 2 on trial");

    // The cap falls to nothing: after the grace not one may go.
    let mut story = busy_story();
    story.news(2 * S, 0, Phase::RollingBack, 0.0);
    let id = story.sent(5 * S, 0);
    story.attempt(5 * S + MS, id, 2, 0, 0, AttemptOutcome::Ok);
    story.answered(5 * S + 50 * MS, id, FinalResponse::Served);
    story.breaks(Rule::Exposure, "0.0 allowed");

    let mut story = busy_story();
    let id = story.sent(S, 2);
    story.attempt(S + MS, id, 2, 2, 0, AttemptOutcome::Ok);
    story.answered(S + 50 * MS, id, FinalResponse::Served);
    story.breaks(Rule::Exposure, "in a guarded stage");

    let keyed = |phase| {
        let mut story = busy_story();
        let first = story.sent(S, 0);
        story.attempt(S + MS, first, 2, 0, 77, AttemptOutcome::Ok);
        story.answered(S + 50 * MS, first, FinalResponse::Served);
        story.news(S + 500 * MS, 0, phase, 0.1);
        let second = story.sent(2 * S, 0);
        story.attempt(2 * S + MS, second, 1, 0, 77, AttemptOutcome::Ok);
        story.answered(2 * S + 50 * MS, second, FinalResponse::Served);
        story
    };
    keyed(Phase::Trial).breaks(Rule::Exposure, "its key was answered by a newer one");
    keyed(Phase::RollingBack).kept();

    // Seen in a day: the new build's answer and the proxy's giving up crossed, and the earlier build's answer
    // was the one that the client got. Nothing was bound by an answer that nobody passed on.
    let mut crossed = busy_story();
    let first = crossed.sent(S, 0);
    crossed.attempt(S + MS, first, 2, 0, 77, AttemptOutcome::Ok);
    crossed.attempt(S + 41 * MS + 200, first, 1, 0, 77, AttemptOutcome::Ok);
    crossed.answered(S + 90 * MS, first, FinalResponse::Served);
    let second = crossed.sent(2 * S, 0);
    crossed.attempt(2 * S + MS, second, 1, 0, 77, AttemptOutcome::Ok);
    crossed.answered(2 * S + 50 * MS, second, FinalResponse::Served);
    crossed.kept();
}

#[test]
fn further_attempts_of_all_proxies_together_past_the_fleets_budget() {
    // Ten a second and a burst of one second: 10.3 may come at once, the slack of 30 ms included.
    let story = |requests: u64, apart: u64| {
        let mut story = busy_story();
        for n in 0..requests {
            let (at, id) = (S + n * apart, story.sent(S + n * apart, 0));
            story.attempt(at + MS, id, 1, 0, 0, AttemptOutcome::Error);
            story.attempt(at + 50 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
            if let Some(EventRecord { event: ObservedEvent::AttemptArrived(a), .. }) =
                story.entries.iter_mut().rev().nth(1)
            {
                a.proxy = (n % 3) as u32;
            }
            story.answered(at + 95 * MS, id, FinalResponse::Served);
        }
        check(&rules(), &story.entries)
    };
    let kept = story(10, 0);
    assert!(kept.all_hold(), "{:?} {:?}", kept.violations, kept.fleet_limits);
    assert_eq!(
        (kept.fleet_limits.len(), kept.fleet_limits[0].attempts, kept.fleet_limits[0].exceeded),
        (1, 10, 0)
    );
    // No proxy sent more than four of these.
    let over = story(11, 0);
    assert!(
        !over.all_hold()
            && over.fleet_limits[0].exceeded == 1
            && over.fleet_limits[0].first_exceeded == Some(S + 50 * MS),
        "{:?}",
        over.fleet_limits
    );
    assert!(over.violations.is_empty(), "{:?}", over.violations);
    // Faster than the budget for long is found as well as a burst.
    assert!(story(40, 100 * MS).all_hold());
    assert!(story(60, 80 * MS).fleet_limits[0].exceeded > 0);
}

#[test]
fn a_stopped_proxy_owes_its_answers_once_it_goes_on_and_hears_then_what_it_was_told() {
    let story = |went_on: u64, answered: u64| {
        let mut story = busy_story();
        let id = story.sent(S, 0);
        story.put(S + 10 * MS, ObservedEvent::ProxyPaused { proxy: 0 });
        story.put(went_on, ObservedEvent::ProxyResumed { proxy: 0 });
        story.attempt(answered - 50 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
        story.answered(answered, id, FinalResponse::Served);
        story
    };
    story(4 * S, 4_500 * MS).kept();
    story(4 * S, 5_500 * MS).breaks(Rule::FinalResponse, "after its deadline");
    // Told of a drain while it stood: the grace counts from when it went on.
    let mut story = story(4 * S, 4_500 * MS);
    story.told(S + 500 * MS, 1, ServerStatus::Draining);
    story.ordinary(5 * S, 0);
    story.told(5 * S + 500 * MS, 1, ServerStatus::Ready);
    story.kept_until(6 * S);
}

#[test]
fn files_come_back_as_written_and_damage_is_refused() {
    let story = busy_story();
    let mut file = Vec::new();
    write(&mut file, &rules(), &story.entries).unwrap();
    let (rules_read, entries) = read(&mut &file[..]).unwrap();
    assert_eq!((rules_read, entries), (rules(), story.entries));
    assert!(read(&mut &file[..file.len() - 1]).is_err());
    let middle = file.len() / 2;
    file[middle] ^= 1;
    assert!(read(&mut &file[..]).is_err());
    assert!(read(&mut &b"else"[..]).is_err());
}
