//! Tests of the decisions between shards: small scenarios and properties over random histories.

use lupinspur_sharding::activation::{
    ActivePlan, NOBODY, Presence, all_agree_on, campaign_delay_s, has_plan_to_offer, may_absorb_all,
};
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaTransfer, QuotaUse, quota_transfers};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::spill::{MAX_MOVES, SpillCandidate, plan_spills};
use lupinspur_sharding::{ShardId, ShardingPlan};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn teams() -> Vec<String> {
    (0..40).map(|i| format!("team-{i:02}")).collect()
}

#[test]
fn every_fault_of_a_plan_is_reported_with_its_path() {
    let good = ShardingPlan::parse("cells = 3\n[[team]]\nname = \"team-01\"\ncell = 2\n", &teams()).expect("a plan");
    assert_eq!((good.home("team-01"), good.picture_s), (ShardId(2), 2.0));
    let text = "cells = 99\nspill_after_s = 0.0\n[[team]]\nname = \"nobody\"\ncell = 99\n[[team]]\nname = \"nobody\"\ncell = 1\n";
    let faults = ShardingPlan::parse(text, &teams()).expect_err("faults");
    let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["cells", "spill_after_s", "team[0].cell", "team[0].name", "team[1].name", "team[1].name"]);
    assert_eq!(ShardingPlan::parse("cells = 2\nrooms = 1\n", &teams()).expect_err("a fault")[0].path, "line 2");
    let schema = serde_json::to_string_pretty(&schemars::schema_for!(ShardingPlan)).expect("JSON") + "\n";
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/cells.schema.json");
    if std::env::var_os("UPDATE_SCHEMA").is_some() {
        std::fs::write(file, &schema).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(file).expect("the schema"),
        schema,
        "deploy/cells.schema.json is outdated: run the test with UPDATE_SCHEMA=1"
    );
    let example = include_str!("../../../deploy/cells.toml");
    assert!(
        ShardingPlan::parse(example, &["foglalas".into(), "beutalo".into()]).is_ok(),
        "the example is a valid plan"
    );
}

/// Adding a shard moves only the teams that get it as their home.
#[test]
fn adding_a_shard_moves_only_the_teams_that_it_gets() {
    let (three, four) = (ShardingPlan::of(3), ShardingPlan::of(4));
    let used: BTreeSet<ShardId> = teams().iter().map(|t| three.home(t)).collect();
    assert_eq!(used.len(), 3);
    let moved: Vec<String> = teams().into_iter().filter(|t| three.home(t) != four.home(t)).collect();
    assert!(!moved.is_empty() && moved.len() < 20 && moved.iter().all(|t| four.home(t) == ShardId(3)), "{moved:?}");
    // The hash decides which shard owns stored data, so its results must never change.
    let first: Vec<u32> = teams().iter().take(8).map(|t| three.home(t).0).collect();
    assert_eq!(first, [1, 0, 1, 0, 0, 1, 0, 1]);
}

