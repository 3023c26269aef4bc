//! Routes by path prefix and method, found in time that grows with the path's length alone.
//!
//! The table is a radix tree over the bytes of the prefixes: a node stands for the bytes from the root to it
//! and has the routes with exactly this prefix. A lookup walks down along the path, so that it visits at most
//! one node for each of the path's bytes, and none without routes below it. Insertion and removal touch the
//! nodes along the route's own prefix.
//!
//! Of several routes that match a path, the one with the lowest [`Rank`] counts. A settings script ranks its
//! routes by their order in the script, so that the first that matches counts. Routes without an order are
//! ranked by [`Rank::by_prefix`]: the longest prefix, and of two with the same prefix the one that names the
//! method.

mod node;

use http::Method;
use node::{Child, Node};
use slab::Slab;

/// Precedence of a route among those that match the same request: the lowest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u64);

impl Rank {
    /// Of routes without an order: a longer prefix before a shorter one, with a method before without.
    pub fn by_prefix(method: Option<&Method>, prefix: &str) -> Rank {
        let length = u64::try_from(prefix.len()).unwrap_or(u64::MAX).min(u64::MAX / 4);
        Rank(u64::MAX - 2 * length - u64::from(method.is_some()))
    }
}

/// What a route leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The lowest of those that match counts.
    pub rank: Rank,
    /// The index of the class that the requests are of.
    pub class: usize,
}

/// Routes by prefix and method.
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
    /// The number of routes.
    pub fn len(&self) -> usize {
        self.route_count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.route_count == 0
    }

    /// The route that counts for a request with this method and path.
    pub fn find(&self, method: &Method, path: &str) -> Option<Target> {
        self.lowest_ranked(Some(method), path)
    }

    /// A route that matches every request that one with this method and prefix would match; with no method
    /// given, only routes for any method do.
    pub fn covering(&self, method: Option<&Method>, prefix: &str) -> Option<Target> {
        self.lowest_ranked(method, prefix)
    }

    /// The number of nodes that a lookup of this path visits: a measure of its cost for tests.
    pub fn nodes_visited(&self, path: &str) -> usize {
        self.walk(path).count()
    }

    /// Adds a route; returns the one with the same method and prefix that it replaces.
    pub fn insert(&mut self, method: Option<&Method>, prefix: &str, target: Target) -> Option<Target> {
        let node = self.get_or_insert_node(prefix.as_bytes());
        let replaced = self.nodes[node].set_route(method, target);
        if replaced.is_none() {
            self.route_count += 1;
        }
        replaced
    }

    /// Removes the route with exactly this method and prefix, and returns it.
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

    /// The nodes whose prefix the path starts with, from the root on.
    fn walk<'a>(&'a self, path: &'a str) -> Walk<'a> {
        Walk { table: self, rest: path.as_bytes(), next: Some(self.root) }
    }

    /// The node for exactly this prefix, inserted if there is none.
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

    /// Splits a child where its label and these bytes differ; returns the part that the bytes begin with. A
    /// child whose whole label they begin with stays as it is.
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

    /// The nodes from the root to the one for exactly this prefix.
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

    /// Removes the last node of the branch if it has neither routes nor children, and merges nodes that no
    /// longer separate anything with their only child.
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

    /// A node without routes and with one child is replaced by the child.
    fn merge_with_only_child(&mut self, node: usize) {
        let [child] = self.nodes[node].children[..] else { return };
        let mut child = self.nodes.remove(child.key);
        child.label.splice(..0, self.nodes[node].label.iter().copied());
        self.nodes[node] = child;
    }
}

/// A walk from the root along a path.
struct Walk<'a> {
    table: &'a RouteTable,
    /// What is left of the path after the next node's prefix.
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
    /// The child whose label the rest of the path starts with.
    fn next_below(&mut self, node: &Node) -> Option<usize> {
        let child = node.child_towards(self.rest)?;
        self.rest = self.rest.strip_prefix(self.table.nodes[child].label.as_slice())?;
        Some(child)
    }
}
