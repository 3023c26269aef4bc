//! A run without violations passes the checker, and each violation that is added to such a run is reported
//! under its rule.

use violetseam_invariants::record_file::{read, write};
use violetseam_invariants::*;

/// A millisecond in microseconds.
const MS: u64 = 1_000;
/// A second in microseconds.
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

/// Builds the records of a run with one proxy, which has been sent servers 1 (build 1) and 2 (build 2, on
/// trial).
struct RunBuilder {
    records: Vec<EventRecord>,
    last_id: u64,
}

impl RunBuilder {
    fn new() -> Self {
        let mut run = RunBuilder { records: Vec::new(), last_id: 0 };
        let start = ServerStart { capacity: 2.0 * S as f64, slow_start_floor: 0.3, slow_start_span: 4 * S };
        run.record(0, ObservedEvent::ServerStarted { server: 2, start });
        run.record(0, ObservedEvent::EndpointListCalled { proxy: 0, call: EndpointListCall::WatchStarted });
        for server in [1, 2] {
            run.record(0, ObservedEvent::ServerListed { server, status: ServerStatus::Ready });
            run.send_status(0, server, ServerStatus::Ready);
        }
        run.send_release_status(0, 0, Phase::Trial, 0.1);
        run
    }

    fn record(&mut self, at: u64, event: ObservedEvent) {
        self.records.push(EventRecord { at, event });
    }

    fn send_status(&mut self, at: u64, server: u64, status: ServerStatus) {
        self.record(at, ObservedEvent::ServerStatusSent { proxy: 0, server, status, started: Some(0) });
    }

    fn send_release_status(&mut self, at: u64, stage: u8, phase: Phase, cap: f64) {
        self.record(at, ObservedEvent::ReleaseStatusSent { proxy: 0, build: 2, stage, phase, cap });
    }

    fn send_request(&mut self, at: u64, class: usize) -> u64 {
        self.last_id += 1;
        self.record(
            at,
            ObservedEvent::RequestSent { request: self.last_id, proxy: 0, class, deadline: at + S },
        );
        self.last_id
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
        self.last_id += 1;
        let (attempt, build) = (self.last_id, server as u16);
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
        self.record(at, ObservedEvent::AttemptArrived(arrival));
        self.record(at + 40 * MS, ObservedEvent::AttemptEnded(AttemptEnd { attempt, outcome }));
    }

    fn respond(&mut self, at: u64, request: u64, response: FinalResponse) {
        self.record(at, ObservedEvent::ResponseReceived { request, response });
    }

    /// Records a request that the earlier build serves at once.
    fn serve_request(&mut self, at: u64, class: usize) {
        let id = self.send_request(at, class);
        self.attempt(at + MS, id, 1, class, 0, AttemptOutcome::Ok);
        self.respond(at + 42 * MS, id, FinalResponse::Served);
    }

    fn assert_no_violation(&self) {
        let report = check(&rules(), &self.records);
        assert!(report.all_hold(), "{:?}", report.violations);
    }

    fn assert_violation(&self, rule: Rule, text: &str) {
        let report = check(&rules(), &self.records);
        let found = report.violations.iter().any(|v| v.rule == rule && v.description.contains(text));
        assert!(found, "expected rule {rule}, {text:?}; got {:?}", report.violations);
    }
}

/// Returns a run without violations in which the earlier build serves all requests.
fn busy_run() -> RunBuilder {
    let mut run = RunBuilder::new();
    for n in 0..200 {
        run.serve_request(n * 50 * MS, (n % 3) as usize);
    }
    run.serve_request(14 * S, 0);
    run
}

#[test]
fn a_run_without_violations_passes_and_every_rule_examines_something() {
    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.attempt(S + MS, id, 2, 0, 0, AttemptOutcome::Ok);
    run.respond(S + 42 * MS, id, FinalResponse::Served);
    let report = check(&rules(), &run.records);
    assert!(report.all_hold(), "{:?}", report.violations);
    assert!(report.examined.iter().all(|n| *n > 0), "{:?}", report.examined);
}

