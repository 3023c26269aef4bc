//! A node of the route table's radix tree.

use super::Target;
use http::Method;

/// The routes of one prefix, and the edges to longer prefixes.
#[derive(Clone, Debug, Default)]
pub(super) struct Node {
    /// The bytes by which the prefix is longer than the parent's. Only the root has an empty label.
    pub label: Vec<u8>,
    /// The route for any method.
    any_method: Option<Target>,
    /// The routes for a single method, sorted by the method's name.
    by_method: Vec<MethodRoute>,
    /// The edges to longer prefixes, sorted by first byte.
    pub children: Vec<Child>,
}

/// A route for a single method.
#[derive(Clone, Debug)]
struct MethodRoute {
    method: Method,
    target: Target,
}

/// An edge to a longer prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Child {
    /// The first byte of the child's label.
    pub first_byte: u8,
    /// Key of the child node in the table's slab.
    pub key: usize,
}

impl Node {
    pub(super) fn with_label(label: &[u8]) -> Node {
        Node { label: label.to_vec(), ..Node::default() }
    }

    /// Returns the index of the child whose label starts with this byte, or else the index at which to insert
    /// such a child.
    pub(super) fn child_index(&self, first_byte: u8) -> Result<usize, usize> {
        self.children.binary_search_by_key(&first_byte, |child| child.first_byte)
    }

    /// Returns the key of the child whose label starts with the first of these bytes.
    pub(super) fn child_towards(&self, bytes: &[u8]) -> Option<usize> {
        let index = self.child_index(*bytes.first()?).ok()?;
        Some(self.children[index].key)
    }

    pub(super) fn has_routes(&self) -> bool {
        self.any_method.is_some() || !self.by_method.is_empty()
    }

    /// Returns the lowest-ranked target of this node for a request with this method. Without a method, only
    /// the route for any method qualifies.
    pub(super) fn best_route(&self, method: Option<&Method>) -> Option<Target> {
        let index = method.and_then(|method| self.method_index(method).ok());
        let for_method = index.map(|index| self.by_method[index].target);
        [self.any_method, for_method].into_iter().flatten().min_by_key(|target| target.rank)
    }

    /// Sets the route for this method, and returns the target of the route that it replaces.
    pub(super) fn set_route(&mut self, method: Option<&Method>, target: Target) -> Option<Target> {
        let Some(method) = method else { return self.any_method.replace(target) };
        match self.method_index(method) {
            Ok(index) => Some(std::mem::replace(&mut self.by_method[index].target, target)),
            Err(index) => {
                self.by_method.insert(index, MethodRoute { method: method.clone(), target });
                None
            }
        }
    }

    /// Removes the route for this method, and returns its target.
    pub(super) fn remove_route(&mut self, method: Option<&Method>) -> Option<Target> {
        let Some(method) = method else { return self.any_method.take() };
        let index = self.method_index(method).ok()?;
        Some(self.by_method.remove(index).target)
    }

    fn method_index(&self, method: &Method) -> Result<usize, usize> {
        self.by_method.binary_search_by(|route| route.method.as_str().cmp(method.as_str()))
    }
}
