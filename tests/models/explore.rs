//! Breadth-first search for a state that breaks an invariant.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs::bfs;

/// The result of a search.
pub struct SearchResult<S> {
    /// The number of states that were expanded.
    pub states: usize,
    /// The shortest path to a state that breaks an invariant.
    pub violation: Option<Vec<S>>,
}

/// A state and its distance from the start, which is ignored in comparisons so
/// that no state is expanded twice.
#[derive(Clone)]
struct SearchNode<S> {
    state: S,
    depth: u32,
}

impl<S: PartialEq> PartialEq for SearchNode<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for SearchNode<S> {}

impl<S: Hash> Hash for SearchNode<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Searches the states within `depth_max` steps of `start` until one breaks an
/// invariant.
pub fn explore<S: Clone + Eq + Hash>(
    start: S,
    depth_max: u32,
    successors: impl Fn(&S) -> Vec<S>,
    is_violated: impl Fn(&S) -> bool,
) -> SearchResult<S> {
    let states = Cell::new(0);
    let next = |node: &SearchNode<S>| {
        states.set(states.get() + 1);
        let next_states = if node.depth < depth_max { successors(&node.state) } else { Vec::new() };
        let depth = node.depth + 1;
        next_states.into_iter().map(move |state| SearchNode { state, depth }).collect::<Vec<_>>()
    };
    let path = bfs(&SearchNode { state: start, depth: 0 }, next, |node| is_violated(&node.state));
    let violation = path.map(|path| path.into_iter().map(|node| node.state).collect());
    SearchResult { states: states.get(), violation }
}
