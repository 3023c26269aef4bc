//! Growth of control traffic with the size of a fleet, asserted by counts that are the same on every machine:
//! lightweight proxies in simulated time, and small fleets over real connections.

use std::time::Duration;
use violetseam_scale_bench::lightweight_proxies::endpoint_list::{self, EndpointListTraffic};
use violetseam_scale_bench::lightweight_proxies::engine_fleet::{FleetConfig, ReleaseSource};
use violetseam_scale_bench::lightweight_proxies::evidence::{EvidenceTraffic, Plan, Transport, measure};

/// A proxy reports its counters this often, by the decision module's rule.
const REPORTS_PER_SECOND: f64 = 1.0 / 0.8;
/// Collectors of a stage.
const COLLECTORS: f64 = 3.0;
/// Longest datagram: header, payload, checksum.
const MAX_DATAGRAM_BYTES: f64 = 272.0;

/// A vote stands so long, in microseconds.
const VOTE_TTL: u64 = 2_000_000;
/// What is counted of simulated time.
const SPAN: Duration = Duration::from_secs(8);

fn evidence(proxies: usize, release_source: ReleaseSource) -> EvidenceTraffic {
    let fleet =
        FleetConfig { proxies, servers: 8, request_rate: 2.0, vote_ttl: VOTE_TTL, release_source, seed: 7 };
    let warm_up = Duration::from_secs(3);
    measure(&Plan { fleet, transport: Transport::Simulated, warm_up, span: SPAN }).unwrap()
}

#[track_caller]
fn assert_within(what: &str, value: f64, of: f64, share: f64) {
    assert!((value / of - 1.0).abs() <= share, "{what}: {value} is not within {share} of {of}");
}

#[test]
fn an_ordinary_proxy_of_500_exchanges_what_one_of_50_does() {
    let (small, large) = (evidence(50, ReleaseSource::OnTrial), evidence(500, ReleaseSource::OnTrial));
    assert!(small.ordinary.sent > 0.0, "no evidence was sent: {small:?}");
    assert_within("datagrams sent", large.ordinary.sent, small.ordinary.sent, 0.1);
    assert_within("bytes sent", large.ordinary.sent_bytes, small.ordinary.sent_bytes, 0.1);
    assert_within("datagrams received", large.ordinary.received, small.ordinary.received, 0.1);
    // A sum's counters take more digits; no datagram is longer than the bound.
    let bound = large.ordinary.received * MAX_DATAGRAM_BYTES;
    assert!(large.ordinary.received_bytes <= bound, "{} over {bound}", large.ordinary.received_bytes);
    // Renewed at 0.6 of a vote's time to live; a span holds one more or less, by where it begins.
    let renewals = SPAN.as_secs_f64() / (VOTE_TTL as f64 * 0.6 / 1e6);
    for fleet in [&small, &large] {
        let votes = fleet.ordinary.votes * SPAN.as_secs_f64();
        assert!((votes - renewals).abs() <= 1.0, "{votes} votes of a proxy, not {renewals}: {fleet:?}");
    }
}

#[test]
fn a_collector_receives_from_each_proxy_and_sends_to_each_once_a_period() {
    for proxies in [50, 500] {
        let fleet = evidence(proxies, ReleaseSource::OnTrial);
        let others = (proxies - 1) as f64;
        assert!((1..=COLLECTORS as usize).contains(&fleet.collector.proxies), "{fleet:?}");
        // Another collector's counters come as those of an ordinary proxy, and its sums besides.
        let sums = fleet.collector.proxies as f64 - 1.0;
        let expected = (others + sums) * REPORTS_PER_SECOND;
        assert_within("datagrams received", fleet.collector.received, expected, 0.1);
        // Its sum to all, and its own counters to the other collectors.
        assert_within("datagrams sent", fleet.collector.sent, expected, 0.1);
    }
}

#[test]
fn twenty_proxies_are_a_full_mesh_and_one_more_reports_to_collectors() {
    let (mesh, levels) = (evidence(20, ReleaseSource::OnTrial), evidence(21, ReleaseSource::OnTrial));
    assert_eq!(mesh.collector.proxies, 0, "{mesh:?}");
    assert_within("datagrams of a mesh", mesh.ordinary.sent, 19.0 * REPORTS_PER_SECOND, 0.1);
    assert!(levels.collector.proxies > 0, "{levels:?}");
    assert_within("datagrams with collectors", levels.ordinary.sent, COLLECTORS * REPORTS_PER_SECOND, 0.1);
}

#[test]
fn without_a_build_on_trial_no_evidence_is_sent() {
    let rest = evidence(50, ReleaseSource::Released);
    assert_eq!((rest.ordinary.sent, rest.ordinary.votes, rest.collector.proxies), (0.0, 0.0, 0), "{rest:?}");
}

fn list_traffic(proxies: usize, servers: usize) -> EndpointListTraffic {
    let span = Duration::from_millis(1_000);
    let plan = endpoint_list::Plan { proxies, servers, span, changes_per_second: 8.0 };
    endpoint_list::measure(&plan).unwrap()
}

#[test]
fn a_change_costs_a_proxy_the_same_whatever_the_fleet_and_the_list() {
    let for_each = |traffic: &EndpointListTraffic| {
        let proxies = traffic.plan.proxies as f64;
        assert_eq!(traffic.change_count, 8, "{traffic:?}");
        traffic.changes.counts.sent_bytes as f64 / proxies / traffic.change_count as f64
    };
    let few = list_traffic(4, 50);
    let many = list_traffic(40, 50);
    let long = list_traffic(4, 500);
    let each = for_each(&few);
    assert_within("bytes of a change with ten times the proxies", for_each(&many), each, 0.1);
    assert_within("bytes of a change with ten times the servers", for_each(&long), each, 0.1);
    // At the start each is sent one complete list, after a cut none.
    for fleet in [&few, &many, &long] {
        assert_eq!(fleet.start.counts.full_lists, fleet.plan.proxies as u64, "{fleet:?}");
        assert_eq!(fleet.reconnection.counts.full_lists, 0, "{fleet:?}");
    }
    let full_list_bytes =
        |traffic: &EndpointListTraffic| traffic.start.counts.sent_bytes as f64 / traffic.plan.proxies as f64;
    assert_within(
        "bytes of a whole list with ten times the proxies",
        full_list_bytes(&many),
        full_list_bytes(&few),
        0.1,
    );
    assert_within(
        "bytes of a whole list with ten times the servers",
        full_list_bytes(&long),
        10.0 * full_list_bytes(&few),
        0.1,
    );
}