#[test]
fn rule_1_reports_missing_late_and_second_responses_and_attempts_after_a_response() {
    let mut run = busy_run();
    run.send_request(S, 0);
    run.assert_violation(Rule::FinalResponse, "got no answer");

    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.respond(S + 1_100 * MS, id, FinalResponse::Failed);
    run.assert_violation(Rule::FinalResponse, "after its deadline");

    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.respond(S + 10 * MS, id, FinalResponse::Rejected);
    run.respond(S + 20 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::FinalResponse, "2 final answers");

    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.respond(S + 10 * MS, id, FinalResponse::Rejected);
    run.attempt(S + 100 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
    run.assert_violation(Rule::FinalResponse, "after its answer");

    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.respond(S + 10 * MS, id, FinalResponse::ConnectionClosed);
    run.assert_violation(Rule::FinalResponse, "without an answer");
    // A proxy that is killed owes no response to its requests in flight.
    run.record(S + 5 * MS, ObservedEvent::ProxyKilled { proxy: 0 });
    run.send_status(S + 6 * MS, 1, ServerStatus::Ready);
    assert!(check(&rules(), &run.records).violations.iter().all(|v| v.rule != Rule::FinalResponse));
}

#[test]
fn rule_2_reports_repeats_that_may_take_effect_twice() {
    let mut run = busy_run();
    let id = run.send_request(S, 2);
    run.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::Error);
    run.attempt(S + 100 * MS, id, 1, 2, 0, AttemptOutcome::Ok);
    run.respond(S + 142 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::DuplicateEffect, "unsafe request");

    let mut run = busy_run();
    let id = run.send_request(S, 2);
    run.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::NotRun);
    run.attempt(S + 100 * MS, id, 1, 2, 0, AttemptOutcome::Ok);
    run.respond(S + 142 * MS, id, FinalResponse::Served);
    run.assert_no_violation();

    let mut run = busy_run();
    run.send_release_status(0, 1, Phase::Trial, 0.5);
    let id = run.send_request(S, 1);
    run.attempt(S + MS, id, 1, 1, 0, AttemptOutcome::Error);
    run.attempt(S + 100 * MS, id, 2, 1, 0, AttemptOutcome::Ok);
    run.respond(S + 142 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::DuplicateEffect, "outside its group");

    let mut run = busy_run();
    let id = run.send_request(S, 1);
    run.attempt(S + MS, id, 1, 1, 0, AttemptOutcome::Error);
    run.attempt(S + 2_100 * MS, id, 1, 1, 0, AttemptOutcome::Ok);
    run.respond(S + 2_142 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::DuplicateEffect, "past its window");

    let mut run = busy_run();
    let id = run.send_request(S, 0);
    run.attempt(S + MS, id, 1, 0, 0, AttemptOutcome::Ok);
    run.attempt(S + 2 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
    run.respond(S + 42 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::DuplicateEffect, "two attempts out");

    let mut run = busy_run();
    let id = run.send_request(S, 2);
    run.attempt(S + MS, id, 1, 2, 0, AttemptOutcome::Error);
    run.respond(S + 42 * MS, id, FinalResponse::Rejected);
    run.assert_violation(Rule::DuplicateEffect, "refused although");
}

#[test]
fn rule_3_reports_attempts_after_a_drain_that_the_proxy_knows_or_should_know() {
    let mut run = busy_run();
    run.send_status(11 * S, 1, ServerStatus::Draining);
    run.serve_request(12 * S, 0);
    run.send_status(12 * S + 500 * MS, 1, ServerStatus::Removed);
    run.assert_no_violation_before(13 * S);
    run.assert_violation(Rule::Draining, "sent to server 1");

    // The watch ended and the proxy has not called since, so it should have known the listed drain.
    let mut run = busy_run();
    run.record(500 * MS, ObservedEvent::EndpointListCalled { proxy: 0, call: EndpointListCall::WatchEnded });
    run.record(S, ObservedEvent::ServerListed { server: 1, status: ServerStatus::Draining });
    run.assert_violation(Rule::Draining, "sent to server 1");

    // While the watch is open, a drain that was not sent to the proxy yet is not the proxy's fault.
    let mut run = busy_run();
    run.record(S, ObservedEvent::ServerListed { server: 1, status: ServerStatus::Draining });
    run.assert_no_violation();
}

impl RunBuilder {
    fn assert_no_violation_before(&self, until: u64) {
        let before: Vec<EventRecord> = self.records.iter().filter(|e| e.at < until).cloned().collect();
        let report = check(&rules(), &before);
        assert!(report.all_hold(), "{:?}", report.violations);
    }
}

