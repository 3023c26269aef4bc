//! Routes by path prefix and method, found in time that grows with the path's length alone.
//!
//! The table is a radix tree over the bytes of the prefixes: a node stands for the bytes from the root to
//! it and holds the routes with exactly this prefix. A lookup walks down along the path, so that it visits
//! at most one node for each of the path's bytes, and none that no route lies below. Insertion and removal
//! touch the nodes along the route's own prefix.
//!
//! Which of several routes that match a path counts is said by their [`Rank`]: the lowest. A settings
//! script ranks its routes by their place in the script, so that the first that matches counts. Routes
//! without an order are ranked by [`Rank::by_prefix`]: the longest prefix, and of two with the same prefix
//! the one that names the method.

use http::Method;
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

/// What a table holds for a method and prefix.
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
    routes: usize,
}

/// The routes of one prefix, and the way to longer ones.
#[derive(Clone, Debug, Default)]
struct Node {
    /// The bytes that the prefix has more than the parent's; empty at the root alone.
    label: Vec<u8>,
    /// The route for any method.
    any: Option<Target>,
    /// The routes for one method each, sorted by its name.
    by_method: Vec<(Method, Target)>,
    /// Nodes by the first byte of their label, sorted.
    children: Vec<(u8, usize)>,
}

impl Node {
    fn with_label(label: &[u8]) -> Node {
        Node { label: label.to_vec(), ..Node::default() }
    }

    fn child(&self, first: u8) -> Result<usize, usize> {
        self.children.binary_search_by_key(&first, |child| child.0)
    }

    fn method(&self, method: &Method) -> Result<usize, usize> {
        self.by_method.binary_search_by(|held| held.0.as_str().cmp(method.as_str()))
    }

    fn holds_routes(&self) -> bool {
        self.any.is_some() || !self.by_method.is_empty()
    }

    /// The route that counts here for a request with this method; with none, the one for any method.
    fn best(&self, method: Option<&Method>) -> Option<Target> {
        let own = method.and_then(|method| self.method(method).ok()).map(|at| self.by_method[at].1);
        [self.any, own].into_iter().flatten().min_by_key(|target| target.rank)
    }

    /// Sets or removes a route; gives the one before.
    fn set(&mut self, method: Option<&Method>, target: Option<Target>) -> Option<Target> {
        let Some(method) = method else { return std::mem::replace(&mut self.any, target) };
        match (self.method(method), target) {
            (Ok(at), Some(target)) => Some(std::mem::replace(&mut self.by_method[at].1, target)),
            (Ok(at), None) => Some(self.by_method.remove(at).1),
            (Err(at), Some(target)) => {
                self.by_method.insert(at, (method.clone(), target));
                None
            }
            (Err(_), None) => None,
        }
    }
}

impl Default for RouteTable {
    fn default() -> Self {
        let mut nodes = Slab::new();
        let root = nodes.insert(Node::default());
        RouteTable { nodes, root, routes: 0 }
    }
}

impl RouteTable {
    /// The number of routes.
    pub fn len(&self) -> usize {
        self.routes
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.routes == 0
    }

    /// The route that counts for a request with this method and path.
    pub fn find(&self, method: &Method, path: &str) -> Option<Target> {
        self.lowest(Some(method), path)
    }

    /// A route that matches every request that one with this method and prefix would match; with no method
    /// given, only routes for any method do.
    pub fn covering(&self, method: Option<&Method>, prefix: &str) -> Option<Target> {
        self.lowest(method, prefix)
    }

    /// The number of nodes that a lookup of this path visits: a measure of its cost for tests.
    pub fn visited(&self, path: &str) -> usize {
        self.walk(path).count()
    }

    /// Adds a route; gives the one with the same method and prefix that it takes the place of.
    pub fn insert(&mut self, method: Option<&Method>, prefix: &str, target: Target) -> Option<Target> {
        let node = self.node_for(prefix.as_bytes());
        let before = self.nodes[node].set(method, Some(target));
        self.routes += usize::from(before.is_none());
        before
    }

