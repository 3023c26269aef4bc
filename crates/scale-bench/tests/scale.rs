//! How the costs of a large fleet grow, by counts that are the same on every machine: bytes, messages and
//! entries, never times. Small sizes of what `violetseam lab scale` measures at large ones.

use violetseam_scale_bench::evidence::EvidenceBenchmark;
use violetseam_scale_bench::fit::{Curve, FitError, Point, line, power};
use violetseam_scale_bench::memory::MemoryBenchmark;
use violetseam_scale_bench::routing::RoutingBenchmark;
use violetseam_scale_bench::server_list::{ServerListBenchmark, delta, full_list, zone_removal};
use violetseam_scale_bench::settings::SettingsBenchmark;
use violetseam_scale_bench::table::{Measurement, Table, Unit};
use violetseam_scale_bench::{Benchmark, RunOptions, measure};
use violetseam_site_protocol::endpoint_list::{EndpointList, ListUpdate, MAX_SERVERS};

const OPTIONS: RunOptions = RunOptions { quick: true, seed: 7 };

fn measured(benchmark: &dyn Benchmark) -> Table {
    let table = measure(benchmark, benchmark.default_sizes(true), &OPTIONS).unwrap();
    assert!(benchmark.default_sizes(true).len() >= 3 && benchmark.default_sizes(false).len() >= 3);
    table
}

/// The values of a quantity, by rising size.
fn values(table: &Table, quantity: &str) -> Vec<f64> {
    let values: Vec<f64> = table.points(quantity).iter().map(|p| p.value).collect();
    assert_eq!(values.len(), 3, "{quantity}: {:?}", table.quantities());
    values
}

/// The largest value within this share of the smallest.
fn is_even(values: &[f64], share: f64) -> bool {
    let largest = values.iter().copied().fold(f64::MIN, f64::max);
    let smallest = values.iter().copied().fold(f64::MAX, f64::min);
    largest <= smallest * (1.0 + share)
}

/// Each value over its size.
fn per_unit_of_size(table: &Table, quantity: &str) -> Vec<f64> {
    table.points(quantity).iter().map(|p| p.value / p.size).collect()
}

