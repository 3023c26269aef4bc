//! Tests of the simulated servers, the key caches and the endpoint registry.

use rand::SeedableRng;
use violetseam_simulated_site::model::RandomSource;
use violetseam_simulated_site::model::endpoint_registry::EndpointRegistry;
use violetseam_simulated_site::model::server::{
    Build, CompletedRequest, DedupCaches, FaultTarget, OverloadLimit, Reply, Server, ServerRequest,
};
use violetseam_simulated_site::scenario::{ClassSpec, Fault, FaultKind, Idempotency, ServerSpec};
use violetseam_site_protocol::endpoint_list::{Endpoint, EndpointState};

const SECOND: u64 = 1_000_000;
const LIMIT: OverloadLimit = OverloadLimit { multiple: 3.0, span: 2 * SECOND };

fn server_spec() -> ServerSpec {
    ServerSpec {
        zone: 1,
        cell: 2,
        cores: 1.0,
        speed: 1.0,
        slots: 1,
        queue: 1,
        connections: 10,
        slow_start_floor: 0.5,
        slow_start_span: 2 * SECOND,
        error_rate: 0.0,
    }
}

fn request(id: u64, work: f64) -> ServerRequest {
    ServerRequest { id, class: 0, key: 0, work }
}

fn warm_server() -> Server {
    Server::start(server_spec(), Build::without_defect(1), 0, true)
}

fn random() -> RandomSource {
    RandomSource::seed_from_u64(1)
}

#[test]
fn a_server_processes_one_request_per_slot_and_rejects_beyond_its_queue() {
    let mut server = warm_server();
    let mut random = random();
    assert_eq!(server.accept(0, request(1, 1_000.0), false, LIMIT, &mut random), None);
    assert_eq!(server.accept(0, request(2, 1_000.0), false, LIMIT, &mut random), None);
    assert_eq!(server.accept(0, request(3, 1_000.0), false, LIMIT, &mut random), Some(Reply::NotRun));
    assert_eq!(server.next_completion(), Some(1_000));
    let mut completed = Vec::new();
    server.take_completed(2_000, &mut completed);
    let reply = Reply::Ok { is_wrong: false };
    assert_eq!(completed, [CompletedRequest { id: 1, reply }, CompletedRequest { id: 2, reply }]);
}

#[test]
fn a_server_collapses_when_it_is_overloaded_while_warming_up() {
    let mut server = Server::start(server_spec(), Build::without_defect(1), 0, false);
    assert!((server.warm_fraction(SECOND) - 0.75).abs() < 1e-9);
    let mut random = random();
    // The server collapses above 3.75 s of work: half a core for 2 s, times the multiple of 3, plus the
    // margin of a quarter.
    server.accept(0, request(1, 3_700_000.0), false, LIMIT, &mut random);
    assert!(!server.collapsed);
    server.accept(0, request(2, 100_000.0), false, LIMIT, &mut random);
    assert!(server.collapsed);
}

#[test]
fn a_fault_slows_down_only_its_target_servers() {
    let fault = Fault {
        kind: FaultKind::SlowServer,
        at: 0,
        duration: SECOND,
        magnitude: 4.0,
        parameter: 0.0,
        targets: vec![1],
        selector: 0,
    };
    let completion_at = |index: usize| {
        let mut server = warm_server();
        FaultTarget { index, next_pause: 0 }.apply_faults(&mut server, 1.0, 0, [&fault].into_iter());
        server.accept(0, request(1, 1_000.0), false, LIMIT, &mut random());
        server.next_completion()
    };
    assert_eq!(completion_at(0), Some(1_000));
    assert_eq!(completion_at(1), Some(4_000));
}

#[test]
fn duplicates_are_recognized_within_their_server_group_and_window() {
    let class = ClassSpec {
        name: "write".into(),
        share: 1.0,
        work: 1.0,
        cv: 0.0,
        latency_objective: 1,
        deadline: 1,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::KeyedZone,
        dedup_window: SECOND,
    };
    let other_zone = ServerSpec { zone: 9, ..server_spec() };
    let mut caches = DedupCaches::default();
    assert!(!caches.is_duplicate(0, &class, 0, 7, &server_spec()));
    assert!(caches.is_duplicate(10, &class, 0, 7, &server_spec()));
    assert!(!caches.is_duplicate(10, &class, 0, 7, &other_zone));
    assert!(!caches.is_duplicate(10, &class, 0, 0, &server_spec()));
    assert!(!caches.is_duplicate(2 * SECOND, &class, 0, 7, &server_spec()));
}

#[test]
fn the_registry_shows_changes_when_they_are_due() {
    let endpoint = |state| Endpoint {
        id: 4,
        addr: ([127, 0, 0, 1], 1).into(),
        build: 1,
        state,
        zone: 0,
        cell: 0,
        size: 1.0,
        age_us: None,
    };
    let mut registry = EndpointRegistry::default();
    registry.schedule_change(10, endpoint(EndpointState::Ready), 5);
    registry.schedule_change(20, endpoint(EndpointState::Gone), 5);
    assert!(registry.apply_due(9).is_empty());
    assert_eq!(registry.apply_due(10).len(), 1);
    assert_eq!(registry.snapshot(15).servers[0].age_us, Some(10));
    let version = registry.version();
    assert!(registry.delta_since(15, version).is_none());
    registry.apply_due(20);
    assert!(registry.snapshot(20).servers.is_empty());
    assert_eq!(registry.delta_since(20, version).unwrap().servers[0].state, EndpointState::Gone);
}