#[test]
fn rule_4_reports_the_overload_of_a_server_in_slow_start() {
    // The server starts at 0.3 of its two cores. It can do about 2.6 s of work in its first three seconds, so
    // 7.8 s of work may be sent.
    let burst = |requests: u64, informed: bool| {
        let mut run = RunBuilder { records: Vec::new(), last_id: 0 };
        let start = ServerStart { capacity: 2.0 * S as f64, slow_start_floor: 0.3, slow_start_span: 4 * S };
        run.record(0, ObservedEvent::ServerStarted { server: 3, start });
        if informed {
            run.send_status(100 * MS, 3, ServerStatus::Ready);
        }
        for n in 0..requests {
            let id = run.send_request(200 * MS + n * 10 * MS, 0);
            run.attempt(201 * MS + n * 10 * MS, id, 3, 0, 0, AttemptOutcome::Ok);
            run.respond(250 * MS + n * 10 * MS, id, FinalResponse::Served);
        }
        run
    };
    burst(60, true).assert_no_violation();
    burst(250, true).assert_violation(Rule::SlowStart, "cold server 3");
    burst(250, false).assert_no_violation();

    let mut run = burst(250, true);
    // The work comes from two proxies, both informed of the start, which overload the server only together.
    run = RunBuilder { records: run.records.into_iter().take(2 + 4 * 90).collect(), last_id: 10_000 };
    run.record(
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
        let id = run.send_request(at, 0);
        run.attempt(at + MS, id, 3, 0, 0, AttemptOutcome::Ok);
        if let Some(EventRecord { event: ObservedEvent::AttemptArrived(a), .. }) =
            run.records.iter_mut().rev().nth(1)
        {
            a.proxy = 1;
        }
        run.respond(at + 50 * MS, id, FinalResponse::Served);
    }
    run.assert_violation(Rule::SlowStart, "cold server 3");
}

#[test]
fn rule_5_reports_violations_of_caps_idempotent_only_stages_and_sticky_keys() {
    // With 20 requests in the first second, two attempts plus a tenth of the requests may go to the build on
    // trial.
    let exposed = |attempts: u64| {
        let mut run = RunBuilder::new();
        for n in 0..20 {
            run.serve_request(n * 50 * MS, 0);
        }
        for n in 0..attempts {
            let id = run.send_request(S + n * MS, 0);
            run.attempt(S + n * MS + 500, id, 2, 0, 0, AttemptOutcome::Ok);
            run.respond(S + 100 * MS, id, FinalResponse::Served);
        }
        run
    };
    exposed(4).assert_no_violation();
    exposed(9).assert_violation(Rule::Exposure, "attempts at build 2 on trial");

    // When the cap falls to 0, no attempt may go to the build after the grace.
    let mut run = busy_run();
    run.send_release_status(2 * S, 0, Phase::RollingBack, 0.0);
    let id = run.send_request(5 * S, 0);
    run.attempt(5 * S + MS, id, 2, 0, 0, AttemptOutcome::Ok);
    run.respond(5 * S + 50 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::Exposure, "0.0 allowed");

    let mut run = busy_run();
    let id = run.send_request(S, 2);
    run.attempt(S + MS, id, 2, 2, 0, AttemptOutcome::Ok);
    run.respond(S + 50 * MS, id, FinalResponse::Served);
    run.assert_violation(Rule::Exposure, "in a guarded stage");

    let keyed = |phase| {
        let mut run = busy_run();
        let first = run.send_request(S, 0);
        run.attempt(S + MS, first, 2, 0, 77, AttemptOutcome::Ok);
        run.respond(S + 50 * MS, first, FinalResponse::Served);
        run.send_release_status(S + 500 * MS, 0, phase, 0.1);
        let second = run.send_request(2 * S, 0);
        run.attempt(2 * S + MS, second, 1, 0, 77, AttemptOutcome::Ok);
        run.respond(2 * S + 50 * MS, second, FinalResponse::Served);
        run
    };
    keyed(Phase::Trial).assert_violation(Rule::Exposure, "its key was answered by a newer one");
    keyed(Phase::RollingBack).assert_no_violation();

    // As happened in a scenario, the new build's answer crossed the proxy's cancellation, and the client got
    // the earlier build's answer. An answer that was not passed on does not bind its key.
    let mut crossed = busy_run();
    let first = crossed.send_request(S, 0);
    crossed.attempt(S + MS, first, 2, 0, 77, AttemptOutcome::Ok);
    crossed.attempt(S + 41 * MS + 200, first, 1, 0, 77, AttemptOutcome::Ok);
    crossed.respond(S + 90 * MS, first, FinalResponse::Served);
    let second = crossed.send_request(2 * S, 0);
    crossed.attempt(2 * S + MS, second, 1, 0, 77, AttemptOutcome::Ok);
    crossed.respond(2 * S + 50 * MS, second, FinalResponse::Served);
    crossed.assert_no_violation();
}

