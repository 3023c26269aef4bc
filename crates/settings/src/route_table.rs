//! A table of routes by path prefix and method. The cost of a lookup depends on the length of the path and
//! not on the number of routes.
//!
//! The table is a radix tree over the bytes of the prefixes. A node represents the bytes on the way from the
//! root to it, and holds the routes with exactly this prefix. A lookup descends along the path, so that it
//! visits at most one node for each byte of the path, and only nodes that have routes at or below them.
//! Insertion and removal only touch the nodes along the route's own prefix.
//!
//! If several routes match a path, the one with the lowest [`Rank`] applies. The routes of a settings script
//! are ranked by their order in the script, so that the first match applies. Routes without an order are
//! ranked by [`Rank::by_prefix`]: the longest prefix applies, and of two routes with the same prefix the one
//! that names the method.

mod node;

use http::Method;
use node::{Child, Node};
use slab::Slab;

/// Precedence of a route among those that match the same request. The lowest rank takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u64);

impl Rank {
    /// Returns the rank of a route that has no position in an order. Longer prefixes precede shorter ones,
    /// and with the same prefix, a route for one method precedes the route for any method.
    pub fn by_prefix(method: Option<&Method>, prefix: &str) -> Rank {
        let length = u64::try_from(prefix.len()).unwrap_or(u64::MAX).min(u64::MAX / 4);
        Rank(u64::MAX - 2 * length - u64::from(method.is_some()))
    }
}

/// The target of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Precedence of the route. Of the matching routes, the one with the lowest rank applies.
    pub rank: Rank,
    /// Index of the request class that the route assigns to requests.
    pub class: usize,
}

/// A table of routes by prefix and method.
#[derive(Clone, Debug)]
pub struct RouteTable {
    nodes: Slab<Node>,
    root: usize,
    route_count: usize,
}

impl Default for RouteTable {
    fn default() -> Self {
        let mut nodes = Slab::new();
        let root = nodes.insert(Node::default());
        RouteTable { nodes, root, route_count: 0 }
    }
}

