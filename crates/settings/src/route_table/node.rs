//! A node of the route table's radix tree.

use super::Target;
use http::Method;

/// The routes of one prefix, and the edges to longer ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Node {
    /// The bytes that the prefix has more than the parent's; empty at the root alone.
    pub label: Vec<u8>,
    /// The route for any method.
    any_method: Option<Target>,
    /// The routes for one method each, sorted by its name.
    by_method: Vec<MethodRoute>,
    /// Sorted by first byte.
    pub children: Vec<Child>,
}

/// The route for one method.
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
    /// The child's key in the table.
    pub key: usize,
}

impl Node {
    pub(super) fn with_label(label: &[u8]) -> Node {
        Node { label: label.to_vec(), ..Node::default() }
    }

    /// The index of the child whose label begins with a byte, else the index to insert one at.
    pub(super) fn child_index(&self, first_byte: u8) -> Result<usize, usize> {
        self.children.binary_search_by_key(&first_byte, |child| child.first_byte)
    }

    /// The key of the child that the next of these bytes leads to.
    pub(super) fn child_towards(&self, bytes: &[u8]) -> Option<usize> {
        let index = self.child_index(*bytes.first()?).ok()?;
        Some(self.children[index].key)
    }

    pub(super) fn has_routes(&self) -> bool {
        self.any_method.is_some() || !self.by_method.is_empty()
    }

    /// The route that counts here for a request with this method; with none, the one for any method.
    pub(super) fn best_route(&self, method: Option<&Method>) -> Option<Target> {
        let index = method.and_then(|method| self.method_index(method).ok());
        let for_method = index.map(|index| self.by_method[index].target);
        [self.any_method, for_method].into_iter().flatten().min_by_key(|target| target.rank)
    }

    /// Sets a route; returns the one that it replaces.
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

    /// Removes a route, and returns it.
    pub(super) fn remove_route(&mut self, method: Option<&Method>) -> Option<Target> {
        let Some(method) = method else { return self.any_method.take() };
        let index = self.method_index(method).ok()?;
        Some(self.by_method.remove(index).target)
    }

    fn method_index(&self, method: &Method) -> Result<usize, usize> {
        self.by_method.binary_search_by(|route| route.method.as_str().cmp(method.as_str()))
    }
}