#[test]
fn fleet_limits_count_the_retries_of_all_proxies_together() {
    // The limit is ten a second with a burst of one second: 10.3 may arrive at once, the slack of 30 ms
    // included.
    let run_with = |requests: u64, apart: u64| {
        let mut run = busy_run();
        for n in 0..requests {
            let (at, id) = (S + n * apart, run.send_request(S + n * apart, 0));
            run.attempt(at + MS, id, 1, 0, 0, AttemptOutcome::Error);
            run.attempt(at + 50 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
            if let Some(EventRecord { event: ObservedEvent::AttemptArrived(a), .. }) =
                run.records.iter_mut().rev().nth(1)
            {
                a.proxy = (n % 3) as u32;
            }
            run.respond(at + 95 * MS, id, FinalResponse::Served);
        }
        check(&rules(), &run.records)
    };
    let within = run_with(10, 0);
    assert!(within.all_hold(), "{:?} {:?}", within.violations, within.fleet_limits);
    assert_eq!(
        (within.fleet_limits.len(), within.fleet_limits[0].attempts, within.fleet_limits[0].exceeded),
        (1, 10, 0)
    );
    // The limit is exceeded although no single proxy sent more than four of the retries.
    let over = run_with(11, 0);
    assert!(
        !over.all_hold()
            && over.fleet_limits[0].exceeded == 1
            && over.fleet_limits[0].first_exceeded == Some(S + 50 * MS),
        "{:?}",
        over.fleet_limits
    );
    assert!(over.violations.is_empty(), "{:?}", over.violations);
    // A rate that exceeds the limit for a long time is reported as well as a burst.
    assert!(run_with(40, 100 * MS).all_hold());
    assert!(run_with(60, 80 * MS).fleet_limits[0].exceeded > 0);
}

#[test]
fn a_paused_proxy_responds_and_receives_its_messages_once_it_resumes() {
    let run_with = |resumed: u64, answered: u64| {
        let mut run = busy_run();
        let id = run.send_request(S, 0);
        run.record(S + 10 * MS, ObservedEvent::ProxyPaused { proxy: 0 });
        run.record(resumed, ObservedEvent::ProxyResumed { proxy: 0 });
        run.attempt(answered - 50 * MS, id, 1, 0, 0, AttemptOutcome::Ok);
        run.respond(answered, id, FinalResponse::Served);
        run
    };
    run_with(4 * S, 4_500 * MS).assert_no_violation();
    run_with(4 * S, 5_500 * MS).assert_violation(Rule::FinalResponse, "after its deadline");
    // A drain is sent while the proxy is paused: the grace begins when the proxy resumes.
    let mut run = run_with(4 * S, 4_500 * MS);
    run.send_status(S + 500 * MS, 1, ServerStatus::Draining);
    run.serve_request(5 * S, 0);
    run.send_status(5 * S + 500 * MS, 1, ServerStatus::Ready);
    run.assert_no_violation_before(6 * S);
}

#[test]
fn files_are_read_back_as_written_and_damaged_files_are_rejected() {
    let run = busy_run();
    let mut file = Vec::new();
    write(&mut file, &rules(), &run.records).unwrap();
    let (rules_read, records) = read(&mut &file[..]).unwrap();
    assert_eq!((rules_read, records), (rules(), run.records));
    assert!(read(&mut &file[..file.len() - 1]).is_err());
    let middle = file.len() / 2;
    file[middle] ^= 1;
    assert!(read(&mut &file[..]).is_err());
    assert!(read(&mut &b"else"[..]).is_err());
}
