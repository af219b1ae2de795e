//! Breadth-first exploration of every state that a small system can reach. The first violation that it finds has a
//! shortest sequence of actions.

use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A system whose possible actions are enumerable in each state.
pub trait System {
    type State: Clone + Debug;
    type Action: Copy + Debug;

    fn initial(&self) -> Self::State;

    /// Returns every action that is possible in this state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// Returns the state after an action.
    fn apply(&self, state: &Self::State, action: Self::Action) -> Self::State;

    /// Returns the invariant that this state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Outcome<A> {
    /// Number of distinct states that were found.
    pub states: usize,
    /// Whether every reachable state was visited.
    pub complete: bool,
    /// The violated invariant, and a shortest sequence of actions that leads to it.
    pub counterexample: Option<(&'static str, Vec<A>)>,
}

/// Hashes the `Debug` form of a state. States with the same 64-bit fingerprint count as equal, as is usual for model
/// checkers.
fn fingerprint(state: &impl Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{state:?}").hash(&mut hasher);
    hasher.finish()
}

/// Returns the actions that lead to a state, first to last.
fn path<A: Copy>(parents: &HashMap<u64, Option<(u64, A)>>, mut state: u64) -> Vec<A> {
    let mut actions = Vec::new();
    while let Some(Some((parent, action))) = parents.get(&state) {
        actions.push(*action);
        state = *parent;
    }
    actions.reverse();
    actions
}

/// Explores a system until a violation, the last reachable state, or `max_states` distinct states.
pub fn explore<S: System>(system: &S, max_states: usize) -> Outcome<S::Action> {
    let first = system.initial();
    let mut parents = HashMap::from([(fingerprint(&first), None)]);
    let mut queue = VecDeque::from([first]);
    while let Some(state) = queue.pop_front() {
        let from = fingerprint(&state);
        if let Some(invariant) = system.violation(&state) {
            let counterexample = Some((invariant, path(&parents, from)));
            return Outcome { states: parents.len(), complete: false, counterexample };
        }
        if parents.len() >= max_states {
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
