//! Property tests of the ledger over random trees and histories.

use lupinspur_quota::plan::Organisation;
use lupinspur_quota::{Amount, BorrowedTask, EPSILON, Ledger, LevelIndex, Plan, TeamIndex, TeamLimits, Tree};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A random tree. An organisation is (parent among the preceding ones, guarantee, limit), a team
/// is (organisation, guarantee, limit).
#[derive(Debug, Clone)]
struct Shape {
    organisations: Vec<(Option<usize>, Option<u32>, u32)>,
    teams: Vec<(usize, u32, u32)>,
}

fn shapes() -> impl Strategy<Value = Shape> {
    (1usize..7, 1usize..6).prop_flat_map(|(orgs, teams)| {
        let org = (any::<prop::sample::Index>(), any::<bool>(), prop::option::of(0u32..40), 0u32..40);
        let team = (0..orgs, 0u32..20, 0u32..30);
        (prop::collection::vec(org, orgs), prop::collection::vec(team, teams)).prop_map(|(orgs, teams)| Shape {
            organisations: orgs
                .into_iter()
                .enumerate()
                .map(|(i, (p, top, g, l))| ((i > 0 && !top).then(|| p.index(i)), g.filter(|g| l == 0 || *g <= l), l))
                .collect(),
            teams,
        })
    })
}

fn plan(s: &Shape, generation: u64) -> (Plan, Vec<TeamLimits>) {
    let organisation = |(i, (parent, guarantee, limit)): (usize, &(Option<usize>, Option<u32>, u32))| Organisation {
        name: format!("o{i}"),
        within: parent.map(|p| format!("o{p}")),
        cpus: guarantee.map(f64::from),
        gpus: None,
        cpus_max: f64::from(*limit),
        gpus_max: 0.0,
        weight: 1.0,
        teams: s.teams.iter().enumerate().filter(|(_, t)| t.0 == i).map(|(t, _)| format!("t{t}")).collect(),
    };
    let team = |(i, (_, g, l)): (usize, &(usize, u32, u32))| TeamLimits {
        name: format!("t{i}"),
        guarantee: Amount::new(f64::from(*g), 0.0),
        limit: Amount::new(f64::from(*l), 0.0),
    };
    let organisations = s.organisations.iter().enumerate().map(organisation).collect();
    (Plan { generation, organisations }, s.teams.iter().enumerate().map(team).collect())
}

fn tree(s: &Shape) -> Tree {
    let (plan, teams) = plan(s, 1);
    Tree::of(&plan, &teams).expect("a tree").0
}