    /// Removes the route with exactly this method and prefix, and gives it.
    pub fn remove(&mut self, method: Option<&Method>, prefix: &str) -> Option<Target> {
        let way = self.way_to(prefix.as_bytes())?;
        let node = *way.last()?;
        let removed = self.nodes[node].set(method, None)?;
        self.routes -= 1;
        self.prune(&way);
        Some(removed)
    }

    fn lowest(&self, method: Option<&Method>, path: &str) -> Option<Target> {
        self.walk(path).filter_map(|node| node.best(method)).min_by_key(|target| target.rank)
    }

    /// The nodes whose prefix the path starts with, from the root on.
    fn walk<'a>(&'a self, path: &'a str) -> Walk<'a> {
        Walk { table: self, rest: path.as_bytes(), next: Some(self.root) }
    }

    /// The node for exactly this prefix, made if there is none.
    fn node_for(&mut self, prefix: &[u8]) -> usize {
        let (mut node, mut rest) = (self.root, prefix);
        while let Some(first) = rest.first() {
            match self.nodes[node].child(*first) {
                Ok(at) => {
                    node = self.split(node, at, rest);
                    rest = &rest[self.nodes[node].label.len()..];
                }
                Err(at) => {
                    let leaf = self.nodes.insert(Node::with_label(rest));
                    self.nodes[node].children.insert(at, (*first, leaf));
                    return leaf;
                }
            }
        }
        node
    }

    /// The child at this place, parted where its label and the bytes part, so that they go on with it.
    fn split(&mut self, parent: usize, at: usize, rest: &[u8]) -> usize {
        let child = self.nodes[parent].children[at].1;
        let label = &self.nodes[child].label;
        let common = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
        if common == label.len() {
            return child;
        }
        let mut upper = Node::with_label(&label[..common]);
        let lower = label[common..].to_vec();
        upper.children.push((lower[0], child));
        self.nodes[child].label = lower;
        let upper = self.nodes.insert(upper);
        self.nodes[parent].children[at].1 = upper;
        upper
    }

    /// The nodes from the root to the one for exactly this prefix.
    fn way_to(&self, prefix: &[u8]) -> Option<Vec<usize>> {
        let (mut way, mut rest) = (vec![self.root], prefix);
        while let Some(first) = rest.first() {
            let node = &self.nodes[*way.last()?];
            let child = node.children[node.child(*first).ok()?].1;
            rest = rest.strip_prefix(self.nodes[child].label.as_slice())?;
            way.push(child);
        }
        Some(way)
    }

    /// Removes the last node of the way if nothing needs it any more, and joins nodes that no longer part
    /// anything with their only child.
    fn prune(&mut self, way: &[usize]) {
        let [.., parent, node] = way else { return };
        let (parent, node) = (*parent, *node);
        if self.nodes[node].holds_routes() {
            return;
        }
        if !self.nodes[node].children.is_empty() {
            return self.join(node);
        }
        let first = self.nodes[node].label[0];
        if let Ok(at) = self.nodes[parent].child(first) {
            self.nodes[parent].children.remove(at);
        }
        self.nodes.remove(node);
        if parent != self.root && !self.nodes[parent].holds_routes() {
            self.join(parent);
        }
    }

    /// A node without routes and with one child takes the child's place.
    fn join(&mut self, node: usize) {
        let [(_, child)] = self.nodes[node].children[..] else { return };
        let child = self.nodes.remove(child);
        let mut label = std::mem::take(&mut self.nodes[node].label);
        label.extend_from_slice(&child.label);
        self.nodes[node] = Node { label, ..child };
    }
}

/// A walk from the root along a path.
struct Walk<'a> {
    table: &'a RouteTable,
    rest: &'a [u8],
    next: Option<usize>,
}

impl<'a> Iterator for Walk<'a> {
    type Item = &'a Node;

    fn next(&mut self) -> Option<&'a Node> {
        let node = &self.table.nodes[self.next.take()?];
        self.next = self.step(node);
        Some(node)
    }
}

impl Walk<'_> {
    /// The child that the rest of the path goes on to.
    fn step(&mut self, node: &Node) -> Option<usize> {
        let at = node.child(*self.rest.first()?).ok()?;
        let child = node.children[at].1;
        self.rest = self.rest.strip_prefix(self.table.nodes[child].label.as_slice())?;
        Some(child)
    }
}