/// A version without sharding reads the value of `own/0` of an active plan as the leadership record of another
/// controller, and does not campaign.
#[test]
fn a_version_without_cells_sees_another_leader() {
    #[derive(serde::Deserialize)]
    struct Before {
        node: String,
        nonce: String,
    }
    let text = serde_json::to_string(&ActivePlan::new(ShardingPlan::of(3))).expect("JSON");
    let seen: Before = serde_json::from_str(&text).expect("a claim");
    assert_eq!((seen.node.as_str(), seen.nonce.as_str()), (NOBODY, "plan"));
    assert_eq!(serde_json::from_str::<ActivePlan>(&text).expect("the plan").plan, ShardingPlan::of(3));
    assert!(
        serde_json::from_str::<ActivePlan>(r#"{"node":"sprig-1","nonce":"77"}"#).is_err(),
        "a leadership record is not a plan"
    );
}

#[test]
fn a_plan_comes_into_force_when_all_understand_it() {
    let presence = |node: &str, plan: Option<ShardingPlan>| Presence { node: node.into(), plan };
    let own = ShardingPlan::of(3);
    let all = [
        presence("a", Some(ShardingPlan::of(3))),
        presence("b", Some(ShardingPlan::of(3))),
        presence("c", Some(ShardingPlan::of(3))),
    ];
    assert!(all_agree_on(&own, &["a", "b", "c"], &all));
    assert!(!all_agree_on(&own, &["a", "b", "c", "d"], &all), "one is missing, or runs an older version");
    assert!(!all_agree_on(&own, &["a", "b", "c"], &[all[0].clone(), all[1].clone(), presence("c", None)]));
    assert!(!all_agree_on(
        &own,
        &["a", "b", "c"],
        &[all[0].clone(), all[1].clone(), presence("c", Some(ShardingPlan::of(2)))]
    ));
    // A plan of one shard is proposed if there are several: it leads back to a single shard.
    assert!(!has_plan_to_offer(&ShardingPlan::of(1), None) && has_plan_to_offer(&ShardingPlan::of(1), Some(&own)));
    assert!(
        has_plan_to_offer(&own, None) && !has_plan_to_offer(&ShardingPlan::of(2), Some(&own)),
        "a different number of shards requires a single shard in between"
    );
}

/// Guards against two leaders of one job: shard 0 absorbs the others only if none of them can have a leader, and
/// only with a fencing token that their machines would obey.
#[test]
fn shard_0_absorbs_only_shards_without_a_leader() {
    let nobody = |version| Some((NOBODY, version));
    assert!(may_absorb_all(30, [nobody(20), nobody(29)]));
    assert!(!may_absorb_all(30, [nobody(20), None]), "a controller may still campaign for a shard without a record");
    assert!(!may_absorb_all(30, [nobody(20), Some(("n1", 25))]), "a shard with a leader");
    assert!(!may_absorb_all(30, [nobody(20), nobody(31)]), "its machines may have seen a higher token");
}

/// The shards are spread over the controllers: one that leads a shard already waits longer than others, and a
/// controller that is alone leads all of them in the end.
#[test]
fn shards_are_led_by_different_controllers() {
    let nodes = ["n0", "n1", "n2", "n3", "n4"];
    for cell in 0..7 {
        let at_once: Vec<&str> =
            nodes.iter().filter(|n| campaign_delay_s(n, &nodes, ShardId(cell), 0) == 0.0).copied().collect();
        assert_eq!(at_once, [nodes[cell as usize % 5]]);
    }
    assert!(campaign_delay_s("n1", &nodes, ShardId(1), 1) > campaign_delay_s("n0", &nodes, ShardId(1), 0));
    assert!(campaign_delay_s("n4", &nodes, ShardId(3), 6) < 15.0);
}

fn cpus(c: f64) -> Amount {
    Amount::new(c, 0.0)
}

fn usage(held: f64, wanted: f64) -> Option<QuotaUse> {
    Some(QuotaUse { held: cpus(held), wanted: cpus(wanted) })
}

/// Unused shares follow demand: they go to shards that lack quota, up to their shortage, and otherwise home.
#[test]
fn shares_follow_demand_and_go_home() {
    let limits = vec![("red".to_owned(), cpus(100.0))];
    let l = Ledger::new(&limits, 3, ShardId(0));
    let home = ShardId(1);
    let given = quota_transfers(ShardId(0), "red", &l, &[usage(10.0, 20.0), usage(0.0, 60.0), None], home);
    assert_eq!(given, [QuotaTransfer { team: "red".into(), from: ShardId(0), to: ShardId(1), amount: cpus(60.0) }]);
    let l = l.apply(&given).expect("a part of its own share");
    assert_eq!((l.share("red", ShardId(0)), l.share("red", ShardId(1))), (Some(cpus(40.0)), Some(cpus(60.0))));
    assert!(l.within(&limits));
    // Amounts in use are never given away.
    let given = quota_transfers(ShardId(0), "red", &l, &[usage(38.0, 0.0), usage(60.0, 100.0), None], home);
    assert_eq!(given[0].amount, cpus(2.0));
    // No shard lacks quota: all but the reserve goes home.
    let given = quota_transfers(ShardId(0), "red", &l, &[usage(0.0, 0.0), usage(10.0, 10.0), None], home);
    assert_eq!(given, [QuotaTransfer { team: "red".into(), from: ShardId(0), to: home, amount: cpus(35.0) }]);
    // A shard without a report gives and gets nothing; the home shard keeps its reserve.
    assert!(quota_transfers(ShardId(2), "red", &l, &[None, usage(0.0, 90.0), None], home).is_empty());
    let given = quota_transfers(home, "red", &l, &[usage(40.0, 500.0), usage(0.0, 0.0), None], home);
    assert_eq!(given[0].amount, cpus(55.0));
    assert_eq!(l.apply(&[QuotaTransfer { amount: cpus(61.0), ..given[0].clone() }]), None, "more than it has");
}

fn snapshot(cell: u32, room: f64, waits: f64) -> LoadSnapshot {
    LoadSnapshot {
        shard: ShardId(cell),
        free_cpus: room,
        waiting_cpus: waits,
        assigned_cpus: 100.0,
        longest_wait_s: 30.0,
        ..LoadSnapshot::default()
    }
}

#[test]
fn jobs_move_to_shards_that_start_them_sooner_without_cycling() {
    let plan = ShardingPlan::of(3);
    let w = |job: &'static str, cpus: f64, waited_s: f64, moves: u8| SpillCandidate {
        job,
        cpus,
        task_cpus: cpus,
        waited_s,
        moves,
        spot: true,
    };
    let own = snapshot(0, 5.0, 400.0);
    let others = [snapshot(1, 100.0, 20.0), snapshot(2, 30.0, 0.0)];
    let waiting =
        [w("new", 10.0, 1.0, 0), w("long", 10.0, 20.0, 0), w("big", 39.0, 10.0, 0), w("moved", 1.0, 39.0, MAX_MOVES)];
    let out = plan_spills(&plan, &own, &others, &waiting, 15.0);
    assert_eq!(
        out,
        [("long", ShardId(1))],
        "half of the published free capacity is usable, and the longest wait comes first"
    );
    let out = plan_spills(&plan, &own, &others, &waiting[2..3], 15.0);
    assert_eq!(out, [("big", ShardId(1))]);
    // A job that has moved twice moves again only after waits that double each time.
    let moved = |waited_s, moves| [w("moved", 8.0, waited_s, moves)];
    assert!(plan_spills(&plan, &own, &others, &moved(39.0, 2), 15.0).is_empty());
    assert_eq!(plan_spills(&plan, &own, &others, &moved(40.0, 2), 15.0).len(), 1);
    assert!(plan_spills(&plan, &own, &others, &moved(79.0, 3), 15.0).is_empty());
    // A job stays if it could start at once here, or no sooner elsewhere, unless it has waited long.
    assert!(plan_spills(&plan, &snapshot(0, 500.0, 400.0), &others, &waiting[..3], 15.0).is_empty());
    assert_eq!(plan_spills(&plan, &snapshot(0, 500.0, 400.0), &others, &[w("long", 10.0, 25.0, 0)], 15.0).len(), 1);
    assert!(
        plan_spills(&plan, &own, &[snapshot(1, 50.0, 60.0)], &waiting, 15.0).is_empty(),
        "a shard that is short of capacity accepts no jobs"
    );
    let moved = LoadSnapshot { booting_cpus: 900.0, ..own.clone() };
    assert!(
        plan_spills(&plan, &moved, &others, &waiting[..1], 5.0).is_empty(),
        "machines of its own shard boot sooner"
    );
}