impl RouteTable {
    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.route_count
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.route_count == 0
    }

    /// Returns the target of the route that applies to a request with this method and path.
    pub fn find(&self, method: &Method, path: &str) -> Option<Target> {
        self.lowest_ranked(Some(method), path)
    }

    /// Returns the target of the lowest-ranked route that matches every request that a route with this method
    /// and prefix would match. Without a method, only routes for any method qualify.
    pub fn covering(&self, method: Option<&Method>, prefix: &str) -> Option<Target> {
        self.lowest_ranked(method, prefix)
    }

    /// Returns the number of nodes that a lookup of this path visits. Tests use it as a measure of the cost.
    pub fn nodes_visited(&self, path: &str) -> usize {
        self.walk(path).count()
    }

    /// Adds a route. Returns the target of the route that it replaces, which is the one with the same method
    /// and prefix.
    pub fn insert(&mut self, method: Option<&Method>, prefix: &str, target: Target) -> Option<Target> {
        let node = self.get_or_insert_node(prefix.as_bytes());
        let replaced = self.nodes[node].set_route(method, target);
        if replaced.is_none() {
            self.route_count += 1;
        }
        replaced
    }

    /// Removes the route with exactly this method and prefix, and returns its target.
    pub fn remove(&mut self, method: Option<&Method>, prefix: &str) -> Option<Target> {
        let branch = self.branch_to(prefix.as_bytes())?;
        let node = *branch.last()?;
        let removed = self.nodes[node].remove_route(method)?;
        self.route_count -= 1;
        self.prune(&branch);
        Some(removed)
    }

    fn lowest_ranked(&self, method: Option<&Method>, path: &str) -> Option<Target> {
        self.walk(path).filter_map(|node| node.best_route(method)).min_by_key(|target| target.rank)
    }

    /// Iterates over the nodes whose prefix the path starts with, starting at the root.
    fn walk<'a>(&'a self, path: &'a str) -> Walk<'a> {
        Walk { table: self, rest: path.as_bytes(), next: Some(self.root) }
    }

    /// Returns the node for exactly this prefix, and inserts it if there is none.
    fn get_or_insert_node(&mut self, prefix: &[u8]) -> usize {
        let mut node = self.root;
        let mut rest = prefix;
        while let Some(first_byte) = rest.first().copied() {
            match self.nodes[node].child_index(first_byte) {
                Ok(index) => {
                    node = self.split_child(node, index, rest);
                    rest = &rest[self.nodes[node].label.len()..];
                }
                Err(index) => {
                    let leaf = self.nodes.insert(Node::with_label(rest));
                    self.nodes[node].children.insert(index, Child { first_byte, key: leaf });
                    return leaf;
                }
            }
        }
        node
    }

    /// Splits a child at the first byte where its label differs from `bytes`, and returns the upper part,
    /// whose label is a prefix of `bytes`. If `bytes` start with the child's whole label, the child is not
    /// split.
    fn split_child(&mut self, parent: usize, index: usize, bytes: &[u8]) -> usize {
        let child = self.nodes[parent].children[index].key;
        let label = &self.nodes[child].label;
        let common = label.iter().zip(bytes).take_while(|(a, b)| a == b).count();
        if common == label.len() {
            return child;
        }
        let mut upper = Node::with_label(&label[..common]);
        let lower_label = label[common..].to_vec();
        upper.children.push(Child { first_byte: lower_label[0], key: child });
        self.nodes[child].label = lower_label;
        let upper = self.nodes.insert(upper);
        self.nodes[parent].children[index].key = upper;
        upper
    }

    /// Returns the nodes from the root to the node for exactly this prefix, or `None` if there is no such
    /// node.
    fn branch_to(&self, prefix: &[u8]) -> Option<Vec<usize>> {
        let mut branch = vec![self.root];
        let mut node = self.root;
        let mut rest = prefix;
        while !rest.is_empty() {
            node = self.nodes[node].child_towards(rest)?;
            rest = rest.strip_prefix(self.nodes[node].label.as_slice())?;
            branch.push(node);
        }
        Some(branch)
    }

    /// Removes the last node of the branch if it has neither routes nor children. Merges the last node, or
    /// the parent of the removed one, with its only child if it has no routes and a single child.
    fn prune(&mut self, branch: &[usize]) {
        let &[.., parent, node] = branch else { return };
        if self.nodes[node].has_routes() {
            return;
        }
        if !self.nodes[node].children.is_empty() {
            self.merge_with_only_child(node);
            return;
        }
        let first_byte = self.nodes[node].label[0];
        if let Ok(index) = self.nodes[parent].child_index(first_byte) {
            self.nodes[parent].children.remove(index);
        }
        self.nodes.remove(node);
        if parent != self.root && !self.nodes[parent].has_routes() {
            self.merge_with_only_child(parent);
        }
    }

    /// Replaces a node by its child if it has exactly one. The node must not have routes.
    fn merge_with_only_child(&mut self, node: usize) {
        let [child] = self.nodes[node].children[..] else { return };
        let mut child = self.nodes.remove(child.key);
        child.label.splice(..0, self.nodes[node].label.iter().copied());
        self.nodes[node] = child;
    }
}

/// An iterator over the nodes from the root along a path.
struct Walk<'a> {
    table: &'a RouteTable,
    /// The part of the path after the next node's prefix.
    rest: &'a [u8],
    next: Option<usize>,
}

impl<'a> Iterator for Walk<'a> {
    type Item = &'a Node;

    fn next(&mut self) -> Option<&'a Node> {
        let node = &self.table.nodes[self.next.take()?];
        self.next = self.next_below(node);
        Some(node)
    }
}

impl Walk<'_> {
    /// Returns the child whose label the rest of the path starts with, and removes this label from the rest.
    fn next_below(&mut self, node: &Node) -> Option<usize> {
        let child = node.child_towards(self.rest)?;
        self.rest = self.rest.strip_prefix(self.table.nodes[child].label.as_slice())?;
        Some(child)
    }
}
