//! Tests of the dependency graph: the order in which jobs are added, cancellation, and the cost of a job's end.

use super::*;
use crate::intern::DenseIndex;

fn job_index(i: usize) -> JobIndex {
    JobIndex::new(i)
}

fn name(i: usize) -> String {
    format!("req-{i}")
}

/// Adds job `i`. `phase` returns the stored phase of each known job, and `None` for unknown jobs.
fn add(
    graph: &mut DependencyGraph,
    i: usize,
    dependencies: &[usize],
    phase: impl Fn(usize) -> Option<Phase>,
) -> DependencyUpdate {
    let dependencies: Vec<String> = dependencies.iter().map(|other| name(*other)).collect();
    graph.add(job_index(i), &name(i), phase(i).unwrap_or(Phase::Open), &dependencies, |id| {
        let other: usize = id.strip_prefix("req-")?.parse().ok()?;
        Some((job_index(other), phase(other)?))
    })
}

/// A new leader reads the job records in the order of their ids, so a job may be added long before
/// its dependencies: the result must not depend on the order.
#[test]
fn records_may_come_in_any_order() {
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [1, 0, 2]] {
        let mut graph = DependencyGraph::default();
        let mut seen: Vec<usize> = Vec::new();
        let mut freed = Vec::new();
        for i in order {
            let dependencies: &[usize] = if i == 0 { &[] } else { &[i - 1] };
            // Job 0 is stored as done.
            let phase = |other: usize| {
                (other == i || seen.contains(&other)).then_some([Phase::Done, Phase::Open, Phase::Open][other])
            };
            freed.extend(add(&mut graph, i, dependencies, phase).ready);
            seen.push(i);
        }
        assert!(!graph.is_waiting(job_index(1)), "its dependency is done: {order:?}");
        assert!(graph.is_waiting(job_index(2)), "its dependency is open: {order:?}");
        assert_eq!(
            graph.on_job_ended(job_index(1), Phase::Done),
            DependencyUpdate { ready: vec![job_index(2)], cancelled: vec![] },
            "{order:?}"
        );
    }
}

/// A cancelled dependency may become known only after its dependents were added, or before a further dependent is
/// submitted: all of them, including transitive dependents, have to be cancelled.
#[test]
fn a_cancellation_reaches_what_comes_before_and_after_it() {
    let mut graph = DependencyGraph::default();
    let open = |other: usize| (other != 1).then_some(Phase::Open);
    assert_eq!(add(&mut graph, 2, &[1], open), DependencyUpdate::default(), "job 1 is not known here yet");
    assert_eq!(add(&mut graph, 3, &[2], open), DependencyUpdate::default());
    let cancelled = |other: usize| Some(if other == 1 { Phase::Cancelled } else { Phase::Open });
    assert_eq!(add(&mut graph, 1, &[0], cancelled).cancelled, vec![job_index(2), job_index(3)]);
    assert_eq!(add(&mut graph, 4, &[1], cancelled).cancelled, vec![job_index(4)], "submitted afterwards");
}

/// Guards against work proportional to the number of waiting jobs: the end of a job must examine only its own
/// dependents.
#[test]
fn one_end_touches_only_what_is_after_it() {
    let cost = |others: usize| {
        let mut graph = DependencyGraph::default();
        let always_open = |_: usize| Some(Phase::Open);
        for i in 0..others {
            add(&mut graph, 1000 + 2 * i, &[], always_open);
            add(&mut graph, 1001 + 2 * i, &[1000 + 2 * i], always_open);
        }
        for i in 1..=3 {
            add(&mut graph, i, &[0], always_open);
        }
        let before = graph.pairs_examined;
        assert_eq!(graph.on_job_ended(job_index(0), Phase::Done).ready.len(), 3);
        graph.pairs_examined - before
    };
    assert_eq!(cost(0), 3);
    assert_eq!(cost(500), 3);
}