/// Guards against a job that stays in a shard without machines forever because it is larger than half of the free
/// capacity of any other shard.
#[test]
fn a_job_larger_than_any_free_capacity_moves_once_it_has_waited_long() {
    let plan = ShardingPlan::of(3);
    let large =
        |waited_s| [SpillCandidate { job: "large", cpus: 44.0, task_cpus: 4.0, waited_s, moves: 0, spot: true }];
    let (own, others) = (LoadSnapshot { assigned_cpus: 0.0, ..snapshot(0, 0.0, 44.0) }, [snapshot(1, 32.0, 0.0)]);
    assert!(plan_spills(&plan, &own, &others, &large(24.0), 15.0).is_empty(), "its own shard may still get machines");
    assert_eq!(plan_spills(&plan, &own, &others, &large(25.0), 15.0), [("large", ShardId(1))]);
    assert!(plan_spills(&plan, &own, &[snapshot(1, 7.0, 0.0)], &large(25.0), 15.0).is_empty(), "too small for a task");
}

/// The state of a shard's leader in the property test.
#[derive(Debug, Clone, Default)]
struct Cell {
    /// The share that it assumes: never more than its stored share.
    assumed_share: f64,
    used: f64,
    wanted: f64,
    /// The pending write: the version that it requires, the new ledger, and the amount given away.
    sent: Option<(u64, Ledger, f64)>,
}

