//! Compares the route table with a linear scan of the same routes, and checks the cost of lookups in large
//! tables.

use http::Method;
use proptest::prelude::*;
use violetseam_settings::{Rank, RouteTable, Target};

/// A route of the linear scan, which is the reference that the table is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReferenceRoute {
    method: Option<Method>,
    prefix: String,
    target: Target,
}

impl ReferenceRoute {
    fn matches(&self, method: &Method, path: &str) -> bool {
        path.starts_with(&self.prefix) && self.method.as_ref().is_none_or(|required| required == method)
    }

    /// Whether this route matches every request that a route with this method and prefix matches.
    fn covers(&self, method: Option<&Method>, prefix: &str) -> bool {
        prefix.starts_with(&self.prefix) && (self.method.is_none() || self.method.as_ref() == method)
    }
}

fn method() -> impl Strategy<Value = Method> {
    let extension_method = Method::from_bytes(b"PURGE").unwrap();
    prop::sample::select(vec![Method::GET, Method::POST, Method::HEAD, extension_method])
}

/// Generates paths from a small alphabet, so that one path is often a prefix of another. The alphabet
/// contains a letter of two bytes, so that labels can split inside a character.
fn path() -> impl Strategy<Value = String> {
    let letters = prop::collection::vec(prop::sample::select(vec!['a', 'b', '/', 'é']), 0..7);
    letters.prop_map(|letters| std::iter::once('/').chain(letters).collect())
}

fn routes() -> impl Strategy<Value = Vec<(Option<Method>, String)>> {
    prop::collection::vec((prop::option::of(method()), path()), 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// With the ranks of a script, which follow its order, the first route that matches applies, and a route
    /// that can never match is reported as covered.
    #[test]
    fn the_first_route_that_matches_applies(
        routes in routes(),
        requests in prop::collection::vec((method(), path()), 20),
    ) {
        let mut table = RouteTable::default();
        let mut reference = Vec::<ReferenceRoute>::new();
        for (order, (method, prefix)) in routes.into_iter().enumerate() {
            let covered = reference
                .iter()
                .find(|route| route.covers(method.as_ref(), &prefix))
                .map(|route| route.target);
            prop_assert_eq!(table.covering(method.as_ref(), &prefix), covered);
            if covered.is_some() {
                continue;
            }
            let target = Target { rank: Rank(order as u64), class: order % 5 };
            prop_assert_eq!(table.insert(method.as_ref(), &prefix, target), None);
            reference.push(ReferenceRoute { method, prefix, target });
        }
        prop_assert_eq!(table.len(), reference.len());
        for (method, path) in requests {
            let first = reference
                .iter()
                .find(|route| route.matches(&method, &path))
                .map(|route| route.target);
            prop_assert_eq!(table.find(&method, &path), first);
        }
    }

    /// With the ranks of routes without an order, the longest prefix applies, and of two routes with the same
    /// prefix the one with a method. This holds after any sequence of additions, replacements and removals.
    #[test]
    fn the_longest_prefix_applies_after_additions_and_removals(
        changes in prop::collection::vec(
            (any::<bool>(), prop::option::of(method()), path(), 0_usize..5), 0..80
        ),
        requests in prop::collection::vec((method(), path()), 20),
    ) {
        let mut table = RouteTable::default();
        let mut reference = Vec::<ReferenceRoute>::new();
        for (is_addition, method, prefix, class) in changes {
            let index = reference.iter().position(|route| route.method == method && route.prefix == prefix);
            let previous = index.map(|index| reference.remove(index).target);
            if is_addition {
                let target = Target { rank: Rank::by_prefix(method.as_ref(), &prefix), class };
                prop_assert_eq!(table.insert(method.as_ref(), &prefix, target), previous);
                reference.push(ReferenceRoute { method, prefix, target });
            } else {
                prop_assert_eq!(table.remove(method.as_ref(), &prefix), previous);
            }
            prop_assert_eq!(table.len(), reference.len());
        }
        for (method, path) in requests {
            let matching = reference.iter().filter(|route| route.matches(&method, &path));
            let longest = matching.max_by_key(|route| (route.prefix.len(), route.method.is_some()));
            let longest = longest.map(|route| route.target);
            prop_assert_eq!(table.find(&method, &path), longest);
        }
        let mut rebuilt = RouteTable::default();
        for route in &reference {
            rebuilt.insert(route.method.as_ref(), &route.prefix, route.target);
        }
        for route in &reference {
            // Removed routes leave no nodes behind: lookups cost the same as in a newly built table.
            prop_assert_eq!(table.nodes_visited(&route.prefix), rebuilt.nodes_visited(&route.prefix));
        }
        for route in &reference {
            prop_assert_eq!(table.remove(route.method.as_ref(), &route.prefix), Some(route.target));
        }
        prop_assert!(table.is_empty());
        prop_assert!(reference.iter().all(|route| table.nodes_visited(&route.prefix) == 1));
    }
}

/// Builds a table with this number of routes, whose prefixes have three segments: a region, a service and a
/// resource.
fn table_with_routes(count: usize) -> RouteTable {
    let mut table = RouteTable::default();
    for number in 0..count {
        let prefix = numbered_prefix(number);
        let target = Target { rank: Rank(number as u64), class: 0 };
        assert_eq!(table.covering(None, &prefix), None);
        table.insert(None, &prefix, target);
    }
    table
}

fn numbered_prefix(number: usize) -> String {
    format!("/region-{}/service-{:04}/resource-{:05}/", number % 4, number % 2_100, number)
}

#[test]
fn the_nodes_that_a_lookup_visits_are_limited_by_the_path_and_not_by_the_number_of_routes() {
    let most_visited = |count: usize| {
        let table = table_with_routes(count);
        let paths = (0..count).map(|number| numbered_prefix(number) + "part/of/an/item");
        paths.map(|path| table.nodes_visited(&path)).max().unwrap()
    };
    // The prefixes differ only in the digits of their numbers, so that each digit is at most one node.
    let (few, many) = (most_visited(300), most_visited(30_000));
    let max_nodes = "0-0000-00000".len();
    assert!(few <= max_nodes && many <= max_nodes, "{few} nodes among 300 routes, {many} among 30000");
}

#[test]
fn a_lookup_of_a_path_without_routes_visits_at_most_two_nodes_of_a_large_table() {
    let table = table_with_routes(30_000);
    assert_eq!(table.find(&Method::GET, "/other"), None);
    assert!(table.nodes_visited("/other") <= 2, "{}", table.nodes_visited("/other"));
    let long_path = "/".repeat(100_000);
    assert!(table.nodes_visited(&long_path) <= 2, "{}", table.nodes_visited(&long_path));
}
