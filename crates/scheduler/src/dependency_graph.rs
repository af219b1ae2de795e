//! Which jobs wait for which: one graph, rebuilt by every leader from stored records.
//!
//! Only what is *stored* counts here: a need is done, or cancelled, once the state
//! service holds that. What one end changes costs as much as there are jobs after it,
//! and nothing for the others. Pure bookkeeping: who is free or doomed is returned.

use crate::intern::JobIndex;
use crate::jobs::Phase;
use std::collections::{BTreeMap, HashMap};

/// What became of jobs because of others.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DependencyUpdate {
    /// All that these need is done.
    pub ready: Vec<JobIndex>,
    /// A job before these was cancelled. They are in the order of the graph.
    pub cancelled: Vec<JobIndex>,
}

#[derive(Debug, Default)]
struct Node {
    dependencies: Vec<JobIndex>,
    dependents: Vec<JobIndex>,
    /// Needs that are not stored as done, those not known here included.
    unmet: u32,
}

#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Jobs that need others or are needed.
    nodes: HashMap<JobIndex, Node>,
    /// Needs that were not heard of here yet, as watches and lists come in any order. By their ids: only some
    /// are read at a time, and which these are must not depend on a hash.
    unknown_dependencies: BTreeMap<String, Vec<JobIndex>>,
    /// Jobs that were looked at: what the graph costs.
    pub pairs_examined: u64,
}

impl DependencyGraph {
    /// Takes in a job, its needs as `look` knows them: their index and stored phase. A job
    /// that is over takes part only as a need of others. `News` are of jobs that came before,
    /// and of this one where it is doomed at once.
    pub fn add(
        &mut self,
        job_index: JobIndex,
        id: &str,
        phase: Phase,
        dependencies: &[String],
        look: impl Fn(&str) -> Option<(JobIndex, Phase)>,
    ) -> DependencyUpdate {
        let mut news = DependencyUpdate::default();
        let mut doomed = false;
        if phase == Phase::Open {
            for dependency in dependencies {
                self.pairs_examined += 1;
                match look(dependency) {
                    None => {
                        self.unknown_dependencies.entry(dependency.clone()).or_default().push(job_index);
                        self.nodes.entry(job_index).or_default().unmet += 1;
                    }
                    Some((n, phase)) => doomed |= self.link(n, phase, job_index),
                }
            }
        }
        if doomed {
            news.cancelled.push(job_index);
        }
        for k in self.unknown_dependencies.remove(id).unwrap_or_default() {
            self.pairs_examined += 1;
            // It counted as not done; from here on it counts by what it is. Unless the job
            // that needs it is over: cancelled in the meantime.
            let Some(node) = self.nodes.get_mut(&k) else { continue };
            node.unmet -= 1;
            let last = node.unmet == 0;
            if self.link(job_index, phase, k) {
                news.cancelled.push(k);
            } else if last && phase == Phase::Done {
                news.ready.push(k);
            }
        }
        self.propagate_cancellation(&mut news);
        news
    }

    /// `j` needs `n`. True if that dooms it.
    fn link(&mut self, n: JobIndex, phase: Phase, job_index: JobIndex) -> bool {
        if phase == Phase::Open {
            self.nodes.entry(n).or_default().dependents.push(job_index);
        }
        let node = self.nodes.entry(job_index).or_default();
        if phase != Phase::Done {
            node.unmet += 1;
        }
        if phase == Phase::Open {
            node.dependencies.push(n);
        }
        phase == Phase::Cancelled
    }

    /// Everything after a doomed job is doomed.
    fn propagate_cancellation(&mut self, news: &mut DependencyUpdate) {
        let mut seen: std::collections::HashSet<JobIndex> = news.cancelled.iter().copied().collect();
        let mut at = 0;
        while let Some(j) = news.cancelled.get(at).copied() {
            at += 1;
            for k in self.dependents(j).to_vec() {
                self.pairs_examined += 1;
                if seen.insert(k) {
                    news.cancelled.push(k);
                }
            }
        }
    }

    /// This end is stored.
    pub fn on_job_ended(&mut self, job_index: JobIndex, phase: Phase) -> DependencyUpdate {
        let mut news = DependencyUpdate::default();
        let Some(node) = self.nodes.remove(&job_index) else { return news };
        for n in &node.dependencies {
            if let Some(n) = self.nodes.get_mut(n) {
                n.dependents.retain(|k| *k != job_index);
            }
        }
        for k in node.dependents {
            self.pairs_examined += 1;
            let Some(after) = self.nodes.get_mut(&k) else { continue };
            after.dependencies.retain(|n| *n != job_index);
            if phase == Phase::Cancelled {
                news.cancelled.push(k);
                continue;
            }
            after.unmet -= 1;
            if after.unmet == 0 {
                news.ready.push(k);
            }
        }
        self.propagate_cancellation(&mut news);
        news
    }

