//! The route table against a linear scan of the same routes, and the cost of a lookup as routes are added.

use http::Method;
use proptest::prelude::*;
use violetseam_settings::{Rank, RouteTable, Target};

/// A route of the linear scan that the table is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlainRoute {
    method: Option<Method>,
    prefix: String,
    target: Target,
}

impl PlainRoute {
    fn matches(&self, method: &Method, path: &str) -> bool {
        path.starts_with(&self.prefix) && self.method.as_ref().is_none_or(|required| required == method)
    }

    /// Every request that the other matches, this one matches.
    fn covers(&self, method: Option<&Method>, prefix: &str) -> bool {
        prefix.starts_with(&self.prefix) && (self.method.is_none() || self.method.as_ref() == method)
    }
}

fn method() -> impl Strategy<Value = Method> {
    let own = Method::from_bytes(b"PURGE").unwrap();
    prop::sample::select(vec![Method::GET, Method::POST, Method::HEAD, own])
}

/// Paths of few different bytes, so that prefixes of each other are common; one letter has two bytes.
fn path() -> impl Strategy<Value = String> {
    let letters = prop::collection::vec(prop::sample::select(vec!['a', 'b', '/', 'é']), 0..7);
    letters.prop_map(|letters| std::iter::once('/').chain(letters).collect())
}

fn routes() -> impl Strategy<Value = Vec<(Option<Method>, String)>> {
    prop::collection::vec((prop::option::of(method()), path()), 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A script's order: the first that matches counts, one that can never match is rejected.
    #[test]
    fn the_first_route_that_matches_counts(
        routes in routes(),
        requests in prop::collection::vec((method(), path()), 20),
    ) {
        let mut table = RouteTable::default();
        let mut scanned = Vec::<PlainRoute>::new();
        for (order, (method, prefix)) in routes.into_iter().enumerate() {
            let covered = scanned.iter().find(|route| route.covers(method.as_ref(), &prefix)).map(|route| route.target);
            prop_assert_eq!(table.covering(method.as_ref(), &prefix), covered);
            if covered.is_some() {
                continue;
            }
            let target = Target { rank: Rank(order as u64), class: order % 5 };
            prop_assert_eq!(table.insert(method.as_ref(), &prefix, target), None);
            scanned.push(PlainRoute { method, prefix, target });
        }
        prop_assert_eq!(table.len(), scanned.len());
        for (method, path) in requests {
            let first = scanned.iter().find(|route| route.matches(&method, &path)).map(|route| route.target);
            prop_assert_eq!(table.find(&method, &path), first);
        }
    }

    /// Without an order, through additions, replacements and removals: the longest prefix counts, and of
    /// two with the same prefix the one with a method.
    #[test]
    fn the_longest_prefix_counts_whatever_came_and_went(
        changes in prop::collection::vec((any::<bool>(), prop::option::of(method()), path(), 0_usize..5), 0..80),
        requests in prop::collection::vec((method(), path()), 20),
    ) {
        let mut table = RouteTable::default();
        let mut scanned = Vec::<PlainRoute>::new();
        for (adds, method, prefix, class) in changes {
            let at = scanned.iter().position(|route| route.method == method && route.prefix == prefix);
            let before = at.map(|at| scanned.remove(at).target);
            if adds {
                let target = Target { rank: Rank::by_prefix(method.as_ref(), &prefix), class };
                prop_assert_eq!(table.insert(method.as_ref(), &prefix, target), before);
                scanned.push(PlainRoute { method, prefix, target });
            } else {
                prop_assert_eq!(table.remove(method.as_ref(), &prefix), before);
            }
            prop_assert_eq!(table.len(), scanned.len());
        }
        for (method, path) in requests {
            let matching = scanned.iter().filter(|route| route.matches(&method, &path));
            let longest = matching.max_by_key(|route| (route.prefix.len(), route.method.is_some()));
            let longest = longest.map(|route| route.target);
            prop_assert_eq!(table.find(&method, &path), longest);
        }
        let mut rebuilt = RouteTable::default();
        for route in &scanned {
            rebuilt.insert(route.method.as_ref(), &route.prefix, route.target);
        }
        for route in &scanned {
            // What was removed left no nodes behind.
            prop_assert_eq!(table.nodes_visited(&route.prefix), rebuilt.nodes_visited(&route.prefix));
        }
        for route in &scanned {
            prop_assert_eq!(table.remove(route.method.as_ref(), &route.prefix), Some(route.target));
        }
        prop_assert!(table.is_empty());
        prop_assert!(scanned.iter().all(|route| table.nodes_visited(&route.prefix) == 1));
    }
}

/// As many routes as wanted, of four segments each: `/region/service/resource/part`.
fn table_of(count: usize) -> RouteTable {
    let mut table = RouteTable::default();
    for number in 0..count {
        let prefix = prefix_of(number);
        let target = Target { rank: Rank(number as u64), class: 0 };
        assert_eq!(table.covering(None, &prefix), None);
        table.insert(None, &prefix, target);
    }
    table
}

fn prefix_of(number: usize) -> String {
    format!("/region-{}/service-{:04}/resource-{:05}/", number % 4, number % 2_100, number)
}

#[test]
fn a_lookup_visits_as_many_nodes_as_the_path_allows_however_many_routes_there_are() {
    let most_visited = |count: usize| {
        let table = table_of(count);
        let paths = (0..count).map(|number| prefix_of(number) + "part/of/an/item");
        paths.map(|path| table.nodes_visited(&path)).max().unwrap()
    };
    // Each further digit of a number may be a node; the path stays as long as it is.
    let (few, many) = (most_visited(300), most_visited(30_000));
    let digits = "0-0000-00000".len();
    assert!(few <= digits && many <= digits, "{few} nodes among 300 routes, {many} among 30000");
}

#[test]
fn a_path_that_no_route_lies_along_visits_little_of_a_large_table() {
    let table = table_of(30_000);
    assert_eq!(table.find(&Method::GET, "/other"), None);
    assert!(table.nodes_visited("/other") <= 2, "{}", table.nodes_visited("/other"));
    let far = "/".repeat(100_000);
    assert!(table.nodes_visited(&far) <= 2, "{}", table.nodes_visited(&far));
}