#[derive(Debug, Clone)]
enum Step {
    Want(usize, f64),
    /// Starts tasks up to what is wanted and allowed.
    Start(usize),
    End(usize, f64),
    Look(usize),
    Give(usize),
    /// A write reaches the store (`Applied`) or is lost (`Lost`); then the shard reads the stored value.
    Applied(usize),
    Lost(usize),
    /// The leader fails; the new one reads the stored value, and running tasks continue.
    Ends(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let c = 0..4usize;
    let one = prop_oneof![
        3 => (c.clone(), 0.0..150.0).prop_map(|(c, w)| Step::Want(c, w)),
        3 => c.clone().prop_map(Step::Start),
        2 => (c.clone(), 0.0..1.0).prop_map(|(c, p)| Step::End(c, p)),
        3 => c.clone().prop_map(Step::Look),
        4 => c.clone().prop_map(Step::Give),
        3 => c.clone().prop_map(Step::Applied),
        1 => c.clone().prop_map(Step::Lost),
        1 => c.prop_map(Step::Ends),
    ];
    proptest::collection::vec(one, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// With any lost writes and failovers, the shards together never use more than the team's limit.
    /// Writes of a former leader are not simulated: they are rejected, since the leadership record has changed.
    #[test]
    fn a_limit_holds_over_all_cells(steps in steps()) {
        const LIMIT: f64 = 100.0;
        let limits = vec![("red".to_owned(), cpus(LIMIT))];
        let (mut store, mut version) = (Ledger::new(&limits, 4, ShardId(0)), 1u64);
        let mut cells = vec![Cell::default(); 4];
        cells[0].assumed_share = LIMIT;
        let share = |l: &Ledger, c: usize| l.share("red", ShardId(c as u32)).unwrap_or_default().cpus;
        for s in steps {
            match s {
                Step::Want(c, w) => cells[c].wanted = w,
                Step::Start(c) => {
                    let me = &mut cells[c];
                    me.used = me.used.max(me.wanted.min(me.assumed_share));
                }
                Step::End(c, part) => cells[c].used *= part,
                Step::Look(c) => if cells[c].sent.is_none() { cells[c].assumed_share = share(&store, c) },
                Step::Give(c) => if cells[c].sent.is_none() {
                    let uses: Vec<Option<QuotaUse>> = cells.iter().map(|x| usage(x.used, x.wanted)).collect();
                    let given = quota_transfers(ShardId(c as u32), "red", &store, &uses, ShardId(1));
                    let sum: f64 = given.iter().map(|g| g.amount.cpus).sum();
                    if sum > 0.0 {
                        let next = store.apply(&given).expect("a part of its own share");
                        // It stops using the amount before the write is sent.
                        let left = share(&next, c);
                        prop_assert!(cells[c].used <= left + 1e-3);
                        cells[c].assumed_share = left;
                        cells[c].sent = Some((version, next, sum));
                    }
                }
                Step::Applied(c) => if let Some((v, next, _)) = cells[c].sent.take() {
                    if v == version { (store, version) = (next, version + 1); }
                    cells[c].assumed_share = share(&store, c);
                },
                Step::Lost(c) => if cells[c].sent.take().is_some() { cells[c].assumed_share = share(&store, c) },
                Step::Ends(c) => {
                    cells[c].sent = None;
                    cells[c].assumed_share = share(&store, c);
                }
            }
            prop_assert!(store.within(&limits));
            let used: f64 = cells.iter().map(|c| c.used).sum();
            prop_assert!(used <= LIMIT + 1e-3, "{used}");
            for (c, cell) in cells.iter().enumerate() {
                prop_assert!(cell.used <= share(&store, c) + 1e-3);
            }
        }
    }
}
