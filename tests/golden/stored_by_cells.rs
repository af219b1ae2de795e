//! Values in the state service that shards exchange.

use crate::stored::{SAMPLES, assert_format};
use lupinspur_sharding::activation::{ActivePlan, Presence};
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaUse};
use lupinspur_sharding::load_snapshot::{LoadSnapshot, UnusableCapacity};
use lupinspur_sharding::machine_transfer::{MachineTransfer, TransferredMachine};
use lupinspur_sharding::plan::TeamHome;
use lupinspur_sharding::rebalance::{MachineMove, RebalancePlan};
use lupinspur_sharding::{ShardId, ShardingPlan};
use std::collections::BTreeMap;

fn plan() -> ShardingPlan {
    ShardingPlan {
        cells: 3,
        picture_s: 2.5,
        spill_after_s: 6.5,
        spill_gain_s: 11.5,
        reassign_after_s: 12.5,
        teams: vec![TeamHome { name: "vision".into(), cell: 2 }],
    }
}

#[test]
fn cells_plan_in_force() {
    assert_format("cells_plan_in_force", &ActivePlan::new(plan()));
    assert_format("cells_plan_merging", &ActivePlan::merging(plan()));
    let read: ActivePlan = serde_json::from_str(SAMPLES.named("cells_plan_least")).expect("read");
    assert_eq!(read, ActivePlan::new(ShardingPlan::of(3)));
}

#[test]
fn presence_of_a_controller() {
    assert_format("presence", &Presence { node: "sprig-2".into(), plan: Some(plan()) });
    assert_format("presence_without_plan", &Presence { node: "sprig-2".into(), plan: None });
}

#[test]
fn shares_of_limits() {
    let shares = vec![Amount::new(64.5, 8.0), Amount::new(32.0, 0.0)];
    assert_format("shares_of_limits", &Ledger { teams: BTreeMap::from([("vision".into(), shares)]) });
}

fn load_snapshot() -> LoadSnapshot {
    let used = QuotaUse { held: Amount::new(12.0, 1.0), wanted: Amount::new(20.0, 2.0) };
    LoadSnapshot {
        shard: ShardId(2),
        token: 41,
        at_ms: 1_700_000_000_789,
        free_cpus: 100.5,
        idle_cpus: 32.0,
        unusable_capacity: UnusableCapacity { on_demand: 4.0, any_kind: 8.0 },
        waiting_cpus: 16.0,
        assigned_cpus: 640.0,
        booting_cpus: 96.0,
        longest_wait_s: 7.5,
        teams: BTreeMap::from([("vision".into(), used)]),
    }
}

#[test]
fn load_snapshot_of_a_cell() {
    assert_format("load_snapshot", &load_snapshot());
    let read: LoadSnapshot = serde_json::from_str(SAMPLES.named("load_snapshot_least")).expect("read");
    assert_eq!(
        read,
        LoadSnapshot { idle_cpus: 0.0, unusable_capacity: UnusableCapacity::default(), ..load_snapshot() }
    );
}

#[test]
fn rebalance_orders() {
    let orders = RebalancePlan {
        at_ms: 1_700_000_001_000,
        moves: vec![MachineMove { from: ShardId(0), to: ShardId(2), cpus: 192.0 }],
        homes: BTreeMap::from([("vision".into(), ShardId(1))]),
    };
    assert_format("rebalance_orders", &orders);
    let read: RebalancePlan = serde_json::from_str(SAMPLES.named("rebalance_orders_least")).expect("read");
    assert_eq!(read, RebalancePlan { moves: Vec::new(), homes: BTreeMap::new(), ..orders });
}

#[test]
fn machine_transfer() {
    let machine = TransferredMachine {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: true,
    };
    let without_address = TransferredMachine { machine: "host-000232".into(), addr: String::new(), ..machine.clone() };
    let transfer = MachineTransfer {
        from: ShardId(0),
        to: ShardId(1),
        machines: vec![machine, without_address],
        released_by_sender: true,
    };
    assert_format("machine_transfer", &transfer);
    let read: MachineTransfer = serde_json::from_str(SAMPLES.named("machine_transfer_least")).expect("read");
    assert_eq!(read, MachineTransfer { released_by_sender: false, machines: Vec::new(), ..transfer });
}