#[test]
fn fits_find_the_line_and_the_power_law_that_the_points_lie_on() {
    let points =
        |value: fn(f64) -> f64| [10.0, 100.0, 1_000.0].map(|size| Point { size, value: value(size) });
    let straight = line(&points(|n| 5.0 + 2.0 * n)).unwrap();
    let Curve::Line { intercept, slope } = straight.curve else { panic!("{straight:?}") };
    assert!((intercept - 5.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-12, "{straight:?}");
    assert!(straight.largest_residual < 1e-9 && straight.standard_error < 1e-9, "{straight:?}");
    assert!((straight.at(68_000.0) - 136_005.0).abs() < 1e-6);
    assert_eq!(straight.extrapolation(68_000.0), 68.0);
    let square = power(&points(|n| 3.0 * n * n)).unwrap();
    let Curve::Power { factor, exponent } = square.curve else { panic!("{square:?}") };
    assert!((factor - 3.0).abs() < 1e-9 && (exponent - 2.0).abs() < 1e-12, "{square:?}");
}

#[test]
fn the_spread_of_a_fit_says_how_far_points_lie_off_it() {
    let points = [(1.0, 10.0), (2.0, 22.0), (3.0, 30.0)].map(|(size, value)| Point { size, value });
    let fit = line(&points).unwrap();
    // By hand: slope 10, intercept 2/3; residuals -2/3, 4/3, -2/3; their squares add up to 8/3, over 1 degree
    // of freedom and a variation of 2 in size.
    assert!((fit.standard_error - (4.0_f64 / 3.0).sqrt()).abs() < 1e-9, "{fit:?}");
    assert!((fit.largest_residual - (4.0 / 3.0) / (62.0 / 3.0)).abs() < 1e-9, "{fit:?}");
    assert_eq!(line(&points[..1]), Err(FitError::TooFewSizes));
    assert_eq!(line(&[points[0], points[0]]), Err(FitError::TooFewSizes));
    assert_eq!(power(&[points[0], Point { size: 2.0, value: 0.0 }]), Err(FitError::UnusableValue));
}

#[test]
fn tables_have_every_measurement_with_its_unit() {
    let measurements = vec![
        Measurement::new("bytes, all", Unit::Bytes, 10, 100.0),
        Measurement::new("bytes, all", Unit::Bytes, 20, 200.0),
        Measurement::new("refused", Unit::Count, 20, 1.0),
    ];
    let table = Table { name: "example".into(), size_unit: "servers".into(), measurements };
    let mut csv = Vec::new();
    table.write_csv(&mut csv).unwrap();
    let expected = "slope,size_of,quantity,unit,size,value\n\
                    example,servers,\"bytes, all\",bytes,10,100\n\
                    example,servers,\"bytes, all\",bytes,20,200\n\
                    example,servers,refused,count,20,1\n";
    assert_eq!(String::from_utf8(csv).unwrap(), expected);
    let text = table.text();
    for piece in ["10 servers", "20 servers", "10.00*n", "fewer than two different sizes"] {
        assert!(text.contains(piece), "{piece}: {text}");
    }
}

#[test]
fn a_changed_server_costs_the_same_bytes_however_long_the_list_is() {
    let table = measured(&ServerListBenchmark);
    assert!(is_even(&values(&table, "change of one server"), 0.0), "{}", table.text());
    // A complete list costs bytes by the server, and a zone an eleventh of it.
    assert!(is_even(&per_unit_of_size(&table, "whole list"), 0.02), "{}", table.text());
    let whole = values(&table, "whole list");
    for (zone, whole) in values(&table, "change of a zone").iter().zip(whole) {
        assert!((0.08..0.11).contains(&(zone / whole)), "{}", table.text());
    }
    assert!(is_even(&per_unit_of_size(&table, "addresses held"), 0.0), "{}", table.text());
}

#[test]
fn a_list_past_the_bound_is_rejected_and_one_at_the_bound_is_accepted() {
    let max_servers = MAX_SERVERS as u64;
    assert!(ListUpdate::parse(&full_list(max_servers, 1).write()).is_ok());
    let rejected = ListUpdate::parse(&full_list(max_servers + 1, 1).write()).unwrap_err();
    assert_eq!(rejected.to_string(), "roster: too many servers");
    let table = measure(&ServerListBenchmark, &[max_servers, max_servers + 1], &OPTIONS).unwrap();
    assert_eq!(
        (table.value("refused", max_servers), table.value("refused", max_servers + 1)),
        (Some(0.0), Some(1.0))
    );
    assert_eq!(table.value("addresses held", max_servers + 1), None);
}

#[test]
fn the_measured_lists_are_those_that_proxies_accept() {
    let full = full_list(1_100, 3);
    let zone = delta(&full, zone_removal(&full));
    assert_eq!(zone.servers.len(), 100);
    let mut list = EndpointList::default();
    list.apply(1, &ListUpdate::parse(&full.write()).unwrap()).unwrap();
    let (_, entries) = list.apply(2, &ListUpdate::parse(&zone.write()).unwrap()).unwrap();
    assert_eq!(entries.len(), 100);
}

#[test]
fn settings_have_an_entry_for_each_route_and_each_tenant() {
    for benchmark in [SettingsBenchmark::Routes, SettingsBenchmark::Tenants] {
        let table = measured(&benchmark);
        assert!(is_even(&per_unit_of_size(&table, "entries held"), 0.0), "{}", table.text());
        assert_eq!(values(&table, "refused"), [0.0; 3], "{}", table.text());
    }
}

#[test]
fn balancer_state_grows_by_the_same_bytes_for_each_server_and_each_tenant() {
    for benchmark in [MemoryBenchmark::Servers, MemoryBenchmark::Tenants] {
        let table = measured(&benchmark);
        let state = table.points("state, serialized");
        let growth: Vec<f64> =
            state.windows(2).map(|w| (w[1].value - w[0].value) / (w[1].size - w[0].size)).collect();
        assert!(is_even(&growth, 0.1), "{growth:?} {}", table.text());
        assert!(growth.iter().all(|bytes| (20.0..80.0).contains(bytes)), "{growth:?}");
    }
}

#[test]
fn an_idle_fleet_sends_every_request_to_a_server_at_once() {
    let table = measured(&RoutingBenchmark);
    assert!(is_even(&values(&table, "attempts"), 0.0), "{}", table.text());
    assert!(values(&table, "attempts")[0] > 0.0);
}

#[test]
fn a_proxy_exchanges_as_much_evidence_in_a_large_fleet_as_in_a_small_one() {
    let table = measured(&EvidenceBenchmark { requests_per_second: 191.0 });
    for quantity in
        ["collectors", "reports out of a proxy", "report bytes out of a proxy", "votes of a proxy"]
    {
        assert!(is_even(&values(&table, quantity), 0.0), "{quantity}: {}", table.text());
        assert!(values(&table, quantity)[0] > 0.0, "{quantity}");
    }
    assert!(is_even(&values(&table, "sums into a proxy"), 0.0), "{}", table.text());
    // Sums hold larger counts in a larger fleet: a byte more for each seventh of its bits.
    assert!(is_even(&values(&table, "sum bytes into a proxy"), 0.25), "{}", table.text());
}

/// A known limit: a collector's share grows with the fleet. Collectors in levels will replace this test by
/// one that has it bounded.
#[test]
fn a_collectors_traffic_and_state_grow_in_proportion_to_the_fleet() {
    let table = measured(&EvidenceBenchmark { requests_per_second: 191.0 });
    for quantity in ["reports into a collector", "report bytes into a collector", "sums out of a collector"] {
        let points = table.points(quantity);
        let per_peer: Vec<f64> = points.iter().map(|p| p.value / (p.size - 1.0)).collect();
        assert!(is_even(&per_peer, 1e-9), "{quantity}: {per_peer:?}");
    }
    let state = table.points("state of a collector, serialized");
    let growth: Vec<f64> =
        state.windows(2).map(|w| (w[1].value - w[0].value) / (w[1].size - w[0].size)).collect();
    assert!(is_even(&growth, 0.01), "{growth:?}");
}
