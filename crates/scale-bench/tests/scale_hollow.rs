//! Growth of control traffic with the size of a fleet, asserted by counts that are the same on every machine: hollow
//! proxies in simulated time, and small fleets over real connections.

use std::time::Duration;
use violetseam_scale_bench::hollow_engine::{Releases, Shape};
use violetseam_scale_bench::hollow_evidence::{Carrier, Evidence, Plan, measure};
use violetseam_scale_bench::hollow_list;

/// A proxy tells its counters this often, by the decisions' rule.
const TELLS_PER_SECOND: f64 = 1.0 / 0.8;
/// Collectors of a stage.
const COLLECTORS: f64 = 3.0;
/// Longest datagram: header, payload, checksum.
const DATAGRAM_MOST: f64 = 272.0;

/// A vote stands so long, in microseconds.
const VOTE_LIFE: u64 = 2_000_000;
/// What is counted of simulated time.
const SPAN: Duration = Duration::from_secs(8);

fn evidence(proxies: usize, releases: Releases) -> Evidence {
    let shape = Shape { proxies, servers: 8, request_rate: 2.0, vote_life: VOTE_LIFE, releases, seed: 7 };
    let warm_up = Duration::from_secs(3);
    measure(&Plan { shape, carrier: Carrier::Simulated, warm_up, span: SPAN }).unwrap()
}

#[track_caller]
fn assert_within(what: &str, value: f64, of: f64, share: f64) {
    assert!((value / of - 1.0).abs() <= share, "{what}: {value} is not within {share} of {of}");
}

#[test]
fn a_plain_proxy_of_500_sends_and_hears_what_one_of_50_does() {
    let (small, large) = (evidence(50, Releases::OnTrial), evidence(500, Releases::OnTrial));
    assert!(small.plain.sent > 0.0, "no evidence was told: {small:?}");
    assert_within("datagrams sent", large.plain.sent, small.plain.sent, 0.1);
    assert_within("bytes sent", large.plain.sent_bytes, small.plain.sent_bytes, 0.1);
    assert_within("datagrams received", large.plain.received, small.plain.received, 0.1);
    // A sum's counters take more digits; no datagram is longer than the bound.
    let most = large.plain.received * DATAGRAM_MOST;
    assert!(large.plain.received_bytes <= most, "{} over {most}", large.plain.received_bytes);
    // Renewed at 0.6 of a vote's life; a span holds one more or less, by where it begins.
    let renewals = SPAN.as_secs_f64() / (VOTE_LIFE as f64 * 0.6 / 1e6);
    for fleet in [&small, &large] {
        let votes = fleet.plain.votes * SPAN.as_secs_f64();
        assert!((votes - renewals).abs() <= 1.0, "{votes} votes of a proxy, not {renewals}: {fleet:?}");
    }
}

#[test]
fn a_collector_hears_each_proxy_and_tells_each_once_a_period() {
    for proxies in [50, 500] {
        let fleet = evidence(proxies, Releases::OnTrial);
        let others = (proxies - 1) as f64;
        assert!((1..=COLLECTORS as usize).contains(&fleet.collector.proxies), "{fleet:?}");
        // Another collector's counters come as those of a plain proxy, and its sums besides.
        let sums = fleet.collector.proxies as f64 - 1.0;
        let expected = (others + sums) * TELLS_PER_SECOND;
        assert_within("datagrams received", fleet.collector.received, expected, 0.1);
        // Its sum to all, and its own counters to the other collectors.
        assert_within("datagrams sent", fleet.collector.sent, expected, 0.1);
    }
}

#[test]
fn twenty_proxies_tell_all_and_one_more_tells_collectors() {
    let (mesh, levels) = (evidence(20, Releases::OnTrial), evidence(21, Releases::OnTrial));
    assert_eq!(mesh.collector.proxies, 0, "{mesh:?}");
    assert_within("datagrams of a mesh", mesh.plain.sent, 19.0 * TELLS_PER_SECOND, 0.1);
    assert!(levels.collector.proxies > 0, "{levels:?}");
    assert_within("datagrams with collectors", levels.plain.sent, COLLECTORS * TELLS_PER_SECOND, 0.1);
}

#[test]
fn without_a_build_on_trial_nothing_is_told() {
    let rest = evidence(50, Releases::Released);
    assert_eq!((rest.plain.sent, rest.plain.votes, rest.collector.proxies), (0.0, 0.0, 0), "{rest:?}");
}

fn list(proxies: usize, servers: usize) -> hollow_list::List {
    let (span, changes_per_second) = (Duration::from_millis(1_000), 8.0);
    hollow_list::measure(&hollow_list::Plan { proxies, servers, span, changes_per_second }).unwrap()
}

#[test]
fn a_change_costs_a_proxy_the_same_whatever_the_fleet_and_the_list() {
    let for_each = |list: &hollow_list::List| {
        let proxies = list.plan.proxies as f64;
        assert_eq!(list.changed, 8, "{list:?}");
        list.changes.counts.sent as f64 / proxies / list.changed as f64
    };
    let (few, many, long) = (list(4, 50), list(40, 50), list(4, 500));
    let each = for_each(&few);
    assert_within("bytes of a change with ten times the proxies", for_each(&many), each, 0.1);
    assert_within("bytes of a change with ten times the servers", for_each(&long), each, 0.1);
    // At the start each is sent one whole list, after a cut none.
    for fleet in [&few, &many, &long] {
        assert_eq!(fleet.start.counts.whole_lists, fleet.plan.proxies as u64, "{fleet:?}");
        assert_eq!(fleet.cut.counts.whole_lists, 0, "{fleet:?}");
    }
    let whole = |list: &hollow_list::List| list.start.counts.sent as f64 / list.plan.proxies as f64;
    assert_within("bytes of a whole list with ten times the proxies", whole(&many), whole(&few), 0.1);
    assert_within("bytes of a whole list with ten times the servers", whole(&long), 10.0 * whole(&few), 0.1);
}