/// Computes the usage of every level from the held tasks, without the ledger.
fn counted(tree: &Tree, held: &BTreeMap<usize, (TeamIndex, f64)>) -> Vec<f64> {
    let mut used = vec![0.0; tree.levels.len()];
    for (t, cpus) in held.values() {
        tree.path(*t).iter().for_each(|l| used[l.0 as usize] += cpus);
    }
    used
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// No level exceeds its limit in any order of starts and ends, with some usage on machines
    /// that have not reported; and the ledger's usage equals that of the held tasks.
    #[test]
    fn no_level_is_over_its_limit(
        s in shapes(),
        steps in prop::collection::vec((any::<prop::sample::Index>(), 1u32..9, 0u32..4, any::<bool>()), 1..60),
    ) {
        let tree = tree(&s);
        let mut ledger = Ledger::new(tree.clone());
        let mut held = BTreeMap::new();
        for (i, (index, cpus, unreported, start)) in steps.into_iter().enumerate() {
            ledger.unreported = Amount::new(f64::from(unreported), 0.0);
            if start || held.is_empty() {
                let (team, need) = (TeamIndex(index.index(s.teams.len()) as u32), Amount::new(f64::from(cpus), 0.0));
                if ledger.may_start(team, need).is_ok() {
                    ledger.add_usage(team, need);
                    held.insert(i, (team, need.cpus));
                    for l in tree.path(team) {
                        let limit = tree.at(*l).limit.cpus;
                        let used = ledger.used(*l).cpus + ledger.unreported.cpus;
                        prop_assert!(limit <= 0.0 || used <= limit + EPSILON, "{} uses {used}", tree.at(*l).name);
                    }
                }
            } else {
                let key = *held.keys().nth(index.index(held.len())).expect("a held task");
                let (team, cpus) = held.remove(&key).expect("held");
                ledger.add_usage(team, Amount::new(-cpus, 0.0));
            }
            for (l, used) in counted(&tree, &held).into_iter().enumerate() {
                prop_assert!((ledger.used(LevelIndex(l as u32)).cpus - used).abs() < EPSILON);
            }
        }
    }

    /// The scaled guarantees of the children never exceed their parent's in sum; where the stated
    /// ones fit, they are not scaled.
    #[test]
    fn guarantees_fit_into_their_parents(s in shapes()) {
        let tree = tree(&s);
        for (i, l) in tree.levels.iter().enumerate() {
            let below: Vec<_> = tree.levels.iter().filter(|c| c.parent == Some(LevelIndex(i as u32))).collect();
            let (sum, stated): (f64, f64) =
                below.iter().fold((0.0, 0.0), |a, c| (a.0 + c.guarantee.cpus, a.1 + c.stated.cpus));
            prop_assert!(sum <= l.guarantee.cpus + EPSILON, "{} guarantees less than it contains", l.name);
            if stated <= l.guarantee.cpus {
                prop_assert!(below.iter().all(|c| (c.guarantee.cpus - c.stated.cpus).abs() < EPSILON));
            }
        }
    }

    /// The distance of a start is never greater than that of the nearest level with spare guarantee:
    /// a start within the team's own guarantee comes first, then loans from nearer levels.
    #[test]
    fn nearer_levels_lend_first(s in shapes(), uses in prop::collection::vec((any::<prop::sample::Index>(), 1u32..9), 0..20)) {
        let tree = tree(&s);
        let mut ledger = Ledger::new(tree.clone());
        for (index, cpus) in uses {
            ledger.add_usage(TeamIndex(index.index(s.teams.len()) as u32), Amount::new(f64::from(cpus), 0.0));
        }
        let need = Amount::new(1.0, 0.0);
        for t in (0..s.teams.len() as u32).map(TeamIndex) {
            let standing = ledger.fair_share_position(t, need);
            let path = tree.path(t);
            for (h, l) in path.iter().enumerate() {
                let lends = ledger.used(*l).cpus + 1.0 <= tree.at(*l).guarantee.cpus + EPSILON;
                prop_assert!(!lends || usize::from(standing.distance) <= h);
            }
            prop_assert!(usize::from(standing.distance) <= path.len());
        }
    }

    /// After any change of the tree, preemption selects enough tasks to bring every level under its
    /// limit, and services only where no other task is left.
    #[test]
    fn preemption_brings_a_shrunk_level_under_its_limit(
        before in shapes(),
        limits in prop::collection::vec(0u32..12, 7),
        starts in prop::collection::vec((any::<prop::sample::Index>(), 1u32..5, 0u32..100, any::<bool>()), 1..40),
    ) {
        let mut ledger = Ledger::new(tree(&before));
        let mut held = Vec::new();
        for (i, (index, cpus, lost_work_s, service)) in starts.into_iter().enumerate() {
            let (team, need) = (TeamIndex(index.index(before.teams.len()) as u32), Amount::new(f64::from(cpus), 0.0));
            if ledger.may_start(team, need).is_ok() {
                ledger.add_usage(team, need);
                held.push(BorrowedTask { task: i, team, need, lost_work_s: f64::from(lost_work_s), service, priority: 2 });
            }
        }
        let mut after = before.clone();
        for (o, l) in after.organisations.iter_mut().zip(limits) {
            (o.1, o.2) = (None, l);
        }
        ledger.replace_tree(tree(&after));
        let preempted = ledger.preempt_over_limit(&held, &[]);
        for h in held.iter().filter(|h| preempted.contains(&h.task)) {
            ledger.add_usage(h.team, h.need.times(-1.0));
        }
        prop_assert!(ledger.levels_over_limit().is_empty(), "{:?} are still over", ledger.levels_over_limit());
        // A service is preempted only if some level on its path keeps no other task.
        let kept: Vec<_> = held.iter().filter(|h| !preempted.contains(&h.task)).collect();
        for s in held.iter().filter(|h| h.service && preempted.contains(&h.task)) {
            let levels = ledger.tree().path(s.team);
            let spared = |l: &LevelIndex| kept.iter().any(|k| !k.service && ledger.tree().path(k.team).contains(l));
            prop_assert!(levels.iter().any(|l| !spared(l)), "a service was preempted before other work");
        }
        prop_assert!(preempted.is_empty() || held.iter().any(|h| preempted.contains(&h.task)));
    }

    /// A service is blocked by the limit of some level. The preempted tasks are enough for it to
    /// start, include no service, and of equal tasks the less important ones are preempted first.
    /// Nothing is preempted only if nothing blocks the service or preemption could not free enough.
    #[test]
    fn a_service_at_a_limit_preempts_enough_tasks_below_it(
        shape in shapes(),
        starts in prop::collection::vec((any::<prop::sample::Index>(), 1u32..5, 0u32..100, 0u8..4), 1..40),
        service in (any::<prop::sample::Index>(), 1u32..9),
        leaves in any::<bool>(),
    ) {
        let mut ledger = Ledger::new(tree(&shape));
        let (mut held, mut leaving) = (Vec::new(), Vec::new());
        for (i, (index, cpus, lost_work_s, priority)) in starts.into_iter().enumerate() {
            let (team, need) = (TeamIndex(index.index(shape.teams.len()) as u32), Amount::new(f64::from(cpus), 0.0));
            if ledger.may_start(team, need).is_ok() {
                ledger.add_usage(team, need);
                if leaves && i % 3 == 0 {
                    leaving.push((team, need));
                } else {
                    held.push(BorrowedTask { task: i, team, need, lost_work_s: f64::from(lost_work_s), service: priority == 0, priority });
                }
            }
        }
        let (team, need) = (TeamIndex(service.0.index(shape.teams.len()) as u32), Amount::new(f64::from(service.1), 0.0));
        let preempted = ledger.preempt_for(team, need, &held, &leaving);
        let blocked = ledger.may_start(team, need).is_err();
        prop_assert!(preempted.is_empty() || blocked, "tasks were preempted although no limit blocked the service");
        prop_assert!(held.iter().all(|h| !h.service || !preempted.contains(&h.task)));
        let mut after = ledger.clone();
        for (t, a) in &leaving {
            after.add_usage(*t, a.times(-1.0));
        }
        let soon = after.may_start(team, need).is_ok();
        prop_assert!(!soon || preempted.is_empty(), "the tasks that already stop would have been enough");
        for h in held.iter().filter(|h| !h.service && (preempted.is_empty() || preempted.contains(&h.task))) {
            after.add_usage(h.team, h.need.times(-1.0));
        }
        let fits = after.may_start(team, need).is_ok();
        prop_assert!(preempted.is_empty() || fits, "the preempted tasks were not enough");
        prop_assert!(!preempted.is_empty() || soon || !fits, "preemption could have made the start possible");
        // Of tasks of one team with the same request, the least important are preempted.
        for (a, b) in held.iter().flat_map(|a| held.iter().map(move |b| (a, b))) {
            let same = a.team == b.team && a.need == b.need && !a.service && !b.service;
            let wrong = same && a.priority < b.priority && preempted.contains(&a.task) && !preempted.contains(&b.task);
            prop_assert!(!wrong, "a more important task was preempted before a less important one");
        }
    }
}