    pub fn is_waiting(&self, job_index: JobIndex) -> bool {
        self.nodes.get(&job_index).is_some_and(|n| n.unmet > 0)
    }

    /// Open jobs that need this one directly.
    pub fn dependents(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |n| &n.dependents)
    }

    /// Open jobs that this one needs directly.
    pub fn dependencies(&self, job_index: JobIndex) -> &[JobIndex] {
        self.nodes.get(&job_index).map_or(&[], |n| &n.dependencies)
    }

    /// Needs that were not heard of here yet, in the order of their ids.
    pub fn unknown_dependencies(&self) -> impl Iterator<Item = &str> {
        self.unknown_dependencies.keys().map(String::as_str)
    }

    /// Is this a need of some job, and was it not heard of here yet?
    pub fn is_unknown_dependency(&self, id: &str) -> bool {
        self.unknown_dependencies.contains_key(id)
    }

    /// Jobs that need this one, which was not heard of here yet.
    pub fn dependents_of_unknown(&self, id: &str) -> &[JobIndex] {
        self.unknown_dependencies.get(id).map_or(&[], Vec::as_slice)
    }

    pub fn waiting_count(&self) -> usize {
        self.nodes.values().filter(|n| n.unmet > 0).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::intern::DenseIndex;

    fn job_index(i: usize) -> JobIndex {
        JobIndex::new(i)
    }

    fn name(i: usize) -> String {
        format!("req-{i}")
    }

    /// Adds job `i`; those below `known` are known, in these phases.
    fn add(
        g: &mut DependencyGraph,
        i: usize,
        dependencies: &[usize],
        phase: impl Fn(usize) -> Option<Phase>,
    ) -> DependencyUpdate {
        let dependencies: Vec<String> = dependencies.iter().map(|n| name(*n)).collect();
        g.add(job_index(i), &name(i), phase(i).unwrap_or(Phase::Open), &dependencies, |id| {
            let n: usize = id.strip_prefix("req-")?.parse().ok()?;
            Some((job_index(n), phase(n)?))
        })
    }

    /// A successor reads the records by their names, so that a job may come long before
    /// those that it needs: the order must not matter.
    #[test]
    fn records_may_come_in_any_order() {
        for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [1, 0, 2]] {
            let mut g = DependencyGraph::default();
            let mut seen: Vec<usize> = Vec::new();
            let mut freed = Vec::new();
            for i in order {
                let dependencies: &[usize] = if i == 0 { &[] } else { &[i - 1] };
                // 0 was done long ago, and its record says so.
                let phase =
                    |n: usize| (n == i || seen.contains(&n)).then_some([Phase::Done, Phase::Open, Phase::Open][n]);
                freed.extend(add(&mut g, i, dependencies, phase).ready);
                seen.push(i);
            }
            assert!(!g.is_waiting(job_index(1)), "what it needs is done: {order:?}");
            assert!(g.is_waiting(job_index(2)), "what it needs runs: {order:?}");
            assert_eq!(
                g.on_job_ended(job_index(1), Phase::Done),
                DependencyUpdate { ready: vec![job_index(2)], cancelled: vec![] },
                "{order:?}"
            );
        }
    }

    /// A job accepted at the very moment of a cancellation finds it however late it comes,
    /// and so does everything after it that came before.
    #[test]
    fn a_cancellation_reaches_what_comes_before_and_after_it() {
        let mut g = DependencyGraph::default();
        let open = |n: usize| (n != 1).then_some(Phase::Open);
        assert_eq!(add(&mut g, 2, &[1], open), DependencyUpdate::default(), "1 is not known here yet");
        assert_eq!(add(&mut g, 3, &[2], open), DependencyUpdate::default());
        let cancelled = |n: usize| Some(if n == 1 { Phase::Cancelled } else { Phase::Open });
        assert_eq!(add(&mut g, 1, &[0], cancelled).cancelled, vec![job_index(2), job_index(3)]);
        assert_eq!(add(&mut g, 4, &[1], cancelled).cancelled, vec![job_index(4)], "submitted afterwards");
    }

    /// Guards against work that follows the number of jobs that wait: one end touches
    /// those after it, however many others there are.
    #[test]
    fn one_end_touches_only_what_is_after_it() {
        let cost = |others: usize| {
            let mut g = DependencyGraph::default();
            let known = |_: usize| Some(Phase::Open);
            for i in 0..others {
                add(&mut g, 1000 + 2 * i, &[], known);
                add(&mut g, 1001 + 2 * i, &[1000 + 2 * i], known);
            }
            for i in 1..=3 {
                add(&mut g, i, &[0], known);
            }
            let before = g.pairs_examined;
            assert_eq!(g.on_job_ended(job_index(0), Phase::Done).ready.len(), 3);
            g.pairs_examined - before
        };
        assert_eq!(cost(0), 3);
        assert_eq!(cost(500), 3);
    }
}
