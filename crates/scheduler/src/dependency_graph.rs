//! The graph of dependencies between jobs, which every leader rebuilds from stored records.
//!
//! The graph uses stored phases only: a dependency counts as done or cancelled once the state
//! service holds that phase. The cost of one job's end is proportional to the number of its dependents and
//! independent of all other jobs. The graph owns the edges and changes no job: it returns the jobs that became
//! ready or have to be cancelled.

use crate::intern::JobIndex;
use crate::jobs::Phase;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The effect of a change on the jobs that depend on the changed job.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DependencyUpdate {
    /// Jobs whose last open dependency is now done.
    pub ready: Vec<JobIndex>,
    /// Jobs to be cancelled because a direct or transitive dependency was cancelled, each after the job it depends on.
    pub cancelled: Vec<JobIndex>,
}

#[derive(Debug, Default)]
struct Node {
    dependencies: Vec<JobIndex>,
    dependents: Vec<JobIndex>,
    /// Number of dependencies that are not stored as done, including unknown ones.
    unmet: u32,
}

/// The dependencies between open jobs.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Jobs with dependencies or dependents.
    nodes: HashMap<JobIndex, Node>,
    /// Dependents of each job that is not known here yet: watches and lists deliver records in any order.
    /// Ordered by job id, because only some are read at a time and the choice must not depend on hash order.
    unknown_dependencies: BTreeMap<String, Vec<JobIndex>>,
    /// Number of job pairs examined so far, a measure of the graph's cost.
    pub pairs_examined: u64,
}

impl DependencyGraph {
    /// Adds a job. `lookup` returns the index and the stored phase of a dependency, if it is known.
    /// A job that has ended is used only as a dependency of others. The returned update covers jobs added
    /// earlier, and this job if it has to be cancelled at once.
    pub fn add(
        &mut self,
        job_index: JobIndex,
        id: &str,
        phase: Phase,
        dependencies: &[String],
        lookup: impl Fn(&str) -> Option<(JobIndex, Phase)>,
    ) -> DependencyUpdate {
        let mut update = DependencyUpdate::default();
        if phase == Phase::Open && self.add_dependencies(job_index, dependencies, lookup) {
            update.cancelled.push(job_index);
        }
        self.resolve_unknown(job_index, id, phase, &mut update);
        self.propagate_cancellation(&mut update);
        update
    }

    /// Adds the edges from a job to its dependencies. Returns true if one of the dependencies was cancelled.
    fn add_dependencies(
        &mut self,
        job_index: JobIndex,
        dependencies: &[String],
        lookup: impl Fn(&str) -> Option<(JobIndex, Phase)>,
    ) -> bool {
        let mut cancelled = false;
        for dependency in dependencies {
            self.pairs_examined += 1;
            if let Some((dependency_index, phase)) = lookup(dependency) {
                cancelled |= self.link(dependency_index, phase, job_index);
            } else {
                self.unknown_dependencies.entry(dependency.clone()).or_default().push(job_index);
                self.nodes.entry(job_index).or_default().unmet += 1;
            }
        }
        cancelled
    }

    /// Links a job to the dependents that were added before it: until now it counted as unmet for them, from now
    /// on its phase counts.
    fn resolve_unknown(&mut self, job_index: JobIndex, id: &str, phase: Phase, update: &mut DependencyUpdate) {
        for dependent in self.unknown_dependencies.remove(id).unwrap_or_default() {
            self.pairs_examined += 1;
            // A dependent without a node has ended: it was cancelled in the meantime.
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

    /// Adds the edge from `job_index` to its dependency. Returns true if the dependency is cancelled, so that the
    /// job has to be cancelled too.
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

    /// Adds all transitive dependents of the cancelled jobs to the cancelled jobs.
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

    /// Removes a job whose end is stored, and returns the effect on its dependents.
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

    /// Returns true if the job waits for a dependency.
    pub fn is_waiting(&self, job_index: JobIndex) -> bool {
        self.nodes.get(&job_index).is_some_and(|node| node.unmet > 0)
    }

    /// Returns the open jobs that depend directly on this job.
    pub fn dependents(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |node| &node.dependents)
    }

    /// Returns the open jobs that this job depends on directly.
    pub fn dependencies(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |node| &node.dependencies)
    }

    /// Returns the ids of dependencies that are not known here yet, in ascending order.
    pub fn unknown_dependencies(&self) -> impl Iterator<Item = &str> {
        self.unknown_dependencies.keys().map(String::as_str)
    }

    /// Returns true if some job depends on this id and the job of this id is not known here yet.
    pub fn is_unknown_dependency(&self, id: &str) -> bool {
        self.unknown_dependencies.contains_key(id)
    }

    /// Returns the jobs that depend on this id, whose job is not known here yet.
    pub fn dependents_of_unknown(&self, id: &str) -> &[JobIndex] {
        self.unknown_dependencies.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of jobs that wait for a dependency.
    pub fn waiting_count(&self) -> usize {
        self.nodes.values().filter(|node| node.unmet > 0).count()
    }
}

#[cfg(test)]
mod tests;
