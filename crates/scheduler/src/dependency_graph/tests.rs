//! The graph whatever the order in which jobs come, and what an end costs.

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
            let phase = |n: usize| (n == i || seen.contains(&n)).then_some([Phase::Done, Phase::Open, Phase::Open][n]);
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
