//! Which jobs wait for which: one graph, rebuilt by every leader from stored records.
//!
//! Only what is *stored* counts here: a dependency is done, or cancelled, once the state
//! service holds that. What one end changes costs as much as there are jobs after it,
//! and nothing for the others. It owns the edges alone and changes no job: who is ready or cancelled is returned.

use crate::intern::JobIndex;
use crate::jobs::Phase;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What became of jobs because of others.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DependencyUpdate {
    /// All dependencies of these are done.
    pub ready: Vec<JobIndex>,
    /// A job before these was cancelled. They are in the order of the graph.
    pub cancelled: Vec<JobIndex>,
}

#[derive(Debug, Default)]
struct Node {
    dependencies: Vec<JobIndex>,
    dependents: Vec<JobIndex>,
    /// Dependencies that are not stored as done, those not known here included.
    unmet: u32,
}

/// The dependencies between jobs that are open.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Jobs with dependencies or dependents.
    nodes: HashMap<JobIndex, Node>,
    /// Dependencies that are not known here yet, as watches and lists come in any order. By their ids: only some
    /// are read at a time, and which these are must not depend on a hash.
    unknown_dependencies: BTreeMap<String, Vec<JobIndex>>,
    /// Jobs that were looked at: what the graph costs.
    pub pairs_examined: u64,
}

impl DependencyGraph {
    /// Takes in a job, its dependencies as `look` knows them: their index and stored phase. A job
    /// that is over takes part only as a dependency of others. The update is of jobs that came before,
    /// and of this one where it is cancelled at once.
    pub fn add(
        &mut self,
        job_index: JobIndex,
        id: &str,
        phase: Phase,
        dependencies: &[String],
        look: impl Fn(&str) -> Option<(JobIndex, Phase)>,
    ) -> DependencyUpdate {
        let mut update = DependencyUpdate::default();
        if phase == Phase::Open && self.add_dependencies(job_index, dependencies, look) {
            update.cancelled.push(job_index);
        }
        self.resolve_unknown(job_index, id, phase, &mut update);
        self.propagate_cancellation(&mut update);
        update
    }

    /// True if one of the dependencies was cancelled.
    fn add_dependencies(
        &mut self,
        job_index: JobIndex,
        dependencies: &[String],
        look: impl Fn(&str) -> Option<(JobIndex, Phase)>,
    ) -> bool {
        let mut cancelled = false;
        for dependency in dependencies {
            self.pairs_examined += 1;
            if let Some((dependency_index, phase)) = look(dependency) {
                cancelled |= self.link(dependency_index, phase, job_index);
            } else {
                self.unknown_dependencies.entry(dependency.clone()).or_default().push(job_index);
                self.nodes.entry(job_index).or_default().unmet += 1;
            }
        }
        cancelled
    }

    /// The job counted as not done for those that came before it; from here on it counts by what it is.
    fn resolve_unknown(&mut self, job_index: JobIndex, id: &str, phase: Phase, update: &mut DependencyUpdate) {
        for dependent in self.unknown_dependencies.remove(id).unwrap_or_default() {
            self.pairs_examined += 1;
            // A dependent that is over has no node any more: it was cancelled in the meantime.
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.unmet -= 1;
            let last = node.unmet == 0;
            if self.link(job_index, phase, dependent) {
                update.cancelled.push(dependent);
            } else if last && phase == Phase::Done {
                update.ready.push(dependent);
            }
        }
    }

    /// The job depends on another. True if that one is cancelled, and so this one is to be.
    fn link(&mut self, dependency: JobIndex, phase: Phase, job_index: JobIndex) -> bool {
        if phase == Phase::Open {
            self.nodes.entry(dependency).or_default().dependents.push(job_index);
        }
        let node = self.nodes.entry(job_index).or_default();
        if phase != Phase::Done {
            node.unmet += 1;
        }
        if phase == Phase::Open {
            node.dependencies.push(dependency);
        }
        phase == Phase::Cancelled
    }

    /// Everything after a cancelled job is cancelled.
    fn propagate_cancellation(&mut self, update: &mut DependencyUpdate) {
        let mut seen: HashSet<JobIndex> = update.cancelled.iter().copied().collect();
        let mut next = 0;
        while let Some(job_index) = update.cancelled.get(next).copied() {
            next += 1;
            for dependent in self.dependents(job_index).to_vec() {
                self.pairs_examined += 1;
                if seen.insert(dependent) {
                    update.cancelled.push(dependent);
                }
            }
        }
    }

    /// This end is stored.
    pub fn on_job_ended(&mut self, job_index: JobIndex, phase: Phase) -> DependencyUpdate {
        let mut update = DependencyUpdate::default();
        let Some(ended) = self.nodes.remove(&job_index) else { return update };
        for dependency in &ended.dependencies {
            if let Some(node) = self.nodes.get_mut(dependency) {
                node.dependents.retain(|dependent| *dependent != job_index);
            }
        }
        for dependent in ended.dependents {
            self.pairs_examined += 1;
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.dependencies.retain(|dependency| *dependency != job_index);
            if phase == Phase::Cancelled {
                update.cancelled.push(dependent);
                continue;
            }
            node.unmet -= 1;
            if node.unmet == 0 {
                update.ready.push(dependent);
            }
        }
        self.propagate_cancellation(&mut update);
        update
    }

    /// Does this job wait for another?
    pub fn is_waiting(&self, job_index: JobIndex) -> bool {
        self.nodes.get(&job_index).is_some_and(|node| node.unmet > 0)
    }

    /// Open jobs that need this one directly.
    pub fn dependents(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |node| &node.dependents)
    }

    /// Open jobs that this one needs directly.
    pub fn dependencies(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |node| &node.dependencies)
    }

    /// Dependencies that are not known here yet, in the order of their ids.
    pub fn unknown_dependencies(&self) -> impl Iterator<Item = &str> {
        self.unknown_dependencies.keys().map(String::as_str)
    }

    /// Is this a dependency of some job, and not known here yet?
    pub fn is_unknown_dependency(&self, id: &str) -> bool {
        self.unknown_dependencies.contains_key(id)
    }

    /// Jobs that need this one, which is not known here yet.
    pub fn dependents_of_unknown(&self, id: &str) -> &[JobIndex] {
        self.unknown_dependencies.get(id).map_or(&[], Vec::as_slice)
    }

    /// How many jobs wait for others.
    pub fn waiting_count(&self) -> usize {
        self.nodes.values().filter(|node| node.unmet > 0).count()
    }
}

#[cfg(test)]
mod tests;
