//! Breadth-first exploration of everything that a small system can do, so that the first violation found is
//! one of the shortest.

use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A system whose steps are enumerated.
pub trait System {
    type State: Clone + Debug;
    type Action: Copy + Debug;

    fn initial(&self) -> Self::State;

    /// Every action that may happen next.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    fn apply(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// The invariant that this state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// What an exploration found.
#[derive(Debug)]
pub struct Outcome<A> {
    /// Distinct states that were visited.
    pub states: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// The violated invariant, and a shortest way to it.
    pub counterexample: Option<(&'static str, Vec<A>)>,
}

/// States are told apart by a hash of their `Debug` form: 64 bits, as is usual for model checkers.
fn fingerprint(state: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{state:?}").hash(&mut hasher);
    hasher.finish()
}

/// The actions that led to a state, first to last.
fn path<A: Copy>(parents: &HashMap<u64, Option<(u64, A)>>, mut at: u64) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some(Some((parent, action))) = parents.get(&at) {
        actions.push(*action);
        at = *parent;
    }
    actions.reverse();
    actions
}

/// Visits at most `most` states.
pub fn explore<S: System>(system: &S, most: usize) -> Outcome<S::Action> {
    let first = system.initial();
    let mut parents = HashMap::from([(fingerprint(&first), None)]);
    let mut queue = VecDeque::from([first]);
    while let Some(state) = queue.pop_front() {
        let from = fingerprint(&state);
        if let Some(invariant) = system.violation(&state) {
            let counterexample = Some((invariant, path(&parents, from)));
            return Outcome { states: parents.len(), complete: false, counterexample };
        }
        if parents.len() >= most {
            return Outcome { states: parents.len(), complete: false, counterexample: None };
        }
        for action in system.actions(&state) {
            let next = system.apply(&state, action);
            let to = fingerprint(&next);
            if let std::collections::hash_map::Entry::Vacant(entry) = parents.entry(to) {
                entry.insert(Some((from, action)));
                queue.push_back(next);
            }
        }
    }
    Outcome { states: parents.len(), complete: true, counterexample: None }
}