/// A start and an end visit only the team's path in the tree, however many teams there are.
#[test]
fn a_start_visits_only_its_path() {
    let cost = |teams: usize| {
        let names: Vec<String> = (0..teams).map(|i| format!("t{i}")).collect();
        let limits = |n: &String| TeamLimits { name: n.clone(), guarantee: Amount::NONE, limit: Amount::NONE };
        let text: String = names.chunks(10).enumerate().fold("generation = 1\n".to_owned(), |mut s, (i, c)| {
            s += &format!("[[organisation]]\nname = \"o{i}\"\nteams = {c:?}\n");
            s
        });
        let all: Vec<TeamLimits> = names.iter().map(limits).collect();
        let mut ledger = Ledger::new(Tree::of(&Plan::parse(&text).expect("TOML"), &all).expect("a tree").0);
        let (t, need) = (TeamIndex(teams as u32 / 2), Amount::new(1.0, 0.0));
        let before = ledger.levels_visited.get();
        assert!(ledger.may_start(t, need).is_ok());
        ledger.fair_share_position(t, need);
        ledger.add_usage(t, need);
        ledger.add_usage(t, need.times(-1.0));
        ledger.levels_visited.get() - before
    };
    assert_eq!(cost(10), 12, "three levels, visited by four operations");
    assert_eq!([cost(1_000), cost(10_000)], [12, 12]);
}
